"""A restart at any point leads to the list that the process would have had: endpoints, starts and absences."""

from __future__ import annotations

import random

import pytest

from kelpcourse.zones.merged_list import MergedEndpointList
from kelpcourse.zones.persistence import ZoneChanged, ZoneReplay, encode_entry, encode_snapshot
from kelpcourse.zones.zone_state import ZoneState
from tests.zonerig import SECOND, World, start_primary
from tests.zonesamples import LIMITS, SERVICE, endpoint_records, pending_version_of, zone_with

ORIGINS = ("a.example.org.", "b.example.org.")
GRACE_US = 2 * SECOND
NAMES = ("s-0", "s-1", "s-2", "s-3")
STARTED_MS = 1_699_000_000_000
BEGIN_MS = 1_700_000_000_000
STEPS = 40


def new_list() -> MergedEndpointList:
    return MergedEndpointList(ORIGINS, GRACE_US, LIMITS.max_endpoint_names)


class StoredZones:
    """Two zones that are updated at random, with what a store keeps of them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.snapshot: bytes | None = None
        self.payloads: list[bytes] = []
        self.merged = new_list()
        self.zones = {origin: ZoneState(origin, SERVICE, LIMITS) for origin in ORIGINS}
        self.now_ms = BEGIN_MS
        for origin in ORIGINS:
            self._store(
                self.zones[origin].difference_to(zone_with(1, origin=origin), self.now_ms), origin
            )

    def _store(self, difference: object, origin: str) -> None:
        self.payloads.append(encode_entry(ZoneChanged(origin, difference)))  # type: ignore[arg-type]
        changes = self.zones[origin].apply(difference, 0)  # type: ignore[arg-type]
        self.merged.update(origin, changes, self.now_ms)

    def step(self) -> None:
        """Announces or removes an endpoint after a while, shorter or longer than the grace; or writes a snapshot."""
        if self.rng.random() < 0.1:
            self.snapshot = encode_snapshot(self.zones.values(), ())
            self.payloads = []
            return
        self.now_ms += self.rng.choice((1, 500, 1_900, 2_500, 60_000))
        origin = self.rng.choice(ORIGINS)
        zone = self.zones[origin]
        name = self.rng.choice(NAMES)
        txt = self.rng.choice(("", f'"started={STARTED_MS}"'))
        present = [each for each in zone.zone.records() if each.owner == f"{name}.{origin}"]
        srv = [
            each for each in zone.zone.records() if name in str(each.data) and each not in present
        ]
        added = [] if present else endpoint_records(name, txt=txt, origin=origin)
        version = pending_version_of(zone.zone, add=added, remove=[*present, *srv])
        self._store(version.difference(self.now_ms), origin)

    def replayed(self) -> MergedEndpointList:
        """Returns the list of a process that starts now."""
        merged = new_list()
        replay = ZoneReplay(ORIGINS, SERVICE, LIMITS, merged.update)
        replay.run(self.snapshot, self.payloads)
        assert replay.warnings == []
        for origin, zone in replay.zones.items():
            assert zone.extractor.endpoints == self.zones[origin].extractor.endpoints
        return merged


@pytest.mark.parametrize("seed", range(30))
def test_a_restart_at_any_point_leads_to_the_same_list(seed: int) -> None:
    """Guards against endpoints that get their full weight as a restart forgot that they were away."""
    stored = StoredZones(seed)
    for _ in range(STEPS):
        stored.step()
        replayed = stored.replayed()
        assert replayed.endpoints == stored.merged.endpoints
        assert replayed._removed_ms == stored.merged._removed_ms


def test_an_endpoint_that_returns_after_a_restart_counts_as_just_started(world: World) -> None:
    """Guards against a server that died before a restart and gets its full weight when it is back (review/9)."""
    node, client = start_primary(world)
    client.update(("delete", "s-0"))
    world.run_for_us(3 * SECOND)  # longer than the grace
    node.kill()
    node = world.node(node.path)
    returned_ms = world.clock.now // 1_000
    type(client)(world, node).update(("add", "s-0", "60", "A", "127.0.0.10"))
    assert returned_ms <= node.endpoints["s-0"].started_ms <= world.clock.now // 1_000
    started_ms = node.endpoints["s-0"].started_ms
    world.run_for_us(SECOND)
    node.kill()
    assert world.node(node.path).endpoints["s-0"].started_ms == started_ms  # it is warming up still
