"""Which machines to rent and which to return: a pure function from a picture of the fleet."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from dunehold.coordination.planning.offers import Demand, FleetHost, Offer
from dunehold.protocol.cloud import MAX_MACHINES_PER_RENTAL, MachineType
from dunehold.types import HostId, Resources, TypeName, Zone

UNRELIABLE_COST_FACTOR = 3.0  # times as dear: a kind whose machines come up late, or never
FREED_ROOM_HORIZON_SHARE = (
    0.3  # of a boot time: room that frees up later is wanted by later arrivals
)


@dataclass(frozen=True, slots=True)
class Rent:
    offer: Offer
    number: int


@dataclass(slots=True)
class ScalingDecision:
    rent: list[Rent] = field(default_factory=list)
    release: list[HostId] = field(default_factory=list)


def decide(
    types: dict[TypeName, MachineType],
    hosts: list[FleetHost],
    demands: list[Demand],
    refused: set[Offer],
    unreliable: set[Offer],
    kept_cpus: float,
    idle_return_s: float,
) -> ScalingDecision:
    decision = ScalingDecision()
    horizon = FREED_ROOM_HORIZON_SHARE * min(
        (kind.boot_s for kind in types.values()), default=0.0
    )
    least = min((demand.need.cpus for demand in demands), default=0.0)
    room: dict[Offer, dict[HostId, Resources]] = {}
    for host in hosts:
        free = host.free
        for ends_s, need in host.expected_releases:
            # What frees up before a new machine could have booted needs no machine.
            if ends_s < horizon:
                free = free.plus(need)
        if free.cpus >= least:
            room.setdefault(host.offer, {})[host.id] = free
    per_zone: dict[Zone, int] = {}
    for host in hosts:
        per_zone[host.offer.zone] = per_zone.get(host.offer.zone, 0) + 1
    asked: dict[Offer, int] = {}
    # Needs that found no room on machines of a kind: room only shrinks, but for what is rented.
    crowded: dict[Offer, list[Resources]] = {}
    for demand in demands:
        left = demand.tasks
        for offer, places in room.items():
            if left <= 0:
                break
            known = crowded.setdefault(offer, [])
            if any(demand.need.holds(need) for need in known) or not demand.allowed(offer):
                continue
            left = _use(places, demand.need, left, least)
            if left > 0:
                known.append(demand.need)
        if left > 0:
            _rent(types, demand, left, refused, unreliable, per_zone, asked, room, crowded)
    for offer, number in asked.items():
        full, rest = divmod(number, MAX_MACHINES_PER_RENTAL)
        decision.rent.extend(Rent(offer, MAX_MACHINES_PER_RENTAL) for _ in range(full))
        if rest:
            decision.rent.append(Rent(offer, rest))
    if not asked:
        decision.release = _hosts_to_release(types, hosts, kept_cpus, idle_return_s)
    return decision


def _use(places: dict[HostId, Resources], need: Resources, left: int, least: float) -> int:
    """Fill the places with so many tasks; how many are left. Full places are dropped."""
    full = []
    for host, free in places.items():
        if left <= 0:
            break
        fits = min(left, free.count_fitting(need))
        if fits:
            places[host] = free = free.minus(need.times(fits))
            left -= fits
            if free.cpus < least:
                full.append(host)
    for host in full:
        del places[host]
    return left


def _rent(
    types: dict[TypeName, MachineType],
    demand: Demand,
    left: int,
    refused: set[Offer],
    unreliable: set[Offer],
    per_zone: dict[Zone, int],
    asked: dict[Offer, int],
    room: dict[Offer, dict[HostId, Resources]],
    unplaceable: dict[Offer, list[Resources]],
) -> None:
    """Ask for the cheapest machines that take the tasks."""
    options: list[tuple[float, int, Offer, MachineType]] = []
    for kind in types.values():
        copies = kind.capacity.count_fitting(demand.need)
        if copies <= 0:
            continue
        for zone in kind.zones:
            for spot in (True, False):
                offer = Offer(kind.name, zone, spot)
                if offer in refused or not demand.allowed(offer):
                    continue
                price = kind.spot_price if spot else kind.price
                cost = price * math.ceil(left / copies)
                if offer in unreliable:
                    cost *= UNRELIABLE_COST_FACTOR  # it is paid for while it does not come up
                options.append((cost, per_zone.get(zone, 0), offer, kind))
    if not options:
        return
    _, _, offer, kind = min(options, key=lambda option: option[:2])
    copies = kind.capacity.count_fitting(demand.need)
    number = math.ceil(left / copies)

    def sort(one: Offer) -> tuple[TypeName, bool, bool]:
        return one.type, one.spot, one in unreliable

    twins = [option for option in options if sort(option[2]) == sort(offer)]
    share = math.ceil(number / len(twins)) if number > 1 else number
    for _, _, twin, _ in sorted(twins, key=lambda option: option[1]):
        take = min(share, number)
        if take <= 0:
            break
        asked[twin] = asked.get(twin, 0) + take
        number -= take
        per_zone[twin.zone] = per_zone.get(twin.zone, 0) + take
    spare = math.ceil(left / copies) * copies - left
    if spare:
        # The rest of the last machine serves the demands that follow.
        places = room.setdefault(offer, {})
        unplaceable.pop(offer, None)
        places[HostId(f"+{len(asked)}-{len(places)}")] = kind.capacity.minus(
            demand.need.times(copies - spare)
        )


def _hosts_to_release(
    types: dict[TypeName, MachineType],
    hosts: list[FleetHost],
    kept_cpus: float,
    idle_return_s: float,
) -> list[HostId]:
    """Idle machines beyond what recent demand needed, the dearest a CPU first."""

    def price(host: FleetHost) -> float:
        kind = types[host.offer.type]
        rate = kind.spot_price if host.offer.spot else kind.price
        return rate / max(kind.capacity.cpus, 1.0)

    cpus = sum(host.total.cpus for host in hosts)
    back = []
    for host in sorted(hosts, key=price, reverse=True):
        idle = host.idle_s
        if idle is None or idle < idle_return_s:
            continue
        if cpus - host.total.cpus >= kept_cpus:
            cpus -= host.total.cpus
            back.append(host.id)
    return back
