"""Relays: renewing the leases of workers in a cut-off zone for a leader that they cannot reach.

A follower in the workers' zone that cannot reach the leader either, but is served by the state
service, answers their reports with the leader's token. These rules make that safe:

- The follower first writes a relay key of its own, in a transaction that succeeds only while
  the leader key is unchanged. It answers workers only while a proof of at most
  ``RELAY_MAX_PROOF_AGE_S`` shows its relay key and the same leader. Once the relay key is gone,
  or there is a new leader, it stops within that time.
- The leader treats a worker lease as over only as of a time for which it has a proof of a
  current view. If the view holds no relay key for the zone, no relay answered workers there
  before that time. If it holds one, the lease counts from the current time.
- A relay starts nothing. It stops the tasks of jobs that its view shows to be cancelled or
  done.
- A start that the leader sent before the cut may still be in transit. If its job has been
  cancelled, the relay lets the session of the worker end, since the start is refused then.

The relay key is bound to a lease, so it disappears if the follower dies. A refused connection
does not count as a cut: a packet filter between controllers refuses connections too, and then
the workers still reach the leader.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from dunehold.bookkeeping import records
from dunehold.bookkeeping.records import LeaderRecord
from dunehold.bookkeeping.view import View
from dunehold.coordination.election.lease_renewal import LeaseRenewal
from dunehold.coordination.election.starts_in_doubt import StartsInDoubt
from dunehold.coordination.persistence.sync import STATE_SERVICE_ERRORS, ViewSync
from dunehold.protocol import workers
from dunehold.protocol.state import ABSENT, LeaseExpired, RequestPriority, StateClient, Txn
from dunehold.protocol.workers import Command, Report, Stop
from dunehold.settings import Settings
from dunehold.types import Duration, JobPhase, LeaseId, MonotonicTime, NodeId, TaskPhase, Token

log = logging.getLogger(__name__)

# Time between two checks of whether this node should relay.
STEP_S = 0.5
# Time without a path to the leader after which this node counts as cut off from it.
LEADER_UNREACHABLE_S = 1.5
# A node relays only if a worker of its zone has reported to it within this time.
RECENT_REPORT_S = 5.0
# Lifetime of the lease to which the relay key is bound; it is extended after a third of it.
RELAY_LEASE_S = Duration(5.0)


@dataclass(slots=True)
class Relay:
    """Answers the workers of this node's zone while this node is a relay.

    Times of type ``MonotonicTime`` are seconds on the event loop's clock.
    """

    settings: Settings
    state: StateClient
    view: View
    sync: ViewSync
    lease_renewal: LeaseRenewal
    # Whether there is a network path to the machine of the named controller.
    reaches: Callable[[NodeId], Awaitable[bool]]
    # Whether this node leads.
    is_leader: Callable[[], bool]
    # When the leader was last reachable, or there was no other node as the leader.
    _reached_at: MonotonicTime = MonotonicTime(0.0)
    # When a worker of this zone last reported to this node.
    _last_report_at: MonotonicTime = MonotonicTime(-1e9)
    # The lease to which the relay key is bound; None while this node does not relay.
    _lease: LeaseId | None = None
    _extended_at: MonotonicTime = MonotonicTime(-1e9)
    _cut_off: bool = False
    starts_in_doubt: StartsInDoubt = field(init=False)

    def __post_init__(self) -> None:
        self.starts_in_doubt = StartsInDoubt(self.view)

    @staticmethod
    def now() -> MonotonicTime:
        """The event loop's clock, in seconds."""
        return MonotonicTime(asyncio.get_running_loop().time())

    def answer(self, report: Report) -> bytes | None:
        """Returns the response to a report: a token of the term and the stops that are due.

        Returns None if this node must not relay; the worker then has to try another node.
        """
        if report.zone != self.settings.zone:
            return None
        now = self.now()
        self._last_report_at = now
        self.starts_in_doubt.observe(report)
        known = self.view.leader
        relay = self.view.relays.get(self.settings.node)
        if (
            known is None
            or relay is None
            or relay.token != known.token
            or not self._cut_off
            or report.token > self.view.token
            or not self.lease_renewal.allowed(relaying=True)
            or not self._may_renew_lease_of(report, known)
        ):
            return None
        # The leader may have raised the worker's token within the range of its term.
        return workers.encode_reply(max(known.token, report.token), self._stops(report))

    def _may_renew_lease_of(self, report: Report, leader: LeaderRecord) -> bool:
        """Returns False if the worker's session must end because of a start in doubt."""
        cancelled_at = self.starts_in_doubt.cancelled_at(report, leader)
        if cancelled_at is None or self.lease_renewal.allowed_with_start_in_doubt(cancelled_at):
            return True
        log.info(
            "host %s gets no answer, so that its session ends: a start of a job that was "
            "cancelled at revision %d may still reach it",
            report.host,
            cancelled_at,
        )
        return False

    def _stops(self, report: Report) -> list[Command]:
        stops: list[Command] = []
        for task in report.tasks:
            record = self.view.jobs.get(task.id.task.job)
            if (
                task.phase is not TaskPhase.EXITED
                and record is not None
                and record.phase is not JobPhase.ACTIVE
            ):
                stops.append(Stop(task.id, Duration(0.0)))
        return stops

    async def run(self) -> None:
        """Registers and withdraws this node as a relay as needed, until cancelled."""
        self._reached_at = self.now()
        while True:
            await asyncio.sleep(STEP_S)
            try:
                await self._step()
            except (*STATE_SERVICE_ERRORS, LeaseExpired) as error:
                log.debug("relay not updated: %s; next attempt in 0.5 s", error)

    async def _step(self) -> None:
        known = self.view.leader
        if (
            known is None
            or known.node == self.settings.node
            or self.is_leader()
            or await self.reaches(known.node)
        ):
            self._reached_at = self.now()
        now = self.now()
        self._cut_off = now - self._reached_at > LEADER_UNREACHABLE_S
        if not self._cut_off or known is None:
            self.starts_in_doubt.clear()
            await self._withdraw()
            return
        if now - self._last_report_at > RECENT_REPORT_S:
            return
        relay = self.view.relays.get(self.settings.node)
        if self._lease is None or relay is None or relay.token != known.token:
            await self._register(known.token)
        elif now - self._extended_at > RELAY_LEASE_S / 3:
            self._extended_at = now
            await self.state.extend_lease(self._lease)
        await self.sync.barrier()  # obtains the proof by which leases are renewed

    async def _register(self, token: Token) -> None:
        """Writes the relay key, unless the leader key has changed since it was read."""
        known = self.view.leader
        if known is None or known.token != token:
            return
        if self._lease is None:
            self._lease = await self.state.grant_lease(RELAY_LEASE_S, RequestPriority.PROOF)
        self._extended_at = self.now()
        key = records.RELAYS + self.settings.node
        value = records.encode_relay(self.settings.zone, token)
        txn = Txn(
            guards={
                records.LEADER_KEY: known.version,
                key: self.view.versions.get(key, ABSENT),
            },
            puts={key: value},
            lease=self._lease,
            leased_key=key,
        )
        try:
            result = await self.state.txn(txn, RequestPriority.PROOF)
        except LeaseExpired:
            self._lease = None
            raise
        if result.ok:
            log.info(
                "relaying for the leader: workers of zone %s are answered with token %d",
                self.settings.zone,
                token,
            )

    async def _withdraw(self) -> None:
        """Revokes the lease of the relay key, which deletes the key."""
        lease, self._lease = self._lease, None
        if lease is not None:
            log.info(
                "relaying ends: the leader is reachable, there is none, or this node leads; "
                "workers are redirected"
            )
            await self.state.revoke_lease(lease)
