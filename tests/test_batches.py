"""Job and completion batches: many records under one key of the state service.

Batches return what was added to them, and all nodes agree on which of several writes of a job
came first.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from urllib.parse import quote

import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dunehold.bookkeeping import records
from dunehold.bookkeeping.batches.encoding import (
    AcceptedJob,
    CompletedJob,
    CompletionBatchBuilder,
    JobBatchBuilder,
    decode_completion_batch,
    decode_job_batch,
    single_job_batch_bytes,
)
from dunehold.bookkeeping.view import View
from dunehold.coordination.persistence.completions import CompletionWriter, GarbageCollector
from dunehold.coordination.persistence.sync import ViewSync
from dunehold.coordination.users.submissions import SubmissionQueue, _Submission, _SubmissionTxn
from dunehold.emulator.model.base import Reply
from dunehold.emulator.model.store import Limits, Store
from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.state import Change, Entry, Malformed, Txn, TxnResult
from dunehold.protocol.users import JobSpec, decode_job
from dunehold.transport.rate_limiter import RateLimiter
from dunehold.types import Duration, JobId, JobPhase, Revision, Token, WallTime
from tests.test_rules import crashes, cuts, mixed_faults, no_faults, outages, simulate
from tests.world import World

NOW = WallTime(1764547200.125)
TEXT = st.text(st.characters(min_codepoint=32, max_codepoint=0x10FF), min_size=1, max_size=40)


def row(number: int, **changed: Any) -> dict[str, Any]:
    """Return a user's description of a job."""
    return {
        "uid": f"job-{number:06d}", "jobclass": "quick", "owner": "blue", "shape": "batch",
        "rank": "high", "units": 1, "vcpus": 1.0, "gpus": 0.0, "memory_gb": 1.0,
        "bundle": "img-1", "size_gb": 0.5, "flavours": None, "hall": None, "together": False,
        "spread": False, "loaner": True, "expect_s": 4.0, "snapshot_s": 0.0, "flush_s": 0.5,
        "due_s": None, **changed,
    }  # fmt: skip


def spec(number: int, **changed: Any) -> JobSpec:
    return decode_job(orjson.dumps(row(number, **changed)))


CHANGES = st.fixed_dictionaries(
    {},
    optional={
        "jobclass": TEXT,
        "owner": TEXT,
        "rank": st.sampled_from(["critical", "high", "normal", "idle"]),
        "shape": st.sampled_from(["batch", "standing", "gang"]),
        "units": st.integers(1, 100_000),
        "vcpus": st.floats(0.1, 1e6),
        "bundle": TEXT,
        "flavours": st.none() | st.lists(TEXT, min_size=1, max_size=4),
        "hall": st.none() | TEXT,
        "due_s": st.none() | st.floats(0.0, 1e9),
        "expect_s": st.floats(0.0, 1e9),
    },
)


# -- contents of a batch ---------------------------------------------------------------------


@given(st.lists(CHANGES, min_size=1, max_size=30), st.integers(900, 4096))
@settings(max_examples=60, deadline=None)
def test_a_batch_decodes_to_the_jobs_added_and_fits_its_size_limit(
    changes: list[dict[str, Any]], room: int
) -> None:
    builder = JobBatchBuilder(room)
    jobs = [AcceptedJob(spec(n, **c), WallTime(NOW + n)) for n, c in enumerate(changes)]
    kept = [job for job in jobs if builder.add(job)]
    value = codec.load(codec.dump(builder.value()))
    assert len(codec.dump(value)) <= builder.size_bytes <= room
    assert decode_job_batch(value) == kept
    assert all(job in kept for job in jobs[:1] if single_job_batch_bytes(*job) <= room)


def test_batching_many_similar_jobs_saves_most_of_their_size() -> None:
    """At least 40 jobs fit in 3072 bytes, in less than a fifth of their size as singles."""
    builder = JobBatchBuilder(3072)
    count = sum(
        builder.add(AcceptedJob(spec(n, expect_s=4.0 + n / 8), NOW)) for n in range(1000)
    )
    assert count >= 40
    assert single_job_batch_bytes(spec(1), NOW) * count > 5 * builder.size_bytes


@given(st.lists(st.tuples(st.integers(0, 10**9), st.integers(1, 100_000)), max_size=200))
@settings(max_examples=30, deadline=None)
def test_a_completion_batch_decodes_to_the_completions_added(
    ends: list[tuple[int, int]],
) -> None:
    builder = CompletionBatchBuilder(1024)
    rows = [CompletedJob(JobId(f"job-{n:06d}"), tasks, NOW) for n, tasks in ends]
    kept = [end for end in rows if builder.add(end)]
    value = codec.load(codec.dump(builder.value()))
    assert len(codec.dump(value)) <= 1024
    assert decode_completion_batch(value) == kept


@pytest.mark.parametrize(
    "value",
    [None, [], {}, {"jobs": [1]}, {"jobs": [[1.0]]}, {"jobs": [[1.0, 2]]},
     {"jobs": [[1.0, {"uid": "job-000001"}]]}, {"jobs": [["x", row(1)]]}],
)  # fmt: skip
def test_a_malformed_batch_is_rejected_and_changes_nothing(value: Any) -> None:
    with pytest.raises(BadMessage):
        decode_job_batch(value)
    view = View()
    view.apply([Change(records.JOB_BATCHES + "x.1", value, Revision(1), False)], Revision(1))
    assert not view.jobs and not view.job_batches.live


# -- concurrent writers with outdated views -------------------------------------------------


class NodeWriter:
    """A node's view, with the production code that builds its transactions."""

    def __init__(self, name: str, config: Any) -> None:
        self.view = View()
        state: Any = None
        sync: Any = None
        self.submissions = SubmissionQueue(config, state, self.view, sync, name)
        self.completions = CompletionWriter(config, Token(1 + int(name[1:])), lambda: 1.0)
        self.final_phases: dict[str, str] = {}


class ConcurrentWrites(RuleBasedStateMachine):
    """Submissions of the same few jobs through several nodes with outdated views.

    Meanwhile nodes complete the jobs, users cancel them, and batches are garbage-collected.
    Every write is one transaction.
    """

    @initialize()
    def set_up(self) -> None:
        self.store = Store(Limits(None, None, 4096, 12))
        self.writers = [NodeWriter(f"n{n}", SettingsStub) for n in range(3)]
        self.final_phases: dict[str, str] = {}  # final phases that any node has seen
        self.accepted: set[str] = set()

    def request(self, method: str, target: str, body: bytes | None = None) -> dict[str, Any]:
        answer = self.store.handle(method, target, body, "n", 0.0)
        assert isinstance(answer, Reply) and answer.status in (200, 409), answer
        return codec.load_object(answer.body) | {"ok": answer.status == 200}

    def write(self, txn: Txn) -> bool:
        return bool(self.request("POST", "/txn", txn.encode())["ok"])

    def changes(self, after: int) -> tuple[list[Change], Revision]:
        answer = self.request("GET", f"/changes?starts={quote(records.PREFIX)}&after={after}")
        news = []
        for item in answer["news"]:
            gone = "drop" in item
            key = item["drop"] if gone else item["put"]
            news.append(Change(key, item.get("v"), Revision(item["stamp"]), gone))
        return news, Revision(answer["epoch"])

    def catch_up(self, writer: NodeWriter) -> None:
        """Apply all changes to a node's view; the final phase of a job never changes."""
        writer.view.apply(*self.changes(writer.view.applied))
        writer.view.loaded = True
        for job, record in writer.view.jobs.items():
            if record.phase.final:
                before = writer.final_phases.setdefault(job, record.phase.value)
                assert before == record.phase.value, f"{job} went back"

    def record_final_phase(self, job: str, phase: JobPhase) -> None:
        if phase.final:
            assert self.final_phases.setdefault(job, phase.value) == phase.value, (
                f"{job} went back"
            )

    @rule(
        who=st.integers(0, 2),
        jobs=st.sets(st.integers(1, 6), min_size=1),
        unit=st.integers(1, 4),
    )
    def submit_batched(self, who: int, jobs: set[int], unit: int) -> None:
        writer = self.writers[who]
        batch = writer.submissions._build_batches(self.entries(writer, jobs, unit), 11)
        if batch.entries and self.write(batch.txn):
            self.read_back(writer, batch)

    def read_back(self, writer: NodeWriter, batch: _SubmissionTxn) -> None:
        """Check, after a batched write, that no job is accepted a second time."""
        self.catch_up(writer)
        for entry in batch.entries:
            job = entry.spec.id
            record = writer.view.jobs[job]
            if writer.submissions._was_created_here(batch, job):
                assert job not in self.accepted, f"{job} accepted twice"
                assert record.spec == entry.spec
            self.accepted.add(job)
            self.record_final_phase(job, record.phase)

    @rule(who=st.integers(0, 2), job=st.integers(1, 6), unit=st.integers(1, 4))
    def submit_single(self, who: int, job: int, unit: int) -> None:
        writer = self.writers[who]
        batch = writer.submissions._build_singles(self.entries(writer, {job}, unit), 12)
        if not batch.entries or not self.write(batch.txn):
            return
        if batch.read_back:
            self.read_back(writer, batch)
        else:
            name = batch.entries[0].spec.id
            assert name not in self.accepted, f"{name} accepted twice"
            self.accepted.add(name)

    def entries(self, writer: NodeWriter, jobs: set[int], unit: int) -> list[_Submission]:
        future: Any = None
        specs = [spec(job, units=unit) for job in sorted(jobs)]
        return [
            _Submission(s, NOW, single_job_batch_bytes(s, NOW), future)
            for s in specs
            if s.id not in writer.view.jobs
        ]

    @rule(who=st.integers(0, 2), job=st.integers(1, 6))
    def cancel(self, who: int, job: int) -> None:
        writer = self.writers[who]
        record = writer.view.active.get(JobId(f"job-{job:06d}"))
        if record is None or record.spec is None:
            return
        key = records.job_key(record.id)
        value = records.encode_job_record(record.spec, JobPhase.CANCELLED, NOW)
        if self.write(Txn(guards={key: record.version}, puts={key: value})):
            self.catch_up(writer)
            assert writer.view.jobs[record.id].phase.final
            self.record_final_phase(record.id, writer.view.jobs[record.id].phase)

    @rule(who=st.integers(0, 2), jobs=st.sets(st.integers(1, 6), min_size=1))
    def complete_jobs(self, who: int, jobs: set[int]) -> None:
        writer = self.writers[who]
        txn = Txn()
        for job in sorted(jobs):
            record = writer.view.active.get(JobId(f"job-{job:06d}"))
            if record is None:
                continue
            if record.batch_key is not None:
                assert writer.completions.add(txn, record, 12 - txn.size)
            else:
                key = records.job_key(record.id)
                txn.guards[key] = record.version
                txn.puts[key] = records.encode_done(record)
        if txn.size:
            self.write(txn)

    @rule(who=st.integers(0, 2), calm=st.booleans())
    def sweep(self, who: int, calm: bool) -> None:
        writer = self.writers[who]
        state: Any = IdleStateClient
        collector = GarbageCollector(
            SettingsStub, state, writer.view, Revision(0), lambda: 1e3 * calm
        )
        collector._last_batch_change = writer.view.job_batches.count, 0.0
        txn = collector.transaction()
        if txn is not None:
            txn.guards.pop(records.LEADER_KEY)
            assert self.write(txn) or calm

    @rule(who=st.integers(0, 2))
    def refresh_view(self, who: int) -> None:
        self.catch_up(self.writers[who])

    @rule(who=st.integers(0, 2), job=st.integers(1, 6), other=st.integers(0, 2))
    def load_while_others_write(self, who: int, job: int, other: int) -> None:
        """Load a listing whose pages are of different revisions, then the later changes."""
        rows: list[Entry] = []
        prefixes = [
            records.COMPLETION_BATCHES,
            records.JOBS,
            records.JOB_BATCHES,
            records.BATCHING_ENABLED,
        ]
        first = None
        steps: list[Callable[[], None]] = [
            lambda: self.cancel(other, job),
            lambda: self.complete_jobs(other, {job, 1 + job % 6}),
            lambda: self.sweep(other, False),
        ]
        for prefix, step in itertools.zip_longest(prefixes, steps):
            answer = self.request("GET", f"/store?starts={prefix}&most=1000")
            first = answer["epoch"] if first is None else first
            rows += [Entry(r["path"], r["v"], r["stamp"]) for r in answer["entries"]]
            if step is not None:
                step()
        writer = self.writers[who]
        writer.view.load(rows, Revision(first or 0))
        self.catch_up(writer)

    @invariant()
    def views_agree(self) -> None:
        """Every up-to-date view equals a view that is loaded afresh."""
        if not hasattr(self, "store"):
            return
        fresh = View()
        answer = self.request("GET", f"/store?starts={records.PREFIX}&most=1000")
        rows = [Entry(r["path"], r["v"], r["stamp"]) for r in answer["entries"]]
        fresh.load(rows, Revision(answer["epoch"]))
        assert set(fresh.jobs) >= self.accepted
        for writer in self.writers:
            if writer.view.applied != fresh.applied:
                continue
            assert set(writer.view.jobs) == set(fresh.jobs)
            assert set(writer.view.active) == set(fresh.active)
            assert set(writer.view.job_batches.live) == set(fresh.job_batches.live)
            assert set(writer.view.job_batches.obsolete) == set(fresh.job_batches.obsolete)
            for job, record in fresh.jobs.items():
                mine = writer.view.jobs[job]
                assert (mine.phase, mine.version, mine.tasks) == (
                    record.phase, record.version, record.tasks,
                )  # fmt: skip
                if not record.phase.final:
                    assert (mine.spec, mine.batch_key) == (record.spec, record.batch_key)
        for job, phase in self.final_phases.items():
            assert fresh.jobs[JobId(job)].phase.value == phase


class IdleStateClient:
    """A client of the state service whose write limiter never makes callers wait."""

    class write_limiter:
        @staticmethod
        def wait_s(amount: float) -> float:
            return 0.0


class SettingsStub:
    """The settings that the submission queue, completion writer and collector read."""

    value_bytes = 4096
    txn_ops = 12

    class operator:
        pack_submissions = 1


TestRaces = ConcurrentWrites.TestCase
TestRaces.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_all_completion_bitmaps_of_a_completed_job_are_deleted() -> None:
    """Guards against pages of completion bitmaps that stay for ever.

    The transaction of a completion deletes only as many pages as it holds; the garbage
    collector deletes the others.
    """
    view, job = View(), spec(1, units=100_000)
    store = Store(Limits(None, None, 4096, 12))
    value = records.encode_job_record(job, JobPhase.ACTIVE, NOW)
    rows = {records.job_key(job.id): value}
    rows |= {
        records.completion_bitmap_key(job.id, page): records.encode_bitmap(7)
        for page in range(24)
    }

    def write(txn: Txn) -> None:
        answer = store.handle("POST", "/txn", txn.encode(), "n", 0.0)
        assert isinstance(answer, Reply) and answer.status == 200, answer
        refresh_view()

    def refresh_view() -> None:
        target = f"/changes?starts={records.PREFIX}&after={view.applied}"
        answer = store.handle("GET", target, None, "n", 0.0)
        assert isinstance(answer, Reply)
        row = codec.load_object(answer.body)
        news = [
            Change(i.get("put") or i["drop"], i.get("v"), Revision(i["stamp"]), "drop" in i)
            for i in row["news"]
        ]
        view.apply(news, Revision(row["epoch"]))

    for key, content in rows.items():
        write(Txn(puts={key: content}))
    assert not view.obsolete_bitmaps
    record = view.active[job.id]
    end = Txn(puts={records.job_key(job.id): records.encode_done(record)})
    end.deletes = {records.completion_bitmap_key(job.id, page) for page in range(11)}
    write(end)
    state: Any = IdleStateClient
    collector = GarbageCollector(SettingsStub, state, view, Revision(0), lambda: 0.0)
    transactions = 0
    while (txn := collector.transaction()) is not None:
        txn.guards.pop(records.LEADER_KEY)
        write(txn)
        transactions += 1
    assert transactions == 3 and not view.obsolete_bitmaps
    assert set(store.rows) == {records.job_key(job.id)}
    assert view.jobs[job.id].phase is JobPhase.DONE


# -- submissions and the limits of the state service -----------------------------------------


class RejectingStateClient:
    """A client of the state service that rejects every transaction with a certain job."""

    def __init__(self, view: View, rejected_job: str, rate: float = 1000.0) -> None:
        self.write_limiter = RateLimiter(rate, 12.0)
        self.view, self.rejected_job = view, rejected_job
        self.revision = 0
        self.sizes: list[int] = []

    async def txn(self, txn: Txn, priority: int, pre_acquired: bool = False) -> TxnResult:
        assert pre_acquired
        await asyncio.sleep(0.01)
        if self.rejected_job.encode() in txn.encode():
            raise Malformed("400")
        self.revision += 1
        self.sizes.append(txn.size)
        version = Revision(self.revision)
        changes = [
            Change(k, codec.load(codec.dump(v)), version, False) for k, v in txn.puts.items()
        ]
        self.view.apply(changes, version)
        return TxnResult(version, ())

    async def barrier(self) -> None:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("rate", [1000.0, 20.0])
def test_one_malformed_job_fails_alone(rate: float) -> None:
    """Guards against a rejected job that fails all jobs in its transaction, at every retry."""

    async def submit() -> tuple[list[bool | None], list[int]]:
        view = View()
        state: Any = RejectingStateClient(view, "job-000007", rate)
        submissions = SubmissionQueue(SettingsStub, state, view, state, "n0")
        writes = [submissions.submit(spec(n), NOW) for n in range(30)]
        return [w.created for w in await asyncio.gather(*writes)], state.sizes

    outcomes, _ = asyncio.run(submit())
    assert outcomes == [None if n == 7 else True for n in range(30)]


@pytest.mark.parametrize(("value_kb", "least"), [(1, 20), (4, 150), (64, 150)])
def test_submissions_that_wait_for_the_write_limiter_are_batched(
    value_kb: int, least: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At 2 writes/s, 200 jobs submitted within 2 s share few keys.

    A job is submitted only if its expected wait is at most 0.5 s.
    """
    monkeypatch.setattr(SettingsStub, "value_bytes", value_kb * 1024)

    async def submit() -> tuple[list[float], int]:
        view = View()
        state: Any = RejectingStateClient(view, "nobody", 2.0)
        state.write_limiter = RateLimiter(2.0, 2.0)
        submissions = SubmissionQueue(SettingsStub, state, view, state, "n0")
        waits = []

        async def one(number: int) -> None:
            await asyncio.sleep(number * 0.01)
            if submissions.wait_s() <= 0.5:
                waits.append(submissions.wait_s())
                assert await submissions.submit(spec(number), NOW)

        await asyncio.gather(*map(one, range(200)))
        return waits, sum(state.sizes)

    waits, changes = asyncio.run(submit())
    assert len(waits) > least, len(waits)
    assert changes <= 2 + 2.0 * 4  # the burst of 2 and about 4 s at 2 writes/s


def test_a_description_larger_than_a_value_is_rejected_with_422() -> None:
    large = row(900_000, flavours=["x" * 190 + str(n) for n in range(30)])
    answers: list[int] = []

    async def faults(world: World) -> None:
        await asyncio.sleep(15.0)
        for _ in range(3):
            body = orjson.dumps(large)
            answers.append(
                (await world.request_with_retry_after("POST", "/v1/jobs", body, 5.0))[0]
            )

    simulate(9, faults)
    assert answers == [422] * 3


def test_a_listing_is_brought_up_to_date_before_it_is_used() -> None:
    """Guards against a view with a wrong final phase after a listing.

    The pages of a listing are of different revisions: this one contains a cancellation but not
    the earlier completion.
    """
    job = spec(1)
    cancelled = records.encode_job_record(job, JobPhase.CANCELLED, NOW)
    end = {"done": [[job.id, 1, NOW]]}

    class Listing:
        async def entries(self, prefix: str, priority: int) -> tuple[list[Entry], Revision]:
            return [Entry(records.job_key(job.id), cancelled, Revision(9))], Revision(7)

        async def changes(self, *_: Any) -> tuple[list[Change], Revision]:
            news = [
                Change(records.COMPLETION_BATCHES + "1.1", end, Revision(8), False),
                Change(records.job_key(job.id), cancelled, Revision(9), False),
            ]
            return news, Revision(9)

    state: Any = Listing()
    view = View()
    sync = ViewSync(state, view, lambda jobs: None, Duration(0.1), Duration(0.1))
    asyncio.run(sync.load())
    assert view.jobs[job.id].phase is JobPhase.DONE


# -- simulated runs -------------------------------------------------------------------------


class JobBursts(World):
    """A world with a low write rate and bursts of jobs, some submitted through two nodes."""

    def settings(self, index: int) -> Any:
        return replace(super().settings(index), state_write_rps=24.0)

    async def arrivals(self, until: float) -> None:
        self.spawn(super().arrivals(until))
        number = 500_000
        while self.now() < until:
            for _ in range(self.rng.choice([2, 25, 60])):
                number += 1
                job = row(number, vcpus=0.1, real_s=self.rng.uniform(0.5, 4.0))
                job["broken"] = False
                self.jobs.upload(job)
                cancel_after = self.rng.uniform(0.2, 5.0) if self.rng.random() < 0.1 else None
                self.spawn(self.users.run_job(job, cancel_after))
                if self.rng.random() < 0.3:
                    self.spawn(self.users.resubmit(job))
            await asyncio.sleep(self.rng.uniform(2.0, 8.0))


@pytest.mark.parametrize(
    ("seed", "faults"),
    [(1, no_faults), (2, crashes), (3, cuts), (4, outages), (5, mixed_faults), (6, crashes)],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_rules_hold_during_bursts_of_jobs(
    seed: int, faults: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", JobBursts)
    world = simulate(seed, faults)
    batch_keys = [
        key for key in world.state.store.rows if key.startswith(records.COMPLETION_BATCHES)
    ]
    assert batch_keys, "no completion was batched"
    burst_jobs = [job for job in world.job_rows if job["uid"] >= "job-500000"]
    ended = [job for job in burst_jobs if job["uid"] in world.final_phases]
    assert len(ended) > 0.7 * len(burst_jobs)


def test_a_completed_job_is_not_accepted_a_second_time() -> None:
    """Guards against a second acceptance at a node that has not seen the job.

    Such a node took the completion of the job for the completion of its own record.
    """
    machine = ConcurrentWrites()
    machine.set_up()
    machine.submit_batched(who=0, jobs={1}, unit=1)
    machine.refresh_view(who=1)
    machine.submit_batched(who=0, jobs={1, 2}, unit=1)
    machine.complete_jobs(who=0, jobs={1, 2})
    machine.submit_single(who=1, job=2, unit=1)
    assert machine.accepted == {"job-000001", "job-000002"}
