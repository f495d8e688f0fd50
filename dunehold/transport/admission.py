"""Which connections a server may hold, shared by purpose.

Users, workers and health checks come to one port. Who opens connections and leaves them idle
must not keep workers out, or their leases run out and their work ends. So each purpose has a
share that no other can take from it, all may use what is free, and where nothing is free the
connection that was idle longest makes room, of the purpose that is furthest beyond its share.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum


class Purpose(StrEnum):
    """What a connection is for, as its first request tells."""

    NEW = "new"  # nothing was asked yet
    USER = "user"
    WORKER = "worker"
    HEALTH = "health"


# Of the room there is. The rest, and what others leave, goes to whoever comes.
RESERVED_SHARES = {
    Purpose.NEW: 0.1,
    Purpose.USER: 0.2,
    Purpose.WORKER: 0.6,
    Purpose.HEALTH: 0.02,
}
MIN_IDLE_S = 0.5  # a connection this young is not closed: its request is on its way


@dataclass(slots=True, eq=False)
class AdmittedConnection:
    """One connection: ``close`` ends it at once; ``peer`` is the address it came from."""

    close: Callable[[], None]
    peer: str
    idle_since: float
    purpose: Purpose = Purpose.NEW
    closed: bool = False


@dataclass(slots=True)
class Admission:
    """At most ``most`` connections. Times are seconds of one steady clock."""

    max_connections: int
    evicted: int = 0
    refused: int = 0
    _open_by_purpose: dict[Purpose, int] = field(
        default_factory=lambda: dict.fromkeys(Purpose, 0)
    )
    _idle: dict[Purpose, OrderedDict[AdmittedConnection, None]] = field(
        default_factory=lambda: {purpose: OrderedDict() for purpose in Purpose}
    )

    @property
    def open_count(self) -> int:
        return sum(self._open_by_purpose.values())

    def reserved_count(self, purpose: Purpose) -> int:
        return max(1, int(self.max_connections * RESERVED_SHARES[purpose]))

    def admit(
        self, close: Callable[[], None], peer: str, now: float
    ) -> AdmittedConnection | None:
        """A connection was accepted; None when there is no room for it."""
        if self.open_count >= self.max_connections and not self._evict_idle(now):
            self.refused += 1
            return None
        line = AdmittedConnection(close, peer, now)
        self._open_by_purpose[Purpose.NEW] += 1
        self._idle[Purpose.NEW][line] = None
        return line

    def _evict_idle(self, now: float) -> bool:
        """Close what was idle longest, of the purpose that is furthest beyond its share."""
        beyond = {p: self._open_by_purpose[p] / self.reserved_count(p) for p in Purpose}
        for purpose in sorted(Purpose, key=lambda p: -beyond[p]):
            oldest = next(iter(self._idle[purpose]), None)
            if beyond[purpose] <= 1.0 or oldest is None:
                continue
            if now - oldest.idle_since >= MIN_IDLE_S:
                self.evicted += 1
                self.release(oldest)
                oldest.close()
                return True
        return False

    def begin_request(self, line: AdmittedConnection, purpose: Purpose) -> None:
        """A request came in: it tells what the connection is for, and keeps it."""
        if line.closed:
            return  # it made room, with this request already on its way
        self._idle[line.purpose].pop(line, None)
        if line.purpose is not purpose:
            self._open_by_purpose[line.purpose] -= 1
            self._open_by_purpose[purpose] += 1
            line.purpose = purpose

    def end_request(self, line: AdmittedConnection, now: float) -> None:
        """It was answered; the connection waits for the next."""
        if not line.closed:
            line.idle_since = now
            self._idle[line.purpose][line] = None

    def release(self, line: AdmittedConnection) -> None:
        """The connection is closed. Once is enough; again does nothing."""
        if not line.closed:
            line.closed = True
            self._idle[line.purpose].pop(line, None)
            self._open_by_purpose[line.purpose] -= 1
