"""Tells broken jobs from faulty hosts when tasks fail.

A job that was submitted with a mistake fails on every host, and a faulty host fails every task.
A job is therefore judged by the hosts on which it failed, and a host by the jobs that failed on
it. Each judgement withdraws the conclusions that the other one drew from the same failures: any
number of broken jobs must not cost the fleet its healthy hosts, and a faulty host must be found
while such jobs are active.

A judged job is not given up: one of its tasks is tried at a time, at growing intervals, until
one succeeds. The judgement itself rests on the machines that it names. It lapses when they turn
out to be faulty, or are gone without any other job having succeeded on them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.types import HostId, JobId, MonotonicTime

MIN_HOSTS_TO_JUDGE_JOB = 3  # a job without any success is broken once it failed on so many
# Doubled with each failed try of a job, the first one included. Failures of a job that is not
# judged broken count as one try if they follow within this time.
BACKOFF_S = 2.0
MAX_BACKOFF_S = 60.0
TRIES_BEFORE_BACKOFF = 3  # failed tries after which a job not judged broken is delayed as well
MAX_FAILED_HOSTS_PER_JOB = 12  # hosts remembered for a job; further tries avoid these


@dataclass(slots=True)
class _JobHealth:
    """The successes and failures of one job, and the backoff that follows from them."""

    has_succeeded: bool = False  # a task of the job has completed, so the job can run
    # The hosts that the judgement rests on; empty for one that an earlier leader passed.
    evidence: set[HostId] = field(default_factory=set)
    # Number of failures on each host; the host of the latest failure comes last.
    failed_on: dict[HostId, int] = field(default_factory=dict)
    tries: int = 0  # failed tries that count for the backoff
    backoff_until: MonotonicTime = MonotonicTime(-1e9)
    unjudged_failures: int = 0  # failed tries while the job is not judged broken
    unjudged_failure_at: MonotonicTime = MonotonicTime(-1e9)  # the last of them


@dataclass(slots=True)
class Health:
    """Judges jobs and hosts by the failures of tasks.

    The failures on a host count until a task succeeds on it.
    """

    faulty_after_failures: int  # failures that count against a host before it is faulty
    jobs: dict[JobId, _JobHealth] = field(default_factory=dict)
    # Jobs that failed on each host since its last success.
    failed_jobs_by_host: dict[HostId, set[JobId]] = field(default_factory=dict)
    # Hosts on which a task has succeeded.
    _sound_hosts: set[HostId] = field(default_factory=set)
    _broken: set[JobId] = field(default_factory=set)
    _on_trial: set[JobId] = field(default_factory=set)

    def record_success(self, job: JobId, host: HostId) -> set[HostId]:
        """Records that a task has completed on the host.

        Returns the other hosts whose judgement may have changed.
        """
        self.failed_jobs_by_host.pop(host, None)
        self._sound_hosts.add(host)
        entry = self.jobs.get(job)
        if entry is None:
            # Remembered, so that later failures are not taken for those of a job that has never
            # succeeded.
            self.jobs[job] = _JobHealth(has_succeeded=True)
            return set()
        entry.failed_on.pop(host, None)
        if entry.has_succeeded:
            return set()
        entry.has_succeeded = True
        self._broken.discard(job)
        self._on_trial.discard(job)
        entry.backoff_until = MonotonicTime(-1e9)
        return set(entry.failed_on)

    def record_failure(self, job: JobId, host: HostId, now: MonotonicTime) -> set[HostId]:
        """Records that a task has failed on the host.

        Returns the hosts whose judgement may have changed.
        """
        entry = self.jobs.setdefault(job, _JobHealth())
        count = entry.failed_on.pop(host, 0)
        entry.failed_on[host] = count + 1
        self.failed_jobs_by_host.setdefault(host, set()).add(job)
        self._withdraw_explained(host, now)
        while len(entry.failed_on) > MAX_FAILED_HOSTS_PER_JOB:
            oldest = next(iter(entry.failed_on))
            del entry.failed_on[oldest]
            self._clear_failure(oldest, job)
        if job in self._broken:
            self._back_off(entry, now)
            return {host}
        if entry.has_succeeded or len(self._unexplained(entry, job)) < MIN_HOSTS_TO_JUDGE_JOB:
            if job in self._on_trial:
                self._back_off(entry, now)
            else:
                self._slow_down_unjudged(entry, now)
            return {host}
        self._broken.add(job)
        self._on_trial.add(job)
        entry.evidence = set(self._unexplained(entry, job))
        self._back_off(entry, now)
        return set(entry.failed_on)

    def _slow_down_unjudged(self, entry: _JobHealth, now: MonotonicTime) -> None:
        """Delays a job that fails repeatedly on too few hosts to be judged.

        Guards against a job that may use only one or two hosts and would be tried again at
        once without end. Failures within BACKOFF_S of each other count as one try, because a
        faulty host fails all tasks that it is given. A job that has completed any task is not
        delayed.
        """
        if entry.has_succeeded or now < entry.unjudged_failure_at + BACKOFF_S:
            return
        entry.unjudged_failure_at = now
        entry.unjudged_failures += 1
        if entry.unjudged_failures > TRIES_BEFORE_BACKOFF:
            self._back_off(entry, now)

    def _unexplained(self, entry: _JobHealth, job: JobId) -> list[HostId]:
        """Hosts on which the job failed and which other jobs have not shown to be faulty."""
        return [
            host
            for host in entry.failed_on
            if self._evidence(host, job) < self.faulty_after_failures
        ]

    def _withdraw_explained(self, host: HostId, now: MonotonicTime) -> None:
        """Withdraws the host from judgements if others' failures show that it is faulty."""
        for job in list(self.failed_jobs_by_host.get(host, ())):
            entry = self.jobs.get(job)
            if (
                entry is not None
                and host in entry.evidence
                and self._evidence(host, job) >= self.faulty_after_failures
            ):
                self._withdraw_evidence(job, entry, host, now)

    def _withdraw_evidence(
        self, job: JobId, entry: _JobHealth, host: HostId, now: MonotonicTime
    ) -> None:
        """Lets the judgement lapse if it rests on too few hosts without this one.

        The job is tried again at once, but still one task at a time, and the intervals do not
        start anew: a job that really is broken must not cost several machines again.
        """
        if host not in entry.evidence:
            return
        entry.evidence.discard(host)
        if job in self._broken and len(entry.evidence) < MIN_HOSTS_TO_JUDGE_JOB:
            self._broken.discard(job)
            entry.evidence.clear()
            entry.backoff_until = now

    def _back_off(self, entry: _JobHealth, now: MonotonicTime) -> None:
        """Delays the next try of a job, longer with each failed try."""
        entry.tries += 1
        delay_s = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** min(entry.tries, 10))
        # Tasks that were running already fail during the backoff: they belong to the same try.
        if now >= entry.backoff_until or entry.tries == 1:
            entry.backoff_until = MonotonicTime(now + delay_s)
        else:
            entry.tries -= 1

    def is_faulty(self, host: HostId) -> bool:
        """Whether enough failures count against the host.

        A job that failed there counts once, or with all of its failures there if any task of
        it has ever succeeded. Broken jobs do not count.
        """
        return self._evidence(host, None) >= self.faulty_after_failures

    def _evidence(self, host: HostId, excluded_job: JobId | None) -> int:
        """The number of failures that count against the host."""
        evidence = 0
        for job in self.failed_jobs_by_host.get(host, ()):
            entry = self.jobs.get(job)
            if entry is None or job in self._broken or job == excluded_job:
                continue
            evidence += entry.failed_on.get(host, 0) if entry.has_succeeded else 1
        return evidence

    def is_suspect(self, host: HostId) -> bool:
        """Whether a job that is not known to be broken failed on the host."""
        return self._evidence(host, None) > 0

    def _clear_failure(self, host: HostId, job: JobId) -> None:
        jobs = self.failed_jobs_by_host.get(host)
        if jobs is not None:
            jobs.discard(job)

    # -- jobs ------------------------------------------------------------------------

    def is_broken(self, job: JobId) -> bool:
        """Whether the job is judged to fail on every host."""
        return job in self._broken

    def is_on_trial(self, job: JobId) -> bool:
        """Whether only one task of the job is to be tried at a time, a whole gang if it is one.

        That is so from the judgement until a task succeeds, even if the judgement has lapsed.
        """
        return job in self._on_trial

    def jobs_on_trial(self) -> set[JobId]:
        """The jobs of which only one task is to be tried at a time."""
        return set(self._on_trial)

    def restore_broken_jobs(self, jobs: set[JobId], now: MonotonicTime) -> None:
        """Takes over jobs that an earlier leader found broken.

        They must not fail on several hosts again before they are judged.
        """
        for job in sorted(jobs):
            entry = self.jobs.setdefault(job, _JobHealth())
            self._broken.add(job)
            self._on_trial.add(job)
            self._back_off(entry, now)

    def broken_jobs(self) -> set[JobId]:
        """The jobs that are judged to fail on every host."""
        return set(self._broken)

    def in_backoff(self, job: JobId, now: MonotonicTime) -> bool:
        """Whether no task of the job should be started yet."""
        entry = self.jobs.get(job)
        return entry is not None and now < entry.backoff_until

    def hosts_to_avoid(self, job: JobId) -> frozenset[HostId]:
        """Hosts on which the job failed.

        Another failure there would not tell whether the job or the host is at fault.
        """
        entry = self.jobs.get(job)
        return frozenset(entry.failed_on) if entry is not None else frozenset()

    def forget_job(self, job: JobId) -> None:
        """Drops a job that is over, and its failures."""
        self._broken.discard(job)
        self._on_trial.discard(job)
        entry = self.jobs.pop(job, None)
        if entry is not None:
            for host in entry.failed_on:
                self._clear_failure(host, job)

    def forget_host(self, host: HostId, now: MonotonicTime) -> bool:
        """Drops the failures on a host that is gone; returns whether a judgement has lapsed.

        If nothing has ever succeeded on it, it may have been faulty, and no judgement rests on
        it any more.
        """
        before = len(self._broken)
        sound = host in self._sound_hosts
        self._sound_hosts.discard(host)
        for job in self.failed_jobs_by_host.pop(host, ()):
            entry = self.jobs.get(job)
            if entry is not None:
                entry.failed_on.pop(host, None)
                if not sound:
                    self._withdraw_evidence(job, entry, host, now)
        return len(self._broken) < before
