"""The snapshot that the scheduler reads and the decisions that it returns.

All times are in seconds on one clock, whose current time is part of the snapshot. The
scheduler reads no clock itself.

The states of hosts and runs are built once and shared by many plans for as long as they stay
unchanged. A plan therefore never modifies them: it copies a host before it places anything on
it.
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

MAX_CACHED_NEEDS = 16  # needs whose free slot times are cached for each host

MachineKind = tuple[TypeName, bool]  # a machine type, and whether it is a spot machine


@dataclass(frozen=True, slots=True)
class RunState:
    """A task on a host."""

    id: AttemptId
    need: Resources
    ends_at: float  # estimated
    began_at: float  # the work done since then is lost if the run is stopped without a save
    tier: Tier
    rank: Rank
    team: Team
    stopping: bool = False
    gang: bool = False  # a stop of this run would lose the work of its whole gang
    resumable: bool = False  # can be stopped with a save and continue on another host


@dataclass(slots=True)
class HostState:
    """A host and the runs on it, as the plans see it."""

    id: HostId
    type: TypeName
    zone: Zone
    spot: bool
    total: Resources
    free: Resources
    images: frozenset[Image]
    fetch_gb_per_s: float
    runs: tuple[RunState, ...] = ()
    ready_at: float = 0.0  # later than the time of the snapshot while the host boots
    penalty_s: float = 0.0  # added to the cost of a start on a host under suspicion
    slowness: float = 1.0  # run time of a task on this host divided by that on other hosts
    fetching_images: frozenset[Image] = frozenset()  # these share the fetch rate
    # Out of service from then on: no task is started that would run longer.
    out_of_service_at: float = math.inf
    has_background: bool = False  # some run is in the background tier
    first_foreground_end_at: float = 0.0  # no foreground run ends before it
    lowest_rank: Rank = Rank.PRODUCTION  # of the runs on the host
    # For each need, the times at which room for one more such task becomes free. The cache is
    # kept from plan to plan as long as this state is reused; a copy starts with an empty one.
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
        """Returns a copy that can be modified without any effect on this state."""
        return replace(self)

    def free_slot_times(self, need: Resources) -> list[float]:
        """Returns the times at which room for each further task with this need is free.

        Room that is free already counts from ``ready_at``.
        """
        times = self._free_slot_times.get(need)
        if times is None:
            free = self.free
            fits = free.count_fitting(need)
            times = [self.ready_at] * fits
            for run in sorted(self.runs, key=lambda r: r.ends_at):
                free = free.plus(run.need)
                more = free.count_fitting(need) - fits
                if more > 0:
                    times.extend([max(self.ready_at, run.ends_at)] * more)
                    fits += more
            if len(self._free_slot_times) >= MAX_CACHED_NEEDS:
                # The state of an idle host is reused for long, and every new job asks for the
                # slot times of its own need.
                self._free_slot_times.clear()
            self._free_slot_times[need] = times
        return times

    def add_run(self, run: RunState, image: Image) -> None:
        """Places a run on the host; its image counts as being fetched unless it is there."""
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
        """Replaces a run by another state of it; the room that it takes must be the same."""
        self._free_slot_times.clear()
        self.runs = tuple(new if run is old else run for run in self.runs)
        self._summarise()


@dataclass(slots=True)
class Entry:
    """The waiting tasks of one job.

    All of them have the same needs. In the scheduler's list each of them counts as an entry of
    its own.
    """

    job: JobId
    team: Team
    need: Resources  # of each task
    rank: Rank
    order: tuple[float, ...]  # sort key among entries of equal rank, urgency and guarantee
    waiting: list[int]  # numbers of the tasks
    run_s: float  # estimated, without the image fetch
    image: Image
    image_gb: float
    allowed: Callable[[HostState], bool]  # whether the job may use hosts like this one
    service: bool = False
    gang: bool = False  # all waiting tasks start together or none does
    urgency: int = 0  # within its rank; lower goes first
    guaranteed: bool = False  # lies within the guarantee of its team
    # The job has failed on every host so far. It is tried, but no room is reserved for it.
    broken: bool = False
    avoided_hosts: frozenset[HostId] = frozenset()  # a task of the job failed there
    slack_s: float = 1e9  # how long it can wait without missing an objective
    zone_limit: int | None = None  # most tasks in a zone
    one_zone: bool = False  # all tasks of the job must be in the same zone
    tasks_by_zone: dict[Zone, int] = field(default_factory=dict)
    team_slots: int = 1_000_000  # how many more tasks the limit of its team allows

    @property
    def occupancy_s(self) -> float:
        """How long a task keeps its room: a service keeps it until it is ended."""
        return math.inf if self.service else self.run_s


@dataclass(slots=True)
class Reservation:
    """Room on a host that is reserved for the head of the list."""

    job: JobId
    host: HostId
    need: Resources
    shadow_at: float  # when the room is expected to be free


@dataclass(slots=True)
class Start:
    """A decision to start a task."""

    task: TaskId
    host: HostId
    tier: Tier


@dataclass(slots=True)
class Stop:
    """A decision to stop a run."""

    attempt: AttemptId
    host: HostId
    save: bool  # the run saves its work first
    reason: str


@dataclass(slots=True)
class Snapshot:
    """Everything that a plan depends on."""

    hosts: list[HostState]
    entries: list[Entry]
    # What the limits of the teams leave; a team that is missing here has no limit.
    team_room: dict[Team, Resources] = field(default_factory=dict)
    previous_reservations: list[Reservation] = field(default_factory=list)  # of the last plan
    now: float = 0.0
    # 0 to 1: how much of the room of each kind is wanted by work that fits few other kinds.
    scarcity: dict[MachineKind, float] = field(default_factory=dict)
    reserve_cpus: float = 0.0  # CPUs that work of the lowest rank leaves free
    # Returns the runs beyond the guarantees of their teams.
    find_borrowed_runs: Callable[[], set[AttemptId]] = set
    protected_teams: frozenset[Team] = frozenset()  # none of their runs may be stopped now


@dataclass(frozen=True, slots=True)
class Policy:
    """Which parts of the scheduler are enabled, and limits of one plan.

    All parts are enabled by default; switching some off allows comparisons.
    """

    reservations: int = 1  # reservations are added while fewer hosts than this have one
    backfill: bool = True
    background: bool = True
    lifting: bool = True  # background runs are promoted to the foreground
    preemption: bool = True
    max_moves: int = 4  # background runs stopped in order to continue on another host
    max_stops: int = 400  # runs stopped to make room
    max_preemptors: int = 40  # entries that room may be cleared for


@dataclass(slots=True)
class Plan:
    """The decisions of one run of the scheduler."""

    starts: list[Start] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    promotions: list[AttemptId] = field(default_factory=list)  # from background to foreground
    reservations: list[Reservation] = field(default_factory=list)
