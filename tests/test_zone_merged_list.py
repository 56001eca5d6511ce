"""Tests of the merged endpoint list of several zones."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.merged_list import MergedEndpointList
from kelpcourse.zones.refresh import SECOND_US
from tests.zonesamples import listed_endpoint


def merged_list(*sources: str, grace_us: int = 2 * SECOND_US) -> MergedEndpointList:
    return MergedEndpointList(sources or ("z",), grace_us, 100)


def test_an_endpoint_listed_again_after_the_grace_period_counts_as_restarted() -> None:
    merged = merged_list()
    merged.update("z", {"s": listed_endpoint("s", started_ms=5.0)}, 1_000)
    gone, _ = merged.update("z", {"s": None}, 1_010)
    assert [m.status for m in gone] == [EndpointStatus.GONE]
    relisted, _ = merged.update("z", {"s": listed_endpoint("s", started_ms=5.0)}, 1_060)
    assert relisted == [listed_endpoint("s", started_ms=5.0)]
    merged.update("z", {"s": None}, 1_100)
    relisted, _ = merged.update("z", {"s": listed_endpoint("s", started_ms=5.0)}, 3_101)
    assert [m.started_ms for m in relisted] == [3_101.0]
    draining, _ = merged.update(
        "z", {"s": listed_endpoint("s", status=EndpointStatus.DRAINING)}, 9_000
    )
    assert [(m.status, m.started_ms) for m in draining] == [(EndpointStatus.DRAINING, 3_101.0)]


def test_an_absence_of_unknown_length_counts_as_a_restart() -> None:
    merged = merged_list()
    merged.update("z", {"s": listed_endpoint("s")}, 1_000)
    merged.update("z", {"s": None}, 5_000)
    relisted, _ = merged.update("z", {"s": listed_endpoint("s")}, 4_000)  # the clock was set back
    assert [m.started_ms for m in relisted] == [4_000.0]


def test_an_endpoint_is_listed_if_any_zone_announces_it_and_draining_if_any_drains_it() -> None:
    merged = merged_list("a", "b")
    merged.update("a", {"s": listed_endpoint("s", started_ms=5.0)}, 0)
    assert merged.update("b", {"s": listed_endpoint("s", started_ms=9.0)}, 0)[0] == [
        listed_endpoint("s", started_ms=9.0)
    ]
    changed, _ = merged.update("b", {"s": listed_endpoint("s", status=EndpointStatus.DRAINING)}, 0)
    assert [m.status for m in changed] == [EndpointStatus.DRAINING]
    # Without zone a, the latest start is 0. The endpoint is still draining.
    assert merged.update("a", {"s": None}, 0)[0] != []
    assert merged.endpoints["s"].status is EndpointStatus.DRAINING
    assert [m.status for m in merged.update("b", {"s": None}, 0)[0]] == [EndpointStatus.GONE]


def test_a_conflict_of_zones_is_reported_once_and_the_first_zone_has_precedence() -> None:
    merged = merged_list("a", "b")
    merged.update("b", {"s": listed_endpoint("s", address="10.0.0.2")}, 0)
    changed, conflicts = merged.update("a", {"s": listed_endpoint("s", address="10.0.0.1")}, 0)
    assert [m.address[0] for m in changed] == ["10.0.0.1"]
    assert [(c.endpoint, c.begins) for c in conflicts] == [("s", True)]
    assert (
        merged.update("a", {"s": listed_endpoint("s", address="10.0.0.1", started_ms=1.0)}, 0)[1]
        == []
    )
    changed, conflicts = merged.update("a", {"s": None}, 0)
    assert [m.address[0] for m in changed] == ["10.0.0.2"]
    assert [c.begins for c in conflicts] == [False]


def test_a_change_of_several_endpoints_is_one_version_and_an_equal_update_is_no_change() -> None:
    merged = merged_list()
    changed, _ = merged.update("z", {f"s-{k}": listed_endpoint(f"s-{k}") for k in range(5)}, 0)
    assert (len(changed), merged.version) == (5, 1)
    assert merged.update("z", {"s-0": listed_endpoint("s-0")}, 0) == ([], [])
    assert merged.version == 1
    changed, _ = merged.update("z", {f"s-{k}": None for k in range(5)}, 0)
    assert (len(changed), merged.version, merged.endpoints) == (5, 2, {})


statuses = st.sampled_from([EndpointStatus.READY, EndpointStatus.DRAINING])

steps = st.lists(
    st.tuples(
        st.sampled_from("ab"),
        st.sampled_from("xyz"),
        st.none() | statuses,
        st.integers(0, 3_000),
    ),
    max_size=40,
)


@given(steps)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_reported_changes_lead_to_the_merged_list(
    change_steps: list[tuple[str, str, EndpointStatus | None, int]],
) -> None:
    merged = merged_list("a", "b")
    now = 0
    announced: dict[str, dict[str, EndpointStatus]] = {"a": {}, "b": {}}
    listed: dict[str, EndpointStatus] = {}
    for zone, name, status, wait in change_steps:
        now += wait
        announced[zone].pop(name, None)
        if status is not None:
            announced[zone][name] = status
        endpoint = listed_endpoint(name, status=status) if status else None
        changed, _ = merged.update(zone, {name: endpoint}, now)
        for entry in changed:
            listed.pop(entry.name, None)
            if entry.status is not EndpointStatus.GONE:
                listed[entry.name] = entry.status
    expected: dict[str, EndpointStatus] = {}
    for name in {*announced["a"], *announced["b"]}:
        views = [by_name[name] for by_name in announced.values() if name in by_name]
        expected[name] = (
            EndpointStatus.DRAINING if EndpointStatus.DRAINING in views else EndpointStatus.READY
        )
    assert listed == expected
