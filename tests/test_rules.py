"""Seeded simulations in which the protocol's rules must hold under single and combined faults.

Several tests run the same faults again with a safeguard patched out, and expect that a rule
breaks or that the measured result gets worse: this shows that the simulation would notice.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from dunehold.bookkeeping.ledger import Ledger
from dunehold.coordination.election.connectivity import Connectivity
from dunehold.coordination.election.relay import Relay
from dunehold.coordination.node import Node
from dunehold.coordination.term.leader import Leader
from dunehold.emulator.model.cloud import BootProfile
from dunehold.settings import Settings
from tests import world as world_module
from tests.virtual_time import run_on_virtual_time
from tests.world import ZONES, NodeProcess, RuleBroken, World

BUSY_S = 90.0  # jobs arrive until then
END_S = 240.0  # the simulation ends then


def simulate(
    seed: int,
    faults: Callable[[World], Awaitable[None]],
    tamper: Callable[[Node], None] | None = None,
    nodes: int = 3,
) -> World:
    """Run a world with these faults to its end, on a new event loop, and return it.

    Raises RuleBroken if a rule is broken.
    """

    async def run_world() -> World:
        world = World(seed, tamper, nodes)
        await world.run(faults, BUSY_S, END_S)
        return world

    try:
        return run_on_virtual_time(run_world)
    finally:
        gc.collect()


async def no_faults(world: World) -> None:
    pass


async def crashes(world: World) -> None:
    """Crash one to three random controllers at once, four times; each restarts in seconds."""
    for _ in range(4):
        await asyncio.sleep(world.rng.uniform(8.0, 22.0))
        count = world.rng.choice([1, 1, 2, 3])
        for node in world.rng.sample(world.nodes, count):
            world.spawn(node.restart(world.rng.uniform(2.0, 6.0)))


async def cuts(world: World) -> None:
    """Cut one machine from all controllers, or the two zones from each other, four times."""
    for _ in range(4):
        await asyncio.sleep(world.rng.uniform(6.0, 15.0))
        mode = world.rng.choice(["hold", "reset"])
        seconds = world.rng.uniform(5.0, 30.0)
        if world.rng.random() < 0.5 and world.cloud.workers:
            name = world.rng.choice(list(world.cloud.workers))
            for node in world.nodes:
                world.spawn(world.network.cut_for(name, node.name, mode, seconds))
                source = f"{node.name}#{node.incarnation}"
                world.spawn(world.network.cut_for(name, source, mode, seconds))
        else:
            await world.network.cut_for(*ZONES, mode, seconds)


async def outages(world: World) -> None:
    """Let the state service fail for all nodes, or refuse one node alone, three times."""
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(8.0, 20.0))
        seconds = world.rng.uniform(3.0, 40.0)
        if world.rng.random() < 0.5:
            await world.state.outage(seconds)
        else:
            await world.state.refuse_node(world.rng.choice(world.nodes).name, seconds)


async def machine_failures(world: World) -> None:
    """Let machines hang, fail, fail every task, or be reclaimed, six times.

    Spot machines are reclaimed one at a time with a notice, or many at once without one.
    """
    for _ in range(6):
        await asyncio.sleep(world.rng.uniform(5.0, 15.0))
        names = list(world.cloud.workers)
        if not names:
            continue
        name = world.rng.choice(names)
        worker = world.cloud.workers[name]
        fault = world.rng.choice(["hang", "die", "sick", "wave", "notice"])
        if fault == "hang":
            with worker.modify() as model:
                model.hang(world.now(), world.rng.uniform(3.0, 25.0))
        elif fault == "die":
            world.cloud.remove_host(name, failed=True)
        elif fault == "sick":
            worker.worker.faulty = True
        elif fault == "notice":
            world.spawn(world.cloud.reclaim_host(name, world.rng.uniform(1.0, 15.0)))
        else:
            for other in names:
                spot = world.cloud.workers[other].worker.machine.spot
                if spot and world.rng.random() < 0.5:
                    world.cloud.remove_host(other)


def leader_or_any(world: World) -> NodeProcess:
    """Draw the leader with a probability of 0.6 if there is one, else any controller."""
    leading = [n for n in world.nodes if n.node is not None and n.node.leader is not None]
    return world.rng.choice(leading if leading and world.rng.random() < 0.6 else world.nodes)


async def controller_stalls(world: World) -> None:
    """Stall a controller, mostly the leader, while its clock continues, six times."""
    for _ in range(6):
        await asyncio.sleep(world.rng.uniform(4.0, 14.0))
        leader_or_any(world).stall(world.rng.choice([1.0, 2.5, 4.0, 8.0, 30.0]))


async def connection_losses(world: World) -> None:
    """Cut a controller from the state service, the cloud, its peers, the workers, or all."""
    rng = world.rng
    for _ in range(4):
        await asyncio.sleep(rng.uniform(5.0, 15.0))
        process = leader_or_any(world)
        names = {
            "state": ["state"],
            "cloud": ["cloud"],
            "peers": [n.name for n in world.nodes if n is not process],
            "workers": list(world.cloud.workers),
        }
        all_names = [name for group in names.values() for name in group]
        lost = rng.choice([*names, *names, "all"])
        mode = rng.choice(["hold", "reset", "refuse"])
        seconds = rng.uniform(4.0, 50.0)
        for other in all_names if lost == "all" else names[lost]:
            for source in (process.name, f"{process.name}#{process.incarnation}"):
                world.spawn(world.network.cut_for(other, source, mode, seconds))


async def long_absences(world: World) -> None:
    """Crash a controller, mostly the leader, for 50 to 90 s, twice."""
    for _ in range(2):
        await asyncio.sleep(world.rng.uniform(8.0, 25.0))
        world.spawn(leader_or_any(world).restart(world.rng.uniform(50.0, 90.0)))


async def boot_failures(world: World) -> None:
    """Let machines boot at once, late or never, while the cloud's list lags by 3 to 6 s."""
    cloud = world.cloud.cloud
    cloud.list_lag_s = 3.0
    while True:
        never_share = world.rng.choice([0.0, 0.3, 0.8])
        cloud.boot_profile = world.rng.choice(
            [
                BootProfile(never_share, immediate_share=1.0),
                BootProfile(never_share, late_share=0.6, late_factor=5.0),
                BootProfile(never_share),
            ]
        )
        await asyncio.sleep(world.rng.uniform(10.0, 25.0))


async def guest_load(world: World) -> None:
    """Add jobs with many tasks of idle priority, broken jobs, and times of frequent polls."""
    world.guest_share, world.broken_share = 0.3, 0.2
    while True:
        world.users.poll_s = world.rng.choice([5.0, 0.6])
        await asyncio.sleep(10.0)


async def all_faults(world: World) -> None:
    """Run crashes, cuts, outages and machine failures at the same time."""
    for fault in (crashes, cuts, outages, machine_failures):
        world.spawn(fault(world))


async def mixed_faults(world: World) -> None:
    """Run three of the faults that operators have reported and two basic ones at once."""
    reported = [controller_stalls, connection_losses, long_absences, boot_failures, guest_load]
    basic = [crashes, cuts, outages, machine_failures]
    for fault in [*world.rng.sample(reported, 3), *world.rng.sample(basic, 2)]:
        world.spawn(fault(world))


@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_end_when_there_are_no_faults(seed: int) -> None:
    world = simulate(seed, no_faults)
    batch = [job["uid"] for job in world.job_rows if job["shape"] == "batch"]
    ended = [uid for uid in batch if world.final_phases.get(uid) in ("done", "cancelled")]
    assert len(ended) >= 0.9 * len(batch)
    # Users ask random nodes: followers, too, must say that a job is running.
    assert world.users.seen_running > 10


@pytest.mark.parametrize("seed", range(10, 14))
@pytest.mark.parametrize("faults", [crashes, cuts, outages, machine_failures])
def test_rules_hold_under_one_kind_of_fault(
    faults: Callable[[World], Awaitable[None]], seed: int
) -> None:
    world = simulate(seed, faults)
    assert world.checker.starts > 20


@pytest.mark.parametrize("seed", range(30, 38))
def test_rules_hold_under_all_basic_faults_at_once(seed: int) -> None:
    assert simulate(seed, all_faults, nodes=(3, 5, 7)[seed % 3]).checker.starts > 5


@pytest.mark.parametrize("seed", range(60, 63))
@pytest.mark.parametrize(
    "faults", [controller_stalls, connection_losses, long_absences, boot_failures, guest_load]
)
def test_rules_hold_under_one_kind_of_reported_fault(
    faults: Callable[[World], Awaitable[None]], seed: int
) -> None:
    assert simulate(seed, faults, nodes=(3, 5)[seed % 2]).checker.starts > 20


@pytest.mark.parametrize("seed", range(80, 92))
def test_rules_hold_under_reported_and_basic_faults_at_once(seed: int) -> None:
    assert simulate(seed, mixed_faults, nodes=(3, 5, 7)[seed % 3]).checker.starts > 5


async def long_cuts(world: World) -> None:
    """Cut the zones from each other twice, each time for longer than a worker's lease."""
    for mode in ("hold", "reset"):
        await asyncio.sleep(20.0)
        await world.network.cut_for(*ZONES, mode, 22.0)


def test_a_relay_renews_leases_of_workers_that_are_cut_from_the_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the loss of all tasks beyond a cut that lasts longer than a lease.

    Without a relay in their zone these workers get no answer from the leader, and their leases
    expire.
    """
    monkeypatch.setattr(world_module, "LEASE_S", 14.0)
    killed = {"with relay": 0, "without": 0}
    for seed in range(40, 44):
        killed["with relay"] += simulate(seed, long_cuts, nodes=5).killed_tasks
    monkeypatch.setattr(Relay, "answer", lambda *_: None)
    for seed in range(40, 44):
        killed["without"] += simulate(seed, long_cuts, nodes=5).killed_tasks
    assert killed["without"] >= 4
    assert killed["with relay"] < killed["without"] / 2, killed


async def leader_cut_from_workers(world: World) -> None:
    """Cut the leader from all workers for 60 s, and from nothing else."""
    await asyncio.sleep(30.0)
    name = next(n.name for n in world.nodes if n.node is not None and n.node.leader)
    cut: set[str] = set()
    for _ in range(40):
        for worker in sorted(set(world.cloud.workers) - cut):
            cut.add(worker)
            for source in (name, *(f"{name}#{number}" for number in range(3))):
                world.spawn(world.network.cut_for(worker, source, "hold", 60.0))
        await asyncio.sleep(0.5)
    leading = [n.name for n in world.nodes if n.node is not None and n.node.leader]
    if not leading or leading == [name]:
        world.breaches.append(f"led by {leading}, but another node than {name} should lead")


def test_a_leader_that_hears_no_worker_steps_down() -> None:
    """Guards against a leader that keeps the leader lease while it can't reach any worker.

    No other node could lead meanwhile, and the lease of every worker would expire.
    """
    assert simulate(50, leader_cut_from_workers, nodes=5).checker.starts > 20


def test_a_ledger_that_expires_leases_too_early_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the simulation notices a ledger that takes a silent machine for a lost one.

    The patched ledger expires a worker's lease after 3 s of silence instead of ``LEASE_S``.
    """

    def expires_early(self: Ledger, host: object, now: float) -> bool:
        renewed_at = getattr(host, "lease_renewed_at", None)
        return renewed_at is not None and now > renewed_at + 3.0

    monkeypatch.setattr(Ledger, "_lease_expired", expires_early)
    with pytest.raises(RuleBroken, match=r"ran_twice|quota"):
        for seed in range(10, 16):
            simulate(seed, cuts)


class NoIdleReturns(World):
    """Returns no idle machines, so that every machine that goes was returned as silent."""

    def settings(self, index: int) -> Settings:
        settings = super().settings(index)
        return replace(settings, operator=replace(settings.operator, idle_return_s=1e4))


async def long_outage(world: World) -> None:
    """An outage of 60 s of the state service; measures the share of machines that are kept."""
    await asyncio.sleep(40.0)
    before = set(world.cloud.workers)
    await world.state.outage(60.0)
    await asyncio.sleep(8.0)
    world.machines_kept = len(before & set(world.cloud.workers)) / max(1, len(before))


def test_a_leader_returns_no_machines_for_silence_during_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that returns its whole fleet as silent after an outage.

    During an outage of the state service, or a stall of its process, the leader accepts no
    reports, so that every machine seems to have been silent.
    """
    monkeypatch.setattr("tests.test_rules.World", NoIdleReturns)
    assert min(simulate(seed, long_outage).machines_kept for seed in range(90, 93)) > 0.8
    monkeypatch.setattr(Leader, "_detect_stall", lambda *_: None)
    assert min(simulate(seed, long_outage).machines_kept for seed in range(90, 93)) < 0.7


async def spot_notices(world: World) -> None:
    """Reclaim a random machine every 5 s, with a notice of 6 s."""
    while world.now() < BUSY_S:
        await asyncio.sleep(5.0)
        names = [name for name, w in world.cloud.workers.items() if w.worker.reclaim_at is None]
        if names:
            world.spawn(world.cloud.reclaim_host(world.rng.choice(names), 6.0))


def test_tasks_are_evacuated_from_reclaimed_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against tasks that run on until the cloud takes their machine.

    They are lost, and can't start elsewhere until the machine's worker lease has expired.
    """
    evacuated = sum(simulate(seed, spot_notices).lost_tasks for seed in range(95, 98))
    monkeypatch.setattr(Leader, "_evacuate", lambda *_: None)
    ignored = sum(simulate(seed, spot_notices).lost_tasks for seed in range(95, 98))
    assert evacuated < ignored / 2, (evacuated, ignored)


async def whole_fleet_lost(world: World) -> None:
    """Let every machine fail at once, booting ones too, while the cloud's list shows them.

    Measures the time until a new machine is up, and how many nodes led meanwhile.
    """
    await asyncio.sleep(40.0)
    for name in list(world.cloud.cloud.hosts):
        world.cloud.remove_host(name, failed=True)
    for kind in world.cloud.cloud.capacity:
        world.cloud.cloud.capacity[kind] += 3
    began, leaders = world.now(), set()
    while not world.cloud.workers:
        await asyncio.sleep(0.1)
        leaders |= {n.name for n in world.nodes if n.node is not None and n.node.leader}
    world.measured = world.now() - began
    world.leader_count = len(leaders)


def test_a_leader_replaces_a_lost_fleet_instead_of_stepping_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against leadership that passes from node to node while the whole fleet is lost.

    Each leader hears no worker and steps down, as if it alone were cut off, and none leads for
    long enough to rent new machines. ``workers_silent`` tells a leader that nobody hears them.
    """
    guarded = [simulate(seed, whole_fleet_lost, nodes=5) for seed in range(55, 60)]

    async def never(self: Node) -> bool:
        return False

    monkeypatch.setattr(Connectivity, "workers_silent", never)
    unguarded = [simulate(seed, whole_fleet_lost, nodes=5) for seed in range(55, 60)]
    waited = [sum(world.measured for world in worlds) for worlds in (guarded, unguarded)]
    assert waited[0] < 0.8 * waited[1], waited
    assert max(world.leader_count for world in guarded) <= 2
    assert max(world.leader_count for world in unguarded) >= 3


async def zone_lost_with_leader(world: World) -> None:
    """Let all machines of a zone fail and the leader crash; the cloud's list still shows them.

    Measures the time until the first new machine is rented, 60 s at most.
    """
    await asyncio.sleep(40.0)
    zone = ZONES[0]
    hosts = world.cloud.cloud.hosts
    lost = [name for name, host in hosts.items() if host.kind.zone == zone and host.up]
    known = set(hosts)
    for process in world.nodes:
        if process.node is not None and process.node.leader is not None:
            world.spawn(process.restart(20.0))
    for name in lost:
        world.cloud.remove_host(name, failed=True)
    for kind in world.cloud.cloud.capacity:
        world.cloud.cloud.capacity[kind] += 5
    began = world.now()
    while set(hosts) <= known and world.now() < began + 60.0:
        await asyncio.sleep(0.1)
    world.measured = world.now() - began


def test_a_new_leader_replaces_machines_that_never_report_to_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new leader that rents nothing for machines lost before its takeover.

    Without the discovery timeout it would wait until the cloud's list no longer shows them as
    running.
    """
    guarded = [simulate(seed, zone_lost_with_leader, nodes=5) for seed in (52, 53, 54)]
    monkeypatch.setattr(Leader, "_discovery_timeout_s", lambda _: 1e9)
    unguarded = [simulate(seed, zone_lost_with_leader, nodes=5) for seed in (52, 53, 54)]
    waited = [sum(world.measured for world in worlds) for worlds in (guarded, unguarded)]
    assert waited[0] < 0.8 * waited[1], waited


async def leader_steps_down(world: World) -> None:
    """Let the leader step down; measures the time until another node leads."""
    await asyncio.sleep(30.0)
    process = next(n for n in world.nodes if n.node is not None and n.node.leader is not None)
    assert process.node is not None and process.node.leader is not None
    process.node.leader.deposed()
    began = world.now()
    while not any(n.node is not None and n.node.leader is not None for n in world.nodes):
        await asyncio.sleep(0.02)
    world.measured = world.now() - began


def test_a_leader_that_steps_down_releases_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a leader lease that outlives its leader.

    It would keep all other nodes from leading for about three more seconds.
    """
    assert simulate(51, leader_steps_down).measured < 1.0

    async def keep_lease(self: Node, lease: object) -> None: ...

    monkeypatch.setattr(Node, "_release_lease", keep_lease)
    assert simulate(51, leader_steps_down).measured > 2.0
