"""Each safety rule of Raft is necessary: without one of them, the simulation detects a violated property."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

import pytest

from kelpcourse.shared.errors import LogConflictError
from kelpcourse.shared.raft.node import Raft
from tests.raft_mutants import MUTANTS, SCENARIOS, run_crashes, run_figure_8
from tests.raft_simulation import MS, InvariantError, RaftSimulation, run_faults


class TestMutants:
    detecting_seeds: ClassVar[dict[str, int]] = {}

    @pytest.mark.parametrize("mutant", MUTANTS)
    def test_mutant_is_detected(self, mutant: type[Raft]) -> None:
        for seed in range(400):
            simulation = RaftSimulation(seed, 3 + 2 * (seed % 2), mutant)
            simulation.sync_us = (0, 60 * MS)
            try:
                SCENARIOS.get(mutant, run_faults)(simulation, 60)
            except (InvariantError, LogConflictError, AssertionError, TypeError):
                self.detecting_seeds[mutant.__name__] = seed
                return
        raise AssertionError(f"{mutant.__name__} is not detected")

    @pytest.mark.parametrize("scenario", [run_crashes, run_figure_8])
    def test_scenarios_pass_without_mutation(
        self, scenario: Callable[[RaftSimulation, int], None]
    ) -> None:
        for seed in range(16):
            simulation = RaftSimulation(seed, 3 + 2 * (seed % 2))
            simulation.sync_us = (0, 60 * MS)
            scenario(simulation, 30)
