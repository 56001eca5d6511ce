"""Tests that lost state of a member is detected."""

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
from tests.member_rig import MemberRig


def test_lost_state_is_reported_and_empty_folder_creates_new_member(tmp_path: Path) -> None:
    loop = Loop(lambda: 0, lambda *_: None)

    def open_storage(path: Path) -> MemberStorage:
        return MemberStorage(
            path, "n0", True, loop, Limits(), StorageThread(), lambda _: None, lambda _: None
        )

    rig = MemberRig(tmp_path, 1, False)
    member = rig.start("n0")
    rig.run_until(lambda: member.status().get("role") == "leader")
    member_id = member.member_id
    rig.kill("n0")
    rig.close()
    state = tmp_path / "state-n0"
    file_contents = {path.name: path.read_bytes() for path in state.iterdir()}
    snapshot = max(name for name in file_contents if name.startswith("snapshot"))
    (state / snapshot).write_bytes(file_contents[snapshot][:-3])
    with pytest.raises(StateLostError):
        open_storage(state)
    for path in state.iterdir():
        path.unlink()
    new_storage = open_storage(state)
    assert new_storage.member_id != member_id
    assert new_storage.state == PersistentState(
        0, None, Snapshot(0, 0, Configuration(frozenset({new_storage.member_id})), b"")
    )
    new_storage.close()
    loop.close()
