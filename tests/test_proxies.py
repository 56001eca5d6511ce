"""News over several streams: each told once, no gap while one in step is left, reconciled after one."""

from __future__ import annotations

from kelpcourse.memory.proxies import Applied, Joined, Left, News, Proxies

COVER = 300
FAR = 10**12


def joined(proxy: int) -> Joined:
    return Joined(proxy, "east", 2.0, True)


def opened(proxies: Proxies, stream: int, *snapshot: News) -> list[News]:
    """A stream opens: its snapshot, then a sign of life."""
    proxies.opened(stream, 0, FAR)
    return [change for news in (*snapshot, None) for change in proxies.told(stream, news, 0)]


def test_news_of_one_stream_is_told_as_it_comes() -> None:
    proxies = Proxies(100, COVER)
    assert opened(proxies, 0, joined(1)) == [joined(1)]
    assert proxies.told(0, Applied(1, 5, 1.0), 0) == [Applied(1, 5, 1.0)]
    assert proxies.told(0, Left(1), 0) == [Left(1)]
    assert proxies.told(0, Left(1), 0) == []
    assert len(proxies) == 0


def test_after_a_gap_whoever_stands_in_the_snapshot_has_joined_once_more() -> None:
    proxies = Proxies(100, COVER)
    opened(proxies, 0, joined(1), joined(2), joined(3))
    assert proxies.lost(0) == []
    assert opened(proxies, 0, joined(2), joined(4)) == [joined(2), joined(4), Left(1), Left(3)]
    assert len(proxies) == 2


def test_a_snapshot_counts_as_whole_after_a_time() -> None:
    proxies = Proxies(100, COVER)
    opened(proxies, 0, joined(1))
    proxies.lost(0)
    proxies.opened(0, 0, 100)
    assert proxies.told(0, joined(2), 50) == [joined(2)]
    assert proxies.told(0, joined(3), 101) == [Left(1), joined(3)]


def test_what_both_streams_tell_is_news_once_whichever_is_first() -> None:
    proxies = in_step(joined(1))
    lines: list[tuple[int, News]] = [
        (0, Left(1)),
        (0, joined(1)),
        (1, Left(1)),
        (1, joined(1)),
        (1, Left(1)),
        (0, Left(1)),
    ]
    told = [proxies.told(stream, news, 0) for stream, news in lines]
    assert told == [[Left(1)], [joined(1)], [], [], [Left(1)], []]


def in_step(*snapshot: News) -> Proxies:
    proxies = Proxies(100, COVER)
    opened(proxies, 0, *snapshot)
    opened(proxies, 1, *snapshot)
    proxies.told(0, None, 0)
    proxies.told(0, None, 0)
    return proxies


def test_a_stream_lost_beside_one_in_step_leaves_no_gap() -> None:
    proxies = in_step(joined(1))
    assert proxies.lost(0) == []
    assert proxies.steady
    assert proxies.told(1, Left(1), 0) == [Left(1)]
    assert opened(proxies, 0) == []


def test_a_stream_not_yet_in_step_stands_in_with_its_view_after_a_gap() -> None:
    proxies = Proxies(100, COVER)
    opened(proxies, 0, joined(1), joined(2))
    assert opened(proxies, 1, joined(2), joined(3)) == []
    assert proxies.told(1, joined(4), 0) == []
    assert proxies.lost(0) == [joined(2), joined(3), joined(4), Left(1)]
    assert proxies.told(1, Left(4), 0) == [Left(4)]


def beside(until_us: int) -> Proxies:
    """Two streams at an address, and one at another that opened later; the two told on until a time."""
    proxies = in_step(joined(1), joined(2))
    proxies.opened(2, 1000, FAR)
    for news in (joined(1), joined(2), None):
        assert proxies.told(2, news, 1000) == []
    for stream in (0, 1):
        assert proxies.told(stream, Applied(1, 7, 1.0), until_us) == (
            [] if stream else [Applied(1, 7, 1.0)]
        )
    return proxies


def test_what_told_on_past_a_snapshot_leaves_no_gap_behind_it() -> None:
    """As when a relay moves: both streams to its old address end before two signs of life have come."""
    proxies = beside(1000 + COVER)
    assert proxies.told(2, Applied(1, 7, 1.0), 1400) == []
    assert proxies.told(2, Left(2), 1400) == []
    assert proxies.lost(0) == []
    assert proxies.lost(1) == [Left(2)]
    assert proxies.in_step([2])
    assert proxies.told(2, joined(2), 1500) == [joined(2)]


def test_a_proxy_back_again_after_the_last_word_of_the_old_streams_is_told() -> None:
    proxies = beside(1000 + COVER)
    for news in (Applied(1, 7, 1.0), Left(2), joined(2)):
        assert proxies.told(2, news, 1400) == []
    proxies.lost(0)
    assert proxies.lost(1) == [Left(2), joined(2)]


def test_streams_silent_since_before_a_snapshot_leave_a_gap() -> None:
    proxies = beside(1000 + COVER - 1)
    proxies.lost(0)
    assert proxies.lost(1) == [joined(1), joined(2)]


def test_what_one_alone_has_told_is_news_once_it_is_in_step() -> None:
    proxies = in_step(joined(1))
    opened(proxies, 2, joined(1))
    assert proxies.told(0, None, 0) == []
    assert proxies.told(2, Left(1), 0) == []
    assert proxies.told(0, None, 0) == [Left(1)]
    assert [proxies.told(stream, Left(1), 0) for stream in (0, 1)] == [[], []]


def test_a_snapshot_cut_short_is_finished_by_another_stream() -> None:
    proxies = Proxies(100, COVER)
    opened(proxies, 0, joined(1))
    proxies.lost(0)
    proxies.opened(0, 0, FAR)
    proxies.opened(1, 0, FAR)
    assert proxies.told(1, joined(2), 0) == []
    assert proxies.lost(0) == [joined(2)]
    assert proxies.told(1, None, 0) == [Left(1)]


def churn(length: int) -> list[News]:
    """Five proxies that come and go in turn, with answers between."""
    there: set[int] = set()
    sequence: list[News] = []
    for stamp in range(length):
        proxy = stamp * stamp % 5
        if stamp % 3 == 0:
            sequence.append(Applied(proxy, stamp, 1.0))
            continue
        sequence.append(Left(proxy) if proxy in there else joined(proxy))
        there ^= {proxy}
    return sequence


def test_any_interleaving_of_two_streams_tells_the_same_as_one() -> None:
    sequence = churn(60)
    for pattern in range(1, 255):  # its bits say which stream goes on next
        proxies, at, told = in_step(), [0, 0], list[News]()
        for turn in range(16 * len(sequence)):
            stream = pattern >> turn % 8 & 1
            if at[stream] < len(sequence):
                told += proxies.told(stream, sequence[at[stream]], 0)
                at[stream] += 1
        assert at == [len(sequence)] * 2
        assert told == sequence


def test_a_stream_that_stays_behind_costs_bounded_memory() -> None:
    proxies = in_step()
    for stamp in range(1000):
        proxies.told(0, Applied(1, stamp, 1.0), 0)
    assert proxies.told(1, Applied(1, 999, 1.0), 0) == []
    assert proxies.told(1, Applied(1, 5, 1.0), 0) == [Applied(1, 5, 1.0)]
