"""What the autoscaler weighs: kinds of machines, those there are, and the work that waits."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from dunehold.bookkeeping.ledger import host_allowed
from dunehold.protocol.users import JobSpec
from dunehold.types import HostId, Resources, TypeName, Zone


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
    total: Resources
    free: Resources  # now, or once booted
    expected_releases: list[
        tuple[float, Resources]
    ]  # estimated end and room of what runs on it
    idle_s: float | None


@dataclass(slots=True)
class Demand:
    """Waiting tasks of one shape."""

    need: Resources
    tasks: int
    run_s: float
    allowed: Callable[[Offer], bool]


def demands_for_job(
    spec: JobSpec,
    tasks: int,
    run_s: float,
    tasks_by_zone: Mapping[Zone, int],
    rentable_zones: Collection[Zone],
) -> list[Demand]:
    """What so many waiting tasks of a job ask for, zone by zone where its bounds say so.

    ``placed`` is where its tasks are or may be, ``usable`` the zones to rent in. Tasks that
    only a lost zone may take ask for nothing: a machine elsewhere would stand idle for them.
    """
    if spec.one_zone and tasks_by_zone:
        return [Demand(spec.need, tasks, run_s, _allowed_in_zones(spec, set(tasks_by_zone)))]
    if not spec.spread:
        return [Demand(spec.need, tasks, run_s, _allowed_in_zones(spec, rentable_zones))]
    most = (spec.tasks + 1) // 2
    room = {zone: max(0, most - tasks_by_zone.get(zone, 0)) for zone in rentable_zones}
    found = []
    for number, zone in enumerate(sorted(room, key=lambda zone: (room[zone], zone))):
        share = min(room[zone], -(-tasks // (len(room) - number)))
        if share > 0:
            found.append(Demand(spec.need, share, run_s, _allowed_in_zones(spec, {zone})))
            tasks -= share
    return found


def _allowed_in_zones(spec: JobSpec, zones: Collection[Zone]) -> Callable[[Offer], bool]:
    def allowed(offer: Offer) -> bool:
        return offer.zone in zones and host_allowed(spec, offer.type, offer.zone, offer.spot)

    return allowed
