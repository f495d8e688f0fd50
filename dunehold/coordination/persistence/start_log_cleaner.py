"""Takes the settled starts of cancelled jobs out of the start log.

A relay does not renew the lease of a worker that a start of a cancelled job may still reach,
and it takes every such entry of the log for one. Entries of other jobs stay until their slot is
used again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.bookkeeping import records
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.records import TasksByHost
from dunehold.bookkeeping.view import View
from dunehold.protocol.state import Txn
from dunehold.types import JobId, JobPhase, MonotonicTime

# Time between two searches of the log.
SEARCH_INTERVAL_S = 2.0
# Slots that are cleaned in one transaction; starts and completions are more urgent.
SLOTS_PER_TXN = 2
# Searches that must not find a job before it is dropped: when it is cancelled, a write of the
# log that names it may be under way.
FRUITLESS_SEARCHES = 4


def kept_entries(ledger: Ledger, placed: TasksByHost) -> TasksByHost:
    """Returns the entries of a slot whose tasks may still be on their hosts."""
    kept: TasksByHost = {}
    for host, tasks in placed.items():
        remaining = {task for task in tasks if ledger.must_stay_logged(host, task)}
        if remaining:
            kept[host] = remaining
    return kept


@dataclass(slots=True)
class StartLogCleaner:
    """Rewrites slots of the start log that name settled starts of cancelled jobs.

    Times of type ``MonotonicTime`` are seconds on the event loop's clock.
    """

    view: View
    ledger: Ledger
    # Cancelled jobs that the log may still name, and the searches left that may not find them.
    _jobs: dict[JobId, int] = field(default_factory=dict)
    # Slots that named a settled start when the log was last searched.
    _slots: list[int] = field(default_factory=list)
    _search_at: MonotonicTime = MonotonicTime(-1e9)

    def add_job(self, job: JobId) -> None:
        """Adds a job that has been cancelled."""
        self._jobs[job] = FRUITLESS_SEARCHES

    def add_logged_jobs(self) -> None:
        """Adds all cancelled jobs that the log names, at the start of a term."""
        for placed in self.view.start_log.values():
            for tasks in placed.values():
                for job in {task.job for task in tasks}:
                    if self._is_cancelled(job):
                        self.add_job(job)

    def _is_cancelled(self, job: JobId) -> bool:
        record = self.view.jobs.get(job)
        return record is not None and record.phase is JobPhase.CANCELLED

    def pending(self, now: MonotonicTime) -> bool:
        """Whether slots are known that can be cleaned; searches the log if that is due."""
        if not self._slots and self._jobs and now >= self._search_at:
            self._search_at = MonotonicTime(now + SEARCH_INTERVAL_S)
            self._search()
        return bool(self._slots)

    def _search(self) -> None:
        found: set[JobId] = set()
        for slot, placed in self.view.start_log.items():
            settled = False
            for host, tasks in placed.items():
                for task in tasks:
                    if task.job in self._jobs:
                        found.add(task.job)
                        settled = settled or not self.ledger.must_stay_logged(host, task)
            if settled:
                self._slots.append(slot)
        self._jobs = {
            job: FRUITLESS_SEARCHES if job in found else left - 1
            for job, left in self._jobs.items()
            if job in found or left > 1
        }

    def add_changes(self, txn: Txn, limit: int) -> None:
        """Adds the writes of some of the slots, at most ``limit`` writes in all."""
        for _ in range(SLOTS_PER_TXN):
            if not self._slots or txn.size >= limit:
                return
            slot = self._slots.pop()
            key = f"{records.STARTS}{slot}"
            placed = self.view.start_log.get(slot, {})
            kept = kept_entries(self.ledger, placed)
            if key not in txn.puts and kept != placed:
                txn.puts[key] = records.encode_starts(kept)
