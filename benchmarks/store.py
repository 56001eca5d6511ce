"""Compares the journal with sqlite3 and LMDB for the same work.

Run it with `python -m benchmarks.store`. Small records are written in batches, each of which is durable before the next
begins, on the disk of the folder for temporary files. Then all records are read again, as after a restart. The cost of
a sync depends on the disk, so libraries are reported as ratios within one run.
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
BATCHES = ((1, 200), (50, 100), (1000, 100))  # Records per batch, and number of batches.
RECOVERED_BATCH = 1000  # Records per batch of the run whose recovery time is printed.


class Store(Protocol):
    """A store of records on disk."""

    def commit(self, count: int) -> None:
        """Writes a batch of `count` records durably."""

    def recover(self) -> int:
        """Closes the store, reads all records again and returns their number."""
        ...


class Times(NamedTuple):
    """Times of a store.

    Attributes:
        commit_ms: Median time of a batch, in milliseconds.
        recover_ms: Time to read all records again, in milliseconds.
    """

    commit_ms: float
    recover_ms: float


class JournalStore:
    """This project's journal."""

    def __init__(self, path: Path) -> None:
        """Creates the journal in a new folder."""
        path.mkdir()
        self._path = path
        self._journal = Journal(Folder(path))
        self._journal.open()
        self._journal.compact(0, b"")
        self._next = 1

    def commit(self, count: int) -> None:
        """Implements `Store`."""
        self._journal.append([Record(self._next + k, PAYLOAD) for k in range(count)])
        self._next += count

    def recover(self) -> int:
        """Implements `Store`."""
        self._journal.close()
        journal = Journal(Folder(self._path))
        contents = journal.open()
        journal.close()
        return len(contents.records)


class SqliteStore:
    """A table in sqlite3 with a write-ahead log and full syncs."""

    def __init__(self, path: Path) -> None:
        """Creates the database."""
        self._path = path
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.execute("pragma journal_mode=wal")
        self._db.execute("pragma synchronous=full")
        self._db.execute("create table entries (number integer primary key, payload blob)")

    def commit(self, count: int) -> None:
        """Implements `Store`."""
        self._db.execute("begin")
        self._db.executemany("insert into entries (payload) values (?)", [(PAYLOAD,)] * count)
        self._db.execute("commit")

    def recover(self) -> int:
        """Implements `Store`."""
        self._db.close()
        query = "select payload from entries order by number"
        return len(sqlite3.connect(self._path).execute(query).fetchall())


class LmdbStore:
    """An LMDB environment that syncs each commit."""

    def __init__(self, path: Path) -> None:
        """Creates the environment in a new folder."""
        import lmdb  # Only in the extra `dev`, because only this comparison uses it.

        path.mkdir()
        self._path = path
        self._open: Callable[[], Any] = lambda: lmdb.open(str(path), map_size=1 << 30)
        self._db = self._open()
        self._next = 1

    def commit(self, count: int) -> None:
        """Implements `Store`."""
        with self._db.begin(write=True) as transaction:
            for k in range(count):
                transaction.put((self._next + k).to_bytes(8, "big"), PAYLOAD)
        self._next += count

    def recover(self) -> int:
        """Implements `Store`."""
        self._db.close()
        with self._open().begin() as transaction:
            return len([bytes(value) for _, value in transaction.cursor()])


FACTORIES: Sequence[Callable[[Path], Store]] = (JournalStore, SqliteStore, LmdbStore)


def measure(factory: Callable[[Path], Store], batch: int, batches: int) -> Times:
    """Returns the times of some batches in a new store."""
    with tempfile.TemporaryDirectory() as folder:
        store = factory(Path(folder) / "store")
        times_s = []
        for _ in range(batches):
            start_s = time.perf_counter()
            store.commit(batch)
            times_s.append(time.perf_counter() - start_s)
        start_s = time.perf_counter()
        recovered = store.recover()
        recover_s = time.perf_counter() - start_s
        if recovered != batch * batches:
            raise SystemExit(f"{recovered} records were recovered, {batch * batches} were written")
        return Times(statistics.median(times_s) * 1e3, recover_s * 1e3)


def row(batch: int, batches: int) -> list[str]:
    """Returns the cells of one batch size: medians of the rounds, with libraries as ratios to the journal."""
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
        "| records per batch | kelpcourse, ms | sqlite3 | LMDB | recovery of 100,000: kelpcourse, ms | sqlite3 | LMDB |"
    )
    print("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    for batch, batches in BATCHES:
        print(f"| {batch} | {' | '.join(row(batch, batches))} |")


if __name__ == "__main__":
    main()
