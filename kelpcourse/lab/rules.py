"""Whether proxies kept the rules, from what crossed the sockets alone: announcements, orders, picks. No I/O.

Independent of the policy's own records. Times in microseconds on one clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_VIOLATIONS = 20  # that are kept


@dataclass
class RuleChecker:
    """Checks every pick of a proxy.

    Attributes:
        drain_grace_us: for which an endpoint may be picked after its drain or removal was announced.
        max_without_endpoint_us: for which a proxy may be without an endpoint while one is ready.
        ready_since_us: endpoints that are ready, and since when.
        stopped_since_us: endpoints that drain or are gone, and since when.
        withdrawn: endpoints that a proxy was ordered to leave, by proxy.
        violations: what broke a rule.
        pick_count: picks that were checked.
        max_late_us: the longest that an endpoint was still picked after it had stopped.
    """

    drain_grace_us: int
    max_without_endpoint_us: int
    ready_since_us: dict[str, int] = field(default_factory=dict)
    stopped_since_us: dict[str, int] = field(default_factory=dict)
    withdrawn: dict[int, set[str]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    pick_count: int = 0
    max_late_us: int = 0
    _without_endpoint_since_us: dict[tuple[int, str], int] = field(default_factory=dict)

    def endpoint_ready(self, endpoint: str, now_us: int) -> None:
        """An endpoint is announced as ready."""
        self.stopped_since_us.pop(endpoint, None)
        self.ready_since_us.setdefault(endpoint, now_us)

    def endpoint_stopped(self, endpoint: str, now_us: int) -> None:
        """An endpoint is announced as draining or gone."""
        self.ready_since_us.pop(endpoint, None)
        self.stopped_since_us.setdefault(endpoint, now_us)

    def withdrawal_applied(self, proxy: int, endpoint: str) -> None:
        """A proxy has applied that it is to leave an endpoint."""
        self.withdrawn.setdefault(proxy, set()).add(endpoint)

    def restoration_applied(self, proxy: int, endpoint: str) -> None:
        """A proxy has applied that it may use an endpoint again."""
        self.withdrawn.setdefault(proxy, set()).discard(endpoint)

    def picked(
        self,
        proxy: int,
        request_class: str,
        endpoint: str | None,
        now_us: int,
        serving: Iterable[str] | None = None,
    ) -> None:
        """Checks a pick.

        Args:
            proxy: that picks.
            request_class: of the request.
            endpoint: None: the proxy has none.
            now_us: the time.
            serving: endpoints that serve the class, if not all do.
        """
        self.pick_count += 1
        if endpoint is None:
            ready = self.ready_since_us if serving is None else serving
            self._check_without_endpoint(proxy, request_class, now_us, set(ready))
            return
        self._without_endpoint_since_us.pop((proxy, request_class), None)
        if endpoint in self.withdrawn.get(proxy, ()):
            self._add(f"proxy {proxy} picks {endpoint}, which it was told to leave")
        if endpoint in self.ready_since_us:
            return
        if endpoint not in self.stopped_since_us:
            self._add(f"proxy {proxy} picks {endpoint}, which was never announced")
            return
        late_us = now_us - self.stopped_since_us[endpoint]
        self.max_late_us = max(self.max_late_us, late_us)
        if late_us > self.drain_grace_us:
            self._add(f"proxy {proxy} picks {endpoint} {late_us / 1e6:.3f} s after it stopped")

    def _check_without_endpoint(
        self, proxy: int, request_class: str, now_us: int, serving: set[str]
    ) -> None:
        key = proxy, request_class
        ready_us = [since for endpoint, since in self.ready_since_us.items() if endpoint in serving]
        if not ready_us:  # no endpoint could serve it
            self._without_endpoint_since_us.pop(key, None)
            return
        without_since_us = self._without_endpoint_since_us.setdefault(key, now_us)
        if now_us - max(without_since_us, *ready_us) > self.max_without_endpoint_us:
            self._add(f"proxy {proxy} has no host for {request_class} though some are ready")

    def _add(self, violation: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(violation)
