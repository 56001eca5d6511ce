"""A secondary beside primaries that err: serials that go back, transfers cut or unfit, silence, forged answers."""

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


def with_soa(start: Zone, record: Record) -> Zone:
    made = start.copy()
    for each in [r for r in start.records() if r.type == 6]:
        made.remove(each)
    made.add(record)
    return made


def following(
    world: World, serial: int = 100, expire: int = 600
) -> tuple[ScriptedPrimary, ZoneNode]:
    primary = ScriptedPrimary(
        world.loop,
        with_soa(zone_with(serial, sample_endpoints()), soa_record(serial, expire=expire)),
    )
    node = world.secondary(primary.address)
    world.run_until(lambda: node.serial == serial)
    primary.queries.clear()
    return primary, node


def query_again(world: World, node: ZoneNode, primary: ScriptedPrimary) -> None:
    asked = len(primary.queries)
    node.zones.notify_received(ORIGIN)
    world.run_until(lambda: len(primary.queries) > asked)
    world.run_for_us(100 * MS)


@pytest.mark.parametrize(
    ("serial", "verdict"),
    [(99, "behind"), (100 + HALF_SERIAL_SPACE, "undefined"), (101 + HALF_SERIAL_SPACE, "behind")],
)
def test_a_serial_that_goes_backwards_is_not_accepted_and_reported_once(
    world: World, serial: int, verdict: str
) -> None:
    primary, node = following(world)
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


def test_an_old_zone_behind_a_newer_soa_is_not_accepted(world: World) -> None:
    """Behind one address stand two servers, of which one is late."""
    primary, node = following(world)
    primary.zone, primary.transferred_zone = (
        zone_with(102, sample_endpoints(), endpoint_records("s-9")),
        zone_with(98, endpoint_records("s-8")),
    )
    query_again(world, node, primary)
    assert (node.serial, len(node.statuses)) == (100, 4)
    primary.transferred_zone = None
    query_again(world, node, primary)
    assert (node.serial, "s-9" in node.statuses) == (102, True)


def test_differences_that_do_not_fit_fall_back_to_axfr(world: World) -> None:
    primary, node = following(world)
    new = zone_with(101, sample_endpoints(3), endpoint_records("s-9"))
    stranger = pending_version_of(
        zone_with(100, endpoint_records("nobody")),
        endpoint_records("s-9"),
        endpoint_records("nobody"),
    ).difference(0)
    primary.zone, primary.ixfr = new, lambda _: ixfr_records(new, [stranger])
    query_again(world, node, primary)
    assert primary.queries == ["SOA", "IXFR", "AXFR"]
    assert sorted(node.statuses) == ["s-0", "s-1", "s-2", "s-9"]
    assert node.log.named("zone_ixfr_failed")


def test_differences_that_fit_are_applied(world: World) -> None:
    primary, node = following(world)
    draft = pending_version_of(
        primary.zone,
        endpoint_records("s-9"),
        [r for r in sample_endpoints() if r.owner.startswith("s-0.")],
    )
    step = draft.difference(0)
    new = primary.zone.copy()
    new.apply(step)
    primary.zone, primary.ixfr = new, lambda _: ixfr_records(new, [step])
    query_again(world, node, primary)
    assert primary.queries == ["SOA", "IXFR"]
    assert node.list_changes[-1] == ({"s-0": "gone", "s-9": "ready"}, False)


@pytest.mark.parametrize("cut", [0, 1, 2])
def test_an_interrupted_transfer_leaves_the_zone_unchanged(world: World, cut: int) -> None:
    primary, node = following(world)
    primary.zone = zone_with(101, [r for k in range(500) for r in endpoint_records(f"h-{k}")])
    primary.max_transfer_messages = cut
    query_again(world, node, primary)
    assert (node.serial, len(node.statuses)) == (100, 4)
    primary.max_transfer_messages = 1 << 30
    node.zones.notify_received(ORIGIN)
    world.run_until(lambda: node.serial == 101)
    assert len(node.statuses) == 500


def test_a_primary_silent_past_expire_makes_the_list_unavailable_and_keeps_endpoints(
    world: World,
) -> None:
    primary, node = following(world, expire=30)
    primary.silent = True
    world.run_until(lambda: node.log.named("zone_expired"))
    assert node.unavailable_count == 1
    assert len(node.statuses) == 4  # silence takes nothing away
    answer = node.zones.merged_list
    assert not answer.is_available
    primary.silent, primary.zone = (
        False,
        zone_with(7, sample_endpoints(), endpoint_records("s-9")),
    )  # and what it has then is believed
    world.run_until(lambda: node.serial == 7)
    assert answer.is_available
    assert "s-9" in node.statuses


def test_a_serial_that_went_back_is_accepted_after_expire(world: World) -> None:
    primary, node = following(world, expire=30)
    primary.zone = with_soa(zone_with(7, endpoint_records("s-9")), soa_record(7, expire=30))
    world.run_until(lambda: node.serial == 7)
    assert node.log.named("zone_expired")
    assert set(node.statuses) == {"s-9"}


def test_forged_responses_are_ignored_until_the_true_one(world: World) -> None:
    primary, node = following(world)
    forged = zone_with(105, endpoint_records("evil"))

    def forge(query: dns.message.Message) -> list[bytes]:
        other_id = primary.soa_response(query, forged)
        other_id.id ^= 1
        unsigned = dns.message.make_query(ORIGIN, "SOA")
        unsigned.id = query.id
        unsigned.flags |= dns.flags.QR
        wrongly = dns.message.make_query(ORIGIN, "SOA")
        wrongly.id = query.id
        wrongly.use_tsig(OTHER_SECRET_KEY)
        wrongly.flags |= dns.flags.QR
        return [other_id.to_wire(), unsigned.to_wire(), wrongly.to_wire(), b"\xff" * 20]

    primary.forged_responses = forge
    primary.zone = zone_with(101, sample_endpoints(), endpoint_records("s-9"))
    query_again(world, node, primary)
    assert (node.serial, "s-9" in node.statuses, "evil" in node.statuses) == (101, True, False)
    assert node.counters["zone_answers_unverified"] >= 4


def test_without_a_key_a_response_from_another_port_is_ignored(world: World) -> None:
    primary = ScriptedPrimary(world.loop, zone_with(100, sample_endpoints()), signed=False)
    other = ScriptedPrimary(world.loop, zone_with(105, endpoint_records("evil")), signed=False)
    node = world.secondary(primary.address, key=False)
    heard: list[int] = []

    def from_elsewhere(query: dns.message.Message) -> list[bytes]:
        heard.append(query.id)
        return []

    primary.forged_responses = from_elsewhere
    world.run_until(lambda: node.serial == 100)
    assert heard
    assert other.queries == []
    assert "evil" not in node.statuses


def test_two_primaries_of_which_one_is_behind_and_one_is_dead(world: World) -> None:
    ahead = ScriptedPrimary(world.loop, zone_with(101, sample_endpoints(), endpoint_records("s-9")))
    behind = ScriptedPrimary(world.loop, zone_with(100, sample_endpoints()))
    node = world.secondary(("127.0.0.1", 9), behind.address, ahead.address)
    world.run_until(lambda: node.serial == 100)
    behind.silent = True
    node.zones.notify_received(ORIGIN)
    world.run_until(lambda: node.serial == 101)
    behind.silent = False
    ahead.silent = True
    node.zones.notify_received(ORIGIN)
    world.run_until(lambda: node.log.named("zone_versions_inconsistent"))
    assert (node.serial, "s-9" in node.statuses) == (101, True)


def test_two_histories_under_one_serial_are_reported(world: World) -> None:
    one, node = following(world)
    one.zone = with_soa(zone_with(100, endpoint_records("s-9")), soa_record(100, refresh=61))
    query_again(world, node, one)
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
        lambda: node.zones.store.writer is not None and not node.zones.store.writer.waiting
    )
    node.kill()
    primary.silent = True
    again = world.node(node.path)
    assert (again.serial, len(again.statuses)) == (101, 5)
    world.run_for_us(2 * SECOND)
    assert again.log.named("zone_expired") == []


def test_no_endpoint_is_removed_until_every_zone_was_loaded(world: World) -> None:
    """A director that starts knows hosts of a zone that it can't ask yet: they must not count as gone."""
    there, other = (
        ScriptedPrimary(world.loop, zone_with(1, sample_endpoints(2))),
        "chess.example.org.",
    )
    late = ScriptedPrimary(
        world.loop, zone_with(1, endpoint_records("c-1", origin=other), origin=other)
    )
    late.silent = True
    path = world.new_folder("two", None)
    (path / "z.kdl").write_text(f"""zones {{
        service "_game._tcp"
        key "staff.games.example.org" secret-file="staff.key"
        zone "games.example.org" {{ primary "127.0.0.1:{there.address[1]}" key="staff.games.example.org"; }}
        zone "chess.example.org" {{ primary "127.0.0.1:{late.address[1]}" key="staff.games.example.org"; }}
    }}""")
    node = world.node(path)
    world.run_until(lambda: node.statuses)
    assert node.list_changes == [({"s-0": "ready", "s-1": "ready"}, False)]
    late.silent = False
    world.run_until(lambda: "c-1" in node.statuses)
    assert node.list_changes[-1] == ({"s-0": "ready", "s-1": "ready", "c-1": "ready"}, True)
