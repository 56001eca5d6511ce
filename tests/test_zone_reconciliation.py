"""Tests of the reconciliation of versions that different primaries offer."""

from __future__ import annotations

import pytest

from kelpcourse.zones.reconciliation import Verdict, Version, VersionReconciler, compare_versions
from kelpcourse.zones.serials import HALF_SERIAL_SPACE


def version(serial: int, soa: bytes = b"soa") -> Version:
    return Version(serial, soa)


@pytest.mark.parametrize(
    ("offered", "verdict"),
    [
        (version(101), Verdict.NEWER),
        (version(100), Verdict.SAME),
        (version(99), Verdict.BEHIND),
        (version(100 + HALF_SERIAL_SPACE), Verdict.UNDEFINED),
        (version(101 + HALF_SERIAL_SPACE), Verdict.BEHIND),
        (version(99 + HALF_SERIAL_SPACE), Verdict.NEWER),
        (version(100, b"other"), Verdict.DIFFERS),
    ],
)
def test_an_offered_version_is_compared_by_serial_and_soa(
    offered: Version, verdict: Verdict
) -> None:
    assert compare_versions(version(100), offered) is verdict
    assert compare_versions(None, offered) is Verdict.NEWER


def test_a_primary_restored_from_a_backup_is_reported_once_and_accepted_after_expiry() -> None:
    reconciler = VersionReconciler(version(100))
    verdict, contradictions = reconciler.offer("p", version(40))
    assert verdict is Verdict.BEHIND
    assert [(c.accepted_serial, c.offered_serial, c.begins) for c in contradictions] == [
        (100, 40, True)
    ]
    assert reconciler.offer("p", version(40)) == (Verdict.BEHIND, [])
    assert reconciler.contradicted
    reconciler.expire()
    verdict, contradictions = reconciler.offer("p", version(41))
    assert verdict is Verdict.NEWER
    assert [c.begins for c in contradictions] == [False]
    reconciler.accept(version(41))
    assert reconciler.offer("p", version(40))[0] is Verdict.BEHIND


def test_contradictions_are_tracked_by_source_and_end_when_the_source_times_out() -> None:
    reconciler = VersionReconciler(version(100))
    assert reconciler.offer("a", version(100))[0] is Verdict.SAME
    assert reconciler.offer("b", version(100, b"another"))[0] is Verdict.DIFFERS
    assert [c.begins for c in reconciler.source_timed_out("b")] == [False]
    assert not reconciler.contradicted
    assert reconciler.source_timed_out("b") == []
