"""The snapshot that the scheduler reads and the decisions that it returns.

Moments are on one clock whose time the snapshot states; the scheduler has no clock.

Machines and runs are pictured once and used by many plans while nothing about them changes,
so a plan never writes to them: it copies a machine before it puts anything there.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from dunehold.types import (
    AttemptId,
    HostId,
    Image,
    JobId,
    Rank,
    Resources,
    TaskId,
    Team,
    Tier,
    TypeName,
    Zone,
)

MAX_CACHED_NEEDS = 16  # remembered of a machine

MachineKind = tuple[TypeName, bool]  # a type, spot or not


@dataclass(frozen=True, slots=True)
class RunState:
    """A task on a machine."""

    id: AttemptId
    need: Resources
    ends_at: float  # estimated
    began_at: float  # what is lost if it is stopped counts from here
    tier: Tier
    rank: Rank
    team: Team
    stopping: bool = False
    gang: bool = False  # its whole gang would lose what it did
    resumable: bool = False  # can go on elsewhere from where it is stopped


@dataclass(slots=True)
class HostState:
    id: HostId
    type: TypeName
    zone: Zone
    spot: bool
    total: Resources
    free: Resources
    images: frozenset[Image]
    fetch_gb_per_s: float
    runs: tuple[RunState, ...] = ()
    ready_at: float = 0.0  # later than the snapshot: still booting
    penalty_s: float = 0.0  # for machines under suspicion
    slowness: float = 1.0  # times that a task takes there what it takes elsewhere
    fetching_images: frozenset[Image] = frozenset()  # these share its rate
    out_of_service_at: float = (
        math.inf
    )  # out of service from then on: nothing is begun that lasts longer
    has_background: bool = False  # some run is in the background tier
    first_foreground_end_at: float = 0.0  # no foreground run ends before it
    lowest_rank: Rank = Rank.PRODUCTION  # of the runs on it
    # When room for a need frees up there, one moment a task. Kept from plan to plan, for as
    # long as the machine is pictured alike; a copy begins without.
    _free_slot_times: dict[Resources, list[float]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        self._summarise()

    def _summarise(self) -> None:
        self.has_background = any(run.tier is Tier.BACKGROUND for run in self.runs)
        self.lowest_rank = min((run.rank for run in self.runs), default=Rank.PRODUCTION)
        self.first_foreground_end_at = min(
            (run.ends_at for run in self.runs if run.tier is Tier.FOREGROUND or run.stopping),
            default=0.0,
        )

    def copy(self) -> HostState:
        return replace(self)

    def free_slot_times(self, need: Resources) -> list[float]:
        """When room for each further such task is there, on the snapshot's clock; what fits
        already counts from when the machine is ready."""
        found = self._free_slot_times.get(need)
        if found is None:
            free = self.free
            fits = free.count_fitting(need)
            found = [self.ready_at] * fits
            for run in sorted(self.runs, key=lambda r: r.ends_at):
                free = free.plus(run.need)
                more = free.count_fitting(need) - fits
                if more > 0:
                    found.extend([max(self.ready_at, run.ends_at)] * more)
                    fits += more
            if len(self._free_slot_times) >= MAX_CACHED_NEEDS:
                self._free_slot_times.clear()  # an idle machine is asked for each new job
            self._free_slot_times[need] = found
        return found

    def add_run(self, run: RunState, image: Image) -> None:
        self._free_slot_times.clear()
        self.free = self.free.minus(run.need)
        if image not in self.images:
            self.images |= {image}
            self.fetching_images |= {image}
        self.runs += (run,)
        self.lowest_rank = min(self.lowest_rank, run.rank)
        if run.tier is Tier.BACKGROUND:
            self.has_background = True
        elif len(self.runs) == 1 or run.ends_at < self.first_foreground_end_at:
            self.first_foreground_end_at = run.ends_at

    def replace_run(self, old: RunState, new: RunState) -> None:
        self._free_slot_times.clear()
        self.runs = tuple(new if run is old else run for run in self.runs)
        self._summarise()


@dataclass(slots=True)
class Entry:
    """The waiting tasks of a job, each an entry of the list, all alike."""

    job: JobId
    team: Team
    need: Resources
    rank: Rank
    order: tuple[float, ...]
    waiting: list[int]
    run_s: float  # estimated, without the image fetch
    image: Image
    image_gb: float
    allowed: Callable[[HostState], bool]
    service: bool = False
    gang: bool = False  # all waiting tasks start together or none does
    urgency: int = 0  # within its rank; lower goes first
    guaranteed: bool = False
    broken: bool = False  # failed on every machine so far: tried, but no room is held for it
    avoided_hosts: frozenset[HostId] = frozenset()  # a task of it failed there
    slack_s: float = 1e9  # how long it can wait without missing an aim
    zone_limit: int | None = None  # most tasks in a zone
    one_zone: bool = False
    tasks_by_zone: dict[Zone, int] = field(default_factory=dict)
    team_slots: int = 1_000_000  # how many more its team's limit allows

    @property
    def occupancy_s(self) -> float:
        """How long a task of it keeps its room: a service's until somebody ends it."""
        return math.inf if self.service else self.run_s


@dataclass(slots=True)
class Reservation:
    """Room held for the head of the list."""

    job: JobId
    host: HostId
    need: Resources
    shadow_at: float


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
    team_room: dict[Team, Resources] = field(
        default_factory=dict
    )  # left of limits; absent: any
    previous_reservations: list[Reservation] = field(default_factory=list)  # of the plan before
    now: float = 0.0
    scarcity: dict[MachineKind, float] = field(default_factory=dict)  # other work needs it
    reserve_cpus: float = 0.0  # that work of the lowest rank leaves free
    find_borrowed_runs: Callable[[], set[AttemptId]] = (
        set  # runs beyond their teams' guarantees
    )
    protected_teams: frozenset[Team] = frozenset()  # nothing of theirs may be stopped just now


@dataclass(frozen=True, slots=True)
class Policy:
    """Which parts are on; all of them unless somebody compares."""

    reservations: int = 1
    backfill: bool = True
    background: bool = True
    lifting: bool = True
    preemption: bool = True
    max_moves: int = 4
    max_stops: int = 400
    max_preemptors: int = 40  # entries a plan that room may be cleared for


@dataclass(slots=True)
class Plan:
    starts: list[Start] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    promotions: list[AttemptId] = field(default_factory=list)
    reservations: list[Reservation] = field(default_factory=list)
