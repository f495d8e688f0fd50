"""A simulated cluster on virtual time, in which the tests run controllers.

The controllers run in this process. The emulator's models stand for the state service, the
cloud, the workers and the users, and a simulated network connects all of them. Every random
choice comes from one seed. The checker receives each event as it happens and is advanced
with the clock, so that a broken rule ends the run.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import orjson

from dunehold.coordination.node import Node
from dunehold.emulator.agents.external_services import CloudAgent, StateAgent, WorkerAgent
from dunehold.emulator.agents.network_gate import NetworkGate
from dunehold.emulator.agents.users import Users
from dunehold.emulator.check import Breach, Checker
from dunehold.emulator.history import Event, History
from dunehold.emulator.model.base import TokenBucket
from dunehold.emulator.model.cloud import BootProfile, Cloud, HostKind, MachineType
from dunehold.emulator.model.copies import RequestCopies
from dunehold.emulator.model.jobs import Jobs
from dunehold.emulator.model.store import Limits, Store
from dunehold.settings import (
    Address,
    Objective,
    OperatorSettings,
    Peer,
    Settings,
    TeamSettings,
)
from dunehold.transport.http import NoResponse, Refused, Request, Response
from dunehold.types import Duration, NodeId, Resources, Team, Zone
from tests.virtual_time import CURRENT_PROCESS, NO_PROCESS_CONTEXT, VirtualLoop

ZONES = ("north", "south")
LEASE_S = 10.0  # duration of a worker's lease
CANCEL_S = 30.0  # a cancelled job must have ended on all machines after this time
REPORT_S = 2.0  # mean interval between two reports of a worker
# Seconds after the last fault from which on the checker applies the stricter rules for a
# cluster without faults, such as that no job waits while a machine has room for it.
CALM_S = 60.0
# True in the context of a fault function and of everything that it spawns.
IN_FAULT_INJECTION: contextvars.ContextVar[bool] = contextvars.ContextVar(
    "in faults", default=False
)
# Seconds after a user has learned a job's final phase during which a node may still answer with
# an earlier one: a node gives no such answer later than 2 s after the question, and this also
# holds for a node whose process was stalled.
MAX_STALENESS_S = 2.1
# (largest value in bytes, most changes in a transaction) of the state service: at the start,
# and after ``StateService.lower_limits``.
INITIAL_STATE_LIMITS = LATER_STATE_LIMITS = (4096, 12)
# Changes per second that the state service allows after ``lower_limits``; None means no limit.
LATER_WRITE_RPS: float | None = None
# name -> (vCPUs, memory in GB, price per hour, machines available per zone, for spot machines
# and for others each)
MACHINE_TYPES = {"small": (4.0, 16.0, 0.2, 5), "big": (16.0, 64.0, 0.9, 1)}
# status, body, and Retry-After in seconds (0 if there is none)
ServiceResponse = tuple[int, bytes, float]
# Handles (method, target, body, source).
Service = Callable[[str, str, bytes | None, str], Awaitable[ServiceResponse]]


class EarlierVersion(Protocol):
    """An earlier version of the controllers that runs in the same world."""

    node: Any  # the earlier version's Node class

    def connect(self, connect: Any) -> Any:
        """Return a connect function whose clients raise that version's exceptions."""


class RuleBroken(AssertionError):
    """The checker found a breach of one of the protocol's rules."""


# -- network -----------------------------------------------------------------------------


class Network:
    """Delivers messages with a random latency; a cut delays or loses them.

    Answered requests may be delivered once more (``copies``).
    """

    def __init__(self, rng: random.Random, copies: RequestCopies) -> None:
        self.rng = rng
        self.services: dict[str, Service] = {}
        self.gate = NetworkGate()
        self.copies = copies
        self.copies_delivered: Counter[str] = Counter()  # by path, without ids

    async def cut_for(
        self, a: str, b: str, mode: str, seconds: float, one_way: bool = False
    ) -> None:
        """Cut ``a`` and ``b`` off from each other, and return when the cut has ended.

        With ``one_way`` only messages from ``a`` to ``b`` are cut. ``mode`` is the value of a
        PartitionMode.
        """
        await self.gate.cut_for(a, b, mode, seconds, one_way)

    def set_zone(self, name: str, zone: str) -> None:
        """Put an endpoint into a zone, so that cuts of the zone apply to it."""
        self.gate.partitions.groups[name] = (zone,)

    async def deliver(self, a: str, b: str) -> None:
        """Return when a message from ``a`` has reached ``b``.

        Raises ConnectionResetError or ConnectionRefusedError when a cut of that mode separates
        the two.
        """
        await asyncio.sleep(self.rng.uniform(0.0005, 0.004))
        await self.gate.wait_until_open(a, b)

    async def call(
        self, a: str, b: str, method: str, target: str, body: bytes | None
    ) -> ServiceResponse:
        """Deliver a request from ``a`` to ``b`` and its response back, without a timeout."""
        await self.deliver(a, b)
        service = self.services.get(b)
        if service is None:
            raise ConnectionRefusedError
        answer = await service(method, target, body, a)
        await self.deliver(b, a)
        self.copies.answered(target, lambda: self.deliver_copy(a, b, method, target, body))
        return answer

    async def deliver_copy(
        self, a: str, b: str, method: str, target: str, body: bytes | None
    ) -> None:
        """Deliver an answered request once more; nobody gets the answer."""
        await self.gate.wait_until_open(a, b)
        service = self.services.get(b)
        if service is not None:
            self.copies_delivered["/".join(target.partition("?")[0].split("/")[:3])] += 1
            await service(method, target, body, a)

    async def request_with_retry_after(
        self, a: str, b: str, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> ServiceResponse:
        """Send a request and return its response; raise Refused or NoResponse without one."""
        # A message that was sent is delivered even if the sending process crashes or stalls,
        # so the call runs outside of that process's context.
        call = asyncio.get_running_loop().create_task(
            self.call(a, b, method, target, body), context=NO_PROCESS_CONTEXT.copy()
        )
        call.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            return await asyncio.wait_for(asyncio.shield(call), timeout_s)
        except ConnectionRefusedError:
            raise Refused("refused") from None
        except (OSError, TimeoutError) as error:
            raise NoResponse(str(error)) from None

    async def request(
        self,
        source: str,
        target: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        return (
            await self.request_with_retry_after(source, target, method, path, body, timeout_s)
        )[:2]


@dataclass
class FakeClient:
    """Stands for HttpClient; a sent request is delivered even after the caller gave up."""

    network: Network
    source: str
    target: str

    async def request(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        return await self.network.request(
            self.source, self.target, method, target, body, timeout_s
        )

    def close(self) -> None:
        pass


# -- state service and cloud, with the faults that tests inject ---------------------------


class StateService(StateAgent):
    """The state service's agent with the faults that tests inject."""

    async def outage(self, seconds: float) -> None:
        """Refuse every node for that long; leases then get their full duration again."""
        self.store.begin_outage()
        await asyncio.sleep(seconds)
        self.store.end_outage(asyncio.get_running_loop().time())
        self.wake_watches()

    def lower_limits(self) -> None:
        """Apply the ``LATER_*`` limits from now on, without telling the controllers."""
        self.store.limits = Limits(None, LATER_WRITE_RPS, *LATER_STATE_LIMITS)
        self.store._write_limiter = TokenBucket(LATER_WRITE_RPS)

    async def refuse_node(self, node: str, seconds: float) -> None:
        """Answer this node alone with 503, whichever of its incarnations asks."""
        names = {node, *(f"{node}#{incarnation}" for incarnation in range(50))}
        self.store.refused_sources |= names
        await asyncio.sleep(seconds)
        self.store.refused_sources -= names


class CloudService(CloudAgent):
    """The cloud's agent with the faults that tests inject."""

    def remove_host(self, name: str, failed: bool = False) -> None:
        """Delete a machine or, if ``failed``, stop it so that it stays listed for a while."""
        now = asyncio.get_running_loop().time()
        if failed:
            self.cloud.fail_host(name, now)
        else:
            self.cloud.delete_hosts([name], now)
        self.process_events()

    async def reclaim_host(self, name: str, notice_s: float) -> None:
        """Take a machine back after a notice to its worker."""
        with self.workers[name].modify() as worker:
            worker.notify_reclaim(asyncio.get_running_loop().time(), notice_s)
        await asyncio.sleep(notice_s)
        self.remove_host(name)


# -- the world ---------------------------------------------------------------------------


class NodeProcess:
    """A controller process that can crash, stall and restart without any memory."""

    def __init__(self, world: World, index: int) -> None:
        self.world, self.index, self.name = world, index, f"n{index}"
        self.incarnation = 0  # number of boots so far
        # Only in a world that starts with an earlier version: whether it runs the current one.
        self.upgraded = False
        self.node: Node | None = None
        self.task: asyncio.Task[None] | None = None
        self.context = contextvars.Context()
        self.context.run(CURRENT_PROCESS.set, self)
        world.network.set_zone(self.name, ZONES[index % len(ZONES)])

    def boot(self) -> None:
        """Start a new incarnation of the controller, of the version that is in force."""
        self.incarnation += 1
        # A process that has run the current version never goes back to the earlier one.
        self.upgraded = self.upgraded or self.world.earlier_version is None
        source = f"{self.name}#{self.incarnation}"
        network = self.world.network
        network.set_zone(source, ZONES[self.index % len(ZONES)])

        def connect(host: str, port: int, links: int) -> FakeClient:
            return FakeClient(network, source, host)

        earlier = None if self.upgraded else self.world.earlier_version
        node_class = Node if earlier is None else earlier.node
        self.node = node_class(
            self.world.settings(self.index),
            connect if earlier is None else earlier.connect(connect),
            wall=self.world.now,
            incarnation=f"{self.name}-{self.incarnation}",
        )
        if self.world.tamper is not None:
            self.world.tamper(self.node)
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.node.act(), context=self.context)
        network.services[self.name] = self._handle

    async def _handle(
        self, method: str, target: str, body: bytes | None, source: str
    ) -> ServiceResponse:
        node = self.node
        if node is None:
            raise ConnectionRefusedError
        handler = node.handle_peer if target.startswith("/peer/") else node.handle
        handler = node.handle_operator if target.startswith("/operators/") else handler
        loop = asyncio.get_running_loop()
        request = Request(method, target, {}, body or b"")
        response = await loop.create_task(handler(request), context=self.context)
        if self.node is not node:
            raise ConnectionResetError
        self.world.check_response(request, response)
        return response.status, response.body, float(response.retry_after or 0)

    def crash(self) -> None:
        """End the process at once; requests to it are refused until it boots again."""
        self.world.network.services.pop(self.name, None)
        if self.node is not None and self.node.leader is not None:
            self.node.leader.stop()
        if self.task is not None:
            self.task.cancel()
        self.node = self.task = None

    def stall(self, seconds: float) -> None:
        """Run nothing of this process for that long while the clock continues."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.stall(self, seconds)

    async def restart(self, after: float) -> None:
        """Crash now, and boot ``after`` seconds later unless it was booted meanwhile."""
        self.crash()
        await asyncio.sleep(after)
        if self.node is None:
            self.boot()


class World:
    """A few controllers and everything around them, determined by one seed.

    ``tamper`` changes each node that boots; tests plant faults with it.
    """

    def __init__(
        self, seed: int, tamper: Callable[[Node], None] | None = None, nodes: int = 3
    ) -> None:
        self.rng = random.Random(seed)
        self.tamper = tamper
        # Copies have random numbers of their own: a world without them stays as it is.
        self.network = Network(self.rng, RequestCopies(random.Random(seed)))
        self.limits = {"blue": 24.0, "red": 0.0, "guest": 0.0}  # CPUs by team; 0: no limit
        self.broken_share = 0.0  # share of jobs whose tasks fail whenever they run
        # Share of jobs that belong to team guest: of idle priority, with up to 300 tasks.
        self.guest_share = 0.0
        self.measured = 0.0  # seconds, or another quantity that a test measures
        self.leader_count = 0  # controllers that led while a test measured
        self.machines_kept = 1.0  # share of the machines that were kept during a fault
        self.counts: Counter[str] = Counter()  # how often the situation under test arose
        self.breaches: list[Breach | str] = []
        self._tasks_in_flight: set[asyncio.Task[Any]] = set()
        self._fault_tasks: set[asyncio.Future[Any]] = set()  # faults that are in progress
        self.history = History(self.now, keep=False, listeners=[self._on_event])
        self.checker = Checker(
            {team: (most or None, None) for team, most in self.limits.items()},
            CANCEL_S,
            {name: (row[0], 0.0, row[1]) for name, row in MACHINE_TYPES.items()},
            self.breaches,  # type: ignore[arg-type]
        )
        self.failed_tasks = 0  # tasks that ended with an error
        # Seconds after a user learned a job's final phase until which a node may contradict it.
        self.max_staleness_s = MAX_STALENESS_S
        # Share of arrivals that are several jobs with dependencies between them.
        self.pipeline_share = 0.0
        # The version that nodes run until they are upgraded; None for the current one.
        self.earlier_version: EarlierVersion | None = None
        self.state = StateService(
            Store(Limits(None, None, *INITIAL_STATE_LIMITS)), rng=self.rng
        )
        self.network.services["state"] = self._as_service(self.state.handle)
        self.nodes = [NodeProcess(self, index) for index in range(nodes)]
        self.jobs = Jobs(self.rng)
        self.cloud = self._cloud()
        self.network.services["cloud"] = self._as_service(self.cloud.handle)
        self.users = Users(self, self.history, self.rng)

    def _cloud(self) -> CloudService:
        types = {
            name: MachineType(name, cpus, memory, price, price / 3, 8.0, ZONES, 0.0, 20.0, 0.5)
            for name, (cpus, memory, price, _) in MACHINE_TYPES.items()
        }
        capacity = {
            HostKind(name, zone, spot): row[3]
            for name, row in MACHINE_TYPES.items()
            for zone in ZONES
            for spot in (True, False)
        }
        cloud = Cloud(types, capacity, self.rng, lambda number: f"m-{number:06d}:9000")
        cloud.boot_profile = BootProfile(
            never_share=0.03, late_share=0.1, late_factor=2.5, immediate_share=0.1
        )
        names = [node.name for node in self.nodes]
        service = CloudService(
            cloud, self.jobs, names, self.network, self.history, self.rng, REPORT_S, LEASE_S
        )
        service.on_host_up, service.on_host_gone = self._on_host_up, self._on_host_gone
        return service

    def _on_host_up(self, agent: WorkerAgent) -> None:
        machine = agent.worker.machine
        self.network.set_zone(machine.name, machine.zone)
        self.network.services[machine.name] = self._as_service(agent.handle)

    def _on_host_gone(self, name: str) -> None:
        self.network.services.pop(name, None)

    @staticmethod
    def _as_service(handle: Any) -> Service:
        async def serve(
            method: str, target: str, body: bytes | None, source: str
        ) -> ServiceResponse:
            status, data = await handle(method, target, body, source)
            return status, data, 0.0

        return serve

    def check_response(self, request: Request, response: Response) -> None:
        """Record a breach when a node's answer contradicts a final phase that the user knows.

        The checker ignores an earlier phase in an answer to a question that was sent before
        the user learned the final phase. This check compares instead with the moment at which
        the node answers, and so also limits how old the content of such an answer may be.
        """
        uid = request.path.split("/")[3] if request.path.startswith("/v1/jobs/") else ""
        job = self.checker.jobs.get(uid)
        if (
            job is None
            or job.final_phase is None
            or self.now() <= job.final_at + self.max_staleness_s
        ):
            return
        row = orjson.loads(response.body or b"{}")
        phase = row.get("phase") if response.status == 200 else "404"
        if response.status in (200, 404) and phase != job.final_phase:
            self.breaches.append(
                f"went_back: {uid}, known to be {job.final_phase}, is called {phase}"
            )

    def _on_event(self, event: Event) -> None:
        self.failed_tasks += event.kind == "off" and event.data["why"] == "error"
        self.checker.feed(event)

    @staticmethod
    def now() -> float:
        """The virtual time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def killed_tasks(self) -> int:
        """Number of tasks that workers killed because their lease had expired."""
        return self.cloud.killed_tasks

    @property
    def lost_tasks(self) -> int:
        """Number of tasks that were on machines which the cloud removed or which failed."""
        return self.cloud.lost_tasks

    @property
    def final_phases(self) -> dict[str, str]:
        """Job -> the first final phase that a user was told."""
        return self.users.final_phases

    @property
    def job_rows(self) -> list[dict[str, Any]]:
        """The rows of all jobs that were submitted so far."""
        return list(self.jobs.rows.values())

    def spawn(self, work: Awaitable[Any]) -> None:
        """Run ``work`` in the background; within a fault it counts as part of the fault.

        Activities of users don't count as part of a fault: a user polls until the run ends.
        """
        task = asyncio.ensure_future(work)
        if IN_FAULT_INJECTION.get() and not getattr(work, "__qualname__", "").startswith(
            "Users."
        ):
            self._fault_tasks.add(task)
        self._tasks_in_flight.add(task)
        task.add_done_callback(self._tasks_in_flight.discard)

    def settings(self, index: int) -> Settings:
        """The settings of the node with that index."""
        peers = [i for i in range(len(self.nodes)) if i != index]
        return Settings(
            node=NodeId(f"n{index}"),
            zone=Zone(ZONES[index % len(ZONES)]),
            listen=Address(f"n{index}", 1),
            peer_listen=Address(f"n{index}", 2),
            peers=tuple(
                Peer(NodeId(f"n{i}"), Zone(ZONES[i % len(ZONES)]), Address(f"n{i}", 2))
                for i in peers
            ),
            cloud=Address("cloud", 1),
            state=Address("state", 1),
            zones=tuple(Zone(zone) for zone in ZONES),
            clock_error_s=Duration(0.01),
            teams={
                Team(name): TeamSettings(
                    Team(name),
                    Resources(0.0 if name == "guest" else 8.0, 0.0, 1e9),
                    limit or None,
                    None,
                )
                for name, limit in self.limits.items()
            },
            objectives=(Objective("wait", "quick", 0.9, Duration(4.0), 1.0),),
            report_s=Duration(REPORT_S),
            lease_s=Duration(LEASE_S),
            cancel_s=Duration(CANCEL_S),
            state_rps=200.0,
            state_write_rps=60.0,
            value_bytes=min(INITIAL_STATE_LIMITS[0], LATER_STATE_LIMITS[0]),
            txn_ops=min(INITIAL_STATE_LIMITS[1], LATER_STATE_LIMITS[1]),
            write_burst=float(INITIAL_STATE_LIMITS[1]),
            later_write_rps=LATER_WRITE_RPS,
            cloud_rps=5.0,
            list_lag_s=Duration(2.0),
            core_share=1.0,
            memory_mb=256.0,
            sockets=1000,
            operator=OperatorSettings(idle_return_s=15.0, silent_return_s=25.0),
        )

    # -- users ---------------------------------------------------------------------------

    def make_job(self, number: int) -> dict[str, Any]:
        """Draw a job at random, as a row of the users' protocol with the emulator's keys."""
        rng = self.rng
        quick = rng.random() < 0.3
        if rng.random() < self.guest_share:
            return self._guest_job(number)
        spread = rng.random() < 0.15
        return {
            "uid": f"job-{number:06d}",
            "jobclass": "quick" if quick else "long",
            "owner": rng.choice(["blue", "red"]),
            "shape": rng.choice(["batch"] * 10 + ["standing", "gang"]),
            "rank": "high" if quick else rng.choice(["normal", "normal", "idle"]),
            "units": rng.choice([1, 2, 4, 6]),
            "vcpus": rng.choice([1.0, 2.0, 4.0]) if quick else rng.choice([2.0, 4.0, 8.0]),
            "gpus": 0.0,
            "memory_gb": rng.choice([1.0, 4.0]),
            "bundle": f"img-{rng.randrange(3)}",
            "size_gb": 1.0,
            "flavours": rng.choice([None, None, ["big"]]),
            "hall": rng.choice([None, None, None, "north"]),
            "together": not spread and rng.random() < 0.2,
            "spread": spread,
            "loaner": rng.random() < 0.8,
            "expect_s": rng.uniform(3.0, 20.0),
            "snapshot_s": rng.choice([0.0, 0.0, 4.0]),
            "flush_s": 0.5,
            "due_s": rng.choice([None, 60.0]),
            "real_s": rng.uniform(2.0, 25.0),
            "broken": rng.random() < self.broken_share,
        }

    def _guest_job(self, number: int) -> dict[str, Any]:
        rng = self.rng
        units, cpus, real_s, saves = rng.choice(
            [(300, 0.25, 2.0, 0.0), (30, 1.0, 40.0, 4.0), (1, 0.5, 1.0, 0.0)]
        )
        return {
            "uid": f"job-{number:06d}", "jobclass": "leftover", "owner": "guest",
            "shape": "batch", "rank": "idle", "units": units, "vcpus": cpus, "gpus": 0.0,
            "memory_gb": 0.5, "bundle": "img-9", "size_gb": 0.5, "flavours": None,
            "hall": None, "together": False, "spread": False, "loaner": True,
            "expect_s": real_s, "snapshot_s": saves, "flush_s": 0.5, "due_s": None,
            "real_s": real_s,
        }  # fmt: skip

    async def request_with_retry_after(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> ServiceResponse:
        """Send a user's request to a random node (``ServiceClient``)."""
        node = self.rng.choice(self.nodes)
        return await self.network.request_with_retry_after(
            "users", node.name, method, path, body, timeout_s
        )

    def _cancel_after(self, job: dict[str, Any], drawn: float | None) -> float | None:
        if job.get("broken"):
            return drawn or 60.0
        return drawn or 30.0 if job["shape"] == "standing" else drawn

    # -- running -------------------------------------------------------------------------

    async def check_rules(self) -> None:
        """Advance the checker regularly; return once a rule is broken."""
        while True:
            await asyncio.sleep(0.25)
            self.checker.advance(self.now())
            if self.breaches:
                return

    async def arrivals(self, until: float) -> None:
        """Submit jobs at random intervals, 2.5 s on average, until that time."""
        number = 0
        while self.now() < until:
            number += 1
            if self.pipeline_share and self.rng.random() < self.pipeline_share:
                self.spawn(self._submit_pipeline(number * 1000))
                await asyncio.sleep(self.rng.expovariate(0.4))
                continue
            job = self.make_job(number)
            self.jobs.upload(job)
            drawn = self.rng.uniform(1.0, 30.0) if self.rng.random() < 0.2 else None
            self.spawn(self.users.run_job(job, self._cancel_after(job, drawn)))
            await asyncio.sleep(self.rng.expovariate(0.4))

    async def _inject_faults(self, faults: Callable[[World], Awaitable[None]]) -> None:
        """Run the faults, and tell the checker when their effects must be over.

        That is ``CALM_S`` after the fault function and everything that it spawned has ended;
        some never end. Only from then on is it a failure that a job waits while a machine has
        room for it.
        """
        IN_FAULT_INJECTION.set(True)
        await faults(self)
        while running := [task for task in self._fault_tasks if not task.done()]:
            await asyncio.wait(running)
        await asyncio.sleep(CALM_S)
        self.checker.calm_since = self.now()

    def random_dependencies(self) -> list[list[int]]:
        """Draw the dependencies of a pipeline's jobs, as indices of earlier jobs.

        The graph is a chain, a diamond, a fan-out that joins, a join that fans out, or random.
        """
        rng = self.rng
        return rng.choice(
            [
                [[], [0], [1], [2]],
                [[], [0], [0], [1, 2]],
                [[], [0], [0], [0], [1, 2, 3]],
                [[], [], [0, 1], [2], [2]],
                [sorted(rng.sample(range(n), rng.randint(0, min(n, 2)))) for n in range(6)],
            ]
        )

    async def _submit_pipeline(self, number: int) -> None:
        """Submit the jobs of a pipeline, each once those that it depends on are accepted.

        Some jobs are submitted only after their dependencies have ended.
        """
        rng, names = self.rng, []
        earlier = [
            uid for uid in self.users.accepted if self.jobs.rows[uid]["shape"] == "batch"
        ]
        for count, needs in enumerate(self.random_dependencies()):
            job = self.make_job(number + count)
            job |= {"shape": "batch", "real_s": rng.uniform(1.0, 8.0), "expect_s": 4.0}
            needed = [names[need] for need in needs]
            if needs == [] and earlier and rng.random() < 0.3:
                needed = [rng.choice(sorted(earlier))]
            job["awaits"] = needed
            names.append(job["uid"])
            late = rng.random() < 0.15
            while not all(
                uid in self.users.accepted and (not late or uid in self.users.final_phases)
                for uid in needed
            ):
                await asyncio.sleep(0.3)
            self.jobs.upload(job)
            drawn = rng.uniform(0.5, 20.0) if rng.random() < 0.1 else None
            self.spawn(self.users.run_job(job, drawn))

    async def run(
        self, faults: Callable[[World], Awaitable[None]], busy_s: float, end_s: float
    ) -> None:
        """Run everything until ``end_s``, or until a rule is broken.

        Jobs arrive until ``busy_s``. Raises RuleBroken with the first breaches.
        """
        for node in self.nodes:
            node.boot()
        self.spawn(self.users.poll_unknown_job(7.0))
        self.spawn(self.cloud.run())
        self.spawn(self.state.run())
        self.spawn(self.arrivals(busy_s))
        self.spawn(self._inject_faults(faults))
        checking = asyncio.ensure_future(self.check_rules())
        await asyncio.wait([checking], timeout=end_s)
        checking.cancel()
        for node in self.nodes:
            node.crash()
        if self.breaches:
            raise RuleBroken("; ".join(map(str, self.breaches[:3])))
