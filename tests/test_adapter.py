"""Tests of the adapter: batches, replies, restarts and errors of the simulator's protocol."""

from __future__ import annotations

import io
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import pytest

from kelpcourse.fields import InputError
from kelpcourse.policy.actions import Action
from kelpcourse.policy.events import Event, Started
from kelpcourse.simhost.server import Adapter
from tests.simulator_input import START, AdapterHarness, batch

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("stats director_id=3 az=room-a failed=1 elapsed_us=1 wait_time_us=4 host=5", "number"),
        (
            "stats director_id=3 az=room-a number=x failed=1 elapsed_us=1 wait_time_us=4 host=5",
            "number",
        ),
        (
            "stats director_id=3 az=room-a number=-1 failed=1 elapsed_us=1 wait_time_us=4 host=5",
            "number",
        ),
        ("subscribed director_id=3 client_lb=1 az=room-a heft=nan set=1", "heft"),
        ("subscribed director_id=3 client_lb=1 az=room-a heft=1 set=maybe", "set"),
        ("traffic director_id=3 failed=0 cls=other client_lb=1 elapsed_us=1 number=1", "cls"),
        ("echo director_id=3 wait_time_us=9 state_code=Odd host=5", "state_code"),
        ("datagram director_id=3 who=2 payload=6", "payload"),
        ("detached director_id=4 client_lb=1", "director_id"),
        ("members director_id=3 scope=update number=1 roster_id=9", "roster_id"),
        (
            "stats director_id=3 az=room-a number=1 failed=1 elapsed_us=1 wait_time_us=4 host=5 usage=util",
            "usage",
        ),
        ("made_up director_id=3", "made_up"),
        ("detached director_id=3 client_lb", "client_lb"),
        ("detached director_id=3 client_lb=1 client_lb=2", "client_lb"),
    ],
)
def test_invalid_input_is_reported_with_line_and_field_and_ends_the_adapter(
    adapter_harness: AdapterHarness, line: str, field: str
) -> None:
    source = batch(1, *START) + batch(2, line)
    adapter = adapter_harness.adapter(source)
    with pytest.raises(InputError, match=f"'{field}"):
        list(adapter.replies())
    assert adapter.lines.number == len(START) + 2 + 2


def test_invalid_input_is_reported_in_one_line_with_exit_code_2() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "kelpcourse.simhost"],
        input="mark t_us=1\nwhat\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stderr == "simhost: line 2: unknown event 'what'\n"


def test_input_that_ends_inside_a_batch_is_an_error(adapter_harness: AdapterHarness) -> None:
    with pytest.raises(InputError, match="inside a batch"):
        adapter_harness.run_batches("mark t_us=1\n")


def test_an_empty_batch_gets_an_empty_reply(adapter_harness: AdapterHarness) -> None:
    assert adapter_harness.run_batches("mark t_us=1\nyour_turn\n") == ["eor\n"]


def test_an_instance_without_events_is_not_stepped(adapter_harness: AdapterHarness) -> None:
    adapter_harness.run_batches(
        batch(1, *START), batch(2), batch(3, "timeout_fired director_id=3 name=x")
    )
    assert [now for now, _ in adapter_harness.policies[0].steps] == [1, 3]


def test_a_restart_within_a_batch_creates_a_new_policy_and_discards_earlier_events(
    adapter_harness: AdapterHarness,
) -> None:
    discarded = "timeout_fired director_id=3 name=old"
    adapter_harness.run_batches(
        batch(1, *START), batch(2, discarded, "crash_now director_id=3", *START)
    )
    assert len(adapter_harness.policies) == 2
    assert len(adapter_harness.policies[0].steps) == 1
    assert isinstance(adapter_harness.policies[1].steps[0][1][0], Started)
    assert len(adapter_harness.policies[1].steps[0][1]) == 2


def test_an_exception_in_the_policy_is_reported_as_bail_out(
    capsys: pytest.CaptureFixture[str],
) -> None:
    class FailingPolicy:
        def step(self, now_us: int, events: Sequence[Event]) -> list[Action]:
            raise KeyError("no such thing")

    reply = list(Adapter(io.StringIO(batch(1, *START)), lambda _: FailingPolicy()).replies())
    assert reply == ["bail_out director_id=3 words=KeyError: 'no such thing'\neor\n"]
    assert "Traceback" in capsys.readouterr().err
