"""Checks the rules for proxies from announcements, orders and picks that crossed the sockets. No I/O.

The checker does not use the policy's own records. Times are in microseconds on one clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_VIOLATIONS = 20  # Maximum number of violations that are recorded.


@dataclass
class RuleChecker:
    """Checks every pick of a proxy against the rules.

    Attributes:
        drain_grace_us: Time for which an endpoint may be picked after its drain or removal was announced.
        max_without_endpoint_us: Time for which a proxy may have no endpoint while one is ready.
        ready_since_us: Time at which each ready endpoint became ready.
        stopped_since_us: Time at which each draining or removed endpoint was first announced as such.
        withdrawn: Endpoints that are withdrawn, by proxy.
        violations: Descriptions of the violations.
        pick_count: Number of picks that were checked.
        max_late_us: Longest time between the announcement that an endpoint stopped and a pick of it.
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
        """Records that an endpoint was announced as ready."""
        self.stopped_since_us.pop(endpoint, None)
        self.ready_since_us.setdefault(endpoint, now_us)

    def endpoint_stopped(self, endpoint: str, now_us: int) -> None:
        """Records that an endpoint was announced as draining or removed."""
        self.ready_since_us.pop(endpoint, None)
        self.stopped_since_us.setdefault(endpoint, now_us)

    def withdrawal_applied(self, proxy: int, endpoint: str) -> None:
        """Records that a proxy has applied the withdrawal of an endpoint."""
        self.withdrawn.setdefault(proxy, set()).add(endpoint)

    def restoration_applied(self, proxy: int, endpoint: str) -> None:
        """Records that a proxy has applied the restoration of an endpoint."""
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
            proxy: Proxy that picks the endpoint.
            request_class: Request class of the request.
            endpoint: Endpoint that was picked, or None if the proxy has none.
            now_us: Time of the pick.
            serving: Endpoints that serve the request class; None means all.
        """
        self.pick_count += 1
        if endpoint is None:
            ready = self.ready_since_us if serving is None else serving
            self._check_without_endpoint(proxy, request_class, now_us, set(ready))
            return
        self._without_endpoint_since_us.pop((proxy, request_class), None)
        if endpoint in self.withdrawn.get(proxy, ()):
            self._add(f"proxy {proxy} picks {endpoint}, which is withdrawn")
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
        if not ready_us:  # No ready endpoint serves the class.
            self._without_endpoint_since_us.pop(key, None)
            return
        without_since_us = self._without_endpoint_since_us.setdefault(key, now_us)
        if now_us - max(without_since_us, *ready_us) > self.max_without_endpoint_us:
            self._add(f"proxy {proxy} has no endpoint for {request_class} although some are ready")

    def _add(self, violation: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(violation)
