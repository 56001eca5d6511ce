"""Files of the store: each cut and each flipped bit of a journal, spoilt snapshots, crashes between generations."""

from __future__ import annotations

import pytest

from kelpcourse.store.errors import UnusableFileError
from kelpcourse.store.frames import HEADER_BYTES, Damage, Kind, Record, frame, header, read
from kelpcourse.store.recovery import file_name, from_bytes, obsolete

PAYLOADS = [b"one", b"", b"three" * 9, bytes(range(256))]
RECORDS = [Record(11 + k, payload) for k, payload in enumerate(PAYLOADS)]
JOURNAL = header(Kind.JOURNAL, 4, 11) + b"".join(map(frame, RECORDS))
SNAPSHOT = header(Kind.SNAPSHOT, 4, 10) + frame(Record(10, b"state"))
NAMES = {"snapshot-000000000004": SNAPSHOT, "journal-000000000004": JOURNAL}
ENDS = [HEADER_BYTES + sum(len(frame(r)) for r in RECORDS[:k]) for k in range(len(RECORDS) + 1)]


def whole_before(cut: int) -> int:
    return sum(1 for end in ENDS[1:] if end <= cut)


def test_each_cut_of_a_journal_leaves_every_record_before_it_and_no_part_of_another() -> None:
    for cut in range(HEADER_BYTES, len(JOURNAL)):
        found = from_bytes({**NAMES, "journal-000000000004": JOURNAL[:cut]})
        assert found.records == RECORDS[: whole_before(cut)]
        assert found.next_number == 11 + whole_before(cut)
        assert [warning.lost_bytes for warning in found.warnings] == (
            [cut - ENDS[whole_before(cut)]] if cut not in ENDS else []
        )
        assert not any(warning.alarming for warning in found.warnings)


def test_each_flipped_bit_is_found_and_what_stands_before_it_is_kept() -> None:
    for place in range(HEADER_BYTES, len(JOURNAL)):
        for bit in range(8):
            data = bytearray(JOURNAL)
            data[place] ^= 1 << bit
            contents = read(Kind.JOURNAL, bytes(data))
            assert list(contents.records) == RECORDS[: whole_before(place)]
            assert contents.damage is not Damage.NONE


def test_corruption_is_distinguished_from_a_torn_tail() -> None:
    inside = bytearray(JOURNAL)
    inside[ENDS[1] + 3] ^= 1
    assert read(Kind.JOURNAL, bytes(inside)).damage is Damage.INSIDE
    assert read(Kind.JOURNAL, JOURNAL[:-1]).damage is Damage.TORN
    found = from_bytes({**NAMES, "journal-000000000004": bytes(inside)})
    assert found.needs_generation  # nothing is written behind damage
    assert [warning.alarming for warning in found.warnings] == [True]


@pytest.mark.parametrize("data", [b"", SNAPSHOT[:5], JOURNAL, b"\xff" + SNAPSHOT[1:]])
def test_a_header_that_can_not_be_believed(data: bytes) -> None:
    with pytest.raises(UnusableFileError):
        read(Kind.SNAPSHOT, data)


def test_a_spoilt_snapshot_is_done_without_as_the_generation_before_is_kept() -> None:
    newer = {
        "snapshot-000000000005": header(Kind.SNAPSHOT, 5, 14) + frame(Record(14, b"later")),
        "journal-000000000005": header(Kind.JOURNAL, 5, 15) + frame(Record(15, b"last")),
    }
    good = from_bytes({**NAMES, **newer})
    assert (good.snapshot, good.records, good.generation) == (b"later", [Record(15, b"last")], 5)
    spoilt = from_bytes(
        {**NAMES, **newer, "snapshot-000000000005": newer["snapshot-000000000005"][:-1]}
    )
    assert spoilt.snapshot == b"state"
    assert spoilt.records == [*RECORDS, Record(15, b"last")]
    assert (spoilt.next_number, spoilt.generation, spoilt.needs_generation) == (16, 5, False)


def test_a_crash_between_the_names_of_a_new_generation_loses_nothing() -> None:
    """The journal of the next generation stands, its snapshot does not; writing went on in the one before."""
    empty = {"journal-000000000005": header(Kind.JOURNAL, 5, 13)}
    found = from_bytes({**NAMES, **empty})
    assert found.records == RECORDS
    assert found.needs_generation  # its numbers would not follow on in the empty one
    follows = from_bytes({**NAMES, "journal-000000000005": header(Kind.JOURNAL, 5, 15)})
    assert (follows.needs_generation, follows.generation, follows.next_number) == (False, 5, 15)


def test_a_gap_between_journals_is_not_bridged() -> None:
    found = from_bytes({**NAMES, "journal-000000000005": header(Kind.JOURNAL, 5, 16)})
    assert found.records == RECORDS
    assert found.needs_generation
    assert found.warnings[-1].alarming


def test_what_no_recovery_needs_goes() -> None:
    names = [file_name(kind, g) for kind in Kind for g in (2, 3, 4, 5)]
    names.remove("snapshot-000000000004")
    assert obsolete([*names, "snapshot-000000000006.tmp", "lock"], 5) == [
        "snapshot-000000000006.tmp",
        "journal-000000000002",
        "snapshot-000000000002",
    ]
