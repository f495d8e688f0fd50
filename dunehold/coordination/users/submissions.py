"""The queue of submissions on their way to the state service.

One transaction writes many of the jobs that wait together.
"""

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

MAX_PENDING = 2000  # submissions
# Share of the write burst that must remain for jobs to get a key each. Batches begin before the
# burst is used up, because the first one also writes the key that enables batching.
RESERVE_SHARE = 1 / 3
MAX_TXN_ROWS = 512  # in one transaction, so that building it does not block the event loop long
KEY_OVERHEAD_BYTES = 300  # allowance for key, guard and other fields of a job's own record
MIN_COMPRESSION_RATIO = 0.02  # lower bound for the estimate of what batching saves


class SubmissionResult(NamedTuple):
    """The outcome of a submission, as a request sent at ``asked_at`` showed it."""

    created: bool | None  # True: accepted now; False: known before; None: not known yet
    asked_at: float  # event loop time, seconds


@dataclass(slots=True)
class _Submission:
    """A submission that waits to be written."""

    spec: JobSpec
    accepted_at: WallTime
    size_bytes: int  # in a batch of its own
    future: asyncio.Future[SubmissionResult]
    isolated: bool = False  # was in a rejected transaction or is too large: written on its own


@dataclass(slots=True)
class _SubmissionTxn:
    """A transaction and the submissions that it writes."""

    txn: Txn
    entries: list[_Submission]
    read_back: bool = False  # another node may have recorded the same job first
    batch_of: dict[JobId, str] = field(default_factory=dict)  # names of batches, by job


@dataclass(slots=True)
class SubmissionQueue:
    """Writes pending submissions within the write rate of the state service.

    While the rate suffices, each job gets a key of its own, guarded by its absence. As soon as
    jobs would wait for the rate limiter, several are written as a batch under one key. No guard
    can detect that a batch of another node holds the same job. Therefore the key
    ``BATCHING_ENABLED`` says whether batches may be written, and guards every submission. While
    it is set, each node reads back which of two records of a job is the first before it answers
    its users.
    """

    settings: Settings
    state: StateClient
    view: View
    sync: ViewSync
    incarnation: str  # unique to this process, so that names of batches are never reused
    _pending: dict[JobId, _Submission] = field(default_factory=dict)
    _pending_bytes: int = 0  # sum of ``size_bytes`` over all pending submissions
    _compression_ratio: float = 1.0  # bytes of the last batches / their ``size_bytes``
    _batches_named: int = 0
    _awaited_writes: int = 0  # writes for which ``_flush`` waits at the rate limiter
    _rate_limited: bool = False  # too few writes left for a key per job plus the reserve
    _task: asyncio.Task[None] | None = None

    @property
    def batching(self) -> bool:
        """Whether the operators' settings allow batches."""
        return bool(self.settings.operator.pack_submissions)

    @property
    def _value_room_bytes(self) -> int:
        return records.usable_value_bytes(self.settings.value_bytes)

    def too_large(self, spec: JobSpec, at: WallTime) -> bool:
        """Tells whether the job's record exceeds the size limit of a value."""
        value = records.encode_job_record(spec, JobPhase.ACTIVE, at)
        return len(codec.dump(value)) > self.settings.value_bytes

    def is_pending(self, job: JobId) -> bool:
        """Tells whether the job waits here to be written."""
        return job in self._pending

    def full(self) -> bool:
        """Tells whether ``MAX_PENDING`` submissions wait, so that more must be refused."""
        return len(self._pending) >= MAX_PENDING

    def wait_s(self) -> float:
        """Estimates how many seconds one more submission would wait for the rate limiter.

        Writes that ``_flush`` already waits for are in the limiter's own queue.
        """
        writes = 1 + len(self._pending)
        if self.batching:
            writes = min(writes, self._batched_write_count())
        return self.state.write_limiter.wait_s(max(0.0, writes - self._awaited_writes))

    async def submit(self, spec: JobSpec, at: WallTime) -> SubmissionResult:
        """Queues a job accepted at ``at`` and waits for the outcome.

        Repeated submissions of a pending job share its outcome.
        """
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

    # -- transactions ---

    async def _flush(self) -> None:
        """Writes pending submissions until none is left."""
        while self._pending:
            prepared: _SubmissionTxn | None = None
            try:
                acquired = self._awaited_writes = self._write_count()
                # Submissions that arrive during this wait share the acquired writes.
                await self.state.write_limiter.acquire(RequestPriority.USER, acquired)
                self._awaited_writes = 0
                prepared = self._build(acquired)
                self.state.write_limiter.refund(acquired - prepared.txn.size)
                if prepared.entries:
                    await self._commit(prepared)
            except Malformed as error:
                log.error(
                    "transaction with %d submissions rejected as invalid: %s; "
                    "several are retried one by one, a single one gets status 503",
                    len(prepared.entries) if prepared else 0,
                    error,
                )
                self._isolate_all(prepared)
            except STATE_SERVICE_ERRORS as error:
                log.info(
                    "submissions not written: %s; users get status 503 and may retry", error
                )
                self._resolve_all(prepared, None)
            except Exception:
                log.exception(
                    "submissions not written because of an unexpected error; users get 503"
                )
                self._resolve_all(prepared, None)

    async def _commit(self, prepared: _SubmissionTxn) -> None:
        """Sends a transaction and resolves its submissions.

        If it failed, those whose job is still unknown stay pending for the next transaction.
        """
        asked = asyncio.get_running_loop().time()
        result = await self.state.txn(prepared.txn, RequestPriority.USER, pre_acquired=True)
        if not result.ok or prepared.read_back:
            asked = asyncio.get_running_loop().time()
            await self.sync.barrier()
        for entry in prepared.entries:
            job = entry.spec.id
            if result.ok:
                self._resolve(entry, self._was_created_here(prepared, job), asked)
            elif job in self.view.jobs:
                self._resolve(entry, False, asked)

    def _was_created_here(self, prepared: _SubmissionTxn, job: JobId) -> bool:
        if not prepared.read_back:
            return True
        record = self.view.jobs.get(job)
        if record is None or record.phase.final:
            # The record of an ended job does not tell which node accepted it, so the job
            # counts as known and its user gets its state.
            return False
        return record.batch_key == prepared.batch_of.get(job)

    def _batched_write_count(self) -> int:
        """Number of writes for all pending submissions and one more of average size."""
        batch_bytes = (
            self._pending_bytes * self._compression_ratio * (1 + 1 / max(1, len(self._pending)))
        )
        return max(1, math.ceil(batch_bytes / self._value_room_bytes)) + (
            not self.view.batching_enabled
        )

    def _write_count(self) -> int:
        """Number of writes to acquire: usually no more than the transaction will make."""
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
        """Tells whether pending jobs go into batches.

        Once batching is enabled, a single job goes into a batch, too: it costs no more, and the
        job's completion can share a key with others.
        """
        return self.batching and (self.view.batching_enabled or self._rate_limited)

    def _build(self, acquired: int) -> _SubmissionTxn:
        """Builds the next transaction, which makes at most ``acquired`` writes."""
        for entry in list(self._pending.values()):
            if entry.spec.id in self.view.jobs:  # another node recorded it meanwhile
                self._resolve(entry, False)
        waiting = list(islice(self._pending.values(), MAX_TXN_ROWS))
        single = next((entry for entry in waiting if entry.isolated), None)
        if single is not None:
            return self._build_singles([single], 1)
        max_batches = acquired - (not self.view.batching_enabled)
        if max_batches > 0 and self._uses_batches():
            return self._build_batches(waiting, max_batches)
        return self._build_singles(waiting, acquired)

    def _build_singles(self, waiting: Iterable[_Submission], most: int) -> _SubmissionTxn:
        """Builds a transaction that gives each of at most ``most`` jobs a key of its own."""
        prepared = _SubmissionTxn(Txn(), [], read_back=self.view.batching_enabled)
        size = 0
        for entry in waiting:
            size += entry.size_bytes + KEY_OVERHEAD_BYTES
            if prepared.entries and (len(prepared.entries) >= most or size > MAX_TXN_BYTES):
                break
            key = records.job_key(entry.spec.id)
            prepared.txn.guards[key] = ABSENT
            prepared.txn.puts[key] = records.encode_job_record(
                entry.spec, JobPhase.ACTIVE, entry.accepted_at
            )
            prepared.entries.append(entry)
        if prepared.entries:
            # Batching may be enabled without this node knowing it yet, and a batch of another
            # node may hold these jobs. Then the guard fails.
            self._guard_mode(prepared.txn)
        return prepared

    def _guard_mode(self, txn: Txn) -> None:
        """Makes the transaction fail if the batching mode is not the one in the view."""
        txn.guards[records.BATCHING_ENABLED] = self.view.versions.get(
            records.BATCHING_ENABLED, ABSENT
        )

    def _build_batches(self, waiting: list[_Submission], most: int) -> _SubmissionTxn:
        """Builds a transaction of at most ``most`` batches.

        Similar jobs stand next to each other, because a row holds only the fields that differ
        from the row before. ``waiting`` holds the oldest submissions.
        """
        prepared = _SubmissionTxn(Txn(), [], read_back=True)
        waiting = sorted(waiting, key=lambda e: (e.spec.team, e.spec.job_class, e.accepted_at))
        builder, name = JobBatchBuilder(self._value_room_bytes), self._next_name()
        batch_bytes = separate_bytes = 0
        for entry in waiting:
            row = AcceptedJob(entry.spec, entry.accepted_at)
            if not builder.add(row):
                if not builder.rows:
                    entry.isolated = True  # too large to share a value
                    continue
                batch_bytes += self._close(prepared.txn, name, builder)
                if len(prepared.txn.puts) >= most:
                    break  # the rest waits for the next transaction
                builder, name = JobBatchBuilder(self._value_room_bytes), self._next_name()
                if not builder.add(row):
                    entry.isolated = True
                    continue
            separate_bytes += entry.size_bytes
            prepared.entries.append(entry)
            prepared.batch_of[entry.spec.id] = name
        else:
            if builder.rows:
                batch_bytes += self._close(prepared.txn, name, builder)
        if prepared.entries:
            # A transaction that is applied after batching was disabled must fail, because other
            # nodes then give jobs keys of their own without reading them back.
            self._guard_mode(prepared.txn)
            if not self.view.batching_enabled:
                prepared.txn.puts[records.BATCHING_ENABLED] = True
            self._compression_ratio = min(
                1.0, max(MIN_COMPRESSION_RATIO, batch_bytes / separate_bytes)
            )
        return prepared

    def _close(self, txn: Txn, name: str, builder: JobBatchBuilder) -> int:
        """Adds a finished batch to the transaction and returns its size in bytes."""
        key = records.JOB_BATCHES + name
        txn.guards[key] = ABSENT
        txn.puts[key] = builder.value()
        return builder.size_bytes

    def _next_name(self) -> str:
        self._batches_named += 1
        return f"{self.incarnation}.{self._batches_named}"

    # -- outcomes ---

    def _isolate_all(self, prepared: _SubmissionTxn | None) -> None:
        """Makes each submission of a rejected transaction be written on its own.

        The state service does not say which of them is invalid; this way only that one fails.
        """
        if prepared is None or len(prepared.entries) <= 1:
            self._resolve_all(prepared, None)
            return
        for entry in prepared.entries:
            entry.isolated = True

    def _resolve_all(self, prepared: _SubmissionTxn | None, created: bool | None) -> None:
        for entry in list(self._pending.values()) if prepared is None else prepared.entries:
            self._resolve(entry, created)

    def _resolve(
        self, entry: _Submission, created: bool | None, asked_at: float = -math.inf
    ) -> None:
        if self._pending.pop(entry.spec.id, None) is not None:
            self._pending_bytes -= entry.size_bytes
        if not entry.future.done():
            entry.future.set_result(SubmissionResult(created, asked_at))
