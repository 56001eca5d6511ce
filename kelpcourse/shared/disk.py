"""A controller's disk: what it promises is durable before it is told so. One failure ends its part in the fleet.

A controller whose write failed does not know what it has promised and kept; going on would be lying. It halts, its
leases run out, and another takes over; a restart reads what the disk holds.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable
from pathlib import Path

import msgspec

from kelpcourse.limits import Limits
from kelpcourse.shared.messages import Config, Stored, Write
from kelpcourse.shared.recovery import (
    applied,
    decode_stored,
    encode,
    encode_stored,
    nothing,
    replay,
)
from kelpcourse.store.commit import Settled
from kelpcourse.store.folder import Folder
from kelpcourse.store.journal import Journal
from kelpcourse.store.recovery import Remark
from kelpcourse.wire.loop import Coroutine, Loop
from kelpcourse.wire.storage import DurableWriter, JobRunner

TOKEN_BYTES = 6


class Forgotten(Exception):
    """The disk does not hold what this member has promised: it has to join anew, with a fresh folder."""


class Disk:
    """Raises InUse, OSError or Forgotten at the start."""

    def __init__(
        self,
        path: Path,
        name: str,
        begins: bool,
        loop: Loop,
        limits: Limits,
        runner: JobRunner,
        written: Callable[[int], None],
        failed: Callable[[str], None],
    ) -> None:
        journal = Journal(Folder(path))
        found = journal.open()
        self.remarks: list[Remark] = found.remarks
        token = path / "member"
        fresh = found.snapshot is None
        if fresh and (token.exists() or any(remark.alarming for remark in found.remarks)):
            journal.close()
            raise Forgotten(
                f"{path} has lost what {name} promised; remove the folder and add the member anew"
            )
        if any(remark.alarming for remark in found.remarks):
            journal.close()
            raise Forgotten(
                f"{path} is damaged: {'; '.join(r.what for r in found.remarks if r.alarming)}"
            )
        self.member = _member(token, name)
        self._stored = self._recover(found.snapshot, [r.payload for r in found.records], begins)
        journal.begin(found, self._snapshot())
        self._journal_failed = failed
        self._written = written
        self._halted = False
        self._writer: DurableWriter[Write] = DurableWriter(
            loop, limits, journal, found, runner, self._snapshot, self._settled, self._job_failed
        )

    def _recover(self, snapshot: bytes | None, payloads: list[bytes], begins: bool) -> Stored:
        try:
            start = (
                decode_stored(snapshot)
                if snapshot
                else nothing(Config(frozenset({self.member}) if begins else frozenset()))
            )
            return replay(start, payloads)
        except msgspec.DecodeError as error:
            raise Forgotten(f"an entry can't be read: {error}") from None

    @property
    def stored(self) -> Stored:
        """What is durable."""
        return self._stored

    @property
    def ready(self) -> bool:
        return not self._writer.broken

    def write(self, writes: list[Write]) -> None:
        for write in writes:
            if not self._halted and not self._writer.stage(encode(write), write):
                self._halt("a write was turned away")

    def run(self) -> Coroutine[None]:
        yield from self._writer.run()

    def _snapshot(self) -> bytes:
        return encode_stored(self._stored)

    def _settled(self, settled: Settled[Write]) -> None:
        if settled.undone:
            self._halt("a write failed")
        for write in settled.durable:
            self._stored = applied(self._stored, write)
        if settled.durable and not self._halted:
            self._written(settled.durable[-1].number)

    def _job_failed(self, reason: str, broken: bool) -> None:
        if broken:
            self._halt(reason)

    def _halt(self, reason: str) -> None:
        if not self._halted:
            self._halted = True
            self._journal_failed(reason)

    def close(self) -> None:
        self._writer.close()


def _member(token: Path, name: str) -> str:
    """A name and a word that this disk made up: with another disk it is another member."""
    if not token.exists():
        part = token.with_name("member.tmp")
        with open(os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w") as file:
            file.write(secrets.token_hex(TOKEN_BYTES))
            file.flush()
            os.fsync(file.fileno())
        os.rename(part, token)
    return f"{name}@{token.read_text()}"
