"""Tests of members with TLS connections and storage threads that are killed and restarted."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from kelpcourse.shared.commands import StartDrain
from kelpcourse.shared.errors import (
    RequestRejectedError,
)
from tests.member_rig import MemberRig


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[MemberRig]:
    member_rig = MemberRig(tmp_path, 3, True)
    yield member_rig
    member_rig.close()


def test_cluster_of_one_member_grows_and_distributes_proxy_groups(rig: MemberRig) -> None:
    for name in rig.names:
        rig.start(name)
    rig.add_all_voters()
    rig.run_until(lambda: len(rig.holders()) == 6 and len(set(rig.holders().values())) == 3)
    leader = rig.leader()
    assert leader is not None
    assert leader.status()["voters"] == sorted(m.member_id for m in rig.members.values())
    with pytest.raises(RequestRejectedError, match="is already a voter"):
        leader.add(next(n for n in rig.names if rig.members[n] is not leader))
    follower = next(m for m in rig.members.values() if m is not leader)
    with pytest.raises(RequestRejectedError, match="not the leader"):
        follower.remove("n0")
    follower.submit(StartDrain("h", 5))
    rig.run_until(lambda: all(m.status()["withdrawn"] == ["h"] for m in rig.members.values()))


def test_killed_member_is_replaced_and_restarts_with_its_state(rig: MemberRig) -> None:
    for name in rig.names:
        rig.start(name)
    rig.add_all_voters()
    rig.run_until(lambda: len(rig.holders()) == 6)
    leader = rig.leader()
    assert leader is not None
    killed_name = next(n for n, m in rig.members.items() if m is leader)
    member_id = leader.member_id
    rig.kill(killed_name)
    rig.run_until(lambda: len(rig.holders()) == 6 and rig.leader() is not None)
    assert killed_name not in rig.holders().values()
    restarted = rig.start(killed_name)
    assert restarted.member_id == member_id
    rig.run_until(lambda: len(set(rig.holders().values())) == 3)


def test_member_with_the_certificate_of_another_is_rejected(rig: MemberRig) -> None:
    rig.start("n0")
    rig.start("n1", certificate="n2")
    rig.run_until(
        lambda: any(
            "presented the certificate of" in str(line["reason"])
            or "Hostname mismatch" in str(line["reason"])
            for line in [
                *rig.log.named("peer_connection_closed"),
                *rig.log.named("peer_unreachable"),
            ]
        )
    )
    leader = rig.members["n0"]
    rig.run_until(lambda: leader.status().get("role") == "leader")
    with pytest.raises(RequestRejectedError, match="has not connected"):
        leader.add("n1")
