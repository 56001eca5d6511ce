"""The journal beside sqlite3 and LMDB for the same work: `python -m benchmarks.store`.

Small records, each batch durable before the next begins, on the disk of the folder for temporary files; then
reading all of them again after a restart. What a sync costs is the disk's matter: figures are ratios in one run.
"""

from __future__ import annotations

import os
import sqlite3
import statistics
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import Record
from kelpcourse.store.journal import Journal

PAYLOAD = os.urandom(200)
ROUNDS = 3
BATCHES = ((1, 200), (50, 100), (1000, 100))  # records a batch, batches
RECOVERED_BATCH = 1000  # for which the time of a recovery is printed


class Store(Protocol):
    """A store of records, on disk."""

    def commit(self, count: int) -> None:
        """Makes a batch of so many records durable."""

    def recover(self) -> int:
        """Closes the store, reads all again and returns how many there are."""
        ...


class Times(NamedTuple):
    """Milliseconds a batch takes, as median, and reading all of it again."""

    commit_ms: float
    recover_ms: float


class JournalStore:
    """This project's journal."""

    def __init__(self, path: Path) -> None:
        """Creates it in a folder of its own."""
        path.mkdir()
        self._path = path
        self._journal = Journal(Folder(path))
        self._journal.open()
        self._journal.compact(0, b"")
        self._next = 1

    def commit(self, count: int) -> None:
        """See `Store`."""
        self._journal.append([Record(self._next + k, PAYLOAD) for k in range(count)])
        self._next += count

    def recover(self) -> int:
        """See `Store`."""
        self._journal.close()
        journal = Journal(Folder(self._path))
        found = journal.open()
        journal.close()
        return len(found.records)


class SqliteStore:
    """A table in sqlite3, with write-ahead log and full syncs."""

    def __init__(self, path: Path) -> None:
        """Creates the database."""
        self._path = path
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.execute("pragma journal_mode=wal")
        self._db.execute("pragma synchronous=full")
        self._db.execute("create table entries (number integer primary key, payload blob)")

    def commit(self, count: int) -> None:
        """See `Store`."""
        self._db.execute("begin")
        self._db.executemany("insert into entries (payload) values (?)", [(PAYLOAD,)] * count)
        self._db.execute("commit")

    def recover(self) -> int:
        """See `Store`."""
        self._db.close()
        query = "select payload from entries order by number"
        return len(sqlite3.connect(self._path).execute(query).fetchall())


class LmdbStore:
    """LMDB, with its syncs."""

    def __init__(self, path: Path) -> None:
        """Creates the environment in a folder of its own."""
        import lmdb  # in the extra `dev` alone: nothing but this comparison uses it

        path.mkdir()
        self._path = path
        self._open: Callable[[], Any] = lambda: lmdb.open(str(path), map_size=1 << 30)
        self._db = self._open()
        self._next = 1

    def commit(self, count: int) -> None:
        """See `Store`."""
        with self._db.begin(write=True) as transaction:
            for k in range(count):
                transaction.put((self._next + k).to_bytes(8, "big"), PAYLOAD)
        self._next += count

    def recover(self) -> int:
        """See `Store`."""
        self._db.close()
        with self._open().begin() as transaction:
            return len([bytes(value) for _, value in transaction.cursor()])


FACTORIES: Sequence[Callable[[Path], Store]] = (JournalStore, SqliteStore, LmdbStore)


def measure(factory: Callable[[Path], Store], batch: int, batches: int) -> Times:
    """Times of so many batches in a new store."""
    with tempfile.TemporaryDirectory() as folder:
        store = factory(Path(folder) / "store")
        times_s = []
        for _ in range(batches):
            began_s = time.perf_counter()
            store.commit(batch)
            times_s.append(time.perf_counter() - began_s)
        began_s = time.perf_counter()
        recovered = store.recover()
        recover_s = time.perf_counter() - began_s
        if recovered != batch * batches:
            raise SystemExit(f"{recovered} records were read again, {batch * batches} were written")
        return Times(statistics.median(times_s) * 1e3, recover_s * 1e3)


def row(batch: int, batches: int) -> list[str]:
    """The cells for one size of batch: medians of the rounds, libraries as ratios."""
    rounds = [[measure(factory, batch, batches) for factory in FACTORIES] for _ in range(ROUNDS)]
    stores = range(len(FACTORIES))
    commit_ms = [statistics.median(times[k].commit_ms for times in rounds) for k in stores]
    recover_ms = [statistics.median(times[k].recover_ms for times in rounds) for k in stores]
    cells = [f"{commit_ms[0]:.2f}", *(f"{ms / commit_ms[0]:.1f} times" for ms in commit_ms[1:])]
    if batch != RECOVERED_BATCH:
        return [*cells, *[""] * len(FACTORIES)]
    ratios = [f"{ms / recover_ms[0]:.1f} times" for ms in recover_ms[1:]]
    return [*cells, f"{recover_ms[0]:.0f}", *ratios]


def main() -> None:
    """Prints a table of all stores."""
    print(
        "| records a batch | ours, ms | sqlite3 | LMDB | reading 100,000 again: ours, ms | sqlite3 | LMDB |"
    )
    print("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    for batch, batches in BATCHES:
        print(f"| {batch} | {' | '.join(row(batch, batches))} |")


if __name__ == "__main__":
    main()
