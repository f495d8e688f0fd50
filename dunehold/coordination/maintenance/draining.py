"""What to stop on machines that are to run empty: least work lost, within the budgets.

A pure function. Work that ends in time is let end. What can't end by the time limit is stopped
now, since all that it does from here on would be lost as well; what saves goes on elsewhere
from where it was. A replica never ends, so it moves: it is stopped where a machine stands ready
for it, and starts there only once the old one is proved gone, as any task does. What that costs
in availability is the way of two commands, a fetch where the image is not there, and its start.
Gangs go as a whole, or not at all. Lower ranks go first, then what has done least.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from dunehold.bookkeeping.disruptions import Disruption, DisruptionTracker, TeamTotals
from dunehold.types import AttemptId, JobId, Rank, Team

STOP_LATENCY_S = 1.0  # from the decision to the worker
MIN_REMAINING_TO_MOVE_S = (
    30.0  # a task that saves is moved, not waited for, if it has longer to go
)


@dataclass(frozen=True, slots=True)
class DrainCandidate:
    """An attempt on a machine that is to run empty. Times in seconds from now."""

    attempt: AttemptId
    team: Team
    rank: Rank
    cpus: float
    ran_s: float
    left_s: float  # estimated; infinite for a replica
    save_s: float  # to save when it is stopped; 0 if it never saves
    limit_s: float = math.inf  # by when its machine is to be empty
    service: bool = False
    replicas: int = 0  # a service's wanted ones
    up: int = 0  # and those that are up
    gang: int = 0  # members of its gang, wherever they are; 0 for no gang
    gang_cpus: float = 0.0
    room_elsewhere: bool = False  # a machine stands ready that it could start on
    stopping: bool = False

    @property
    def saves(self) -> bool:
        return self.save_s > 0

    @property
    def hit(self) -> Disruption:
        tasks, cpus = (self.gang, self.gang_cpus) if self.gang else (1, self.cpus)
        return Disruption(self.team, self.attempt.task.job, tasks, cpus, self.service)

    @property
    def lost_cpu_s(self) -> float:
        """CPU-seconds that stopping it now throws away."""
        return 0.0 if self.saves or self.service else self.ran_s * self.cpus


@dataclass(slots=True)
class DrainDecision:
    """``stops``: of a gang, one attempt stands for all; ``held_up``: why others stay."""

    stops: list[DrainCandidate] = field(default_factory=list)
    held_up: list[str] = field(default_factory=list)
    late: int = 0  # tasks that the budgets keep beyond their machine's limit


def decide(
    candidates: Iterable[DrainCandidate],
    disruptions: DisruptionTracker,
    wholes: Mapping[Team, TeamTotals],
) -> DrainDecision:
    """What is to be stopped now. What it grants itself counts in the same decision: the
    caller notes it, or drops the decision."""
    found = DrainDecision()
    reasons: dict[str, None] = {}
    granted: dict[tuple[Team, JobId | None], tuple[int, float]] = {}
    gangs: set[JobId] = set()
    for run in sorted(
        candidates, key=lambda r: (r.rank, r.lost_cpu_s / max(r.cpus, 0.01), r.attempt)
    ):
        job = run.attempt.task.job
        if run.stopping or job in gangs:
            continue
        if not _should_stop(run):
            continue
        if run.service and not run.room_elsewhere:
            reasons[f"{job}: no machine stands ready for its replica"] = None
            found.late += run.limit_s <= 0
            continue
        reason = _refusal(run, disruptions, wholes, granted)
        if reason is not None:
            reasons[reason] = None
            found.late += run.limit_s <= 0
            continue
        hit = run.hit
        key = run.team, job if run.service else None
        tasks, cpus = granted.get(key, (0, 0.0))
        granted[key] = tasks + hit.tasks, cpus + hit.cpus
        if run.gang:
            gangs.add(job)
        found.stops.append(run)
    found.held_up = list(reasons)
    return found


def _should_stop(run: DrainCandidate) -> bool:
    """Should it be stopped now, or is it let end?"""
    if run.service:
        return True
    left_s = run.limit_s - STOP_LATENCY_S
    if not run.saves:
        return run.left_s > left_s  # it can't end in time
    if left_s <= run.save_s:
        return True  # its time is over
    # Saved, it loses nothing, now or later: it moves once a machine stands ready for it.
    worth_s = min(left_s, MIN_REMAINING_TO_MOVE_S + run.save_s)
    return run.room_elsewhere and run.left_s > worth_s


def _refusal(
    run: DrainCandidate,
    disruptions: DisruptionTracker,
    wholes: Mapping[Team, TeamTotals],
    granted: Mapping[tuple[Team, JobId | None], tuple[int, float]],
) -> str | None:
    hit = run.hit
    job = run.attempt.task.job if run.service else None
    tasks = granted.get((run.team, job), (0, 0.0))[0]
    every = sum(c for (team, _), (_, c) in granted.items() if team == run.team)
    asked = Disruption(hit.team, hit.job, hit.tasks + tasks, hit.cpus + every, hit.service)
    return disruptions.refusal(asked, wholes.get(run.team, TeamTotals()), run.replicas, run.up)
