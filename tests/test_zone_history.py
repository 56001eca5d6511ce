"""Tests of the history of a zone's differences."""

from __future__ import annotations

import pytest

from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.history import History, restore_version
from tests.zonesamples import pending_version_of, record, zone_with


def test_history_is_bounded_and_removes_the_oldest_differences() -> None:
    history, zone = History(8), zone_with(1)
    for k in range(10):
        update = pending_version_of(zone, [record(f"x-{k}", "A", "10.0.0.1")]).difference(0)
        zone.apply(update)
        history.add(update)
    assert history.serials() == [10, 9, 8][::-1][-2:]
    assert history.differences_since(1) is None
    with pytest.raises(ZoneError, match="known: 9, 10"):
        restore_version(zone, history, 3, 0)
