"""The leader's writes: level-triggered, batched, each guarded by the leader key's version."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from dunehold.bookkeeping import records
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.records import HostRecord, JobRecord
from dunehold.bookkeeping.view import View
from dunehold.coordination.sync import TROUBLE, Sync
from dunehold.protocol.cloud import Rental
from dunehold.protocol.state import MAX_TXN_BYTES, Priority, StateClient, Txn, TxnResult
from dunehold.settings import Settings
from dunehold.types import HostId, JobId, RentalId, Revision

log = logging.getLogger(__name__)

FLUSH_GAP_S = 0.05
RETRY_S = 0.3


class Deposed(Exception):
    """The leader key is not this leader's any more."""


@dataclass(slots=True)
class Recorder:
    """Brings the durable records in line with what the leader knows.

    It compares and writes the difference, so that a write whose answer was lost, or that
    another node's write overtook, is simply made again, or found to be needless.
    """

    settings: Settings
    state: StateClient
    sync: Sync
    view: View
    ledger: Ledger
    leader_version: Revision
    on_written: Callable[[], None]
    dirty_jobs: set[JobId] = field(default_factory=set)
    dirty_hosts: set[HostId] = field(default_factory=set)
    new_rentals: dict[RentalId, Rental] = field(default_factory=dict)
    ended_rentals: set[RentalId] = field(default_factory=set)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _written: asyncio.Event = field(default_factory=asyncio.Event)

    def job(self, job: JobId) -> None:
        self.dirty_jobs.add(job)
        self._wake.set()

    def host(self, host: HostId) -> None:
        self.dirty_hosts.add(host)
        self._wake.set()

    def end_rental(self, rental: RentalId) -> None:
        self.ended_rentals.add(rental)
        self._wake.set()

    async def record_rentals(self, rentals: list[Rental]) -> None:
        """Return once the intents are durable: a crash between request and answer must
        neither lose the machines nor reuse the name."""
        for rental in rentals:
            self.new_rentals[rental.id] = rental
        self._wake.set()
        while any(rental.id in self.new_rentals for rental in rentals):
            self._written.clear()
            await self._written.wait()

    async def run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending():
                try:
                    await self._flush()
                    await asyncio.sleep(FLUSH_GAP_S)
                except TROUBLE as error:
                    log.debug("records not written yet: %s", error)
                    await asyncio.sleep(RETRY_S)

    def _pending(self) -> bool:
        return bool(
            self.dirty_jobs or self.dirty_hosts or self.new_rentals or self.ended_rentals
        )

    async def _flush(self) -> None:
        txn = Txn(guards={records.LEADER_KEY: self.leader_version})
        limit = self.settings.txn_ops
        rentals = [r for r in self.new_rentals.values()][: max(1, limit // 2)]
        for rental in rentals:
            txn.puts[records.RENTALS + rental.id] = records.encode_rental(rental)
        hosts = self._host_changes(txn, limit)
        ended = []
        for name in list(self.ended_rentals):
            if txn.size < limit:
                ended.append(name)
                if name in self.view.rentals:
                    txn.deletes.add(records.RENTALS + name)
        jobs = []
        for job in list(self.dirty_jobs):
            if txn.size >= limit:
                break
            if self._job_change(txn, job, limit - txn.size):
                jobs.append(job)
        if txn.size:
            result = await self.state.txn(txn, Priority.LEADER)
            await self._after(result, txn)
            if not result.ok:
                return
        for rental in rentals:
            self.new_rentals.pop(rental.id, None)
        self.ended_rentals.difference_update(ended)
        self.dirty_hosts.difference_update(hosts)
        self.dirty_jobs.difference_update(jobs)
        for job in jobs:
            if job in self.view.active and self._job_differs(job):
                self.dirty_jobs.add(job)
        self._written.set()
        self.on_written()

    async def _after(self, result: TxnResult, txn: Txn) -> None:
        if not result.ok and records.LEADER_KEY in result.failed:
            raise Deposed
        await self.sync.barrier(urgent=True)
        if result.ok:
            log.debug("recorded %d changes at revision %d", txn.size, result.revision)

    # -- machines --------------------------------------------------------------------

    def _wanted_host(self, host_id: HostId) -> HostRecord | None:
        host = self.ledger.hosts.get(host_id)
        if host is None:
            return None
        return HostRecord(host.id, host.address, host.type, host.zone, host.spot)

    def _host_changes(self, txn: Txn, limit: int) -> list[HostId]:
        capacity = max(1, self.settings.value_bytes // records.HOST_RECORD_BYTES)
        pages = {page: dict(rows) for page, rows in self.view.host_pages.items()}
        where = {host: page for page, rows in pages.items() for host in rows}
        touched: set[int] = set()
        taken: list[HostId] = []
        for host_id in self.dirty_hosts:
            wanted = self._wanted_host(host_id)
            page = where.get(host_id)
            if wanted == self.view.hosts.get(host_id):
                taken.append(host_id)
                continue
            if page is None:
                page = 0
                while len(pages.get(page, ())) >= capacity:
                    page += 1
            if page not in touched and txn.size + len(touched) >= limit:
                continue
            rows = pages.setdefault(page, {})
            if wanted is None:
                rows.pop(host_id, None)
            else:
                rows[host_id] = wanted
            touched.add(page)
            taken.append(host_id)
        for page in touched:
            key = f"{records.HOSTS}{page}"
            if pages[page]:
                txn.puts[key] = records.encode_hosts(list(pages[page].values()))
            else:
                txn.deletes.add(key)
        return taken

    # -- jobs ------------------------------------------------------------------------

    def _finished(self, record: JobRecord) -> bool:
        fresh = self.ledger.done.get(record.id, set())
        count = record.done_count() + sum(not record.done(index) for index in fresh)
        return count >= record.tasks

    def _job_differs(self, job: JobId) -> bool:
        record = self.view.active.get(job)
        return record is not None and any(
            not record.done(index) for index in self.ledger.done.get(job, ())
        )

    def _job_change(self, txn: Txn, job: JobId, space: int) -> bool:
        """Add the job's writes; false if there is no space for them."""
        record = self.view.active.get(job)
        if record is None:
            self.ledger.done.pop(job, None)
            return True
        fresh = {i for i in self.ledger.done.get(job, ()) if not record.done(i)}
        if not fresh:
            return True
        # The job's version guards against calling a job done that its user has cancelled.
        key = records.job_key(job)
        if self._finished(record):
            txn.guards[key] = record.version
            txn.puts[key] = records.encode_done(record)
            for page in list(record.marks)[: max(0, space - 1)]:
                txn.deletes.add(records.mark_key(job, page))
            log.info("job %s: all %d tasks done", job, record.tasks)
            return True
        pages: dict[int, int] = {}
        for index in fresh:
            page, bit = divmod(index, records.PAGE_TASKS)
            pages[page] = pages.get(page, record.marks.get(page, 0)) | 1 << bit
        for page, bits in list(pages.items())[:space]:
            if len(txn.encode()) > MAX_TXN_BYTES // 2:
                return False
            txn.puts[records.mark_key(job, page)] = records.encode_bitmap(bits)
        return True
