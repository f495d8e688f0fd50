"""Jobs that wait for others: the index, what users are told, and days with graphs of jobs."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunehold.bookkeeping import records
from dunehold.bookkeeping.batches.encoding import AcceptedJob, JobBatchBuilder, decode_job_batch
from dunehold.bookkeeping.dependencies import DependencyIndex
from dunehold.bookkeeping.view import View
from dunehold.coordination.planning.priority_inheritance import PriorityInheritance
from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.state import Change, Entry
from dunehold.protocol.users import JobSpec, decode_job, decode_job_object, encode_job
from dunehold.types import JobId, JobPhase, Rank, Revision, WallTime
from tests.test_meetings import (
    cancellations_before_outage,
    delayed_commands,
    late_writes,
    leader_ends_while_inbound_lost,
    leadership_changes,
)
from tests.test_rules import crashes, cuts, outages, simulate
from tests.world import RuleBroken, World

Faults = Callable[[World], Awaitable[None]]
JOB = {
    "uid": "job-000001", "jobclass": "c", "owner": "blue", "shape": "batch", "rank": "normal",
    "units": 2, "vcpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "bundle": "i", "size_gb": 1.0,
    "together": False, "spread": False, "loaner": False, "expect_s": 5.0, "snapshot_s": 0.0,
    "flush_s": 0.0,
}  # fmt: skip


def uid(number: int) -> JobId:
    return JobId(f"job-{number:06d}")


def spec(number: int, *awaits: int, **more: Any) -> JobSpec:
    row = JOB | {"uid": uid(number), "awaits": [uid(n) for n in awaits]} | more
    return decode_job_object(row)


class WritableView:
    """A view that is written to as the state service would, revision by revision."""

    def __init__(self) -> None:
        self.view, self.revision = View(loaded=True), 0
        self.entries: dict[str, Entry] = {}

    def put(self, key: str, value: Any) -> list[JobId]:
        self.revision += 1
        value = codec.load(codec.dump(value))
        self.entries[key] = Entry(key, value, Revision(self.revision))
        change = Change(key, value, Revision(self.revision), False)
        return self.view.apply([change], Revision(self.revision))

    def accept(self, job: JobSpec) -> list[JobId]:
        value = records.encode_job_record(job, JobPhase.ACTIVE, WallTime(1.0))
        return self.put(records.job_key(job.id), value)

    def done(self, number: int, at: float = 9.0) -> list[JobId]:
        record = self.view.jobs[uid(number)]
        value = records.encode_done(record, WallTime(at))
        return self.put(records.job_key(record.id), value)

    def cancel(self, number: int) -> list[JobId]:
        record = self.view.jobs[uid(number)]
        value = records.encode_cancelled(record, 4096)
        return self.put(records.job_key(record.id), value)

    def reloaded(self) -> View:
        view = View()
        view.load(sorted(self.entries.values()), Revision(self.revision))
        view.resolve_dependencies()
        return view


def phases(view: View) -> dict[JobId, JobPhase]:
    return {job: record.phase for job, record in view.jobs.items()}


# -- what follows from the ends of others ---------------------------------------------------

VIEW_OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["accept", "done", "cancel"]), st.integers(0, 11),
              st.sets(st.integers(0, 11), max_size=3)), max_size=40,
)  # fmt: skip


@given(VIEW_OPERATIONS)
@settings(max_examples=200, deadline=None)
def test_the_index_agrees_with_a_plain_one(steps: list[tuple[str, int, set[int]]]) -> None:
    """A plain one looks through all jobs, each time; and a listing finds the same."""
    book, needs, ends = WritableView(), {}, {}
    for what, number, awaits in steps:
        known = number in needs
        if what == "accept" and not known:
            needs[number] = {n for n in awaits if n in needs}
            book.accept(spec(number, *sorted(needs[number])))
        elif what == "done" and known and number not in ends:
            if all(ends.get(n) == "done" for n in needs[number]):
                ends[number] = "done"
                book.done(number)
        elif what == "cancel" and known and number not in ends:
            ends[number] = "cancelled"
            book.cancel(number)
        changed = True
        while changed:
            changed = False
            for job, needed in needs.items():
                if job not in ends and any(ends.get(n) == "cancelled" for n in needed):
                    ends[job], changed = "cancelled", True
        waiting = {
            uid(job)
            for job, needed in needs.items()
            if job not in ends and any(ends.get(n) != "done" for n in needed)
        }
        for view in (book.view, book.reloaded()):
            assert {j: p.value for j, p in phases(view).items()} == {
                uid(job): ends.get(job, "active") for job in needs
            }
            assert set(view.dependency_index.pending) == waiting
            assert set(view.active) == {uid(job) for job in needs if job not in ends}
            assert all(view.dependency_index.dependents.values())


def test_a_chain_of_thousands_and_a_fan_of_thousands_are_cancelled_by_one_end() -> None:
    book = WritableView()
    book.accept(spec(0))
    for number in range(1, 3000):
        book.accept(spec(number, number - 1))
    for number in range(3000, 6000):
        book.accept(spec(number, 0))
    assert len(set(book.cancel(0))) == 6000
    assert (
        not book.view.active
        and not book.view.dependency_index.pending
        and not book.view.dependency_index.dependents
    )
    assert set(phases(book.reloaded()).values()) == {JobPhase.CANCELLED}


def test_who_is_free_is_told_of_at_once_and_waits_from_then() -> None:
    book = WritableView()
    for job in (spec(1), spec(2), spec(3, 1, 2)):
        book.accept(job)
    assert book.view.waits_for_dependencies(uid(3)) and uid(3) not in book.done(1, 20.0)
    assert uid(3) in book.done(2, 30.0) and not book.view.waits_for_dependencies(uid(3))
    assert book.view.jobs[uid(3)].eligible_at == 30.0
    assert book.reloaded().jobs[uid(3)].eligible_at == 30.0


def test_a_job_that_names_a_cancelled_one_is_cancelled() -> None:
    book = WritableView()
    book.accept(spec(1))
    book.cancel(1)
    book.accept(spec(2, 1))
    book.accept(spec(3, 2))
    assert set(phases(book.view).values()) == {JobPhase.CANCELLED}


def test_a_cancellation_after_the_end_of_a_packed_job_takes_nothing_along() -> None:
    """Of two ends the first stands, also where a listing shows the later one first."""
    book = WritableView()
    packer = JobBatchBuilder(3000)
    for job in (spec(1), spec(2, 1)):
        assert packer.add(AcceptedJob(job, WallTime(1.0)))
    book.put(records.JOB_BATCHES + "x.1", packer.value())
    book.put(records.COMPLETION_BATCHES + "1.1", {"done": [["job-000001", 2, 1.0]], "end": 5.0})
    value = records.encode_cancelled(replace_spec(book, 1), 4096)
    book.put(records.job_key(uid(1)), value)
    for view in (book.view, book.reloaded()):
        assert view.jobs[uid(1)].phase is JobPhase.DONE
        assert view.jobs[uid(2)].phase is JobPhase.ACTIVE and not view.waits_for_dependencies(
            uid(2)
        )
    late = View()
    entries = [
        e for e in book.entries.values() if not e.key.startswith(records.COMPLETION_BATCHES)
    ]
    late.load(sorted(entries), Revision(1))
    ends = book.entries[records.COMPLETION_BATCHES + "1.1"]
    late.apply([Change(ends.key, ends.value, ends.version, False)], Revision(book.revision))
    late.resolve_dependencies()
    assert late.jobs[uid(2)].phase is JobPhase.ACTIVE and not late.waits_for_dependencies(
        uid(2)
    )


def replace_spec(book: WritableView, number: int) -> records.JobRecord:
    return replace(book.view.jobs[uid(number)], spec=spec(number))


def test_the_cost_of_an_end_does_not_grow_with_those_that_wait_for_others() -> None:
    needs = DependencyIndex()
    for number in range(10_000):
        needs.add(uid(number + 10), [uid(number % 10)])
    assert needs.complete(uid(99_999)) == []
    assert len(needs.complete(uid(3))) == 1000


# -- how it is written ---------------------------------------------------------------------


@pytest.mark.parametrize(
    "awaits",
    ["job-000002", [1], ["job-2x"], {"job-000002": 1}, ["job-000001"], [["job-000002"]]],
)
def test_malformed_lists_are_refused(awaits: Any) -> None:
    with pytest.raises(BadMessage, match="awaits"):
        decode_job(orjson.dumps(JOB | {"awaits": awaits}))


def test_null_omitted_and_empty_are_the_same_and_names_count_once() -> None:
    for same in (JOB, JOB | {"awaits": None}, JOB | {"awaits": []}):
        assert decode_job(orjson.dumps(same)).dependencies == ()
    twice = decode_job(
        orjson.dumps(JOB | {"awaits": ["job-000003", "job-000002", "job-000003"]})
    )
    assert twice.dependencies == ("job-000003", "job-000002")


def test_a_pack_gives_no_job_the_needs_of_the_one_before() -> None:
    packer = JobBatchBuilder(3000)
    jobs = [spec(1), spec(2, 1), spec(3), spec(4, 2, 3), spec(5, 4)]
    assert all(packer.add(AcceptedJob(job, WallTime(1.0))) for job in jobs)
    value = codec.load(codec.dump(packer.value()))
    assert [row.spec for row in decode_job_batch(value)] == jobs


def test_a_job_is_never_too_large_to_be_cancelled() -> None:
    long = spec(1, *range(2, 250), flavours=[f"type-{n}" for n in range(50)])
    record = records.JobRecord(uid(1), JobPhase.ACTIVE, Revision(1), WallTime(1.0), long, 2)
    assert len(codec.dump(encode_job(long))) > 3000
    assert len(codec.dump(records.encode_cancelled(record, 2048))) < 2048


# -- whole days -----------------------------------------------------------------------------


def with_pipelines(*faults: Faults) -> Faults:
    async def day(world: World) -> None:
        world.pipeline_share = 0.35
        for fault in faults:
            world.spawn(fault(world))

    return day


async def no_faults(world: World) -> None: ...


FAULT_COMBINATIONS = {
    "quiet": [no_faults],
    "crashes": [crashes],
    "cuts": [cuts],
    "outages": [outages],
    "late writes": [late_writes],
    "gap": [cancellations_before_outage],
    "round": [leadership_changes, late_writes],
    "deaf": [leader_ends_while_inbound_lost, delayed_commands],
}


@pytest.mark.parametrize("seed", [300, 301])
@pytest.mark.parametrize("day", FAULT_COMBINATIONS)
def test_rules_hold_for_jobs_that_wait(day: str, seed: int) -> None:
    world = simulate(seed, with_pipelines(*FAULT_COMBINATIONS[day]), nodes=(3, 5)[seed % 2])
    graphs = [job for job in world.job_rows if job.get("awaits")]
    assert len(graphs) > 5 and world.checker.starts > 10
    if day == "quiet":
        over = [job for job in graphs if world.final_phases.get(job["uid"])]
        assert len(over) > 0.9 * len(graphs)
        assert any(world.final_phases[job["uid"]] == "done" for job in over)


def test_the_checker_finds_a_start_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(View, "waits_for_dependencies", lambda self, job: False)
    with pytest.raises(RuleBroken, match="too_early"):
        simulate(300, with_pipelines(no_faults))


def test_the_checker_finds_orphans(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every day is played: on some, what needs a cancelled job starts too early first."""
    monkeypatch.setattr(View, "_cancel_dependents", lambda self, jobs: None)
    broken = []
    for seed in range(300, 308):
        try:
            simulate(seed, with_pipelines(no_faults))
        except RuleBroken as found:
            broken.append(str(found))
    assert any("orphaned" in found for found in broken)


# -- the one place that allows starts, and ranks taken over ----------------------------------


async def submit_job(world: World, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    status, data, _ = await world.request_with_retry_after(
        "POST", "/v1/jobs", orjson.dumps(body), 5.0
    )
    return status, orjson.loads(data)


async def submit_dependent_jobs(world: World) -> None:
    """What a job that names others is answered, at any node."""
    found: dict[str, Any] = {}
    await asyncio.sleep(20.0)
    first = JOB | {"uid": "job-900001", "owner": "red", "vcpus": 1.0}
    service = first | {"uid": "job-900002", "shape": "standing", "units": 1}
    for job in (first, service):
        world.jobs.upload(job)
        world.history.add("job", uid=job["uid"], job=job)
        found[job["uid"]] = (await submit_job(world, job))[0]
    follower = first | {"uid": "job-900003", "awaits": ["job-900001"]}
    world.history.add("job", uid="job-900003", job=follower)
    world.jobs.upload(follower)
    found["unknown"] = await submit_job(world, follower | {"awaits": ["job-999998"]})
    found["service"] = await submit_job(world, follower | {"awaits": ["job-900002"]})
    found["itself"] = await submit_job(world, follower | {"awaits": ["job-900003"]})
    found["accepted"] = await submit_job(world, follower)
    found["again"] = await submit_job(world, follower | {"awaits": ["job-999998"]})
    leader = next(n.node.leader for n in world.nodes if n.node and n.node.leader)
    record = leader.view.jobs[JobId("job-900003")]
    found["waits"] = leader.view.waits_for_dependencies(record.id)
    found["planned for"] = record.id in leader.progress
    host = next(iter(leader.ledger.hosts.values()), None)
    if host is not None:
        task = records.TaskId(record.id, 0)
        found["refusal"] = leader.ledger.refusal(record, task, host, leader.now())
    long = follower | {"uid": "job-900004", "awaits": [f"job-{n:06d}" for n in range(400)]}
    found["long"] = await submit_job(world, long)
    for box in world.nodes:
        path = "/peer/waits/job-900003"
        status, data, _ = await world.network.request_with_retry_after(
            "me", box.name, "GET", path, None, 1.0
        )
        found.setdefault("told", []).append((status, orjson.loads(data)["waits"]))
    world.measured = found  # type: ignore[assignment]


def test_answers_to_jobs_that_name_others() -> None:
    found: Any = simulate(310, submit_dependent_jobs).measured
    assert found["job-900001"] == 201 and found["job-900002"] == 201
    assert found["unknown"][0] == 422 and "never accepted" in found["unknown"][1]["error"]
    assert found["service"][0] == 422 and "service" in found["service"][1]["error"]
    assert found["itself"][0] == 400
    assert found["accepted"][0] == 201 and found["again"][0] == 200
    assert not found["planned for"]  # so a plan's cost does not grow with those that wait
    assert found["waits"] and found["refusal"] == "job waits for others"
    assert found["long"][0] == 422 and "bytes" in found["long"][1]["error"]
    assert found["told"] == [(200, ["job-900001"])] * 3


def test_rank_and_deadline_come_from_the_last_job(monkeypatch: pytest.MonkeyPatch) -> None:
    book, told = WritableView(), []
    ledger: Any = SimpleNamespace(view=book.view)
    heirs = PriorityInheritance(ledger, lambda job: 10.0, told.append)

    def accept(job: JobSpec) -> None:
        for touched in book.accept(job):
            heirs.refresh(touched)
            if book.view.waits_for_dependencies(touched):
                heirs.add_waiting_job(touched)

    for number in range(1, 5):
        accept(spec(number, *([number - 1] if number > 1 else []), rank="idle"))
    assert heirs.effective_rank(spec(1, rank="idle")) is Rank.LOW
    accept(spec(5, 4, rank="high", due_s=100.0))
    assert heirs.effective_rank(spec(1, rank="idle")) is Rank.HIGH
    assert heirs.due_at(uid(4)) == 1.0 + 100.0 - 10.0
    assert heirs.due_at(uid(1)) == 1.0 + 100.0 - 40.0
    told.clear()
    for touched in book.cancel(5):
        if book.view.jobs[touched].phase is JobPhase.ACTIVE:
            heirs.refresh(touched)
        else:
            heirs.remove(touched)
    assert heirs.effective_rank(spec(1, rank="idle")) is Rank.LOW and set(told) == {
        uid(n) for n in range(1, 5)
    }


if __name__ == "__main__":
    # What it costs: python -m tests.test_dependencies (docs/measurements/awaits.md)
    for share in (0.0, 0.6):
        made = changes = 0
        for seed in range(320, 324):

            async def some(world: World, share: float = share) -> None:
                world.pipeline_share = share

            world = simulate(seed, some)
            made += len(world.job_rows)
            changes += world.state.store.revision
        print(f"pipelines {share}: {made} jobs, {changes / made:.2f} transactions a job")
    for waiting in (0, 1_000, 10_000):
        needs = DependencyIndex()
        for number in range(waiting):
            needs.add(uid(number + 100_000), [uid(number % 50)])
        began = time.perf_counter()
        for number in range(1_000):
            needs.complete(uid(number + 1_000))
        spent = time.perf_counter() - began
        print(f"{waiting} wait: {spent * 1e3:.2f} ms for the ends of 1,000 others")
