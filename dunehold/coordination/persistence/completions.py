"""Ends of jobs that came in packs, many to a key; and packs that are not needed any more."""

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

BATCHING_IDLE_S = 30.0  # without a new pack: submissions get keys of their own again


@dataclass(slots=True)
class CompletionWriter:
    """Packs of ends of one term, named by its token: no other term uses these names."""

    settings: Settings
    token: Token
    wall: Callable[[], float]
    _count: int = 0
    _txn: Txn | None = None
    _packer: CompletionBatchBuilder | None = None

    def add(self, txn: Txn, record: JobRecord, space: int) -> bool:
        """Put the end of an active job into the transaction; false if there is no room.

        Nothing guards it against a cancellation that this node has not seen yet: whichever
        was first stands for every node, and a user is told of a cancellation only after
        that has been read back.
        """
        if txn is not self._txn:
            self._txn, self._packer = txn, None
        ended = CompletedJob(record.id, record.tasks, record.accepted_at)
        if self._packer is None or not self._packer.add(ended):
            if space < 1:
                return False
            room = records.usable_value_bytes(self.settings.value_bytes)
            self._packer = CompletionBatchBuilder(room, WallTime(round(self.wall(), 3)))
            self._packer.add(ended)
            self._count += 1
            key = f"{records.COMPLETION_BATCHES}{self.token}.{self._count}"
            txn.guards[key] = ABSENT
            txn.puts[key] = self._packer.value()  # shares the rows that are still to come
        return True


@dataclass(slots=True)
class GarbageCollector:
    """Deletes what is not needed any more, when nothing else is to be written.

    Packs of submissions all of whose jobs are over: each is on record by its end. Marks of
    jobs that are done, of which an end's own transaction holds only so many: kept, they would
    be listed at every start, for ever.
    """

    settings: Settings
    state: StateClient
    view: View
    leader_version: Revision
    clock: Callable[[], float]
    _asked: set[str] = field(default_factory=set)
    _last_batch_change: tuple[int, float] = (
        -1,
        0.0,
    )  # packs that ever came, and since when no more

    def transaction(self) -> Txn | None:
        """What can be deleted right now without keeping anybody waiting."""
        txn = self._deletes()
        if self._calm() and self.state.write_limiter.wait_s(1.0) <= 0:
            txn = txn or self._guarded()
            # Own keys need no reading back again.
            txn.puts[records.BATCHING_ENABLED] = False
            txn.guards[records.BATCHING_ENABLED] = self.view.versions.get(
                records.BATCHING_ENABLED, ABSENT
            )
        return txn

    def _calm(self) -> bool:
        now, count = self.clock(), self.view.job_batches.count
        if count != self._last_batch_change[0]:
            self._last_batch_change = count, now
        return self.view.batching_enabled and now - self._last_batch_change[1] > BATCHING_IDLE_S

    def _guarded(self) -> Txn:
        return Txn(guards={records.LEADER_KEY: self.leader_version})

    def _deletes(self) -> Txn | None:
        self._asked.intersection_update(self._spent())
        most = max(1, self.settings.txn_ops // 2)
        txn = self._guarded()
        txn.deletes = set(islice(filter(self._not_asked, self._spent()), most))
        if not txn.size or self.state.write_limiter.wait_s(float(txn.size)) > 0:
            return None
        for key in txn.deletes:
            if key.startswith(records.COMPLETION_BITMAPS):
                txn.guards[key] = self.view.versions.get(key, ABSENT)
        return txn

    def _spent(self) -> Iterator[str]:
        for name in self.view.job_batches.obsolete:
            yield records.JOB_BATCHES + name
        for job in self.view.obsolete_bitmaps:
            for page in self.view.jobs[job].completion_bitmaps:
                yield records.completion_bitmap_key(job, page)

    def _not_asked(self, key: str) -> bool:
        return key not in self._asked

    async def sweep(self) -> bool:
        """True if something was deleted; raises what the state service's client raises."""
        txn = self.transaction()
        if txn is None:
            return False
        result = await self.state.txn(txn, RequestPriority.BULK)
        if result.ok:  # shows in the view later: not to be asked for twice
            self._asked |= txn.deletes
        return result.ok
