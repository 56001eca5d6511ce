"""The lab: its checker fails when it should, and the whole of it runs a director on a zone."""

from __future__ import annotations

import random
import socket

import pytest

from kelpcourse.lab import scenario
from kelpcourse.lab.loopback import LISTEN_HOST
from kelpcourse.lab.proxy import Proxy, mean_shares
from kelpcourse.lab.relay_protocol import decode_order
from kelpcourse.lab.rules import RuleChecker
from kelpcourse.lab.terminal_view import summary_lines
from kelpcourse.lab.world import Lab

MS = 1000


def checker() -> RuleChecker:
    made = RuleChecker(drain_grace_us=100 * MS, max_without_endpoint_us=50 * MS)
    made.endpoint_ready("s-1", 0)
    made.endpoint_ready("s-2", 0)
    return made


def test_a_sound_run_breaks_nothing() -> None:
    made = checker()
    made.picked(0, "read", "s-1", 1)
    made.endpoint_stopped("s-1", 10 * MS)
    made.picked(0, "read", "s-1", 110 * MS)
    made.endpoint_ready("s-1", 200 * MS)
    made.picked(0, "read", "s-1", 500 * MS)
    assert (made.violations, made.pick_count, made.max_late_us) == ([], 3, 100 * MS)


def test_each_rule_can_be_broken() -> None:
    """A checker that can't fail proves nothing: each rule is broken once."""
    late, stranger, told, bare = checker(), checker(), checker(), checker()
    late.endpoint_stopped("s-1", 10 * MS)
    late.picked(0, "read", "s-1", 111 * MS)
    stranger.picked(0, "read", "s-9", 1)
    told.withdrawal_applied(0, "s-2")
    told.picked(1, "read", "s-2", 1)
    assert told.violations == []
    told.picked(0, "read", "s-2", 2)
    for now in (0, 50 * MS, 51 * MS):
        bare.picked(0, "read", None, now)
    assert [
        "after it stopped" in late.violations[0],
        "never announced" in stranger.violations[0],
        "told to leave" in told.violations[0],
        "no host for read" in bare.violations[0],
    ] == [True] * 4


def test_a_class_that_nobody_could_serve_breaks_no_rule() -> None:
    made = checker()
    for now in range(0, 500 * MS, 10 * MS):
        made.picked(0, "submit", None, now, serving={"s-7"})
    assert made.violations == []


def test_a_proxy_does_as_its_tables_say() -> None:
    one = Proxy(3, "room-a", ("read", "submit"))
    for order in (
        {"verb": "SET", "cluster": 1, "host": "a", "share": 3.0},
        {"verb": "SET", "cluster": 1, "host": "b", "share": 1.0},
        {"verb": "SET", "cluster": 2, "host": "c", "share": 1.0},
        {"verb": "USE", "sidecar": 3, "cluster": 1},
        {"verb": "USE", "sidecar": 4, "cluster": 2},
        {"verb": "USE", "sidecar": 3, "cluster": 2, "for": ["submit"]},
        {"verb": "LIMIT", "cluster": "*", "gate": 0.5, "again": 1},
    ):
        one.apply(decode_order(order))
    assert mean_shares([one], "read") == {"a": 0.75, "b": 0.25}
    assert (one.weights("submit"), one.admission_ratio("submit")) == ({"c": 1.0}, 0.5)
    one.apply(decode_order({"verb": "OUT", "host": "a"}))
    assert one.pick("read", random.Random(1)) == "b"
    one.apply(decode_order({"verb": "IN", "host": "a"}))
    one.apply(decode_order({"verb": "SET", "cluster": 1, "host": "b", "share": 0}))
    assert one.weights("read") == {"a": 3.0}
    one.apply(decode_order({"verb": "DEL", "cluster": 1}))
    assert one.pick("read", random.Random(1)) is None


def test_a_controller_on_a_zone_withdraws_a_room_and_restores_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Primary, controller, relay and proxies, all over sockets.

    The real controller is a process of its own; what is measured in time is left to the benchmarks,
    so the checker's limits are wide here.
    """
    lines: list[str] = []
    monkeypatch.setattr(Lab.__init__, "__defaults__", (1, 1 << 40, 1 << 40))
    summary = scenario.play(lines.append, proxy_count=4, endpoint_count=4, calm_s=0.3)
    assert summary.passed, summary_lines(summary)
    assert (summary.removed, summary.violations, summary.exit_code) == (["s-0", "s-2"], [], 0)
    assert summary.alarms == [["move-submit"], []]
    assert [line for line in lines if line.startswith("order  OUT")] == [
        "order  OUT s-0",
        "order  OUT s-2",
    ]
    assert summary.pick_count > 0


def test_a_connection_does_not_take_the_port_of_an_address_to_listen_on() -> None:
    """A port found free went to an outgoing connection before its listener came, and a run of the tests failed."""
    with socket.socket() as connection:
        connection.bind(("127.0.0.1", 0))
        with socket.create_server((LISTEN_HOST, connection.getsockname()[1])) as listener:
            assert listener.getsockname()[0] == LISTEN_HOST
