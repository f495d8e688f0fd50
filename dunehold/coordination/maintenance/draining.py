"""Decides what to stop on machines that are draining: least work lost, within the budgets.

``decide`` is a pure function with these rules:

- Work that is expected to end in time is left to end.
- Work without checkpoints that can't end by the time limit is stopped now, since everything it
  does from now on would be lost as well. Work that saves checkpoints resumes elsewhere from its
  checkpoint.
- A replica of a service never ends, so it moves. It is stopped when a machine is ready for it
  and, like any task, starts there only once the old attempt is proved gone. The service misses
  the replica for the time of two commands, of the image fetch if the image is not cached, and
  of the start.
- Gangs are stopped as a whole or not at all.
- Work of lower rank is stopped first, then work that would lose the least run time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from dunehold.bookkeeping.disruptions import Disruption, DisruptionTracker, TeamTotals
from dunehold.types import AttemptId, JobId, Rank, Team

STOP_LATENCY_S = 1.0  # from the decision until the worker has the stop command
# A task that saves checkpoints is moved if it has longer to run than this plus the time to
# save; otherwise it is left to end.
MIN_REMAINING_TO_MOVE_S = 30.0


@dataclass(frozen=True, slots=True)
class DrainCandidate:
    """An attempt on a machine that is draining.

    Attributes:
        attempt: the attempt.
        team: its team.
        rank: its effective rank, inherited from dependents if that is higher.
        cpus: its CPUs.
        ran_s: how long it has run, seconds.
        left_s: estimated remaining run time, seconds; infinite for a replica.
        save_s: time to save a checkpoint when it is stopped, seconds; 0 if it never saves.
        limit_s: seconds from now until its machine is to be empty.
        service: whether it is a replica of a service.
        replicas: wanted replicas of its service.
        up: replicas of its service that are up.
        gang: members of its gang on all machines; 0 if it is not in a gang.
        gang_cpus: CPUs of the whole gang.
        room_elsewhere: whether another machine is ready that it could start on.
        stopping: whether its stop has been commanded already.
    """

    attempt: AttemptId
    team: Team
    rank: Rank
    cpus: float
    ran_s: float
    left_s: float
    save_s: float
    limit_s: float = math.inf
    service: bool = False
    replicas: int = 0
    up: int = 0
    gang: int = 0
    gang_cpus: float = 0.0
    room_elsewhere: bool = False
    stopping: bool = False

    @property
    def saves(self) -> bool:
        """Whether it saves a checkpoint when it is stopped."""
        return self.save_s > 0

    @property
    def hit(self) -> Disruption:
        """The disruption that stopping it causes: of its whole gang if it is in one."""
        tasks, cpus = (self.gang, self.gang_cpus) if self.gang else (1, self.cpus)
        return Disruption(self.team, self.attempt.task.job, tasks, cpus, self.service)

    @property
    def lost_cpu_s(self) -> float:
        """CPU-seconds of work that are lost if it is stopped now."""
        return 0.0 if self.saves or self.service else self.ran_s * self.cpus


@dataclass(slots=True)
class DrainDecision:
    """What to stop now.

    Attributes:
        stops: attempts to stop; for a gang, one attempt represents all of its members.
        held_up: reasons why other attempts are not stopped, shown to operators.
        late: tasks that stay beyond the time limit of their machine, because of the budgets or
            because no machine is ready for a replica.
    """

    stops: list[DrainCandidate] = field(default_factory=list)
    held_up: list[str] = field(default_factory=list)
    late: int = 0


def decide(
    candidates: Iterable[DrainCandidate],
    disruptions: DisruptionTracker,
    totals_by_team: Mapping[Team, TeamTotals],
) -> DrainDecision:
    """Decides which attempts to stop now.

    Stops that are granted count against the budgets within the same decision, but are not added
    to ``disruptions``: the caller adds them, or drops the whole decision.

    Args:
        candidates: the attempts on draining machines.
        disruptions: what has been disrupted lately, and the budgets.
        totals_by_team: what each team has on machines.
    """
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
        reason = _refusal(run, disruptions, totals_by_team, granted)
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
    """Tells whether an attempt should be stopped now rather than left to end."""
    if run.service:
        return True
    until_limit_s = run.limit_s - STOP_LATENCY_S
    if not run.saves:
        return run.left_s > until_limit_s  # it can't end in time
    if until_limit_s <= run.save_s:
        return True  # the remaining time is only just enough to save, or too short
    # A stop after saving loses no work, now or later, so it moves once a machine is ready for
    # it, unless it ends soon anyway.
    min_left_s = min(until_limit_s, MIN_REMAINING_TO_MOVE_S + run.save_s)
    return run.room_elsewhere and run.left_s > min_left_s


def _refusal(
    run: DrainCandidate,
    disruptions: DisruptionTracker,
    totals_by_team: Mapping[Team, TeamTotals],
    granted: Mapping[tuple[Team, JobId | None], tuple[int, float]],
) -> str | None:
    """Returns why the budgets do not allow stopping an attempt now, or None.

    ``granted`` holds tasks and CPUs of the stops that this decision has granted already, by
    team and, for services, by job.
    """
    hit = run.hit
    job = run.attempt.task.job if run.service else None
    tasks = granted.get((run.team, job), (0, 0.0))[0]
    granted_cpus = sum(c for (team, _), (_, c) in granted.items() if team == run.team)
    total = Disruption(
        hit.team, hit.job, hit.tasks + tasks, hit.cpus + granted_cpus, hit.service
    )
    return disruptions.refusal(
        total, totals_by_team.get(run.team, TeamTotals()), run.replicas, run.up
    )
