"""The walk against small worked examples, the paper's figures among them."""

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
    task = AttemptId(TaskId(JobId(job), 0), Attempt(7))
    return RunState(task, cpus(need), ends, -ran, tier, Rank.NORMAL, TEAM)


def entry(
    job: str, need: float, run_s: float, at: float, tasks: int = 1, **more: object
) -> Entry:
    made = Entry(
        JobId(job), TEAM, cpus(need), Rank.NORMAL, (at,), list(range(tasks)), run_s,
        Image("i"), 0.0, lambda _: True,
    )  # fmt: skip
    for name, value in more.items():
        setattr(made, name, value)
    return made


def decide(hosts: list[HostState], entries: list[Entry], **policy: object) -> Plan:
    return plan(Snapshot(hosts, entries), Policy(**policy))  # type: ignore[arg-type]


def started(made: Plan) -> dict[str, str]:
    return {s.task.job: s.tier.name.lower() for s in made.starts}


def test_figure_1_at_time_0() -> None:
    """J1 fits; J2 is the head with a reservation; J3 and J4 end by its shadow time and are
    backfilled; a longer one goes to the background, the shortest first."""
    machine = host("p1-5", 5.0)
    jobs = [
        entry("j1", 2, 10, 1),
        entry("j2", 4, 6, 2),
        entry("j3", 1, 5, 3),
        entry("j4", 1, 10, 4),
        entry("j5", 1, 30, 5),
        entry("j6", 1, 20, 6),
    ]
    made = decide([machine], jobs)
    tiers = started(made)
    assert tiers["j1"] == tiers["j3"] == tiers["j4"] == "foreground"
    assert [hold.job for hold in made.reservations] == ["j2"]
    assert made.reservations[0].shadow_at == 10.0
    # One processor is the extra room (5 - 4), and the head's promised room is the rest.
    assert tiers["j5"] == "foreground" and "j2" not in tiers


def test_extra_room_is_used_up_only_by_jobs_that_end_later() -> None:
    machine = host("h", 10.0, run("r", 6, 10))
    made = decide([machine], [entry("head", 8, 9, 1), entry("long", 2, 99, 2)])
    assert started(made) == {"long": "foreground"}
    machine = host("h", 10.0, run("r", 6, 10))
    jobs = [entry("head", 8, 9, 1), entry("long", 2, 99, 2), entry("longer", 2, 100, 3)]
    made = decide([machine], jobs, background=False)
    assert started(made) == {"long": "foreground"}


def test_background_takes_the_promised_room_shortest_first() -> None:
    machine = host("h", 4.0, run("r", 2, 31))
    jobs = [entry("head", 4, 9, 1), entry("slow", 2, 60, 2), entry("short", 2, 40, 3)]
    assert started(decide([machine], jobs)) == {"short": "background"}


def test_background_that_the_reservation_would_only_cut_off_is_not_started() -> None:
    """Hundreds of runs were begun in room that was needed seconds later, and all lost."""
    machine = host("h", 4.0, run("r", 2, 10))
    jobs = [entry("head", 4, 9, 1), entry("long", 2, 40, 2)]
    assert not started(decide([machine], jobs))


def test_no_more_tasks_wait_for_a_type_than_room_frees_up_on_it() -> None:
    """A whole backlog once waited for the few small machines while large ones stood idle."""
    hosts = [host("small", 4.0, run("r", 4, 5)), host("big", 16.0)]
    job = entry("job", 4, 9, 1, tasks=3, slack_s=100.0)
    snapshot = Snapshot(hosts, [job], scarcity={(TypeName("t16"), False): 1.0})
    assert [s.host for s in plan(snapshot, Policy()).starts] == ["big", "big"]


def test_every_job_of_a_backlog_counts_on_room_of_its_own() -> None:
    """Each job counted on the same room in the next seconds, and each left some to wait."""
    hosts = [host("small", 4.0, run("r", 4, 5)), host("other", 4.0, run("q", 4, 5))]
    hosts[1].zone = Zone("b")
    hosts.append(host("big", 16.0))
    jobs = [entry(f"job{n}", 4, 9, n, slack_s=100.0) for n in range(5)]
    made = plan(Snapshot(hosts, jobs, scarcity={(TypeName("t16"), False): 1.0}), Policy())
    assert [s.task.job for s in made.starts] == ["job2", "job3", "job4"]


def test_background_is_stopped_when_the_reservation_needs_its_room() -> None:
    machine = host("h", 4.0, run("bg", 2, 50, Tier.BACKGROUND))
    made = decide([machine], [entry("head", 4, 9, 1)])
    assert [stop.attempt.task.job for stop in made.stops] == ["bg"]
    machine = host("h", 4.0, run("bg", 2, 50, Tier.BACKGROUND), run("fg", 2, 10))
    made = decide([machine], [entry("head", 4, 9, 1)])
    assert not made.stops  # there is no use in it before the foreground ends


def test_background_is_lifted_in_place_when_nothing_needs_its_room() -> None:
    machine = host("h", 4.0, run("bg", 2, 50, Tier.BACKGROUND))
    assert [a.task.job for a in decide([machine], []).promotions] == ["bg"]
    machine = host("h", 4.0, run("bg", 2, 50, Tier.BACKGROUND))
    assert not decide([machine], [], lifting=False).promotions


def test_background_moves_from_its_checkpoint() -> None:
    guest = replace(run("bg", 2, 50, Tier.BACKGROUND), resumable=True)
    hosts = [host("h", 4.0, guest, run("fg", 2, 10)), host("other", 2.0)]
    made = decide(hosts, [entry("head", 4, 9, 1)])
    assert [(s.attempt.task.job, s.save) for s in made.stops] == [("bg", True)]


def test_every_array_task_is_an_entry_of_its_own() -> None:
    made = decide([host("h", 3.0)], [entry("array", 1, 9, 1, tasks=5)])
    assert len(made.starts) == 3


def test_services_skip_tier_and_reservation() -> None:
    made = decide([host("h", 2.0)], [entry("web", 2, 0, 1, tasks=2, service=True)])
    assert started(made) == {"web": "foreground"}
    assert not made.reservations


def test_a_gang_starts_whole_or_holds_room() -> None:
    hosts = [host("a", 4.0), host("b", 4.0, run("r", 2, 10))]
    made = decide(hosts, [entry("gang", 2, 9, 1, tasks=3, gang=True)])
    assert len(made.starts) == 3
    hosts = [host("a", 4.0), host("b", 4.0, run("r", 4, 10))]
    jobs = [entry("gang", 2, 9, 1, tasks=3, gang=True), entry("long", 2, 60, 2)]
    made = decide(hosts, jobs)
    assert {hold.job for hold in made.reservations} == {"gang"}
    assert "gang" not in started(made)


def test_a_team_without_limit_on_one_amount() -> None:
    room = {TEAM: Resources(4.0, float("inf"), float("inf"))}
    job = entry("job", 2, 9, 1, tasks=5)
    job.need = Resources(2.0, 1.0, 1.0)
    machine = host("h", 64.0)
    machine.free = machine.total = Resources(64.0, 8.0, 64.0)
    assert len(plan(Snapshot([machine], [job], room), Policy()).starts) == 2


def test_a_team_at_its_limit_is_no_head() -> None:
    full = entry("full", 4, 9, 1, team_slots=0)
    made = decide([host("h", 4.0)], [full, entry("next", 4, 9, 2)])
    assert started(made) == {"next": "foreground"}
    assert not made.reservations


def test_overrunning_estimates_do_not_send_the_reservation_round() -> None:
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
def test_preemption_weighs_lost_work(loss: float, stops: int) -> None:
    machine = host("h", 4.0, run("low", 4, 200, ran=loss))
    urgent = entry("urgent", 4, 9, 1, rank=Rank.HIGH, slack_s=3.0)
    assert len(decide([machine], [urgent]).stops) == stops


def low_priority_run(job: str, need: float, ends: float, saves: bool = True) -> RunState:
    return replace(run(job, need, ends, ran=5.0), rank=Rank.LOW, resumable=saves)


def test_idle_work_makes_way_at_once_for_a_task_of_many_times_its_size() -> None:
    """Eight stops a plan were not enough for one large task, and so it waited for ever."""
    machine = host("h", 32.0, *(low_priority_run(f"g{n}", 2.0, 300.0) for n in range(16)))
    made = decide([machine], [entry("member", 32.0, 60.0, 1, slack_s=500.0)])
    assert len(made.stops) == 16 and all(stop.save for stop in made.stops)
    # What ends by itself in a moment is not stopped, nor is work of the same rank.
    machine = host("h", 32.0, *(low_priority_run(f"g{n}", 2.0, 1.0) for n in range(16)))
    assert not decide([machine], [entry("member", 32.0, 60.0, 1, slack_s=500.0)]).stops
    machine = host("h", 32.0, *(run(f"m{n}", 2.0, 300.0) for n in range(16)))
    assert not decide([machine], [entry("member", 32.0, 60.0, 1, slack_s=500.0)]).stops


def test_room_that_frees_up_is_promised_once_before_others_make_way() -> None:
    """Every waiting job counted on the same room, so that none seemed to be late."""
    hosts = [
        host("soon", 4.0, run("r", 4.0, 2.0)),
        host("guest", 4.0, low_priority_run("g", 4.0, 300.0)),
    ]
    jobs = [entry("first", 4.0, 60.0, 1, slack_s=50.0)]
    assert not decide(hosts, jobs).stops
    jobs = [entry(name, 4.0, 60.0, n, slack_s=50.0) for n, name in enumerate("ab")]
    assert [stop.host for stop in decide(hosts, jobs).stops] == ["guest"]


def test_no_room_is_held_or_cleared_for_a_job_that_fails_everywhere() -> None:
    machine = host("h", 4.0, low_priority_run("g", 4.0, 300.0))
    made = decide([machine], [entry("bad", 4.0, 60.0, 1, broken=True, slack_s=1.0)])
    assert not made.stops and not made.reservations and not made.starts


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
    """No plan overfills a machine or starts a task twice, and the head is not overtaken
    on its machine by foreground work that would still be there at the shadow time."""
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
    made = plan(Snapshot(hosts, jobs, scarcity=scarce), Policy())
    seen = set()
    for start in made.starts:
        assert start.task not in seen
        seen.add(start.task)
        free[start.host] = free[start.host].minus(needs[start.task.job][0])
    assert all(room.cpus >= -1e-6 for room in free.values())
    for hold in made.reservations:
        machine = by_id[hold.host]
        late = [
            r.need.cpus
            for r in machine.runs
            if r.tier is Tier.FOREGROUND and r.ends_at > hold.shadow_at and not r.stopping
        ]
        assert sum(late) + hold.need.cpus <= machine.total.cpus + 1e-6


class ReferenceScheduler(BackfillScheduler):
    """One task at a time, every machine looked at: what the walk must come to as well."""

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
        made = entry(
            f"j{n:04}", rng.choice([1, 2, 4, 8]), rng.uniform(1, 90), n, rng.randint(1, 30),
            rank=rng.choice(list(Rank)), slack_s=rng.choice([1.0, 20.0, 1e9]),
            image=Image(rng.choice("ijk")), image_gb=3.0, one_zone=rng.random() < 0.1,
        )  # fmt: skip
        if rng.random() < 0.1:
            made.zone_limit = 3
        if rng.random() < 0.2:
            made.allowed = lambda h: h.zone == "a"
        entries.append(made)
    scarcity = {
        (TypeName(f"t{cpus:g}"), False): rng.choice([0.0, 0.3, 0.9]) for cpus in (4, 8, 32)
    }
    return Snapshot(hosts, entries, {TEAM: cpus(rng.choice([20.0, 1e6]))}, scarcity=scarcity)


@pytest.mark.parametrize("seed", range(25))
def test_the_walk_decides_as_a_plain_one(seed: int) -> None:
    policy = Policy(max_moves=2)
    fast = plan(random_snapshot(random.Random(seed), 40, 15), policy)
    plain = ReferenceScheduler(random_snapshot(random.Random(seed), 40, 15), policy).run()
    assert fast == plain
    assert fast.starts


def test_a_plan_s_work_grows_with_fleet_plus_backlog(monkeypatch: pytest.MonkeyPatch) -> None:
    """600 machines and a backlog of 3,000 jobs: their product would be 1.8 million looks."""
    looks = 0
    fits_now, fits_at = BackfillScheduler._fits_now, BackfillScheduler._fits_at

    def counted(self: BackfillScheduler, job: Entry, machine: HostState) -> bool:
        nonlocal looks
        looks += 1
        return fits_now(self, job, machine)

    def counted_at(self: BackfillScheduler, *arguments) -> float:  # type: ignore[no-untyped-def]
        nonlocal looks
        looks += 1
        return fits_at(self, *arguments)

    monkeypatch.setattr(BackfillScheduler, "_fits_now", counted)
    monkeypatch.setattr(BackfillScheduler, "_fits_at", counted_at)
    snapshot = random_snapshot(random.Random(1), 600, 3000)
    snapshot.team_room.clear()
    for job in snapshot.entries:
        job.one_zone, job.zone_limit = False, None
    made = plan(snapshot, Policy())
    assert len(made.starts) > 300
    assert looks < 40 * (600 + 3000)


def test_where_not_all_can_be_in_time_the_largest_steps_down() -> None:
    """Those about to be late went first, and a backlog made all of them late."""
    rows = [(10.0, JobId("a"), 60.0, "x"), (12.0, JobId("b"), 30.0, "x")]
    rows += [(13.0, JobId("d"), 1.0, "y"), (14.0, JobId("c"), 40.0, "x")]
    wanted, late = select_postponed_jobs(rows, 0.0, 20.0, 4.0)
    assert (wanted, late) == (71.0, [JobId("a")])
    assert select_postponed_jobs(rows, 0.0, 20.0, 100.0) == (131.0, [])


def test_a_slow_machine_gets_no_work_that_would_be_late_there() -> None:
    """A few machines at half speed made most arrays late, since each had some task there."""
    slow, fast = host("a", 4.0), host("b", 4.0, run("r", 4, 3))
    slow.slowness = 2.0
    assert not started(decide([slow, fast], [entry("tight", 4, 20, 1, slack_s=10.0)]))
    assert started(decide([slow, fast], [entry("easy", 4, 20, 1, slack_s=30.0)]))


def test_a_run_is_slow_by_its_peers() -> None:
    spec = decode_job_object(JOB | {"units": 8})
    progress = JobProgress(spec, set(), durations=[9.0, 10.0, 11.0])
    assert slowness(progress, 20.0) is None
    progress.durations.append(11.0)
    assert slowness(progress, 22.0) == 2.0


def test_idle_work_leaves_room_for_what_comes_next() -> None:
    """With the fleet full of it, every task of a higher rank waited until some was stopped."""
    guest = replace(entry("g", 1.0, 60.0, 1, tasks=10), rank=Rank.LOW)
    hosts = [host("h1", 4.0), host("h2", 4.0)]
    made = plan(Snapshot(hosts, [replace(guest)], reserve_cpus=2.0), Policy())
    assert len(made.starts) == 6
    member = entry("m", 1.0, 60.0, 1, tasks=10)
    assert len(plan(Snapshot(hosts, [member], reserve_cpus=2.0), Policy()).starts) == 8


def test_a_start_in_time_leaves_time_to_fetch_the_image() -> None:
    """It counts from when the image is there: who waited for better room came too late."""
    kind = MachineType(TypeName("t"), cpus(4.0), 10.0, 0.5, 1.0, 0.3, Duration(20.0), ())
    settings = SimpleNamespace(objectives=())
    nothing: Any = None
    picture = SnapshotBuilder(settings, nothing, nothing, {kind.name: kind}, Health(2), nothing)  # type: ignore[arg-type]
    spec = replace(decode_job_object(JOB), image_gb=1.5)
    progress = JobProgress(spec, set(), [100.0], start_target_s=5.0)
    assert picture._slack_s(progress, 0.0, 20.0, False) == pytest.approx(1.5)
    assert picture._slack_s(progress, 2.0, 20.0, False) == 0.0  # at once, wherever it fits
    assert picture._slack_s(progress, 6.0, 20.0, False) == pytest.approx(74.0)


def test_preemption_can_be_switched_off() -> None:
    """The setting had no effect, and room was cleared in every plan."""
    machine = host("h", 4.0, low_priority_run("g", 4.0, 300.0))
    job = entry("member", 4.0, 60.0, 1, slack_s=1.0)
    assert not decide([machine], [replace(job)], preemption=False).stops
    assert decide([machine], [job]).stops


def test_ordinary_machines_are_left_to_work_that_may_use_no_others() -> None:
    """Services, which must not be lost with a spot machine, waited until some were rented."""
    hosts = [host("m1", 4.0), host("m2", 4.0), host("m3", 4.0, run("r", 4, 5))]
    hosts[1].spot = hosts[2].spot = True
    jobs = [entry("array", 4, 60, 1, tasks=2, slack_s=50.0)]
    scarce = {(TypeName("t4"), False): 1.0}
    assert [s.host for s in plan(Snapshot(hosts, jobs, scarcity=scarce), Policy()).starts] == [
        "m2"
    ]
    jobs = [entry("array", 4, 60, 1, tasks=2, slack_s=50.0)]
    assert len(plan(Snapshot(hosts, jobs), Policy()).starts) == 2


def test_scarcity_does_not_depend_on_which_kinds_are_up_just_now() -> None:
    """Ordinary machines stayed scarce for minutes after the spot ones of their type came up."""
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
    ledger: Any = SimpleNamespace(hosts=hosts, task_zones_by_job={})
    picture = SnapshotBuilder(
        SimpleNamespace(objectives=()), ledger, None, types, Health(2), None  # type: ignore[arg-type]
    )  # fmt: skip
    wide = replace(decode_job_object(JOB), need=cpus(16.0), types=None, spot=True)
    jobs: Any = {wide.id: JobProgress(wide, {0, 1})}
    picture.update_scarcity(jobs, 0.0)  # type: ignore[arg-type]
    assert picture.scarcity == {(big, True): 1.0, (big, False): 1.0}
    for number in range(3):
        hosts[HostId(f"s{number}")] = as_spot_host(hosts[HostId("t32-False")])
    picture.update_scarcity(jobs, 1.0)  # type: ignore[arg-type]
    assert picture.scarcity[big, True] == picture.scarcity[big, False] == 0.25
    steady = replace(wide, spot=False)
    picture.update_scarcity({steady.id: JobProgress(steady, {0, 1})}, 2.0)  # type: ignore[arg-type]
    assert picture.scarcity[big, False] == 1.0 > picture.scarcity[big, True]


def as_spot_host(host: SimpleNamespace) -> SimpleNamespace:
    return SimpleNamespace(**vars(host) | {"spot": True})
