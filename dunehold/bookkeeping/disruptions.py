"""Recent disruptions of running work, and what they leave of each team's disruption budget.

A disruption counts from the stop of a task until the task runs again, and at least for its
team's window. Voluntary disruptions are recorded before the stop is commanded, so that the next
leader knows of them. That leader doesn't know which tasks run again, so it counts all recorded
disruptions for at least one window from the start of its term. Involuntary disruptions, such as
the loss of a host, count as well, but are never refused.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from dunehold.budgets import DisruptionBudgets
from dunehold.protocol.codec import BadMessage
from dunehold.types import EPSILON, UNBOUNDED, JobId, MonotonicTime, TaskId, Team, WallTime

FORMAT = 1  # of the durable record


@dataclass(frozen=True, slots=True)
class Disruption:
    """A stop of tasks of one job; the tasks of a service are its replicas."""

    team: Team
    job: JobId
    tasks: int
    cpus: float
    service: bool = False


@dataclass(frozen=True, slots=True)
class TeamTotals:
    """What a team has on hosts.

    The shares in its budget are taken of this and what is disrupted together.
    """

    tasks: int = 0
    cpus: float = 0.0


@dataclass(slots=True)
class _CountedDisruption:
    """A disruption that counts against a budget."""

    disruption: Disruption
    until: MonotonicTime  # it counts at least until then
    task: TaskId | None  # it counts until this task runs again; None if the task is not known
    choice: bool  # whether it is voluntary


@dataclass(slots=True)
class DisruptionTracker:
    """Counts the disruptions of one leader's term against the teams' budgets."""

    budgets: DisruptionBudgets
    _counted: list[_CountedDisruption] = field(default_factory=list)
    # Tasks that were stopped and have not run since. They are kept by job, because all tasks of
    # a job are removed when it ends.
    _interrupted: dict[JobId, set[TaskId]] = field(default_factory=dict)
    _used_by_team: dict[Team, tuple[int, float]] = field(default_factory=dict)  # tasks, CPUs
    _replicas_by_job: Counter[JobId] = field(default_factory=Counter)  # disrupted, by service

    # -- queries ---------------------------------------------------------------------------

    def refusal(
        self, disruption: Disruption, totals: TeamTotals, replicas: int = 0, up: int = 0
    ) -> str | None:
        """Return why this voluntary disruption is not allowed now, or None if it is.

        For a service, ``replicas`` is the number wanted, and ``up`` the number running before
        the stop.
        """
        budget = self.budgets.of(disruption.team)
        tasks, cpus = self.budget_used(disruption.team)
        if disruption.service:
            least = budget.least_up.of(replicas)
            if up - disruption.tasks < least - EPSILON:
                return f"{disruption.job}: at least {budget.least_up} of its replicas stay up"
            most = budget.replicas.of(replicas)
            if self._replicas_by_job[disruption.job] + disruption.tasks > most + EPSILON:
                return f"{disruption.job}: {budget.replicas} of its replicas at once"
        else:
            most = budget.tasks.of(totals.tasks + tasks)
            if tasks + disruption.tasks > most + EPSILON:
                return f"team {disruption.team}: {budget.tasks} of its tasks at once"
        most = budget.cpus.of(totals.cpus + cpus)
        if cpus + disruption.cpus > most + EPSILON:
            return f"team {disruption.team}: {budget.cpus} of its CPUs at once"
        return None

    def budget_used(self, team: Team) -> tuple[int, float]:
        """Disrupted tasks and CPUs of the team that count now; replicas count as CPUs only."""
        return self._used_by_team.get(team, (0, 0.0))

    def exhausted(self, team: Team, totals: TeamTotals) -> bool:
        """Whether the budget does not even allow the team's smallest task to be stopped."""
        budget = self.budgets.of(team)
        tasks, cpus = self.budget_used(team)
        return (
            tasks + 1 > budget.tasks.of(totals.tasks + tasks) + EPSILON
            or cpus >= budget.cpus.of(totals.cpus + cpus) - EPSILON
        )

    # -- accounting ------------------------------------------------------------------------

    def add(
        self, disruption: Disruption, task: TaskId, now: MonotonicTime, choice: bool
    ) -> None:
        """Count one task that is stopped voluntarily (``choice``) or was lost.

        A task that is disrupted already is not counted again.
        """
        if self._is_interrupted(task):
            return
        self._interrupted.setdefault(task.job, set()).add(task)
        window = self.budgets.of(disruption.team).window_s
        self._count(_CountedDisruption(disruption, MonotonicTime(now + window), task, choice))

    def block(self, teams: Iterable[Team], now: MonotonicTime) -> None:
        """Allow no voluntary disruption of these teams for one window.

        For use when the recorded disruptions can't be decoded: what is left of the budgets is
        then unknown.
        """
        for team in teams:
            until = MonotonicTime(now + self.budgets.of(team).window_s)
            for service in (False, True):
                disruption = Disruption(team, JobId(""), UNBOUNDED, float(UNBOUNDED), service)
                self._count(_CountedDisruption(disruption, until, None, False))

    def task_restored(self, task: TaskId) -> None:
        """Note that the task runs again, or does not have to.

        Its disruption still counts until the window is over.
        """
        tasks = self._interrupted.get(task.job)
        if tasks is not None:
            tasks.discard(task)
            if not tasks:
                del self._interrupted[task.job]

    def job_ended(self, job: JobId) -> None:
        """Note that the job has ended, so that none of its tasks has to run again."""
        self._interrupted.pop(job, None)

    def _is_interrupted(self, task: TaskId) -> bool:
        return task in self._interrupted.get(task.job, ())

    def expire(self, now: MonotonicTime) -> None:
        """Remove the disruptions that no longer count."""
        kept = [
            row
            for row in self._counted
            if row.until > now or (row.task is not None and self._is_interrupted(row.task))
        ]
        if len(kept) != len(self._counted):
            self._counted = []
            self._used_by_team.clear()
            self._replicas_by_job.clear()
            for row in kept:
                self._count(row)

    def _count(self, row: _CountedDisruption) -> None:
        disruption = row.disruption
        self._counted.append(row)
        tasks, cpus = self.budget_used(disruption.team)
        self._used_by_team[disruption.team] = (
            tasks + (0 if disruption.service else disruption.tasks),
            cpus + disruption.cpus,
        )
        if disruption.service:
            self._replicas_by_job[disruption.job] += disruption.tasks

    # -- durable record ----------------------------------------------------------------------

    def encode(
        self, more: Iterable[Disruption], now: MonotonicTime, wall: WallTime
    ) -> dict[str, Any]:
        """Encode the voluntary disruptions that still count, and those about to take place.

        They are summed by team, and those of services by job, so that the size of the record
        does not grow with the number of tasks.
        """
        sums: dict[tuple[Team, JobId | None], list[float]] = {}
        for disruption, until in [
            *((row.disruption, row.until) for row in self._counted if row.choice),
            *(
                (disruption, now + self.budgets.of(disruption.team).window_s)
                for disruption in more
            ),
        ]:
            key = disruption.team, disruption.job if disruption.service else None
            total = sums.setdefault(key, [0, 0.0, 0.0])
            total[0] += disruption.tasks
            total[1] += disruption.cpus
            total[2] = max(total[2], wall + until - now)
        rows = [
            [team, job, int(tasks), round(cpus, 3), round(until, 1)]
            for (team, job), (tasks, cpus, until) in sorted(sums.items(), key=str)
        ]
        return {"f": FORMAT, "rows": rows}

    def restore(self, value: Any, now: MonotonicTime, wall: WallTime) -> None:
        """Count the disruptions that the previous leader recorded.

        Each counts for at least one window from now, since it is not known which of the tasks
        run again. Raises BadMessage, ValueError or TypeError if the record is malformed.
        """
        for disruption, until in decode_disruptions(value):
            left_s = max(until - wall, float(self.budgets.of(disruption.team).window_s))
            self._count(_CountedDisruption(disruption, MonotonicTime(now + left_s), None, True))


def decode_disruptions(value: Any) -> list[tuple[Disruption, WallTime]]:
    """Decode the durable record into disruptions and the time until which each counts.

    Raises BadMessage for an unknown format or a malformed row.
    """
    if value is None:
        return []
    if not isinstance(value, dict) or value.get("f") != FORMAT:
        raise BadMessage("disruptions record has an unknown format")
    found = []
    rows = value.get("rows")
    for row in rows if isinstance(rows, list) else ():
        if not isinstance(row, list) or len(row) != 5:
            raise BadMessage(
                "disruptions record: a row must be [team, job, tasks, cpus, until]"
            )
        team, job, tasks, cpus, until = row
        disruption = Disruption(
            Team(team), JobId(job or ""), int(tasks), float(cpus), job is not None
        )
        found.append((disruption, WallTime(float(until))))
    return found
