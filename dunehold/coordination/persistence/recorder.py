"""The leader's writes to the state service.

Writes are level-triggered (derived from the difference between the wanted and the recorded
state) and batched. Each transaction is guarded by the version of the leader key.
"""

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
from dunehold.coordination.persistence.start_log_cleaner import StartLogCleaner, kept_entries
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
    MonotonicTime,
    OrderId,
    RentalId,
    Revision,
    Token,
    WallTime,
    Zone,
)

log = logging.getLogger(__name__)

RETRY_S = 0.3  # after a transaction that failed or was not answered
MALFORMED_RETRY_S = 1.0  # after a transaction that the state service rejects as malformed
BITMAP_DELAY_S = 20.0  # from a job's first unrecorded completion to the write of its bitmap
# The bitmap is written sooner when many tasks of a job complete: until a task's completion is
# durable, its worker goes on reporting the task, and reports must stay short. One write holds
# thousands of completions.
SHORT_DELAY_TASKS = 200  # unrecorded completions of a job from which the shorter delay applies
SHORT_BITMAP_DELAY_S = 3.0
MAX_HOSTS_PER_PAGE = 500


class LeadershipLost(Exception):
    """The leader key does not belong to this leader any more."""


@dataclass(slots=True)
class _PendingBitmaps:
    """A job with completed tasks that are not on record yet."""

    due: float  # when the bitmap is to be written, in seconds of the event loop's clock
    tasks: int = 0  # completions since the last write was scheduled


@dataclass(slots=True)
class Recorder:
    """Brings the durable records in line with the leader's state.

    It compares the two and writes the difference. A write whose response was lost, or that
    failed because of another node's write, is therefore repeated or found to be unnecessary.

    Attributes:
        leader_version: version of the leader key when this leader took it.
        on_written: called after each flush that succeeded.
        on_starts_logged: called with the hosts whose starts are durable in the start log, and
            may be commanded.
        flush_gap_s: pause after each transaction.
        wall: returns the wall-clock time in seconds.
        dirty_jobs: jobs whose completions are to be written, as an ordered set.
        pending_bitmaps: jobs whose bitmaps are to be written after a delay.
        dirty_hosts: hosts whose records are to be written or deleted, as an ordered set.
        starts: planned attempts that are not in the start log yet.
        new_broken: broken jobs to be written, or None.
        new_zones: zone records to be written, or None.
        new_successor: zone that should lead next, to be written, or None.
        new_last_token: up to which token this term is to reserve more, or None.
        order_progress: progress of orders to be written; None if the order and its progress
            are to be deleted.
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
    new_broken: set[JobId] | None = None
    new_zones: dict[Zone, ZoneRecord] | None = None
    new_successor: Zone | None = None
    new_last_token: Token | None = None
    order_progress: dict[OrderId, OrderProgress | None] = field(default_factory=dict)
    _disruptions: Any = None  # encoded value to be written
    _disruptions_requested: int = 0  # sequence number of the value above
    _disruptions_written: int = 0  # sequence number of the newest value that is durable
    completions: CompletionWriter = field(init=False)
    garbage_collector: GarbageCollector = field(init=False)
    start_log_cleaner: StartLogCleaner = field(init=False)
    _max_ops: int = field(init=False)  # writes per transaction; reduced after a rejection
    # Keys with a write that was not answered and may still be applied.
    _uncertain_keys: set[str] = field(default_factory=set)
    _next_slot: int = 0  # slot of the start log that is written next
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _written: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._max_ops = self.settings.txn_ops
        self.completions = CompletionWriter(self.settings, self.token, self.wall)
        self.start_log_cleaner = StartLogCleaner(self.view, self.ledger)
        self.garbage_collector = GarbageCollector(
            self.settings,
            self.state,
            self.view,
            self.leader_version,
            lambda: asyncio.get_running_loop().time(),
        )

    def record_job(self, job: JobId, finished: bool) -> None:
        """Schedule the write of a job's completions.

        The completion of a whole job is written at once, the bitmap of an unfinished job after
        a delay. Until the bitmap is durable, the worker's reports keep the result. If those are
        lost too, the task is only started again, and its worker has kept the work it had done.
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

    def _take_due_bitmaps(self) -> None:
        now = asyncio.get_running_loop().time()
        for job, entry in list(self.pending_bitmaps.items()):
            if entry.due <= now:
                del self.pending_bitmaps[job]
                self.dirty_jobs[job] = None

    def record_host(self, host: HostId) -> None:
        """Schedule the write or deletion of a host's record, according to the ledger."""
        self.dirty_hosts[host] = None
        self._wake.set()

    def log_start(self, run: Run) -> None:
        """Schedule an entry in the start log, without which a start must not be commanded.

        From the log the next leader knows which tasks a silent host may have, so that it can
        schedule all others without waiting for that host.
        """
        self.starts[run.id] = run
        self._wake.set()

    def record_broken_jobs(self, jobs: set[JobId]) -> None:
        """Schedule the write of the broken jobs.

        Otherwise the next leader would have to detect each of them by another wave of failures.
        """
        self.new_broken = jobs
        self._wake.set()

    def record_zones(self, zones: dict[Zone, ZoneRecord]) -> None:
        """Schedule the write of the zone records if they differ from the recorded ones.

        Otherwise the next leader would discover a lost zone only by another wave of rentals
        there.
        """
        if self.new_zones is not None or zones != self.view.zones:
            self.new_zones = zones
            self._wake.set()

    def record_order_progress(self, order: OrderId, progress: OrderProgress | None) -> None:
        """Schedule the write of an order's progress; None deletes it and the order."""
        self.order_progress[order] = progress
        self._wake.set()

    async def record_disruptions(self, value: Any) -> None:
        """Write the voluntary disruptions and return once they are durable.

        Called before the disruptions take place, so that the next leader does not spend the
        same budget again. A newer value must include all disruptions of an older one.
        """
        self._disruptions = value
        self._disruptions_requested += 1
        requested = self._disruptions_requested
        await self._wait_until(lambda: self._disruptions_written >= requested)

    async def record_successor(self, zone: Zone) -> None:
        """Write which zone should lead after this term and return once that is durable.

        This is only a hint: the leader is still elected as usual, and nodes of other zones
        become candidates if none of that zone does.
        """
        self.new_successor = zone
        await self._wait_until(lambda: self.new_successor is None)

    def reserve_tokens(self, last: Token) -> None:
        """Schedule the reservation of this term's tokens up to ``last``.

        The ledger uses them only once that is durable, so that no later term has them too.
        """
        if self.new_last_token is None:
            self.new_last_token = last
            self._wake.set()

    def end_rental(self, rental: RentalId) -> None:
        """Schedule the deletion of a rental's record."""
        self.ended_rentals[rental] = None
        self._wake.set()

    async def record_rentals(self, rentals: list[Rental]) -> None:
        """Write the rentals and return once they are durable.

        Called before the cloud is asked for the machines: a crash between the request and the
        response must neither lose the machines nor lead to a reuse of the rental's name.
        """
        for rental in rentals:
            self.new_rentals[rental.id] = rental
        await self._wait_until(
            lambda: not any(rental.id in self.new_rentals for rental in rentals)
        )

    async def _wait_until(self, done: Callable[[], bool]) -> None:
        """Wake the writer and return once ``done()`` holds after a flush."""
        self._wake.set()
        while not done():
            self._written.clear()
            await self._written.wait()

    async def run(self) -> None:
        """Write what is pending until the task is cancelled.

        Raises LeadershipLost when the leader key has changed.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self._wake.wait()
            self._wake.clear()
            self._take_due_bitmaps()
            while self._pending():
                try:
                    await self._flush()
                    self._max_ops = min(self.settings.txn_ops, self._max_ops * 2)
                    await asyncio.sleep(self.flush_gap_s)
                except Malformed as error:
                    # The same transaction would be rejected again and again. The next ones are
                    # smaller, and the records that may be at fault move to the end.
                    log.error(
                        "state service rejected a transaction as malformed; "
                        "retrying with smaller transactions: %s",
                        error,
                    )
                    self._max_ops = max(1, self._max_ops // 2)
                    self._rotate_queues()
                    await asyncio.sleep(MALFORMED_RETRY_S)
                except STATE_SERVICE_ERRORS as error:
                    log.debug("records not written, retrying: %s", error)
                    await asyncio.sleep(RETRY_S)
            with contextlib.suppress(*STATE_SERVICE_ERRORS):  # retried within a second
                while not self._pending() and await self.garbage_collector.sweep():
                    await asyncio.sleep(self.flush_gap_s)

    def _rotate_queues(self) -> None:
        """Move the first item of each queue to its end, to vary the next transaction."""
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
            or self._disruptions_written < self._disruptions_requested
            or self.order_progress
            or self.new_successor is not None
            or self.new_last_token is not None
            or self.start_log_cleaner.pending(MonotonicTime(asyncio.get_running_loop().time()))
        )

    async def _flush(self) -> None:
        """Write as much of what is pending as fits one transaction.

        Raises LeadershipLost, or what the client of the state service raises. If a guard other
        than the leader key fails, the view is refreshed and everything stays pending.
        """
        txn = Txn(guards={records.LEADER_KEY: self.leader_version})
        limit = self._max_ops
        logged = self._log_starts(txn, max(1, limit // 2))
        rentals = [r for r in self.new_rentals.values()][
            : max(not txn.size, (limit - txn.size) // 2)
        ]
        for rental in rentals:
            if rental.id not in self.view.rentals:  # else it was written, but not confirmed
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
        requested = self._disruptions_requested
        if self._disruptions_written < requested and txn.size < limit:
            txn.puts[records.DISRUPTIONS] = self._disruptions
        successor = self.new_successor
        if successor is not None and txn.size < limit:
            txn.puts[records.SUCCESSOR] = records.encode_successor(
                successor, self.ledger.tokens.last
            )
        last_token = self.new_last_token
        if last_token is not None and txn.size < limit:
            txn.puts[records.TOKEN_KEY] = last_token
            txn.guards[records.TOKEN_KEY] = self.view.token_version
        order_changes = self._order_changes(txn, limit)
        jobs = []
        # Jobs with dependents go first: only this write holds up their dependents.
        for job in sorted(
            self.dirty_jobs, key=lambda j: j not in self.view.dependency_index.dependents
        ):
            if txn.size >= limit:
                break
            if self._job_change(txn, job, limit - txn.size):
                jobs.append(job)
        self.start_log_cleaner.add_changes(txn, limit)
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
                log.debug("wrote %d records at revision %d", txn.size, result.revision)
                self._mark_starts_logged(logged)
                for host_id in included:
                    host = self.ledger.hosts.get(host_id)
                    if host is not None:
                        host.recorded = True
            if not result.ok or len(txn.puts) + len(txn.deletes) > self._start_log_keys(txn):
                # What was written besides the start log must be in the view before the two are
                # compared below.
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
            self._disruptions_written = requested
        if records.SUCCESSOR in txn.puts:
            self.new_successor = None
        if last_token is not None and records.TOKEN_KEY in txn.puts:
            self.ledger.tokens.last = last_token
            self.new_last_token = None
        for order, progress in order_changes.items():
            if self.order_progress[order] is progress:
                del self.order_progress[order]
        for host_id in hosts:
            # A host that changed during the write stays dirty.
            if self._wanted_host(host_id) == self.view.hosts.get(host_id):
                self.dirty_hosts.pop(host_id, None)
        for job in jobs:
            self.dirty_jobs.pop(job, None)
            if job in self.view.active and self._job_differs(job):
                self.record_job(job, self._is_finished(self.view.active[job]))
        self._written.set()
        self.on_written()

    def _order_changes(self, txn: Txn, limit: int) -> dict[OrderId, OrderProgress | None]:
        """Add as much progress as fits, and return it.

        Where the progress to be written is None, the order and the record of its progress are
        deleted.
        """
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
                # The guard makes the deletion fail if an operator has changed the order since.
                txn.guards[records.ORDERS + order] = known.version
                txn.deletes.add(records.ORDERS + order)
            if order in self.view.order_progress:
                txn.deletes.add(records.ORDER_PROGRESS + order)
        return taken

    # -- starts ----------------------------------------------------------------------

    @staticmethod
    def _start_log_keys(txn: Txn) -> int:
        """Number of start log slots that the transaction writes."""
        return sum(key.startswith(records.STARTS) for key in txn.puts)

    def _log_starts(self, txn: Txn, slots: int) -> list[Run]:
        """Write planned starts into the next slots of the log, at most ``slots``; return them.

        The tasks that a slot held before stay in it if they may still be on their hosts.
        """
        taken: list[Run] = []
        waiting = [run for run in self.starts.values() if self._is_planned(run)]
        for run in list(self.starts.values()):
            if not self._is_planned(run):
                del self.starts[run.id]
        room = records.usable_value_bytes(self.settings.value_bytes)
        passed = 0
        for number in range(records.START_SLOTS):
            if not waiting or self._start_log_keys(txn) >= slots:
                break
            slot = (self._next_slot + number) % records.START_SLOTS
            passed = number + 1
            placed = kept_entries(self.ledger, self.view.start_log.get(slot, {}))
            size = sum(records.starts_bytes(tasks) for tasks in placed.values())
            if size >= room:
                # Full of tasks that may still run. The slot may also have been written when the
                # size limit was larger.
                continue
            while waiting and size < room:
                run = waiting.pop()
                tasks = placed.setdefault(run.host, set())
                size -= records.starts_bytes(tasks) if tasks else 0
                tasks.add(run.id.task)
                size += records.starts_bytes(tasks)
                taken.append(run)
            txn.puts[f"{records.STARTS}{slot}"] = records.encode_starts(placed)
        # A write without a response may still be applied, so its slots are not used again
        # before the next round of the ring.
        self._next_slot = (self._next_slot + passed) % records.START_SLOTS
        return taken

    def _is_planned(self, run: Run) -> bool:
        """Whether the attempt is still on its host in the ledger and its start was not sent."""
        host = self.ledger.hosts.get(run.host)
        return host is not None and host.runs.get(run.id) is run and run.unsent

    def _mark_starts_logged(self, runs: list[Run]) -> None:
        if not runs:
            return
        hosts: dict[HostId, None] = {}
        for run in runs:
            self.starts.pop(run.id, None)
            if self._is_planned(run):
                run.start_logged = True
                hosts[run.host] = None
        self.on_starts_logged(hosts)

    # -- hosts -----------------------------------------------------------------------

    def _wanted_host(self, host_id: HostId) -> HostRecord | None:
        """The record that the host should have; None if it should have none."""
        host = self.ledger.hosts.get(host_id)
        if host is None or host.fenced:
            return None  # nothing is on it, and nothing is started before it is recorded again
        return HostRecord(host.id, host.type, host.zone, host.spot)

    def _host_changes(self, txn: Txn, limit: int, included: set[HostId]) -> list[HostId]:
        """Add the pages of host records that have to change.

        Returns the hosts that were handled, of which the caller keeps those dirty that differ
        from the view after the write. Adds to ``included`` the hosts whose records are written.
        """
        if not self.dirty_hosts:
            return []
        capacity = max(1, self.settings.value_bytes // records.HOST_BYTES)
        capacity = min(capacity, MAX_HOSTS_PER_PAGE)
        pages = {page: dict(rows) for page, rows in self.view.host_pages.items()}
        page_by_host = {host: page for page, rows in pages.items() for host in rows}
        touched: dict[int, None] = {}
        taken: list[HostId] = []
        for host_id in self.dirty_hosts:
            wanted = self._wanted_host(host_id)
            page = page_by_host.get(host_id)
            uncertain = page is not None and f"{records.HOSTS}{page}" in self._uncertain_keys
            if wanted == self.view.hosts.get(host_id) and not uncertain:
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
                    # Set before the write, which may be applied any time from now on.
                    host.recorded = False
            else:
                rows[host_id] = wanted
                included.add(host_id)
            touched[page] = None
            taken.append(host_id)
        for page in list(touched):
            if not self._split(pages, page, capacity, touched, limit - txn.size):
                # Too large for one value, and no space left to split it. Its hosts stay dirty
                # and are tried again with the next transaction.
                del touched[page]
                included.difference_update(pages[page])
        # A page that was split is written first: a reader that applies one page after the other
        # removes the moved hosts before it adds them again, and so loses none.
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
        """Move the hosts beyond the page's capacity to other pages of the same transaction.

        Guards against a page that was written when the size limit was larger: the state service
        would reject it every time, and no other record could be written. Returns False if the
        page can be written neither split, with at most ``most`` pages in all, nor as it is.
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

    def _is_finished(self, record: JobRecord) -> bool:
        """Whether all tasks of the job are done, counting those that are only reported."""
        reported = self.ledger.reported_done.get(record.id, set())
        count = record.done_count() + sum(not record.is_task_done(index) for index in reported)
        return count >= record.tasks

    def _job_differs(self, job: JobId) -> bool:
        """Whether a task of the job is reported as done and not recorded so."""
        record = self.view.active.get(job)
        return record is not None and any(
            not record.is_task_done(index) for index in self.ledger.reported_done.get(job, ())
        )

    def _job_change(self, txn: Txn, job: JobId, space: int) -> bool:
        """Add the job's writes, at most ``space`` of them; return False if it is full."""
        record = self.view.active.get(job)
        if record is None:
            self.ledger.reported_done.pop(job, None)
            return True
        unrecorded = {
            i for i in self.ledger.reported_done.get(job, ()) if not record.is_task_done(i)
        }
        if not unrecorded:
            return True
        # The guard on the job's key keeps a job that its user has cancelled from being recorded
        # as done.
        key = records.job_key(job)
        if self._is_finished(record):
            if record.batch_key is None:
                txn.guards[key] = record.version
                txn.puts[key] = records.encode_done(record, WallTime(round(self.wall(), 3)))
            elif not self.completions.add(txn, record, space):
                return False
            for page in list(record.completion_bitmaps)[: max(0, space - 1)]:
                txn.deletes.add(records.completion_bitmap_key(job, page))
            log.info("job %s: all %d tasks done, recording its completion", job, record.tasks)
            return True
        pages: dict[int, int] = {}
        for index in unrecorded:
            page, bit = divmod(index, records.TASKS_PER_BITMAP_PAGE)
            pages[page] = pages.get(page, record.completion_bitmaps.get(page, 0)) | 1 << bit
        for page, bits in list(pages.items())[:space]:
            if len(txn.encode()) > MAX_TXN_BYTES // 2:
                return False
            txn.puts[records.completion_bitmap_key(job, page)] = records.encode_bitmap(bits)
        return True
