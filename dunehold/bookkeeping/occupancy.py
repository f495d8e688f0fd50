"""What attempts occupy: the resources of hosts and of teams' limits, and the zones of jobs."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.bookkeeping.hosts import Host, Run
from dunehold.types import NO_RESOURCES, HostId, JobId, Resources, TaskId, Team, Zone


@dataclass(slots=True)
class Occupancy:
    """Counts attempts from their planned start until they are proved gone or have exited.

    Attributes:
        hosts: the ledger's hosts.
        runs_by_task: attempts that occupy a host, by task.
        task_zones_by_job: by job, the zone of each task that occupies a host.
        usage_by_team: resources that the attempts of each team occupy.
    """

    hosts: dict[HostId, Host]
    runs_by_task: dict[TaskId, list[Run]] = field(default_factory=dict)
    task_zones_by_job: dict[JobId, dict[TaskId, Zone]] = field(default_factory=dict)
    usage_by_team: dict[Team, Resources] = field(default_factory=dict)
    _task_counts: dict[JobId, dict[Zone, int]] = field(default_factory=dict)

    def team_usage(self, team: Team) -> Resources:
        """Resources of the team's attempts that occupy a host."""
        return self.usage_by_team.get(team, NO_RESOURCES)

    def tasks_by_zone(self, job: JobId) -> dict[Zone, int]:
        """Number of the job's tasks that occupy a host, by zone."""
        return self._task_counts.get(job, {})

    def occupy(self, host: Host, run: Run) -> None:
        """Add the attempt to the host and to the usage of its team."""
        host.version += 1
        host.runs[run.id] = run
        host.used = host.used.plus(run.need)
        self.usage_by_team[run.team] = self.team_usage(run.team).plus(run.need)
        task = run.id.task
        self.runs_by_task.setdefault(task, []).append(run)
        self._set_zone(task, host.zone)

    def release(self, host: Host, run: Run) -> None:
        """Free the attempt's resources. It stays on the host, as its worker may report it."""
        host.version += 1
        host.used = host.used.minus(run.need)
        self.usage_by_team[run.team] = self.team_usage(run.team).minus(run.need)
        task = run.id.task
        others = [other for other in self.runs_by_task.get(task, ()) if other is not run]
        if others:
            self.runs_by_task[task] = others
            other_host = self.hosts.get(others[0].host)
            if other_host is not None and other_host.zone != host.zone:
                self._set_zone(task, other_host.zone)
            return
        self.runs_by_task.pop(task, None)
        tasks = self.task_zones_by_job.get(task.job)
        if tasks is None or task not in tasks:
            return
        self._set_zone(task, None)
        if not tasks:
            del self.task_zones_by_job[task.job]
            del self._task_counts[task.job]

    def remove(self, host: Host, run: Run) -> None:
        """Remove the attempt from the host and free its resources."""
        if host.runs.pop(run.id, None) is not None and run.occupies:
            self.release(host, run)

    def _set_zone(self, task: TaskId, zone: Zone | None) -> None:
        """Count the task in ``zone`` and in no other; None removes it from the counts."""
        tasks = self.task_zones_by_job.setdefault(task.job, {})
        counts = self._task_counts.setdefault(task.job, {})
        before = tasks.pop(task, None)
        if before is not None:
            counts[before] -= 1
            if not counts[before]:
                del counts[before]
        if zone is not None:
            tasks[task] = zone
            counts[zone] = counts.get(zone, 0) + 1
