"""Dynamic updates: who may make them, their effect, and that they are durable before the response."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.rcode
import dns.tsig
import pytest

from tests.zonerig import (
    KEY,
    OTHER_SECRET_KEY,
    SUBMIT,
    World,
    added_endpoint,
    room_a_removal,
    start_primary,
    update_message,
)

NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


def test_a_signed_update_is_durable_before_it_is_answered_and_announced(world: World) -> None:
    node, client = start_primary(world)
    assert set(node.statuses) == {f"s-{k}" for k in range(4)}
    assert client.update(*added_endpoint("s-9")) == NOERROR
    assert (set(node.statuses) - {f"s-{k}" for k in range(4)}, node.serial) == ({"s-9"}, 2)
    node.kill()
    again = world.node(node.path)
    assert "s-9" in again.statuses
    assert again.serial == 2
    assert again.list_changes[0][1]  # one whole list, at once


def test_an_update_that_is_not_signed_or_not_allowed_changes_nothing(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    node, client = start_primary(world, update='{ names "*.room-a"; types "SRV"; }')
    add = added_endpoint("s-9")
    assert client.update(*add, key=None) == REFUSED
    wrong = client.send(update_message(*add, key=OTHER_SECRET_KEY).to_wire())
    answer = dns.message.from_wire(client.receive(wrong), keyring=False)
    assert (answer.rcode(), answer.tsig_error) == (dns.rcode.NOTAUTH, dns.rcode.BADSIG)
    stranger = dns.tsig.Key(dns.name.from_text("nobody."), KEY.secret, KEY.algorithm)
    answer = dns.message.from_wire(
        client.receive(client.send(update_message(*add, key=stranger).to_wire())), keyring=False
    )
    assert (answer.rcode(), answer.tsig_error) == (dns.rcode.NOTAUTH, dns.rcode.BADKEY)
    message = update_message(*add)
    with monkeypatch.context() as past:
        past.setattr("dns.message.time.time", lambda: 1_700_000_000)
        wire = message.to_wire()
    answer = dns.message.from_wire(client.receive(client.send(wire)), keyring=False)
    assert (answer.rcode(), answer.tsig_error) == (dns.rcode.NOTAUTH, dns.rcode.BADTIME)
    with pytest.raises(dns.tsig.PeerBadTime):  # told under the key, so that the client believes it
        dns.message.from_wire(
            client.receive(client.send(wire)),
            keyring={KEY.name: KEY},
            request_mac=message.mac or b"",
        )
    assert client.update(*add) == REFUSED  # A and TXT at s-9 are beyond the grant
    assert client.update(add[0]) == NOERROR
    assert (set(node.statuses), node.serial) == ({f"s-{k}" for k in range(4)}, 2)


def test_updates_are_atomic_and_their_prerequisites_hold(world: World) -> None:
    node, client = start_primary(world)
    assert client.update(("present", "s-0", "AAAA"), *added_endpoint("s-9")) == dns.rcode.NXRRSET
    assert (
        client.update(*added_endpoint("s-9"), ("add", "x.elsewhere.org.", "60", "A", "10.0.0.1"))
        == dns.rcode.NOTZONE
    )
    assert node.serial == 1
    assert client.update(("absent", "s-9"), *added_endpoint("s-9"), tcp=True) == NOERROR
    assert client.update(("absent", "s-9"), *added_endpoint("s-9"), tcp=True) == dns.rcode.YXDOMAIN
    assert client.update(*added_endpoint("s-9")) == NOERROR  # stands already: nothing changes
    assert node.serial == 2


def test_an_update_sent_twice_takes_effect_once_and_is_answered_twice(world: World) -> None:
    """A client repeats what got no answer; a recorded removal must not undo the restore that followed it."""
    node, client = start_primary(world)
    message = update_message(("delete", "s-0"))
    wire = message.to_wire()
    sent = [client.send(wire), client.send(wire)]
    assert [dns.message.from_wire(client.receive(s), keyring=False).rcode() for s in sent] == [
        NOERROR
    ] * 2
    assert client.update(("add", "s-0", "60", "A", "127.0.0.10")) == NOERROR
    late = client.send(wire)
    assert dns.message.from_wire(client.receive(late), keyring=False).rcode() == NOERROR
    assert ("s-0" in node.statuses, node.serial) == (True, 3)
    assert node.counters["zone_updates_deduplicated"] == 2


def test_removing_more_endpoints_than_granted_is_refused(world: World) -> None:
    node, client = start_primary(world, update="most=0.5", classes=(SUBMIT,))
    assert client.update(*room_a_removal()) == REFUSED
    assert (len(node.statuses), node.serial) == (4, 1)
    assert "removes 2 of 2 ready endpoints of class move-submit" in str(
        node.log.named("zone_update_denied")[0]
    )
    assert client.update(("delete", "s-0")) == NOERROR
    assert set(node.statuses) == {"s-1", "s-2", "s-3"}


def test_fifty_updates_of_one_round_share_syncs(world: World) -> None:
    node, client = start_primary(world)
    codes = client.update_all(
        [update_message(*added_endpoint(f"n-{k}", address=f"127.0.2.{k}")) for k in range(50)]
    )
    assert codes == [NOERROR] * 50
    assert (len(node.statuses), node.serial) == (54, 51)


def test_a_thousand_unsigned_updates_change_nothing_and_are_all_answered(world: World) -> None:
    node, client = start_primary(world)
    wire = update_message(*added_endpoint("s-9"), key=None).to_wire()
    for _ in range(1000):
        client.send(wire).close()
        world.run_once()
    assert client.update(*added_endpoint("s-8")) == NOERROR
    assert (node.serial, "s-9" in node.statuses) == (2, False)
    assert node.counters["zone_updates_denied"] == 1000
