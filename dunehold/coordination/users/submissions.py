"""Accepted jobs on their way to the state service: one write for many that wait together."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice
from typing import NamedTuple

from dunehold.bookkeeping import records
from dunehold.bookkeeping.batches.encoding import (
    AcceptedJob,
    JobBatchBuilder,
    single_job_batch_bytes,
)
from dunehold.bookkeeping.view import View
from dunehold.coordination.persistence.sync import STATE_SERVICE_ERRORS, ViewSync
from dunehold.protocol import codec
from dunehold.protocol.state import (
    ABSENT,
    MAX_TXN_BYTES,
    Malformed,
    RequestPriority,
    StateClient,
    Txn,
)
from dunehold.protocol.users import JobSpec
from dunehold.settings import Settings
from dunehold.types import JobId, JobPhase, WallTime

log = logging.getLogger(__name__)

MAX_PENDING = 2000
RESERVE_SHARE = 1 / 3  # of the burst: packs begin while their first, dearer one can be paid
MAX_TXN_ROWS = 512  # to a transaction, so that building it never keeps the loop for long


class SubmissionResult(NamedTuple):
    """What became of a submission, by a question that was sent at ``asked_at``."""

    created: bool | None  # accepted just now; known before; None: nobody can tell yet
    asked_at: float


@dataclass(slots=True)
class _Submission:
    spec: JobSpec
    accepted_at: WallTime
    size_bytes: int
    future: asyncio.Future[SubmissionResult]
    isolated: bool = False  # a transaction with it was malformed: others must not share that


@dataclass(slots=True)
class _SubmissionTxn:
    txn: Txn
    entries: list[_Submission]
    read_back: bool = False  # another record of the same job may have come first
    batch_of: dict[JobId, str] = field(default_factory=dict)  # of those without an own key


@dataclass(slots=True)
class SubmissionQueue:
    """Writes what waits, as few keys as the state service's budget allows.

    While the budget keeps up, each job gets its own key, guarded by its absence. As soon as
    jobs wait for the budget they go into packs. Nothing can guard a pack against a pack of
    another node with the same job, so while packs may be written (one key says so, and
    guards every submission) each node reads back which of two records is the first, and
    only then tells its users.
    """

    settings: Settings
    state: StateClient
    view: View
    sync: ViewSync
    incarnation: str  # of this process: names of packs are never used again
    _pending: dict[JobId, _Submission] = field(default_factory=dict)
    _pending_bytes: int = 0  # of all that is pending, each by itself
    _compression_ratio: float = 1.0  # what packing made of it lately
    _packs: int = 0
    _awaited_writes: int = 0  # changes that are waited for
    _rate_limited: bool = False  # the budget does not hold a key for each, and a reserve
    _task: asyncio.Task[None] | None = None

    @property
    def batching(self) -> bool:
        return bool(self.settings.operator.pack_submissions)

    @property
    def _value_room_bytes(self) -> int:
        return records.usable_value_bytes(self.settings.value_bytes)

    def too_large(self, spec: JobSpec, at: WallTime) -> bool:
        """No value of the state service could hold it."""
        value = records.encode_job_record(spec, JobPhase.ACTIVE, at)
        return len(codec.dump(value)) > self.settings.value_bytes

    def is_pending(self, job: JobId) -> bool:
        return job in self._pending

    def full(self) -> bool:
        return len(self._pending) >= MAX_PENDING

    def wait_s(self) -> float:
        """How long one more would wait for the write budget."""
        changes = 1 + len(self._pending)
        if self.batching:
            changes = min(changes, self._batched_write_count())
        return self.state.write_limiter.wait_s(max(0.0, changes - self._awaited_writes))

    async def submit(self, spec: JobSpec, at: WallTime) -> SubmissionResult:
        entry = self._pending.get(spec.id)
        if entry is None:
            future: asyncio.Future[SubmissionResult] = (
                asyncio.get_running_loop().create_future()
            )
            entry = _Submission(spec, at, single_job_batch_bytes(spec, at), future)
            self._pending[spec.id] = entry
            self._pending_bytes += entry.size_bytes
            if self._task is None or self._task.done():
                self._task = asyncio.create_task(self._flush())
        return await asyncio.shield(entry.future)

    # -- transactions ------------------------------------------------------------------

    async def _flush(self) -> None:
        while self._pending:
            batch: _SubmissionTxn | None = None
            try:
                paid = self._awaited_writes = self._write_count()
                # Who comes while this waits shares what is paid for.
                await self.state.write_limiter.acquire(RequestPriority.USER, paid)
                self._awaited_writes = 0
                batch = self._build(paid)
                self.state.write_limiter.refund(paid - batch.txn.size)
                if batch.entries:
                    await self._commit(batch)
            except Malformed as error:
                log.error(
                    "%d submissions refused: %s", len(batch.entries) if batch else 0, error
                )
                self._isolate_all(batch)
            except STATE_SERVICE_ERRORS as error:
                log.info("submissions not written, to be retried by their users: %s", error)
                self._resolve_all(batch, None)
            except Exception:
                log.exception("submissions not written")
                self._resolve_all(batch, None)

    async def _commit(self, batch: _SubmissionTxn) -> None:
        asked = asyncio.get_running_loop().time()
        result = await self.state.txn(batch.txn, RequestPriority.USER, pre_acquired=True)
        if not result.ok or batch.read_back:
            asked = asyncio.get_running_loop().time()
            await self.sync.barrier()
        for entry in batch.entries:
            job = entry.spec.id
            if result.ok:
                self._resolve(entry, self._was_created_here(batch, job), asked)
            elif job in self.view.jobs:
                self._resolve(entry, False, asked)

    def _was_created_here(self, batch: _SubmissionTxn, job: JobId) -> bool:
        if not batch.read_back:
            return True
        record = self.view.jobs.get(job)
        if record is None or record.phase.final:
            # Its end says nothing of who wrote it: known, and its state is what it is.
            return False
        return record.batch_key == batch.batch_of.get(job)

    def _batched_write_count(self) -> int:
        """The pending ones and one more like them."""
        rows = (
            self._pending_bytes * self._compression_ratio * (1 + 1 / max(1, len(self._pending)))
        )
        return max(1, math.ceil(rows / self._value_room_bytes)) + (
            not self.view.batching_enabled
        )

    def _write_count(self) -> int:
        """How many changes to pay for: no more than the transaction will make, mostly."""
        count = len(self._pending)
        writes = self.state.write_limiter
        least = count + writes.burst * RESERVE_SHARE
        self._rate_limited = least > writes.burst or writes.wait_s(least) > 0
        if self._uses_batches():
            most = max(1, MAX_TXN_BYTES // self._value_room_bytes) + (
                not self.view.batching_enabled
            )
            count = min(self._batched_write_count(), most)
        return max(1, min(count, self.settings.txn_ops))

    def _uses_batches(self) -> bool:
        """While packs may be written even a lone job goes into one: it costs no more, and
        its end can share a key."""
        return self.batching and (self.view.batching_enabled or self._rate_limited)

    def _build(self, paid: int) -> _SubmissionTxn:
        for entry in list(self._pending.values()):
            if entry.spec.id in self.view.jobs:  # through another node, in the meantime
                self._resolve(entry, False)
        waiting = list(islice(self._pending.values(), MAX_TXN_ROWS))
        apart = next((entry for entry in waiting if entry.isolated), None)
        if apart is not None:
            return self._build_singles([apart], 1)
        packs = paid - (not self.view.batching_enabled)
        if packs > 0 and self._uses_batches():
            return self._build_batches(waiting, packs)
        return self._build_singles(waiting, paid)

    def _build_singles(self, waiting: Iterable[_Submission], most: int) -> _SubmissionTxn:
        batch = _SubmissionTxn(Txn(), [], read_back=self.view.batching_enabled)
        size = 0
        for entry in waiting:
            size += entry.size_bytes + 300
            if batch.entries and (len(batch.entries) >= most or size > MAX_TXN_BYTES):
                break
            key = records.job_key(entry.spec.id)
            batch.txn.guards[key] = ABSENT
            batch.txn.puts[key] = records.encode_job_record(
                entry.spec, JobPhase.ACTIVE, entry.accepted_at
            )
            batch.entries.append(entry)
        if batch.entries:
            # If packs may be written, though this node does not know, one may hold these jobs.
            self._guard_mode(batch.txn)
        return batch

    def _guard_mode(self, txn: Txn) -> None:
        txn.guards[records.BATCHING_ENABLED] = self.view.versions.get(
            records.BATCHING_ENABLED, ABSENT
        )

    def _build_batches(self, waiting: list[_Submission], most: int) -> _SubmissionTxn:
        """Alike jobs side by side, so that rows are short; the oldest are among them."""
        batch = _SubmissionTxn(Txn(), [], read_back=True)
        waiting = sorted(waiting, key=lambda e: (e.spec.team, e.spec.job_class, e.accepted_at))
        packer, name = JobBatchBuilder(self._value_room_bytes), self._next_name()
        filled = before = 0
        for entry in waiting:
            row = AcceptedJob(entry.spec, entry.accepted_at)
            if not packer.add(row):
                if not packer.rows:
                    entry.isolated = True  # too large to share a value
                    continue
                filled += self._close(batch.txn, name, packer)
                if len(batch.txn.puts) >= most:
                    break  # the rest waits for the next
                packer, name = JobBatchBuilder(self._value_room_bytes), self._next_name()
                if not packer.add(row):
                    entry.isolated = True
                    continue
            before += entry.size_bytes
            batch.entries.append(entry)
            batch.batch_of[entry.spec.id] = name
        else:
            if packer.rows:
                filled += self._close(batch.txn, name, packer)
        if batch.entries:
            self._guard_mode(batch.txn)  # a pack that comes late may not be read back any more
            if not self.view.batching_enabled:
                batch.txn.puts[records.BATCHING_ENABLED] = True
            self._compression_ratio = min(1.0, max(0.02, filled / before))
        return batch

    def _close(self, txn: Txn, name: str, packer: JobBatchBuilder) -> int:
        key = records.JOB_BATCHES + name
        txn.guards[key] = ABSENT
        txn.puts[key] = packer.value()
        return packer.size_bytes

    def _next_name(self) -> str:
        self._packs += 1
        return f"{self.incarnation}.{self._packs}"

    # -- what becomes of them ------------------------------------------------------------

    def _isolate_all(self, batch: _SubmissionTxn | None) -> None:
        """One of them is at fault: each is tried by itself, and only that one fails."""
        if batch is None or len(batch.entries) <= 1:
            self._resolve_all(batch, None)
            return
        for entry in batch.entries:
            entry.isolated = True

    def _resolve_all(self, batch: _SubmissionTxn | None, created: bool | None) -> None:
        for entry in list(self._pending.values()) if batch is None else batch.entries:
            self._resolve(entry, created)

    def _resolve(
        self, entry: _Submission, created: bool | None, asked_at: float = -math.inf
    ) -> None:
        if self._pending.pop(entry.spec.id, None) is not None:
            self._pending_bytes -= entry.size_bytes
        if not entry.future.done():
            entry.future.set_result(SubmissionResult(created, asked_at))
