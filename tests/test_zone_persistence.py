"""Tests of the encoding and replay of stored zone entries."""

from __future__ import annotations

import pytest

from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.persistence import (
    ZoneChanged,
    ZoneReplay,
    decode_entry,
    encode_entry,
    encode_snapshot,
)
from kelpcourse.zones.versions import Zone, difference_between
from tests.zonesamples import (
    LIMITS,
    ORIGIN,
    SERVICE,
    endpoint_records,
    pending_version_of,
    sample_endpoints,
    zone_state_of,
    zone_with,
)


def test_stored_entries_replay_to_the_same_zones() -> None:
    original = zone_state_of(zone_with(1, sample_endpoints()))
    payloads = []
    first = difference_between(Zone(ORIGIN), original.zone, 5)
    payloads.append(encode_entry(ZoneChanged(ORIGIN, first)))
    second = pending_version_of(
        original.zone, remove=endpoint_records("s-0", address="127.0.0.10")
    ).difference(9)
    original.apply(second, 0)
    payloads.append(encode_entry(ZoneChanged(ORIGIN, second)))
    replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
    replay.run(None, payloads)
    restored = replay.zones[ORIGIN]
    assert sorted(restored.zone.records()) == sorted(original.zone.records())
    assert restored.extractor.endpoints == original.extractor.endpoints
    assert restored.confirmed_ms == 9
    from_snapshot = ZoneReplay([], SERVICE, LIMITS)
    from_snapshot.run(encode_snapshot([original], ()), [])
    # The settings did not name the zone for a while and name it again.
    later_replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
    later_replay.run(encode_snapshot([], from_snapshot.unconfigured_zones()), [])
    assert later_replay.zones[ORIGIN].history.serials() == [1]
    assert sorted(later_replay.zones[ORIGIN].zone.records()) == sorted(original.zone.records())
    with pytest.raises(ZoneError):
        decode_entry(b"\xff\x00")
