"""Which jobs lie within the guarantee of their team, and which runs exceed it."""

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

    ``available_cpus`` are the CPUs outside lost zones, or None while no zone is lost. If the
    teams want more of their guarantees than that, the CPUs are divided by weighted max-min
    fairness with the guarantees as weights, so that no team takes what another team is equally
    entitled to.
    """
    entitlements = {team.name: team.guarantee for team in settings.teams.values()}
    if available_cpus is None:
        return entitlements
    wants = {
        team: ledger.occupancy.team_usage(team).cpus
        for team, entitlement in entitlements.items()
    }
    for progress in jobs.values():
        spec = progress.spec
        if spec.team in wants:
            wants[spec.team] += len(progress.waiting) * spec.need.cpus
    wants = {team: min(want, entitlements[team].cpus) for team, want in wants.items()}
    if sum(wants.values()) <= available_cpus:
        return entitlements
    shares = fair_shares(
        available_cpus, wants, {team: entitled.cpus for team, entitled in entitlements.items()}
    )
    return {team: entitlements[team]._replace(cpus=shares[team]) for team in entitlements}


def jobs_within_guarantee(
    settings: Settings,
    ledger: Ledger,
    health: Health,
    jobs: dict[JobId, JobProgress],
    available_cpus: float | None = None,
) -> set[JobId]:
    """Jobs that fit their team's guarantee together with its earlier unfinished jobs.

    ``available_cpus`` is as for ``team_entitlements``.
    """
    within: set[JobId] = set()
    if not any(t.guarantee.cpus or t.guarantee.gpus for t in settings.teams.values()):
        return within
    entitlements = team_entitlements(settings, ledger, jobs, available_cpus)
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
            continue  # it must not use up the guarantee that jobs which can run need
        unfinished = len(progress.waiting) + len(
            ledger.occupancy.task_zones_by_job.get(record.id, ())
        )
        need = spec.need
        total = sums.get(spec.team, NO_RESOURCES).plus(
            Resources(need.cpus * unfinished, need.gpus * unfinished, 0.0)
        )
        sums[spec.team] = total
        if entitlements[spec.team].holds(total):
            within.add(spec.id)
    return within


def borrowed_runs(
    settings: Settings, ledger: Ledger, guaranteed_jobs: Container[JobId] = ()
) -> set[AttemptId]:
    """Runs beyond their team's guarantee; the latest started runs count as beyond it first.

    Runs of jobs within the guarantee (``guaranteed_jobs``) are counted first, whenever they
    started. If the start time alone decided, the latest of them would be stopped for another
    team. As jobs within a guarantee go first, they would then take the room that was cleared,
    and would be stopped again.

    The full guarantee counts here, also while a lost zone leaves too little room for all
    guarantees: a run within a guarantee is never stopped for another team of the same rank.
    Entitlements decide which jobs start, not which runs are stopped.
    """
    guarantees = {
        team.name: team.guarantee
        for team in settings.teams.values()
        if not team.guarantee.holds(
            ledger.occupancy.team_usage(team.name)._replace(memory_gb=0.0)
        )
    }
    by_team: dict[Team, list[Run]] = {}
    for runs in ledger.occupancy.runs_by_task.values():
        for run in runs:
            if run.team in guarantees:
                by_team.setdefault(run.team, []).append(run)
    borrowed: set[AttemptId] = set()
    for name, team_runs in by_team.items():
        guarantee = guarantees[name]
        total = NO_RESOURCES
        for run in sorted(
            team_runs, key=lambda r: (r.id.task.job not in guaranteed_jobs, r.planned_at)
        ):
            total = total.plus(run.need)
            if total.cpus > guarantee.cpus + EPSILON or (total.gpus > guarantee.gpus + EPSILON):
                borrowed.add(run.id)
    return borrowed
