"""Jobs that share keys: what a pack holds, and that every node finds the same job first."""

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


# -- what a pack holds ---------------------------------------------------------------------


@given(st.lists(CHANGES, min_size=1, max_size=30), st.integers(900, 4096))
@settings(max_examples=60, deadline=None)
def test_a_pack_gives_back_what_was_put_in_and_fits(
    changes: list[dict[str, Any]], room: int
) -> None:
    packer = JobBatchBuilder(room)
    jobs = [AcceptedJob(spec(n, **c), WallTime(NOW + n)) for n, c in enumerate(changes)]
    kept = [job for job in jobs if packer.add(job)]
    value = codec.load(codec.dump(packer.value()))
    assert len(codec.dump(value)) <= packer.size_bytes <= room
    assert decode_job_batch(value) == kept
    assert all(job in kept for job in jobs[:1] if single_job_batch_bytes(*job) <= room)


def test_a_swarm_shrinks_to_a_tenth() -> None:
    packer = JobBatchBuilder(3072)
    count = sum(
        packer.add(AcceptedJob(spec(n, expect_s=4.0 + n / 8), NOW)) for n in range(1000)
    )
    assert count >= 40
    assert single_job_batch_bytes(spec(1), NOW) * count > 5 * packer.size_bytes


@given(st.lists(st.tuples(st.integers(0, 10**9), st.integers(1, 100_000)), max_size=200))
@settings(max_examples=30, deadline=None)
def test_ends_come_back_as_they_were(ends: list[tuple[int, int]]) -> None:
    packer = CompletionBatchBuilder(1024)
    rows = [CompletedJob(JobId(f"job-{n:06d}"), tasks, NOW) for n, tasks in ends]
    kept = [end for end in rows if packer.add(end)]
    value = codec.load(codec.dump(packer.value()))
    assert len(codec.dump(value)) <= 1024
    assert decode_completion_batch(value) == kept


@pytest.mark.parametrize(
    "value",
    [None, [], {}, {"jobs": [1]}, {"jobs": [[1.0]]}, {"jobs": [[1.0, 2]]},
     {"jobs": [[1.0, {"uid": "job-000001"}]]}, {"jobs": [["x", row(1)]]}],
)  # fmt: skip
def test_a_malformed_pack_is_told_and_changes_nothing(value: Any) -> None:
    with pytest.raises(BadMessage):
        decode_job_batch(value)
    view = View()
    view.apply([Change(records.JOB_BATCHES + "x.1", value, Revision(1), False)], Revision(1))
    assert not view.jobs and not view.job_batches.live


# -- of many writers with old views, one is first, and it is the same one for everybody ------


class NodeWriter:
    """A node's view and what it writes from it, by the service's own builders."""

    def __init__(self, name: str, config: Any) -> None:
        self.view = View()
        state: Any = None
        sync: Any = None
        self.submissions = SubmissionQueue(config, state, self.view, sync, name)
        self.ends = CompletionWriter(config, Token(1 + int(name[1:])), lambda: 1.0)
        self.final_phases: dict[str, str] = {}


class ConcurrentWrites(RuleBasedStateMachine):
    """Submissions of the same few jobs through several nodes that see late, while a leader
    ends them, users cancel them, and packs are swept; every step is one transaction."""

    @initialize()
    def set_up(self) -> None:
        self.store = Store(Limits(None, None, 4096, 12))
        self.writers = [NodeWriter(f"n{n}", SettingsStub) for n in range(3)]
        self.final_phases: dict[str, str] = {}  # told to anybody
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
                assert writer.ends.add(txn, record, 12 - txn.size)
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
        sweeper = GarbageCollector(
            SettingsStub, state, writer.view, Revision(0), lambda: 1e3 * calm
        )
        sweeper._last_batch_change = writer.view.job_batches.count, 0.0
        txn = sweeper.transaction()
        if txn is not None:
            txn.guards.pop(records.LEADER_KEY)
            assert self.write(txn) or calm

    @rule(who=st.integers(0, 2))
    def refresh_view(self, who: int) -> None:
        self.catch_up(self.writers[who])

    @rule(who=st.integers(0, 2), job=st.integers(1, 6), other=st.integers(0, 2))
    def load_while_others_write(self, who: int, job: int, other: int) -> None:
        """A listing whose pages are of different moments, then what changed since."""
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
    """A state service's client whose budget is not used."""

    class write_limiter:
        @staticmethod
        def wait_s(amount: float) -> float:
            return 0.0


class SettingsStub:
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


def test_marks_of_a_job_that_is_done_are_deleted_in_the_end() -> None:
    """An end deletes as many pages as its transaction holds; the others stayed for ever."""
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
        look()

    def look() -> None:
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
    sweeper = GarbageCollector(SettingsStub, state, view, Revision(0), lambda: 0.0)
    sweeps = 0
    while (txn := sweeper.transaction()) is not None:
        txn.guards.pop(records.LEADER_KEY)
        write(txn)
        sweeps += 1
    assert sweeps == 3 and not view.obsolete_bitmaps
    assert set(store.rows) == {records.job_key(job.id)}
    assert view.jobs[job.id].phase is JobPhase.DONE


# -- what the state service does not take ------------------------------------------------------


class RejectingStateClient:
    """A state service's client that takes no transaction with a certain job in it."""

    def __init__(self, view: View, rejected_job: str, rate: float = 1000.0) -> None:
        self.write_limiter = RateLimiter(rate, 12.0)
        self.view, self.poison = view, rejected_job
        self.revision = 0
        self.sizes: list[int] = []

    async def txn(self, txn: Txn, priority: int, pre_acquired: bool = False) -> TxnResult:
        assert pre_acquired
        await asyncio.sleep(0.01)
        if self.poison.encode() in txn.encode():
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
    """It took all along that shared its transaction, each time that its user came again."""

    async def submit() -> tuple[list[bool | None], list[int]]:
        view = View()
        state: Any = RejectingStateClient(view, "job-000007", rate)
        submissions = SubmissionQueue(SettingsStub, state, view, state, "n0")
        writes = [submissions.submit(spec(n), NOW) for n in range(30)]
        return [w.created for w in await asyncio.gather(*writes)], state.sizes

    outcomes, _ = asyncio.run(submit())
    assert outcomes == [None if n == 7 else True for n in range(30)]


@pytest.mark.parametrize(("value_kb", "least"), [(1, 20), (4, 150), (64, 150)])
def test_who_waits_for_the_budget_shares_a_key_and_nobody_waits_long(
    value_kb: int, least: int, monkeypatch: pytest.MonkeyPatch
) -> None:
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
    assert changes <= 2 + 2.0 * 4  # the burst, and the budget of the time that it took


def test_a_description_larger_than_a_value_is_refused_at_once() -> None:
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


def test_a_listing_is_brought_up_to_date_before_anything_is_told_from_it() -> None:
    """Its pages were of different moments: the cancellation was there, the end before not."""
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


# -- whole days ----------------------------------------------------------------------------


class JobBursts(World):
    """Little budget, and now and then a swarm of jobs, each sent through two nodes at once."""

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
                drawn = self.rng.uniform(0.2, 5.0) if self.rng.random() < 0.1 else None
                self.spawn(self.users.run_job(job, drawn))
                if self.rng.random() < 0.3:
                    self.spawn(self.users.resubmit(job))
            await asyncio.sleep(self.rng.uniform(2.0, 8.0))


@pytest.mark.parametrize(
    ("seed", "faults"),
    [(1, no_faults), (2, crashes), (3, cuts), (4, outages), (5, mixed_faults), (6, crashes)],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_swarms_keep_the_rules(seed: int, faults: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.test_rules.World", JobBursts)
    world = simulate(seed, faults)
    packs = [
        key for key in world.state.store.rows if key.startswith(records.COMPLETION_BATCHES)
    ]
    assert packs, "nothing was packed"
    swarm = [job for job in world.job_rows if job["uid"] >= "job-500000"]
    over = [job for job in swarm if job["uid"] in world.final_phases]
    assert len(over) > 0.7 * len(swarm)


def test_a_job_that_has_ended_is_not_accepted_a_second_time() -> None:
    """At a node that had not heard of it, its end was taken for the end of its own record."""
    races = ConcurrentWrites()
    races.set_up()
    races.submit_batched(who=0, jobs={1}, unit=1)
    races.refresh_view(who=1)
    races.submit_batched(who=0, jobs={1, 2}, unit=1)
    races.complete_jobs(who=0, jobs={1, 2})
    races.submit_single(who=1, job=2, unit=1)
    assert races.accepted == {"job-000001", "job-000002"}
