"""Adapter: lines of the simulator reach the policy as events, its actions become lines."""

from __future__ import annotations

import io
import os
import subprocess
import sys
import tomllib
from collections.abc import Sequence
from pathlib import Path

import pytest

from kelpcourse.fields import InputError
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
from kelpcourse.policy.events import (
    DemandReport,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointReport,
    EndpointStatus,
    Event,
    HealthCheckCompleted,
    HealthCheckStatus,
    OrdersAcknowledged,
    PeerMessage,
    ProxyJoined,
    ProxyLeft,
    SliceDemand,
    SliceLeased,
    SliceWeight,
    Started,
    TimerFired,
)
from kelpcourse.policy.settings import AdmissionMode, Idempotency, RetryPolicy, Settings
from kelpcourse.simhost.actions import write_action
from kelpcourse.simhost.server import Adapter

ROOT = Path(__file__).parent.parent
CONFIG = (
    "az=room-a bounds.connect_timeout_us=250000 bounds.cpu_us_per_s=400000 bounds.peers=true"
    " bounds.probing=true discovery=on_request family=control family_info.admission=fraction"
    " family_info.blackhole_us=7200000 family_info.by_zone=false family_info.class_writes=false,true"
    " family_info.egress_per_s=3000.0 family_info.head=6.0 family_info.messages_most=12"
    " family_info.messages_over_us=10000000 family_info.one_owner=false family_info.partitions_n=0"
    " family_info.pending_max=3000.0 family_info.period_us=2000000 family_info.propagation_us=356000"
    " family_info.proxy_count=4 family_info.transit_max_us=890000 family_info.usual_how=1"
    " family_info.zone_bound=false,false invariants.ask_within_us=10000000 invariants.cold_from=0.17"
    " invariants.cold_us=14000000 invariants.fall_us=2000000 invariants.full_may_have_run=true"
    " invariants.overload_factor=3.0 invariants.stop_sending_within_us=3400000 lanes.count=2"
    " lanes.0.aim_us=750000 lanes.0.effect=read_like lanes.0.group=all lanes.0.hard_limit_us=2000000"
    " lanes.0.late_worth=0.2 lanes.0.name=board-read lanes.0.window_us=5000000 lanes.0.worth=1.0"
    " lanes.1.aim_us=800000 lanes.1.effect=non_idempotent lanes.1.group=all"
    " lanes.1.hard_limit_us=2000000 lanes.1.name=move-submit lanes.1.only_zones=room-a"
    " lanes.1.window_us=5000000 lanes.1.worth=3.0 me=0 siblings=2 stats.how=on_probe"
    " stats.names=inflight tick_us=2000 weights=off zones=room-a,room-b something.new=x"
)
OPEN = f"open_instance director_id=3 nonce64=1167071214265485 {CONFIG}"
LIST = [
    "sheet roster_id=0 members=2",
    "item heft=1 unit_group=0 sku=large mode=SERVING az=room-a host=51530247",
    "item heft=1.5 unit_group=0 started_at_us=6100000 sku=large mode=SERVING az=room-b host=747639282",
]
START = [OPEN, *LIST, "members director_id=3 scope=restored number=41 roster_id=0"]


def batch(now: int, *lines: str) -> str:
    return "\n".join([f"mark t_us={now}", *lines, "your_turn"]) + "\n"


class Recorder:
    """Stands in for the policy: keeps the events, and answers as it is told to."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.seen: list[tuple[int, list[Event]]] = []
        made.append(self)

    def step(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        self.seen.append((now_us, list(events)))
        return list(answers)


made: list[Recorder] = []
answers: list[Action] = []


def play(*batches: str) -> list[str]:
    made.clear()
    return list(Adapter(io.StringIO("".join(batches)), Recorder).replies())


def events_of(*lines: str) -> list[Event]:
    play(batch(1, *START), batch(2, *lines))
    return made[0].seen[1][1]


def test_settings_are_translated_and_unknown_keys_disregarded() -> None:
    play(batch(8412250, *START))
    settings = made[0].settings
    assert settings.zones == ("room-a", "room-b")
    assert settings.discovery_is_polled
    assert settings.discovery_poll_deadline_us == 10_000_000
    assert settings.max_messages_per_proxy == 12
    assert settings.load_reports_on_health_check
    assert not settings.load_reports_inline
    assert [c.name for c in settings.classes] == ["board-read", "move-submit"]
    assert settings.classes[1].allowed_zones == frozenset({"room-a"})
    assert settings.classes[1].idempotency is Idempotency.NOT_IDEMPOTENT
    assert settings.classes[1].is_write
    assert settings.admission_mode is AdmissionMode.RATIO
    assert made[0].seen[0][0] == 8412250


def test_start_and_list_reach_the_policy_in_order() -> None:
    play(batch(1, *START))
    started, listed = made[0].seen[0][1]
    assert started == Started(1167071214265485)
    assert isinstance(listed, EndpointList)
    assert listed.kind is EndpointListKind.RESTORED
    assert listed.endpoints[0] == Endpoint(
        51530247, "room-a", "large", 0, 1.0, EndpointStatus.READY, 0
    )
    assert listed.endpoints[1].started_us == 6100000


@pytest.mark.parametrize(
    ("line", "event"),
    [
        ("timeout_fired director_id=3 name=sweep", TimerFired("sweep")),
        (
            "subscribed director_id=3 client_lb=41 az=room-a heft=6.5 set=1",
            ProxyJoined(41, "room-a", 6.5, True),
        ),
        ("detached director_id=3 client_lb=41", ProxyLeft(41)),
        (
            "acked director_id=3 client_lb=41 number=7 wait_time_us=300",
            OrdersAcknowledged(41, 7, 300),
        ),
        (
            "stats director_id=3 az=room-a number=14 failed=1 elapsed_us=1000000 wait_time_us=48250"
            " host=51530247 usage=inflight:7,util:0.5",
            EndpointReport(
                51530247, "room-a", 14, 1, 1_000_000, 48250, (("inflight", 7.0), ("util", 0.5))
            ),
        ),
        (
            "stats director_id=3 az=room-a number=0 failed=0 elapsed_us=1 wait_time_us=0 host=1",
            EndpointReport(1, "room-a", 0, 0, 1, 0, ()),
        ),
        (
            "traffic director_id=3 failed=2 cls=move-submit client_lb=41 elapsed_us=2000000 number=9",
            DemandReport(41, 1, 9, 2, 2_000_000),
        ),
        (
            "slice_load director_id=3 cls=board-read route_table=5 failed=0 elapsed_us=9 number=4",
            SliceDemand(5, 0, 4, 0, 9),
        ),
        (
            "echo director_id=3 wait_time_us=9 state_code=QueueFull host=51530247",
            HealthCheckCompleted(51530247, HealthCheckStatus.FULL, 9, ()),
        ),
        ("datagram director_id=3 who=2 payload=68692037", PeerMessage(2, b"hi 7")),
        ("datagram director_id=3 who=2 payload=-", PeerMessage(2, b"")),
        ("leased director_id=3 route_table=5 set=1", SliceLeased(5, True)),
        (
            "in_store director_id=3 route_table=5 host=51530247 heft=0.5",
            SliceWeight(5, 51530247, 0.5),
        ),
        (
            "members director_id=3 scope=unavailable number=0 roster_id=0",
            EndpointList(EndpointListKind.UNAVAILABLE, 0, ()),
        ),
    ],
)
def test_every_event_is_translated(line: str, event: Event) -> None:
    assert events_of(line) == [event]


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
def test_every_action_is_translated(action: Action, line: str) -> None:
    assert write_action(3, action) == line


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
def test_bad_input_names_line_and_field_and_ends_the_adapter(line: str, field: str) -> None:
    source = io.StringIO(batch(1, *START) + batch(2, line))
    adapter = Adapter(source, Recorder)
    with pytest.raises(InputError, match=f"'{field}"):
        list(adapter.replies())
    assert adapter.lines.number == len(START) + 2 + 2


def test_bad_input_is_one_message_and_exit_code_2() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "kelpcourse.simhost"],
        input="mark t_us=1\nwhat\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr == "simhost: line 2: unknown event 'what'\n"


def test_input_that_ends_inside_a_batch_is_an_error() -> None:
    with pytest.raises(InputError, match="inside a batch"):
        play("mark t_us=1\n")


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert play("mark t_us=1\nyour_turn\n") == ["eor\n"]


def test_an_instance_without_an_event_does_not_act() -> None:
    play(batch(1, *START), batch(2), batch(3, "timeout_fired director_id=3 name=x"))
    assert [now for now, _ in made[0].seen] == [1, 3]


def test_a_restart_in_the_same_batch_starts_over() -> None:
    old = "timeout_fired director_id=3 name=old"
    play(batch(1, *START), batch(2, old, "crash_now director_id=3", *START))
    assert len(made) == 2
    assert len(made[0].seen) == 1
    assert isinstance(made[1].seen[0][1][0], Started)
    assert len(made[1].seen[0][1]) == 2


def test_a_list_number_used_again_in_one_batch_is_resolved_in_order() -> None:
    seen = events_of(
        *LIST,
        "members director_id=3 scope=replace number=42 roster_id=0",
        "sheet roster_id=0 members=0",
        "members director_id=3 scope=replace number=43 roster_id=0",
    )
    assert [len(e.endpoints) for e in seen if isinstance(e, EndpointList)] == [2, 0]


def test_an_exception_in_the_policy_becomes_bail_out(capsys: pytest.CaptureFixture[str]) -> None:
    class Broken:
        def step(self, now_us: int, events: Sequence[Event]) -> list[Action]:
            raise KeyError("no such thing")

    reply = list(Adapter(io.StringIO(batch(1, *START)), lambda _: Broken()).replies())
    assert reply == ["bail_out director_id=3 words=KeyError: 'no such thing'\neor\n"]
    assert "Traceback" in capsys.readouterr().err


def day_lines(instances: Sequence[int]) -> str:
    """A short day for some instances: starts, joins, reports with failures, a drain and a return."""

    def each(text: str) -> list[str]:
        return [text.replace("director_id=3", f"director_id={i}") for i in instances]

    out = batch(
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
    out += batch(
        1_000_002,
        *each("subscribed director_id=3 client_lb=1 az=room-a heft=6 set=1"),
        *each("subscribed director_id=3 client_lb=2 az=room-b heft=6 set=0"),
    )
    for k in range(2, 30):
        lines = []
        for number in (51530247, 747639282):
            lines += each(
                f"stats director_id=3 az=room-a number={20 + k} failed={k % 7} elapsed_us=2000000"
                f" wait_time_us={200000 + 40000 * k} host={number}"
            )
        lines += each(
            f"traffic director_id=3 failed=0 cls=board-read client_lb=1 elapsed_us=2000000"
            f" number={30 * k}"
        )
        lines += each("timeout_fired director_id=3 name=tick")
        if k == 12:
            lines += [
                "sheet roster_id=1 members=1",
                "item heft=1 unit_group=0 sku=large mode=DRAINING az=room-a host=51530247",
                *each("members director_id=3 scope=update number=2 roster_id=1"),
            ]
        out += batch(1_000_000 * k, *lines)
    return out


def actions_of(instances: Sequence[int], hash_seed: str) -> dict[int, list[str]]:
    done = subprocess.run(
        [sys.executable, "-m", "kelpcourse.simhost"],
        input=day_lines(instances),
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )
    found: dict[int, list[str]] = {i: [] for i in instances}
    for line in done.stdout.splitlines():
        if line != "eor":
            number = next(int(p[12:]) for p in line.split(" ") if p.startswith("director_id="))
            found[number].append(line)
    return found


def test_the_same_events_give_the_same_actions_under_any_hash_seed_and_spread() -> None:
    together = actions_of((1, 2, 3), "0")
    assert min(len(lines) for lines in together.values()) > 40
    assert actions_of((1, 2, 3), "12345") == together
    for number in (1, 2, 3):
        assert actions_of((number,), "7")[number] == together[number]


def test_the_adapter_hosts_the_routing_policy() -> None:
    replies = list(Adapter(io.StringIO(day_lines((3,))), RoutingPolicy).replies())
    text = "".join(replies)
    for word in ("point", "upsert", "throttle", "bench", "checkpoint", "listen", "notify_me"):
        assert f"{word} director_id=3" in text


def test_the_deploy_file_names_what_is_there() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert all((ROOT / path).is_file() for path in deploy["policy"])
    assert all((ROOT / path).exists() for path in deploy["node"])
    assert deploy["sim"].endswith("-m kelpcourse.simhost")
    assert deploy["run"].endswith("-m kelpcourse")


def test_what_runs_is_pinned_alike_for_operators_and_developers() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    lines = (ROOT / "requirements.txt").read_text(encoding="utf-8").splitlines()
    pinned = [line for line in lines if line and not line.startswith("#")]
    assert sorted(project["dependencies"]) == sorted(pinned)
    assert all("==" in line for line in pinned)
