"""Property tests of the pure parts of maintenance.

These are the disruption budgets, the choice of runs to stop on draining machines, the steps of
a replacement, and the encoding of orders and settings.
"""

from __future__ import annotations

import math
import random
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dunehold.bookkeeping.disruptions import Disruption, DisruptionTracker, TeamTotals
from dunehold.bookkeeping.orders import (
    OrderProgress,
    Stage,
    decode_order,
    decode_progress,
    encode_order,
    encode_progress,
)
from dunehold.budgets import Amount, DisruptionBudget, DisruptionBudgets
from dunehold.coordination.maintenance import draining, replacement, scope
from dunehold.coordination.maintenance.draining import DrainCandidate
from dunehold.coordination.maintenance.replacement import FreshHost, Observation, OldHost
from dunehold.operator_commands import parse_duration_s, parse_time_s
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.operators import Order, OrderKind, Selection, decode_order_fields
from dunehold.settings import SettingsError, load_operator_settings
from dunehold.types import (
    Attempt,
    AttemptId,
    Duration,
    HostId,
    JobId,
    MonotonicTime,
    OrderId,
    Rank,
    Revision,
    TaskId,
    Team,
    TypeName,
    WallTime,
    Zone,
)

BLUE, RED = Team("blue"), Team("red")
BUDGET = DisruptionBudget(Amount(3), Amount(12.0), Amount(1), Amount(2), Duration(20.0))
BUDGETS = DisruptionBudgets(BUDGET, {RED: replace(BUDGET, tasks=Amount(share=0.5))})


class DisruptionBudgetMachine(RuleBasedStateMachine):
    """Leaders change, stops are requested, and stopped tasks run again or do not.

    The invariant counts independently of the tracker, as an operator would: stops that were
    granted within the window, and stopped tasks that are not known to run again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.record: object = None
        self.granted: list[tuple[float, Team, TaskId]] = []
        self.not_restored: dict[TaskId, Team] = {}
        self.number = 0
        self.start_leader()

    def start_leader(self) -> None:
        self.disruptions = DisruptionTracker(BUDGETS)
        self.disruptions.restore(self.record, MonotonicTime(self.now), WallTime(self.now))
        self.known: set[TaskId] = set()

    @rule(team=st.sampled_from([BLUE, RED]), cpus=st.sampled_from([1.0, 4.0, 8.0]))
    def stop(self, team: Team, cpus: float) -> None:
        self.number += 1
        task = TaskId(JobId(f"job-{self.number:06d}"), 0)
        disruption = Disruption(team, task.job, 1, cpus)
        if self.disruptions.refusal(disruption, TeamTotals(8, 100.0)) is not None:
            return
        self.record = self.disruptions.encode(
            [disruption], MonotonicTime(self.now), WallTime(self.now)
        )
        self.disruptions.add(disruption, task, MonotonicTime(self.now), choice=True)
        self.granted.append((self.now, team, task))
        self.not_restored[task] = team
        self.known.add(task)

    @rule(index=st.integers(0, 50))
    def restore_task(self, index: int) -> None:
        tasks = sorted(self.not_restored)
        if tasks:
            task = tasks[index % len(tasks)]
            self.disruptions.task_restored(task)
            del self.not_restored[task]

    @rule(team=st.sampled_from([BLUE, RED]))
    def lose_task(self, team: Team) -> None:
        self.number += 1
        task = TaskId(JobId(f"job-{self.number:06d}"), 0)
        self.disruptions.add(
            Disruption(team, task.job, 1, 1.0), task, MonotonicTime(self.now), False
        )

    @rule(seconds=st.floats(0.5, 15.0))
    def advance_time(self, seconds: float) -> None:
        self.now += seconds
        self.disruptions.expire(MonotonicTime(self.now))

    @rule()
    def change_leader(self) -> None:
        self.start_leader()

    @invariant()
    def within_budget(self) -> None:
        # Red's budget is half of 8 tasks; tasks that do not run count towards that total.
        for team, most in ((BLUE, 3), (RED, 5)):
            recent = {task for at, t, task in self.granted if t == team and at > self.now - 20}
            not_running = {
                task
                for task, t in self.not_restored.items()
                if t == team and task in self.known
            }
            assert len(recent | not_running) <= most * (2 if team is RED else 1), (
                recent,
                not_running,
            )


DisruptionBudgetMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestDisruptionBudgets = DisruptionBudgetMachine.TestCase


def test_a_new_leader_counts_the_disruptions_recorded_before_its_takeover() -> None:
    """Without the record, a new leader would use the budget a second time.

    Recorded disruptions count for a whole window from the takeover.
    """
    tracker = DisruptionTracker(BUDGETS)
    disruption = Disruption(BLUE, JobId("job-000001"), 3, 3.0)
    now, wall = MonotonicTime(50.0), WallTime(5e8)
    record = tracker.encode([disruption], now, wall)
    # The new leader has another monotonic clock.
    later, later_wall = MonotonicTime(7.0), WallTime(wall + 19.0)
    restored, unrestored = DisruptionTracker(BUDGETS), DisruptionTracker(BUDGETS)
    restored.restore(record, later, later_wall)
    other_task = Disruption(BLUE, JobId("job-000002"), 1, 1.0)
    assert unrestored.refusal(other_task, TeamTotals(8, 100.0)) is None
    assert (
        restored.refusal(other_task, TeamTotals(8, 100.0))
        == "team blue: 3 of its tasks at once"
    )
    restored.expire(MonotonicTime(later + 19.0))
    # The window counts from the takeover.
    assert restored.refusal(other_task, TeamTotals(8, 100.0)) is not None
    restored.expire(MonotonicTime(later + 20.5))
    assert restored.refusal(other_task, TeamTotals(8, 100.0)) is None
    with pytest.raises(BadMessage):
        restored.restore({"f": 2, "rows": []}, later, wall)
    # With a record that cannot be read, all budgets count as used up for a window.
    restored.block([BLUE, RED], later)
    for team in (BLUE, RED):
        for service in (False, True):
            disruption = Disruption(team, JobId("job-000003"), 1, 1.0, service)
            assert (
                restored.refusal(disruption, TeamTotals(8, 100.0), replicas=4, up=4) is not None
            )
    restored.expire(MonotonicTime(later + 20.5))
    assert restored.refusal(other_task, TeamTotals(8, 100.0)) is None


# -- runs to stop ---------------------------------------------------------------------------


def random_candidate(rng: random.Random, number: int) -> DrainCandidate:
    """Return a run of a random service, gang or array on a draining machine."""
    service = rng.random() < 0.2
    gang = 0 if service or rng.random() < 0.8 else 3
    job = JobId(f"job-{rng.randrange(6) + (10 if service else 20 if gang else 0):06d}")
    return DrainCandidate(
        AttemptId(TaskId(job, number), Attempt(number + 1)),
        rng.choice([BLUE, RED]),
        Rank(rng.randrange(4)),
        cpus=rng.choice([1.0, 2.0, 4.0]),
        ran_s=rng.uniform(0, 100),
        left_s=math.inf if service else rng.uniform(0.5, 200),
        save_s=rng.choice([0.0, 0.0, 2.0]) if not service else 0.0,
        limit_s=rng.choice([math.inf, 100.0, 30.0, -5.0]),
        service=service,
        replicas=4 if service else 0,
        up=rng.randrange(1, 5) if service else 0,
        gang=gang,
        gang_cpus=3.0 * gang,
        room_elsewhere=rng.random() < 0.6,
    )


@pytest.mark.parametrize("seed", range(40))
def test_drain_stops_respect_budgets_and_spare_runs_that_end_in_time(
    seed: int,
) -> None:
    rng = random.Random(seed)
    runs = [random_candidate(rng, number) for number in range(rng.randrange(1, 30))]
    tracker = DisruptionTracker(BUDGETS)
    totals = {BLUE: TeamTotals(20, 60.0), RED: TeamTotals(20, 60.0)}
    found = draining.decide(runs, tracker, totals)
    chosen = {run.attempt for run in found.stops}
    for team, most in ((BLUE, 3), (RED, 10)):
        ours = [run.hit for run in found.stops if run.team == team]
        assert sum(disruption.tasks for disruption in ours if not disruption.service) <= most
        assert sum(disruption.cpus for disruption in ours) <= 12.0 + 1e-6
    for job in {run.attempt.task.job for run in found.stops if run.service}:
        ours = [run for run in found.stops if run.attempt.task.job == job and run.service]
        assert len({r.team for r in ours}) > 1 or (
            len(ours) == 1 and ours[0].up - 1 >= 2 and ours[0].room_elsewhere
        )
    for run in runs:
        if run.attempt in chosen and not run.service and not run.saves:
            assert run.left_s > run.limit_s - draining.STOP_LATENCY_S
        if run.limit_s == math.inf and not run.service and not run.saves:
            assert run.attempt not in chosen


def test_the_only_replica_of_a_service_is_not_stopped_and_the_reason_is_given() -> None:
    """The same holds for a service whose budget of replicas is zero."""
    candidate = DrainCandidate(
        AttemptId(TaskId(JobId("job-000001"), 0), Attempt(1)),
        BLUE, Rank.HIGH, 4.0, 10.0, math.inf, 0.0, -1.0, True, 1, 1, 0, 0.0,
        True,
    )  # fmt: skip
    for budgets, reason in (
        (BUDGETS, "job-000001: at least 2 of its replicas stay up"),
        (
            DisruptionBudgets(DisruptionBudget(replicas=Amount(0.0), least_up=Amount(0.0))),
            "0 of its replicas at once",
        ),
    ):
        found = draining.decide([candidate], DisruptionTracker(budgets), {})
        assert not found.stops and found.late == 1
        assert reason in found.held_up[0]
    free = DisruptionBudgets(DisruptionBudget(least_up=Amount(0.0), cpus=Amount(100.0)))
    assert draining.decide([candidate], DisruptionTracker(free), {}).stops == [candidate]


# -- steps of a replacement -----------------------------------------------------------------

NORTH, SOUTH = Zone("north"), Zone("south")
HOST_KINDS = [
    (TypeName("small"), zone, spot) for zone in (NORTH, SOUTH) for spot in (True, False)
]


class ReplacementSimulation:
    """The machines of a replacement, with a cloud of limited capacity and faulty machines.

    ``failure_share`` is the share of fresh machines that do not come up. Each call of ``step``
    advances the time by 1 s.
    """

    def __init__(self, rng: random.Random, number: int, failure_share: float = 0.0) -> None:
        self.rng, self.failure_share, self.now = rng, failure_share, 0.0
        self.old = {
            HostId(f"m-{i:06d}"): (HOST_KINDS[i % 4], rng.choice([0.0, 2.0, 4.0]))
            for i in range(number)
        }
        self.fresh: dict[HostId, FreshHost] = {}
        self.booting: dict[HostId, float] = {}
        self.capacity, self.free, self.waiting = 10**6, 0.0, 0.0
        self.healthy_zones = {NORTH, SOUTH}
        self.least = dict.fromkeys((NORTH, SOUTH), number)
        self.progress = OrderProgress(last_host=HostId("m-500000"))
        self.writes = 0
        self.largest_step = 0

    def step(self) -> replacement.Step:
        self.now += 1.0
        for name, at in list(self.booting.items()):
            if self.now >= at:
                bad = self.rng.random() < self.failure_share
                self.fresh[name] = replace(self.fresh[name], up=not bad, faulty=bad)
                del self.booting[name]
        for name in self.progress.draining_hosts:
            if name in self.old and self.rng.random() < 0.2:
                del self.old[name]
        seen = Observation(
            WallTime(self.now),
            tuple(OldHost(name, kind, busy) for name, (kind, busy) in self.old.items()),
            tuple(self.fresh.values()),
            self.healthy_zones,
            boot_s=20.0,
            refused=set() if self.capacity > 0 else set(HOST_KINDS),
            waiting_cpus=self.waiting,
            fleet_cpus=400.0,
            free_cpus=self.free,
        )
        step = replacement.next_step(self.progress, seen)
        if step.progress != self.progress:
            self.writes += 1
            taken = set(step.progress.draining_hosts) - set(self.progress.draining_hosts)
            assert len({self.old[name][0] for name in taken}) <= 1
            self.largest_step = max(self.largest_step, len(taken))
        self.progress = step.progress
        for _ in range(min(step.rent, self.capacity)):
            self.capacity -= 1
            name = HostId(f"m-{900000 + len(self.fresh):06d}")
            assert self.progress.host_kind is not None
            self.fresh[name] = FreshHost(name, self.progress.host_kind, False, False)
            self.booting[name] = self.now + self.rng.uniform(10, 25)
        return step


@pytest.mark.parametrize("seed", range(6))
def test_a_whole_fleet_is_replaced_in_growing_steps(seed: int) -> None:
    rng = random.Random(seed)
    fleet = ReplacementSimulation(rng, 600)
    for _ in range(4000):
        if rng.random() < 0.01:  # a new leader reads the recorded progress
            fleet.progress = decode_progress(encode_progress(fleet.progress))
        if rng.random() < 0.01:
            fleet.healthy_zones ^= {rng.choice([NORTH, SOUTH])}
        fleet.step()
        if fleet.progress.stage.final:
            break
    assert fleet.progress.stage is Stage.DONE and not fleet.old
    assert 10 < fleet.largest_step <= 50
    assert fleet.writes < 0.2 * 600, fleet.writes


def test_a_replacement_halts_when_fresh_machines_fail() -> None:
    fleet = ReplacementSimulation(random.Random(1), 100, failure_share=1.0)
    while not fleet.progress.stage.final:
        step = fleet.step()
    assert (
        fleet.progress.stage is Stage.HALTED and "fresh machines" in fleet.progress.halt_reason
    )
    assert len(fleet.old) == 100 and not fleet.progress.draining_hosts
    assert step.give_up


def test_without_cloud_capacity_only_work_that_fits_elsewhere_is_moved() -> None:
    """With 9 free CPUs elsewhere, a step empties at most two machines with 4 busy CPUs each."""
    fleet = ReplacementSimulation(random.Random(2), 40)
    fleet.capacity = 0
    fleet.old = {name: (kind, 4.0) for name, (kind, _) in fleet.old.items()}
    for _ in range(300):
        assert fleet.step().progress.stage is not Stage.EMPTYING
    assert len(fleet.old) == 40
    fleet.free = 9.0
    for _ in range(10):
        fleet.step()
    assert fleet.largest_step == 2


def test_waiting_work_and_a_lost_zone_hold_up_a_replacement() -> None:
    fleet = ReplacementSimulation(random.Random(3), 40)
    while fleet.progress.wave < 2:
        fleet.step()
    while fleet.progress.stage is not Stage.BAKE:
        fleet.step()
    fleet.waiting = 100.0
    for _ in range(40):
        step = fleet.step()
    assert step.hold_up == "work waits for room" and fleet.progress.stage is Stage.BAKE
    fleet.waiting = 0.0
    while fleet.progress.stage is not Stage.EMPTYING:
        fleet.step()
    assert fleet.progress.host_kind is not None
    zone = fleet.progress.host_kind[1]
    fleet.healthy_zones.discard(zone)
    fleet.step()
    # The machines being emptied there return to service; the next wave is in the other zone.
    assert not fleet.progress.draining_hosts and fleet.progress.host_kind[1] != zone


# -- orders and settings ------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(20))
def test_orders_survive_encoding_and_decoding(seed: int) -> None:
    rng = random.Random(seed)
    row = {
        "kind": rng.choice(["drain", "replace"]),
        "hosts": [f"m-{rng.randrange(99)}"] * rng.randrange(2),
        "types": ["big"] * rng.randrange(2),
        "zones": ["north"],
        "spot": rng.choice([None, True, False]),
        "older_s": rng.choice([None, 60.0]),
        "share": rng.choice([None, 0.25]),
        "by": rng.choice([None, 9e8]),
        "reason": rng.choice(["", "new kernel"]),
    }
    order = decode_order_fields(OrderId("o-1"), row)
    again = decode_order(OrderId("o-1"), encode_order(order), Revision(0))
    assert again == order and order.is_same_request(again)
    with pytest.raises(BadMessage, match="format"):
        decode_order(OrderId("o-1"), encode_order(order) | {"f": 2}, Revision(0))


@pytest.mark.parametrize(
    "row",
    [
        {"kind": "drain"},
        {"kind": "burn", "zones": ["north"]},
        {"kind": "drain", "zones": "north"},
        {"kind": "drain", "share": 1.5},
        {"kind": "drain", "zones": ["north"], "to": "big"},
        {"kind": "replace", "zones": ["north"], "keep": True},
        {"kind": "drain", "zones": ["north"], "from": 20, "by": 10},
        {"kind": "drain", "hosts": [f"m-{n}" for n in range(101)]},
    ],
)
def test_malformed_orders_are_rejected_with_a_single_line(row: dict[str, object]) -> None:
    with pytest.raises(BadMessage) as raised:
        decode_order_fields(OrderId("o-1"), row)
    assert "\n" not in str(raised.value)


def test_a_share_selects_hosts_by_name_so_that_all_leaders_agree() -> None:
    share = Order(OrderId("o"), OrderKind.DRAIN, Selection(share=0.25), WallTime(0.0))
    host = TypeName("small"), NORTH, False
    selected = [n for n in range(1000) if share.selection.matches(HostId(f"m-{n:06d}"), *host)]
    assert 200 < len(selected) < 300
    assert scope.limited_to_existing(share)
    assert not Selection(share=0.5).matches_every_machine(*host) and Selection(
        zones=(NORTH,)
    ).matches_every_machine(*host)
    assert not Selection(zones=(SOUTH,)).matches_every_machine(*host)


def test_durations_and_times_are_parsed() -> None:
    assert [parse_duration_s(t) for t in ("90", "90s", "1.5m", "2h", "1d")] == [
        90,
        90,
        90,
        7200,
        86400,
    ]
    assert parse_time_s("+2m", 1e9) == 1e9 + 120 and parse_time_s("1700000000", 0.0) == 1.7e9
    for text in ("", "m", "-5s", "2 h", "soon"):
        with pytest.raises(ValueError):
            parse_duration_s(text)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('(disruption (default (tasks "x%")))', "default: tasks: not a percentage"),
        ('(disruption (default (tasks "120%")))', "must be 0% to 100%"),
        ("(disruption (default (tusks 3)))", "tusks: no such amount"),
        ('(disruption (team "blue" (tasks 1)) (team "blue"))', "team blue: named twice"),
        ("(disruption (team blue (tasks 1)))", "team: must be"),
        ("(disruption (default (window-s -1)))", "must be a number of at least 0"),
        ("(disruption (bind-all 2))", "bind-all: must be 0 or 1"),
        ("(operator-port 70000)", "operator-port: must be a port"),
    ],
)
def test_malformed_budgets_are_rejected_with_a_message(
    tmp_path: Path, text: str, message: str
) -> None:
    file = tmp_path / "operator.sexp"
    file.write_text(f"(dunehold {text})")
    with pytest.raises(SettingsError, match=message):
        load_operator_settings(file)


def test_budgets_are_loaded_from_operator_settings(tmp_path: Path) -> None:
    file = tmp_path / "operator.sexp"
    file.write_text(
        '(dunehold (operator-port 8082) (disruption (default (tasks "20%") (window-s 30))'
        ' (team "blue" (cpus 40) (replicas 2)) (bind-all 1)))'
    )
    found = load_operator_settings(file)
    blue = found.disruption.of(BLUE)
    assert found.operator_port == 8082 and found.disruption.bind_all
    assert (blue.tasks, blue.cpus, blue.window_s) == (Amount(share=0.2), Amount(40.0), 30.0)
    assert found.disruption.of(RED).replicas == Amount(1.0)
