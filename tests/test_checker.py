"""The history checker finds a breach of every rule of the protocol.

Each case of the first part plants a fault in the controllers that breaks one rule. The checker
must find the breach from what users and workers observed alone; a rule whose breach it misses
is not checked at all. Faults are planted in the tests only, never in the controllers' code.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from dunehold.bookkeeping import records
from dunehold.bookkeeping.ledger import Ledger
from dunehold.coordination.node import Node
from dunehold.coordination.planning.snapshot_builder import SnapshotBuilder
from dunehold.coordination.term.leader import Leader
from dunehold.coordination.users import job_api
from dunehold.emulator.agents.probing_users import UnusualRequests
from dunehold.emulator.check import UNANSWERED_LIMIT_S, Checker, ObservedJob, check
from dunehold.emulator.history import Event, History, read
from dunehold.emulator.model.worker import Worker
from dunehold.emulator.objectives import ObjectiveTracker
from dunehold.emulator.scenario import ObjectiveTable
from dunehold.protocol import users
from dunehold.transport.http import Request, Response
from dunehold.types import JobId
from tests.test_fault_combinations import cancel_through
from tests.test_rules import no_faults, simulate
from tests.world import RuleBroken, World

Handle = Callable[[Node, Request], Awaitable[Response]]
original_handle: Handle = Node.handle


def state_response(uid: str, phase: str) -> Response:
    return Response(200, users.encode_state(JobId(uid), phase, 0, 0))


def uid_of(request: Request) -> str:
    """Return the job that a user's request names, or an empty string."""
    return request.path.split("/")[3] if request.path.count("/") > 2 else ""


async def forgets_jobs(node: Node, request: Request) -> Response:
    if request.method == "GET" and uid_of(request).endswith("5"):
        return Response(404)
    return await original_handle(node, request)


async def refuses_repetitions(node: Node, request: Request) -> Response:
    response = await original_handle(node, request)
    return Response(422) if response.status == 200 and request.method == "POST" else response


async def invents_jobs(node: Node, request: Request) -> Response:
    response = await original_handle(node, request)
    return state_response(uid_of(request), "queued") if response.status == 404 else response


async def reports_done_early(node: Node, request: Request) -> Response:
    response = await original_handle(node, request)
    if request.method == "GET" and response.status == 200 and uid_of(request):
        return state_response(uid_of(request), "done")
    return response


async def takes_done_back(node: Node, request: Request) -> Response:
    response = await original_handle(node, request)
    if b'"done"' in response.body and node.now() > 60.0 and request.method == "GET":
        return state_response(uid_of(request), "running")
    return response


def ignores_cancellations() -> Handle:
    """Return a handler that tells users that their job is cancelled, but lets it run."""
    cancelled: set[str] = set()

    async def handle(node: Node, request: Request) -> Response:
        if request.path.endswith("/cancel"):
            cancelled.add(uid_of(request))
        if uid_of(request) in cancelled:
            return state_response(uid_of(request), "cancelled")
        return await original_handle(node, request)

    return handle


async def cancels_by_itself(node: Node, request: Request) -> Response:
    if request.method == "GET" and uid_of(request).endswith("7"):
        return state_response(uid_of(request), "cancelled")
    return await original_handle(node, request)


async def never_ends(node: Node, request: Request) -> Response:
    response = await original_handle(node, request)
    if b'"phase":"done"' in response.body:
        return state_response(uid_of(request), "running")
    return response


def with_handler(handle: Handle) -> Callable[[pytest.MonkeyPatch], None]:
    return lambda patch: patch.setattr(Node, "handle", handle)


def ignores_placement(patch: pytest.MonkeyPatch) -> None:
    decode = records.decode_job_object

    def decode_without_placement(row: dict[str, Any]) -> users.JobSpec:
        return replace(
            decode(row), types=None, zone=None, one_zone=False, spread=False, spot=True
        )

    patch.setattr(records, "decode_job_object", decode_without_placement)


def assumes_silent_is_gone(patch: pytest.MonkeyPatch) -> None:
    """Expire a worker's lease 0.5 s after its last renewal."""

    def expires_early(self: Ledger, host: object, now: float) -> bool:
        renewed_at = getattr(host, "lease_renewed_at", None)
        return renewed_at is not None and now > renewed_at + 0.5

    patch.setattr(Ledger, "_lease_expired", expires_early)


def ignores_limits(patch: pytest.MonkeyPatch) -> None:
    build = SnapshotBuilder.snapshot

    def snapshot_without_limits(self: SnapshotBuilder, *arguments: Any) -> Any:
        snapshot = build(self, *arguments)
        snapshot.team_room.clear()
        return snapshot

    patch.setattr(Ledger, "team_allows", lambda *_: True)
    patch.setattr(SnapshotBuilder, "snapshot", snapshot_without_limits)


def starts_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Node, "_may_start", lambda self: False)


@pytest.mark.parametrize(
    ("rule", "plant"),
    [
        ("ran_twice", assumes_silent_is_gone),
        ("quota", ignores_limits),
        ("wrong_place", ignores_placement),
        ("ran_cancelled", with_handler(ignores_cancellations())),
        ("forgotten", with_handler(forgets_jobs)),
        ("invented", with_handler(invents_jobs)),
        ("not_done", with_handler(reports_done_early)),
        ("went_back", with_handler(takes_done_back)),
        ("went_back", with_handler(cancels_by_itself)),
        ("nothing_ran", starts_nothing),
        ("final_answer", with_handler(never_ends)),
    ],
)
def test_a_controller_that_breaks_a_rule_is_found(
    rule: str, plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(RuleBroken, match=rule):
        for seed in range(10, 14):
            world = simulate(seed, no_faults)
            breaches = world.checker.finish(settled=rule == "final_answer")
            if breaches:
                raise RuleBroken("; ".join(map(str, breaches)))


def test_a_controller_without_a_planted_fault_passes() -> None:
    world: World = simulate(10, no_faults)
    assert world.checker.finish(settled=False) == []


# -- histories written by hand, without controllers ------------------------------------------

JOB = {
    "uid": "job-1", "owner": "t", "shape": "batch", "units": 2, "vcpus": 2.0, "gpus": 0.0,
    "flavours": None, "hall": None, "together": False, "spread": False, "loaner": True,
}  # fmt: skip


def make_checker(**job: Any) -> Checker:
    """Return a checker that knows job-1, accepted, of a team with a limit of 4 CPUs."""
    checker = Checker({"t": (4.0, None)}, 30.0)
    checker.feed(Event(0.0, "job", {"uid": "job-1", "job": {**JOB, **job}}))
    checker.feed(Event(0.1, "accepted", {"uid": "job-1", "status": 201}))
    return checker


def add_told(checker: Checker, at: float, phase: str, asked: float | None = None) -> None:
    """Let a user learn a phase of job-1; ``asked`` is when the question was sent."""
    data = {"uid": "job-1", "phase": phase, "asked": at if asked is None else asked}
    checker.feed(Event(at, "told", data))


def add_start(
    checker: Checker, at: float, number: int, host: str, zone: str = "a", attempt: int = 1
) -> None:
    """Let a task of job-1 start on a machine."""
    data = {"item": f"job-1/{number}", "attempt": attempt, "host": host, "flavour": "f"}
    checker.feed(Event(at, "on", {**data, "hall": zone, "loaner": True}))


def broken_rules(checker: Checker) -> list[str]:
    return [breach.rule for breach in checker.breaches]


def test_an_older_phase_in_an_answer_to_an_earlier_question_is_allowed() -> None:
    checker = make_checker()
    for n in range(2):
        checker.feed(Event(1.0, "completed", {"item": f"job-1/{n}", "attempt": 1, "host": "m"}))
    add_told(checker, 5.0, "done")
    add_told(checker, 5.1, "running", asked=4.0)
    assert broken_rules(checker) == []
    add_told(checker, 5.2, "running", asked=5.05)
    assert broken_rules(checker) == ["went_back"]


def test_a_cancelled_job_must_be_off_all_machines_within_cancel_s() -> None:
    checker = make_checker()
    add_start(checker, 1.0, 0, "m")
    checker.feed(Event(2.0, "cancel", {"uid": "job-1"}))
    add_told(checker, 3.0, "cancelled")
    checker.advance(32.9)
    assert broken_rules(checker) == []
    checker.advance(33.1)
    assert broken_rules(checker) == ["ran_cancelled"]


def test_refusing_the_resubmission_of_an_accepted_job_means_forgotten() -> None:
    checker = make_checker()
    checker.feed(Event(9.0, "refused", {"uid": "job-1", "status": 422}))
    assert broken_rules(checker) == ["forgotten"]


def test_unanswered_polls_mean_forgotten_if_most_other_polls_are_answered() -> None:
    for others_answered, expected in ((True, ["forgotten"]), (False, [])):
        checker = make_checker()
        checker.feed(Event(0.0, "job", {"uid": "job-2", "job": JOB}))
        for second in range(1, int(UNANSWERED_LIMIT_S) + 3):
            checker.feed(Event(float(second), "silent", {"uid": "job-1"}))
            for _ in range(3):
                kind = "told" if others_answered else "silent"
                data = {"uid": "job-2", "phase": "queued", "asked": float(second)}
                checker.feed(Event(float(second), kind, data))
        assert broken_rules(checker) == expected


def test_wrong_places_and_exceeded_limits_are_found() -> None:
    checker = make_checker(spread=True, units=2)
    add_start(checker, 1.0, 0, "m1")
    add_start(checker, 1.0, 1, "m2")
    assert broken_rules(checker) == ["wrong_place"]
    checker = make_checker(together=True)
    add_start(checker, 1.0, 0, "m1", "a")
    add_start(checker, 1.0, 1, "m2", "b")
    assert broken_rules(checker) == ["wrong_place"]
    checker = make_checker(vcpus=3.0)
    add_start(checker, 1.0, 0, "m1")
    add_start(checker, 1.0, 1, "m2")
    assert broken_rules(checker) == ["quota"]


def test_a_history_file_with_an_incomplete_last_line_is_checked(tmp_path: Path) -> None:
    path = tmp_path / "history.jsonl"
    with path.open("wb") as sink:
        history = History(lambda: 1.0, sink)
        history.add("job", uid="job-1", job=JOB)
        history.add("accepted", uid="job-1", status=201, asked=0.9)
        history.add(
            "on", item="job-1/0", attempt=1, host="m", flavour="f", hall="a", loaner=True
        )
        history.add(
            "on", item="job-1/0", attempt=2, host="n", flavour="f", hall="a", loaner=True
        )
        sink.write(b'{"at":2.0,"kind":"to')
    summary = check(read(path), {"t": (None, None)}, 30.0, settled=True)
    assert [breach.rule for breach in summary.breaches] == ["ran_twice", "final_answer"]


def test_objectives_are_counted_as_the_protocol_defines() -> None:
    wait = ObjectiveTable(kind="wait", within_s=4.0)
    done = ObjectiveTable(kind="finished", within_s=20.0)
    due = ObjectiveTable(kind="deadline", times=1.0)
    tracker = ObjectiveTracker([wait, done, due])

    def task(at: float, kind: str, number: int, why: str = "") -> None:
        data = {"item": f"job-1/{number}", "attempt": 1, "host": "m", "why": why}
        tracker.feed(Event(at, kind, data))

    tracker.feed(
        Event(0.0, "job", {"uid": "job-1", "job": {**JOB, "jobclass": "c", "due_s": 15.0}})
    )
    task(1.0, "on", 0)
    task(3.0, "on", 1)
    task(9.0, "off", 1, "halted")  # stopped by a command too early: this start doesn't count
    task(10.0, "on", 1)
    task(11.0, "completed", 0)
    task(18.0, "completed", 1)
    assert [result.share for result in tracker.results()] == [0.5, 1.0, 0.0]
    tracker.feed(Event(19.0, "cancel", {"uid": "job-1"}))
    assert [result.counted for result in tracker.results()] == [0, 0, 0]


def _checker_of_unanswered_job(calm_since: float | None, answered_share: float) -> Checker:
    """Return a checker of a job whose polls are unanswered from 100 s to 185 s.

    The given share of the polls for another job is answered meanwhile.
    """
    checker = Checker({}, 30.0)
    checker.calm_since = calm_since
    row = {"units": 1, "vcpus": 1.0, "owner": "blue", "jobclass": "c", "shape": "batch"}
    for uid in ("job-1", "job-2"):
        checker.feed(Event(1.0, "job", {"uid": uid, "job": row}))
        checker.feed(Event(2.0, "told", {"uid": uid, "phase": "queued"}))
    for second in range(100, 186, 5):
        checker.feed(Event(float(second), "silent", {"uid": "job-1"}))
        answered = second / 5 % 10 < answered_share * 10
        kind, data = ("told", {"phase": "queued"}) if answered else ("silent", {})
        checker.feed(Event(second + 0.5, kind, {"uid": "job-2", **data}))
    return checker


def test_75_s_without_an_answer_mean_forgotten_once_all_faults_are_over() -> None:
    """This holds whether or not other polls are answered.

    During faults the limit is 90 s, and applies only while most polls are answered.
    """
    assert not _checker_of_unanswered_job(None, 1.0).breaches  # 85 s without an answer
    assert not _checker_of_unanswered_job(130.0, 1.0).breaches  # 55 s of them without faults
    assert {breach.rule for breach in _checker_of_unanswered_job(90.0, 0.0).breaches} == {
        "forgotten"
    }


def test_underserved_classes_teams_and_largest_jobs_are_found() -> None:
    checker = Checker({}, 30.0)

    def job(uid: str, units: int, began: float | None, done: bool, **more: Any) -> None:
        row = {"units": units, "vcpus": 1.0, "owner": "blue", "jobclass": "c"}
        observed = checker.jobs.setdefault(uid, ObservedJob(row | {"shape": "batch"} | more))
        observed.accepted_at, observed.started_at = 0.0, began
        observed.final_phase = "done" if done else None

    for number in range(9):
        job(f"job-{number}", 2, 10.0, True)
    job("job-9", 200, 100.0, True)
    assert checker.underserved_groups() == []
    job("job-9", 200, 241.0, True)
    assert [line for line in checker.underserved_groups() if "began after" in line]
    job("job-9", 200, 100.0, False)
    assert checker.underserved_groups() == ["largest of class c: 0 of 1 served"]
    for number in range(10, 30):
        job(f"job-{number}", 1, None, False, owner="red", jobclass="d")
    found = checker.underserved_groups()
    assert {"class d: 0 of 20 served", "team red: 0 of 20 served"} <= set(found)
    # Jobs whose dependency was cancelled are cancelled with it, and don't count.
    for number in range(10, 30):
        checker.jobs[f"job-{number}"].row["awaits"] = ["job-30"]
    job("job-30", 1, None, False)
    checker.jobs["job-30"].cancel_requested = True
    assert not [line for line in checker.underserved_groups() if " d:" in line or "red" in line]


# -- jobs left waiting, impossible acceptances, late starts ----------------------------------

MACHINE_TYPES = {"f": (4.0, 0.0, 16.0)}
COMPLETE_JOB = JOB | {
    "jobclass": "c", "rank": "normal", "memory_gb": 1.0, "bundle": "i", "size_gb": 1.0,
    "expect_s": 5.0, "snapshot_s": 0.0, "flush_s": 0.0,
}  # fmt: skip


def checker_of_waiting_job(calm_since: float | None, limit: float = 4.0, **job: Any) -> Checker:
    """Return a checker of a job that waits from 1 s to 120 s.

    Meanwhile a machine has room for one of its tasks.
    """
    checker = Checker({"t": (limit, None)}, 30.0, MACHINE_TYPES, calm_since=calm_since)
    up = {"host": "m-1", "what": "up", "flavour": "f", "hall": "a", "loaner": False}
    checker.feed(Event(0.0, "machine", {**up, "room": [4.0, 0.0, 16.0]}))
    checker.feed(Event(0.5, "job", {"uid": "job-1", "job": {**COMPLETE_JOB, **job}}))
    checker.feed(Event(1.0, "accepted", {"uid": "job-1", "status": 201}))
    # Another job of the team uses half of the machine.
    checker.feed(
        Event(1.0, "job", {"uid": "job-2", "job": COMPLETE_JOB | {"uid": "job-2", "units": 1}})
    )
    data = {"item": "job-2/0", "attempt": 1, "host": "m-1", "flavour": "f", "hall": "a"}
    checker.feed(Event(1.1, "on", {**data, "loaner": False}))
    for second in range(2, 120):
        checker.advance(float(second))
    return checker


def test_a_job_left_waiting_despite_room_is_found_once_faults_are_over() -> None:
    assert broken_rules(checker_of_waiting_job(2.0)) == ["left_waiting"]
    assert not broken_rules(checker_of_waiting_job(None)) and not broken_rules(
        checker_of_waiting_job(60.0)
    )
    assert not broken_rules(checker_of_waiting_job(2.0, limit=2.0))  # the team is at its limit
    assert not broken_rules(checker_of_waiting_job(2.0, hall="b"))
    assert not broken_rules(checker_of_waiting_job(2.0, vcpus=3.0))
    # There is no room for the whole gang.
    assert not broken_rules(checker_of_waiting_job(2.0, shape="gang", vcpus=1.5))
    assert broken_rules(checker_of_waiting_job(2.0, shape="gang", vcpus=1.0)) == [
        "left_waiting"
    ]
    assert not broken_rules(checker_of_waiting_job(2.0, broken=True))
    checker = checker_of_waiting_job(90.0)
    add_start(checker, 121.0, 0, "m-1")
    for second in range(122, 240):
        checker.advance(float(second))
    assert not broken_rules(checker)


def test_a_leader_that_stops_scheduling_is_found_once_faults_are_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    schedule = Leader._schedule

    def schedule_until_62_s(self: Leader, due: bool) -> None:
        if self.now() < 62.0:
            schedule(self, due)

    monkeypatch.setattr(Leader, "_schedule", schedule_until_62_s)
    with pytest.raises(RuleBroken, match="left_waiting"):
        simulate(16, no_faults)


def rules_broken_by_accepting(**job: Any) -> list[str]:
    """Return the rules that the acceptance of such a job breaks.

    A field with the value "left out" is omitted.
    """
    checker = Checker({"t": (4.0, None)}, 30.0, MACHINE_TYPES)
    row = {
        name: value for name, value in {**COMPLETE_JOB, **job}.items() if value != "left out"
    }
    checker.feed(Event(0.0, "job", {"uid": "job-1", "job": row}))
    checker.feed(Event(0.1, "accepted", {"uid": "job-1", "status": 201}))
    return broken_rules(checker)


def test_accepting_an_incomplete_or_unschedulable_job_is_found() -> None:
    assert not rules_broken_by_accepting() and not rules_broken_by_accepting(
        due_s="left out", hall="left out"
    )
    for wrong in (
        {"vcpus": 5.0}, {"memory_gb": 17.0}, {"owner": "nobody"}, {"flavours": ["g"]},
        {"gpus": "left out"}, {"snapshot_s": "left out"}, {"loaner": None},
        {"shape": "standing", "units": 3},
    ):  # fmt: skip
        assert rules_broken_by_accepting(**wrong) == ["impossible"], wrong


@pytest.mark.parametrize("fault", ["missing field", "no fitting machine"])
def test_controllers_that_accept_impossible_jobs_are_found(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    if fault == "missing field":
        monkeypatch.setattr(users, "REQUIRED_FIELDS", ())
    else:
        monkeypatch.setattr(job_api, "check_schedulable", lambda *given: None)

    async def unusual_requests(world: World) -> None:
        requests = UnusualRequests(world.users, world.rng, world.jobs.rows.__getitem__)
        for _ in range(200):
            await asyncio.sleep(0.4)
            await requests.send_requests()

    with pytest.raises(RuleBroken, match="impossible"):
        simulate(17, unusual_requests)


def test_starts_after_a_confirmed_cancellation_are_counted() -> None:
    checker = make_checker()
    checker.feed(Event(1.0, "cancel", {"uid": "job-1"}))
    add_told(checker, 1.2, "cancelled")
    add_start(checker, 2.0, 0, "m-1")
    assert checker.starts_after_cancel == 1 and not broken_rules(checker)


def test_a_cancelled_task_that_runs_on_after_its_machine_hung_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The machine hangs from before the cancellation until after ``cancel_s``.

    The patched worker renews its lease by itself during and after a hang, so that the lease
    doesn't end the task.
    """
    lose_lease = Worker._lose_lease

    def keep_lease_after_hang(self: Worker) -> None:
        if self.hung_until > self._now - 60.0:
            self._lease_renewed_at = self._now
        else:
            lose_lease(self)

    async def hangs(world: World) -> None:
        await asyncio.sleep(25.0)
        for agent in world.cloud.workers.values():
            with agent.modify() as model:
                model.hang(world.now(), 40.0)
        await cancel_through(world, world.nodes, 8)

    monkeypatch.setattr(Worker, "_lose_lease", keep_lease_after_hang)
    with pytest.raises(RuleBroken, match="ran_cancelled"):
        for seed in range(18, 22):
            simulate(seed, hangs)
