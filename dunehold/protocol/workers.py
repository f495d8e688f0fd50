"""Messages to and from workers: their reports, and the commands that they are given.

Outer names in reports: ``flavour`` is the machine type, ``hall`` the zone, ``loaner`` whether
the machine is a spot machine, ``tenure`` the session, ``tally`` the sequence number, ``baton``
the highest fencing token that the worker has accepted, ``reclaim_s`` the seconds until a spot
machine is taken back, ``units`` the tasks. Of a task: ``item`` is the task id, ``try`` the
attempt, ``cause`` the exit reason, ``kept`` whether its state was saved.

Outer names in answers: ``orders`` is the list of commands, ``verb`` the kind of command
(``run``, ``stop`` or ``reap``, which is Forget), ``wind_down_s`` the grace period of a stop,
``steward`` the name of the leader.
"""

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
MAX_TASK_INDEX_DIGITS = 9
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
    """The state of one attempt as its worker reports it."""

    id: AttemptId
    phase: TaskPhase
    exit_reason: ExitReason | None  # None unless the phase is EXITED
    saved: bool  # the task wrote a checkpoint when it was stopped


@dataclass(frozen=True, slots=True)
class Report:
    """A worker's periodic report: the state of its machine and of every task on it."""

    host: HostId
    address: str  # HOST:PORT at which the worker accepts direct commands
    type: TypeName
    zone: Zone
    spot: bool
    session: Session
    sequence: Sequence
    token: Token  # 0 if the worker has not accepted any yet
    notice_s: Duration | None  # time left before a spot machine is taken back; None: no notice
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class Start:
    """Starts an attempt of a task."""

    id: AttemptId


@dataclass(frozen=True, slots=True)
class Stop:
    """Stops an attempt, which has ``grace_s`` seconds to save its state."""

    id: AttemptId
    grace_s: Duration


@dataclass(frozen=True, slots=True)
class Forget:
    """Makes the worker drop an exited attempt, which it reports until then."""

    id: AttemptId


Command = Start | Stop | Forget


def decode_report(body: bytes) -> Report:
    """Decodes a worker's report; raises BadMessage with the field and the reason."""
    row = codec.load_object(body)
    notice = codec.opt_amount(row, "reclaim_s")
    if codec.count(row, "tenure") < 1:
        raise BadMessage("tenure must be at least 1")
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
    if not valid_job_id(job) or not index.isdigit() or len(index) > MAX_TASK_INDEX_DIGITS:
        raise BadMessage("item must look like job-000412/3")
    phase = _PHASES.get(codec.text(row, "phase"))
    if phase is None:
        raise BadMessage("phase must be pulling, gathering, running, flushing or ended")
    exit_reason = None
    if phase is TaskPhase.EXITED:
        exit_reason = _CAUSES.get(str(row.get("cause")), ExitReason.OTHER)
    attempt = Attempt(codec.count(row, "try"))
    task = TaskId(JobId(job), int(index))
    return TaskReport(AttemptId(task, attempt), phase, exit_reason, row.get("kept") is True)


def _encode_commands(commands: list[Command]) -> list[dict[str, Any]]:
    encoded: list[dict[str, Any]] = []
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
        encoded.append(row)
    return encoded


def encode_reply(token: Token, commands: list[Command]) -> bytes:
    """Encodes the answer to a report: the leader's fencing token and commands."""
    return codec.dump({"baton": token, "orders": _encode_commands(commands)})


def encode_redirect(leader: str | None) -> bytes:
    """Encodes the answer of a node that does not lead; ``leader`` is the node to report to."""
    return codec.dump({} if leader is None else {"steward": leader})


async def send_commands(
    client: Client,
    token: Token,
    session: Session,
    commands: list[Command],
    timeout_s: float,
) -> tuple[bool, Report]:
    """Sends commands to a worker directly and returns whether it accepted them, and its report.

    The worker refuses them (status 409) if the fencing token is older than one that it has
    accepted, or the session is not its current one. Raises BadMessage or NoResponse.
    """
    body = codec.dump({"baton": token, "tenure": session, "orders": _encode_commands(commands)})
    status, data = await client.request("POST", "/orders", body, timeout_s)
    if status not in (200, 409):
        raise BadMessage(f"sending commands: status {status}, expected 200 or 409")
    return status == 200, decode_report(data)


async def get_status(client: Client, timeout_s: float) -> Report:
    """Asks a worker for a report. Raises BadMessage or NoResponse."""
    status, data = await client.request("GET", "/status", None, timeout_s)
    if status != 200:
        raise BadMessage(f"reading a worker's status: status {status}, expected 200")
    return decode_report(data)
