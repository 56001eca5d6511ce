"""Versions of a zone, the differences between them and pending versions."""

from __future__ import annotations

from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcourse.zones.endpoint_extraction import A, EndpointExtractor
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.history import History, restore_version
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.records import SOA, Record
from kelpcourse.zones.serials import next_serial
from kelpcourse.zones.versions import Zone
from tests.zonesamples import (
    LIMITS,
    ORIGIN,
    SERVICE,
    endpoint_records,
    pending_version_of,
    record,
    sample_endpoints,
    soa_record,
    zone_with,
)

RECORD_POOL = [
    *sample_endpoints(3),
    *endpoint_records("s-0", "room-b", "127.0.0.99"),
    record("s-1", "TXT", '"phase=draining"'),
    record("s-2", "AAAA", "::1"),
    record(f"{SERVICE}.room-a", "SRV", "0 1 5000 s-1.elsewhere."),
]

change_steps = st.lists(
    st.lists(st.tuples(st.booleans(), st.sampled_from(RECORD_POOL)), min_size=1, max_size=5),
    max_size=12,
)


def play_steps(
    steps: Sequence[Sequence[tuple[bool, Record]]],
) -> tuple[Zone, set[Record], EndpointExtractor, History, list[Zone]]:
    """Plays steps on a zone through pending versions, and beside it on a plain set of records."""
    one = zone_with(1)
    plain_records = set(one.records())
    extractor = EndpointExtractor(ORIGIN, SERVICE)
    history = History(LIMITS.max_zone_history_records)
    versions = [one.copy()]
    extractor.start(one)
    for step in steps:
        pending = PendingVersion(one)
        for add, changed in step:
            if add:
                pending.add(changed)
                plain_records.add(changed)
            else:
                assert pending.remove(changed.owner, changed.type, changed.data) is (
                    changed in plain_records
                )
                plain_records.discard(changed)
        if not pending.is_changed():
            continue
        pending.advance_serial()
        plain_records = {r for r in plain_records if r.type != SOA} | {
            soa_record(pending.difference(0).new_serial)
        }
        difference = pending.difference(0)
        one.apply(difference)
        history.add(difference)
        extractor.apply(difference, one)
        versions.append(one.copy())
    return one, plain_records, extractor, history, versions


@given(change_steps)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_pending_versions_history_and_endpoints_agree_with_plain_copies(
    steps: list[list[tuple[bool, Record]]],
) -> None:
    one, plain_records, extractor, history, versions = play_steps(steps)
    assert set(one.records()) == plain_records
    assert len(one) == len(plain_records)
    fresh = EndpointExtractor(ORIGIN, SERVICE)
    fresh.start(one)
    assert extractor.endpoints == fresh.endpoints
    assert extractor.problems() == fresh.problems()
    for version in versions[:-1]:
        chain = history.differences_since(version.serial)
        assert chain is not None
        walked = version.copy()
        for step in chain:
            walked.apply(step)
        assert set(walked.records()) == plain_records
        back = restore_version(one, history, version.serial, 0)
        assert back.new_serial == next_serial(one.serial)
        former = one.copy()
        former.apply(back)
        assert {r for r in former.records() if r.type != SOA} == {
            r for r in version.records() if r.type != SOA
        }


def test_a_difference_that_does_not_fit_changes_nothing() -> None:
    one = zone_with(1, endpoint_records("s-1"))
    before = sorted(one.records())
    step = pending_version_of(one, endpoint_records("s-2"), endpoint_records("s-1")).difference(0)
    one.remove(endpoint_records("s-1")[0])
    one.add(record("x", "A", "10.0.0.3"))
    with pytest.raises(ZoneError, match="no such SRV"):
        one.apply(step)
    assert sorted(one.records()) != before
    assert one.has_records("x." + ORIGIN)
    assert not one.has_records("s-2." + ORIGIN)


def test_a_new_ttl_replaces_the_whole_record_set() -> None:
    one = zone_with(1, [record("x", "A", "10.0.0.1"), record("x", "A", "10.0.0.2")])
    pending = PendingVersion(one)
    pending.add(record("x", "A", "10.0.0.3", ttl=5))
    pending.advance_serial()
    step = pending.difference(0)
    one.apply(step)
    held_set = one.record_set("x." + ORIGIN, A)
    assert held_set is not None
    assert (held_set.ttl, len(held_set.data)) == (5, 3)
    assert len([r for r in step.removed if r.type == A]) == 2
