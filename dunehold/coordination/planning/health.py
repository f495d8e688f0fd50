"""Who is at fault when a task fails: its job, or its machine.

A job that was submitted with a mistake fails on every machine; a faulty machine fails every
task. So a job is judged by the machines that it failed on, and a machine by the jobs that
failed on it, and each judgement takes back what the other one had drawn from the same
failures: no number of broken jobs may cost the fleet its healthy machines, and a faulty
machine is found while such jobs are about.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.types import HostId, JobId, MonotonicTime

MIN_HOSTS_TO_JUDGE_JOB = 3  # machines that a job without any result must have failed on
BACKOFF_S, MAX_BACKOFF_S = 2.0, 60.0  # before a broken job is tried once more
TRIES_BEFORE_BACKOFF = 3  # without any result, before a job that is not judged waits as well
MAX_FAILED_HOSTS_PER_JOB = 12  # of a job's failures: a further try goes to another machine


@dataclass(slots=True)
class _JobHealth:
    has_succeeded: bool = False  # a task of it has completed: it can run
    broken: bool = False
    failed_on: dict[HostId, int] = field(default_factory=dict)  # failures, oldest first
    tries: int = 0  # since it was found to be broken
    backoff_until: MonotonicTime = MonotonicTime(-1e9)
    unjudged_failures: int = 0  # tries that failed while it was not judged
    unjudged_failure_at: MonotonicTime = MonotonicTime(-1e9)


@dataclass(slots=True)
class Health:
    """What failures say, counted between a machine's last result and its next."""

    faulty_after_failures: int
    jobs: dict[JobId, _JobHealth] = field(default_factory=dict)
    failed_jobs_by_host: dict[HostId, set[JobId]] = field(
        default_factory=dict
    )  # jobs that failed there

    def record_success(self, job: JobId, host: HostId) -> set[HostId]:
        """A task has completed there. Machines whose judgement that may change."""
        self.failed_jobs_by_host.pop(host, None)
        entry = self.jobs.get(job)
        if entry is None:
            # Kept for jobs only that have failed, or later failures would count as first.
            self.jobs[job] = _JobHealth(has_succeeded=True)
            return set()
        entry.failed_on.pop(host, None)
        if entry.has_succeeded:
            return set()
        entry.has_succeeded = True
        entry.broken = False
        entry.backoff_until = MonotonicTime(-1e9)
        return set(entry.failed_on)

    def record_failure(self, job: JobId, host: HostId, now: MonotonicTime) -> set[HostId]:
        """A task has failed there. Machines whose judgement that may change."""
        entry = self.jobs.setdefault(job, _JobHealth())
        count = entry.failed_on.pop(host, 0)
        entry.failed_on[host] = count + 1
        self.failed_jobs_by_host.setdefault(host, set()).add(job)
        while len(entry.failed_on) > MAX_FAILED_HOSTS_PER_JOB:
            oldest = next(iter(entry.failed_on))
            del entry.failed_on[oldest]
            self._clear_failure(oldest, job)
        if entry.broken:
            self._back_off(entry, now)
            return {host}
        if entry.has_succeeded or len(self._unexplained(entry, job)) < MIN_HOSTS_TO_JUDGE_JOB:
            self._slow_down_unjudged(entry, now)
            return {host}
        entry.broken = True
        self._back_off(entry, now)
        return set(entry.failed_on)

    def _slow_down_unjudged(self, entry: _JobHealth, now: MonotonicTime) -> None:
        """Slow down a job that fails again and again on too few machines to judge it.

        Guards against one that may use a machine or two only: it was tried again at once,
        without end. What fails within a short time is one try, as a faulty machine fails all
        tasks that it is given; and a job that has ever completed a task is not slowed down.
        """
        if entry.has_succeeded or now < entry.unjudged_failure_at + BACKOFF_S:
            return
        entry.unjudged_failure_at = now
        entry.unjudged_failures += 1
        if entry.unjudged_failures > TRIES_BEFORE_BACKOFF:
            self._back_off(entry, now)

    def _unexplained(self, entry: _JobHealth, job: JobId) -> list[HostId]:
        """Machines it failed on that other jobs have not shown to be faulty."""
        return [
            host
            for host in entry.failed_on
            if self._evidence(host, job) < self.faulty_after_failures
        ]

    def _back_off(self, entry: _JobHealth, now: MonotonicTime) -> None:
        entry.tries += 1
        hold = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** min(entry.tries, 10))
        # Tasks of it that were under way all fail at once: that is one try.
        if now >= entry.backoff_until or entry.tries == 1:
            entry.backoff_until = MonotonicTime(now + hold)
        else:
            entry.tries -= 1

    def is_faulty(self, host: HostId) -> bool:
        """Different jobs failed there one after the other, or one that is known to run."""
        return self._evidence(host, None) >= self.faulty_after_failures

    def _evidence(self, host: HostId, besides: JobId | None) -> int:
        evidence = 0
        for job in self.failed_jobs_by_host.get(host, ()):
            entry = self.jobs.get(job)
            if entry is None or entry.broken or job == besides:
                continue
            evidence += entry.failed_on.get(host, 0) if entry.has_succeeded else 1
        return evidence

    def is_suspect(self, host: HostId) -> bool:
        """Something failed there that is not known to fail everywhere."""
        return self._evidence(host, None) > 0

    def _clear_failure(self, host: HostId, job: JobId) -> None:
        jobs = self.failed_jobs_by_host.get(host)
        if jobs is not None:
            jobs.discard(job)

    # -- jobs ------------------------------------------------------------------------

    def is_broken(self, job: JobId) -> bool:
        entry = self.jobs.get(job)
        return entry is not None and entry.broken

    def restore_broken_jobs(self, jobs: set[JobId], now: MonotonicTime) -> None:
        """Found by a leader before: its judgement must not cost the fleet once more."""
        for job in sorted(jobs):
            entry = self.jobs.setdefault(job, _JobHealth())
            entry.broken = True
            self._back_off(entry, now)

    def broken_jobs(self) -> set[JobId]:
        return {job for job, entry in self.jobs.items() if entry.broken}

    def in_backoff(self, job: JobId, now: MonotonicTime) -> bool:
        entry = self.jobs.get(job)
        return entry is not None and now < entry.backoff_until

    def hosts_to_avoid(self, job: JobId) -> frozenset[HostId]:
        """Machines on which a further try would say nothing new."""
        entry = self.jobs.get(job)
        return frozenset(entry.failed_on) if entry is not None else frozenset()

    def forget_job(self, job: JobId) -> None:
        entry = self.jobs.pop(job, None)
        if entry is not None:
            for host in entry.failed_on:
                self._clear_failure(host, job)

    def forget_host(self, host: HostId) -> None:
        for job in self.failed_jobs_by_host.pop(host, ()):
            entry = self.jobs.get(job)
            if entry is not None:
                entry.failed_on.pop(host, None)
