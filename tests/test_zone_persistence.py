"""Zones as entries of the store."""

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
    one = zone_state_of(zone_with(1, sample_endpoints()))
    payloads = []
    first = difference_between(Zone(ORIGIN), one.zone, 5)
    payloads.append(encode_entry(ZoneChanged(ORIGIN, first)))
    step = pending_version_of(
        one.zone, remove=endpoint_records("s-0", address="127.0.0.10")
    ).difference(9)
    one.apply(step, 0)
    payloads.append(encode_entry(ZoneChanged(ORIGIN, step)))
    replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
    replay.run(None, payloads)
    again = replay.zones[ORIGIN]
    assert sorted(again.zone.records()) == sorted(one.zone.records())
    assert again.extractor.endpoints == one.extractor.endpoints
    assert again.confirmed_ms == 9
    from_snapshot = ZoneReplay([], SERVICE, LIMITS)
    from_snapshot.run(encode_snapshot([one], ()), [])
    other = ZoneReplay(
        [ORIGIN], SERVICE, LIMITS
    )  # the settings had left the zone out, and name it again
    other.run(encode_snapshot([], from_snapshot.unconfigured_zones()), [])
    assert other.zones[ORIGIN].history.serials() == [1]
    assert sorted(other.zones[ORIGIN].zone.records()) == sorted(one.zone.records())
    with pytest.raises(ZoneError):
        decode_entry(b"\xff\x00")
