"""From the ledger and the job records to the scheduler's snapshot and the autoscaler's."""

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

DEFAULT_SERVICE_START_S = 10.0  # for a replica to start, where the settings state no aim
MAX_TASKS_PER_PLAN = 200
SUSPECT_PENALTY_S = 30.0
SUSPECT_S = 60.0
MAX_POSTPONEMENTS = 3
SCARCITY_HALF_LIFE_S = 60.0
BURST_HALF_LIFE_S = 60.0
COMMAND_DELIVERY_S = 0.5  # the log of starts, and the way to the worker


def report_timeout_s(settings: Settings) -> float:
    """Two reports late, and the time that a worker waits before it tries another node."""
    return 2.5 * settings.report_s + 1.0


def _usable(host: Host) -> bool:
    """Work may be started there now, as far as the machine is concerned."""
    return host.session_known and host.is_reporting and host.recorded


@dataclass(slots=True)
class _CachedHostState:
    """A machine as plans see it, good for its version of the books and until a moment."""

    host: Host
    version: int
    usable: bool  # had reported, and was on record
    valid_until: float
    state: HostState


@dataclass(slots=True)
class SnapshotBuilder:
    settings: Settings
    ledger: Ledger
    estimates: RuntimeEstimates
    types: dict[TypeName, MachineType]
    health: Health
    zones: ZoneMonitor
    demand_by_kinds: dict[frozenset[MachineKind], float] = field(default_factory=dict)
    scarcity_updated_at: MonotonicTime = MonotonicTime(0.0)
    demand_peaks: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # (when, cpus wanted)

    scarcity: dict[MachineKind, float] = field(default_factory=dict)
    burst_cpus: float = 0.0  # CPUs that one job of a higher rank asked for lately
    burst_at: MonotonicTime = MonotonicTime(0.0)
    guaranteed_jobs: set[JobId] | None = None  # None: to be counted anew
    # When an order takes the machine out of service; infinite if none is known to.
    out_of_service_at: Callable[[Host, MonotonicTime], float] = lambda host, now: math.inf
    protected_teams: Callable[[], frozenset[Team]] = (
        frozenset  # nothing of theirs is stopped by choice
    )
    postponements: dict[JobId, int] = field(
        default_factory=dict
    )  # aims given up for others' sake
    priority_inheritance: PriorityInheritance = field(init=False)
    _host_state_cache: dict[HostId, _CachedHostState] = field(default_factory=dict)
    _fastest_fetch_gb_per_s: float = field(
        init=False
    )  # asked for with every entry of every plan

    def __post_init__(self) -> None:
        rates = (kind.fetch_gb_per_s for kind in self.types.values())
        self._fastest_fetch_gb_per_s = max(rates, default=1.0)
        self.priority_inheritance = PriorityInheritance(
            self.ledger, lambda spec: self.estimates.run_s(spec), lambda job: None
        )

    def create_progress(self, record: JobRecord) -> JobProgress:
        spec = record.spec
        assert spec is not None
        aims = self.settings.objectives
        waits = [a.within_s for a in aims if a.kind == "wait" and a.job_class == spec.job_class]
        if spec.kind is JobKind.SERVICE and not waits:
            # No aim speaks of it: as soon as whatever the users want started soonest.
            waits = [a.within_s for a in aims if a.kind in ("wait", "guarantee")]
            waits.append(Duration(DEFAULT_SERVICE_START_S))
        return JobProgress(
            spec,
            waiting_tasks(record, self.ledger),
            self.completion_targets_s(record),
            min(waits, default=UNBOUNDED),
        )

    def completion_targets_s(self, record: JobRecord) -> list[float]:
        """When its own aims, and those of jobs that need it, want it complete."""
        spec, wanted_at = record.spec, record.eligible_at
        assert spec is not None
        waited_s = wanted_at - record.accepted_at
        found = [completion_target_s(aim, spec, waited_s) for aim in self.settings.objectives]
        limits = [limit for limit in found if limit is not None]
        due_at = self.priority_inheritance.due_at(spec.id)
        if due_at < math.inf:
            limits.append(max(0.0, due_at - wanted_at))
        return sorted(limits)

    # -- for the scheduler -----------------------------------------------------------

    def snapshot(
        self,
        jobs: dict[JobId, JobProgress],
        now: MonotonicTime,
        wall: WallTime,
    ) -> Snapshot:
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
            if progress.spec.kind is JobKind.GANG and job in self.ledger.task_zones_by_job:
                continue  # what is left of it ends by itself; then all start anew
            if not self.ledger.may_start_job(progress.spec):
                continue
            entries.append(self._entry(record, progress, job in self.guaranteed_jobs, wall))
        team_room = {}
        for team in self.settings.teams.values():
            if team.limit_cpus is not None or team.limit_gpus is not None:
                use = self.ledger.max_team_usage(team.name)
                limit = Resources(
                    team.limit_cpus or math.inf, team.limit_gpus or math.inf, math.inf
                )
                team_room[team.name] = limit.minus(use)
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
        if self.priority_inheritance.effective_rank(spec) is not Rank.LOW:
            self.burst_cpus = max(self._decayed_burst_cpus(now), spec.tasks * spec.need.cpus)
            self.burst_at = now

    def _decayed_burst_cpus(self, now: MonotonicTime) -> float:
        faded: float = 0.5 ** ((now - self.burst_at) / BURST_HALF_LIFE_S)
        return self.burst_cpus * faded

    def reserve_cpus(self, now: MonotonicTime) -> float:
        """What work of the lowest rank leaves free, so that others start at once. Nothing, some
        minutes after the last of them, so that it never waits for nobody's sake."""
        share = self.settings.operator.idle_reserve_share
        cpus = sum(h.capacity.cpus for h in self.ledger.hosts.values() if h.session_known)
        reserve = min(share * cpus, self._decayed_burst_cpus(now))
        return reserve if reserve >= 1.0 else 0.0

    def host_states(self, now: MonotonicTime) -> list[HostState]:
        """Usable machines. What was pictured is used again until something changes."""
        hosts = []
        silent_s = self.report_timeout_s
        for host in self.ledger.hosts.values():
            if host.draining is not None or host.deleting or host.fenced:
                continue
            if host.session_known and now - host.reported_at > silent_s:
                # A start would hang with it and hold up its task, or, where only direct calls
                # reach the machine, die with its lease.
                continue
            pictured = self._host_state_cache.get(host.id)
            if (
                pictured is None
                or pictured.host is not host
                or pictured.version != host.version
                or pictured.usable is not _usable(host)
                or now >= pictured.valid_until
            ):
                if host.type not in self.types:
                    continue
                pictured = self._build_host_state(host, now)
                self._host_state_cache[host.id] = pictured
            hosts.append(pictured.state)
        if len(self._host_state_cache) > 2 * len(self.ledger.hosts) + 100:
            self._host_state_cache = {
                h: s for h, s in self._host_state_cache.items() if h in self.ledger.hosts
            }
        return hosts

    def _cpus_outside_lost_zones(self) -> float | None:
        """CPUs of machines that are counted on while a zone is lost, those booting included;
        None while none is: guarantees hold in full then."""
        if not self.zones.any_lost:
            return None
        return sum(
            host.capacity.cpus
            for host in self.ledger.hosts.values()
            if host.draining is None and not host.deleting and not self.zones.is_lost(host.zone)
        )

    def invalidate_zone(self, zone: Zone) -> None:
        """The zone's condition has changed, and with it what a start there costs."""
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
        spec = progress.spec
        run_s = self.estimates.run_s(spec)
        waited = max(0.0, wall - record.eligible_at)

        def allowed(host: HostState) -> bool:
            return host_allowed(spec, host.type, host.zone, host.spot)

        gang = spec.kind is JobKind.GANG
        broken = self.health.is_broken(spec.id)
        most = 1 if broken else MAX_TASKS_PER_PLAN
        tasks = progress.waiting if gang else islice(progress.waiting, most)
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
                len(self.ledger.task_zones_by_job.get(spec.id, ())),
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
        if now < progress.held_until or self.health.in_backoff(job, now):
            return True
        # One that fails everywhere is tried with one task at a time.
        return self.health.is_broken(job) and job in self.ledger.task_zones_by_job

    def _order(
        self, progress: JobProgress, waited: float, run_s: float, at: float
    ) -> tuple[float, ...]:
        if progress.spec.kind is JobKind.SERVICE:
            return (0.0, progress.start_target_s, at)
        rounds = self.postponements.get(progress.spec.id, 0)
        return (
            float(rounds),
            next_completion_target_s(progress, waited, run_s, rounds) - waited - run_s,
            at,
        )

    def update_postponements(
        self, jobs: dict[JobId, JobProgress], now: MonotonicTime, wall: WallTime
    ) -> None:
        """Which aims to give up, where not all can be met.

        Room is taken to free up as fast as what runs now began. In the order of the latest
        moments to start, where a job would start too late, the largest of its class so far
        steps down to its next aim (as Moore and Hodgson minimise the number of late jobs).
        Without this, those about to be late go first, and a backlog makes all of them late.
        Never for another class's sake: large jobs would then miss all of their aim.
        """
        states = [state for state in self.host_states(now) if state.ready_at <= now]
        free = sum(state.free.cpus for state in states)
        used = spent = 0.0
        for state in states:
            for run in state.runs:
                if run.ends_at < math.inf:
                    used += run.need.cpus
                    spent += run.need.cpus * (max(run.ends_at, now) - run.began_at)
        rate = used * used / spent if spent > 0 else 0.0  # CPUs a second
        self.postponements = {}
        ranks: dict[Rank, list[JobId]] = {}
        active = self.ledger.view.active
        for job, progress in jobs.items():
            if (
                progress.waiting
                and job in active
                and progress.spec.kind is not JobKind.SERVICE
                and not self.health.is_broken(job)
            ):
                ranks.setdefault(
                    self.priority_inheritance.effective_rank(progress.spec), []
                ).append(job)
        wanted = 0.0
        for rank in sorted(ranks, reverse=True):
            pending = ranks[rank]
            for rounds in range(MAX_POSTPONEMENTS):
                rows = []
                for job in pending:
                    progress = jobs[job]
                    run_s = self.estimates.run_s(progress.spec)
                    waited = max(0.0, wall - active[job].eligible_at)
                    start = (
                        next_completion_target_s(progress, waited, run_s, rounds)
                        - waited
                        - run_s
                    )
                    cpus = len(progress.waiting) * progress.spec.need.cpus
                    rows.append((start, job, cpus, progress.spec.job_class))
                wanted, pending = select_postponed_jobs(rows, wanted, free, rate)
                for job in pending:
                    self.postponements[job] = rounds + 1

    def _slack_s(
        self, progress: JobProgress, waited: float, run_s: float, guaranteed: bool
    ) -> float:
        """How long it can still wait without missing an aim that can still be met.

        A start counts from when the image is there, so the time to fetch it is no time to
        wait for better room.
        """
        if progress.spec.kind is JobKind.SERVICE:
            # A replica that is not up is as late as any, however old its job is.
            return max(0.0, progress.start_target_s - self._start_delay_s(progress.spec))
        slacks = []
        starts = [progress.start_target_s, self.guarantee_target_s if guaranteed else UNBOUNDED]
        for limit in starts:
            if waited <= limit < UNBOUNDED:
                slacks.append(max(0.0, limit - waited - self._start_delay_s(progress.spec)))
        slacks.extend(limit - waited - run_s for limit in progress.completion_targets_s)
        found = min((slack for slack in slacks if slack >= 0), default=UNBOUNDED)
        if found < UNBOUNDED:
            return found
        # All are missed, or there are none: until it rises on the list again.
        return max(0.0, next_completion_target_s(progress, waited, run_s, 0) - waited - run_s)

    def _start_delay_s(self, spec: JobSpec) -> float:
        """From the decision to a running task: the command's way, and mostly a fetch."""
        return COMMAND_DELIVERY_S + spec.image_gb / self._fastest_fetch_gb_per_s

    @property
    def report_timeout_s(self) -> float:
        return report_timeout_s(self.settings)

    @property
    def guarantee_target_s(self) -> float:
        aims = [a.within_s for a in self.settings.objectives if a.kind == "guarantee"]
        return min(aims, default=UNBOUNDED)

    def _build_host_state(self, host: Host, now: MonotonicTime) -> _CachedHostState:
        kind = self.types[host.type]
        until = math.inf
        ready = 0.0
        if not _usable(host):
            ready = max(now + 1.0, host.created_at + kind.boot_s)
            # It may be up any moment, which is a change; if not, look again before that.
            until = max(now + 0.5, host.created_at + kind.boot_s - 0.5)
        penalty = self.zones.penalty_s(host.zone)
        if host.error_at is not None and now - host.error_at < SUSPECT_S:
            penalty += SUSPECT_PENALTY_S
            until = min(until, host.error_at + SUSPECT_S)
        cached = frozenset(self._cached_images(host, kind))
        runs = tuple(self._run_state(run, now) for run in host.runs.values() if run.occupies)
        for run in runs:
            until = min(until, run.ends_at)  # it overruns from then on
        state = HostState(
            host.id,
            host.type,
            host.zone,
            host.spot,
            host.capacity,
            host.free,
            cached,
            kind.fetch_gb_per_s,
            runs,
            ready,
            penalty,
            host.slowness,
            frozenset(
                run.image
                for run in host.runs.values()
                if run.phase is TaskPhase.FETCHING and run.image not in cached
            ),
            out_of_service_at=self.out_of_service_at(host, now),
        )
        return _CachedHostState(host, host.version, _usable(host), until, state)

    @staticmethod
    def _cached_images(host: Host, kind: MachineType) -> list[Image]:
        """The images used last, as many as its cache takes."""
        kept: list[Image] = []
        left = kind.cache_gb or math.inf
        for image, (_, size) in sorted(host.images.items(), key=lambda i: -i[1][0]):
            left -= size
            if left < 0:
                break
            kept.append(image)
        return kept

    def _run_state(self, run: Run, now: MonotonicTime) -> RunState:
        record = self.ledger.view.jobs.get(run.id.task.job)
        spec = record.spec if record is not None else None
        ran = run.ran_s(now)
        ends = self.estimates.remaining_s(spec, ran) if spec is not None else 1.0
        if spec is not None and spec.kind is JobKind.SERVICE:
            ends = math.inf
        return RunState(
            run.id,
            run.need,
            now + ends,
            now - ran,
            run.tier,
            self.priority_inheritance.effective_rank(spec) if spec is not None else Rank.LOW,
            run.team,
            stopping=run.stop_grace_s is not None,
            gang=spec is not None and spec.kind is JobKind.GANG,
            resumable=spec is not None and spec.checkpoint_s > 0,
        )

    def update_scarcity(self, jobs: dict[JobId, JobProgress], now: MonotonicTime) -> None:
        """Scarcity: how much of a kind's room goes to work that fits no other kind.

        A kind is a type, spot or not: work that must not be lost with a spot machine has but
        the ordinary ones, which all else would fill as well.

        Lately, not just now: such work comes again, and room that is filled with work that
        could run elsewhere is not there for it.
        """
        room: dict[MachineKind, float] = {}
        for host in self.ledger.hosts.values():
            if host.draining is None and not host.deleting and host.type in self.types:
                kind = host.type, host.spot
                room[kind] = room.get(kind, 0.0) + host.capacity.cpus
        # Both kinds of every type that there is: as spot machines come and go, what fits a job
        # must stay the same, or its wants of before would go on counting against a part of it.
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
                left = len(progress.waiting) + len(self.ledger.task_zones_by_job.get(job, ()))
                wanted[fits] = wanted.get(fits, 0.0) + left * spec.need.cpus
        fade = 0.5 ** ((now - self.scarcity_updated_at) / SCARCITY_HALF_LIFE_S)
        self.scarcity_updated_at = now
        for fits in {*wanted, *self.demand_by_kinds}:
            self.demand_by_kinds[fits] = max(
                wanted.get(fits, 0.0), self.demand_by_kinds.get(fits, 0.0) * fade
            )
        load: dict[MachineKind, float] = {}
        for fits, cpus in self.demand_by_kinds.items():
            have = sum(room.get(kind, 0.0) for kind in fits)
            for kind in fits:
                load[kind] = max(load.get(kind, 0.0), min(1.0, cpus / max(have, 1.0)))
        self.scarcity = load

    # -- for the autoscaler ------------------------------------------------------------

    def fleet_hosts(self, now: MonotonicTime) -> list[FleetHost]:
        """Machines that work can be planned for, and what frees up on them soon."""
        found = []
        for state in self.host_states(now):
            host = self.ledger.hosts[state.id]
            idle = None if host.idle_since is None else now - host.idle_since
            freed = [(run.ends_at - now, run.need) for run in state.runs]
            offer = Offer(host.type, host.zone, host.spot)
            found.append(FleetHost(host.id, offer, host.capacity, host.free, freed, idle))
        return found

    def demands(self, jobs: dict[JobId, JobProgress], now: MonotonicTime) -> list[Demand]:
        found = []
        active = self.ledger.view.active
        waiting = [
            (
                -self.priority_inheritance.effective_rank(progress.spec),
                active[job].eligible_at,
                job,
            )
            for job, progress in jobs.items()
            if progress.waiting
            and job in active
            and now >= progress.held_until
            and not self.health.is_broken(job)
        ]
        usable = [zone for zone in self.settings.zones if self.zones.rentable(zone)]
        room: dict[Team, float] = {}
        for *_, job in sorted(waiting):
            progress = jobs[job]
            spec = progress.spec
            tasks = len(progress.waiting)
            team = self.settings.teams.get(spec.team)
            if team is not None and team.limit_cpus is not None and spec.need.cpus > 0:
                # A team at its limit needs no more machines.
                left = room.setdefault(
                    spec.team, team.limit_cpus - self.ledger.max_team_usage(spec.team).cpus
                )
                tasks = min(tasks, int((left + EPSILON) / spec.need.cpus))
                room[spec.team] = left - tasks * spec.need.cpus
            if tasks > 0:
                run_s, placed = self.estimates.run_s(spec), self.ledger.job_zones(job)
                found += demands_for_job(spec, tasks, run_s, placed, usable)
        return found

    def peak_demand_cpus(self, demands: list[Demand], now: MonotonicTime) -> float:
        """The most CPUs wanted at once lately, and some headroom."""
        memory = self.settings.operator.demand_memory_s
        wanted = sum(use.cpus for use in self.ledger.usage_by_team.values())
        wanted += sum(demand.need.cpus * demand.tasks for demand in demands)
        while self.demand_peaks and self.demand_peaks[0][0] < now - memory:
            self.demand_peaks.popleft()
        while self.demand_peaks and self.demand_peaks[-1][1] <= wanted:
            self.demand_peaks.pop()
        self.demand_peaks.append((now, wanted))
        return self.demand_peaks[0][1] * (1.0 + self.settings.operator.headroom_share)
