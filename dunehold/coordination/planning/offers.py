"""The autoscaler's inputs: kinds of machines, the hosts of the fleet, and waiting work."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from dunehold.bookkeeping.ledger import host_allowed
from dunehold.protocol.users import JobSpec
from dunehold.types import HostId, Resources, TypeName, Zone


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of machine that the cloud may be able to rent out."""

    type: TypeName
    zone: Zone
    spot: bool


@dataclass(slots=True)
class FleetHost:
    """A rented host on which work can be planned."""

    id: HostId
    offer: Offer
    total: Resources
    free: Resources  # now, or once the host has booted
    # For each run on the host, the seconds until its estimated end and the room it frees.
    expected_releases: list[tuple[float, Resources]]
    idle_s: float | None  # None if the host is not idle


@dataclass(slots=True)
class Demand:
    """Waiting tasks that have the same needs."""

    need: Resources  # of each task
    tasks: int
    run_s: float  # estimated
    allowed: Callable[[Offer], bool]


def demands_for_job(
    spec: JobSpec,
    tasks: int,
    run_s: float,
    tasks_by_zone: Mapping[Zone, int],
    rentable_zones: Collection[Zone],
) -> list[Demand]:
    """The demand of ``tasks`` waiting tasks of a job, by zone if the job has zone constraints.

    ``tasks_by_zone`` counts the tasks that are or may be placed already, ``rentable_zones``
    are the zones in which machines can be rented. Tasks that may run only in a lost zone
    cause no demand, because a machine rented elsewhere would stay idle.
    """
    if spec.one_zone and tasks_by_zone:
        return [Demand(spec.need, tasks, run_s, _allowed_in_zones(spec, set(tasks_by_zone)))]
    if not spec.spread:
        return [Demand(spec.need, tasks, run_s, _allowed_in_zones(spec, rentable_zones))]
    zone_limit = (spec.tasks + 1) // 2
    room = {zone: max(0, zone_limit - tasks_by_zone.get(zone, 0)) for zone in rentable_zones}
    demands = []
    # The tasks are divided evenly; what a zone with little room can't take goes to the next.
    for number, zone in enumerate(sorted(room, key=lambda zone: (room[zone], zone))):
        share = min(room[zone], -(-tasks // (len(room) - number)))  # rounded up
        if share > 0:
            demands.append(Demand(spec.need, share, run_s, _allowed_in_zones(spec, {zone})))
            tasks -= share
    return demands


def _allowed_in_zones(spec: JobSpec, zones: Collection[Zone]) -> Callable[[Offer], bool]:
    def allowed(offer: Offer) -> bool:
        return offer.zone in zones and host_allowed(spec, offer.type, offer.zone, offer.spot)

    return allowed
