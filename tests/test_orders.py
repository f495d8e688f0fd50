"""Seeded days with operators' orders: rules and budgets hold, and the orders get somewhere."""

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
    """Some more machines, budgets, and what was stopped by choice written down beside them."""

    budgets = DisruptionBudgets(BUDGET)

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        for kind in self.cloud.cloud.capacity:
            self.cloud.cloud.capacity[kind] += 3
        self.order_statuses: dict[str, list[int]] = {}
        self.misplaced_tasks: list[str] = []  # on machines out of service
        self.last_order_rows: dict[str, dict[str, Any]] = {}  # as the orders were seen last

    def settings(self, index: int):  # type: ignore[no-untyped-def]
        settings = super().settings(index)
        return replace(settings, operator=replace(settings.operator, disruption=self.budgets))

    async def operator_request(
        self, method: str, path: str, row: dict[str, Any] | None = None, node: int | None = None
    ) -> tuple[int, dict[str, Any]]:
        """An operator's request, at any node, until there is an answer."""
        body = None if row is None else orjson.dumps(row)
        while True:
            box = self.nodes[node] if node is not None else self.rng.choice(self.nodes)
            try:
                status, data, _ = await self.network.request_with_retry_after(
                    "users", box.name, method, path, body, 3.0
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
        """What comes to machines that are out of service: a start that was on its way when the
        order came into force may still come, so it begins a little later."""
        await asyncio.sleep(1.0)
        known = self._tasks_on(is_affected)
        until = self.now() + seconds
        while self.now() < until:
            await asyncio.sleep(0.2)
            found = self._tasks_on(is_affected)
            self.misplaced_tasks += sorted(found - known)
            known |= found

    def _tasks_on(self, is_affected: Callable[[Any], bool]) -> set[str]:
        return {
            f"{key} on {name}"
            for name, agent in self.cloud.workers.items()
            if is_affected(agent.worker.machine)
            for key in agent.worker.tasks
        }


Stops = list[tuple[float, str, str, float, bool]]  # when, team, job, cpus, a replica's


@pytest.fixture
def stops(monkeypatch: pytest.MonkeyPatch) -> Stops:
    """What is stopped by choice, by whichever leader."""
    found: Stops = []
    stop = MaintenanceController._stop_run

    def noted(self: MaintenanceController, run: Run, cut: StopGroup) -> None:
        stop(self, run, cut)
        if run.stop_grace_s is not None:
            at = asyncio.get_running_loop().time()
            found.append((at, run.team, run.id.task.job, run.need.cpus, run.service))

    monkeypatch.setattr(MaintenanceController, "_stop_run", noted)
    monkeypatch.setattr("tests.test_rules.World", WorldWithOrders)
    return found


def budget_violations(
    stops: Stops, max_tasks: int = 4, window_s: float = WINDOW_S
) -> list[str]:
    """Windows in which more was stopped by choice than the budget allows."""
    found = []
    for at, team, job, _, _ in stops:
        window = [s for s in stops if at - window_s + 0.5 < s[0] <= at]
        ours = [s for s in window if s[1] == team]
        tasks, cpus = sum(not s[4] for s in ours), sum(s[3] for s in ours)
        replicas = sum(s[4] and s[2] == job for s in window)
        if tasks > max_tasks or cpus > 16.0 + 1e-6 or replicas > 1:
            found.append(f"{at:.1f} {team}: {tasks} tasks, {cpus} cpus, {replicas} replicas")
    return found


async def drain_zone(world: World) -> None:
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
    world.spawn(replace_all_hosts(world))
    await asyncio.sleep(40.0)
    await isolate_zone(world, ZONES[world.rng.random() < 0.5], 30.0)


async def replace_and_outage(world: World) -> None:
    world.spawn(replace_all_hosts(world))
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(15.0, 35.0))
        await world.state.outage(8.0)


async def spot_notices_and_hangs(world: World) -> None:
    """Machines that run empty are taken back by the cloud, or hang."""
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
@pytest.mark.parametrize("day", ORDER_SCENARIOS)
def test_rules_and_budgets_hold_while_machines_are_taken_out(
    stops: Stops, day: Callable[[World], Awaitable[None]], seed: int
) -> None:
    world = simulate(seed, day, nodes=(3, 5)[seed % 2])
    assert isinstance(world, WorldWithOrders)
    assert world.checker.starts > 20
    assert not world.misplaced_tasks, world.misplaced_tasks
    assert not budget_violations(stops), budget_violations(stops)


def test_a_drained_zone_runs_empty_by_its_time(stops: Stops) -> None:
    worlds = [simulate(seed, drain_zone, nodes=5) for seed in range(310, 313)]
    assert [world.machines_kept for world in worlds] == [0, 0, 0]


def test_a_whole_fleet_is_replaced(stops: Stops) -> None:
    """While it serves, through takeovers too."""
    for seed, day in ((320, replace_all_hosts), (321, replace_and_crashes)):
        world = simulate(seed, day, nodes=5)
        assert isinstance(world, WorldWithOrders)
        assert world.last_order_rows["new"]["stage"] == "done", world.last_order_rows["new"]
        assert world.last_order_rows["new"]["done"] >= 2


# -- each safeguard, switched off ----------------------------------------------------------


def test_without_the_ledgers_question_starts_land_on_machines_out_of_service(
    monkeypatch: pytest.MonkeyPatch, stops: Stops
) -> None:
    monkeypatch.setattr(MaintenanceController, "out_of_service_order", lambda self, host: None)
    landed: list[str] = []
    for seed in range(310, 313):
        world = simulate(seed, drain_zone, nodes=5)
        assert isinstance(world, WorldWithOrders)
        landed += world.misplaced_tasks
    assert landed


def test_a_leader_that_forgets_what_was_spent_overspends(
    monkeypatch: pytest.MonkeyPatch, stops: Stops
) -> None:
    async def takeovers(world: World) -> None:
        world.spawn(drain_zone(world))
        await asyncio.sleep(31.0)
        for _ in range(6):
            await asyncio.sleep(5.0)
            for box in world.nodes:
                if box.node is not None and box.node.leader is not None:
                    world.spawn(box.restart(2.0))

    seeds = range(330, 334)
    tight = replace(BUDGET, tasks=Amount(1), window_s=Duration(30.0))
    monkeypatch.setattr(WorldWithOrders, "budgets", DisruptionBudgets(tight))

    def played() -> list[str]:
        found = []
        for seed in seeds:
            stops.clear()
            simulate(seed, takeovers, nodes=5)
            found += budget_violations(stops, 1, 30.0)
        return found

    assert not played()
    monkeypatch.setattr(DisruptionTracker, "restore", lambda *_: None)
    assert played()


# -- operators among themselves ------------------------------------------------------------


async def conflicting_orders(world: World) -> None:
    assert isinstance(world, WorldWithOrders)
    await asyncio.sleep(20.0)
    _, listed = await world.operator_request("GET", ORDERS)
    seen = listed["serial"]
    # At two nodes at once, each having seen the same list: one stands, one is told.
    first, second = await asyncio.gather(
        world.operator_request(
            "POST", ORDERS, {"id": "a", "kind": "drain", "zones": ["north"], "seen": seen}, 0
        ),
        world.operator_request(
            "POST", ORDERS, {"id": "b", "kind": "drain", "zones": ["south"], "seen": seen}, 1
        ),
    )
    world.order_statuses["race"] = sorted([first[0], second[0]])
    stood = "a" if first[0] == 201 else "b"
    # Repeated at another node after a lost answer: the same order, once.
    zone = ["north"] if stood == "a" else ["south"]
    again = await world.operator_request(
        "POST", ORDERS, {"id": stood, "kind": "drain", "zones": zone}, 2
    )
    other = await world.operator_request(
        "POST", ORDERS, {"id": stood, "kind": "drain", "zones": ["north", "south"]}
    )
    rival = await world.operator_request(
        "POST", ORDERS, {"id": "c", "kind": "replace", "zones": zone}
    )
    world.order_statuses["again"] = [again[0], other[0], rival[0]]
    # Undrained at one node while it is paused at another.
    _, listed = await world.operator_request("GET", ORDERS)
    seen = {"seen": listed["serial"]}
    both = await asyncio.gather(
        world.operator_request("POST", f"{ORDERS}/{stood}/abort", seen, 0),
        world.operator_request("POST", f"{ORDERS}/{stood}/pause", seen, 1),
    )
    world.order_statuses["changes"] = sorted(status for status, _ in both)
    _, row = await world.operator_request("GET", f"{ORDERS}/{stood}")
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


def test_two_operators_get_one_outcome_and_a_clear_conflict(stops: Stops) -> None:
    world = simulate(340, conflicting_orders)
    assert isinstance(world, WorldWithOrders)
    assert world.order_statuses["race"] == [201, 409]
    assert world.order_statuses["again"] == [200, 409, 409]
    assert world.order_statuses["changes"] == [200, 409]
    assert world.last_order_rows["left"]["wish"] in ("abort", "pause")
    assert world.order_statuses["bad"] == [400, 400, 400, 404, 405]


async def drain_window_ahead(world: World) -> None:
    """Nothing is begun that can't end before the window opens."""
    assert isinstance(world, WorldWithOrders)
    await asyncio.sleep(20.0)
    begins = world.now() + 30.0
    await world.submit_order("window", kind="drain", zones=["north"], **{"from": begins})
    await asyncio.sleep(begins - world.now())
    busy = [w for w in world.cloud.workers.values() if w.worker.machine.zone == "north"]
    world.measured = float(sum(len(agent.worker.tasks) for agent in busy))
    await world.watch_placements(lambda machine: machine.zone == "north", 30.0)


def test_a_window_is_known_beforehand(monkeypatch: pytest.MonkeyPatch, stops: Stops) -> None:
    seeds = range(350, 353)
    known = [simulate(seed, drain_window_ahead) for seed in seeds]
    assert not any(
        world.misplaced_tasks for world in known if isinstance(world, WorldWithOrders)
    )
    monkeypatch.setattr(MaintenanceController, "out_of_service_at", lambda *_: float("inf"))
    unknown = [simulate(seed, drain_window_ahead) for seed in seeds]
    assert sum(w.measured for w in known) < sum(w.measured for w in unknown)


def test_the_scheduler_keeps_to_budgets_where_they_bind_all(
    monkeypatch: pytest.MonkeyPatch, stops: Stops
) -> None:
    """Moves, lifts and preemption are choices, too."""
    monkeypatch.setattr(WorldWithOrders, "budgets", DisruptionBudgets(BUDGET, bind_all=True))
    for seed in range(360, 363):
        stops.clear()
        assert simulate(seed, crashes).checker.starts > 20
        assert not budget_violations(stops), budget_violations(stops)


def test_services_keep_their_least_number_by_choice(
    monkeypatch: pytest.MonkeyPatch, stops: Stops
) -> None:
    below: list[str] = []
    stop = MaintenanceController._stop_run

    def checked(self: MaintenanceController, run: Run, cut: StopGroup) -> None:
        job = run.id.task.job
        up = self._replicas_up(job)
        stop(self, run, cut)
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

    monkeypatch.setattr(MaintenanceController, "_stop_run", checked)
    monkeypatch.setattr(WorldWithOrders, "make_job", make_job)
    for seed in range(370, 373):
        simulate(seed, replace_and_crashes, nodes=5)
    assert any(service for *_, service in stops)
    assert not below, below


def test_a_host_marked_by_an_order_gives_its_planned_starts_back() -> None:
    """A start that nobody can have carried out is taken back as the order comes."""
    taken: list[str] = []
    mark, log_start = MaintenanceController.apply_orders, Recorder.log_start

    def slowly(self: Recorder, run: Run) -> None:
        asyncio.get_running_loop().call_later(0.5, log_start, self, run)

    def noted(self: MaintenanceController) -> None:
        planned = {
            run.id: host
            for host in self.ledger.hosts.values()
            for run in host.runs.values()
            if run.unsent and self.out_of_service_order(host) is not None
        }
        mark(self)
        for attempt, host in planned.items():
            assert isinstance(host, Host) and attempt not in host.runs
            taken.append(str(attempt))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("tests.test_rules.World", WorldWithOrders)
        patch.setattr(MaintenanceController, "apply_orders", noted)
        patch.setattr(Recorder, "log_start", slowly)
        for seed in range(310, 316):
            simulate(seed, drain_zone, nodes=3)
    assert taken
