"""Seeded simulations give the same results under every PYTHONHASHSEED.

Guards against decisions that depend on the iteration order of a set.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

SIMULATION_SCRIPT = """
from tests.test_rules import mixed_faults, simulate
for seed in (80, 83):
    world = simulate(seed, mixed_faults, nodes=5)
    completed = len(world.jobs.completed_tasks)
    print(world.checker.starts, world.killed_tasks, world.failed_tasks, completed)
    print(world.state.store.revision, sorted(world.final_phases.items()))
"""


def test_seeded_simulations_are_reproducible_under_every_hash_seed() -> None:
    root = Path(__file__).parent.parent
    outputs = set()
    for seed in ("0", "1", "12345"):
        completed = subprocess.run(
            [sys.executable, "-c", SIMULATION_SCRIPT],
            cwd=root,
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
            text=True,
        )
        outputs.add(completed.stdout)
    assert len(outputs) == 1
