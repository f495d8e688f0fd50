"""Attributes each late first start of a task to one cause.

A first start is late if it misses its start target: the objective for starts of its class or,
within a guarantee, the stricter of that and the guarantee's objective. The wait is counted as
users count it, from when the job can start (it is accepted and its dependencies are complete)
until the task is seen to run. The cause is the longest part of the wait:

- *leader*: there was no leader, or it did not know the job yet;
- *limit*: the job's team had no room under its limit;
- *room*: no machine had room for the task, or none was up;
- *image*: the image had to be fetched: the time from the decision to the running task, if the
  image was not on the machine;
- *command*: the same time if the image was on the machine.

Only starts that this leader decided on and saw in time are counted. Nothing is known of the
wait of a task that was found running.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from dunehold.bookkeeping.hosts import Run
from dunehold.coordination.planning.progress import JobProgress
from dunehold.types import MonotonicTime


class Cause(StrEnum):
    """The causes of late starts, as described in the module's docstring."""

    LEADER = "leader"
    LIMIT = "limit"
    ROOM = "room"
    IMAGE = "image"
    COMMAND = "command"


@dataclass(frozen=True, slots=True)
class FirstStart:
    """One first start of a task. Times are in seconds on the leader's monotonic clock."""

    # From when the wait counts: the job was accepted and its dependencies were complete.
    accepted_at: float
    # From when this leader could place the task.
    known_at: float
    planned_at: float
    running_at: float
    # Duration, in seconds, for which the job's team was at its limit.
    limited_s: float
    # Whether the image was on the machine when the start was planned.
    cached: bool

    @property
    def total_s(self) -> float:
        """The whole wait."""
        return self.running_at - self.accepted_at

    def parts(self) -> dict[Cause, float]:
        """Returns the seconds of the wait by cause; they add up to the whole wait."""
        planned = max(self.accepted_at, self.planned_at)
        leader = min(max(0.0, self.known_at - self.accepted_at), planned - self.accepted_at)
        waiting = planned - self.accepted_at - leader
        limited = min(self.limited_s, waiting)
        after = max(0.0, self.running_at - planned)
        return {
            Cause.LEADER: leader,
            Cause.LIMIT: limited,
            Cause.ROOM: waiting - limited,
            Cause.IMAGE: 0.0 if self.cached else after,
            Cause.COMMAND: after if self.cached else 0.0,
        }

    def cause(self) -> Cause:
        """Returns the cause of the longest part of the wait."""
        parts = self.parts()
        return max(parts, key=lambda cause: parts[cause])


@dataclass(slots=True)
class LateStarts:
    """Counts first starts with a target in one term, by class, and the late ones by cause."""

    took_over_at: MonotonicTime
    starts: Counter[str] = field(default_factory=Counter)
    late: dict[str, Counter[Cause]] = field(default_factory=dict)

    def record_start(
        self, run: Run, progress: JobProgress, target_s: float, waited_s: float
    ) -> None:
        """Counts the start of a task that is seen to run, ``waited_s`` after it could start.

        Starts that were not the task's first, or that this leader did not see in time, are
        ignored.
        """
        number = run.id.task.number
        if (
            run.running_at is None
            or run.adopted
            or run.first_seen_late
            or number in progress.started_tasks
        ):
            return
        progress.started_tasks.add(number)
        job_class = progress.spec.job_class
        self.starts[job_class] += 1
        if waited_s <= target_s:
            return
        accepted_at = run.running_at - waited_s
        wait = FirstStart(
            accepted_at,
            max(self.took_over_at, accepted_at),
            run.planned_at,
            run.running_at,
            progress.at_team_limit_s,
            run.image_cached,
        )
        self.late.setdefault(job_class, Counter())[wait.cause()] += 1

    def summary(self) -> str:
        """Returns a text for the log: by class, how many starts were late, and the causes."""
        lines = []
        for job_class, causes in sorted(self.late.items()):
            causes_text = ", ".join(
                f"{cause.value} {number}" for cause, number in causes.most_common()
            )
            total = sum(causes.values())
            lines.append(f"{job_class} {total} of {self.starts[job_class]}: {causes_text}")
        return "; ".join(lines) or "none"
