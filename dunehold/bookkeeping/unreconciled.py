"""Tasks that may be on hosts that have not answered a new leader, by the durable start log.

Every start is in the log before it is commanded, written in a transaction that is guarded by
the leader key. A task that the log does not place on a silent host is therefore not on one,
whatever the previous leader did. A task that the log does place there counts against the limit
of its own team only. If the log names a task that no record describes any more, the whole
capacity of the host counts against every team.

Usage is kept as counts of equal resource needs, so that sums neither drift nor become negative.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from dunehold.bookkeeping.records import JobRecord, TasksByHost
from dunehold.types import NO_RESOURCES, HostId, JobId, JobPhase, Resources, TaskId, Team


@dataclass(slots=True)
class UnreconciledHosts:
    """Hosts on record that have not answered, by capacity, and the tasks that may be on them.

    A host is removed once, when it answers, is fenced or is deleted. The indexes below spare
    each start a search through all hosts.
    """

    hosts: dict[HostId, Resources] = field(default_factory=dict)
    _hosts_by_task: dict[TaskId, set[HostId]] = field(default_factory=dict)
    _tasks_by_host: dict[HostId, set[TaskId]] = field(default_factory=dict)
    _tasks_by_job: dict[JobId, set[TaskId]] = field(default_factory=dict)
    _needs: dict[TaskId, tuple[Team, Resources]] = field(default_factory=dict)
    # Number of tasks by resource need.
    _needs_by_team: dict[Team, Counter[Resources]] = field(default_factory=dict)
    # Hosts that may hold a task that no record describes.
    _hosts_with_unknown_tasks: set[HostId] = field(default_factory=set)
    _max_usage: dict[Team, Resources] = field(default_factory=dict)  # cache of max_usage()

    def add(self, host: HostId, capacity: Resources) -> None:
        """Add a host with its capacity."""
        self.hosts[host] = capacity

    def add_logged_tasks(self, placed: TasksByHost, jobs: Mapping[JobId, JobRecord]) -> None:
        """Add the tasks of one slot of the start log.

        Entries of hosts that are not in ``hosts`` are out of date and are ignored.
        """
        for host, tasks in placed.items():
            if host not in self.hosts:
                continue
            known = self._tasks_by_host.setdefault(host, set())
            for task in tasks - known:
                known.add(task)
                if task not in self._hosts_by_task:
                    self._count(task, jobs.get(task.job))
                self._hosts_by_task.setdefault(task, set()).add(host)
                if task not in self._needs and not _is_done(jobs.get(task.job)):
                    self._hosts_with_unknown_tasks.add(host)
                    self._max_usage.clear()

    def _count(self, task: TaskId, record: JobRecord | None) -> None:
        self._tasks_by_job.setdefault(task.job, set()).add(task)
        spec = record.spec if record is not None else None
        if spec is not None:
            # Counted once: the task is on one host at most, however many the log names.
            self._needs[task] = spec.team, spec.need
            self._needs_by_team.setdefault(spec.team, Counter())[spec.need] += 1
            self._max_usage.pop(spec.team, None)

    def mark_reconciled(self, host: HostId) -> list[TaskId]:
        """Remove a host; return the tasks that can't be on any unreconciled host any more."""
        if self.hosts.pop(host, None) is None:
            return []
        if host in self._hosts_with_unknown_tasks:
            self._hosts_with_unknown_tasks.remove(host)
            self._max_usage.clear()
        released = []
        for task in sorted(self._tasks_by_host.pop(host, ())):
            remaining = self._hosts_by_task[task]
            remaining.discard(host)
            if not remaining:
                del self._hosts_by_task[task]
                self._tasks_by_job[task.job].discard(task)
                released.append(task)
                self._uncount(task)
        return released

    def _uncount(self, task: TaskId) -> None:
        counted = self._needs.pop(task, None)
        if counted is not None:
            team, need = counted
            self._needs_by_team[team][need] -= 1
            if not self._needs_by_team[team][need]:
                del self._needs_by_team[team][need]
            self._max_usage.pop(team, None)

    def may_run(self, task: TaskId) -> bool:
        """Whether the task may be on a host that has not answered."""
        return task in self._hosts_by_task

    def task_count(self, job: JobId) -> int:
        """Number of the job's tasks that may be on hosts that have not answered."""
        return len(self._tasks_by_job.get(job, ()))

    def tasks_of(self, job: JobId) -> Collection[TaskId]:
        """The job's tasks that may be on hosts that have not answered."""
        return self._tasks_by_job.get(job, ())

    def max_usage(self, team: Team) -> Resources:
        """The most that the team's tasks may use on hosts that have not answered."""
        found = self._max_usage.get(team)
        if found is None:
            found = NO_RESOURCES
            for host in self._hosts_with_unknown_tasks:
                found = found.plus(self.hosts[host])
            for need, number in self._needs_by_team.get(team, {}).items():
                found = found.plus(need.times(number))
            self._max_usage[team] = found
        return found


def _is_done(record: JobRecord | None) -> bool:
    """Whether the job is done, so that none of its tasks can still be on a host.

    Each task has then completed, and a task is on one host at most.
    """
    return record is not None and record.phase is JobPhase.DONE
