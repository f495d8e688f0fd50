"""A controller node: servers, request routing, the leader election and the start of a term."""

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
from dunehold.bookkeeping.term_tokens import last_reserved
from dunehold.bookkeeping.view import View
from dunehold.coordination.election.connectivity import PEER_TIMEOUT_S, Connectivity
from dunehold.coordination.election.lease_renewal import CLOCK_DRIFT_FACTOR, LeaseRenewal
from dunehold.coordination.election.relay import Relay
from dunehold.coordination.maintenance.operator_api import LeaderStatus, OperatorApi
from dunehold.coordination.persistence.proofs import ProofHistory
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

# Maximum number of connections of each client.
STATE_CONNECTIONS = 16
WATCH_CONNECTIONS = 2
CLOUD_CONNECTIONS = 4
# Maximum number of connections that the servers for peers and for operators hold.
PEER_SOCKETS = 16
OPERATOR_SOCKETS = 8
# Maximum age of the leader's counts of running tasks, which are shown to users.
RUNNING_COUNTS_MAX_AGE_S = 1.0
# This many refusals by the state service's rate limits within the window show that the limits
# have been lowered.
RATE_REFUSAL_COUNT = 3
RATE_REFUSAL_WINDOW_S = 10.0
# Minimum time between two log lines about reports that cannot be decoded.
BAD_REPORT_LOG_INTERVAL_S = 10.0
# Time between two log summaries of the work done and of late starts.
SERVED_LOG_INTERVAL_S = 60.0
# Time for which a node whose leader ended its own term does not stand for election, so that
# another node can win.
DEPOSED_ABSTAIN_S = 6.0
# Time that other nodes wait for a node of the zone that should lead next.
SUCCESSOR_WAIT_S = 2.0
# Upper bound of the leader's timeout factor. The factor doubles with each consecutive term in
# which no worker reported, so that leadership does not go on passing from node to node.
MAX_TIMEOUT_FACTOR = 16
# Sockets reserved for the state service, the cloud and peers.
RESERVED_SOCKETS = 64
# Lower bounds of the intervals between read barriers and between watch requests.
MIN_BARRIER_INTERVAL_S = 0.08
MIN_WATCH_INTERVAL_S = 0.1
# The same intervals as multiples of the time that the node's rate allows for one request: read
# barriers take at most a half of the node's requests and the watch at most a third.
BARRIER_INTERVAL_REQUESTS = 2.0
WATCH_INTERVAL_REQUESTS = 3.0
# Share of the state service's rates that is used. The rest is left for bursts of several nodes
# that overlap.
USABLE_RATE_SHARE = 0.9
# The leader's shares of the usable rates. The leader writes most: machines, rentals and
# completions of jobs. The other nodes share the rest equally, for submissions, cancellations
# and proofs of a current view.
LEADER_WRITE_SHARE = 0.6
LEADER_REQUEST_SHARE = 0.4
# Lower bound of the interval between two flushes of the leader's records, and the interval as a
# multiple of the time that the leader's write rate allows for one change: most flushes hold two
# changes or fewer.
MIN_FLUSH_INTERVAL_S = 0.05
FLUSH_INTERVAL_WRITES = 2.0
# Share of the cloud's rate limit that is used, and the burst as seconds of that limit.
CLOUD_SHARE = 0.8
CLOUD_BURST_S = 1.5


def _purpose(request: Request) -> Purpose:
    if request.path == workers.REPORT_PATH:
        return Purpose.WORKER
    return Purpose.HEALTH if request.path == users.HEALTH_PATH else Purpose.USER


@dataclass(slots=True)
class Node:
    """A controller: answers users, workers, peers and operators, and leads when elected.

    Times of type ``MonotonicTime`` are seconds on the event loop's clock.
    """

    settings: Settings
    connect: Connect = HttpClient
    # The time of day, in seconds since the epoch.
    wall: Callable[[], float] = time.time
    view: View = field(default_factory=View)
    # Identifies this process: a leader key may be of an earlier process of the same node.
    incarnation: str = field(default_factory=lambda: secrets.token_hex(8))
    # The cloud's machine types; None until they have been fetched.
    types: dict[TypeName, MachineType] | None = None
    # The current term; None while this node is a follower.
    leader: Leader | None = None
    # Version of the leader key that this node wrote last.
    leader_version: Revision = Revision(0)
    lease: LeaseId | None = None
    # Until when the leader lease is known to hold, clock drift taken into account.
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
    # Serial of the maintenance orders of which the leader was last notified.
    _orders_seen: Revision = Revision(0)
    # The leader's counts of running tasks and when they were last requested.
    _running_counts: dict[JobId, int] = field(default_factory=dict)
    _running_at: MonotonicTime = MonotonicTime(-1e9)
    # Until when this node does not stand for election, so that another node can lead.
    _abstain_until: MonotonicTime = MonotonicTime(-1e9)
    # Since when a node that defers to the successor's zone has seen that there is no leader.
    _vacant_since: MonotonicTime | None = None
    _bad_report_logged_at: MonotonicTime = MonotonicTime(-1e9)
    # Whether the state service's later, lower rates apply.
    _rates_fell: bool = False
    # Times of the latest refusals by the state service's rate limits.
    _refusals: deque[float] = field(default_factory=lambda: deque(maxlen=RATE_REFUSAL_COUNT))
    # Number of consecutive terms of this node in which no worker reported.
    _silent_terms: int = 0
    # Keeps references to running revocations of leader leases.
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
            ProofHistory(settings.cancel_s),
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
        """Returns this node's share of the state service's requests and changes per second."""
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
        """The minimum burst of the write limiter: the changes in the largest transaction."""
        return max(float(self.settings.txn_ops), self.settings.write_burst)

    def _on_rate_refused(self) -> None:
        """Counts a refusal by a rate limit of the state service and lowers the rates if needed.

        A single refusal may come from bursts of several nodes that coincide. Several refusals
        within seconds show that the later, lower limits of the settings now apply. This node
        then keeps to them and does not try the higher rates again.
        """
        now = self.now()
        self._refusals.append(now)
        if (
            not self._rates_fell
            and len(self._refusals) == RATE_REFUSAL_COUNT
            and now - self._refusals[0] < RATE_REFUSAL_WINDOW_S
        ):
            self._rates_fell = True
            log.info(
                "state service repeatedly refuses the current rates; "
                "using those of params.state.next from now on"
            )
            self._apply_rate_shares(self.leader is not None)

    def _apply_rate_shares(self, leading: bool) -> None:
        """Sets the rate limiters of the state service to this node's share."""
        requests, writes = self._rate_shares(leading)
        self.state.request_limiter.set_rate(requests, max(2.0, requests))
        self.state.write_limiter.set_rate(writes, max(self._least_burst, writes))

    @staticmethod
    def now() -> MonotonicTime:
        """The event loop's clock, in seconds."""
        return MonotonicTime(asyncio.get_running_loop().time())

    # -- lifecycle -----------------------------------------------------------------------

    async def run(self) -> None:
        """Listens for users, workers, peers and operators and runs the node until cancelled."""
        settings = self.settings
        reserved = RESERVED_SOCKETS + int(settings.sockets * DIRECT_SOCKET_SHARE)
        max_connections = max(16, settings.sockets - reserved)
        server = HttpServer(self.handle, max_connections, purpose_of=_purpose)
        await server.start(settings.listen.host, settings.listen.port)
        peer_server = HttpServer(self.handle_peer, PEER_SOCKETS)
        await peer_server.start(settings.peer_listen.host, settings.peer_listen.port)
        if settings.operator.operator_port:
            operator_server = HttpServer(self.handle_operator, OPERATOR_SOCKETS)
            await operator_server.start(
                settings.peer_listen.host, settings.operator.operator_port
            )
        log.info(
            "node %s listens on %s:%d",
            settings.node,
            settings.listen.host,
            settings.listen.port,
        )
        await self.act()

    async def act(self) -> None:
        """Runs the background activities without listening on any address."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._restart_on_failure(self.sync.watch))
            group.create_task(self._restart_on_failure(self._fetch_types))
            group.create_task(self._restart_on_failure(self._elect))
            group.create_task(self._restart_on_failure(self.connectivity.monitor))
            group.create_task(self._restart_on_failure(self.relay.run))
            group.create_task(self._restart_on_failure(self._log_served))

    async def _restart_on_failure(self, work) -> None:  # type: ignore[no-untyped-def]
        """Runs an activity and restarts it if it fails, so that the process goes on."""
        while True:
            try:
                await work()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("%s failed; restarting it in 1 s", work.__qualname__)
                await asyncio.sleep(1.0)

    async def _log_served(self) -> None:
        while True:
            await asyncio.sleep(SERVED_LOG_INTERVAL_S)
            if self.leader is not None:
                log.info("work done: %s", self.served.summary_line())
                log.info("late starts in this term: %s", self.leader.late_starts.summary())
                if revived := self.leader.ledger.revived_attempts:
                    log.warning("attempts that came back after they were over: %d", revived)
                if lost := self.leader.ledger.lost_without_reports:
                    log.info(
                        "attempts lost on machines that only direct calls reached: %d", lost
                    )

    async def _fetch_types(self) -> None:
        while self.types is None:
            try:
                self.types = await self.cloud.machine_types()
                log.info("machine types: %s", ", ".join(self.types))
                self._election_wakeup.set()
            except (CloudUnavailable, NoCapacity, NoResponse, BadMessage) as error:
                log.info("machine types are not available: %s; retrying in 1 s", error)
                await asyncio.sleep(1.0)

    # -- requests ------------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        """Answers users, workers and health checks.

        The health check and the closing of connections steer clients to other nodes while this
        node cannot serve them.
        """
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
            # On an open connection, the user's next try would come to this node again. All
            # tries for a job could then fail here while every other node would answer.
            return response._replace(close=True)
        return response

    def _report(self, body: bytes) -> Response:
        """Answers a worker's report as the leader or as a relay, or names the leader."""
        try:
            report = workers.decode_report(body)
        except BadMessage as error:
            if self.now() - self._bad_report_logged_at > BAD_REPORT_LOG_INTERVAL_S:
                self._bad_report_logged_at = self.now()
                log.info("worker report refused with status 400: %s", error)
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
        # This node does not lead. If the view names it, the leader key is outdated.
        name = known.node if known is not None and known.node != self.settings.node else None
        return Response(421, workers.encode_redirect(name))

    async def handle_peer(self, request: Request) -> Response:
        """Answers other controllers and the operators' commands on the peer address."""
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
        """Answers requests for maintenance orders on the operators' port."""
        return await self.operator_api.handle(request)

    def _leaders_client(self) -> Client | None:
        known = self.view.leader
        return None if known is None else self.connectivity.client(known.node)

    async def _maintenance_status(self) -> LeaderStatus | None:
        """Returns what the leader knows of the maintenance orders; None if unavailable."""
        if self.leader is not None:
            return self.view.applied, self.leader.maintenance.status()
        client = self._leaders_client()
        if client is None:
            return None
        try:
            return await peers.get_maintenance(client, PEER_TIMEOUT_S)
        except (NoResponse, BadMessage) as error:
            log.debug("no maintenance status from the leader: %s", error)
            return None

    def _on_cut_off_from_state(self) -> None:
        if self.leader is not None and self.now() >= self.lease_until:
            self._step_down("cut off from the state service, and another node may lead")

    async def _count_running(self, job: JobId) -> int:
        """Returns how many of the job's tasks are on machines, for display only.

        The count is at most ``RUNNING_COUNTS_MAX_AGE_S`` old as long as the leader answers. If
        it does not answer, the last known count is returned, or 0.
        """
        if self.leader is not None:
            return len(self.leader.ledger.occupancy.task_zones_by_job.get(job, ()))
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
                log.debug("no counts of running tasks from the leader: %s", error)
        return self._running_counts.get(job, 0)

    # -- election ------------------------------------------------------------------------

    def _on_change(self, touched: list[JobId]) -> None:
        """Handles changes of the view, of which ``touched`` are the jobs that changed."""
        self.served.record_changes(touched)
        known = self.view.leader
        if (
            self.leader is not None
            and (known is None or known.incarnation != self.incarnation)
            and self.view.applied >= self.leader_version
        ):
            self._step_down("the leader key is gone or belongs to another leader")
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
        """Returns whether there is no leader.

        A leader key of an earlier process of this node counts as none, as that process is gone.
        """
        known = self.view.leader
        return self.view.loaded and (
            known is None
            or (known.node == self.settings.node and known.incarnation != self.incarnation)
        )

    async def _elect(self) -> None:
        """Renews leadership while this node leads, and stands for election when nobody does."""
        renew_s = self.settings.operator.leader_renew_s
        while True:
            if self.leader is not None:
                await self._renew()
                await asyncio.sleep(renew_s)
                continue
            abstains = self.now() < max(self._abstain_until, self._defer_to_successor_until())
            if self.types is not None and self._vacant() and not abstains:
                try:
                    await self._campaign()
                except (*STATE_SERVICE_ERRORS, LeaseExpired) as error:
                    log.info("election attempt failed: %s; next attempt in 0.3 s", error)
                    await asyncio.sleep(0.3)
                continue
            self._election_wakeup.clear()
            try:
                async with asyncio.timeout(renew_s * 2):
                    await self._election_wakeup.wait()
            except TimeoutError:
                # The watch may be stuck. Read the state service, so that the lack of a leader
                # is noticed all the same.
                try:
                    await self.sync.barrier()
                except STATE_SERVICE_ERRORS as error:
                    log.debug("view not refreshed: %s", error)

    def _defer_to_successor_until(self) -> MonotonicTime:
        """Returns until when this node leaves the election to a node of another zone.

        The last leader may have recorded a zone that should lead next. Nodes of other zones
        then wait ``SUCCESSOR_WAIT_S`` before they stand. A time in the past means no wait.
        """
        preferred = self.view.successor
        if (
            preferred is None
            or preferred[0] == self.settings.zone
            or preferred[1] != self.view.token
            or not self._vacant()
        ):
            return MonotonicTime(-1e9)
        if self._vacant_since is None:
            self._vacant_since = self.now()
        return MonotonicTime(self._vacant_since + SUCCESSOR_WAIT_S)

    async def _campaign(self) -> None:
        """Tries to take the leader key, bound to a new lease, and begins a term on success."""
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
                records.TOKEN_KEY: last_reserved(token),
            },
            lease=lease,
            leased_key=records.LEADER_KEY,
        )
        try:
            result = await self.state.txn(txn, RequestPriority.LEASE)
            won = result.ok
        except NoResponse:
            won = True  # it may have been applied: the view after the barrier decides
        await self.sync.barrier(urgent=True)
        known = self.view.leader
        if not won or known is None or known.incarnation != self.incarnation:
            await self.state.revoke_lease(lease)
            return
        if known.token != token or self.types is None:
            return
        self.lease = lease
        # The lease counts from when it was requested and is shortened by the clock drift.
        self.lease_until = MonotonicTime(sent + life / CLOCK_DRIFT_FACTOR)
        self.leader_version = known.version
        self._begin_term(token)

    def _begin_term(self, token: Token) -> None:
        """Creates and starts the leader of a new term, with a ledger built from the view."""
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
            log_restored_later=True,
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
            self.lease_renewal.allowed_with_start_in_doubt,
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
            "node %s leads with token %d: revision %d read, %d active jobs, "
            "%d machines on record",
            settings.node,
            token,
            self.view.applied,
            len(self.view.active),
            len(self.view.hosts),
        )
        self._apply_rate_shares(leading=True)
        self.leader.start()

    def _deposed(self) -> None:
        """Ends the term on behalf of the leader, which found that another leads or should lead.

        This node then abstains from the election for ``DEPOSED_ABSTAIN_S``.
        """
        self._step_down("the leader ended its own term")
        self._abstain_until = MonotonicTime(self.now() + DEPOSED_ABSTAIN_S)

    async def _renew(self) -> None:
        """Extends the leader lease and refreshes the view; steps down if the lease is over."""
        lease = self.lease
        if lease is None:
            return
        sent = self.now()
        try:
            await self.state.extend_lease(lease)
            life = self.settings.operator.leader_lease_s
            self.lease_until = MonotonicTime(sent + life / CLOCK_DRIFT_FACTOR)
            # The lease does not prove that no cancellation was missed. The latest changes are
            # therefore read as well.
            await self.sync.barrier(urgent=True)
        except LeaseExpired:
            self._step_down("the lease has ended")
        except STATE_SERVICE_ERRORS as error:
            log.info("leadership not renewed: %s; retrying at the next interval", error)

    async def _release_lease(self, lease: LeaseId) -> None:
        with contextlib.suppress(*STATE_SERVICE_ERRORS):
            await self.state.revoke_lease(lease)

    def _may_start(self) -> bool:
        """Returns whether this node may start tasks.

        It must provably still lead. Its view must not be too old to renew worker leases either:
        a start that was sent long after the job was cancelled could arrive after ``cancel_s``.
        """
        return (
            self.leader is not None
            and self.now() < self.lease_until
            and self.lease_renewal.allowed()
        )

    def _step_down(self, reason: str) -> None:
        """Ends the term and releases the leader lease; does nothing on a follower."""
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
            # Until it expired by itself, the lease would keep all other nodes from leading.
            task = asyncio.get_running_loop().create_task(self._release_lease(lease))
            self._lease_releases.add(task)
            task.add_done_callback(self._lease_releases.discard)
        self._apply_rate_shares(leading=False)
        self._election_wakeup.set()
