"""What was stopped or moved lately, whose it was, and what that leaves of each budget.

A disruption counts from the stop until its task runs again, and for its team's window at least.
What is done by choice is written down before it is commanded, so that a next leader knows of
it: it takes all that it finds for undone until a window after its own beginning (*unknown means
spent*). What happens to the fleet counts as well, but is refused by nobody.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from dunehold.budgets import DisruptionBudgets
from dunehold.protocol.codec import BadMessage
from dunehold.types import EPSILON, UNBOUNDED, JobId, MonotonicTime, TaskId, Team, WallTime

FORMAT = 1


@dataclass(frozen=True, slots=True)
class Disruption:
    """Work that is to be stopped: so many tasks of a job; a service's are replicas."""

    team: Team
    job: JobId
    tasks: int
    cpus: float
    service: bool = False


@dataclass(frozen=True, slots=True)
class TeamTotals:
    """What a team has on machines, what its budget's shares are shares of."""

    tasks: int = 0
    cpus: float = 0.0


@dataclass(slots=True)
class _Row:
    hit: Disruption
    until: MonotonicTime  # it counts till then at least
    task: TaskId | None  # whose return ends it; None: nobody knows which
    choice: bool


@dataclass(slots=True)
class DisruptionTracker:
    budgets: DisruptionBudgets
    _rows: list[_Row] = field(default_factory=list)
    # Stopped, and not seen to run since, by job: what ends takes all of it along.
    _open: dict[JobId, set[TaskId]] = field(default_factory=dict)
    _spent: dict[Team, tuple[int, float]] = field(default_factory=dict)  # tasks, cpus
    _replicas: Counter[JobId] = field(default_factory=Counter)

    # -- asking ----------------------------------------------------------------------------

    def refusal(
        self, hit: Disruption, whole: TeamTotals, replicas: int = 0, up: int = 0
    ) -> str | None:
        """Why this may not be stopped by choice now, or None.

        ``replicas`` and ``up`` are a service's wanted ones and those up, the ones to be
        stopped included.
        """
        budget = self.budgets.of(hit.team)
        tasks, cpus = self.budget_used(hit.team)
        if hit.service:
            least = budget.least_up.of(replicas)
            if up - hit.tasks < least - EPSILON:
                return f"{hit.job}: at least {budget.least_up} of its replicas stay up"
            most = budget.replicas.of(replicas)
            if self._replicas[hit.job] + hit.tasks > most + EPSILON:
                return f"{hit.job}: {budget.replicas} of its replicas at once"
        else:
            most = budget.tasks.of(whole.tasks + tasks)
            if tasks + hit.tasks > most + EPSILON:
                return f"team {hit.team}: {budget.tasks} of its tasks at once"
        most = budget.cpus.of(whole.cpus + cpus)
        if cpus + hit.cpus > most + EPSILON:
            return f"team {hit.team}: {budget.cpus} of its CPUs at once"
        return None

    def budget_used(self, team: Team) -> tuple[int, float]:
        """Tasks and CPUs of a team that count now."""
        return self._spent.get(team, (0, 0.0))

    def exhausted(self, team: Team, whole: TeamTotals) -> bool:
        """Not even the smallest task of it may be stopped."""
        budget = self.budgets.of(team)
        tasks, cpus = self.budget_used(team)
        return (
            tasks + 1 > budget.tasks.of(whole.tasks + tasks) + EPSILON
            or cpus >= budget.cpus.of(whole.cpus + cpus) - EPSILON
        )

    # -- counting --------------------------------------------------------------------------

    def add(self, hit: Disruption, task: TaskId, now: MonotonicTime, choice: bool) -> None:
        """One task is stopped, or was lost. One that is disrupted already counts once."""
        if self._is_open(task):
            return
        self._open.setdefault(task.job, set()).add(task)
        window = self.budgets.of(hit.team).window_s
        self._add(_Row(hit, MonotonicTime(now + window), task, choice))

    def block(self, teams: Iterable[Team], now: MonotonicTime) -> None:
        """Nothing of theirs by choice for a window: what was spent is not known."""
        for team in teams:
            until = MonotonicTime(now + self.budgets.of(team).window_s)
            for service in (False, True):
                hit = Disruption(team, JobId(""), UNBOUNDED, float(UNBOUNDED), service)
                self._add(_Row(hit, until, None, False))

    def task_restored(self, task: TaskId) -> None:
        """It runs again, or is not wanted any more; its row goes once its window is over."""
        left = self._open.get(task.job)
        if left is not None:
            left.discard(task)
            if not left:
                del self._open[task.job]

    def job_ended(self, job: JobId) -> None:
        """The job has ended: nothing of it is missing."""
        self._open.pop(job, None)

    def _is_open(self, task: TaskId) -> bool:
        return task in self._open.get(task.job, ())

    def expire(self, now: MonotonicTime) -> None:
        """Let go of what counts no more."""
        kept = [
            row
            for row in self._rows
            if row.until > now or (row.task is not None and self._is_open(row.task))
        ]
        if len(kept) != len(self._rows):
            self._rows = []
            self._spent.clear()
            self._replicas.clear()
            for row in kept:
                self._add(row)

    def _add(self, row: _Row) -> None:
        hit = row.hit
        self._rows.append(row)
        tasks, cpus = self.budget_used(hit.team)
        self._spent[hit.team] = (
            tasks + (0 if hit.service else hit.tasks),
            cpus + hit.cpus,
        )
        if hit.service:
            self._replicas[hit.job] += hit.tasks

    # -- the durable record ------------------------------------------------------------------

    def encode(
        self, more: Iterable[Disruption], now: MonotonicTime, wall: WallTime
    ) -> dict[str, Any]:
        """What was done by choice and still counts, with what is about to be.

        By team and, of services, by job: it does not grow with the number of tasks.
        """
        sums: dict[tuple[Team, JobId | None], list[float]] = {}
        for hit, until in [
            *((row.hit, row.until) for row in self._rows if row.choice),
            *((hit, now + self.budgets.of(hit.team).window_s) for hit in more),
        ]:
            key = hit.team, hit.job if hit.service else None
            total = sums.setdefault(key, [0, 0.0, 0.0])
            total[0] += hit.tasks
            total[1] += hit.cpus
            total[2] = max(total[2], wall + until - now)
        rows = [
            [team, job, int(tasks), round(cpus, 3), round(until, 1)]
            for (team, job), (tasks, cpus, until) in sorted(sums.items(), key=str)
        ]
        return {"f": FORMAT, "rows": rows}

    def restore(self, value: Any, now: MonotonicTime, wall: WallTime) -> None:
        """Begin with what the leader before wrote down: all of it spent, for a window from now
        at least, since which of its tasks run again is not known."""
        for hit, until in decode_disruptions(value):
            left = max(until - wall, float(self.budgets.of(hit.team).window_s))
            self._add(_Row(hit, MonotonicTime(now + left), None, True))


def decode_disruptions(value: Any) -> list[tuple[Disruption, WallTime]]:
    """The durable record's rows; BadMessage for one of a format that is not known."""
    if value is None:
        return []
    if not isinstance(value, dict) or value.get("f") != FORMAT:
        raise BadMessage("disruptions of a format that this program does not know")
    found = []
    rows = value.get("rows")
    for row in rows if isinstance(rows, list) else ():
        if not isinstance(row, list) or len(row) != 5:
            raise BadMessage("disruptions record")
        team, job, tasks, cpus, until = row
        hit = Disruption(Team(team), JobId(job or ""), int(tasks), float(cpus), job is not None)
        found.append((hit, WallTime(float(until))))
    return found
