"""Builds the inputs of the scheduler and the autoscaler from the ledger and job records."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice

from dunehold.bookkeeping.hosts import Host, Run
from dunehold.bookkeeping.ledger import Ledger, host_allowed
from dunehold.bookkeeping.records import JobRecord
from dunehold.coordination.planning import guarantees
from dunehold.coordination.planning.estimates import RuntimeEstimates
from dunehold.coordination.planning.health import Health
from dunehold.coordination.planning.objectives import (
    completion_target_s,
    next_completion_target_s,
    select_postponed_jobs,
)
from dunehold.coordination.planning.offers import Demand, FleetHost, Offer, demands_for_job
from dunehold.coordination.planning.priority_inheritance import PriorityInheritance
from dunehold.coordination.planning.progress import JobProgress, waiting_tasks
from dunehold.coordination.scheduler.model import (
    Entry,
    HostState,
    MachineKind,
    RunState,
    Snapshot,
)
from dunehold.coordination.zones.monitor import ZoneMonitor
from dunehold.coordination.zones.urgency import urgency
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.users import JobSpec
from dunehold.settings import Settings
from dunehold.types import (
    EPSILON,
    UNBOUNDED,
    Duration,
    HostId,
    Image,
    JobId,
    JobKind,
    MonotonicTime,
    Rank,
    Resources,
    TaskPhase,
    Team,
    TypeName,
    WallTime,
    Zone,
)

DEFAULT_SERVICE_START_S = 10.0  # start target of a service that no objective covers, at most
MAX_TASKS_PER_PLAN = 200  # tasks of one job in a snapshot, gangs excepted
SUSPECT_PENALTY_S = 30.0  # cost that is added to starts on a suspect host
SUSPECT_S = 60.0  # how long the penalty applies after a host became suspect
MAX_POSTPONEMENTS = 3  # the most completion targets that a job gives up
SCARCITY_HALF_LIFE_S = 60.0  # of past demand in the scarcity of machine kinds
BURST_HALF_LIFE_S = 60.0  # of the reserve for jobs above the lowest rank
COMMAND_DELIVERY_S = 0.5  # to write the start log and to deliver the command to the worker


def report_timeout_s(settings: Settings) -> float:
    """Seconds without a report after which nothing is started on a host.

    This covers two late reports and the time that a worker waits before it tries another node.
    """
    return 2.5 * settings.report_s + 1.0


def _usable(host: Host) -> bool:
    """Whether tasks can be started on the host now.

    Orders, quarantine and the like are not taken into account.
    """
    return host.session_known and host.is_reporting and host.recorded


@dataclass(slots=True)
class _CachedHostState:
    """The state of a host for plans.

    It is valid for one version of the host in the ledger, and until a point in time.
    """

    host: Host
    version: int
    usable: bool  # the value of _usable when the state was built
    valid_until: float
    state: HostState


@dataclass(slots=True)
class SnapshotBuilder:
    """Builds snapshots for the scheduler, and hosts and demands for the autoscaler."""

    settings: Settings
    ledger: Ledger
    estimates: RuntimeEstimates
    types: dict[TypeName, MachineType]
    health: Health
    zones: ZoneMonitor
    # CPUs wanted lately by jobs that fit only some kinds of machines, by the set of kinds.
    demand_by_kinds: dict[frozenset[MachineKind], float] = field(default_factory=dict)
    scarcity_updated_at: MonotonicTime = MonotonicTime(0.0)
    # Time and CPUs wanted: the peaks of demand that may still be the highest of the period.
    demand_peaks: deque[tuple[float, float]] = field(default_factory=deque)
    # From 0 to 1, as in ``Snapshot``.
    scarcity: dict[MachineKind, float] = field(default_factory=dict)
    burst_cpus: float = 0.0  # at burst_at: CPUs of the largest recent job above the lowest rank
    burst_at: MonotonicTime = MonotonicTime(0.0)
    guaranteed_jobs: set[JobId] | None = None  # None means that the set has to be recomputed
    # When an order takes the host out of service; infinite if no known order does.
    out_of_service_at: Callable[[Host, MonotonicTime], float] = lambda host, now: math.inf
    protected_teams: Callable[[], frozenset[Team]] = frozenset  # their runs are not preempted
    # How many completion targets a job gives up in favour of other jobs.
    postponements: dict[JobId, int] = field(default_factory=dict)
    priority_inheritance: PriorityInheritance = field(init=False)
    _host_state_cache: dict[HostId, _CachedHostState] = field(default_factory=dict)
    # Computed only once, because each entry of each plan needs it.
    _fastest_fetch_gb_per_s: float = field(init=False)

    def __post_init__(self) -> None:
        rates = (kind.fetch_gb_per_s for kind in self.types.values())
        self._fastest_fetch_gb_per_s = max(rates, default=1.0)
        self.priority_inheritance = PriorityInheritance(
            self.ledger, lambda spec: self.estimates.run_s(spec), lambda job: None
        )

    def create_progress(self, record: JobRecord) -> JobProgress:
        """Creates the state of an active job with its waiting tasks and its targets."""
        spec = record.spec
        assert spec is not None
        all_objectives = self.settings.objectives
        waits = [
            o.within_s
            for o in all_objectives
            if o.kind == "wait" and o.job_class == spec.job_class
        ]
        if spec.kind is JobKind.SERVICE and not waits:
            # No objective covers this service, so it gets the shortest start time that is set
            # for any class, or the default if that is shorter.
            waits = [o.within_s for o in all_objectives if o.kind in ("wait", "guarantee")]
            waits.append(Duration(DEFAULT_SERVICE_START_S))
        return JobProgress(
            spec,
            waiting_tasks(record, self.ledger),
            self.completion_targets_s(record),
            min(waits, default=UNBOUNDED),
        )

    def completion_targets_s(self, record: JobRecord) -> list[float]:
        """Completion targets by the job's own objectives and its dependents' deadlines.

        They are sorted, in seconds after the job became eligible.
        """
        spec, became_eligible_at = record.spec, record.eligible_at
        assert spec is not None
        dependency_wait_s = became_eligible_at - record.accepted_at
        own = [
            completion_target_s(objective, spec, dependency_wait_s)
            for objective in self.settings.objectives
        ]
        targets = [target for target in own if target is not None]
        due_at = self.priority_inheritance.due_at(spec.id)
        if due_at < math.inf:
            targets.append(max(0.0, due_at - became_eligible_at))
        return sorted(targets)

    # -- scheduler -------------------------------------------------------------------

    def snapshot(
        self,
        jobs: dict[JobId, JobProgress],
        now: MonotonicTime,
        wall: WallTime,
    ) -> Snapshot:
        """Builds the scheduler's input for the present moment."""
        if self.guaranteed_jobs is None:
            self.guaranteed_jobs = guarantees.jobs_within_guarantee(
                self.settings, self.ledger, self.health, jobs, self._cpus_outside_lost_zones()
            )
        entries = []
        for job, progress in jobs.items():
            if not progress.waiting or self._is_held_back(job, progress, now):
                continue
            record = self.ledger.view.active.get(job)
            if record is None:
                continue
            if (
                progress.spec.kind is JobKind.GANG
                and job in self.ledger.occupancy.task_zones_by_job
            ):
                # Its remaining tasks exit by themselves; then the whole gang is started again.
                continue
            if not self.ledger.may_start_job(progress.spec):
                continue
            entries.append(self._entry(record, progress, job in self.guaranteed_jobs, wall))
        team_room = {}
        for team in self.settings.teams.values():
            if team.limit_cpus is not None or team.limit_gpus is not None:
                usage = self.ledger.max_team_usage(team.name)
                limit = Resources(
                    team.limit_cpus or math.inf, team.limit_gpus or math.inf, math.inf
                )
                team_room[team.name] = limit.minus(usage)
        return Snapshot(
            self.host_states(now),
            entries,
            team_room,
            now=now,
            scarcity=self.scarcity,
            reserve_cpus=self.reserve_cpus(now),
            protected_teams=self.protected_teams(),
            find_borrowed_runs=lambda: guarantees.borrowed_runs(
                self.settings, self.ledger, self.guaranteed_jobs or ()
            ),
        )

    def record_arrival(self, spec: JobSpec, now: MonotonicTime) -> None:
        """Records a new job, for the reserve that work of the lowest rank leaves free."""
        if self.priority_inheritance.effective_rank(spec) is not Rank.LOW:
            self.burst_cpus = max(self._decayed_burst_cpus(now), spec.tasks * spec.need.cpus)
            self.burst_at = now

    def _decayed_burst_cpus(self, now: MonotonicTime) -> float:
        decay: float = 0.5 ** ((now - self.burst_at) / BURST_HALF_LIFE_S)
        return self.burst_cpus * decay

    def reserve_cpus(self, now: MonotonicTime) -> float:
        """CPUs that work of the lowest rank leaves free so that other jobs start at once.

        The reserve is at most ``idle_reserve_share`` of the CPUs of connected hosts. It decays
        to 0 within minutes of the last other job, so that work of the lowest rank does not wait
        when no other job comes.
        """
        share = self.settings.operator.idle_reserve_share
        cpus = sum(h.capacity.cpus for h in self.ledger.hosts.values() if h.session_known)
        reserve = min(share * cpus, self._decayed_burst_cpus(now))
        return reserve if reserve >= 1.0 else 0.0

    def host_states(self, now: MonotonicTime) -> list[HostState]:
        """The hosts that tasks can be planned for, booting ones included.

        A state is reused until the host changes or the state expires.
        """
        hosts = []
        timeout_s = self.report_timeout_s
        for host in self.ledger.hosts.values():
            if host.draining is not None or host.deleting or host.fenced:
                continue
            if host.session_known and now - host.reported_at > timeout_s:
                # A start would get no answer and would keep its task from starting elsewhere.
                # If only direct calls reach the host, the task would be killed when the lease
                # of the worker expires.
                continue
            if self.ledger.start_in_doubt(host) is not None:
                continue  # its session may have to end, and all tasks on it with the session
            cached = self._host_state_cache.get(host.id)
            if (
                cached is None
                or cached.host is not host
                or cached.version != host.version
                or cached.usable is not _usable(host)
                or now >= cached.valid_until
            ):
                if host.type not in self.types:
                    continue
                cached = self._build_host_state(host, now)
                self._host_state_cache[host.id] = cached
            hosts.append(cached.state)
        # Drops the states of deleted hosts.
        if len(self._host_state_cache) > 2 * len(self.ledger.hosts) + 100:
            self._host_state_cache = {
                h: s for h, s in self._host_state_cache.items() if h in self.ledger.hosts
            }
        return hosts

    def _cpus_outside_lost_zones(self) -> float | None:
        """CPUs of the hosts outside lost zones, booting hosts included.

        Returns None while no zone is lost: guarantees then hold in full.
        """
        if not self.zones.any_lost:
            return None
        return sum(
            host.capacity.cpus
            for host in self.ledger.hosts.values()
            if host.draining is None and not host.deleting and not self.zones.is_lost(host.zone)
        )

    def invalidate_zone(self, zone: Zone) -> None:
        """Drops the cached host states of a zone whose condition has changed.

        The cost of a start there depends on the condition.
        """
        self._host_state_cache = {
            h: s for h, s in self._host_state_cache.items() if s.host.zone != zone
        }

    def _entry(
        self,
        record: JobRecord,
        progress: JobProgress,
        guaranteed: bool,
        wall: WallTime,
    ) -> Entry:
        """Builds the scheduler's entry for the waiting tasks of a job."""
        spec = progress.spec
        run_s = self.estimates.run_s(spec)
        waited = max(0.0, wall - record.eligible_at)

        def allowed(host: HostState) -> bool:
            return host_allowed(spec, host.type, host.zone, host.spot)

        gang = spec.kind is JobKind.GANG
        broken = self.health.is_broken(spec.id)
        max_tasks = 1 if self.health.is_on_trial(spec.id) else MAX_TASKS_PER_PLAN
        tasks = progress.waiting if gang else islice(progress.waiting, max_tasks)
        return Entry(
            job=spec.id,
            team=spec.team,
            need=spec.need,
            rank=self.priority_inheritance.effective_rank(spec),
            order=self._order(progress, waited, run_s, record.eligible_at),
            waiting=list(tasks),
            run_s=run_s,
            image=spec.image,
            image_gb=spec.image_gb,
            allowed=allowed,
            service=spec.kind is JobKind.SERVICE,
            gang=gang,
            urgency=urgency(
                spec.kind is JobKind.SERVICE,
                spec.tasks,
                len(self.ledger.occupancy.task_zones_by_job.get(spec.id, ())),
            ),
            guaranteed=guaranteed,
            broken=broken,
            avoided_hosts=self.health.hosts_to_avoid(spec.id),
            slack_s=self._slack_s(progress, waited, run_s, guaranteed),
            zone_limit=(spec.tasks + 1) // 2 if spec.spread else None,
            one_zone=spec.one_zone,
            tasks_by_zone=dict(self.ledger.job_zones(spec.id)),
        )

    def _is_held_back(self, job: JobId, progress: JobProgress, now: MonotonicTime) -> bool:
        """Whether no task of the job may be started now although some are waiting."""
        if now < progress.held_until or self.health.in_backoff(job, now):
            return True
        return self.health.is_on_trial(job) and job in self.ledger.occupancy.task_zones_by_job

    def _order(
        self, progress: JobProgress, waited: float, run_s: float, eligible_at: float
    ) -> tuple[float, ...]:
        """Sort key of the job in the list, after rank, urgency and guarantee.

        Jobs with fewer postponements go first, then those with the least time until their
        latest start for the next target, then those that have been eligible for longer.
        Services are sorted by their start target.
        """
        if progress.spec.kind is JobKind.SERVICE:
            return (0.0, progress.start_target_s, eligible_at)
        times_postponed = self.postponements.get(progress.spec.id, 0)
        return (
            float(times_postponed),
            next_completion_target_s(progress, waited, run_s, times_postponed) - waited - run_s,
            eligible_at,
        )

    def update_postponements(
        self, jobs: dict[JobId, JobProgress], now: MonotonicTime, wall: WallTime
    ) -> None:
        """Decides which completion targets to give up if not all can be met.

        Jobs are examined in the order of their latest starts in time. Where a job would start
        too late, the largest job of its class so far is postponed to its next target, as in
        the Moore-Hodgson algorithm, which minimises the number of late jobs. Without this, the
        jobs that are about to be late go first, and a backlog makes all jobs late. No job is
        postponed in favour of another class, because then large jobs would miss their
        objective altogether.

        Room is assumed to free up at the rate at which the present runs were started: the CPUs
        in use divided by the mean duration of the runs, weighted by CPUs.
        """
        states = [state for state in self.host_states(now) if state.ready_at <= now]
        free_cpus = sum(state.free.cpus for state in states)
        used_cpus = run_cpu_s = 0.0
        for state in states:
            for run in state.runs:
                if run.ends_at < math.inf:
                    used_cpus += run.need.cpus
                    run_cpu_s += run.need.cpus * (max(run.ends_at, now) - run.began_at)
        freed_cpus_per_s = used_cpus * used_cpus / run_cpu_s if run_cpu_s > 0 else 0.0
        self.postponements = {}
        jobs_by_rank: dict[Rank, list[JobId]] = {}
        active = self.ledger.view.active
        for job, progress in jobs.items():
            if (
                progress.waiting
                and job in active
                and progress.spec.kind is not JobKind.SERVICE
                and not self.health.is_broken(job)
            ):
                jobs_by_rank.setdefault(
                    self.priority_inheritance.effective_rank(progress.spec), []
                ).append(job)
        wanted_cpus = 0.0
        for rank in sorted(jobs_by_rank, reverse=True):
            pending = jobs_by_rank[rank]
            for rounds in range(MAX_POSTPONEMENTS):
                rows = []
                for job in pending:
                    progress = jobs[job]
                    run_s = self.estimates.run_s(progress.spec)
                    waited = max(0.0, wall - active[job].eligible_at)
                    latest_start = (
                        next_completion_target_s(progress, waited, run_s, rounds)
                        - waited
                        - run_s
                    )
                    cpus = len(progress.waiting) * progress.spec.need.cpus
                    rows.append((latest_start, job, cpus, progress.spec.job_class))
                wanted_cpus, pending = select_postponed_jobs(
                    rows, wanted_cpus, free_cpus, freed_cpus_per_s
                )
                for job in pending:
                    self.postponements[job] = rounds + 1

    def _slack_s(
        self, progress: JobProgress, waited: float, run_s: float, guaranteed: bool
    ) -> float:
        """How long the job can still wait without missing a target that can still be met.

        A task counts as started only once its image is there. The time to fetch the image is
        therefore subtracted.
        """
        if progress.spec.kind is JobKind.SERVICE:
            # Every replica that is not up is equally late, whatever the age of its job.
            return max(0.0, progress.start_target_s - self._start_delay_s(progress.spec))
        slacks = []
        start_targets = [
            progress.start_target_s,
            self.guarantee_target_s if guaranteed else UNBOUNDED,
        ]
        for target in start_targets:
            if waited <= target < UNBOUNDED:
                slacks.append(max(0.0, target - waited - self._start_delay_s(progress.spec)))
        slacks.extend(target - waited - run_s for target in progress.completion_targets_s)
        slack_s = min((slack for slack in slacks if slack >= 0), default=UNBOUNDED)
        if slack_s < UNBOUNDED:
            return slack_s
        # All targets are missed or there are none. The job can wait until the next target that
        # lets it move up the list again.
        return max(0.0, next_completion_target_s(progress, waited, run_s, 0) - waited - run_s)

    def _start_delay_s(self, spec: JobSpec) -> float:
        """Seconds from the decision to a running task: command delivery and image fetch."""
        return COMMAND_DELIVERY_S + spec.image_gb / self._fastest_fetch_gb_per_s

    @property
    def report_timeout_s(self) -> float:
        """Seconds without a report after which nothing is started on a host."""
        return report_timeout_s(self.settings)

    @property
    def guarantee_target_s(self) -> float:
        """Seconds in which jobs within their team's guarantee should start."""
        targets = [o.within_s for o in self.settings.objectives if o.kind == "guarantee"]
        return min(targets, default=UNBOUNDED)

    def _build_host_state(self, host: Host, now: MonotonicTime) -> _CachedHostState:
        kind = self.types[host.type]
        until = math.inf
        ready = 0.0
        if not _usable(host):
            ready = max(now + 1.0, host.created_at + kind.boot_s)
            # The state is rebuilt once the host is usable. If it still boots at the estimated
            # time, the estimate is renewed shortly before that.
            until = max(now + 0.5, host.created_at + kind.boot_s - 0.5)
        penalty = self.zones.penalty_s(host.zone)
        if host.error_at is not None and now - host.error_at < SUSPECT_S:
            penalty += SUSPECT_PENALTY_S
            until = min(until, host.error_at + SUSPECT_S)
        images = frozenset(self._cached_images(host, kind))
        runs = tuple(self._run_state(run, now) for run in host.runs.values() if run.occupies)
        for run in runs:
            until = min(until, run.ends_at)  # the run then exceeds its estimate
        state = HostState(
            host.id,
            host.type,
            host.zone,
            host.spot,
            host.capacity,
            host.free,
            images,
            kind.fetch_gb_per_s,
            runs,
            ready,
            penalty,
            host.slowness,
            frozenset(
                run.image
                for run in host.runs.values()
                if run.phase is TaskPhase.FETCHING and run.image not in images
            ),
            out_of_service_at=self.out_of_service_at(host, now),
        )
        return _CachedHostState(host, host.version, _usable(host), until, state)

    @staticmethod
    def _cached_images(host: Host, kind: MachineType) -> list[Image]:
        """The images used last, as many as the image cache of the host holds.

        A cache size of 0 means that there is no limit.
        """
        kept: list[Image] = []
        left_gb = kind.cache_gb or math.inf
        for image, (_, size_gb) in sorted(host.images.items(), key=lambda i: -i[1][0]):
            left_gb -= size_gb
            if left_gb < 0:
                break
            kept.append(image)
        return kept

    def _run_state(self, run: Run, now: MonotonicTime) -> RunState:
        record = self.ledger.view.jobs.get(run.id.task.job)
        spec = record.spec if record is not None else None
        elapsed_s = run.ran_s(now)
        expected_s = self.estimates.remaining_s(spec, elapsed_s) if spec is not None else 1.0
        if spec is not None and spec.kind is JobKind.SERVICE:
            expected_s = math.inf
        return RunState(
            run.id,
            run.need,
            now + expected_s,
            now - elapsed_s,
            run.tier,
            self.priority_inheritance.effective_rank(spec) if spec is not None else Rank.LOW,
            run.team,
            stopping=run.stop_grace_s is not None,
            gang=spec is not None and spec.kind is JobKind.GANG,
            resumable=spec is not None and spec.checkpoint_s > 0,
        )

    def update_scarcity(self, jobs: dict[JobId, JobProgress], now: MonotonicTime) -> None:
        """Updates the scarcity of each kind of machine.

        Scarcity is the share of a kind's room, at most 1, that is wanted by jobs which fit
        only some kinds. A kind is a machine type, either spot or ordinary: jobs that must not
        be lost with a spot machine can use only ordinary ones, which other work would fill as
        well.

        The demand of such jobs counts with a decay, not only while they are active, because
        such jobs come again and then find no room if it is filled with work that could run
        elsewhere.
        """
        room: dict[MachineKind, float] = {}
        for host in self.ledger.hosts.values():
            if host.draining is None and not host.deleting and host.type in self.types:
                kind = host.type, host.spot
                room[kind] = room.get(kind, 0.0) + host.capacity.cpus
        # Both kinds of each type in the fleet are listed, because the set of kinds that a job
        # fits must stay the same while spot machines come and go. Otherwise its earlier demand
        # would go on counting against a part of that set.
        kinds = {(name, spot) for name, _ in room for spot in (True, False)}
        wanted: dict[frozenset[MachineKind], float] = {}
        for job, progress in jobs.items():
            if self.health.is_broken(job):
                continue
            spec = progress.spec
            fits = frozenset(
                (name, spot)
                for name, spot in kinds
                if self.types[name].capacity.holds(spec.need)
                and (spec.types is None or name in spec.types)
                and (spec.spot or not spot)
            )
            if fits and len(fits) < len(kinds):
                tasks = len(progress.waiting) + len(
                    self.ledger.occupancy.task_zones_by_job.get(job, ())
                )
                wanted[fits] = wanted.get(fits, 0.0) + tasks * spec.need.cpus
        decay = 0.5 ** ((now - self.scarcity_updated_at) / SCARCITY_HALF_LIFE_S)
        self.scarcity_updated_at = now
        for fits in {*wanted, *self.demand_by_kinds}:
            self.demand_by_kinds[fits] = max(
                wanted.get(fits, 0.0), self.demand_by_kinds.get(fits, 0.0) * decay
            )
        scarcity_by_kind: dict[MachineKind, float] = {}
        for fits, cpus in self.demand_by_kinds.items():
            total_cpus = sum(room.get(kind, 0.0) for kind in fits)
            for kind in fits:
                scarcity_by_kind[kind] = max(
                    scarcity_by_kind.get(kind, 0.0), min(1.0, cpus / max(total_cpus, 1.0))
                )
        self.scarcity = scarcity_by_kind

    # -- autoscaler --------------------------------------------------------------------

    def fleet_hosts(self, now: MonotonicTime) -> list[FleetHost]:
        """The hosts that tasks can be planned for, and the room that will free up on them."""
        fleet = []
        for state in self.host_states(now):
            host = self.ledger.hosts[state.id]
            idle_s = None if host.idle_since is None else now - host.idle_since
            releases = [(run.ends_at - now, run.need) for run in state.runs]
            offer = Offer(host.type, host.zone, host.spot)
            fleet.append(FleetHost(host.id, offer, host.capacity, host.free, releases, idle_s))
        return fleet

    def demands(self, jobs: dict[JobId, JobProgress], now: MonotonicTime) -> list[Demand]:
        """The demands of waiting tasks, by rank and then by age of their jobs."""
        all_demands = []
        active = self.ledger.view.active
        waiting = [
            (
                -self.priority_inheritance.effective_rank(progress.spec),
                active[job].eligible_at,
                job,
            )
            for job, progress in jobs.items()
            if progress.waiting and job in active and self._may_demand(job, progress, now)
        ]
        rentable_zones = [zone for zone in self.settings.zones if self.zones.rentable(zone)]
        cpus_left: dict[Team, float] = {}
        for *_, job in sorted(waiting):
            progress = jobs[job]
            spec = progress.spec
            tasks = len(progress.waiting)
            if self.health.is_on_trial(job) and spec.kind is not JobKind.GANG:
                tasks = 1
            team = self.settings.teams.get(spec.team)
            if team is not None and team.limit_cpus is not None and spec.need.cpus > 0:
                # More machines are of no use to a team at its limit.
                left = cpus_left.setdefault(
                    spec.team, team.limit_cpus - self.ledger.max_team_usage(spec.team).cpus
                )
                tasks = min(tasks, int((left + EPSILON) / spec.need.cpus))
                cpus_left[spec.team] = left - tasks * spec.need.cpus
            if tasks > 0:
                run_s, placed = self.estimates.run_s(spec), self.ledger.job_zones(job)
                all_demands += demands_for_job(spec, tasks, run_s, placed, rentable_zones)
        return all_demands

    def _may_demand(self, job: JobId, progress: JobProgress, now: MonotonicTime) -> bool:
        """Whether machines may be rented for the job.

        A job on trial gets one for its next task once that may be started, so that it is tried
        even when no machine is left that it may use.
        """
        if self.health.is_on_trial(job):
            return not self._is_held_back(job, progress, now)
        return now >= progress.held_until

    def peak_demand_cpus(self, demands: list[Demand], now: MonotonicTime) -> float:
        """The most CPUs wanted at once within ``demand_memory_s``, with headroom added."""
        memory_s = self.settings.operator.demand_memory_s
        wanted_cpus = sum(usage.cpus for usage in self.ledger.occupancy.usage_by_team.values())
        wanted_cpus += sum(demand.need.cpus * demand.tasks for demand in demands)
        while self.demand_peaks and self.demand_peaks[0][0] < now - memory_s:
            self.demand_peaks.popleft()
        while self.demand_peaks and self.demand_peaks[-1][1] <= wanted_cpus:
            self.demand_peaks.pop()
        self.demand_peaks.append((now, wanted_cpus))
        return self.demand_peaks[0][1] * (1.0 + self.settings.operator.headroom_share)
