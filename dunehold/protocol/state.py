"""The state service: keys, transactions, leases, changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.transport.http import Client, NoResponse
from dunehold.transport.rate_limiter import RateLimiter
from dunehold.types import Duration, LeaseId, Revision

MAX_TXN_BYTES = 60 * 1024
ABSENT = Revision(0)


class Entry(NamedTuple):
    key: str
    value: Any
    version: Revision


class Change(NamedTuple):
    """A put, or a delete when ``deleted``."""

    key: str
    value: Any
    version: Revision
    deleted: bool


class Unavailable(Exception):
    """Refused: it was not executed."""


class Malformed(Unavailable):
    """The request itself is at fault; the same one will be refused again."""


class LeaseExpired(Exception):
    """The lease has ended."""


class RevisionCompacted(Exception):
    """The changes asked for are no longer kept."""


@dataclass(slots=True)
class Txn:
    """Conditions and writes that take effect together or not at all."""

    guards: dict[str, Revision] = field(default_factory=dict)
    puts: dict[str, Any] = field(default_factory=dict)
    deletes: set[str] = field(default_factory=set)
    lease: LeaseId | None = None
    leased_key: str | None = None

    @property
    def size(self) -> int:
        return len(self.puts) + len(self.deletes)

    def encode(self) -> bytes:
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
    """``failed`` holds the keys whose condition did not hold."""

    revision: Revision
    failed: tuple[str, ...]

    @property
    def ok(self) -> bool:
        return not self.failed


class RequestPriority:
    """Who goes first when the budget is short: the leader's lease, then proofs.

    A cancellation goes before submissions: a flood of those must not keep tasks running that
    nobody wants, and what it frees is room for them.
    """

    LEASE = 0
    PROOF = 1
    CANCEL = 2
    LEADER = 3
    USER = 4
    BULK = 5


@dataclass(slots=True)
class StateClient:
    client: Client
    watch_client: Client
    request_limiter: RateLimiter
    write_limiter: RateLimiter
    timeout_s: float = 1.5
    on_limited: Callable[[], None] = lambda: None  # a rate was refused

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
            raise Unavailable(f"{status}")
        try:
            return status, codec.load_object(data) if data else {}
        except BadMessage as error:
            raise NoResponse(str(error)) from None

    async def get(self, key: str, priority: int) -> Entry | None:
        status, row = await self._call("GET", f"/store/{key}", None, priority)
        if status == 404:
            return None
        if status != 200:
            raise NoResponse(f"status {status}")
        return Entry(codec.text(row, "path"), row.get("v"), Revision(codec.count(row, "stamp")))

    async def entries(self, prefix: str, priority: int) -> tuple[list[Entry], Revision]:
        """All keys below ``prefix``; read changes after the revision to catch up."""
        found: list[Entry] = []
        revision: Revision | None = None
        after = ""
        while True:
            target = f"/store?starts={prefix}&most=1000" + (f"&after={after}" if after else "")
            status, row = await self._call("GET", target, None, priority, 5.0)
            if status != 200:
                raise NoResponse(f"status {status}")
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
        """NoResponse: it may have been applied, or may yet be applied later.

        ``paid``: its changes have been taken from the budget of writes already.
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
            raise Malformed(f"txn: {row.get('error')}")
        raise Unavailable(f"txn: status {status} {row.get('error')}")

    async def grant_lease(self, life: Duration, priority: int) -> LeaseId:
        body = codec.dump({"life_ms": int(life * 1000)})
        status, row = await self._call("POST", "/leases", body, priority)
        if status != 200:
            raise Unavailable(f"lease: status {status}")
        return LeaseId(codec.count(row, "grant"))

    async def extend_lease(self, lease: LeaseId) -> None:
        status, _ = await self._call(
            "POST", f"/leases/{lease}/extend", b"{}", RequestPriority.LEASE
        )
        if status == 404:
            raise LeaseExpired
        if status != 200:
            raise Unavailable(f"extend: status {status}")

    async def revoke_lease(self, lease: LeaseId) -> None:
        await self._call("DELETE", f"/leases/{lease}", None, RequestPriority.LEASE)

    async def changes(
        self,
        prefix: str,
        after: Revision,
        hold_s: float,
        priority: int,
        pre_acquired: bool = False,
    ) -> tuple[list[Change], Revision]:
        target = f"/changes?starts={prefix}&after={after}&hold_ms={int(hold_s * 1000)}"
        client = self.watch_client if hold_s else self.client
        wait = hold_s + 5.0 if hold_s else self.timeout_s
        status, row = await self._call(
            "GET", target, None, priority, wait, client, pre_acquired
        )
        if status == 410:
            raise RevisionCompacted
        if status != 200:
            raise NoResponse(f"status {status}")
        found = []
        for item in codec.rows(row, "news"):
            version = Revision(codec.count(item, "stamp"))
            if "drop" in item:
                found.append(Change(codec.text(item, "drop"), None, version, True))
            else:
                found.append(Change(codec.text(item, "put"), item.get("v"), version, False))
        return found, Revision(codec.count(row, "epoch"))
