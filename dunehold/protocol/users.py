"""What users say and hear."""

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
MAX_TASKS = 100_000

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
    """A job as its user described it."""

    id: JobId
    job_class: str
    team: Team
    kind: JobKind
    rank: Rank
    tasks: int
    need: Resources
    image: Image
    image_gb: float
    types: tuple[TypeName, ...] | None
    zone: Zone | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: Duration
    checkpoint_s: Duration
    save_s: Duration
    deadline_s: Duration | None
    dependencies: tuple[JobId, ...] = ()  # jobs that must be done before any task of it starts


def valid_job_id(value: str) -> bool:
    return _JOB_ID.match(value) is not None


# What a submission must not lack; a field that may be null may also be omitted.
REQUIRED_FIELDS = (
    "uid", "jobclass", "owner", "shape", "rank", "units", "vcpus", "gpus", "memory_gb",
    "bundle", "size_gb", "together", "spread", "loaner", "expect_s", "snapshot_s", "flush_s",
)  # fmt: skip


def decode_job(body: bytes) -> JobSpec:
    """The submitted job; BadMessage when anything in it is malformed or missing."""
    row = codec.load_object(body)
    for name in REQUIRED_FIELDS:
        if row.get(name) is None:
            raise BadMessage(f"{name} is missing")
    return decode_job_object(row)


def decode_job_id(body: bytes) -> JobId | None:
    """The job that a submission names, however malformed the rest of it is."""
    try:
        uid = codec.load_object(body).get("uid")
    except BadMessage:
        return None
    return JobId(uid) if isinstance(uid, str) and valid_job_id(uid) else None


def decode_job_object(row: dict[str, Any]) -> JobSpec:
    """A job as it is sent, or as it was kept: records of earlier versions may lack a field."""
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
    """A name given twice counts once; null, omitted and empty are the same."""
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
        raise BadMessage("flavours must hold names")
    return tuple(TypeName(name) for name in value)


def encode_job(spec: JobSpec) -> dict[str, Any]:
    """The same form that users send; also what the state service keeps.

    ``awaits`` only where there are any: earlier versions read the same records.
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
    row: dict[str, Any] = {"uid": job, "phase": phase}
    if done is not None:
        row["done"] = done
        row["running"] = running or 0
    return codec.dump(row)


def encode_error(reason: str) -> bytes:
    return codec.dump({"error": reason})
