"""A member's persistent state on disk. One failure ends the member's part in the cluster.

A member whose write failed does not know what it has promised and kept. It halts, its leases expire, and another
member takes over; a restart reads what the disk holds.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from kelpcourse.limits import Limits
from kelpcourse.shared.errors import StateLostError
from kelpcourse.shared.raft.messages import Configuration, MemberId
from kelpcourse.shared.raft.persistent import (
    PersistentState,
    StateWrite,
    apply_write,
    decode_state,
    encode_state,
    encode_write,
    initial_state,
    replay,
)
from kelpcourse.store.commit import Settled
from kelpcourse.store.folder import Folder
from kelpcourse.store.journal import Journal
from kelpcourse.store.recovery import Recovered, RecoveryWarning
from kelpcourse.wire.loop import Coroutine, Loop
from kelpcourse.wire.storage import DurableWriter, JobRunner

TOKEN_BYTES = 6
TOKEN_FILE = "member"


class MemberStorage:
    """The persistent state of one member, in a folder of its own."""

    def __init__(
        self,
        path: Path,
        name: str,
        bootstrap: bool,
        loop: Loop,
        limits: Limits,
        runner: JobRunner,
        on_written: Callable[[int], None],
        on_failed: Callable[[str], None],
    ) -> None:
        """Opens the folder, or creates it.

        Args:
            path: The folder.
            name: The controller's name in the settings.
            bootstrap: Whether an empty folder begins a new cluster with this member alone.
            loop: Runs the writer.
            limits: Of the journal.
            runner: Runs calls that block on the disk.
            on_written: Called with the number of the last write that is durable.
            on_failed: Called with the reason once a write has failed.

        Raises:
            StateLostError: The folder does not hold all that was promised.
            InUse: Another process holds the folder.
            OSError: The folder can't be read or written.
        """
        journal = Journal(Folder(path))
        found = journal.open()
        self.warnings: list[RecoveryWarning] = found.warnings
        token_path = path / TOKEN_FILE
        try:
            _check_complete(found, path, name, token_path)
        except StateLostError:
            journal.close()
            raise
        self.member_id = _member_id(token_path, name)
        self._state = self._recover(found, bootstrap)
        journal.ensure_generation(found, self._encoded_state())
        self._on_written = on_written
        self._on_failed = on_failed
        self._halted = False
        self._writer: DurableWriter[StateWrite] = DurableWriter(
            loop,
            limits,
            journal,
            found,
            runner,
            self._encoded_state,
            self._on_settled,
            self._on_job_failed,
        )

    def _recover(self, found: Recovered, bootstrap: bool) -> PersistentState:
        try:
            if found.snapshot:
                start = decode_state(found.snapshot)
            else:
                voters = frozenset({self.member_id}) if bootstrap else frozenset[MemberId]()
                start = initial_state(Configuration(voters))
            return replay(start, [record.payload for record in found.records])
        except msgspec.DecodeError as error:
            raise StateLostError(f"an entry can't be read: {error}") from error

    @property
    def state(self) -> PersistentState:
        """What is durable."""
        return self._state

    @property
    def is_ready(self) -> bool:
        """Whether writes are accepted."""
        return not self._writer.broken

    def write(self, writes: Sequence[StateWrite]) -> None:
        """Starts to make writes durable; `on_written` is called later."""
        for write in writes:
            if not self._halted and not self._writer.stage(encode_write(write), write):
                self._halt("a write was rejected")

    def run(self) -> Coroutine[None]:
        """The writer's coroutine."""
        yield from self._writer.run()

    def _encoded_state(self) -> bytes:
        return encode_state(self._state)

    def _on_settled(self, settled: Settled[StateWrite]) -> None:
        if settled.undone:
            self._halt("a write failed")
        for write in settled.durable:
            self._state = apply_write(self._state, write)
        if settled.durable and not self._halted:
            self._on_written(settled.durable[-1].number)

    def _on_job_failed(self, reason: str, broken: bool) -> None:
        if broken:
            self._halt(reason)

    def _halt(self, reason: str) -> None:
        if not self._halted:
            self._halted = True
            self._on_failed(reason)

    def close(self) -> None:
        """Waits for the write under way, and releases the folder."""
        self._writer.close()


def _check_complete(found: Recovered, path: Path, name: str, token_path: Path) -> None:
    """Checks that nothing of what the member promised is lost. Raises StateLostError."""
    alarming = [warning for warning in found.warnings if warning.alarming]
    is_empty = found.snapshot is None
    if is_empty and (token_path.exists() or alarming):
        raise StateLostError(
            f"{path} has lost what {name} promised; remove the folder and add the member again"
        )
    if alarming:
        raise StateLostError(f"{path} is damaged: {'; '.join(r.problem for r in alarming)}")


def _member_id(token_path: Path, name: str) -> MemberId:
    """The name and a token that this folder keeps: with an empty folder it is another member."""
    if not token_path.exists():
        temporary = token_path.with_name(f"{TOKEN_FILE}.tmp")
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        with open(os.open(temporary, flags, 0o600), "w") as file:
            file.write(secrets.token_hex(TOKEN_BYTES))
            file.flush()
            os.fsync(file.fileno())
        os.rename(temporary, token_path)
    return f"{name}@{token_path.read_text()}"
