"""Tests of a secondary with faulty primaries: serials that go backwards, bad transfers, timeouts, forged responses."""

from __future__ import annotations

import dns.flags
import dns.message
import pytest

from kelpcourse.zones.records import Record
from kelpcourse.zones.serials import HALF_SERIAL_SPACE
from kelpcourse.zones.transfer import ixfr_records
from kelpcourse.zones.versions import Zone
from tests.zoneprimary import ScriptedPrimary
from tests.zonerig import MS, OTHER_SECRET_KEY, SECOND, World, ZoneNode
from tests.zonesamples import (
    ORIGIN,
    endpoint_records,
    pending_version_of,
    sample_endpoints,
    soa_record,
    zone_with,
)


def replace_soa(start: Zone, record: Record) -> Zone:
    copied = start.copy()
    for each in [r for r in start.records() if r.type == 6]:
        copied.remove(each)
    copied.add(record)
    return copied


def new_secondary(
    world: World, serial: int = 100, expire: int = 600
) -> tuple[ScriptedPrimary, ZoneNode]:
    primary = ScriptedPrimary(
        world.loop,
        replace_soa(zone_with(serial, sample_endpoints()), soa_record(serial, expire=expire)),
    )
    node = world.secondary(primary.address)
    world.run_until(lambda: node.serial == serial)
    primary.queries.clear()
    return primary, node


def query_again(world: World, node: ZoneNode, primary: ScriptedPrimary) -> None:
    queried = len(primary.queries)
    node.zones.notify_received(ORIGIN)
    world.run_until(lambda: len(primary.queries) > queried)
    world.run_for_us(100 * MS)


@pytest.mark.parametrize(
    ("serial", "verdict"),
    [(99, "behind"), (100 + HALF_SERIAL_SPACE, "undefined"), (101 + HALF_SERIAL_SPACE, "behind")],
)
def test_a_serial_that_goes_backwards_is_rejected_and_reported_once(
    world: World, serial: int, verdict: str
) -> None:
    primary, node = new_secondary(world)
    primary.zone = zone_with(serial, endpoint_records("s-9"))
    for _ in range(3):
        query_again(world, node, primary)
    assert (node.serial, set(node.statuses)) == (100, {f"s-{k}" for k in range(4)})
    (line,) = node.log.named("zone_versions_inconsistent")
    assert (line["verdict"], line["current"], line["received"]) == (verdict, 100, serial)
    assert "AXFR" not in primary.queries
    primary.zone = zone_with(101, sample_endpoints(), endpoint_records("s-9"))
    query_again(world, node, primary)
    assert "s-9" in node.statuses
    assert len(node.log.named("zone_versions_consistent")) == 1


def test_an_older_zone_transferred_after_a_newer_soa_is_rejected(world: World) -> None:
    """Two servers share one address, and one of them has an older version."""
    primary, node = new_secondary(world)
    primary.zone, primary.transferred_zone = (
        zone_with(102, sample_endpoints(), endpoint_records("s-9")),
        zone_with(98, endpoint_records("s-8")),
    )
    query_again(world, node, primary)
    assert (node.serial, len(node.statuses)) == (100, 4)
    primary.transferred_zone = None
    query_again(world, node, primary)
    assert (node.serial, "s-9" in node.statuses) == (102, True)


def test_inapplicable_differences_fall_back_to_axfr(world: World) -> None:
    primary, node = new_secondary(world)
    new = zone_with(101, sample_endpoints(3), endpoint_records("s-9"))
    unrelated = pending_version_of(
        zone_with(100, endpoint_records("nobody")),
        endpoint_records("s-9"),
        endpoint_records("nobody"),
    ).difference(0)
    primary.zone, primary.ixfr = new, lambda _: ixfr_records(new, [unrelated])
    query_again(world, node, primary)
    assert primary.queries == ["SOA", "IXFR", "AXFR"]
    assert sorted(node.statuses) == ["s-0", "s-1", "s-2", "s-9"]
    assert node.log.named("zone_ixfr_failed")


def test_applicable_differences_are_applied(world: World) -> None:
    primary, node = new_secondary(world)
    pending_version = pending_version_of(
        primary.zone,
        endpoint_records("s-9"),
        [r for r in sample_endpoints() if r.owner.startswith("s-0.")],
    )
    update = pending_version.difference(0)
    new = primary.zone.copy()
    new.apply(update)
    primary.zone, primary.ixfr = new, lambda _: ixfr_records(new, [update])
    query_again(world, node, primary)
    assert primary.queries == ["SOA", "IXFR"]
    assert node.list_changes[-1] == ({"s-0": "gone", "s-9": "ready"}, False)


@pytest.mark.parametrize("max_messages", [0, 1, 2])
def test_an_interrupted_transfer_leaves_the_zone_unchanged(world: World, max_messages: int) -> None:
    primary, node = new_secondary(world)
    primary.zone = zone_with(101, [r for k in range(500) for r in endpoint_records(f"h-{k}")])
    primary.max_transfer_messages = max_messages
    query_again(world, node, primary)
    assert (node.serial, len(node.statuses)) == (100, 4)
    primary.max_transfer_messages = 1 << 30
    node.zones.notify_received(ORIGIN)
    world.run_until(lambda: node.serial == 101)
    assert len(node.statuses) == 500


def test_a_primary_unresponsive_past_expire_makes_the_list_unavailable_and_keeps_endpoints(
    world: World,
) -> None:
    primary, node = new_secondary(world, expire=30)
    primary.silent = True
    world.run_until(lambda: node.log.named("zone_expired"))
    assert node.unavailable_count == 1
    assert len(node.statuses) == 4  # A missing response removes no endpoint
    merged = node.zones.merged_list
    assert not merged.is_available
    # Any version is accepted after expiry.
    primary.silent, primary.zone = (
        False,
        zone_with(7, sample_endpoints(), endpoint_records("s-9")),
    )
    world.run_until(lambda: node.serial == 7)
    assert merged.is_available
    assert "s-9" in node.statuses


def test_a_serial_that_went_backwards_is_accepted_after_expiry(world: World) -> None:
    primary, node = new_secondary(world, expire=30)
    primary.zone = replace_soa(zone_with(7, endpoint_records("s-9")), soa_record(7, expire=30))
    world.run_until(lambda: node.serial == 7)
    assert node.log.named("zone_expired")
    assert set(node.statuses) == {"s-9"}


def test_forged_responses_are_ignored_until_the_valid_response(world: World) -> None:
    primary, node = new_secondary(world)
    forged = zone_with(105, endpoint_records("evil"))

    def forge(query: dns.message.Message) -> list[bytes]:
        other_id = primary.soa_response(query, forged)
        other_id.id ^= 1
        unsigned = dns.message.make_query(ORIGIN, "SOA")
        unsigned.id = query.id
        unsigned.flags |= dns.flags.QR
        wrongly_signed = dns.message.make_query(ORIGIN, "SOA")
        wrongly_signed.id = query.id
        wrongly_signed.use_tsig(OTHER_SECRET_KEY)
        wrongly_signed.flags |= dns.flags.QR
        return [other_id.to_wire(), unsigned.to_wire(), wrongly_signed.to_wire(), b"\xff" * 20]

    primary.forged_responses = forge
    primary.zone = zone_with(101, sample_endpoints(), endpoint_records("s-9"))
    query_again(world, node, primary)
    assert (node.serial, "s-9" in node.statuses, "evil" in node.statuses) == (101, True, False)
    assert node.counters["zone_answers_unverified"] >= 4


def test_without_a_key_a_response_from_another_port_is_ignored(world: World) -> None:
    primary = ScriptedPrimary(world.loop, zone_with(100, sample_endpoints()), signed=False)
    other = ScriptedPrimary(world.loop, zone_with(105, endpoint_records("evil")), signed=False)
    node = world.secondary(primary.address, key=False)
    query_ids: list[int] = []

    def record_query(query: dns.message.Message) -> list[bytes]:
        query_ids.append(query.id)
        return []

    primary.forged_responses = record_query
    world.run_until(lambda: node.serial == 100)
    assert query_ids
    assert other.queries == []
    assert "evil" not in node.statuses


def test_with_a_stale_and_an_unreachable_primary_the_newest_version_is_kept(world: World) -> None:
    ahead = ScriptedPrimary(world.loop, zone_with(101, sample_endpoints(), endpoint_records("s-9")))
    stale = ScriptedPrimary(world.loop, zone_with(100, sample_endpoints()))
    node = world.secondary(("127.0.0.1", 9), stale.address, ahead.address)
    world.run_until(lambda: node.serial == 100)
    stale.silent = True
    node.zones.notify_received(ORIGIN)
    world.run_until(lambda: node.serial == 101)
    stale.silent = False
    ahead.silent = True
    node.zones.notify_received(ORIGIN)
    world.run_until(lambda: node.log.named("zone_versions_inconsistent"))
    assert (node.serial, "s-9" in node.statuses) == (101, True)


def test_diverged_versions_with_the_same_serial_are_reported(world: World) -> None:
    primary, node = new_secondary(world)
    primary.zone = replace_soa(zone_with(100, endpoint_records("s-9")), soa_record(100, refresh=61))
    query_again(world, node, primary)
    assert [line["verdict"] for line in node.log.named("zone_versions_inconsistent")] == ["differs"]
    assert len(node.statuses) == 4


def test_a_restarted_secondary_keeps_its_zone_and_its_expire_time(world: World) -> None:
    primary = ScriptedPrimary(world.loop, zone_with(100, sample_endpoints()))
    node = world.secondary(primary.address, more='state "state"')
    world.run_until(
        lambda: (
            node.serial == 100
            and node.zones.store.writer is not None
            and not node.zones.store.writer.broken
        )
    )
    primary.zone = zone_with(101, sample_endpoints(), endpoint_records("s-9"))
    query_again(world, node, primary)
    world.run_until(
        lambda: node.zones.store.writer is not None and not node.zones.store.writer.pending_changes
    )
    node.kill()
    primary.silent = True
    restarted = world.node(node.path)
    assert (restarted.serial, len(restarted.statuses)) == (101, 5)
    world.run_for_us(2 * SECOND)
    assert restarted.log.named("zone_expired") == []


def test_no_endpoint_is_removed_until_every_zone_has_been_loaded(world: World) -> None:
    """Endpoints of a zone that a controller cannot load yet after its start must not count as removed."""
    loaded, other = (
        ScriptedPrimary(world.loop, zone_with(1, sample_endpoints(2))),
        "chess.example.org.",
    )
    unloaded = ScriptedPrimary(
        world.loop, zone_with(1, endpoint_records("c-1", origin=other), origin=other)
    )
    unloaded.silent = True
    path = world.new_folder("two", None)
    (path / "z.kdl").write_text(f"""zones {{
        service "_game._tcp"
        key "staff.games.example.org" secret-file="staff.key"
        zone "games.example.org" {{ primary "127.0.0.1:{loaded.address[1]}" key="staff.games.example.org"; }}
        zone "chess.example.org" {{ primary "127.0.0.1:{unloaded.address[1]}" key="staff.games.example.org"; }}
    }}""")
    node = world.node(path)
    world.run_until(lambda: node.statuses)
    assert node.list_changes == [({"s-0": "ready", "s-1": "ready"}, False)]
    unloaded.silent = False
    world.run_until(lambda: "c-1" in node.statuses)
    assert node.list_changes[-1] == ({"s-0": "ready", "s-1": "ready", "c-1": "ready"}, True)
