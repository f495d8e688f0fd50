"""Service statistics: how much of the requested work is done, for each class and team.

Any node computes them from its view alone. The view does not keep the description of an ended
job, so it is kept here while the job is active. Jobs that ended before this node started are
not counted; ``since_s`` says for how long this node has counted. Work is in CPU-seconds by the
owners' estimates, since nothing else is known of work that has not run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

from dunehold.bookkeeping.records import JobRecord
from dunehold.bookkeeping.view import View
from dunehold.coordination.planning.objectives import completion_target_s
from dunehold.protocol.users import JobSpec
from dunehold.settings import Settings
from dunehold.types import JobId, JobKind, JobPhase, Team


@dataclass(slots=True)
class Tally:
    """Counts for one class or team.

    Cancelled jobs are counted in ``cancelled`` only, since nobody requests their work any more.
    """

    jobs: int = 0
    done: int = 0
    cancelled: int = 0
    in_time: int = 0  # done within the earliest of their completion targets
    timed: int = 0  # done, and had a completion target
    cpu_s: float = 0.0  # requested work, CPU-seconds
    served_cpu_s: float = 0.0  # part of it that is done, CPU-seconds

    @property
    def share(self) -> float:
        """Part of the requested work that is done; 1.0 if none was requested."""
        return self.served_cpu_s / self.cpu_s if self.cpu_s > 0 else 1.0


@dataclass(slots=True)
class Served:
    """Counts ended jobs as the view changes, and sums up ended and active ones on request."""

    settings: Settings
    view: View
    wall: Callable[[], float]  # time of day, seconds
    classes: dict[str, Tally] = field(default_factory=dict)
    teams: dict[str, Tally] = field(default_factory=dict)
    began_at: float = field(init=False)
    _open: dict[JobId, JobSpec] = field(default_factory=dict)  # active jobs

    def __post_init__(self) -> None:
        self.began_at = self.wall()

    def record_changes(self, touched: Iterable[JobId]) -> None:
        """Takes in the jobs whose records have changed in the view."""
        for job in touched:
            record = self.view.jobs.get(job)
            if record is None:
                continue
            if record.phase is JobPhase.ACTIVE:
                if record.spec is not None and job not in self._open:
                    self._open[job] = record.spec
            elif (spec := self._open.pop(job, None)) is not None:
                for tally in self._tallies(spec, self.classes, self.teams):
                    self._ended(tally, spec, record)

    @staticmethod
    def _tallies(
        spec: JobSpec, classes: dict[str, Tally], teams: dict[str, Tally]
    ) -> tuple[Tally, Tally]:
        return (
            classes.setdefault(spec.job_class, Tally()),
            teams.setdefault(spec.team, Tally()),
        )

    def _ended(self, tally: Tally, spec: JobSpec, record: JobRecord) -> None:
        if record.phase is JobPhase.CANCELLED:
            tally.cancelled += 1
            return
        tally.jobs += 1
        tally.done += 1
        tally.cpu_s += _estimated_cpu_s(spec)
        tally.served_cpu_s += _estimated_cpu_s(spec)
        waited_s = record.eligible_at - record.accepted_at
        targets_s = [
            completion_target_s(objective, spec, waited_s)
            for objective in self.settings.objectives
        ]
        job_targets_s = [target_s for target_s in targets_s if target_s is not None]
        if job_targets_s:
            tally.timed += 1
            tally.in_time += self.wall() - record.eligible_at <= min(job_targets_s)

    def summary(self) -> dict[str, Any]:
        """The answer to operators: counts by class and team, and the condition of each zone.

        Active jobs are included, except services.
        """
        classes = {name: _copy(tally) for name, tally in self.classes.items()}
        teams = {name: _copy(tally) for name, tally in self.teams.items()}
        for job, spec in self._open.items():
            record = self.view.active.get(job)
            if record is None or spec.kind is JobKind.SERVICE:
                continue  # a service has no end, so no part of it can be done
            done_share = record.done_count() / max(1, record.tasks)
            for tally in self._tallies(spec, classes, teams):
                tally.jobs += 1
                tally.cpu_s += _estimated_cpu_s(spec)
                tally.served_cpu_s += done_share * _estimated_cpu_s(spec)
        return {
            "since_s": round(self.wall() - self.began_at, 1),
            "classes": {name: _row(tally) for name, tally in sorted(classes.items())},
            "teams": {name: _row(tally) for name, tally in sorted(teams.items())},
            "zones": {zone: record.condition for zone, record in self.view.zones.items()},
        }

    def on_time_by_team(self) -> dict[Team, tuple[int, int]]:
        """By team: jobs done within their completion target, and jobs done that had one."""
        return {Team(name): (row.in_time, row.timed) for name, row in self.teams.items()}

    def summary_line(self) -> str:
        """A line for the log: jobs and share of work done, for each class and team."""
        totals = self.summary()
        parts = [
            f"{name} {row['done']}/{row['jobs']} jobs, {row['share']:.2f} of the work"
            for group in ("classes", "teams")
            for name, row in totals[group].items()
        ]
        return "; ".join(parts)


def _estimated_cpu_s(spec: JobSpec) -> float:
    return spec.tasks * spec.need.cpus * spec.estimate_s


def _copy(tally: Tally) -> Tally:
    return Tally(**asdict(tally))


def _row(tally: Tally) -> dict[str, Any]:
    row = asdict(tally)
    row |= {"cpu_s": round(tally.cpu_s, 1), "served_cpu_s": round(tally.served_cpu_s, 1)}
    return row | {"share": round(tally.share, 4)}
