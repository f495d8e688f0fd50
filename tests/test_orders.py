"""Simulated runs with operators' maintenance orders.

The checker's rules and the disruption budgets hold, and the orders make progress.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import orjson
import pytest

from dunehold.bookkeeping.disruptions import DisruptionTracker
from dunehold.bookkeeping.hosts import Host, Run
from dunehold.budgets import Amount, DisruptionBudget, DisruptionBudgets
from dunehold.coordination.maintenance.controller import MaintenanceController, StopGroup
from dunehold.coordination.persistence.recorder import Recorder
from dunehold.transport.http import NoResponse
from dunehold.types import Duration, JobId, JobKind
from tests.test_rules import crashes, simulate
from tests.test_zone_loss import isolate_zone
from tests.world import ZONES, World

ORDERS = "/operators/orders"
WINDOW_S = 15.0
BUDGET = DisruptionBudget(
    Amount(4), Amount(16.0), Amount(1), Amount(share=0.5), Duration(WINDOW_S)
)


class WorldWithOrders(World):
    """A world with more machines and with disruption budgets, which records orders' effects."""

    budgets = DisruptionBudgets(BUDGET)

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        for kind in self.cloud.cloud.capacity:
            self.cloud.cloud.capacity[kind] += 3
        self.order_statuses: dict[str, list[int]] = {}
        self.misplaced_tasks: list[str] = []  # tasks that began on machines out of service
        self.last_order_rows: dict[str, dict[str, Any]] = {}  # latest answer about each order

    def settings(self, index: int):  # type: ignore[no-untyped-def]
        settings = super().settings(index)
        return replace(settings, operator=replace(settings.operator, disruption=self.budgets))

    async def operator_request(
        self, method: str, path: str, row: dict[str, Any] | None = None, node: int | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send an operator's request until a node answers with a status other than 503.

        Each attempt goes to ``node``, or to a random node where that is None.
        """
        body = None if row is None else orjson.dumps(row)
        while True:
            process = self.nodes[node] if node is not None else self.rng.choice(self.nodes)
            try:
                status, data, _ = await self.network.request_with_retry_after(
                    "users", process.name, method, path, body, 3.0
                )
            except NoResponse:
                status = 503
            if status != 503:
                return status, orjson.loads(data)
            await asyncio.sleep(1.0)

    async def submit_order(self, name: str, **row: Any) -> tuple[int, dict[str, Any]]:
        status, answer = await self.operator_request("POST", ORDERS, {"id": name, **row})
        self.order_statuses.setdefault(name, []).append(status)
        return status, answer

    async def wait_until_order_ends(self, name: str) -> dict[str, Any]:
        while True:
            _, row = await self.operator_request("GET", f"{ORDERS}/{name}")
            self.last_order_rows[name] = row
            if row["stage"] in ("done", "halted", "aborted"):
                return row
            await asyncio.sleep(2.0)

    async def watch_placements(
        self, is_affected: Callable[[Any], bool], seconds: float
    ) -> None:
        """Record the tasks that begin on affected machines for ``seconds``.

        Recording begins 1 s later, since a start command that was sent before the order came
        into force may still arrive.
        """
        await asyncio.sleep(1.0)
        known = self._tasks_on(is_affected)
        until = self.now() + seconds
        while self.now() < until:
            await asyncio.sleep(0.2)
            found = self._tasks_on(is_affected)
            self.misplaced_tasks += sorted(found - known)
            known |= found

    def _tasks_on(self, is_affected: Callable[[Any], bool]) -> set[str]:
        """Return the tasks on affected machines, each with the name of its machine."""
        return {
            f"{key} on {name}"
            for name, agent in self.cloud.workers.items()
            if is_affected(agent.worker.machine)
            for key in agent.worker.tasks
        }


# Time in s, team, job, CPUs, whether the run is a service's replica.
Stops = list[tuple[float, str, str, float, bool]]


@pytest.fixture
def stops(monkeypatch: pytest.MonkeyPatch) -> Stops:
    """Collect the runs that any leader stops voluntarily, in a ``WorldWithOrders``."""
    found: Stops = []
    stop = MaintenanceController._stop_run

    def record_stop(self: MaintenanceController, run: Run, group: StopGroup) -> None:
        stop(self, run, group)
        if run.stop_grace_s is not None:
            at = asyncio.get_running_loop().time()
            found.append((at, run.team, run.id.task.job, run.need.cpus, run.service))

    monkeypatch.setattr(MaintenanceController, "_stop_run", record_stop)
    monkeypatch.setattr("tests.test_rules.World", WorldWithOrders)
    return found


def budget_violations(
    stops: Stops, max_tasks: int = 4, window_s: float = WINDOW_S
) -> list[str]:
    """Return the windows in which voluntary stops exceeded a budget.

    Windows are counted 0.5 s shorter than the budget's ``window_s``.
    """
    found = []
    for at, team, job, _, _ in stops:
        window = [s for s in stops if at - window_s + 0.5 < s[0] <= at]
        of_team = [s for s in window if s[1] == team]
        tasks, cpus = sum(not s[4] for s in of_team), sum(s[3] for s in of_team)
        replicas = sum(s[4] and s[2] == job for s in window)
        if tasks > max_tasks or cpus > 16.0 + 1e-6 or replicas > 1:
            found.append(f"{at:.1f} {team}: {tasks} tasks, {cpus} cpus, {replicas} replicas")
    return found


async def drain_zone(world: World) -> None:
    """Drain a random zone with a deadline 25 s ahead, and abort the order later.

    Placements are watched for 40 s once the order is in force. Then ``world.machines_kept`` is
    set to the number of machines that are left in the zone.
    """
    assert isinstance(world, WorldWithOrders)
    await asyncio.sleep(30.0)
    zone = world.rng.choice(ZONES)
    by = world.now() + 25.0
    status, row = await world.submit_order(
        "out", kind="drain", zones=[zone], by=by, reason="power"
    )
    assert status == 201
    while not row["in_force"]:
        await asyncio.sleep(0.5)
        _, row = await world.submit_order(
            "out", kind="drain", zones=[zone], by=by, reason="power"
        )
    await world.watch_placements(lambda machine: machine.zone == zone, 40.0)
    world.machines_kept = len(
        [w for w in world.cloud.workers.values() if w.worker.machine.zone == zone]
    )
    await world.operator_request("POST", f"{ORDERS}/out/abort", {})


async def drain_and_crashes(world: World) -> None:
    world.spawn(drain_zone(world))
    await crashes(world)


async def replace_all_hosts(world: World) -> None:
    """Replace the machines of all zones and wait for the order to end."""
    assert isinstance(world, WorldWithOrders)
    await asyncio.sleep(25.0)
    status, _ = await world.submit_order(
        "new", kind="replace", zones=list(ZONES), within_s=15.0
    )
    assert status == 201
    await world.wait_until_order_ends("new")


async def replace_and_crashes(world: World) -> None:
    world.spawn(replace_all_hosts(world))
    await crashes(world)


async def replace_and_zone_loss(world: World) -> None:
    """Replace all machines and isolate a zone for 30 s meanwhile."""
    world.spawn(replace_all_hosts(world))
    await asyncio.sleep(40.0)
    await isolate_zone(world, ZONES[world.rng.random() < 0.5], 30.0)


async def replace_and_outage(world: World) -> None:
    """Replace all machines during three outages of the state service, of 8 s each."""
    world.spawn(replace_all_hosts(world))
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(15.0, 35.0))
        await world.state.outage(8.0)


async def spot_notices_and_hangs(world: World) -> None:
    """Drain a zone while the cloud reclaims spot machines and other machines hang."""
    world.spawn(drain_zone(world))
    for _ in range(8):
        await asyncio.sleep(world.rng.uniform(4.0, 8.0))
        for name, agent in list(world.cloud.workers.items()):
            if world.rng.random() < 0.1 and agent.worker.machine.spot:
                world.spawn(world.cloud.reclaim_host(name, 6.0))
            elif world.rng.random() < 0.1:
                with agent.modify() as model:
                    model.hang(world.now(), world.rng.uniform(3.0, 20.0))


ORDER_SCENARIOS = [
    drain_zone,
    drain_and_crashes,
    replace_all_hosts,
    replace_and_crashes,
    replace_and_zone_loss,
    replace_and_outage,
    spot_notices_and_hangs,
]


@pytest.mark.parametrize("seed", range(300, 303))
@pytest.mark.parametrize("scenario", ORDER_SCENARIOS)
def test_rules_and_budgets_hold_during_maintenance_orders(
    stops: Stops, scenario: Callable[[World], Awaitable[None]], seed: int
) -> None:
    world = simulate(seed, scenario, nodes=(3, 5)[seed % 2])
    assert isinstance(world, WorldWithOrders)
    assert world.checker.starts > 20
    assert not world.misplaced_tasks, world.misplaced_tasks
    assert not budget_violations(stops), budget_violations(stops)


def test_a_drained_zone_ends_up_empty(stops: Stops) -> None:
    worlds = [simulate(seed, drain_zone, nodes=5) for seed in range(310, 313)]
    assert [world.machines_kept for world in worlds] == [0, 0, 0]


def test_a_whole_fleet_is_replaced(stops: Stops) -> None:
    """The replacement completes while jobs run, also across takeovers."""
    for seed, scenario in ((320, replace_all_hosts), (321, replace_and_crashes)):
        world = simulate(seed, scenario, nodes=5)
        assert isinstance(world, WorldWithOrders)
        assert world.last_order_rows["new"]["stage"] == "done", world.last_order_rows["new"]
        assert world.last_order_rows["new"]["done"] >= 2


# -- safeguards switched off ----------------------------------------------------------


def test_tasks_start_on_drained_machines_when_the_ledger_does_not_ask_for_orders(
    monkeypatch: pytest.MonkeyPatch, stops: Stops
) -> None:
    """Patched out: the check whether an order keeps a machine out of service."""
    monkeypatch.setattr(MaintenanceController, "out_of_service_order", lambda self, host: None)
    misplaced: list[str] = []
    for seed in range(310, 313):
        world = simulate(seed, drain_zone, nodes=5)
        assert isinstance(world, WorldWithOrders)
        misplaced += world.misplaced_tasks
    assert misplaced


def test_budgets_are_exceeded_when_a_new_leader_ignores_recorded_disruptions(
    monkeypatch: pytest.MonkeyPatch, stops: Stops
) -> None:
    """Patched out: a new leader's restoring of the disruptions recorded before its term."""

    async def takeovers(world: World) -> None:
        world.spawn(drain_zone(world))
        await asyncio.sleep(31.0)
        for _ in range(6):
            await asyncio.sleep(5.0)
            for process in world.nodes:
                if process.node is not None and process.node.leader is not None:
                    world.spawn(process.restart(2.0))

    seeds = range(330, 334)
    tight = replace(BUDGET, tasks=Amount(1), window_s=Duration(30.0))
    monkeypatch.setattr(WorldWithOrders, "budgets", DisruptionBudgets(tight))

    def violations() -> list[str]:
        found = []
        for seed in seeds:
            stops.clear()
            simulate(seed, takeovers, nodes=5)
            found += budget_violations(stops, 1, 30.0)
        return found

    assert not violations()
    monkeypatch.setattr(DisruptionTracker, "restore", lambda *_: None)
    assert violations()


# -- concurrent operators ------------------------------------------------------------


async def conflicting_orders(world: World) -> None:
    """Send conflicting, repeated and malformed orders, and record the status codes."""
    assert isinstance(world, WorldWithOrders)
    await asyncio.sleep(20.0)
    _, listed = await world.operator_request("GET", ORDERS)
    seen = listed["serial"]
    # Two operators who have seen the same list send an order each, through different nodes:
    # one order is created, the other is refused as a conflict.
    first, second = await asyncio.gather(
        world.operator_request(
            "POST", ORDERS, {"id": "a", "kind": "drain", "zones": ["north"], "seen": seen}, 0
        ),
        world.operator_request(
            "POST", ORDERS, {"id": "b", "kind": "drain", "zones": ["south"], "seen": seen}, 1
        ),
    )
    world.order_statuses["race"] = sorted([first[0], second[0]])
    created = "a" if first[0] == 201 else "b"
    # The order is repeated at another node, as after a lost answer: it exists once. The same
    # id with other contents, and another order for the same zone, are conflicts.
    zone = ["north"] if created == "a" else ["south"]
    again = await world.operator_request(
        "POST", ORDERS, {"id": created, "kind": "drain", "zones": zone}, 2
    )
    other = await world.operator_request(
        "POST", ORDERS, {"id": created, "kind": "drain", "zones": ["north", "south"]}
    )
    rival = await world.operator_request(
        "POST", ORDERS, {"id": "c", "kind": "replace", "zones": zone}
    )
    world.order_statuses["again"] = [again[0], other[0], rival[0]]
    # The order is aborted at one node while it is paused at another.
    _, listed = await world.operator_request("GET", ORDERS)
    seen = {"seen": listed["serial"]}
    changes = await asyncio.gather(
        world.operator_request("POST", f"{ORDERS}/{created}/abort", seen, 0),
        world.operator_request("POST", f"{ORDERS}/{created}/pause", seen, 1),
    )
    world.order_statuses["changes"] = sorted(status for status, _ in changes)
    _, row = await world.operator_request("GET", f"{ORDERS}/{created}")
    world.last_order_rows["left"] = row
    bad = [
        await world.operator_request("POST", ORDERS, {"id": "d", "kind": "drain"}),
        await world.operator_request(
            "POST", ORDERS, {"id": "d", "kind": "drain", "zones": ["nowhere"]}
        ),
        await world.operator_request(
            "POST", ORDERS, {"id": "../d", "kind": "drain", "zones": ["north"]}
        ),
        await world.operator_request("POST", f"{ORDERS}/none/pause", {}),
        await world.operator_request("DELETE", ORDERS),
    ]
    world.order_statuses["bad"] = [status for status, _ in bad]


def test_of_two_conflicting_requests_one_succeeds_and_one_gets_a_conflict(stops: Stops) -> None:
    world = simulate(340, conflicting_orders)
    assert isinstance(world, WorldWithOrders)
    assert world.order_statuses["race"] == [201, 409]
    assert world.order_statuses["again"] == [200, 409, 409]
    assert world.order_statuses["changes"] == [200, 409]
    assert world.last_order_rows["left"]["wish"] in ("abort", "pause")
    assert world.order_statuses["bad"] == [400, 400, 400, 404, 405]


async def drain_window_ahead(world: World) -> None:
    """Order a drain of the north zone whose maintenance window opens in 30 s.

    Tasks that would not end before the window opens are not started there. Sets
    ``world.measured`` to the number of tasks in the zone when the window opens.
    """
    assert isinstance(world, WorldWithOrders)
    await asyncio.sleep(20.0)
    begins = world.now() + 30.0
    await world.submit_order("window", kind="drain", zones=["north"], **{"from": begins})
    await asyncio.sleep(begins - world.now())
    agents = [w for w in world.cloud.workers.values() if w.worker.machine.zone == "north"]
    world.measured = float(sum(len(agent.worker.tasks) for agent in agents))
    await world.watch_placements(lambda machine: machine.zone == "north", 30.0)


def test_fewer_tasks_run_when_an_announced_window_opens(
    monkeypatch: pytest.MonkeyPatch, stops: Stops
) -> None:
    """Compared with the same runs where the scheduler does not know the window in advance."""
    seeds = range(350, 353)
    known = [simulate(seed, drain_window_ahead) for seed in seeds]
    assert not any(
        world.misplaced_tasks for world in known if isinstance(world, WorldWithOrders)
    )
    monkeypatch.setattr(MaintenanceController, "out_of_service_at", lambda *_: float("inf"))
    unknown = [simulate(seed, drain_window_ahead) for seed in seeds]
    assert sum(w.measured for w in known) < sum(w.measured for w in unknown)


def test_the_scheduler_respects_budgets_with_bind_all(
    monkeypatch: pytest.MonkeyPatch, stops: Stops
) -> None:
    """The budgets then also apply to stops for moves, lifting and preemption."""
    monkeypatch.setattr(WorldWithOrders, "budgets", DisruptionBudgets(BUDGET, bind_all=True))
    for seed in range(360, 363):
        stops.clear()
        assert simulate(seed, crashes).checker.starts > 20
        assert not budget_violations(stops), budget_violations(stops)


def test_voluntary_stops_leave_services_their_minimum_of_replicas(
    monkeypatch: pytest.MonkeyPatch, stops: Stops
) -> None:
    """A replacement with crashes stops no service down to below half of its replicas."""
    below: list[str] = []
    stop = MaintenanceController._stop_run

    def check_stop(self: MaintenanceController, run: Run, group: StopGroup) -> None:
        job = run.id.task.job
        up = self._replicas_up(job)
        stop(self, run, group)
        record = self.view.active.get(JobId(job))
        if run.service and run.stop_grace_s is not None and record is not None and record.spec:
            assert record.spec.kind is JobKind.SERVICE
            if up - 1 < 0.5 * record.spec.tasks:
                below.append(f"{job}: {up - 1} of {record.spec.tasks}")

    def make_job(self: World, number: int) -> dict[str, Any]:
        job = World.make_job(self, number)
        if number % 4 == 0:
            job |= {"shape": "standing", "units": 4, "vcpus": 1.0, "rank": "high", "hall": None}
            job |= {"flavours": None, "together": False, "spread": False, "broken": False}
        return job

    monkeypatch.setattr(MaintenanceController, "_stop_run", check_stop)
    monkeypatch.setattr(WorldWithOrders, "make_job", make_job)
    for seed in range(370, 373):
        simulate(seed, replace_and_crashes, nodes=5)
    assert any(service for *_, service in stops)
    assert not below, below


def test_unsent_starts_are_withdrawn_from_hosts_that_an_order_takes() -> None:
    """A start that was planned but not sent is withdrawn as soon as the order applies.

    Log entries of starts are delayed by 0.5 s so that such starts exist.
    """
    withdrawn: list[str] = []
    apply, log_start = MaintenanceController.apply_orders, Recorder.log_start

    def log_start_late(self: Recorder, run: Run) -> None:
        asyncio.get_running_loop().call_later(0.5, log_start, self, run)

    def check_withdrawn(self: MaintenanceController) -> None:
        planned = {
            run.id: host
            for host in self.ledger.hosts.values()
            for run in host.runs.values()
            if run.unsent and self.out_of_service_order(host) is not None
        }
        apply(self)
        for attempt, host in planned.items():
            assert isinstance(host, Host) and attempt not in host.runs
            withdrawn.append(str(attempt))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("tests.test_rules.World", WorldWithOrders)
        patch.setattr(MaintenanceController, "apply_orders", check_withdrawn)
        patch.setattr(Recorder, "log_start", log_start_late)
        for seed in range(310, 316):
            simulate(seed, drain_zone, nodes=3)
    assert withdrawn
