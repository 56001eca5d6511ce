"""Tests of which request classes and zones share a table."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import (
    BindProxy,
)
from tests.fleet import (
    READ,
    SECOND,
    SETTINGS,
    WRITE,
    PolicyHarness,
    actions_of_type,
    list_changes,
    make_endpoint,
    make_endpoints,
)


def test_a_class_of_some_zones_has_its_own_table_of_their_endpoints() -> None:
    restricted = replace(WRITE, allowed_zones=frozenset({"east"}))
    harness = PolicyHarness(replace(SETTINGS, classes=(READ, restricted)), listed=make_endpoints(6))
    east = {endpoint.id for endpoint in make_endpoints(6) if endpoint.zone == "east"}
    assert set(harness.tables[1]) == east
    assert set(harness.tables[0]) == {endpoint.id for endpoint in make_endpoints(6)}


def test_zone_bound_classes_have_a_table_for_each_zone() -> None:
    zone_bound = replace(READ, same_zone_only=True)
    harness = PolicyHarness(
        replace(SETTINGS, classes=(zone_bound,)), listed=make_endpoints(6), proxies=2
    )
    binds = [a for _, a in harness.log if isinstance(a, BindProxy)]
    for bind in binds:
        zone = SETTINGS.zones[bind.proxy % 2]
        assert set(harness.tables[bind.table]) == {
            endpoint.id for endpoint in make_endpoints(6) if endpoint.zone == zone
        }


def test_a_class_without_endpoints_is_bound_when_its_first_one_is_listed() -> None:
    restricted = replace(WRITE, allowed_zones=frozenset({"west"}))
    harness = PolicyHarness(
        replace(SETTINGS, classes=(READ, restricted)),
        listed=[make_endpoint(1), make_endpoint(2)],
        proxies=1,
    )
    actions = harness.send(list_changes([make_endpoint(3, "west")]))
    actions += harness.run_until(harness.now_us + 3 * SECOND)
    assert [b.classes for b in actions_of_type(actions, BindProxy)] == [(1,)]
