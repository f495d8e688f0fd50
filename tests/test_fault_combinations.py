"""Combinations of two faults: rules are most at risk where two faults meet.

Each section brings about one combination ("meeting") of ``docs/meetings.md``. A test asserts
that the combination came about and that the rules held. A second test patches the safeguard
out and expects that a rule breaks, or that the measured result gets worse.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest

from dunehold.bookkeeping.hosts import Host, ReportOutcome
from dunehold.bookkeeping.ledger import Ledger
from dunehold.coordination.election.lease_renewal import LeaseRenewal
from dunehold.coordination.node import Node
from dunehold.coordination.persistence import recorder
from dunehold.coordination.term.delivery import Delivery
from dunehold.emulator.agents.external_services import WorkerAgent
from dunehold.emulator.history import Event
from dunehold.emulator.model.base import Reply
from dunehold.emulator.model.cloud import Cloud
from dunehold.emulator.model.worker import JobFacts, Task, Worker
from dunehold.protocol.workers import Report
from dunehold.transport.http import NoResponse
from dunehold.types import MonotonicTime, Sequence, Session, Token
from tests.test_rules import BUSY_S, crashes, simulate
from tests.world import NodeProcess, RuleBroken, ServiceResponse, World

Faults = Callable[[World], Awaitable[None]]


def leader_of(world: World) -> NodeProcess | None:
    """Return the first process whose node takes itself for the leader, or None."""
    leading = [n for n in world.nodes if n.node is not None and n.node.leader is not None]
    return leading[0] if leading else None


# -- a transaction gets no answer and is executed late, after newer ones --------------------


async def late_writes(world: World) -> None:
    """Execute a quarter of the transactions late and without a response, during crashes.

    After every 20 s of this there are 5 s without delayed transactions.
    """
    world.spawn(crashes(world))
    while True:
        world.state.delayed_txn_share = 0.25
        await asyncio.sleep(20.0)
        world.state.delayed_txn_share = 0.0
        await asyncio.sleep(5.0)


@pytest.mark.parametrize("seed", range(200, 204))
def test_a_delayed_transaction_overwrites_no_newer_write(seed: int) -> None:
    world = simulate(seed, late_writes, nodes=(3, 5)[seed % 2])
    delayed = world.state.delayed_txns
    assert delayed.after_newer_writes > 20 and delayed.rejected_after_newer > 5
    assert not delayed.overwritten_keys


def test_without_version_guards_a_delayed_transaction_overwrites_newer_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(recorder, "VERSIONED_PREFIXES", ("nothing",))
    assert any(
        simulate(seed, late_writes).state.delayed_txns.overwritten_keys
        for seed in range(200, 203)
    )


# -- the leader ends while machines receive neither commands nor responses -----------------


def _lose_inbound(world: World, seconds: float, share: float) -> None:
    """Let a share of the busy machines receive nothing for a while; their reports arrive."""
    for agent in world.cloud.workers.values():
        if agent.worker.tasks and world.rng.random() < share:
            agent.inbound_lost_until = max(agent.inbound_lost_until, world.now() + seconds)


async def leader_ends_while_inbound_lost(world: World) -> None:
    """Let machines lose all that is sent to them; the leader ends within 2 s, four times.

    Counts the machines that reported to the new leader and lost its response.
    """
    for _ in range(4):
        await asyncio.sleep(world.rng.uniform(8.0, 16.0))
        _lose_inbound(world, world.rng.uniform(4.0, 40.0), 0.6)
        before = {name: a.lost_responses for name, a in world.cloud.workers.items()}
        await asyncio.sleep(world.rng.uniform(0.0, 2.0))
        process = leader_of(world)
        if process is not None:
            world.spawn(process.restart(world.rng.choice([0.3, 4.0])))
        await asyncio.sleep(6.0)
        if leader_of(world) is not None:
            agents = world.cloud.workers.items()
            world.counts["machines with lost responses"] += sum(
                a.lost_responses > before.get(n, 0) for n, a in agents
            )


@pytest.mark.parametrize("seed", range(210, 214))
def test_rules_hold_when_the_leader_ends_while_workers_lose_responses(seed: int) -> None:
    """Guards against a new leader that draws wrong conclusions from reports to an earlier one.

    A worker that loses the new leader's responses goes on reporting with the old token.
    """
    world = simulate(seed, leader_ends_while_inbound_lost, nodes=(3, 5)[seed % 2])
    assert world.counts["machines with lost responses"] > 3 and world.checker.starts > 20


def collect_breaches(seeds: range, faults: Faults, nodes: int = 3) -> list[str]:
    """Run every seed and return the texts of the breaches, one for each run with a breach."""
    breaches = []
    for seed in seeds:
        try:
            simulate(seed, faults, nodes=nodes)
        except RuleBroken as broken:
            breaches.append(str(broken))
    return breaches


def test_expiring_worker_leases_right_after_the_takeover_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader that expires the leases of machines too early starts their tasks twice.

    The patched ledger expires the leases of machines that have not reported to this leader 2 s
    after its takeover, though the leader before may have renewed them until then.
    """

    def expires_early(self: Ledger, host: object, now: float) -> bool:
        return not getattr(host, "session_known", True) and now > self.took_over_at + 2.0

    monkeypatch.setattr(Ledger, "_lease_expired", expires_early)
    assert any(
        "ran_twice" in b or "quota" in b
        for b in collect_breaches(range(210, 216), leader_ends_while_inbound_lost)
    )


# -- the state service refuses the leader, then every node, while jobs are cancelled -------


async def cancellations_before_outage(world: World) -> None:
    """Let other nodes confirm cancellations that the leader can't learn of, twice.

    The state service refuses the leader alone, and then all nodes for longer than ``cancel_s``.
    Counts the workers' reports in the outage, whether they were answered or not.
    """
    for _ in range(2):
        await asyncio.sleep(18.0)
        process = leader_of(world)
        if process is None:
            continue
        world.spawn(world.state.refuse_node(process.name, 14.0))
        await asyncio.sleep(0.4)
        others = [n for n in world.nodes if n is not process and n.node is not None]
        cancelled = await cancel_through(world, others, 6)
        await asyncio.sleep(world.rng.uniform(0.3, 1.0))
        world.counts["cancelled"] += cancelled
        before = sum(a.reports for a in world.cloud.workers.values())
        await world.state.outage(46.0)
        world.counts["reports in outage"] += (
            sum(a.reports for a in world.cloud.workers.values()) - before
        )


async def cancel_through(world: World, nodes: list[NodeProcess], max_jobs: int) -> int:
    """Cancel up to ``max_jobs`` jobs that have tasks on machines, each through a random node.

    Returns how many cancellations were confirmed.
    """
    uids = {
        t.task_id.rpartition("/")[0]
        for a in world.cloud.workers.values()
        for t in a.worker.tasks.values()
        if t.on_machine
    }
    confirmed = 0
    for uid in sorted(uids)[:max_jobs]:
        if world.final_phases.get(uid) is None:
            confirmed += await cancel_job(world, nodes, uid)
    return confirmed


async def cancel_job(world: World, nodes: list[NodeProcess], uid: str) -> bool:
    """Cancel a job through a random one of the nodes; return whether that was confirmed."""
    world.history.add("cancel", uid=uid)
    process = world.rng.choice(nodes)
    asked = world.now()
    try:
        status, data, _ = await world.network.request_with_retry_after(
            "users", process.name, "POST", f"/v1/jobs/{uid}/cancel", b"{}", 3.0
        )
    except NoResponse:
        return False
    if status != 200:
        return False
    world.users.record_phase(uid, orjson.loads(data), asked)
    return True


@pytest.mark.parametrize("seed", range(220, 224))
def test_cancelled_tasks_end_though_the_leader_cannot_learn_of_it(seed: int) -> None:
    world = simulate(seed, cancellations_before_outage, nodes=(3, 5)[seed % 2])
    assert world.counts["cancelled"] > 2 and world.counts["reports in outage"] > 20


def test_renewing_leases_without_proof_of_the_view_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader that renews leases without a recent proof keeps cancelled tasks running."""
    monkeypatch.setattr(LeaseRenewal, "allowed", lambda self, relaying=False: True)
    monkeypatch.setattr(Node, "_on_cut_off_from_state", lambda self: None)
    assert any(
        "ran_cancelled" in b
        for b in collect_breaches(range(220, 224), cancellations_before_outage)
    )


# -- a leader is cut off from the state service and the other controllers ------------------


class LongTasks(World):
    """Tasks run for longer than ``cancel_s``, so that none ends by itself in time."""

    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        if job["shape"] != "standing":
            job |= {"shape": "batch", "real_s": self.rng.uniform(40.0, 80.0)}
        return job


async def cut_off_leader(world: World) -> None:
    """Cut the leader off so that another takes over, and cancel jobs through that one, twice.

    Workers and users still reach the old leader. Counts the workers that have not seen a newer
    token than the old leader's, which may still get their leases from it.
    """
    for _ in range(2):
        await asyncio.sleep(16.0)
        process = leader_of(world)
        if process is None:
            continue
        mode, seconds = world.rng.choice(["hold", "reset"]), 50.0
        old_source = f"{process.name}#{process.incarnation}"
        world.spawn(world.network.cut_for("state", old_source, mode, seconds))
        for other in world.nodes:
            if other is not process:
                other_source = f"{other.name}#{other.incarnation}"
                world.spawn(world.network.cut_for(other.name, old_source, mode, seconds))
                world.spawn(world.network.cut_for(other_source, process.name, mode, seconds))
        token = process.node.leader.token if process.node and process.node.leader else 0
        for _ in range(50):
            await asyncio.sleep(0.2)
            leading = [n for n in world.nodes if n is not process and n.node and n.node.leader]
            if leading:
                break
        world.counts["workers not reached by the new leader"] += sum(
            a.worker.token == token for a in world.cloud.workers.values()
        )
        if leading:
            world.counts["cancelled"] += await cancel_through(world, leading, 6)
        await asyncio.sleep(45.0)


@pytest.mark.parametrize("seed", range(230, 234))
def test_cancelled_tasks_end_though_workers_reach_a_cut_off_leader(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    world = simulate(seed, cut_off_leader, nodes=(3, 5)[seed % 2])
    assert (
        world.counts["workers not reached by the new leader"] > 0
        and world.counts["cancelled"] > 0
    )


def test_a_cut_off_leader_that_goes_on_renewing_leases_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The new leader's probes are patched out, too.

    They tell machines of the new token and can hide the fault, though not every machine can be
    reached by them.
    """

    async def probe_none(self: Delivery) -> None: ...

    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    monkeypatch.setattr(LeaseRenewal, "allowed", lambda self, relaying=False: True)
    monkeypatch.setattr(Delivery, "probe_all", probe_none)
    breaches = collect_breaches(range(230, 236), cut_off_leader)
    assert any("ran_cancelled" in b or "ran_twice" in b for b in breaches)


# -- leaders step down, and controllers restart, also within a second ----------------------


async def leadership_changes(world: World) -> None:
    """Change the leader every few seconds: it steps down, or some or all controllers restart.

    Each kind of change comes about once, in random order, before kinds are drawn at random.
    """
    kinds = ["hand over", "restart at once", "restart all", "restart in an election"]
    remaining = world.rng.sample(kinds, len(kinds))
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(3.0, 9.0))
        process = leader_of(world)
        kind = remaining.pop() if remaining else world.rng.choice(kinds)
        if kind == "hand over" and process is not None and process.node and process.node.leader:
            process.node.leader.deposed()
        elif kind == "restart at once" and process is not None:
            world.spawn(process.restart(world.rng.uniform(0.05, 0.9)))
        elif kind == "restart all":
            for node in world.nodes:
                world.spawn(node.restart(world.rng.uniform(0.1, 8.0)))
        elif process is not None:
            # The leader crashes, and two random controllers restart at about the time when its
            # lease expires and the others stand for election.
            world.spawn(process.restart(3.2))
            await asyncio.sleep(world.rng.uniform(2.5, 3.4))
            for node in world.rng.sample(world.nodes, 2):
                world.spawn(node.restart(world.rng.uniform(0.05, 0.5)))
        world.counts[kind] += 1


def _forbid_reuse(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Record a breach when an attempt starts twice or a rental's name gets another request."""
    attempts: set[tuple[str, int]] = set()
    rentals: dict[str, bytes | None] = {}
    handle = Cloud.handle

    def on_event(event: Event) -> None:
        if event.kind == "on":
            attempt = event.data["item"], event.data["attempt"]
            if attempt in attempts:
                world.breaches.append(f"reused: attempt {attempt}")
            attempts.add(attempt)

    def checked_handle(
        self: Cloud, method: str, target: str, body: bytes | None, now: float
    ) -> Reply:
        if method == "POST" and target == "/hosts":
            name = orjson.loads(body or b"{}")["rental"]
            world.counts["rentals"] += name not in rentals
            if rentals.setdefault(name, body) != body:
                world.breaches.append(f"reused: rental {name}")
        return handle(self, method, target, body, now)

    world.history.listeners.append(on_event)
    monkeypatch.setattr(Cloud, "handle", checked_handle)


@pytest.mark.parametrize("seed", range(240, 244))
def test_no_attempt_or_rental_name_is_reused_when_the_leader_changes(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against taking the actions of an earlier process for those of the new one."""

    async def changes_without_reuse(world: World) -> None:
        _forbid_reuse(world, monkeypatch)
        await leadership_changes(world)

    world = simulate(seed, changes_without_reuse, nodes=(3, 5)[seed % 2])
    assert (
        min(world.counts[kind] for kind in ("hand over", "restart at once", "restart all")) > 0
    ), world.counts
    assert world.checker.starts > 10 and world.counts["rentals"] > 3


def test_a_fencing_token_that_is_not_increased_leads_to_reuse(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A new leader with its predecessor's token reuses attempts and rental names.

    It also accepts late reports that were meant for its predecessor.
    """
    begin = Node._begin_term

    def begin_with_old_token(self: Node, token: Token) -> None:
        begin(self, Token(1))

    async def changes_without_reuse(world: World) -> None:
        with pytest.MonkeyPatch.context() as patch:
            _forbid_reuse(world, patch)
            await leadership_changes(world)

    monkeypatch.setattr(Node, "_begin_term", begin_with_old_token)
    assert any("reused" in b for b in collect_breaches(range(240, 242), changes_without_reuse))


# -- a command or its answer is delayed for seconds ----------------------------------------


async def delayed_commands(world: World) -> None:
    """Delay what the leader and up to three machines exchange, again and again.

    The commands or the answers are held back by a cut in one direction, or the machine hangs.
    """
    while world.now() < BUSY_S + 20.0:
        await asyncio.sleep(world.rng.uniform(0.5, 2.0))
        process, names = leader_of(world), list(world.cloud.workers)
        if process is None or not names:
            continue
        for name in world.rng.sample(names, min(3, len(names))):
            seconds = world.rng.uniform(1.0, 9.0)
            source = f"{process.name}#{process.incarnation}"
            fault = world.rng.choice(["there", "back", "hang"])
            if fault == "hang":
                with world.cloud.workers[name].modify() as model:
                    model.hang(world.now(), seconds)
            else:
                ends = (source, name) if fault == "there" else (name, source)
                world.spawn(world.network.cut_for(*ends, "hold", seconds, one_way=True))


def _count_late_starts(monkeypatch: pytest.MonkeyPatch, counts: Counter[str]) -> None:
    """Count direct calls whose starts were executed after the leader's timeout of 2 s."""
    handle = WorkerAgent.handle

    async def timed(
        self: WorkerAgent, method: str, target: str, body: bytes | None, source: str
    ) -> Reply:
        arrived = asyncio.get_running_loop().time()
        before = set(self.worker.tasks)
        answer = await handle(self, method, target, body, source)
        duration_s = asyncio.get_running_loop().time() - arrived
        if target == "/orders" and duration_s > 2.0 and set(self.worker.tasks) - before:
            counts["started late"] += 1
        return answer

    monkeypatch.setattr(WorkerAgent, "handle", timed)


@pytest.mark.parametrize("seed", range(250, 253))
def test_a_delayed_start_stays_in_the_ledger(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against placing a task elsewhere while its first start may still be executed."""
    counts: Counter[str] = Counter()
    _count_late_starts(monkeypatch, counts)
    world = simulate(seed, delayed_commands)
    assert counts["started late"] > 0 and world.checker.starts > 20


def withdraw_unanswered_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plant a fault: a start whose direct call got no answer is removed from the ledger."""
    call = Delivery._call

    async def call_and_withdraw(self: Delivery, host: Host) -> bool:
        done = await call(self, host)
        if not done:
            for run in list(host.runs.values()):
                if run.unanswered_starts and not run.reported:
                    run.unanswered_starts, run.in_report_response = 0, False
                    self.ledger.withdraw(run)
        return done

    monkeypatch.setattr(Delivery, "_call", call_and_withdraw)


def test_withdrawing_unanswered_starts_breaks_a_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    """A start without an answer counts as not executed, so the task also starts elsewhere."""
    withdraw_unanswered_starts(monkeypatch)
    assert any(
        "ran_twice" in b or "quota" in b
        for b in collect_breaches(range(250, 258), delayed_commands)
    )


# -- the leader changes between the ends of a job's tasks ----------------------------------


class StaggeredEnds(World):
    """Jobs have two or three tasks; ``_stagger_task_ends`` makes their run times differ."""

    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        if job["shape"] != "standing":
            job |= {"shape": "batch", "units": self.rng.choice([2, 3]), "vcpus": 1.0,
                    "flavours": None, "snapshot_s": 0.0, "real_s": 2.0}  # fmt: skip
        return job


async def staggered_ends(world: World) -> None:
    """Restart the leader repeatedly, while some tasks of a job have completed and others run.

    Counts the completed tasks that workers still report at a change, and the starts of tasks
    that had already completed.
    """

    def on_event(event: Event) -> None:
        if event.kind == "on" and event.data["item"] in world.jobs.completed_tasks:
            world.counts["started again"] += 1

    world.history.listeners.append(on_event)
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(6.0, 12.0))
        completed = {
            task.task_id
            for agent in world.cloud.workers.values()
            for task in agent.worker.tasks.values()
            if task.exit_reason == "done"
        }
        process = leader_of(world)
        if process is not None:
            world.counts["completed tasks at a change"] += len(completed)
            world.spawn(process.restart(world.rng.choice([0.3, 4.0])))


def _stagger_task_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let task 0 of each job run for 2 s, and each further task for 25 s longer."""
    run = Worker._run

    def run_staggered(self: Worker, task: Task, facts: JobFacts) -> None:
        number = int(task.task_id.rpartition("/")[2])
        if facts.real_s is not None:
            facts = facts._replace(real_s=2.0 + 25.0 * number)
        run(self, task, facts)

    monkeypatch.setattr(Worker, "_run", run_staggered)


@pytest.mark.parametrize("seed", range(260, 263))
def test_the_next_leader_does_not_run_completed_tasks_again(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", StaggeredEnds)
    _stagger_task_ends(monkeypatch)
    world = simulate(seed, staggered_ends)
    assert world.counts["completed tasks at a change"] > 3
    assert sum(phase == "done" for phase in world.final_phases.values()) > 3
    assert world.counts["started again"] == 0


def test_completed_tasks_run_again_if_workers_forget_them_too_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Until a completion is durable, the worker's report is the only record of it."""
    monkeypatch.setattr("tests.test_rules.World", StaggeredEnds)
    _stagger_task_ends(monkeypatch)
    monkeypatch.setattr(Ledger, "_may_forget", lambda self, run: True)
    assert (
        sum(simulate(seed, staggered_ends).counts["started again"] for seed in range(260, 263))
        > 0
    )


# -- an old report arrives after newer ones ------------------------------------------------


async def late_reports(world: World) -> None:
    """Let copies of 40% of the reports arrive late, at any controller, during other faults.

    A copy may describe an earlier session or attempt, and may reach this leader or the next.
    """
    world.spawn(crashes(world))
    world.spawn(delayed_commands(world))
    while True:
        for agent in world.cloud.workers.values():
            agent.duplicate_share = 0.4
        await asyncio.sleep(1.0)
        world.counts["copies"] = max(
            world.counts["copies"], sum(a.copies_sent for a in world.cloud.workers.values())
        )


@pytest.mark.parametrize("seed", range(270, 274))
def test_rules_hold_when_copies_of_old_reports_arrive(seed: int) -> None:
    world = simulate(seed, late_reports, nodes=(3, 5)[seed % 2])
    assert world.counts["copies"] > 50 and world.checker.starts > 20


def test_accepting_old_reports_as_new_breaks_a_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    """The patched ledger checks neither the session nor the sequence number of a report."""
    ingest = Ledger.ingest

    def ingest_in_any_order(
        self: Ledger, report: Report, now: MonotonicTime, direct: bool = False
    ) -> ReportOutcome:
        host = self.hosts.get(report.host)
        if host is not None:
            host.expired_session = Session(0)
            if report.session >= host.session:
                host.sequence = Sequence(0)
            # The leader compares with this before it passes a report on to the ledger.
            host.newest_report = (Session(0), Sequence(0))
        return ingest(self, report, now, direct)

    monkeypatch.setattr(Ledger, "ingest", ingest_in_any_order)
    assert any(
        "ran_twice" in b or "quota" in b
        for b in collect_breaches(range(270, 276), late_reports)
    )


# -- invalid reports and responses ---------------------------------------------------------


async def invalid_reports(world: World) -> None:
    """Send the leader malformed reports, and reports with a token that no leader has taken.

    Some of the malformed ones have an impossible session. Counts the response statuses.
    """
    await asyncio.sleep(25.0)
    process = leader_of(world)
    assert process is not None and process.node is not None and process.node.leader is not None
    leader, name = process.node.leader, next(iter(world.cloud.workers))
    good = world.cloud.workers[name].worker.report()
    before = dict(world.state.store.rows)
    for bad in (
        b"x", b"[]", b"{}", orjson.dumps(good | {"tenure": 0}),
        orjson.dumps(good | {"tenure": -1}), orjson.dumps(good | {"tally": 1.5}),
        orjson.dumps(good | {"units": [{"item": "x/0", "try": 1, "phase": "running"}]}),
        orjson.dumps(good | {"units": [{"item": "job-1/0", "try": 1, "phase": "flying"}]}),
    ):  # fmt: skip
        world.counts[str(process.node._report(bad).status)] += 1
    for _ in range(50):
        world.counts[
            str(process.node._report(orjson.dumps(good | {"baton": 2**40})).status)
        ] += 1
    world.counts["changed"] = sum(
        before[key] != row for key, row in world.state.store.rows.items()
    )
    await asyncio.sleep(10.0)
    world.counts["still leads"] = process.node is not None and process.node.leader is leader


def test_invalid_reports_change_no_state_and_end_no_term() -> None:
    observed = simulate(290, invalid_reports).counts
    assert observed["400"] == 8 and observed["503"] == 50
    assert observed["still leads"] and not observed["changed"]


async def garbage_responses(world: World) -> None:
    """Replace a fifth of the responses of workers and peers by garbage, during crashes."""
    garbage = [b"", b"[]", b"{", b'{"running":[]}', b'{"age_s":"x"}', b'{"host":1,"units":{}}']
    world.spawn(crashes(world))
    while True:
        await asyncio.sleep(0.5)
        names = [*world.cloud.workers, *(process.name for process in world.nodes)]
        for name in names:
            serve = world.network.services.get(name)
            if serve is None or getattr(serve, "is_corrupting", False):
                continue

            async def corrupting(
                method: str, target: str, body: bytes | None, source: str, serve: Any = serve
            ) -> ServiceResponse:
                answer = await serve(method, target, body, source)
                asked = target.startswith(("/peer/", "/orders", "/status"))
                if asked and world.rng.random() < 0.2:
                    world.counts["garbage"] += 1
                    return 200, world.rng.choice(garbage), 0.0
                return answer

            corrupting.is_corrupting = True  # type: ignore[attr-defined]
            world.network.services[name] = corrupting


def test_rules_hold_when_workers_and_peers_respond_with_garbage() -> None:
    world = simulate(291, garbage_responses)
    assert world.counts["garbage"] > 20 and world.checker.starts > 20


# -- random combinations -----------------------------------------------------------------

FAULT_COMBINATIONS: list[Faults] = [
    late_writes,
    leader_ends_while_inbound_lost,
    cancellations_before_outage,
    cut_off_leader,
    leadership_changes,
    delayed_commands,
    late_reports,
]


def random_faults(max_faults: int, combinations: list[Faults]) -> Faults:
    """Return faults that run two to ``max_faults`` random ones of the list at the same time."""

    async def run_some(world: World) -> None:
        for faults in world.rng.sample(combinations, world.rng.randint(2, max_faults)):
            world.spawn(faults(world))

    return run_some


@pytest.mark.parametrize("seed", range(280, 286))
def test_rules_hold_under_random_combinations(seed: int) -> None:
    assert (
        simulate(
            seed, random_faults(3, FAULT_COMBINATIONS), nodes=(3, 5, 7)[seed % 3]
        ).checker.starts
        > 5
    )


def soak(combinations: list[Faults]) -> None:
    """Run random combinations for NUMBER seeds from FIRST on and print each result.

    This is not part of CI. Usage: python -m tests.test_further_fault_combinations FIRST NUMBER,
    or the same with tests.test_fault_combinations.
    """
    first, number = (int(argument) for argument in sys.argv[1:3])
    for seed in range(first, first + number):
        try:
            starts = simulate(
                seed, random_faults(4, combinations), nodes=(3, 5, 7)[seed % 3]
            ).checker.starts
            print(seed, "no rule broken", starts, flush=True)
        except RuleBroken as broken:
            print(seed, broken, flush=True)


if __name__ == "__main__":
    soak(FAULT_COMBINATIONS)
