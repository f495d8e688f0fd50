"""Runs a whole cluster on loopback addresses.

The state service and the controllers are processes of their own. The cloud, the workers and the
load balancer run in this process.
"""

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

from dunehold.emulator.agents.external_services import CloudAgent, WorkerAgent
from dunehold.emulator.agents.network_gate import NetworkGate
from dunehold.emulator.history import History
from dunehold.emulator.model.balancer import Balancer
from dunehold.emulator.model.cloud import BootProfile, Cloud, HostKind, MachineType
from dunehold.emulator.model.copies import RequestCopies
from dunehold.emulator.model.jobs import Jobs
from dunehold.emulator.scenario import Scenario
from dunehold.emulator.serve import config_files
from dunehold.emulator.serve.addresses import CLOUD, AddressPlan, Endpoint
from dunehold.emulator.serve.load_balancer import LoadBalancerServer
from dunehold.emulator.serve.processes import (
    REPOSITORY_ROOT,
    SupervisedProcess,
    raise_file_limit,
    suppress_loop_errors,
)
from dunehold.emulator.serve.sockets import (
    HostServer,
    PortTaken,
    SocketTransport,
    TcpProxy,
    create_host_server,
    listen,
)
from dunehold.transport.http import HttpClient, HttpServer, NoResponse

READY_TIMEOUT_S = 30.0  # for the state service to answer, and for a controller to get healthy
HISTORY_FILE = "history.jsonl"


class ClusterError(Exception):
    """Raised when the cluster can't start or a part of it fails; the text says what and why."""


@dataclass(slots=True)
class Cluster:
    """The processes, servers and models of one running cluster.

    ``directory`` gets the settings files, the logs, the history and the state service's data.
    ``net`` is the second octet of all addresses. ``event_listeners`` are called with each event
    of the history.
    """

    scenario: Scenario
    directory: Path
    net: int = 77
    event_listeners: list[Callable[[Any], None]] = field(default_factory=list)
    addresses: AddressPlan = field(init=False)
    gate: NetworkGate = field(default_factory=NetworkGate)
    copies: RequestCopies = field(init=False)  # of all requests but the state service's
    history: History = field(init=False)
    rng: Generator = field(init=False)
    jobs: Jobs = field(init=False)
    cloud: CloudAgent = field(init=False)
    cloud_server: HostServer = field(init=False)
    transport: SocketTransport = field(init=False)
    load_balancer: LoadBalancerServer = field(init=False)
    controllers: dict[str, SupervisedProcess] = field(default_factory=dict)
    state: SupervisedProcess = field(init=False)
    # Machine -> its worker's server, for the machines that are up.
    machine_servers: dict[str, HostServer] = field(default_factory=dict)
    # Controllers that ended although the emulator didn't kill them, and their exit codes.
    unexpected_exits: list[tuple[str, int]] = field(default_factory=list)
    failed: asyncio.Event = field(default_factory=asyncio.Event)  # set when a part has failed
    failure: str = ""  # why the first such part failed
    _servers: list[HostServer | asyncio.Server] = field(default_factory=list)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _history_file: Any = None
    _log_offsets: dict[str, int] = field(default_factory=dict)  # controller -> log bytes read
    # The highest fencing token that a controller has logged so far, and that controller's name.
    _latest_leader: tuple[int, str] = (0, "")

    def __post_init__(self) -> None:
        scenario = self.scenario
        self.directory.mkdir(parents=True, exist_ok=True)
        self.addresses = AddressPlan(self.net, config_files.node_names(scenario))
        self.rng = default_rng(scenario.seed)
        self._history_file = (self.directory / HISTORY_FILE).open("wb")
        self.history = History(
            time.monotonic, self._history_file, False, [], self.event_listeners
        )
        self.jobs = Jobs(self.rng)
        for name, groups in config_files.partition_groups(scenario).items():
            self.gate.partitions.groups[name] = tuple(groups)
        self.copies = RequestCopies(self.rng)
        self.transport = SocketTransport(self.addresses, self.gate, self.copies)
        self.cloud = self._create_cloud()
        nodes = {name: self.addresses.node(n) for n, name in enumerate(self.addresses.nodes)}
        self.load_balancer = LoadBalancerServer(
            Balancer.from_names(list(nodes)), nodes, self.gate, self.rng
        )

    def _create_cloud(self) -> CloudAgent:
        scenario, table = self.scenario, self.scenario.cloud
        machine_types = {
            row.label: MachineType(
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
            HostKind(row.label, zone, is_spot): row.spot if is_spot else row.count
            for row in scenario.flavours
            for zone in scenario.zones
            for is_spot in (False, True)
        }
        cloud = Cloud(
            machine_types, capacity, self.rng, self._worker_address, table.rps, table.list_lag_s
        )
        cloud.boot_profile = BootProfile(table.dead, table.late, immediate_share=table.at_once)
        cloud.spot_reclaims_per_hour, cloud.spot_notice_s = table.spot_per_hour, table.notice_s
        cloud.spot_silent_share = table.silent
        agent = CloudAgent(
            cloud,
            self.jobs,
            list(self.addresses.nodes),
            self.transport,
            self.history,
            self.rng,
            scenario.workers.report_s,
            scenario.workers.lease_s,
        )
        agent.on_host_up, agent.on_host_gone = self._on_machine_up, self._on_machine_gone
        return agent

    def _worker_address(self, number: int) -> str:
        return str(self.addresses.worker(number))

    # -- machines ------------------------------------------------------------------------

    def _on_machine_up(self, agent: WorkerAgent) -> None:
        """Opens the server of a new machine and adds the machine to its partition groups."""
        machine = agent.worker.machine
        host, _, port = machine.address.rpartition(":")
        self.gate.partitions.groups[machine.name] = (machine.zone, "@machines")
        self.transport.machine_addresses[machine.name] = host
        server = create_host_server(
            machine.name, agent.handle, self.addresses, self.gate, self.copies
        )
        self.machine_servers[machine.name] = server
        self.spawn(self._open_server(server, Endpoint(host, int(port))))

    async def _open_server(self, server: HostServer, endpoint: Endpoint) -> None:
        try:
            await server.open(endpoint)
        except PortTaken as error:
            self.fail(str(error))

    def _on_machine_gone(self, name: str) -> None:
        self.transport.close_clients(name)
        server = self.machine_servers.pop(name, None)
        if server is not None:
            self.spawn(server.power_off())

    # -- lifecycle -----------------------------------------------------------------------

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine as a task until the cluster stops; its failure fails the cluster."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.fail(str(error) if isinstance(error, PortTaken) else repr(error))

    def fail(self, reason: str) -> None:
        """Marks the cluster as failed; the first reason is kept."""
        self.failure = self.failure or reason
        self.failed.set()

    async def start(self, control: HttpServer) -> None:
        """Starts everything and waits until a controller is healthy.

        Raises ClusterError if an address is in use, if the state service doesn't answer, or if
        no controller gets healthy within ``READY_TIMEOUT_S``.
        """
        raise_file_limit()
        try:
            listening = control.start(*self.addresses.control)
            self._servers.append(await listen(listening, self.addresses.control))
            await self._start_environment()
        except PortTaken as error:
            raise ClusterError(str(error)) from None
        for n, path in enumerate(
            config_files.write_controller_settings(
                self.scenario, self.addresses, self.directory
            )
        ):
            self._add_controller(self.addresses.nodes[n], path)
        await self._wait_until_healthy()

    async def _start_environment(self) -> None:
        """Starts all servers and processes except the controllers.

        These are the state service, the cloud, a proxy for each pair of controllers and
        direction, the load balancer, and the machines that are up from the start.
        """
        await self._start_state()
        self.cloud_server = create_host_server(
            CLOUD, self.cloud.handle, self.addresses, self.gate, self.copies
        )
        self._servers.append(self.cloud_server)
        await self.cloud_server.open(self.addresses.cloud)
        self.spawn(self.cloud.run())
        for a in range(len(self.addresses.nodes)):
            for b in range(len(self.addresses.nodes)):
                if a != b:
                    names = self.addresses.nodes
                    proxy = TcpProxy(names[a], names[b], self.addresses.peer(b), self.gate)
                    self.spawn(proxy.run(self.addresses.peer_proxy(a, b)))
        self.spawn(self.load_balancer.run(self.addresses.load_balancer))
        for row in self.scenario.flavours:
            for zone in self.scenario.zones:
                for _ in range(row.up):
                    self.cloud.cloud.add_host(
                        HostKind(row.label, zone, False),
                        asyncio.get_running_loop().time(),
                        True,
                    )

    async def _start_state(self) -> None:
        path = config_files.write_state_settings(self.scenario, self.addresses, self.directory)
        arguments = ["-m", "dunehold.emulator.serve.state", str(path)]
        self.state = SupervisedProcess(
            "state", arguments, self.directory / "state.log", restart_after_s=2.0
        )
        self.spawn(self.state.run())
        if not await self._wait_for(self._state_answers):
            raise ClusterError(f"state service: {self._last_log_line(self.state)}")

    async def _state_answers(self) -> bool:
        if self.state.starts > 1:  # it ended and was started again
            raise ClusterError(f"state service: {self._last_log_line(self.state)}")
        return await self.control_state_service(None) is not None

    async def control_state_service(self, row: dict[str, Any] | None) -> dict[str, Any] | None:
        """Sends a command to the state service's process, or asks for its status.

        Without ``row`` it asks for the status. Returns None if there is no answer within 2 s,
        or if the answer's HTTP status isn't 200.
        """
        client = HttpClient(*self.addresses.state_control, 1)
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
        arguments = [
            str(REPOSITORY_ROOT / "run.py"),
            "--config",
            str(path),
            "--operator",
            operator,
        ]
        controller = SupervisedProcess(
            name,
            arguments,
            self.directory / f"{name}.log",
            environment={"LOG_LEVEL": "info"},
        )
        controller.on_exit = lambda code: self._controller_ended(name, code)
        self.controllers[name] = controller
        self.spawn(controller.run())

    def _controller_ended(self, name: str, code: int) -> None:
        self.history.add("controller", node=name, what="ended", code=code)
        if code != -9:  # faults kill a controller with SIGKILL
            self.unexpected_exits.append((name, code))

    async def _wait_until_healthy(self) -> None:
        if not await self._wait_for(self._any_controller_healthy):
            lines = "; ".join(
                f"{n}: {self._last_log_line(c)}" for n, c in self.controllers.items()
            )
            raise ClusterError(f"no controller became healthy: {lines}")

    async def _any_controller_healthy(self) -> bool:
        if self.failed.is_set():
            raise ClusterError(self.failure)
        return any(b.healthy for b in self.load_balancer.balancer.backends.values())

    async def _wait_for(self, condition: Callable[[], Any]) -> bool:
        """Checks ``condition`` every 0.1 s; returns False after ``READY_TIMEOUT_S``."""
        for _ in range(int(READY_TIMEOUT_S / 0.1)):
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    def _last_log_line(self, child: SupervisedProcess) -> str:
        lines = child.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"

    def leader(self) -> str | None:
        """Returns the controller that logged the highest fencing token as a leader, or None."""
        for name, child in self.controllers.items():
            with child.log.open("rb") as log:
                log.seek(self._log_offsets.get(name, 0))
                # An incomplete last line is left for the next call.
                complete_lines = log.read().rpartition(b"\n")[0]
            self._log_offsets[name] = self._log_offsets.get(name, 0) + len(complete_lines)
            for line in complete_lines.decode(errors="replace").splitlines():
                if " leads with token " in line:
                    token = int(line.rpartition(" leads with token ")[2].split(":")[0])
                    self._latest_leader = max(self._latest_leader, (token, name))
        return self._latest_leader[1] or None

    async def stop(self) -> None:
        """Stops everything that this cluster started, and nothing else."""
        suppress_loop_errors()
        for child in (*self.controllers.values(), getattr(self, "state", None)):
            if child is not None:
                child.keep_running = False
                child.kill()
        for agent in self.cloud.workers.values():
            agent.stop()
        for task in list(self._tasks):
            task.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                await asyncio.gather(*list(self._tasks), return_exceptions=True)
        for server in (*self._servers, *self.machine_servers.values()):
            server.close()
        self.transport.close()
        self._history_file.close()
