"""Tests of zone files that are changed while the service runs."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.rcode
import dns.tsig

from tests.zonerig import (
    MS,
    World,
    added_endpoint,
    start_primary,
)

NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


def test_a_changed_file_is_reloaded_and_an_invalid_one_is_rejected(
    world: World,
) -> None:
    node, _client = start_primary(world)
    path = node.path / "games.zone"
    valid_text = path.read_text()
    path.write_text(
        valid_text.replace(" 1 60 10 600 30", " 2 60 10 600 30").replace("127.0.0.10", "127.0.0.99")
    )
    world.run_until(lambda: node.serial == 2)
    assert node.endpoints["s-0"].address[0] == "127.0.0.99"
    path.write_text("nonsense here\n")
    world.run_until(lambda: node.log.named("zone_file_rejected"))
    assert f"{path}:1:" in str(node.log.named("zone_file_rejected")[0]["reason"])
    # The serial of this file is behind the current one.
    path.write_text(valid_text.replace("127.0.0.10", "127.0.0.77"))
    world.run_until(lambda: len(node.log.named("zone_file_rejected")) == 2)
    assert "serial 1 is rejected, current serial is 2: behind" in str(
        node.log.named("zone_file_rejected")[1]["reason"]
    )
    assert (node.serial, len(node.statuses)) == (2, 4)


def test_updates_are_kept_when_their_original_file_is_reloaded(world: World) -> None:
    node, client = start_primary(world)
    assert client.update(*added_endpoint("s-9")) == NOERROR
    node.zones.reload()
    world.run_for_us(100 * MS)
    assert "s-9" in node.statuses
    node.kill()
    restarted = world.node(node.path)
    world.run_for_us(100 * MS)
    assert "s-9" in restarted.statuses
    assert restarted.log.named("zone_file_rejected") == []
