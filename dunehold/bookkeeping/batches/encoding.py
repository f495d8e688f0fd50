"""Encoding of batches, and the limit on what fits one value of the state service.

A batch is written once and never changed. The version of its key therefore dates everything in
it, and if two batches contain the same job, every node finds the same one to be the first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.users import JobSpec, decode_job_object, encode_job
from dunehold.types import JobId, WallTime

JOB_FRAME_BYTES = 16  # of a batch of submissions without its rows
COMPLETION_FRAME_BYTES = 40  # of a batch of completions without its rows
ROW_OVERHEAD_BYTES = 2  # per row: a comma, and a margin for the rounding of a time


class AcceptedJob(NamedTuple):
    """A submission, and when it was accepted."""

    spec: JobSpec
    at: WallTime


class CompletedJob(NamedTuple):
    """A job all of whose tasks are done."""

    id: JobId
    tasks: int
    accepted_at: WallTime
    ended_at: WallTime | None = None  # None if an earlier version of dunehold wrote the batch


@dataclass(slots=True)
class JobBatchBuilder:
    """Fills a value of at most ``max_bytes`` with submissions.

    A row holds only the fields that differ from the previous row: jobs that are submitted in
    large numbers are alike, and take a tenth of their size this way. Field names are those of
    the users' API, so that a field added there needs no change here.
    """

    max_bytes: int
    rows: list[list[Any]] = field(default_factory=list)
    size_bytes: int = JOB_FRAME_BYTES  # never less than the size of the encoded value
    _last: dict[str, Any] = field(default_factory=dict)  # all fields of the last row's job

    def add(self, accepted: AcceptedJob) -> bool:
        """Add a submission; return False and change nothing if it does not fit."""
        full = encode_job(accepted.spec)
        changed = {
            name: value
            for name, value in full.items()
            if name not in self._last or self._last[name] != value
        }
        # A field that only the previous row has is cleared with None, as the decoder would
        # otherwise carry it over.
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
        """The value to be written; it shares the rows added later."""
        return {"jobs": self.rows}


def single_job_batch_bytes(spec: JobSpec, at: WallTime) -> int:
    """Size of a batch with this submission alone. In any other batch it takes no more."""
    return JOB_FRAME_BYTES + ROW_OVERHEAD_BYTES + len(codec.dump([at, encode_job(spec)]))


def decode_job_batch(value: Any) -> list[AcceptedJob]:
    """Decode a batch of submissions.

    Raises BadMessage if any part is malformed: decoding only a part would lose jobs.
    """
    if not isinstance(value, dict):
        raise BadMessage("batch of submissions must be an object")
    found: list[AcceptedJob] = []
    last: dict[str, Any] = {}
    for row in codec.lists(value, "jobs"):
        if len(row) != 2 or not isinstance(row[1], dict):
            raise BadMessage("batch of submissions: a row must be [time, changed fields]")
        last = {**last, **row[1]}
        at = WallTime(codec.amount({"at": row[0]}, "at"))
        found.append(AcceptedJob(decode_job_object(last), at))
    return found


@dataclass(slots=True)
class CompletionBatchBuilder:
    """Fills a value of at most ``max_bytes`` with completions of jobs."""

    max_bytes: int
    at: WallTime | None = None  # when the jobs completed, the same for the whole batch
    rows: list[list[Any]] = field(default_factory=list)
    size_bytes: int = COMPLETION_FRAME_BYTES

    def add(self, completed: CompletedJob) -> bool:
        """Add a completion; return False and change nothing if it does not fit."""
        row = [completed.id, completed.tasks, completed.accepted_at]
        size = len(codec.dump(row)) + ROW_OVERHEAD_BYTES
        if self.size_bytes + size > self.max_bytes:
            return False
        self.size_bytes += size
        self.rows.append(row)
        return True

    def value(self) -> dict[str, Any]:
        """The value to be written; it shares the rows added later."""
        return {"done": self.rows, "end": self.at}


def decode_completion_batch(value: Any) -> list[CompletedJob]:
    """Decode a batch of completions; raises BadMessage if any part is malformed."""
    if not isinstance(value, dict):
        raise BadMessage("batch of completions must be an object")
    found = []
    end = codec.opt_amount(value, "end")
    ended_at = None if end is None else WallTime(end)
    for row in codec.lists(value, "done"):
        if len(row) != 3:
            raise BadMessage("batch of completions: a row must be [job, tasks, accepted at]")
        named = dict(zip(("job", "tasks", "at"), row, strict=True))
        job, tasks = JobId(codec.text(named, "job")), codec.count(named, "tasks")
        found.append(CompletedJob(job, tasks, WallTime(codec.amount(named, "at")), ended_at))
    return found
