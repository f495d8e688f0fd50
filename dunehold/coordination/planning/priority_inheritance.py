"""Priorities and due times that jobs inherit from their dependents.

Users set the priority and the deadline on the last job of a pipeline only. A job therefore has
the highest priority of all jobs that depend on it, directly or through others, and must be
complete early enough for each of them to run before its own deadline. The inherited values are
updated incrementally: an added or removed job is propagated along its dependencies only as far
as a value changes.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
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
        record = self.ledger.view.active.get(job)
        if record is not None and record.spec is not None:
            self._propagate(record.spec.dependencies)

    def refresh(self, job: JobId) -> None:
        """Updates the job after one of its dependents may have been removed."""
        if job in self._inherited:
            self._propagate([job])

    def remove(self, job: JobId) -> None:
        """Forgets a job that is over."""
        self._inherited.pop(job, None)

    def _propagate(self, jobs: Iterable[JobId]) -> None:
        """Updates these jobs, and the dependencies of each job that changes."""
        pending = list(jobs)
        while pending:
            job = pending.pop()
            record = self.ledger.view.active.get(job)
            if record is None or record.spec is None:
                continue
            inherited = self._inherit(job, record.spec)
            if inherited == self._inherited.get(job):
                continue
            if inherited is None:
                del self._inherited[job]
            else:
                self._inherited[job] = inherited
            self.on_change(job)
            pending.extend(record.spec.dependencies)

    def _inherit(self, job: JobId, spec: JobSpec) -> InheritedPriority | None:
        """What the job inherits from its direct dependents, or None if it has none."""
        direct_dependents = self.ledger.view.dependency_index.dependents.get(job)
        if not direct_dependents:
            return None
        rank, due = spec.rank, math.inf
        for dependent in direct_dependents:
            record = self.ledger.view.active.get(dependent)
            if record is None or record.spec is None:
                continue
            rank = max(rank, self.effective_rank(record.spec))
            due = min(
                due, self._effective_due_at(record, record.spec) - self.run_s(record.spec)
            )
        return InheritedPriority(rank, due)

    def _effective_due_at(self, record: JobRecord, spec: JobSpec) -> float:
        """The earlier of the job's own deadline and the one that it inherits."""
        own = math.inf if spec.deadline_s is None else record.accepted_at + spec.deadline_s
        return min(own, self.due_at(record.id))
