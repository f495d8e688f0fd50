"""State service, cloud and workers as they live: timers, hangs, watches, reports.

Nothing here knows what carries a message. On sockets and on the tests' virtual time the same
agents run; only ``Carrier`` differs.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

import orjson

from dunehold.emulator.history import History
from dunehold.emulator.model.base import Randomness, Reply
from dunehold.emulator.model.cloud import Cloud, Event, What
from dunehold.emulator.model.jobs import Jobs
from dunehold.emulator.model.store import Store, Watch
from dunehold.emulator.model.worker import (
    ANSWER_S,
    REPORT_GAP_S,
    Machine,
    Step,
    Worker,
    routed,
)
from dunehold.transport.http import NoResponse

REPORT_PATH = "/v1/report"


class Carrier(Protocol):
    """Takes a message of one host to another."""

    async def request(
        self,
        source: str,
        target: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Status and body; NoResponse when none came in time."""
        ...


def _time() -> float:
    return asyncio.get_running_loop().time()


@dataclass(slots=True)
class Alarm:
    """Wakes whoever sleeps until a time that may move nearer."""

    _event: asyncio.Event = field(default_factory=asyncio.Event)

    def ring(self) -> None:
        self._event.set()

    async def sleep_until(self, at: float, most_s: float = 60.0) -> None:
        left = min(at - _time(), most_s)
        if left > 0:
            with contextlib.suppress(TimeoutError):
                # A timer may fire a moment early: what is due by then has to be due.
                await asyncio.wait_for(self._event.wait(), left + 1e-6)
        self._event.clear()


# -- state service -----------------------------------------------------------------------


@dataclass(slots=True)
class LateWrites:
    """What became of transactions that were carried out late."""

    number: int = 0  # that were carried out at all
    after_newer: int = 0  # after newer ones of the same controller
    refused: int = 0  # of those: a condition stood against them
    overwrote: list[str] = field(default_factory=list)  # keys changed since they were sent
    _newest: dict[str, int] = field(default_factory=dict)  # controller -> revision

    def carried_out(self, source: str, revision: int) -> None:
        self._newest[source] = revision

    def came(
        self, source: str, body: bytes | None, sent: int, stamps: dict[str, int], status: int
    ) -> None:
        if status not in (200, 409):
            return
        self.number += 1
        newer = self._newest.get(source, 0) > sent
        self.after_newer += newer
        self.refused += newer and status == 409
        if status == 200:
            for write in orjson.loads(body or b"{}").get("writes", []):
                key = write.get("put", write.get("drop"))
                if stamps.get(key, 0) > sent:
                    self.overwrote.append(key)


LATE_S = (2.0, 12.0)  # after which a transaction without an answer is carried out


@dataclass(slots=True)
class StateAgent:
    store: Store
    served: int = 0
    late_share: float = 0.0  # of transactions: no answer, carried out late
    late: LateWrites = field(default_factory=LateWrites)
    mute_share: float = 0.0  # of transactions: carried out at once, and only the answer is lost
    unheard: int = 0  # transactions whose answers were lost so, with changes
    delay_s: float = 0.0  # before each request is looked at
    slow: dict[str, float] = field(default_factory=dict)  # the same, for one node's alone
    malformed: list[str] = field(default_factory=list)  # why transactions got 400
    rng: Randomness | None = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _under_way: set[asyncio.Task[None]] = field(default_factory=set)

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        self.served += 1
        delay_s = max(self.delay_s, self.slow.get(source.partition("#")[0], 0.0))
        if delay_s:
            await asyncio.sleep(delay_s)
        if target == "/txn" and self.rng is not None and self.rng.random() < self.late_share:
            task = asyncio.create_task(self._carry_out_late(body, source))
            self._under_way.add(task)
            task.add_done_callback(self._under_way.discard)
            raise ConnectionResetError
        before = self.store.revision
        answer = self.store.handle(method, target, body, source, _time())
        self._wake(before)
        if isinstance(answer, Watch):
            return await self._hold(answer, source)
        if target == "/txn":
            self.late.carried_out(source, self.store.revision)
            if answer.status == 400 and b"no such lease" not in answer.body:
                self.malformed.append(answer.body.decode())
            if self.rng is not None and self.rng.random() < self.mute_share:
                self.unheard += self.store.revision != before
                raise ConnectionResetError
        return answer

    async def _carry_out_late(self, body: bytes | None, source: str) -> None:
        assert self.rng is not None
        sent = self.store.revision
        await asyncio.sleep(self.rng.uniform(*LATE_S))
        stamps = {key: row.stamp for key, row in self.store.rows.items()}
        before = self.store.revision
        answer = self.store.handle("POST", "/txn", body, source, _time())
        self._wake(before)
        if isinstance(answer, Reply):
            self.late.came(source, body, sent, stamps, answer.status)

    async def _hold(self, watch: Watch, source: str) -> Reply:
        """Open watches outlast an outage, and a spell in which their node is refused."""
        while True:
            changed = self._changed
            if source not in self.store.refused:
                answer = self.store.poll(watch, _time())
                if answer is not None:
                    return answer
            left = max(watch.until - _time(), 0.05)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _wake(self, before: int) -> None:
        if self.store.revision != before:
            self.poke()

    def poke(self) -> None:
        """Have the open watches look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Ends leases in time, though nobody asks."""
        while True:
            ends = self.store.next_expiry()
            await asyncio.sleep(0.05 if ends is None else min(max(ends - _time(), 0.005), 0.05))
            before = self.store.revision
            self.store.expire(_time())
            self._wake(before)


# -- workers -----------------------------------------------------------------------------


@dataclass(slots=True, eq=False)
class WorkerAgent:
    worker: Worker
    nodes: list[str]
    node: int
    report_s: float
    carrier: Carrier
    history: History
    rng: Randomness
    reports: int = 0
    deaf_until: float = -1.0  # its reports arrive; answers and direct commands are lost
    unheard: int = 0  # answers lost so
    mute_until: float = -1.0  # it reaches no controller; direct commands reach it
    unsaid: int = 0  # reports lost so
    late_share: float = 0.0  # of reports: a copy arrives again, at any node
    keeps: bool = False  # the copies, until they are let go
    kept: list[bytes] = field(default_factory=list)
    copies: int = 0
    _alarm: Alarm = field(default_factory=Alarm)
    _report: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _copying: set[asyncio.Task[None]] = field(default_factory=set)

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._live()), loop.create_task(self._speak())]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def vanish(self) -> None:
        self.worker.vanish(_time())
        self._after()

    @contextlib.contextmanager
    def touched(self) -> Iterator[Worker]:
        """For whoever does something to the worker from outside."""
        self.worker.advance(_time())
        yield self.worker
        self._after()

    def _after(self) -> None:
        machine = self.worker.machine
        for at, step, item, attempt, why in self.worker.happened:
            data: dict[str, Any] = {"item": item, "attempt": attempt, "host": machine.name}
            if step is Step.ON:
                data |= {"flavour": machine.flavour, "hall": machine.hall}
                data["loaner"] = machine.loaner
            elif step is Step.OFF:
                data["why"] = why
            self.history.add_at(at, step.value, **data)
        self.worker.happened.clear()
        if self.worker.changed:
            self.worker.changed = False
            self._report.set()
        self._alarm.ring()

    async def _live(self) -> None:
        while not self.worker.gone:
            await self._alarm.sleep_until(self.worker.next_at())
            self.worker.advance(_time())
            if self.worker.happened or self.worker.changed:
                self._after()

    async def _awake(self) -> None:
        """A hanging machine neither sends nor hears."""
        while self.worker.hanging and not self.worker.gone:
            await asyncio.sleep(max(self.worker.hung_until - _time(), 0.0) + 0.001)
            self.worker.advance(_time())

    async def _speak(self) -> None:
        while True:
            await self._awake()
            if self.worker.gone:
                return
            self.worker.advance(_time())
            sent, tenure = _time(), self.worker.tenure
            body = orjson.dumps(self.worker.report())
            self._report.clear()
            if self.late_share and self.rng.random() < self.late_share:
                if self.keeps:
                    self.kept.append(body)
                else:
                    self._spawn(self._send_again(body))
            status, row = await self._exchange(body)
            if status and self._deaf():
                self.unheard += 1
                status = 0
                await asyncio.sleep(max(0.0, sent + ANSWER_S - _time()))
            await self._awake()
            if self.worker.gone:
                return
            self.reports += 1
            if status == 200:
                self.worker.answered(sent, tenure, row, _time())
                self._after()
            route = routed(self.nodes, self.node, status, row, self.rng.uniform(0.0, 0.5))
            self.node = route.node
            if route.pause_s is not None:
                await asyncio.sleep(route.pause_s)
                continue
            pause = self.report_s * self.rng.uniform(0.75, 1.25)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._report.wait(), pause)
            await asyncio.sleep(max(0.0, sent + REPORT_GAP_S - _time()))

    def _deaf(self) -> bool:
        return _time() < self.deaf_until

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._copying.add(task)
        task.add_done_callback(self._copying.discard)

    def let_go(self) -> None:
        """The copies that were kept arrive, each at every controller at once."""
        for body in self.kept:
            for node in self.nodes:
                self._spawn(self._copy_to(node, body))
        self.kept.clear()

    async def _send_again(self, body: bytes) -> None:
        """From seconds to well over a lease later; nobody waits for its answer any more."""
        await asyncio.sleep(self.rng.uniform(LATE_S[0], 2.0 * self.worker.lease_s))
        await self._copy_to(self.nodes[int(self.rng.random() * len(self.nodes))], body)

    async def _copy_to(self, node: str, body: bytes) -> None:
        self.copies += 1
        with contextlib.suppress(NoResponse):
            name = self.worker.machine.name
            await self.carrier.request(name, node, "POST", REPORT_PATH, body, ANSWER_S)

    async def _exchange(self, body: bytes) -> tuple[int, dict[str, Any]]:
        if _time() < self.mute_until:
            self.unsaid += 1
            return 0, {}
        try:
            status, data = await self.carrier.request(
                self.worker.machine.name,
                self.nodes[self.node],
                "POST",
                REPORT_PATH,
                body,
                ANSWER_S,
            )
            row = orjson.loads(data or b"{}")
        except (NoResponse, orjson.JSONDecodeError):
            return 0, {}
        return status, row if isinstance(row, dict) else {}

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        self.worker.advance(_time())
        await self._awake()
        if self.worker.gone or self._deaf():
            raise ConnectionResetError
        answer = self.worker.handle(method, target, body, _time())
        self._after()
        return answer


# -- cloud -------------------------------------------------------------------------------


@dataclass(slots=True)
class CloudAgent:
    """The cloud and the machines it lets: starts a worker for each that is up."""

    cloud: Cloud
    jobs: Jobs
    nodes: list[str]
    carrier: Carrier
    history: History
    rng: Randomness
    report_s: float
    lease_s: float
    sick_share: float = 0.0
    slow_share: float = 0.0
    slow_speed: float = 0.3
    speed_spread: float = 0.1
    workers: dict[str, WorkerAgent] = field(default_factory=dict)
    lost: int = 0  # tasks on machines that went away
    served: int = 0
    up: Callable[[WorkerAgent], None] = lambda _: None
    gone: Callable[[str], None] = lambda _: None
    _killed: int = 0  # by lost leases, on machines that are gone by now
    _reports: int = 0  # of machines that are gone by now
    _alarm: Alarm = field(default_factory=Alarm)

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        self.served += 1
        answer = self.cloud.handle(method, target, body, _time())
        self.after()
        self._alarm.ring()  # a rental or a deletion moves what comes next
        return answer

    async def run(self) -> None:
        while True:
            await self._alarm.sleep_until(self.cloud.next_at(), 0.5)
            self.cloud.advance(_time())
            self.after()

    def after(self) -> None:
        """Bring what the model did to the workers' agents."""
        events, self.cloud.happened = self.cloud.happened, []
        for event in events:
            self.history.add_at(
                event.at,
                "machine",
                host=event.host,
                what=event.what.value,
                **self._facts(event),
            )
            if event.what is What.UP:
                self._up(event.host)
            elif event.what is What.NOTICE:
                agent = self.workers.get(event.host)
                if agent is not None:
                    with agent.touched() as worker:
                        worker.notice(_time(), event.notice_s)
            else:
                self._gone(event.host)

    def _facts(self, event: Event) -> dict[str, Any]:
        host = self.cloud.hosts.get(event.host)
        if event.what is not What.UP or host is None:
            return {}
        flavour, hall, loaner = host.kind
        room = self.cloud.flavours[flavour]
        return {
            "flavour": flavour, "hall": hall, "loaner": loaner,
            "room": [room.vcpus, room.gpus, room.memory_gb],
        }  # fmt: skip

    def _up(self, name: str) -> None:
        host = self.cloud.hosts.get(name)
        if host is None:
            return
        flavour = self.cloud.flavours[host.kind.flavour]
        machine = Machine(
            name,
            host.address,
            *host.kind,
            flavour.vcpus,
            flavour.gpus,
            flavour.memory_gb,
            flavour.cache_gb,
            flavour.fetch_gb_per_s * self.rng.uniform(2 / 3, 4 / 3),
        )
        worker = Worker(machine, self.jobs, self.lease_s, _time())
        worker.speed = self.rng.uniform(1 - self.speed_spread, 1 + self.speed_spread)
        if self.rng.random() < self.slow_share:
            worker.speed *= self.slow_speed
        worker.sick = self.rng.random() < self.sick_share
        first = int(self.rng.random() * len(self.nodes))
        agent = WorkerAgent(
            worker, self.nodes, first, self.report_s, self.carrier, self.history, self.rng
        )
        self.workers[name] = agent
        self.up(agent)
        agent.start()

    def _gone(self, name: str) -> None:
        agent = self.workers.pop(name, None)
        if agent is not None:
            self.lost += sum(task.on_machine for task in agent.worker.tasks.values())
            self._killed += agent.worker.killed
            self._reports += agent.reports
            agent.vanish()
            self.gone(name)

    @property
    def reports(self) -> int:
        """Answered or not, of all machines so far."""
        return self._reports + sum(agent.reports for agent in self.workers.values())

    @property
    def killed(self) -> int:
        """Tasks that a lost lease ended."""
        return self._killed + sum(agent.worker.killed for agent in self.workers.values())
