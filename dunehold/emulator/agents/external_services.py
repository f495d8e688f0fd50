"""State service, cloud and workers as they live: timers, hangs, watches, reports.

Nothing here knows what carries a message. On sockets and on the tests' virtual time the same
agents run; only ``MessageTransport`` differs.
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
from dunehold.emulator.model.cloud import Cloud, HostEvent, HostEventKind
from dunehold.emulator.model.jobs import Jobs
from dunehold.emulator.model.store import Store, Watch
from dunehold.emulator.model.worker import (
    MIN_REPORT_INTERVAL_S,
    REPORT_TIMEOUT_S,
    Machine,
    TaskEventKind,
    Worker,
    next_route,
)
from dunehold.transport.http import NoResponse

REPORT_PATH = "/v1/report"


class MessageTransport(Protocol):
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
class WakeupTimer:
    """Wakes whoever sleeps until a time that may move nearer."""

    _event: asyncio.Event = field(default_factory=asyncio.Event)

    def wake(self) -> None:
        self._event.set()

    async def sleep_until(self, at: float, max_s: float = 60.0) -> None:
        left = min(at - _time(), max_s)
        if left > 0:
            with contextlib.suppress(TimeoutError):
                # A timer may fire a moment early: what is due by then has to be due.
                await asyncio.wait_for(self._event.wait(), left + 1e-6)
        self._event.clear()


# -- state service -----------------------------------------------------------------------


@dataclass(slots=True)
class DelayedTxnStats:
    """What became of transactions that were carried out late."""

    executed: int = 0  # that were carried out at all
    after_newer_writes: int = 0  # after newer ones of the same controller
    rejected_after_newer: int = 0  # of those: a condition stood against them
    overwritten_keys: list[str] = field(
        default_factory=list
    )  # keys changed since they were sent
    _newest_revisions: dict[str, int] = field(default_factory=dict)  # controller -> revision

    def record_txn(self, source: str, revision: int) -> None:
        self._newest_revisions[source] = revision

    def record_delayed_txn(
        self, source: str, body: bytes | None, sent: int, stamps: dict[str, int], status: int
    ) -> None:
        if status not in (200, 409):
            return
        self.executed += 1
        newer = self._newest_revisions.get(source, 0) > sent
        self.after_newer_writes += newer
        self.rejected_after_newer += newer and status == 409
        if status == 200:
            for write in orjson.loads(body or b"{}").get("writes", []):
                key = write.get("put", write.get("drop"))
                if stamps.get(key, 0) > sent:
                    self.overwritten_keys.append(key)


DELAY_RANGE_S = (2.0, 12.0)  # after which a transaction without an answer is carried out


@dataclass(slots=True)
class StateAgent:
    store: Store
    requests_served: int = 0
    delayed_txn_share: float = 0.0  # of transactions: no answer, carried out late
    delayed_txns: DelayedTxnStats = field(default_factory=DelayedTxnStats)
    lost_response_share: float = (
        0.0  # of transactions: carried out at once, and only the answer is lost
    )
    lost_responses: int = 0  # transactions whose answers were lost so, with changes
    delay_s: float = 0.0  # before each request is looked at
    delay_s_by_node: dict[str, float] = field(
        default_factory=dict
    )  # the same, for one node's alone
    bad_txn_errors: list[str] = field(default_factory=list)  # why transactions got 400
    rng: Randomness | None = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _delayed_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        self.requests_served += 1
        delay_s = max(self.delay_s, self.delay_s_by_node.get(source.partition("#")[0], 0.0))
        if delay_s:
            await asyncio.sleep(delay_s)
        if (
            target == "/txn"
            and self.rng is not None
            and self.rng.random() < self.delayed_txn_share
        ):
            task = asyncio.create_task(self._execute_delayed(body, source))
            self._delayed_tasks.add(task)
            task.add_done_callback(self._delayed_tasks.discard)
            raise ConnectionResetError
        before = self.store.revision
        answer = self.store.handle(method, target, body, source, _time())
        self._wake_if_changed(before)
        if isinstance(answer, Watch):
            return await self._wait_for_watch(answer, source)
        if target == "/txn":
            self.delayed_txns.record_txn(source, self.store.revision)
            if answer.status == 400 and b"no such lease" not in answer.body:
                self.bad_txn_errors.append(answer.body.decode())
            if self.rng is not None and self.rng.random() < self.lost_response_share:
                self.lost_responses += self.store.revision != before
                raise ConnectionResetError
        return answer

    async def _execute_delayed(self, body: bytes | None, source: str) -> None:
        assert self.rng is not None
        sent = self.store.revision
        await asyncio.sleep(self.rng.uniform(*DELAY_RANGE_S))
        stamps = {key: row.version for key, row in self.store.rows.items()}
        before = self.store.revision
        answer = self.store.handle("POST", "/txn", body, source, _time())
        self._wake_if_changed(before)
        if isinstance(answer, Reply):
            self.delayed_txns.record_delayed_txn(source, body, sent, stamps, answer.status)

    async def _wait_for_watch(self, watch: Watch, source: str) -> Reply:
        """Open watches outlast an outage, and a spell in which their node is refused."""
        while True:
            changed = self._changed
            if source not in self.store.refused_sources:
                answer = self.store.poll(watch, _time())
                if answer is not None:
                    return answer
            left = max(watch.until - _time(), 0.05)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _wake_if_changed(self, before: int) -> None:
        if self.store.revision != before:
            self.wake_watches()

    def wake_watches(self) -> None:
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
            self._wake_if_changed(before)


# -- workers -----------------------------------------------------------------------------


@dataclass(slots=True, eq=False)
class WorkerAgent:
    worker: Worker
    nodes: list[str]
    node_index: int
    report_s: float
    transport: MessageTransport
    history: History
    rng: Randomness
    reports: int = 0
    inbound_lost_until: float = -1.0  # its reports arrive; answers and direct commands are lost
    lost_responses: int = 0  # answers lost so
    reports_lost_until: float = -1.0  # it reaches no controller; direct commands reach it
    lost_reports: int = 0  # reports lost so
    duplicate_share: float = 0.0  # of reports: a copy arrives again, at any node
    hold_copies: bool = False  # the copies, until they are let go
    held_copies: list[bytes] = field(default_factory=list)
    copies_sent: int = 0
    _timer: WakeupTimer = field(default_factory=WakeupTimer)
    _report_due: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _copy_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_worker()),
            loop.create_task(self._report_loop()),
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def power_off(self) -> None:
        self.worker.power_off(_time())
        self._process_events()

    @contextlib.contextmanager
    def modify(self) -> Iterator[Worker]:
        """For whoever does something to the worker from outside."""
        self.worker.advance(_time())
        yield self.worker
        self._process_events()

    def _process_events(self) -> None:
        machine = self.worker.machine
        for at, step, item, attempt, why in self.worker.events:
            data: dict[str, Any] = {"item": item, "attempt": attempt, "host": machine.name}
            if step is TaskEventKind.STARTED:
                data |= {"flavour": machine.machine_type, "hall": machine.zone}
                data["loaner"] = machine.spot
            elif step is TaskEventKind.ENDED:
                data["why"] = why
            self.history.add_at(at, step.value, **data)
        self.worker.events.clear()
        if self.worker.report_pending:
            self.worker.report_pending = False
            self._report_due.set()
        self._timer.wake()

    async def _run_worker(self) -> None:
        while not self.worker.gone:
            await self._timer.sleep_until(self.worker.next_at())
            self.worker.advance(_time())
            if self.worker.events or self.worker.report_pending:
                self._process_events()

    async def _wait_while_hanging(self) -> None:
        """A hanging machine neither sends nor hears."""
        while self.worker.hanging and not self.worker.gone:
            await asyncio.sleep(max(self.worker.hung_until - _time(), 0.0) + 0.001)
            self.worker.advance(_time())

    async def _report_loop(self) -> None:
        while True:
            await self._wait_while_hanging()
            if self.worker.gone:
                return
            self.worker.advance(_time())
            sent, tenure = _time(), self.worker.session
            body = orjson.dumps(self.worker.report())
            self._report_due.clear()
            if self.duplicate_share and self.rng.random() < self.duplicate_share:
                if self.hold_copies:
                    self.held_copies.append(body)
                else:
                    self._spawn_copy(self._send_copy_later(body))
            status, row = await self._send_report(body)
            if status and self._loses_inbound():
                self.lost_responses += 1
                status = 0
                await asyncio.sleep(max(0.0, sent + REPORT_TIMEOUT_S - _time()))
            await self._wait_while_hanging()
            if self.worker.gone:
                return
            self.reports += 1
            if status == 200:
                self.worker.handle_report_response(sent, tenure, row, _time())
                self._process_events()
            route = next_route(
                self.nodes, self.node_index, status, row, self.rng.uniform(0.0, 0.5)
            )
            self.node_index = route.node
            if route.pause_s is not None:
                await asyncio.sleep(route.pause_s)
                continue
            pause = self.report_s * self.rng.uniform(0.75, 1.25)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._report_due.wait(), pause)
            await asyncio.sleep(max(0.0, sent + MIN_REPORT_INTERVAL_S - _time()))

    def _loses_inbound(self) -> bool:
        return _time() < self.inbound_lost_until

    def _spawn_copy(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._copy_tasks.add(task)
        task.add_done_callback(self._copy_tasks.discard)

    def release_copies(self) -> None:
        """The copies that were kept arrive, each at every controller at once."""
        for body in self.held_copies:
            for node in self.nodes:
                self._spawn_copy(self._send_copy(node, body))
        self.held_copies.clear()

    async def _send_copy_later(self, body: bytes) -> None:
        """From seconds to well over a lease later; nobody waits for its answer any more."""
        await asyncio.sleep(self.rng.uniform(DELAY_RANGE_S[0], 2.0 * self.worker.lease_s))
        await self._send_copy(self.nodes[int(self.rng.random() * len(self.nodes))], body)

    async def _send_copy(self, node: str, body: bytes) -> None:
        self.copies_sent += 1
        with contextlib.suppress(NoResponse):
            name = self.worker.machine.name
            await self.transport.request(
                name, node, "POST", REPORT_PATH, body, REPORT_TIMEOUT_S
            )

    async def _send_report(self, body: bytes) -> tuple[int, dict[str, Any]]:
        if _time() < self.reports_lost_until:
            self.lost_reports += 1
            return 0, {}
        try:
            status, data = await self.transport.request(
                self.worker.machine.name,
                self.nodes[self.node_index],
                "POST",
                REPORT_PATH,
                body,
                REPORT_TIMEOUT_S,
            )
            row = orjson.loads(data or b"{}")
        except (NoResponse, orjson.JSONDecodeError):
            return 0, {}
        return status, row if isinstance(row, dict) else {}

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        self.worker.advance(_time())
        await self._wait_while_hanging()
        if self.worker.gone or self._loses_inbound():
            raise ConnectionResetError
        answer = self.worker.handle(method, target, body, _time())
        self._process_events()
        return answer


# -- cloud -------------------------------------------------------------------------------


@dataclass(slots=True)
class CloudAgent:
    """The cloud and the machines it lets: starts a worker for each that is up."""

    cloud: Cloud
    jobs: Jobs
    nodes: list[str]
    transport: MessageTransport
    history: History
    rng: Randomness
    report_s: float
    lease_s: float
    faulty_share: float = 0.0
    slow_share: float = 0.0
    slow_speed: float = 0.3
    speed_spread: float = 0.1
    workers: dict[str, WorkerAgent] = field(default_factory=dict)
    lost_tasks: int = 0  # tasks on machines that went away
    requests_served: int = 0
    on_host_up: Callable[[WorkerAgent], None] = lambda _: None
    on_host_gone: Callable[[str], None] = lambda _: None
    _killed_on_gone_hosts: int = 0  # by lost leases, on machines that are gone by now
    _reports_of_gone_hosts: int = 0  # of machines that are gone by now
    _timer: WakeupTimer = field(default_factory=WakeupTimer)

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        self.requests_served += 1
        answer = self.cloud.handle(method, target, body, _time())
        self.process_events()
        self._timer.wake()  # a rental or a deletion moves what comes next
        return answer

    async def run(self) -> None:
        while True:
            await self._timer.sleep_until(self.cloud.next_at(), 0.5)
            self.cloud.advance(_time())
            self.process_events()

    def process_events(self) -> None:
        """Bring what the model did to the workers' agents."""
        events, self.cloud.events = self.cloud.events, []
        for event in events:
            self.history.add_at(
                event.at,
                "machine",
                host=event.host,
                what=event.kind.value,
                **self._host_details(event),
            )
            if event.kind is HostEventKind.UP:
                self._start_worker(event.host)
            elif event.kind is HostEventKind.NOTICE:
                agent = self.workers.get(event.host)
                if agent is not None:
                    with agent.modify() as worker:
                        worker.notify_reclaim(_time(), event.notice_s)
            else:
                self._remove_worker(event.host)

    def _host_details(self, event: HostEvent) -> dict[str, Any]:
        host = self.cloud.hosts.get(event.host)
        if event.kind is not HostEventKind.UP or host is None:
            return {}
        flavour, hall, loaner = host.kind
        room = self.cloud.machine_types[flavour]
        return {
            "flavour": flavour, "hall": hall, "loaner": loaner,
            "room": [room.vcpus, room.gpus, room.memory_gb],
        }  # fmt: skip

    def _start_worker(self, name: str) -> None:
        host = self.cloud.hosts.get(name)
        if host is None:
            return
        flavour = self.cloud.machine_types[host.kind.machine_type]
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
        worker.faulty = self.rng.random() < self.faulty_share
        first = int(self.rng.random() * len(self.nodes))
        agent = WorkerAgent(
            worker, self.nodes, first, self.report_s, self.transport, self.history, self.rng
        )
        self.workers[name] = agent
        self.on_host_up(agent)
        agent.start()

    def _remove_worker(self, name: str) -> None:
        agent = self.workers.pop(name, None)
        if agent is not None:
            self.lost_tasks += sum(task.on_machine for task in agent.worker.tasks.values())
            self._killed_on_gone_hosts += agent.worker.killed_tasks
            self._reports_of_gone_hosts += agent.reports
            agent.power_off()
            self.on_host_gone(name)

    @property
    def reports(self) -> int:
        """Answered or not, of all machines so far."""
        return self._reports_of_gone_hosts + sum(
            agent.reports for agent in self.workers.values()
        )

    @property
    def killed_tasks(self) -> int:
        """Tasks that a lost lease ended."""
        return self._killed_on_gone_hosts + sum(
            agent.worker.killed_tasks for agent in self.workers.values()
        )
