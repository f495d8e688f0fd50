"""A machine on the books, and the attempts that are or may be on it."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.types import (
    NO_RESOURCES,
    AttemptId,
    Duration,
    ExitReason,
    HostId,
    Image,
    MonotonicTime,
    OrderId,
    Resources,
    Sequence,
    Session,
    TaskPhase,
    Team,
    Tier,
    TypeName,
    Zone,
)

NEVER_HEARD = MonotonicTime(-1e9)


@dataclass(slots=True)
class Run:
    """One attempt on one machine."""

    id: AttemptId
    host: HostId
    team: Team
    need: Resources
    image: Image
    image_gb: float
    planned_at: MonotonicTime
    service: bool = False
    start_logged: bool = False  # in the durable log of starts: it may be commanded
    adopted: bool = False  # from another leader: when it began is not known
    reported: bool = False  # the worker has reported it
    in_report_response: bool = False  # in a report response that may have been carried out
    unanswered_starts: int = 0  # direct starts without an answer: they may still be carried out
    phase: TaskPhase = TaskPhase.FETCHING
    image_cached: bool = False  # its image was on the machine when the start was planned
    tier: Tier = Tier.FOREGROUND
    running_at: MonotonicTime | None = None
    first_seen_late: bool = False  # seen to run only after a silence
    exit_reason: ExitReason | None = None
    stop_grace_s: Duration | None = None
    duration_s: Duration | None = None  # how long it ran, once it has exited

    @property
    def occupies(self) -> bool:
        return self.phase is not TaskPhase.EXITED

    def ran_s(self, now: MonotonicTime) -> float:
        """How long it has been seen to run; 0 before that."""
        return 0.0 if self.running_at is None else now - self.running_at

    @property
    def unsent(self) -> bool:
        """Nobody can have carried out its start: it can still be taken back."""
        return not (self.reported or self.in_report_response or self.unanswered_starts)


@dataclass(slots=True)
class Host:
    """A machine, its worker's session and what may be on it."""

    id: HostId
    type: TypeName
    zone: Zone
    spot: bool
    address: str
    created_at: MonotonicTime
    capacity: Resources
    session: Session = Session(0)
    sequence: Sequence = Sequence(0)
    expired_session: Session = Session(0)
    lease_renewed_at: MonotonicTime | None = None  # the latest that its lease can count from
    token_confirmed: bool = False  # its worker has seen our token: no older leader can feed it
    session_known: bool = False  # has reported under our token, in its present session
    fenced: bool = False  # everything on it is proved gone
    up: bool = False
    boot_noted: bool = False  # that it came up in time, or did not
    draining: str | None = None
    order: OrderId | None = None  # of operators, by which it runs empty
    retained_by_order: bool = False  # stays rented by it, though nothing is on it
    deleting: bool = False
    reclaim_at: MonotonicTime | None = None
    runs: dict[AttemptId, Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    images: dict[Image, tuple[MonotonicTime, float]] = field(default_factory=dict)  # use, GB
    heard_at: MonotonicTime = NEVER_HEARD  # when its worker was heard of last
    # Its answers to direct calls renew no lease: only what reports, in this session, lives on.
    is_reporting: bool = False
    reported_at: MonotonicTime = NEVER_HEARD  # or when a session that doesn't was first heard
    newest_report: tuple[Session, Sequence] = (
        Session(0),
        Sequence(0),
    )  # of its reports, any token
    idle_since: MonotonicTime | None = None
    error_at: MonotonicTime | None = None  # a task failed: its job, or this machine
    quarantined_at: MonotonicTime | None = None
    slowness: float = 1.0  # by its last results, where others ran tasks of the same job
    slow_results: int = 0  # in a row
    recorded: bool = False  # durable, and nothing under way that would undo it
    version: int = 0  # counts every change of what is on it

    @property
    def free(self) -> Resources:
        return self.capacity.minus(self.used)

    @property
    def last_heard_at(self) -> MonotonicTime:
        """When its worker was heard of last, whichever token it had seen by then."""
        return max(
            self.heard_at,
            self.lease_renewed_at if self.lease_renewed_at is not None else NEVER_HEARD,
        )

    @property
    def busy(self) -> bool:
        """Something is on it, or may be."""
        return any(run.occupies for run in self.runs.values())


@dataclass(frozen=True, slots=True)
class AttemptExit:
    """An attempt that was seen to exit."""

    run: Run
    exit_reason: ExitReason
    saved: bool


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """What a report changed."""

    accepted: bool
    exits: tuple[AttemptExit, ...] = ()
    lost: tuple[Run, ...] = ()
    adopted: tuple[Run, ...] = ()
    begun: tuple[Run, ...] = ()  # seen to run for the first time
    changed: bool = False
