"""Agents that run the models of the state service, the workers and the cloud with asyncio.

They add timers, waiting watches, the reports of workers and faults of the network. The agents
are independent of the transport: they run on sockets and on the virtual time of the tests with
different implementations of ``MessageTransport``.
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
    """Sends a request from one host to another."""

    async def request(
        self,
        source: str,
        target: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Returns status and body; raises NoResponse when none came in time."""
        ...


def _now() -> float:
    return asyncio.get_running_loop().time()


@dataclass(slots=True)
class WakeupTimer:
    """Timer for one sleeper, whose time to wake up may become earlier while it sleeps."""

    _event: asyncio.Event = field(default_factory=asyncio.Event)

    def wake(self) -> None:
        """Ends the current sleep, or the next one if none is in progress."""
        self._event.set()

    async def sleep_until(self, at: float, max_s: float = 60.0) -> None:
        """Sleeps until time ``at`` or ``wake``, for at most ``max_s``."""
        left_s = min(at - _now(), max_s)
        if left_s > 0:
            with contextlib.suppress(TimeoutError):
                # A timer may fire slightly early. The margin makes sure that what is due at
                # ``at`` is due after the sleep.
                await asyncio.wait_for(self._event.wait(), left_s + 1e-6)
        self._event.clear()


# -- state service -----------------------------------------------------------------------


@dataclass(slots=True)
class DelayedTxnStats:
    """Results of transactions that the state service executed late."""

    executed: int = 0  # those answered with 200 or 409
    after_newer_writes: int = 0  # executed after a newer transaction of the same controller
    rejected_after_newer: int = 0  # of those, the ones whose conditions did not hold
    # Keys written by a delayed transaction although they had changed since it was sent.
    overwritten_keys: list[str] = field(default_factory=list)
    _newest_revisions: dict[str, int] = field(default_factory=dict)  # controller -> revision

    def record_txn(self, source: str, revision: int) -> None:
        """Records the revision after a transaction that was not delayed."""
        self._newest_revisions[source] = revision

    def record_delayed_txn(
        self,
        source: str,
        body: bytes | None,
        sent_revision: int,
        versions: dict[str, int],
        status: int,
    ) -> None:
        """Records a delayed transaction after its execution.

        ``sent_revision`` is the store's revision when the transaction was sent, and
        ``versions`` maps keys to their versions just before it was executed.
        """
        if status not in (200, 409):
            return
        self.executed += 1
        newer = self._newest_revisions.get(source, 0) > sent_revision
        self.after_newer_writes += newer
        self.rejected_after_newer += newer and status == 409
        if status == 200:
            for write in orjson.loads(body or b"{}").get("writes", []):
                key = write.get("put", write.get("drop"))
                if versions.get(key, 0) > sent_revision:
                    self.overwritten_keys.append(key)


DELAY_RANGE_S = (2.0, 12.0)  # delay of a transaction that is executed without an answer


@dataclass(slots=True)
class StateAgent:
    """Runs the state service: expiry of leases, open watches, delays and lost answers."""

    store: Store
    requests_served: int = 0
    delayed_txn_share: float = 0.0  # share of transactions executed late and not answered
    delayed_txns: DelayedTxnStats = field(default_factory=DelayedTxnStats)
    lost_response_share: float = 0.0  # share of transactions executed at once, not answered
    lost_responses: int = 0  # of these, the ones that changed the store
    delay_s: float = 0.0  # delay before each request is processed
    # The same for the requests of single nodes; the longer delay applies.
    delay_s_by_node: dict[str, float] = field(default_factory=dict)
    # Errors of transactions that got 400, except for ended leases.
    bad_txn_errors: list[str] = field(default_factory=list)
    rng: Randomness | None = None  # needed for delayed transactions and lost answers
    # Set when the store changes, and replaced by a new event for later waiters.
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _delayed_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        """Answers a request of ``source``; waits as long as a watch has to wait.

        ``source`` is the name of a node, with an optional suffix after ``#`` for the
        incarnation of its process. Raises ConnectionResetError when the answer is lost.
        """
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
        answer = self.store.handle(method, target, body, source, _now())
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
        """Executes a transaction after a random delay and records what it did."""
        assert self.rng is not None
        sent_revision = self.store.revision
        await asyncio.sleep(self.rng.uniform(*DELAY_RANGE_S))
        versions = {key: row.version for key, row in self.store.rows.items()}
        before = self.store.revision
        answer = self.store.handle("POST", "/txn", body, source, _now())
        self._wake_if_changed(before)
        if isinstance(answer, Reply):
            self.delayed_txns.record_delayed_txn(
                source, body, sent_revision, versions, answer.status
            )

    async def _wait_for_watch(self, watch: Watch, source: str) -> Reply:
        """Returns the answer to a watch once there is one.

        The watch stays open during an outage and while requests of its node are refused.
        """
        while True:
            changed = self._changed
            if source not in self.store.refused_sources:
                answer = self.store.poll(watch, _now())
                if answer is not None:
                    return answer
            # The minimum limits the rate of this loop when the watch's time is over but the
            # service is down or refuses the node.
            left_s = max(watch.until - _now(), 0.05)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _wake_if_changed(self, previous_revision: int) -> None:
        if self.store.revision != previous_revision:
            self.wake_watches()

    def wake_watches(self) -> None:
        """Makes the open watches check the store again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Ends leases when they expire, even without requests; never returns.

        Expiry is checked at intervals of 5 to 50 ms.
        """
        while True:
            ends_at = self.store.next_expiry()
            await asyncio.sleep(
                0.05 if ends_at is None else min(max(ends_at - _now(), 0.005), 0.05)
            )
            before = self.store.revision
            self.store.expire(_now())
            self._wake_if_changed(before)


# -- workers -----------------------------------------------------------------------------


@dataclass(slots=True, eq=False)
class WorkerAgent:
    """Runs one worker: its timers, its reports and faults of its network."""

    worker: Worker
    nodes: list[str]  # names of the controllers
    node_index: int  # the controller that gets the next report
    report_s: float  # mean interval between reports
    transport: MessageTransport
    history: History
    rng: Randomness
    reports: int = 0  # attempts to report, answered or not
    inbound_lost_until: float = -1.0  # until then, answers and direct commands are lost
    lost_responses: int = 0  # answers lost because of ``inbound_lost_until``
    reports_lost_until: float = -1.0  # until then, reports are lost; direct commands arrive
    lost_reports: int = 0  # reports lost because of ``reports_lost_until``
    duplicate_share: float = 0.0  # share of reports that are sent once more, later
    hold_copies: bool = False  # keep copies until ``release_copies`` instead of a random time
    held_copies: list[bytes] = field(default_factory=list)  # bodies of reports
    copies_sent: int = 0
    _timer: WakeupTimer = field(default_factory=WakeupTimer)
    _report_due: asyncio.Event = field(default_factory=asyncio.Event)  # set: report early
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _copy_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start(self) -> None:
        """Starts the worker's tasks on the running event loop."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_worker()),
            loop.create_task(self._report_loop()),
        ]

    def stop(self) -> None:
        """Cancels the worker's tasks."""
        for task in self._tasks:
            task.cancel()

    def power_off(self) -> None:
        """Powers off the machine for good."""
        self.worker.power_off(_now())
        self._process_events()

    @contextlib.contextmanager
    def modify(self) -> Iterator[Worker]:
        """Context manager for a change of the worker from outside, such as a fault.

        Advances the worker first and processes the events of the change afterwards.
        """
        self.worker.advance(_now())
        yield self.worker
        self._process_events()

    def _process_events(self) -> None:
        """Records the worker's events in the history and wakes the agent's tasks."""
        machine = self.worker.machine
        for at, kind, task_id, attempt, reason in self.worker.events:
            data: dict[str, Any] = {"item": task_id, "attempt": attempt, "host": machine.name}
            if kind is TaskEventKind.STARTED:
                data |= {"flavour": machine.machine_type, "hall": machine.zone}
                data["loaner"] = machine.spot
            elif kind is TaskEventKind.ENDED:
                data["why"] = reason
            self.history.add_at(at, kind.value, **data)
        self.worker.events.clear()
        if self.worker.report_pending:
            self.worker.report_pending = False
            self._report_due.set()
        self._timer.wake()

    async def _run_worker(self) -> None:
        while not self.worker.gone:
            await self._timer.sleep_until(self.worker.next_at())
            self.worker.advance(_now())
            if self.worker.events or self.worker.report_pending:
                self._process_events()

    async def _wait_while_hanging(self) -> None:
        """Waits until the machine no longer hangs; until then it sends and handles nothing."""
        while self.worker.hanging and not self.worker.gone:
            await asyncio.sleep(max(self.worker.hung_until - _now(), 0.0) + 0.001)
            self.worker.advance(_now())

    async def _report_loop(self) -> None:
        """Sends reports and executes the commands in the answers, until the machine is gone."""
        while True:
            await self._wait_while_hanging()
            if self.worker.gone:
                return
            self.worker.advance(_now())
            sent_at, sent_session = _now(), self.worker.session
            body = orjson.dumps(self.worker.report())
            self._report_due.clear()
            if self.duplicate_share and self.rng.random() < self.duplicate_share:
                if self.hold_copies:
                    self.held_copies.append(body)
                else:
                    self._spawn_copy(self._send_copy_later(body))
            status, row = await self._send_report(body)
            if status and self._loses_inbound():
                # The worker waits for the lost answer until its timeout.
                self.lost_responses += 1
                status = 0
                await asyncio.sleep(max(0.0, sent_at + REPORT_TIMEOUT_S - _now()))
            await self._wait_while_hanging()
            if self.worker.gone:
                return
            self.reports += 1
            if status == 200:
                self.worker.handle_report_response(sent_at, sent_session, row, _now())
                self._process_events()
            route = next_route(
                self.nodes, self.node_index, status, row, self.rng.uniform(0.0, 0.5)
            )
            self.node_index = route.node
            if route.pause_s is not None:
                await asyncio.sleep(route.pause_s)
                continue
            interval_s = self.report_s * self.rng.uniform(0.75, 1.25)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._report_due.wait(), interval_s)
            await asyncio.sleep(max(0.0, sent_at + MIN_REPORT_INTERVAL_S - _now()))

    def _loses_inbound(self) -> bool:
        return _now() < self.inbound_lost_until

    def _spawn_copy(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._copy_tasks.add(task)
        task.add_done_callback(self._copy_tasks.discard)

    def release_copies(self) -> None:
        """Sends each held copy to every controller at once."""
        for body in self.held_copies:
            for node in self.nodes:
                self._spawn_copy(self._send_copy(node, body))
        self.held_copies.clear()

    async def _send_copy_later(self, body: bytes) -> None:
        """Sends a copy to a random controller after two seconds to twice the worker's lease.

        The answer is ignored, as the worker no longer waits for it.
        """
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
        """Returns status and body of the answer; status 0 when none came that is JSON."""
        if _now() < self.reports_lost_until:
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
        """Answers a request of a controller, once the machine no longer hangs.

        Raises ConnectionResetError when the machine is gone or the request is lost.
        """
        self.worker.advance(_now())
        await self._wait_while_hanging()
        if self.worker.gone or self._loses_inbound():
            raise ConnectionResetError
        answer = self.worker.handle(method, target, body, _now())
        self._process_events()
        return answer


# -- cloud -------------------------------------------------------------------------------


@dataclass(slots=True)
class CloudAgent:
    """Runs the cloud and a worker for each machine that is up."""

    cloud: Cloud
    jobs: Jobs
    nodes: list[str]  # names of the controllers
    transport: MessageTransport
    history: History
    rng: Randomness
    report_s: float  # mean interval between a worker's reports
    lease_s: float  # lease of the workers
    faulty_share: float = 0.0  # share of machines on which all tasks fail
    slow_share: float = 0.0  # share of machines whose speed is multiplied by ``slow_speed``
    slow_speed: float = 0.3
    speed_spread: float = 0.1  # speeds differ from 1.0 by up to this
    workers: dict[str, WorkerAgent] = field(default_factory=dict)  # host name -> its worker
    lost_tasks: int = 0  # tasks that were on machines when these went away
    requests_served: int = 0
    # Called with the worker of a new machine before it starts.
    on_host_up: Callable[[WorkerAgent], None] = lambda _: None
    # Called with the name of a machine that is gone.
    on_host_gone: Callable[[str], None] = lambda _: None
    _killed_on_gone_hosts: int = 0  # ``killed_tasks`` of machines that are gone
    _reports_of_gone_hosts: int = 0  # ``reports`` of machines that are gone
    _timer: WakeupTimer = field(default_factory=WakeupTimer)

    async def handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        """Answers a request to the cloud's API."""
        self.requests_served += 1
        answer = self.cloud.handle(method, target, body, _now())
        self.process_events()
        self._timer.wake()  # a rental or a deletion can change the time of the next event
        return answer

    async def run(self) -> None:
        """Advances the cloud when events are due; never returns.

        It advances at least every 0.5 s, which is the interval of the cloud's list snapshots.
        """
        while True:
            await self._timer.sleep_until(self.cloud.next_at(), 0.5)
            self.cloud.advance(_now())
            self.process_events()

    def process_events(self) -> None:
        """Records the cloud's events in the history and applies them to the workers."""
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
                        worker.notify_reclaim(_now(), event.notice_s)
            else:
                self._remove_worker(event.host)

    def _host_details(self, event: HostEvent) -> dict[str, Any]:
        """Returns the kind and resources of a machine for its event UP, nothing for others."""
        host = self.cloud.hosts.get(event.host)
        if event.kind is not HostEventKind.UP or host is None:
            return {}
        type_name, zone, spot = host.kind
        spec = self.cloud.machine_types[type_name]
        return {
            "flavour": type_name, "hall": zone, "loaner": spot,
            "room": [spec.vcpus, spec.gpus, spec.memory_gb],
        }  # fmt: skip

    def _start_worker(self, name: str) -> None:
        host = self.cloud.hosts.get(name)
        if host is None:
            return
        spec = self.cloud.machine_types[host.kind.machine_type]
        machine = Machine(
            name,
            host.address,
            *host.kind,
            spec.vcpus,
            spec.gpus,
            spec.memory_gb,
            spec.cache_gb,
            spec.fetch_gb_per_s * self.rng.uniform(2 / 3, 4 / 3),
        )
        worker = Worker(machine, self.jobs, self.lease_s, _now())
        worker.speed = self.rng.uniform(1 - self.speed_spread, 1 + self.speed_spread)
        if self.rng.random() < self.slow_share:
            worker.speed *= self.slow_speed
        worker.faulty = self.rng.random() < self.faulty_share
        first_node = int(self.rng.random() * len(self.nodes))
        agent = WorkerAgent(
            worker,
            self.nodes,
            first_node,
            self.report_s,
            self.transport,
            self.history,
            self.rng,
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
        """Number of reports that all machines have tried to send, answered or not."""
        return self._reports_of_gone_hosts + sum(
            agent.reports for agent in self.workers.values()
        )

    @property
    def killed_tasks(self) -> int:
        """Number of tasks that were killed because a worker's lease ran out."""
        return self._killed_on_gone_hosts + sum(
            agent.worker.killed_tasks for agent in self.workers.values()
        )
