"""Refresh, retry and expire times."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.zones.records import Soa
from kelpcourse.zones.refresh import SECOND_US, RefreshTimer
from tests.zonesamples import LIMITS

SOA = Soa(5, refresh=60, retry=10, expire=600, minimum=30)


def test_a_round_queries_each_primary_and_then_waits_for_the_retry_time() -> None:
    refresh = RefreshTimer(LIMITS, ["a", "b"], 0)
    refresh.set_soa(SOA, 0)
    assert refresh.begin_query(0) == "a"
    assert refresh.query_failed(1)
    assert refresh.begin_query(1) == "b"
    assert not refresh.query_failed(2)
    assert refresh.next_due_us() == 2 + 10 * SECOND_US
    assert refresh.begin_query(3) is None


def test_the_primary_that_answered_last_is_queried_first_and_an_answer_postpones_expiry() -> None:
    refresh = RefreshTimer(LIMITS, ["a", "b"], 0)
    refresh.set_soa(SOA, 0)
    refresh.begin_query(0)
    refresh.query_failed(0)
    refresh.begin_query(0)
    refresh.query_succeeded(7, confirmed=True)
    assert refresh.next_due_us() == 7 + 60 * SECOND_US
    assert refresh.expires_us() == 7 + 600 * SECOND_US
    assert refresh.begin_query(refresh.next_due_us()) == "b"


def test_an_answer_that_does_not_confirm_the_version_does_not_postpone_expiry() -> None:
    refresh = RefreshTimer(LIMITS, ["a"], 0)
    refresh.set_soa(SOA, 0)
    refresh.begin_query(0)
    refresh.query_succeeded(500 * SECOND_US, confirmed=False)
    assert not refresh.is_expired(600 * SECOND_US - 1)
    assert refresh.is_expired(600 * SECOND_US)


def test_a_flood_of_notify_makes_no_flood_of_queries() -> None:
    refresh = RefreshTimer(LIMITS, ["a"], 0)
    refresh.set_soa(SOA, 0)
    asked = 0
    for now in range(0, 10 * SECOND_US, 1000):
        refresh.notify(now)
        if refresh.begin_query(now):
            asked += 1
            refresh.query_succeeded(now, confirmed=True)
    assert asked == 10 * SECOND_US // LIMITS.notify_batching_us


def test_a_notify_during_a_round_is_not_lost() -> None:
    refresh = RefreshTimer(LIMITS, ["a"], 0)
    refresh.set_soa(SOA, 0)
    refresh.begin_query(0)
    refresh.notify(5)
    refresh.query_succeeded(10, confirmed=True)
    assert refresh.next_due_us() == 10 + LIMITS.notify_batching_us


def test_extreme_times_of_an_soa_are_bounded() -> None:
    refresh = RefreshTimer(LIMITS, ["a"], 0)
    refresh.set_soa(replace(SOA, refresh=0, retry=0), 0)
    refresh.begin_query(0)
    refresh.query_succeeded(0, confirmed=True)
    assert refresh.next_due_us() == LIMITS.min_zone_refresh_us
    refresh.begin_query(refresh.next_due_us())
    refresh.query_failed(refresh.next_due_us())
    assert refresh.next_due_us() >= 2 * LIMITS.min_zone_retry_us
    refresh.set_soa(replace(SOA, refresh=1 << 31), 0)
    refresh.begin_query(refresh.next_due_us())
    refresh.query_succeeded(0, confirmed=True)
    assert refresh.next_due_us() == LIMITS.max_zone_refresh_us
