"""Tests of the persistent state and the writes that change it."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcourse.shared.raft.messages import (
    Configuration,
    EntryKind,
    LogEntry,
    Snapshot,
)
from kelpcourse.shared.raft.persistent import (
    StateWrite,
    apply_write,
    decode_write,
    encode_write,
    initial_state,
    replay,
)

CONFIG = Configuration(frozenset({"a", "b"}), frozenset({"c"}))

# Steps, each with the number of entries to truncate, the number to append, and whether to compact the log.
writes = st.lists(st.tuples(st.integers(0, 3), st.integers(1, 4), st.booleans()), max_size=12)


@given(writes)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_replay_equals_applying_writes_one_by_one(steps: list[tuple[int, int, bool]]) -> None:
    stored, initial, payloads = initial_state(CONFIG), initial_state(CONFIG), []
    for number, (truncated_count, count, compacts) in enumerate(steps, 1):
        last = stored.entries[-1].index if stored.entries else stored.snapshot.index
        truncate_index = max(stored.snapshot.index + 1, last + 1 - truncated_count)
        write = StateWrite(
            number,
            number,
            "a",
            truncate_index if truncate_index <= last else None,
            tuple(
                LogEntry(truncate_index + k, number, EntryKind.DATA, b"%d" % k)
                for k in range(count)
            ),
        )
        if compacts and stored.entries:
            first_entry = stored.entries[0]
            write = StateWrite(
                number,
                number,
                None,
                snapshot=Snapshot(first_entry.index, first_entry.term, CONFIG, b"s"),
            )
        payloads.append(encode_write(write))
        assert decode_write(payloads[-1]) == write
        stored = apply_write(stored, write)
    assert replay(initial, payloads) == stored
