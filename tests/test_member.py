"""Members as they run: on sockets with TLS, with disks in threads, killed and restarted."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from kelpcourse.shared.commands import StartDrain
from kelpcourse.shared.errors import (
    RequestRejectedError,
)
from tests.memberrig import Rig


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    made = Rig(tmp_path, 3, True)
    yield made
    made.close()


def test_a_cluster_starts_with_one_member_grows_and_shares_its_groups(rig: Rig) -> None:
    for name in rig.names:
        rig.start(name)
    rig.add_all_voters()
    rig.run_until(lambda: len(rig.holders()) == 6 and len(set(rig.holders().values())) == 3)
    leader = rig.leader()
    assert leader is not None
    assert leader.status()["voters"] == sorted(m.member_id for m in rig.members.values())
    with pytest.raises(RequestRejectedError, match="is a voter already"):
        leader.add(next(n for n in rig.names if rig.members[n] is not leader))
    follower = next(m for m in rig.members.values() if m is not leader)
    with pytest.raises(RequestRejectedError, match="not the leader"):
        follower.remove("n0")
    follower.submit(StartDrain("h", 5))
    rig.run_until(lambda: all(m.status()["withdrawn"] == ["h"] for m in rig.members.values()))


def test_a_killed_member_is_replaced_and_returns_with_its_state(rig: Rig) -> None:
    for name in rig.names:
        rig.start(name)
    rig.add_all_voters()
    rig.run_until(lambda: len(rig.holders()) == 6)
    leader = rig.leader()
    assert leader is not None
    victim = next(n for n, m in rig.members.items() if m is leader)
    me = leader.member_id
    rig.kill(victim)
    rig.run_until(lambda: len(rig.holders()) == 6 and rig.leader() is not None)
    assert victim not in rig.holders().values()
    again = rig.start(victim)
    assert again.member_id == me
    rig.run_until(lambda: len(set(rig.holders().values())) == 3)


def test_a_member_with_a_wrong_certificate_is_rejected(rig: Rig) -> None:
    rig.start("n0")
    rig.start("n1", certificate="n2")
    rig.run_until(
        lambda: any(
            "with the certificate of" in str(line["reason"])
            or "Hostname mismatch" in str(line["reason"])
            for line in [
                *rig.log.named("peer_connection_closed"),
                *rig.log.named("peer_unreachable"),
            ]
        )
    )
    leader = rig.members["n0"]
    rig.run_until(lambda: leader.status().get("role") == "leader")
    with pytest.raises(RequestRejectedError, match="has not said Hello"):
        leader.add("n1")
