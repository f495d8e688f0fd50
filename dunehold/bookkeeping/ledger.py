"""The leader's in-memory account of hosts, attempts and team usage.

The ledger alone decides whether a task may be started on a host. An attempt whose state is
unknown counts as present: once it was commanded, it occupies its host and counts against its
team's limit until it is proved gone. The proofs are a newer report that does not list it, a
newer session of its worker, a completed deletion of its host, and the expiry of a worker lease
that nobody can have renewed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from dunehold.bookkeeping.hosts import AttemptExit, Host, ReportOutcome, Run
from dunehold.bookkeeping.occupancy import Occupancy
from dunehold.bookkeeping.records import JobRecord
from dunehold.bookkeeping.term_tokens import TermTokens
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
    Revision,
    TaskId,
    TaskPhase,
    Team,
    Tier,
    Token,
    TypeName,
    Zone,
)

log = logging.getLogger(__name__)

# An attempt number is a counter in this many lower bits, with the term's first token above.
ATTEMPT_BITS = 32
# Two clocks may each be off by up to 0.05%; the factor allows for more than both together.
WORKER_LEASE_DRIFT_FACTOR = 1.002
LEASE_MARGIN_S = 0.5  # in addition to the drift, before a worker lease counts as expired
# After a longer silence than this fraction of a worker lease, the time at which a report shows
# a change says little about when the change took place.
TIMELY_LEASE_FRACTION = 1 / 3
# A relay may go on for this long after its key has gone, since it relies on proofs that are at
# most 2 s old.
RELAY_EXPIRY_S = 2.5


IGNORED = ReportOutcome(False)


@dataclass(slots=True)
class Ledger:
    """Hosts, attempts and team usage during one leader's term.

    Attributes:
        token: the term's first fencing token, by which the term is known.
        tokens: the reserved range of the term's tokens.
        took_over_at: start of the term; also the creation time of hosts found on record.
        lease_s: duration of a worker lease.
        max_proof_age_s: how long a node renews worker leases without a new proof that its view
            is current.
        log_restored_later: whether the caller runs restore_log_steps() itself.
        occupancy: what the attempts on the hosts occupy.
        reported_done: tasks that were reported as done, by job. Their completions may not be
            durable yet.
        unreconciled: hosts on record that have not answered this leader, with the tasks of
            earlier leaders that they may hold.
        out_of_service_order: returns the operators' order that takes a host out of service
            according to the present view, or None.
        relayed_until: by zone, the latest time until which a relay may renew leases there.
        released: tasks that can no longer be on an unreconciled host, and may be scheduled.
        lost_without_reports: number of attempts that were lost with the worker lease of a host
            that had answered direct calls after its last report.
        revived_attempts: number of attempts of this term that a worker reported although the
            ledger had counted them out.
    """

    view: View
    token: Token
    took_over_at: MonotonicTime
    teams: dict[Team, TeamSettings]
    types: dict[TypeName, MachineType]
    lease_s: Duration
    max_proof_age_s: Duration
    log_restored_later: bool = False
    tokens: TermTokens = field(init=False)
    hosts: dict[HostId, Host] = field(default_factory=dict)
    occupancy: Occupancy = field(init=False)
    reported_done: dict[JobId, set[int]] = field(default_factory=dict)
    deleted_hosts: set[HostId] = field(default_factory=set)
    unreconciled: UnreconciledHosts = field(default_factory=UnreconciledHosts)
    out_of_service_order: Callable[[Host], OrderId | None] = lambda host: None
    relayed_until: dict[Zone, MonotonicTime] = field(default_factory=dict)
    _relay_changes: dict[Zone, int] = field(default_factory=dict)  # as of the last update
    released: list[TaskId] = field(default_factory=list)
    lost_without_reports: int = 0
    revived_attempts: int = 0
    # Hosts with an attempt that is to stop and whose start may not have arrived yet.
    _hosts_in_doubt: set[HostId] = field(default_factory=set)
    _attempts: int = 0  # attempt numbers handed out in this term
    _gang_attempts: dict[JobId, Attempt] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.tokens = TermTokens(self.token)
        self.occupancy = Occupancy(self.hosts)
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
        if not self.log_restored_later:
            for _ in self.restore_log_steps():
                pass

    def restore_log_steps(self) -> Iterator[None]:
        """Add the tasks that the start log places on hosts that have not answered.

        Yields after each slot. Until all are added, nothing may be started.
        """
        for placed in list(self.view.start_log.values()):
            self.unreconciled.add_logged_tasks(placed, self.view.jobs)
            yield

    # -- hosts ---------------------------------------------------------------------

    def add_host(
        self,
        host: HostId,
        type_name: TypeName,
        zone: Zone,
        spot: bool,
        address: str,
        now: MonotonicTime,
    ) -> Host:
        """Add a host that was created at ``now`` and on which nothing runs.

        A host of an unknown machine type has no capacity.
        """
        machine_type = self.types.get(type_name)
        host_capacity = machine_type.capacity if machine_type is not None else NO_RESOURCES
        entry = Host(host, type_name, zone, spot, address, now, host_capacity, token=self.token)
        self.hosts[host] = entry
        return entry

    def unreconciled_hosts(self) -> list[Host]:
        """Hosts on record that may still hold tasks of an earlier leader."""
        return [self.hosts[host] for host in self.unreconciled.hosts]

    def all_reconciled(self) -> bool:
        """Whether every host on record has answered this leader, was fenced or was deleted."""
        return not self.unreconciled.hosts

    def _mark_reconciled(self, host: Host) -> None:
        """Note that the host can't hold tasks of an earlier leader unknown to this one."""
        self.released += self.unreconciled.mark_reconciled(host.id)

    def on_host_deleted(self, host_id: HostId) -> list[Run]:
        """Remove a host whose deletion the cloud has confirmed; return the attempts lost."""
        self.deleted_hosts.add(host_id)
        host = self.hosts.get(host_id)
        if host is None:
            return []
        self._mark_reconciled(host)
        del self.hosts[host_id]
        return self._clear(host)

    def update_relays(self, now: MonotonicTime) -> None:
        """Extend ``relayed_until`` of zones that have, or since the last update had, a relay.

        A node of a zone that is cut off from the leader may renew the leases of its workers
        while its relay key exists, and after that for as long as its last proof is valid. A key
        that was written and removed between two updates counts as well.
        """
        changes = dict(self.view.relay_changes)
        for record in self.view.relays.values():
            self.relayed_until[record.zone] = MonotonicTime(now + RELAY_EXPIRY_S)
        for zone, count in changes.items():
            if self._relay_changes.get(zone, 0) != count:
                self.relayed_until[zone] = MonotonicTime(now + RELAY_EXPIRY_S)
        self._relay_changes = changes

    def expire_leases(self, now: MonotonicTime) -> list[Run]:
        """Fence hosts whose worker lease nobody can have renewed; return the attempts lost.

        ``now`` must be a time for which the view is proved to be current: the view then has
        the key of every relay that renewed leases before ``now``.
        """
        lost: list[Run] = []
        for host in self.hosts.values():
            if host.fenced or not self._lease_expired(host, now):
                continue
            if host.runs:
                log.info(
                    "host %s: worker lease expired; removing %d attempts",
                    host.id,
                    len(host.runs),
                )
                if host.heard_at > host.reported_at:  # it has answered direct calls since
                    self.lost_without_reports += sum(run.occupies for run in host.runs.values())
            host.fenced = True
            self._mark_reconciled(host)
            host.session_known = False
            host.up = False
            # Delayed reports of this session may still arrive, but they are out of date.
            host.expired_session = max(host.expired_session, host.session)
            lost.extend(self._clear(host))
        return lost

    def _lease_expired(self, host: Host, now: MonotonicTime) -> bool:
        """Whether the worker lease has expired, whoever renewed it last."""
        lease_s = self.lease_s * WORKER_LEASE_DRIFT_FACTOR + LEASE_MARGIN_S
        relayed = self.relayed_until.get(host.zone)
        if relayed is not None and now <= relayed + lease_s:
            # A relay may have renewed the lease on behalf of this leader, even if this leader
            # has never heard from the host.
            return False
        if host.lease_renewed_at is not None:
            # The lease starts when the report is sent, which is before it is received.
            if now <= host.lease_renewed_at + lease_s:
                return False
            if host.token_confirmed:
                return True
        if host.created_at != self.took_over_at:
            # Created in this term: no earlier leader can have renewed its lease.
            return host.lease_renewed_at is not None
        # Its worker may not have seen this leader's token. The previous leader may then have
        # renewed the lease until its last proof became too old, and the lease starts with the
        # last report that it answered.
        renewable_s = max(self.max_proof_age_s, RELAY_EXPIRY_S)
        bound_s = (renewable_s + self.lease_s) * WORKER_LEASE_DRIFT_FACTOR + 2 * LEASE_MARGIN_S
        return now > self.took_over_at + bound_s

    def _clear(self, host: Host) -> list[Run]:
        """Remove all attempts from the host; return those that occupied it."""
        runs = list(host.runs.values())
        for run in runs:
            self.occupancy.remove(host, run)
        return [run for run in runs if run.occupies]

    # -- reports -------------------------------------------------------------------

    def ingest(self, report: Report, now: MonotonicTime, direct: bool = False) -> ReportOutcome:
        """Update the host from a worker's report; ``direct`` if it answers a direct call.

        Reports that do not show the present state are ignored. A report with an older token
        may have been sent before commands of an earlier leader were carried out. A report of an
        expired session, or one that is not newer than the last one, was delayed in transit.
        """
        host = self.hosts.get(report.host)
        if host is None or report.token not in self.tokens:
            return IGNORED
        if report.session <= host.expired_session:
            return IGNORED
        if (report.session, report.sequence) <= (host.session, host.sequence):
            return IGNORED
        lost: list[Run] = []
        changed = not host.session_known
        if report.session > host.session:
            # The worker's lease expired in between: it killed and forgot all its tasks.
            lost = self._clear(host)
            changed = True
            # The new session and its lease began before this message was received. The first
            # message of a session can be the answer to a direct call, and renewals that were
            # noted before belong to the previous session.
            host.lease_renewed_at = now
            host.is_reporting, host.reported_at = False, now
        host.session, host.sequence = report.session, report.sequence
        if not direct:
            host.is_reporting, host.reported_at = True, now
        # If an exit is reported late, it says little about how long the task ran.
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
                # The worker has sent another report without this attempt, so it will not
                # carry out the response to an earlier report any more. The answer to a direct
                # call does not prove this: it may have been written while the response to the
                # last report was still in transit.
                run.in_report_response = False
            if run.reported or (run.unsent and run.stop_grace_s is not None):
                self.occupancy.remove(host, run)
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
        previous = run.phase
        if previous is TaskPhase.EXITED:
            return None
        run.phase = task.phase
        if task.phase is not previous:
            host.version += 1
        if task.phase is TaskPhase.RUNNING and run.running_at is None:
            run.running_at = now
            run.first_seen_late = not timely
        if task.phase is not TaskPhase.EXITED:
            return None
        if run.running_at is not None and timely and not run.first_seen_late:
            run.duration_s = Duration(now - run.running_at)
        run.exit_reason = task.exit_reason
        self.occupancy.release(host, run)
        reason = task.exit_reason or ExitReason.OTHER
        if reason is ExitReason.DONE and not run.service:
            self.reported_done.setdefault(run.id.task.job, set()).add(run.id.task.number)
        return AttemptExit(run, reason, task.saved)

    def _adopt(self, host: Host, task: TaskReport, now: MonotonicTime) -> Run:
        """Add an attempt that this ledger does not have, as another leader started it.

        An attempt of this term that was counted out is added as well: it occupies its host.
        If the job's spec is not known, the attempt counts as one that uses no resources.
        """
        if task.id.attempt >> ATTEMPT_BITS == self.token:
            self.revived_attempts += 1
            log.warning(
                "host %s reports attempt %s of this term, which had been counted out",
                host.id,
                task.id,
            )
        record = self.view.jobs.get(task.id.task.job)
        spec = record.spec if record is not None else None
        team = spec.team if spec is not None else Team("")
        need = spec.need if spec is not None else NO_RESOURCES
        image = spec.image if spec is not None else Image("")
        service = spec is not None and spec.kind is JobKind.SERVICE
        image_gb = spec.image_gb if spec is not None else 0.0
        run = Run(task.id, host.id, team, need, image, image_gb, now, service=service)
        run.adopted = True
        self.occupancy.occupy(host, run)
        return run

    # -- starts and stops ------------------------------------------------------------

    def refusal(
        self, record: JobRecord, task: TaskId, host: Host, now: MonotonicTime
    ) -> str | None:
        """Return why the task may not be started on the host now, or None if it may."""
        spec = record.spec
        if spec is None or record.phase is not JobPhase.ACTIVE:
            return "job is over"
        if self.view.waits_for_dependencies(record.id):
            return "job waits for others"
        if not 0 <= task.number < spec.tasks or self.is_done(record, task.number):
            return "task is done"
        if task in self.occupancy.runs_by_task:
            return "task may be on a machine"
        if self.may_run_on_unreconciled_host(task) or not self.may_start_job(spec):
            return "an earlier leader may have started it"
        if not host.session_known or host.draining is not None or host.deleting:
            return "machine is not usable"
        if not host.is_reporting:
            # Guards against a host that can be reached by direct calls but can't reach any
            # controller. Every task started there would be killed as its lease expires.
            return "machine does not report"
        if self.start_in_doubt(host) is not None:
            return "machine's session may have to end"
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
        """Whether a host that has not answered this leader may be running the task."""
        return self.unreconciled.may_run(task)

    def placed_tasks(self, job: JobId) -> Iterator[TaskId]:
        """The job's tasks that occupy a host, or may be on one that has not answered."""
        yield from self.occupancy.task_zones_by_job.get(job, ())
        yield from self.unreconciled.tasks_of(job)

    def may_start_job(self, spec: JobSpec) -> bool:
        """Whether tasks of the job may be started as far as unreconciled hosts are concerned.

        If the placement of a task depends on where the job's other tasks are, none may be on a
        host that has not answered this leader.
        """
        depends_on_others = spec.one_zone or spec.spread or spec.kind is JobKind.GANG
        return not (depends_on_others and self.unreconciled.task_count(spec.id))

    def take_released(self) -> list[TaskId]:
        """Return the released tasks and clear the list."""
        released, self.released = self.released, []
        return released

    def must_stay_logged(self, host_id: HostId, task: TaskId) -> bool:
        """Whether the start log must still say that the task may be on the host."""
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
            # The completion is not durable and only in that host's report. Without the log
            # entry the next leader would not know that and would run the task again.
            return True
        return any(run.host == host_id for run in self.occupancy.runs_by_task.get(task, ()))

    def max_team_usage(self, team: Team) -> Resources:
        """The most that the team may use, including on hosts that have not answered yet.

        Guards against exceeding the team's limit while tasks of an earlier leader run unknown
        to this one. What such a host may hold counts only against the team that owns it, where
        that is known, so that other teams are not delayed.
        """
        return self.occupancy.team_usage(team).plus(self.unreconciled.max_usage(team))

    def team_allows(self, spec: JobSpec, more: Resources = NO_RESOURCES) -> bool:
        """Whether the team's limit allows one more task of the job, and ``more`` besides.

        A team that is not in the settings may start nothing.
        """
        team = self.teams.get(spec.team)
        if team is None:
            return False
        return team.allows(self.max_team_usage(spec.team).plus(spec.need).plus(more))

    def is_done(self, record: JobRecord, index: int) -> bool:
        """Whether the task is done, be it durable or only reported."""
        return record.is_task_done(index) or index in self.reported_done.get(record.id, ())

    def job_zones(self, job: JobId) -> dict[Zone, int]:
        """Number of the job's tasks that occupy a host, by zone."""
        return self.occupancy.tasks_by_zone(job)

    def plan_start(
        self, record: JobRecord, task: TaskId, host: Host, tier: Tier, now: MonotonicTime
    ) -> Run | str:
        """Reserve room for a start; return the planned attempt, or why it is not allowed."""
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
        self.occupancy.occupy(host, run)
        host.idle_since = None
        return run

    def _next_attempt(self, spec: JobSpec) -> Attempt:
        """Return an attempt number that no leader has used before.

        The upper bits hold the term's first token. Tasks of a gang that start together share
        their attempt number, by which they find one another.
        """
        if spec.kind is JobKind.GANG and spec.id in self.occupancy.task_zones_by_job:
            shared = self._gang_attempts.get(spec.id)
            if shared is not None:
                return shared
        self._attempts += 1
        attempt = Attempt(self.token << ATTEMPT_BITS | self._attempts)
        if spec.kind is JobKind.GANG:
            self._gang_attempts[spec.id] = attempt
        return attempt

    def withdraw(self, run: Run) -> bool:
        """Remove an attempt whose start was never sent; return False if it may have been."""
        host = self.hosts.get(run.host)
        if host is None or not run.unsent:
            return False
        self.occupancy.remove(host, run)
        return True

    def stop(self, run: Run, grace_s: Duration) -> None:
        """Stop an attempt, or withdraw it if its start was never sent.

        A stop that was requested before is replaced only by one with a shorter grace period.
        """
        if not run.occupies or self.withdraw(run):
            return
        if run.in_doubt:
            self._hosts_in_doubt.add(run.host)
        if run.stop_grace_s is None or grace_s < run.stop_grace_s:
            run.stop_grace_s = grace_s
            host = self.hosts.get(run.host)
            if host is not None:
                host.version += 1

    def start_in_doubt(self, host: Host) -> Revision | None:
        """Return when a job was cancelled whose start may still reach the host.

        If there are several, the revision of the earliest cancellation is returned; None if
        there is none. Such a start can't be recalled, and sending it again would begin the
        task. It is refused once the worker's session has ended.
        """
        if host.id not in self._hosts_in_doubt:
            return None
        in_doubt = [run for run in host.runs.values() if run.in_doubt]
        if not in_doubt:
            self._hosts_in_doubt.discard(host.id)
        cancelled = [
            self.view.jobs[run.id.task.job].phase_revision
            for run in in_doubt
            if self._is_cancelled(run)
        ]
        return min(cancelled, default=None)

    def _is_cancelled(self, run: Run) -> bool:
        record = self.view.jobs.get(run.id.task.job)
        return record is not None and record.phase is JobPhase.CANCELLED

    def commands(self, host: Host, direct: bool, starts: bool) -> list[Command]:
        """Return the commands for the worker, for a direct call or a report's response.

        They must be sent with the host's token as it is after this call. Without ``starts``,
        only starts that may have been sent before are included. The starts returned count as
        sent. Those of cancelled jobs are never included.
        """
        out: list[Command] = [] if direct else self._forget_exited(host)
        for run in list(host.runs.values()):
            if run.phase is TaskPhase.EXITED:
                continue
            if self._unwanted(run):
                if run.stop_grace_s is None:
                    log.info(
                        "stopping %s on host %s: its job or task is over, or an older attempt "
                        "of the task occupies a host",
                        run.id,
                        host.id,
                    )
                self.stop(run, Duration(0.0))
                if run.id not in host.runs:
                    continue  # withdrawn, since its start was never sent
            if run.unsent and not (starts and run.start_logged):
                continue
            if not run.reported and not self._is_cancelled(run):
                # The start is sent even if a stop follows: an earlier copy of it may still
                # arrive late, and the stop ends the attempt for good only if the worker knows
                # the attempt.
                out.append(Start(run.id))
                if direct:
                    run.unanswered_starts += 1
                    host.start_called = True
                else:
                    run.in_report_response = True
            if run.stop_grace_s is not None:
                out.append(Stop(run.id, run.stop_grace_s))
        return out

    def _forget_exited(self, host: Host) -> list[Command]:
        """Return the commands to forget attempts that have exited, if they are safe now.

        Once the worker has forgotten an attempt, only the token keeps it from carrying out a
        delayed start, or a copy of one that it carried out before.
        """
        forgotten: list[Command] = [
            Forget(run.id)
            for run in host.runs.values()
            if run.phase is TaskPhase.EXITED and self._may_forget(run)
        ]
        if not forgotten or not self._void_earlier_calls(host):
            return []
        if log.isEnabledFor(logging.DEBUG):
            names = ", ".join(str(command.id) for command in forgotten)
            log.debug("host %s: to forget %s, token %d", host.id, names, host.token)
        return forgotten

    def _void_earlier_calls(self, host: Host) -> bool:
        """Give the host a token with which no direct call to it has carried a start.

        A worker that sees the token refuses all earlier calls. Return False if that is not
        possible now: a call in progress would be refused, or no token is left.
        """
        if not host.start_called:
            return True
        following = None if host.call_in_progress else self.tokens.next_after(host.token)
        if following is None:
            return False
        host.token, host.start_called = following, False
        log.debug("host %s: token raised to %d; earlier calls are void", host.id, following)
        return True

    def has_urgent_commands(self, host: Host) -> bool:
        """Whether a command should not wait for the worker's next report."""
        return any(
            run.occupies
            and (
                (run.unsent and run.start_logged)
                or (run.stop_grace_s is not None and run.phase is not TaskPhase.SAVING)
            )
            for run in host.runs.values()
        )

    def on_direct_response(self, host: Host, starts: Iterable[AttemptId]) -> None:
        """Note that a direct call with these starts was answered.

        Copies of the call may still arrive.
        """
        for attempt in starts:
            run = host.runs.get(attempt)
            if run is not None and run.unanswered_starts:
                run.unanswered_starts -= 1

    def _unwanted(self, run: Run) -> bool:
        """Whether the attempt has to stop.

        That is so if its job is over or unknown, if its task is done or is not part of the job,
        or if an older attempt of the task occupies a host.
        """
        record = self.view.jobs.get(run.id.task.job)
        if record is None or record.phase is not JobPhase.ACTIVE or record.spec is None:
            return True
        index = run.id.task.number
        if index >= record.spec.tasks or self.is_done(record, index):
            return True
        others = self.occupancy.runs_by_task.get(run.id.task, [])
        return len(others) > 1 and run.id.attempt != min(r.id.attempt for r in others)

    def _may_forget(self, run: Run) -> bool:
        """Whether nobody needs the worker's report of an exited attempt any more."""
        if run.exit_reason is not ExitReason.DONE or run.service:
            return True
        # Until the completion is durable, the result is only in the worker's report.
        record = self.view.jobs.get(run.id.task.job)
        if record is None or record.phase is not JobPhase.ACTIVE:
            return True
        return record.is_task_done(run.id.task.number) or (
            record.spec is not None and run.id.task.number >= record.spec.tasks
        )


def host_allowed(spec: JobSpec, type_name: TypeName, zone: Zone, spot: bool) -> bool:
    """Whether the job allows this machine type, zone and kind of rental."""
    if spec.types is not None and type_name not in spec.types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot
