"""Registry of joined proxies, merged from event streams that all report the same sequence of events."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar


@dataclass(frozen=True)
class Joined:
    """A proxy has joined, or was already joined when a stream's snapshot was taken."""

    proxy: int
    zone: str
    request_rate_per_s: float  # requests per second that the proxy usually receives
    has_no_table: bool  # whether the proxy has not been bound to a table yet


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
EventT = TypeVar("EventT", bound=ProxyEvent | None)

# Heartbeats on synchronised streams after which a stream with a complete snapshot becomes synchronised too.
HEARTBEATS_TO_SYNCHRONISE = 2

# Heartbeats of a stream within which it repeats an event; one that is not closed as silent is fewer behind.
HEARTBEATS_TO_REPEAT = 4


@dataclass
class StreamState:
    """State of one event stream, which reports a snapshot of the joined proxies and then each change.

    Attributes:
        opened_us: Time at which the stream was opened, in microseconds.
        snapshot_deadline_us: Time in microseconds after which the snapshot counts as complete in any case.
        expected: Events that synchronised streams have reported and this stream has not; None marks a heartbeat of this
            stream.
        buffered: Events that this stream has reported since its snapshot and no synchronised stream has.
        joined: Joined proxies as this stream has reported them, by proxy number.
        snapshot_complete: Whether the snapshot has been received completely.
        aligned: Whether the stream's position among the events of the others is known, so that its snapshot contains no
            event in `expected`.
        synchronised: Whether the stream has missed no reported event.
        heartbeats: Heartbeats on synchronised streams while this stream was not synchronised.
    """

    opened_us: int
    snapshot_deadline_us: int
    expected: deque[ProxyEvent | None]
    buffered: deque[ProxyEvent]
    joined: dict[int, Joined] = field(default_factory=dict)
    snapshot_complete: bool = False
    aligned: bool = False
    synchronised: bool = False
    heartbeats: int = 0


class ProxyRegistry:
    """Merges event streams into one sequence in which every event is reported once.

    No event is missed as long as one synchronised stream is open, or the last one stayed open until after the snapshot
    of another stream. During a gap, a proxy may have left and rejoined unnoticed, which ends its bindings. Each proxy
    in the next snapshot is therefore reported as joined again, but not as left, because messages queued for it may
    still reach it.
    """

    def __init__(self, max_ahead: int, overlap_us: int) -> None:
        """Initializes a registry without streams.

        Args:
            max_ahead: Maximum number of events by which one stream may be ahead of another.
            overlap_us: Time in microseconds for which a stream must continue after another stream was opened to have
                reported every event that precedes the other's snapshot.
        """
        self._max_ahead = max_ahead
        self._overlap_us = overlap_us
        self._last_reported_us = 0  # time of the last line of a synchronised stream
        self._joined: set[int] = set()
        self._streams: dict[int, StreamState] = {}

    def __len__(self) -> int:
        """Returns the number of joined proxies."""
        return len(self._joined)

    def stream_opened(self, stream_id: int, now_us: int, snapshot_deadline_us: int) -> None:
        """Adds a stream, which is synchronised immediately if no other stream is."""
        self._streams[stream_id] = StreamState(
            opened_us=now_us,
            snapshot_deadline_us=snapshot_deadline_us,
            expected=deque(maxlen=self._max_ahead),
            buffered=deque(maxlen=self._max_ahead),
            synchronised=not self.synchronised,
        )

    @property
    def synchronised(self) -> bool:
        """Whether any stream is synchronised."""
        return any(stream.synchronised for stream in self._streams.values())

    def any_synchronised(self, stream_ids: Iterable[int]) -> bool:
        """Returns whether one of these streams is synchronised, so that all others could be closed without a gap."""
        return any(
            stream_id in self._streams and self._streams[stream_id].synchronised
            for stream_id in stream_ids
        )

    def receive(self, stream_id: int, event: ProxyEvent | None, now_us: int) -> list[ProxyEvent]:
        """Processes an event of a stream, or a heartbeat (None), and returns the events to be reported."""
        stream = self._streams[stream_id]
        reported: list[ProxyEvent] = []
        past_snapshot = not isinstance(event, Joined) or now_us > stream.snapshot_deadline_us
        if past_snapshot and not stream.snapshot_complete:
            stream.snapshot_complete = True
            if stream.synchronised:
                reported += self._report_missing_as_left(stream)
        if stream.synchronised:
            self._last_reported_us = now_us
        if event is None:
            _drop_unrepeated(stream.expected)
            return reported + self._count_heartbeat(stream)
        _update(stream.joined, event)
        if stream.synchronised:
            if not self._was_reported(stream, event):
                self._expect_from_others(stream, event)
                reported += self._apply(event)
        elif stream.snapshot_complete and not self._was_reported(stream, event):
            stream.buffered.append(event)
        return reported

    def stream_lost(self, stream_id: int) -> list[ProxyEvent]:
        """Removes a stream that has ended and returns the events to be reported.

        If no synchronised stream remains, the oldest of the others becomes synchronised. If the lost stream continued
        until after that one's snapshot, reporting resumes where the lost stream stopped. Otherwise every proxy that is
        joined according to the new stream is reported as joined again.
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
            reported += self._report_missing_as_left(successor)
        return reported

    def _synchronise(self, stream: StreamState) -> list[ProxyEvent]:
        """Marks a stream as synchronised and returns its buffered events, to be reported."""
        buffered = stream.buffered
        if buffered or not stream.aligned:
            stream.expected.clear()  # the others are behind, or it is all in the snapshot
        stream.buffered = deque(maxlen=self._max_ahead)
        stream.synchronised = True
        reported: list[ProxyEvent] = []
        for event in buffered:
            self._expect_from_others(stream, event)
            reported += self._apply(event)
        return reported

    def _was_reported(self, stream: StreamState, event: ProxyEvent) -> bool:
        """Returns whether another stream reported this event first, and removes it from the expected events.

        All streams report the same sequence. Expected events that precede this one are therefore removed too, because
        the stream's snapshot contains them. If this event was not reported yet, all expected events precede it: what
        is left of them would be taken for a later event with the same figures.
        """
        stream.aligned = True
        if event in stream.expected:
            _drop_through(stream.expected, event)
            if self._is_consistent(stream, event):
                return True
        stream.expected.clear()
        return False

    def _is_consistent(self, stream: StreamState, event: ProxyEvent) -> bool:
        """Returns whether the reported state of a proxy can follow from an event and the expected ones after it."""
        if isinstance(event, Applied) or any(
            _is_about(later, event.proxy) for later in stream.expected
        ):
            return True
        return isinstance(event, Joined) == (event.proxy in self._joined)

    def _expect_from_others(self, stream: StreamState, event: ProxyEvent) -> None:
        """Expects an event from every other stream that has not reported it yet."""
        for other in self._others(stream):
            if event in other.buffered:
                _drop_through(other.buffered, event)
            else:
                other.expected.append(event)

    def _count_heartbeat(self, stream: StreamState) -> list[ProxyEvent]:
        """Counts a heartbeat for the other streams and returns the events to be reported.

        After enough heartbeats, this stream has reported every event that precedes the snapshot of another stream,
        which then becomes synchronised.
        """
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

    def _report_missing_as_left(self, stream: StreamState) -> list[ProxyEvent]:
        """Returns events that report as left the joined proxies that are not in a complete snapshot."""
        reported: list[ProxyEvent] = []
        for proxy in sorted(self._joined - set(stream.joined)):
            reported += self._apply(Left(proxy))
        return reported

    def _apply(self, event: ProxyEvent) -> list[ProxyEvent]:
        """Updates the joined proxies and returns the event, to be reported.

        Returns nothing if a proxy leaves that was not joined.
        """
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


def _is_about(event: ProxyEvent | None, proxy: int) -> bool:
    """Returns whether an event reports that this proxy has joined or left."""
    return isinstance(event, Joined | Left) and event.proxy == proxy


def _drop_unrepeated(expected: deque[ProxyEvent | None]) -> None:
    """Marks a heartbeat of the stream and removes the events that it should have repeated long before."""
    expected.append(None)
    if expected.count(None) > HEARTBEATS_TO_REPEAT:
        _drop_through(expected, None)


def _drop_through(events: deque[EventT], last: EventT) -> None:
    """Removes the oldest events up to and including `last`, which must be among them."""
    while events.popleft() != last:
        pass
