"""Keeps long computations from holding up the event loop, and logs those that do.

While the loop is held up, no lease is renewed and no request is answered. Work whose size users
set is done in slices, between which everything else gets its turn.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

log = logging.getLogger(__name__)

# Time for which sliced work runs before other work gets its turn.
SLICE_S = 0.02


async def run_in_slices(steps: Iterable[object]) -> None:
    """Runs all steps, and lets other work run after every ``SLICE_S`` of them."""
    slice_began_at = time.perf_counter()
    for _ in steps:
        if time.perf_counter() - slice_began_at > SLICE_S:
            await asyncio.sleep(0)
            slice_began_at = time.perf_counter()


@dataclass(frozen=True, slots=True)
class BlockedTimeLog:
    """Logs work that held up the event loop for at least ``threshold_s`` seconds."""

    threshold_s: float

    @contextlib.contextmanager
    def measure(self, work: str) -> Iterator[None]:
        """Measures the code in the context, which must not await; ``work`` names it."""
        began_at = time.perf_counter()
        try:
            yield
        finally:
            blocked_s = time.perf_counter() - began_at
            if blocked_s >= self.threshold_s:
                log.warning("event loop held up for %.0f ms by %s", blocked_s * 1e3, work)
