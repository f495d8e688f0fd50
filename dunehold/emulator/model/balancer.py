"""The load balancer's choices: health, ramp, skips. It sees connections, not requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from dunehold.emulator.model.base import Randomness

PROBE_S, PROBE_TIMEOUT_S, ACCEPT_S = 1.0, 1.0, 0.5
TRIES = 3
FAILED_CONNECTS, SKIP_S = 3, 3.0
LEAST_PAUSE_S, MOST_PAUSE_S, MEMORY_S = 3.0, 60.0, 120.0
RAMP_S, RESET_AFTER_S = 10.0, 5.0
NEVER = -1e18


@dataclass(slots=True)
class Backend:
    name: str
    healthy: bool = False
    since: float = NEVER  # of its present health
    ever: bool = False
    open: int = 0
    probes: deque[bool] = field(default_factory=lambda: deque(maxlen=6))
    removals: list[float] = field(default_factory=list)
    skipped_until: float = NEVER
    failed: int = 0  # connections in a row

    def pause_s(self, now: float) -> float:
        """How long it stays out at least: doubles with each removal of two minutes."""
        recent = sum(now - at <= MEMORY_S for at in self.removals)
        return min(MOST_PAUSE_S, LEAST_PAUSE_S * 2.0 ** max(0, recent - 1))


@dataclass(slots=True)
class Balancer:
    backends: dict[str, Backend]

    @classmethod
    def of(cls, names: list[str]) -> Balancer:
        return cls({name: Backend(name) for name in names})

    def probed(self, name: str, good: bool, now: float) -> None:
        backend = self.backends[name]
        backend.probes.append(good)
        recent = list(backend.probes)
        if backend.healthy:
            if recent[-2:] == [False, False] or recent.count(False) >= 3:
                backend.healthy, backend.since = False, now
                backend.removals = [t for t in backend.removals if now - t <= MEMORY_S] + [now]
            return
        waited = now - backend.since >= backend.pause_s(now)
        back = recent[-2:] == [True, True] and waited if backend.ever else good
        if back:
            backend.healthy, backend.since, backend.ever = True, now, True
            backend.probes.clear()

    def choose(self, now: float, rng: Randomness, tried: set[str]) -> str | None:
        """A healthy node not tried yet, rather one with fewer open user connections."""
        usable = [
            b
            for b in self.backends.values()
            if b.healthy and b.skipped_until <= now and b.name not in tried
        ]
        if len(tried) >= TRIES or not usable:
            return None
        return min(usable, key=lambda b: (b.open + 1 + rng.random()) / self._ramp(b, now)).name

    @staticmethod
    def _ramp(backend: Backend, now: float) -> float:
        return min(1.0, max(0.05, (now - backend.since) / RAMP_S))

    def connected(self, name: str) -> None:
        self.backends[name].open += 1
        self.backends[name].failed = 0

    def failed(self, name: str, now: float) -> None:
        backend = self.backends[name]
        backend.failed += 1
        if backend.failed >= FAILED_CONNECTS:
            backend.failed, backend.skipped_until = 0, now + SKIP_S

    def closed(self, name: str) -> None:
        self.backends[name].open -= 1

    def to_reset(self, now: float) -> list[str]:
        """Nodes whose open connections are reset: unhealthy for so long."""
        return [
            b.name
            for b in self.backends.values()
            if not b.healthy and b.open and now - b.since >= RESET_AFTER_S
        ]
