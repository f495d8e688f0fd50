"""What a pack holds, and how much of it fits one value of the state service.

A pack is written once and never changed: what it says is dated by its version, so that of
two packs that tell of the same job every node finds the same one to be the first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.users import JobSpec, decode_job_object, encode_job
from dunehold.types import JobId, WallTime

JOB_FRAME_BYTES, COMPLETION_FRAME_BYTES = 16, 40  # what is around the rows
ROW_OVERHEAD_BYTES = 2  # a comma, and the rounding of a time


class AcceptedJob(NamedTuple):
    spec: JobSpec
    at: WallTime


class CompletedJob(NamedTuple):
    """A job all of whose tasks are done."""

    id: JobId
    tasks: int
    accepted_at: WallTime
    ended_at: WallTime | None = None  # None: an earlier version wrote it


@dataclass(slots=True)
class JobBatchBuilder:
    """Fills a value of at most ``room`` bytes with submissions.

    A row holds only what differs from the row before: the jobs of a swarm are alike, and
    come to a tenth of their size. Names of fields are the published ones, so that a field
    added there needs nothing here.
    """

    max_bytes: int
    rows: list[list[Any]] = field(default_factory=list)
    size_bytes: int = JOB_FRAME_BYTES  # in bytes, rather too much than too little
    _last: dict[str, Any] = field(default_factory=dict)

    def add(self, accepted: AcceptedJob) -> bool:
        """False when it does not fit any more; the pack is as before then."""
        full = encode_job(accepted.spec)
        changed = {
            name: value
            for name, value in full.items()
            if name not in self._last or self._last[name] != value
        }
        # What only the row before had must not be read into this one.
        changed.update(dict.fromkeys(self._last.keys() - full.keys()))
        row = [accepted.at, changed]
        size = len(codec.dump(row)) + ROW_OVERHEAD_BYTES
        if self.size_bytes + size > self.max_bytes:
            return False
        self.size_bytes += size
        self._last = full
        self.rows.append(row)
        return True

    def value(self) -> dict[str, Any]:
        return {"jobs": self.rows}


def single_job_batch_bytes(spec: JobSpec, at: WallTime) -> int:
    """What one submission takes in a pack of its own; of any pack it takes no more."""
    return JOB_FRAME_BYTES + ROW_OVERHEAD_BYTES + len(codec.dump([at, encode_job(spec)]))


def decode_job_batch(value: Any) -> list[AcceptedJob]:
    """BadMessage when anything in it is malformed: half a pack would be lost jobs."""
    if not isinstance(value, dict):
        raise BadMessage("pack of submissions")
    found: list[AcceptedJob] = []
    last: dict[str, Any] = {}
    for row in codec.lists(value, "jobs"):
        if len(row) != 2 or not isinstance(row[1], dict):
            raise BadMessage("pack of submissions: row")
        last = {**last, **row[1]}
        at = WallTime(codec.amount({"at": row[0]}, "at"))
        found.append(AcceptedJob(decode_job_object(last), at))
    return found


@dataclass(slots=True)
class CompletionBatchBuilder:
    """Fills a value of at most ``room`` bytes with ends."""

    max_bytes: int
    at: WallTime | None = None  # when they ended, the same for all of a pack
    rows: list[list[Any]] = field(default_factory=list)
    size_bytes: int = COMPLETION_FRAME_BYTES

    def add(self, ended: CompletedJob) -> bool:
        row = [ended.id, ended.tasks, ended.accepted_at]
        size = len(codec.dump(row)) + ROW_OVERHEAD_BYTES
        if self.size_bytes + size > self.max_bytes:
            return False
        self.size_bytes += size
        self.rows.append(row)
        return True

    def value(self) -> dict[str, Any]:
        return {"done": self.rows, "end": self.at}


def decode_completion_batch(value: Any) -> list[CompletedJob]:
    if not isinstance(value, dict):
        raise BadMessage("pack of ends")
    found = []
    end = codec.opt_amount(value, "end")
    ended_at = None if end is None else WallTime(end)
    for row in codec.lists(value, "done"):
        if len(row) != 3:
            raise BadMessage("pack of ends: row")
        named = dict(zip(("job", "tasks", "at"), row, strict=True))
        job, tasks = JobId(codec.text(named, "job")), codec.count(named, "tasks")
        found.append(CompletedJob(job, tasks, WallTime(codec.amount(named, "at")), ended_at))
    return found
