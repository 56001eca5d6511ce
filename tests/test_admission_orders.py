"""Admission limits and retry policies that are ordered."""

from __future__ import annotations

from dataclasses import replace

import pytest

from kelpcourse.policy.actions import (
    LogMessage,
    SetAdmission,
)
from kelpcourse.policy.settings import AdmissionMode, Idempotency, RetryPolicy
from tests.fleet import (
    SETTINGS,
    WRITE,
    Day,
    changes,
    hosts,
    only,
    steady,
)


@pytest.mark.parametrize("effect", list(Idempotency))
def test_a_retry_of_an_attempt_that_may_have_been_executed_is_never_ordered(
    effect: Idempotency,
) -> None:
    listed = hosts(6)
    day = Day(replace(SETTINGS, classes=(replace(WRITE, idempotency=effect),)), listed=listed)
    for share in (0.0, 0.3, 0.9):
        for _ in range(4):
            day.second(listed, failed={100: share}, demand=(20,))
    ways = {a.retry_policy for _, a in day.log if isinstance(a, SetAdmission)}
    assert ways == {RetryPolicy.IF_NOT_EXECUTED}


def test_a_fall_of_an_admission_ratio_does_not_wait_for_the_next_update() -> None:
    """Urgent orders restart the pace of lines: a level must go out in the step that judged it."""
    day = Day(listed=hosts(10))
    steady(day)
    for k in range(3):
        day.send(changes([replace(hosts(10)[k], started_us=day.now)]))
        actions = day.second(hosts(10), time_us=600_000, demand=(80, 20))
        if any("overload" in log.text for log in only(actions, LogMessage)):
            break
    assert min(a.limit for a in only(actions, SetAdmission)) < 0.8


def test_admission_limits_are_rates_of_each_proxy_where_proxies_limit_rates() -> None:
    day = Day(replace(SETTINGS, admission_mode=AdmissionMode.RATE), listed=hosts(10))
    steady(day)
    assert min(day.levels.values()) >= 1000  # no limit
    for _ in range(3):
        day.second(hosts(10), time_us=500_000, demand=(60, 8))
    assert 5 < day.levels[0] < 60  # each of four proxies meets 60 a second
    assert day.levels[1] >= 1000
