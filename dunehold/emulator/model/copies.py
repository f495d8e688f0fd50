"""Copies of answered requests, which a network delivers once more, at any later time.

Nobody waits for the answer to a copy. The model only decides which requests are copied and when
the copies arrive; delivering them is up to the transport.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from dunehold.emulator.model.base import Randomness


class CopyRule(NamedTuple):
    """Which answered requests are copied, and how long after the answers copies arrive."""

    path: str  # prefix of the requests' paths
    share: float  # share of these requests that is copied
    min_delay_s: float
    max_delay_s: float


@dataclass(slots=True)
class RequestCopies:
    """Draws the delays of copies; of the rules in force, the first that fits applies."""

    rng: Randomness
    rules: list[CopyRule] = field(default_factory=list)

    def draw_delay_s(self, path: str) -> float | None:
        """Returns after how many seconds a copy of a request arrives; None without a copy."""
        for rule in self.rules:
            if path.startswith(rule.path):
                if self.rng.random() >= rule.share:
                    return None
                return self.rng.uniform(rule.min_delay_s, rule.max_delay_s)
        return None
