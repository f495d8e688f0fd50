"""A zone that is lost and comes back: judged rightly, rented by, and nothing run twice."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunehold.bookkeeping.hosts import Run
from dunehold.bookkeeping.records import JobRecord
from dunehold.coordination.fleet.fleet import Fleet
from dunehold.coordination.picture import guarantees
from dunehold.coordination.picture.health import Health
from dunehold.coordination.picture.offers import Offer, demands_of
from dunehold.coordination.picture.progress import JobProgress
from dunehold.coordination.zones import watch
from dunehold.coordination.zones.evacuation import Urgency, urgency
from dunehold.coordination.zones.health import Condition, Evidence, Kind, ZoneHealth
from dunehold.coordination.zones.shares import fair_shares
from dunehold.coordination.zones.watch import ZoneWatch
from dunehold.protocol.users import JobSpec, decode_job_object
from dunehold.settings import TeamSettings
from dunehold.transport.http import Request
from dunehold.types import (
    MANY,
    NO_ROOM,
    Attempt,
    AttemptId,
    HostId,
    Image,
    JobId,
    JobPhase,
    MonotonicTime,
    Revision,
    Room,
    TaskId,
    Team,
    TypeName,
    WallTime,
    Zone,
)
from tests import world as world_module
from tests.test_protocol import JOB
from tests.test_rules import crashes, play
from tests.world import ZONES, World

WELL, DOUBTFUL = Condition.WELL, Condition.DOUBTFUL
LOST, RETURNING = Condition.LOST, Condition.RETURNING
HERE = (Kind(10, 10), Kind(4, 4))
SILENT = (Kind(10, 0), Kind(4, 1))


def after(*seen: tuple[float, Evidence], health: ZoneHealth | None = None) -> ZoneHealth:
    health = health or ZoneHealth(confirm_s=2.0, trust_s=4.0)
    for at, one in seen:
        health.step(one, MonotonicTime(at))
    return health


def test_a_zone_is_lost_once_every_kind_of_machine_there_is_silent_for_a_while() -> None:
    seen = Evidence(SILENT, others_heard=True, controllers=2)
    assert after((0.0, seen)).condition is DOUBTFUL
    assert after((0.0, seen), (1.5, seen)).condition is DOUBTFUL
    assert after((0.0, seen), (2.0, seen)).condition is LOST


@pytest.mark.parametrize(
    "seen",
    [
        Evidence((Kind(10, 0), Kind(4, 4)), True, 2),  # one dead type, or a spot wave
        Evidence(SILENT, False, 2),  # whoever hears nobody may be cut off itself
        Evidence((Kind(10, 0),), True, 2, reached=2),  # one kind, and controllers answer
        Evidence((Kind(10, 0),), True, 2),  # nobody was asked yet
        Evidence((), True, 2, reached=0),  # nothing was ever there
    ],
)
def test_what_does_not_show_that_a_zone_is_lost(seen: Evidence) -> None:
    steps = [(step * 0.5, seen) for step in range(100)]
    assert after(*steps).condition in (WELL, DOUBTFUL)


def test_a_zone_that_flaps_is_trusted_ever_more_slowly() -> None:
    lost, back = Evidence(SILENT, True, 2), Evidence(HERE, True, 2)
    health, now, waited = ZoneHealth(2.0, 4.0), 0.0, []
    for _ in range(5):
        while health.condition is not LOST:
            now += 0.5
            health.step(lost, MonotonicTime(now))
        now += 0.5
        health.step(back, MonotonicTime(now))
        assert health.condition is RETURNING
        began = now
        waited.append(health.patience_s)
        now += waited[-1] * 0.9
        health.step(back, MonotonicTime(now))
        assert health.condition is RETURNING, now - began
    assert waited == [4.0, 8.0, 16.0, 32.0, 64.0]
    assert after((now + 200.0, back), health=health).condition is WELL
    assert after((now + 900.0, back), health=health).flaps == 0


EVIDENCE = st.builds(
    Evidence,
    st.lists(
        st.integers(1, 9).flatmap(lambda n: st.builds(Kind, st.just(n), st.integers(0, n))),
        max_size=3,
    ).map(tuple),
    st.booleans(),
    st.integers(0, 2),
    st.sampled_from([None, 0, 1]),
)


@given(st.lists(st.tuples(st.floats(0.1, 9.0), EVIDENCE), max_size=60))
def test_no_evidence_leads_a_zone_astray(story: list[tuple[float, Evidence]]) -> None:
    health, now, doubtful_at = ZoneHealth(2.0, 4.0), 0.0, 0.0
    for gap, seen in story:
        now += gap
        before = health.condition
        health.step(seen, MonotonicTime(now))
        if before is WELL:
            assert health.condition in (WELL, DOUBTFUL)
            doubtful_at = now
        if before is DOUBTFUL and health.condition is LOST:
            assert now - doubtful_at >= 2.0 and seen.others_heard and seen.silent
        if before is LOST:
            assert health.condition in (LOST, RETURNING)
            assert health.condition is LOST or seen.heard or seen.reached
        if before is RETURNING and health.condition is WELL:
            assert seen.heard > 0
        assert health.patience_s <= 120.0


WANTS = st.dictionaries(st.sampled_from("abcdef"), st.floats(0.0, 1000.0), max_size=6)


WEIGHTS = st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 1000), max_size=6)


@given(st.floats(0.0, 3000.0), WANTS, WEIGHTS)
def test_shares_are_as_even_by_weight_as_wants_allow(
    room: float, wants: dict[str, float], weights: dict[str, int]
) -> None:
    shares = fair_shares(room, wants, weights)
    assert sum(shares.values()) <= room + 1e-6
    assert sum(shares.values()) >= min(room, sum(wants.values())) - 1e-6  # nothing is wasted
    for key, share in shares.items():
        assert -1e-9 <= share <= wants[key] + 1e-6
        weight = weights.get(key, 0.0)
        if weight > 0 and share < wants[key] - 1e-6:
            for other, its in shares.items():
                if weights.get(other, 0.0) > 0:
                    assert its / weights[other] <= share / weight + 1e-6 * (1 + its / weight)
                else:
                    assert its <= 1e-6


def test_services_without_replicas_go_first() -> None:
    assert urgency(True, 4, 0) is Urgency.DOWN
    assert urgency(True, 4, 1) is Urgency.THIN
    assert urgency(True, 4, 2) is urgency(False, 4, 0) is Urgency.PLAIN
    assert urgency(True, 1, 1) is Urgency.PLAIN


# -- seeded worlds ------------------------------------------------------------------------


async def cut_off(world: World, zone: str, seconds: float, mode: str = "hold") -> None:
    """From the other zone, the users, the state service and the cloud."""
    others = [*(other for other in world_module.ZONES if other != zone)]
    others += ["state", "cloud", "users"]
    for other in others:
        world.spawn(world.network.for_a_while(zone, other, mode, seconds))
    await asyncio.sleep(seconds)


async def long_loss(world: World) -> None:
    await asyncio.sleep(25.0)
    await cut_off(world, ZONES[world.rng.random() < 0.5], 45.0)


async def flapping(world: World) -> None:
    await asyncio.sleep(20.0)
    zone = world.rng.choice(ZONES)
    for _ in range(6):
        await cut_off(world, zone, 10.0, world.rng.choice(["hold", "reset"]))
        await asyncio.sleep(10.0)


async def loss_and_crashes(world: World) -> None:
    """Takeovers between any two steps of the loss and of the return."""
    world.spawn(long_loss(world))
    await crashes(world)


async def loss_and_outage(world: World) -> None:
    """The state service is out as the zone is lost, as it returns, or both."""
    world.spawn(long_loss(world))
    for at in world.rng.choice([(22.0,), (66.0,), (22.0, 66.0)]):
        await asyncio.sleep(at - world.now())
        await world.state.outage(10.0)


async def all_machines_die(world: World) -> None:
    await asyncio.sleep(30.0)
    zone = world.rng.choice(ZONES)
    for name, host in list(world.cloud.cloud.hosts.items()):
        if host.kind.hall == zone and host.up:
            world.cloud.remove(name, failed=True)


async def only_controllers(world: World) -> None:
    """The controllers of a zone are cut off, its workers are not."""
    await asyncio.sleep(25.0)
    zone = world.rng.choice(ZONES)
    lost = [box for box in world.nodes if ZONES[box.index % 2] == zone]
    everybody = ["state", "cloud", "users", *world.cloud.workers]
    everybody += [box.name for box in world.nodes if box not in lost]
    for box in lost:
        for other in everybody:
            for source in (box.name, f"{box.name}#{box.life}"):
                world.spawn(world.network.for_a_while(other, source, "hold", 30.0))


async def spot_wave_in_what_is_left(world: World) -> None:
    world.spawn(long_loss(world))
    await asyncio.sleep(40.0)
    for name, worker in list(world.cloud.workers.items()):
        if worker.worker.machine.loaner and world.rng.random() < 0.6:
            world.spawn(world.cloud.take_back(name, 5.0))


LOSSES = [
    long_loss, flapping, loss_and_crashes, loss_and_outage, all_machines_die,
    only_controllers, spot_wave_in_what_is_left,
]  # fmt: skip


@pytest.mark.parametrize("seed", range(200, 203))
@pytest.mark.parametrize("faults", LOSSES)
def test_rules_hold_while_a_zone_is_lost(
    faults: Callable[[World], Awaitable[None]], seed: int
) -> None:
    assert play(seed, faults, nodes=(3, 5)[seed % 2]).checker.starts > 20


async def two_of_three(world: World) -> None:
    """One zone is lost after the other, and they come back in that order."""
    await asyncio.sleep(20.0)
    first, second = world.rng.sample(world_module.ZONES, 2)
    world.spawn(cut_off(world, first, 40.0))
    await asyncio.sleep(15.0)
    await cut_off(world, second, 40.0, "reset")


@pytest.mark.parametrize("seed", range(230, 233))
def test_rules_hold_while_two_of_three_zones_are_lost(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(world_module, "ZONES", ("north", "south", "east"))
    assert play(seed, two_of_three, nodes=(3, 5)[seed % 2]).checker.starts > 20


class Crowded(World):
    """More machines in each zone than the other needs, and work for all of them."""

    def settings(self, index: int):  # type: ignore[no-untyped-def]
        settings = super().settings(index)
        return replace(settings, operator=replace(settings.operator, silent_return_s=12.0))


async def counted_loss(world: World) -> None:
    """How many machines are rented into a zone that has been lost for a lease or more."""
    for kind in world.cloud.cloud.capacity:
        world.cloud.cloud.capacity[kind] += 3
    await asyncio.sleep(25.0)
    world.spawn(cut_off(world, ZONES[1], 55.0))
    await asyncio.sleep(14.0)
    known_at = world.now()
    seen: set[str] = set()
    while world.now() < known_at + 40.0:
        for name, host in world.cloud.cloud.hosts.items():
            if host.kind.hall == ZONES[1] and host.rented_at > known_at:
                seen.add(name)
        await asyncio.sleep(0.2)
    world.waited = float(len(seen))


def test_nothing_is_rented_into_a_lost_zone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Machines booted where nobody heard them, were returned, and were rented again."""
    monkeypatch.setattr("tests.test_rules.World", Crowded)
    seeds = range(210, 213)
    known = [play(seed, counted_loss, nodes=5).waited for seed in seeds]
    monkeypatch.setattr(ZoneWatch, "may_rent", lambda *_: MANY)
    monkeypatch.setattr(ZoneWatch, "rentable", lambda *_: True)
    unknown = [play(seed, counted_loss, nodes=5).waited for seed in seeds]
    assert sum(known) <= 3, known
    assert sum(unknown) >= 9, unknown


async def leader_lost_meanwhile(world: World) -> None:
    world.spawn(counted_loss(world))
    await asyncio.sleep(45.0)
    for box in world.nodes:
        if box.node is not None and box.node.leader is not None:
            world.spawn(box.restart(5.0))


def test_the_next_leader_starts_with_what_was_known(monkeypatch: pytest.MonkeyPatch) -> None:
    """It learnt of the lost zone by rentals of its own."""
    monkeypatch.setattr("tests.test_rules.World", Crowded)
    known: list[bool] = []
    restore = ZoneWatch.restore

    def noted(self: ZoneWatch, found, now) -> None:  # type: ignore[no-untyped-def]
        known.append(any(record.condition == "lost" for record in found.values()))
        restore(self, found, now)

    monkeypatch.setattr(ZoneWatch, "restore", noted)
    worlds = [play(seed, leader_lost_meanwhile, nodes=5) for seed in range(210, 213)]
    assert sum(known) >= 3, known
    assert sum(world.waited for world in worlds) <= 3


async def loss_and_return(world: World) -> None:
    """How long after its return a zone is taken to be well."""
    await asyncio.sleep(25.0)
    await cut_off(world, ZONES[1], 60.0)
    began = world.now()
    while world.now() < began + 90.0:
        leaders = [n.node.leader for n in world.nodes if n.node is not None and n.node.leader]
        if leaders and all(led.zones.condition(ZONES[1]) is WELL for led in leaders):
            break
        await asyncio.sleep(0.25)
    world.waited = world.now() - began


def test_a_zone_is_used_again_soon_after_its_return(monkeypatch: pytest.MonkeyPatch) -> None:
    """With no machine left there to tell of it, only probes do."""
    monkeypatch.setattr("tests.test_rules.World", Crowded)
    seeds = range(220, 223)
    watched = [play(seed, loss_and_return, nodes=5).waited for seed in seeds]
    monkeypatch.setattr(watch, "WATCHERS", 0)
    monkeypatch.setattr(Fleet, "_probes", lambda *_: [])
    monkeypatch.setattr(ZoneWatch, "ask", lambda _: asyncio.sleep(0))
    blind = [play(seed, loss_and_return, nodes=5).waited for seed in seeds]
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

    world = play(1, ask)
    done = sum(state == "done" for state in world.told.values())
    for row in told:
        assert sum(each["done"] for each in row["classes"].values()) >= 0.8 * done > 10
        for group in ("classes", "teams"):
            for each in row[group].values():
                assert 0.0 <= each["share"] <= 1.0 and each["done"] <= each["jobs"]
                assert each["in_time"] <= each["timed"] <= each["done"]
    assert {row["zones"].get("north") for row in told} <= {None, "well"}


def test_too_little_room_is_promised_by_guarantee_and_stops_nothing() -> None:
    """Half the room is left: each team's first jobs go first, as far as its share."""
    teams = {
        Team(name): TeamSettings(Team(name), Room(cpus, 0.0, 1e9), None, None)
        for name, cpus in (("blue", 48.0), ("red", 16.0))
    }
    records, jobs = {}, {}
    for number in range(20):
        owner = "blue" if number % 2 else "red"
        row = JOB | {
            "uid": f"job-{number:06d}",
            "owner": owner,
            "vcpus": 4.0,
            "gpus": 0.0,
            "units": 1,
        }
        spec = decode_job_object(row | {"together": False})
        at = WallTime(float(number))
        records[spec.id] = JobRecord(spec.id, JobPhase.ACTIVE, Revision(1), at, spec, 1)
        jobs[spec.id] = JobProgress(spec, {0})
    ledger: Any = SimpleNamespace(
        view=SimpleNamespace(active=records), by_job={}, present={}, team_use=lambda _: NO_ROOM
    )
    settings: Any = SimpleNamespace(teams=teams)

    def first(room: float | None) -> tuple[int, int]:
        found = guarantees.within(settings, ledger, Health(2), jobs, room)
        blue = sum(records[job].spec.team == "blue" for job in found)  # type: ignore[union-attr]
        return blue, len(found) - blue

    assert first(None) == (10, 4)  # 40 CPUs are asked for of 48, 16 of 16
    assert first(28.0) == (5, 1)  # by 3 to 1: 21 and 7
    assert first(100.0) == (10, 4)
    busy = [Run(AttemptId(TaskId(job, 0), Attempt(n)), HostId("m"), spec_of(records[job]).team,
                spec_of(records[job]).need, Image("i"), 1.0, MonotonicTime(n))
            for n, job in enumerate(records)]  # fmt: skip
    use = {team: Room(40.0, 0.0, 0.0) for team in teams}
    ledger.present, ledger.team_use = {run.id.task: [run] for run in busy}, use.get
    beyond = guarantees.borrowed(settings, ledger)
    assert {run.team for run in busy if run.id in beyond} == {"red"} and len(beyond) == 6


def test_what_lies_within_a_guarantee_is_not_stopped_because_it_began_last() -> None:
    """Its room was cleared for another team, and taken by it again, half a second later."""
    teams = {Team("red"): TeamSettings(Team("red"), Room(16.0, 0.0, 1e9), None, None)}
    runs = [
        Run(AttemptId(TaskId(JobId(job), n), Attempt(n)), HostId("m"), Team("red"),
            Room(4.0, 0.0, 1.0), Image("i"), 1.0, MonotonicTime(float(n)))
        for n, job in enumerate(["later"] * 4 + ["first"] * 3)
    ]  # fmt: skip
    use = Room(28.0, 0.0, 7.0)
    ledger: Any = SimpleNamespace(
        present={run.id.task: [run] for run in runs}, team_use=lambda _: use
    )
    settings: Any = SimpleNamespace(teams=teams)

    def jobs(guaranteed: set[JobId]) -> list[JobId]:
        beyond = guarantees.borrowed(settings, ledger, guaranteed)
        return [run.id.task.job for run in runs if run.id in beyond]

    assert jobs(set()) == ["first"] * 3
    assert jobs({JobId("first")}) == ["later"] * 3


def spec_of(record: JobRecord) -> JobSpec:
    assert record.spec is not None
    return record.spec


def test_machines_are_rented_for_tasks_that_may_run_there() -> None:
    """With one zone lost, the other's machines stood idle for replicas bound to the first."""
    row = JOB | {"units": 9, "together": False, "spread": True, "flavours": None, "hall": None}
    spec = decode_job_object(row)
    north, south = Zone("north"), Zone("south")

    def asked(row: dict[str, Any], tasks: int, placed: dict[Zone, int], *usable: Zone):  # type: ignore[no-untyped-def]
        found = demands_of(decode_job_object(row), tasks, 9.0, placed, usable)
        return {
            zone: sum(d.tasks for d in found if d.allowed(Offer(TypeName("t"), zone, False)))
            for zone in (north, south)
        }

    assert spec.spread
    assert asked(row, 9, {}, north, south) == {north: 5, south: 4}
    assert asked(row, 6, {north: 3}, north, south) == {north: 2, south: 4}
    assert asked(row, 9, {}, north) == {north: 5, south: 0}
    assert asked(row, 4, {north: 5}, north) == {north: 0, south: 0}
    assert asked(row, 4, {north: 5}, north, south) == {north: 0, south: 4}
    together = row | {"spread": False, "together": True}
    assert asked(together, 3, {south: 6}, north) == {north: 0, south: 3}
    bound = row | {"spread": False, "hall": "south"}
    assert asked(bound, 9, {}, north) == {north: 0, south: 0}
