"""Tests of the adapter: actions of the policy are encoded as lines of the simulator's protocol."""

from __future__ import annotations

import io
import os
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import pytest

from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    CheckHealth,
    Checkpoint,
    ClearTable,
    FetchEndpoints,
    LogMessage,
    SendToPeer,
    SetAdmission,
    SetTimer,
    SetWeight,
    WatchEndpoints,
    WithdrawEndpoint,
)
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.settings import RetryPolicy
from kelpcourse.simhost.actions import write_action
from kelpcourse.simhost.server import Adapter
from tests.simulator_input import LIST, OPEN, batch

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (SetTimer("tick", 99), "notify_me director_id=3 name=tick instant_us=99"),
        (SetWeight(117, 5, 0.75), "upsert director_id=3 route_table=117 host=5 heft=0.75"),
        (SetWeight(117, 5, 0.0), "upsert director_id=3 route_table=117 host=5 heft=0"),
        (ClearTable(2), "empty director_id=3 route_table=2"),
        (
            BindProxy(41, 117, (0, 2)),
            "point director_id=3 client_lb=41 route_table=117 classes=5",
        ),
        (
            SetAdmission(117, (1,), 0.75, RetryPolicy.IF_NOT_EXECUTED),
            "throttle director_id=3 classes=2 on_failure=1 quota=0.75 route_table=117",
        ),
        (
            SetAdmission(None, (), 1.0, RetryPolicy.NEVER),
            "throttle director_id=3 classes=0 on_failure=0 quota=1 route_table=65535",
        ),
        (WithdrawEndpoint(5), "bench director_id=3 set=1 host=5"),
        (Checkpoint(8, False), "checkpoint director_id=3 number=8 set=0"),
        (WatchEndpoints(True), "listen director_id=3 set=1"),
        (FetchEndpoints(), "reload director_id=3"),
        (CheckHealth(5), "ask_load director_id=3 host=5"),
        (SendToPeer(None, b"hi 7"), "notify director_id=3 addressee=all payload=68692037"),
        (SendToPeer(2, b""), "notify director_id=3 addressee=2 payload=-"),
        (LogMessage("two\nlines {x}"), "emit director_id=3 words=two lines {x}"),
    ],
)
def test_every_action_is_encoded(action: Action, line: str) -> None:
    assert write_action(3, action) == line


def sample_batches(instances: Sequence[int]) -> str:
    """Returns input of 29 s for some instances: starts, joins, reports with failures and a drain."""

    def for_each_instance(text: str) -> list[str]:
        return [text.replace("director_id=3", f"director_id={i}") for i in instances]

    batches = batch(
        1_000_000,
        *LIST,
        *(
            line
            for i in instances
            for line in (
                OPEN.replace("director_id=3", f"director_id={i}"),
                f"members director_id={i} scope=restored number=1 roster_id=0",
            )
        ),
    )
    batches += batch(
        1_000_002,
        *for_each_instance("subscribed director_id=3 client_lb=1 az=room-a heft=6 set=1"),
        *for_each_instance("subscribed director_id=3 client_lb=2 az=room-b heft=6 set=0"),
    )
    for k in range(2, 30):
        lines = []
        for number in (51530247, 747639282):
            lines += for_each_instance(
                f"stats director_id=3 az=room-a number={20 + k} failed={k % 7} elapsed_us=2000000"
                f" wait_time_us={200000 + 40000 * k} host={number}"
            )
        lines += for_each_instance(
            f"traffic director_id=3 failed=0 cls=board-read client_lb=1 elapsed_us=2000000"
            f" number={30 * k}"
        )
        lines += for_each_instance("timeout_fired director_id=3 name=tick")
        if k == 12:
            lines += [
                "sheet roster_id=1 members=1",
                "item heft=1 unit_group=0 sku=large mode=DRAINING az=room-a host=51530247",
                *for_each_instance("members director_id=3 scope=update number=2 roster_id=1"),
            ]
        batches += batch(1_000_000 * k, *lines)
    return batches


def actions_of(instances: Sequence[int], hash_seed: str) -> dict[int, list[str]]:
    completed = subprocess.run(
        [sys.executable, "-m", "kelpcourse.simhost"],
        input=sample_batches(instances),
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )
    actions_by_instance: dict[int, list[str]] = {i: [] for i in instances}
    for line in completed.stdout.splitlines():
        if line != "eor":
            number = next(int(p[12:]) for p in line.split(" ") if p.startswith("director_id="))
            actions_by_instance[number].append(line)
    return actions_by_instance


def test_actions_do_not_depend_on_the_hash_seed_or_on_other_hosted_instances() -> None:
    together = actions_of((1, 2, 3), "0")
    assert min(len(lines) for lines in together.values()) > 40
    assert actions_of((1, 2, 3), "12345") == together
    for number in (1, 2, 3):
        assert actions_of((number,), "7")[number] == together[number]


def test_the_adapter_hosts_the_routing_policy() -> None:
    replies = list(Adapter(io.StringIO(sample_batches((3,))), RoutingPolicy).replies())
    text = "".join(replies)
    for word in ("point", "upsert", "throttle", "bench", "checkpoint", "listen", "notify_me"):
        assert f"{word} director_id=3" in text
