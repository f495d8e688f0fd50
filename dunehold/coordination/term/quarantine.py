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
        was_broken = self.health.is_broken(job)
        self.update_hosts(self.health.record_failure(job, host.id, now), now)
        if self.health.is_broken(job) and not was_broken:
            log.info("job %s fails on every machine; retrying it with a backoff", job)
            self.recorder.record_broken_jobs(self.health.broken_jobs())
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
