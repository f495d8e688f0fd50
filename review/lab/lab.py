"""A small deployment on loopback: controllers as processes, everything else in this process.

The state service, the cloud and the workers are the project's models. Each controller reaches
the state service and the cloud by ports of its own, so that a case can treat it differently.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from dunehold.emulator.agents.external_services import (  # noqa: E402
    CloudAgent,
    StateAgent,
    WorkerAgent,
)
from dunehold.emulator.history import Event, History  # noqa: E402
from dunehold.emulator.model.base import Reply  # noqa: E402
from dunehold.emulator.model.cloud import Cloud, HostKind, MachineType  # noqa: E402
from dunehold.emulator.model.jobs import Jobs, without_emulator_keys  # noqa: E402
from dunehold.emulator.model.store import Limits, Store  # noqa: E402
from dunehold.transport.http import (  # noqa: E402
    HttpClient,
    HttpServer,
    NoResponse,
    Request,
    Response,
)

# An address of this run's own, so that no port is taken by another run or by a connection.
HOST = f"127.{64 + os.getpid() % 64}.{1 + os.getpid() // 64 % 250}.1"
_ports: set[int] = set()
Handler = Callable[[str, str, bytes | None], Awaitable[Reply]]


class CannotRun(Exception):
    """The case could not be set up; its exit code is 2."""


def free_port() -> int:
    """A port of ``HOST`` that is free and was not handed out before."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port: int = probe.getsockname()[1]
        if port not in _ports:
            _ports.add(port)
            return port


def target_of(request: Request) -> str:
    query = "&".join(f"{key}={value}" for key, value in request.query.items())
    return f"{request.path}?{query}" if query else request.path


async def serve(port: int, handler: Handler) -> asyncio.Server:
    async def handle(request: Request) -> Response:
        answer = await handler(request.method, target_of(request), request.body or None)
        return Response(answer.status, answer.body)

    return await HttpServer(handle, 4000).start(HOST, port)


class Controller:
    """One controller process, started with the command of the deploy file."""

    def __init__(self, lab: Lab, index: int) -> None:
        self.lab, self.index = lab, index
        self.name = f"dunehost-{index}"
        self.zone = lab.zones[index % len(lab.zones)]
        self.port, self.peer_port = free_port(), free_port()
        self.state_port, self.cloud_port = free_port(), free_port()
        self.log = lab.folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def settings(self) -> str:
        rows = [
            f'host_name = "{self.name}"',
            f'site = "{self.zone}"',
            f'bind = "{HOST}:{self.port}"',
            f'peer_bind = "{HOST}:{self.peer_port}"',
        ]
        for other in self.lab.controllers:
            if other is not self:
                rows += [
                    "[[seeds]]",
                    f'host_name = "{other.name}"',
                    f'site = "{other.zone}"',
                    f'address = "{HOST}:{other.peer_port}"',
                ]
        rows += [
            "[endpoints]",
            f'cloud = "{HOST}:{self.cloud_port}"',
            f'state = "{HOST}:{self.state_port}"',
        ]
        return "\n".join(rows) + "\n" + self.lab.params

    async def start(self) -> None:
        path = self.lab.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(deploy["run"]),
                str(path),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.lab.note("controller", node=self.name, what="started")

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self.lab.note("controller", node=self.name, what="killed")

    def freeze(self) -> None:
        self.send_signal(signal.SIGSTOP)
        self.lab.note("controller", node=self.name, what="stopped")

    def thaw(self) -> None:
        self.send_signal(signal.SIGCONT)
        self.lab.note("controller", node=self.name, what="continued")


class Lab:
    """The deployment, its clock and its record."""

    def __init__(
        self,
        record: Path,
        params: str,
        types: list[MachineType],
        capacity: dict[HostKind, int],
        *,
        controllers: int = 3,
        lag_s: float = 2.0,
        seed: int = 1,
    ) -> None:
        values = tomllib.loads(params)["params"]
        self.params, self.zones = params, values["zones"]
        self.lease_s = values["workers"]["lease_s"]
        self.cancel_s = values["workers"]["cancel_s"]
        self.rng = random.Random(seed)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.sink = record.open("w")
        self.began = time.monotonic()
        self.events: list[Event] = []
        self.controllers: list[Controller] = []
        for index in range(controllers):
            self.controllers.append(Controller(self, index))
        names = [each.name for each in self.controllers]
        limits = values["state"]
        self.state = StateAgent(
            Store(
                Limits(
                    limits["rps"],
                    limits["write_rps"],
                    int(limits["value_kb"] * 1024),
                    limits["txn_ops"],
                )
            ),
            rng=self.rng,
        )
        self.jobs = Jobs(self.rng)
        self.history = History(self.now, keep=False, listeners=[self._task_event])
        self.cloud = CloudAgent(
            Cloud(
                {each.name: each for each in types},
                capacity,
                self.rng,
                lambda number: f"{HOST}:{free_port()}",
                rps=values["cloud"]["rps"],
                list_lag_s=lag_s,
            ),
            self.jobs,
            names,
            self,
            self.history,
            self.rng,
            values["workers"]["report_s"],
            self.lease_s,
            speed_spread=0.0,
        )
        self.cloud.on_host_up = self._worker_up
        self.cloud.on_host_gone = self._worker_gone
        self.clients: dict[tuple[str, str], HttpClient] = {}
        self.servers: dict[str, asyncio.Server] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        # Hooks of a case; each may delay, replace or drop.
        self.on_state: Callable[[str, Handler, str, str, bytes | None], Awaitable[Reply]] = (
            lambda node, inner, method, target, body: inner(method, target, body)
        )
        self.on_cloud = self.on_state
        self.on_report: Callable[[str, str, bytes | None], Awaitable[None]] | None = None

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def seconds(self) -> float:
        return time.monotonic() - self.began

    def note(self, kind: str, **data: Any) -> None:
        row = {"at": round(self.seconds(), 3), "kind": kind, **data}
        self.sink.write(json.dumps(row) + "\n")
        self.sink.flush()

    def _task_event(self, event: Event) -> None:
        self.events.append(event)
        self.note(event.kind, **event.data)

    # -- network -----------------------------------------------------------------------

    async def request(
        self,
        source: str,
        target: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """A worker's report, which is what the agents of the workers send."""
        if self.on_report is not None:
            await self.on_report(source, target, body)
        client = self.clients.get((source, target))
        if client is None:
            port = next(c.port for c in self.controllers if c.name == target)
            client = self.clients[source, target] = HttpClient(HOST, port, 1)
        return await client.request(method, path, body, timeout_s)

    def _worker_up(self, agent: WorkerAgent) -> None:
        machine = agent.worker.machine
        self.note("machine", host=machine.name, what="up", flavour=machine.machine_type)

        async def open_server() -> None:
            async def handle(method: str, target: str, body: bytes | None) -> Reply:
                return await agent.handle(method, target, body, "")

            port = int(machine.address.rpartition(":")[2])
            self.servers[machine.name] = await serve(port, handle)

        self.tasks.append(asyncio.get_running_loop().create_task(open_server()))

    def _worker_gone(self, name: str) -> None:
        self.note("machine", host=name, what="gone")
        server = self.servers.pop(name, None)
        if server is not None:
            server.close()

    # -- lifecycle ---------------------------------------------------------------------

    async def open(self) -> None:
        """Opens everything but the controllers."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        for each in self.controllers:
            await self._open_endpoints(each)
        self.tasks += [loop.create_task(self.state.run()), loop.create_task(self.cloud.run())]

    async def start(self) -> None:
        await self.open()
        for each in self.controllers:
            await each.start()
        for _ in range(300):
            answers = [
                await self.ask(each, "GET", "/up", None, 1.0) for each in self.controllers
            ]
            if all(status == 200 for status, _ in answers) and self.leader() is not None:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the controllers did not come up")

    async def _open_endpoints(self, node: Controller) -> None:
        async def state(method: str, target: str, body: bytes | None) -> Reply:
            async def inner(method: str, target: str, body: bytes | None) -> Reply:
                return await self.state.handle(method, target, body, node.name)

            return await self.on_state(node.name, inner, method, target, body)

        async def cloud(method: str, target: str, body: bytes | None) -> Reply:
            async def inner(method: str, target: str, body: bytes | None) -> Reply:
                return await self.cloud.handle(method, target, body, node.name)

            return await self.on_cloud(node.name, inner, method, target, body)

        await serve(node.state_port, state)
        await serve(node.cloud_port, cloud)

    async def stop(self) -> None:
        for agent in list(self.cloud.workers.values()):
            agent.stop()
        for each in self.controllers:
            if each.process is not None:
                await each.kill()
        for task in self.tasks:
            task.cancel()
        if "KEEP_LOGS" in os.environ:
            for each in self.controllers:
                Path(os.environ["KEEP_LOGS"], each.log.name).write_bytes(each.log.read_bytes())
        self.sink.close()
        self._temporary.cleanup()

    # -- users and operators -----------------------------------------------------------

    def stored(self, key: str) -> Any:
        row = self.state.store.rows.get("dunehold/" + key)
        return None if row is None else json.loads(row.value)

    def leader(self) -> Controller | None:
        """The controller that holds the lead, as the state service has it."""
        value = self.stored("leader")
        if value is None:
            return None
        return next((c for c in self.controllers if c.name == value["node"]), None)

    async def ask(
        self, node: Controller, method: str, path: str, row: Any, timeout_s: float
    ) -> tuple[int, Any]:
        """A user's request on a new connection; status 0 if no answer came."""
        client = HttpClient(HOST, node.port, 1)
        body = None if row is None else json.dumps(row).encode()
        try:
            status, data = await client.request(method, path, body, timeout_s)
        except NoResponse:
            return 0, None
        finally:
            client.close()
        with contextlib.suppress(ValueError):
            return status, json.loads(data or b"{}")
        return status, None

    async def submit(self, row: dict[str, Any], node: Controller | None = None) -> int:
        """Uploads and submits a job as a user does, with retries for 60 s."""
        self.jobs.upload(row)
        sent = without_emulator_keys(row)
        ends = self.seconds() + 60.0
        status = 0
        while self.seconds() < ends:
            where = node or self.rng.choice(self.controllers)
            status, answer = await self.ask(where, "POST", "/v1/jobs", sent, 5.0)
            self.note("submit", uid=row["uid"], node=where.name, status=status, answer=answer)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return status

    async def poll(self, uid: str, node: Controller | None = None) -> tuple[int, Any]:
        where = node or self.rng.choice(self.controllers)
        status, answer = await self.ask(where, "GET", f"/v1/jobs/{uid}", None, 2.0)
        self.note("poll", uid=uid, node=where.name, status=status, answer=answer)
        return status, answer

    async def cancel(self, uid: str, node: Controller | None = None) -> tuple[int, Any]:
        where = node or self.rng.choice(self.controllers)
        status, answer = await self.ask(where, "POST", f"/v1/jobs/{uid}/cancel", {}, 5.0)
        self.note("cancel", uid=uid, node=where.name, status=status, answer=answer)
        return status, answer


# The settings of the small simulation deployment, with two of its teams.
BANCO = """
[params]
nodes = 3
zones = ["milano-sud", "brescia-est"]
clock_error_ms = 100.0

[[params.teams]]
name = "farmalba"
cpus = 0.0
cpus_max = 0.0

[[params.teams]]
name = "chimitalia"
cpus = 0.0
cpus_max = 0.0

[[params.objectives]]
kind = "finished"
class = "diffusione"
within_s = 90.0
share = 0.85

[[params.objectives]]
kind = "finished"
class = "diffusione"
within_s = 150.0
share = 0.93

[params.workers]
report_s = 2.5
lease_s = 14.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 34.0

[params.state]
rps = 250.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 24

[params.cloud]
rps = 1.5
list_lag_s = 10.0

[params.machine_limits]
core_share = 1.0
ram_mb = 266.0
sockets = 1800
"""
GRANDE = MachineType(
    "nodo-grande", 64.0, 256.0, 4.92, 1.66, 25.0, ("milano-sud", "brescia-est"), 0.0, 80.0, 0.25
)
OTTO = MachineType(
    "nodo-otto", 8.0, 16.0, 0.51, 0.2, 25.0, ("milano-sud", "brescia-est"), 0.0, 35.0, 0.5
)


def job(number: int, **changes: Any) -> dict[str, Any]:
    """A job as a user submits it; ``real_s`` is for the stand-in workers only."""
    row: dict[str, Any] = {
        "uid": f"job-{number:06d}",
        "jobclass": "diffusione",
        "owner": "farmalba",
        "shape": "batch",
        "rank": "normal",
        "units": 1,
        "vcpus": 4.0,
        "gpus": 0.0,
        "memory_gb": 6.8,
        "bundle": "img-01",
        "size_gb": 0.1,
        "flavours": None,
        "hall": None,
        "together": False,
        "spread": False,
        "loaner": True,
        "expect_s": 35.0,
        "snapshot_s": 0.0,
        "flush_s": 0.0,
        "due_s": None,
    }
    return row | changes


def main(case: Callable[[bool], Awaitable[bool]]) -> int:
    """Runs a case; it returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # the controllers are ended too

    async def bounded() -> bool:
        async with asyncio.timeout(119.0):
            return await case(trouble)

    try:
        held = asyncio.run(bounded())
    except (CannotRun, OSError, TimeoutError, KeyboardInterrupt) as error:
        print(f"could not run: {type(error).__name__} {error}")
        return 2
    print("held" if held else "broken")
    return 0 if held else 1
