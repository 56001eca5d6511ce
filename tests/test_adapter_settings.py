"""Tests of the adapter's settings, of the deploy file and of pinned dependencies."""

from __future__ import annotations

import tomllib
from pathlib import Path

from kelpcourse.policy.settings import AdmissionMode, Idempotency
from tests.simulator_input import START, AdapterHarness, batch

ROOT = Path(__file__).parent.parent


def test_settings_are_decoded_and_unknown_keys_are_ignored(
    adapter_harness: AdapterHarness,
) -> None:
    adapter_harness.run_batches(batch(8412250, *START))
    settings = adapter_harness.policies[0].settings
    assert settings.zones == ("room-a", "room-b")
    assert settings.discovery_is_polled
    assert settings.discovery_poll_deadline_us == 10_000_000
    assert settings.max_messages_per_proxy == 12
    assert settings.load_reports_on_health_check
    assert not settings.load_reports_inline
    assert [c.name for c in settings.classes] == ["board-read", "move-submit"]
    assert settings.classes[1].allowed_zones == frozenset({"room-a"})
    assert settings.classes[1].idempotency is Idempotency.NOT_IDEMPOTENT
    assert settings.classes[1].is_write
    assert settings.admission_mode is AdmissionMode.RATIO
    assert adapter_harness.policies[0].steps[0][0] == 8412250


def test_the_deploy_file_names_files_that_exist() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert all((ROOT / path).is_file() for path in deploy["policy"])
    assert all((ROOT / path).exists() for path in deploy["node"])
    assert deploy["sim"].endswith("-m kelpcourse.simhost")
    assert deploy["run"].endswith("-m kelpcourse")


def test_runtime_dependencies_are_pinned_to_the_same_versions_in_both_files() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    lines = (ROOT / "requirements.txt").read_text(encoding="utf-8").splitlines()
    pinned = [line for line in lines if line and not line.startswith("#")]
    assert sorted(project["dependencies"]) == sorted(pinned)
    assert all("==" in line for line in pinned)
