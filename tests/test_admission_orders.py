"""Tests of the admission limits and retry policies that are ordered."""

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


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_a_retry_of_an_attempt_that_may_have_been_executed_is_never_ordered(
    idempotency: Idempotency,
) -> None:
    listed = make_endpoints(6)
    harness = PolicyHarness(
        replace(SETTINGS, classes=(replace(WRITE, idempotency=idempotency),)), listed=listed
    )
    for failed_fraction in (0.0, 0.3, 0.9):
        for _ in range(4):
            harness.run_second(listed, failed={100: failed_fraction}, demand=(20,))
    retry_policies = {a.retry_policy for _, a in harness.log if isinstance(a, SetAdmission)}
    assert retry_policies == {RetryPolicy.IF_NOT_EXECUTED}


def test_a_lower_admission_ratio_does_not_wait_for_the_next_update() -> None:
    """Urgent orders restart the period between table updates: a lower admission ratio must be ordered at once."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for k in range(3):
        harness.send(list_changes([replace(make_endpoints(10)[k], started_us=harness.now_us)]))
        actions = harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
        if any("overload" in log.text for log in actions_of_type(actions, LogMessage)):
            break
    assert min(a.limit for a in actions_of_type(actions, SetAdmission)) < 0.8


def test_admission_limits_are_rates_per_proxy_in_rate_mode() -> None:
    harness = PolicyHarness(
        replace(SETTINGS, admission_mode=AdmissionMode.RATE), listed=make_endpoints(10)
    )
    run_steadily(harness)
    assert min(harness.admission_ratios.values()) >= 1000  # No limit
    for _ in range(3):
        harness.run_second(make_endpoints(10), mean_time_us=500_000, demand=(60, 8))
    assert 5 < harness.admission_ratios[0] < 60  # Each of four proxies is offered 60 per second
    assert harness.admission_ratios[1] >= 1000
