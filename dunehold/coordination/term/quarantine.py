"""Quarantine of machines whose results show that they fail tasks or run them slowly."""

from __future__ import annotations

import logging
from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass

from dunehold.bookkeeping.hosts import Host
from dunehold.bookkeeping.ledger import Ledger
from dunehold.coordination.persistence.recorder import Recorder
from dunehold.coordination.planning.health import Health
from dunehold.coordination.planning.progress import MAX_DURATIONS, JobProgress, slowness
from dunehold.coordination.planning.snapshot_builder import SnapshotBuilder
from dunehold.types import HostId, JobId, MonotonicTime

log = logging.getLogger(__name__)

# Run time, relative to that of the job's other tasks, from which a result counts as slow.
SLOW_RATIO = 1.6
# Upper bound of the slowness that is assumed of a machine.
MAX_SLOWNESS = 4.0
# Number of consecutive slow results after which a machine is quarantined.
SLOW_RESULTS_TO_QUARANTINE = 2
# Run time after which a replica of a service on trial counts as a success.
SERVICE_TRIAL_S = 20.0
# Reason for draining a machine that is quarantined for failed tasks.
FAILING_TASKS_REASON = "tasks fail on it"


@dataclass(slots=True)
class Quarantine:
    """Marks machines as suspect, slow or quarantined according to the results of their tasks.

    Nothing is started on a quarantined machine. It is returned to the cloud once it is empty;
    after failed tasks, ``Fleet`` first waits in case these tasks turn out to fail everywhere.
    """

    ledger: Ledger
    recorder: Recorder
    health: Health
    snapshot_builder: SnapshotBuilder
    # Called when a machine leaves quarantine.
    on_released: Callable[[], None]

    def record_failure(self, host: Host, job: JobId, now: MonotonicTime) -> None:
        """Takes account of a failed task of ``job`` on ``host``."""
        before = self.health.jobs_on_trial()
        self.update_hosts(self.health.record_failure(job, host.id, now), now)
        self._record_judgements(before)

    def record_success(self, host: Host, job: JobId, now: MonotonicTime) -> None:
        """Takes account of a completed task of ``job`` on ``host``."""
        before = self.health.jobs_on_trial()
        self.update_hosts({host.id, *self.health.record_success(job, host.id)}, now)
        self._record_judgements(before)

    def confirm_services(self, now: MonotonicTime) -> None:
        """Takes replicas on trial that have run for a while for successes.

        The tasks of a service never complete, so that nothing else would end its trial.
        """
        for job in sorted(self.health.jobs_on_trial()):
            for task in list(self.ledger.occupancy.task_zones_by_job.get(job, ())):
                for run in self.ledger.occupancy.runs_by_task.get(task, ()):
                    host = self.ledger.hosts.get(run.host)
                    if run.service and host is not None and run.ran_s(now) >= SERVICE_TRIAL_S:
                        self.record_success(host, job, now)

    def forget_host(self, host: HostId, now: MonotonicTime) -> None:
        """Takes account of a machine that is gone."""
        if self.health.forget_host(host, now):
            self.snapshot_builder.guaranteed_jobs = None

    def _record_judgements(self, before: set[JobId]) -> None:
        """Makes changes of the jobs on trial durable, which were ``before``.

        A job stays on trial when its judgement lapses. The next leader tries its tasks one at a
        time as well.
        """
        after = self.health.jobs_on_trial()
        if after == before:
            return
        for job in sorted(after - before):
            log.info("job %s fails on every machine; trying one task at a time", job)
        self.recorder.record_broken_jobs(after)
        self.snapshot_builder.guaranteed_jobs = None

    def update_hosts(self, hosts: set[HostId], now: MonotonicTime) -> None:
        """Updates suspicion and quarantine of these machines after a change of their health."""
        for host_id in sorted(hosts):
            host = self.ledger.hosts.get(host_id)
            if host is None:
                continue
            suspect, faulty = self.health.is_suspect(host_id), self.health.is_faulty(host_id)
            if suspect != (host.error_at is not None):
                host.error_at = now if suspect else None
                host.version += 1
            if faulty and host.draining is None:
                host.draining = FAILING_TASKS_REASON
                host.quarantined_at = now
                log.info("host %s is quarantined: %s", host.id, FAILING_TASKS_REASON)
            elif not faulty and host.draining == FAILING_TASKS_REASON and not host.deleting:
                host.draining = host.quarantined_at = None
                log.info(
                    "host %s leaves quarantine: its failures are put down to the jobs", host.id
                )
                self.on_released()

    def record_duration(self, host: Host, progress: JobProgress, ran_s: float) -> None:
        """Takes account of the run time of a completed task and quarantines slow machines.

        One slow machine makes a whole array job late. A single slow result may be chance. After
        ``SLOW_RESULTS_TO_QUARANTINE`` in a row, the machine is not used any more and is
        returned as soon as it is empty.
        """
        ratio = slowness(progress, ran_s)
        if len(progress.durations) < MAX_DURATIONS:
            insort(progress.durations, ran_s)
        if ratio is None:
            return
        slow = ratio >= SLOW_RATIO
        host.slow_results = host.slow_results + 1 if slow else 0
        before, host.slowness = host.slowness, min(ratio, MAX_SLOWNESS) if slow else 1.0
        if host.slowness != before:
            host.version += 1
        if host.slow_results >= SLOW_RESULTS_TO_QUARANTINE and host.draining is None:
            host.draining = "much slower than others"
            log.info(
                "host %s is quarantined: %.1f times the run time of the job's other tasks",
                host.id,
                ratio,
            )
