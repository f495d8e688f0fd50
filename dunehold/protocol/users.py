"""Messages to and from users: submitted jobs, and answers about the state of jobs.

Outer names of a job: ``uid`` is the job's id, ``jobclass`` its class, ``owner`` the team,
``shape`` the kind (``batch`` for an array, ``gang``, or ``standing`` for a service), ``rank``
the priority, ``units`` the number of tasks, ``bundle`` the image and ``size_gb`` its size,
``flavours`` the allowed machine types, ``hall`` the required zone, ``together`` whether all
tasks must be in one zone, ``loaner`` whether spot machines are allowed, ``expect_s`` the
estimated run time, ``snapshot_s`` the checkpoint interval, ``flush_s`` the time that saving
takes, ``due_s`` the deadline, ``awaits`` the dependencies.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.types import (
    Duration,
    Image,
    JobId,
    JobKind,
    Rank,
    Resources,
    Team,
    TypeName,
    Zone,
)

JOBS_PATH = "/v1/jobs"
HEALTH_PATH = "/up"
CANCEL_SUFFIX = "cancel"
MAX_TASKS = 100_000  # of one job

_JOB_ID = re.compile(r"job-[0-9]{1,18}\Z")
_KINDS = {"batch": JobKind.ARRAY, "gang": JobKind.GANG, "standing": JobKind.SERVICE}
_RANKS = {
    "critical": Rank.PRODUCTION,
    "high": Rank.HIGH,
    "normal": Rank.NORMAL,
    "idle": Rank.LOW,
}
_KIND_NAMES = {kind: name for name, kind in _KINDS.items()}
_RANK_NAMES = {rank: name for name, rank in _RANKS.items()}


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its user described it. Resources and times are per task."""

    id: JobId
    job_class: str
    team: Team
    kind: JobKind
    rank: Rank
    tasks: int  # number of tasks
    need: Resources
    image: Image
    image_gb: float
    types: tuple[TypeName, ...] | None  # allowed machine types; None: any
    zone: Zone | None  # required zone; None: any
    one_zone: bool  # all tasks must be in the same zone
    spread: bool  # at most half of the tasks, rounded up, may be in one zone
    spot: bool  # may run on spot machines
    estimate_s: Duration  # run time of a task as its owner estimates it
    checkpoint_s: Duration  # interval between checkpoints; 0: the job writes none
    save_s: Duration  # time that a stopped task needs to save its state
    deadline_s: Duration | None  # counted from the acceptance
    dependencies: tuple[JobId, ...] = ()  # jobs that must be done before any task starts


def valid_job_id(value: str) -> bool:
    """Tells whether ``value`` has the form of a job id, such as ``job-000412``."""
    return _JOB_ID.match(value) is not None


# Fields that a submission must contain. A field that may be null may also be omitted.
REQUIRED_FIELDS = (
    "uid", "jobclass", "owner", "shape", "rank", "units", "vcpus", "gpus", "memory_gb",
    "bundle", "size_gb", "together", "spread", "loaner", "expect_s", "snapshot_s", "flush_s",
)  # fmt: skip


def decode_job(body: bytes) -> JobSpec:
    """Decodes a submission; raises BadMessage if a field is malformed or missing."""
    row = codec.load_object(body)
    for name in REQUIRED_FIELDS:
        if row.get(name) is None:
            raise BadMessage(f"{name} is missing")
    return decode_job_object(row)


def decode_job_id(body: bytes) -> JobId | None:
    """Returns the job id in a submission whose other fields may be malformed, or None."""
    try:
        uid = codec.load_object(body).get("uid")
    except BadMessage:
        return None
    return JobId(uid) if isinstance(uid, str) and valid_job_id(uid) else None


def decode_job_object(row: dict[str, Any]) -> JobSpec:
    """Decodes a job from a submission or from a stored record.

    Fields that records of earlier versions may lack have defaults. Raises BadMessage.
    """
    uid = codec.text(row, "uid")
    if not valid_job_id(uid):
        raise BadMessage("uid must look like job-000412")
    kind = _KINDS.get(codec.text(row, "shape"))
    if kind is None:
        raise BadMessage("shape must be batch, gang or standing")
    rank = _RANKS.get(codec.text(row, "rank"))
    if rank is None:
        raise BadMessage("rank must be critical, high, normal or idle")
    tasks = codec.count(row, "units")
    if not 1 <= tasks <= MAX_TASKS:
        raise BadMessage(f"units must be 1 to {MAX_TASKS}")
    cpus = codec.amount(row, "vcpus")
    gpus = codec.amount(row, "gpus") if row.get("gpus") is not None else 0.0
    zone = codec.opt_text(row, "hall")
    deadline = codec.opt_amount(row, "due_s")
    return JobSpec(
        id=JobId(uid),
        job_class=codec.text(row, "jobclass"),
        team=Team(codec.text(row, "owner")),
        kind=kind,
        rank=rank,
        tasks=tasks,
        need=Resources(cpus, gpus, codec.amount(row, "memory_gb")),
        image=Image(codec.text(row, "bundle")),
        image_gb=codec.amount(row, "size_gb"),
        types=_types(row.get("flavours")),
        zone=None if zone is None else Zone(zone),
        one_zone=codec.flag(row, "together", False),
        spread=codec.flag(row, "spread", False),
        spot=codec.flag(row, "loaner", False),
        estimate_s=Duration(codec.amount(row, "expect_s")),
        checkpoint_s=Duration(codec.opt_amount(row, "snapshot_s") or 0.0),
        save_s=Duration(codec.opt_amount(row, "flush_s") or 0.0),
        deadline_s=None if deadline is None else Duration(deadline),
        dependencies=_decode_dependencies(uid, row.get("awaits")),
    )


def _decode_dependencies(uid: str, value: Any) -> tuple[JobId, ...]:
    """Removes duplicates; null, an omitted field and an empty list all mean no dependencies."""
    if value is None:
        return ()
    if not isinstance(value, list) or not all(
        isinstance(name, str) and valid_job_id(name) for name in value
    ):
        raise BadMessage("awaits must be a list of job ids such as job-000412")
    if uid in value:
        raise BadMessage("awaits must not name the job itself")
    return tuple(JobId(name) for name in dict.fromkeys(value))


def _types(value: Any) -> tuple[TypeName, ...] | None:
    if value is None:
        return None
    if not isinstance(value, list) or not value or len(value) > 100:
        raise BadMessage("flavours must be null or a list of 1 to 100 names")
    if not all(isinstance(name, str) and 0 < len(name) <= 200 for name in value):
        raise BadMessage("flavours must hold names of 1 to 200 characters")
    return tuple(TypeName(name) for name in value)


def encode_job(spec: JobSpec) -> dict[str, Any]:
    """Encodes a job in the form that users send, which the state service also stores.

    ``awaits`` is written only if there are dependencies, because earlier versions read the
    same records.
    """
    row = {
        "uid": spec.id,
        "jobclass": spec.job_class,
        "owner": spec.team,
        "shape": _KIND_NAMES[spec.kind],
        "rank": _RANK_NAMES[spec.rank],
        "units": spec.tasks,
        "vcpus": spec.need.cpus,
        "gpus": spec.need.gpus,
        "memory_gb": spec.need.memory_gb,
        "bundle": spec.image,
        "size_gb": spec.image_gb,
        "flavours": spec.types,
        "hall": spec.zone,
        "together": spec.one_zone,
        "spread": spec.spread,
        "loaner": spec.spot,
        "expect_s": spec.estimate_s,
        "snapshot_s": spec.checkpoint_s,
        "flush_s": spec.save_s,
        "due_s": spec.deadline_s,
    }
    return row | {"awaits": spec.dependencies} if spec.dependencies else row


def encode_state(
    job: JobId, phase: str, done: int | None = None, running: int | None = None
) -> bytes:
    """Encodes the state of a job; ``done`` and ``running`` are numbers of tasks."""
    row: dict[str, Any] = {"uid": job, "phase": phase}
    if done is not None:
        row["done"] = done
        row["running"] = running or 0
    return codec.dump(row)


def encode_error(reason: str) -> bytes:
    """Encodes the body of an answer that refuses a request."""
    return codec.dump({"error": reason})
