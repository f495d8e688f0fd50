"""Renting and returning machines.

The cheapest machines are rented first, but not kinds whose machines fail to boot, and not kinds
for which the cloud has refused capacity.
"""

from __future__ import annotations

import asyncio
from collections import deque
from types import SimpleNamespace
from typing import Any

from dunehold.coordination.fleet.autoscaler import decide
from dunehold.coordination.fleet.fleet import Fleet
from dunehold.coordination.planning.offers import Demand, FleetHost, Offer
from dunehold.protocol.cloud import MachineType, NoCapacity, Rental
from dunehold.types import Duration, HostId, MonotonicTime, RentalId, Resources, TypeName, Zone
from tests.virtual_time import VirtualLoop

ZONES = (Zone("a"), Zone("b"))


def make_machine_type(name: str, cpus: float, price: float) -> MachineType:
    room = Resources(cpus, 0.0, cpus * 4)
    return MachineType(TypeName(name), room, 10.0, 1.0, price, price / 3, Duration(20.0), ZONES)


MACHINE_TYPES = {
    t.name: t
    for t in (make_machine_type("small", 4.0, 0.2), make_machine_type("big", 32.0, 1.7))
}


def count_rented(unreliable: set[Offer], tasks: int = 40) -> dict[Offer, int]:
    """Return how many machines of each offer are rented for tasks of 2 CPUs each."""
    demand = Demand(Resources(2.0, 0.0, 1.0), tasks, 30.0, lambda _: True)
    decision = decide(MACHINE_TYPES, [], [demand], set(), unreliable, 0.0, 20.0)
    found: dict[Offer, int] = {}
    for rent in decision.rent:
        found[rent.offer] = found.get(rent.offer, 0) + rent.number
    return found


def test_the_cheapest_machines_are_rented_in_all_zones() -> None:
    assert count_rented(set()) == {Offer(TypeName("small"), zone, True): 10 for zone in ZONES}


def test_a_kind_whose_machines_do_not_boot_is_rented_last() -> None:
    here, there = (Offer(TypeName("small"), zone, True) for zone in ZONES)
    assert count_rented({here}) == {there: 20}
    big = {Offer(TypeName("big"), zone, True) for zone in ZONES}
    assert set(count_rented({here, there})) <= big


def test_nothing_is_rented_when_the_fleet_has_enough_room() -> None:
    offer = Offer(TypeName("small"), ZONES[0], True)
    room = MACHINE_TYPES[offer.type].capacity
    hosts = [FleetHost(HostId(f"m{n}"), offer, room, room, [], None) for n in range(20)]
    demand = Demand(Resources(2.0, 0.0, 1.0), 40, 30.0, lambda _: True)
    assert not decide(MACHINE_TYPES, hosts, [demand], set(), set(), 0.0, 20.0).rent
    assert decide(MACHINE_TYPES, hosts[:10], [demand], set(), set(), 0.0, 20.0).rent


def make_fleet(**more: Any) -> Fleet:
    """Return a fleet whose unset dependencies are None."""
    plain: dict[str, Any] = dict.fromkeys(Fleet.__match_args__)
    ready = {name: plain[name] for name in plain if not name.startswith("_")}
    for name in ("capacity_refused_at", "listed", "boot_history"):
        ready[name] = {}
    ready |= {"types": MACHINE_TYPES, "overdue_hosts": set(), **more}
    return Fleet(**ready)


def make_host(name: str, at: float, up: bool) -> SimpleNamespace:
    return SimpleNamespace(
        id=HostId(name), type=TypeName("small"), zone=ZONES[0], spot=True, up=up,
        lease_renewed_at=None, created_at=at, deleting=False, boot_noted=False,
    )  # fmt: skip


def test_machines_that_are_overdue_to_boot_are_not_counted_on() -> None:
    """Guards against tasks that wait for such machines until these are given up.

    A machine is given up only after four boot times.
    """
    hosts = {f"m{n}": make_host(f"m{n}", 10.0, up=n < 3) for n in range(8)}
    fleet = make_fleet(ledger=SimpleNamespace(hosts=hosts, took_over_at=0.0))
    fleet.record_boots(MonotonicTime(30.0))
    assert not fleet.overdue_hosts
    fleet.record_boots(MonotonicTime(52.0))
    assert fleet.overdue_hosts == {f"m{n}" for n in range(3, 8)}
    assert fleet.unreliable_offers(MonotonicTime(53.0)) == {
        Offer(TypeName("small"), ZONES[0], True)
    }
    assert not fleet.unreliable_offers(MonotonicTime(400.0))  # rented again later
    hosts["m7"].up = True
    fleet.record_boots(MonotonicTime(54.0))
    assert HostId("m7") not in fleet.overdue_hosts  # it came up late, and is used or returned


def test_no_further_rental_call_is_made_for_a_kind_without_capacity() -> None:
    """Guards against wasting calls to the cloud, of which there are few.

    Without the check, a third of the calls at the start asked for kinds that had just run out.
    """
    calls: deque[str] = deque()
    ended: list[str] = []

    class Cloud:
        async def rent(self, rental: Rental) -> list[HostId]:
            calls.append(rental.id)
            await asyncio.sleep(0.1)
            if rental.type == "small":
                raise NoCapacity
            return [HostId(f"{rental.id}-{n}") for n in range(rental.count)]

    class Recorder:
        async def record_rentals(self, rentals: list[Rental]) -> None: ...
        def end_rental(self, rental: RentalId) -> None:
            ended.append(rental)

    async def rent() -> None:
        ledger = SimpleNamespace(hosts={}, deleted_hosts=set(), add_host=lambda *_: None)
        fleet = make_fleet(
            cloud=Cloud(), recorder=Recorder(), ledger=ledger, token=7,
            on_change=lambda: None, spawn=lambda work: work.close(),
        )  # fmt: skip
        demand = Demand(Resources(2.0, 0.0, 1.0), 250, 30.0, lambda o: o.type == "small")
        large = Demand(Resources(32.0, 0.0, 1.0), 60, 30.0, lambda _: True)
        decision = decide(MACHINE_TYPES, [], [demand, large], set(), set(), 0.0, 20.0)
        assert len(decision.rent) == 6
        await fleet._rent_all(decision.rent)

    loop = VirtualLoop()
    loop.run_until_complete(rent())
    loop.close()
    # One refusal in each of the two zones; offers with the most CPUs are rented first.
    assert len(calls) == 4
    assert len(ended) == 2


def test_a_machine_that_is_missing_from_a_list_is_deleted_before_it_counts_as_gone() -> None:
    """Guards against tasks that run twice after an outdated list from the cloud.

    Some lists are older than they should be, so a missing machine may still exist.
    """
    silent = SimpleNamespace(
        id=HostId("m1"),
        session_known=False,
        deleting=False,
        lease_renewed_at=None,
        created_at=0.0,
        address="",
    )
    deleted: list[str] = []

    class Cloud:
        async def delete(self, hosts: list[HostId]) -> None:
            deleted.extend(hosts)

    def spawn(work: Any) -> None:
        work.close()
        deleted.append("asked")

    ledger = SimpleNamespace(hosts={"m1": silent}, deleted_hosts=set())
    fleet = make_fleet(
        ledger=ledger, cloud=Cloud(), spawn=spawn, may_start=lambda: True,
        settings=SimpleNamespace(list_lag_s=6.0),
        zones=SimpleNamespace(is_lost=lambda _: False),
    )  # fmt: skip
    fleet._take_list([], MonotonicTime(17.0))
    assert not deleted and not silent.deleting
    fleet._take_list([], MonotonicTime(19.0))
    assert deleted == ["asked"] and silent.deleting
    assert "m1" in ledger.hosts  # until the cloud has answered the delete
