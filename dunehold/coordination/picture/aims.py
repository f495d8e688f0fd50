"""The users' aims as moments: by when a job should be complete, and which aim to give up."""

from __future__ import annotations

import heapq

from dunehold.coordination.picture.progress import JobProgress
from dunehold.protocol.users import JobSpec
from dunehold.settings import Objective
from dunehold.types import JobId

DEFAULT_LIMIT_S, DEFAULT_LIMIT_RUNS = 60.0, 3.0  # for jobs that no aim speaks of
LADDER = 2.0


def put_off(
    rows: list[tuple[float, JobId, float, str]], wanted: float, free: float, rate: float
) -> tuple[float, list[JobId]]:
    """CPUs for all that can start in time, and the jobs that are put off.

    Rows hold the latest start, the job, its CPUs and its class.
    """
    taken: dict[str, list[tuple[float, JobId]]] = {}
    late: list[JobId] = []
    for start, job, cpus, job_class in sorted(rows):
        wanted += cpus
        alike = taken.setdefault(job_class, [])
        heapq.heappush(alike, (-cpus, job))
        while alike and wanted > free + rate * start:
            spared, other = heapq.heappop(alike)
            wanted += spared
            late.append(other)
    return wanted, late


def next_limit(progress: JobProgress, waited: float, run_s: float, rounds: int) -> float:
    """The next aim that the job can still meet, and has not given up.

    A job that has missed its aims steps down to multiples of the last one: it lets those
    pass that can still be in time, and rises again as that rung comes near, so nothing
    waits for ever.
    """
    needed = waited + run_s
    limits = progress.limits or [max(DEFAULT_LIMIT_S, DEFAULT_LIMIT_RUNS * run_s)]
    for limit in limits:
        if limit >= needed:
            if rounds <= 0:
                return limit
            rounds -= 1
    limit = limits[-1]
    while limit < needed or rounds > 0:
        if limit >= needed:
            rounds -= 1
        limit = limit * LADDER + 1.0
    return limit


def finish_limit(aim: Objective, spec: JobSpec, waited_s: float = 0.0) -> float | None:
    """When the aim wants the job complete, from when it is wanted.

    Deadlines count from its submission, ``waited_s`` earlier: it waited for others meanwhile.
    """
    if aim.job_class != spec.job_class:
        return None
    if aim.kind == "finished":
        return aim.within_s
    if aim.kind == "deadline" and spec.deadline_s is not None:
        return max(0.0, spec.deadline_s * aim.times - waited_s)
    return None
