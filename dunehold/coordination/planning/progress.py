"""What the leader knows of an active job beyond its record."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.records import JobRecord
from dunehold.protocol.users import JobSpec
from dunehold.types import UNBOUNDED, MonotonicTime, TaskId

MIN_PEER_DURATIONS, MAX_DURATIONS = 4, 200


@dataclass(slots=True)
class JobProgress:
    """What the leader knows of an active job beyond its record."""

    spec: JobSpec
    waiting: set[int]
    completion_targets_s: list[float] = field(
        default_factory=list
    )  # when its aims want it complete
    start_target_s: float = UNBOUNDED  # when its class wants it started
    durations: list[float] = field(default_factory=list)  # of its tasks, in order
    held_until: MonotonicTime = MonotonicTime(-1e9)
    started_tasks: set[int] = field(default_factory=set)  # tasks that were seen to run
    at_team_limit_s: float = 0.0  # for so long its team had no room under its limit


def slowness(progress: JobProgress, ran_s: float) -> float | None:
    """A run's time by that of its job's other tasks, which are alike.

    None until half of them have ended: those that end first are the fast ones.
    """
    known = progress.durations
    if len(known) < max(MIN_PEER_DURATIONS, min(progress.spec.tasks // 2, MAX_DURATIONS)):
        return None
    return ran_s / max(known[len(known) * 3 // 4], 1.0)


def waiting_tasks(record: JobRecord, ledger: Ledger) -> set[int]:
    """Tasks of a job that are neither done nor, possibly, on a machine."""
    spec = record.spec
    assert spec is not None
    return {
        index
        for index in range(spec.tasks)
        if not ledger.is_done(record, index)
        and TaskId(record.id, index) not in ledger.runs_by_task
        and not ledger.may_run_on_unreconciled_host(TaskId(record.id, index))
    }
