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
from dunehold.coordination.election.connectivity import PEER_TIMEOUT_S, Connectivity
from dunehold.coordination.election.lease_renewal import CLOCK_DRIFT_FACTOR, LeaseRenewal
from dunehold.coordination.election.relay import Relay
from dunehold.coordination.maintenance.operator_api import LeaderStatus, OperatorApi
from dunehold.coordination.persistence.recorder import Recorder
from dunehold.coordination.persistence.sync import STATE_SERVICE_ERRORS, ViewSync
from dunehold.coordination.planning.estimates import RuntimeEstimates
from dunehold.coordination.term.leader import DIRECT_SOCKET_SHARE, Leader
from dunehold.coordination.users.job_api import JobApi
from dunehold.coordination.users.served import Served
from dunehold.coordination.users.submissions import SubmissionQueue
from dunehold.protocol import codec, peers, users, workers
from dunehold.protocol.cloud import CloudClient, CloudUnavailable, MachineType, NoCapacity
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.state import ABSENT, LeaseExpired, RequestPriority, StateClient, Txn
from dunehold.settings import Settings
from dunehold.transport.admission import Purpose
from dunehold.transport.http import (
    Client,
    Connect,
    HttpClient,
    HttpServer,
    NoResponse,
    Request,
    Response,
)
from dunehold.transport.rate_limiter import RateLimiter
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

STATE_CONNECTIONS, WATCH_CONNECTIONS, CLOUD_CONNECTIONS = 16, 2, 4
PEER_SOCKETS = 16
OPERATOR_SOCKETS = 8
RUNNING_COUNTS_MAX_AGE_S = 1.0
RATE_REFUSAL_COUNT, RATE_REFUSAL_WINDOW_S = (
    3,
    10.0,
)  # refusals of a rate that show that it has fallen
BAD_REPORT_LOG_INTERVAL_S = 10.0  # between lines of the log on reports that can't be read
SERVED_LOG_INTERVAL_S = 60.0  # between lines of the log on what is served, and what was late
DEPOSED_ABSTAIN_S = 6.0
SUCCESSOR_WAIT_S = 2.0  # that others wait for a node of the zone that should lead next
MAX_TIMEOUT_FACTOR = 16  # of terms in which no worker was heard: leadership must not go round
RESERVED_SOCKETS = 64  # for the state service, the cloud and peers
MIN_BARRIER_INTERVAL_S = 0.08
MIN_WATCH_INTERVAL_S = 0.1
BARRIER_INTERVAL_REQUESTS, WATCH_INTERVAL_REQUESTS = (
    2.0,
    3.0,
)  # a half and a third of a node's requests at most
USABLE_RATE_SHARE = 0.9  # of the state service's rates; the rest is for bursts that overlap
# The leader writes most: machines, rentals and the ends of jobs. The others share what is
# left, for submissions, cancellations and proofs.
LEADER_WRITE_SHARE, LEADER_REQUEST_SHARE = 0.6, 0.4
MIN_FLUSH_INTERVAL_S, FLUSH_INTERVAL_WRITES = (
    0.05,
    2.0,
)  # most flushes hold two changes or fewer
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
    sync: ViewSync = field(init=False)
    job_api: JobApi = field(init=False)
    lease_renewal: LeaseRenewal = field(init=False)
    relay: Relay = field(init=False)
    connectivity: Connectivity = field(init=False)
    served: Served = field(init=False)
    operator_api: OperatorApi = field(init=False)
    estimates: RuntimeEstimates = field(default_factory=RuntimeEstimates)
    _orders_seen: Revision = Revision(0)  # the serial that the leader was told of last
    _running_counts: dict[JobId, int] = field(default_factory=dict)
    _running_at: MonotonicTime = MonotonicTime(-1e9)
    _abstain_until: MonotonicTime = MonotonicTime(-1e9)  # others should lead, if they can
    _vacant_since: MonotonicTime | None = None  # seen by a node that lets others go first
    _bad_report_logged_at: MonotonicTime = MonotonicTime(-1e9)
    _rates_fell: bool = False
    _refusals: deque[float] = field(default_factory=lambda: deque(maxlen=RATE_REFUSAL_COUNT))
    _silent_terms: int = 0  # led in a row without hearing a worker
    _lease_releases: set[asyncio.Task[None]] = field(default_factory=set)
    _election_wakeup: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        settings = self.settings
        requests, writes = self._rate_shares(leading=False)
        self.state = StateClient(
            self.connect(settings.state.host, settings.state.port, STATE_CONNECTIONS),
            self.connect(settings.state.host, settings.state.port, WATCH_CONNECTIONS),
            RateLimiter(requests, max(2.0, requests)),
            RateLimiter(writes, self._least_burst),
        )
        self.state.on_limited = self._on_rate_refused
        cloud = self.connect(settings.cloud.host, settings.cloud.port, CLOUD_CONNECTIONS)
        self.cloud = CloudClient(
            cloud,
            RateLimiter(
                settings.cloud_rps * CLOUD_SHARE, max(2.0, settings.cloud_rps * CLOUD_BURST_S)
            ),
        )
        self.sync = ViewSync(
            self.state,
            self.view,
            self._on_change,
            Duration(max(MIN_BARRIER_INTERVAL_S, BARRIER_INTERVAL_REQUESTS / requests)),
            Duration(max(MIN_WATCH_INTERVAL_S, WATCH_INTERVAL_REQUESTS / requests)),
        )
        self.connectivity = Connectivity(
            settings, self.sync, self.connect, self._on_cut_off_from_state
        )
        self.served = Served(settings, self.view, self.wall)
        self.operator_api = OperatorApi(
            settings,
            self.state,
            self.view,
            self.sync,
            lambda: self.types,
            self._maintenance_status,
            self.wall,
        )
        self.lease_renewal = LeaseRenewal(settings, self.sync)
        self.relay = Relay(
            settings,
            self.state,
            self.view,
            self.sync,
            self.lease_renewal,
            self.connectivity.reaches,
            lambda: self.leader is not None,
        )
        self.job_api = JobApi(
            settings,
            self.state,
            self.view,
            self.sync,
            lambda: self.types,
            self._count_running,
            self.wall,
            SubmissionQueue(settings, self.state, self.view, self.sync, self.incarnation),
        )

    def _rate_shares(self, leading: bool) -> tuple[float, float]:
        """This node's part of the state service's requests and changes a second."""
        settings = self.settings
        requests, writes = LEADER_REQUEST_SHARE, LEADER_WRITE_SHARE
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
            rps * USABLE_RATE_SHARE * requests,
            write_rps * USABLE_RATE_SHARE * writes,
        )

    @property
    def _least_burst(self) -> float:
        return max(float(self.settings.txn_ops), self.settings.write_burst)

    def _on_rate_refused(self) -> None:
        """The state service refused a rate. Once may be bursts that met; several times within
        seconds, its lower limits hold by now, and stay: they are never asked for again."""
        now = self.now()
        self._refusals.append(now)
        if (
            not self._rates_fell
            and len(self._refusals) == RATE_REFUSAL_COUNT
            and now - self._refusals[0] < RATE_REFUSAL_WINDOW_S
        ):
            self._rates_fell = True
            log.info("the state service allows less: its later rates hold from now on")
            self._apply_rate_shares(self.leader is not None)

    def _apply_rate_shares(self, leading: bool) -> None:
        requests, writes = self._rate_shares(leading)
        self.state.request_limiter.set_rate(requests, max(2.0, requests))
        self.state.write_limiter.set_rate(writes, max(self._least_burst, writes))

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
            group.create_task(self._restart_on_failure(self.sync.watch))
            group.create_task(self._restart_on_failure(self._fetch_types))
            group.create_task(self._restart_on_failure(self._elect))
            group.create_task(self._restart_on_failure(self.connectivity.monitor))
            group.create_task(self._restart_on_failure(self.relay.run))
            group.create_task(self._restart_on_failure(self._log_served))

    async def _restart_on_failure(self, work) -> None:  # type: ignore[no-untyped-def]
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
            await asyncio.sleep(SERVED_LOG_INTERVAL_S)
            if self.leader is not None:
                log.info("served: %s", self.served.summary_line())
                log.info("late starts in this term: %s", self.leader.late_starts.summary())
                if lost := self.leader.ledger.lost_without_reports:
                    log.info("lost on machines that only direct calls reach: %d tasks", lost)

    async def _fetch_types(self) -> None:
        while self.types is None:
            try:
                self.types = await self.cloud.machine_types()
                log.info("machine types: %s", ", ".join(self.types))
                self._election_wakeup.set()
            except (CloudUnavailable, NoCapacity, NoResponse, BadMessage) as error:
                log.info("machine types not known yet: %s", error)
                await asyncio.sleep(1.0)

    # -- requests ------------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        if request.path == workers.REPORT_PATH and request.method == "POST":
            return self._report(request.body)
        if request.path == users.HEALTH_PATH:
            return Response(
                503
                if self.connectivity.cut_off_from_state or self.connectivity.isolated
                else 200
            )
        response = await self.job_api.handle(request)
        if response is None:
            return Response(404, users.encode_error("no such path"))
        if (
            response.status == 503
            or self.connectivity.cut_off_from_state
            or self.connectivity.isolated
        ):
            # Kept open, the connection would bring its user's next try here as well, and
            # every try for a job could fail at one node while all others would answer.
            return response._replace(close=True)
        return response

    def _report(self, body: bytes) -> Response:
        try:
            report = workers.decode_report(body)
        except BadMessage as error:
            if self.now() - self._bad_report_logged_at > BAD_REPORT_LOG_INTERVAL_S:
                self._bad_report_logged_at = self.now()
                log.info("report ignored: %s", error)
            return Response(400, users.encode_error(str(error)))
        self.connectivity.last_report_at = self.now()
        if self.leader is not None:
            answer = self.leader.handle_report(report)
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
            return Response(200, peers.encode_running(self.leader.running_counts()))
        if request.path == peers.PEER_STATUS_PATH:
            return Response(200, peers.encode_peer_status(self.connectivity.local_status()))
        if request.path == peers.SERVED_PATH:
            return Response(200, codec.dump(self.served.summary()))
        if request.path == peers.MAINTENANCE_PATH and self.leader is not None:
            status = self.leader.maintenance.status()
            return Response(200, peers.encode_maintenance(self.view.applied, status))
        if request.path.startswith(peers.DEPENDENCIES_PATH):
            job = JobId(request.path[len(peers.DEPENDENCIES_PATH) :])
            if job in self.view.jobs:
                return Response(
                    200,
                    peers.encode_unmet_dependencies(
                        job, self.view.dependency_index.pending.get(job, ())
                    ),
                )
        return Response(404)

    async def handle_operator(self, request: Request) -> Response:
        return await self.operator_api.handle(request)

    def _leaders_client(self) -> Client | None:
        known = self.view.leader
        return None if known is None else self.connectivity.client(known.node)

    async def _maintenance_status(self) -> LeaderStatus | None:
        """The leader's word on the orders, or None where it can't be had now."""
        if self.leader is not None:
            return self.view.applied, self.leader.maintenance.status()
        client = self._leaders_client()
        if client is None:
            return None
        try:
            return await peers.get_maintenance(client, PEER_TIMEOUT_S)
        except (NoResponse, BadMessage) as error:
            log.debug("orders: %s", error)
            return None

    def _on_cut_off_from_state(self) -> None:
        if self.leader is not None and self.now() >= self.lease_until:
            self._step_down("others are served, and may lead by now")

    async def _count_running(self, job: JobId) -> int:
        """Tasks on machines, for display; a second old at most where the leader answers."""
        if self.leader is not None:
            return len(self.leader.ledger.task_zones_by_job.get(job, ()))
        if self.now() - self._running_at > RUNNING_COUNTS_MAX_AGE_S:
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
        self.served.record_changes(touched)
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
            self._election_wakeup.set()
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
            abstains = self.now() < max(self._abstain_until, self._defer_to_successor_until())
            if self.types is not None and self._vacant() and not abstains:
                try:
                    await self._campaign()
                except (*STATE_SERVICE_ERRORS, LeaseExpired) as error:
                    log.info("no leadership yet: %s", error)
                    await asyncio.sleep(0.3)
                continue
            self._election_wakeup.clear()
            try:
                async with asyncio.timeout(renew * 2):
                    await self._election_wakeup.wait()
            except TimeoutError:
                # The watch may be stuck; a vacancy must not go unseen.
                try:
                    await self.sync.barrier()
                except STATE_SERVICE_ERRORS as error:
                    log.debug("refresh: %s", error)

    def _defer_to_successor_until(self) -> MonotonicTime:
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
        return MonotonicTime(self._vacant_since + SUCCESSOR_WAIT_S)

    async def _campaign(self) -> None:
        life = Duration(self.settings.operator.leader_lease_s)
        await self.sync.barrier()
        if not self._vacant():
            return
        sent = self.now()
        lease = await self.state.grant_lease(life, RequestPriority.LEASE)
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
            result = await self.state.txn(txn, RequestPriority.LEASE)
            won = result.ok
        except NoResponse:
            won = True  # it may have been applied: what the view says below decides
        await self.sync.barrier(urgent=True)
        known = self.view.leader
        if not won or known is None or known.incarnation != self.incarnation:
            await self.state.revoke_lease(lease)
            return
        if known.token != token or self.types is None:
            return
        self.lease = lease
        # The lease counts from when it was asked for, less what clocks may drift apart.
        self.lease_until = MonotonicTime(sent + life / CLOCK_DRIFT_FACTOR)
        self.leader_version = known.version
        self._begin_term(token)

    def _begin_term(self, token: Token) -> None:
        assert self.types is not None
        settings = self.settings
        ledger = Ledger(
            self.view,
            token,
            self.now(),
            settings.teams,
            self.types,
            settings.lease_s,
            self.lease_renewal.max_proof_age_s,
        )
        recorder = Recorder(
            settings,
            self.state,
            self.sync,
            self.view,
            ledger,
            self.leader_version,
            token,
            lambda: self.leader.request_scheduling() if self.leader is not None else None,
            lambda hosts: self.leader.starts_logged(hosts) if self.leader is not None else None,
            max(
                MIN_FLUSH_INTERVAL_S, FLUSH_INTERVAL_WRITES / self._rate_shares(leading=True)[1]
            ),
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
            self.lease_renewal.allowed,
            lambda: self.sync.proved_at,
            self._deposed,
            self.connectivity.workers_silent,
            self.estimates,
            self.connect,
            self.wall,
            self.connectivity.reaches,
            self.served.on_time_by_team,
            float(min(2**self._silent_terms, MAX_TIMEOUT_FACTOR)),
        )
        log.info(
            "node %s leads with token %d: %d active jobs, %d machines on record",
            settings.node,
            token,
            len(self.view.active),
            len(self.view.hosts),
        )
        self._apply_rate_shares(leading=True)
        self.leader.start()

    def _deposed(self) -> None:
        """The leader found out by itself that another leads, or should."""
        self._step_down("told so")
        self._abstain_until = MonotonicTime(self.now() + DEPOSED_ABSTAIN_S)

    async def _renew(self) -> None:
        lease = self.lease
        if lease is None:
            return
        sent = self.now()
        try:
            await self.state.extend_lease(lease)
            life = self.settings.operator.leader_lease_s
            self.lease_until = MonotonicTime(sent + life / CLOCK_DRIFT_FACTOR)
            # The lease alone proves nothing of cancellations: read what is new as well.
            await self.sync.barrier(urgent=True)
        except LeaseExpired:
            self._step_down("the lease has ended")
        except STATE_SERVICE_ERRORS as error:
            log.info("leadership not renewed: %s", error)

    async def _release_lease(self, lease: LeaseId) -> None:
        with contextlib.suppress(*STATE_SERVICE_ERRORS):
            await self.state.revoke_lease(lease)

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
        self._silent_terms = 0 if leader.heard_any_worker else self._silent_terms + 1
        lease, self.lease = self.lease, None
        self.lease_until = MonotonicTime(-1e9)
        leader.stop()
        if lease is not None:
            # Left to run out, the lease would keep all others from leading meanwhile.
            task = asyncio.get_running_loop().create_task(self._release_lease(lease))
            self._lease_releases.add(task)
            task.add_done_callback(self._lease_releases.discard)
        self._apply_rate_shares(leading=False)
        self._election_wakeup.set()
