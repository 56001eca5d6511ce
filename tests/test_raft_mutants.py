"""Each safety rule of Raft is necessary: without one of them, the simulation detects a violated property."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

import pytest

from kelpcourse.shared.errors import LogConflictError
from kelpcourse.shared.raft.node import Raft
from tests.raftmutants import MUTANTS, SCENARIOS, figure_8, run_crashes
from tests.raftworld import MS, InvariantError, World, run_faults


class TestMutants:
    found: ClassVar[dict[str, int]] = {}

    @pytest.mark.parametrize("mutant", MUTANTS)
    def test_mutant_is_detected(self, mutant: type[Raft]) -> None:
        for seed in range(400):
            world = World(seed, 3 + 2 * (seed % 2), mutant)
            world.sync_us = (0, 60 * MS)
            try:
                SCENARIOS.get(mutant, run_faults)(world, 60)
            except (InvariantError, LogConflictError, AssertionError, TypeError):
                self.found[mutant.__name__] = seed
                return
        raise AssertionError(f"{mutant.__name__} is not detected")

    @pytest.mark.parametrize("scenario", [run_crashes, figure_8])
    def test_scenarios_pass_without_mutation(self, scenario: Callable[[World, int], None]) -> None:
        for seed in range(16):
            world = World(seed, 3 + 2 * (seed % 2))
            world.sync_us = (0, 60 * MS)
            scenario(world, 30)
