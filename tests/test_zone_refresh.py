"""Tests of the refresh, retry and expire timers."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.zones.records import Soa
from kelpcourse.zones.refresh import SECOND_US, RefreshTimer
from tests.zonesamples import LIMITS

SOA = Soa(5, refresh=60, retry=10, expire=600, minimum=30)


def test_round_queries_each_primary_once_then_waits_for_the_retry_time() -> None:
    timer = RefreshTimer(LIMITS, ["a", "b"], 0)
    timer.set_soa(SOA, 0)
    assert timer.begin_query(0) == "a"
    assert timer.query_failed(1)
    assert timer.begin_query(1) == "b"
    assert not timer.query_failed(2)
    assert timer.next_due_us() == 2 + 10 * SECOND_US
    assert timer.begin_query(3) is None


def test_last_responding_primary_is_queried_first_and_its_response_postpones_expiry() -> None:
    timer = RefreshTimer(LIMITS, ["a", "b"], 0)
    timer.set_soa(SOA, 0)
    timer.begin_query(0)
    timer.query_failed(0)
    timer.begin_query(0)
    timer.query_succeeded(7, confirmed=True)
    assert timer.next_due_us() == 7 + 60 * SECOND_US
    assert timer.expires_us() == 7 + 600 * SECOND_US
    assert timer.begin_query(timer.next_due_us()) == "b"


def test_response_without_confirmation_does_not_postpone_expiry() -> None:
    timer = RefreshTimer(LIMITS, ["a"], 0)
    timer.set_soa(SOA, 0)
    timer.begin_query(0)
    timer.query_succeeded(500 * SECOND_US, confirmed=False)
    assert not timer.is_expired(600 * SECOND_US - 1)
    assert timer.is_expired(600 * SECOND_US)


def test_flood_of_notify_messages_causes_no_flood_of_queries() -> None:
    timer = RefreshTimer(LIMITS, ["a"], 0)
    timer.set_soa(SOA, 0)
    query_count = 0
    for now in range(0, 10 * SECOND_US, 1000):
        timer.notify(now)
        if timer.begin_query(now):
            query_count += 1
            timer.query_succeeded(now, confirmed=True)
    assert query_count == 10 * SECOND_US // LIMITS.notify_batching_us


def test_notify_during_a_round_starts_another_round() -> None:
    timer = RefreshTimer(LIMITS, ["a"], 0)
    timer.set_soa(SOA, 0)
    timer.begin_query(0)
    timer.notify(5)
    timer.query_succeeded(10, confirmed=True)
    assert timer.next_due_us() == 10 + LIMITS.notify_batching_us


def test_extreme_soa_times_are_limited() -> None:
    timer = RefreshTimer(LIMITS, ["a"], 0)
    timer.set_soa(replace(SOA, refresh=0, retry=0), 0)
    timer.begin_query(0)
    timer.query_succeeded(0, confirmed=True)
    assert timer.next_due_us() == LIMITS.min_zone_refresh_us
    timer.begin_query(timer.next_due_us())
    timer.query_failed(timer.next_due_us())
    assert timer.next_due_us() >= 2 * LIMITS.min_zone_retry_us
    timer.set_soa(replace(SOA, refresh=1 << 31), 0)
    timer.begin_query(timer.next_due_us())
    timer.query_succeeded(0, confirmed=True)
    assert timer.next_due_us() == LIMITS.max_zone_refresh_us
