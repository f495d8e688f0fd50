"""What may be on which machine. The ledger alone decides whether a start is allowed.

*Unknown means present*: an attempt that was commanded occupies its machine and its team's
limit until it is proved gone. The proofs are a newer report without it, a newer session, a
completed delete, and a worker lease that nobody can have renewed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from dunehold.bookkeeping.hosts import Exit, Host, Outcome, Run
from dunehold.bookkeeping.records import JobRecord
from dunehold.bookkeeping.unseen import Unseen
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
    OrderId,
    Room,
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
TIMELY_SHARE = 1 / 3  # of a lease: longer without a report, and times mean little
RELAY_S = 2.5  # a node feeds for another by proofs that are at most 2 s old


IGNORED = Outcome(False)


@dataclass(slots=True)
class Ledger:
    """Machines, attempts and quota under one leader's token."""

    view: View
    token: Token
    took_over_at: MonotonicTime
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
    unseen: Unseen = field(default_factory=Unseen)  # what earlier leaders may have left
    # The order by which a machine is out of service, as the view has it at this moment.
    closed: Callable[[Host], OrderId | None] = lambda host: None
    relayed: dict[Zone, MonotonicTime] = field(default_factory=dict)  # fed till then at most
    _relay_changes: dict[Zone, int] = field(default_factory=dict)
    _zones: dict[JobId, dict[Zone, int]] = field(default_factory=dict)
    released: list[TaskId] = field(default_factory=list)  # no more among them, to be placed
    lost_mute: int = 0  # attempts lost with leases of machines that only direct calls reached
    _attempts: int = 0
    _gang_attempts: dict[JobId, Attempt] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.note_relays(self.took_over_at)
        for record in self.view.hosts.values():
            host = self.add_host(
                record.id,
                record.type,
                record.zone,
                record.spot,
                "",
                self.took_over_at,
            )
            host.recorded = True
            self.unseen.add(record.id, host.room)
        for placed in self.view.starts.values():
            self.unseen.place(placed, self.view.jobs)

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
        return [self.hosts[host] for host in self.unseen.hosts]

    def all_known(self) -> bool:
        return not self.unseen.hosts

    def _settled(self, host: Host) -> None:
        """Nothing of an earlier leader can be on it unseen any more."""
        self.released += self.unseen.settle(host.id)

    def delete_completed(self, host_id: HostId) -> list[Run]:
        """The cloud has answered: the machine and everything on it are gone."""
        self.gone.add(host_id)
        host = self.hosts.get(host_id)
        if host is None:
            return []
        self._settled(host)
        del self.hosts[host_id]
        return self._clear(host)

    def note_relays(self, now: MonotonicTime) -> None:
        """Nodes of a cut-off zone may feed its workers, for as long as a proof lasts after
        their key has gone; a key that came and went counts as well."""
        changes = dict(self.view.relay_changes)
        for record in self.view.relays.values():
            self.relayed[record.zone] = MonotonicTime(now + RELAY_S)
        for zone, count in changes.items():
            if self._relay_changes.get(zone, 0) != count:
                self.relayed[zone] = MonotonicTime(now + RELAY_S)
        self._relay_changes = changes

    def expire(self, now: MonotonicTime) -> list[Run]:
        """Clear machines whose worker lease nobody can have renewed.

        ``now`` must be a moment of which the view is proved: a node that fed workers of a
        cut-off zone before it has its key there.
        """
        lost: list[Run] = []
        for host in self.hosts.values():
            if host.fenced or not self._lease_over(host, now):
                continue
            if host.runs:
                log.info("host %s: lease over, %d attempts are gone", host.id, len(host.runs))
                if host.heard_at > host.reported_at:  # direct calls reached it meanwhile
                    self.lost_mute += sum(run.occupies for run in host.runs.values())
            host.fenced = True
            self._settled(host)
            host.known = False
            host.up = False
            # Reports of this session may still arrive late; they tell of the past.
            host.dead_session = max(host.dead_session, host.session)
            lost.extend(self._clear(host))
        return lost

    def _lease_over(self, host: Host, now: MonotonicTime) -> bool:
        lease_s = self.lease_s * DRIFT + LEASE_MARGIN_S
        relayed = self.relayed.get(host.zone)
        if relayed is not None and now <= relayed + lease_s:
            # Fed for this leader, too, beyond a cut: also a machine that it has never heard.
            return False
        if host.fed_at is not None:
            # The lease counts from when the report was sent, which is before it came.
            if now <= host.fed_at + lease_s:
                return False
            if host.confirmed:
                return True
        if host.created_at != self.took_over_at:
            return host.fed_at is not None
        # Its worker may not have seen our token: the leader before may have fed it until
        # it stopped for want of proof, and the lease counts from that report.
        fed = max(self.feed_limit_s, RELAY_S)
        bound = (fed + self.lease_s) * DRIFT + 2 * LEASE_MARGIN_S
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
            host.reports, host.reported_at = False, now
        host.session, host.sequence = report.session, report.sequence
        if not direct:
            host.reports, host.reported_at = True, now
        # Seen late, an end says little of how long the task ran.
        timely = now - host.heard_at <= self.lease_s * TIMELY_SHARE
        host.heard_at = now
        host.known = host.up = host.confirmed = True
        self._settled(host)
        host.fenced = False
        host.address = report.address
        if report.notice_s is not None and host.notice_at is None:
            host.notice_at = MonotonicTime(now + report.notice_s)
            host.draining = host.draining or "spot notice"
            changed = True
        exits: list[Exit] = []
        adopted: list[Run] = []
        begun: list[Run] = []
        listed = set()
        for task in report.tasks:
            listed.add(task.id)
            if task.id not in host.runs:
                adopted.append(self._adopt(host, task, now))
            waited = host.runs[task.id].running_at is None
            exit_ = self._ingest_task(host, task, now, timely)
            if waited and host.runs[task.id].running_at is not None:
                begun.append(host.runs[task.id])
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
        if host.busy:
            host.idle_since = None
        elif host.idle_since is None:
            host.idle_since = now
        return Outcome(True, tuple(exits), tuple(lost), tuple(adopted), tuple(begun), changed)

    def _ingest_task(
        self, host: Host, task: TaskReport, now: MonotonicTime, timely: bool
    ) -> Exit | None:
        run = host.runs[task.id]
        run.seen = True
        run.in_reply = False
        if run.image not in host.images:
            host.version += 1
        host.images[run.image] = (now, run.image_gb)
        was = run.phase
        if was is TaskPhase.EXITED:
            return None
        run.phase = task.phase
        if task.phase is not was:
            host.version += 1
        if task.phase is TaskPhase.RUNNING and run.running_at is None:
            run.running_at = now
            run.late = not timely
        if task.phase is not TaskPhase.EXITED:
            return None
        if run.running_at is not None and timely and not run.late:
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
        image_gb = spec.image_gb if spec is not None else 0.0
        run = Run(task.id, host.id, team, need, image, image_gb, now, service=service)
        run.adopted = True
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
        if self.view.waits(record.id):
            return "job waits for others"
        if not 0 <= task.number < spec.tasks or self.is_done(record, task.number):
            return "task is done"
        if task in self.present:
            return "task may be on a machine"
        if self.may_run_unseen(task) or not self.may_start_job(spec):
            return "an earlier leader may have started it"
        if not host.known or host.draining is not None or host.deleting:
            return "machine is not usable"
        if not host.reports:
            # Guards against a machine that direct calls reach and that reaches no controller:
            # whatever is started there dies with its lease, again and again.
            return "machine does not report"
        if self.closed(host) is not None:
            return "machine is out of service"
        if not host.recorded:
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

    def may_run_unseen(self, task: TaskId) -> bool:
        """May a machine that has not answered this leader be running it?"""
        return self.unseen.may_run(task)

    def may_start_job(self, spec: JobSpec) -> bool:
        """Where a task may be depends on where the job's others are: all must be seen."""
        bound = spec.one_zone or spec.spread or spec.kind is Kind.GANG
        return not (bound and self.unseen.of_job(spec.id))

    def take_released(self) -> list[TaskId]:
        released, self.released = self.released, []
        return released

    def still_there(self, host_id: HostId, task: TaskId) -> bool:
        """Must the log go on saying that this task may be on this machine?"""
        host = self.hosts.get(host_id)
        if host is None or host.fenced:
            return False
        if host_id in self.unseen.hosts:
            return True
        record = self.view.active.get(task.job)
        if (
            record is not None
            and task.number in self.done.get(task.job, ())
            and not record.done(task.number)
        ):
            # Its end is only in that machine's report: a next leader that knew of none would
            # run the task once more.
            return True
        return any(run.host == host_id for run in self.present.get(task, ()))

    def team_use(self, team: Team) -> Room:
        return self.use.get(team, NO_ROOM)

    def most_use(self, team: Team) -> Room:
        """What it may use at most, on machines that have not answered yet included.

        Guards against tasks of an earlier leader that run unseen while others start: what
        machines may hold counts against the teams whose it is, and holds up no other.
        """
        return self.team_use(team).plus(self.unseen.room(team))

    def team_allows(self, spec: JobSpec, more: Room = NO_ROOM) -> bool:
        team = self.teams.get(spec.team)
        if team is None:
            return False
        return team.allows(self.most_use(spec.team).plus(spec.need).plus(more))

    def is_done(self, record: JobRecord, index: int) -> bool:
        return record.done(index) or index in self.done.get(record.id, ())

    def job_zones(self, job: JobId) -> dict[Zone, int]:
        return self._zones.get(job, {})

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
            spec.image_gb,
            now,
            service=spec.kind is Kind.SERVICE,
            cached=spec.image in host.images,
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
            host = self.hosts.get(run.host)
            if host is not None:
                host.version += 1

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
            if run.unsent and not (starts and run.logged):
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
                (run.unsent and run.logged)
                or (run.stop_grace is not None and run.phase is not TaskPhase.SAVING)
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
        host.version += 1
        host.runs[run.id] = run
        host.used = host.used.plus(run.need)
        self.use[run.team] = self.team_use(run.team).plus(run.need)
        task = run.id.task
        self.present.setdefault(task, []).append(run)
        self._set_zone(task, host.zone)

    def _release(self, host: Host, run: Run) -> None:
        """The attempt takes no room any more, though the worker may still report it."""
        host.version += 1
        host.used = host.used.minus(run.need)
        self.use[run.team] = self.team_use(run.team).minus(run.need)
        task = run.id.task
        others = [other for other in self.present.get(task, ()) if other is not run]
        if others:
            self.present[task] = others
            left = self.hosts.get(others[0].host)
            if left is not None and left.zone != host.zone:
                self._set_zone(task, left.zone)
            return
        self.present.pop(task, None)
        tasks = self.by_job.get(task.job)
        if tasks is None or task not in tasks:
            return
        self._set_zone(task, None)
        if not tasks:
            del self.by_job[task.job]
            del self._zones[task.job]

    def _set_zone(self, task: TaskId, zone: Zone | None) -> None:
        """Count the task in its zone, and in no other."""
        tasks = self.by_job.setdefault(task.job, {})
        zones = self._zones.setdefault(task.job, {})
        before = tasks.pop(task, None)
        if before is not None:
            zones[before] -= 1
            if not zones[before]:
                del zones[before]
        if zone is not None:
            tasks[task] = zone
            zones[zone] = zones.get(zone, 0) + 1

    def _remove(self, host: Host, run: Run) -> None:
        if host.runs.pop(run.id, None) is not None and run.occupies:
            self._release(host, run)


def host_allowed(spec: JobSpec, type_name: TypeName, zone: Zone, spot: bool) -> bool:
    if spec.types is not None and type_name not in spec.types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot
