"""What workers report and what they are told."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.users import valid_job_id
from dunehold.transport.http import Client
from dunehold.types import (
    Attempt,
    AttemptId,
    Duration,
    ExitReason,
    HostId,
    JobId,
    Sequence,
    Session,
    TaskId,
    TaskPhase,
    Token,
    TypeName,
    Zone,
)

REPORT_PATH = "/v1/report"
_PHASES = {
    "pulling": TaskPhase.FETCHING,
    "gathering": TaskPhase.WAITING,
    "running": TaskPhase.RUNNING,
    "flushing": TaskPhase.SAVING,
    "ended": TaskPhase.EXITED,
}
_CAUSES = {
    "done": ExitReason.DONE,
    "halted": ExitReason.STOPPED,
    "error": ExitReason.ERROR,
    "no_room": ExitReason.NO_ROOM,
    "in_use": ExitReason.BUSY,
    "unknown": ExitReason.UNKNOWN,
    "mates_gone": ExitReason.GANG_MEMBER_LOST,
    "incomplete": ExitReason.GANG_INCOMPLETE,
}


@dataclass(frozen=True, slots=True)
class TaskReport:
    id: AttemptId
    phase: TaskPhase
    exit_reason: ExitReason | None
    saved: bool


@dataclass(frozen=True, slots=True)
class Report:
    host: HostId
    address: str
    type: TypeName
    zone: Zone
    spot: bool
    session: Session
    sequence: Sequence
    token: Token
    notice_s: Duration | None
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class Start:
    id: AttemptId


@dataclass(frozen=True, slots=True)
class Stop:
    id: AttemptId
    grace_s: Duration


@dataclass(frozen=True, slots=True)
class Forget:
    id: AttemptId


Command = Start | Stop | Forget


def decode_report(body: bytes) -> Report:
    row = codec.load_object(body)
    notice = codec.opt_amount(row, "reclaim_s")
    if codec.count(row, "tenure") < 1:
        raise BadMessage("tenure starts at 1")
    return Report(
        host=HostId(codec.text(row, "host")),
        address=codec.text(row, "address"),
        type=TypeName(codec.text(row, "flavour")),
        zone=Zone(codec.text(row, "hall")),
        spot=codec.flag(row, "loaner", False),
        session=Session(codec.count(row, "tenure")),
        sequence=Sequence(codec.count(row, "tally")),
        token=Token(codec.count(row, "baton") if row.get("baton") is not None else 0),
        notice_s=None if notice is None else Duration(notice),
        tasks=tuple(_task(item) for item in codec.rows(row, "units")),
    )


def _task(row: dict[str, Any]) -> TaskReport:
    job, _, index = codec.text(row, "item").rpartition("/")
    if not valid_job_id(job) or not index.isdigit() or len(index) > 9:
        raise BadMessage("item must look like job-000412/3")
    phase = _PHASES.get(codec.text(row, "phase"))
    if phase is None:
        raise BadMessage("unknown phase")
    why = None
    if phase is TaskPhase.EXITED:
        why = _CAUSES.get(str(row.get("cause")), ExitReason.OTHER)
    attempt = Attempt(codec.count(row, "try"))
    task = TaskId(JobId(job), int(index))
    return TaskReport(AttemptId(task, attempt), phase, why, row.get("kept") is True)


def _encode_commands(commands: list[Command]) -> list[dict[str, Any]]:
    out: list[dict[str, Any]] = []
    for command in commands:
        row: dict[str, Any] = {
            "item": str(command.id.task),
            "try": command.id.attempt,
        }
        if isinstance(command, Start):
            row["verb"] = "run"
        elif isinstance(command, Stop):
            row["verb"] = "stop"
            row["wind_down_s"] = command.grace_s
        else:
            row["verb"] = "reap"
        out.append(row)
    return out


def encode_reply(token: Token, commands: list[Command]) -> bytes:
    return codec.dump({"baton": token, "orders": _encode_commands(commands)})


def encode_redirect(leader: str | None) -> bytes:
    return codec.dump({} if leader is None else {"steward": leader})


async def send_commands(
    client: Client,
    token: Token,
    session: Session,
    commands: list[Command],
    timeout_s: float,
) -> tuple[bool, Report]:
    """Whether the commands were carried out, and the worker's report after them."""
    body = codec.dump({"baton": token, "tenure": session, "orders": _encode_commands(commands)})
    status, data = await client.request("POST", "/orders", body, timeout_s)
    if status not in (200, 409):
        raise BadMessage(f"status {status}")
    return status == 200, decode_report(data)


async def get_status(client: Client, timeout_s: float) -> Report:
    status, data = await client.request("GET", "/status", None, timeout_s)
    if status != 200:
        raise BadMessage(f"status {status}")
    return decode_report(data)
