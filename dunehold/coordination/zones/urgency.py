"""Who goes first, within a rank, when there is not room for all (see docs/design.md).

1. services of which no replica is up,
2. services with less than half of theirs up,
3. what lies within its team's guarantee,
4. all else, by the time to spare before the next aim that can still be met.

Rank goes before all of it: that is what the rules of preemption allow. A job that has missed
its aims steps back among its like and rises again as its next rung comes near, so nothing waits
for ever; that is decided in ``picture/aims.py``.
"""

from __future__ import annotations

from enum import IntEnum


class Urgency(IntEnum):
    """Lower goes first."""

    DOWN = 0
    DEGRADED = 1
    NORMAL = 2


def urgency(service: bool, replicas: int, up: int) -> Urgency:
    """Of a job with so many replicas wanted, and so many that are or may be up."""
    if not service:
        return Urgency.NORMAL
    if up <= 0:
        return Urgency.DOWN
    return Urgency.DEGRADED if 2 * up < replicas else Urgency.NORMAL
