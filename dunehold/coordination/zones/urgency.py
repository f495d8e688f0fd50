"""The order of jobs of one rank when there is not enough capacity (see docs/design.md).

1. services of which no replica is up,
2. services with less than half of their replicas up,
3. work within its team's guarantee,
4. everything else, by the time left until the next objective that can still be met.

Rank comes before all of these, because the rules of preemption work by rank. A job that has
missed its objectives gets a later target, a multiple of the last one, and moves up again as
that target comes near, so no job waits for ever; ``planning/objectives.py`` computes the
targets.
"""

from __future__ import annotations

from enum import IntEnum


class Urgency(IntEnum):
    """The urgency of a job; lower values go first."""

    DOWN = 0
    DEGRADED = 1
    NORMAL = 2


def urgency(service: bool, replicas: int, up: int) -> Urgency:
    """Returns the urgency of a job.

    Args:
        service: whether the job is a service; other jobs are always ``NORMAL``.
        replicas: wanted replicas.
        up: replicas that are up or may be up.
    """
    if not service:
        return Urgency.NORMAL
    if up <= 0:
        return Urgency.DOWN
    return Urgency.DEGRADED if 2 * up < replicas else Urgency.NORMAL
