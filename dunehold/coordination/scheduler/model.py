"""The snapshot that the scheduler reads and the decisions that it returns.

All times are seconds from the moment of the snapshot; the scheduler has no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from dunehold.types import (
    AttemptId,
    HostId,
    Image,
    JobId,
    Rank,
    Room,
    TaskId,
    Team,
    Tier,
    TypeName,
    Zone,
)


@dataclass(slots=True)
class RunState:
    """A task on a machine."""

    id: AttemptId
    need: Room
    ends_s: float  # estimated
    ran_s: float
    tier: Tier
    rank: Rank
    team: Team
    borrowed: bool = False  # beyond its team's guarantee
    stopping: bool = False
    gang: bool = False  # its whole gang would lose what it did
    saves: bool = False  # can go on elsewhere from where it is stopped


@dataclass(slots=True)
class HostState:
    id: HostId
    type: TypeName
    zone: Zone
    spot: bool
    total: Room
    free: Room
    images: frozenset[Image]
    fetch_gb_per_s: float
    runs: list[RunState] = field(default_factory=list)
    ready_s: float = 0.0  # more than 0: still booting
    scarcity: float = 0.0  # how much bigger work depends on this kind of machine
    penalty_s: float = 0.0  # for machines under suspicion


@dataclass(slots=True)
class Entry:
    """The waiting tasks of a job, each an entry of the list, all alike."""

    job: JobId
    team: Team
    need: Room
    rank: Rank
    order: tuple[float, ...]
    waiting: list[int]
    run_s: float  # estimated, without the image fetch
    image: Image
    image_gb: float
    allowed: Callable[[HostState], bool]
    service: bool = False
    gang: bool = False  # all waiting tasks start together or none does
    guaranteed: bool = False
    patience_s: float = 1e9  # how long it can wait without missing an aim
    zone_limit: int | None = None  # most tasks in a zone
    one_zone: bool = False
    zones: dict[Zone, int] = field(default_factory=dict)
    team_slots: int = 1_000_000  # how many more its team's limit allows


@dataclass(slots=True)
class Reservation:
    """Room held for the head of the list."""

    job: JobId
    host: HostId
    need: Room
    shadow_s: float


@dataclass(slots=True)
class Start:
    task: TaskId
    host: HostId
    tier: Tier


@dataclass(slots=True)
class Stop:
    attempt: AttemptId
    host: HostId
    save: bool
    reason: str


@dataclass(slots=True)
class Snapshot:
    hosts: list[HostState]
    entries: list[Entry]
    team_room: dict[Team, Room] = field(default_factory=dict)  # left of limits; absent: any
    held: list[Reservation] = field(default_factory=list)  # of the plan before


@dataclass(frozen=True, slots=True)
class Policy:
    """Which parts are on; all of them unless somebody compares."""

    reservations: int = 1
    backfill: bool = True
    background: bool = True
    lifting: bool = True
    preemption: bool = True
    moves: int = 4
    stops: int = 8


@dataclass(slots=True)
class Plan:
    starts: list[Start] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    lifts: list[AttemptId] = field(default_factory=list)
    reservations: list[Reservation] = field(default_factory=list)
