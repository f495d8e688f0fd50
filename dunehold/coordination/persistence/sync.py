"""Keeps a node's view of the state service current.

A watch delivers changes as they happen. A read barrier proves that the view is current as of a
moment; concurrent callers share one request.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from dunehold.bookkeeping import records
from dunehold.bookkeeping.view import View
from dunehold.coordination.persistence.proofs import Proof, ProofHistory
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.state import RequestPriority, RevisionCompacted, StateClient, Unavailable
from dunehold.transport.event_loop import run_in_slices
from dunehold.transport.http import NoResponse
from dunehold.types import Duration, JobId, MonotonicTime

log = logging.getLogger(__name__)

WATCH_HOLD_S = 20.0  # how long the state service keeps a watch open without a change
PROOF_RETENTION_S = Duration(60.0)
FAILING_AFTER_S = 1.0  # barriers count as failing after this time without a proof
STATE_SERVICE_ERRORS = (Unavailable, NoResponse, BadMessage)


@dataclass(slots=True)
class ViewSync:
    """Applies the changes in the state service to the view, by watch, barrier and listing.

    Attributes:
        on_change: called with the changed jobs after changes have been applied.
        barrier_gap_s: minimum time between two barrier requests that are not urgent.
        watch_gap_s: pause between two watch requests.
        proofs: the latest proofs that the view was current.
        proved_at: when the last successful proof was requested. The view contains everything
            that was durable at that time.
        failing_since: when the first barrier request that failed was sent, if none has
            succeeded since.
    """

    state: StateClient
    view: View
    on_change: Callable[[list[JobId]], None]
    barrier_gap_s: Duration
    watch_gap_s: Duration
    proofs: ProofHistory = field(default_factory=lambda: ProofHistory(PROOF_RETENTION_S))
    proved_at: MonotonicTime = MonotonicTime(-1e9)
    failing_since: MonotonicTime | None = None
    _next_barrier: asyncio.Future[None] | None = None  # resolved by the next barrier request
    _barrier_task: asyncio.Task[None] | None = None
    _urgent: bool = False  # whether a caller of the next barrier request is urgent
    _load_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def failing(self) -> bool:
        """Whether barriers have failed for a while.

        Callers can then reject a request at once rather than make the user wait for a failure.
        """
        since = self.failing_since
        return since is not None and asyncio.get_running_loop().time() - since > FAILING_AFTER_S

    async def load(self) -> None:
        """Load the view from a full listing, unless it is loaded by now.

        A caller that finds the view loaded by another task has no proof of its own. Raises
        NoResponse if the listing is older than the view, or what the client raises.
        """
        async with self._load_lock:
            if self.view.loaded:
                return
            entries, revision = await self.state.entries(records.PREFIX, RequestPriority.LEADER)
            fresh = View()
            await run_in_slices(fresh.add_entries(entries))
            sent = asyncio.get_running_loop().time()
            # The pages of a listing show different moments, so the later of two records of one
            # job may be there without the earlier one. Nothing is read from the view before
            # the changes made meanwhile have been applied.
            changes, latest = await self.state.changes(
                records.PREFIX, revision, 0.0, RequestPriority.LEADER
            )
            if latest < self.view.applied:
                # The watch has applied newer changes meanwhile, and users may have received
                # answers that are based on them.
                raise NoResponse("listing is older than the changes applied to the view")
            self.view.replace(fresh, revision)
            self.view.apply(changes, latest)
            self.view.resolve_dependencies()
            self._record_proof(MonotonicTime(sent))
            self.on_change(list(self.view.jobs))
            log.info(
                "loaded view with %d jobs from a listing at revision %d",
                len(self.view.jobs),
                revision,
            )

    async def barrier(self, urgent: bool = False) -> None:
        """Return once the view contains everything that was durable at the time of the call.

        Concurrent callers share a request, but never one that was sent before their call: its
        response could be older than an answer that their user has received from another node.
        Raises one of STATE_SERVICE_ERRORS if the request fails.
        """
        if self._next_barrier is None:
            self._next_barrier = asyncio.get_running_loop().create_future()
        future = self._next_barrier
        self._urgent = self._urgent or urgent
        if self._barrier_task is None or self._barrier_task.done():
            self._barrier_task = asyncio.create_task(self._run_barriers())
        await asyncio.shield(future)

    async def _run_barriers(self) -> None:
        """Send barrier requests as long as there are callers that wait for one."""
        loop = asyncio.get_running_loop()
        while self._next_barrier is not None:
            future, self._next_barrier = self._next_barrier, None
            priority = RequestPriority.LEASE if self._urgent else RequestPriority.PROOF
            self._urgent = False
            sent = loop.time()
            try:
                await self._refresh(priority)
                self.failing_since = None
            except Exception as error:
                if self.failing_since is None:
                    self.failing_since = MonotonicTime(sent)
                if not future.done():
                    future.set_exception(
                        error
                        if isinstance(error, STATE_SERVICE_ERRORS)
                        else Unavailable(str(error))
                    )
                    # Marks the exception as retrieved, since all callers may have given up.
                    future.exception()
            else:
                if not future.done():
                    future.set_result(None)
            spent = loop.time() - sent
            if spent < self.barrier_gap_s and not self._urgent:
                await asyncio.sleep(self.barrier_gap_s - spent)

    async def _refresh(self, priority: int) -> None:
        """Update the view so that it contains everything durable at the time of this call.

        A listing that another task began may show an earlier moment, in which case the changes
        are requested as well. Otherwise a user could receive an answer from that listing that
        contradicts a newer one of another node. This can happen at the start, and when the
        state service no longer keeps all changes since the applied revision.
        """
        requested_at = asyncio.get_running_loop().time()
        while not self.view.loaded:
            await self.load()
            if self.proved_at >= requested_at:
                return
        await self.state.request_limiter.acquire(priority)
        sent = asyncio.get_running_loop().time()
        try:
            changes, revision = await self.state.changes(
                records.PREFIX, self.view.applied, 0.0, priority, pre_acquired=True
            )
        except RevisionCompacted:
            self.view.loaded = False
            await self._refresh(priority)
            return
        touched = self.view.apply(changes, revision)
        self._record_proof(MonotonicTime(sent))
        if changes:
            self.on_change(touched)

    def _record_proof(self, sent: MonotonicTime) -> None:
        """Note that the view contains everything that was durable when a request was sent."""
        self.proved_at = max(self.proved_at, sent)
        self.proofs.record(Proof(sent, self.view.applied))

    async def watch(self) -> None:
        """Apply changes as they happen, until the task is cancelled.

        A watch is never a proof that the view is current: during an outage it just stays open.
        """
        while True:
            try:
                if not self.view.loaded:
                    await self.load()
                changes, revision = await self.state.changes(
                    records.PREFIX, self.view.applied, WATCH_HOLD_S, RequestPriority.BULK
                )
                touched = self.view.apply(changes, revision)
                if changes:
                    self.on_change(touched)
                await asyncio.sleep(self.watch_gap_s)
            except RevisionCompacted:
                self.view.loaded = False
            except STATE_SERVICE_ERRORS as error:
                log.debug("watch of the state service failed, retrying: %s", error)
                await asyncio.sleep(0.5)
