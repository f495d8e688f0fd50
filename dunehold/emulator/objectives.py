"""How many of a scenario's objectives were met, counted as the protocol counts aims."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from dunehold.emulator.history import Event
from dunehold.emulator.scenario import ObjectiveTable

MIN_COUNTED_RUN_S = 30.0  # a start does not count if the task is stopped by command before that


class ObjectiveResult(NamedTuple):
    objective: ObjectiveTable
    share: float  # reached; NaN where nothing counts
    counted: int

    def __str__(self) -> str:
        what = self.objective
        when = f"{what.times:g}x due" if what.kind == "deadline" else f"{what.within_s:g} s"
        line = f"{what.kind} {what.jobclass} {when}: {self.share:.3f} of {self.counted}"
        return f"{line} (aim {what.share:g})"


@dataclass(slots=True)
class _JobProgress:
    row: dict[str, Any]
    submitted_at: float
    cancelled: bool = False
    completed: dict[str, float] = field(default_factory=dict)  # item -> when first
    started: dict[str, float] = field(default_factory=dict)  # item -> start that counts
    running: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ObjectiveTracker:
    """Fed with a history's events. ``guarantee`` objectives are not counted here."""

    objectives: list[ObjectiveTable]
    _jobs: dict[str, _JobProgress] = field(default_factory=dict)

    def feed(self, event: Event) -> None:
        data = event.data
        if event.kind == "job":
            self._jobs[data["uid"]] = _JobProgress(data["job"], event.at)
        elif event.kind == "cancel" and data["uid"] in self._jobs:
            self._jobs[data["uid"]].cancelled = True
        elif event.kind in ("on", "off", "completed"):
            job = self._jobs.get(data["item"].rpartition("/")[0])
            if job is not None:
                self._record_task_event(job, event)

    @staticmethod
    def _record_task_event(job: _JobProgress, event: Event) -> None:
        item = event.data["item"]
        if event.kind == "on":
            job.running[item] = event.at
            job.started.setdefault(item, event.at)
        elif event.kind == "completed":
            job.completed.setdefault(item, event.at)
        else:
            began = job.running.pop(item, event.at)
            halted = event.data["why"] == "halted" and event.at - began < MIN_COUNTED_RUN_S
            if halted and job.started.get(item) == began:
                del job.started[item]

    def results(self) -> list[ObjectiveResult]:
        return [self._evaluate(what) for what in self.objectives if what.kind != "guarantee"]

    def _evaluate(self, objective: ObjectiveTable) -> ObjectiveResult:
        jobs = [
            job
            for job in self._jobs.values()
            if objective.jobclass in ("*", job.row["jobclass"])
            and not (job.cancelled or job.row.get("broken"))
        ]
        if objective.kind == "wait":
            good = [
                self._in_time(job, item, objective) for job in jobs for item in _task_ids(job)
            ]
        elif objective.kind == "deadline":
            due = [job for job in jobs if job.row.get("due_s")]
            good = [
                _completion_time_s(job) <= job.row["due_s"] * objective.times for job in due
            ]
        else:
            good = [_completion_time_s(job) <= objective.within_s for job in jobs]
        return ObjectiveResult(
            objective, sum(good) / len(good) if good else float("nan"), len(good)
        )

    @staticmethod
    def _in_time(job: _JobProgress, item: str, objective: ObjectiveTable) -> bool:
        return job.started.get(item, float("inf")) - job.submitted_at <= objective.within_s


def _task_ids(job: _JobProgress) -> list[str]:
    return [f"{job.row['uid']}/{number}" for number in range(job.row["units"])]


def _completion_time_s(job: _JobProgress) -> float:
    """Seconds from the first try to submit to the last completion."""
    if len(job.completed) < job.row["units"]:
        return float("inf")
    return max(job.completed.values()) - job.submitted_at
