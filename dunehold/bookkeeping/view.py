"""This node's copy of the state service's keys, changed only by applying changes in order."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import Any

from dunehold.bookkeeping import records
from dunehold.bookkeeping.batches.encoding import decode_completion_batch, decode_job_batch
from dunehold.bookkeeping.batches.index import JobBatchIndex
from dunehold.bookkeeping.dependencies import DependencyIndex
from dunehold.bookkeeping.orders import OrderProgress, decode_order, decode_progress
from dunehold.bookkeeping.records import HostRecord, JobRecord, LeaderRecord
from dunehold.protocol.cloud import Rental
from dunehold.protocol.operators import Order
from dunehold.protocol.state import ABSENT, Change, Entry
from dunehold.types import (
    HostId,
    JobId,
    JobPhase,
    NodeId,
    OrderId,
    RentalId,
    Revision,
    Token,
    Zone,
)

log = logging.getLogger(__name__)


VERSIONED_PREFIXES = (
    records.HOSTS,
    records.RENTALS,
    records.STARTS,
    records.COMPLETION_BITMAPS,
    records.RELAYS,
    records.BROKEN_JOBS,
    records.BATCHING_ENABLED,
    records.ZONES,
    records.SUCCESSOR,
    records.ORDER_PROGRESS,
    records.DISRUPTIONS,
)


@dataclass(slots=True)
class View:
    applied: Revision = Revision(0)
    loaded: bool = False
    leader: LeaderRecord | None = None
    token: Token = Token(0)
    token_version: Revision = Revision(0)
    jobs: dict[JobId, JobRecord] = field(default_factory=dict)
    active: dict[JobId, JobRecord] = field(default_factory=dict)
    hosts: dict[HostId, HostRecord] = field(default_factory=dict)
    host_pages: dict[int, dict[HostId, HostRecord]] = field(default_factory=dict)
    rentals: dict[RentalId, Rental] = field(default_factory=dict)
    start_log: dict[int, records.TasksByHost] = field(default_factory=dict)  # the log, by slot
    relays: dict[NodeId, records.RelayRecord] = field(default_factory=dict)
    relay_changes: dict[Zone, int] = field(default_factory=dict)  # counted for each zone
    # Of keys that a leader writes again and again: a write that was given up on and comes
    # late is refused by them, and can't take a newer one back.
    versions: dict[str, Revision] = field(default_factory=dict)
    broken_jobs: set[JobId] = field(default_factory=set)  # found to fail on every machine
    zones: dict[Zone, records.ZoneRecord] = field(default_factory=dict)  # not well
    successor: tuple[Zone, Token] | None = None  # who should lead after that token
    orders: dict[OrderId, Order] = field(default_factory=dict)  # of operators
    order_progress: dict[OrderId, OrderProgress] = field(default_factory=dict)
    orders_serial: Revision = Revision(0)  # of the key that every change of an order raises
    disruptions: Any = None  # as they are written; read by the leader alone
    orphan_bitmaps: dict[JobId, dict[int, int]] = field(default_factory=dict)
    obsolete_bitmaps: dict[JobId, None] = field(
        default_factory=dict
    )  # done, with marks still kept
    job_batches: JobBatchIndex = field(default_factory=JobBatchIndex)
    batching_enabled: bool = False  # packs may be written, by whichever node
    dependency_index: DependencyIndex = field(default_factory=DependencyIndex)
    dependencies_resolved: bool = (
        True  # what follows from the ends of others is kept up to date
    )
    _also: list[JobId] = field(default_factory=list)  # changed along with others

    def load(self, entries: list[Entry], revision: Revision) -> None:
        """Start over from a full listing.

        Its pages may be of different moments: what changed since ``revision``, that of the
        first, must be applied before anything is told from the view.
        """
        fresh = View(dependencies_resolved=False)
        for entry in entries:
            fresh._apply_one(Change(entry.key, entry.value, entry.version, False))
        for name in self.__slots__:
            setattr(self, name, getattr(fresh, name))
        self.applied = revision
        self.loaded = True

    def resolve_dependencies(self) -> None:
        """Draw what follows from the ends of others, once nothing of a listing is missing:
        of two ends of one job, a page of another moment may show the later alone."""
        if self.dependencies_resolved:
            return
        self.dependencies_resolved = True
        for record in list(self.active.values()):
            self._enter(record)
        self._taken_along()  # all jobs are told of after a listing

    def apply(self, changes: list[Change], revision: Revision) -> list[JobId]:
        """Apply what is newer than what is here; the jobs that changed.

        Answers of the watch and of barriers overlap. Anything not newer than ``applied``
        was seen already, and applying it again would take a key back.
        """
        touched: list[JobId] = []
        for change in changes:
            if change.version > self.applied:
                touched += self._apply_one(change)
                touched += self._taken_along()
        self.applied = max(self.applied, revision)
        return touched

    def _apply_one(self, change: Change) -> list[JobId]:
        key = change.key
        if key.startswith(VERSIONED_PREFIXES):
            if change.deleted:
                self.versions.pop(key, None)
            else:
                self.versions[key] = change.version
        try:
            if key.startswith(records.JOBS):
                return self._apply_job(JobId(key[len(records.JOBS) :]), change)
            if key.startswith(records.JOB_BATCHES):
                return self._apply_pack(key[len(records.JOB_BATCHES) :], change)
            if key.startswith(records.COMPLETION_BATCHES):
                return self._apply_ends(change)
            if key.startswith(records.COMPLETION_BITMAPS):
                return self._apply_mark(key[len(records.COMPLETION_BITMAPS) :], change)
            if key.startswith(records.HOSTS):
                self._apply_hosts(int(key[len(records.HOSTS) :]), change)
            elif key.startswith(records.STARTS):
                slot = int(key[len(records.STARTS) :])
                self.start_log[slot] = (
                    {} if change.deleted else records.decode_starts(change.value)
                )
            elif key.startswith(records.RELAYS):
                self._apply_relay(NodeId(key[len(records.RELAYS) :]), change)
            elif key.startswith(records.RENTALS):
                rental = RentalId(key[len(records.RENTALS) :])
                if change.deleted:
                    self.rentals.pop(rental, None)
                else:
                    self.rentals[rental] = records.decode_rental(rental, change.value)
            elif key == records.BROKEN_JOBS:
                self.broken_jobs = (
                    set() if change.deleted else records.decode_broken_jobs(change.value)
                )
            elif key == records.ZONES:
                self.zones = {} if change.deleted else records.decode_zones(change.value)
            elif key == records.SUCCESSOR:
                self.successor = (
                    None if change.deleted else records.decode_successor(change.value)
                )
            elif key.startswith(records.ORDERS):
                self._apply_order(OrderId(key[len(records.ORDERS) :]), change)
            elif key == records.ORDERS_SERIAL:
                self.orders_serial = Revision(0) if change.deleted else change.version
            elif key.startswith(records.ORDER_PROGRESS):
                order = OrderId(key[len(records.ORDER_PROGRESS) :])
                if change.deleted:
                    self.order_progress.pop(order, None)
                else:
                    self.order_progress[order] = decode_progress(change.value)
            elif key == records.DISRUPTIONS:
                self.disruptions = None if change.deleted else change.value
            elif key == records.BATCHING_ENABLED:
                self.batching_enabled = not change.deleted and bool(change.value)
            elif key == records.LEADER_KEY:
                self.leader = (
                    None
                    if change.deleted
                    else records.decode_leader(change.value, change.version)
                )
            elif key == records.TOKEN_KEY and not change.deleted:
                self.token = Token(int(change.value))
                self.token_version = change.version
        except (ValueError, TypeError, ArithmeticError) as error:
            log.error("key %s is not readable: %s", key, error)
        except Exception as error:  # a value written by something else must not end us
            log.error("key %s is not readable: %r", key, error)
        return []

    def _apply_job(self, job: JobId, change: Change) -> list[JobId]:
        if change.deleted:
            return []  # never done by dunehold: an accepted job is kept
        record = records.decode_job_record(job, change.value, change.version)
        old = self.jobs.get(job)
        if old is not None:
            old.version = record.version  # whichever of them stands
        self._settle(record)
        return [job]

    def _settle(self, record: JobRecord) -> None:
        """Take the record up, unless what is known already stands against it."""
        old = self.jobs.get(record.id)
        if old is None:
            record.completion_bitmaps = self.orphan_bitmaps.pop(record.id, {})
        elif old.takes_precedence_over(record):
            return
        else:
            record.completion_bitmaps = old.completion_bitmaps
            record.version = old.version
            if old.batch_key is not None and old.batch_key != record.batch_key:
                self.job_batches.job_ended(old.batch_key, record.id)
        self.jobs[record.id] = record
        if record.phase is JobPhase.ACTIVE:
            self.active[record.id] = record
            if self.dependencies_resolved:
                self._enter(record)
        else:
            self.active.pop(record.id, None)
            if self.dependencies_resolved:
                self._leave(record)
        self._note_marks(record)

    def _taken_along(self) -> list[JobId]:
        also = self._also + self.dependency_index.no_longer_needed
        self._also.clear()
        self.dependency_index.no_longer_needed.clear()
        return also

    # -- jobs that wait for others ---------------------------------------------------------

    def waits_for_dependencies(self, job: JobId) -> bool:
        """Not all that it needs is durably done: nothing of it may start."""
        return job in self.dependency_index.pending

    def _enter(self, record: JobRecord) -> None:
        if record.spec is None or not record.spec.dependencies or record.phase.final:
            return
        left = []
        for need in record.spec.dependencies:
            other = self.jobs.get(need)
            if other is None or other.phase is JobPhase.ACTIVE:
                left.append(need)
            elif other.phase is JobPhase.CANCELLED:
                self._cancel_dependents([record.id, *self.dependency_index.cancel(record.id)])
                return
        self.dependency_index.add(record.id, left)
        if not left:
            self._free(record)

    def _leave(self, record: JobRecord) -> None:
        self.dependency_index.forget(record.id)
        if record.phase is JobPhase.CANCELLED:
            self._cancel_dependents(self.dependency_index.cancel(record.id))
            return
        for job in self.dependency_index.complete(record.id):
            self._free(self.jobs[job])
            self._also.append(job)

    def _free(self, record: JobRecord) -> None:
        assert record.spec is not None
        ends = [record.accepted_at]
        for need in record.spec.dependencies:
            other = self.jobs[need]
            ends.append(other.accepted_at if other.ended_at is None else other.ended_at)
        record.dependencies_done_at = max(ends)

    def _cancel_dependents(self, jobs: list[JobId]) -> None:
        """They follow from a cancellation that is durable, at every node alike, and none of
        them has ever started: the job that was cancelled was not done."""
        for job in jobs:
            record = self.jobs[job]
            record.phase = JobPhase.CANCELLED
            self.active.pop(job, None)
            self._also.append(job)

    def _note_marks(self, record: JobRecord) -> None:
        if record.phase is JobPhase.DONE and record.completion_bitmaps:
            self.obsolete_bitmaps[record.id] = None
        else:
            self.obsolete_bitmaps.pop(record.id, None)

    def _apply_pack(self, pack: str, change: Change) -> list[JobId]:
        if change.deleted:
            self.job_batches.remove(pack)  # its jobs stay: all of them are over
            return []
        ours = set()
        accepted = decode_job_batch(change.value)
        for spec, at in accepted:
            self._settle(
                JobRecord(
                    spec.id,
                    JobPhase.ACTIVE,
                    ABSENT,
                    at,
                    spec,
                    spec.tasks,
                    phase_revision=change.version,
                    batch_key=pack,
                )
            )
            if self.jobs[spec.id].batch_key == pack:
                ours.add(spec.id)
        self.job_batches.add(pack, ours)
        return [spec.id for spec, _ in accepted]

    def _apply_ends(self, change: Change) -> list[JobId]:
        if change.deleted:
            return []
        ended = decode_completion_batch(change.value)
        for job, tasks, at, end in ended:
            done = JobRecord(
                job,
                JobPhase.DONE,
                ABSENT,
                at,
                None,
                tasks,
                phase_revision=change.version,
                ended_at=end,
            )
            self._settle(done)
        return [end.id for end in ended]

    def _apply_mark(self, rest: str, change: Change) -> list[JobId]:
        name, _, page = rest.rpartition("/")
        job = JobId(name)
        record = self.jobs.get(job)
        marks = (
            record.completion_bitmaps
            if record is not None
            else self.orphan_bitmaps.setdefault(job, {})
        )
        if change.deleted:
            marks.pop(int(page), None)
        else:
            marks[int(page)] = records.decode_bitmap(change.value)
        if record is not None:
            self._note_marks(record)
        return [job]

    def _apply_order(self, order: OrderId, change: Change) -> None:
        if change.deleted:
            self.orders.pop(order, None)
        else:
            self.orders[order] = decode_order(order, change.value, change.version)

    def _apply_relay(self, node: NodeId, change: Change) -> None:
        record = self.relays.pop(node, None)
        if not change.deleted:
            record = self.relays[node] = records.decode_relay(change.value)
        if record is not None:
            self.relay_changes[record.zone] = self.relay_changes.get(record.zone, 0) + 1

    def _apply_hosts(self, page: int, change: Change) -> None:
        rows = {} if change.deleted else records.decode_hosts(change.value)
        before = self.host_pages.pop(page, {})
        if rows:
            self.host_pages[page] = rows
            self.hosts.update(rows)
        for host in before:
            # It may have moved to another page in the same transaction, which came first.
            if host not in rows and not any(host in p for p in self.host_pages.values()):
                self.hosts.pop(host, None)
