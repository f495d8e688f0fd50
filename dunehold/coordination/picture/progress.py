"""What the leader knows of an active job beyond its record."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.records import JobRecord
from dunehold.protocol.users import JobSpec
from dunehold.types import MANY, MonotonicTime, TaskId

ENOUGH_PEERS, MOST_DURATIONS = 4, 200


@dataclass(slots=True)
class JobProgress:
    """What the leader knows of an active job beyond its record."""

    spec: JobSpec
    waiting: set[int]
    limits: list[float] = field(default_factory=list)  # when its aims want it complete
    start_limit: float = MANY  # when its class wants it started
    durations: list[float] = field(default_factory=list)  # of its tasks, in order
    held_until: MonotonicTime = MonotonicTime(-1e9)
    begun: set[int] = field(default_factory=set)  # tasks that were seen to run
    limited_s: float = 0.0  # for so long its team had no room under its limit


def slowness(progress: JobProgress, ran_s: float) -> float | None:
    """A run's time by that of its job's other tasks, which are alike.

    None until half of them have ended: those that end first are the fast ones.
    """
    known = progress.durations
    if len(known) < max(ENOUGH_PEERS, min(progress.spec.tasks // 2, MOST_DURATIONS)):
        return None
    return ran_s / max(known[len(known) * 3 // 4], 1.0)


def unfinished(record: JobRecord, ledger: Ledger) -> set[int]:
    """Tasks of a job that are neither done nor, possibly, on a machine."""
    spec = record.spec
    assert spec is not None
    return {
        index
        for index in range(spec.tasks)
        if not ledger.is_done(record, index)
        and TaskId(record.id, index) not in ledger.present
        and not ledger.may_run_unseen(TaskId(record.id, index))
    }
