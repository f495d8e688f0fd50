"""What the autoscaler weighs: kinds of machines, those there are, and the work that waits."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from dunehold.bookkeeping.ledger import host_allowed
from dunehold.protocol.users import JobSpec
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


def demands_of(
    spec: JobSpec,
    tasks: int,
    run_s: float,
    placed: Mapping[Zone, int],
    usable: Collection[Zone],
) -> list[Demand]:
    """What so many waiting tasks of a job ask for, zone by zone where its bounds say so.

    ``placed`` is where its tasks are or may be, ``usable`` the zones to rent in. Tasks that
    only a lost zone may take ask for nothing: a machine elsewhere would stand idle for them.
    """
    if spec.one_zone and placed:
        return [Demand(spec.need, tasks, run_s, _offers(spec, set(placed)))]
    if not spec.spread:
        return [Demand(spec.need, tasks, run_s, _offers(spec, usable))]
    most = (spec.tasks + 1) // 2
    room = {zone: max(0, most - placed.get(zone, 0)) for zone in usable}
    found = []
    for number, zone in enumerate(sorted(room, key=lambda zone: (room[zone], zone))):
        share = min(room[zone], -(-tasks // (len(room) - number)))
        if share > 0:
            found.append(Demand(spec.need, share, run_s, _offers(spec, {zone})))
            tasks -= share
    return found


def _offers(spec: JobSpec, zones: Collection[Zone]) -> Callable[[Offer], bool]:
    def allowed(offer: Offer) -> bool:
        return offer.zone in zones and host_allowed(spec, offer.type, offer.zone, offer.spot)

    return allowed
