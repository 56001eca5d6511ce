"""Request classes and zones have the tables that they need."""

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
    Day,
    changes,
    host,
    hosts,
    only,
)


def test_a_class_for_some_zones_has_its_own_table_of_their_endpoints() -> None:
    bound = replace(WRITE, allowed_zones=frozenset({"east"}))
    day = Day(replace(SETTINGS, classes=(READ, bound)), listed=hosts(6))
    east = {h.id for h in hosts(6) if h.zone == "east"}
    assert set(day.tables[1]) == east
    assert set(day.tables[0]) == {h.id for h in hosts(6)}


def test_zone_bound_classes_have_a_table_for_each_zone() -> None:
    own = replace(READ, same_zone_only=True)
    day = Day(replace(SETTINGS, classes=(own,)), listed=hosts(6), proxies=2)
    binds = [a for _, a in day.log if isinstance(a, BindProxy)]
    for bind in binds:
        zone = SETTINGS.zones[bind.proxy % 2]
        assert set(day.tables[bind.table]) == {h.id for h in hosts(6) if h.zone == zone}


def test_a_class_whose_endpoints_appear_later_is_bound_then() -> None:
    bound = replace(WRITE, allowed_zones=frozenset({"west"}))
    day = Day(replace(SETTINGS, classes=(READ, bound)), listed=[host(1), host(2)], proxies=1)
    actions = day.send(changes([host(3, "west")]))
    actions += day.until(day.now + 3 * SECOND)
    assert [b.classes for b in only(actions, BindProxy)] == [(1,)]
