"""Small types of their own for ids, versions, times and amounts."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
HostId = NewType("HostId", str)
NodeId = NewType("NodeId", str)
RentalId = NewType("RentalId", str)
OrderId = NewType("OrderId", str)  # of operators
Team = NewType("Team", str)
Zone = NewType("Zone", str)
TypeName = NewType("TypeName", str)
Image = NewType("Image", str)

Token = NewType("Token", int)  # who may command the workers; higher is newer
Attempt = NewType("Attempt", int)  # one try to run a task; never reused
Session = NewType("Session", int)  # one life of a worker's lease
Sequence = NewType("Sequence", int)  # order of a worker's messages in a session
Revision = NewType("Revision", int)  # version of a key or of the whole state service
LeaseId = NewType("LeaseId", int)

MonotonicTime = NewType("MonotonicTime", float)  # this process's steady clock, seconds
WallTime = NewType("WallTime", float)  # time of day, seconds, within the clock error
Duration = NewType("Duration", float)  # seconds


class TaskId(NamedTuple):
    """Task ``index`` of ``job``."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


class AttemptId(NamedTuple):
    """One try of one task."""

    task: TaskId
    attempt: Attempt

    def __str__(self) -> str:
        return f"{self.task}#{self.attempt}"


class Resources(NamedTuple):
    """Amounts of a machine: what a task takes, or what is left."""

    cpus: float
    gpus: float
    memory_gb: float

    def plus(self, other: Resources) -> Resources:
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def minus(self, other: Resources) -> Resources:
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def times(self, number: int) -> Resources:
        return Resources(self.cpus * number, self.gpus * number, self.memory_gb * number)

    def holds(self, need: Resources) -> bool:
        return (
            need.cpus <= self.cpus + EPSILON
            and need.gpus <= self.gpus + EPSILON
            and need.memory_gb <= self.memory_gb + EPSILON
        )

    def count_fitting(self, need: Resources) -> int:
        """How many times ``need`` fits."""
        fits = [
            int(min((have + EPSILON) / want, UNBOUNDED))  # a limit may be infinite
            for have, want in zip(self, need, strict=True)
            if want > EPSILON
        ]
        return max(0, min(fits)) if fits else UNBOUNDED


EPSILON = 1e-6
UNBOUNDED = 1_000_000
NO_RESOURCES = Resources(0.0, 0.0, 0.0)


class Rank(IntEnum):
    """Priority; higher goes first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    PRODUCTION = 3


class JobKind(StrEnum):
    ARRAY = "array"
    GANG = "gang"  # runs only while all its tasks do
    SERVICE = "service"


class JobPhase(StrEnum):
    """What is durable about a job; whether it runs just now is not."""

    ACTIVE = "active"
    CANCELLED = "cancelled"
    DONE = "done"

    @property
    def final(self) -> bool:
        return self is not JobPhase.ACTIVE


class ZoneCondition(StrEnum):
    """Of a zone, as the leader judges it."""

    HEALTHY = "well"
    SUSPECT = "doubtful"
    LOST = "lost"
    RECOVERING = "returning"


class TaskPhase(StrEnum):
    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why a task exited."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    NO_ROOM = "no_room"
    BUSY = "busy"
    GANG_MEMBER_LOST = "peers"  # a task of its gang went away
    GANG_INCOMPLETE = "alone"  # its gang did not come together in time
    UNKNOWN = "unknown"
    OTHER = "other"


class Tier(IntEnum):
    """MEASY's tiers: background work runs in room promised to the reservation."""

    FOREGROUND = 0
    BACKGROUND = 1
