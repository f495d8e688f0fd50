"""Stand-ins for network, state service, cloud, workers and users, and the rule checker.

Written from the published protocol. Everything random comes from one seed, everything
happens on virtual time, and the checker looks after every step that could break a rule.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import random
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from dunehold.coordination.node import Node
from dunehold.settings import (
    Address,
    Objective,
    OperatorSettings,
    Peer,
    Settings,
    TeamSettings,
)
from dunehold.transport.http import NoResponse, Refused, Request
from dunehold.types import Duration, NodeId, Room, Team, Zone
from tests.virtual import NOBODY, OWNER, VirtualLoop

ZONES = ("north", "south")
LEASE_S, CANCEL_S, REPORT_S = 10.0, 30.0, 2.0
TYPES = {"small": (4.0, 16.0, 0.2), "big": (16.0, 64.0, 0.9)}
Reply = tuple[int, bytes]
Service = Callable[[str, str, bytes | None, str], Awaitable[Reply]]


def dump(value: Any) -> bytes:
    return orjson.dumps(value)


class RuleBroken(AssertionError):
    pass


# -- network -----------------------------------------------------------------------------


class Network:
    """Messages take a while; a cut holds them back or loses them."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.services: dict[str, Service] = {}
        self.zone_of: dict[str, str] = {}
        # pair of names or zones -> hold, reset, refuse
        self.cuts: dict[frozenset[str], str] = {}
        self.healed = asyncio.Event()

    def cut_between(self, a: str, b: str) -> str | None:
        for x in (a, self.zone_of.get(a, "")):
            for y in (b, self.zone_of.get(b, "")):
                mode = self.cuts.get(frozenset((x, y)))
                if mode is not None and x and y and (x != y):
                    return mode
        return None

    async def for_a_while(self, a: str, b: str, mode: str, seconds: float) -> None:
        self.cuts[frozenset((a, b))] = mode
        await asyncio.sleep(seconds)
        self.cuts.pop(frozenset((a, b)), None)
        self.healed.set()
        self.healed = asyncio.Event()

    async def pass_(self, a: str, b: str) -> None:
        """Return when a message from a has reached b."""
        await asyncio.sleep(self.rng.uniform(0.0005, 0.004))
        while (mode := self.cut_between(a, b)) is not None:
            if mode == "reset":
                raise ConnectionResetError
            if mode == "refuse":
                raise ConnectionRefusedError
            await self.healed.wait()

    async def call(self, a: str, b: str, method: str, target: str, body: bytes | None) -> Reply:
        await self.pass_(a, b)
        service = self.services.get(b)
        if service is None:
            raise ConnectionRefusedError
        reply = await service(method, target, body, a)
        await self.pass_(b, a)
        return reply


@dataclass
class FakeClient:
    """As HttpClient, but what was sent goes on its way though nobody waits any more."""

    network: Network
    source: str
    target: str

    async def request(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> Reply:
        # What is on its way goes on, whatever becomes of the process that sent it.
        call = asyncio.get_running_loop().create_task(
            self.network.call(self.source, self.target, method, target, body),
            context=NOBODY.copy(),
        )
        call.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            return await asyncio.wait_for(asyncio.shield(call), timeout_s)
        except ConnectionRefusedError:
            raise Refused("refused") from None
        except (OSError, TimeoutError) as error:
            raise NoResponse(str(error)) from None

    def close(self) -> None:
        pass


# -- state service -----------------------------------------------------------------------


class StateService:
    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.log: list[tuple[int, str, Any, bool]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # id -> (life, ends)
        self.next_lease = 1
        self.down = False
        self.refused: set[str] = set()  # nodes that alone get 503
        self.changed = asyncio.Event()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _expire(self) -> None:
        if self.down:
            return
        for lease in [i for i, (_, ends) in self.leases.items() if ends < self._now()]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, (_, _, held) in self.keys.items() if held == lease]:
            self.revision += 1
            del self.keys[key]
            self._record(self.revision, key, None, True)

    def _record(self, revision: int, key: str, value: Any, deleted: bool) -> None:
        self.log.append((revision, key, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def outage(self, seconds: float) -> None:
        self.down = True
        await asyncio.sleep(seconds)
        self.down = False
        now = self._now()
        self.leases = {i: (life, now + life) for i, (life, _) in self.leases.items()}

    async def refuse(self, node: str, seconds: float) -> None:
        self.refused.add(node)
        await asyncio.sleep(seconds)
        self.refused.discard(node)

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        if self.down or source.split("#")[0] in self.refused:
            return 503, b"{}"
        self._expire()
        path, _, rest = target.partition("?")
        query = dict(part.split("=", 1) for part in rest.split("&") if part)
        if path == "/txn":
            return self._txn(orjson.loads(body or b"{}"))
        if path == "/leases":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            life = orjson.loads(body or b"{}")["life_ms"] / 1000
            self.leases[lease] = (life, self._now() + life)
            return 200, dump({"grant": lease})
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, b"{}"
            if method == "DELETE":
                self._end_lease(lease)
            else:
                life = self.leases[lease][0]
                self.leases[lease] = (life, self._now() + life)
            return 200, b"{}"
        if path == "/store":
            found = sorted(k for k in self.keys if k.startswith(query["starts"]))
            found = [k for k in found if k > query.get("after", "")]
            rows = [{"path": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in found]
            return 200, dump(
                {"entries": rows[:50], "more": len(rows) > 50, "epoch": self.revision}
            )
        if path == "/changes":
            return await self._changes(query)
        return 400, b"{}"

    def _txn(self, row: dict[str, Any]) -> Reply:
        failed = [
            g["path"]
            for g in row["guards"]
            if self.keys.get(g["path"], (None, 0, None))[1] != g["stamp"]
        ]
        for write in row["writes"]:
            if write.get("grant") is not None and write["grant"] not in self.leases:
                return 400, dump({"error": "no such lease"})
            if len(dump(write.get("v"))) > 4096:
                return 400, dump({"error": "too large"})
        if len(row["writes"]) > 12 or len(row["guards"]) > 48:
            return 400, dump({"error": "too many"})
        if failed:
            return 409, dump({"failed": failed, "epoch": self.revision})
        if row["writes"]:
            self.revision += 1
        for write in row["writes"]:
            if "put" in write:
                self.keys[write["put"]] = (write["v"], self.revision, write.get("grant"))
                self._record(self.revision, write["put"], write["v"], False)
            elif self.keys.pop(write["drop"], None) is not None:
                self._record(self.revision, write["drop"], None, True)
        return 200, dump({"epoch": self.revision})

    async def _changes(self, query: dict[str, str]) -> Reply:
        after, ends = int(query["after"]), self._now() + int(query["hold_ms"]) / 1000
        while True:
            self._expire()
            news = [entry for entry in self.log if entry[0] > after]
            left = ends - self._now()
            if (news and not self.down) or left <= 1e-6:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
        rows = [
            {"drop": key, "stamp": revision}
            if deleted
            else {"put": key, "v": value, "stamp": revision}
            for revision, key, value, deleted in news
        ]
        return 200, dump({"epoch": self.revision, "news": rows})


# -- workers -----------------------------------------------------------------------------


@dataclass
class WorkerTask:
    item: str
    attempt: int
    phase: str
    cause: str | None = None
    on_machine: bool = False


class Worker:
    def __init__(self, world: World, name: str, kind: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], WorkerTask] = {}
        self.lease_from = world.now()
        self.sick = False
        self.speed = world.rng.uniform(0.9, 1.1)
        self.hung_until = 0.0
        self.taken_at: float | None = None  # the end of its notice
        self.gone = False
        self.wake = asyncio.Event()
        self.node = world.rng.randrange(len(world.nodes))
        self.images: set[str] = set()
        world.network.zone_of[name] = zone
        world.network.services[name] = self.handle
        world.spawn(self._reports())
        world.spawn(self._lease())

    async def _hang(self) -> None:
        while self.world.now() < self.hung_until:
            await asyncio.sleep(self.hung_until - self.world.now() + 0.001)

    async def _lease(self) -> None:
        while not self.gone:
            await asyncio.sleep(0.1)
            # A hanging machine resumes within its lease or not at all.
            if self.world.now() - self.lease_from > LEASE_S:
                self.world.killed += sum(task.on_machine for task in self.tasks.values())
                for task in list(self.tasks.values()):
                    self._off(task)
                self.tasks.clear()
                self.session += 1
                self.lease_from = self.world.now()
                self.wake.set()

    def _off(self, task: WorkerTask) -> None:
        if task.on_machine:
            task.on_machine = False
            self.world.checker.left(task.item, self)

    def vanish(self) -> None:
        self.gone = True
        self.world.lost += sum(task.on_machine for task in self.tasks.values())
        for task in self.tasks.values():
            self._off(task)
        self.tasks.clear()
        self.world.network.services.pop(self.name, None)

    def report(self) -> dict[str, Any]:
        self.sequence += 1
        rows = []
        for task in self.tasks.values():
            row: dict[str, Any] = {"item": task.item, "try": task.attempt, "phase": task.phase}
            if task.cause:
                row["cause"] = task.cause
            rows.append(row)
        return {
            "host": self.name,
            "address": f"{self.name}:9000",
            "flavour": self.kind,
            "hall": self.zone,
            "loaner": self.spot,
            "tenure": self.session,
            "tally": self.sequence,
            "baton": self.token,
            "reclaim_s": None if self.taken_at is None else self.taken_at - self.world.now(),
            "units": rows,
        }

    async def _reports(self) -> None:
        world = self.world
        while not self.gone:
            await self._hang()
            sent, session = world.now(), self.session
            body = dump(self.report())
            node = world.nodes[self.node]
            client = FakeClient(world.network, self.name, node.name)
            pause = REPORT_S * world.rng.uniform(0.75, 1.25)
            try:
                status, data = await client.request("POST", "/v1/report", body, 4.0)
            except NoResponse:
                status, data = 0, b""
            await self._hang()
            if self.gone:
                return
            if status == 200:
                reply = orjson.loads(data)
                if reply["baton"] >= self.token and session == self.session:
                    self.token = reply["baton"]
                    if world.now() - sent <= 4.0:
                        self.lease_from = max(self.lease_from, sent)
                        self.execute(reply["orders"])
            else:
                named = orjson.loads(data).get("steward") if status == 421 else None
                names = [n.name for n in world.nodes]
                if named in names and names.index(named) != self.node:
                    self.node = names.index(named)
                    continue
                self.node = (self.node + 1) % len(names)
                pause = 1.0
            try:
                await asyncio.wait_for(self.wake.wait(), pause)
                await asyncio.sleep(max(0.0, sent + 0.5 - world.now()))
            except TimeoutError:
                pass
            self.wake.clear()

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        await self._hang()
        if self.gone:
            raise ConnectionResetError
        if target == "/status":
            return 200, dump(self.report())
        row = orjson.loads(body or b"{}")
        if row["baton"] > self.token:
            self.token = row["baton"]
            self.wake.set()
        if row["baton"] < self.token or row["tenure"] != self.session:
            return 409, dump(self.report())
        self.execute(row["orders"])
        return 200, dump(self.report())

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["item"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "run" and task is None:
                self._start(*key)
            elif order["verb"] == "stop" and task is not None and task.phase != "ended":
                self._end(task, "halted")
            elif order["verb"] == "reap" and task is not None and task.phase == "ended":
                del self.tasks[key]

    def _start(self, item: str, attempt: int) -> None:
        task = WorkerTask(item, attempt, "pulling")
        self.tasks[item, attempt] = task
        busy = any(
            t.item == item and t.phase != "ended" and t is not task for t in self.tasks.values()
        )
        job = self.world.jobs[item.split("/")[0]]
        used = sum(
            self.world.jobs[t.item.split("/")[0]]["vcpus"]
            for t in self.tasks.values()
            if t.phase != "ended"
        )
        if busy:
            self._end(task, "in_use")
        elif used > TYPES[self.kind][0]:
            self._end(task, "no_room")
        else:
            self.world.spawn(self._run(task, job, self.session))

    async def _run(self, task: WorkerTask, job: dict[str, Any], session: int) -> None:
        def over() -> bool:
            return self.gone or session != self.session or task.phase == "ended"

        if job["bundle"] not in self.images:
            await asyncio.sleep(self.world.rng.uniform(0.5, 3.0))
            await self._hang()
            self.images.add(job["bundle"])
        if over():
            return
        task.phase = "running"
        task.on_machine = True
        self.world.checker.started(task.item, self)
        self.wake.set()
        if self.sick or job.get("broken"):
            await asyncio.sleep(0.3)
            if not over():
                self._end(task, "error")
            return
        done = (job["uid"], int(task.item.split("/")[1])) in self.world.completed
        await asyncio.sleep(0.0 if done else job["real_s"] / self.speed)
        await self._hang()
        if not over():
            self.world.completed.add((job["uid"], int(task.item.split("/")[1])))
            self._end(task, "done")

    def _end(self, task: WorkerTask, cause: str) -> None:
        self._off(task)
        self.world.errors += cause == "error"
        task.phase, task.cause = "ended", cause
        self.wake.set()


# -- cloud -------------------------------------------------------------------------------


class Cloud:
    def __init__(self, world: World) -> None:
        self.world = world
        self.workers: dict[str, Worker] = {}
        self.booting: dict[str, tuple[str, str, bool, float]] = {}
        self.failed: dict[str, tuple[str, str, bool, float]] = {}
        self.rentals: dict[str, list[str]] = {}
        self.count = 0
        self.dead_boots, self.boot_times = 0.03, (0.5, 6.0, 8.0, 10.0, 20.0)
        self.lag_s = 0.0  # lists are up to twice as old
        self._lists: deque[tuple[float, list[dict[str, Any]]]] = deque(maxlen=200)
        self.capacity = {("small", z, s): 5 for z in ZONES for s in (True, False)}
        self.capacity |= {("big", z, s): 1 for z in ZONES for s in (True, False)}

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        row = orjson.loads(body) if body else {}
        if target == "/flavors":
            rows = [
                {"label": name, "vcpus": cpus, "gpus": 0, "memory_gb": memory, "cache_gb": 20,
                 "fetch_gb_per_s": 0.5, "price": price, "spot_price": price / 3, "boot_s": 8.0,
                 "halls": list(ZONES)}
                for name, (cpus, memory, price) in TYPES.items()
            ]  # fmt: skip
            return 200, dump({"flavours": rows})
        if target == "/hosts":
            return self._rent(row)
        if target == "/hosts/delete":
            for name in row["hosts"]:
                self.remove(name)
            return 200, b"{}"
        return 200, dump({"hosts": self._old_list(), "more": False})

    async def lag(self) -> None:
        while True:
            self._lists.append((self.world.now(), self._list()))
            await asyncio.sleep(0.5)

    def _old_list(self) -> list[dict[str, Any]]:
        before = self.world.now() - self.world.rng.uniform(0.0, 2.0) * self.lag_s
        old = [rows for at, rows in self._lists if at <= before]
        return old[-1] if old and self.lag_s else self._list()

    def _kind(self, name: str) -> tuple[str, str, bool] | None:
        worker = self.workers.get(name)
        if worker is not None:
            return worker.kind, worker.zone, worker.spot
        found = self.booting.get(name) or self.failed.get(name)
        return found[:3] if found else None

    def remove(self, name: str, failed: bool = False) -> None:
        kind = self._kind(name)
        if kind is None:
            return
        self.capacity[kind] += 1
        self.booting.pop(name, None)
        self.failed.pop(name, None)
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.vanish()
        if failed:
            self.capacity[kind] -= 1
            self.failed[name] = (*kind, self.world.now())

    async def take_back(self, name: str, notice_s: float) -> None:
        worker = self.workers[name]
        worker.taken_at = self.world.now() + notice_s
        worker.wake.set()
        await asyncio.sleep(notice_s)
        self.remove(name)

    def _rent(self, row: dict[str, Any]) -> Reply:
        if row["rental"] in self.rentals:
            return 200, dump({"hosts": self.rentals[row["rental"]]})
        kind = (row["flavour"], row["hall"], row["loaner"])
        number = min(row["number"], self.capacity[kind])
        if number <= 0:
            return 503, dump({"error": "no capacity"})
        self.capacity[kind] -= number
        names = []
        for _ in range(number):
            self.count += 1
            name = f"m-{self.count:06d}"
            names.append(name)
            self.booting[name] = (*kind, self.world.now())
            self.world.spawn(self._boot(name))
        self.rentals[row["rental"]] = names
        return 200, dump({"hosts": names})

    async def _boot(self, name: str) -> None:
        if self.world.rng.random() < self.dead_boots:
            return  # it never comes up
        await asyncio.sleep(self.world.rng.choice(self.boot_times))
        kind = self.booting.pop(name, None)
        if kind is not None:
            self.workers[name] = Worker(self.world, name, *kind[:3])

    def _list(self) -> list[dict[str, Any]]:
        rows = []
        for name in sorted({*self.workers, *self.booting, *self.failed}):
            kind = self._kind(name)
            assert kind is not None
            phase = "running" if name in self.workers else "booting"
            phase = "failed" if name in self.failed else phase
            rows.append(
                {"uid": name, "address": f"{name}:9000", "flavour": kind[0], "hall": kind[1],
                 "loaner": kind[2], "phase": phase, "held_s": 1.0}
            )  # fmt: skip
        return rows


# -- rules -------------------------------------------------------------------------------


@dataclass
class Checker:
    """The rules of the protocol, looked at after each step."""

    world: World
    on: dict[str, list[Worker]] = field(default_factory=dict)
    cancelled_at: dict[str, float] = field(default_factory=dict)
    told: dict[str, str] = field(default_factory=dict)
    starts: int = 0

    def broken(self, rule: str, detail: str) -> None:
        text = f"{rule} at {self.world.now():.2f}: {detail}"
        self.world.broken.append(text)

    def started(self, item: str, worker: Worker) -> None:
        self.starts += 1
        if self.on.get(item):
            where = [w.name for w in self.on[item]]
            self.broken("ran_twice", f"{item} on {worker.name} and {where}")
        self.on.setdefault(item, []).append(worker)
        uid = item.split("/")[0]
        job = self.world.jobs[uid]
        limit = self.world.limits[job["owner"]]
        use = sum(
            self.world.jobs[i.split("/")[0]]["vcpus"] * len(ws)
            for i, ws in self.on.items()
            if self.world.jobs[i.split("/")[0]]["owner"] == job["owner"]
        )
        if limit and use > limit:
            self.broken("quota", f"{job['owner']} uses {use} of {limit}")
        if job["flavours"] and worker.kind not in job["flavours"]:
            self.broken("wrong_place", f"{item} on {worker.kind}")
        if (job["hall"] and worker.zone != job["hall"]) or (worker.spot and not job["loaner"]):
            self.broken("wrong_place", f"{item} on {worker.name}")
        zones = [w.zone for i, ws in self.on.items() if i.split("/")[0] == uid for w in ws]
        if job["together"] and len(set(zones)) > 1:
            self.broken("wrong_place", f"{item}: in two zones")
        if job["spread"] and zones.count(worker.zone) > (job["units"] + 1) // 2:
            self.broken("wrong_place", f"{item}: too many in {worker.zone}")
        ended = self.cancelled_at.get(uid)
        if ended is not None and self.world.now() > ended + CANCEL_S:
            self.broken("ran_cancelled", f"{item} starts")

    def left(self, item: str, worker: Worker) -> None:
        places = self.on[item]
        places.remove(worker)
        if not places:
            del self.on[item]

    def step(self) -> None:
        now = self.world.now()
        for item in self.on:
            ended = self.cancelled_at.get(item.split("/")[0])
            if ended is not None and now > ended + CANCEL_S:
                self.broken("ran_cancelled", f"{item} still runs")

    def answer(self, uid: str, phase: str) -> None:
        before = self.told.get(uid)
        if before in ("done", "cancelled") and phase != before:
            self.broken("went_back", f"{uid}: {before}, then {phase}")
        if phase == "done":
            units = self.world.jobs[uid]["units"]
            if any((uid, n) not in self.world.completed for n in range(units)):
                self.broken("not_done", uid)
        if phase == "cancelled":
            if uid not in self.world.cancel_asked:
                self.broken("went_back", f"{uid} was never cancelled by its user")
            self.cancelled_at.setdefault(uid, self.world.now())
        self.told[uid] = phase


# -- the world ---------------------------------------------------------------------------


class NodeBox:
    """A controller process that can crash and come back, knowing nothing."""

    def __init__(self, world: World, index: int) -> None:
        self.world, self.index, self.name = world, index, f"n{index}"
        self.life = 0
        self.node: Node | None = None
        self.task: asyncio.Task[None] | None = None
        self.context = contextvars.Context()
        self.context.run(OWNER.set, self)
        world.network.zone_of[self.name] = ZONES[index % 2]

    def boot(self) -> None:
        self.life += 1
        source = f"{self.name}#{self.life}"
        network = self.world.network
        network.zone_of[source] = network.zone_of[self.name]

        def connect(host: str, port: int, links: int) -> FakeClient:
            return FakeClient(network, source, host)

        self.node = Node(
            self.world.settings(self.index),
            connect,
            wall=self.world.now,
            incarnation=f"{self.name}-{self.life}",
        )
        if self.world.tamper is not None:
            self.world.tamper(self.node)
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.node.act(), context=self.context)
        network.services[self.name] = self._handle

    async def _handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        node = self.node
        if node is None:
            raise ConnectionRefusedError
        serve = node.handle_peer if target.startswith("/peer/") else node.handle
        loop = asyncio.get_running_loop()
        request = Request(method, target, {}, body or b"")
        response = await loop.create_task(serve(request), context=self.context)
        if self.node is not node:
            raise ConnectionResetError
        return response.status, response.body

    def crash(self) -> None:
        self.world.network.services.pop(self.name, None)
        if self.node is not None and self.node.leader is not None:
            self.node.leader.stop()
        if self.task is not None:
            self.task.cancel()
        self.node = self.task = None

    def stand_still(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.stand_still(self, seconds)

    async def restart(self, after: float) -> None:
        self.crash()
        await asyncio.sleep(after)
        if self.node is None:
            self.boot()


class World:
    """Everything around a few controllers, from one seed."""

    def __init__(
        self, seed: int, tamper: Callable[[Node], None] | None = None, nodes: int = 3
    ) -> None:
        self.rng = random.Random(seed)
        self.tamper = tamper
        self.network = Network(self.rng)
        self.state = StateService()
        self.jobs: dict[str, dict[str, Any]] = OrderedDict()
        self.limits = {"blue": 24.0, "red": 0.0, "guest": 0.0}
        self.broken_share = 0.0  # of the jobs, submitted with a mistake
        self.guests = 0.0  # share of jobs that are a guest's: wide, of low rank
        self.asks_every = 5.0
        self.errors = 0  # tasks that failed
        self.waited = 0.0  # seconds that something took
        self.kept = 1.0  # share of the machines, over some trouble
        self.completed: set[tuple[str, int]] = set()
        self.cancel_asked: set[str] = set()
        self.broken: list[str] = []
        self.seen_running = 0
        self.lost = 0  # tasks on machines that went away
        self.killed = 0  # tasks on machines whose lease ran out
        self.checker = Checker(self)
        self._spawned: set[asyncio.Task[Any]] = set()
        self.network.services["state"] = self.state.handle
        self.nodes = [NodeBox(self, index) for index in range(nodes)]
        self.cloud = Cloud(self)
        self.network.services["cloud"] = self.cloud.handle

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    def spawn(self, work: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(work)
        self._spawned.add(task)
        task.add_done_callback(self._spawned.discard)

    def settings(self, index: int) -> Settings:
        peers = [i for i in range(len(self.nodes)) if i != index]
        return Settings(
            node=NodeId(f"n{index}"),
            zone=Zone(ZONES[index % 2]),
            listen=Address(f"n{index}", 1),
            peer_listen=Address(f"n{index}", 2),
            peers=tuple(
                Peer(NodeId(f"n{i}"), Zone(ZONES[i % 2]), Address(f"n{i}", 2)) for i in peers
            ),
            cloud=Address("cloud", 1),
            state=Address("state", 1),
            zones=tuple(Zone(zone) for zone in ZONES),
            clock_error_s=Duration(0.01),
            teams={
                Team(name): TeamSettings(
                    Team(name),
                    Room(0.0 if name == "guest" else 8.0, 0.0, 1e9),
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
            value_bytes=4096,
            txn_ops=12,
            cloud_rps=5.0,
            list_lag_s=Duration(2.0),
            core_share=1.0,
            memory_mb=256.0,
            sockets=1000,
            operator=OperatorSettings(idle_return_s=15.0, silent_return_s=25.0),
        )

    # -- users ---------------------------------------------------------------------------

    def make_job(self, number: int) -> dict[str, Any]:
        rng = self.rng
        quick = rng.random() < 0.3
        if rng.random() < self.guests:
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

    async def user(self, job: dict[str, Any], cancel_after: float | None) -> None:
        uid = job["uid"]
        body = {k: v for k, v in job.items() if k not in ("real_s", "broken")}
        if job.get("broken"):
            cancel_after = cancel_after or 60.0
        if job["shape"] == "standing":
            cancel_after = cancel_after or 30.0
        self.jobs[uid] = job
        status, _ = await self._ask("POST", "/v1/jobs", dump(body), (200, 201), 60.0)
        if status not in (200, 201):
            return
        self.told.setdefault(uid, "queued")
        if cancel_after is not None:
            await asyncio.sleep(cancel_after)
            self.cancel_asked.add(uid)
            status, row = await self._ask("POST", f"/v1/jobs/{uid}/cancel", b"", (200,), 90.0)
            if status == 200:
                self.checker.answer(uid, row["phase"])
        while True:
            await asyncio.sleep(self.asks_every * self.rng.uniform(0.8, 1.2))
            status, row = await self._ask("GET", f"/v1/jobs/{uid}", None, (200, 404), 2.0)
            if status == 404:
                self.checker.broken("forgotten", uid)
            elif status == 200:
                self.checker.answer(uid, row["phase"])
                self.seen_running += row["phase"] == "running"

    @property
    def told(self) -> dict[str, str]:
        return self.checker.told

    async def stranger(self) -> None:
        """Asks about jobs that nobody has submitted."""
        while True:
            await asyncio.sleep(7.0)
            status, _ = await self._ask("GET", "/v1/jobs/job-999999", None, (200, 404), 2.0)
            if status == 200:
                self.checker.broken("invented", "job-999999")

    async def _ask(
        self, method: str, path: str, body: bytes | None, good: tuple[int, ...], patience: float
    ) -> tuple[int, dict[str, Any]]:
        ends = self.now() + patience
        status, data = 0, b""
        while True:
            node = self.rng.choice(self.nodes)
            client = FakeClient(self.network, "users", node.name)
            try:
                status, data = await client.request(method, path, body, 5.0)
            except NoResponse:
                status = 0
            if status in good:
                return status, orjson.loads(data)
            if status in (400, 422) or self.now() >= ends:
                return status, {}
            await asyncio.sleep(1.0)

    # -- running -------------------------------------------------------------------------

    async def watch_rules(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self.checker.step()
            if self.broken:
                return

    async def arrivals(self, until: float) -> None:
        number = 0
        while self.now() < until:
            number += 1
            job = self.make_job(number)
            cancel = self.rng.uniform(1.0, 30.0) if self.rng.random() < 0.2 else None
            self.spawn(self.user(job, cancel))
            await asyncio.sleep(self.rng.expovariate(0.4))

    async def play(
        self, faults: Callable[[World], Awaitable[None]], busy_s: float, end_s: float
    ) -> None:
        for node in self.nodes:
            node.boot()
        self.spawn(self.stranger())
        self.spawn(self.cloud.lag())
        self.spawn(self.arrivals(busy_s))
        self.spawn(faults(self))
        checking = asyncio.ensure_future(self.watch_rules())
        await asyncio.wait([checking], timeout=end_s)
        checking.cancel()
        for node in self.nodes:
            node.crash()
        if self.broken:
            raise RuleBroken("; ".join(self.broken[:3]))
