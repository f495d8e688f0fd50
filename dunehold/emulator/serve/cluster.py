"""A whole cluster on loopback: state service, cloud, workers, balancer, controllers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from numpy.random import Generator, default_rng

from dunehold.emulator.agents.outside import CloudAgent, WorkerAgent
from dunehold.emulator.agents.passages import Passages
from dunehold.emulator.history import History
from dunehold.emulator.model.balancer import Balancer
from dunehold.emulator.model.cloud import Boots, Cloud, Flavour, Kind
from dunehold.emulator.model.jobs import Jobs
from dunehold.emulator.scenario import Scenario
from dunehold.emulator.serve import written
from dunehold.emulator.serve.front import Front
from dunehold.emulator.serve.places import CLOUD, Place, Places
from dunehold.emulator.serve.processes import ROOT, Child, end_quietly, raise_file_limit
from dunehold.emulator.serve.sockets import (
    HostServer,
    PortTaken,
    Relay,
    SocketCarrier,
    host_server,
    listen,
)
from dunehold.transport.http import HttpClient, HttpServer, NoResponse

READY_S = 30.0
HISTORY = "history.jsonl"


class ClusterError(Exception):
    """One line that says what did not come up, and why."""


@dataclass(slots=True)
class Cluster:
    scenario: Scenario
    directory: Path
    net: int = 77
    on_event: list[Callable[[Any], None]] = field(default_factory=list)
    places: Places = field(init=False)
    passages: Passages = field(default_factory=Passages)
    history: History = field(init=False)
    rng: Generator = field(init=False)
    jobs: Jobs = field(init=False)
    cloud: CloudAgent = field(init=False)
    cloud_server: HostServer = field(init=False)
    carrier: SocketCarrier = field(init=False)
    front: Front = field(init=False)
    controllers: dict[str, Child] = field(default_factory=dict)
    state: Child = field(init=False)
    machines: dict[str, HostServer] = field(default_factory=dict)
    ended: list[tuple[str, int]] = field(default_factory=list)  # ends nobody asked for
    failed: asyncio.Event = field(default_factory=asyncio.Event)
    failure: str = ""
    _servers: list[HostServer | asyncio.Server] = field(default_factory=list)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _sink: Any = None
    _log_read: dict[str, int] = field(default_factory=dict)  # bytes of each controller's log
    _led: tuple[int, str] = (0, "")  # the highest token in a log so far, and whose

    def __post_init__(self) -> None:
        scenario = self.scenario
        self.directory.mkdir(parents=True, exist_ok=True)
        self.places = Places(self.net, written.node_names(scenario))
        self.rng = default_rng(scenario.seed)
        self._sink = (self.directory / HISTORY).open("wb")
        self.history = History(time.monotonic, self._sink, False, [], self.on_event)
        self.jobs = Jobs(self.rng)
        for name, groups in written.labels(scenario).items():
            self.passages.cuts.labels[name] = tuple(groups)
        self.carrier = SocketCarrier(self.places, self.passages)
        self.cloud = self._cloud()
        nodes = {name: self.places.node(n) for n, name in enumerate(self.places.nodes)}
        self.front = Front(Balancer.of(list(nodes)), nodes, self.passages, self.rng)

    def _cloud(self) -> CloudAgent:
        scenario, table = self.scenario, self.scenario.cloud
        flavours = {
            row.label: Flavour(
                row.label,
                row.vcpus,
                row.memory_gb,
                row.price,
                row.spot_price,
                row.boot_s,
                tuple(scenario.zones),
                row.gpus,
                row.cache_gb,
                row.fetch_gb_per_s,
            )
            for row in scenario.flavours
        }
        capacity = {
            Kind(row.label, zone, loaner): row.spot if loaner else row.count
            for row in scenario.flavours
            for zone in scenario.zones
            for loaner in (False, True)
        }
        cloud = Cloud(
            flavours, capacity, self.rng, self._worker_address, table.rps, table.list_lag_s
        )
        cloud.boots = Boots(table.dead, table.late, at_once=table.at_once)
        cloud.spot_per_hour, cloud.spot_notice_s = table.spot_per_hour, table.notice_s
        cloud.spot_silent = table.silent
        agent = CloudAgent(
            cloud,
            self.jobs,
            list(self.places.nodes),
            self.carrier,
            self.history,
            self.rng,
            scenario.workers.report_s,
            scenario.workers.lease_s,
        )
        agent.up, agent.gone = self._up, self._gone
        return agent

    def _worker_address(self, number: int) -> str:
        return str(self.places.worker(number))

    # -- machines ------------------------------------------------------------------------

    def _up(self, agent: WorkerAgent) -> None:
        machine = agent.worker.machine
        host, _, port = machine.address.rpartition(":")
        self.passages.cuts.labels[machine.name] = (machine.hall, "@machines")
        self.carrier.machine_hosts[machine.name] = host
        server = host_server(machine.name, agent.handle, self.places, self.passages)
        self.machines[machine.name] = server
        self.spawn(self._open(server, Place(host, int(port))))

    async def _open(self, server: HostServer, place: Place) -> None:
        try:
            await server.open(place)
        except PortTaken as error:
            self.fail(str(error))

    def _gone(self, name: str) -> None:
        self.carrier.forget(name)
        server = self.machines.pop(name, None)
        if server is not None:
            self.spawn(server.go_dark())

    # -- life ----------------------------------------------------------------------------

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.fail(str(error) if isinstance(error, PortTaken) else repr(error))

    def fail(self, reason: str) -> None:
        self.failure = self.failure or reason
        self.failed.set()

    async def start(self, control: HttpServer) -> None:
        """All of it; ClusterError when something does not come up."""
        raise_file_limit()
        try:
            listening = control.start(*self.places.control)
            self._servers.append(await listen(listening, self.places.control))
            await self._start_outside()
        except PortTaken as error:
            raise ClusterError(str(error)) from None
        for n, path in enumerate(
            written.write_settings(self.scenario, self.places, self.directory)
        ):
            self._add_controller(self.places.nodes[n], path)
        await self._ready()

    async def _start_outside(self) -> None:
        await self._start_state()
        self.cloud_server = host_server(CLOUD, self.cloud.handle, self.places, self.passages)
        self._servers.append(self.cloud_server)
        await self.cloud_server.open(self.places.cloud)
        self.spawn(self.cloud.run())
        for a in range(len(self.places.nodes)):
            for b in range(len(self.places.nodes)):
                if a != b:
                    names = self.places.nodes
                    relay = Relay(names[a], names[b], self.places.peer(b), self.passages)
                    self.spawn(relay.run(self.places.between(a, b)))
        self.spawn(self.front.run(self.places.door))
        for row in self.scenario.flavours:
            for zone in self.scenario.zones:
                for _ in range(row.up):
                    self.cloud.cloud.add(
                        Kind(row.label, zone, False), asyncio.get_running_loop().time(), True
                    )

    async def _start_state(self) -> None:
        path = written.write_state(self.scenario, self.places, self.directory)
        arguments = ["-m", "dunehold.emulator.serve.state", str(path)]
        self.state = Child("state", arguments, self.directory / "state.log", back_s=2.0)
        self.spawn(self.state.run())
        if not await self._until(self._state_answers):
            raise ClusterError(f"state service: {self._last_line(self.state)}")

    async def _state_answers(self) -> bool:
        if self.state.starts > 1:
            raise ClusterError(f"state service: {self._last_line(self.state)}")
        return await self.tell_state(None) is not None

    async def tell_state(self, row: dict[str, Any] | None) -> dict[str, Any] | None:
        """A command to the state service's process, or a question for its status."""
        client = HttpClient(*self.places.state_control, 1)
        body = None if row is None else orjson.dumps(row)
        try:
            status, data = await client.request(
                "GET" if row is None else "POST", "/", body, 2.0
            )
            return orjson.loads(data) if status == 200 else None
        except NoResponse:
            return None
        finally:
            client.close()

    def _add_controller(self, name: str, path: Path) -> None:
        operator = str(self.directory / "operator.sexp")
        arguments = [str(ROOT / "run.py"), "--config", str(path), "--operator", operator]
        child = Child(
            name,
            arguments,
            self.directory / f"{name}.log",
            environment={"LOG_LEVEL": "info"},
        )
        child.ended = lambda code: self._controller_ended(name, code)
        self.controllers[name] = child
        self.spawn(child.run())

    def _controller_ended(self, name: str, code: int) -> None:
        self.history.add("controller", node=name, what="ended", code=code)
        if code != -9:
            self.ended.append((name, code))

    async def _ready(self) -> None:
        if not await self._until(self._someone_healthy):
            lines = "; ".join(f"{n}: {self._last_line(c)}" for n, c in self.controllers.items())
            raise ClusterError(f"no controller became healthy: {lines}")

    async def _someone_healthy(self) -> bool:
        if self.failed.is_set():
            raise ClusterError(self.failure)
        return any(b.healthy for b in self.front.balancer.backends.values())

    async def _until(self, holds: Callable[[], Any]) -> bool:
        for _ in range(int(READY_S / 0.1)):
            if await holds():
                return True
            await asyncio.sleep(0.1)
        return False

    def _last_line(self, child: Child) -> str:
        lines = child.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it says nothing"

    def leader(self) -> str | None:
        """Who says last in its log that it leads."""
        for name, child in self.controllers.items():
            with child.log.open("rb") as log:
                log.seek(self._log_read.get(name, 0))
                # A line that is still being written is read the next time.
                whole = log.read().rpartition(b"\n")[0]
            self._log_read[name] = self._log_read.get(name, 0) + len(whole)
            for line in whole.decode(errors="replace").splitlines():
                if " leads with token " in line:
                    token = int(line.rpartition(" leads with token ")[2].split(":")[0])
                    self._led = max(self._led, (token, name))
        return self._led[1] or None

    async def stop(self) -> None:
        """End everything that was started here, and only that."""
        end_quietly()
        for child in (*self.controllers.values(), getattr(self, "state", None)):
            if child is not None:
                child.wanted = False
                child.kill()
        for agent in self.cloud.workers.values():
            agent.stop()
        for task in list(self._tasks):
            task.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                await asyncio.gather(*list(self._tasks), return_exceptions=True)
        for server in (*self._servers, *self.machines.values()):
            server.close()
        self._sink.close()
