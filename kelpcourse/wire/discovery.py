"""Client of discovery, which fetches the complete endpoint list and watches it for changes."""

from __future__ import annotations

from kelpcourse.facade import InvalidReportError
from kelpcourse.wire.discovery_codec import (
    LIST_PATH,
    EndpointListMessage,
    decode_endpoint_list,
    watch_path,
)
from kelpcourse.wire.errors import InvalidMessageError, StreamError
from kelpcourse.wire.fields import parse_json_object
from kelpcourse.wire.http import HttpClient, connect_http
from kelpcourse.wire.loop import Coroutine, Signal, Task, Wait
from kelpcourse.wire.runtime import Backoff, Runtime
from kelpcourse.wire.stream import Address

NO_VERSION = -1
UNEXPECTED_ERROR = "unexpected error"


class Watch:
    """A watch of the endpoint list.

    Attributes:
        address: Address of discovery.
        version: Version that this watch received last; another watch or a fetch may have received a later one.
        task: Task that runs the watch.
    """

    def __init__(self, address: Address) -> None:
        """Initializes a watch that has received nothing."""
        self.address = address
        self.version = NO_VERSION
        self.task: Task | None = None


class DiscoveryClient:
    """Makes the calls that the policy requests and reports the outcome of each call exactly once.

    Where discovery pushes changes, the policy requests no watch; there `keep_watching` keeps one open.
    """

    def __init__(
        self, runtime: Runtime, address: Address, version: int, spread: float = 0.0
    ) -> None:
        """Initializes a client, which makes no call until requested.

        Args:
            runtime: Clock, limits, counters, log, loop and facade.
            address: Address of discovery.
            version: Version of the cached endpoint list; 0 means none.
            spread: Fraction by which retry delays are longer, as in `Backoff`. It is needed because a new configuration
                makes the watches of all controllers reconnect to one address at the same time.
        """
        self._runtime = runtime
        self._spread = spread
        self._address = address
        self._version = version
        self._older_lists = 0  # number of consecutive lists that are older than `_version`
        self._watch: Watch | None = None
        # The watch at the previous address, until the one at the new address has received something.
        self._previous_watch: Watch | None = None
        self._watch_lost = Signal()

    def keep_watching(self) -> Coroutine[None]:
        """Keeps a watch open, and starts a lost one again after a backoff.

        A watch is the only connection over which discovery can push changes. The backoff is reset by a watch that
        lasted longer than its maximum, so that one that is lost right after each list is not retried in a tight loop.
        """
        clock = self._runtime.clock
        stable_us = self._runtime.limits.watch_retry_us
        backoff = Backoff(self._runtime.limits, stable_us, self._spread)
        while True:
            self._watch_lost.clear()
            watch = self._watch or self._start_watch()
            started_us = clock()
            yield Wait(signal=self._watch_lost)
            if watch.version != NO_VERSION and clock() - started_us > stable_us:
                backoff.reset()
            yield Wait(clock() + backoff.next_us())

    def watch(self, enabled: bool) -> None:
        """Restarts the watch, or stops it if not enabled."""
        self._stop(self._watch)
        self._watch = None
        if enabled:
            self._start_watch()
        else:
            self._stop_previous_watch()

    def fetch(self) -> None:
        """Starts a fetch of the complete list."""
        self._runtime.loop.start("fetch", self._run_fetch())

    def reconnect_to(self, address: Address) -> None:
        """Directs calls to a new address.

        A watch continues at the old address until one at the new address has received the changes made since, so that
        the list is not reported as unavailable to the policy in the meantime.
        """
        self._address = address
        if self._watch is None:
            return
        if self._previous_watch is None:
            self._previous_watch = self._watch
        else:
            self._stop(self._watch)
        self._start_watch()

    def _start_watch(self) -> Watch:
        watch = Watch(self._address)
        self._watch = watch
        watch.task = self._runtime.loop.start("watch", self._run_watch(watch))
        return watch

    def _stop(self, watch: Watch | None) -> None:
        if watch is not None and watch.task is not None:
            self._runtime.loop.stop(watch.task)

    def _stop_previous_watch(self) -> None:
        previous = self._previous_watch
        self._previous_watch = None
        self._stop(previous)

    def _run_watch(self, watch: Watch) -> Coroutine[None]:
        limits = self._runtime.limits
        backoff = Backoff(limits, limits.watch_retry_us, self._spread)
        reason = yield from self._watch_until_lost(watch)
        while watch is self._watch and self._previous_watch is not None:
            self._runtime.log.event("watch_retried", reason=reason)
            yield Wait(self._runtime.clock() + backoff.next_us())
            reason = yield from self._watch_until_lost(watch)
        if watch is self._previous_watch:
            self._previous_watch = None
            return
        self._watch = None
        self._report_watch_lost(reason)

    def _watch_until_lost(self, watch: Watch) -> Coroutine[str]:
        """Runs a watch until it ends and returns the reason."""
        try:
            yield from self._follow(watch)
        except (StreamError, InvalidMessageError, InvalidReportError) as error:
            return str(error)
        except Exception:
            # The loss is reported before the error is raised, so that the policy can restart the watch.
            if self._watch is watch:
                self._watch = None
            if self._previous_watch is watch:
                self._previous_watch = None
            self._report_watch_lost(UNEXPECTED_ERROR)
            raise
        return "stream closed by discovery"

    def _run_fetch(self) -> Coroutine[None]:
        try:
            yield from self._fetch_once()
        except (StreamError, InvalidMessageError, InvalidReportError) as error:
            self._report_lost("fetch", str(error))
        except Exception:
            self._report_lost("fetch", UNEXPECTED_ERROR)
            raise

    def _report_watch_lost(self, reason: str) -> None:
        self._watch_lost.set()
        self._report_lost("watch", reason)

    def _report_lost(self, call: str, reason: str) -> None:
        self._runtime.counters.add("discovery_lost")
        self._runtime.log.event(
            "discovery_unavailable", call=call, reason=reason, version=self._version
        )
        self._runtime.facade.report_list_unavailable()

    def _follow(self, watch: Watch) -> Coroutine[None]:
        deadline_us = self._runtime.clock() + self._runtime.limits.list_timeout_us
        path = watch_path(self._version)
        client = yield from self._request(watch.address, path, deadline_us)
        with client:
            has_responded = False
            while True:
                lines = yield from client.read_lines(deadline_us)
                if lines is None:
                    return
                for line in lines:
                    if line:
                        self._receive(watch, line)
                        has_responded = True
                    # An empty line is a heartbeat, but not a response to the call.
                    if has_responded:
                        silence_us = self._runtime.limits.watch_silence_us
                        deadline_us = self._runtime.clock() + silence_us

    def _receive(self, watch: Watch, line: memoryview) -> None:
        fields = parse_json_object(line)
        message = decode_endpoint_list(fields, self._skip_entry)
        self._apply_watch_message(watch, message)
        if watch is self._watch:
            self._stop_previous_watch()

    def _fetch_once(self) -> Coroutine[None]:
        deadline_us = self._runtime.clock() + self._runtime.limits.list_timeout_us
        client = yield from self._request(self._address, LIST_PATH, deadline_us)
        with client:
            body = yield from client.read_body(deadline_us)
            self._apply(decode_endpoint_list(parse_json_object(body), self._skip_entry))

    def _request(self, address: Address, target: str, deadline_us: int) -> Coroutine[HttpClient]:
        """Opens a connection, sends a request and reads the head of its response."""
        self._runtime.counters.add("discovery_calls")
        limits = self._runtime.limits
        connect_deadline_us = self._runtime.clock() + limits.connect_timeout_us
        client = yield from connect_http(address, limits, connect_deadline_us)
        try:
            yield from client.send_request("GET", target, None, self._runtime.send_deadline_us())
            yield from client.expect_ok(deadline_us)
        except BaseException:
            client.close()
            raise
        return client

    def _skip_entry(self, error: InvalidMessageError) -> None:
        self._runtime.reject_message("discovery", error)

    def _apply_watch_message(self, watch: Watch, message: EndpointListMessage) -> None:
        """Applies a message of a watch, unless a fetch or the other watch has received a later version.

        Raises:
            InvalidMessageError: The changes are out of order, so some are missing, or the message is older than the
                known version.
        """
        if message.version < watch.version and not message.complete:
            raise InvalidMessageError(
                f"changes of version {message.version} received after version {watch.version}"
            )
        is_first = watch.version < 0
        watch.version = message.version
        if message.complete or is_first or message.version >= self._version:
            self._apply(message)

    def _apply(self, message: EndpointListMessage) -> None:
        """Reports a list or changes, unless they are older than the known version.

        An older list could mark draining endpoints as ready. After several consecutive older lists, discovery is
        assumed to have restarted with new version numbers, and its complete list is accepted.

        Raises:
            InvalidMessageError: The list is older than the known version.
        """
        self._older_lists = self._older_lists + 1 if message.version < self._version else 0
        if self._older_lists:
            known_version = self._version
            if self._older_lists >= self._runtime.limits.max_stale_lists:
                self._older_lists = 0
                self._version = 0
            if self._version or not message.complete:
                raise InvalidMessageError(
                    f"list of version {message.version} is older than the known version {known_version}"
                )
        self._version = message.version
        self._runtime.counters.add("discovery_lists")
        self._runtime.log.event(
            "endpoints_updated",
            version=message.version,
            complete=message.complete,
            endpoints=len(message.endpoints),
        )
        self._runtime.facade.report_list(message.endpoints, message.version, message.complete)
