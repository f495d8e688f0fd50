"""Admission of connections to a server: a bounded number, shared by purpose.

Users, workers and health checks connect to the same port. A client that opens connections and
leaves them idle must not keep workers out, because their leases would expire and their tasks
end. Therefore each purpose has a reserved share of the connections. Any purpose may use
connections that are free. If none is free, the server evicts the connection that has been idle
longest, of the purpose that exceeds its share the most.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum


class Purpose(StrEnum):
    """What a connection is used for, as its latest request shows."""

    NEW = "new"  # no request has come yet
    USER = "user"
    WORKER = "worker"
    HEALTH = "health"


# Shares of ``max_connections``. The rest, and what a purpose leaves unused, is open to all.
RESERVED_SHARES = {
    Purpose.NEW: 0.1,
    Purpose.USER: 0.2,
    Purpose.WORKER: 0.6,
    Purpose.HEALTH: 0.02,
}
MIN_IDLE_S = 0.5  # before a connection may be evicted: its next request may be on its way


@dataclass(slots=True, eq=False)
class AdmittedConnection:
    """A connection that the server holds."""

    close: Callable[[], None]  # closes it at once
    peer: str  # the address that it came from, without the port
    idle_since: float  # steady clock, seconds
    purpose: Purpose = Purpose.NEW
    closed: bool = False


@dataclass(slots=True)
class Admission:
    """Tracks at most ``max_connections`` connections. Times are seconds of one steady clock."""

    max_connections: int
    evicted: int = 0  # connections closed to make room for others
    refused: int = 0  # connections not admitted
    _open_by_purpose: dict[Purpose, int] = field(
        default_factory=lambda: dict.fromkeys(Purpose, 0)
    )
    # Idle connections by purpose, the one that has been idle longest first.
    _idle: dict[Purpose, OrderedDict[AdmittedConnection, None]] = field(
        default_factory=lambda: {purpose: OrderedDict() for purpose in Purpose}
    )

    @property
    def open_count(self) -> int:
        """Number of connections held."""
        return sum(self._open_by_purpose.values())

    def reserved_count(self, purpose: Purpose) -> int:
        """Number of connections reserved for the purpose."""
        return max(1, int(self.max_connections * RESERVED_SHARES[purpose]))

    def admit(
        self, close: Callable[[], None], peer: str, now: float
    ) -> AdmittedConnection | None:
        """Admits a new connection, or returns None if there is no room for it."""
        if self.open_count >= self.max_connections and not self._evict_idle(now):
            self.refused += 1
            return None
        connection = AdmittedConnection(close, peer, now)
        self._open_by_purpose[Purpose.NEW] += 1
        self._idle[Purpose.NEW][connection] = None
        return connection

    def _evict_idle(self, now: float) -> bool:
        """Closes the connection idle longest, of the purpose that exceeds its share the most.

        Returns False if no purpose beyond its share has a connection that may be closed.
        """
        usage = {p: self._open_by_purpose[p] / self.reserved_count(p) for p in Purpose}
        for purpose in sorted(Purpose, key=lambda p: -usage[p]):
            oldest = next(iter(self._idle[purpose]), None)
            if usage[purpose] <= 1.0 or oldest is None:
                continue
            if now - oldest.idle_since >= MIN_IDLE_S:
                self.evicted += 1
                self.release(oldest)
                oldest.close()
                return True
        return False

    def begin_request(self, connection: AdmittedConnection, purpose: Purpose) -> None:
        """Marks a connection as busy with a request, which determines its purpose."""
        if connection.closed:
            return  # it was evicted while this request was on its way
        self._idle[connection.purpose].pop(connection, None)
        if connection.purpose is not purpose:
            self._open_by_purpose[connection.purpose] -= 1
            self._open_by_purpose[purpose] += 1
            connection.purpose = purpose

    def end_request(self, connection: AdmittedConnection, now: float) -> None:
        """Marks a connection as idle once its request has been answered."""
        if not connection.closed:
            connection.idle_since = now
            self._idle[connection.purpose][connection] = None

    def release(self, connection: AdmittedConnection) -> None:
        """Removes a closed connection. Does nothing if it was removed before."""
        if not connection.closed:
            connection.closed = True
            self._idle[connection.purpose].pop(connection, None)
            self._open_by_purpose[connection.purpose] -= 1
