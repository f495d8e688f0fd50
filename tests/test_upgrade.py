"""The version in production and this one beside each other, each on the other's data.

The earlier version is taken from the repository's own history, as ``production`` in
``deploy/service.toml`` names it. A clone without that history has the recorded data alone,
and says so.
"""

from __future__ import annotations

import asyncio
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
from tests.test_meetings import late_writes, leader_of
from tests.test_orders import WorldWithOrders, replace_and_crashes
from tests.test_rules import all_faults, crashes, cuts, outages, simulate
from tests.test_zone_loss import isolate_zone
from tests.world import ZONES, RuleBroken, World

ROOT = Path(__file__).resolve().parent.parent
RECORDED_PATH = ROOT / "tests" / "recorded-production.json"


class Production:
    """Nodes of the version in production, living in this process beside the present one."""

    def __init__(self, tree: Path) -> None:
        ours = {name: m for name, m in sys.modules.items() if name.split(".")[0] == "dunehold"}
        for name in ours:
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
            sys.modules.update(ours)
        self._node = node.Node

    def node(self, settings: Settings, connect: Any, **more: Any) -> Any:
        known = {f.name for f in fields(self.settings.Settings)}
        values = {f.name: getattr(settings, f.name) for f in fields(Settings)}
        old = {name: value for name, value in values.items() if name in known}
        old["value_bytes"], old["txn_ops"] = (
            world_module.INITIAL_STATE_LIMITS
        )  # it knows of no later limits
        return self._node(self.settings.Settings(**old), connect, **more)

    def connect(self, connect: Any) -> Any:
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
    commit = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"]
    found = subprocess.run(
        ["git", "archive", commit, "dunehold"], cwd=ROOT, capture_output=True, check=False
    )
    if found.returncode:
        warnings.warn(
            f"{commit} is not in this clone: the recorded data alone is played", stacklevel=1
        )
        yield None
        return
    tree = tmp_path_factory.mktemp("production")
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(tree, filter="data")
    yield Production(tree)


def _leader_version(world: World) -> str | None:
    box = leader_of(world)
    return None if box is None else "new" if box.upgraded else "old"


async def rolling_upgrade(world: World) -> None:
    """A few at a time come back new; some crash before their turn, and come back old."""
    await asyncio.sleep(18.0)
    boxes = world.rng.sample(world.nodes, len(world.nodes))
    while boxes:
        if world.rng.random() < 0.5:
            box = world.rng.choice(world.nodes)
            await box.restart(world.rng.uniform(0.2, 3.0))  # as whatever it is by now
            world.counts["back old"] += not box.upgraded
        for _ in range(min(len(boxes), world.rng.choice([1, 1, 2]))):
            box = boxes.pop()
            box.upgraded = True
            world.spawn(box.restart(world.rng.uniform(0.2, 3.0)))
        await asyncio.sleep(world.rng.uniform(3.0, 8.0))
    await asyncio.sleep(4.0)
    world.pipeline_share = 0.5


async def count_leader_versions(world: World) -> None:
    last = None
    while True:
        led = _leader_version(world)
        if led is not None and led != last:
            world.counts[f"{led} leads"] += 1
            last = led
        await asyncio.sleep(0.2)


def upgrade_scenario(
    earlier_version: Production, *faults: Callable[[World], Awaitable[None]]
) -> Any:
    async def day(world: World) -> None:
        for box in world.nodes:
            box.crash()
        world.earlier_version = earlier_version
        for box in world.nodes:
            box.upgraded = False
            box.boot()
        for fault in (rolling_upgrade, count_leader_versions, *faults):
            world.spawn(fault(world))

    return day


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


# -- the state service's later limits -------------------------------------------------------


async def lower_state_limits(world: World) -> None:
    """Swarms of jobs before and after the limits fall, so that writers fill what they may."""
    for number in range(4):
        await asyncio.sleep(14.0)
        for each in range(60):
            job = world.make_job(500_000 + 100 * number + each)
            job |= {"shape": "batch", "units": 1 + each % 3, "vcpus": 0.5, "flavours": None}
            job |= {"real_s": 2.0, "hall": None, "spread": False}
            world.jobs.upload(job)
            world.spawn(world.users.run_job(job, 1.0 if each % 9 == 0 else None))
        if number == 1:
            while not all(box.upgraded and box.node is not None for box in world.nodes):
                await asyncio.sleep(0.5)
            world.state.lower_limits()


async def orders_and_zone_loss(world: World) -> None:
    """Operators' orders, and a zone that is lost and comes back, under the later limits."""
    world.state.lower_limits()
    world.spawn(replace_and_crashes(world))
    await asyncio.sleep(40.0)
    await isolate_zone(world, ZONES[1], 30.0)


@pytest.fixture
def smaller_later_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(world_module, "LATER_STATE_LIMITS", (2048, 4))
    monkeypatch.setattr(world_module, "LATER_WRITE_RPS", 25.0)


@pytest.mark.parametrize("seed", range(410, 413))
@pytest.mark.parametrize("fault", [crashes, late_writes, all_faults])
def test_every_writer_keeps_to_the_later_limits(
    smaller_later_limits: None, production: Production | None, fault: Any, seed: int
) -> None:
    """Values of the earlier version, and lower limits in the midst of it."""
    faults = [fault, lower_state_limits]
    day = upgrade_scenario(production, *faults) if production else with_pipelines(*faults)
    world = simulate(seed, day, nodes=3)
    assert world.checker.starts > 10 and not world.state.bad_txn_errors


def test_orders_and_zones_keep_to_the_later_limits(
    smaller_later_limits: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", WorldWithOrders)
    world = simulate(414, orders_and_zone_loss, nodes=5)
    keys = {key.split("/")[1] for key in world.state.store.rows}
    assert {"orders", "upkeep"} & keys and not world.state.bad_txn_errors


def test_limits_that_a_writer_ignores_are_found(
    smaller_later_limits: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = World.settings

    def first(self: World, index: int) -> Settings:
        size, ops = world_module.INITIAL_STATE_LIMITS
        return replace(settings(self, index), value_bytes=size, txn_ops=ops)

    monkeypatch.setattr(World, "settings", first)
    try:
        found = simulate(410, with_pipelines(crashes, lower_state_limits)).state.bad_txn_errors
    except RuleBroken:
        return
    assert found


async def reject_one_completion(world: World) -> None:
    """The state service finds one job's end malformed, whatever else is in the transaction."""
    handle = world.state.store.handle

    def choosy(method: str, target: str, body: bytes | None, *call: Any) -> Any:
        if target == "/txn" and b'job-000003","v":{"phase":"done' in (body or b""):
            world.counts["refused"] += 1
            return reply(400, {"error": "too odd"})
        return handle(method, target, body, *call)

    world.state.store = StoreWithHandler(world.state.store, choosy)  # type: ignore[assignment]


class StoreWithHandler:
    def __init__(self, store: Any, handle: Any) -> None:
        self.store, self.handle = store, handle

    def __getattr__(self, name: str) -> Any:
        return getattr(self.store, name)


def test_a_record_that_is_refused_for_good_holds_up_no_other() -> None:
    world = simulate(415, reject_one_completion)
    done = [uid for uid, phase in world.final_phases.items() if phase == "done"]
    assert world.counts["refused"] and "job-000003" not in done
    assert world.counts["refused"] < 240 and len(done) > 10


def test_rates_fall_when_refusals_show_it_and_not_for_one_burst() -> None:
    async def day(world: World) -> None:
        node = world.nodes[0].node
        assert node is not None
        before = node.state.write_limiter.rate
        for pause in (0.0, 20.0, 20.0, 20.0):
            await asyncio.sleep(pause)
            node.state.on_limited()
        world.counts["kept"] = node.state.write_limiter.rate == before and not node._rates_fell
        for _ in range(3):
            node.state.on_limited()
        world.counts["fell"] = node._rates_fell and node.state.write_limiter.rate < before

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(world_module, "LATER_WRITE_RPS", 25.0)
        met = simulate(416, day).counts
    assert met["kept"] and met["fell"]


# -- recorded values --------------------------------------------------------------------


def _check_recorded_data() -> None:
    rows = orjson.loads(RECORDED_PATH.read_bytes())
    view = View()
    entries = [Entry(key, value, Revision(stamp)) for key, value, stamp in rows]
    view.load(entries, Revision(max(stamp for *_, stamp in rows)))
    view.resolve_dependencies()
    for key, value, stamp in rows:  # and one by one, as they were written
        view.apply([Change(key, value, Revision(stamp), False)], Revision(stamp))
    kinds = {key.split("/")[1] for key, *_ in rows}
    assert {"leader", "token", "jobs", "hosts", "starts"} <= kinds
    assert {record.phase for record in view.jobs.values()} == set(JobPhase)
    assert view.hosts and view.leader and any(view.start_log.values())
    assert not view.dependency_index.pending


def test_recorded_values_of_the_version_in_production_are_read() -> None:
    _check_recorded_data()


def record_production_data(tree: Path) -> None:
    """Write ``recorded-production.json``: what that version left behind after a day."""

    async def keep(world: World) -> None:
        await asyncio.sleep(95.0)
        rows = [
            [key, orjson.loads(row.value), row.version]
            for key, row in world.state.store.rows.items()
        ]
        RECORDED_PATH.write_bytes(orjson.dumps(sorted(rows)))

    async def day(world: World) -> None:
        world.earlier_version = Production(tree)
        for box in world.nodes:
            box.crash()
            box.upgraded = False
            box.boot()
        world.spawn(keep(world))
        world.spawn(late_writes(world))

    simulate(420, day)


if __name__ == "__main__":
    record_production_data(Path(sys.argv[1]))
