"""What a job takes over from those that need it: their rank, and what their deadlines leave.

Users set both on the last job of a pipeline only. A job has the highest rank of all that need
it, directly or through others, and must be complete early enough for each of them still to
run before its own deadline. Kept up to date link by link: a job that comes or goes makes
itself felt only as far as something changes.
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
    rank: Rank
    due_at: float  # time of day by which it should be complete for the sake of others


@dataclass(slots=True)
class PriorityInheritance:
    ledger: Ledger
    run_s: Callable[[JobSpec], float]
    on_change: Callable[[JobId], None]
    _inherited: dict[JobId, InheritedPriority] = field(
        default_factory=dict
    )  # of those with heirs

    def effective_rank(self, spec: JobSpec) -> Rank:
        standing = self._inherited.get(spec.id)
        return spec.rank if standing is None else standing.rank

    def due_at(self, job: JobId) -> float:
        standing = self._inherited.get(job)
        return math.inf if standing is None else standing.due_at

    def add_waiting_job(self, job: JobId) -> None:
        """A job that waits for others is known from now on."""
        record = self.ledger.view.active.get(job)
        if record is not None and record.spec is not None:
            self._propagate(record.spec.dependencies)

    def refresh(self, job: JobId) -> None:
        """Somebody who needed it may be gone."""
        if job in self._inherited:
            self._propagate([job])

    def remove(self, job: JobId) -> None:
        self._inherited.pop(job, None)

    def _propagate(self, needs: Iterable[JobId]) -> None:
        work = list(needs)
        while work:
            job = work.pop()
            record = self.ledger.view.active.get(job)
            if record is None or record.spec is None:
                continue
            standing = self._inherit(job, record.spec)
            if standing == self._inherited.get(job):
                continue
            if standing is None:
                del self._inherited[job]
            else:
                self._inherited[job] = standing
            self.on_change(job)
            work.extend(record.spec.dependencies)

    def _inherit(self, job: JobId, spec: JobSpec) -> InheritedPriority | None:
        followers = self.ledger.view.dependency_index.dependents.get(job)
        if not followers:
            return None
        rank, due = spec.rank, math.inf
        for follower in followers:
            record = self.ledger.view.active.get(follower)
            if record is None or record.spec is None:
                continue
            rank = max(rank, self.effective_rank(record.spec))
            due = min(
                due, self._effective_due_at(record, record.spec) - self.run_s(record.spec)
            )
        return InheritedPriority(rank, due)

    def _effective_due_at(self, record: JobRecord, spec: JobSpec) -> float:
        own = math.inf if spec.deadline_s is None else record.accepted_at + spec.deadline_s
        return min(own, self.due_at(record.id))
