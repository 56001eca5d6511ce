"""ProxyRegistry: events are reported once, without a gap while a stream is synchronised, and reconciled after one."""

from __future__ import annotations

from kelpcourse.memory.proxies import Applied, Joined, Left, ProxyEvent, ProxyRegistry

OVERLAP_US = 300
NO_DEADLINE_US = 10**12


def joined(proxy: int) -> Joined:
    return Joined(proxy, "east", 2.0, True)


def open_stream(proxies: ProxyRegistry, stream: int, *snapshot: ProxyEvent) -> list[ProxyEvent]:
    """Opens a stream, receives its snapshot and a heartbeat, and returns the reported events."""
    proxies.stream_opened(stream, 0, NO_DEADLINE_US)
    return [
        reported for event in (*snapshot, None) for reported in proxies.receive(stream, event, 0)
    ]


def test_events_of_one_stream_are_reported_in_order_of_arrival() -> None:
    proxies = ProxyRegistry(100, OVERLAP_US)
    assert open_stream(proxies, 0, joined(1)) == [joined(1)]
    assert proxies.receive(0, Applied(1, 5, 1.0), 0) == [Applied(1, 5, 1.0)]
    assert proxies.receive(0, Left(1), 0) == [Left(1)]
    assert proxies.receive(0, Left(1), 0) == []
    assert len(proxies) == 0


def test_after_a_gap_every_proxy_in_the_snapshot_is_reported_as_joined_again() -> None:
    proxies = ProxyRegistry(100, OVERLAP_US)
    open_stream(proxies, 0, joined(1), joined(2), joined(3))
    assert proxies.stream_lost(0) == []
    assert open_stream(proxies, 0, joined(2), joined(4)) == [joined(2), joined(4), Left(1), Left(3)]
    assert len(proxies) == 2


def test_a_snapshot_counts_as_complete_after_its_deadline() -> None:
    proxies = ProxyRegistry(100, OVERLAP_US)
    open_stream(proxies, 0, joined(1))
    proxies.stream_lost(0)
    proxies.stream_opened(0, 0, 100)
    assert proxies.receive(0, joined(2), 50) == [joined(2)]
    assert proxies.receive(0, joined(3), 101) == [Left(1), joined(3)]


def test_an_event_of_two_streams_is_reported_once_when_it_is_first_received() -> None:
    proxies = synchronised_registry(joined(1))
    lines: list[tuple[int, ProxyEvent]] = [
        (0, Left(1)),
        (0, joined(1)),
        (1, Left(1)),
        (1, joined(1)),
        (1, Left(1)),
        (0, Left(1)),
    ]
    reported = [proxies.receive(stream, event, 0) for stream, event in lines]
    assert reported == [[Left(1)], [joined(1)], [], [], [Left(1)], []]


def synchronised_registry(*snapshot: ProxyEvent) -> ProxyRegistry:
    proxies = ProxyRegistry(100, OVERLAP_US)
    open_stream(proxies, 0, *snapshot)
    open_stream(proxies, 1, *snapshot)
    proxies.receive(0, None, 0)
    proxies.receive(0, None, 0)
    return proxies


def test_losing_a_stream_leaves_no_gap_while_another_is_synchronised() -> None:
    proxies = synchronised_registry(joined(1))
    assert proxies.stream_lost(0) == []
    assert proxies.synchronised
    assert proxies.receive(1, Left(1), 0) == [Left(1)]
    assert open_stream(proxies, 0) == []


def test_an_unsynchronised_stream_reports_its_snapshot_after_a_gap() -> None:
    proxies = ProxyRegistry(100, OVERLAP_US)
    open_stream(proxies, 0, joined(1), joined(2))
    assert open_stream(proxies, 1, joined(2), joined(3)) == []
    assert proxies.receive(1, joined(4), 0) == []
    assert proxies.stream_lost(0) == [joined(2), joined(3), joined(4), Left(1)]
    assert proxies.receive(1, Left(4), 0) == [Left(4)]


def registry_with_overlapping_streams(until_us: int) -> ProxyRegistry:
    """Opens two streams at one address and later a third at another; the first two continue until the given time."""
    proxies = synchronised_registry(joined(1), joined(2))
    proxies.stream_opened(2, 1000, NO_DEADLINE_US)
    for event in (joined(1), joined(2), None):
        assert proxies.receive(2, event, 1000) == []
    for stream in (0, 1):
        assert proxies.receive(stream, Applied(1, 7, 1.0), until_us) == (
            [] if stream else [Applied(1, 7, 1.0)]
        )
    return proxies


def test_a_stream_that_outlives_the_snapshot_of_another_leaves_no_gap() -> None:
    """When a relay changes its address, both streams to the old address end before two heartbeats are received."""
    proxies = registry_with_overlapping_streams(1000 + OVERLAP_US)
    assert proxies.receive(2, Applied(1, 7, 1.0), 1400) == []
    assert proxies.receive(2, Left(2), 1400) == []
    assert proxies.stream_lost(0) == []
    assert proxies.stream_lost(1) == [Left(2)]
    assert proxies.any_synchronised([2])
    assert proxies.receive(2, joined(2), 1500) == [joined(2)]


def test_a_proxy_that_rejoins_after_the_old_streams_went_silent_is_reported() -> None:
    proxies = registry_with_overlapping_streams(1000 + OVERLAP_US)
    for event in (Applied(1, 7, 1.0), Left(2), joined(2)):
        assert proxies.receive(2, event, 1400) == []
    proxies.stream_lost(0)
    assert proxies.stream_lost(1) == [Left(2), joined(2)]


def test_streams_silent_since_before_a_snapshot_leave_a_gap() -> None:
    proxies = registry_with_overlapping_streams(1000 + OVERLAP_US - 1)
    proxies.stream_lost(0)
    assert proxies.stream_lost(1) == [joined(1), joined(2)]


def test_buffered_events_are_reported_once_their_stream_is_synchronised() -> None:
    proxies = synchronised_registry(joined(1))
    open_stream(proxies, 2, joined(1))
    assert proxies.receive(0, None, 0) == []
    assert proxies.receive(2, Left(1), 0) == []
    assert proxies.receive(0, None, 0) == [Left(1)]
    assert [proxies.receive(stream, Left(1), 0) for stream in (0, 1)] == [[], []]


def test_a_snapshot_cut_short_is_completed_by_another_stream() -> None:
    proxies = ProxyRegistry(100, OVERLAP_US)
    open_stream(proxies, 0, joined(1))
    proxies.stream_lost(0)
    proxies.stream_opened(0, 0, NO_DEADLINE_US)
    proxies.stream_opened(1, 0, NO_DEADLINE_US)
    assert proxies.receive(1, joined(2), 0) == []
    assert proxies.stream_lost(0) == [joined(2)]
    assert proxies.receive(1, None, 0) == [Left(1)]


def churn(length: int) -> list[ProxyEvent]:
    """Returns a sequence in which five proxies join and leave, with acknowledgements between."""
    joined_proxies: set[int] = set()
    sequence: list[ProxyEvent] = []
    for checkpoint_id in range(length):
        proxy = checkpoint_id * checkpoint_id % 5
        if checkpoint_id % 3 == 0:
            sequence.append(Applied(proxy, checkpoint_id, 1.0))
            continue
        sequence.append(Left(proxy) if proxy in joined_proxies else joined(proxy))
        joined_proxies ^= {proxy}
    return sequence


def test_any_interleaving_of_two_streams_reports_the_same_as_one() -> None:
    sequence = churn(60)
    for pattern in range(1, 255):  # its bits select the stream that receives the next event
        proxies = synchronised_registry()
        positions = [0, 0]
        reported: list[ProxyEvent] = []
        for step in range(16 * len(sequence)):
            stream = pattern >> step % 8 & 1
            if positions[stream] < len(sequence):
                reported += proxies.receive(stream, sequence[positions[stream]], 0)
                positions[stream] += 1
        assert positions == [len(sequence)] * 2
        assert reported == sequence


def test_the_memory_of_a_lagging_stream_is_bounded() -> None:
    proxies = synchronised_registry()
    for checkpoint_id in range(1000):
        proxies.receive(0, Applied(1, checkpoint_id, 1.0), 0)
    assert proxies.receive(1, Applied(1, 999, 1.0), 0) == []
    assert proxies.receive(1, Applied(1, 5, 1.0), 0) == [Applied(1, 5, 1.0)]
