"""The history checker catches a broken controller, for every rule of the protocol.

Each fault is planted here, in the tests alone: a controller that breaks one rule must be caught
by what users and workers saw, or the rule is not checked at all.
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
from tests.test_meetings import cancel_through
from tests.test_rules import no_faults, simulate
from tests.world import RuleBroken, World

Handle = Callable[[Node, Request], Awaitable[Response]]
original_handle: Handle = Node.handle


def state_response(uid: str, phase: str) -> Response:
    return Response(200, users.encode_state(JobId(uid), phase, 0, 0))


def uid_of(request: Request) -> str:
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
    """Tells everybody that the job is cancelled, and lets it run."""
    told: set[str] = set()

    async def handle(node: Node, request: Request) -> Response:
        if request.path.endswith("/cancel"):
            told.add(uid_of(request))
        if uid_of(request) in told:
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

    def careless(row: dict[str, Any]) -> users.JobSpec:
        return replace(
            decode(row), types=None, zone=None, one_zone=False, spread=False, spot=True
        )

    patch.setattr(records, "decode_job_object", careless)


def assumes_silent_is_gone(patch: pytest.MonkeyPatch) -> None:
    def gone_at_once(self: Ledger, host: object, now: float) -> bool:
        fed_at = getattr(host, "lease_renewed_at", None)
        return fed_at is not None and now > fed_at + 0.5

    patch.setattr(Ledger, "_lease_expired", gone_at_once)


def ignores_limits(patch: pytest.MonkeyPatch) -> None:
    build = SnapshotBuilder.snapshot

    def unlimited(self: SnapshotBuilder, *arguments: Any) -> Any:
        snapshot = build(self, *arguments)
        snapshot.team_room.clear()
        return snapshot

    patch.setattr(Ledger, "team_allows", lambda *_: True)
    patch.setattr(SnapshotBuilder, "snapshot", unlimited)


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
def test_a_controller_that_breaks_a_rule_is_caught(
    rule: str, plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(RuleBroken, match=rule):
        for seed in range(10, 14):
            world = simulate(seed, no_faults)
            breaches = world.checker.finish(settled=rule == "final_answer")
            if breaches:
                raise RuleBroken("; ".join(map(str, breaches)))


def test_an_honest_controller_passes() -> None:
    world: World = simulate(10, no_faults)
    assert world.checker.finish(settled=False) == []


# -- what needs no controller --------------------------------------------------------------

JOB = {
    "uid": "job-1", "owner": "t", "shape": "batch", "units": 2, "vcpus": 2.0, "gpus": 0.0,
    "flavours": None, "hall": None, "together": False, "spread": False, "loaner": True,
}  # fmt: skip


def make_checker(**job: Any) -> Checker:
    box = Checker({"t": (4.0, None)}, 30.0)
    box.feed(Event(0.0, "job", {"uid": "job-1", "job": {**JOB, **job}}))
    box.feed(Event(0.1, "accepted", {"uid": "job-1", "status": 201}))
    return box


def add_told(box: Checker, at: float, phase: str, asked: float | None = None) -> None:
    data = {"uid": "job-1", "phase": phase, "asked": at if asked is None else asked}
    box.feed(Event(at, "told", data))


def add_start(
    box: Checker, at: float, number: int, host: str, hall: str = "a", attempt: int = 1
) -> None:
    data = {"item": f"job-1/{number}", "attempt": attempt, "host": host, "flavour": "f"}
    box.feed(Event(at, "on", {**data, "hall": hall, "loaner": True}))


def broken_rules(box: Checker) -> list[str]:
    return [breach.rule for breach in box.breaches]


def test_an_answer_on_its_way_when_the_job_ended_is_no_step_back() -> None:
    box = make_checker()
    for n in range(2):
        box.feed(Event(1.0, "completed", {"item": f"job-1/{n}", "attempt": 1, "host": "m"}))
    add_told(box, 5.0, "done")
    add_told(box, 5.1, "running", asked=4.0)
    assert broken_rules(box) == []
    add_told(box, 5.2, "running", asked=5.05)
    assert broken_rules(box) == ["went_back"]


def test_a_cancelled_job_has_so_long_and_no_longer() -> None:
    box = make_checker()
    add_start(box, 1.0, 0, "m")
    box.feed(Event(2.0, "cancel", {"uid": "job-1"}))
    add_told(box, 3.0, "cancelled")
    box.advance(32.9)
    assert broken_rules(box) == []
    box.advance(33.1)
    assert broken_rules(box) == ["ran_cancelled"]


def test_a_repetition_that_is_refused_means_forgotten() -> None:
    box = make_checker()
    box.feed(Event(9.0, "refused", {"uid": "job-1", "status": 422}))
    assert broken_rules(box) == ["forgotten"]


def test_polls_unanswered_while_most_others_are_mean_forgotten() -> None:
    for others, expected in ((True, ["forgotten"]), (False, [])):
        box = make_checker()
        box.feed(Event(0.0, "job", {"uid": "job-2", "job": JOB}))
        for second in range(1, int(UNANSWERED_LIMIT_S) + 3):
            box.feed(Event(float(second), "silent", {"uid": "job-1"}))
            for _ in range(3):
                kind = "told" if others else "silent"
                data = {"uid": "job-2", "phase": "queued", "asked": float(second)}
                box.feed(Event(float(second), kind, data))
        assert broken_rules(box) == expected


def test_places_and_limits() -> None:
    box = make_checker(spread=True, units=2)
    add_start(box, 1.0, 0, "m1")
    add_start(box, 1.0, 1, "m2")
    assert broken_rules(box) == ["wrong_place"]
    box = make_checker(together=True)
    add_start(box, 1.0, 0, "m1", "a")
    add_start(box, 1.0, 1, "m2", "b")
    assert broken_rules(box) == ["wrong_place"]
    box = make_checker(vcpus=3.0)
    add_start(box, 1.0, 0, "m1")
    add_start(box, 1.0, 1, "m2")
    assert broken_rules(box) == ["quota"]


def test_a_history_on_disk_is_judged_alike_and_may_end_in_a_torn_line(tmp_path: Path) -> None:
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


def test_aims_are_counted_as_the_protocol_counts_them() -> None:
    wait = ObjectiveTable(kind="wait", within_s=4.0)
    done = ObjectiveTable(kind="finished", within_s=20.0)
    due = ObjectiveTable(kind="deadline", times=1.0)
    aims = ObjectiveTracker([wait, done, due])

    def task(at: float, kind: str, number: int, why: str = "") -> None:
        data = {"item": f"job-1/{number}", "attempt": 1, "host": "m", "why": why}
        aims.feed(Event(at, kind, data))

    aims.feed(
        Event(0.0, "job", {"uid": "job-1", "job": {**JOB, "jobclass": "c", "due_s": 15.0}})
    )
    task(1.0, "on", 0)
    task(3.0, "on", 1)
    task(9.0, "off", 1, "halted")  # stopped by command too soon: that start does not count
    task(10.0, "on", 1)
    task(11.0, "completed", 0)
    task(18.0, "completed", 1)
    assert [met.share for met in aims.results()] == [0.5, 1.0, 0.0]
    aims.feed(Event(19.0, "cancel", {"uid": "job-1"}))
    assert [met.counted for met in aims.results()] == [0, 0, 0]


def _checker_of_unanswered_job(calm_since: float | None, answered_share: float) -> Checker:
    """A job about which nobody answers from 100 s on, while others are answered or not."""
    checker = Checker({}, 30.0)
    checker.calm_since = calm_since
    row = {"units": 1, "vcpus": 1.0, "owner": "blue", "jobclass": "c", "shape": "batch"}
    for uid in ("job-1", "job-2"):
        checker.feed(Event(1.0, "job", {"uid": uid, "job": row}))
        checker.feed(Event(2.0, "told", {"uid": uid, "phase": "queued"}))
    for second in range(100, 186, 5):
        checker.feed(Event(float(second), "silent", {"uid": "job-1"}))
        good = second / 5 % 10 < answered_share * 10
        kind, data = ("told", {"phase": "queued"}) if good else ("silent", {})
        checker.feed(Event(second + 0.5, kind, {"uid": "job-2", **data}))
    return checker


def test_once_all_is_calm_75_s_without_an_answer_are_forgotten() -> None:
    """However others fare; before that, 90 s, and only while most are answered."""
    assert not _checker_of_unanswered_job(None, 1.0).breaches  # 85 s
    assert not _checker_of_unanswered_job(130.0, 1.0).breaches  # 55 s of them calm
    assert {breach.rule for breach in _checker_of_unanswered_job(90.0, 0.0).breaches} == {
        "forgotten"
    }


def test_who_was_not_served_is_found() -> None:
    checker = Checker({}, 30.0)

    def job(uid: str, units: int, began: float | None, done: bool, **more: Any) -> None:
        row = {"units": units, "vcpus": 1.0, "owner": "blue", "jobclass": "c"}
        seen = checker.jobs.setdefault(uid, ObservedJob(row | {"shape": "batch"} | more))
        seen.accepted_at, seen.started_at = 0.0, began
        seen.final_phase = "done" if done else None

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
    for number in range(
        10, 30
    ):  # cancelled along with one that they need is asked for by nobody
        checker.jobs[f"job-{number}"].row["awaits"] = ["job-30"]
    job("job-30", 1, None, False)
    checker.jobs["job-30"].cancel_requested = True
    assert not [line for line in checker.underserved_groups() if " d:" in line or "red" in line]


# -- what the later letters count as failed -------------------------------------------------

MACHINE_TYPES = {"f": (4.0, 0.0, 16.0)}
COMPLETE_JOB = JOB | {
    "jobclass": "c", "rank": "normal", "memory_gb": 1.0, "bundle": "i", "size_gb": 1.0,
    "expect_s": 5.0, "snapshot_s": 0.0, "flush_s": 0.0,
}  # fmt: skip


def checker_of_waiting_job(calm_since: float | None, limit: float = 4.0, **job: Any) -> Checker:
    """A job waits from 1 s to 120 s, beside a machine with room for one of its tasks."""
    box = Checker({"t": (limit, None)}, 30.0, MACHINE_TYPES, calm_since=calm_since)
    up = {"host": "m-1", "what": "up", "flavour": "f", "hall": "a", "loaner": False}
    box.feed(Event(0.0, "machine", {**up, "room": [4.0, 0.0, 16.0]}))
    box.feed(Event(0.5, "job", {"uid": "job-1", "job": {**COMPLETE_JOB, **job}}))
    box.feed(Event(1.0, "accepted", {"uid": "job-1", "status": 201}))
    # Another job of the team has half of the machine.
    box.feed(
        Event(1.0, "job", {"uid": "job-2", "job": COMPLETE_JOB | {"uid": "job-2", "units": 1}})
    )
    data = {"item": "job-2/0", "attempt": 1, "host": "m-1", "flavour": "f", "hall": "a"}
    box.feed(Event(1.1, "on", {**data, "loaner": False}))
    for second in range(2, 120):
        box.advance(float(second))
    return box


def test_who_is_left_waiting_beside_room_is_found_once_all_is_calm() -> None:
    assert broken_rules(checker_of_waiting_job(2.0)) == ["left_waiting"]
    assert not broken_rules(checker_of_waiting_job(None)) and not broken_rules(
        checker_of_waiting_job(60.0)
    )
    assert not broken_rules(checker_of_waiting_job(2.0, limit=2.0))  # its team is at its limit
    assert not broken_rules(checker_of_waiting_job(2.0, hall="b"))
    assert not broken_rules(checker_of_waiting_job(2.0, vcpus=3.0))
    assert not broken_rules(
        checker_of_waiting_job(2.0, shape="gang", vcpus=1.5)
    )  # not room for all of it
    assert broken_rules(checker_of_waiting_job(2.0, shape="gang", vcpus=1.0)) == [
        "left_waiting"
    ]
    assert not broken_rules(checker_of_waiting_job(2.0, broken=True))
    box = checker_of_waiting_job(90.0)
    add_start(box, 121.0, 0, "m-1")
    for second in range(122, 240):
        box.advance(float(second))
    assert not broken_rules(box)


def test_who_places_nothing_once_all_is_calm_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    schedule = Leader._schedule

    def lazily(self: Leader, due: bool) -> None:
        if self.now() < 62.0:
            schedule(self, due)

    monkeypatch.setattr(Leader, "_schedule", lazily)
    with pytest.raises(RuleBroken, match="left_waiting"):
        simulate(16, no_faults)


def rules_broken_by_accepting(**job: Any) -> list[str]:
    box = Checker({"t": (4.0, None)}, 30.0, MACHINE_TYPES)
    row = {
        name: value for name, value in {**COMPLETE_JOB, **job}.items() if value != "left out"
    }
    box.feed(Event(0.0, "job", {"uid": "job-1", "job": row}))
    box.feed(Event(0.1, "accepted", {"uid": "job-1", "status": 201}))
    return broken_rules(box)


def test_the_acceptance_of_what_can_t_be_is_found() -> None:
    assert not rules_broken_by_accepting() and not rules_broken_by_accepting(
        due_s="left out", hall="left out"
    )
    for wrong in (
        {"vcpus": 5.0}, {"memory_gb": 17.0}, {"owner": "nobody"}, {"flavours": ["g"]},
        {"gpus": "left out"}, {"snapshot_s": "left out"}, {"loaner": None},
        {"shape": "standing", "units": 3},
    ):  # fmt: skip
        assert rules_broken_by_accepting(**wrong) == ["impossible"], wrong


@pytest.mark.parametrize("fault", ["a field", "a machine"])
def test_controllers_that_accept_what_can_t_be_are_found(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    if fault == "a field":
        monkeypatch.setattr(users, "REQUIRED_FIELDS", ())
    else:
        monkeypatch.setattr(job_api, "check_schedulable", lambda *given: None)

    async def odd(world: World) -> None:
        asking = UnusualRequests(world.users, world.rng, world.jobs.rows.__getitem__)
        for _ in range(200):
            await asyncio.sleep(0.4)
            await asking.send_requests()

    with pytest.raises(RuleBroken, match="impossible"):
        simulate(17, odd)


def test_starts_after_a_confirmed_cancellation_are_counted() -> None:
    box = make_checker()
    box.feed(Event(1.0, "cancel", {"uid": "job-1"}))
    add_told(box, 1.2, "cancelled")
    add_start(box, 2.0, 0, "m-1")
    assert box.starts_after_cancel == 1 and not broken_rules(box)


def test_a_cancelled_task_that_goes_on_after_its_machine_hung_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hung from before the cancellation until after cancel_s, with no lease to end it."""
    lose = Worker._lose_lease

    def goes_on(self: Worker) -> None:
        if self.hung_until > self._now - 60.0:
            self._lease_renewed_at = self._now
        else:
            lose(self)

    async def hangs(world: World) -> None:
        await asyncio.sleep(25.0)
        for agent in world.cloud.workers.values():
            with agent.modify() as model:
                model.hang(world.now(), 40.0)
        await cancel_through(world, world.nodes, 8)

    monkeypatch.setattr(Worker, "_lose_lease", goes_on)
    with pytest.raises(RuleBroken, match="ran_cancelled"):
        for seed in range(18, 22):
            simulate(seed, hangs)
