"""The leader's in-memory state of an active job."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.records import JobRecord
from dunehold.protocol.users import JobSpec
from dunehold.types import UNBOUNDED, MonotonicTime

MIN_PEER_DURATIONS = 4  # the fewest completed tasks that a run is compared with
MAX_DURATIONS = 200  # durations that are kept of each job


@dataclass(slots=True)
class JobProgress:
    """What the leader knows about an active job in addition to its record."""

    spec: JobSpec
    waiting: set[int]  # numbers of the tasks that wait for a start
    # Seconds after the job became eligible by which its objectives want it complete, sorted.
    completion_targets_s: list[float] = field(default_factory=list)
    # Seconds after the job became eligible by which its class should start.
    start_target_s: float = UNBOUNDED
    durations: list[float] = field(default_factory=list)  # of its completed tasks in s, sorted
    held_until: MonotonicTime = MonotonicTime(-1e9)  # no task is started before
    started_tasks: set[int] = field(default_factory=set)  # tasks that were reported running
    at_team_limit_s: float = 0.0  # how long it waited because its team was at its limit


def slowness(progress: JobProgress, ran_s: float) -> float | None:
    """The duration of a run divided by the third quartile of the job's other tasks.

    The tasks of a job are alike, so a high ratio points to a slow host. Returns None until
    half of the tasks have completed (at least ``MIN_PEER_DURATIONS``, at most
    ``MAX_DURATIONS``), because those that complete first are the fast ones.
    """
    known = progress.durations
    if len(known) < max(MIN_PEER_DURATIONS, min(progress.spec.tasks // 2, MAX_DURATIONS)):
        return None
    return ran_s / max(known[len(known) * 3 // 4], 1.0)


def waiting_tasks(record: JobRecord, ledger: Ledger) -> set[int]:
    """Numbers of the tasks that are neither done nor possibly on a host."""
    assert record.spec is not None
    waiting = set(range(record.spec.tasks))
    waiting.difference_update(record.done_tasks())
    waiting.difference_update(ledger.reported_done.get(record.id, ()))
    waiting.difference_update(task.number for task in ledger.placed_tasks(record.id))
    return waiting
