"""The state service: versions, leases, watches, limits, all of its errors.

``Store`` answers one request at a time, at the time that it is told. What must outlive it goes
to a ``Keeper`` before anything changes in memory, so that an answer never says more than the
keeper holds. A watch that has to wait comes back as a ``Watch``; its owner asks ``poll`` again
once ``Store.revision`` has moved.
"""

from __future__ import annotations

import bisect
from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from dunehold.emulator.model.base import (
    Malformed,
    Rate,
    Reply,
    load,
    malformed,
    reply,
    split,
    whole,
)
from dunehold.protocol import codec

LOG_LENGTH = 10_000
MOST_ENTRIES, MOST_ENTRY_BYTES = 1_000, 512 * 1024
MOST_BODY = 64 * 1024
LEAST_LIFE_MS, MOST_LIFE_MS, MOST_HOLD_MS = 100, 600_000, 60_000


class Row(NamedTuple):
    """A key as it is kept: its encoded value, version and lease."""

    value: bytes
    stamp: int
    grant: int | None


class Change(NamedTuple):
    """A put, or a drop when ``value`` is None."""

    stamp: int
    key: str
    value: bytes | None


class NoSpace(Exception):
    """The keeper can't hold more; nothing was changed."""


class Keeper(Protocol):
    """Makes changes durable, all of one call or none; returns once they are."""

    def commit(
        self, revision: int, rows: dict[str, Row | None], leases: dict[int, int | None]
    ) -> None:
        """``rows`` and ``leases`` (life in ms) with None for what ends; NoSpace."""


class Forgetful:
    """Keeps nothing, for runs in which the state service never restarts."""

    def commit(
        self, revision: int, rows: dict[str, Row | None], leases: dict[int, int | None]
    ) -> None:
        pass


@dataclass(frozen=True, slots=True)
class Limits:
    rps: float | None = None
    write_rps: float | None = None
    value_bytes: int = 4096
    txn_ops: int = 12


class Watch(NamedTuple):
    prefix: str
    after: int
    until: float


@dataclass(slots=True)
class Lease:
    life_s: float
    ends: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Store:
    limits: Limits = field(default_factory=Limits)
    keeper: Keeper = field(default_factory=Forgetful)
    rows: dict[str, Row] = field(default_factory=dict)
    revision: int = 0
    next_grant: int = 1
    down: bool = False
    refused: set[str] = field(default_factory=set)  # sources that alone get 503
    refusals: int = 0  # requests over a limit
    _keys: list[str] = field(default_factory=list)  # in order
    _leases: dict[int, Lease] = field(default_factory=dict)
    _log: deque[Change] = field(default_factory=lambda: deque(maxlen=LOG_LENGTH))
    _forgotten: int = 0  # changes up to here are not in the log
    _requests: Rate = field(init=False)
    _writes: Rate = field(init=False)

    def __post_init__(self) -> None:
        self._requests = Rate(self.limits.rps)
        self._writes = Rate(self.limits.write_rps)

    # -- life ----------------------------------------------------------------------------

    def restore(
        self,
        revision: int,
        next_grant: int,
        rows: dict[str, Row],
        leases: dict[int, int],
        now: float,
    ) -> None:
        """Cold start: every lease has its full time; older changes are not known."""
        self.revision, self.next_grant, self.rows = revision, next_grant, rows
        self._forgotten = revision
        self._keys = sorted(rows)
        self._leases = {
            grant: Lease(life / 1000, now + life / 1000) for grant, life in leases.items()
        }
        for key, row in rows.items():
            if row.grant in self._leases:
                self._leases[row.grant].keys.add(key)

    def begin_outage(self) -> None:
        self.down = True

    def end_outage(self, now: float) -> None:
        """After an outage every lease has its full time again."""
        if self.down:
            self.down = False
            for lease in self._leases.values():
                lease.ends = now + lease.life_s

    def expire(self, now: float) -> None:
        """End the leases that are over; never while the service is down."""
        if self.down:
            return
        for grant in [g for g, lease in self._leases.items() if lease.ends < now]:
            try:
                self._end_lease(grant)
            except NoSpace:
                return

    def next_expiry(self) -> float | None:
        if self.down or not self._leases:
            return None
        return min(lease.ends for lease in self._leases.values())

    # -- requests ------------------------------------------------------------------------

    def handle(
        self, method: str, target: str, body: bytes | None, source: str, now: float
    ) -> Reply | Watch:
        if self.down or source in self.refused:
            return reply(503, {"error": "not served"})
        if not self._requests.take(now):
            self.refusals += 1
            return reply(429, {"error": "too many requests"})
        self.expire(now)
        try:
            if len(body or b"") > MOST_BODY:
                raise Malformed("over 64 KiB")
            return self._route(method, target, body, now)
        except Malformed as error:
            return malformed(str(error))
        except NoSpace:
            return reply(503, {"error": "no space left on the device"})

    def _route(self, method: str, target: str, body: bytes | None, now: float) -> Reply | Watch:
        path, query = split(target)
        if path == "/txn" and method == "POST":
            return self._txn(load(body), now)
        if path == "/store" and method == "GET":
            return self._entries(query)
        if path.startswith("/store/") and method == "GET":
            return self._get(path.removeprefix("/store/"))
        if path == "/changes" and method == "GET":
            return self._changes(query, now)
        if path == "/leases" and method == "POST":
            return self._grant(load(body), now)
        if path.startswith("/leases/"):
            return self._lease(method, path.removeprefix("/leases/").split("/"), now)
        return reply(404, {"error": "no such path"})

    def _get(self, key: str) -> Reply:
        row = self.rows.get(_key(key))
        if row is None:
            return reply(404, {"epoch": self.revision})
        found = {"path": key, "v": codec.load(row.value), "stamp": row.stamp}
        if row.grant is not None:
            found["grant"] = row.grant
        return reply(200, found)

    def _entries(self, query: dict[str, str]) -> Reply:
        starts, after = query.get("starts", ""), query.get("after", "")
        most = min(whole(query, "most", MOST_ENTRIES), MOST_ENTRIES)
        at = bisect.bisect_left(self._keys, starts)
        if after >= starts:
            at = bisect.bisect_right(self._keys, after)
        found: list[bytes] = []
        size, more = 0, False
        for key in self._keys[at:]:
            if not key.startswith(starts):
                break
            row = self.rows[key]
            entry = b'{"path":%b,"v":%b,"stamp":%d}' % (codec.dump(key), row.value, row.stamp)
            size += len(entry)
            if len(found) >= most or size > MOST_ENTRY_BYTES:
                more = True
                break
            found.append(entry)
        flag = b"true" if more else b"false"
        parts = (b",".join(found), flag, self.revision)
        return Reply(200, b'{"entries":[%b],"more":%b,"epoch":%d}' % parts)

    # -- transactions --------------------------------------------------------------------

    def _txn(self, row: dict[str, Any], now: float) -> Reply:
        guards, writes = _objects(row, "guards"), _objects(row, "writes")
        if len(writes) > self.limits.txn_ops:
            raise Malformed(f"more than {self.limits.txn_ops} puts and deletes")
        if len(guards) > 4 * self.limits.txn_ops:
            raise Malformed(f"more than {4 * self.limits.txn_ops} conditions")
        stamps = [(_key(guard.get("path")), whole(guard, "stamp")) for guard in guards]
        changes = self._read_writes(writes)
        if writes and not self._writes.take(now, len(writes)):
            self.refusals += 1
            return reply(429, {"error": "too many changes"})
        if any(
            r is not None and r.grant not in (None, *self._leases) for r in changes.values()
        ):
            return malformed("no such lease")
        failed = [key for key, stamp in stamps if self._stamp(key) != stamp]
        if failed:
            return reply(409, {"failed": failed, "epoch": self.revision})
        if changes:
            self._apply(changes)
        return reply(200, {"epoch": self.revision})

    def _read_writes(self, writes: list[dict[str, Any]]) -> dict[str, Row | None]:
        changes: dict[str, Row | None] = {}
        for write in writes:
            if ("put" in write) == ("drop" in write):
                raise Malformed("a write is a put or a drop")
            key = _key(write.get("put", write.get("drop")))
            if key in changes:
                raise Malformed(f"{key} is written twice")
            if "drop" in write:
                changes[key] = None
                continue
            if "v" not in write:
                raise Malformed("v is missing")
            value = codec.dump(write["v"])
            if len(value) > self.limits.value_bytes:
                raise Malformed(f"the value of {key} is over {self.limits.value_bytes} bytes")
            grant = None if write.get("grant") is None else whole(write, "grant")
            changes[key] = Row(value, self.revision + 1, grant)
        return changes

    def _stamp(self, key: str) -> int:
        row = self.rows.get(key)
        return 0 if row is None else row.stamp

    def _apply(
        self, changes: dict[str, Row | None], leases: dict[int, int | None] | None = None
    ) -> None:
        """Durable first, then in memory, then in the log; NoSpace before any of it."""
        revision = self.revision + 1
        self.keeper.commit(revision, changes, leases or {})
        self.revision = revision
        for key, row in changes.items():
            before = self.rows.pop(key, None)
            if before is not None and before.grant in self._leases:
                self._leases[before.grant].keys.discard(key)
            if row is not None:
                self.rows[key] = row
                if row.grant is not None:
                    self._leases[row.grant].keys.add(key)
            if before is None and row is not None:
                bisect.insort(self._keys, key)
            elif before is not None and row is None:
                del self._keys[bisect.bisect_left(self._keys, key)]
            if before is not None or row is not None:
                if len(self._log) == LOG_LENGTH:
                    self._forgotten = self._log[0].stamp
                self._log.append(Change(revision, key, row.value if row else None))

    # -- leases --------------------------------------------------------------------------

    def _grant(self, row: dict[str, Any], now: float) -> Reply:
        life = whole(row, "life_ms")
        if not LEAST_LIFE_MS <= life <= MOST_LIFE_MS:
            raise Malformed(f"life_ms must be {LEAST_LIFE_MS} to {MOST_LIFE_MS}")
        grant = self.next_grant
        self.keeper.commit(self.revision, {}, {grant: life})
        self.next_grant += 1
        self._leases[grant] = Lease(life / 1000, now + life / 1000)
        return reply(200, {"grant": grant})

    def _lease(self, method: str, parts: list[str], now: float) -> Reply:
        grant = whole({"lease": parts[0]}, "lease")
        lease = self._leases.get(grant)
        if method == "POST" and parts[1:] == ["extend"]:
            if lease is None:
                return reply(404, {"error": "no such lease"})
            lease.ends = now + lease.life_s
            return reply(200, {"grant": grant})
        if method == "DELETE" and len(parts) == 1:
            if lease is None:
                return reply(404, {"error": "no such lease"})
            self._end_lease(grant)
            return reply(200, {})
        return reply(404, {"error": "no such path"})

    def _end_lease(self, grant: int) -> None:
        changes: dict[str, Row | None] = dict.fromkeys(sorted(self._leases[grant].keys))
        if changes:
            self._apply(changes, {grant: None})
        else:
            self.keeper.commit(self.revision, {}, {grant: None})
        del self._leases[grant]

    # -- watches -------------------------------------------------------------------------

    def _changes(self, query: dict[str, str], now: float) -> Reply | Watch:
        hold = min(whole(query, "hold_ms", 0), MOST_HOLD_MS) / 1000
        watch = Watch(query.get("starts", ""), whole(query, "after"), now + hold)
        return self.poll(watch, now) or watch

    def poll(self, watch: Watch, now: float) -> Reply | None:
        """The answer to a watch, or None while it has to wait. Open ones outlast an outage."""
        if self.down:
            return None
        if watch.after < self._forgotten:
            return reply(410, {"error": "too old", "epoch": self.revision})
        news = []
        for change in reversed(self._log):
            if change.stamp <= watch.after:
                break
            if change.key.startswith(watch.prefix):
                news.append(change)
        if not news and now < watch.until:
            return None
        rows = b",".join(map(_encode_change, reversed(news)))
        return Reply(200, b'{"epoch":%d,"news":[%b]}' % (self.revision, rows))


def _encode_change(change: Change) -> bytes:
    key = codec.dump(change.key)
    if change.value is None:
        return b'{"drop":%b,"stamp":%d}' % (key, change.stamp)
    return b'{"put":%b,"v":%b,"stamp":%d}' % (key, change.value, change.stamp)


def _key(value: Any) -> str:
    if not isinstance(value, str) or not 1 <= len(value.encode()) <= 200 or " " in value:
        raise Malformed("a key is 1 to 200 bytes with no spaces")
    return value


def _objects(row: dict[str, Any], key: str) -> list[dict[str, Any]]:
    try:
        return codec.rows(row, key)
    except codec.BadMessage as error:
        raise Malformed(str(error)) from None
