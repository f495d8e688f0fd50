"""How many of a scenario's objectives were met, counted as the protocol counts aims."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from dunehold.emulator.history import Event
from dunehold.emulator.scenario import ObjectiveTable

STOPPED_SOON_S = 30.0  # a start does not count if the task is stopped by command before that


class Met(NamedTuple):
    objective: ObjectiveTable
    share: float  # reached; NaN where nothing counts
    counted: int

    def __str__(self) -> str:
        what = self.objective
        when = f"{what.times:g}x due" if what.kind == "deadline" else f"{what.within_s:g} s"
        line = f"{what.kind} {what.jobclass} {when}: {self.share:.3f} of {self.counted}"
        return f"{line} (aim {what.share:g})"


@dataclass(slots=True)
class _Job:
    row: dict[str, Any]
    made_at: float
    cancelled: bool = False
    completed: dict[str, float] = field(default_factory=dict)  # item -> when first
    started: dict[str, float] = field(default_factory=dict)  # item -> start that counts
    running: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Aims:
    """Fed with a history's events. ``guarantee`` objectives are not counted here."""

    objectives: list[ObjectiveTable]
    _jobs: dict[str, _Job] = field(default_factory=dict)

    def feed(self, event: Event) -> None:
        data = event.data
        if event.kind == "job":
            self._jobs[data["uid"]] = _Job(data["job"], event.at)
        elif event.kind == "cancel" and data["uid"] in self._jobs:
            self._jobs[data["uid"]].cancelled = True
        elif event.kind in ("on", "off", "completed"):
            job = self._jobs.get(data["item"].rpartition("/")[0])
            if job is not None:
                self._task(job, event)

    @staticmethod
    def _task(job: _Job, event: Event) -> None:
        item = event.data["item"]
        if event.kind == "on":
            job.running[item] = event.at
            job.started.setdefault(item, event.at)
        elif event.kind == "completed":
            job.completed.setdefault(item, event.at)
        else:
            began = job.running.pop(item, event.at)
            halted = event.data["why"] == "halted" and event.at - began < STOPPED_SOON_S
            if halted and job.started.get(item) == began:
                del job.started[item]

    def met(self) -> list[Met]:
        return [self._met(what) for what in self.objectives if what.kind != "guarantee"]

    def _met(self, what: ObjectiveTable) -> Met:
        jobs = [
            job
            for job in self._jobs.values()
            if what.jobclass in ("*", job.row["jobclass"])
            and not (job.cancelled or job.row.get("broken"))
        ]
        if what.kind == "wait":
            good = [self._in_time(job, item, what) for job in jobs for item in _items(job)]
        elif what.kind == "deadline":
            due = [job for job in jobs if job.row.get("due_s")]
            good = [_took(job) <= job.row["due_s"] * what.times for job in due]
        else:
            good = [_took(job) <= what.within_s for job in jobs]
        return Met(what, sum(good) / len(good) if good else float("nan"), len(good))

    @staticmethod
    def _in_time(job: _Job, item: str, what: ObjectiveTable) -> bool:
        return job.started.get(item, float("inf")) - job.made_at <= what.within_s


def _items(job: _Job) -> list[str]:
    return [f"{job.row['uid']}/{number}" for number in range(job.row["units"])]


def _took(job: _Job) -> float:
    """Seconds from the first try to submit to the last completion."""
    if len(job.completed) < job.row["units"]:
        return float("inf")
    return max(job.completed.values()) - job.made_at
