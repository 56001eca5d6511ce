"""Discovery: the whole list on request, and a watch that brings changes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from kelpcourse.facade import InvalidReportError
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.wire.fields import BadMessage, address, flag, json_object, number, text, whole
from kelpcourse.wire.http import HttpClient, dial
from kelpcourse.wire.loop import Routine, Task, Wait
from kelpcourse.wire.runtime import Backoff, Runtime
from kelpcourse.wire.stream import Act, Address, Broken

HOSTS = "/discovery/hosts"
TIME_MOST_MS = 1e15  # that the module's clock holds
PHASES = {
    "ready": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.GONE,
}


@dataclass(frozen=True)
class HostsList:
    version: int
    whole: bool
    members: tuple[ListedEndpoint, ...]


def read_list(fields: Mapping[str, object], on_bad: Callable[[BadMessage], None]) -> HostsList:
    """A list without the entries that can't be used: one of them must not hold up news of all the others."""
    entries = fields.get("members")
    if not isinstance(entries, list):
        raise BadMessage("field 'members' is not a list")
    members = []
    for entry in entries:
        try:
            members.append(_member(entry))
        except BadMessage as error:
            on_bad(error)
    return HostsList(whole(fields, "revision"), flag(fields, "complete"), tuple(members))


def _member(entry: object) -> ListedEndpoint:
    if not isinstance(entry, dict):
        raise BadMessage("an entry of 'members' is not an object")
    phase = text(entry, "phase")
    if phase not in PHASES:
        raise BadMessage(f"field 'phase' has no such value: {phase!r:.60}")
    up_since_ms = number(entry, "up_since_ms") if entry.get("up_since_ms") is not None else 0.0
    if up_since_ms >= TIME_MOST_MS:
        raise BadMessage(f"field 'up_since_ms' is no time: {up_since_ms}")
    return ListedEndpoint(
        text(entry, "id"),
        address(text(entry, "host_port"), "host_port"),
        text(entry, "locality"),
        text(entry, "flavor"),
        whole(entry, "cell"),
        PHASES[phase],
        number(entry, "size"),
        up_since_ms,
    )


class Watch:
    """A watch of the list, as long as it is wanted."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.version = (
            -1
        )  # of what it told last: another watch or a fetch may have told more meanwhile
        self.task: Task | None = None


class Discovery:
    """Makes the calls that the module asks for; each is answered to it exactly once."""

    def __init__(self, parts: Runtime, address: Address, version: int, spread: float = 0.0) -> None:
        """`spread`: see Backoff; a new configuration moves the watches of all directors to one address at once."""
        self._parts = parts
        self._spread = spread
        self._address = address
        self._version = version
        self._older = 0  # whole lists in a row that are older than that
        self._watch: Watch | None = None
        self._former: Watch | None = (
            None  # at the address before, until the watch has told anything
        )

    def watch(self, on: bool) -> None:
        """Starts the watch anew or ends it."""
        self._stop(self._watch)
        self._watch = None
        if on:
            self._start()
        else:
            self._end_former()

    def fetch(self) -> None:
        self._parts.loop.start("fetch", self._run_fetch())

    def move(self, address: Address) -> None:
        """Calls go to another address from now on. A watch goes on where it is until one there has told what
        changed meanwhile, so the module learns of no gap that there is not."""
        self._address = address
        if self._watch is None:
            return
        if self._former is None:
            self._former = self._watch
        else:
            self._stop(self._watch)
        self._start()

    def _start(self) -> None:
        self._watch = watch = Watch(self._address)
        watch.task = self._parts.loop.start("watch", self._run_watch(watch))

    def _stop(self, watch: Watch | None) -> None:
        if watch is not None and watch.task is not None:
            self._parts.loop.stop(watch.task)

    def _end_former(self) -> None:
        former, self._former = self._former, None
        self._stop(former)

    def _run_watch(self, watch: Watch) -> Routine:
        backoff = Backoff(self._parts.limits, self._parts.limits.watch_retry_us, self._spread)
        reason = yield from self._until_lost(watch)
        while watch is self._watch and self._former is not None:
            self._parts.log.event("watch_retried", reason=reason)
            yield Wait(self._parts.clock() + backoff.next_us())
            reason = yield from self._until_lost(watch)
        if watch is self._former:
            self._former = None
            return
        self._watch = None
        self._lost("watch", reason)

    def _until_lost(self, watch: Watch) -> Act[str]:
        try:
            yield from self._follow(watch)
        except (Broken, BadMessage, InvalidReportError) as error:
            return str(error)
        except Exception:  # the module must not wait for a watch that is no more
            self._watch = self._watch if self._watch is not watch else None
            self._former = self._former if self._former is not watch else None
            self._lost("watch", "a defect")
            raise
        return "ended"

    def _run_fetch(self) -> Routine:
        try:
            yield from self._fetch_once()
        except (Broken, BadMessage, InvalidReportError) as error:
            self._lost("fetch", str(error))
        except Exception:
            self._lost("fetch", "a defect")
            raise

    def _lost(self, call: str, reason: str) -> None:
        self._parts.counters.add("discovery_lost")
        self._parts.log.event(
            "discovery_unavailable", call=call, reason=reason, version=self._version
        )
        self._parts.facade.report_list_lost()

    def _follow(self, watch: Watch) -> Act[None]:
        until_us = self._parts.clock() + self._parts.limits.list_timeout_us
        target = f"{HOSTS}?stream=1&index={self._version}"
        client = yield from self._ask(watch.address, target, until_us)
        try:
            told = False
            while True:
                lines = yield from client.some_lines(until_us)
                if lines is None:
                    return
                for line in lines:
                    if line:
                        self._hear(watch, read_list(json_object(line), self._bad_entry))
                        told = True
                        if watch is self._watch:
                            self._end_former()
                    if told:  # an empty line is a sign of life, but no answer to the call
                        until_us = self._parts.clock() + self._parts.limits.watch_silence_us
        finally:
            client.close()

    def _fetch_once(self) -> Act[None]:
        until_us = self._parts.clock() + self._parts.limits.list_timeout_us
        client = yield from self._ask(self._address, HOSTS, until_us)
        try:
            body = yield from client.whole_body(until_us)
            self._take(read_list(json_object(body), self._bad_entry))
        finally:
            client.close()

    def _ask(self, address: Address, target: str, until_us: int) -> Act[HttpClient]:
        self._parts.counters.add("discovery_calls")
        connect_us = self._parts.clock() + self._parts.limits.connect_timeout_us
        client = yield from dial(address, self._parts.limits, connect_us)
        try:
            yield from client.request("GET", target, None)
            status = yield from client.status(until_us)
            if status != 200:
                raise Broken(f"answered {status}")
        except BaseException:
            client.close()
            raise
        return client

    def _bad_entry(self, error: BadMessage) -> None:
        self._parts.bad_message("discovery", error)

    def _hear(self, watch: Watch, told: HostsList) -> None:
        """Changes come in order on each watch. What a fetch or the other watch has told already is passed over."""
        if told.version < watch.version and not told.whole:
            raise BadMessage(
                f"changes of version {told.version} after {watch.version}"
            )  # some are missing
        first, watch.version = watch.version < 0, told.version
        if told.whole or first or told.version >= self._version:
            self._take(told)

    def _take(self, told: HostsList) -> None:
        """Who answers with less than is known is behind: hosts that drain would come back by its list. If nothing else
        comes, discovery has started over, and all that it has is asked for."""
        self._older = self._older + 1 if told.version < self._version else 0
        if self._older:
            known = self._version
            if self._older >= self._parts.limits.max_stale_lists:
                self._older = self._version = 0
            if self._version or not told.whole:
                raise BadMessage(f"a list of version {told.version} where {known} is known")
        self._version = told.version
        self._parts.counters.add("discovery_lists")
        self._parts.log.event(
            "endpoints_updated",
            version=told.version,
            complete=told.whole,
            endpoints=len(told.members),
        )
        self._parts.facade.report_list(told.members, told.version, told.whole)
