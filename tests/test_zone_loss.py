"""Seeded days on which zones are lost, flap and come back: the rules hold, little is wasted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import orjson
import pytest

from dunehold.coordination.fleet.fleet import Fleet
from dunehold.coordination.zones import monitor
from dunehold.coordination.zones.monitor import ZoneMonitor
from dunehold.transport.http import Request
from dunehold.types import (
    UNBOUNDED,
    ZoneCondition,
)
from tests import world as world_module
from tests.test_rules import crashes, simulate
from tests.world import ZONES, World

WELL = ZoneCondition.HEALTHY


async def isolate_zone(world: World, zone: str, seconds: float, mode: str = "hold") -> None:
    """From the other zone, the users, the state service and the cloud."""
    others = [*(other for other in world_module.ZONES if other != zone)]
    others += ["state", "cloud", "users"]
    for other in others:
        world.spawn(world.network.cut_for(zone, other, mode, seconds))
    await asyncio.sleep(seconds)


async def long_zone_loss(world: World) -> None:
    await asyncio.sleep(25.0)
    await isolate_zone(world, ZONES[world.rng.random() < 0.5], 45.0)


async def flapping_zone(world: World) -> None:
    await asyncio.sleep(20.0)
    zone = world.rng.choice(ZONES)
    for _ in range(6):
        await isolate_zone(world, zone, 10.0, world.rng.choice(["hold", "reset"]))
        await asyncio.sleep(10.0)


async def loss_and_crashes(world: World) -> None:
    """Takeovers between any two steps of the loss and of the return."""
    world.spawn(long_zone_loss(world))
    await crashes(world)


async def loss_and_outage(world: World) -> None:
    """The state service is out as the zone is lost, as it returns, or both."""
    world.spawn(long_zone_loss(world))
    for at in world.rng.choice([(22.0,), (66.0,), (22.0, 66.0)]):
        await asyncio.sleep(at - world.now())
        await world.state.outage(10.0)


async def all_zone_machines_fail(world: World) -> None:
    await asyncio.sleep(30.0)
    zone = world.rng.choice(ZONES)
    for name, host in list(world.cloud.cloud.hosts.items()):
        if host.kind.zone == zone and host.up:
            world.cloud.remove_host(name, failed=True)


async def zone_controllers_isolated(world: World) -> None:
    """The controllers of a zone are cut off, its workers are not."""
    await asyncio.sleep(25.0)
    zone = world.rng.choice(ZONES)
    lost = [box for box in world.nodes if ZONES[box.index % 2] == zone]
    everybody = ["state", "cloud", "users", *world.cloud.workers]
    everybody += [box.name for box in world.nodes if box not in lost]
    for box in lost:
        for other in everybody:
            for source in (box.name, f"{box.name}#{box.incarnation}"):
                world.spawn(world.network.cut_for(other, source, "hold", 30.0))


async def spot_notices_in_remaining_zone(world: World) -> None:
    world.spawn(long_zone_loss(world))
    await asyncio.sleep(40.0)
    for name, worker in list(world.cloud.workers.items()):
        if worker.worker.machine.spot and world.rng.random() < 0.6:
            world.spawn(world.cloud.reclaim_host(name, 5.0))


async def one_way_zone_loss(world: World) -> None:
    """What a zone says is not heard outside, though it hears; or the other way round."""
    await asyncio.sleep(25.0)
    zone, others = ZONES[world.rng.random() < 0.5], ["state", "cloud", "users"]
    others += [other for other in world_module.ZONES if other != zone]
    outwards = world.rng.random() < 0.5
    for other in others:
        ends = (zone, other) if outwards else (other, zone)
        world.spawn(world.network.cut_for(*ends, "hold", 45.0, True))


async def delayed_rentals(world: World) -> None:
    """What the cloud was asked for in a zone that is lost by then comes over a minute later."""
    await asyncio.sleep(15.0)
    for box in world.nodes:
        for source in (box.name, f"{box.name}#{box.incarnation}"):
            world.spawn(world.network.cut_for(source, "cloud", "hold", 75.0, True))
    await asyncio.sleep(10.0)
    await isolate_zone(world, ZONES[world.rng.random() < 0.5], 50.0)


ZONE_LOSSES = [
    long_zone_loss,
    flapping_zone,
    loss_and_crashes,
    loss_and_outage,
    all_zone_machines_fail,
    one_way_zone_loss,
    zone_controllers_isolated,
    delayed_rentals,
    spot_notices_in_remaining_zone,
]


@pytest.mark.parametrize("seed", range(200, 203))
@pytest.mark.parametrize("faults", ZONE_LOSSES)
def test_rules_hold_while_a_zone_is_lost(
    faults: Callable[[World], Awaitable[None]], seed: int
) -> None:
    assert simulate(seed, faults, nodes=(3, 5)[seed % 2]).checker.starts > 20


async def two_of_three_zones_lost(world: World) -> None:
    """One zone is lost after the other, and they come back in that order."""
    await asyncio.sleep(20.0)
    first, second = world.rng.sample(world_module.ZONES, 2)
    world.spawn(isolate_zone(world, first, 40.0))
    await asyncio.sleep(15.0)
    await isolate_zone(world, second, 40.0, "reset")


@pytest.mark.parametrize("seed", range(230, 233))
def test_rules_hold_while_two_of_three_zones_are_lost(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(world_module, "ZONES", ("north", "south", "east"))
    assert simulate(seed, two_of_three_zones_lost, nodes=(3, 5)[seed % 2]).checker.starts > 20


class ShortSilentReturn(World):
    """More machines in each zone than the other needs, and work for all of them."""

    def settings(self, index: int):  # type: ignore[no-untyped-def]
        settings = super().settings(index)
        return replace(settings, operator=replace(settings.operator, silent_return_s=12.0))


async def count_rentals_in_lost_zone(world: World) -> None:
    """How many machines are rented into a zone that has been lost for a lease or more."""
    for kind in world.cloud.cloud.capacity:
        world.cloud.cloud.capacity[kind] += 3
    await asyncio.sleep(25.0)
    world.spawn(isolate_zone(world, ZONES[1], 55.0))
    await asyncio.sleep(14.0)
    known_at = world.now()
    seen: set[str] = set()
    while world.now() < known_at + 40.0:
        for name, host in world.cloud.cloud.hosts.items():
            if host.kind.zone == ZONES[1] and host.rented_at > known_at:
                seen.add(name)
        await asyncio.sleep(0.2)
    world.measured = float(len(seen))


def test_nothing_is_rented_into_a_lost_zone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Machines booted where nobody heard them, were returned, and were rented again."""
    monkeypatch.setattr("tests.test_rules.World", ShortSilentReturn)
    seeds = range(210, 213)
    known = [simulate(seed, count_rentals_in_lost_zone, nodes=5).measured for seed in seeds]
    monkeypatch.setattr(ZoneMonitor, "rent_limit", lambda *_: UNBOUNDED)
    monkeypatch.setattr(ZoneMonitor, "rentable", lambda *_: True)
    unknown = [simulate(seed, count_rentals_in_lost_zone, nodes=5).measured for seed in seeds]
    assert sum(known) <= 3, known
    assert sum(unknown) >= 9, unknown


async def leader_lost_during_zone_loss(world: World) -> None:
    world.spawn(count_rentals_in_lost_zone(world))
    await asyncio.sleep(45.0)
    for box in world.nodes:
        if box.node is not None and box.node.leader is not None:
            world.spawn(box.restart(5.0))


def test_the_next_leader_starts_with_what_was_known(monkeypatch: pytest.MonkeyPatch) -> None:
    """It learnt of the lost zone by rentals of its own."""
    monkeypatch.setattr("tests.test_rules.World", ShortSilentReturn)
    known: list[bool] = []
    restore = ZoneMonitor.restore

    def noted(self: ZoneMonitor, found, now) -> None:  # type: ignore[no-untyped-def]
        known.append(any(record.condition == "lost" for record in found.values()))
        restore(self, found, now)

    monkeypatch.setattr(ZoneMonitor, "restore", noted)
    worlds = [simulate(seed, leader_lost_during_zone_loss, nodes=5) for seed in range(210, 213)]
    assert sum(known) >= 3, known
    assert sum(world.measured for world in worlds) <= 3


async def measure_zone_recovery(world: World) -> None:
    """How long after its return a zone is taken to be well."""
    await asyncio.sleep(25.0)
    await isolate_zone(world, ZONES[1], 60.0)
    began = world.now()
    while world.now() < began + 90.0:
        leaders = [n.node.leader for n in world.nodes if n.node is not None and n.node.leader]
        if leaders and all(led.zones.condition(ZONES[1]) is WELL for led in leaders):
            break
        await asyncio.sleep(0.25)
    world.measured = world.now() - began


def test_a_zone_is_used_again_soon_after_its_return(monkeypatch: pytest.MonkeyPatch) -> None:
    """With no machine left there to tell of it, only probes do."""
    monkeypatch.setattr("tests.test_rules.World", ShortSilentReturn)
    seeds = range(220, 223)
    watched = [simulate(seed, measure_zone_recovery, nodes=5).measured for seed in seeds]
    monkeypatch.setattr(monitor, "SENTINELS_PER_ZONE", 0)
    monkeypatch.setattr(Fleet, "_probe_rentals", lambda *_: [])
    monkeypatch.setattr(ZoneMonitor, "poll_peers", lambda _: asyncio.sleep(0))
    blind = [simulate(seed, measure_zone_recovery, nodes=5).measured for seed in seeds]
    assert max(watched) <= 15.0, watched
    assert sum(watched) < 0.7 * sum(blind), (watched, blind)


def test_what_is_served_is_told_for_each_class_and_team() -> None:
    """Whichever node is asked; and nothing that was done is lost from the sums."""
    told: list[dict[str, Any]] = []

    async def ask(world: World) -> None:
        await asyncio.sleep(150.0)
        for box in world.nodes:
            assert box.node is not None
            request = Request("GET", "/peer/served", {}, b"")
            told.append(orjson.loads((await box.node.handle_peer(request)).body))

    world = simulate(1, ask)
    done = sum(state == "done" for state in world.final_phases.values())
    for row in told:
        assert sum(each["done"] for each in row["classes"].values()) >= 0.8 * done > 10
        for group in ("classes", "teams"):
            for each in row[group].values():
                assert 0.0 <= each["share"] <= 1.0 and each["done"] <= each["jobs"]
                assert each["in_time"] <= each["timed"] <= each["done"]
    assert {row["zones"].get("north") for row in told} <= {None, "well"}


async def zone_partition(world: World) -> None:
    """The way between the zones is lost, for longer than silent machines are kept."""
    await asyncio.sleep(30.0)
    await world.network.cut_for(*ZONES, "hold", 45.0)


def test_machines_that_work_on_beyond_a_partition_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They were returned for silence, with the work that a follower there kept alive."""
    monkeypatch.setattr("tests.test_rules.World", ShortSilentReturn)
    monkeypatch.setattr(world_module, "LEASE_S", 14.0)
    seeds = range(240, 244)
    kept = sum(simulate(seed, zone_partition, nodes=5).lost_tasks for seed in seeds)
    monkeypatch.setattr(ZoneMonitor, "is_relayed", lambda *_: False)
    returned = sum(simulate(seed, zone_partition, nodes=5).lost_tasks for seed in seeds)
    assert kept < returned, (kept, returned)


class LargeFleet(World):
    """Some three hundred machines, and work for all of them."""

    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        return job | {"owner": "red", "units": 60, "vcpus": 4.0, "flavours": None, "hall": None}

    def settings(self, index: int):  # type: ignore[no-untyped-def]
        settings = super().settings(index)
        return replace(settings, state_write_rps=120.0, cloud_rps=10.0)


async def large_zone_returns(world: World) -> None:
    """How much room is in use again a boot time and 20 s after the return, of what was."""
    for kind in world.cloud.cloud.capacity:
        world.cloud.cloud.capacity[kind] += 70 if kind.machine_type == "small" else 0
    await asyncio.sleep(40.0)
    before = sum(bool(w.worker.tasks) for w in world.cloud.workers.values())
    assert before > 200, before
    await isolate_zone(world, ZONES[1], 50.0)
    await asyncio.sleep(28.0)
    world.machines_kept = (
        sum(bool(w.worker.tasks) for w in world.cloud.workers.values()) / before
    )


def test_a_zone_returns_with_hundreds_of_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Their caches are full, and they report results that nobody has heard."""
    monkeypatch.setattr("tests.test_rules.World", LargeFleet)
    monkeypatch.setattr("tests.test_rules.BUSY_S", 110.0)
    monkeypatch.setattr("tests.test_rules.END_S", 130.0)
    world = simulate(250, large_zone_returns, nodes=5)
    assert world.machines_kept > 0.8, world.machines_kept


async def partition_with_leader_in_smaller_zone(world: World) -> None:
    """How many tasks begin in the larger zone from 15 s after the partition to its end."""
    larger, smaller = ZONES
    for kind in world.cloud.cloud.capacity:
        world.cloud.cloud.capacity[kind] += 12 if kind.zone == larger else -1
    await asyncio.sleep(20.0)
    for box in world.nodes[::2]:  # those of the larger zone
        world.spawn(box.restart(6.0))
    await asyncio.sleep(20.0)
    world.spawn(world.network.cut_for(larger, smaller, "hold", 45.0))
    await asyncio.sleep(15.0)
    began: set[str] = set()
    seen: set[str] = set()
    until = world.now() + 30.0
    first = True
    while world.now() < until:
        for agent in world.cloud.workers.values():
            if agent.worker.machine.zone == larger:
                began |= {f"{key}" for key in agent.worker.tasks} - seen
        if first:
            seen, began, first = began, set(), False
        await asyncio.sleep(0.5)
    world.measured = float(len(began - seen))
    world.leader_count = sum(
        n.node is not None and n.node.leader is not None for n in world.nodes[::2]
    )


def test_the_lead_goes_to_the_larger_side_of_a_partition(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The smaller side kept it, and the larger one started nothing for as long as it lasted."""
    seeds = (267, 268, 271)  # days on which the leader is in the smaller zone by then
    day = partition_with_leader_in_smaller_zone
    yielded = [simulate(seed, day, nodes=5) for seed in seeds]
    assert all(world.leader_count for world in yielded)
    monkeypatch.setattr(ZoneMonitor, "preferred_leader_zone", lambda *_: None)
    kept = [simulate(seed, day, nodes=5) for seed in seeds]
    assert not any(world.leader_count for world in kept)
    assert sum(w.measured for w in kept) < 0.2 * sum(w.measured for w in yielded)


async def leader_changes_during_a_partition(world: World) -> None:
    """The next leader never hears the other zone, whose workers a follower there feeds with the
    new leader's token, for longer than any lease of the leader before can last."""
    for kind in world.cloud.cloud.capacity:
        world.cloud.cloud.capacity[kind] += 4
    await asyncio.sleep(30.0)
    world.spawn(world.network.cut_for(*ZONES, "hold", 60.0))
    await asyncio.sleep(5.0)
    for box in world.nodes:
        if box.node is not None and box.node.leader is not None:
            world.spawn(box.restart(8.0))


class LongRunningTasks(World):
    """Tasks that still run when a lease that nobody fed would be over."""

    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        return job | {"real_s": 70.0, "expect_s": 70.0, "units": 4, "broken": False}


@pytest.mark.parametrize("seed", range(270, 274))
def test_what_is_fed_beyond_a_partition_is_not_counted_out_by_the_next_leader(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """A task ran twice: the lease of a machine that the next leader had never heard was taken
    to be over, by the leader before, while a follower went on feeding it for the new one."""
    monkeypatch.setattr("tests.test_rules.World", LongRunningTasks)
    assert simulate(seed, leader_changes_during_a_partition, nodes=5).checker.starts > 20
