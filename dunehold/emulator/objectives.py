"""Measures which share of tasks or jobs met each objective, counted as in the protocol."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from dunehold.emulator.history import Event
from dunehold.emulator.scenario import ObjectiveTable

# A start does not count if a command stops the task earlier than this.
MIN_COUNTED_RUN_S = 30.0


class ObjectiveResult(NamedTuple):
    """An objective, the share of tasks or jobs that met it, and how many were counted."""

    objective: ObjectiveTable
    share: float  # NaN if no task or job counts
    counted: int

    def __str__(self) -> str:
        target = self.objective
        condition = (
            f"{target.times:g}x due" if target.kind == "deadline" else f"{target.within_s:g} s"
        )
        line = (
            f"{target.kind} {target.jobclass} {condition}: {self.share:.3f} of {self.counted}"
        )
        return f"{line} (objective {target.share:g})"


@dataclass(slots=True)
class _JobProgress:
    """What the history shows of one job; the dictionaries map a task id to a time."""

    row: dict[str, Any]
    submitted_at: float
    cancelled: bool = False
    completed: dict[str, float] = field(default_factory=dict)  # first completion
    started: dict[str, float] = field(default_factory=dict)  # first start that counts
    running: dict[str, float] = field(default_factory=dict)  # last start, while it is running


@dataclass(slots=True)
class ObjectiveTracker:
    """Follows a history event by event and evaluates the objectives.

    Objectives of kind ``guarantee`` are not evaluated here. Cancelled and broken jobs don't
    count.
    """

    objectives: list[ObjectiveTable]
    _jobs: dict[str, _JobProgress] = field(default_factory=dict)

    def feed(self, event: Event) -> None:
        """Processes one event; events have to come in the order of their times."""
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
        task_id = event.data["item"]
        if event.kind == "on":
            job.running[task_id] = event.at
            job.started.setdefault(task_id, event.at)
        elif event.kind == "completed":
            job.completed.setdefault(task_id, event.at)
        else:
            began = job.running.pop(task_id, event.at)
            start_ignored = (
                event.data["why"] == "halted" and event.at - began < MIN_COUNTED_RUN_S
            )
            if start_ignored and job.started.get(task_id) == began:
                del job.started[task_id]

    def results(self) -> list[ObjectiveResult]:
        """Evaluates each objective on the events so far."""
        return [
            self._evaluate(objective)
            for objective in self.objectives
            if objective.kind != "guarantee"
        ]

    def _evaluate(self, objective: ObjectiveTable) -> ObjectiveResult:
        jobs = [
            job
            for job in self._jobs.values()
            if objective.jobclass in ("*", job.row["jobclass"])
            and not (job.cancelled or job.row.get("broken"))
        ]
        if objective.kind == "wait":
            met = [
                self._in_time(job, task_id, objective)
                for job in jobs
                for task_id in _task_ids(job)
            ]
        elif objective.kind == "deadline":
            with_deadline = [job for job in jobs if job.row.get("due_s")]
            met = [
                _completion_time_s(job) <= job.row["due_s"] * objective.times
                for job in with_deadline
            ]
        else:
            met = [_completion_time_s(job) <= objective.within_s for job in jobs]
        return ObjectiveResult(
            objective, sum(met) / len(met) if met else float("nan"), len(met)
        )

    @staticmethod
    def _in_time(job: _JobProgress, task_id: str, objective: ObjectiveTable) -> bool:
        return job.started.get(task_id, float("inf")) - job.submitted_at <= objective.within_s


def _task_ids(job: _JobProgress) -> list[str]:
    return [f"{job.row['uid']}/{number}" for number in range(job.row["units"])]


def _completion_time_s(job: _JobProgress) -> float:
    """Returns seconds from the submission to the last task's completion, infinite before it."""
    if len(job.completed) < job.row["units"]:
        return float("inf")
    return max(job.completed.values()) - job.submitted_at
