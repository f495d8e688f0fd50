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

BROKEN_JOB_HOSTS = 3  # machines that a job without any result must have failed on
HOLD_S, MAX_HOLD_S = 2.0, 60.0  # before a broken job is tried once more
TRIES_IN_A_ROW = 3  # without any result, before a job that is not judged waits as well
REMEMBERED_HOSTS = 12  # of a job's failures: a further try goes to another machine


@dataclass(slots=True)
class _Job:
    proven: bool = False  # a task of it has completed: it can run
    broken: bool = False
    failed_on: dict[HostId, int] = field(default_factory=dict)  # failures, oldest first
    tries: int = 0  # since it was found to be broken
    held_until: MonotonicTime = MonotonicTime(-1e9)
    setbacks: int = 0  # tries that failed while it was not judged
    setback_at: MonotonicTime = MonotonicTime(-1e9)


@dataclass(slots=True)
class Health:
    """What failures say, counted between a machine's last result and its next."""

    sick_after: int
    jobs: dict[JobId, _Job] = field(default_factory=dict)
    hosts: dict[HostId, set[JobId]] = field(default_factory=dict)  # jobs that failed there

    def completed(self, job: JobId, host: HostId) -> set[HostId]:
        """A task has completed there. Machines whose judgement that may change."""
        self.hosts.pop(host, None)
        entry = self.jobs.get(job)
        if entry is None:
            # Kept for jobs only that have failed, or later failures would count as first.
            self.jobs[job] = _Job(proven=True)
            return set()
        entry.failed_on.pop(host, None)
        if entry.proven:
            return set()
        entry.proven = True
        entry.broken = False
        entry.held_until = MonotonicTime(-1e9)
        return set(entry.failed_on)

    def failed(self, job: JobId, host: HostId, now: MonotonicTime) -> set[HostId]:
        """A task has failed there. Machines whose judgement that may change."""
        entry = self.jobs.setdefault(job, _Job())
        count = entry.failed_on.pop(host, 0)
        entry.failed_on[host] = count + 1
        self.hosts.setdefault(host, set()).add(job)
        while len(entry.failed_on) > REMEMBERED_HOSTS:
            oldest = next(iter(entry.failed_on))
            del entry.failed_on[oldest]
            self._forgive(oldest, job)
        if entry.broken:
            self._hold(entry, now)
            return {host}
        if entry.proven or len(self._unexplained(entry, job)) < BROKEN_JOB_HOSTS:
            self._set_back(entry, now)
            return {host}
        entry.broken = True
        self._hold(entry, now)
        return set(entry.failed_on)

    def _set_back(self, entry: _Job, now: MonotonicTime) -> None:
        """Slow down a job that fails again and again on too few machines to judge it.

        Guards against one that may use a machine or two only: it was tried again at once,
        without end. What fails within a short time is one try, as a faulty machine fails all
        tasks that it is given; and a job that has ever completed a task is not slowed down.
        """
        if entry.proven or now < entry.setback_at + HOLD_S:
            return
        entry.setback_at = now
        entry.setbacks += 1
        if entry.setbacks > TRIES_IN_A_ROW:
            self._hold(entry, now)

    def _unexplained(self, entry: _Job, job: JobId) -> list[HostId]:
        """Machines it failed on that other jobs have not shown to be faulty."""
        return [host for host in entry.failed_on if self._evidence(host, job) < self.sick_after]

    def _hold(self, entry: _Job, now: MonotonicTime) -> None:
        entry.tries += 1
        hold = min(MAX_HOLD_S, HOLD_S * 2 ** min(entry.tries, 10))
        # Tasks of it that were under way all fail at once: that is one try.
        if now >= entry.held_until or entry.tries == 1:
            entry.held_until = MonotonicTime(now + hold)
        else:
            entry.tries -= 1

    def sick(self, host: HostId) -> bool:
        """Different jobs failed there one after the other, or one that is known to run."""
        return self._evidence(host, None) >= self.sick_after

    def _evidence(self, host: HostId, besides: JobId | None) -> int:
        evidence = 0
        for job in self.hosts.get(host, ()):
            entry = self.jobs.get(job)
            if entry is None or entry.broken or job == besides:
                continue
            evidence += entry.failed_on.get(host, 0) if entry.proven else 1
        return evidence

    def suspect(self, host: HostId) -> bool:
        """Something failed there that is not known to fail everywhere."""
        return self._evidence(host, None) > 0

    def _forgive(self, host: HostId, job: JobId) -> None:
        jobs = self.hosts.get(host)
        if jobs is not None:
            jobs.discard(job)

    # -- jobs ------------------------------------------------------------------------

    def broken(self, job: JobId) -> bool:
        entry = self.jobs.get(job)
        return entry is not None and entry.broken

    def known_broken(self, jobs: set[JobId], now: MonotonicTime) -> None:
        """Found by a leader before: its judgement must not cost the fleet once more."""
        for job in sorted(jobs):
            entry = self.jobs.setdefault(job, _Job())
            entry.broken = True
            self._hold(entry, now)

    def broken_jobs(self) -> set[JobId]:
        return {job for job, entry in self.jobs.items() if entry.broken}

    def held(self, job: JobId, now: MonotonicTime) -> bool:
        entry = self.jobs.get(job)
        return entry is not None and now < entry.held_until

    def avoided(self, job: JobId) -> frozenset[HostId]:
        """Machines on which a further try would say nothing new."""
        entry = self.jobs.get(job)
        return frozenset(entry.failed_on) if entry is not None else frozenset()

    def forget_job(self, job: JobId) -> None:
        entry = self.jobs.pop(job, None)
        if entry is not None:
            for host in entry.failed_on:
                self._forgive(host, job)

    def forget_host(self, host: HostId) -> None:
        for job in self.hosts.pop(host, ()):
            entry = self.jobs.get(job)
            if entry is not None:
                entry.failed_on.pop(host, None)
