"""Batched completions of jobs that were accepted in batches, and deletion of obsolete keys."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from dunehold.bookkeeping import records
from dunehold.bookkeeping.batches.encoding import CompletedJob, CompletionBatchBuilder
from dunehold.bookkeeping.records import JobRecord
from dunehold.bookkeeping.view import View
from dunehold.protocol.state import ABSENT, RequestPriority, StateClient, Txn
from dunehold.settings import Settings
from dunehold.types import Revision, Token, WallTime

# After this time without a new batch, each submission gets a key of its own again.
BATCHING_IDLE_S = 30.0


@dataclass(slots=True)
class CompletionWriter:
    """Writes the batches of completions of one term.

    Their keys contain the leader's token, so that no other term uses the same keys.
    """

    settings: Settings
    token: Token
    wall: Callable[[], float]
    _batch_count: int = 0  # batches of this term
    _txn: Txn | None = None  # the transaction that _batch belongs to
    _batch: CompletionBatchBuilder | None = None

    def add(self, txn: Txn, record: JobRecord, space: int) -> bool:
        """Add the completion of an active job to the transaction; return False if it is full.

        No guard is needed against a cancellation that this node has not seen yet: the earlier
        of the two takes precedence at every node, and a user's cancellation is confirmed only
        after it has been read back.
        """
        if txn is not self._txn:
            self._txn, self._batch = txn, None
        ended = CompletedJob(record.id, record.tasks, record.accepted_at)
        if self._batch is None or not self._batch.add(ended):
            if space < 1:
                return False
            room = records.usable_value_bytes(self.settings.value_bytes)
            self._batch = CompletionBatchBuilder(room, WallTime(round(self.wall(), 3)))
            self._batch.add(ended)
            self._batch_count += 1
            key = f"{records.COMPLETION_BATCHES}{self.token}.{self._batch_count}"
            txn.guards[key] = ABSENT
            txn.puts[key] = self._batch.value()  # includes rows that are added later
        return True


@dataclass(slots=True)
class GarbageCollector:
    """Deletes obsolete keys when there is nothing else to write.

    A batch of submissions is obsolete once all its jobs are over, since the end of each is
    recorded elsewhere. The completion bitmaps of a job are obsolete once it is done, and the
    transaction that records this has space to delete only some of them. If they were kept, they
    would be listed at every start of a node.
    """

    settings: Settings
    state: StateClient
    view: View
    leader_version: Revision
    clock: Callable[[], float]
    # Keys that were deleted but may still be in the view.
    _deleted_keys: set[str] = field(default_factory=set)
    # Number of batches ever added to the view, and when that number last changed.
    _last_batch_change: tuple[int, float] = (-1, 0.0)

    def transaction(self) -> Txn | None:
        """Return the deletions that can be made now without delaying other writes, or None.

        The transaction also disables batching if there was no new batch for a while.
        """
        txn = self._deletion_txn()
        if self._is_batching_idle() and self.state.write_limiter.wait_s(1.0) <= 0:
            txn = txn or self._new_txn()
            # Without batching, submissions need not be read back before they are confirmed.
            txn.puts[records.BATCHING_ENABLED] = False
            txn.guards[records.BATCHING_ENABLED] = self.view.versions.get(
                records.BATCHING_ENABLED, ABSENT
            )
        return txn

    def _is_batching_idle(self) -> bool:
        """Whether batching is enabled and there was no new batch for ``BATCHING_IDLE_S``."""
        now, count = self.clock(), self.view.job_batches.count
        if count != self._last_batch_change[0]:
            self._last_batch_change = count, now
        return self.view.batching_enabled and now - self._last_batch_change[1] > BATCHING_IDLE_S

    def _new_txn(self) -> Txn:
        return Txn(guards={records.LEADER_KEY: self.leader_version})

    def _deletion_txn(self) -> Txn | None:
        """Return a transaction with deletions, or None if there are none or it would wait."""
        self._deleted_keys.intersection_update(self._obsolete_keys())
        most = max(1, self.settings.txn_ops // 2)
        txn = self._new_txn()
        txn.deletes = set(islice(filter(self._not_deleted_yet, self._obsolete_keys()), most))
        if not txn.size or self.state.write_limiter.wait_s(float(txn.size)) > 0:
            return None
        for key in txn.deletes:
            if key.startswith(records.COMPLETION_BITMAPS):
                txn.guards[key] = self.view.versions.get(key, ABSENT)
        return txn

    def _obsolete_keys(self) -> Iterator[str]:
        for name in self.view.job_batches.obsolete:
            yield records.JOB_BATCHES + name
        for job in self.view.obsolete_bitmaps:
            for page in self.view.jobs[job].completion_bitmaps:
                yield records.completion_bitmap_key(job, page)

    def _not_deleted_yet(self, key: str) -> bool:
        return key not in self._deleted_keys

    async def sweep(self) -> bool:
        """Delete some obsolete keys; return whether the transaction succeeded.

        Raises what the client of the state service raises.
        """
        txn = self.transaction()
        if txn is None:
            return False
        result = await self.state.txn(txn, RequestPriority.BULK)
        if result.ok:  # the view shows the deletion only later; it must not be repeated
            self._deleted_keys |= txn.deletes
        return result.ok
