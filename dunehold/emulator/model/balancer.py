"""Model of the users' load balancer: health checks, slow start and passive ejection.

The balancer works at the level of connections: it chooses a node for each new connection and
does not see the requests on it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from dunehold.emulator.model.base import Randomness

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
MAX_CONNECT_TRIES = 3  # backends tried for one user connection
FAILED_CONNECTS_BEFORE_SKIP = 3  # failed connections in a row
SKIP_S = 3.0  # time without new connections after that many failures
MIN_EJECTION_S = 3.0
MAX_EJECTION_S = 60.0
EJECTION_HISTORY_S = 120.0  # older ejections do not lengthen the next one
SLOW_START_S = 10.0  # time in which a recovered backend reaches its full weight
RESET_UNHEALTHY_AFTER_S = 5.0
LONG_AGO_S = -1e18  # initial value of times, before every event


@dataclass(slots=True)
class Backend:
    """State of one controller node as the balancer sees it; times are in seconds."""

    name: str
    healthy: bool = False
    health_since: float = LONG_AGO_S  # last change of ``healthy``
    was_healthy: bool = False  # it has been healthy at least once
    open_connections: int = 0
    recent_probes: deque[bool] = field(default_factory=lambda: deque(maxlen=6))
    ejected_at: list[float] = field(default_factory=list)
    skipped_until: float = LONG_AGO_S
    consecutive_failures: int = 0  # failed connections in a row

    def min_ejection_s(self, now: float) -> float:
        """Minimum time out of service.

        It doubles with each earlier ejection of the last ``EJECTION_HISTORY_S``.
        """
        recent = sum(now - at <= EJECTION_HISTORY_S for at in self.ejected_at)
        return min(MAX_EJECTION_S, MIN_EJECTION_S * 2.0 ** max(0, recent - 1))


@dataclass(slots=True)
class Balancer:
    """Tracks the health of the backends and chooses one for each connection."""

    backends: dict[str, Backend]

    @classmethod
    def from_names(cls, names: list[str]) -> Balancer:
        """Creates a balancer whose backends are all unhealthy until their first probe."""
        return cls({name: Backend(name) for name in names})

    def record_probe(self, name: str, succeeded: bool, now: float) -> None:
        """Updates the health of a backend by the result of a health check.

        Two failures in a row, or three among the last six probes, eject a healthy backend. An
        ejected one returns after two successes in a row, at the earliest after its minimum
        ejection time. A backend that has never been healthy needs a single success.
        """
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
        ejection_over = now - backend.health_since >= backend.min_ejection_s(now)
        recovered = (
            recent[-2:] == [True, True] and ejection_over if backend.was_healthy else succeeded
        )
        if recovered:
            backend.healthy, backend.health_since, backend.was_healthy = True, now, True
            backend.recent_probes.clear()

    def choose(self, now: float, rng: Randomness, tried: set[str]) -> str | None:
        """Returns the healthy backend with the fewest open connections for its weight.

        Ties are broken at random. ``tried`` holds the backends to which this connection has
        failed. Returns None when no backend is left or ``MAX_CONNECT_TRIES`` have failed.
        """
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
        """Grows linearly from 0.05 to 1.0 within ``SLOW_START_S`` of becoming healthy."""
        return min(1.0, max(0.05, (now - backend.health_since) / SLOW_START_S))

    def connection_opened(self, name: str) -> None:
        """Counts a connection to a backend and ends its series of failures."""
        self.backends[name].open_connections += 1
        self.backends[name].consecutive_failures = 0

    def connection_failed(self, name: str, now: float) -> None:
        """Counts a failed connection; a series of them excludes the backend for ``SKIP_S``."""
        backend = self.backends[name]
        backend.consecutive_failures += 1
        if backend.consecutive_failures >= FAILED_CONNECTS_BEFORE_SKIP:
            backend.consecutive_failures, backend.skipped_until = 0, now + SKIP_S

    def connection_closed(self, name: str) -> None:
        """Releases a connection that ``connection_opened`` counted."""
        self.backends[name].open_connections -= 1

    def backends_to_reset(self, now: float) -> list[str]:
        """Returns the backends whose open connections have to be reset.

        These have been unhealthy for at least ``RESET_UNHEALTHY_AFTER_S``.
        """
        return [
            b.name
            for b in self.backends.values()
            if not b.healthy
            and b.open_connections
            and now - b.health_since >= RESET_UNHEALTHY_AFTER_S
        ]
