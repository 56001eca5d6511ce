"""A secondary beside primaries that err: serials that go back, transfers cut or unfit, silence, forged answers."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import dns.flags
import dns.message
import pytest

from kelpcourse.zones.records import Record
from kelpcourse.zones.serials import HALF_SERIAL_SPACE
from kelpcourse.zones.transfer import ixfr_records
from kelpcourse.zones.versions import Zone
from tests.zoneprimary import ScriptedPrimary
from tests.zonerig import MS, OTHER, SECOND, Part, World
from tests.zoning import ORIGIN, draft_of, host, rooms, soa, zone


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    made.close()


def with_soa(start: Zone, record: Record) -> Zone:
    made = start.copy()
    for each in [r for r in start.records() if r.type == 6]:
        made.remove(each)
    made.add(record)
    return made


def following(world: World, serial: int = 100, expire: int = 600) -> tuple[ScriptedPrimary, Part]:
    primary = ScriptedPrimary(
        world.loop, with_soa(zone(serial, rooms()), soa(serial, expire=expire))
    )
    part = world.secondary(primary.address)
    world.until(lambda: part.serial == serial)
    primary.asked.clear()
    return primary, part


def ask_again(world: World, part: Part, primary: ScriptedPrimary) -> None:
    asked = len(primary.asked)
    part.zones.notify_received(ORIGIN)
    world.until(lambda: len(primary.asked) > asked)
    world.pass_us(100 * MS)


@pytest.mark.parametrize(
    ("serial", "verdict"),
    [(99, "behind"), (100 + HALF_SERIAL_SPACE, "undefined"), (101 + HALF_SERIAL_SPACE, "behind")],
)
def test_a_serial_that_goes_backwards_is_not_followed_and_told_once(
    world: World, serial: int, verdict: str
) -> None:
    primary, part = following(world)
    primary.zone = zone(serial, host("s-9"))
    for _ in range(3):
        ask_again(world, part, primary)
    assert (part.serial, set(part.list)) == (100, {f"s-{k}" for k in range(4)})
    (line,) = part.log.named("zone_versions_inconsistent")
    assert (line["verdict"], line["current"], line["received"]) == (verdict, 100, serial)
    assert "AXFR" not in primary.asked
    primary.zone = zone(101, rooms(), host("s-9"))
    ask_again(world, part, primary)
    assert "s-9" in part.list
    assert len(part.log.named("zone_versions_consistent")) == 1


def test_an_old_zone_behind_a_newer_soa_is_not_believed(world: World) -> None:
    """Behind one address stand two servers, of which one is late."""
    primary, part = following(world)
    primary.zone, primary.sent = zone(102, rooms(), host("s-9")), zone(98, host("s-8"))
    ask_again(world, part, primary)
    assert (part.serial, len(part.list)) == (100, 4)
    primary.sent = None
    ask_again(world, part, primary)
    assert (part.serial, "s-9" in part.list) == (102, True)


def test_differences_that_do_not_fit_fall_back_to_the_whole_zone(world: World) -> None:
    primary, part = following(world)
    new = zone(101, rooms(3), host("s-9"))
    stranger = draft_of(zone(100, host("nobody")), host("s-9"), host("nobody")).difference(0)
    primary.zone, primary.ixfr = new, lambda _: ixfr_records(new, [stranger])
    ask_again(world, part, primary)
    assert primary.asked == ["SOA", "IXFR", "AXFR"]
    assert sorted(part.list) == ["s-0", "s-1", "s-2", "s-9"]
    assert part.log.named("zone_ixfr_failed")


def test_differences_that_fit_are_taken(world: World) -> None:
    primary, part = following(world)
    draft = draft_of(primary.zone, host("s-9"), [r for r in rooms() if r.owner.startswith("s-0.")])
    step = draft.difference(0)
    new = primary.zone.copy()
    new.apply(step)
    primary.zone, primary.ixfr = new, lambda _: ixfr_records(new, [step])
    ask_again(world, part, primary)
    assert primary.asked == ["SOA", "IXFR"]
    assert part.told[-1] == ({"s-0": "gone", "s-9": "ready"}, False)


@pytest.mark.parametrize("cut", [0, 1, 2])
def test_a_transfer_cut_in_the_middle_leaves_the_zone_as_it_was(world: World, cut: int) -> None:
    primary, part = following(world)
    primary.zone = zone(101, [r for k in range(500) for r in host(f"h-{k}")])
    primary.cut_after = cut
    ask_again(world, part, primary)
    assert (part.serial, len(part.list)) == (100, 4)
    primary.cut_after = 1 << 30
    part.zones.notify_received(ORIGIN)
    world.until(lambda: part.serial == 101)
    assert len(part.list) == 500


def test_a_primary_silent_past_expire_loses_the_source_and_no_host(world: World) -> None:
    primary, part = following(world, expire=30)
    primary.silent = True
    world.until(lambda: part.log.named("zone_expired"))
    assert part.losses == 1
    assert len(part.list) == 4  # silence takes nothing away
    answer = part.zones.merged_list
    assert not answer.is_available
    primary.silent, primary.zone = (
        False,
        zone(7, rooms(), host("s-9")),
    )  # and what it has then is believed
    world.until(lambda: part.serial == 7)
    assert answer.is_available
    assert "s-9" in part.list


def test_a_serial_that_went_back_for_longer_than_expire_is_believed_then(world: World) -> None:
    primary, part = following(world, expire=30)
    primary.zone = with_soa(zone(7, host("s-9")), soa(7, expire=30))
    world.until(lambda: part.serial == 7)
    assert part.log.named("zone_expired")
    assert set(part.list) == {"s-9"}


def test_forged_answers_are_not_believed_and_the_true_one_is_waited_for(world: World) -> None:
    primary, part = following(world)
    forged = zone(105, host("evil"))

    def forge(query: dns.message.Message) -> list[bytes]:
        other_id = primary.soa_answer(query, forged)
        other_id.id ^= 1
        unsigned = dns.message.make_query(ORIGIN, "SOA")
        unsigned.id = query.id
        unsigned.flags |= dns.flags.QR
        wrongly = dns.message.make_query(ORIGIN, "SOA")
        wrongly.id = query.id
        wrongly.use_tsig(OTHER)
        wrongly.flags |= dns.flags.QR
        return [other_id.to_wire(), unsigned.to_wire(), wrongly.to_wire(), b"\xff" * 20]

    primary.before_udp = forge
    primary.zone = zone(101, rooms(), host("s-9"))
    ask_again(world, part, primary)
    assert (part.serial, "s-9" in part.list, "evil" in part.list) == (101, True, False)
    assert part.counters["zone_answers_unverified"] >= 4


def test_without_a_key_an_answer_from_another_port_is_not_heard(world: World) -> None:
    primary = ScriptedPrimary(world.loop, zone(100, rooms()), signed=False)
    other = ScriptedPrimary(world.loop, zone(105, host("evil")), signed=False)
    part = world.secondary(primary.address, key=False)
    heard: list[int] = []

    def from_elsewhere(query: dns.message.Message) -> list[bytes]:
        heard.append(query.id)
        return []

    primary.before_udp = from_elsewhere
    world.until(lambda: part.serial == 100)
    assert heard
    assert other.asked == []
    assert "evil" not in part.list


def test_two_primaries_of_which_one_is_behind_and_one_is_dead(world: World) -> None:
    ahead = ScriptedPrimary(world.loop, zone(101, rooms(), host("s-9")))
    behind = ScriptedPrimary(world.loop, zone(100, rooms()))
    part = world.secondary(("127.0.0.1", 9), behind.address, ahead.address)
    world.until(lambda: part.serial == 100)
    behind.silent = True
    part.zones.notify_received(ORIGIN)
    world.until(lambda: part.serial == 101)
    behind.silent = False
    ahead.silent = True
    part.zones.notify_received(ORIGIN)
    world.until(lambda: part.log.named("zone_versions_inconsistent"))
    assert (part.serial, "s-9" in part.list) == (101, True)


def test_two_primaries_with_two_histories_under_one_serial_are_told(world: World) -> None:
    one, part = following(world)
    one.zone = with_soa(zone(100, host("s-9")), soa(100, refresh=61))
    ask_again(world, part, one)
    assert [line["verdict"] for line in part.log.named("zone_versions_inconsistent")] == ["differs"]
    assert len(part.list) == 4


def test_a_secondary_that_starts_again_holds_what_it_had_and_its_time_runs_on(world: World) -> None:
    primary = ScriptedPrimary(world.loop, zone(100, rooms()))
    part = world.secondary(primary.address, more='state "state"')
    world.until(
        lambda: (
            part.serial == 100
            and part.zones.store.writer is not None
            and not part.zones.store.writer.broken
        )
    )
    primary.zone = zone(101, rooms(), host("s-9"))
    ask_again(world, part, primary)
    world.until(lambda: part.zones.store.writer is not None and not part.zones.store.writer.waiting)
    part.kill()
    primary.silent = True
    again = world.part(part.path)
    assert (again.serial, len(again.list)) == (101, 5)
    world.pass_us(2 * SECOND)
    assert again.log.named("zone_expired") == []


def test_until_every_zone_has_been_had_nothing_is_taken_away(world: World) -> None:
    """A director that starts knows hosts of a zone that it can't ask yet: they must not count as gone."""
    there, other = ScriptedPrimary(world.loop, zone(1, rooms(2))), "chess.example.org."
    late = ScriptedPrimary(world.loop, zone(1, host("c-1", origin=other), origin=other))
    late.silent = True
    path = world.folder_of("two", None)
    (path / "z.kdl").write_text(f"""zones {{
        service "_game._tcp"
        key "staff.games.example.org" secret-file="staff.key"
        zone "games.example.org" {{ primary "127.0.0.1:{there.address[1]}" key="staff.games.example.org"; }}
        zone "chess.example.org" {{ primary "127.0.0.1:{late.address[1]}" key="staff.games.example.org"; }}
    }}""")
    part = world.part(path)
    world.until(lambda: part.list)
    assert part.told == [({"s-0": "ready", "s-1": "ready"}, False)]
    late.silent = False
    world.until(lambda: "c-1" in part.list)
    assert part.told[-1] == ({"s-0": "ready", "s-1": "ready", "c-1": "ready"}, True)
