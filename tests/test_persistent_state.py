"""Persistent state, and the writes that change it."""

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


writes = st.lists(st.tuples(st.integers(0, 3), st.integers(1, 4), st.booleans()), max_size=12)


@given(writes)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_replay_gives_the_state_that_single_writes_make(steps: list[tuple[int, int, bool]]) -> None:
    stored, start, payloads = initial_state(CONFIG), initial_state(CONFIG), []
    for number, (back, count, compacts) in enumerate(steps, 1):
        last = stored.entries[-1].index if stored.entries else stored.snapshot.index
        cut = max(stored.snapshot.index + 1, last + 1 - back)
        write = StateWrite(
            number,
            number,
            "a",
            cut if cut <= last else None,
            tuple(LogEntry(cut + k, number, EntryKind.DATA, b"%d" % k) for k in range(count)),
        )
        if compacts and stored.entries:
            at = stored.entries[0]
            write = StateWrite(
                number, number, None, snapshot=Snapshot(at.index, at.term, CONFIG, b"s")
            )
        payloads.append(encode_write(write))
        assert decode_write(payloads[-1]) == write
        stored = apply_write(stored, write)
    assert replay(start, payloads) == stored
