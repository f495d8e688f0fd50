"""Decides which machines to rent and which to return.

``decide`` is a pure function of the machine types, the hosts and the demand.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from dunehold.coordination.planning.offers import Demand, FleetHost, Offer
from dunehold.protocol.cloud import MAX_MACHINES_PER_RENTAL, MachineType
from dunehold.types import HostId, Resources, TypeName, Zone

# Multiplies the price of an offer whose machines often boot late or not at all.
UNRELIABLE_COST_FACTOR = 3.0
# Share of the shortest boot time. Capacity that is released within this time counts as free;
# capacity that is released later is left to work that arrives later.
FREED_ROOM_HORIZON_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class Rent:
    """A number of machines to rent of one offer."""

    offer: Offer
    number: int


@dataclass(slots=True)
class ScalingDecision:
    """Machines to rent and hosts to release."""

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
    """Decides what to rent for the demand that does not fit, or else which hosts to release.

    Hosts are released only in a decision that rents nothing.

    Args:
        types: all machine types.
        hosts: hosts that new work can be planned on.
        demands: waiting tasks, in the order in which they get free capacity.
        refused: offers that must not be rented, for example after a refusal by the cloud.
        unreliable: offers whose machines often boot late or not at all; they count as
            ``UNRELIABLE_COST_FACTOR`` times as expensive.
        kept_cpus: CPUs that the fleet keeps; idle hosts beyond them are released.
        idle_return_s: seconds for which a host must be idle before it may be released.
    """
    decision = ScalingDecision()
    horizon = FREED_ROOM_HORIZON_SHARE * min(
        (machine_type.boot_s for machine_type in types.values()), default=0.0
    )
    least = min((demand.need.cpus for demand in demands), default=0.0)
    room: dict[Offer, dict[HostId, Resources]] = {}
    for host in hosts:
        free = host.free
        for ends_s, need in host.expected_releases:
            # Capacity that is released long before a new machine could boot makes renting
            # one unnecessary.
            if ends_s < horizon:
                free = free.plus(need)
        if free.cpus >= least:
            room.setdefault(host.offer, {})[host.id] = free
    per_zone: dict[Zone, int] = {}
    for host in hosts:
        per_zone[host.offer.zone] = per_zone.get(host.offer.zone, 0) + 1
    asked: dict[Offer, int] = {}
    # Needs that did not fit on the hosts of an offer. Free capacity only shrinks in the course
    # of a decision, so a need that is at least as large is not tried again. Renting a machine
    # adds capacity and therefore clears the entry of its offer.
    unplaceable: dict[Offer, list[Resources]] = {}
    for demand in demands:
        left = demand.tasks
        for offer, places in room.items():
            if left <= 0:
                break
            too_large = unplaceable.setdefault(offer, [])
            if any(demand.need.holds(need) for need in too_large) or not demand.allowed(offer):
                continue
            left = _fill(places, demand.need, left, least)
            if left > 0:
                too_large.append(demand.need)
        if left > 0:
            _add_rentals(
                types, demand, left, refused, unreliable, per_zone, asked, room, unplaceable
            )
    for offer, number in asked.items():
        full, rest = divmod(number, MAX_MACHINES_PER_RENTAL)
        decision.rent.extend(Rent(offer, MAX_MACHINES_PER_RENTAL) for _ in range(full))
        if rest:
            decision.rent.append(Rent(offer, rest))
    if not asked:
        decision.release = _hosts_to_release(types, hosts, kept_cpus, idle_return_s)
    return decision


def _fill(places: dict[HostId, Resources], need: Resources, left: int, least: float) -> int:
    """Places up to ``left`` tasks on the hosts in ``places`` and returns how many remain.

    Hosts with fewer than ``least`` free CPUs are removed from ``places``.
    """
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


def _add_rentals(
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
    """Adds the cheapest machines that can run the remaining tasks to ``asked``.

    The machines are spread over all zones in which the cheapest type can be rented, beginning
    with the zone that has the fewest hosts.
    """
    options: list[tuple[float, int, Offer, MachineType]] = []
    for machine_type in types.values():
        copies = machine_type.capacity.count_fitting(demand.need)
        if copies <= 0:
            continue
        for zone in machine_type.zones:
            for spot in (True, False):
                offer = Offer(machine_type.name, zone, spot)
                if offer in refused or not demand.allowed(offer):
                    continue
                price = machine_type.spot_price if spot else machine_type.price
                cost = price * math.ceil(left / copies)
                if offer in unreliable:
                    cost *= UNRELIABLE_COST_FACTOR  # a machine is also paid for while it boots
                options.append((cost, per_zone.get(zone, 0), offer, machine_type))
    if not options:
        return
    _, _, offer, machine_type = min(options, key=lambda option: option[:2])
    copies = machine_type.capacity.count_fitting(demand.need)
    number = math.ceil(left / copies)

    def equivalence_key(one: Offer) -> tuple[TypeName, bool, bool]:
        return one.type, one.spot, one in unreliable

    equivalent = [
        option for option in options if equivalence_key(option[2]) == equivalence_key(offer)
    ]
    share = math.ceil(number / len(equivalent)) if number > 1 else number
    for _, _, candidate, _ in sorted(equivalent, key=lambda option: option[1]):
        take = min(share, number)
        if take <= 0:
            break
        asked[candidate] = asked.get(candidate, 0) + take
        number -= take
        per_zone[candidate.zone] = per_zone.get(candidate.zone, 0) + take
    spare = math.ceil(left / copies) * copies - left
    if spare:
        # The free capacity of the last machine is available to the demands that follow.
        places = room.setdefault(offer, {})
        unplaceable.pop(offer, None)
        places[HostId(f"+{len(asked)}-{len(places)}")] = machine_type.capacity.minus(
            demand.need.times(copies - spare)
        )


def _hosts_to_release(
    types: dict[TypeName, MachineType],
    hosts: list[FleetHost],
    kept_cpus: float,
    idle_return_s: float,
) -> list[HostId]:
    """Returns idle hosts beyond ``kept_cpus``, those with the highest price per CPU first."""

    def price_per_cpu(host: FleetHost) -> float:
        machine_type = types[host.offer.type]
        rate = machine_type.spot_price if host.offer.spot else machine_type.price
        return rate / max(machine_type.capacity.cpus, 1.0)

    cpus = sum(host.total.cpus for host in hosts)
    released = []
    for host in sorted(hosts, key=price_per_cpu, reverse=True):
        idle = host.idle_s
        if idle is None or idle < idle_return_s:
            continue
        if cpus - host.total.cpus >= kept_cpus:
            cpus -= host.total.cpus
            released.append(host.id)
    return released
