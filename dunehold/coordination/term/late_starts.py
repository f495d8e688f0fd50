"""Why tasks start late: each first start that misses its limit is put down to one cause.

The limit is the class's aim at starting or, within a guarantee, the guarantee's; the time
counts from the job's acceptance until the task is seen to run, as its users count. The cause is
the longest part of the wait:

- *leader*: there was none, or it knew nothing of the job yet;
- *limit*: its team had no room under its limit;
- *room*: no machine took it, or none was up;
- *image*: it was being fetched;
- *command*: all else from the decision to the running task.

Only what this leader decided and saw is counted: nothing is known of a task found running.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from dunehold.bookkeeping.hosts import Run
from dunehold.coordination.planning.progress import JobProgress
from dunehold.types import MonotonicTime


class Cause(StrEnum):
    LEADER = "leader"
    LIMIT = "limit"
    ROOM = "room"
    IMAGE = "image"
    COMMAND = "command"


@dataclass(frozen=True, slots=True)
class FirstStart:
    """One first start, all moments on the leader's steady clock; ``limited_s`` in seconds."""

    accepted_at: float
    known_at: float  # since when this leader could place it
    planned_at: float
    running_at: float
    limited_s: float
    cached: bool

    @property
    def total_s(self) -> float:
        return self.running_at - self.accepted_at

    def parts(self) -> dict[Cause, float]:
        """The seconds put down to each cause; they add up to the whole wait."""
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
        parts = self.parts()
        return max(parts, key=lambda cause: parts[cause])


@dataclass(slots=True)
class LateStarts:
    """Counts of one term, by class: first starts with a limit, and the late ones by cause."""

    took_over_at: MonotonicTime
    starts: Counter[str] = field(default_factory=Counter)
    late: dict[str, Counter[Cause]] = field(default_factory=dict)

    def record_start(
        self, run: Run, progress: JobProgress, limit_s: float, waited_s: float
    ) -> None:
        """A task is seen to run, so long after its job was accepted."""
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
        if waited_s <= limit_s:
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
        """For the log: by class, how many of how many were late, and why."""
        found = []
        for job_class, causes in sorted(self.late.items()):
            why = ", ".join(f"{cause.value} {number}" for cause, number in causes.most_common())
            total = sum(causes.values())
            found.append(f"{job_class} {total} of {self.starts[job_class]}: {why}")
        return "; ".join(found) or "none"
