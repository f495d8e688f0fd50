"""What machines that have not answered a new leader may hold, by the durable log of starts.

Every start is in the log before it is commanded, in a transaction that only the leader's own
key lets through. So what the log does not place on a silent machine is not on one, whatever
the leader before has done; and what it does place there counts against the limit of its own
team, and of no other. Where the log names a task that no record describes any more, the whole
machine counts against every team.

Amounts are counted by task and kind of need, so that sums neither drift nor fall below zero.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from dunehold.bookkeeping.records import JobRecord, TasksByHost
from dunehold.types import NO_RESOURCES, HostId, JobId, JobPhase, Resources, TaskId, Team


@dataclass(slots=True)
class UnreconciledHosts:
    """Machines on record that have not answered, and what may be on each.

    A machine leaves once, when it answers, is fenced or deleted, so that no start has to look
    through the fleet.
    """

    hosts: dict[HostId, Resources] = field(default_factory=dict)
    _places: dict[TaskId, set[HostId]] = field(default_factory=dict)
    _tasks: dict[HostId, set[TaskId]] = field(default_factory=dict)
    _by_job: dict[JobId, int] = field(default_factory=dict)  # such tasks of each job
    _needs: dict[TaskId, tuple[Team, Resources]] = field(default_factory=dict)
    _by_team: dict[Team, Counter[Resources]] = field(default_factory=dict)
    _blind: set[HostId] = field(default_factory=set)  # with tasks that nothing describes
    _sums: dict[Team, Resources] = field(default_factory=dict)  # as counted last

    def add(self, host: HostId, room: Resources) -> None:
        self.hosts[host] = room

    def add_logged_tasks(self, placed: TasksByHost, jobs: Mapping[JobId, JobRecord]) -> None:
        """Take up a part of the log; what it says of other machines is over."""
        for host, tasks in placed.items():
            if host not in self.hosts:
                continue
            on_it = self._tasks.setdefault(host, set())
            for task in tasks - on_it:
                on_it.add(task)
                if task not in self._places:
                    self._count(task, jobs.get(task.job))
                self._places.setdefault(task, set()).add(host)
                if task not in self._needs and not _over(jobs.get(task.job)):
                    self._blind.add(host)
                    self._sums.clear()

    def _count(self, task: TaskId, record: JobRecord | None) -> None:
        self._by_job[task.job] = self._by_job.get(task.job, 0) + 1
        spec = record.spec if record is not None else None
        if spec is not None:
            # On one machine at most, however many the log names.
            self._needs[task] = spec.team, spec.need
            self._by_team.setdefault(spec.team, Counter())[spec.need] += 1
            self._sums.pop(spec.team, None)

    def mark_reconciled(self, host: HostId) -> list[TaskId]:
        """Nothing is on it unseen any more; the tasks that may be nowhere unseen now."""
        if self.hosts.pop(host, None) is None:
            return []
        if host in self._blind:
            self._blind.remove(host)
            self._sums.clear()
        released = []
        for task in sorted(self._tasks.pop(host, ())):
            places = self._places[task]
            places.discard(host)
            if not places:
                del self._places[task]
                self._by_job[task.job] -= 1
                released.append(task)
                self._uncount(task)
        return released

    def _uncount(self, task: TaskId) -> None:
        counted = self._needs.pop(task, None)
        if counted is not None:
            team, need = counted
            self._by_team[team][need] -= 1
            if not self._by_team[team][need]:
                del self._by_team[team][need]
            self._sums.pop(team, None)

    def may_run(self, task: TaskId) -> bool:
        return task in self._places

    def task_count(self, job: JobId) -> int:
        """How many of its tasks may be on machines that have not answered."""
        return self._by_job.get(job, 0)

    def max_usage(self, team: Team) -> Resources:
        """The most that the team's tasks may use there."""
        found = self._sums.get(team)
        if found is None:
            found = NO_RESOURCES
            for host in self._blind:
                found = found.plus(self.hosts[host])
            for need, number in self._by_team.get(team, {}).items():
                found = found.plus(need.times(number))
            self._sums[team] = found
        return found


def _over(record: JobRecord | None) -> bool:
    """Done: each of its tasks has completed, and a task is on one machine at most."""
    return record is not None and record.phase is JobPhase.DONE
