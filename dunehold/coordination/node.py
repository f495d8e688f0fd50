"""A controller: its servers, the election, and what it answers."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from dunehold.bookkeeping import records
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.view import View
from dunehold.coordination.durable.recorder import Recorder
from dunehold.coordination.durable.sync import TROUBLE, Sync
from dunehold.coordination.election.feeding import DRIFT, Feeding
from dunehold.coordination.election.relay import Relay
from dunehold.coordination.election.sight import PEER_TIMEOUT_S, Sight
from dunehold.coordination.picture.estimates import Estimates
from dunehold.coordination.term.leader import DIRECT_SOCKET_SHARE, Leader
from dunehold.coordination.upkeep.desk import Desk, Live
from dunehold.coordination.users.intake import Intake
from dunehold.coordination.users.served import Served
from dunehold.coordination.users.submissions import Submissions
from dunehold.protocol import codec, peers, users, workers
from dunehold.protocol.cloud import CloudClient, CloudTrouble, MachineType, NoCapacity
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.state import ABSENT, LeaseGone, Priority, StateClient, Txn
from dunehold.settings import Settings
from dunehold.transport.admission import Purpose
from dunehold.transport.budget import Budget
from dunehold.transport.http import (
    Client,
    Connect,
    HttpClient,
    HttpServer,
    NoResponse,
    Request,
    Response,
)
from dunehold.types import (
    Duration,
    JobId,
    LeaseId,
    MonotonicTime,
    Revision,
    Token,
    TypeName,
)

log = logging.getLogger(__name__)

STATE_LINKS, WATCH_LINKS, CLOUD_LINKS = 16, 2, 4
PEER_SOCKETS = 16
OPERATOR_SOCKETS = 8
RUNNING_AGE_S = 1.0
LIMITED_TIMES, LIMITED_S = 3, 10.0  # refusals of a rate that show that it has fallen
COMPLAIN_S = 10.0  # between lines of the log on reports that can't be read
SERVED_S = 60.0  # between lines of the log on what is served, and what was late
ABSTAIN_S = 6.0
SUCCESSOR_S = 2.0  # that others wait for a node of the zone that should lead next
MOST_PATIENCE = 16  # of terms in which no worker was heard: leadership must not go round
RESERVED_SOCKETS = 64  # for the state service, the cloud and peers
BARRIER_GAP_S = 0.08
WATCH_GAP_S = 0.1
BARRIER_COST, WATCH_COST = 2.0, 3.0  # a half and a third of a node's requests at most
RESERVE_SHARE = 0.9  # of the state service's rates; the rest is for bursts that overlap
# The leader writes most: machines, rentals and the ends of jobs. The others share what is
# left, for submissions, cancellations and proofs.
LEADER_WRITES, LEADER_REQUESTS = 0.6, 0.4
LEAST_FLUSH_GAP_S, FLUSH_COST = 0.05, 2.0  # most flushes hold two changes or fewer
CLOUD_SHARE, CLOUD_BURST_S = 0.8, 1.5


def _purpose(request: Request) -> Purpose:
    if request.path == workers.REPORT_PATH:
        return Purpose.WORKER
    return Purpose.HEALTH if request.path == users.HEALTH_PATH else Purpose.USER


@dataclass(slots=True)
class Node:
    settings: Settings
    connect: Connect = HttpClient
    wall: Callable[[], float] = time.time
    view: View = field(default_factory=View)
    incarnation: str = field(default_factory=lambda: secrets.token_hex(8))
    types: dict[TypeName, MachineType] | None = None
    leader: Leader | None = None
    leader_version: Revision = Revision(0)
    lease: LeaseId | None = None
    lease_until: MonotonicTime = MonotonicTime(-1e9)
    state: StateClient = field(init=False)
    cloud: CloudClient = field(init=False)
    sync: Sync = field(init=False)
    intake: Intake = field(init=False)
    feeding: Feeding = field(init=False)
    relay: Relay = field(init=False)
    sight: Sight = field(init=False)
    served: Served = field(init=False)
    desk: Desk = field(init=False)
    estimates: Estimates = field(default_factory=Estimates)
    _orders_seen: Revision = Revision(0)  # the serial that the leader was told of last
    _running_counts: dict[JobId, int] = field(default_factory=dict)
    _running_at: MonotonicTime = MonotonicTime(-1e9)
    _abstain_until: MonotonicTime = MonotonicTime(-1e9)  # others should lead, if they can
    _vacant_since: MonotonicTime | None = None  # seen by a node that lets others go first
    _complained_at: MonotonicTime = MonotonicTime(-1e9)
    _rates_fell: bool = False
    _refusals: deque[float] = field(default_factory=lambda: deque(maxlen=LIMITED_TIMES))
    _deaf_terms: int = 0  # led in a row without hearing a worker
    _resigning: set[asyncio.Task[None]] = field(default_factory=set)
    _election: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        settings = self.settings
        requests, writes = self._shares(leading=False)
        self.state = StateClient(
            self.connect(settings.state.host, settings.state.port, STATE_LINKS),
            self.connect(settings.state.host, settings.state.port, WATCH_LINKS),
            Budget(requests, max(2.0, requests)),
            Budget(writes, self._least_burst),
        )
        self.state.on_limited = self._limited
        cloud = self.connect(settings.cloud.host, settings.cloud.port, CLOUD_LINKS)
        self.cloud = CloudClient(
            cloud,
            Budget(
                settings.cloud_rps * CLOUD_SHARE, max(2.0, settings.cloud_rps * CLOUD_BURST_S)
            ),
        )
        self.sync = Sync(
            self.state,
            self.view,
            self._on_change,
            Duration(max(BARRIER_GAP_S, BARRIER_COST / requests)),
            Duration(max(WATCH_GAP_S, WATCH_COST / requests)),
        )
        self.sight = Sight(settings, self.sync, self.connect, self._passed_by)
        self.served = Served(settings, self.view, self.wall)
        self.desk = Desk(
            settings,
            self.state,
            self.view,
            self.sync,
            lambda: self.types,
            self._upkeep,
            self.wall,
        )
        self.feeding = Feeding(settings, self.sync)
        self.relay = Relay(
            settings,
            self.state,
            self.view,
            self.sync,
            self.feeding,
            self.sight.reaches,
            lambda: self.leader is not None,
        )
        self.intake = Intake(
            settings,
            self.state,
            self.view,
            self.sync,
            lambda: self.types,
            self._running,
            self.wall,
            Submissions(settings, self.state, self.view, self.sync, self.incarnation),
        )

    def _shares(self, leading: bool) -> tuple[float, float]:
        """This node's part of the state service's requests and changes a second."""
        settings = self.settings
        requests, writes = LEADER_REQUESTS, LEADER_WRITES
        rps, write_rps = settings.state_rps, settings.state_write_rps
        if self._rates_fell:
            rps = settings.later_rps or rps
            write_rps = settings.later_write_rps or write_rps
        if settings.node_count == 1:
            requests = writes = 1.0
        elif not leading:
            others = settings.node_count - 1
            requests, writes = (1.0 - requests) / others, (1.0 - writes) / others
        return (
            rps * RESERVE_SHARE * requests,
            write_rps * RESERVE_SHARE * writes,
        )

    @property
    def _least_burst(self) -> float:
        return max(float(self.settings.txn_ops), self.settings.write_burst)

    def _limited(self) -> None:
        """The state service refused a rate. Once may be bursts that met; several times within
        seconds, its lower limits hold by now, and stay: they are never asked for again."""
        now = self.now()
        self._refusals.append(now)
        if (
            not self._rates_fell
            and len(self._refusals) == LIMITED_TIMES
            and now - self._refusals[0] < LIMITED_S
        ):
            self._rates_fell = True
            log.info("the state service allows less: its later rates hold from now on")
            self._take_share(self.leader is not None)

    def _take_share(self, leading: bool) -> None:
        requests, writes = self._shares(leading)
        self.state.requests.set_rate(requests, max(2.0, requests))
        self.state.writes.set_rate(writes, max(self._least_burst, writes))

    @staticmethod
    def now() -> MonotonicTime:
        return MonotonicTime(asyncio.get_running_loop().time())

    # -- life ----------------------------------------------------------------------------

    async def run(self) -> None:
        settings = self.settings
        reserved = RESERVED_SOCKETS + int(settings.sockets * DIRECT_SOCKET_SHARE)
        most = max(16, settings.sockets - reserved)
        server = HttpServer(self.handle, most, purpose_of=_purpose)
        await server.start(settings.listen.host, settings.listen.port)
        peer_server = HttpServer(self.handle_peer, PEER_SOCKETS)
        await peer_server.start(settings.peer_listen.host, settings.peer_listen.port)
        if settings.operator.operator_port:
            door = HttpServer(self.handle_operator, OPERATOR_SOCKETS)
            await door.start(settings.peer_listen.host, settings.operator.operator_port)
        log.info(
            "node %s listens on %s:%d",
            settings.node,
            settings.listen.host,
            settings.listen.port,
        )
        await self.act()

    async def act(self) -> None:
        """Everything but listening."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._forever(self.sync.watch))
            group.create_task(self._forever(self._fetch_types))
            group.create_task(self._forever(self._elect))
            group.create_task(self._forever(self.sight.compare))
            group.create_task(self._forever(self.relay.run))
            group.create_task(self._forever(self._log_served))

    async def _forever(self, work) -> None:  # type: ignore[no-untyped-def]
        """No failure of one activity ends the process."""
        while True:
            try:
                await work()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("%s failed and is begun again", work.__qualname__)
                await asyncio.sleep(1.0)

    async def _log_served(self) -> None:
        while True:
            await asyncio.sleep(SERVED_S)
            if self.leader is not None:
                log.info("served: %s", self.served.line())
                log.info("late starts in this term: %s", self.leader.lateness.line())
                if lost := self.leader.ledger.lost_mute:
                    log.info("lost on machines that only direct calls reach: %d tasks", lost)

    async def _fetch_types(self) -> None:
        while self.types is None:
            try:
                self.types = await self.cloud.machine_types()
                log.info("machine types: %s", ", ".join(self.types))
                self._election.set()
            except (CloudTrouble, NoCapacity, NoResponse, BadMessage) as error:
                log.info("machine types not known yet: %s", error)
                await asyncio.sleep(1.0)

    # -- requests ------------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        if request.path == workers.REPORT_PATH and request.method == "POST":
            return self._report(request.body)
        if request.path == users.HEALTH_PATH:
            return Response(503 if self.sight.alone or self.sight.isolated else 200)
        response = await self.intake.handle(request)
        if response is None:
            return Response(404, users.encode_error("no such path"))
        if response.status == 503 or self.sight.alone or self.sight.isolated:
            # Kept open, the connection would bring its user's next try here as well, and
            # every try for a job could fail at one node while all others would answer.
            return response._replace(close=True)
        return response

    def _report(self, body: bytes) -> Response:
        try:
            report = workers.decode_report(body)
        except BadMessage as error:
            if self.now() - self._complained_at > COMPLAIN_S:
                self._complained_at = self.now()
                log.info("report ignored: %s", error)
            return Response(400, users.encode_error(str(error)))
        self.sight.worker_at = self.now()
        if self.leader is not None:
            answer = self.leader.report(report)
            if answer is not None:
                return Response(200, answer)
            if self.leader is not None:
                return Response(503)
        relayed = self.relay.answer(report)
        if relayed is not None:
            return Response(200, relayed)
        known = self.view.leader
        name = known.node if known is not None and known.node != self.settings.node else None
        return Response(421, workers.encode_redirect(name))

    async def handle_peer(self, request: Request) -> Response:
        if request.path == peers.RUNNING_PATH and self.leader is not None:
            return Response(200, peers.encode_running(self.leader.running()))
        if request.path == peers.PROOF_PATH:
            return Response(200, peers.encode_sight(self.sight.own()))
        if request.path == peers.SERVED_PATH:
            return Response(200, codec.dump(self.served.picture()))
        if request.path == peers.UPKEEP_PATH and self.leader is not None:
            status = self.leader.care.status()
            return Response(200, peers.encode_upkeep(self.view.applied, status))
        if request.path.startswith(peers.WAITS_PATH):
            job = JobId(request.path[len(peers.WAITS_PATH) :])
            if job in self.view.jobs:
                return Response(
                    200, peers.encode_waits(job, self.view.needs.waits.get(job, ()))
                )
        return Response(404)

    async def handle_operator(self, request: Request) -> Response:
        return await self.desk.handle(request)

    def _leaders_client(self) -> Client | None:
        known = self.view.leader
        return None if known is None else self.sight.client(known.node)

    async def _upkeep(self) -> Live | None:
        """The leader's word on the orders, or None where it can't be had now."""
        if self.leader is not None:
            return self.view.applied, self.leader.care.status()
        client = self._leaders_client()
        if client is None:
            return None
        try:
            return await peers.get_upkeep(client, PEER_TIMEOUT_S)
        except (NoResponse, BadMessage) as error:
            log.debug("orders: %s", error)
            return None

    def _passed_by(self) -> None:
        if self.leader is not None and self.now() >= self.lease_until:
            self._step_down("others are served, and may lead by now")

    async def _running(self, job: JobId) -> int:
        """Tasks on machines, for display; a second old at most where the leader answers."""
        if self.leader is not None:
            return len(self.leader.ledger.by_job.get(job, ()))
        if self.now() - self._running_at > RUNNING_AGE_S:
            self._running_at = self.now()
            client = self._leaders_client()
            try:
                self._running_counts = (
                    await peers.get_running(client, PEER_TIMEOUT_S)
                    if client is not None
                    else {}
                )
            except (NoResponse, BadMessage) as error:
                log.debug("running counts: %s", error)
        return self._running_counts.get(job, 0)

    # -- election ------------------------------------------------------------------------

    def _on_change(self, touched: list[JobId]) -> None:
        self.served.note(touched)
        known = self.view.leader
        if (
            self.leader is not None
            and (known is None or known.incarnation != self.incarnation)
            and self.view.applied >= self.leader_version
        ):
            self._step_down("the leader key is another's or gone")
        if self.leader is not None:
            self.leader.jobs_changed(touched)
            if self._orders_seen != self.view.orders_serial:
                self._orders_seen = self.view.orders_serial
                self.leader.orders_changed()
        elif self._vacant():
            self._election.set()
        else:
            self._vacant_since = None

    def _vacant(self) -> bool:
        """Nobody leads, or this node's own earlier life, which is over."""
        known = self.view.leader
        return self.view.loaded and (
            known is None
            or (known.node == self.settings.node and known.incarnation != self.incarnation)
        )

    async def _elect(self) -> None:
        renew = self.settings.operator.leader_renew_s
        while True:
            if self.leader is not None:
                await self._renew()
                await asyncio.sleep(renew)
                continue
            abstains = self.now() < max(self._abstain_until, self._others_first_until())
            if self.types is not None and self._vacant() and not abstains:
                try:
                    await self._stand()
                except (*TROUBLE, LeaseGone) as error:
                    log.info("no leadership yet: %s", error)
                    await asyncio.sleep(0.3)
                continue
            self._election.clear()
            try:
                async with asyncio.timeout(renew * 2):
                    await self._election.wait()
            except TimeoutError:
                # The watch may be stuck; a vacancy must not go unseen.
                try:
                    await self.sync.barrier()
                except TROUBLE as error:
                    log.debug("refresh: %s", error)

    def _others_first_until(self) -> MonotonicTime:
        """A node of another zone should lead next: it is given a moment to stand."""
        named = self.view.successor
        if (
            named is None
            or named[0] == self.settings.zone
            or named[1] != self.view.token
            or not self._vacant()
        ):
            return MonotonicTime(-1e9)
        if self._vacant_since is None:
            self._vacant_since = self.now()
        return MonotonicTime(self._vacant_since + SUCCESSOR_S)

    async def _stand(self) -> None:
        life = Duration(self.settings.operator.leader_lease_s)
        await self.sync.barrier()
        if not self._vacant():
            return
        sent = self.now()
        lease = await self.state.grant(life, Priority.LEASE)
        known = self.view.leader
        token = Token(self.view.token + 1)
        txn = Txn(
            guards={
                records.LEADER_KEY: known.version if known is not None else ABSENT,
                records.TOKEN_KEY: self.view.token_version,
            },
            puts={
                records.LEADER_KEY: records.encode_leader(
                    self.settings.node, self.incarnation, token
                ),
                records.TOKEN_KEY: token,
            },
            lease=lease,
            leased_key=records.LEADER_KEY,
        )
        try:
            result = await self.state.txn(txn, Priority.LEASE)
            won = result.ok
        except NoResponse:
            won = True  # it may have been applied: what the view says below decides
        await self.sync.barrier(urgent=True)
        known = self.view.leader
        if not won or known is None or known.incarnation != self.incarnation:
            await self.state.drop_lease(lease)
            return
        if known.token != token or self.types is None:
            return
        self.lease = lease
        # The lease counts from when it was asked for, less what clocks may drift apart.
        self.lease_until = MonotonicTime(sent + life / DRIFT)
        self.leader_version = known.version
        self._begin(token)

    def _begin(self, token: Token) -> None:
        assert self.types is not None
        settings = self.settings
        ledger = Ledger(
            self.view,
            token,
            self.now(),
            settings.teams,
            self.types,
            settings.lease_s,
            self.feeding.limit_s,
        )
        recorder = Recorder(
            settings,
            self.state,
            self.sync,
            self.view,
            ledger,
            self.leader_version,
            token,
            lambda: self.leader.make_dirty() if self.leader is not None else None,
            lambda hosts: self.leader.starts_logged(hosts) if self.leader is not None else None,
            max(LEAST_FLUSH_GAP_S, FLUSH_COST / self._shares(leading=True)[1]),
            self.wall,
        )
        self.leader = Leader(
            settings,
            self.view,
            ledger,
            recorder,
            self.cloud,
            token,
            self.types,
            self._may_start,
            self.feeding.allowed,
            lambda: self.sync.proved_at,
            self._deposed,
            self.sight.workers_silent,
            self.estimates,
            self.connect,
            self.wall,
            self.sight.reaches,
            self.served.in_time,
            float(min(2**self._deaf_terms, MOST_PATIENCE)),
        )
        log.info(
            "node %s leads with token %d: %d active jobs, %d machines on record",
            settings.node,
            token,
            len(self.view.active),
            len(self.view.hosts),
        )
        self._take_share(leading=True)
        self.leader.start()

    def _deposed(self) -> None:
        """The leader found out by itself that another leads, or should."""
        self._step_down("told so")
        self._abstain_until = MonotonicTime(self.now() + ABSTAIN_S)

    async def _renew(self) -> None:
        lease = self.lease
        if lease is None:
            return
        sent = self.now()
        try:
            await self.state.extend(lease)
            life = self.settings.operator.leader_lease_s
            self.lease_until = MonotonicTime(sent + life / DRIFT)
            # The lease alone proves nothing of cancellations: read what is new as well.
            await self.sync.barrier(urgent=True)
        except LeaseGone:
            self._step_down("the lease has ended")
        except TROUBLE as error:
            log.info("leadership not renewed: %s", error)

    async def _resign(self, lease: LeaseId) -> None:
        with contextlib.suppress(*TROUBLE):
            await self.state.drop_lease(lease)

    def _may_start(self) -> bool:
        """Nothing is started without proof of still being the leader."""
        return self.leader is not None and self.now() < self.lease_until

    def _step_down(self, reason: str) -> None:
        leader, self.leader = self.leader, None
        if leader is None:
            return
        log.info(
            "node %s no longer leads (token %d): %s", self.settings.node, leader.token, reason
        )
        self._deaf_terms = 0 if leader.heard else self._deaf_terms + 1
        lease, self.lease = self.lease, None
        self.lease_until = MonotonicTime(-1e9)
        leader.stop()
        if lease is not None:
            # Left to run out, the lease would keep all others from leading meanwhile.
            task = asyncio.get_running_loop().create_task(self._resign(lease))
            self._resigning.add(task)
            task.add_done_callback(self._resigning.discard)
        self._take_share(leading=False)
        self._election.set()
