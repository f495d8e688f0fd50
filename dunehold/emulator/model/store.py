"""Model of the state service: keys with versions, leases, watches, limits and errors.

``Store`` answers one request at a time and is given the current time with it, in seconds.
Changes go to a ``Storage`` before they take effect in memory, so that an answer never reports
more than the storage holds. A watch without changes yet is returned as a ``Watch``; the caller
calls ``poll`` again when ``Store.revision`` has changed.

Names on the wire:

- ``path``: key; ``v``: its value; ``stamp``: its version; ``epoch``: revision of the store
- ``guards``: conditions of a transaction, each the version of a key, 0 for a missing key
- ``writes``: changes of a transaction, each a ``put`` or a ``drop`` (deletion) of a key
- ``grant``: lease; ``life_ms``: its duration
- ``starts``: prefix of keys; ``most``: page size; ``after``: last key of the previous page
- ``news``: changes after a revision; ``hold_ms``: time that a watch may wait for them
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

MAX_LOG_CHANGES = 10_000  # changes that watches can still read
MAX_PAGE_ENTRIES = 1_000
MAX_PAGE_BYTES = 512 * 1024
MAX_BODY_BYTES = 64 * 1024
MIN_LEASE_MS = 100
MAX_LEASE_MS = 600_000
MAX_WATCH_MS = 60_000


class Row(NamedTuple):
    """The state of a key."""

    value: bytes  # encoded as JSON
    version: int  # revision of the transaction that wrote it
    lease: int | None  # the key is deleted when this lease ends


class Change(NamedTuple):
    """A put, or a deletion when ``value`` is None."""

    version: int  # revision of the transaction
    key: str
    value: bytes | None


class NoSpace(Exception):
    """The storage is full; nothing was changed."""


class Storage(Protocol):
    """Makes changes durable."""

    def commit(
        self, revision: int, rows: dict[str, Row | None], leases: dict[int, int | None]
    ) -> None:
        """Stores the changes atomically and returns when they are durable.

        ``rows`` maps keys to their new state and ``leases`` maps leases to their duration in
        milliseconds; None deletes the key or the lease. Raises NoSpace, with nothing stored,
        when there is no room for the changes.
        """


class NullStorage:
    """Stores nothing; for runs in which the state service never restarts."""

    def commit(
        self, revision: int, rows: dict[str, Row | None], leases: dict[int, int | None]
    ) -> None:
        """Discards the changes."""
        pass


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the service; None means no limit."""

    rps: float | None = None  # requests per second
    write_rps: float | None = None  # puts and deletes per second
    value_bytes: int = 4096  # size of an encoded value
    txn_ops: int = 12  # puts and deletes in a transaction


class Watch(NamedTuple):
    """A watch that waits for changes to keys with ``prefix`` after a revision."""

    prefix: str
    after: int  # revision
    until: float  # time at which it is answered even without changes


@dataclass(slots=True)
class Lease:
    """A lease with the keys that are deleted when it ends; times are in seconds."""

    duration_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Store:
    """The state service's data and its answers to requests."""

    limits: Limits = field(default_factory=Limits)
    storage: Storage = field(default_factory=NullStorage)
    rows: dict[str, Row] = field(default_factory=dict)  # key -> its state
    # Incremented by each transaction with writes and by the end of each lease with keys.
    revision: int = 0
    next_lease: int = 1  # a lease's number is never used again
    down: bool = False  # an outage: all requests get 503 and no lease ends
    refused_sources: set[str] = field(default_factory=set)  # their requests get 503
    refusals: int = 0  # requests refused by a rate limit
    _sorted_keys: list[str] = field(default_factory=list)
    _leases: dict[int, Lease] = field(default_factory=dict)
    _log: deque[Change] = field(default_factory=lambda: deque(maxlen=MAX_LOG_CHANGES))
    _compacted_revision: int = 0  # the log may lack changes up to this revision
    _request_limiter: TokenBucket = field(init=False)
    _write_limiter: TokenBucket = field(init=False)

    def __post_init__(self) -> None:
        self._request_limiter = TokenBucket(self.limits.rps)
        self._write_limiter = TokenBucket(self.limits.write_rps)

    # -- lifecycle -----------------------------------------------------------------------

    def restore(
        self,
        revision: int,
        next_lease: int,
        rows: dict[str, Row],
        leases: dict[int, int],
        now: float,
    ) -> None:
        """Fills the store after a cold start.

        ``leases`` holds durations in milliseconds. Every lease gets its full duration from
        ``now``. Watches from an earlier revision get 410, as the log of changes is lost.
        """
        self.revision, self.next_lease, self.rows = revision, next_lease, rows
        self._compacted_revision = revision
        self._sorted_keys = sorted(rows)
        self._leases = {
            lease_id: Lease(duration_ms / 1000, now + duration_ms / 1000)
            for lease_id, duration_ms in leases.items()
        }
        for key, row in rows.items():
            if row.lease in self._leases:
                self._leases[row.lease].keys.add(key)

    def begin_outage(self) -> None:
        """Makes the service refuse all requests until ``end_outage``."""
        self.down = True

    def end_outage(self, now: float) -> None:
        """Ends an outage; every lease gets its full duration from ``now``."""
        if self.down:
            self.down = False
            for lease in self._leases.values():
                lease.expires_at = now + lease.duration_s

    def expire(self, now: float) -> None:
        """Ends the leases that have expired; does nothing while the service is down.

        When the storage is full, the remaining leases stay until a later call.
        """
        if self.down:
            return
        for lease_id in [i for i, lease in self._leases.items() if lease.expires_at < now]:
            try:
                self._end_lease(lease_id)
            except NoSpace:
                return

    def next_expiry(self) -> float | None:
        """Returns when the next lease expires; None without leases or in an outage."""
        if self.down or not self._leases:
            return None
        return min(lease.expires_at for lease in self._leases.values())

    # -- requests ------------------------------------------------------------------------

    def handle(
        self, method: str, target: str, body: bytes | None, source: str, now: float
    ) -> Reply | Watch:
        """Answers a request of ``source`` at time ``now``.

        Returns a Watch when the request is a watch that has to wait.
        """
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
        """Returns one page of the keys with a prefix, in order, after the key ``after``."""
        prefix, after = query.get("starts", ""), query.get("after", "")
        page_size = min(decode_uint64(query, "most", MAX_PAGE_ENTRIES), MAX_PAGE_ENTRIES)
        start = bisect.bisect_left(self._sorted_keys, prefix)
        if after >= prefix:
            start = bisect.bisect_right(self._sorted_keys, after)
        found: list[bytes] = []
        size, more = 0, False
        for key in self._sorted_keys[start:]:
            if not key.startswith(prefix):
                break
            row = self.rows[key]
            entry = b'{"path":%b,"v":%b,"stamp":%d}' % (codec.dump(key), row.value, row.version)
            size += len(entry)
            if len(found) >= page_size or size > MAX_PAGE_BYTES:
                more = True
                break
            found.append(entry)
        more_json = b"true" if more else b"false"
        parts = (b",".join(found), more_json, self.revision)
        return Reply(200, b'{"entries":[%b],"more":%b,"epoch":%d}' % parts)

    # -- transactions --------------------------------------------------------------------

    def _txn(self, row: dict[str, Any], now: float) -> Reply:
        """Applies a transaction if all of its conditions hold.

        The checks come in a fixed order: the form and size of the request (400), the rate limit
        of writes (429), the leases that it names (400), its conditions (409). Thus writes count
        against the rate limit even if the conditions fail, and a missing lease is reported
        whether or not they hold. A transaction without writes only checks its conditions.
        """
        guards, writes = _decode_rows(row, "guards"), _decode_rows(row, "writes")
        if len(writes) > self.limits.txn_ops:
            raise Malformed(f"more than {self.limits.txn_ops} puts and deletes")
        if len(guards) > 4 * self.limits.txn_ops:
            raise Malformed(f"more than {4 * self.limits.txn_ops} conditions")
        conditions = [
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
        failed = [key for key, version in conditions if self._version_of(key) != version]
        if failed:
            return reply(409, {"failed": failed, "epoch": self.revision})
        if changes:
            self._apply(changes)
        return reply(200, {"epoch": self.revision})

    def _decode_writes(self, writes: list[dict[str, Any]]) -> dict[str, Row | None]:
        """Returns the new state of each key written, None for a deletion."""
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
            lease_id = None if write.get("grant") is None else decode_uint64(write, "grant")
            changes[key] = Row(value, self.revision + 1, lease_id)
        return changes

    def _version_of(self, key: str) -> int:
        """Version of a key; 0 if it does not exist."""
        row = self.rows.get(key)
        return 0 if row is None else row.version

    def _apply(
        self, changes: dict[str, Row | None], leases: dict[int, int | None] | None = None
    ) -> None:
        """Makes changes durable, then applies them in memory and appends them to the log.

        ``leases`` is passed on to the storage. Raises NoSpace before anything has changed.
        """
        revision = self.revision + 1
        self.storage.commit(revision, changes, leases or {})
        self.revision = revision
        for key, row in changes.items():
            previous = self.rows.pop(key, None)
            if previous is not None and previous.lease in self._leases:
                self._leases[previous.lease].keys.discard(key)
            if row is not None:
                self.rows[key] = row
                if row.lease is not None:
                    self._leases[row.lease].keys.add(key)
            if previous is None and row is not None:
                bisect.insort(self._sorted_keys, key)
            elif previous is not None and row is None:
                del self._sorted_keys[bisect.bisect_left(self._sorted_keys, key)]
            if previous is not None or row is not None:
                if len(self._log) == MAX_LOG_CHANGES:
                    self._compacted_revision = self._log[0].version
                self._log.append(Change(revision, key, row.value if row else None))

    # -- leases --------------------------------------------------------------------------

    def _grant_lease(self, row: dict[str, Any], now: float) -> Reply:
        duration_ms = decode_uint64(row, "life_ms")
        if not MIN_LEASE_MS <= duration_ms <= MAX_LEASE_MS:
            raise Malformed(f"life_ms must be {MIN_LEASE_MS} to {MAX_LEASE_MS}")
        lease_id = self.next_lease
        self.storage.commit(self.revision, {}, {lease_id: duration_ms})
        self.next_lease += 1
        self._leases[lease_id] = Lease(duration_ms / 1000, now + duration_ms / 1000)
        return reply(200, {"grant": lease_id})

    def _handle_lease(self, method: str, parts: list[str], now: float) -> Reply:
        """Extends or ends the lease that ``parts``, the path after ``/leases/``, names."""
        lease_id = decode_uint64({"lease": parts[0]}, "lease")
        lease = self._leases.get(lease_id)
        if method == "POST" and parts[1:] == ["extend"]:
            if lease is None:
                return reply(404, {"error": "no such lease"})
            lease.expires_at = now + lease.duration_s
            return reply(200, {"grant": lease_id})
        if method == "DELETE" and len(parts) == 1:
            if lease is None:
                return reply(404, {"error": "no such lease"})
            self._end_lease(lease_id)
            return reply(200, {})
        return reply(404, {"error": "no such path"})

    def _end_lease(self, lease_id: int) -> None:
        """Deletes a lease and, in one revision, all of its keys; raises NoSpace."""
        changes: dict[str, Row | None] = dict.fromkeys(sorted(self._leases[lease_id].keys))
        if changes:
            self._apply(changes, {lease_id: None})
        else:
            self.storage.commit(self.revision, {}, {lease_id: None})
        del self._leases[lease_id]

    # -- watches -------------------------------------------------------------------------

    def _watch_changes(self, query: dict[str, str], now: float) -> Reply | Watch:
        hold_s = min(decode_uint64(query, "hold_ms", 0), MAX_WATCH_MS) / 1000
        watch = Watch(query.get("starts", ""), decode_uint64(query, "after"), now + hold_s)
        return self.poll(watch, now) or watch

    def poll(self, watch: Watch, now: float) -> Reply | None:
        """Returns the answer to a watch, or None while it has to wait.

        Open watches stay open during an outage. The answer is 410 when the log no longer holds
        all changes after the watch's revision.
        """
        if self.down:
            return None
        if watch.after < self._compacted_revision:
            return reply(410, {"error": "too old", "epoch": self.revision})
        changes = []
        for change in reversed(self._log):
            if change.version <= watch.after:
                break
            if change.key.startswith(watch.prefix):
                changes.append(change)
        if not changes and now < watch.until:
            return None
        rows = b",".join(map(_encode_change, reversed(changes)))
        return Reply(200, b'{"epoch":%d,"news":[%b]}' % (self.revision, rows))


def _encode_change(change: Change) -> bytes:
    key = codec.dump(change.key)
    if change.value is None:
        return b'{"drop":%b,"stamp":%d}' % (key, change.version)
    return b'{"put":%b,"v":%b,"stamp":%d}' % (key, change.value, change.version)


def _decode_key(value: Any) -> str:
    """Returns a valid key; raises Malformed for any other value."""
    if not isinstance(value, str) or not 1 <= len(value.encode()) <= 200 or " " in value:
        raise Malformed("a key is 1 to 200 bytes with no spaces")
    return value


def _decode_rows(row: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Returns the list of objects in field ``key``, empty if it is missing.

    Raises Malformed for any other value.
    """
    try:
        return codec.rows(row, key)
    except codec.BadMessage as error:
        raise Malformed(str(error)) from None
