"""Joined proxies, merged from several event streams that all report the same sequence of events."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Joined:
    """A proxy has joined, or was joined already when a stream's snapshot was taken."""

    proxy: int
    zone: str
    request_rate_per_s: float  # requests per second that the proxy usually receives
    has_no_table: bool  # it is bound to no table, so its first binding is yet to come


@dataclass(frozen=True)
class Left:
    """A proxy has left, which ends its bindings."""

    proxy: int


@dataclass(frozen=True)
class Applied:
    """A proxy has applied every order up to a checkpoint."""

    proxy: int
    checkpoint_id: int
    lag_ms: float


ProxyEvent = Joined | Left | Applied
HEARTBEATS_TO_SYNCHRONISE = 2  # on a synchronised stream, until one opened beside it is too


@dataclass
class StreamState:
    """What one event stream has reported: a snapshot of the joined proxies, then each change."""

    opened_us: int
    snapshot_deadline_us: int  # the snapshot counts as complete from then on at the latest
    ahead: deque[ProxyEvent]  # reported by synchronised streams, not yet by this one
    buffered: deque[ProxyEvent]  # reported since its snapshot, by no synchronised stream yet
    joined: dict[int, Joined] = field(default_factory=dict)
    snapshot_complete: bool = False
    overlaps: bool = False  # it repeated an event of another: nothing in `ahead` is of its snapshot
    synchronised: bool = False  # it has missed nothing that was reported
    heartbeats: int = 0  # counted on other streams, while this one is not synchronised


class ProxyRegistry:
    """Merges event streams into one sequence in which every event is reported once.

    While one synchronised stream is left, or the last of them went on past the snapshot of another stream, no event is
    missed. After a gap a proxy may have left and come back unseen, which ends its bindings: so each proxy in the next
    snapshot is reported as joined once more, but not as left, as messages queued for it may still reach it.
    """

    def __init__(self, max_ahead: int, overlap_us: int) -> None:
        """Starts without streams.

        Args:
            max_ahead: Events by which one stream may be ahead of another.
            overlap_us: Time by which a stream must outlive another's snapshot to have reported all before it.
        """
        self._max_ahead = max_ahead
        self._overlap_us = overlap_us
        self._last_reported_us = 0  # by a synchronised stream
        self._joined: set[int] = set()
        self._streams: dict[int, StreamState] = {}

    def __len__(self) -> int:
        """Joined proxies."""
        return len(self._joined)

    def stream_opened(self, stream_id: int, now_us: int, snapshot_deadline_us: int) -> None:
        """Adds a stream, which is synchronised from the start if no other is."""
        self._streams[stream_id] = StreamState(
            opened_us=now_us,
            snapshot_deadline_us=snapshot_deadline_us,
            ahead=deque(maxlen=self._max_ahead),
            buffered=deque(maxlen=self._max_ahead),
            synchronised=not self.synchronised,
        )

    @property
    def synchronised(self) -> bool:
        """Whether any stream is synchronised."""
        return any(stream.synchronised for stream in self._streams.values())

    def any_synchronised(self, stream_ids: Iterable[int]) -> bool:
        """Whether one of these streams could do without all others."""
        return any(
            stream_id in self._streams and self._streams[stream_id].synchronised
            for stream_id in stream_ids
        )

    def receive(self, stream_id: int, event: ProxyEvent | None, now_us: int) -> list[ProxyEvent]:
        """Takes an event of a stream, or a heartbeat (None), and returns what is to be reported."""
        stream = self._streams[stream_id]
        reported: list[ProxyEvent] = []
        past_snapshot = not isinstance(event, Joined) or now_us > stream.snapshot_deadline_us
        if past_snapshot and not stream.snapshot_complete:
            stream.snapshot_complete = True
            if stream.synchronised:
                reported += self._leave_missing(stream)
        if stream.synchronised:
            self._last_reported_us = now_us
        if event is None:
            return reported + self._count_heartbeat(stream)
        _update(stream.joined, event)
        if stream.synchronised:
            if not self._reported_before(stream, event):
                self._pass_on(stream, event)
                reported += self._apply(event)
        elif stream.snapshot_complete and not self._reported_before(stream, event):
            stream.buffered.append(event)
        return reported

    def stream_lost(self, stream_id: int) -> list[ProxyEvent]:
        """Removes a stream that has ended and returns what is to be reported.

        If no synchronised stream is left, the oldest of the others takes over: where the lost one stopped, if that one
        went on past the other's snapshot, else with all that its snapshot holds.
        """
        self._streams.pop(stream_id, None)
        if self.synchronised or not self._streams:
            return []
        successor = min(self._streams.values(), key=lambda stream: stream.opened_us)
        without_gap = self._last_reported_us - successor.opened_us >= self._overlap_us
        if not without_gap:
            successor.buffered.clear()
        reported = self._synchronise(successor)
        for event in successor.joined.values():
            if not without_gap or event.proxy not in self._joined:
                reported += self._apply(event)
        if successor.snapshot_complete:
            reported += self._leave_missing(successor)
        return reported

    def _synchronise(self, stream: StreamState) -> list[ProxyEvent]:
        """Lets a stream count as one that misses nothing, and reports what it has buffered."""
        if not stream.overlaps:
            stream.ahead.clear()
        buffered = stream.buffered
        stream.buffered = deque(maxlen=self._max_ahead)
        stream.synchronised = True
        reported: list[ProxyEvent] = []
        for event in buffered:
            self._pass_on(stream, event)
            reported += self._apply(event)
        return reported

    def _reported_before(self, stream: StreamState, event: ProxyEvent) -> bool:
        """Whether others reported this first; what they reported before it is in this stream's snapshot."""
        if event not in stream.ahead:
            return False
        _drop_through(stream.ahead, event)
        stream.overlaps = True
        return True

    def _pass_on(self, stream: StreamState, event: ProxyEvent) -> None:
        """Expects an event from all other streams, unless they have reported it already."""
        for other in self._others(stream):
            if event in other.buffered:
                _drop_through(other.buffered, event)
            else:
                other.ahead.append(event)

    def _count_heartbeat(self, stream: StreamState) -> list[ProxyEvent]:
        """Synchronises streams opened beside this one once it has reported all before their snapshot."""
        reported: list[ProxyEvent] = []
        if not stream.synchronised:
            return reported
        for other in self._others(stream):
            if not other.snapshot_complete or other.synchronised:
                continue
            other.heartbeats += 1
            if other.heartbeats >= HEARTBEATS_TO_SYNCHRONISE:
                reported += self._synchronise(other)
        return reported

    def _others(self, stream: StreamState) -> list[StreamState]:
        return [other for other in self._streams.values() if other is not stream]

    def _leave_missing(self, stream: StreamState) -> list[ProxyEvent]:
        """Reports proxies that a complete snapshot does not hold as left."""
        reported: list[ProxyEvent] = []
        for proxy in sorted(self._joined - set(stream.joined)):
            reported += self._apply(Left(proxy))
        return reported

    def _apply(self, event: ProxyEvent) -> list[ProxyEvent]:
        """Updates the joined proxies; an unknown proxy that leaves is not reported."""
        match event:
            case Joined(proxy=proxy):
                self._joined.add(proxy)
            case Left(proxy=proxy):
                if proxy not in self._joined:
                    return []
                self._joined.discard(proxy)
        return [event]


def _update(joined: dict[int, Joined], event: ProxyEvent) -> None:
    if isinstance(event, Joined):
        joined[event.proxy] = event
    elif isinstance(event, Left):
        joined.pop(event.proxy, None)


def _drop_through(events: deque[ProxyEvent], last: ProxyEvent) -> None:
    """Removes the oldest events up to and including one that is among them."""
    while events.popleft() != last:
        pass
