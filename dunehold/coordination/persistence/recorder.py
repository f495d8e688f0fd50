"""The leader's writes: level-triggered, batched, each guarded by the leader key's version."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from dunehold.bookkeeping import records
from dunehold.bookkeeping.hosts import Run
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.orders import OrderProgress, encode_progress
from dunehold.bookkeeping.records import HostRecord, JobRecord, ZoneRecord
from dunehold.bookkeeping.view import VERSIONED_PREFIXES, View
from dunehold.coordination.persistence.completions import CompletionWriter, GarbageCollector
from dunehold.coordination.persistence.sync import STATE_SERVICE_ERRORS, ViewSync
from dunehold.protocol import codec
from dunehold.protocol.cloud import Rental
from dunehold.protocol.state import (
    ABSENT,
    MAX_TXN_BYTES,
    Malformed,
    RequestPriority,
    StateClient,
    Txn,
)
from dunehold.settings import Settings
from dunehold.transport.http import NoResponse
from dunehold.types import (
    AttemptId,
    HostId,
    JobId,
    OrderId,
    RentalId,
    Revision,
    Token,
    WallTime,
    Zone,
)

log = logging.getLogger(__name__)

RETRY_S = 0.3
MALFORMED_RETRY_S = 1.0  # after a transaction that the state service finds malformed
BITMAP_DELAY_S = 20.0
# Sooner where many tasks end: until its mark is durable, the worker reports each of them,
# and reports must stay short. One write holds thousands of marks.
SHORT_DELAY_TASKS, SHORT_BITMAP_DELAY_S = 200, 3.0
MAX_HOSTS_PER_PAGE = 500


class LeadershipLost(Exception):
    """The leader key is not this leader's any more."""


@dataclass(slots=True)
class _PendingBitmaps:
    """Tasks of a job that ended and are not on record yet."""

    due: float
    tasks: int = 0


@dataclass(slots=True)
class Recorder:
    """Brings the durable records in line with what the leader knows.

    It compares and writes the difference, so that a write whose answer was lost, or that
    another node's write overtook, is simply made again, or found to be needless.
    """

    settings: Settings
    state: StateClient
    sync: ViewSync
    view: View
    ledger: Ledger
    leader_version: Revision
    token: Token
    on_written: Callable[[], None]
    on_starts_logged: Callable[[Iterable[HostId]], None]
    flush_gap_s: float
    wall: Callable[[], float]
    dirty_jobs: dict[JobId, None] = field(default_factory=dict)
    pending_bitmaps: dict[JobId, _PendingBitmaps] = field(default_factory=dict)
    dirty_hosts: dict[HostId, None] = field(default_factory=dict)
    new_rentals: dict[RentalId, Rental] = field(default_factory=dict)
    ended_rentals: dict[RentalId, None] = field(default_factory=dict)
    starts: dict[AttemptId, Run] = field(default_factory=dict)
    new_broken: set[JobId] | None = None  # to be written
    new_zones: dict[Zone, ZoneRecord] | None = None  # to be written
    new_successor: Zone | None = None  # to be written
    order_progress: dict[OrderId, OrderProgress | None] = field(
        default_factory=dict
    )  # None: to be deleted
    _disruptions: Any = None  # as they are to be written
    _disruptions_asked: int = 0  # how often there was more to write
    _disruptions_written: int = 0
    completions: CompletionWriter = field(init=False)
    garbage_collector: GarbageCollector = field(init=False)
    _most_ops: int = field(init=False)
    _uncertain_keys: set[str] = field(
        default_factory=set
    )  # keys with a write that may come late
    _slot: int = 0  # of the log of starts, written next
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _written: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._most_ops = self.settings.txn_ops
        self.completions = CompletionWriter(self.settings, self.token, self.wall)
        self.garbage_collector = GarbageCollector(
            self.settings,
            self.state,
            self.view,
            self.leader_version,
            lambda: asyncio.get_running_loop().time(),
        )

    def record_job(self, job: JobId, finished: bool) -> None:
        """The end of a job is written at once, the marks of one that goes on some time later.

        Until a mark is durable, the machine's report keeps the result; without either the
        task is only asked for once more, and its worker kept what it had done.
        """
        if finished:
            self.pending_bitmaps.pop(job, None)
            self.dirty_jobs[job] = None
            self._wake.set()
        elif job not in self.dirty_jobs:
            now = asyncio.get_running_loop().time()
            entry = self.pending_bitmaps.get(job)
            if entry is None:
                entry = self.pending_bitmaps[job] = _PendingBitmaps(now + BITMAP_DELAY_S)
            entry.tasks += 1
            if entry.tasks == SHORT_DELAY_TASKS:
                entry.due = min(entry.due, now + SHORT_BITMAP_DELAY_S)

    def _take_due(self) -> None:
        now = asyncio.get_running_loop().time()
        for job, entry in list(self.pending_bitmaps.items()):
            if entry.due <= now:
                del self.pending_bitmaps[job]
                self.dirty_jobs[job] = None

    def record_host(self, host: HostId) -> None:
        self.dirty_hosts[host] = None
        self._wake.set()

    def log_start(self, run: Run) -> None:
        """Commanded only once it is in the log: a next leader then knows which tasks a
        silent machine may have, and need not wait for that machine to place all others."""
        self.starts[run.id] = run
        self._wake.set()

    def record_broken_jobs(self, jobs: set[JobId]) -> None:
        """A next leader must not find out anew, with a wave of failures for each."""
        self.new_broken = jobs
        self._wake.set()

    def record_zones(self, zones: dict[Zone, ZoneRecord]) -> None:
        """A next leader must not learn of a lost zone by another wave of rentals."""
        if self.new_zones is not None or zones != self.view.zones:
            self.new_zones = zones
            self._wake.set()

    def record_order_progress(self, order: OrderId, progress: OrderProgress | None) -> None:
        """How far the leader is with an order; None: nothing is kept of it any more."""
        self.order_progress[order] = progress
        self._wake.set()

    async def record_disruptions(self, value: Any) -> None:
        """Return once it is durable what is about to be stopped by choice: a next leader must
        not spend the same budget again. A newer value holds what an older one did."""
        self._disruptions = value
        self._disruptions_asked += 1
        mine = self._disruptions_asked
        await self._until(lambda: self._disruptions_written >= mine)

    async def record_successor(self, zone: Zone) -> None:
        """Return once it is durable which zone should lead after this token. A hint: who leads
        is decided as ever, and others stand if nobody there does."""
        self.new_successor = zone
        await self._until(lambda: self.new_successor is None)

    def end_rental(self, rental: RentalId) -> None:
        self.ended_rentals[rental] = None
        self._wake.set()

    async def record_rentals(self, rentals: list[Rental]) -> None:
        """Return once the intents are durable: a crash between request and answer must
        neither lose the machines nor reuse the name."""
        for rental in rentals:
            self.new_rentals[rental.id] = rental
        await self._until(lambda: not any(rental.id in self.new_rentals for rental in rentals))

    async def _until(self, done: Callable[[], bool]) -> None:
        """Return once a flush has made it so."""
        self._wake.set()
        while not done():
            self._written.clear()
            await self._written.wait()

    async def run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self._wake.wait()
            self._wake.clear()
            self._take_due()
            while self._pending():
                try:
                    await self._flush()
                    self._most_ops = min(self.settings.txn_ops, self._most_ops * 2)
                    await asyncio.sleep(self.flush_gap_s)
                except Malformed as error:
                    # The same transaction would be refused for ever: smaller ones come next,
                    # and what is at fault goes behind everything else.
                    log.error("records refused, smaller ones follow: %s", error)
                    self._most_ops = max(1, self._most_ops // 2)
                    self._rotate_queues()
                    await asyncio.sleep(MALFORMED_RETRY_S)
                except STATE_SERVICE_ERRORS as error:
                    log.debug("records not written yet: %s", error)
                    await asyncio.sleep(RETRY_S)
            with contextlib.suppress(*STATE_SERVICE_ERRORS):  # tried again in a second
                while not self._pending() and await self.garbage_collector.sweep():
                    await asyncio.sleep(self.flush_gap_s)

    def _rotate_queues(self) -> None:
        """Turn each queue, so that another transaction is tried next."""
        queues: list[dict[Any, Any]] = [self.dirty_jobs, self.dirty_hosts]
        queues += [self.starts, self.order_progress]
        for queue in queues:
            for first in list(queue)[:1]:
                queue[first] = queue.pop(first)

    def _pending(self) -> bool:
        return bool(
            self.starts
            or self.dirty_jobs
            or self.dirty_hosts
            or self.new_rentals
            or self.ended_rentals
            or self.new_broken is not None
            or self.new_zones is not None
            or self._disruptions_written < self._disruptions_asked
            or self.order_progress
            or self.new_successor is not None
        )

    async def _flush(self) -> None:
        txn = Txn(guards={records.LEADER_KEY: self.leader_version})
        limit = self._most_ops
        logged = self._log_starts(txn, max(1, limit // 2))
        rentals = [r for r in self.new_rentals.values()][
            : max(not txn.size, (limit - txn.size) // 2)
        ]
        for rental in rentals:
            if rental.id not in self.view.rentals:  # else an answer was lost
                txn.puts[records.RENTALS + rental.id] = records.encode_rental(rental)
        included: set[HostId] = set()
        hosts = self._host_changes(txn, limit, included)
        ended = []
        for name in list(self.ended_rentals):
            if txn.size < limit:
                ended.append(name)
                if name in self.view.rentals:
                    txn.deletes.add(records.RENTALS + name)
        broken = self.new_broken
        if broken is not None and txn.size < limit:
            room = records.usable_value_bytes(self.settings.value_bytes)
            txn.puts[records.BROKEN_JOBS] = records.encode_broken_jobs(
                broken & self.view.active.keys(), room
            )
        zones = self.new_zones
        if zones is not None and txn.size < limit:
            txn.puts[records.ZONES] = records.encode_zones(zones)
        asked = self._disruptions_asked
        if self._disruptions_written < asked and txn.size < limit:
            txn.puts[records.DISRUPTIONS] = self._disruptions
        successor = self.new_successor
        if successor is not None and txn.size < limit:
            txn.puts[records.SUCCESSOR] = records.encode_successor(successor, self.token)
        upkeep = self._order_changes(txn, limit)
        jobs = []
        # Who is waited for goes first: what comes after is held up by nothing else.
        for job in sorted(
            self.dirty_jobs, key=lambda j: j not in self.view.dependency_index.dependents
        ):
            if txn.size >= limit:
                break
            if self._job_change(txn, job, limit - txn.size):
                jobs.append(job)
        if txn.size:
            keys = {*txn.puts, *txn.deletes}
            for key in keys:
                if key.startswith(VERSIONED_PREFIXES):
                    txn.guards[key] = self.view.versions.get(key, ABSENT)
            try:
                result = await self.state.txn(txn, RequestPriority.LEADER)
            except NoResponse:
                self._uncertain_keys |= keys
                raise
            if not result.ok and records.LEADER_KEY in result.failed:
                raise LeadershipLost
            if result.ok:
                self._uncertain_keys -= keys
                log.debug("recorded %d changes at revision %d", txn.size, result.revision)
                self._mark_starts_logged(logged)
                for host_id in included:
                    host = self.ledger.hosts.get(host_id)
                    if host is not None:
                        host.recorded = True
            if not result.ok or len(txn.puts) + len(txn.deletes) > self._log_keys(txn):
                # What else was written shows in the view once that has caught up.
                await self.sync.barrier(urgent=True)
            if not result.ok:
                return
        for rental in rentals:
            self.new_rentals.pop(rental.id, None)
        for name in ended:
            self.ended_rentals.pop(name, None)
        if records.BROKEN_JOBS in txn.puts and self.new_broken is broken:
            self.new_broken = None
        if records.ZONES in txn.puts and self.new_zones is zones:
            self.new_zones = None
        if records.DISRUPTIONS in txn.puts:
            self._disruptions_written = asked
        if records.SUCCESSOR in txn.puts:
            self.new_successor = None
        for order, progress in upkeep.items():
            if self.order_progress[order] is progress:
                del self.order_progress[order]
        for host_id in hosts:
            # What changed while this was under way is still to be written.
            if self._wanted_host(host_id) == self.view.hosts.get(host_id):
                self.dirty_hosts.pop(host_id, None)
        for job in jobs:
            self.dirty_jobs.pop(job, None)
            if job in self.view.active and self._job_differs(job):
                self.record_job(job, self._finished(self.view.active[job]))
        self._written.set()
        self.on_written()

    def _order_changes(self, txn: Txn, limit: int) -> dict[OrderId, OrderProgress | None]:
        """As many as fit; an order that has ended goes with what is kept of it."""
        taken: dict[OrderId, OrderProgress | None] = {}
        for order, progress in self.order_progress.items():
            if txn.size + 2 > limit:
                break
            taken[order] = progress
            if progress is not None:
                txn.puts[records.ORDER_PROGRESS + order] = encode_progress(progress)
                continue
            known = self.view.orders.get(order)
            if known is not None:
                # Whatever an operator said of it meanwhile stands against this.
                txn.guards[records.ORDERS + order] = known.version
                txn.deletes.add(records.ORDERS + order)
            if order in self.view.order_progress:
                txn.deletes.add(records.ORDER_PROGRESS + order)
        return taken

    # -- starts ----------------------------------------------------------------------

    @staticmethod
    def _log_keys(txn: Txn) -> int:
        return sum(key.startswith(records.STARTS) for key in txn.puts)

    def _log_starts(self, txn: Txn, slots: int) -> list[Run]:
        """Put what is to be started into the next slots of the ring.

        What a slot held before and may still be on its machine goes along.
        """
        taken: list[Run] = []
        waiting = [run for run in self.starts.values() if self._planned(run)]
        for run in list(self.starts.values()):
            if not self._planned(run):
                del self.starts[run.id]
        room = records.usable_value_bytes(self.settings.value_bytes)
        passed = 0
        for number in range(records.START_SLOTS):
            if not waiting or self._log_keys(txn) >= slots:
                break
            slot = (self._slot + number) % records.START_SLOTS
            passed = number + 1
            placed: records.TasksByHost = {}
            for host, tasks in self.view.start_log.get(slot, {}).items():
                kept = {task for task in tasks if self.ledger.must_stay_logged(host, task)}
                if kept:
                    placed[host] = kept
            size = sum(records.starts_bytes(tasks) for tasks in placed.values())
            if size >= room:
                continue  # full of what may still run; written under larger limits, perhaps
            while waiting and size < room:
                run = waiting.pop()
                tasks = placed.setdefault(run.host, set())
                size -= records.starts_bytes(tasks) if tasks else 0
                tasks.add(run.id.task)
                size += records.starts_bytes(tasks)
                taken.append(run)
            txn.puts[f"{records.STARTS}{slot}"] = records.encode_starts(placed)
        # An unanswered write may still come: its slot is not used again before the next round.
        self._slot = (self._slot + passed) % records.START_SLOTS
        return taken

    def _planned(self, run: Run) -> bool:
        host = self.ledger.hosts.get(run.host)
        return host is not None and host.runs.get(run.id) is run and run.unsent

    def _mark_starts_logged(self, runs: list[Run]) -> None:
        if not runs:
            return
        hosts: dict[HostId, None] = {}
        for run in runs:
            self.starts.pop(run.id, None)
            if self._planned(run):
                run.start_logged = True
                hosts[run.host] = None
        self.on_starts_logged(hosts)

    # -- machines --------------------------------------------------------------------

    def _wanted_host(self, host_id: HostId) -> HostRecord | None:
        host = self.ledger.hosts.get(host_id)
        if host is None or host.fenced:
            return None  # nothing is on it, and nothing is started before it is back on record
        return HostRecord(host.id, host.type, host.zone, host.spot)

    def _host_changes(self, txn: Txn, limit: int, included: set[HostId]) -> list[HostId]:
        """Machines that this transaction settles; those that it puts on record."""
        if not self.dirty_hosts:
            return []
        capacity = max(1, self.settings.value_bytes // records.HOST_BYTES)
        capacity = min(capacity, MAX_HOSTS_PER_PAGE)
        pages = {page: dict(rows) for page, rows in self.view.host_pages.items()}
        where = {host: page for page, rows in pages.items() for host in rows}
        touched: dict[int, None] = {}
        taken: list[HostId] = []
        for host_id in self.dirty_hosts:
            wanted = self._wanted_host(host_id)
            page = where.get(host_id)
            in_doubt = page is not None and f"{records.HOSTS}{page}" in self._uncertain_keys
            if wanted == self.view.hosts.get(host_id) and not in_doubt:
                if wanted is not None:
                    self.ledger.hosts[host_id].recorded = True
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
                host = self.ledger.hosts.get(host_id)
                if host is not None:
                    host.recorded = False  # from here on: this write may come at any time
            else:
                rows[host_id] = wanted
                included.add(host_id)
            touched[page] = None
            taken.append(host_id)
        for page in list(touched):
            if not self._split(pages, page, capacity, touched, limit - txn.size):
                del touched[page]  # too large for a value, no space to split it: next time
                included.difference_update(pages[page])
        # A page that was split goes first: who reads one after the other loses no machine.
        for page in sorted(
            touched, key=lambda p: len(self.view.host_pages.get(p, ())), reverse=True
        ):
            key = f"{records.HOSTS}{page}"
            if pages[page]:
                txn.puts[key] = records.encode_hosts(list(pages[page].values()))
            else:
                txn.deletes.add(key)
        return taken

    def _split(
        self,
        pages: dict[int, dict[HostId, HostRecord]],
        page: int,
        capacity: int,
        touched: dict[int, None],
        most: int,
    ) -> bool:
        """Move what is too much for the page to others, in the same transaction.

        Guards against a page that was written under larger limits: refused for good, it would
        hold up every other record. False if it can be written neither split nor whole.
        """
        rows = pages[page]
        left = list(rows)[capacity:]
        moves: list[tuple[int, list[HostId]]] = []
        for number in range(len(pages) + len(left)):
            if not left:
                break
            free = capacity - len(pages.get(number, ()))
            if number == page or free <= 0:
                continue
            new = number not in touched
            if new and len(touched) + sum(m not in touched for m, _ in moves) >= most:
                continue
            moves.append((number, left[:free]))
            left = left[free:]
        if left:
            whole = codec.dump(records.encode_hosts(list(rows.values())))
            return len(whole) <= self.settings.value_bytes
        for number, hosts in moves:
            touched[number] = None
            target = pages.setdefault(number, {})
            for host in hosts:
                target[host] = rows.pop(host)
        return True

    # -- jobs ------------------------------------------------------------------------

    def _finished(self, record: JobRecord) -> bool:
        fresh = self.ledger.reported_done.get(record.id, set())
        count = record.done_count() + sum(not record.is_task_done(index) for index in fresh)
        return count >= record.tasks

    def _job_differs(self, job: JobId) -> bool:
        record = self.view.active.get(job)
        return record is not None and any(
            not record.is_task_done(index) for index in self.ledger.reported_done.get(job, ())
        )

    def _job_change(self, txn: Txn, job: JobId, space: int) -> bool:
        """Add the job's writes; false if there is no space for them."""
        record = self.view.active.get(job)
        if record is None:
            self.ledger.reported_done.pop(job, None)
            return True
        fresh = {
            i for i in self.ledger.reported_done.get(job, ()) if not record.is_task_done(i)
        }
        if not fresh:
            return True
        # The job's version guards against calling a job done that its user has cancelled.
        key = records.job_key(job)
        if self._finished(record):
            if record.batch_key is None:
                txn.guards[key] = record.version
                txn.puts[key] = records.encode_done(record, WallTime(round(self.wall(), 3)))
            elif not self.completions.add(txn, record, space):
                return False
            for page in list(record.completion_bitmaps)[: max(0, space - 1)]:
                txn.deletes.add(records.completion_bitmap_key(job, page))
            log.info("job %s: all %d tasks done", job, record.tasks)
            return True
        pages: dict[int, int] = {}
        for index in fresh:
            page, bit = divmod(index, records.TASKS_PER_BITMAP_PAGE)
            pages[page] = pages.get(page, record.completion_bitmaps.get(page, 0)) | 1 << bit
        for page, bits in list(pages.items())[:space]:
            if len(txn.encode()) > MAX_TXN_BYTES // 2:
                return False
            txn.puts[records.completion_bitmap_key(job, page)] = records.encode_bitmap(bits)
        return True
