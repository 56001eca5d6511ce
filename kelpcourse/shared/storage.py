"""A member's persistent state on disk. A member halts after the first failed write.

After a failed write it is unknown which changes are durable, so the member could contradict what it has acknowledged.
Once it has halted, its leases expire and another member takes over; a restart continues with what the disk contains.
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
    """The persistent state of one member, in a folder of its own.

    Attributes:
        warnings: Problems that were found when the folder was opened.
        member_id: Name of the member and token of the folder.
    """

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
            path: Path of the folder.
            name: Name of the controller in the settings.
            bootstrap: Whether an empty folder starts a new cluster with this member alone.
            loop: Loop that runs the writer.
            limits: Limits of the journal.
            runner: Runner for operations that block on the disk.
            on_written: Function that is called with the number of the last write that is durable.
            on_failed: Function that is called with the reason when the first write fails.

        Raises:
            StateLostError: The folder lacks state that the member has acknowledged.
            FolderInUseError: Another process uses the folder.
            OSError: The folder can't be read or written.
        """
        journal = Journal(Folder(path))
        recovered = journal.open()
        self.warnings: list[RecoveryWarning] = recovered.warnings
        token_path = path / TOKEN_FILE
        try:
            _check_complete(recovered, path, name, token_path)
        except StateLostError:
            journal.close()
            raise
        self.member_id = _member_id(token_path, name)
        self._state = self._recover(recovered, bootstrap)
        journal.ensure_generation(recovered, self._encoded_state())
        self._on_written = on_written
        self._on_failed = on_failed
        self._halted = False
        self._writer: DurableWriter[StateWrite] = DurableWriter(
            loop,
            limits,
            journal,
            recovered,
            runner,
            self._encoded_state,
            self._on_settled,
            self._on_job_failed,
        )

    def _recover(self, recovered: Recovered, bootstrap: bool) -> PersistentState:
        try:
            if recovered.snapshot:
                start = decode_state(recovered.snapshot)
            else:
                voters = frozenset({self.member_id}) if bootstrap else frozenset[MemberId]()
                start = initial_state(Configuration(voters))
            return replay(start, [record.payload for record in recovered.records])
        except msgspec.DecodeError as error:
            raise StateLostError(f"an entry can't be read: {error}") from error

    @property
    def state(self) -> PersistentState:
        """The durable state."""
        return self._state

    @property
    def is_ready(self) -> bool:
        """Whether writes are accepted."""
        return not self._writer.broken

    def write(self, writes: Sequence[StateWrite]) -> None:
        """Queues writes; `on_written` is called once they are durable."""
        for write in writes:
            if not self._halted and not self._writer.stage(encode_write(write), write):
                self._halt("a write was rejected")

    def run(self) -> Coroutine[None]:
        """Runs the writer, indefinitely."""
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
        """Waits for the running write and releases the folder."""
        self._writer.close()


def _check_complete(recovered: Recovered, path: Path, name: str, token_path: Path) -> None:
    """Checks that no state is lost that the member has acknowledged.

    Raises:
        StateLostError: The folder has lost state or is damaged.
    """
    alarming = [warning for warning in recovered.warnings if warning.alarming]
    is_empty = recovered.snapshot is None
    if is_empty and (token_path.exists() or alarming):
        raise StateLostError(
            f"{path} has lost state of {name}; remove the folder and add the member again"
        )
    if alarming:
        raise StateLostError(f"{path} is damaged: {'; '.join(r.problem for r in alarming)}")


def _member_id(token_path: Path, name: str) -> MemberId:
    """Returns the name with the folder's token, which is created if needed: an empty folder makes a new member."""
    if not token_path.exists():
        temporary = token_path.with_name(f"{TOKEN_FILE}.tmp")
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        with open(os.open(temporary, flags, 0o600), "w") as file:
            file.write(secrets.token_hex(TOKEN_BYTES))
            file.flush()
            os.fsync(file.fileno())
        os.rename(temporary, token_path)
    return f"{name}@{token_path.read_text()}"
