"""What may be on which machine. The ledger alone decides whether a start is allowed.

*Unknown means present*: an attempt that was commanded occupies its machine and its team's
limit until it is proved gone. The proofs are a newer report without it, a newer session, a
completed delete, and a worker lease that nobody can have renewed.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from dunehold.bookkeeping.records import JobRecord
from dunehold.bookkeeping.view import View
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.users import JobSpec
from dunehold.protocol.workers import Command, Forget, Report, Start, Stop, TaskReport
from dunehold.settings import TeamSettings
from dunehold.types import (
    NO_ROOM,
    Attempt,
    AttemptId,
    Duration,
    HostId,
    Image,
    JobId,
    JobPhase,
    Kind,
    MonotonicTime,
    Revision,
    Room,
    Sequence,
    Session,
    TaskId,
    TaskPhase,
    Team,
    Tier,
    Token,
    TypeName,
    Why,
    Zone,
)

log = logging.getLogger(__name__)

ATTEMPT_BITS = 32
DRIFT = 1.002  # two clocks that each run up to 0.05% fast, with room to spare
LEASE_MARGIN_S = 0.5


@dataclass(slots=True)
class Run:
    """One attempt on one machine."""

    id: AttemptId
    host: HostId
    team: Team
    need: Room
    image: Image
    planned_at: MonotonicTime
    service: bool = False
    seen: bool = False  # the worker has reported it
    in_reply: bool = False  # in a report response that may have been carried out
    unanswered: int = 0  # direct starts without an answer: they may still be carried out
    phase: TaskPhase = TaskPhase.FETCHING
    tier: Tier = Tier.FOREGROUND
    running_at: MonotonicTime | None = None
    why: Why | None = None
    stop_grace: Duration | None = None
    duration_s: Duration | None = None  # how long it ran, once it has exited

    @property
    def occupies(self) -> bool:
        return self.phase is not TaskPhase.EXITED

    @property
    def unsent(self) -> bool:
        """Nobody can have carried out its start: it can still be taken back."""
        return not (self.seen or self.in_reply or self.unanswered)


@dataclass(slots=True)
class Host:
    """A machine, its worker's session and what may be on it."""

    id: HostId
    type: TypeName
    zone: Zone
    spot: bool
    address: str
    created_at: MonotonicTime
    room: Room
    session: Session = Session(0)
    sequence: Sequence = Sequence(0)
    dead_session: Session = Session(0)
    fed_at: MonotonicTime | None = None  # the latest that its lease can count from
    confirmed: bool = False  # its worker has seen our token: no older leader can feed it
    known: bool = False  # has reported under our token, in its present session
    fenced: bool = False  # everything on it is proved gone
    up: bool = False
    draining: str | None = None
    deleting: bool = False
    notice_at: MonotonicTime | None = None
    runs: dict[AttemptId, Run] = field(default_factory=dict)
    used: Room = NO_ROOM
    images: dict[Image, MonotonicTime] = field(default_factory=dict)
    idle_since: MonotonicTime | None = None
    errors: int = 0
    error_at: MonotonicTime | None = None

    @property
    def free(self) -> Room:
        return self.room.minus(self.used)


@dataclass(frozen=True, slots=True)
class Exit:
    """An attempt that was seen to exit."""

    run: Run
    why: Why
    saved: bool


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a report changed."""

    accepted: bool
    exits: tuple[Exit, ...] = ()
    lost: tuple[Run, ...] = ()
    adopted: tuple[Run, ...] = ()
    changed: bool = False


IGNORED = Outcome(False)


@dataclass(slots=True)
class Ledger:
    """Machines, attempts and quota under one leader's token."""

    view: View
    token: Token
    took_over_at: MonotonicTime
    took_over: Revision  # jobs created later can't have been started by another leader
    teams: dict[Team, TeamSettings]
    types: dict[TypeName, MachineType]
    lease_s: Duration
    feed_limit_s: Duration  # how long a node feeds leases without proof of a current view
    hosts: dict[HostId, Host] = field(default_factory=dict)
    present: dict[TaskId, list[Run]] = field(default_factory=dict)
    by_job: dict[JobId, dict[TaskId, Zone]] = field(default_factory=dict)
    use: dict[Team, Room] = field(default_factory=dict)
    done: dict[JobId, set[int]] = field(default_factory=dict)  # reported, maybe not durable
    gone: set[HostId] = field(default_factory=set)
    _attempts: int = 0
    _gang_attempts: dict[JobId, Attempt] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for record in self.view.hosts.values():
            self.add_host(
                record.id,
                record.type,
                record.zone,
                record.spot,
                record.address,
                self.took_over_at,
            )

    # -- machines ------------------------------------------------------------------

    def add_host(
        self,
        host: HostId,
        type_name: TypeName,
        zone: Zone,
        spot: bool,
        address: str,
        now: MonotonicTime,
    ) -> Host:
        kind = self.types.get(type_name)
        room = kind.room if kind is not None else NO_ROOM
        entry = Host(host, type_name, zone, spot, address, now, room)
        self.hosts[host] = entry
        return entry

    def unknown_hosts(self) -> list[Host]:
        """Registered machines on which an earlier leader's tasks may still be."""
        return [
            host
            for host in self.hosts.values()
            if not host.known
            and not host.fenced
            and host.id in self.view.hosts
            and host.created_at == self.took_over_at
        ]

    def all_known(self) -> bool:
        return not self.unknown_hosts()

    def delete_completed(self, host_id: HostId) -> list[Run]:
        """The cloud has answered: the machine and everything on it are gone."""
        self.gone.add(host_id)
        host = self.hosts.pop(host_id, None)
        return [] if host is None else self._clear(host)

    def expire(self, now: MonotonicTime) -> list[Run]:
        """Clear machines whose worker lease nobody can have renewed."""
        lost: list[Run] = []
        for host in self.hosts.values():
            if host.fenced or not self._lease_over(host, now):
                continue
            if host.runs:
                log.info("host %s: lease over, %d attempts are gone", host.id, len(host.runs))
            host.fenced = True
            host.known = False
            host.up = False
            # Reports of this session may still arrive late; they tell of the past.
            host.dead_session = max(host.dead_session, host.session)
            lost.extend(self._clear(host))
        return lost

    def _lease_over(self, host: Host, now: MonotonicTime) -> bool:
        if host.fed_at is not None:
            # The lease counts from when the report was sent, which is before it came.
            if now <= host.fed_at + self.lease_s * DRIFT + LEASE_MARGIN_S:
                return False
            if host.confirmed:
                return True
        if host.created_at != self.took_over_at:
            return host.fed_at is not None
        # Its worker may not have seen our token: the leader before may have fed it until
        # it stopped for want of proof, and the lease counts from that report.
        bound = (self.feed_limit_s + self.lease_s) * DRIFT + 2 * LEASE_MARGIN_S
        return now > self.took_over_at + bound

    def _clear(self, host: Host) -> list[Run]:
        runs = list(host.runs.values())
        for run in runs:
            self._remove(host, run)
        return [run for run in runs if run.occupies]

    # -- reports -------------------------------------------------------------------

    def ingest(self, report: Report, now: MonotonicTime, direct: bool = False) -> Outcome:
        """Take in a report; only one that carries our token speaks of the present.

        A report with an older token may have been sent before commands of an earlier leader
        were carried out. One of a dead session, or not newer than the last one, was held up
        on its way.
        """
        host = self.hosts.get(report.host)
        if host is None or report.token != self.token:
            return IGNORED
        if report.session <= host.dead_session:
            return IGNORED
        if (report.session, report.sequence) <= (host.session, host.sequence):
            return IGNORED
        lost: list[Run] = []
        changed = not host.known
        if report.session > host.session:
            # The worker's lease ended in between: it killed and forgot all it had.
            lost = self._clear(host)
            changed = True
            # A session that is new to us began before this message came, and its lease
            # counts from then. A direct answer can be the first that we hear of it: what
            # was fed before belongs to the session before.
            host.fed_at = now
        host.session, host.sequence = report.session, report.sequence
        host.known = host.up = host.confirmed = True
        host.fenced = False
        host.address = report.address
        if report.notice_s is not None and host.notice_at is None:
            host.notice_at = MonotonicTime(now + report.notice_s)
            host.draining = host.draining or "spot notice"
            changed = True
        exits: list[Exit] = []
        adopted: list[Run] = []
        listed = set()
        for task in report.tasks:
            listed.add(task.id)
            if task.id not in host.runs:
                adopted.append(self._adopt(host, task, now))
            exit_ = self._ingest_task(host, task, now)
            if exit_ is not None:
                exits.append(exit_)
        for run in list(host.runs.values()):
            if run.id in listed:
                continue
            if not direct:
                # The worker reported again without it: it dropped that response for good.
                # The body of a direct answer proves no such thing, for it may have been
                # written while the response to the last report was still on its way.
                run.in_reply = False
            if run.seen or (run.unsent and run.stop_grace is not None):
                self._remove(host, run)
                if run.occupies:
                    lost.append(run)
        changed = changed or bool(exits) or bool(lost)
        if any(run.occupies for run in host.runs.values()):
            host.idle_since = None
        elif host.idle_since is None:
            host.idle_since = now
        return Outcome(True, tuple(exits), tuple(lost), tuple(adopted), changed)

    def _ingest_task(self, host: Host, task: TaskReport, now: MonotonicTime) -> Exit | None:
        run = host.runs[task.id]
        run.seen = True
        run.in_reply = False
        host.images[run.image] = now
        was = run.phase
        if was is TaskPhase.EXITED:
            return None
        run.phase = task.phase
        if task.phase is TaskPhase.RUNNING and run.running_at is None:
            run.running_at = now
        if task.phase is not TaskPhase.EXITED:
            return None
        if run.running_at is not None:
            run.duration_s = Duration(now - run.running_at)
        run.why = task.why
        self._release(host, run)
        why = task.why or Why.OTHER
        if why is Why.DONE and not run.service:
            self.done.setdefault(run.id.task.job, set()).add(run.id.task.number)
        return Exit(run, why, task.saved)

    def _adopt(self, host: Host, task: TaskReport, now: MonotonicTime) -> Run:
        """An attempt that another leader started."""
        record = self.view.jobs.get(task.id.task.job)
        spec = record.spec if record is not None else None
        team = spec.team if spec is not None else Team("")
        need = spec.need if spec is not None else NO_ROOM
        image = spec.image if spec is not None else Image("")
        service = spec is not None and spec.kind is Kind.SERVICE
        run = Run(task.id, host.id, team, need, image, now, service=service)
        self._occupy(host, run)
        return run

    # -- starts and stops ------------------------------------------------------------

    def refusal(
        self, record: JobRecord, task: TaskId, host: Host, now: MonotonicTime
    ) -> str | None:
        """Why this task may not be started on this machine now, or None."""
        spec = record.spec
        if spec is None or record.phase is not JobPhase.ACTIVE:
            return "job is over"
        if not 0 <= task.number < spec.tasks or self.is_done(record, task.number):
            return "task is done"
        if task in self.present:
            return "task may be on a machine"
        if not self.may_start_job(record):
            return "an earlier leader may have started it"
        if not host.known or host.draining is not None or host.deleting:
            return "machine is not usable"
        if host.id not in self.view.hosts:
            return "machine is not on record"
        if not host_allowed(spec, host.type, host.zone, host.spot):
            return "machine is not allowed"
        if not host.free.holds(spec.need):
            return "no room"
        if not self.team_allows(spec):
            return "team limit"
        zones = self.job_zones(spec.id)
        if spec.one_zone and zones and set(zones) != {host.zone}:
            return "job is in another zone"
        if spec.spread and zones.get(host.zone, 0) + 1 > (spec.tasks + 1) // 2:
            return "too many in the zone"
        return None

    def may_start_job(self, record: JobRecord) -> bool:
        """False while an earlier leader's start of it may be somewhere unseen.

        A job's version is that of its acceptance until it is over. The old leader applies
        changes in order, so it sees its own end before any job accepted after it.
        """
        return record.version > self.took_over or self.all_known()

    def team_use(self, team: Team) -> Room:
        return self.use.get(team, NO_ROOM)

    def team_allows(self, spec: JobSpec, more: Room = NO_ROOM) -> bool:
        team = self.teams.get(spec.team)
        if team is None:
            return False
        use = self.team_use(spec.team).plus(spec.need).plus(more)
        if team.limit_cpus is not None or team.limit_gpus is not None:
            # What machines that have not answered yet hold may all be this team's.
            for host in self.unknown_hosts():
                use = use.plus(host.room)
        return team.allows(use)

    def is_done(self, record: JobRecord, index: int) -> bool:
        return record.done(index) or index in self.done.get(record.id, ())

    def job_zones(self, job: JobId) -> dict[Zone, int]:
        zones: dict[Zone, int] = {}
        for zone in self.by_job.get(job, {}).values():
            zones[zone] = zones.get(zone, 0) + 1
        return zones

    def plan_start(
        self, record: JobRecord, task: TaskId, host: Host, tier: Tier, now: MonotonicTime
    ) -> Run | str:
        reason = self.refusal(record, task, host, now)
        if reason is not None:
            return reason
        spec = record.spec
        assert spec is not None
        attempt = self._next_attempt(spec)
        run = Run(
            AttemptId(task, attempt),
            host.id,
            spec.team,
            spec.need,
            spec.image,
            now,
            service=spec.kind is Kind.SERVICE,
            tier=tier,
        )
        self._occupy(host, run)
        host.idle_since = None
        return run

    def _next_attempt(self, spec: JobSpec) -> Attempt:
        """The token in the upper half: no attempt number is reused, by any leader.

        The tasks of a gang that start together share theirs: by it they find one another.
        """
        if spec.kind is Kind.GANG and spec.id in self.by_job:
            shared = self._gang_attempts.get(spec.id)
            if shared is not None:
                return shared
        self._attempts += 1
        attempt = Attempt(self.token << ATTEMPT_BITS | self._attempts)
        if spec.kind is Kind.GANG:
            self._gang_attempts[spec.id] = attempt
        return attempt

    def withdraw(self, run: Run) -> bool:
        """Take back a start that was never sent."""
        host = self.hosts.get(run.host)
        if host is None or not run.unsent:
            return False
        self._remove(host, run)
        return True

    def stop(self, run: Run, grace_s: Duration) -> None:
        if (
            run.occupies
            and not self.withdraw(run)
            and (run.stop_grace is None or grace_s < run.stop_grace)
        ):
            run.stop_grace = grace_s

    def commands(self, host: Host, direct: bool, starts: bool) -> list[Command]:
        """What the worker should do now, for a report's response or a direct call.

        Without ``starts``, nothing is started that can't have been started already.
        """
        out: list[Command] = []
        for run in list(host.runs.values()):
            if run.phase is TaskPhase.EXITED:
                if self._may_forget(run) and not direct:
                    out.append(Forget(run.id))
                continue
            if self._unwanted(run):
                self.stop(run, Duration(0.0))
                if run.id not in host.runs:
                    continue  # it was never sent
            if run.unsent and not starts:
                continue
            if not run.seen:
                # A start that may still come late is made known before it is stopped, so
                # that the stop ends that attempt for good.
                out.append(Start(run.id))
                if direct:
                    run.unanswered += 1
                else:
                    run.in_reply = True
            if run.stop_grace is not None:
                out.append(Stop(run.id, run.stop_grace))
        return out

    def has_direct(self, host: Host) -> bool:
        """Is there anything that shouldn't wait for the worker's next report?"""
        return any(
            run.occupies
            and (
                run.unsent or (run.stop_grace is not None and run.phase is not TaskPhase.SAVING)
            )
            for run in host.runs.values()
        )

    def answered(self, host: Host, starts: Iterable[AttemptId]) -> None:
        """A direct call was answered: its starts can't come any later."""
        for attempt in starts:
            run = host.runs.get(attempt)
            if run is not None and run.unanswered:
                run.unanswered -= 1

    def _unwanted(self, run: Run) -> bool:
        record = self.view.jobs.get(run.id.task.job)
        if record is None or record.phase is not JobPhase.ACTIVE or record.spec is None:
            return True
        index = run.id.task.number
        if index >= record.spec.tasks or self.is_done(record, index):
            return True
        others = self.present.get(run.id.task, [])
        return len(others) > 1 and run.id.attempt != min(r.id.attempt for r in others)

    def _may_forget(self, run: Run) -> bool:
        # After it, a start that arrives late would run the attempt again.
        if run.unanswered:
            return False
        if run.why is not Why.DONE or run.service:
            return True
        # The report is the only trace of the result until its mark is durable.
        record = self.view.jobs.get(run.id.task.job)
        if record is None or record.phase is not JobPhase.ACTIVE:
            return True
        return record.done(run.id.task.number) or (
            record.spec is not None and run.id.task.number >= record.spec.tasks
        )

    # -- sums ----------------------------------------------------------------------

    def _occupy(self, host: Host, run: Run) -> None:
        host.runs[run.id] = run
        host.used = host.used.plus(run.need)
        self.use[run.team] = self.team_use(run.team).plus(run.need)
        self.present.setdefault(run.id.task, []).append(run)
        self.by_job.setdefault(run.id.task.job, {})[run.id.task] = host.zone

    def _release(self, host: Host, run: Run) -> None:
        """The attempt takes no room any more, though the worker may still report it."""
        host.used = host.used.minus(run.need)
        self.use[run.team] = self.team_use(run.team).minus(run.need)
        task = run.id.task
        others = [other for other in self.present.get(task, []) if other.id != run.id]
        if others:
            self.present[task] = others
            return
        self.present.pop(task, None)
        tasks = self.by_job.get(task.job)
        if tasks is not None:
            tasks.pop(task, None)
            if not tasks:
                del self.by_job[task.job]

    def _remove(self, host: Host, run: Run) -> None:
        if host.runs.pop(run.id, None) is not None and run.occupies:
            self._release(host, run)


def host_allowed(spec: JobSpec, type_name: TypeName, zone: Zone, spot: bool) -> bool:
    if spec.types is not None and type_name not in spec.types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot
