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
    PolicyHarness,
    actions_of_type,
    list_changes,
    make_endpoints,
    run_steadily,
)


@pytest.mark.parametrize("effect", list(Idempotency))
def test_a_retry_of_an_attempt_that_may_have_been_executed_is_never_ordered(
    effect: Idempotency,
) -> None:
    listed = make_endpoints(6)
    harness = PolicyHarness(
        replace(SETTINGS, classes=(replace(WRITE, idempotency=effect),)), listed=listed
    )
    for share in (0.0, 0.3, 0.9):
        for _ in range(4):
            harness.run_second(listed, failed={100: share}, demand=(20,))
    ways = {a.retry_policy for _, a in harness.log if isinstance(a, SetAdmission)}
    assert ways == {RetryPolicy.IF_NOT_EXECUTED}


def test_a_fall_of_an_admission_ratio_does_not_wait_for_the_next_update() -> None:
    """Urgent orders restart the pace of entries: an admission ratio must go out in the step that judged it."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for k in range(3):
        harness.send(list_changes([replace(make_endpoints(10)[k], started_us=harness.now_us)]))
        actions = harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
        if any("overload" in log.text for log in actions_of_type(actions, LogMessage)):
            break
    assert min(a.limit for a in actions_of_type(actions, SetAdmission)) < 0.8


def test_admission_limits_are_rates_of_each_proxy_where_proxies_limit_rates() -> None:
    harness = PolicyHarness(
        replace(SETTINGS, admission_mode=AdmissionMode.RATE), listed=make_endpoints(10)
    )
    run_steadily(harness)
    assert min(harness.admission_ratios.values()) >= 1000  # no limit
    for _ in range(3):
        harness.run_second(make_endpoints(10), mean_time_us=500_000, demand=(60, 8))
    assert 5 < harness.admission_ratios[0] < 60  # each of four proxies meets 60 a second
    assert harness.admission_ratios[1] >= 1000
