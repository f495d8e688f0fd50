"""What results say of machines: which fail what they are given, and which are slow."""

from __future__ import annotations

import logging
from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass

from dunehold.bookkeeping.hosts import Host
from dunehold.bookkeeping.ledger import Ledger
from dunehold.coordination.durable.recorder import Recorder
from dunehold.coordination.picture.health import Health
from dunehold.coordination.picture.picture import Picture
from dunehold.coordination.picture.progress import MOST_DURATIONS, JobProgress, slowness
from dunehold.types import HostId, JobId, MonotonicTime

log = logging.getLogger(__name__)

SLOW_RATIO, MOST_SLOW, SLOW_RESULTS = 1.6, 4.0, 2
SICK = "tasks fail on it"


@dataclass(slots=True)
class Judge:
    ledger: Ledger
    recorder: Recorder
    health: Health
    picture: Picture
    on_freed: Callable[[], None]  # a machine is used again

    def failed(self, host: Host, job: JobId, now: MonotonicTime) -> None:
        was_broken = self.health.broken(job)
        self.rejudge(self.health.failed(job, host.id, now), now)
        if self.health.broken(job) and not was_broken:
            log.info("job %s fails on every machine: tried seldom from now on", job)
            self.recorder.broken_jobs(self.health.broken_jobs())
            self.picture.guaranteed = None

    def rejudge(self, hosts: set[HostId], now: MonotonicTime) -> None:
        """Bring suspicion and quarantine in line with what failures say now."""
        for host_id in sorted(hosts):
            host = self.ledger.hosts.get(host_id)
            if host is None:
                continue
            suspect, sick = self.health.suspect(host_id), self.health.sick(host_id)
            if suspect != (host.error_at is not None):
                host.error_at = now if suspect else None
                host.version += 1
            if sick and host.draining is None:
                host.draining = SICK
                host.quarantined_at = now
                log.info("host %s is quarantined: %s", host.id, SICK)
            elif not sick and host.draining == SICK and not host.deleting:
                host.draining = host.quarantined_at = None
                log.info("host %s is used again: the jobs were at fault", host.id)
                self.on_freed()

    def judge_speed(self, host: Host, progress: JobProgress, ran_s: float) -> None:
        """One slow machine makes a whole array late. Once may be chance; twice in a row the
        machine is returned as soon as it is empty, and is not used meanwhile."""
        ratio = slowness(progress, ran_s)
        if len(progress.durations) < MOST_DURATIONS:
            insort(progress.durations, ran_s)
        if ratio is None:
            return
        slow = ratio >= SLOW_RATIO
        host.slow_results = host.slow_results + 1 if slow else 0
        before, host.slowness = host.slowness, min(ratio, MOST_SLOW) if slow else 1.0
        if host.slowness != before:
            host.version += 1
        if host.slow_results >= SLOW_RESULTS and host.draining is None:
            host.draining = "much slower than others"
            log.info("host %s is quarantined: %.1f times as slow", host.id, ratio)
