"""What results say of machines: which fail what they are given, and which are slow."""

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

SLOW_RATIO, MAX_SLOWNESS, SLOW_RESULTS_TO_QUARANTINE = 1.6, 4.0, 2
FAILING_TASKS_REASON = "tasks fail on it"


@dataclass(slots=True)
class Quarantine:
    ledger: Ledger
    recorder: Recorder
    health: Health
    snapshot_builder: SnapshotBuilder
    on_released: Callable[[], None]  # a machine is used again

    def record_failure(self, host: Host, job: JobId, now: MonotonicTime) -> None:
        was_broken = self.health.is_broken(job)
        self.update_hosts(self.health.record_failure(job, host.id, now), now)
        if self.health.is_broken(job) and not was_broken:
            log.info("job %s fails on every machine: tried seldom from now on", job)
            self.recorder.record_broken_jobs(self.health.broken_jobs())
            self.snapshot_builder.guaranteed_jobs = None

    def update_hosts(self, hosts: set[HostId], now: MonotonicTime) -> None:
        """Bring suspicion and quarantine in line with what failures say now."""
        for host_id in sorted(hosts):
            host = self.ledger.hosts.get(host_id)
            if host is None:
                continue
            suspect, sick = self.health.is_suspect(host_id), self.health.is_faulty(host_id)
            if suspect != (host.error_at is not None):
                host.error_at = now if suspect else None
                host.version += 1
            if sick and host.draining is None:
                host.draining = FAILING_TASKS_REASON
                host.quarantined_at = now
                log.info("host %s is quarantined: %s", host.id, FAILING_TASKS_REASON)
            elif not sick and host.draining == FAILING_TASKS_REASON and not host.deleting:
                host.draining = host.quarantined_at = None
                log.info("host %s is used again: the jobs were at fault", host.id)
                self.on_released()

    def record_duration(self, host: Host, progress: JobProgress, ran_s: float) -> None:
        """One slow machine makes a whole array late. Once may be chance; twice in a row the
        machine is returned as soon as it is empty, and is not used meanwhile."""
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
            log.info("host %s is quarantined: %.1f times as slow", host.id, ratio)
