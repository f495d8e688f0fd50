"""A host in the ledger, and the attempts that are or may be on it."""

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
    Token,
    TypeName,
    Zone,
)

NEVER_HEARD = MonotonicTime(-1e9)  # earlier than any time of the clock


@dataclass(slots=True)
class Run:
    """One attempt on one host.

    Attributes:
        planned_at: when the start was planned, or when an adopted attempt was first reported.
        start_logged: whether the start is in the durable start log and may be commanded.
        adopted: whether another leader started it, so that its start time is unknown.
        reported: whether the worker has reported it.
        in_report_response: whether its start is in a report response that the worker may have
            received or may yet receive.
        unanswered_starts: number of direct calls with its start that were not answered, and
            may be carried out for the first time.
        image_cached: whether its image was on the host when the start was planned.
        running_at: when it was first reported as running.
        first_seen_late: whether that report came only after the worker had been silent.
        stop_grace_s: grace period of the requested stop; None if it is not to be stopped.
        duration_s: how long it ran, once it has exited; None if that is not known.
    """

    id: AttemptId
    host: HostId
    team: Team
    need: Resources
    image: Image
    image_gb: float
    planned_at: MonotonicTime
    service: bool = False
    start_logged: bool = False
    adopted: bool = False
    reported: bool = False
    in_report_response: bool = False
    unanswered_starts: int = 0
    phase: TaskPhase = TaskPhase.FETCHING
    image_cached: bool = False
    tier: Tier = Tier.FOREGROUND
    running_at: MonotonicTime | None = None
    first_seen_late: bool = False
    exit_reason: ExitReason | None = None
    stop_grace_s: Duration | None = None
    duration_s: Duration | None = None

    @property
    def occupies(self) -> bool:
        """Whether it takes up resources of its host and its team's limit."""
        return self.phase is not TaskPhase.EXITED

    def ran_s(self, now: MonotonicTime) -> float:
        """Seconds since it was first reported as running; 0 before that."""
        return 0.0 if self.running_at is None else now - self.running_at

    @property
    def in_doubt(self) -> bool:
        """Whether its start is in an unanswered direct call and may not have arrived yet.

        A start of an attempt that the worker has reported has no effect when it arrives again.
        """
        return self.unanswered_starts > 0 and not self.reported

    @property
    def unsent(self) -> bool:
        """Whether no worker can have carried out its start, so that it can be withdrawn."""
        return not (self.reported or self.in_report_response or self.unanswered_starts)


@dataclass(slots=True)
class Host:
    """A machine with its worker's session and the attempts that may be on it.

    Attributes:
        session: session of the last accepted report, and ``sequence`` its number in it.
        expired_session: newest session that is known to have ended; its reports are ignored.
        lease_renewed_at: latest time from which the worker lease can count; None if the worker
            was not heard from in this term.
        token: the leader's token for this worker. Calls with a lower one are void once the
            worker has seen it.
        start_called: whether a direct call with that token has carried a start.
        call_in_progress: whether a direct call with commands is under way.
        token_confirmed: whether the worker has seen a token of this leader, so that no older
            leader can renew its lease.
        session_known: whether the worker has reported under a token of this leader in its
            present session.
        fenced: whether all attempts that were on it are proved gone.
        up: whether the worker has reported and its lease is not known to have expired.
        boot_noted: whether its boot has been recorded as in time or late.
        draining: why no more tasks are started on it; None if they are.
        order: operators' order that takes it out of service.
        retained_by_order: whether that order keeps it rented even when nothing is on it.
        deleting: whether its deletion has been requested from the cloud.
        reclaim_at: when the cloud takes back a spot machine, once that is announced.
        images: last use of each image that it has, and the image's size in GB.
        heard_at: when the last report under a token of this leader was accepted, including
            answers to direct calls.
        is_reporting: whether the worker has sent a report in this session. Answers to direct
            calls do not count, as they do not renew its lease.
        reported_at: when the last such report came; in a session without any, when the session
            was first heard of.
        newest_report: session and sequence of the newest report under any token.
        idle_since: since when nothing occupies it.
        error_at: since when it is suspect because tasks failed on it; the fault may also lie
            with their jobs.
        quarantined_at: when it was quarantined because tasks fail on it.
        slowness: if its last measured task was slow, how many times as long it took as tasks of
            the same job elsewhere; otherwise 1.
        slow_results: number of consecutive slow results.
        recorded: whether its record is durable and no write is under way that would delete it.
        version: number of changes to what is on it; grows with every change.
    """

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
    lease_renewed_at: MonotonicTime | None = None
    token: Token = Token(0)
    start_called: bool = False
    call_in_progress: bool = False
    token_confirmed: bool = False
    session_known: bool = False
    fenced: bool = False
    up: bool = False
    boot_noted: bool = False
    draining: str | None = None
    order: OrderId | None = None
    retained_by_order: bool = False
    deleting: bool = False
    reclaim_at: MonotonicTime | None = None
    runs: dict[AttemptId, Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    images: dict[Image, tuple[MonotonicTime, float]] = field(default_factory=dict)
    heard_at: MonotonicTime = NEVER_HEARD
    is_reporting: bool = False
    reported_at: MonotonicTime = NEVER_HEARD
    newest_report: tuple[Session, Sequence] = (Session(0), Sequence(0))
    idle_since: MonotonicTime | None = None
    error_at: MonotonicTime | None = None
    quarantined_at: MonotonicTime | None = None
    slowness: float = 1.0
    slow_results: int = 0
    recorded: bool = False
    version: int = 0

    @property
    def free(self) -> Resources:
        """Resources that no attempt occupies."""
        return self.capacity.minus(self.used)

    @property
    def last_heard_at(self) -> MonotonicTime:
        """When its worker was last heard from, whichever token it had seen by then."""
        return max(
            self.heard_at,
            self.lease_renewed_at if self.lease_renewed_at is not None else NEVER_HEARD,
        )

    @property
    def busy(self) -> bool:
        """Whether any attempt is or may be on it."""
        return any(run.occupies for run in self.runs.values())


@dataclass(frozen=True, slots=True)
class AttemptExit:
    """An attempt that was reported as exited."""

    run: Run
    exit_reason: ExitReason
    saved: bool  # whether the worker has kept the task's progress


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """What a report changed in the ledger."""

    accepted: bool  # False if the report was ignored
    exits: tuple[AttemptExit, ...] = ()
    lost: tuple[Run, ...] = ()  # no longer on the host, without having been reported as exited
    adopted: tuple[Run, ...] = ()
    begun: tuple[Run, ...] = ()  # reported as running for the first time
    changed: bool = False  # whether the next scheduling round may be affected
