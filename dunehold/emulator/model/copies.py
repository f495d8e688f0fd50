"""Copies of answered requests, which a network delivers once more, at any later time.

Nobody waits for the answer to a copy.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from dunehold.emulator.model.base import Randomness
from dunehold.transport.http import NoResponse


class CopyRule(NamedTuple):
    """Which answered requests are copied, and how long after the answers copies arrive."""

    path: str  # prefix of the requests' paths
    share: float  # share of these requests that is copied
    min_delay_s: float
    max_delay_s: float


@dataclass(slots=True)
class RequestCopies:
    """Delivers copies; of the rules in force, the first that fits a request applies."""

    rng: Randomness
    rules: list[CopyRule] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def answered(self, path: str, deliver: Callable[[], Awaitable[object]]) -> None:
        """Notes that a request was answered; ``deliver`` is called when a copy of it arrives.

        What ``deliver`` returns is ignored, as are connections that fail.
        """
        delay_s = self._draw_delay_s(path)
        if delay_s is not None:
            task = asyncio.get_running_loop().create_task(self._deliver(delay_s, deliver))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    @staticmethod
    async def _deliver(delay_s: float, deliver: Callable[[], Awaitable[object]]) -> None:
        await asyncio.sleep(delay_s)
        with contextlib.suppress(OSError, NoResponse):
            await deliver()

    def _draw_delay_s(self, path: str) -> float | None:
        """Returns after how many seconds a copy of a request arrives; None without a copy."""
        for rule in self.rules:
            if path.startswith(rule.path):
                if self.rng.random() >= rule.share:
                    return None
                return self.rng.uniform(rule.min_delay_s, rule.max_delay_s)
        return None
