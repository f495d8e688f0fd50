"""This node's replicated view of the state service, updated by applying changes in order."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
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


# Keys whose versions the view keeps, to be used as guards.
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
    """The decoded contents of the state service as of one revision.

    Attributes:
        applied: revision up to which changes have been applied.
        loaded: whether the view holds a listing; False before the first one, and when a new
            listing is needed.
        leader: the current leader, if any.
        token: the newest fencing token, the last that the newest term has reserved;
            ``token_version`` is the version of its key.
        jobs: all jobs, including those that are over.
        active: the jobs that are not over.
        hosts: all host records; ``host_pages`` has the same by page.
        start_log: tasks by host, by slot of the start log.
        relay_changes: number of changes of relay keys, by zone.
        versions: versions of keys that a leader writes repeatedly. As guards they make a write
            fail that was given up on and is applied late, so that it can't undo a newer one.
        broken_jobs: jobs that fail on every host.
        zones: records of zones that are or recently were unhealthy.
        successor: the zone that should lead next, and the token after which it should.
        orders_serial: version of the key that is written with every change of an order.
        disruptions: encoded disruptions, which only the leader decodes.
        orphan_bitmaps: completion bitmaps of jobs that are not in the view yet.
        obsolete_bitmaps: jobs that are done but still have bitmaps, as an ordered set.
        batching_enabled: whether nodes may write batches of submissions.
        dependencies_resolved: whether the effects of ended jobs on their dependents are kept up
            to date. False only while a listing is being loaded.
    """

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
    start_log: dict[int, records.TasksByHost] = field(default_factory=dict)
    relays: dict[NodeId, records.RelayRecord] = field(default_factory=dict)
    relay_changes: dict[Zone, int] = field(default_factory=dict)
    versions: dict[str, Revision] = field(default_factory=dict)
    broken_jobs: set[JobId] = field(default_factory=set)
    zones: dict[Zone, records.ZoneRecord] = field(default_factory=dict)
    successor: tuple[Zone, Token] | None = None
    orders: dict[OrderId, Order] = field(default_factory=dict)
    order_progress: dict[OrderId, OrderProgress] = field(default_factory=dict)
    orders_serial: Revision = Revision(0)
    disruptions: Any = None
    orphan_bitmaps: dict[JobId, dict[int, int]] = field(default_factory=dict)
    obsolete_bitmaps: dict[JobId, None] = field(default_factory=dict)
    job_batches: JobBatchIndex = field(default_factory=JobBatchIndex)
    batching_enabled: bool = False
    dependency_index: DependencyIndex = field(default_factory=DependencyIndex)
    dependencies_resolved: bool = True
    # Jobs that changed because another job ended, and are to be reported as changed.
    _changed_indirectly: list[JobId] = field(default_factory=list)

    def load(self, entries: list[Entry], revision: Revision) -> None:
        """Replace the contents by a full listing.

        The pages of a listing may show different moments. The changes since ``revision``, which
        is that of the first page, must be applied and then resolve_dependencies() called before
        the view is used for any answer.
        """
        fresh = View()
        for _ in fresh.add_entries(entries):
            pass
        self.replace(fresh, revision)

    def add_entries(self, entries: Iterable[Entry]) -> Iterator[None]:
        """Add the entries of a listing to an empty view; yields after each, for long ones."""
        self.dependencies_resolved = False
        for entry in entries:
            self._apply_one(Change(entry.key, entry.value, entry.version, False))
            yield

    def replace(self, fresh: View, revision: Revision) -> None:
        """Take over the contents of a view to which a listing was added, as load() does."""
        for name in self.__slots__:
            setattr(self, name, getattr(fresh, name))
        self.applied = revision
        self.loaded = True

    def resolve_dependencies(self) -> None:
        """Derive which jobs wait, may start or are cancelled because of other jobs.

        Called once a listing is complete. Before that, the pages may show only the later of two
        ends of one job, although the earlier one takes precedence.
        """
        if self.dependencies_resolved:
            return
        self.dependencies_resolved = True
        for record in list(self.active.values()):
            self._track_dependencies(record)
        # Discarded, since all jobs are reported as changed after a listing.
        self._take_indirect_changes()

    def apply(self, changes: list[Change], revision: Revision) -> list[JobId]:
        """Apply the changes that are newer than the view; return the jobs that changed.

        Responses to the watch and to barriers overlap. A change that is not newer than
        ``applied`` is already in the view, and applying it again could revert a key.
        """
        touched: list[JobId] = []
        for change in changes:
            if change.version > self.applied:
                touched += self._apply_one(change)
                touched += self._take_indirect_changes()
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
                return self._apply_job_batch(key[len(records.JOB_BATCHES) :], change)
            if key.startswith(records.COMPLETION_BATCHES):
                return self._apply_completion_batch(change)
            if key.startswith(records.COMPLETION_BITMAPS):
                return self._apply_completion_bitmap(
                    key[len(records.COMPLETION_BITMAPS) :], change
                )
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
            log.error("cannot decode key %s, ignoring its change: %s", key, error)
        except Exception as error:  # a value that another program wrote must not stop this node
            log.error("cannot decode key %s, ignoring its change: %r", key, error)
        return []

    def _apply_job(self, job: JobId, change: Change) -> list[JobId]:
        if change.deleted:
            return []  # dunehold never deletes the record of an accepted job
        record = records.decode_job_record(job, change.value, change.version)
        old = self.jobs.get(job)
        if old is not None:
            old.version = record.version  # the key's version, whichever record is kept
        self._merge(record)
        return [job]

    def _merge(self, record: JobRecord) -> None:
        """Add the record, unless the known record of that job takes precedence over it."""
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
                self._track_dependencies(record)
        else:
            self.active.pop(record.id, None)
            if self.dependencies_resolved:
                self._update_dependents(record)
        self._update_obsolete_bitmaps(record)

    def _take_indirect_changes(self) -> list[JobId]:
        """Return and clear the jobs that changed because of other jobs."""
        changed = self._changed_indirectly + self.dependency_index.no_longer_needed
        self._changed_indirectly.clear()
        self.dependency_index.no_longer_needed.clear()
        return changed

    # -- dependencies ----------------------------------------------------------------------

    def waits_for_dependencies(self, job: JobId) -> bool:
        """Whether a dependency of the job is not durably done; none of its tasks may start."""
        return job in self.dependency_index.pending

    def _track_dependencies(self, record: JobRecord) -> None:
        """Note what an active job waits for, or cancel it if a dependency was cancelled."""
        if record.spec is None or not record.spec.dependencies or record.phase.final:
            return
        unfinished = []
        for need in record.spec.dependencies:
            other = self.jobs.get(need)
            if other is None or other.phase is JobPhase.ACTIVE:
                unfinished.append(need)
            elif other.phase is JobPhase.CANCELLED:
                self._cancel_dependents([record.id, *self.dependency_index.cancel(record.id)])
                return
        self.dependency_index.add(record.id, unfinished)
        if not unfinished:
            self._set_dependencies_done_at(record)

    def _update_dependents(self, record: JobRecord) -> None:
        """Apply the end of a job to its dependents."""
        self.dependency_index.forget(record.id)
        if record.phase is JobPhase.CANCELLED:
            self._cancel_dependents(self.dependency_index.cancel(record.id))
            return
        for job in self.dependency_index.complete(record.id):
            self._set_dependencies_done_at(self.jobs[job])
            self._changed_indirectly.append(job)

    def _set_dependencies_done_at(self, record: JobRecord) -> None:
        """Set the time at which the last dependency of a job was done.

        A dependency whose end time was not recorded counts from its acceptance.
        """
        assert record.spec is not None
        ends = [record.accepted_at]
        for need in record.spec.dependencies:
            other = self.jobs[need]
            ends.append(other.accepted_at if other.ended_at is None else other.ended_at)
        record.dependencies_done_at = max(ends)

    def _cancel_dependents(self, jobs: list[JobId]) -> None:
        """Cancel jobs because a job that they depend on was cancelled.

        Nothing is written: every node derives the same from the durable cancellation. None of
        the jobs has started, since the cancelled job was not done.
        """
        for job in jobs:
            record = self.jobs[job]
            record.phase = JobPhase.CANCELLED
            self.active.pop(job, None)
            self._changed_indirectly.append(job)

    def _update_obsolete_bitmaps(self, record: JobRecord) -> None:
        """Update whether the job has bitmaps that can be deleted."""
        if record.phase is JobPhase.DONE and record.completion_bitmaps:
            self.obsolete_bitmaps[record.id] = None
        else:
            self.obsolete_bitmaps.pop(record.id, None)

    def _apply_job_batch(self, batch: str, change: Change) -> list[JobId]:
        if change.deleted:
            self.job_batches.remove(batch)  # its jobs stay in the view; all of them are over
            return []
        recorded_here = set()  # jobs whose accepted record is the one in this batch
        accepted = decode_job_batch(change.value)
        for spec, at in accepted:
            self._merge(
                JobRecord(
                    spec.id,
                    JobPhase.ACTIVE,
                    ABSENT,
                    at,
                    spec,
                    spec.tasks,
                    phase_revision=change.version,
                    batch_key=batch,
                )
            )
            if self.jobs[spec.id].batch_key == batch:
                recorded_here.add(spec.id)
        self.job_batches.add(batch, recorded_here)
        return [spec.id for spec, _ in accepted]

    def _apply_completion_batch(self, change: Change) -> list[JobId]:
        if change.deleted:
            return []
        completed = decode_completion_batch(change.value)
        for job, tasks, at, end in completed:
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
            self._merge(done)
        return [each.id for each in completed]

    def _apply_completion_bitmap(self, rest: str, change: Change) -> list[JobId]:
        name, _, page = rest.rpartition("/")
        job = JobId(name)
        record = self.jobs.get(job)
        bitmaps = (
            record.completion_bitmaps
            if record is not None
            else self.orphan_bitmaps.setdefault(job, {})
        )
        if change.deleted:
            bitmaps.pop(int(page), None)
        else:
            bitmaps[int(page)] = records.decode_bitmap(change.value)
        if record is not None:
            self._update_obsolete_bitmaps(record)
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
            # The host may have moved to another page, whose change was applied before.
            if host not in rows and not any(host in p for p in self.host_pages.values()):
                self.hosts.pop(host, None)
