"""Which jobs lie within their team's guarantee, and which runs beyond it."""

from __future__ import annotations

from collections.abc import Container

from dunehold.bookkeeping.hosts import Run
from dunehold.bookkeeping.ledger import Ledger
from dunehold.coordination.planning.health import Health
from dunehold.coordination.planning.progress import JobProgress
from dunehold.coordination.zones.shares import fair_shares
from dunehold.settings import Settings
from dunehold.types import EPSILON, NO_RESOURCES, AttemptId, JobId, Resources, Team


def team_entitlements(
    settings: Settings,
    ledger: Ledger,
    jobs: dict[JobId, JobProgress],
    available_cpus: float | None,
) -> dict[Team, Resources]:
    """What each team is entitled to now: its guarantee, or its share of too little room.

    ``room`` is the CPUs that there are while a zone is lost, None while none is. Where the
    guarantees that are asked for exceed it, it is divided by guarantee (weighted max-min): no
    team takes what another is as much entitled to.
    """
    found = {team.name: team.guarantee for team in settings.teams.values()}
    if available_cpus is None:
        return found
    wants = {team: ledger.team_usage(team).cpus for team, promise in found.items()}
    for progress in jobs.values():
        spec = progress.spec
        if spec.team in wants:
            wants[spec.team] += len(progress.waiting) * spec.need.cpus
    wants = {team: min(want, found[team].cpus) for team, want in wants.items()}
    if sum(wants.values()) <= available_cpus:
        return found
    shares = fair_shares(available_cpus, wants, {team: g.cpus for team, g in found.items()})
    return {team: found[team]._replace(cpus=shares[team]) for team in found}


def jobs_within_guarantee(
    settings: Settings,
    ledger: Ledger,
    health: Health,
    jobs: dict[JobId, JobProgress],
    available_cpus: float | None = None,
) -> set[JobId]:
    """Jobs that fit their team's guarantee together with its earlier unfinished jobs."""
    found: set[JobId] = set()
    if not any(t.guarantee.cpus or t.guarantee.gpus for t in settings.teams.values()):
        return found
    promised = team_entitlements(settings, ledger, jobs, available_cpus)
    sums: dict[Team, Resources] = {}
    active = ledger.view.active
    records = [active[job] for job in jobs if job in active]
    for record in sorted(records, key=lambda r: r.eligible_at):
        progress = jobs[record.id]
        spec = progress.spec
        team = settings.teams.get(spec.team)
        if team is None or (team.guarantee.cpus <= 0 and team.guarantee.gpus <= 0):
            continue
        if health.is_broken(record.id):
            continue  # it takes no room of the guarantee from jobs that can run
        left = len(progress.waiting) + len(ledger.task_zones_by_job.get(record.id, ()))
        need = spec.need
        total = sums.get(spec.team, NO_RESOURCES).plus(
            Resources(need.cpus * left, need.gpus * left, 0.0)
        )
        sums[spec.team] = total
        if promised[spec.team].holds(total):
            found.add(spec.id)
    return found


def borrowed_runs(
    settings: Settings, ledger: Ledger, guaranteed_jobs: Container[JobId] = ()
) -> set[AttemptId]:
    """Runs beyond their team's guarantee, the latest started first to go.

    Jobs within the guarantee (``guaranteed``) are counted first, whenever their tasks began.
    By the time alone, the latest of them were stopped for another team, and as such jobs go
    first, they took the very room that was cleared, to be stopped once more.

    Beyond the whole of it, whatever room there is: what lies within a guarantee is never
    stopped for another team of the same rank. Shares decide who starts, not who is stopped.
    """
    over = {
        team.name: team.guarantee
        for team in settings.teams.values()
        if not team.guarantee.holds(ledger.team_usage(team.name)._replace(memory_gb=0.0))
    }
    by_team: dict[Team, list[Run]] = {}
    for runs in ledger.runs_by_task.values():
        for run in runs:
            if run.team in over:
                by_team.setdefault(run.team, []).append(run)
    beyond: set[AttemptId] = set()
    for name, found in by_team.items():
        guarantee = over[name]
        total = NO_RESOURCES
        for run in sorted(
            found, key=lambda r: (r.id.task.job not in guaranteed_jobs, r.planned_at)
        ):
            total = total.plus(run.need)
            if total.cpus > guarantee.cpus + EPSILON or (total.gpus > guarantee.gpus + EPSILON):
                beyond.add(run.id)
    return beyond
