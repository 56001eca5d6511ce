"""The lab: its checker fails when it should, and the whole of it runs a director on a zone."""

from __future__ import annotations

import random
import socket

import pytest

from kelpcourse.lab import story
from kelpcourse.lab.forwarder import Forwarder, shares
from kelpcourse.lab.rules import Checker
from kelpcourse.lab.view import summary_lines
from kelpcourse.lab.world import LISTEN_HOST, Lab

MS = 1000


def checker() -> Checker:
    made = Checker(grace_us=100 * MS, bare_us=50 * MS)
    made.announced("s-1", 0)
    made.announced("s-2", 0)
    return made


def test_a_sound_run_breaks_nothing() -> None:
    made = checker()
    made.picked(0, "read", "s-1", 1)
    made.stopped("s-1", 10 * MS)
    made.picked(0, "read", "s-1", 110 * MS)
    made.announced("s-1", 200 * MS)
    made.picked(0, "read", "s-1", 500 * MS)
    assert (made.breaks, made.picks, made.worst_us) == ([], 3, 100 * MS)


def test_each_rule_can_be_broken() -> None:
    """A checker that can't fail proves nothing: each rule is broken once."""
    late, stranger, told, bare = checker(), checker(), checker(), checker()
    late.stopped("s-1", 10 * MS)
    late.picked(0, "read", "s-1", 111 * MS)
    stranger.picked(0, "read", "s-9", 1)
    told.applied(0, "s-2", True)
    told.picked(1, "read", "s-2", 1)
    assert told.breaks == []
    told.picked(0, "read", "s-2", 2)
    for now in (0, 50 * MS, 51 * MS):
        bare.picked(0, "read", None, now)
    assert [
        "after it stopped" in late.breaks[0],
        "never announced" in stranger.breaks[0],
        "told to leave" in told.breaks[0],
        "no host for read" in bare.breaks[0],
    ] == [True] * 4


def test_a_class_that_nobody_could_serve_breaks_no_rule() -> None:
    made = checker()
    for now in range(0, 500 * MS, 10 * MS):
        made.picked(0, "submit", None, now, able={"s-7"})
    assert made.breaks == []


def test_a_forwarder_does_as_its_tables_say() -> None:
    one = Forwarder(3, "room-a", ("read", "submit"))
    for order in (
        {"verb": "SET", "cluster": 1, "host": "a", "share": 3.0},
        {"verb": "SET", "cluster": 1, "host": "b", "share": 1.0},
        {"verb": "SET", "cluster": 2, "host": "c", "share": 1.0},
        {"verb": "USE", "sidecar": 3, "cluster": 1},
        {"verb": "USE", "sidecar": 4, "cluster": 2},
        {"verb": "USE", "sidecar": 3, "cluster": 2, "for": ["submit"]},
        {"verb": "LIMIT", "cluster": "*", "gate": 0.5, "again": 1},
    ):
        one.apply(order)
    assert shares([one], "read") == {"a": 0.75, "b": 0.25}
    assert (one.lines("submit"), one.gate("submit")) == ({"c": 1.0}, 0.5)
    one.apply({"verb": "OUT", "host": "a"})
    assert one.pick("read", random.Random(1)) == "b"
    one.apply({"verb": "IN", "host": "a"})
    one.apply({"verb": "SET", "cluster": 1, "host": "b", "share": 0})
    assert one.lines("read") == {"a": 3.0}
    one.apply({"verb": "DEL", "cluster": 1})
    assert one.pick("read", random.Random(1)) is None


def test_a_director_on_a_zone_takes_a_room_out_and_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Primary, director, relay and forwarders, all over sockets.

    The real director is a process of its own; what is measured in time is left to the benchmarks,
    so the checker's limits are wide here.
    """
    lines: list[str] = []
    monkeypatch.setattr(Lab.__init__, "__defaults__", (1, 1 << 40, 1 << 40))
    summary = story.play(lines.append, forwarders=4, hosts=4, calm_s=0.3)
    assert summary.good, summary_lines(summary)
    assert (summary.removed, summary.breaks, summary.exit_code) == (["s-0", "s-2"], [], 0)
    assert summary.alarms == [["move-submit"], []]
    assert [line for line in lines if line.startswith("order  OUT")] == [
        "order  OUT s-0",
        "order  OUT s-2",
    ]
    assert summary.picks > 0


def test_a_connection_does_not_take_the_port_of_an_address_to_listen_on() -> None:
    """A port found free went to an outgoing connection before its listener came, and a run of the tests failed."""
    with socket.socket() as connection:
        connection.bind(("127.0.0.1", 0))
        with socket.create_server((LISTEN_HOST, connection.getsockname()[1])) as listener:
            assert listener.getsockname()[0] == LISTEN_HOST
