"""Priorities and due times that jobs inherit from their dependents.

Users set the priority and the deadline on the last job of a pipeline only. A job therefore has
the highest priority of all jobs that depend on it, directly or through others, and must be
complete early enough for each of them to run before its own deadline.

The inherited values are updated incrementally. An update visits jobs in topological order, each
after all of its dependents that have changed. So each job is visited at most once, however many
paths lead to it and however much the estimates of the jobs on them differ, and only jobs whose
value may change are visited. The work is linear in these jobs and their dependencies.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.records import JobRecord
from dunehold.protocol.users import JobSpec
from dunehold.types import JobId, Rank


class InheritedPriority(NamedTuple):
    """What a job takes over from its dependents."""

    rank: Rank
    due_at: float  # time of day in s by which the job must be complete; infinite if none

    def merged(self, other: InheritedPriority) -> InheritedPriority:
        """The higher rank and the earlier time of both."""
        return InheritedPriority(max(self.rank, other.rank), min(self.due_at, other.due_at))

    def is_weaker_than(self, other: InheritedPriority | None) -> bool:
        """Whether the rank is lower, or the time later, than those of ``other``."""
        return other is not None and (self.rank < other.rank or self.due_at > other.due_at)


@dataclass(slots=True)
class _Update:
    """The jobs that are still to be visited in one update.

    Attributes:
        sources: jobs whose dependencies are to inherit from them even if they do not change.
        stale: jobs whose value must be derived anew from all dependents, since one of them is
            gone or has become weaker.
        offers: by job, what it is to inherit in addition to its present value.
    """

    sources: set[JobId]
    stale: set[JobId] = field(default_factory=set)
    offers: dict[JobId, InheritedPriority] = field(default_factory=dict)
    _heap: list[tuple[int, JobId]] = field(default_factory=list)
    _seen: set[JobId] = field(default_factory=set)

    def add(self, job: JobId, level: int) -> None:
        """Queues a job for its only visit; those with a higher level come first."""
        if job not in self._seen:
            self._seen.add(job)
            heapq.heappush(self._heap, (-level, job))

    def jobs(self) -> Iterator[JobId]:
        """Yields each queued job, including those that are queued meanwhile."""
        while self._heap:
            yield heapq.heappop(self._heap)[1]


@dataclass(slots=True)
class PriorityInheritance:
    """The inherited priorities of active jobs.

    ``on_change`` is called for each job whose inherited priority or due time changes.
    """

    ledger: Ledger
    run_s: Callable[[JobSpec], float]  # the estimated run time of a task, in seconds
    on_change: Callable[[JobId], None]
    # Only of jobs with dependents.
    _inherited: dict[JobId, InheritedPriority] = field(default_factory=dict)
    # A topological order: the level of a job is above those of its dependencies.
    _levels: dict[JobId, int] = field(default_factory=dict)

    def effective_rank(self, spec: JobSpec) -> Rank:
        """The highest priority of the job and its dependents."""
        inherited = self._inherited.get(spec.id)
        return spec.rank if inherited is None else inherited.rank

    def due_at(self, job: JobId) -> float:
        """When the job must be complete for its dependents; infinite if they set no time.

        The job's own deadline is not included.
        """
        inherited = self._inherited.get(job)
        return math.inf if inherited is None else inherited.due_at

    def add_waiting_job(self, job: JobId) -> None:
        """Propagates the priority of a new job with dependencies."""
        self.update([job], [])

    def refresh(self, job: JobId) -> None:
        """Updates the job after one of its dependents may have been removed."""
        self.update([], [job])

    def remove(self, job: JobId) -> None:
        """Forgets a job that is over."""
        self._inherited.pop(job, None)
        self._levels.pop(job, None)

    def update(self, added: Iterable[JobId], stale: Iterable[JobId]) -> None:
        """Propagates the priorities of new jobs, and derives those of stale jobs anew.

        ``added`` are jobs with dependencies, ``stale`` jobs that may have lost a dependent.
        """
        for _ in self.update_steps(added, stale):
            pass

    def update_steps(self, added: Iterable[JobId], stale: Iterable[JobId]) -> Iterator[None]:
        """Does the same, and yields after each visit, so that long updates can be split."""
        update = _Update(set(added))
        for job in update.sources:
            update.add(job, self._level(job))
            yield
        for job in stale:
            if job in self._inherited:
                update.stale.add(job)
                update.add(job, self._level(job))
        for job in update.jobs():
            self._visit(job, update)
            yield

    def _visit(self, job: JobId, update: _Update) -> None:
        """Updates one job, and queues its dependencies if they may change with it."""
        record = self.ledger.view.active.get(job)
        if record is None or record.spec is None:
            return
        before = self._inherited.get(job)
        after = self._updated_value(job, record.spec, update)
        if after != before:
            if after is None:
                del self._inherited[job]
            else:
                self._inherited[job] = after
            self.on_change(job)
        elif job not in update.sources:
            return
        weaker = before is not None and (after is None or after.is_weaker_than(before))
        offer = self._offer(record, record.spec)
        for dependency in record.spec.dependencies:
            if weaker:
                self._mark_stale(dependency, update)
            else:
                self._offer_to(dependency, offer, update)

    def _updated_value(
        self, job: JobId, spec: JobSpec, update: _Update
    ) -> InheritedPriority | None:
        before = self._inherited.get(job)
        if job in update.stale:
            return self._inherit(job, spec)
        offer = update.offers.get(job)
        if offer is None or before is None:
            return offer
        return before.merged(offer)

    def _mark_stale(self, job: JobId, update: _Update) -> None:
        if job in self.ledger.view.active:
            update.stale.add(job)
            update.add(job, self._level(job))

    def _offer_to(self, job: JobId, offer: InheritedPriority, update: _Update) -> None:
        """Queues the job if the offer improves on what it has or was offered before."""
        record = self.ledger.view.active.get(job)
        if record is None or record.spec is None:
            return
        known = update.offers.get(job) or self._inherited.get(job)
        own = known or InheritedPriority(record.spec.rank, math.inf)
        merged = own.merged(offer)
        if merged != known:
            update.offers[job] = merged
            update.add(job, self._level(job))

    def _inherit(self, job: JobId, spec: JobSpec) -> InheritedPriority | None:
        """What the job inherits from its direct dependents, or None if it has none."""
        direct_dependents = self.ledger.view.dependency_index.dependents.get(job)
        if not direct_dependents:
            return None
        inherited = InheritedPriority(spec.rank, math.inf)
        for dependent in direct_dependents:
            record = self.ledger.view.active.get(dependent)
            if record is not None and record.spec is not None:
                inherited = inherited.merged(self._offer(record, record.spec))
        return inherited

    def _offer(self, record: JobRecord, spec: JobSpec) -> InheritedPriority:
        """What the dependencies of a job inherit from it."""
        due_at = self._effective_due_at(record, spec) - self.run_s(spec)
        return InheritedPriority(self.effective_rank(spec), due_at)

    def _effective_due_at(self, record: JobRecord, spec: JobSpec) -> float:
        """The earlier of the job's own deadline and the one that it inherits."""
        own = math.inf if spec.deadline_s is None else record.accepted_at + spec.deadline_s
        return min(own, self.due_at(record.id))

    def _level(self, job: JobId) -> int:
        """The job's place in the topological order.

        It is derived once, without recursion: a chain of dependencies can be long.
        """
        stack: list[JobId] = [job]
        expanded: set[JobId] = set()  # jobs whose dependencies are on the stack or known
        while stack:
            current = stack[-1]
            if current in self._levels:
                stack.pop()
                continue
            active = self._active_dependencies(current)
            if current not in expanded:
                expanded.add(current)
                stack += [d for d in active if d not in self._levels and d not in expanded]
                continue
            stack.pop()
            self._levels[current] = 1 + max((self._levels.get(d, 0) for d in active), default=0)
        return self._levels[job]

    def _active_dependencies(self, job: JobId) -> list[JobId]:
        active = self.ledger.view.active
        record = active.get(job)
        if record is None or record.spec is None:
            return []
        return [d for d in record.spec.dependencies if d in active]
