"""Keeping the workers of a cut-off zone alive for a leader that they can't reach.

A follower in their zone that can't reach the leader either, but is served by the state
service, answers their reports with the leader's token. What makes that safe:

- It says so first, under a key of its own that only the leader's unchanged key lets
  through, and feeds only while a proof not older than ``RELAY_MAX_PROOF_AGE_S`` shows that key
  and the same leader. So once a key is gone, or there is a new leader, it stops within that
  time.
- The leader counts a lease as over only at a moment of which it has a proof. Without a key
  in that proof, nobody fed before that moment; with one, the lease counts from now on.
- It starts nothing, and stops what its proof shows to be cancelled or over.

The key hangs on a lease: if the follower dies, so does the key. A connection that is refused
is no cut (a packet filter between controllers refuses, too): the workers get through then.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from dunehold.bookkeeping import records
from dunehold.bookkeeping.view import View
from dunehold.coordination.election.lease_renewal import LeaseRenewal
from dunehold.coordination.persistence.sync import STATE_SERVICE_ERRORS, ViewSync
from dunehold.protocol import workers
from dunehold.protocol.state import ABSENT, LeaseExpired, RequestPriority, StateClient, Txn
from dunehold.protocol.workers import Command, Report, Stop
from dunehold.settings import Settings
from dunehold.types import Duration, JobPhase, LeaseId, MonotonicTime, NodeId, TaskPhase, Token

log = logging.getLogger(__name__)

STEP_S = 0.5
LEADER_UNREACHABLE_S = 1.5
RECENT_REPORT_S = 5.0
RELAY_LEASE_S = Duration(5.0)


@dataclass(slots=True)
class Relay:
    settings: Settings
    state: StateClient
    view: View
    sync: ViewSync
    lease_renewal: LeaseRenewal
    reaches: Callable[[NodeId], Awaitable[bool]]
    is_leader: Callable[[], bool]
    _reached_at: MonotonicTime = MonotonicTime(0.0)
    _last_report_at: MonotonicTime = MonotonicTime(-1e9)  # when a worker of this zone came last
    _lease: LeaseId | None = None
    _extended_at: MonotonicTime = MonotonicTime(-1e9)
    _cut_off: bool = False

    @staticmethod
    def now() -> MonotonicTime:
        return MonotonicTime(asyncio.get_running_loop().time())

    def answer(self, report: Report) -> bytes | None:
        """The leader's token and what must stop, or None: the worker must look further."""
        if report.zone != self.settings.zone:
            return None
        now = self.now()
        self._last_report_at = now
        known = self.view.leader
        mine = self.view.relays.get(self.settings.node)
        if (
            known is None
            or mine is None
            or mine.token != known.token
            or not self._cut_off
            or report.token > known.token
            or not self.lease_renewal.allowed(relaying=True)
        ):
            return None
        return workers.encode_reply(known.token, self._stops(report))

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
        self._reached_at = self.now()
        while True:
            await asyncio.sleep(STEP_S)
            try:
                await self._step()
            except (*STATE_SERVICE_ERRORS, LeaseExpired) as error:
                log.debug("relay: %s", error)

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
            await self._withdraw()
            return
        if now - self._last_report_at > RECENT_REPORT_S:
            return
        mine = self.view.relays.get(self.settings.node)
        if self._lease is None or mine is None or mine.token != known.token:
            await self._register(known.token)
        elif now - self._extended_at > RELAY_LEASE_S / 3:
            self._extended_at = now
            await self.state.extend_lease(self._lease)
        await self.sync.barrier()  # the proof to feed by

    async def _register(self, token: Token) -> None:
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
            log.info("feeding the workers of %s for token %d", self.settings.zone, token)

    async def _withdraw(self) -> None:
        lease, self._lease = self._lease, None
        if lease is not None:
            log.info("the leader is reached again: its workers are sent to it")
            await self.state.revoke_lease(lease)
