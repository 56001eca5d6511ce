"""A member's storage: what it lost is noticed."""

from __future__ import annotations

from pathlib import Path

import pytest

from kelpcourse.limits import Limits
from kelpcourse.shared.errors import (
    StateLostError,
)
from kelpcourse.shared.raft.messages import (
    Configuration,
    Snapshot,
)
from kelpcourse.shared.raft.persistent import (
    PersistentState,
)
from kelpcourse.shared.storage import MemberStorage
from kelpcourse.wire.loop import Loop
from kelpcourse.wire.storage import StorageThread
from tests.memberrig import Rig


def test_lost_state_is_reported_and_an_empty_folder_is_another_member(tmp_path: Path) -> None:
    loop = Loop(lambda: 0, lambda *_: None)

    def made(path: Path) -> MemberStorage:
        return MemberStorage(
            path, "n0", True, loop, Limits(), StorageThread(), lambda _: None, lambda _: None
        )

    rig = Rig(tmp_path, 1, False)
    first = rig.start("n0")
    rig.run_until(lambda: first.status().get("role") == "leader")
    me = first.member_id
    rig.kill("n0")
    rig.close()
    state = tmp_path / "state-n0"
    kept = {path.name: path.read_bytes() for path in state.iterdir()}
    snapshot = max(name for name in kept if name.startswith("snapshot"))
    (state / snapshot).write_bytes(kept[snapshot][:-3])
    with pytest.raises(StateLostError):
        made(state)
    for path in state.iterdir():
        path.unlink()
    fresh = made(state)
    assert fresh.member_id != me
    assert fresh.state == PersistentState(
        0, None, Snapshot(0, 0, Configuration(frozenset({fresh.member_id})), b"")
    )
    fresh.close()
    loop.close()
