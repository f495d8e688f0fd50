"""One term of leadership: handles worker reports, plans and sends commands, runs periodic work.

A ``Leader`` exists from the moment a node wins the election until it steps down. It is created
and stopped by ``dunehold.coordination.node.Node``.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Iterator
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
from dunehold.transport.event_loop import BlockedTimeLog, run_in_slices
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
    Revision,
    TaskId,
    Team,
    Tier,
    Token,
    TypeName,
    WallTime,
    Zone,
)

log = logging.getLogger(__name__)

# Interval of the periodic work in ``Leader._tick``.
TICK_S = 0.5
# Minimum time between two runs of the autoscaler.
SCALE_INTERVAL_S = 1.0
# Minimum time between two log lines with fleet totals.
FLEET_LOG_INTERVAL_S = 10.0
# Minimum time between two plans that may preempt running tasks.
PREEMPTION_INTERVAL_S = 0.5
# Number of report intervals without any report after which the leader of a small fleet checks
# whether it is cut off from its workers.
SILENCE_TIMEOUT_REPORTS = 3.0
# With at least this many machines, some report arrives within any second, so that a shorter
# silence already cannot be chance: the longest report interval plus SILENT_MARGIN_S.
LARGE_FLEET_HOSTS = 8
SILENT_MARGIN_S = 1.0
# Time that workers need to find a new leader.
LEADER_DISCOVERY_S = 4.0
# Delay of a tick, beyond its interval, that shows that the process was not running.
STALL_THRESHOLD_S = 1.5
# Share of the fleet from which nothing may have been heard. With more, the usable size of the
# fleet is not known well enough to scale it.
MAX_SILENT_HOST_SHARE = 0.1
# Maximum share of the time that is spent on planning.
MAX_PLANNING_TIME_SHARE = 0.07
# Share of the node's sockets that may be used for direct connections to workers.
DIRECT_SOCKET_SHARE = 0.25
# Time for which no task of a job is planned after a worker has refused to start one.
REFUSED_START_BACKOFF_S = 1.0
# Minimum time between two warnings about reports with a token that no leader has taken.
UNKNOWN_TOKEN_LOG_INTERVAL_S = 10.0


@dataclass(slots=True)
class Leader:
    """The leader during one term, identified by the first fencing token of the term.

    Times of type ``MonotonicTime`` are seconds on the event loop's clock. A task of the term
    that fails, or that finds the leader key lost, ends the term through ``deposed``.
    """

    settings: Settings
    view: View
    ledger: Ledger
    recorder: Recorder
    cloud: CloudClient
    token: Token
    types: dict[TypeName, MachineType]
    # Whether the leader lease is known to hold. Nothing is started without it.
    may_start: Callable[[], bool]
    # Whether the proof of a current view is recent enough to renew worker leases.
    may_renew_leases: Callable[[], bool]
    # Whether the lease of a worker may be renewed that a start may still reach whose job was
    # cancelled at the given revision.
    may_renew_with_start_in_doubt: Callable[[Revision], bool]
    # When the latest proof of a current view was requested.
    proved_at: Callable[[], MonotonicTime]
    # Ends the term: another node leads, or should lead, for example after a failure here.
    deposed: Callable[[], None]
    # Whether no controller has heard from any worker for so long that a takeover cannot help.
    workers_silent: Callable[[], Awaitable[bool]]
    estimates: RuntimeEstimates
    connect: Connect
    # The time of day, in seconds since the epoch.
    wall: Callable[[], float]
    # Whether there is a network path to the machine of the named controller.
    reaches: Callable[[NodeId], Awaitable[bool]]
    # By team: jobs completed within their objectives, and completed jobs that had one.
    in_time: Callable[[], dict[Team, tuple[int, int]]]
    # Multiplies the silence and discovery timeouts. It is above 1 after consecutive terms in
    # which no worker reported.
    timeout_factor: float = 1.0
    progress: dict[JobId, JobProgress] = field(default_factory=dict)
    previous_reservations: list[Reservation] = field(default_factory=list)
    blocked_time: BlockedTimeLog = field(init=False)
    health: Health = field(init=False)
    snapshot_builder: SnapshotBuilder = field(init=False)
    delivery: Delivery = field(init=False)
    fleet: Fleet = field(init=False)
    quarantine: Quarantine = field(init=False)
    zones: ZoneMonitor = field(init=False)
    late_starts: LateStarts = field(init=False)
    maintenance: MaintenanceController = field(init=False)
    # Whether anything that planning depends on may have changed since the last plan.
    _dirty: bool = True
    _planned_at: MonotonicTime = MonotonicTime(-1e9)
    # Minimum time from the start of one plan to the start of the next.
    _plan_interval_s: float = 0.0
    _preempted_at: MonotonicTime = MonotonicTime(-1e9)
    _plan_timer: asyncio.TimerHandle | None = None
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    # Whether the active jobs of the previous leader have been taken over.
    _jobs_restored: bool = False
    # Whether it has been logged that all machines are reconciled.
    _reconciliation_logged: bool = False
    # Whether any worker has reported in this term.
    heard_any_worker: bool = False
    _handing_over: bool = False
    # When the latest report arrived, or a later time from which silence is counted anew. In a
    # term that starts without machines on record it is infinite until the first report, which
    # disables the silence timeout.
    _last_report_at: MonotonicTime = MonotonicTime(math.inf)
    # Since when this node could receive reports without a break. A node that stalled, or that
    # answered no worker because it had no recent proof, must not mistake the silence that it
    # caused itself for silence of the machines.
    receiving_since: MonotonicTime = MonotonicTime(0.0)
    _stalled_at: MonotonicTime = MonotonicTime(-1e9)
    _unknown_token_logged_at: MonotonicTime = MonotonicTime(-1e9)

    def __post_init__(self) -> None:
        self.blocked_time = BlockedTimeLog(self.settings.operator.blocked_log_s)
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

    # -- lifecycle ---------------------------------------------------------------------

    def start(self) -> None:
        """Restores the previous leader's state from the view and starts the term's tasks."""
        now = self.receiving_since = self.now()
        if self.ledger.hosts:
            self._last_report_at = MonotonicTime(now + LEADER_DISCOVERY_S * self.timeout_factor)
        self.zones.restore(self.view.zones, now)
        self.maintenance.restore(now)
        self.health.restore_broken_jobs(self.view.broken_jobs & self.view.active.keys(), now)
        self.recorder.start_log_cleaner.add_logged_jobs()
        self.spawn(self._restore_jobs())
        self.spawn(self.recorder.run())
        self.spawn(self._tick())
        self.spawn(self.zones.poll_peers())
        self.fleet.start()
        self.spawn(self.delivery.probe_all())

    async def _restore_jobs(self) -> None:
        """Takes over the start log and the active jobs, in slices.

        Leases, that of the leader and those of workers, are renewed meanwhile.

        Nothing is planned before everything is known: a task could be on a machine already,
        and work of lower priority could go first.
        """
        await run_in_slices(self.ledger.restore_log_steps())
        waiting = list(self.view.dependency_index.pending)
        inheritance = self.snapshot_builder.priority_inheritance
        await run_in_slices(inheritance.update_steps(waiting, []))
        await run_in_slices(self._track_steps(list(self.view.active)))
        self._jobs_restored = True
        for _ in self._track_steps(list(self.view.active)):
            pass  # jobs that came or became free meanwhile
        self.request_scheduling()

    def _track_steps(self, jobs: list[JobId]) -> Iterator[None]:
        for job in jobs:
            if self._may_track(job):
                self._track_job(job)
            yield

    def stop(self) -> None:
        """Cancels the tasks of the term and closes the connections to workers."""
        for task in self._tasks:
            task.cancel()
        if self._plan_timer is not None:
            self._plan_timer.cancel()
        self.delivery.close()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs ``work`` as a task of this term; an exception that it raises ends the term."""
        task = asyncio.create_task(self._guarded(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guarded(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except asyncio.CancelledError:
            raise
        except LeadershipLost:
            log.info("token %d: leader key is gone or was replaced; stepping down", self.token)
            self.deposed()
        except Exception:
            log.exception("token %d: a task of the leader failed; stepping down", self.token)
            self.deposed()

    @staticmethod
    def now() -> MonotonicTime:
        """The event loop's clock, in seconds."""
        return MonotonicTime(asyncio.get_running_loop().time())

    # -- jobs --------------------------------------------------------------------------

    def jobs_changed(self, touched: list[JobId]) -> None:
        """Applies changes of job records: tracks new jobs, drops ended ones, and replans."""
        with self.blocked_time.measure(f"{len(touched)} changed jobs"):
            self._update_inheritance(touched)
            self._apply_job_changes(touched)
        if touched:
            self.snapshot_builder.guaranteed_jobs = None
            self.request_scheduling()

    def _apply_job_changes(self, touched: list[JobId]) -> None:
        for job in touched:
            record = self.view.jobs.get(job)
            if record is None:
                continue
            if record.phase is JobPhase.ACTIVE:
                if self._jobs_restored and self._may_track(job):
                    self._track_job(job)
                    if record.spec is not None:
                        self.snapshot_builder.record_arrival(record.spec, self.now())
                continue
            if record.phase is JobPhase.CANCELLED:
                self._stop_all_attempts(job)
                self.recorder.start_log_cleaner.add_job(job)
            if self.progress.pop(job, None) is not None:
                log.info("job %s ended: %s", job, record.phase.value)
                self.ledger.reported_done.pop(job, None)
                self.health.forget_job(job)
                self.maintenance.disruptions.job_ended(job)

    def _update_inheritance(self, touched: list[JobId]) -> None:
        """Updates the priorities that jobs inherit, at once for all jobs that changed."""
        inheritance = self.snapshot_builder.priority_inheritance
        for job in touched:
            if job in self.view.jobs and job not in self.view.active:
                inheritance.remove(job)
        inheritance.update(
            added=[job for job in touched if self.view.waits_for_dependencies(job)],
            stale=[job for job in touched if job in self.view.active],
        )

    def _stop_all_attempts(self, job: JobId) -> None:
        """Stops all attempts of a cancelled job by direct calls, ahead of the next reports.

        A start that is still in flight could otherwise begin a task after the user was told
        that the job is cancelled and will not start.
        """
        for task in list(self.ledger.occupancy.task_zones_by_job.get(job, ())):
            for run in list(self.ledger.occupancy.runs_by_task.get(task, ())):
                self._stop_and_send(run, Duration(0.0))

    def orders_changed(self) -> None:
        """Applies changes of maintenance orders in the view and requests a plan."""
        self.maintenance.orders_changed()
        self.request_scheduling()

    def _dependents_changed(self, job: JobId) -> None:
        """Updates a job whose inherited priority or deadline has changed.

        Called when a job that depends on it, directly or through others, is added or removed.
        """
        record, progress = self.view.active.get(job), self.progress.get(job)
        if record is None or progress is None:
            return
        progress.completion_targets_s = self.snapshot_builder.completion_targets_s(record)
        for task in self.ledger.occupancy.task_zones_by_job.get(job, ()):
            for run in self.ledger.occupancy.runs_by_task.get(task, ()):
                self.ledger.hosts[run.host].version += 1  # its cached state holds the priority
        self.request_scheduling()

    def _may_track(self, job: JobId) -> bool:
        """Returns whether the job is active, free of dependencies and not planned yet."""
        return (
            job in self.view.active
            and job not in self.progress
            and not self.view.waits_for_dependencies(job)
        )

    def _track_job(self, job: JobId) -> None:
        """Lets an active job be planned that waits for no dependencies."""
        record = self.view.active[job]
        if record.spec is not None:
            self.progress[job] = self.snapshot_builder.create_progress(record)

    def running_counts(self) -> dict[JobId, int]:
        """Returns, by job, how many tasks occupy a machine, as far as the ledger knows."""
        return {
            job: len(tasks) for job, tasks in self.ledger.occupancy.task_zones_by_job.items()
        }

    # -- reports -----------------------------------------------------------------------

    def handle_report(self, report: Report) -> bytes | None:
        """Handles a worker's report and returns the body of the response.

        Returns None if this node must not answer as the leader: the report is outdated, its
        machine was deleted, or there is no recent proof of a current view. Steps down if the
        report shows that a later leader exists.
        """
        now = self.now()
        if report.token > self.ledger.tokens.last:
            self._handle_higher_token(report.host, report.token)
            return None
        if report.host in self.ledger.deleted_hosts:
            return None
        host = self.ledger.hosts.get(report.host)
        if host is not None and (report.session, report.sequence) <= host.newest_report:
            # A worker has one report in flight at a time, so it gave up on this one before it
            # sent a newer one. A delayed copy must not extend a lease in the ledger that the
            # worker has not renewed, nor count as a sign that the worker reaches this node.
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
            return None  # the report was delayed: its worker no longer waits for a response
        outcome = self.ledger.ingest(report, now)
        if not self._may_renew_lease_of(host):
            if outcome.accepted:
                self._apply_outcome(host, outcome)
            return None
        host.lease_renewed_at = now
        if not host.recorded and not host.fenced and not host.deleting:
            # The machine must be on record before anything is started on it, so that the next
            # leader knows every machine that may hold tasks.
            self.recorder.record_host(host.id)
        commands: list[Command] = []
        if outcome.accepted:
            self._apply_outcome(host, outcome)
            if host.reclaim_at is not None:
                self._evacuate(host, host.reclaim_at, now)
            if outcome.changed:
                self.schedule()
            commands = self.ledger.commands(host, direct=False, starts=self.may_start())
        return workers.encode_reply(host.token, commands)

    def _may_renew_lease_of(self, host: Host) -> bool:
        """Returns False if the host's session must end because of a start that is in doubt.

        The start of a cancelled job cannot be recalled. The worker refuses it only once the
        session that it names is over.
        """
        cancelled_at = self.ledger.start_in_doubt(host)
        if cancelled_at is None or self.may_renew_with_start_in_doubt(cancelled_at):
            return True
        log.info(
            "host %s gets no answer, so that its session ends: a start of a job that was "
            "cancelled at revision %d may still reach it",
            host.id,
            cancelled_at,
        )
        return False

    def _handle_higher_token(self, host: HostId, token: Token) -> None:
        """Steps down if a worker has seen a higher token while the leader lease may be over.

        A higher token belongs to a later leader. Where the state service cannot be reached,
        such a report is the first sign of that leader. While our leader lease is known to
        hold, there is no later leader: the report is faulty and must not end the term.
        """
        if not self.may_start():
            log.info(
                "host %s has seen token %d, above ours (%d to %d); stepping down",
                host,
                token,
                self.token,
                self.ledger.tokens.last,
            )
            self.deposed()
        elif self.now() - self._unknown_token_logged_at > UNKNOWN_TOKEN_LOG_INTERVAL_S:
            self._unknown_token_logged_at = self.now()
            log.warning(
                "report of host %s ignored: it has token %d, which no leader has taken",
                host,
                token,
            )

    def _add_unknown_host(self, report: Report) -> Host:
        log.info(
            "host %s added on its first report: type %s, zone %s",
            report.host,
            report.type,
            report.zone,
        )
        return self.ledger.add_host(
            report.host, report.type, report.zone, report.spot, report.address, self.now()
        )

    def _apply_outcome(self, host: Host, outcome: ReportOutcome) -> None:
        for run in outcome.adopted:
            # The task counted as waiting until its machine reported it. If it stayed in the
            # waiting set, plans would assign it room that no other task could use, and the
            # ledger would refuse its start each time.
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
        """Records that an attempt is first seen to run, and whether it started late."""
        job = run.id.task.job
        self.maintenance.disruptions.task_restored(run.id.task)
        progress, record = self.progress.get(job), self.view.active.get(job)
        if progress is None or record is None:
            return
        target_s = progress.start_target_s
        if (
            self.snapshot_builder.guaranteed_jobs is not None
            and job in self.snapshot_builder.guaranteed_jobs
        ):
            target_s = min(target_s, self.snapshot_builder.guarantee_target_s)
        if target_s < UNBOUNDED:
            self.late_starts.record_start(
                run, progress, target_s, self.wall() - record.eligible_at
            )

    def _handle_lost(self, runs: list[Run]) -> None:
        """Requeues tasks whose attempts are proved gone.

        Requeues also the tasks that an earlier leader may have started and that, as is known
        by now, are on no machine.
        """
        self.maintenance.record_lost(runs, self.now())
        for run in runs:
            log.info("attempt %s on host %s is lost", run.id, run.host)
            self._requeue(run.id.task)
        for task in self.ledger.take_released():
            self._requeue(task)

    def _evacuate(self, host: Host, reclaim_at: MonotonicTime, now: MonotonicTime) -> None:
        """Stops the tasks on a spot machine that cannot end before the cloud reclaims it.

        They can then be started elsewhere as soon as they have stopped. Without the stop, they
        would first have to be proved gone, which takes a worker lease longer.
        """
        for run in list(host.runs.values()):
            record = self.view.active.get(run.id.task.job)
            if not run.occupies or run.stop_grace_s is not None or record is None:
                continue
            spec = record.spec
            if spec is None:
                continue
            elapsed_s = run.ran_s(now)
            if (
                now + self.estimates.remaining_s(spec, elapsed_s) <= reclaim_at
                and not run.service
            ):
                continue
            can_save = spec.checkpoint_s > 0 and now + spec.save_s < reclaim_at
            log.info("stopping %s on host %s: the cloud reclaims the machine", run.id, host.id)
            self.maintenance.record_lost([run], now)
            self._stop(run, spec.save_s if can_save else Duration(0.0))

    def _check_reconciled(self) -> None:
        """Logs once, and requests a plan, when no machine is unreconciled any more."""
        if not self._reconciliation_logged and self.ledger.all_reconciled():
            self._reconciliation_logged = True
            log.info(
                "token %d: every machine has answered, is fenced or is deleted", self.token
            )
            self.request_scheduling()

    def _handle_exit(self, host: Host, exit_: AttemptExit) -> None:
        """Evaluates an exited attempt: completion, host and job health, requeueing."""
        run = exit_.run
        job = run.id.task.job
        progress = self.progress.get(job)
        log.info("attempt %s on host %s exited: %s", run.id, host.id, exit_.exit_reason.value)
        if exit_.exit_reason is ExitReason.DONE:
            self.maintenance.disruptions.task_restored(run.id.task)
            if progress is not None:
                self.quarantine.record_success(host, job, self.now())
                if run.duration_s is not None and not run.adopted:
                    self.estimates.record_run(progress.spec, run.duration_s)
                    self.quarantine.record_duration(host, progress, run.duration_s)
            if not run.service:
                job_finished = progress is None or not (
                    progress.waiting or job in self.ledger.occupancy.task_zones_by_job
                )
                self.recorder.record_job(job, job_finished)
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
        """Lets a task wait for a start unless it is not needed or may be on a machine."""
        record = self.view.active.get(task.job)
        progress = self.progress.get(task.job)
        if record is None or progress is None or task in self.ledger.occupancy.runs_by_task:
            return
        if self.ledger.may_run_on_unreconciled_host(task):
            return
        if task.number < progress.spec.tasks and not self.ledger.is_done(record, task.number):
            progress.waiting.add(task.number)
            self._dirty = True

    # -- planning ----------------------------------------------------------------------

    def _mark_dirty(self) -> None:
        self._dirty = True

    def request_scheduling(self) -> None:
        """Schedules a plan for the earliest time that the interval between plans allows."""
        self._dirty = True
        if self._plan_timer is None:
            wait = self._planned_at + self._plan_interval_s - self.now()
            loop = asyncio.get_running_loop()
            self._plan_timer = loop.call_later(max(wait, 0.0), self._plan_due)

    def _plan_due(self) -> None:
        self._plan_timer = None
        self.schedule(due=True)

    def schedule(self, due: bool = False) -> None:
        """Plans and applies starts and stops if anything has changed.

        Does nothing without a valid leader lease. Unless ``due``, a plan that would come too
        soon after the last one is postponed. Exceptions are logged and not raised.
        """
        try:
            with self.blocked_time.measure("planning"):
                self._schedule(due)
        except Exception:
            # A job that planning cannot handle must not end the term: each next leader would
            # fail on the same job, and no worker's reports would be handled any more.
            log.exception("planning failed; next attempt at the next tick")

    def _schedule(self, due: bool) -> None:
        now = self.now()
        if not self._dirty or not self._jobs_restored or not self.may_start():
            return
        if not due and now - self._planned_at < self._plan_interval_s:
            self.request_scheduling()
            return
        self._dirty = False
        self._planned_at = now
        snapshot = self.snapshot_builder.snapshot(self.progress, now, WallTime(self.wall()))
        snapshot.previous_reservations = self.previous_reservations
        preempting = now - self._preempted_at >= PREEMPTION_INTERVAL_S
        if preempting:
            self._preempted_at = now
        decided = plan(snapshot, self._policy(preempting))
        self.previous_reservations = decided.reservations
        self._apply_plan(decided, now)
        # Planning takes longer the more tasks wait. The interval between plans grows
        # with it, so that reports are still answered in time.
        planning_s = self.now() - now
        self._plan_interval_s = max(
            self.settings.operator.schedule_interval_s, planning_s / MAX_PLANNING_TIME_SHARE
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
        """Applies a plan to the ledger; starts are sent once they are in the durable log."""
        self._stop_planned(decided.stops, now)
        for attempt in decided.promotions:
            for run in self.ledger.occupancy.runs_by_task.get(attempt.task, ()):
                if run.id == attempt:
                    run.tier = Tier.FOREGROUND
                    self.ledger.hosts[run.host].version += 1
        for start in decided.starts:
            record = self.view.active.get(start.task.job)
            host = self.ledger.hosts.get(start.host)
            progress = self.progress.get(start.task.job)
            if record is None or host is None or progress is None:
                continue
            planned = self.ledger.plan_start(record, start.task, host, start.tier, now)
            if isinstance(planned, str):
                log.debug(
                    "start of task %s on host %s refused: %s", start.task, host.id, planned
                )
                if start.task in self.ledger.occupancy.runs_by_task or self.ledger.is_done(
                    record, start.task.number
                ):
                    progress.waiting.discard(start.task.number)
                continue
            progress.waiting.discard(start.task.number)
            log.info(
                "start of %s on host %s planned, token %d, tier %s",
                planned.id,
                host.id,
                self.token,
                start.tier.name.lower(),
            )
            self.recorder.log_start(planned)

    def _stop_planned(self, stops: list[Stop], now: MonotonicTime) -> None:
        """Stops the attempts that a plan names, within the disruption budgets if they apply."""
        wanted_stops = []
        for stop in stops:
            host = self.ledger.hosts.get(stop.host)
            run = host.runs.get(stop.attempt) if host is not None else None
            if run is None:
                continue
            record = self.view.jobs.get(run.id.task.job)
            spec = record.spec if record is not None else None
            grace = spec.save_s if stop.save and spec is not None else Duration(0.0)
            wanted_stops.append((run, grace, stop.reason))
        if self.maintenance.budgets_bind_scheduler:
            self.maintenance.stop_within_budgets(wanted_stops, now)
            return
        for run, grace_s, reason in wanted_stops:
            log.info("stopping %s on host %s: %s", run.id, run.host, reason)
            self._stop_and_send(run, grace_s)

    def _stop_and_send(self, run: Run, grace: Duration) -> None:
        """Stops an attempt by a direct call, without waiting for the worker's next report."""
        self._stop(run, grace)
        self.delivery.send_urgent(run.host)

    def _stop(self, run: Run, grace: Duration) -> None:
        self.ledger.stop(run, grace)
        host = self.ledger.hosts.get(run.host)
        if host is None or run.id not in host.runs:
            self._requeue(run.id.task)  # its start was never sent and is withdrawn

    def starts_logged(self, hosts: Iterable[HostId]) -> None:
        """Sends the starts on these hosts, which are in the durable start log by now."""
        for host_id in hosts:
            self.delivery.send_urgent(host_id)

    def _direct_answer(self, host: Host, report: Report, starts: list[AttemptId]) -> None:
        """Handles the report in a worker's answer to a direct call with these starts."""
        if self.ledger.hosts.get(host.id) is not host or report.host != host.id:
            return
        self.ledger.on_direct_response(host, starts)
        if report.token > self.ledger.tokens.last:
            self._handle_higher_token(host.id, report.token)
            return
        outcome = self.ledger.ingest(report, self.now(), direct=True)
        if outcome.accepted:
            self._apply_outcome(host, outcome)
            self._check_reconciled()
            if outcome.changed:
                self.request_scheduling()

    def _host_removed(self, host: HostId) -> None:
        self.delivery.drop(host)
        self.quarantine.forget_host(host, self.now())

    # -- periodic work -------------------------------------------------------------------

    def _waiting_cpus(self) -> float:
        return sum(len(p.waiting) * p.spec.need.cpus for p in self.progress.values())

    def _log_fleet(self) -> None:
        hosts = [h for h in self.ledger.hosts.values() if not h.fenced]
        up = [h for h in hosts if h.session_known]
        log.info(
            "fleet: %d of %d machines up; CPUs: %g in total, %g used, "
            "%g requested by waiting tasks; %d jobs",
            len(up),
            len(hosts),
            sum(h.capacity.cpus for h in up),
            sum(h.used.cpus for h in up),
            self._waiting_cpus(),
            len(self.progress),
        )

    async def _tick(self) -> None:
        """Runs the periodic work of the term every ``TICK_S``, until the term ends."""
        scaled_at = logged_at = 0.0
        ticked_at = self.now()
        while True:
            await asyncio.sleep(TICK_S)
            now = self.now()
            self._detect_stall(now, now - ticked_at - TICK_S)
            ticked_at = now
            if now - self._last_report_at > self._silence_timeout_s():
                if not await self._fleet_silent():
                    # All workers fell silent at once, though another controller may hear
                    # them. So this node is the one that is cut off, and its leader lease would
                    # keep all other nodes from leading.
                    log.info(
                        "token %d: no worker reports to this node any more; stepping down",
                        self.token,
                    )
                    self.deposed()
                    return
                now = self.now()
            self._reserve_tokens()
            self.ledger.update_relays(now)
            if self.may_start():  # without the lease, this node may be the one cut off
                for zone in self.zones.evaluate(now, self.receiving_since):
                    self.snapshot_builder.invalidate_zone(zone)
                next_zone = (
                    self.zones.preferred_leader_zone(now) if self.zones.any_lost else None
                )
                if next_zone is not None and not self._handing_over:
                    self._handing_over = True
                    self.spawn(self._hand_over_to(next_zone))
            self._handle_lost(self.ledger.expire_leases(min(now, self.proved_at())))
            self._check_reconciled()
            self.maintenance.update(now)
            self.quarantine.confirm_services(now)
            self.fleet.return_hosts(now, self.receiving_since)
            self.fleet.record_boots(now)
            for host in self.ledger.hosts.values():
                if host.session_known and self.ledger.has_urgent_commands(host):
                    self.delivery.send_urgent(host.id)
            self._count_time_at_limits()
            self.snapshot_builder.guaranteed_jobs = None
            self.snapshot_builder.update_postponements(
                self.progress, now, WallTime(self.wall())
            )
            self._dirty = True
            self.schedule()
            if now - scaled_at >= SCALE_INTERVAL_S:
                scaled_at = now
                with self.blocked_time.measure("scaling the fleet"):
                    self.snapshot_builder.update_scarcity(self.progress, now)
                    if self._fleet_size_known(now):
                        self.fleet.scale(self.progress, now)
            if now - logged_at >= FLEET_LOG_INTERVAL_S:
                logged_at = now
                self._log_fleet()

    def _reserve_tokens(self) -> None:
        """Has more fencing tokens reserved for this term before they are needed."""
        wanted = self.ledger.tokens.wanted_last()
        if wanted is not None:
            self.recorder.reserve_tokens(wanted)

    async def _hand_over_to(self, zone: Zone) -> None:
        """Records that a node of ``zone`` should lead next, and steps down.

        Used when most machines are beyond a partition and keep working there. Nothing is lost
        that another takeover would not lose: the next leader rebuilds its state from reports,
        and a relay on this side renews the leases of the workers here, as one on the other
        side did until now.
        """
        log.info(
            "token %d: most machines are in zone %s; stepping down so that a node there leads",
            self.token,
            zone,
        )
        await self.recorder.record_successor(zone)
        self.deposed()

    def _count_time_at_limits(self) -> None:
        """Counts, for each waiting job, the time during which its team is at its limit."""
        for progress in self.progress.values():
            if progress.waiting and not self.ledger.team_allows(progress.spec):
                progress.at_team_limit_s += TICK_S

    async def _fleet_silent(self) -> bool:
        """Returns whether no controller has heard from any worker; if so, the term goes on.

        Stepping down would not help then: leadership would pass from node to node for as long
        as the whole fleet is lost. What may run on the silent machines stays in the ledger.
        The machines only stop counting as capacity for new work.
        """
        if not await self.workers_silent():
            return False
        now = self._last_report_at = self.now()
        log.info(
            "token %d: no controller hears from any machine; renting others as needed",
            self.token,
        )
        self.fleet.all_silent_at = now
        return True

    def _detect_stall(self, now: MonotonicTime, late_s: float) -> None:
        """Restarts the timeouts of silent machines after a stall or without a recent proof.

        Silence of machines and zones in that time says nothing, as this node answered nobody.
        A stall also restarts the leader's own silence timeout. ``late_s`` is the delay of the
        current tick.
        """
        stalled = late_s > STALL_THRESHOLD_S
        if stalled:
            log.info(
                "token %d: process did not run for %.1f s; restarting the silence timeouts",
                self.token,
                late_s,
            )
            self._last_report_at = max(self._last_report_at, now)
        if stalled or not self.may_renew_leases():
            self.receiving_since = self._stalled_at = now

    def _silence_timeout_s(self) -> float:
        """Returns for how long no report may arrive before a loss of connection is assumed.

        Each worker reports every ``report_s``, give or take a quarter.
        """
        report_s = self.settings.report_s
        if len(self.ledger.hosts) >= LARGE_FLEET_HOSTS:
            return (1.25 * report_s + SILENT_MARGIN_S) * self.timeout_factor
        return SILENCE_TIMEOUT_REPORTS * report_s * self.timeout_factor

    def _fleet_size_known(self, now: MonotonicTime) -> bool:
        """Returns whether the leader has heard enough of the fleet to scale it.

        Long enough after a takeover or a stall, machines that are still silent stop counting
        as capacity, and the fleet is scaled without them.
        """
        if (
            not self.may_start()
            or not self._jobs_restored
            or now - self._stalled_at < self.snapshot_builder.report_timeout_s
        ):
            return False
        unreconciled = [
            h for h in self.ledger.unreconciled_hosts() if not self.fleet.presumed_lost(h)
        ]
        if len(unreconciled) <= len(self.ledger.hosts) * MAX_SILENT_HOST_SHARE:
            return True
        if (
            not self.heard_any_worker
            or now - self.receiving_since < self._discovery_timeout_s()
        ):
            return False
        # Part of the fleet may have been lost together with the previous leader. No work can be
        # placed on these machines. If they went on counting as capacity, replacements would be
        # rented only once the cloud's list of machines lacks them.
        log.info(
            "token %d: %d machines have not reported; they do not count as capacity until then",
            self.token,
            len(unreconciled),
        )
        self.fleet.all_silent_at = now
        return True

    def _discovery_timeout_s(self) -> float:
        """Returns the time, after a takeover, within which each worker that can reports."""
        return LEADER_DISCOVERY_S * self.timeout_factor + self.snapshot_builder.report_timeout_s
