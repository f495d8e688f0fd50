"""What the autoscaler weighs: kinds of machines, those there are, and the work that waits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunehold.types import HostId, Room, TypeName, Zone


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of machine that the cloud may have."""

    type: TypeName
    zone: Zone
    spot: bool


@dataclass(slots=True)
class FleetHost:
    id: HostId
    offer: Offer
    total: Room
    free: Room  # now, or once booted
    freed: list[tuple[float, Room]]  # estimated end and room of what runs on it
    idle_s: float | None


@dataclass(slots=True)
class Demand:
    """Waiting tasks of one shape."""

    need: Room
    tasks: int
    run_s: float
    allowed: Callable[[Offer], bool]
