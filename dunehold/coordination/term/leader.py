"""One term of leadership: reports, placement, and the time that passes."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any

from dunehold.bookkeeping.hosts import AttemptExit, Host, ReportOutcome, Run
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.view import View
from dunehold.coordination.fleet.fleet import Fleet
from dunehold.coordination.maintenance.controller import MaintenanceController
from dunehold.coordination.persistence.recorder import LeadershipLost, Recorder
from dunehold.coordination.planning.estimates import RuntimeEstimates
from dunehold.coordination.planning.health import Health
from dunehold.coordination.planning.progress import JobProgress
from dunehold.coordination.planning.snapshot_builder import SnapshotBuilder, report_timeout_s
from dunehold.coordination.scheduler.backfill import plan
from dunehold.coordination.scheduler.model import Plan, Policy, Reservation, Stop
from dunehold.coordination.term.delivery import Delivery
from dunehold.coordination.term.late_starts import LateStarts
from dunehold.coordination.term.quarantine import Quarantine
from dunehold.coordination.zones.monitor import ZoneMonitor
from dunehold.protocol import workers
from dunehold.protocol.cloud import CloudClient, MachineType
from dunehold.protocol.workers import Command, Report
from dunehold.settings import Settings
from dunehold.transport.http import Connect
from dunehold.types import (
    UNBOUNDED,
    AttemptId,
    Duration,
    ExitReason,
    HostId,
    JobId,
    JobPhase,
    MonotonicTime,
    NodeId,
    TaskId,
    Team,
    Tier,
    Token,
    TypeName,
    WallTime,
    Zone,
)

log = logging.getLogger(__name__)

TICK_S = 0.5
SCALE_INTERVAL_S = 1.0
FLEET_LOG_INTERVAL_S = 10.0
PREEMPT_S = 0.5
SILENCE_TIMEOUT_REPORTS = 3.0
# With many machines, some report within any second: silence is told from chance sooner.
LARGE_FLEET_HOSTS, SILENT_MARGIN_S = 8, 1.0
LEADER_DISCOVERY_S = 4.0  # a new leader's workers need so long to find it
STALL_THRESHOLD_S = 1.5  # between two ticks, beyond their interval: the process did not run
MAX_SILENT_HOST_SHARE = (
    0.1  # of the fleet: with more unheard of, its size is not known well enough
)
MAX_PLANNING_TIME_SHARE = 0.07  # of the time, at most, goes on plans
DIRECT_SOCKET_SHARE = 0.25
REFUSED_START_BACKOFF_S = 1.0
UNKNOWN_TOKEN_LOG_INTERVAL_S = 10.0  # between lines on tokens that no leader has taken


@dataclass(slots=True)
class Leader:
    settings: Settings
    view: View
    ledger: Ledger
    recorder: Recorder
    cloud: CloudClient
    token: Token
    types: dict[TypeName, MachineType]
    may_start: Callable[[], bool]
    may_renew_leases: Callable[[], bool]
    proved_at: Callable[[], MonotonicTime]
    deposed: Callable[[], None]
    workers_silent: Callable[[], Awaitable[bool]]
    estimates: RuntimeEstimates
    connect: Connect
    wall: Callable[[], float]
    reaches: Callable[[NodeId], Awaitable[bool]]
    in_time: Callable[[], dict[Team, tuple[int, int]]]
    timeout_factor: float = 1.0  # times the usual, after terms in which no worker was heard
    progress: dict[JobId, JobProgress] = field(default_factory=dict)
    previous_reservations: list[Reservation] = field(default_factory=list)
    health: Health = field(init=False)
    snapshot_builder: SnapshotBuilder = field(init=False)
    delivery: Delivery = field(init=False)
    fleet: Fleet = field(init=False)
    quarantine: Quarantine = field(init=False)
    zones: ZoneMonitor = field(init=False)
    late_starts: LateStarts = field(init=False)
    maintenance: MaintenanceController = field(init=False)
    _dirty: bool = True
    _planned_at: MonotonicTime = MonotonicTime(-1e9)
    _plan_gap_s: float = 0.0
    _preempted_at: MonotonicTime = MonotonicTime(-1e9)
    _plan_timer: asyncio.TimerHandle | None = None
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _reported_known: bool = False
    heard_any_worker: bool = False  # any worker, in this term
    _handing_over: bool = False
    _last_report_at: MonotonicTime = MonotonicTime(math.inf)  # when any worker came last
    # Since when it could hear its workers without a break. Who stood still, or answered
    # nobody for want of proof, must not take its own silence for that of the machines.
    receiving_since: MonotonicTime = MonotonicTime(0.0)
    _stalled_at: MonotonicTime = MonotonicTime(-1e9)
    _unknown_token_logged_at: MonotonicTime = MonotonicTime(-1e9)

    def __post_init__(self) -> None:
        self.health = Health(self.settings.operator.sick_after_errors)
        self.late_starts = LateStarts(self.ledger.took_over_at)
        self.zones = ZoneMonitor(
            self.settings,
            self.ledger,
            self.types,
            self.reaches,
            report_timeout_s(self.settings),
            self.recorder.record_zones,
        )
        self.snapshot_builder = SnapshotBuilder(
            self.settings, self.ledger, self.estimates, self.types, self.health, self.zones
        )
        self.quarantine = Quarantine(
            self.ledger, self.recorder, self.health, self.snapshot_builder, self._mark_dirty
        )
        self.delivery = Delivery(
            self.settings,
            self.ledger,
            self.token,
            self.connect,
            self.may_start,
            self.spawn,
            self._direct_answer,
            int(self.settings.sockets * DIRECT_SOCKET_SHARE),
        )
        self.fleet = Fleet(
            self.settings,
            self.view,
            self.ledger,
            self.recorder,
            self.cloud,
            self.snapshot_builder,
            self.token,
            self.types,
            self.may_start,
            self.spawn,
            self._handle_lost,
            self._host_removed,
            self.request_scheduling,
            self.zones,
        )

        self.maintenance = MaintenanceController(
            self.settings,
            self.view,
            self.ledger,
            self.recorder,
            self.types,
            self.estimates,
            self.snapshot_builder,
            self.zones,
            self.fleet,
            self.may_start,
            self.wall,
            self.spawn,
            self._stop_and_send,
            self._requeue,
            self.in_time,
            self._waiting_cpus,
        )
        self.fleet.is_retained = self.maintenance.is_retained
        self.fleet.excluded_offers = self.maintenance.excluded_offers
        self.snapshot_builder.out_of_service_at = self.maintenance.out_of_service_at
        self.snapshot_builder.protected_teams = self.maintenance.protected_teams
        self.snapshot_builder.priority_inheritance.on_change = self._dependents_changed

    # -- life --------------------------------------------------------------------------

    def start(self) -> None:
        now = self.receiving_since = self.now()
        if self.ledger.hosts:
            self._last_report_at = MonotonicTime(now + LEADER_DISCOVERY_S * self.timeout_factor)
        for job in list(self.view.dependency_index.pending):
            self.snapshot_builder.priority_inheritance.add_waiting_job(job)
        for job in list(self.view.active):
            self._track_job(job)
        self.zones.restore(self.view.zones, now)
        self.maintenance.restore(now)
        self.health.restore_broken_jobs(self.view.broken_jobs & self.view.active.keys(), now)
        self.spawn(self.recorder.run())
        self.spawn(self._tick())
        self.spawn(self.zones.poll_peers())
        self.fleet.start()
        self.spawn(self.delivery.probe_all())

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._plan_timer is not None:
            self._plan_timer.cancel()
        self.delivery.close()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(self._guarded(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guarded(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except asyncio.CancelledError:
            raise
        except LeadershipLost:
            log.info("token %d: leader key lost", self.token)
            self.deposed()
        except Exception:
            log.exception("token %d: a leader's task failed", self.token)
            self.deposed()

    @staticmethod
    def now() -> MonotonicTime:
        return MonotonicTime(asyncio.get_running_loop().time())

    # -- jobs --------------------------------------------------------------------------

    def jobs_changed(self, touched: list[JobId]) -> None:
        for job in touched:
            record = self.view.jobs.get(job)
            if record is None:
                continue
            if record.phase is JobPhase.ACTIVE:
                self.snapshot_builder.priority_inheritance.refresh(job)
                if self.view.waits_for_dependencies(job):
                    self.snapshot_builder.priority_inheritance.add_waiting_job(job)
                    continue
                if job not in self.progress:
                    self._track_job(job)
                    if record.spec is not None:
                        self.snapshot_builder.record_arrival(record.spec, self.now())
                continue
            self.snapshot_builder.priority_inheritance.remove(job)
            if record.phase is JobPhase.CANCELLED:
                self._stop_all_attempts(job)
            if self.progress.pop(job, None) is not None:
                log.info("job %s is %s", job, record.phase.value)
                self.ledger.reported_done.pop(job, None)
                self.health.forget_job(job)
                self.maintenance.disruptions.job_ended(job)
        if touched:
            self.snapshot_builder.guaranteed_jobs = None
            self.request_scheduling()

    def _stop_all_attempts(self, job: JobId) -> None:
        """At once, and not with the next report: a start still under way would begin a task
        that its user was told will not start."""
        for task in list(self.ledger.task_zones_by_job.get(job, ())):
            for run in list(self.ledger.runs_by_task.get(task, ())):
                self._stop_and_send(run, Duration(0.0))

    def orders_changed(self) -> None:
        self.maintenance.orders_changed()
        self.request_scheduling()

    def _dependents_changed(self, job: JobId) -> None:
        """Another job came, or went, that needs it: its rank, its aims, or both, are others."""
        record, progress = self.view.active.get(job), self.progress.get(job)
        if record is None or progress is None:
            return
        progress.completion_targets_s = self.snapshot_builder.completion_targets_s(record)
        for task in self.ledger.task_zones_by_job.get(job, ()):
            for run in self.ledger.runs_by_task.get(task, ()):
                self.ledger.hosts[run.host].version += 1  # pictured with its rank
        self.request_scheduling()

    def _track_job(self, job: JobId) -> None:
        record = self.view.active[job]
        if record.spec is not None and not self.view.waits_for_dependencies(job):
            self.progress[job] = self.snapshot_builder.create_progress(record)

    def running_counts(self) -> dict[JobId, int]:
        return {job: len(tasks) for job, tasks in self.ledger.task_zones_by_job.items()}

    # -- reports -----------------------------------------------------------------------

    def handle_report(self, report: Report) -> bytes | None:
        """The response's body, or None when this node must not answer for the leader."""
        now = self.now()
        if report.token > self.token:
            self._handle_higher_token(report.host, report.token)
            return None
        if report.host in self.ledger.deleted_hosts:
            return None
        host = self.ledger.hosts.get(report.host)
        if host is not None and (report.session, report.sequence) <= host.newest_report:
            # A worker has one report in flight: it gave this one up before it sent a newer.
            # Guards against copies that keep a lease on the books which nobody renewed, and
            # that pass for a worker who reaches this node.
            return None
        self._last_report_at, self.heard_any_worker = now, True
        if not self.may_renew_leases():
            return None
        if host is None:
            host = self._add_unknown_host(report)
        host.newest_report = report.session, report.sequence
        if host.address != report.address:
            host.address = report.address
            self.delivery.drop(host.id)
        if report.session <= host.expired_session or report.session < host.session:
            return None  # held up on its way: its worker no longer waits for an answer
        outcome = self.ledger.ingest(report, now)
        host.lease_renewed_at = now
        if not host.recorded and not host.fenced and not host.deleting:
            # On record before anything can be started on it, so that a next leader knows of
            # every machine that may hold tasks.
            self.recorder.record_host(host.id)
        commands: list[Command] = []
        if outcome.accepted:
            self._apply_outcome(host, outcome)
            if host.reclaim_at is not None:
                self._evacuate(host, host.reclaim_at, now)
            if outcome.changed:
                self.schedule()
            commands = self.ledger.commands(host, direct=False, starts=self.may_start())
        return workers.encode_reply(self.token, commands)

    def _handle_higher_token(self, host: HostId, token: Token) -> None:
        """A token above ours is a later leader's, and the first word of it where the state
        service can't be reached. While our lease is known to hold there is none: a report that
        says so is at fault, and must not end a term."""
        if not self.may_start():
            log.info("host %s has seen token %d, above %d", host, token, self.token)
            self.deposed()
        elif self.now() - self._unknown_token_logged_at > UNKNOWN_TOKEN_LOG_INTERVAL_S:
            self._unknown_token_logged_at = self.now()
            log.warning("host %s has token %d, which no leader has taken", host, token)

    def _add_unknown_host(self, report: Report) -> Host:
        log.info("host %s reports: %s in %s", report.host, report.type, report.zone)
        return self.ledger.add_host(
            report.host, report.type, report.zone, report.spot, report.address, self.now()
        )

    def _apply_outcome(self, host: Host, outcome: ReportOutcome) -> None:
        for run in outcome.adopted:
            # Taken for waiting until its machine reported it: planned again and again, it
            # would be refused each time and keep its room from everybody else.
            progress = self.progress.get(run.id.task.job)
            if progress is not None:
                progress.waiting.discard(run.id.task.number)
        for run in outcome.begun:
            self._record_running(run)
        for exit_ in outcome.exits:
            self._handle_exit(host, exit_)
        self._handle_lost(list(outcome.lost))
        if outcome.changed:
            self._dirty = True

    def _record_running(self, run: Run) -> None:
        job = run.id.task.job
        self.maintenance.disruptions.task_restored(run.id.task)
        progress, record = self.progress.get(job), self.view.active.get(job)
        if progress is None or record is None:
            return
        limit = progress.start_target_s
        if (
            self.snapshot_builder.guaranteed_jobs is not None
            and job in self.snapshot_builder.guaranteed_jobs
        ):
            limit = min(limit, self.snapshot_builder.guarantee_target_s)
        if limit < UNBOUNDED:
            self.late_starts.record_start(
                run, progress, limit, self.wall() - record.eligible_at
            )

    def _handle_lost(self, runs: list[Run]) -> None:
        self.maintenance.record_lost(runs, self.now())
        for run in runs:
            log.info("attempt %s on %s is gone", run.id, run.host)
            self._requeue(run.id.task)
        for task in self.ledger.take_released():
            self._requeue(task)

    def _evacuate(self, host: Host, taken_at: MonotonicTime, now: MonotonicTime) -> None:
        """Before the cloud takes the machine, stop what can't end by then, to begin it anew
        elsewhere at once: later it would have to be proved gone first, a lease later."""
        for run in list(host.runs.values()):
            record = self.view.active.get(run.id.task.job)
            if not run.occupies or run.stop_grace_s is not None or record is None:
                continue
            spec = record.spec
            if spec is None:
                continue
            ran = run.ran_s(now)
            if now + self.estimates.remaining_s(spec, ran) <= taken_at and not run.service:
                continue
            saves = spec.checkpoint_s > 0 and now + spec.save_s < taken_at
            log.info("stop %s on %s: the machine is taken back", run.id, host.id)
            self.maintenance.record_lost([run], now)
            self._stop(run, spec.save_s if saves else Duration(0.0))

    def _check_known(self) -> None:
        if not self._reported_known and self.ledger.all_reconciled():
            self._reported_known = True
            log.info("token %d: every machine has answered or is fenced", self.token)
            self.request_scheduling()

    def _handle_exit(self, host: Host, exit_: AttemptExit) -> None:
        run = exit_.run
        job = run.id.task.job
        progress = self.progress.get(job)
        log.info("attempt %s on %s exited: %s", run.id, host.id, exit_.exit_reason.value)
        if exit_.exit_reason is ExitReason.DONE:
            self.maintenance.disruptions.task_restored(run.id.task)
            if progress is not None:
                self.quarantine.update_hosts(
                    {host.id, *self.health.record_success(job, host.id)}, self.now()
                )
                if run.duration_s is not None and not run.adopted:
                    self.estimates.record_run(progress.spec, run.duration_s)
                    self.quarantine.record_duration(host, progress, run.duration_s)
            if not run.service:
                whole = progress is None or not (
                    progress.waiting or job in self.ledger.task_zones_by_job
                )
                self.recorder.record_job(job, whole)
                return
        elif exit_.exit_reason is ExitReason.ERROR and progress is not None:
            self.quarantine.record_failure(host, job, self.now())
        elif (
            exit_.exit_reason in (ExitReason.NO_ROOM, ExitReason.BUSY, ExitReason.UNKNOWN)
            and progress is not None
        ):
            progress.held_until = MonotonicTime(self.now() + REFUSED_START_BACKOFF_S)
        self._requeue(run.id.task)

    def _requeue(self, task: TaskId) -> None:
        record = self.view.active.get(task.job)
        progress = self.progress.get(task.job)
        if record is None or progress is None or task in self.ledger.runs_by_task:
            return
        if self.ledger.may_run_on_unreconciled_host(task):
            return
        if task.number < progress.spec.tasks and not self.ledger.is_done(record, task.number):
            progress.waiting.add(task.number)
            self._dirty = True

    # -- placement ---------------------------------------------------------------------

    def _mark_dirty(self) -> None:
        self._dirty = True

    def request_scheduling(self) -> None:
        self._dirty = True
        if self._plan_timer is None:
            wait = self._planned_at + self._plan_gap_s - self.now()
            loop = asyncio.get_running_loop()
            self._plan_timer = loop.call_later(max(wait, 0.0), self._plan_due)

    def _plan_due(self) -> None:
        self._plan_timer = None
        self.schedule(due=True)

    def schedule(self, due: bool = False) -> None:
        """Place what waits, and hand the commands out."""
        try:
            self._schedule(due)
        except Exception:
            # A job that placement can't cope with must not take leadership along: the
            # next leader would meet the same job, and no worker would be heard any more.
            log.exception("placement failed")

    def _schedule(self, due: bool) -> None:
        now = self.now()
        if not self._dirty or not self.may_start():
            return
        if not due and now - self._planned_at < self._plan_gap_s:
            self.request_scheduling()
            return
        self._dirty = False
        self._planned_at = now
        snapshot = self.snapshot_builder.snapshot(self.progress, now, WallTime(self.wall()))
        snapshot.previous_reservations = self.previous_reservations
        preempting = now - self._preempted_at >= PREEMPT_S
        if preempting:
            self._preempted_at = now
        decided = plan(snapshot, self._policy(preempting))
        self.previous_reservations = decided.reservations
        self._apply_plan(decided, now)
        # Plans cost more the more there is to place; reports must be answered all the same.
        spent = self.now() - now
        self._plan_gap_s = max(
            self.settings.operator.schedule_interval_s, spent / MAX_PLANNING_TIME_SHARE
        )

    def _policy(self, preempting: bool) -> Policy:
        operator = self.settings.operator
        return Policy(
            reservations=operator.reservation,
            backfill=bool(operator.backfill),
            background=bool(operator.background),
            lifting=bool(operator.lifting),
            preemption=preempting and bool(operator.preemption),
            max_moves=operator.move_budget,
        )

    def _apply_plan(self, decided: Plan, now: MonotonicTime) -> None:
        self._stop_planned(decided.stops, now)
        for attempt in decided.promotions:
            for run in self.ledger.runs_by_task.get(attempt.task, ()):
                if run.id == attempt:
                    run.tier = Tier.FOREGROUND
                    self.ledger.hosts[run.host].version += 1
        for start in decided.starts:
            record = self.view.active.get(start.task.job)
            host = self.ledger.hosts.get(start.host)
            progress = self.progress.get(start.task.job)
            if record is None or host is None or progress is None:
                continue
            made = self.ledger.plan_start(record, start.task, host, start.tier, now)
            if isinstance(made, str):
                log.debug("start of %s on %s refused: %s", start.task, host.id, made)
                if start.task in self.ledger.runs_by_task or self.ledger.is_done(
                    record, start.task.number
                ):
                    progress.waiting.discard(start.task.number)
                continue
            progress.waiting.discard(start.task.number)
            log.info(
                "start %s on %s, token %d, %s",
                made.id,
                host.id,
                self.token,
                start.tier.name.lower(),
            )
            self.recorder.log_start(made)

    def _stop_planned(self, stops: list[Stop], now: MonotonicTime) -> None:
        wanted = []
        for stop in stops:
            host = self.ledger.hosts.get(stop.host)
            run = host.runs.get(stop.attempt) if host is not None else None
            if run is None:
                continue
            record = self.view.jobs.get(run.id.task.job)
            spec = record.spec if record is not None else None
            grace = spec.save_s if stop.save and spec is not None else Duration(0.0)
            wanted.append((run, grace, stop.reason))
        if self.maintenance.budgets_bind_scheduler:
            self.maintenance.stop_within_budgets(wanted, now)
            return
        for run, grace_s, reason in wanted:
            log.info("stop %s on %s: %s", run.id, run.host, reason)
            self._stop_and_send(run, grace_s)

    def _stop_and_send(self, run: Run, grace: Duration) -> None:
        self._stop(run, grace)
        self.delivery.send_urgent(run.host)

    def _stop(self, run: Run, grace: Duration) -> None:
        self.ledger.stop(run, grace)
        host = self.ledger.hosts.get(run.host)
        if host is None or run.id not in host.runs:
            self._requeue(run.id.task)  # it was never sent

    def starts_logged(self, hosts: Iterable[HostId]) -> None:
        for host_id in hosts:
            self.delivery.send_urgent(host_id)

    def _direct_answer(self, host: Host, report: Report, starts: list[AttemptId]) -> None:
        if self.ledger.hosts.get(host.id) is not host or report.host != host.id:
            return
        self.ledger.on_direct_response(host, starts)
        if report.token > self.token:
            self._handle_higher_token(host.id, report.token)
            return
        outcome = self.ledger.ingest(report, self.now(), direct=True)
        if outcome.accepted:
            self._apply_outcome(host, outcome)
            self._check_known()
            if outcome.changed:
                self.request_scheduling()

    def _host_removed(self, host: HostId) -> None:
        self.delivery.drop(host)
        self.health.forget_host(host)

    # -- time ----------------------------------------------------------------------------

    def _waiting_cpus(self) -> float:
        return sum(len(p.waiting) * p.spec.need.cpus for p in self.progress.values())

    def _log_fleet(self) -> None:
        hosts = [h for h in self.ledger.hosts.values() if not h.fenced]
        up = [h for h in hosts if h.session_known]
        log.info(
            "fleet: %d of %d machines up, %g cpus, %g used, %g waited for, %d jobs",
            len(up),
            len(hosts),
            sum(h.capacity.cpus for h in up),
            sum(h.used.cpus for h in up),
            self._waiting_cpus(),
            len(self.progress),
        )

    async def _tick(self) -> None:
        scaled_at = logged_at = 0.0
        ticked_at = self.now()
        while True:
            await asyncio.sleep(TICK_S)
            now = self.now()
            self._detect_stall(now, now - ticked_at - TICK_S)
            ticked_at = now
            if now - self._last_report_at > self._silence_timeout_s():
                if not await self._fleet_silent():
                    # All were here and all are silent at once: it is this node that is cut
                    # off from them, while its lease would keep every other from leading.
                    log.info("token %d: no worker is heard any more", self.token)
                    self.deposed()
                    return
                now = self.now()
            self.ledger.update_relays(now)
            if self.may_start():  # else it may be this node that is cut off
                for zone in self.zones.evaluate(now, self.receiving_since):
                    self.snapshot_builder.invalidate_zone(zone)
                larger = self.zones.preferred_leader_zone(now) if self.zones.any_lost else None
                if larger is not None and not self._handing_over:
                    self._handing_over = True
                    self.spawn(self._hand_over_to(larger))
            self._handle_lost(self.ledger.expire_leases(min(now, self.proved_at())))
            self._check_known()
            self.maintenance.update(now)
            self.fleet.return_hosts(now, self.receiving_since)
            self.fleet.record_boots(now)
            for host in self.ledger.hosts.values():
                if host.session_known and self.ledger.has_urgent_commands(host):
                    self.delivery.send_urgent(host.id)
            self._note_limits()
            self.snapshot_builder.guaranteed_jobs = None
            self.snapshot_builder.update_postponements(
                self.progress, now, WallTime(self.wall())
            )
            self._dirty = True
            self.schedule()
            if now - scaled_at >= SCALE_INTERVAL_S:
                scaled_at = now
                self.snapshot_builder.update_scarcity(self.progress, now)
                if self._fleet_size_known(now):
                    self.fleet.scale(self.progress, now)
            if now - logged_at >= FLEET_LOG_INTERVAL_S:
                logged_at = now
                self._log_fleet()

    async def _hand_over_to(self, zone: Zone) -> None:
        """Most machines are beyond a partition, and work on there: a node there should lead.

        Nothing is given up that a takeover would not give up: the next leader rebuilds from
        reports, and what runs on this side is fed by a follower as it was on the other.
        """
        log.info("token %d: most machines are in %s, which should lead", self.token, zone)
        await self.recorder.record_successor(zone)
        self.deposed()

    def _note_limits(self) -> None:
        for progress in self.progress.values():
            if progress.waiting and not self.ledger.team_allows(progress.spec):
                progress.at_team_limit_s += TICK_S

    async def _fleet_silent(self) -> bool:
        """Nobody hears any machine: giving way would only pass that on.

        Guards against leadership that goes round while the whole fleet is lost. What may run
        on the silent machines stays on the books; they are only not counted on for new work.
        """
        if not await self.workers_silent():
            return False
        now = self._last_report_at = self.now()
        log.info("token %d: no controller hears a machine: others are rented", self.token)
        self.fleet.all_silent_at = now
        return True

    def _detect_stall(self, now: MonotonicTime, late_s: float) -> None:
        """Whatever was silent meanwhile, this node was too."""
        stood_still = late_s > STALL_THRESHOLD_S
        if stood_still:
            log.info("token %d: stood still for %.1f s", self.token, late_s)
            self._last_report_at = max(self._last_report_at, now)
        if stood_still or not self.may_renew_leases():
            self.receiving_since = self._stalled_at = now

    def _silence_timeout_s(self) -> float:
        """Reports come every ``report_s``, give or take a quarter."""
        report_s = self.settings.report_s
        if len(self.ledger.hosts) >= LARGE_FLEET_HOSTS:
            return (1.25 * report_s + SILENT_MARGIN_S) * self.timeout_factor
        return SILENCE_TIMEOUT_REPORTS * report_s * self.timeout_factor

    def _fleet_size_known(self, now: MonotonicTime) -> bool:
        """Its size is not judged by a leader that has yet to hear from its machines."""
        if (
            not self.may_start()
            or now - self._stalled_at < self.snapshot_builder.report_timeout_s
        ):
            return False
        unknown = [
            h for h in self.ledger.unreconciled_hosts() if not self.fleet.presumed_lost(h)
        ]
        if len(unknown) <= len(self.ledger.hosts) * MAX_SILENT_HOST_SHARE:
            return True
        if (
            not self.heard_any_worker
            or now - self.receiving_since < self._discovery_timeout_s()
        ):
            return False
        # Guards against a part of the fleet that was lost along with the leader before: no
        # work is placed on it, and none was rented for until the cloud's list lacked it.
        log.info("token %d: %d machines not heard: not counted on", self.token, len(unknown))
        self.fleet.all_silent_at = now
        return True

    def _discovery_timeout_s(self) -> float:
        """So long after a takeover all workers that can come have come."""
        return LEADER_DISCOVERY_S * self.timeout_factor + self.snapshot_builder.report_timeout_s
