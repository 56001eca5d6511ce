"""The history of a zone."""

from __future__ import annotations

import pytest

from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.history import History, restore_version
from tests.zonesamples import pending_version_of, record, zone_with


def test_history_is_bounded_and_forgets_the_oldest() -> None:
    history, one = History(8), zone_with(1)
    for k in range(10):
        step = pending_version_of(one, [record(f"x-{k}", "A", "10.0.0.1")]).difference(0)
        one.apply(step)
        history.add(step)
    assert history.serials() == [10, 9, 8][::-1][-2:]
    assert history.differences_since(1) is None
    with pytest.raises(ZoneError, match="known: 9, 10"):
        restore_version(one, history, 3, 0)
