"""Client of the state service: reads, transactions, leases and the change feed.

Outer names: ``path`` is a key, ``v`` its value, ``stamp`` the revision at which it was last
written, ``epoch`` the revision of the whole service, ``grant`` a lease id, ``guards`` the
conditions of a transaction, ``put`` and ``drop`` a written and a deleted key, ``news`` the
list of changes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.transport.http import Client, NoResponse
from dunehold.transport.rate_limiter import RateLimiter
from dunehold.types import Duration, LeaseId, Revision

MAX_TXN_BYTES = 60 * 1024  # upper bound for the body of one transaction
ABSENT = Revision(0)  # as a guard: the key must not exist
PAGE_TIMEOUT_S = 5.0  # for one page of a listing
LONG_POLL_MARGIN_S = 5.0  # allowed for the answer after the hold time of a long poll


class Entry(NamedTuple):
    """A key with its value and the revision at which it was last written."""

    key: str
    value: Any
    version: Revision


class Change(NamedTuple):
    """One change of a key: a deletion if ``deleted``, otherwise a write of ``value``."""

    key: str
    value: Any
    version: Revision
    deleted: bool


class Unavailable(Exception):
    """The state service refused the request, so it was not executed."""


class Malformed(Unavailable):
    """The request is invalid. Sending it again unchanged will be refused again."""


class LeaseExpired(Exception):
    """The state service does not know the lease: it has expired or was revoked."""


class RevisionCompacted(Exception):
    """The state service no longer keeps the requested changes; list the keys anew."""


@dataclass(slots=True)
class Txn:
    """Conditions and writes that take effect together or not at all.

    A guard holds if the key's version equals the given revision (``ABSENT``: the key does not
    exist). If ``lease`` is set, the key ``leased_key`` is deleted when that lease ends.
    """

    guards: dict[str, Revision] = field(default_factory=dict)
    puts: dict[str, Any] = field(default_factory=dict)
    deletes: set[str] = field(default_factory=set)
    lease: LeaseId | None = None
    leased_key: str | None = None

    @property
    def size(self) -> int:
        """Number of keys written or deleted, which is what the write rate limit counts."""
        return len(self.puts) + len(self.deletes)

    def encode(self) -> bytes:
        """Encodes the transaction as the body of ``POST /txn``."""
        writes: list[dict[str, Any]] = []
        for key, value in self.puts.items():
            row: dict[str, Any] = {"put": key, "v": value}
            if key == self.leased_key:
                row["grant"] = self.lease
            writes.append(row)
        writes.extend({"drop": key} for key in sorted(self.deletes))
        guards = [{"path": key, "stamp": stamp} for key, stamp in self.guards.items()]
        return codec.dump({"guards": guards, "writes": writes})


class TxnResult(NamedTuple):
    """The outcome of a transaction at ``revision``.

    ``failed`` holds the keys whose guard did not hold; it is empty if the writes were applied.
    """

    revision: Revision
    failed: tuple[str, ...]

    @property
    def ok(self) -> bool:
        """Whether the writes were applied."""
        return not self.failed


class RequestPriority:
    """Priorities of requests that wait for a rate limiter; the lowest number is served first.

    The leader lease comes first, then proofs that the view is current. Cancellations come
    before submissions: a flood of submissions must not keep tasks running that nobody wants,
    and a cancellation frees resources for the submitted jobs.
    """

    LEASE = 0  # the leader lease, and urgent read barriers
    PROOF = 1  # read barriers, and the leases of relays
    CANCEL = 2  # cancellations by users
    LEADER = 3  # the leader's own records, and loading the view
    USER = 4  # submissions and operators' orders
    BULK = 5  # the watch, and clearing up obsolete records


@dataclass(slots=True)
class StateClient:
    """Sends requests to the state service within this node's share of the rate limits.

    Besides the errors that a method names, every method raises Unavailable if the service
    refused the request (429 or 503), NoResponse if no valid answer came in time, and BadMessage
    if a field of the answer is malformed.
    """

    client: Client
    watch_client: Client  # for long polls, which would occupy the connections of ``client``
    request_limiter: RateLimiter
    write_limiter: RateLimiter
    timeout_s: float = 1.5
    on_limited: Callable[[], None] = lambda: None  # called after a 429 (rate limit exceeded)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes | None,
        priority: int,
        timeout_s: float | None = None,
        client: Client | None = None,
        pre_acquired: bool = False,
    ) -> tuple[int, dict[str, Any]]:
        if not pre_acquired:
            await self.request_limiter.acquire(priority)
        chosen = client or self.client
        status, data = await chosen.request(method, target, body, timeout_s or self.timeout_s)
        if status == 429:
            self.on_limited()
        if status in (429, 503):
            raise Unavailable(f"state service refused the request with status {status}")
        try:
            return status, codec.load_object(data) if data else {}
        except BadMessage as error:
            raise NoResponse(str(error)) from None

    async def get(self, key: str, priority: int) -> Entry | None:
        """Reads one key; None if it does not exist."""
        status, row = await self._call("GET", f"/store/{key}", None, priority)
        if status == 404:
            return None
        if status != 200:
            raise NoResponse(f"reading a key: status {status}, expected 200 or 404")
        return Entry(codec.text(row, "path"), row.get("v"), Revision(codec.count(row, "stamp")))

    async def entries(self, prefix: str, priority: int) -> tuple[list[Entry], Revision]:
        """Lists all keys that start with ``prefix``, page by page.

        The returned revision is that of the first page, and later pages may be newer. Callers
        reach a consistent state by applying the changes after that revision.
        """
        found: list[Entry] = []
        revision: Revision | None = None
        after = ""
        while True:
            target = f"/store?starts={prefix}&most=1000" + (f"&after={after}" if after else "")
            status, row = await self._call("GET", target, None, priority, PAGE_TIMEOUT_S)
            if status != 200:
                raise NoResponse(f"listing keys: status {status}, expected 200")
            if revision is None:
                revision = Revision(codec.count(row, "epoch"))
            items = codec.rows(row, "entries")
            for item in items:
                version = Revision(codec.count(item, "stamp"))
                found.append(Entry(codec.text(item, "path"), item.get("v"), version))
            if not row.get("more") or not items:
                return found, revision
            after = found[-1].key

    async def txn(self, txn: Txn, priority: int, pre_acquired: bool = False) -> TxnResult:
        """Executes a transaction; the result names the guards that did not hold.

        ``pre_acquired`` means that the caller has acquired the transaction's writes from
        ``write_limiter``. Raises LeaseExpired, Malformed if the service rejects the request as
        invalid, Unavailable if it was not executed, and NoResponse if the outcome is unknown:
        the transaction may have been applied, or may still be applied later.
        """
        if txn.size and not pre_acquired:
            await self.write_limiter.acquire(priority, txn.size)
        status, row = await self._call("POST", "/txn", txn.encode(), priority)
        if status == 200:
            return TxnResult(Revision(codec.count(row, "epoch")), ())
        if status == 409:
            failed = row.get("failed")
            keys = tuple(str(key) for key in failed) if isinstance(failed, list) else ("?",)
            return TxnResult(Revision(codec.count(row, "epoch")), keys or ("?",))
        if status == 400 and row.get("error") == "no such lease":
            raise LeaseExpired
        if status == 400:
            raise Malformed(f"transaction rejected as invalid: {row.get('error')}")
        raise Unavailable(f"transaction refused with status {status}: {row.get('error')}")

    async def grant_lease(self, life: Duration, priority: int) -> LeaseId:
        """Creates a lease that expires ``life`` seconds after its last extension."""
        body = codec.dump({"life_ms": int(life * 1000)})
        status, row = await self._call("POST", "/leases", body, priority)
        if status != 200:
            raise Unavailable(f"lease not granted: status {status}, expected 200")
        return LeaseId(codec.count(row, "grant"))

    async def extend_lease(self, lease: LeaseId) -> None:
        """Restarts the lease's lifetime; raises LeaseExpired if the lease is unknown."""
        status, _ = await self._call(
            "POST", f"/leases/{lease}/extend", b"{}", RequestPriority.LEASE
        )
        if status == 404:
            raise LeaseExpired
        if status != 200:
            raise Unavailable(f"lease not extended: status {status}, expected 200")

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Ends the lease. An unknown lease is not an error."""
        await self._call("DELETE", f"/leases/{lease}", None, RequestPriority.LEASE)

    async def changes(
        self,
        prefix: str,
        after: Revision,
        hold_s: float,
        priority: int,
        pre_acquired: bool = False,
    ) -> tuple[list[Change], Revision]:
        """Returns the changes below ``prefix`` after a revision, and the revision reached.

        If ``hold_s`` is above 0, this is a long poll: the service may hold the request for
        that many seconds until there is a change. ``pre_acquired`` means that the caller has
        acquired the request from ``request_limiter``. Raises RevisionCompacted.
        """
        target = f"/changes?starts={prefix}&after={after}&hold_ms={int(hold_s * 1000)}"
        client = self.watch_client if hold_s else self.client
        wait = hold_s + LONG_POLL_MARGIN_S if hold_s else self.timeout_s
        status, row = await self._call(
            "GET", target, None, priority, wait, client, pre_acquired
        )
        if status == 410:
            raise RevisionCompacted
        if status != 200:
            raise NoResponse(f"reading changes: status {status}, expected 200 or 410")
        found = []
        for item in codec.rows(row, "news"):
            version = Revision(codec.count(item, "stamp"))
            if "drop" in item:
                found.append(Change(codec.text(item, "drop"), None, version, True))
            else:
                found.append(Change(codec.text(item, "put"), item.get("v"), version, False))
        return found, Revision(codec.count(row, "epoch"))
