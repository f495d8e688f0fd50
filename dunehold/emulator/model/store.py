"""The state service: versions, leases, watches, limits, all of its errors.

``Store`` answers one request at a time, at the time that it is told. What must outlive it goes
to a ``Storage`` before anything changes in memory, so that an answer never says more than the
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
    Reply,
    TokenBucket,
    bad_request,
    decode_body,
    decode_uint64,
    reply,
    split_target,
)
from dunehold.protocol import codec

MAX_LOG_CHANGES = 10_000
MAX_PAGE_ENTRIES, MAX_PAGE_BYTES = 1_000, 512 * 1024
MAX_BODY_BYTES = 64 * 1024
MIN_LEASE_MS, MAX_LEASE_MS, MAX_WATCH_MS = 100, 600_000, 60_000


class Row(NamedTuple):
    """A key as it is kept: its encoded value, version and lease."""

    value: bytes
    version: int
    lease: int | None


class Change(NamedTuple):
    """A put, or a drop when ``value`` is None."""

    version: int
    key: str
    value: bytes | None


class NoSpace(Exception):
    """The keeper can't hold more; nothing was changed."""


class Storage(Protocol):
    """Makes changes durable, all of one call or none; returns once they are."""

    def commit(
        self, revision: int, rows: dict[str, Row | None], leases: dict[int, int | None]
    ) -> None:
        """``rows`` and ``leases`` (life in ms) with None for what ends; NoSpace."""


class NullStorage:
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
    duration_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Store:
    limits: Limits = field(default_factory=Limits)
    storage: Storage = field(default_factory=NullStorage)
    rows: dict[str, Row] = field(default_factory=dict)
    revision: int = 0
    next_lease: int = 1
    down: bool = False
    refused_sources: set[str] = field(default_factory=set)  # sources that alone get 503
    refusals: int = 0  # requests over a limit
    _sorted_keys: list[str] = field(default_factory=list)  # in order
    _leases: dict[int, Lease] = field(default_factory=dict)
    _log: deque[Change] = field(default_factory=lambda: deque(maxlen=MAX_LOG_CHANGES))
    _compacted_revision: int = 0  # changes up to here are not in the log
    _request_limiter: TokenBucket = field(init=False)
    _write_limiter: TokenBucket = field(init=False)

    def __post_init__(self) -> None:
        self._request_limiter = TokenBucket(self.limits.rps)
        self._write_limiter = TokenBucket(self.limits.write_rps)

    # -- life ----------------------------------------------------------------------------

    def restore(
        self,
        revision: int,
        next_lease: int,
        rows: dict[str, Row],
        leases: dict[int, int],
        now: float,
    ) -> None:
        """Cold start: every lease has its full time; older changes are not known."""
        self.revision, self.next_lease, self.rows = revision, next_lease, rows
        self._compacted_revision = revision
        self._sorted_keys = sorted(rows)
        self._leases = {
            grant: Lease(life / 1000, now + life / 1000) for grant, life in leases.items()
        }
        for key, row in rows.items():
            if row.lease in self._leases:
                self._leases[row.lease].keys.add(key)

    def begin_outage(self) -> None:
        self.down = True

    def end_outage(self, now: float) -> None:
        """After an outage every lease has its full time again."""
        if self.down:
            self.down = False
            for lease in self._leases.values():
                lease.expires_at = now + lease.duration_s

    def expire(self, now: float) -> None:
        """End the leases that are over; never while the service is down."""
        if self.down:
            return
        for grant in [g for g, lease in self._leases.items() if lease.expires_at < now]:
            try:
                self._end_lease(grant)
            except NoSpace:
                return

    def next_expiry(self) -> float | None:
        if self.down or not self._leases:
            return None
        return min(lease.expires_at for lease in self._leases.values())

    # -- requests ------------------------------------------------------------------------

    def handle(
        self, method: str, target: str, body: bytes | None, source: str, now: float
    ) -> Reply | Watch:
        if self.down or source in self.refused_sources:
            return reply(503, {"error": "not served"})
        if not self._request_limiter.try_acquire(now):
            self.refusals += 1
            return reply(429, {"error": "too many requests"})
        self.expire(now)
        try:
            if len(body or b"") > MAX_BODY_BYTES:
                raise Malformed("over 64 KiB")
            return self._route(method, target, body, now)
        except Malformed as error:
            return bad_request(str(error))
        except NoSpace:
            return reply(503, {"error": "no space left on the device"})

    def _route(self, method: str, target: str, body: bytes | None, now: float) -> Reply | Watch:
        path, query = split_target(target)
        if path == "/txn" and method == "POST":
            return self._txn(decode_body(body), now)
        if path == "/store" and method == "GET":
            return self._list_entries(query)
        if path.startswith("/store/") and method == "GET":
            return self._get(path.removeprefix("/store/"))
        if path == "/changes" and method == "GET":
            return self._watch_changes(query, now)
        if path == "/leases" and method == "POST":
            return self._grant_lease(decode_body(body), now)
        if path.startswith("/leases/"):
            return self._handle_lease(method, path.removeprefix("/leases/").split("/"), now)
        return reply(404, {"error": "no such path"})

    def _get(self, key: str) -> Reply:
        row = self.rows.get(_decode_key(key))
        if row is None:
            return reply(404, {"epoch": self.revision})
        found = {"path": key, "v": codec.load(row.value), "stamp": row.version}
        if row.lease is not None:
            found["grant"] = row.lease
        return reply(200, found)

    def _list_entries(self, query: dict[str, str]) -> Reply:
        starts, after = query.get("starts", ""), query.get("after", "")
        most = min(decode_uint64(query, "most", MAX_PAGE_ENTRIES), MAX_PAGE_ENTRIES)
        at = bisect.bisect_left(self._sorted_keys, starts)
        if after >= starts:
            at = bisect.bisect_right(self._sorted_keys, after)
        found: list[bytes] = []
        size, more = 0, False
        for key in self._sorted_keys[at:]:
            if not key.startswith(starts):
                break
            row = self.rows[key]
            entry = b'{"path":%b,"v":%b,"stamp":%d}' % (codec.dump(key), row.value, row.version)
            size += len(entry)
            if len(found) >= most or size > MAX_PAGE_BYTES:
                more = True
                break
            found.append(entry)
        flag = b"true" if more else b"false"
        parts = (b",".join(found), flag, self.revision)
        return Reply(200, b'{"entries":[%b],"more":%b,"epoch":%d}' % parts)

    # -- transactions --------------------------------------------------------------------

    def _txn(self, row: dict[str, Any], now: float) -> Reply:
        guards, writes = _decode_rows(row, "guards"), _decode_rows(row, "writes")
        if len(writes) > self.limits.txn_ops:
            raise Malformed(f"more than {self.limits.txn_ops} puts and deletes")
        if len(guards) > 4 * self.limits.txn_ops:
            raise Malformed(f"more than {4 * self.limits.txn_ops} conditions")
        stamps = [
            (_decode_key(guard.get("path")), decode_uint64(guard, "stamp")) for guard in guards
        ]
        changes = self._decode_writes(writes)
        if writes and not self._write_limiter.try_acquire(now, len(writes)):
            self.refusals += 1
            return reply(429, {"error": "too many changes"})
        if any(
            r is not None and r.lease not in (None, *self._leases) for r in changes.values()
        ):
            return bad_request("no such lease")
        failed = [key for key, stamp in stamps if self._version_of(key) != stamp]
        if failed:
            return reply(409, {"failed": failed, "epoch": self.revision})
        if changes:
            self._apply(changes)
        return reply(200, {"epoch": self.revision})

    def _decode_writes(self, writes: list[dict[str, Any]]) -> dict[str, Row | None]:
        changes: dict[str, Row | None] = {}
        for write in writes:
            if ("put" in write) == ("drop" in write):
                raise Malformed("a write is a put or a drop")
            key = _decode_key(write.get("put", write.get("drop")))
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
            grant = None if write.get("grant") is None else decode_uint64(write, "grant")
            changes[key] = Row(value, self.revision + 1, grant)
        return changes

    def _version_of(self, key: str) -> int:
        row = self.rows.get(key)
        return 0 if row is None else row.version

    def _apply(
        self, changes: dict[str, Row | None], leases: dict[int, int | None] | None = None
    ) -> None:
        """Durable first, then in memory, then in the log; NoSpace before any of it."""
        revision = self.revision + 1
        self.storage.commit(revision, changes, leases or {})
        self.revision = revision
        for key, row in changes.items():
            before = self.rows.pop(key, None)
            if before is not None and before.lease in self._leases:
                self._leases[before.lease].keys.discard(key)
            if row is not None:
                self.rows[key] = row
                if row.lease is not None:
                    self._leases[row.lease].keys.add(key)
            if before is None and row is not None:
                bisect.insort(self._sorted_keys, key)
            elif before is not None and row is None:
                del self._sorted_keys[bisect.bisect_left(self._sorted_keys, key)]
            if before is not None or row is not None:
                if len(self._log) == MAX_LOG_CHANGES:
                    self._compacted_revision = self._log[0].version
                self._log.append(Change(revision, key, row.value if row else None))

    # -- leases --------------------------------------------------------------------------

    def _grant_lease(self, row: dict[str, Any], now: float) -> Reply:
        life = decode_uint64(row, "life_ms")
        if not MIN_LEASE_MS <= life <= MAX_LEASE_MS:
            raise Malformed(f"life_ms must be {MIN_LEASE_MS} to {MAX_LEASE_MS}")
        grant = self.next_lease
        self.storage.commit(self.revision, {}, {grant: life})
        self.next_lease += 1
        self._leases[grant] = Lease(life / 1000, now + life / 1000)
        return reply(200, {"grant": grant})

    def _handle_lease(self, method: str, parts: list[str], now: float) -> Reply:
        grant = decode_uint64({"lease": parts[0]}, "lease")
        lease = self._leases.get(grant)
        if method == "POST" and parts[1:] == ["extend"]:
            if lease is None:
                return reply(404, {"error": "no such lease"})
            lease.expires_at = now + lease.duration_s
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
            self.storage.commit(self.revision, {}, {grant: None})
        del self._leases[grant]

    # -- watches -------------------------------------------------------------------------

    def _watch_changes(self, query: dict[str, str], now: float) -> Reply | Watch:
        hold = min(decode_uint64(query, "hold_ms", 0), MAX_WATCH_MS) / 1000
        watch = Watch(query.get("starts", ""), decode_uint64(query, "after"), now + hold)
        return self.poll(watch, now) or watch

    def poll(self, watch: Watch, now: float) -> Reply | None:
        """The answer to a watch, or None while it has to wait. Open ones outlast an outage."""
        if self.down:
            return None
        if watch.after < self._compacted_revision:
            return reply(410, {"error": "too old", "epoch": self.revision})
        news = []
        for change in reversed(self._log):
            if change.version <= watch.after:
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
        return b'{"drop":%b,"stamp":%d}' % (key, change.version)
    return b'{"put":%b,"v":%b,"stamp":%d}' % (key, change.value, change.version)


def _decode_key(value: Any) -> str:
    if not isinstance(value, str) or not 1 <= len(value.encode()) <= 200 or " " in value:
        raise Malformed("a key is 1 to 200 bytes with no spaces")
    return value


def _decode_rows(row: dict[str, Any], key: str) -> list[dict[str, Any]]:
    try:
        return codec.rows(row, key)
    except codec.BadMessage as error:
        raise Malformed(str(error)) from None
