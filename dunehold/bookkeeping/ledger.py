"""What may be on which machine. The ledger alone decides whether a start is allowed.

*Unknown means present*: an attempt that was commanded occupies its machine and its team's
limit until it is proved gone. The proofs are a newer report without it, a newer session, a
completed delete, and a worker lease that nobody can have renewed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from dunehold.bookkeeping.hosts import AttemptExit, Host, ReportOutcome, Run
from dunehold.bookkeeping.records import JobRecord
from dunehold.bookkeeping.unreconciled import UnreconciledHosts
from dunehold.bookkeeping.view import View
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.users import JobSpec
from dunehold.protocol.workers import Command, Forget, Report, Start, Stop, TaskReport
from dunehold.settings import TeamSettings
from dunehold.types import (
    NO_RESOURCES,
    Attempt,
    AttemptId,
    Duration,
    ExitReason,
    HostId,
    Image,
    JobId,
    JobKind,
    JobPhase,
    MonotonicTime,
    OrderId,
    Resources,
    TaskId,
    TaskPhase,
    Team,
    Tier,
    Token,
    TypeName,
    Zone,
)

log = logging.getLogger(__name__)

ATTEMPT_BITS = 32
WORKER_LEASE_DRIFT_FACTOR = (
    1.002  # two clocks that each run up to 0.05% fast, with room to spare
)
LEASE_MARGIN_S = 0.5
TIMELY_LEASE_FRACTION = 1 / 3  # of a lease: longer without a report, and times mean little
RELAY_EXPIRY_S = 2.5  # a node feeds for another by proofs that are at most 2 s old


IGNORED = ReportOutcome(False)


@dataclass(slots=True)
class Ledger:
    """Machines, attempts and quota under one leader's token."""

    view: View
    token: Token
    took_over_at: MonotonicTime
    teams: dict[Team, TeamSettings]
    types: dict[TypeName, MachineType]
    lease_s: Duration
    max_proof_age_s: Duration  # how long a node feeds leases without proof of a current view
    hosts: dict[HostId, Host] = field(default_factory=dict)
    runs_by_task: dict[TaskId, list[Run]] = field(default_factory=dict)
    task_zones_by_job: dict[JobId, dict[TaskId, Zone]] = field(default_factory=dict)
    usage_by_team: dict[Team, Resources] = field(default_factory=dict)
    reported_done: dict[JobId, set[int]] = field(
        default_factory=dict
    )  # reported, maybe not durable
    deleted_hosts: set[HostId] = field(default_factory=set)
    unreconciled: UnreconciledHosts = field(
        default_factory=UnreconciledHosts
    )  # what earlier leaders may have left
    # The order by which a machine is out of service, as the view has it at this moment.
    out_of_service_order: Callable[[Host], OrderId | None] = lambda host: None
    relayed_until: dict[Zone, MonotonicTime] = field(
        default_factory=dict
    )  # fed till then at most
    _relay_changes: dict[Zone, int] = field(default_factory=dict)
    _zones: dict[JobId, dict[Zone, int]] = field(default_factory=dict)
    released: list[TaskId] = field(default_factory=list)  # no more among them, to be placed
    lost_without_reports: int = (
        0  # attempts lost with leases of machines that only direct calls reached
    )
    _attempts: int = 0
    _gang_attempts: dict[JobId, Attempt] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.update_relays(self.took_over_at)
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
            self.unreconciled.add(record.id, host.capacity)
        for placed in self.view.start_log.values():
            self.unreconciled.add_logged_tasks(placed, self.view.jobs)

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
        room = kind.capacity if kind is not None else NO_RESOURCES
        entry = Host(host, type_name, zone, spot, address, now, room)
        self.hosts[host] = entry
        return entry

    def unreconciled_hosts(self) -> list[Host]:
        """Registered machines on which an earlier leader's tasks may still be."""
        return [self.hosts[host] for host in self.unreconciled.hosts]

    def all_reconciled(self) -> bool:
        return not self.unreconciled.hosts

    def _mark_reconciled(self, host: Host) -> None:
        """Nothing of an earlier leader can be on it unseen any more."""
        self.released += self.unreconciled.mark_reconciled(host.id)

    def on_host_deleted(self, host_id: HostId) -> list[Run]:
        """The cloud has answered: the machine and everything on it are gone."""
        self.deleted_hosts.add(host_id)
        host = self.hosts.get(host_id)
        if host is None:
            return []
        self._mark_reconciled(host)
        del self.hosts[host_id]
        return self._clear(host)

    def update_relays(self, now: MonotonicTime) -> None:
        """Nodes of a cut-off zone may feed its workers, for as long as a proof lasts after
        their key has gone; a key that came and went counts as well."""
        changes = dict(self.view.relay_changes)
        for record in self.view.relays.values():
            self.relayed_until[record.zone] = MonotonicTime(now + RELAY_EXPIRY_S)
        for zone, count in changes.items():
            if self._relay_changes.get(zone, 0) != count:
                self.relayed_until[zone] = MonotonicTime(now + RELAY_EXPIRY_S)
        self._relay_changes = changes

    def expire_leases(self, now: MonotonicTime) -> list[Run]:
        """Clear machines whose worker lease nobody can have renewed.

        ``now`` must be a moment of which the view is proved: a node that fed workers of a
        cut-off zone before it has its key there.
        """
        lost: list[Run] = []
        for host in self.hosts.values():
            if host.fenced or not self._lease_expired(host, now):
                continue
            if host.runs:
                log.info("host %s: lease over, %d attempts are gone", host.id, len(host.runs))
                if host.heard_at > host.reported_at:  # direct calls reached it meanwhile
                    self.lost_without_reports += sum(run.occupies for run in host.runs.values())
            host.fenced = True
            self._mark_reconciled(host)
            host.session_known = False
            host.up = False
            # Reports of this session may still arrive late; they tell of the past.
            host.expired_session = max(host.expired_session, host.session)
            lost.extend(self._clear(host))
        return lost

    def _lease_expired(self, host: Host, now: MonotonicTime) -> bool:
        lease_s = self.lease_s * WORKER_LEASE_DRIFT_FACTOR + LEASE_MARGIN_S
        relayed = self.relayed_until.get(host.zone)
        if relayed is not None and now <= relayed + lease_s:
            # Fed for this leader, too, beyond a cut: also a machine that it has never heard.
            return False
        if host.lease_renewed_at is not None:
            # The lease counts from when the report was sent, which is before it came.
            if now <= host.lease_renewed_at + lease_s:
                return False
            if host.token_confirmed:
                return True
        if host.created_at != self.took_over_at:
            return host.lease_renewed_at is not None
        # Its worker may not have seen our token: the leader before may have fed it until
        # it stopped for want of proof, and the lease counts from that report.
        fed = max(self.max_proof_age_s, RELAY_EXPIRY_S)
        bound = (fed + self.lease_s) * WORKER_LEASE_DRIFT_FACTOR + 2 * LEASE_MARGIN_S
        return now > self.took_over_at + bound

    def _clear(self, host: Host) -> list[Run]:
        runs = list(host.runs.values())
        for run in runs:
            self._remove(host, run)
        return [run for run in runs if run.occupies]

    # -- reports -------------------------------------------------------------------

    def ingest(self, report: Report, now: MonotonicTime, direct: bool = False) -> ReportOutcome:
        """Take in a report; only one that carries our token speaks of the present.

        A report with an older token may have been sent before commands of an earlier leader
        were carried out. One of a dead session, or not newer than the last one, was held up
        on its way.
        """
        host = self.hosts.get(report.host)
        if host is None or report.token != self.token:
            return IGNORED
        if report.session <= host.expired_session:
            return IGNORED
        if (report.session, report.sequence) <= (host.session, host.sequence):
            return IGNORED
        lost: list[Run] = []
        changed = not host.session_known
        if report.session > host.session:
            # The worker's lease ended in between: it killed and forgot all it had.
            lost = self._clear(host)
            changed = True
            # A session that is new to us began before this message came, and its lease
            # counts from then. A direct answer can be the first that we hear of it: what
            # was fed before belongs to the session before.
            host.lease_renewed_at = now
            host.is_reporting, host.reported_at = False, now
        host.session, host.sequence = report.session, report.sequence
        if not direct:
            host.is_reporting, host.reported_at = True, now
        # Seen late, an end says little of how long the task ran.
        timely = now - host.heard_at <= self.lease_s * TIMELY_LEASE_FRACTION
        host.heard_at = now
        host.session_known = host.up = host.token_confirmed = True
        self._mark_reconciled(host)
        host.fenced = False
        host.address = report.address
        if report.notice_s is not None and host.reclaim_at is None:
            host.reclaim_at = MonotonicTime(now + report.notice_s)
            host.draining = host.draining or "spot notice"
            changed = True
        exits: list[AttemptExit] = []
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
                run.in_report_response = False
            if run.reported or (run.unsent and run.stop_grace_s is not None):
                self._remove(host, run)
                if run.occupies:
                    lost.append(run)
        changed = changed or bool(exits) or bool(lost)
        if host.busy:
            host.idle_since = None
        elif host.idle_since is None:
            host.idle_since = now
        return ReportOutcome(
            True, tuple(exits), tuple(lost), tuple(adopted), tuple(begun), changed
        )

    def _ingest_task(
        self, host: Host, task: TaskReport, now: MonotonicTime, timely: bool
    ) -> AttemptExit | None:
        run = host.runs[task.id]
        run.reported = True
        run.in_report_response = False
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
            run.first_seen_late = not timely
        if task.phase is not TaskPhase.EXITED:
            return None
        if run.running_at is not None and timely and not run.first_seen_late:
            run.duration_s = Duration(now - run.running_at)
        run.exit_reason = task.exit_reason
        self._release(host, run)
        why = task.exit_reason or ExitReason.OTHER
        if why is ExitReason.DONE and not run.service:
            self.reported_done.setdefault(run.id.task.job, set()).add(run.id.task.number)
        return AttemptExit(run, why, task.saved)

    def _adopt(self, host: Host, task: TaskReport, now: MonotonicTime) -> Run:
        """An attempt that another leader started."""
        record = self.view.jobs.get(task.id.task.job)
        spec = record.spec if record is not None else None
        team = spec.team if spec is not None else Team("")
        need = spec.need if spec is not None else NO_RESOURCES
        image = spec.image if spec is not None else Image("")
        service = spec is not None and spec.kind is JobKind.SERVICE
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
        if self.view.waits_for_dependencies(record.id):
            return "job waits for others"
        if not 0 <= task.number < spec.tasks or self.is_done(record, task.number):
            return "task is done"
        if task in self.runs_by_task:
            return "task may be on a machine"
        if self.may_run_on_unreconciled_host(task) or not self.may_start_job(spec):
            return "an earlier leader may have started it"
        if not host.session_known or host.draining is not None or host.deleting:
            return "machine is not usable"
        if not host.is_reporting:
            # Guards against a machine that direct calls reach and that reaches no controller:
            # whatever is started there dies with its lease, again and again.
            return "machine does not report"
        if self.out_of_service_order(host) is not None:
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

    def may_run_on_unreconciled_host(self, task: TaskId) -> bool:
        """May a machine that has not answered this leader be running it?"""
        return self.unreconciled.may_run(task)

    def may_start_job(self, spec: JobSpec) -> bool:
        """Where a task may be depends on where the job's others are: all must be seen."""
        bound = spec.one_zone or spec.spread or spec.kind is JobKind.GANG
        return not (bound and self.unreconciled.task_count(spec.id))

    def take_released(self) -> list[TaskId]:
        released, self.released = self.released, []
        return released

    def must_stay_logged(self, host_id: HostId, task: TaskId) -> bool:
        """Must the log go on saying that this task may be on this machine?"""
        host = self.hosts.get(host_id)
        if host is None or host.fenced:
            return False
        if host_id in self.unreconciled.hosts:
            return True
        record = self.view.active.get(task.job)
        if (
            record is not None
            and task.number in self.reported_done.get(task.job, ())
            and not record.is_task_done(task.number)
        ):
            # Its end is only in that machine's report: a next leader that knew of none would
            # run the task once more.
            return True
        return any(run.host == host_id for run in self.runs_by_task.get(task, ()))

    def team_usage(self, team: Team) -> Resources:
        return self.usage_by_team.get(team, NO_RESOURCES)

    def max_team_usage(self, team: Team) -> Resources:
        """What it may use at most, on machines that have not answered yet included.

        Guards against tasks of an earlier leader that run unseen while others start: what
        machines may hold counts against the teams whose it is, and holds up no other.
        """
        return self.team_usage(team).plus(self.unreconciled.max_usage(team))

    def team_allows(self, spec: JobSpec, more: Resources = NO_RESOURCES) -> bool:
        team = self.teams.get(spec.team)
        if team is None:
            return False
        return team.allows(self.max_team_usage(spec.team).plus(spec.need).plus(more))

    def is_done(self, record: JobRecord, index: int) -> bool:
        return record.is_task_done(index) or index in self.reported_done.get(record.id, ())

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
            service=spec.kind is JobKind.SERVICE,
            image_cached=spec.image in host.images,
            tier=tier,
        )
        self._occupy(host, run)
        host.idle_since = None
        return run

    def _next_attempt(self, spec: JobSpec) -> Attempt:
        """The token in the upper half: no attempt number is reused, by any leader.

        The tasks of a gang that start together share theirs: by it they find one another.
        """
        if spec.kind is JobKind.GANG and spec.id in self.task_zones_by_job:
            shared = self._gang_attempts.get(spec.id)
            if shared is not None:
                return shared
        self._attempts += 1
        attempt = Attempt(self.token << ATTEMPT_BITS | self._attempts)
        if spec.kind is JobKind.GANG:
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
            and (run.stop_grace_s is None or grace_s < run.stop_grace_s)
        ):
            run.stop_grace_s = grace_s
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
            if run.unsent and not (starts and run.start_logged):
                continue
            if not run.reported:
                # A start that may still come late is made known before it is stopped, so
                # that the stop ends that attempt for good.
                out.append(Start(run.id))
                if direct:
                    run.unanswered_starts += 1
                else:
                    run.in_report_response = True
            if run.stop_grace_s is not None:
                out.append(Stop(run.id, run.stop_grace_s))
        return out

    def has_urgent_commands(self, host: Host) -> bool:
        """Is there anything that shouldn't wait for the worker's next report?"""
        return any(
            run.occupies
            and (
                (run.unsent and run.start_logged)
                or (run.stop_grace_s is not None and run.phase is not TaskPhase.SAVING)
            )
            for run in host.runs.values()
        )

    def on_direct_response(self, host: Host, starts: Iterable[AttemptId]) -> None:
        """A direct call was answered: its starts can't come any later."""
        for attempt in starts:
            run = host.runs.get(attempt)
            if run is not None and run.unanswered_starts:
                run.unanswered_starts -= 1

    def _unwanted(self, run: Run) -> bool:
        record = self.view.jobs.get(run.id.task.job)
        if record is None or record.phase is not JobPhase.ACTIVE or record.spec is None:
            return True
        index = run.id.task.number
        if index >= record.spec.tasks or self.is_done(record, index):
            return True
        others = self.runs_by_task.get(run.id.task, [])
        return len(others) > 1 and run.id.attempt != min(r.id.attempt for r in others)

    def _may_forget(self, run: Run) -> bool:
        # After it, a start that arrives late would run the attempt again.
        if run.unanswered_starts:
            return False
        if run.exit_reason is not ExitReason.DONE or run.service:
            return True
        # The report is the only trace of the result until its mark is durable.
        record = self.view.jobs.get(run.id.task.job)
        if record is None or record.phase is not JobPhase.ACTIVE:
            return True
        return record.is_task_done(run.id.task.number) or (
            record.spec is not None and run.id.task.number >= record.spec.tasks
        )

    # -- sums ----------------------------------------------------------------------

    def _occupy(self, host: Host, run: Run) -> None:
        host.version += 1
        host.runs[run.id] = run
        host.used = host.used.plus(run.need)
        self.usage_by_team[run.team] = self.team_usage(run.team).plus(run.need)
        task = run.id.task
        self.runs_by_task.setdefault(task, []).append(run)
        self._set_zone(task, host.zone)

    def _release(self, host: Host, run: Run) -> None:
        """The attempt takes no room any more, though the worker may still report it."""
        host.version += 1
        host.used = host.used.minus(run.need)
        self.usage_by_team[run.team] = self.team_usage(run.team).minus(run.need)
        task = run.id.task
        others = [other for other in self.runs_by_task.get(task, ()) if other is not run]
        if others:
            self.runs_by_task[task] = others
            left = self.hosts.get(others[0].host)
            if left is not None and left.zone != host.zone:
                self._set_zone(task, left.zone)
            return
        self.runs_by_task.pop(task, None)
        tasks = self.task_zones_by_job.get(task.job)
        if tasks is None or task not in tasks:
            return
        self._set_zone(task, None)
        if not tasks:
            del self.task_zones_by_job[task.job]
            del self._zones[task.job]

    def _set_zone(self, task: TaskId, zone: Zone | None) -> None:
        """Count the task in its zone, and in no other."""
        tasks = self.task_zones_by_job.setdefault(task.job, {})
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
