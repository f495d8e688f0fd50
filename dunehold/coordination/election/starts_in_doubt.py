"""Finds workers that a start of a cancelled job may still reach, as far as a relay can tell.

The leader logs a start before it sends it, and the entry stays in the start log as long as the
start may still arrive. A relay therefore takes a logged task of a cancelled job for one whose
start may still arrive, unless the worker is known to know the attempt: then a late start has no
effect.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from dunehold.bookkeeping import records
from dunehold.bookkeeping.records import LeaderRecord
from dunehold.bookkeeping.view import View
from dunehold.protocol.workers import Report
from dunehold.types import (
    AttemptId,
    ExitReason,
    HostId,
    JobPhase,
    Revision,
    Sequence,
    Session,
    TaskId,
    TaskPhase,
)


class _ObservedWorker(NamedTuple):
    """What the consecutive messages of a worker to this node have shown.

    Attributes:
        running: attempts that were listed before they had exited, and are still listed.
    """

    session: Session
    sequence: Sequence
    running: frozenset[AttemptId]

    def precedes(self, report: Report) -> bool:
        """Whether the worker sent no message between this node's last one and ``report``."""
        return (self.session, self.sequence + 1) == (report.session, report.sequence)


@dataclass(slots=True)
class StartsInDoubt:
    """Observes the reports to a relay and compares them with the start log."""

    view: View
    _workers: dict[HostId, _ObservedWorker] = field(default_factory=dict)

    def clear(self) -> None:
        """Forgets all reports."""
        self._workers.clear()

    def observe(self, report: Report) -> None:
        """Takes account of a report, whether or not it is answered; ignores delayed copies."""
        previous = self._workers.get(report.host)
        if previous is not None and (
            (report.session, report.sequence) <= (previous.session, previous.sequence)
        ):
            return
        running = {task.id for task in report.tasks if task.phase is not TaskPhase.EXITED}
        if previous is not None and previous.precedes(report):
            # No other node has heard of the worker meanwhile. So the leader does not know of
            # the exit of these attempts, and has started no other attempt of their tasks.
            running |= previous.running & {task.id for task in report.tasks}
        self._workers[report.host] = _ObservedWorker(
            report.session, report.sequence, frozenset(running)
        )

    def cancelled_at(self, report: Report, leader: LeaderRecord) -> Revision | None:
        """Returns when a job was cancelled whose start may still reach the reporting worker.

        If there are several, the revision of the earliest cancellation is returned; None if
        there is none. ``report`` must be the last one that was observed.
        """
        settled = self._settled_tasks(report)
        cancelled = []
        for slot, placed in self.view.start_log.items():
            tasks = placed.get(report.host)
            if not tasks or self._slot_version(slot) <= leader.version:
                continue  # the worker refuses starts of earlier leaders because of their token
            for task in tasks - settled:
                record = self.view.jobs.get(task.job)
                if record is not None and record.phase is JobPhase.CANCELLED:
                    cancelled.append(record.phase_revision)
        return min(cancelled, default=None)

    def _slot_version(self, slot: int) -> Revision:
        return self.view.versions.get(f"{records.STARTS}{slot}", Revision(0))

    def _settled_tasks(self, report: Report) -> set[TaskId]:
        """The tasks whose newest attempt the worker is known to know."""
        observed = self._workers.get(report.host)
        running = observed.running if observed is not None else frozenset()
        return {
            task.id.task
            for task in report.tasks
            if task.phase is not TaskPhase.EXITED
            or task.exit_reason is ExitReason.DONE
            or task.id in running
        }
