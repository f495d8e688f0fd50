"""Types for ids, versions, times, resources and the states of jobs, tasks and zones."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
HostId = NewType("HostId", str)  # a machine with its worker
NodeId = NewType("NodeId", str)  # a controller
RentalId = NewType("RentalId", str)  # a request to rent machines
OrderId = NewType("OrderId", str)  # an operators' maintenance order
Team = NewType("Team", str)
Zone = NewType("Zone", str)
TypeName = NewType("TypeName", str)  # a machine type
Image = NewType("Image", str)

Token = NewType("Token", int)  # fencing token: the highest one may command the workers
Attempt = NewType("Attempt", int)  # number of an attempt to run a task; never reused
Session = NewType("Session", int)  # number of a worker's session, which ends with its lease
Sequence = NewType("Sequence", int)  # number of a worker's message within its session
Revision = NewType("Revision", int)  # of a key, or of the whole state service
LeaseId = NewType("LeaseId", int)  # a lease of the state service

MonotonicTime = NewType("MonotonicTime", float)  # steady clock of this process, seconds
# Time of day, seconds since the epoch; off by at most the clock error of the settings.
WallTime = NewType("WallTime", float)
Duration = NewType("Duration", float)  # seconds


class TaskId(NamedTuple):
    """Task ``number`` of ``job``, counted from 0."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


class AttemptId(NamedTuple):
    """One attempt to run a task."""

    task: TaskId
    attempt: Attempt

    def __str__(self) -> str:
        return f"{self.task}#{self.attempt}"


class Resources(NamedTuple):
    """Resources that a task needs, or that a machine or a team has. Amounts may be infinite."""

    cpus: float
    gpus: float
    memory_gb: float

    def plus(self, other: Resources) -> Resources:
        """Returns the sum of both, per resource."""
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def minus(self, other: Resources) -> Resources:
        """Returns what is left without ``other``; an amount may be negative."""
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def times(self, number: int) -> Resources:
        """Returns the resources for ``number`` such needs."""
        return Resources(self.cpus * number, self.gpus * number, self.memory_gb * number)

    def holds(self, need: Resources) -> bool:
        """Tells whether ``need`` fits, apart from rounding errors."""
        return (
            need.cpus <= self.cpus + EPSILON
            and need.gpus <= self.gpus + EPSILON
            and need.memory_gb <= self.memory_gb + EPSILON
        )

    def count_fitting(self, need: Resources) -> int:
        """How many times ``need`` fits, at most UNBOUNDED."""
        fits = [
            int(min((have + EPSILON) / want, UNBOUNDED))  # amounts may be infinite
            for have, want in zip(self, need, strict=True)
            if want > EPSILON
        ]
        return max(0, min(fits)) if fits else UNBOUNDED


EPSILON = 1e-6  # tolerance for rounding errors: vCPUs, GPUs or GB
UNBOUNDED = 1_000_000  # tasks; stands for any number
NO_RESOURCES = Resources(0.0, 0.0, 0.0)


class Rank(IntEnum):
    """Priority of a job; the highest number goes first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    PRODUCTION = 3


class JobKind(StrEnum):
    """How the tasks of a job relate to each other."""

    ARRAY = "array"  # tasks run independently
    GANG = "gang"  # all tasks run at the same time, or none
    SERVICE = "service"  # replicas that run until the job is cancelled


class JobPhase(StrEnum):
    """The durable state of a job. Whether it is running at the moment is not part of it."""

    ACTIVE = "active"
    CANCELLED = "cancelled"
    DONE = "done"

    @property
    def final(self) -> bool:
        """Whether the job has ended, so that its state changes no more."""
        return self is not JobPhase.ACTIVE


class ZoneCondition(StrEnum):
    """The condition of a zone, as the leader judges it."""

    HEALTHY = "well"
    SUSPECT = "doubtful"
    LOST = "lost"
    RECOVERING = "returning"


class TaskPhase(StrEnum):
    """What a worker does with a task."""

    FETCHING = "fetching"  # fetches the image
    WAITING = "waiting"  # waits for the other tasks of the gang
    RUNNING = "running"
    SAVING = "saving"  # saves the state of a task that is being stopped
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why a task exited."""

    DONE = "done"
    STOPPED = "stopped"  # by a command
    ERROR = "error"
    NO_ROOM = "no_room"  # it does not fit on the machine
    BUSY = "busy"  # another attempt of the same task is still on the machine
    GANG_MEMBER_LOST = "peers"  # another task of its gang was lost
    GANG_INCOMPLETE = "alone"  # not all tasks of its gang were ready in time
    UNKNOWN = "unknown"  # the worker has no description of the job
    OTHER = "other"  # a reason that this version does not know


class Tier(IntEnum):
    """Tiers of MEASY, the scheduling policy.

    Background tasks run on resources that are reserved for another job.
    """

    FOREGROUND = 0
    BACKGROUND = 1
