"""The load balancer's choices: health, ramp, skips. It sees connections, not requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from dunehold.emulator.model.base import Randomness

PROBE_INTERVAL_S, PROBE_TIMEOUT_S, CONNECT_TIMEOUT_S = 1.0, 1.0, 0.5
MAX_CONNECT_TRIES = 3
FAILED_CONNECTS_BEFORE_SKIP, SKIP_S = 3, 3.0
MIN_EJECTION_S, MAX_EJECTION_S, EJECTION_HISTORY_S = 3.0, 60.0, 120.0
SLOW_START_S, RESET_UNHEALTHY_AFTER_S = 10.0, 5.0
LONG_AGO_S = -1e18


@dataclass(slots=True)
class Backend:
    name: str
    healthy: bool = False
    health_since: float = LONG_AGO_S  # of its present health
    was_healthy: bool = False
    open_connections: int = 0
    recent_probes: deque[bool] = field(default_factory=lambda: deque(maxlen=6))
    ejected_at: list[float] = field(default_factory=list)
    skipped_until: float = LONG_AGO_S
    consecutive_failures: int = 0  # connections in a row

    def min_ejection_s(self, now: float) -> float:
        """How long it stays out at least: doubles with each removal of two minutes."""
        recent = sum(now - at <= EJECTION_HISTORY_S for at in self.ejected_at)
        return min(MAX_EJECTION_S, MIN_EJECTION_S * 2.0 ** max(0, recent - 1))


@dataclass(slots=True)
class Balancer:
    backends: dict[str, Backend]

    @classmethod
    def from_names(cls, names: list[str]) -> Balancer:
        return cls({name: Backend(name) for name in names})

    def record_probe(self, name: str, succeeded: bool, now: float) -> None:
        backend = self.backends[name]
        backend.recent_probes.append(succeeded)
        recent = list(backend.recent_probes)
        if backend.healthy:
            if recent[-2:] == [False, False] or recent.count(False) >= 3:
                backend.healthy, backend.health_since = False, now
                backend.ejected_at = [
                    t for t in backend.ejected_at if now - t <= EJECTION_HISTORY_S
                ] + [now]
            return
        waited = now - backend.health_since >= backend.min_ejection_s(now)
        back = recent[-2:] == [True, True] and waited if backend.was_healthy else succeeded
        if back:
            backend.healthy, backend.health_since, backend.was_healthy = True, now, True
            backend.recent_probes.clear()

    def choose(self, now: float, rng: Randomness, tried: set[str]) -> str | None:
        """A healthy node not tried yet, rather one with fewer open user connections."""
        usable = [
            b
            for b in self.backends.values()
            if b.healthy and b.skipped_until <= now and b.name not in tried
        ]
        if len(tried) >= MAX_CONNECT_TRIES or not usable:
            return None
        return min(
            usable,
            key=lambda b: (
                (b.open_connections + 1 + rng.random()) / self._slow_start_weight(b, now)
            ),
        ).name

    @staticmethod
    def _slow_start_weight(backend: Backend, now: float) -> float:
        return min(1.0, max(0.05, (now - backend.health_since) / SLOW_START_S))

    def connection_opened(self, name: str) -> None:
        self.backends[name].open_connections += 1
        self.backends[name].consecutive_failures = 0

    def connection_failed(self, name: str, now: float) -> None:
        backend = self.backends[name]
        backend.consecutive_failures += 1
        if backend.consecutive_failures >= FAILED_CONNECTS_BEFORE_SKIP:
            backend.consecutive_failures, backend.skipped_until = 0, now + SKIP_S

    def connection_closed(self, name: str) -> None:
        self.backends[name].open_connections -= 1

    def backends_to_reset(self, now: float) -> list[str]:
        """Nodes whose open connections are reset: unhealthy for so long."""
        return [
            b.name
            for b in self.backends.values()
            if not b.healthy
            and b.open_connections
            and now - b.health_since >= RESET_UNHEALTHY_AFTER_S
        ]
