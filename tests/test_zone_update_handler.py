"""Tests of dynamic updates: permissions, effects, and durability before the response."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.rcode
import dns.tsig
import dns.update
import pytest

from tests.zonerig import (
    KEY,
    OTHER_SECRET_KEY,
    SUBMIT,
    Client,
    World,
    added_endpoint,
    room_a_removal,
    start_primary,
    update_message,
)

NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


def test_signed_update_is_durable_before_it_is_confirmed_and_published(world: World) -> None:
    node, client = start_primary(world)
    assert set(node.statuses) == {f"s-{k}" for k in range(4)}
    assert client.update(*added_endpoint("s-9")) == NOERROR
    assert (set(node.statuses) - {f"s-{k}" for k in range(4)}, node.serial) == ({"s-9"}, 2)
    node.kill()
    restarted = world.node(node.path)
    assert "s-9" in restarted.statuses
    assert restarted.serial == 2
    assert restarted.list_changes[0][1]  # The first published change is a complete list


def test_unsigned_or_disallowed_update_is_rejected(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    node, client = start_primary(world, update='{ names "*.room-a"; types "SRV"; }')
    add = added_endpoint("s-9")
    assert client.update(*add, key=None) == REFUSED
    wrongly_signed = client.send(update_message(*add, key=OTHER_SECRET_KEY).to_wire())
    response = dns.message.from_wire(client.receive(wrongly_signed), keyring=False)
    assert (response.rcode(), response.tsig_error) == (dns.rcode.NOTAUTH, dns.rcode.BADSIG)
    unknown_key = dns.tsig.Key(dns.name.from_text("nobody."), KEY.secret, KEY.algorithm)
    response = dns.message.from_wire(
        client.receive(client.send(update_message(*add, key=unknown_key).to_wire())), keyring=False
    )
    assert (response.rcode(), response.tsig_error) == (dns.rcode.NOTAUTH, dns.rcode.BADKEY)
    message = update_message(*add)
    with monkeypatch.context() as patch:
        patch.setattr("dns.message.time.time", lambda: 1_700_000_000)
        wire = message.to_wire()
    response = dns.message.from_wire(client.receive(client.send(wire)), keyring=False)
    assert (response.rcode(), response.tsig_error) == (dns.rcode.NOTAUTH, dns.rcode.BADTIME)
    with pytest.raises(dns.tsig.PeerBadTime):  # Signed, so that the client can verify it
        dns.message.from_wire(
            client.receive(client.send(wire)),
            keyring={KEY.name: KEY},
            request_mac=message.mac or b"",
        )
    assert client.update(*add) == REFUSED  # The grant does not allow A and TXT records of s-9
    assert client.update(add[0]) == NOERROR
    assert (set(node.statuses), node.serial) == ({f"s-{k}" for k in range(4)}, 2)


def test_updates_are_atomic_and_their_prerequisites_are_checked(world: World) -> None:
    node, client = start_primary(world)
    assert client.update(("present", "s-0", "AAAA"), *added_endpoint("s-9")) == dns.rcode.NXRRSET
    assert (
        client.update(*added_endpoint("s-9"), ("add", "x.elsewhere.org.", "60", "A", "10.0.0.1"))
        == dns.rcode.NOTZONE
    )
    assert node.serial == 1
    assert client.update(("absent", "s-9"), *added_endpoint("s-9"), tcp=True) == NOERROR
    assert client.update(("absent", "s-9"), *added_endpoint("s-9"), tcp=True) == dns.rcode.YXDOMAIN
    assert client.update(*added_endpoint("s-9")) == NOERROR  # No change: the records exist
    assert node.serial == 2


def test_repeated_update_takes_effect_once_and_gets_a_response_each_time(world: World) -> None:
    """Clients retry an update without a response, and a replayed removal must not undo a later restore."""
    node, client = start_primary(world)
    message = update_message(("delete", "s-0"))
    wire = message.to_wire()
    sent = [client.send(wire), client.send(wire)]
    assert [dns.message.from_wire(client.receive(s), keyring=False).rcode() for s in sent] == [
        NOERROR
    ] * 2
    assert client.update(("add", "s-0", "60", "A", "127.0.0.10")) == NOERROR
    replayed = client.send(wire)
    assert dns.message.from_wire(client.receive(replayed), keyring=False).rcode() == NOERROR
    assert ("s-0" in node.statuses, node.serial) == (True, 3)
    assert node.counters["zone_updates_deduplicated"] == 2


def test_update_that_removes_more_endpoints_than_granted_is_refused(world: World) -> None:
    node, client = start_primary(world, update="most=0.5", classes=(SUBMIT,))
    assert client.update(*room_a_removal()) == REFUSED
    assert (len(node.statuses), node.serial) == (4, 1)
    assert "removes 2 of 2 ready endpoints of class move-submit" in str(
        node.log.named("zone_update_denied")[0]
    )
    assert client.update(("delete", "s-0")) == NOERROR
    assert set(node.statuses) == {"s-1", "s-2", "s-3"}


def test_fifty_simultaneous_updates_are_all_applied(world: World) -> None:
    node, client = start_primary(world)
    rcodes = client.update_all(
        [update_message(*added_endpoint(f"n-{k}", address=f"127.0.2.{k}")) for k in range(50)]
    )
    assert rcodes == [NOERROR] * 50
    assert (len(node.statuses), node.serial) == (54, 51)


def test_flood_of_unsigned_updates_changes_nothing(world: World) -> None:
    node, client = start_primary(world)
    wire = update_message(*added_endpoint("s-9"), key=None).to_wire()
    for _ in range(1000):
        client.send(wire).close()
        world.run_once()
    assert client.update(*added_endpoint("s-8")) == NOERROR
    assert (node.serial, "s-9" in node.statuses) == (2, False)
    assert node.counters["zone_updates_denied"] == 1000


def removals_of(count: int) -> list[dns.update.UpdateMessage]:
    return [update_message(("delete", f"s-{number}")) for number in range(count)]


@pytest.mark.parametrize("sent_together", [False, True])
def test_the_removal_limit_counts_removals_that_wait_for_the_disk(
    world: World, sent_together: bool
) -> None:
    """Guards against a limit that lets more through if updates are sent at once."""
    node, client = start_primary(world, update="most=0.5 within=3600", endpoints=10)
    if sent_together:
        rcodes = client.update_all(removals_of(10))
    else:
        rcodes = [client.exchange(message).rcode() for message in removals_of(10)]
    assert sorted(rcodes) == [NOERROR] * 5 + [REFUSED] * 5
    assert len(node.statuses) == 5
    node.kill()
    restarted = world.node(node.path)
    client = Client(world, restarted)
    world.run_until(lambda: restarted.zones.store.writer is not None and not restarted.disk_is_busy)
    remaining = next(iter(restarted.statuses))
    assert client.update(("delete", remaining)) == REFUSED  # a restart doesn't forget removals
    assert len(restarted.statuses) == 5
