"""Decisions don't depend on the order of a set: seeded runs repeat under any hash seed."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

DAY = """
from tests.test_rules import bad_nights, play
for seed in (80, 83):
    world = play(seed, bad_nights, nodes=5)
    print(world.checker.starts, world.killed, world.errors, len(world.jobs.done))
    print(world.state.store.revision, sorted(world.told.items()))
"""


def test_seeded_runs_repeat_under_every_hash_seed() -> None:
    root = Path(__file__).parent.parent
    seen = set()
    for seed in ("0", "1", "12345"):
        done = subprocess.run(
            [sys.executable, "-c", DAY],
            cwd=root,
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
            text=True,
        )
        seen.add(done.stdout)
    assert len(seen) == 1
