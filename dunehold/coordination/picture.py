"""From the ledger and the job records to the scheduler's snapshot and the autoscaler's."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from itertools import islice

from dunehold.bookkeeping.ledger import Host, Ledger, Run, host_allowed
from dunehold.bookkeeping.records import JobRecord
from dunehold.coordination.autoscaler import Demand, FleetHost, Offer
from dunehold.coordination.estimates import Estimates
from dunehold.coordination.scheduler.model import Entry, HostState, RunState, Snapshot
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.users import JobSpec
from dunehold.settings import Objective, Settings
from dunehold.types import (
    EPSILON,
    MANY,
    NO_ROOM,
    HostId,
    JobId,
    Kind,
    MonotonicTime,
    Rank,
    Room,
    TaskId,
    Team,
    TypeName,
    WallTime,
)

TASKS_A_PLAN = 200
SUSPECT_PENALTY_S = 30.0
SUSPECT_S = 60.0
DEFAULT_LIMIT_S, DEFAULT_LIMIT_RUNS = 60.0, 3.0  # for jobs that no aim speaks of
LADDER = 2.0
SCARCITY_HALF_LIFE_S = 60.0


@dataclass(slots=True)
class JobProgress:
    """What the leader knows of an active job beyond its record."""

    spec: JobSpec
    waiting: set[int]
    errors: int = 0
    finished: int = 0
    error_hosts: set[HostId] = field(default_factory=set)
    held_until: MonotonicTime = MonotonicTime(-1e9)


@dataclass(slots=True)
class Picture:
    settings: Settings
    ledger: Ledger
    estimates: Estimates
    types: dict[TypeName, MachineType]
    wanted: dict[frozenset[TypeName], float] = field(default_factory=dict)
    weighed_at: MonotonicTime = MonotonicTime(0.0)
    peaks: deque[tuple[float, float]] = field(default_factory=deque)  # (when, cpus wanted)

    # -- for the scheduler -----------------------------------------------------------

    def snapshot(
        self,
        jobs: dict[JobId, JobProgress],
        now: MonotonicTime,
        wall: WallTime,
    ) -> Snapshot:
        guaranteed = self._guaranteed_jobs()
        borrowed = self._borrowed_runs()
        hosts = [
            self._host_state(host, borrowed, now)
            for host in self.ledger.hosts.values()
            if host.draining is None
            and not host.deleting
            and not host.fenced
            and host.type in self.types
        ]
        entries = []
        for record in self.ledger.view.active.values():
            progress = jobs.get(record.id)
            if progress is None or not progress.waiting or now < progress.held_until:
                continue
            if progress.spec.kind is Kind.GANG and record.id in self.ledger.by_job:
                continue  # what is left of it ends by itself; then all start anew
            if self.ledger.may_start_job(record):
                entries.append(self._entry(record, progress, record.id in guaranteed, wall))
        self._weigh(hosts, jobs, now)
        team_room = {}
        for team in self.settings.teams.values():
            if team.limit_cpus is not None or team.limit_gpus is not None:
                use = self.ledger.team_use(team.name)
                limit = Room(team.limit_cpus or math.inf, team.limit_gpus or math.inf, math.inf)
                team_room[team.name] = limit.minus(use)
        return Snapshot(hosts, entries, team_room)

    def _entry(
        self,
        record: JobRecord,
        progress: JobProgress,
        guaranteed: bool,
        wall: WallTime,
    ) -> Entry:
        spec = progress.spec
        run_s = self.estimates.run_s(spec)
        waited = max(0.0, wall - record.accepted_at)

        def allowed(host: HostState) -> bool:
            return host_allowed(spec, host.type, host.zone, host.spot)

        return Entry(
            job=spec.id,
            team=spec.team,
            need=spec.need,
            rank=spec.rank,
            order=(self._slack_to_next_aim(spec, waited, run_s), record.accepted_at),
            waiting=list(
                progress.waiting
                if spec.kind is Kind.GANG
                else islice(progress.waiting, TASKS_A_PLAN)
            ),
            run_s=run_s,
            image=spec.image,
            image_gb=spec.image_gb,
            allowed=allowed,
            service=spec.kind is Kind.SERVICE,
            gang=spec.kind is Kind.GANG,
            guaranteed=guaranteed,
            patience_s=self._patience(spec, waited, run_s, guaranteed),
            zone_limit=(spec.tasks + 1) // 2 if spec.spread else None,
            one_zone=spec.one_zone,
            zones=self.ledger.job_zones(spec.id),
        )

    def _slack_to_next_aim(self, spec: JobSpec, waited: float, run_s: float) -> float:
        """Time to spare before the next aim that the job can still meet.

        A job that has missed its aims steps down to a multiple of the last one: it lets
        those pass that can still be in time, and rises again as that rung comes near, so
        nothing waits for ever.
        """
        limits = [
            limit
            for aim in self.settings.objectives
            if (limit := _finish_limit(aim, spec)) is not None
        ]
        limits.sort()
        if not limits:
            limits = [max(DEFAULT_LIMIT_S, DEFAULT_LIMIT_RUNS * run_s)]
        while True:
            for limit in limits:
                if limit >= waited + run_s:
                    return limit - waited - run_s
            limits = [limits[-1] * LADDER + 1.0]

    def _patience(self, spec: JobSpec, waited: float, run_s: float, guaranteed: bool) -> float:
        """How long it can still wait without missing an aim that can still be met."""
        slacks = []
        for aim in self.settings.objectives:
            slack = _slack(aim, spec, waited, run_s, guaranteed)
            if slack is not None and slack >= 0:
                slacks.append(slack)
        return min(slacks, default=MANY)

    def _host_state(self, host: Host, borrowed: set[int], now: MonotonicTime) -> HostState:
        kind = self.types[host.type]
        ready = 0.0
        if not host.known or host.id not in self.ledger.view.hosts:
            ready = max(1.0, host.created_at + kind.boot_s - now)
        suspect = host.error_at is not None and now - host.error_at < SUSPECT_S
        return HostState(
            host.id,
            host.type,
            host.zone,
            host.spot,
            host.room,
            host.free,
            frozenset(host.images),
            kind.fetch_gb_per_s,
            [self._run_state(run, borrowed, now) for run in host.runs.values() if run.occupies],
            ready,
            penalty_s=SUSPECT_PENALTY_S if suspect else 0.0,
        )

    def _run_state(self, run: Run, borrowed: set[int], now: MonotonicTime) -> RunState:
        record = self.ledger.view.jobs.get(run.id.task.job)
        spec = record.spec if record is not None else None
        ran = 0.0 if run.running_at is None else now - run.running_at
        ends = self.estimates.left_s(spec, ran) if spec is not None else 1.0
        if spec is not None and spec.kind is Kind.SERVICE:
            ends = math.inf
        return RunState(
            run.id,
            run.need,
            ends,
            ran,
            run.tier,
            spec.rank if spec is not None else Rank.LOW,
            run.team,
            borrowed=id(run) in borrowed,
            stopping=run.stop_grace is not None,
            gang=spec is not None and spec.kind is Kind.GANG,
            saves=spec is not None and spec.checkpoint_s > 0,
        )

    def _guaranteed_jobs(self) -> set[JobId]:
        """Jobs that fit their team's guarantee together with its earlier unfinished jobs."""
        found: set[JobId] = set()
        sums: dict[Team, Room] = {}
        for record in sorted(self.ledger.view.active.values(), key=lambda r: r.accepted_at):
            spec = record.spec
            team = self.settings.teams.get(spec.team) if spec is not None else None
            if spec is None or team is None:
                continue
            if team.guarantee.cpus <= 0 and team.guarantee.gpus <= 0:
                continue
            left = spec.tasks - record.done_count()
            need = spec.need
            total = sums.get(spec.team, NO_ROOM).plus(
                Room(need.cpus * left, need.gpus * left, 0.0)
            )
            sums[spec.team] = total
            if team.guarantee.holds(total):
                found.add(spec.id)
        return found

    def _borrowed_runs(self) -> set[int]:
        """Runs beyond their team's guarantee, the latest started first to go."""
        by_team: dict[Team, list[Run]] = {}
        for host in self.ledger.hosts.values():
            for run in host.runs.values():
                if run.occupies:
                    by_team.setdefault(run.team, []).append(run)
        borrowed: set[int] = set()
        for name, runs in by_team.items():
            team = self.settings.teams.get(name)
            if team is None:
                continue
            total = NO_ROOM
            for run in sorted(runs, key=lambda r: r.planned_at):
                total = total.plus(run.need)
                if total.cpus > team.guarantee.cpus + EPSILON or (
                    total.gpus > team.guarantee.gpus + EPSILON
                ):
                    borrowed.add(id(run))
        return borrowed

    def _weigh(
        self, hosts: list[HostState], jobs: dict[JobId, JobProgress], now: MonotonicTime
    ) -> None:
        """Scarcity: how much of a type's room goes to work that fits no other type.

        Lately, not just now: such work comes again, and room that is filled with work that
        could run elsewhere is not there for it.
        """
        room: dict[TypeName, float] = {}
        for host in hosts:
            room[host.type] = room.get(host.type, 0.0) + host.total.cpus
        wanted: dict[frozenset[TypeName], float] = {}
        for progress in jobs.values():
            spec = progress.spec
            fits = frozenset(name for name in room if self.types[name].room.holds(spec.need))
            if spec.types is not None:
                fits &= frozenset(spec.types)
            if fits and len(fits) < len(room):
                left = (spec.tasks - progress.finished) * spec.need.cpus
                wanted[fits] = wanted.get(fits, 0.0) + left
        fade = 0.5 ** ((now - self.weighed_at) / SCARCITY_HALF_LIFE_S)
        self.weighed_at = now
        for fits in {*wanted, *self.wanted}:
            self.wanted[fits] = max(wanted.get(fits, 0.0), self.wanted.get(fits, 0.0) * fade)
        load: dict[TypeName, float] = {}
        for fits, cpus in self.wanted.items():
            have = sum(room.get(name, 0.0) for name in fits)
            for name in fits:
                load[name] = max(load.get(name, 0.0), min(1.0, cpus / max(have, 1.0)))
        for host in hosts:
            host.scarcity = load.get(host.type, 0.0)

    # -- for the autoscaler ------------------------------------------------------------

    def fleet(self, now: MonotonicTime) -> list[FleetHost]:
        found = []
        for host in self.ledger.hosts.values():
            if host.type not in self.types or host.deleting or host.fenced:
                continue
            usable = host.draining is None
            freed = []
            for run in host.runs.values():
                if run.occupies:
                    record = self.ledger.view.jobs.get(run.id.task.job)
                    ran = 0.0 if run.running_at is None else now - run.running_at
                    if record is not None and record.spec is not None:
                        freed.append((self.estimates.left_s(record.spec, ran), run.need))
            idle = None if host.idle_since is None else now - host.idle_since
            offer = Offer(host.type, host.zone, host.spot)
            found.append(FleetHost(host.id, offer, host.room, host.free, freed, idle, usable))
        return found

    def demands(self, jobs: dict[JobId, JobProgress], now: MonotonicTime) -> list[Demand]:
        found = []
        ordered = sorted(
            self.ledger.view.active.values(),
            key=lambda r: (-(r.spec.rank if r.spec else 0), r.accepted_at),
        )
        room: dict[Team, float] = {}
        for record in ordered:
            progress = jobs.get(record.id)
            if progress is None or not progress.waiting or now < progress.held_until:
                continue
            spec = progress.spec
            tasks = len(progress.waiting)
            team = self.settings.teams.get(spec.team)
            if team is not None and team.limit_cpus is not None and spec.need.cpus > 0:
                # A team at its limit needs no more machines.
                left = room.setdefault(
                    spec.team, team.limit_cpus - self.ledger.team_use(spec.team).cpus
                )
                tasks = min(tasks, int((left + EPSILON) / spec.need.cpus))
                room[spec.team] = left - tasks * spec.need.cpus
            if tasks > 0:
                found.append(
                    Demand(spec.need, tasks, self.estimates.run_s(spec), _offers(spec))
                )
        return found

    def kept_cpus(self, demands: list[Demand], now: MonotonicTime) -> float:
        """The most CPUs wanted at once lately, and some headroom."""
        memory = self.settings.operator.demand_memory_s
        wanted = sum(host.used.cpus for host in self.ledger.hosts.values())
        wanted += sum(demand.need.cpus * demand.tasks for demand in demands)
        while self.peaks and self.peaks[0][0] < now - memory:
            self.peaks.popleft()
        while self.peaks and self.peaks[-1][1] <= wanted:
            self.peaks.pop()
        self.peaks.append((now, wanted))
        return self.peaks[0][1] * (1.0 + self.settings.operator.headroom_share)


def _offers(spec: JobSpec):  # type: ignore[no-untyped-def]
    def allowed(offer: Offer) -> bool:
        return host_allowed(spec, offer.type, offer.zone, offer.spot)

    return allowed


def _slack(
    aim: Objective, spec: JobSpec, waited: float, run_s: float, guaranteed: bool
) -> float | None:
    if aim.kind == "guarantee":
        return aim.within_s - waited if guaranteed else None
    if aim.kind == "wait" and aim.job_class == spec.job_class:
        return aim.within_s - waited
    limit = _finish_limit(aim, spec)
    return None if limit is None else limit - waited - run_s


def _finish_limit(aim: Objective, spec: JobSpec) -> float | None:
    """When the aim wants the job complete, from its submission."""
    if aim.job_class != spec.job_class:
        return None
    if aim.kind == "finished":
        return aim.within_s
    if aim.kind == "deadline" and spec.deadline_s is not None:
        return spec.deadline_s * aim.times
    return None


def unfinished(record: JobRecord, ledger: Ledger) -> set[int]:
    """Tasks of a job that are neither done nor, possibly, on a machine."""
    spec = record.spec
    assert spec is not None
    return {
        index
        for index in range(spec.tasks)
        if not ledger.is_done(record, index) and TaskId(record.id, index) not in ledger.present
    }
