"""Rolling upgrades: the version in production and this version run side by side.

Each version reads the data that the other one wrote. The code of the version in production is
extracted from the git history, at the commit that ``production`` in ``deploy/service.toml``
names. In a clone without that commit, the tests emit a warning and check only that the recorded
data of that version can be read.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import io
import subprocess
import sys
import tarfile
import tomllib
import warnings
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import orjson
import pytest

from dunehold.bookkeeping.view import View
from dunehold.emulator.model.base import reply
from dunehold.protocol.state import Change, Entry
from dunehold.settings import Settings
from dunehold.transport.http import NoResponse, Refused
from dunehold.types import JobPhase, Revision
from tests import world as world_module
from tests.test_dependencies import with_pipelines
from tests.test_fault_combinations import late_writes, leader_of
from tests.test_orders import WorldWithOrders, replace_and_crashes
from tests.test_rules import all_faults, crashes, cuts, outages, simulate
from tests.test_zone_loss import isolate_zone
from tests.world import ZONES, RuleBroken, ServiceResponse, World

ROOT = Path(__file__).resolve().parent.parent
RECORDED_PATH = ROOT / "tests" / "recorded-production.json"


class Production:
    """The code of the version in production, loaded into this process beside this version.

    Its modules are imported while this version's modules are hidden from ``sys.modules``, which
    is restored afterwards.
    """

    def __init__(self, tree: Path) -> None:
        current_modules = {
            name: m for name, m in sys.modules.items() if name.split(".")[0] == "dunehold"
        }
        for name in current_modules:
            del sys.modules[name]
        sys.path.insert(0, str(tree))
        try:
            node = importlib.import_module("dunehold.coordination.node")
            self.http = importlib.import_module("dunehold.transport.http")
            self.settings = importlib.import_module("dunehold.settings")
            assert str(tree) in str(node.__file__)
        finally:
            sys.path.remove(str(tree))
            for name in [n for n in sys.modules if n.split(".")[0] == "dunehold"]:
                del sys.modules[name]
            sys.modules.update(current_modules)
        self._node = node.Node

    def node(self, settings: Settings, connect: Any, **more: Any) -> Any:
        """Return a node of that version, with the settings that it knows."""
        known = {f.name for f in fields(self.settings.Settings)}
        values = {f.name: getattr(settings, f.name) for f in fields(Settings)}
        known_values = {name: value for name, value in values.items() if name in known}
        # The earlier version does not know the later limits of the state service.
        known_values["value_bytes"], known_values["txn_ops"] = world_module.INITIAL_STATE_LIMITS
        return self._node(self.settings.Settings(**known_values), connect, **more)

    def connect(self, connect: Any) -> Any:
        """Return a class of clients that raise that version's exception types."""
        http = self.http

        class Client:
            def __init__(self, *address: Any) -> None:
                self.client = connect(*address)

            async def request(self, *call: Any) -> Any:
                try:
                    return await self.client.request(*call)
                except Refused as error:
                    raise http.Refused(str(error)) from None
                except NoResponse as error:
                    raise http.NoResponse(str(error)) from None

            def close(self) -> None:
                pass

        return Client


@pytest.fixture(scope="module")
def production(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Production | None]:
    """Extract the version in production from git; None if the clone lacks its commit."""
    commit = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"]
    archived = subprocess.run(
        ["git", "archive", commit, "dunehold"], cwd=ROOT, capture_output=True, check=False
    )
    if archived.returncode:
        warnings.warn(
            f"commit {commit} is not in this clone: only the recorded data is checked",
            stacklevel=1,
        )
        yield None
        return
    tree = tmp_path_factory.mktemp("production")
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(tree, filter="data")
    yield Production(tree)


def _leader_version(world: World) -> str | None:
    process = leader_of(world)
    return None if process is None else "new" if process.upgraded else "old"


async def rolling_upgrade(world: World) -> None:
    """Restart one or two nodes at a time with this version.

    Between the steps a random node crashes now and then; one that has not been upgraded yet
    restarts with the earlier version.
    """
    await asyncio.sleep(18.0)
    remaining = world.rng.sample(world.nodes, len(world.nodes))
    while remaining:
        if world.rng.random() < 0.5:
            process = world.rng.choice(world.nodes)
            await process.restart(world.rng.uniform(0.2, 3.0))  # its version stays the same
            world.counts["restarts with the earlier version"] += not process.upgraded
        for _ in range(min(len(remaining), world.rng.choice([1, 1, 2]))):
            process = remaining.pop()
            process.upgraded = True
            world.spawn(process.restart(world.rng.uniform(0.2, 3.0)))
        await asyncio.sleep(world.rng.uniform(3.0, 8.0))
    await asyncio.sleep(4.0)
    world.pipeline_share = 0.5


async def count_leader_versions(world: World) -> None:
    """Count the terms led by either version, sampled every 0.2 s."""
    last = None
    while True:
        version = _leader_version(world)
        if version is not None and version != last:
            world.counts[f"{version} leads"] += 1
            last = version
        await asyncio.sleep(0.2)


def upgrade_scenario(
    earlier_version: Production, *faults: Callable[[World], Awaitable[None]]
) -> Any:
    """Return a scenario that starts on the earlier version and is upgraded under faults."""

    async def scenario(world: World) -> None:
        for process in world.nodes:
            process.crash()
        world.earlier_version = earlier_version
        for process in world.nodes:
            process.upgraded = False
            process.boot()
        for fault in (rolling_upgrade, count_leader_versions, *faults):
            world.spawn(fault(world))

    return scenario


@pytest.mark.parametrize("seed", range(400, 404))
@pytest.mark.parametrize("fault", [crashes, cuts, outages, late_writes, all_faults])
def test_both_versions_serve_side_by_side(
    production: Production | None, fault: Any, seed: int
) -> None:
    if production is None:
        return _check_recorded_data()
    world = simulate(seed, upgrade_scenario(production, fault), nodes=(3, 5)[seed % 2])
    assert world.counts["old leads"] and world.counts["new leads"], world.counts
    assert world.checker.starts > 10 and any(job.get("awaits") for job in world.job_rows)


async def copies_of_calls_of_this_version(world: World) -> None:
    """Copy all answered calls to workers that nodes of this version have sent."""
    call = world.network.call

    async def copying_call(
        a: str, b: str, method: str, target: str, body: bytes | None
    ) -> ServiceResponse:
        response = await call(a, b, method, target, body)
        process = next((p for p in world.nodes if p.name == a.partition("#")[0]), None)
        if target == "/orders" and process is not None and process.upgraded:
            world.spawn(deliver_later(a, b, method, target, body))
        return response

    async def deliver_later(*request: Any) -> None:
        await asyncio.sleep(world.rng.uniform(0.3, 30.0))
        with contextlib.suppress(OSError):
            await world.network.deliver_copy(*request)

    world.network.call = copying_call  # type: ignore[method-assign]
    await crashes(world)


@pytest.mark.parametrize("seed", range(420, 424))
def test_copies_of_this_version_s_calls_do_no_harm_beside_the_earlier_version(
    production: Production | None, seed: int
) -> None:
    """Guards against tokens that the earlier version uses again, or does not understand."""
    if production is None:
        return _check_recorded_data()
    scenario = upgrade_scenario(production, copies_of_calls_of_this_version)
    world = simulate(seed, scenario, nodes=(3, 5)[seed % 2])
    assert world.counts["old leads"] and world.counts["new leads"], world.counts
    assert world.network.copies_delivered["/orders"] > 20 and world.checker.starts > 10


# -- the state service's later limits -------------------------------------------------------


async def lower_state_limits(world: World) -> None:
    """Submit bursts of 60 jobs before and after the limits fall.

    The bursts make the writers fill values and transactions up to the limits. The limits fall
    after the second burst, once all nodes run this version.
    """
    for number in range(4):
        await asyncio.sleep(14.0)
        for index in range(60):
            job = world.make_job(500_000 + 100 * number + index)
            job |= {"shape": "batch", "units": 1 + index % 3, "vcpus": 0.5, "flavours": None}
            job |= {"real_s": 2.0, "hall": None, "spread": False}
            world.jobs.upload(job)
            world.spawn(world.users.run_job(job, 1.0 if index % 9 == 0 else None))
        if number == 1:
            while not all(
                process.upgraded and process.node is not None for process in world.nodes
            ):
                await asyncio.sleep(0.5)
            world.state.lower_limits()


async def orders_and_zone_loss(world: World) -> None:
    """Replace all machines and isolate a zone for 30 s while the later limits hold."""
    world.state.lower_limits()
    world.spawn(replace_and_crashes(world))
    await asyncio.sleep(40.0)
    await isolate_zone(world, ZONES[1], 30.0)


@pytest.fixture
def smaller_later_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Announce later limits that are lower than the present ones."""
    monkeypatch.setattr(world_module, "LATER_STATE_LIMITS", (2048, 4))
    monkeypatch.setattr(world_module, "LATER_WRITE_RPS", 25.0)


@pytest.mark.parametrize("seed", range(410, 413))
@pytest.mark.parametrize("fault", [crashes, late_writes, all_faults])
def test_all_writers_respect_the_later_limits(
    smaller_later_limits: None, production: Production | None, fault: Any, seed: int
) -> None:
    """The limits fall during an upgrade, with values of the earlier version in the store."""
    faults = [fault, lower_state_limits]
    scenario = upgrade_scenario(production, *faults) if production else with_pipelines(*faults)
    world = simulate(seed, scenario, nodes=3)
    assert world.checker.starts > 10 and not world.state.bad_txn_errors


def test_orders_and_zone_records_respect_the_later_limits(
    smaller_later_limits: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", WorldWithOrders)
    world = simulate(414, orders_and_zone_loss, nodes=5)
    keys = {key.split("/")[1] for key in world.state.store.rows}
    assert {"orders", "upkeep"} & keys and not world.state.bad_txn_errors


def test_writers_that_ignore_the_later_limits_are_detected(
    smaller_later_limits: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With the present limits in their settings, writers exceed the later ones."""
    settings = World.settings

    def with_initial_limits(self: World, index: int) -> Settings:
        size, ops = world_module.INITIAL_STATE_LIMITS
        return replace(settings(self, index), value_bytes=size, txn_ops=ops)

    monkeypatch.setattr(World, "settings", with_initial_limits)
    try:
        errors = simulate(410, with_pipelines(crashes, lower_state_limits)).state.bad_txn_errors
    except RuleBroken:
        return
    assert errors


async def reject_one_completion(world: World) -> None:
    """Make the state service reject every transaction that completes ``job-000003``."""
    handle = world.state.store.handle

    def reject_completion(method: str, target: str, body: bytes | None, *call: Any) -> Any:
        if target == "/txn" and b'job-000003","v":{"phase":"done' in (body or b""):
            world.counts["rejected"] += 1
            return reply(400, {"error": "too odd"})
        return handle(method, target, body, *call)

    world.state.store = StoreWithHandler(world.state.store, reject_completion)  # type: ignore[assignment]


class StoreWithHandler:
    """A state service's store whose requests go through another handler."""

    def __init__(self, store: Any, handle: Any) -> None:
        self.store, self.handle = store, handle

    def __getattr__(self, name: str) -> Any:
        return getattr(self.store, name)


def test_a_permanently_rejected_record_does_not_block_others() -> None:
    world = simulate(415, reject_one_completion)
    done = [uid for uid, phase in world.final_phases.items() if phase == "done"]
    assert world.counts["rejected"] and "job-000003" not in done
    assert world.counts["rejected"] < 240 and len(done) > 10


def test_later_rates_apply_after_repeated_refusals_only() -> None:
    """Refusals 20 s apart leave the rate as it is; several within seconds lower it."""

    async def scenario(world: World) -> None:
        node = world.nodes[0].node
        assert node is not None
        before = node.state.write_limiter.rate
        for pause in (0.0, 20.0, 20.0, 20.0):
            await asyncio.sleep(pause)
            node.state.on_limited()
        world.counts["rate unchanged"] = (
            node.state.write_limiter.rate == before and not node._rates_fell
        )
        for _ in range(3):
            node.state.on_limited()
        world.counts["rate lowered"] = (
            node._rates_fell and node.state.write_limiter.rate < before
        )

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(world_module, "LATER_WRITE_RPS", 25.0)
        outcome = simulate(416, scenario).counts
    assert outcome["rate unchanged"] and outcome["rate lowered"]


# -- recorded values --------------------------------------------------------------------


def _check_recorded_data() -> None:
    """Load the recorded entries as a listing, then apply them as single changes."""
    rows = orjson.loads(RECORDED_PATH.read_bytes())
    view = View()
    entries = [Entry(key, value, Revision(stamp)) for key, value, stamp in rows]
    view.load(entries, Revision(max(stamp for *_, stamp in rows)))
    view.resolve_dependencies()
    for key, value, stamp in rows:
        view.apply([Change(key, value, Revision(stamp), False)], Revision(stamp))
    kinds = {key.split("/")[1] for key, *_ in rows}
    assert {"leader", "token", "jobs", "hosts", "starts"} <= kinds
    assert {record.phase for record in view.jobs.values()} == set(JobPhase)
    assert view.hosts and view.leader and any(view.start_log.values())
    assert not view.dependency_index.pending


def test_recorded_data_of_the_version_in_production_can_be_read() -> None:
    _check_recorded_data()


def record_production_data(tree: Path) -> None:
    """Write ``recorded-production.json``: the entries that the version at ``tree`` leaves.

    The entries are taken 95 s after the start of a simulated run with late writes.
    """

    async def save_entries(world: World) -> None:
        await asyncio.sleep(95.0)
        rows = [
            [key, orjson.loads(row.value), row.version]
            for key, row in world.state.store.rows.items()
        ]
        RECORDED_PATH.write_bytes(orjson.dumps(sorted(rows)))

    async def scenario(world: World) -> None:
        world.earlier_version = Production(tree)
        for process in world.nodes:
            process.crash()
            process.upgraded = False
            process.boot()
        world.spawn(save_entries(world))
        world.spawn(late_writes(world))

    simulate(420, scenario)


if __name__ == "__main__":
    record_production_data(Path(sys.argv[1]))
