"""Rules break where two troubles meet: each meeting of ``docs/meetings.md``, brought about.

Every test asserts that its meeting came about, and that the rules break, or what guards them
does, once the safeguard is taken out.
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
    leading = [n for n in world.nodes if n.node is not None and n.node.leader is not None]
    return leading[0] if leading else None


# -- a transaction without an answer is carried out late, after newer ones ------------------


async def late_writes(world: World) -> None:
    world.spawn(crashes(world))
    while True:
        world.state.delayed_txn_share = 0.25
        await asyncio.sleep(20.0)
        world.state.delayed_txn_share = 0.0
        await asyncio.sleep(5.0)


@pytest.mark.parametrize("seed", range(200, 204))
def test_a_late_write_takes_nothing_newer_back(seed: int) -> None:
    world = simulate(seed, late_writes, nodes=(3, 5)[seed % 2])
    late = world.state.delayed_txns
    assert late.after_newer_writes > 20 and late.rejected_after_newer > 5
    assert not late.overwritten_keys


def test_without_its_guard_a_late_write_takes_newer_ones_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(recorder, "VERSIONED_PREFIXES", ("nothing",))
    assert any(
        simulate(seed, late_writes).state.delayed_txns.overwritten_keys
        for seed in range(200, 203)
    )


# -- a leader ends while machines can't be reached, or don't hear the new leader's answer ---


def _lose_inbound(world: World, seconds: float, share: float) -> None:
    for agent in world.cloud.workers.values():
        if agent.worker.tasks and world.rng.random() < share:
            agent.inbound_lost_until = max(agent.inbound_lost_until, world.now() + seconds)


async def leader_ends_while_inbound_lost(world: World) -> None:
    """Machines stop hearing, and within a second or two the leader ends."""
    for _ in range(4):
        await asyncio.sleep(world.rng.uniform(8.0, 16.0))
        _lose_inbound(world, world.rng.uniform(4.0, 40.0), 0.6)
        before = {name: a.lost_responses for name, a in world.cloud.workers.items()}
        await asyncio.sleep(world.rng.uniform(0.0, 2.0))
        box = leader_of(world)
        if box is not None:
            world.spawn(box.restart(world.rng.choice([0.3, 4.0])))
        await asyncio.sleep(6.0)
        if leader_of(world) is not None:
            agents = world.cloud.workers.items()
            world.counts["unheard"] += sum(
                a.lost_responses > before.get(n, 0) for n, a in agents
            )


@pytest.mark.parametrize("seed", range(210, 214))
def test_a_deaf_machine_s_reports_prove_nothing_to_a_new_leader(seed: int) -> None:
    world = simulate(seed, leader_ends_while_inbound_lost, nodes=(3, 5)[seed % 2])
    assert world.counts["unheard"] > 3 and world.checker.starts > 20


def collect_breaches(seeds: range, faults: Faults, nodes: int = 3) -> list[str]:
    """What breaks on those days, with some safeguard taken out."""
    found = []
    for seed in seeds:
        try:
            simulate(seed, faults, nodes=nodes)
        except RuleBroken as broken:
            found.append(str(broken))
    return found


def test_a_lease_taken_to_count_from_the_takeover_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Who takes a machine that it can't hear for silent since the takeover runs tasks twice."""

    def at_once(self: Ledger, host: object, now: float) -> bool:
        return not getattr(host, "session_known", True) and now > self.took_over_at + 2.0

    monkeypatch.setattr(Ledger, "_lease_expired", at_once)
    assert any(
        "ran_twice" in b or "quota" in b
        for b in collect_breaches(range(210, 216), leader_ends_while_inbound_lost)
    )


# -- the state service refuses the leader alone, then everybody, while jobs are cancelled ---


async def cancellations_before_outage(world: World) -> None:
    """Another node confirms cancellations; then nobody can tell the leader of them."""
    for _ in range(2):
        await asyncio.sleep(18.0)
        box = leader_of(world)
        if box is None:
            continue
        world.spawn(world.state.refuse_node(box.name, 14.0))
        await asyncio.sleep(0.4)
        others = [n for n in world.nodes if n is not box and n.node is not None]
        cancelled = await cancel_through(world, others, 6)
        await asyncio.sleep(world.rng.uniform(0.3, 1.0))
        world.counts["cancelled"] += cancelled
        fed = sum(a.reports for a in world.cloud.workers.values())
        await world.state.outage(46.0)
        world.counts["fed"] += sum(a.reports for a in world.cloud.workers.values()) - fed


async def cancel_through(world: World, nodes: list[NodeProcess], max_jobs: int) -> int:
    """Cancel jobs that have tasks on machines; how many were confirmed."""
    uids = {
        t.task_id.rpartition("/")[0]
        for a in world.cloud.workers.values()
        for t in a.worker.tasks.values()
        if t.on_machine
    }
    confirmed = 0
    for uid in sorted(uids)[:max_jobs]:
        if world.final_phases.get(uid) is not None:
            continue
        world.history.add("cancel", uid=uid)
        box = world.rng.choice(nodes)
        asked = world.now()
        try:
            status, data, _ = await world.network.request_with_retry_after(
                "users", box.name, "POST", f"/v1/jobs/{uid}/cancel", b"{}", 3.0
            )
        except NoResponse:
            continue
        if status == 200:
            world.users.record_phase(uid, orjson.loads(data), asked)
            confirmed += 1
    return confirmed


@pytest.mark.parametrize("seed", range(220, 224))
def test_what_is_cancelled_ends_though_the_leader_can_t_know(seed: int) -> None:
    world = simulate(seed, cancellations_before_outage, nodes=(3, 5)[seed % 2])
    assert world.counts["cancelled"] > 2 and world.counts["fed"] > 20


def test_who_feeds_leases_without_proof_keeps_cancelled_tasks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeaseRenewal, "allowed", lambda self, relaying=False: True)
    monkeypatch.setattr(Node, "_on_cut_off_from_state", lambda self: None)
    assert any(
        "ran_cancelled" in b
        for b in collect_breaches(range(220, 224), cancellations_before_outage)
    )


# -- a leader is cut from the state service and the other controllers -----------------------


class LongTasks(World):
    """What is cancelled would run on for longer than ``cancel_s``."""

    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        if job["shape"] != "standing":
            job |= {"shape": "batch", "real_s": self.rng.uniform(40.0, 80.0)}
        return job


async def cut_off_leader(world: World) -> None:
    """Workers and users still reach it; jobs are cancelled through the new one."""
    for _ in range(2):
        await asyncio.sleep(16.0)
        box = leader_of(world)
        if box is None:
            continue
        mode, seconds = world.rng.choice(["hold", "reset"]), 50.0
        old = f"{box.name}#{box.incarnation}"
        world.spawn(world.network.cut_for("state", old, mode, seconds))
        for other in world.nodes:
            if other is not box:
                there = f"{other.name}#{other.incarnation}"
                world.spawn(world.network.cut_for(other.name, old, mode, seconds))
                world.spawn(world.network.cut_for(there, box.name, mode, seconds))
        token = box.node.leader.token if box.node and box.node.leader else 0
        for _ in range(50):
            await asyncio.sleep(0.2)
            led = [n for n in world.nodes if n is not box and n.node and n.node.leader]
            if led:
                break
        # Fed by the old one still: workers that have not seen the new token.
        world.counts["fed by the old"] += sum(
            a.worker.token == token for a in world.cloud.workers.values()
        )
        if led:
            world.counts["cancelled"] += await cancel_through(world, led, 6)
        await asyncio.sleep(45.0)


@pytest.mark.parametrize("seed", range(230, 234))
def test_a_cut_off_leader_that_workers_reach_keeps_nothing_cancelled(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    world = simulate(seed, cut_off_leader, nodes=(3, 5)[seed % 2])
    assert world.counts["fed by the old"] > 0 and world.counts["cancelled"] > 0


def test_a_cut_off_leader_that_feeds_on_breaks_a_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nor does it help that the new one tells machines of its token: not all can hear it."""

    async def tells_nobody(self: Delivery) -> None: ...

    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    monkeypatch.setattr(LeaseRenewal, "allowed", lambda self, relaying=False: True)
    monkeypatch.setattr(Delivery, "probe_all", tells_nobody)
    broken = collect_breaches(range(230, 236), cut_off_leader)
    assert any("ran_cancelled" in b or "ran_twice" in b for b in broken)


# -- controllers hand over and back, all end, and one returns, also within a second ---------


async def leadership_changes(world: World) -> None:
    kinds = ["hand over", "back at once", "all", "in an election"]
    steps = world.rng.sample(kinds, len(kinds))
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(3.0, 9.0))
        box = leader_of(world)
        # Each once, then any: on every day all of it comes about.
        what = steps.pop() if steps else world.rng.choice(kinds)
        if what == "hand over" and box is not None and box.node and box.node.leader:
            box.node.leader.deposed()
        elif what == "back at once" and box is not None:
            world.spawn(box.restart(world.rng.uniform(0.05, 0.9)))
        elif what == "all":
            for node in world.nodes:
                world.spawn(node.restart(world.rng.uniform(0.1, 8.0)))
        elif box is not None:
            # Its lease is over, or ended, and others stand: some of them end just then.
            world.spawn(box.restart(3.2))
            await asyncio.sleep(world.rng.uniform(2.5, 3.4))
            for node in world.rng.sample(world.nodes, 2):
                world.spawn(node.restart(world.rng.uniform(0.05, 0.5)))
        world.counts[what] += 1


def _forbid_reuse(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """An attempt that starts again, or a rental's name that asks for something else."""
    attempts: set[tuple[str, int]] = set()
    rentals: dict[str, bytes | None] = {}
    handle = Cloud.handle

    def seen(event: Event) -> None:
        if event.kind == "on":
            attempt = event.data["item"], event.data["attempt"]
            if attempt in attempts:
                world.breaches.append(f"reused: attempt {attempt}")
            attempts.add(attempt)

    def rented(self: Cloud, method: str, target: str, body: bytes | None, now: float) -> Reply:
        if method == "POST" and target == "/hosts":
            name = orjson.loads(body or b"{}")["rental"]
            world.counts["rentals"] += name not in rentals
            if rentals.setdefault(name, body) != body:
                world.breaches.append(f"reused: rental {name}")
        return handle(self, method, target, body, now)

    world.history.listeners.append(seen)
    monkeypatch.setattr(Cloud, "handle", rented)


@pytest.mark.parametrize("seed", range(240, 244))
def test_nothing_of_an_earlier_process_is_taken_for_the_new_one_s(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def dance(world: World) -> None:
        _forbid_reuse(world, monkeypatch)
        await leadership_changes(world)

    world = simulate(seed, dance, nodes=(3, 5)[seed % 2])
    assert min(world.counts[w] for w in ("hand over", "back at once", "all")) > 0, world.counts
    assert world.checker.starts > 10 and world.counts["rentals"] > 3


def test_tokens_that_are_not_raised_break_a_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new leader with its predecessor's token takes late reports for its own, and reuses
    attempts and rental names."""
    begin = Node._begin_term

    def with_the_old_token(self: Node, token: Token) -> None:
        begin(self, Token(1))

    async def dance(world: World) -> None:
        with pytest.MonkeyPatch.context() as patch:
            _forbid_reuse(world, patch)
            await leadership_changes(world)

    monkeypatch.setattr(Node, "_begin_term", with_the_old_token)
    assert any("reused" in b for b in collect_breaches(range(240, 242), dance))


# -- a command or its answer is held up for seconds, and the machine then goes on -----------


async def delayed_commands(world: World) -> None:
    """Commands reach machines late: the way there is cut, or they hang meanwhile."""
    while world.now() < BUSY_S + 20.0:
        await asyncio.sleep(world.rng.uniform(0.5, 2.0))
        box, names = leader_of(world), list(world.cloud.workers)
        if box is None or not names:
            continue
        for name in world.rng.sample(names, min(3, len(names))):
            seconds = world.rng.uniform(1.0, 9.0)
            source = f"{box.name}#{box.incarnation}"
            what = world.rng.choice(["there", "back", "hang"])
            if what == "hang":
                with world.cloud.workers[name].modify() as model:
                    model.hang(world.now(), seconds)
            else:
                ends = (source, name) if what == "there" else (name, source)
                world.spawn(world.network.cut_for(*ends, "hold", seconds, one_way=True))


def _count_late_starts(monkeypatch: pytest.MonkeyPatch, met: Counter[str]) -> None:
    """Count starts that were carried out after the leader had given the call up."""
    handle = WorkerAgent.handle

    async def timed(
        self: WorkerAgent, method: str, target: str, body: bytes | None, source: str
    ) -> Reply:
        arrived = asyncio.get_running_loop().time()
        before = set(self.worker.tasks)
        answer = await handle(self, method, target, body, source)
        took = asyncio.get_running_loop().time() - arrived
        if target == "/orders" and took > 2.0 and set(self.worker.tasks) - before:
            met["started late"] += 1
        return answer

    monkeypatch.setattr(WorkerAgent, "handle", timed)


@pytest.mark.parametrize("seed", range(250, 253))
def test_a_start_that_is_held_up_stays_on_the_books(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    met: Counter[str] = Counter()
    _count_late_starts(monkeypatch, met)
    world = simulate(seed, delayed_commands)
    assert met["started late"] > 0 and world.checker.starts > 20


def withdraw_unanswered_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    call = Delivery._call

    async def given_up(self: Delivery, host: Host) -> bool:
        done = await call(self, host)
        if not done:
            for run in list(host.runs.values()):
                if run.unanswered_starts and not run.reported:
                    run.unanswered_starts, run.in_report_response = 0, False
                    self.ledger.withdraw(run)
        return done

    monkeypatch.setattr(Delivery, "_call", given_up)


def test_a_start_given_up_with_its_call_breaks_a_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    """No answer taken for not carried out: the task is placed elsewhere as well."""
    withdraw_unanswered_starts(monkeypatch)
    assert any(
        "ran_twice" in b or "quota" in b
        for b in collect_breaches(range(250, 258), delayed_commands)
    )


# -- jobs of two or three tasks end far apart across a change of leader ---------------------


class StaggeredEnds(World):
    """Jobs of two or three tasks, the last of which runs for a long time."""

    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        if job["shape"] != "standing":
            job |= {"shape": "batch", "units": self.rng.choice([2, 3]), "vcpus": 1.0,
                    "flavours": None, "snapshot_s": 0.0, "real_s": 2.0}  # fmt: skip
        return job


async def staggered_ends(world: World) -> None:
    """The first task ends by itself, the others run on; the leader ends in between."""

    def seen(event: Event) -> None:
        if event.kind == "on" and event.data["item"] in world.jobs.completed_tasks:
            world.counts["again"] += 1

    world.history.listeners.append(seen)
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(6.0, 12.0))
        early = {
            task.task_id
            for agent in world.cloud.workers.values()
            for task in agent.worker.tasks.values()
            if task.exit_reason == "done"
        }
        box = leader_of(world)
        if box is not None:
            world.counts["early ends at a change"] += len(early)
            world.spawn(box.restart(world.rng.choice([0.3, 4.0])))


def _stagger_task_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Task 0 of a job ends after 2 s, each further one 25 s later."""
    run = Worker._run

    def spread_out(self: Worker, task: Task, facts: JobFacts) -> None:
        number = int(task.task_id.rpartition("/")[2])
        if facts.real_s is not None:
            facts = facts._replace(real_s=2.0 + 25.0 * number)
        run(self, task, facts)

    monkeypatch.setattr(Worker, "_run", spread_out)


@pytest.mark.parametrize("seed", range(260, 263))
def test_an_early_end_outlives_its_leader(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.test_rules.World", StaggeredEnds)
    _stagger_task_ends(monkeypatch)
    world = simulate(seed, staggered_ends)
    assert world.counts["early ends at a change"] > 3
    assert sum(phase == "done" for phase in world.final_phases.values()) > 3
    assert world.counts["again"] == 0


def test_an_early_end_is_lost_without_its_report(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.test_rules.World", StaggeredEnds)
    _stagger_task_ends(monkeypatch)
    monkeypatch.setattr(Ledger, "_may_forget", lambda self, run: True)
    assert sum(simulate(seed, staggered_ends).counts["again"] for seed in range(260, 263)) > 0


# -- an old report arrives after newer ones ------------------------------------------------


async def late_reports(world: World) -> None:
    """Copies of earlier sessions and attempts as well, to this leader and to the next."""
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
def test_an_old_report_does_not_speak_of_the_present(seed: int) -> None:
    world = simulate(seed, late_reports, nodes=(3, 5)[seed % 2])
    assert world.counts["copies"] > 50 and world.checker.starts > 20


def test_an_old_report_taken_for_new_breaks_a_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    ingest = Ledger.ingest

    def whichever(
        self: Ledger, report: Report, now: MonotonicTime, direct: bool = False
    ) -> ReportOutcome:
        host = self.hosts.get(report.host)
        if host is not None:
            host.expired_session = Session(0)
            if report.session >= host.session:
                host.sequence = Sequence(0)
            host.newest_report = (
                Session(0),
                Sequence(0),
            )  # nor is it dropped before it is looked at
        return ingest(self, report, now, direct)

    monkeypatch.setattr(Ledger, "ingest", whichever)
    assert any(
        "ran_twice" in b or "quota" in b
        for b in collect_breaches(range(270, 276), late_reports)
    )


# -- reports that can't be -----------------------------------------------------------------


async def invalid_reports(world: World) -> None:
    """Malformed, of an impossible session, of a token that no leader has taken."""
    await asyncio.sleep(25.0)
    box = leader_of(world)
    assert box is not None and box.node is not None and box.node.leader is not None
    leader, name = box.node.leader, next(iter(world.cloud.workers))
    good = world.cloud.workers[name].worker.report()
    before = dict(world.state.store.rows)
    for bad in (
        b"x", b"[]", b"{}", orjson.dumps(good | {"tenure": 0}),
        orjson.dumps(good | {"tenure": -1}), orjson.dumps(good | {"tally": 1.5}),
        orjson.dumps(good | {"units": [{"item": "x/0", "try": 1, "phase": "running"}]}),
        orjson.dumps(good | {"units": [{"item": "job-1/0", "try": 1, "phase": "flying"}]}),
    ):  # fmt: skip
        world.counts[str(box.node._report(bad).status)] += 1
    for _ in range(50):
        world.counts[str(box.node._report(orjson.dumps(good | {"baton": 2**40})).status)] += 1
    world.counts["changed"] = sum(
        before[key] != row for key, row in world.state.store.rows.items()
    )
    await asyncio.sleep(10.0)
    world.counts["still leads"] = box.node is not None and box.node.leader is leader


def test_reports_that_can_t_be_change_nothing_and_end_no_term() -> None:
    met = simulate(290, invalid_reports).counts
    assert met["400"] == 8 and met["503"] == 50
    assert met["still leads"] and not met["changed"]


async def garbage_responses(world: World) -> None:
    """Workers' answers to direct calls, and peers' messages, are garbage now and then."""
    garbage = [b"", b"[]", b"{", b'{"running":[]}', b'{"age_s":"x"}', b'{"host":1,"units":{}}']
    world.spawn(crashes(world))
    while True:
        await asyncio.sleep(0.5)
        names = [*world.cloud.workers, *(box.name for box in world.nodes)]
        for name in names:
            serve = world.network.services.get(name)
            if serve is None or getattr(serve, "spoilt", False):
                continue

            async def spoilt(
                method: str, target: str, body: bytes | None, source: str, serve: Any = serve
            ) -> ServiceResponse:
                answer = await serve(method, target, body, source)
                asked = target.startswith(("/peer/", "/orders", "/status"))
                if asked and world.rng.random() < 0.2:
                    world.counts["garbage"] += 1
                    return 200, world.rng.choice(garbage), 0.0
                return answer

            spoilt.spoilt = True  # type: ignore[attr-defined]
            world.network.services[name] = spoilt


def test_answers_that_can_t_be_read_end_nothing() -> None:
    world = simulate(291, garbage_responses)
    assert world.counts["garbage"] > 20 and world.checker.starts > 20


# -- drawn at random ---------------------------------------------------------------------

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
    async def some(world: World) -> None:
        for faults in world.rng.sample(combinations, world.rng.randint(2, max_faults)):
            world.spawn(faults(world))

    return some


@pytest.mark.parametrize("seed", range(280, 286))
def test_rules_hold_when_meetings_meet(seed: int) -> None:
    assert (
        simulate(
            seed, random_faults(3, FAULT_COMBINATIONS), nodes=(3, 5, 7)[seed % 3]
        ).checker.starts
        > 5
    )


def soak(combinations: list[Faults]) -> None:
    """Outside CI: python -m tests.test_further_meetings FIRST NUMBER (or test_meetings)."""
    first, number = (int(word) for word in sys.argv[1:3])
    for day in range(first, first + number):
        try:
            starts = simulate(
                day, random_faults(4, combinations), nodes=(3, 5, 7)[day % 3]
            ).checker.starts
            print(day, "no rule broken", starts, flush=True)
        except RuleBroken as broken:
            print(day, broken, flush=True)


if __name__ == "__main__":
    soak(FAULT_COMBINATIONS)
