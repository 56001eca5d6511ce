"""Each defence of Raft is needed: with one taken out, the checkers find a broken rule."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

import pytest

from kelpcourse.shared.errors import LogConflictError
from kelpcourse.shared.raft.node import Raft
from tests.raftmutants import MUTANTS, SCENES, figure_8, run_crashes
from tests.raftworld import MS, InvariantError, World, run_faults


class TestMutants:
    found: ClassVar[dict[str, int]] = {}

    @pytest.mark.parametrize("mutant", MUTANTS)
    def test_a_missing_defence_is_found(self, mutant: type[Raft]) -> None:
        for seed in range(400):
            world = World(seed, 3 + 2 * (seed % 2), mutant)
            world.sync_us = (0, 60 * MS)
            try:
                SCENES.get(mutant, run_faults)(world, 60)
            except (InvariantError, LogConflictError, AssertionError, TypeError):
                self.found[mutant.__name__] = seed
                return
        raise AssertionError(f"{mutant.__name__} is not found")

    @pytest.mark.parametrize("scene", [run_crashes, figure_8])
    def test_scenes_that_find_mutants_find_nothing_in_the_original(
        self, scene: Callable[[World, int], None]
    ) -> None:
        for seed in range(16):
            world = World(seed, 3 + 2 * (seed % 2))
            world.sync_us = (0, 60 * MS)
            scene(world, 30)
