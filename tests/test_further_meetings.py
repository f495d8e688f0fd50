"""What real machines showed: the later meetings of ``docs/meetings.md``, each brought about.

As in ``test_meetings.py``: every test asserts that its meeting came about, and a twin takes the
safeguard out and sees a rule break, or what it guards get worse.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable
from dataclasses import replace
from typing import Any

import orjson
import pytest

from dunehold.bookkeeping import records
from dunehold.bookkeeping.hosts import Host, ReportOutcome, Run
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.unreconciled import UnreconciledHosts
from dunehold.bookkeeping.view import View
from dunehold.coordination.election.lease_renewal import LeaseRenewal
from dunehold.coordination.node import Node
from dunehold.coordination.persistence.sync import ViewSync
from dunehold.coordination.term.leader import Leader
from dunehold.coordination.users.job_api import JobApi
from dunehold.emulator.agents.looks import CloseLooks, OddRequests
from dunehold.emulator.agents.users import Users
from dunehold.emulator.history import Event
from dunehold.emulator.model.cloud import Boots
from dunehold.protocol import users as user_messages
from dunehold.protocol.state import Change, RequestPriority, StateClient, Txn, TxnResult
from dunehold.protocol.workers import Report
from dunehold.settings import Settings
from dunehold.transport.http import Request, Response
from dunehold.types import (
    Duration,
    JobId,
    JobPhase,
    MonotonicTime,
    Revision,
    Sequence,
    Session,
    WallTime,
)
from tests import world as world_module
from tests.test_awaits import JOB
from tests.test_meetings import (
    MEETINGS,
    Faults,
    LongTasks,
    broken_days,
    cancel_through,
    drawn,
    give_up_with_the_call,
    leader_of,
    soak,
)
from tests.test_rules import BUSY_S, play
from tests.world import Answer, World


async def new_leader(world: World, token: int, patience_s: float = 20.0) -> bool:
    """Wait until somebody leads with a later token than that."""
    for _ in range(int(patience_s / 0.05)):
        box = leader_of(world)
        if box is not None and box.node and box.node.leader and box.node.leader.token > token:
            return True
        await asyncio.sleep(0.05)
    return False


def token_of(world: World) -> int:
    box = leader_of(world)
    return box.node.leader.token if box is not None and box.node and box.node.leader else 0


async def change_leader(world: World, back_s: float | None = None) -> int:
    """The leader ends, or only gives way; its token."""
    box, token = leader_of(world), token_of(world)
    if box is not None and box.node is not None and box.node.leader is not None:
        if back_s is None:
            box.node.leader.deposed()
        else:
            world.spawn(box.restart(back_s))
    return token


# -- users ask at all nodes within milliseconds after whatever they were told ----------------


class OneNode:
    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name

    async def ask(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Answer:
        return await self.world.network.ask("users", self.name, method, path, body, timeout_s)


def closely(world: World, cancels: float) -> CloseLooks:
    at = [
        Users(OneNode(world, box.name), world.history, world.rng, final=world.users.final)
        for box in world.nodes
    ]
    looks = CloseLooks(
        world.users, at, world.rng, world.jobs.rows.__getitem__, cancels, world.met
    )
    world.history.listeners.append(looks.seen)
    return looks


async def close_looks(world: World) -> None:
    world.given_s = 0.4
    closely(world, 0.2)


@pytest.mark.parametrize("seed", range(400, 403))
def test_no_node_says_anything_older_than_what_a_user_was_told(seed: int) -> None:
    met = play(seed, close_looks, nodes=(3, 5)[seed % 2]).met
    assert min(met[f"looks after {s}"] for s in ("accepted", "done", "cancelled")) > 20, met
    assert met["cancelled at once"] > 2


def test_a_proof_of_a_moment_ago_is_older_than_the_answer_of_another_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    barrier = ViewSync.barrier

    async def lately(self: ViewSync, urgent: bool = False) -> None:
        if urgent or asyncio.get_running_loop().time() - self.proved_at > 0.5:
            await barrier(self, urgent)

    monkeypatch.setattr(ViewSync, "barrier", lately)
    broken = broken_days(range(400, 403), close_looks)
    assert any("went_back" in b or "forgotten" in b for b in broken)


# -- a transaction is carried out at once and only its answer is lost ------------------------


async def lost_answers(world: World) -> None:
    closely(world, 0.2)
    world.state.slow = {"n0": 0.15}  # one node hears later of everything than the others
    world.state.mute_share = 0.2
    await asyncio.sleep(30.0)
    await change_leader(world, 2.0)
    await asyncio.sleep(30.0)
    world.state.mute_share = 0.0


@pytest.mark.parametrize("seed", range(410, 413))
def test_a_lost_answer_takes_nothing_back_that_others_read(seed: int) -> None:
    world = play(seed, lost_answers, nodes=(3, 5)[seed % 2])
    assert world.state.unheard > 10 and world.met["looks after accepted"] > 20
    assert world.checker.starts > 10


class Unguarded:
    """Transactions of users' own keys without the condition on them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        txn = StateClient.txn

        async def unguarded(
            self: StateClient, txn_: Txn, priority: int, pre_acquired: bool = False
        ) -> TxnResult:
            for key in [k for k in txn_.guards if "/jobs/" in k]:
                del txn_.guards[key]
            return await txn(self, txn_, priority, pre_acquired)

        monkeypatch.setattr(StateClient, "txn", unguarded)


# -- a cancellation, a question or a repetition meets the end of the last task ---------------


async def at_the_end(world: World) -> None:
    """No other trouble: whatever it is, it comes within milliseconds of the end."""
    looks = closely(world, 0.0)

    def ended(event: Event) -> None:
        uid = event.data.get("item", "").rpartition("/")[0]
        job = world.checker.jobs.get(uid)
        if event.kind != "completed" or job is None or job.cancel_asked:
            return
        if len(job.completed) < job.row["units"]:
            return
        what = world.rng.choice(["cancel", "ask", "again"])
        world.met[what] += 1
        if what == "cancel":
            world.spawn(_soon(world, looks.cancel(uid)))
        elif what == "ask":
            for users in looks.at:
                world.spawn(_soon(world, users.poll(uid)))
        else:
            for users in looks.at:
                world.spawn(_soon(world, users.again(world.jobs.rows[uid])))

    world.history.listeners.append(ended)


async def _soon(world: World, what: Awaitable[Any]) -> None:
    await asyncio.sleep(world.rng.choice([0.0, 0.02, 0.1, 0.3]) * world.rng.random())
    await what


@pytest.mark.parametrize("seed", range(420, 423))
def test_what_meets_the_end_of_the_last_task_gets_one_answer(seed: int) -> None:
    met = play(seed, at_the_end, nodes=(3, 5)[seed % 2]).met
    assert min(met["cancel"], met["ask"], met["again"]) > 2, met


def test_without_the_job_s_version_an_end_is_taken_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    Unguarded(monkeypatch)
    assert any("went_back" in b for b in broken_days(range(420, 426), at_the_end))


# -- odd requests ---------------------------------------------------------------------------


async def odd_requests(world: World) -> None:
    asking = OddRequests(world.users, world.rng, world.jobs.rows.__getitem__)
    world.met["odd"] = 0
    world.waited = asking  # type: ignore[assignment]  # read by the test
    world.spawn(world.state.refuse("n1", 12.0))
    while world.now() < BUSY_S + 20.0:
        await asyncio.sleep(world.rng.uniform(0.05, 0.5))
        await asking.once()
        if 30.0 < world.now() < 31.0:
            world.spawn(world.state.outage(8.0))


@pytest.mark.parametrize("seed", range(430, 432))
def test_odd_requests_get_the_answers_of_the_protocol(seed: int) -> None:
    """What is refused is refused at every node; what is known stays known, however it is
    described when it is sent again; a field that is missing is one that counts."""
    asking: Any = play(seed, odd_requests).waited
    allowed = {
        "known": {200}, "over": {200}, "no machine fits": {422}, "unknown team": {422},
        "a field is missing": {400}, "no object": {400}, "no number": {400},
    }  # fmt: skip
    told: dict[str, Counter[int]] = {}
    for (odd, status), number in asking.answers.items():
        told.setdefault(odd, Counter())[status] += number
    assert told.keys() == allowed.keys()
    for odd, answers in told.items():
        assert answers.keys() <= allowed[odd] | {0, 503}, (odd, answers)
        assert sum(answers[status] for status in allowed[odd]) > 3, (odd, answers)


def test_a_refusal_without_a_proof_forgets_a_job(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that has not heard of a job yet took its repetition for a new submission."""

    async def at_once(self: JobApi, job: JobId | None, status: int, reason: str) -> Response:
        return Response(status, user_messages.encode_error(reason))

    monkeypatch.setattr(JobApi, "_refuse", at_once)

    async def odd(world: World) -> None:
        """Again and again, right after the acceptance, at all nodes, otherwise described."""

        def seen(event: Event) -> None:
            if event.kind == "accepted":
                row = world.jobs.rows[event.data["uid"]]
                for box in world.nodes:
                    users_ = Users(OneNode(world, box.name), world.history, world.rng)
                    world.spawn(users_.again(row | {"vcpus": 1e6}))

        world.state.slow = {"n1": 0.2}
        world.history.listeners.append(seen)

    assert any("forgotten" in b for b in broken_days(range(430, 433), odd))
    monkeypatch.undo()
    assert not broken_days(range(430, 433), odd)


# -- every team at its limit, jobs cancelled on machines that hang or are cut, a new leader --


class AtLimits(World):
    """Little room for each team, and more work than that."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.limits = {"blue": 8.0, "red": 8.0, "guest": 0.0}
        self.checker.limits = {t: (most or None, None) for t, most in self.limits.items()}

    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        if job["shape"] != "standing":
            job |= {"shape": "batch", "units": 4, "vcpus": 2.0, "flavours": None,
                    "real_s": self.rng.uniform(10.0, 40.0)}  # fmt: skip
        return job


async def at_limits(world: World) -> None:
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(14.0, 20.0))
        box = leader_of(world)
        if box is None:
            continue
        busy = [n for n, a in world.cloud.workers.items() if a.worker.tasks]
        use = world.checker._use
        world.met["at the limit"] += sum(
            use.get(team, [0.0])[0] >= 0.75 * most
            for team, most in world.limits.items()
            if most
        )
        for name in world.rng.sample(busy, len(busy) * 2 // 3):
            seconds = world.rng.uniform(3.0, 30.0)
            if world.rng.random() < 0.5:
                with world.cloud.workers[name].touched() as model:
                    model.hang(world.now(), seconds)
            else:
                for node in world.nodes:
                    for source in (node.name, f"{node.name}#{node.life}"):
                        world.spawn(world.network.for_a_while(name, source, "hold", seconds))
        world.met["cancelled"] += await cancel_through(
            world, [n for n in world.nodes if n.node is not None], 6
        )
        for _ in range(world.rng.choice([1, 2])):
            await asyncio.sleep(world.rng.uniform(0.1, 3.0))
            token = await change_leader(world, world.rng.choice([None, 0.3, 4.0]))
            world.met["changes"] += await new_leader(world, token)


@pytest.mark.parametrize("seed", range(440, 444))
def test_no_limit_is_overshot_by_what_silent_machines_still_hold(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", AtLimits)
    world = play(seed, at_limits, nodes=(3, 5)[seed % 2])
    assert world.met["at the limit"] > 0 and world.met["cancelled"] > 3, world.met
    assert world.met["changes"] > 1
    # Nor does room never come back: the checker saw nobody left waiting, and work went on.
    assert world.checker.starts > 20


def test_cancelled_tasks_taken_for_gone_overshoot_a_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """As if a stop that was sent were a stop that was carried out."""
    end = Leader._stop_all_attempts

    def gone(self: Leader, job: JobId) -> None:
        runs = [
            r
            for t in self.ledger.task_zones_by_job.get(job, ())
            for r in self.ledger.runs_by_task[t]
        ]
        end(self, job)
        for run in runs:
            if run.id in self.ledger.hosts[run.host].runs:
                self.ledger._remove(self.ledger.hosts[run.host], run)

    monkeypatch.setattr("tests.test_rules.World", AtLimits)
    monkeypatch.setattr(Leader, "_stop_all_attempts", gone)
    assert any("quota" in b for b in broken_days(range(440, 446), at_limits))


# -- jobs are cancelled in the seconds in which one controller's work changes hands ----------


async def hands_over(world: World) -> None:
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(7.0, 12.0))
        token = await change_leader(world, world.rng.choice([None, 0.3, 4.0]))
        for _ in range(4):
            nodes = [n for n in world.nodes if n.node is not None]
            if nodes:
                world.met["cancelled"] += await cancel_through(world, nodes, 2)
            await asyncio.sleep(world.rng.uniform(0.0, 0.8))
        world.met["changes"] += await new_leader(world, token)


@pytest.mark.parametrize("seed", range(450, 453))
def test_what_is_cancelled_as_work_changes_hands_ends(seed: int) -> None:
    world = play(seed, hands_over, nodes=(3, 5)[seed % 2])
    assert world.met["cancelled"] > 5 and world.met["changes"] > 3, world.met


def test_a_new_leader_that_does_not_end_the_cancelled_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    unwanted = Ledger._unwanted

    def wanted(self: Ledger, run: Run) -> bool:
        record = self.view.jobs.get(run.id.task.job)
        return not (record is not None and record.phase is JobPhase.CANCELLED) and unwanted(
            self, run
        )

    monkeypatch.setattr(Ledger, "_unwanted", wanted)
    monkeypatch.setattr(Leader, "_stop_all_attempts", lambda self, job: None)
    assert any("ran_cancelled" in b for b in broken_days(range(450, 454), hands_over))


# -- machines up within two seconds get work at once, writes lag, and the leader ends --------


async def quick_machines(world: World) -> None:
    world.cloud.cloud.boots = Boots(at_once=1.0)
    world.state.late_share = 0.2
    up: dict[str, float] = {}

    def seen(event: Event) -> None:
        if event.kind == "machine" and event.data["what"] == "up":
            up[event.data["host"]] = event.at
        if event.kind == "on" and event.at - up.get(event.data["host"], -99.0) < 6.0:
            world.met["work at once"] += 1

    world.history.listeners.append(seen)
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(4.0, 9.0))
        await change_leader(world, world.rng.choice([0.3, 4.0]))
        for name in list(world.cloud.workers):
            if world.rng.random() < 0.3:
                world.cloud.remove(name, failed=True)
    world.state.late_share = 0.0


@pytest.mark.parametrize("seed", range(460, 463))
def test_new_machines_get_work_at_once_and_the_leader_ends(seed: int) -> None:
    world = play(seed, quick_machines, nodes=(3, 5)[seed % 2])
    assert world.met["work at once"] > 3 and world.state.late.number > 5, world.met


def test_a_start_that_is_commanded_before_it_is_in_the_log_runs_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plan_start = Ledger.plan_start

    def unlogged(self: Ledger, *args: Any) -> Any:
        run = plan_start(self, *args)
        if isinstance(run, Run):
            run.start_logged = True
        return run

    monkeypatch.setattr(Ledger, "plan_start", unlogged)
    broken = broken_days(range(460, 468), quick_machines)
    assert any("ran_twice" in b or "quota" in b for b in broken)


# -- an old report reaches every controller as a new leader begins, or once it has acted -----


async def reports_for_the_next(world: World) -> None:
    while world.now() < BUSY_S:
        for agent in world.cloud.workers.values():
            agent.late_share, agent.keeps = 0.6, True
        await asyncio.sleep(world.rng.uniform(5.0, 10.0))
        token = await change_leader(world, world.rng.choice([0.3, 4.0]))
        if not await new_leader(world, token):
            continue
        await asyncio.sleep(world.rng.choice([0.0, 0.02, 1.0, 3.0]))
        for agent in world.cloud.workers.values():
            world.met["copies"] += len(agent.kept)
            agent.let_go()


@pytest.mark.parametrize("seed", range(470, 473))
def test_a_report_kept_for_the_next_leader_does_not_speak_of_the_present(seed: int) -> None:
    world = play(seed, reports_for_the_next, nodes=(3, 5)[seed % 2])
    assert world.met["copies"] > 20 and world.checker.starts > 20


def test_a_report_with_an_older_token_taken_for_new_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ingest = Ledger.ingest

    def whatever(
        self: Ledger, report: Report, now: MonotonicTime, direct: bool = False
    ) -> ReportOutcome:
        host = self.hosts.get(report.host)
        if host is not None and report.token < self.token:
            host.expired_session, host.sequence = Session(0), Sequence(0)
            host.session = min(host.session, report.session)
        return ingest(self, replace(report, token=self.token), now, direct)

    monkeypatch.setattr(Ledger, "ingest", whatever)
    monkeypatch.setattr(Leader, "_handle_higher_token", lambda self, host, token: None)
    broken = broken_days(range(470, 476), reports_for_the_next)
    assert any("ran_twice" in b or "quota" in b for b in broken)


# -- machines that reach no controller, while direct commands reach them ---------------------


async def mute_machines(world: World) -> None:
    def seen(event: Event) -> None:
        agent = world.cloud.workers.get(event.data.get("host", ""))
        if event.kind == "on" and agent is not None and agent.mute_until > event.at:
            since = agent.mute_until - mute[event.data["host"]]
            world.met["begun while mute"] += event.at > since + 12.0

    mute: dict[str, float] = {}
    world.history.listeners.append(seen)
    for _ in range(3):
        await asyncio.sleep(12.0)
        for name, agent in world.cloud.workers.items():
            if world.rng.random() < 0.5:
                mute[name] = 30.0
                agent.mute_until = world.now() + 30.0
        await asyncio.sleep(world.rng.uniform(0.0, 4.0))
        if world.rng.random() < 0.7:
            await change_leader(world, world.rng.choice([0.3, 4.0]))
        await asyncio.sleep(14.0)
    world.met["unsaid"] = sum(a.unsaid for a in world.cloud.workers.values())


@pytest.mark.parametrize("seed", range(480, 483))
def test_a_mute_machine_gets_no_work_until_it_reports(seed: int) -> None:
    """From 12 s on: a silence of 6 s, what was commanded before, and its image."""
    world = play(seed, mute_machines, nodes=(3, 5)[seed % 2])
    assert world.met["unsaid"] > 10 and world.checker.starts > 20
    assert world.met["begun while mute"] == 0


def test_a_mute_machine_taken_for_a_good_one_loses_work_again_and_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ingest = Ledger.ingest

    def hears(
        self: Ledger, report: Report, now: MonotonicTime, direct: bool = False
    ) -> ReportOutcome:
        outcome = ingest(self, report, now, direct)
        host: Host | None = self.hosts.get(report.host)
        if host is not None and outcome.accepted:
            host.is_reporting, host.reported_at = True, now
        return outcome

    monkeypatch.setattr(Ledger, "ingest", hears)
    begun = [play(seed, mute_machines).met["begun while mute"] for seed in range(480, 486)]
    assert sum(begun) > 0


# -- jobs bound to one zone, arrays too, lose machines ---------------------------------------


class Bound(World):
    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        if job["shape"] != "standing":
            job |= {"shape": "batch", "units": 4, "spread": False, "flavours": None}
            job |= {"vcpus": 2.0, "real_s": 15.0}
            job |= self.rng.choice([{"together": True, "hall": None}, {"hall": "north"}])
        return job


async def bound_jobs(world: World) -> None:
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(5.0, 9.0))
        hall = world.rng.choice(world_module.ZONES)
        for name, agent in list(world.cloud.workers.items()):
            if agent.worker.machine.hall == hall and world.rng.random() < 0.7:
                tasks = agent.worker.tasks.values()
                world.met["lost"] += sum(t.on_machine for t in tasks)
                world.cloud.remove(name, failed=True)
        if world.rng.random() < 0.4:
            await change_leader(world, world.rng.choice([0.3, 4.0]))


@pytest.mark.parametrize("seed", range(490, 493))
def test_jobs_bound_to_a_zone_lose_machines(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.test_rules.World", Bound)
    world = play(seed, bound_jobs, nodes=(3, 5)[seed % 2])
    assert world.met["lost"] > 5 and world.checker.starts > 20
    assert sum(phase == "done" for phase in world.told.values()) > 5


def test_without_knowing_where_the_others_are_a_zone_is_missed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.test_rules.World", Bound)
    monkeypatch.setattr(Ledger, "job_zones", lambda self, job: {})
    assert any("wrong_place" in b for b in broken_days(range(490, 492), bound_jobs))


# -- ten changes of leader in two minutes, also inside an outage -----------------------------


async def ten_changes(world: World) -> None:
    first = token_of(world)
    world.spawn(_outage_at(world, world.rng.uniform(30.0, 50.0)))
    while world.now() < 110.0:
        await asyncio.sleep(world.rng.uniform(4.0, 7.0))
        await change_leader(world, world.rng.choice([None, 0.1, 0.3, 4.0]))
        if world.state.store.down:
            world.met["inside an outage"] += 1
    await new_leader(world, 0)
    world.met["changes"] = token_of(world) - first


async def _outage_at(world: World, at: float) -> None:
    await asyncio.sleep(at)
    await world.state.outage(14.0)


@pytest.mark.parametrize("seed", range(500, 503))
def test_ten_changes_of_leader_in_two_minutes(seed: int) -> None:
    world = play(seed, ten_changes, nodes=(3, 5)[seed % 2])
    assert world.met["changes"] >= 10 and world.met["inside an outage"] > 0, world.met
    assert world.checker.starts > 20


def test_a_leader_that_reads_no_log_of_starts_runs_tasks_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(UnreconciledHosts, "may_run", lambda self, task: False)
    assert any("ran_twice" in b for b in broken_days(range(500, 506), ten_changes))


# -- all controllers are away for longer than a lease ----------------------------------------


async def all_away(world: World) -> None:
    for _ in range(2):
        await asyncio.sleep(world.rng.uniform(18.0, 24.0))
        on = sum(
            t.on_machine for a in world.cloud.workers.values() for t in a.worker.tasks.values()
        )
        before, away = world.killed, world.rng.uniform(1.1, 1.8) * world_module.LEASE_S
        for box in world.nodes:
            world.spawn(box.restart(away + world.rng.uniform(0.0, 2.0)))
        await asyncio.sleep(away)
        world.met["on machines"] += on
        world.met["killed"] += world.killed - before


@pytest.mark.parametrize("seed", range(510, 513))
def test_all_controllers_are_away_for_longer_than_a_lease(seed: int) -> None:
    """Whatever ran is over by itself, and is begun again; nothing that was told is lost."""
    world = play(seed, all_away, nodes=(3, 5)[seed % 2])
    assert world.met["killed"] > 2, world.met
    assert sum(phase == "done" for phase in world.told.values()) > 5


# -- more work than room, urgent and not, over slow links ------------------------------------


class Crowded(World):
    """Three times the work, and a way of half a second to every machine."""

    async def arrivals(self, until: float) -> None:
        for first in (0, 100_000, 200_000):
            self.spawn(self._stream(first, until))
        pass_ = self.network.pass_

        async def slowly(a: str, b: str) -> None:
            if a.startswith("m-") or b.startswith("m-"):
                await asyncio.sleep(self.rng.uniform(0.2, 0.9))
            await pass_(a, b)

        self.network.pass_ = slowly  # type: ignore[method-assign]

    async def _stream(self, number: int, until: float) -> None:
        while self.now() < until:
            number += 1
            job = self.make_job(number)
            self.jobs.upload(job)
            drawn = self.rng.uniform(1.0, 30.0) if self.rng.random() < 0.2 else None
            self.spawn(self.users.live(job, self._cancel_after(job, drawn)))
            await asyncio.sleep(self.rng.expovariate(0.4))


async def crowded(world: World) -> None:
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(15.0, 25.0))
        box = leader_of(world)
        if box is not None and box.node is not None and box.node.leader is not None:
            world.met["waiting"] += int(box.node.leader._waiting_cpus())
        await change_leader(world, world.rng.choice([None, 4.0]))


@pytest.mark.parametrize("seed", range(520, 522))
def test_more_work_than_room_over_slow_links(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", Crowded)
    world = play(seed, crowded)
    assert world.met["waiting"] > 50 and world.checker.starts > 40, world.met


def test_over_slow_links_a_start_given_up_with_its_call_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    give_up_with_the_call(monkeypatch)
    monkeypatch.setattr("dunehold.coordination.term.delivery.TIMEOUT_S", 1.0)
    monkeypatch.setattr("tests.test_rules.World", Crowded)
    broken = broken_days(range(520, 524), crowded)
    assert any("ran_twice" in b or "quota" in b for b in broken)


# -- one-task jobs come four a second, a quarter of them cancelled ---------------------------


class Swarm(World):
    """Little of the state service's rate, as where many controllers share it."""

    def settings(self, index: int) -> Settings:
        few = super().settings(index)
        own_keys = replace(few.operator, pack_submissions=0)  # a change each: no way round it
        return replace(few, state_write_rps=6.0, operator=own_keys)

    async def arrivals(self, until: float) -> None:
        number = 0
        while self.now() < until:
            number += 1
            job = super().make_job(number) | {
                "shape": "batch", "units": 1, "vcpus": 0.25, "memory_gb": 0.2, "flavours": None,
                "real_s": self.rng.uniform(1.0, 6.0), "together": False, "spread": False,
            }  # fmt: skip
            self.jobs.upload(job)
            self.spawn(self._live(job))
            await asyncio.sleep(self.rng.expovariate(4.0))

    async def _live(self, job: dict[str, Any]) -> None:
        uid, cancelled = job["uid"], self.rng.random() < 0.25
        self.spawn(self.users.live(job, None))
        while cancelled and uid not in self.users.accepted:
            await asyncio.sleep(0.1)
        if not cancelled:
            return
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        self.history.add("cancel", uid=uid)
        asked = self.now()
        while (answer := await self.users.cancel(uid)).status != 200:
            await asyncio.sleep(max(1.0, answer.retry_after_s))
        self.met["cancellations"] += 1
        self.waited += self.now() - asked


async def swarm(world: World) -> None:
    await asyncio.sleep(40.0)
    await change_leader(world, 4.0)


def test_a_cancellation_waits_behind_no_submission(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.test_rules.World", Swarm)
    worlds = [play(seed, swarm) for seed in range(530, 532)]
    asked = sum(world.met["cancellations"] for world in worlds)
    assert asked > 100
    first = sum(world.waited for world in worlds) / asked
    monkeypatch.setattr(RequestPriority, "CANCEL", RequestPriority.BULK)
    worlds = [play(seed, swarm) for seed in range(530, 532)]
    asked = sum(world.met["cancellations"] for world in worlds)
    assert first < 0.6 * sum(world.waited for world in worlds) / asked
    assert first < 1.0


# -- a barrier that finds the listing done by somebody else ----------------------------------


class Listed:
    """A state service whose listing and changes each take a while; keys come meanwhile."""

    def __init__(self) -> None:
        self.rows: list[str] = []
        self.request_limiter = self

    async def acquire(self, priority: int) -> None: ...

    async def entries(self, prefix: str, priority: int) -> tuple[list[Any], int]:
        await asyncio.sleep(0.1)
        return [], 0

    async def changes(
        self, prefix: str, after: int, hold_s: float, priority: int, pre_acquired: bool = False
    ) -> tuple[list[Any], int]:
        if hold_s:
            await asyncio.sleep(1000.0)
        now = list(enumerate(self.rows, 1))
        await asyncio.sleep(0.1)
        value = orjson.loads(orjson.dumps({"phase": "done", "at": 1.0, "tasks": 1}))
        return [
            Change(f"dunehold/jobs/{uid}", value, Revision(n), False)
            for n, uid in now
            if n > after
        ], len(now)


def test_a_barrier_needs_a_proof_that_was_sent_after_its_question() -> None:
    """A node that starts: the watch lists, and while the answer of its last question is on its
    way a job is accepted elsewhere. Who asked here after that was told 404."""

    async def start() -> bool:
        state: Any = Listed()
        view = View()
        sync = ViewSync(state, view, lambda jobs: None, Duration(0.0), Duration(0.1))
        watch = asyncio.create_task(sync.watch())
        await asyncio.sleep(0.15)  # its listing is done, its changes are under way
        state.rows.append("job-000001")
        await sync.barrier()
        watch.cancel()
        return "job-000001" in view.jobs

    assert asyncio.run(start())


def test_nothing_is_awaited_between_the_proof_and_the_answer() -> None:
    """The counts of running tasks were asked for in between, and took up to a second; what
    another node had told the user by then was taken back."""

    spec = user_messages.decode_job_object(JOB)

    async def ask() -> bytes:
        view, sync = View(loaded=True), Any

        def put(phase: JobPhase, revision: int) -> None:
            value = records.encode_job_record(spec, phase, WallTime(1.0))
            key = records.job_key(spec.id)
            change = Change(key, orjson.loads(orjson.dumps(value)), Revision(revision), False)
            view.apply([change], Revision(revision))

        class Proved:
            def failing(self) -> bool:
                return False

            async def barrier(self, urgent: bool = False) -> None:
                await asyncio.sleep(0.01)

        async def running(job: JobId) -> int:
            await asyncio.sleep(0.05)
            put(JobPhase.CANCELLED, 2)  # confirmed by another node, as the watch tells
            return 1

        put(JobPhase.ACTIVE, 1)
        sync = Proved()
        nothing: Any = None
        intake = JobApi(
            nothing,
            nothing,
            view,
            sync,
            lambda: {},
            running,
            lambda: 1.0,
            nothing,  # type: ignore[arg-type]
        )
        answer = await intake.handle(Request("GET", f"/v1/jobs/{spec.id}", {}, b""))
        assert answer is not None
        return answer.body

    assert b"cancelled" in asyncio.run(ask())


# -- the state service answers slowly, then refuses the leader, then everybody ---------------


async def slow_then_gone(world: World) -> None:
    """Users cancel and ask all the while; it is out for longer than ``cancel_s``."""
    closely(world, 0.1)
    await asyncio.sleep(20.0)
    world.state.delay_s = 0.4
    before = world.met["looks after accepted"]
    await asyncio.sleep(10.0)
    world.met["looks meanwhile"] = world.met["looks after accepted"] - before
    nodes = [n for n in world.nodes if n.node is not None]
    box = leader_of(world)
    if box is not None:
        world.spawn(world.state.refuse(box.name, 14.0))
        nodes = [n for n in nodes if n is not box]
    world.state.delay_s = 0.15  # within the lease of the leader: no other leads yet
    world.met["cancelled"] += await cancel_through(world, nodes, 6)
    world.state.delay_s = 0.0
    await asyncio.sleep(world.rng.uniform(0.1, 0.4))
    await world.state.outage(world_module.CANCEL_S + world.rng.uniform(2.0, 14.0))


@pytest.mark.parametrize("seed", range(550, 553))
def test_a_slow_state_service_that_goes_away_keeps_nothing_cancelled(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    met = play(seed, slow_then_gone, nodes=(3, 5)[seed % 2]).met
    assert met["cancelled"] > 1 and met["looks meanwhile"] > 3, met


def test_who_feeds_on_through_a_slow_state_service_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    monkeypatch.setattr(LeaseRenewal, "allowed", lambda self, relaying=False: True)
    monkeypatch.setattr(Node, "_on_cut_off_from_state", lambda self: None)
    assert any("ran_cancelled" in b for b in broken_days(range(550, 554), slow_then_gone))


# -- a leader ends while machines with long tasks can't be reached ---------------------------


async def long_tasks_unreached(world: World) -> None:
    """Half of the machines are cut from every controller, and within a second the leader ends:
    the next one can't ask them, and what runs there goes on for most of a lease."""
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(14.0, 20.0))
        names = [n for n, a in world.cloud.workers.items() if a.worker.tasks]
        for name in world.rng.sample(names, (len(names) + 1) // 2):
            tasks = world.cloud.workers[name].worker.tasks.values()
            world.met["long tasks"] += sum(t.on_machine for t in tasks)
            seconds = world.rng.uniform(4.0, 25.0)
            for node in world.nodes:
                for life in range(6):
                    source = node.name if not life else f"{node.name}#{life}"
                    world.spawn(world.network.for_a_while(name, source, "hold", seconds))
        await asyncio.sleep(world.rng.uniform(0.0, 1.0))
        token = await change_leader(world, world.rng.choice([0.3, 4.0]))
        world.met["changes"] += await new_leader(world, token)


@pytest.mark.parametrize("seed", range(560, 563))
def test_a_leader_ends_while_machines_with_long_tasks_are_unreached(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    world = play(seed, long_tasks_unreached, nodes=(3, 5)[seed % 2])
    assert world.met["long tasks"] > 3 and world.met["changes"] > 1, world.met


def test_long_tasks_that_the_log_alone_knows_of_run_twice_without_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    monkeypatch.setattr(UnreconciledHosts, "may_run", lambda self, task: False)
    assert any("ran_twice" in b for b in broken_days(range(560, 564), long_tasks_unreached))


# -- drawn at random ------------------------------------------------------------------------

FURTHER: list[Faults] = [
    close_looks, lost_answers, at_the_end, odd_requests, hands_over, quick_machines,
    reports_for_the_next, mute_machines, ten_changes, all_away, slow_then_gone,
    long_tasks_unreached,
]  # fmt: skip


@pytest.mark.parametrize("seed", range(540, 546))
def test_rules_hold_when_further_meetings_meet(seed: int) -> None:
    assert play(seed, drawn(3, FURTHER), nodes=(3, 5, 7)[seed % 3]).checker.starts > 5


if __name__ == "__main__":
    soak(FURTHER + MEETINGS)
