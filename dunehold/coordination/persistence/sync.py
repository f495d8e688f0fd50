"""Keeping the view current: a watch for news, and a batched read barrier for proofs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from dunehold.bookkeeping import records
from dunehold.bookkeeping.view import View
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.state import RequestPriority, RevisionCompacted, StateClient, Unavailable
from dunehold.transport.http import NoResponse
from dunehold.types import Duration, JobId, MonotonicTime

log = logging.getLogger(__name__)

WATCH_HOLD_S = 20.0
FAILING_AFTER_S = 1.0
STATE_SERVICE_ERRORS = (Unavailable, NoResponse, BadMessage)


@dataclass(slots=True)
class ViewSync:
    state: StateClient
    view: View
    on_change: Callable[[list[JobId]], None]
    barrier_gap_s: Duration
    watch_gap_s: Duration
    proved_at: MonotonicTime = MonotonicTime(-1e9)  # when the last answered proof was sent
    failing_since: MonotonicTime | None = None  # no proof was had since
    _waiting: asyncio.Future[None] | None = None
    _pump_task: asyncio.Task[None] | None = None
    _urgent: bool = False
    _load_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def failing(self) -> bool:
        """No proof was to be had for a while: asking again would make users wait for a no."""
        since = self.failing_since
        return since is not None and asyncio.get_running_loop().time() - since > FAILING_AFTER_S

    async def load(self) -> None:
        """List everything. Who finds it loaded by somebody else has no proof of its own."""
        async with self._load_lock:
            if self.view.loaded:
                return
            entries, revision = await self.state.entries(records.PREFIX, RequestPriority.LEADER)
            sent = asyncio.get_running_loop().time()
            # The pages of a listing are of different moments: of two records of one job the
            # later might be there without the first. Nothing is told before they agree.
            changes, latest = await self.state.changes(
                records.PREFIX, revision, 0.0, RequestPriority.LEADER
            )
            if latest < self.view.applied:
                # An answer of the watch came meanwhile, and users may have been told by it.
                raise NoResponse("the listing is older than what is here")
            self.view.load(entries, revision)
            self.view.apply(changes, latest)
            self.view.resolve_dependencies()
            self.proved_at = MonotonicTime(sent)
            self.on_change(list(self.view.jobs))
            log.info("view loaded: %d jobs, revision %d", len(self.view.jobs), revision)

    async def barrier(self, urgent: bool = False) -> None:
        """Return once the view holds all that was durable when this was called.

        Callers share one request, but never one that was sent before they asked: its
        answer could be older than what their user was told by another node.
        """
        if self._waiting is None:
            self._waiting = asyncio.get_running_loop().create_future()
        future = self._waiting
        self._urgent = self._urgent or urgent
        if self._pump_task is None or self._pump_task.done():
            self._pump_task = asyncio.create_task(self._pump())
        await asyncio.shield(future)

    async def _pump(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting is not None:
            future, self._waiting = self._waiting, None
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
                    future.exception()  # callers may have given up
            else:
                if not future.done():
                    future.set_result(None)
            spent = loop.time() - sent
            if spent < self.barrier_gap_s and not self._urgent:
                await asyncio.sleep(self.barrier_gap_s - spent)

    async def _refresh(self, priority: int) -> None:
        """Bring the view to a moment after this was called.

        A listing that somebody else began may be of a moment before: then one more question
        is asked. Guards against a user who is told by that listing what another node said
        otherwise of meanwhile (at a start, and where the log of changes was too short).
        """
        asked = asyncio.get_running_loop().time()
        while not self.view.loaded:
            await self.load()
            if self.proved_at >= asked:
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
        self.proved_at = max(self.proved_at, MonotonicTime(sent))
        if changes:
            self.on_change(touched)

    async def watch(self) -> None:
        """Hear of changes as they come. Never a proof: an open watch waits in an outage."""
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
                log.debug("watch: %s", error)
                await asyncio.sleep(0.5)
