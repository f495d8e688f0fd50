"""The MEASY backfill scheduler on small worked examples, a figure of its paper among them.

Further tests compare it with a plain reference scheduler and check random plans. Jobs and runs
need CPUs only; estimates are in seconds, and all snapshots are at time 0.
"""

from __future__ import annotations

import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from dunehold.coordination.planning.health import Health
from dunehold.coordination.planning.objectives import select_postponed_jobs
from dunehold.coordination.planning.progress import JobProgress, slowness
from dunehold.coordination.planning.snapshot_builder import SnapshotBuilder
from dunehold.coordination.scheduler.backfill import BackfillScheduler, plan
from dunehold.coordination.scheduler.model import (
    Entry,
    HostState,
    Plan,
    Policy,
    RunState,
    Snapshot,
)
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.users import decode_job_object
from dunehold.types import (
    Attempt,
    AttemptId,
    Duration,
    HostId,
    Image,
    JobId,
    Rank,
    Resources,
    TaskId,
    Team,
    Tier,
    TypeName,
    Zone,
)
from tests.test_protocol import JOB

TEAM = Team("blue")


def cpus(number: float) -> Resources:
    return Resources(number, 0.0, 0.0)


def host(name: str, total: float, *runs: RunState, **more: float) -> HostState:
    """Return a machine with ``total`` CPUs and these runs on it."""
    free = cpus(total)
    for run in runs:
        free = free.minus(run.need)
    return HostState(
        HostId(name), TypeName(f"t{total:g}"), Zone("a"), False, cpus(total), free,
        frozenset({Image("i")}), 1.0, runs, **more,
    )  # fmt: skip


def run(
    job: str, need: float, ends: float, tier: Tier = Tier.FOREGROUND, ran: float = 1.0
) -> RunState:
    """Return a run that started ``ran`` s ago and is estimated to end at ``ends``."""
    task = AttemptId(TaskId(JobId(job), 0), Attempt(7))
    return RunState(task, cpus(need), ends, -ran, tier, Rank.NORMAL, TEAM)


def entry(
    job: str, need: float, run_s: float, at: float, tasks: int = 1, **more: object
) -> Entry:
    """Return a job with waiting tasks; ``at`` is its position in the list."""
    result = Entry(
        JobId(job), TEAM, cpus(need), Rank.NORMAL, (at,), list(range(tasks)), run_s,
        Image("i"), 0.0, lambda _: True,
    )  # fmt: skip
    for name, value in more.items():
        setattr(result, name, value)
    return result


def decide(hosts: list[HostState], entries: list[Entry], **policy: object) -> Plan:
    """Return the plan for machines and jobs, with changes to the default policy."""
    return plan(Snapshot(hosts, entries), Policy(**policy))  # type: ignore[arg-type]


def started(result: Plan) -> dict[str, str]:
    """Return the jobs that a plan starts, with the tier of the start."""
    return {s.task.job: s.tier.name.lower() for s in result.starts}


def test_figure_1_at_time_0() -> None:
    """J1 fits, and J2 becomes the head, which gets a reservation.

    J3 and J4 end by its shadow time and are backfilled. J5 ends later and fits the extra room.
    """
    machine = host("p1-5", 5.0)
    jobs = [
        entry("j1", 2, 10, 1),
        entry("j2", 4, 6, 2),
        entry("j3", 1, 5, 3),
        entry("j4", 1, 10, 4),
        entry("j5", 1, 30, 5),
        entry("j6", 1, 20, 6),
    ]
    result = decide([machine], jobs)
    tiers = started(result)
    assert tiers["j1"] == tiers["j3"] == tiers["j4"] == "foreground"
    assert [reservation.job for reservation in result.reservations] == ["j2"]
    assert result.reservations[0].shadow_at == 10.0
    # The extra room is one processor (5 - 4); the rest is promised to the head.
    assert tiers["j5"] == "foreground" and "j2" not in tiers


def test_only_jobs_that_end_after_the_shadow_time_use_up_extra_room() -> None:
    machine = host("h", 10.0, run("r", 6, 10))
    result = decide([machine], [entry("head", 8, 9, 1), entry("long", 2, 99, 2)])
    assert started(result) == {"long": "foreground"}
    machine = host("h", 10.0, run("r", 6, 10))
    jobs = [entry("head", 8, 9, 1), entry("long", 2, 99, 2), entry("longer", 2, 100, 3)]
    result = decide([machine], jobs, background=False)
    assert started(result) == {"long": "foreground"}


def test_background_runs_use_the_promised_room_shortest_first() -> None:
    machine = host("h", 4.0, run("r", 2, 31))
    jobs = [entry("head", 4, 9, 1), entry("slow", 2, 60, 2), entry("short", 2, 40, 3)]
    assert started(decide([machine], jobs)) == {"short": "background"}


def test_background_runs_that_the_reservation_would_stop_are_not_started() -> None:
    """Guards against starting runs in room that is needed seconds later.

    This once happened to hundreds of runs, and the work of all of them was lost.
    """
    machine = host("h", 4.0, run("r", 2, 10))
    jobs = [entry("head", 4, 9, 1), entry("long", 2, 40, 2)]
    assert not started(decide([machine], jobs))


def test_no_more_tasks_wait_for_a_type_than_room_frees_up_on_it() -> None:
    """Guards against a backlog that waits for a few small machines while large ones idle."""
    hosts = [host("small", 4.0, run("r", 4, 5)), host("big", 16.0)]
    job = entry("job", 4, 9, 1, tasks=3, slack_s=100.0)
    snapshot = Snapshot(hosts, [job], scarcity={(TypeName("t16"), False): 1.0})
    assert [s.host for s in plan(snapshot, Policy()).starts] == ["big", "big"]


def test_room_that_frees_up_soon_is_counted_on_by_one_job_only() -> None:
    """Guards against a backlog in which every job leaves tasks waiting for the same room."""
    hosts = [host("small", 4.0, run("r", 4, 5)), host("other", 4.0, run("q", 4, 5))]
    hosts[1].zone = Zone("b")
    hosts.append(host("big", 16.0))
    jobs = [entry(f"job{n}", 4, 9, n, slack_s=100.0) for n in range(5)]
    result = plan(Snapshot(hosts, jobs, scarcity={(TypeName("t16"), False): 1.0}), Policy())
    assert [s.task.job for s in result.starts] == ["job2", "job3", "job4"]


def test_background_is_stopped_when_the_reservation_needs_its_room() -> None:
    machine = host("h", 4.0, run("bg", 2, 50, Tier.BACKGROUND))
    result = decide([machine], [entry("head", 4, 9, 1)])
    assert [stop.attempt.task.job for stop in result.stops] == ["bg"]
    machine = host("h", 4.0, run("bg", 2, 50, Tier.BACKGROUND), run("fg", 2, 10))
    result = decide([machine], [entry("head", 4, 9, 1)])
    assert not result.stops  # the head could not start before the foreground run ends


def test_background_runs_are_promoted_in_place_when_nothing_needs_their_room() -> None:
    machine = host("h", 4.0, run("bg", 2, 50, Tier.BACKGROUND))
    assert [a.task.job for a in decide([machine], []).promotions] == ["bg"]
    machine = host("h", 4.0, run("bg", 2, 50, Tier.BACKGROUND))
    assert not decide([machine], [], lifting=False).promotions


def test_background_runs_with_checkpoints_are_saved_and_moved() -> None:
    background_run = replace(run("bg", 2, 50, Tier.BACKGROUND), resumable=True)
    hosts = [host("h", 4.0, background_run, run("fg", 2, 10)), host("other", 2.0)]
    result = decide(hosts, [entry("head", 4, 9, 1)])
    assert [(s.attempt.task.job, s.save) for s in result.stops] == [("bg", True)]


def test_the_tasks_of_an_array_start_independently() -> None:
    result = decide([host("h", 3.0)], [entry("array", 1, 9, 1, tasks=5)])
    assert len(result.starts) == 3


def test_services_start_in_the_foreground_without_a_reservation() -> None:
    result = decide([host("h", 2.0)], [entry("web", 2, 0, 1, tasks=2, service=True)])
    assert started(result) == {"web": "foreground"}
    assert not result.reservations


def test_a_gang_starts_as_a_whole_or_reserves_room() -> None:
    hosts = [host("a", 4.0), host("b", 4.0, run("r", 2, 10))]
    result = decide(hosts, [entry("gang", 2, 9, 1, tasks=3, gang=True)])
    assert len(result.starts) == 3
    hosts = [host("a", 4.0), host("b", 4.0, run("r", 4, 10))]
    jobs = [entry("gang", 2, 9, 1, tasks=3, gang=True), entry("long", 2, 60, 2)]
    result = decide(hosts, jobs)
    assert {reservation.job for reservation in result.reservations} == {"gang"}
    assert "gang" not in started(result)


def test_a_team_with_a_limit_on_cpus_only() -> None:
    room = {TEAM: Resources(4.0, float("inf"), float("inf"))}
    job = entry("job", 2, 9, 1, tasks=5)
    job.need = Resources(2.0, 1.0, 1.0)
    machine = host("h", 64.0)
    machine.free = machine.total = Resources(64.0, 8.0, 64.0)
    assert len(plan(Snapshot([machine], [job], room), Policy()).starts) == 2


def test_a_job_of_a_team_at_its_limit_does_not_become_the_head() -> None:
    full = entry("full", 4, 9, 1, team_slots=0)
    result = decide([host("h", 4.0)], [full, entry("next", 4, 9, 2)])
    assert started(result) == {"next": "foreground"}
    assert not result.reservations


def test_the_reservation_stays_on_its_machine_when_runs_exceed_their_estimates() -> None:
    first = decide([host("a", 4.0, run("r", 4, 10)), host("b", 4.0, run("q", 4, 12))],
                   [entry("head", 4, 9, 1)])  # fmt: skip
    assert first.reservations[0].host == "a"
    snapshot = Snapshot(
        [host("a", 4.0, run("r", 4, 14)), host("b", 4.0, run("q", 4, 11))],
        [entry("head", 4, 9, 1)],
        previous_reservations=first.reservations,
    )
    assert plan(snapshot, Policy()).reservations[0].host == "a"


@pytest.mark.parametrize("loss, stops", [(3.0, 1), (5000.0, 0)])
def test_preemption_takes_lost_work_into_account(loss: float, stops: int) -> None:
    machine = host("h", 4.0, run("low", 4, 200, ran=loss))
    urgent = entry("urgent", 4, 9, 1, rank=Rank.HIGH, slack_s=3.0)
    assert len(decide([machine], [urgent]).stops) == stops


def low_priority_run(job: str, need: float, ends: float, saves: bool = True) -> RunState:
    """Return a run of the lowest rank, which can resume from a checkpoint if it saves one."""
    return replace(run(job, need, ends, ran=5.0), rank=Rank.LOW, resumable=saves)


def test_many_low_priority_runs_are_preempted_at_once_for_one_large_task() -> None:
    """Guards against a limit of stops per plan that makes a large task wait for ever.

    Here one task needs the room of 16 runs; eight stops per plan were not enough for it.
    """
    machine = host("h", 32.0, *(low_priority_run(f"g{n}", 2.0, 300.0) for n in range(16)))
    result = decide([machine], [entry("member", 32.0, 60.0, 1, slack_s=500.0)])
    assert len(result.stops) == 16 and all(stop.save for stop in result.stops)
    # Runs that end by themselves within 1 s are not stopped, nor are runs of the same rank.
    machine = host("h", 32.0, *(low_priority_run(f"g{n}", 2.0, 1.0) for n in range(16)))
    assert not decide([machine], [entry("member", 32.0, 60.0, 1, slack_s=500.0)]).stops
    machine = host("h", 32.0, *(run(f"m{n}", 2.0, 300.0) for n in range(16)))
    assert not decide([machine], [entry("member", 32.0, 60.0, 1, slack_s=500.0)]).stops


def test_room_that_frees_up_is_promised_to_one_job_before_preemption() -> None:
    """Guards against waiting jobs that all count on the same room and so never seem late."""
    hosts = [
        host("soon", 4.0, run("r", 4.0, 2.0)),
        host("guest", 4.0, low_priority_run("g", 4.0, 300.0)),
    ]
    jobs = [entry("first", 4.0, 60.0, 1, slack_s=50.0)]
    assert not decide(hosts, jobs).stops
    jobs = [entry(name, 4.0, 60.0, n, slack_s=50.0) for n, name in enumerate("ab")]
    assert [stop.host for stop in decide(hosts, jobs).stops] == ["guest"]


def test_no_room_is_reserved_or_cleared_for_a_broken_job() -> None:
    machine = host("h", 4.0, low_priority_run("g", 4.0, 300.0))
    result = decide([machine], [entry("bad", 4.0, 60.0, 1, broken=True, slack_s=1.0)])
    assert not result.stops and not result.reservations and not result.starts


def test_a_failed_task_is_tried_on_another_machine() -> None:
    hosts = [host("h1", 4.0), host("h2", 8.0)]
    job = entry("j", 2.0, 60.0, 1, avoided_hosts=frozenset({HostId("h1")}))
    assert decide(hosts, [job]).starts[0].host == "h2"
    job = entry("j", 2.0, 60.0, 1, avoided_hosts=frozenset({HostId("h1"), HostId("h2")}))
    assert decide(hosts, [job]).starts


def test_equal_rank_is_never_preempted() -> None:
    machine = host("h", 4.0, run("same", 4, 200))
    assert not decide([machine], [entry("next", 4, 9, 1, slack_s=0.0)]).stops


@pytest.mark.parametrize("seed", range(20))
def test_random_plans_fit(seed: int) -> None:
    """No plan overfills a machine or starts a task twice.

    The head is not delayed on its machine by foreground runs that last beyond the shadow time.
    """
    rng = random.Random(seed)
    hosts = []
    for number in range(rng.randint(1, 6)):
        total = rng.choice([4.0, 8.0, 32.0])
        runs, left = [], total
        while left >= 2 and rng.random() < 0.7:
            need = float(rng.choice([1, 2]))
            tier = rng.choice([Tier.FOREGROUND, Tier.FOREGROUND, Tier.BACKGROUND])
            runs.append(run(f"r{number}-{len(runs)}", need, rng.uniform(1, 90), tier))
            left -= need
        hosts.append(host(f"h{number}", total, *runs))
    free = {h.id: h.free for h in hosts}
    by_id = {h.id: h for h in hosts}
    scarce = {(h.type, h.spot): rng.choice([0.0, 0.8]) for h in hosts}
    jobs = [
        entry(f"j{n}", rng.choice([1, 2, 4, 8]), rng.uniform(1, 90), n, rng.randint(1, 9))
        for n in range(12)
    ]
    needs = {job.job: (job.need, job.run_s) for job in jobs}
    result = plan(Snapshot(hosts, jobs, scarcity=scarce), Policy())
    seen = set()
    for start in result.starts:
        assert start.task not in seen
        seen.add(start.task)
        free[start.host] = free[start.host].minus(needs[start.task.job][0])
    assert all(room.cpus >= -1e-6 for room in free.values())
    for reservation in result.reservations:
        machine = by_id[reservation.host]
        late = [
            r.need.cpus
            for r in machine.runs
            if r.tier is Tier.FOREGROUND
            and r.ends_at > reservation.shadow_at
            and not r.stopping
        ]
        assert sum(late) + reservation.need.cpus <= machine.total.cpus + 1e-6


class ReferenceScheduler(BackfillScheduler):
    """Places one task at a time and examines every machine for it.

    The scheduler has to reach the same decisions with fewer steps.
    """

    def _place(self, entry: Entry) -> None:
        while self._wants_start(entry):
            costs = [
                self._cost(entry, h)
                for h in self._all_hosts()
                if h.ready_at <= self.now
                and self._fits_now(entry, h)
                and (h.id not in self.reserved or self._can_backfill(entry, h))
            ]
            if not costs:
                break
            best = min(costs, key=lambda c: c[:3])[3]
            if len(entry.waiting) <= self._count_better_waiting(entry, best):
                break
            self._start(entry, best, Tier.FOREGROUND)
        self._promise_slots(entry)


def random_snapshot(rng: random.Random, machines: int, jobs: int) -> Snapshot:
    """Return a snapshot of partly busy machines and waiting jobs of all ranks."""
    hosts = []
    for number in range(machines):
        total = rng.choice([4.0, 8.0, 32.0])
        runs, left = [], total
        while left >= 1 and rng.random() < 0.8:
            need = float(rng.choice([1, 2, 4]))
            if need > left:
                break
            tier = Tier.BACKGROUND if rng.random() < 0.05 else Tier.FOREGROUND
            runs.append(run(f"r{number}-{len(runs)}", need, rng.uniform(1, 90), tier))
            left -= need
        machine = host(f"h{number:04}", total, *runs, ready_at=rng.choice([0.0, 0.0, 9.0]))
        machine.zone = Zone(rng.choice("ab"))
        machine.images = frozenset({Image(rng.choice("ijk"))})
        hosts.append(machine)
    entries = []
    for n in range(jobs):
        result = entry(
            f"j{n:04}", rng.choice([1, 2, 4, 8]), rng.uniform(1, 90), n, rng.randint(1, 30),
            rank=rng.choice(list(Rank)), slack_s=rng.choice([1.0, 20.0, 1e9]),
            image=Image(rng.choice("ijk")), image_gb=3.0, one_zone=rng.random() < 0.1,
        )  # fmt: skip
        if rng.random() < 0.1:
            result.zone_limit = 3
        if rng.random() < 0.2:
            result.allowed = lambda h: h.zone == "a"
        entries.append(result)
    scarcity = {
        (TypeName(f"t{cpus:g}"), False): rng.choice([0.0, 0.3, 0.9]) for cpus in (4, 8, 32)
    }
    return Snapshot(hosts, entries, {TEAM: cpus(rng.choice([20.0, 1e6]))}, scarcity=scarcity)


@pytest.mark.parametrize("seed", range(25))
def test_the_scheduler_decides_like_the_reference_scheduler(seed: int) -> None:
    policy = Policy(max_moves=2)
    fast = plan(random_snapshot(random.Random(seed), 40, 15), policy)
    plain = ReferenceScheduler(random_snapshot(random.Random(seed), 40, 15), policy).run()
    assert fast == plain
    assert fast.starts


def test_the_work_of_a_plan_grows_with_the_sum_of_machines_and_jobs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """600 machines times a backlog of 3,000 jobs would be 1.8 million checks of fit."""
    checks = 0
    fits_now, fits_at = BackfillScheduler._fits_now, BackfillScheduler._fits_at

    def counted_now(self: BackfillScheduler, job: Entry, machine: HostState) -> bool:
        nonlocal checks
        checks += 1
        return fits_now(self, job, machine)

    def counted_at(self: BackfillScheduler, *arguments) -> float:  # type: ignore[no-untyped-def]
        nonlocal checks
        checks += 1
        return fits_at(self, *arguments)

    monkeypatch.setattr(BackfillScheduler, "_fits_now", counted_now)
    monkeypatch.setattr(BackfillScheduler, "_fits_at", counted_at)
    snapshot = random_snapshot(random.Random(1), 600, 3000)
    snapshot.team_room.clear()
    for job in snapshot.entries:
        job.one_zone, job.zone_limit = False, None
    result = plan(snapshot, Policy())
    assert len(result.starts) > 300
    assert checks < 40 * (600 + 3000)


def test_the_largest_jobs_are_postponed_when_not_all_can_start_in_time() -> None:
    """Guards against a backlog in which all jobs are late.

    That happens when the jobs closest to being late always go first.
    """
    rows = [(10.0, JobId("a"), 60.0, "x"), (12.0, JobId("b"), 30.0, "x")]
    rows += [(13.0, JobId("d"), 1.0, "y"), (14.0, JobId("c"), 40.0, "x")]
    wanted, late = select_postponed_jobs(rows, 0.0, 20.0, 4.0)
    assert (wanted, late) == (71.0, [JobId("a")])
    assert select_postponed_jobs(rows, 0.0, 20.0, 100.0) == (131.0, [])


def test_a_slow_machine_gets_no_task_that_would_be_late_there() -> None:
    """Guards against a few machines at half speed that make most arrays late.

    An array is as late as its last task, and most arrays have some task on such a machine.
    """
    slow, fast = host("a", 4.0), host("b", 4.0, run("r", 4, 3))
    slow.slowness = 2.0
    assert not started(decide([slow, fast], [entry("tight", 4, 20, 1, slack_s=10.0)]))
    assert started(decide([slow, fast], [entry("easy", 4, 20, 1, slack_s=30.0)]))


def test_slowness_is_relative_to_the_durations_of_other_tasks() -> None:
    spec = decode_job_object(JOB | {"units": 8})
    progress = JobProgress(spec, set(), durations=[9.0, 10.0, 11.0])
    assert slowness(progress, 20.0) is None
    progress.durations.append(11.0)
    assert slowness(progress, 22.0) == 2.0


def test_low_priority_tasks_leave_reserved_room_free() -> None:
    """Guards against a fleet full of low-priority tasks.

    Every task of a higher rank would then wait until some of them were stopped.
    """
    low_priority = replace(entry("g", 1.0, 60.0, 1, tasks=10), rank=Rank.LOW)
    hosts = [host("h1", 4.0), host("h2", 4.0)]
    result = plan(Snapshot(hosts, [replace(low_priority)], reserve_cpus=2.0), Policy())
    assert len(result.starts) == 6
    member = entry("m", 1.0, 60.0, 1, tasks=10)
    assert len(plan(Snapshot(hosts, [member], reserve_cpus=2.0), Policy()).starts) == 8


def test_the_slack_of_a_start_leaves_time_to_fetch_the_image() -> None:
    """A start counts from when the image is there.

    Guards against jobs that miss their objective because they wait for better room during the
    time that the fetch needs.
    """
    kind = MachineType(TypeName("t"), cpus(4.0), 10.0, 0.5, 1.0, 0.3, Duration(20.0), ())
    settings = SimpleNamespace(objectives=())
    nothing: Any = None
    builder = SnapshotBuilder(settings, nothing, nothing, {kind.name: kind}, Health(2), nothing)  # type: ignore[arg-type]
    spec = replace(decode_job_object(JOB), image_gb=1.5)
    progress = JobProgress(spec, set(), [100.0], start_target_s=5.0)
    assert builder._slack_s(progress, 0.0, 20.0, False) == pytest.approx(1.5)
    # Without slack it starts at once, wherever it fits.
    assert builder._slack_s(progress, 2.0, 20.0, False) == 0.0
    assert builder._slack_s(progress, 6.0, 20.0, False) == pytest.approx(74.0)


def test_preemption_can_be_switched_off() -> None:
    """Guards against a setting without effect, with room cleared in every plan."""
    machine = host("h", 4.0, low_priority_run("g", 4.0, 300.0))
    job = entry("member", 4.0, 60.0, 1, slack_s=1.0)
    assert not decide([machine], [replace(job)], preemption=False).stops
    assert decide([machine], [job]).stops


def test_ordinary_machines_are_left_to_jobs_that_cannot_use_spot_machines() -> None:
    """Guards against services that wait until ordinary machines are rented.

    Services must not be lost with a spot machine, so they can use ordinary machines only.
    """
    hosts = [host("m1", 4.0), host("m2", 4.0), host("m3", 4.0, run("r", 4, 5))]
    hosts[1].spot = hosts[2].spot = True
    jobs = [entry("array", 4, 60, 1, tasks=2, slack_s=50.0)]
    scarce = {(TypeName("t4"), False): 1.0}
    assert [s.host for s in plan(Snapshot(hosts, jobs, scarcity=scarce), Policy()).starts] == [
        "m2"
    ]
    jobs = [entry("array", 4, 60, 1, tasks=2, slack_s=50.0)]
    assert len(plan(Snapshot(hosts, jobs), Policy()).starts) == 2


def test_scarcity_counts_spot_and_ordinary_machines_of_a_type_together() -> None:
    """Guards against ordinary machines that stay scarce after spot machines have come up.

    For jobs that may use both, the machines of both kinds of a type count. Scarcity by kind was
    wrong for minutes after the spot machines of a type came up.
    """
    small, big = TypeName("t4"), TypeName("t32")
    types = {
        name: MachineType(name, cpus(size), 9.0, 0.5, 1.0, 0.3, Duration(20.0), ())
        for name, size in ((small, 4.0), (big, 32.0))
    }
    up = [(small, False), (big, False)]
    hosts = {
        HostId(f"{name}-{spot}"): SimpleNamespace(
            type=name, spot=spot, draining=None, deleting=False, capacity=types[name].capacity
        )
        for name, spot in up
    }
    ledger: Any = SimpleNamespace(hosts=hosts, occupancy=SimpleNamespace(task_zones_by_job={}))
    builder = SnapshotBuilder(
        SimpleNamespace(objectives=()), ledger, None, types, Health(2), None  # type: ignore[arg-type]
    )  # fmt: skip
    large = replace(decode_job_object(JOB), need=cpus(16.0), types=None, spot=True)
    jobs: Any = {large.id: JobProgress(large, {0, 1})}
    builder.update_scarcity(jobs, 0.0)  # type: ignore[arg-type]
    assert builder.scarcity == {(big, True): 1.0, (big, False): 1.0}
    for number in range(3):
        hosts[HostId(f"s{number}")] = as_spot_host(hosts[HostId("t32-False")])
    builder.update_scarcity(jobs, 1.0)  # type: ignore[arg-type]
    assert builder.scarcity[big, True] == builder.scarcity[big, False] == 0.25
    ordinary_only = replace(large, spot=False)
    builder.update_scarcity({ordinary_only.id: JobProgress(ordinary_only, {0, 1})}, 2.0)  # type: ignore[arg-type]
    assert builder.scarcity[big, False] == 1.0 > builder.scarcity[big, True]


def as_spot_host(host: SimpleNamespace) -> SimpleNamespace:
    return SimpleNamespace(**vars(host) | {"spot": True})
