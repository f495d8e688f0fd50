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
from dunehold.emulator.agents.probing_users import ConsistencyProbes, UnusualRequests
from dunehold.emulator.agents.users import Users
from dunehold.emulator.history import Event
from dunehold.emulator.model.cloud import BootProfile
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
from tests.test_dependencies import JOB
from tests.test_meetings import (
    FAULT_COMBINATIONS,
    Faults,
    LongTasks,
    cancel_through,
    collect_breaches,
    leader_of,
    random_faults,
    soak,
    withdraw_unanswered_starts,
)
from tests.test_rules import BUSY_S, simulate
from tests.world import ServiceResponse, World


async def wait_for_new_leader(world: World, token: int, timeout_s: float = 20.0) -> bool:
    """Wait until somebody leads with a later token than that."""
    for _ in range(int(timeout_s / 0.05)):
        box = leader_of(world)
        if box is not None and box.node and box.node.leader and box.node.leader.token > token:
            return True
        await asyncio.sleep(0.05)
    return False


def leader_token(world: World) -> int:
    box = leader_of(world)
    return box.node.leader.token if box is not None and box.node and box.node.leader else 0


async def change_leader(world: World, restart_after_s: float | None = None) -> int:
    """The leader ends, or only gives way; its token."""
    box, token = leader_of(world), leader_token(world)
    if box is not None and box.node is not None and box.node.leader is not None:
        if restart_after_s is None:
            box.node.leader.deposed()
        else:
            world.spawn(box.restart(restart_after_s))
    return token


# -- users ask at all nodes within milliseconds after whatever they were told ----------------


class SingleNodeClient:
    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name

    async def request_with_retry_after(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> ServiceResponse:
        return await self.world.network.request_with_retry_after(
            "users", self.name, method, path, body, timeout_s
        )


def add_consistency_probes(world: World, cancel_share: float) -> ConsistencyProbes:
    at = [
        Users(
            SingleNodeClient(world, box.name),
            world.history,
            world.rng,
            final_phases=world.users.final_phases,
        )
        for box in world.nodes
    ]
    looks = ConsistencyProbes(
        world.users, at, world.rng, world.jobs.rows.__getitem__, cancel_share, world.counts
    )
    world.history.listeners.append(looks.on_event)
    return looks


async def consistency_probes(world: World) -> None:
    world.max_staleness_s = 0.4
    add_consistency_probes(world, 0.2)


@pytest.mark.parametrize("seed", range(400, 403))
def test_no_node_says_anything_older_than_what_a_user_was_told(seed: int) -> None:
    met = simulate(seed, consistency_probes, nodes=(3, 5)[seed % 2]).counts
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
    broken = collect_breaches(range(400, 403), consistency_probes)
    assert any("went_back" in b or "forgotten" in b for b in broken)


# -- a transaction is carried out at once and only its answer is lost ------------------------


async def lost_responses(world: World) -> None:
    add_consistency_probes(world, 0.2)
    world.state.delay_s_by_node = {
        "n0": 0.15
    }  # one node hears later of everything than the others
    world.state.lost_response_share = 0.2
    await asyncio.sleep(30.0)
    await change_leader(world, 2.0)
    await asyncio.sleep(30.0)
    world.state.lost_response_share = 0.0


@pytest.mark.parametrize("seed", range(410, 413))
def test_a_lost_answer_takes_nothing_back_that_others_read(seed: int) -> None:
    world = simulate(seed, lost_responses, nodes=(3, 5)[seed % 2])
    assert world.state.lost_responses > 10 and world.counts["looks after accepted"] > 20
    assert world.checker.starts > 10


class UnguardedJobWrites:
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


async def requests_at_job_end(world: World) -> None:
    """No other trouble: whatever it is, it comes within milliseconds of the end."""
    looks = add_consistency_probes(world, 0.0)

    def ended(event: Event) -> None:
        uid = event.data.get("item", "").rpartition("/")[0]
        job = world.checker.jobs.get(uid)
        if event.kind != "completed" or job is None or job.cancel_requested:
            return
        if len(job.completed) < job.row["units"]:
            return
        what = world.rng.choice(["cancel", "ask", "again"])
        world.counts[what] += 1
        if what == "cancel":
            world.spawn(_shortly_after(world, looks.cancel(uid)))
        elif what == "ask":
            for users in looks.users_by_node:
                world.spawn(_shortly_after(world, users.poll(uid)))
        else:
            for users in looks.users_by_node:
                world.spawn(_shortly_after(world, users.resubmit(world.jobs.rows[uid])))

    world.history.listeners.append(ended)


async def _shortly_after(world: World, what: Awaitable[Any]) -> None:
    await asyncio.sleep(world.rng.choice([0.0, 0.02, 0.1, 0.3]) * world.rng.random())
    await what


@pytest.mark.parametrize("seed", range(420, 423))
def test_what_meets_the_end_of_the_last_task_gets_one_answer(seed: int) -> None:
    met = simulate(seed, requests_at_job_end, nodes=(3, 5)[seed % 2]).counts
    assert min(met["cancel"], met["ask"], met["again"]) > 2, met


def test_without_the_job_s_version_an_end_is_taken_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    UnguardedJobWrites(monkeypatch)
    assert any("went_back" in b for b in collect_breaches(range(420, 426), requests_at_job_end))


# -- odd requests ---------------------------------------------------------------------------


async def unusual_requests(world: World) -> None:
    asking = UnusualRequests(world.users, world.rng, world.jobs.rows.__getitem__)
    world.counts["odd"] = 0
    world.measured = asking  # type: ignore[assignment]  # read by the test
    world.spawn(world.state.refuse_node("n1", 12.0))
    while world.now() < BUSY_S + 20.0:
        await asyncio.sleep(world.rng.uniform(0.05, 0.5))
        await asking.send_requests()
        if 30.0 < world.now() < 31.0:
            world.spawn(world.state.outage(8.0))


@pytest.mark.parametrize("seed", range(430, 432))
def test_odd_requests_get_the_answers_of_the_protocol(seed: int) -> None:
    """What is refused is refused at every node; what is known stays known, however it is
    described when it is sent again; a field that is missing is one that counts."""
    asking: Any = simulate(seed, unusual_requests).measured
    allowed = {
        "known": {200}, "over": {200}, "no machine fits": {422}, "unknown team": {422},
        "a field is missing": {400}, "no object": {400}, "no number": {400},
    }  # fmt: skip
    told: dict[str, Counter[int]] = {}
    for (odd, status), number in asking.response_counts.items():
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
                    users_ = Users(SingleNodeClient(world, box.name), world.history, world.rng)
                    world.spawn(users_.resubmit(row | {"vcpus": 1e6}))

        world.state.delay_s_by_node = {"n1": 0.2}
        world.history.listeners.append(seen)

    assert any("forgotten" in b for b in collect_breaches(range(430, 433), odd))
    monkeypatch.undo()
    assert not collect_breaches(range(430, 433), odd)


# -- every team at its limit, jobs cancelled on machines that hang or are cut, a new leader --


class TightLimits(World):
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


async def teams_at_limits(world: World) -> None:
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(14.0, 20.0))
        box = leader_of(world)
        if box is None:
            continue
        busy = [n for n, a in world.cloud.workers.items() if a.worker.tasks]
        use = world.checker._team_usage
        world.counts["at the limit"] += sum(
            use.get(team, [0.0])[0] >= 0.75 * most
            for team, most in world.limits.items()
            if most
        )
        for name in world.rng.sample(busy, len(busy) * 2 // 3):
            seconds = world.rng.uniform(3.0, 30.0)
            if world.rng.random() < 0.5:
                with world.cloud.workers[name].modify() as model:
                    model.hang(world.now(), seconds)
            else:
                for node in world.nodes:
                    for source in (node.name, f"{node.name}#{node.incarnation}"):
                        world.spawn(world.network.cut_for(name, source, "hold", seconds))
        world.counts["cancelled"] += await cancel_through(
            world, [n for n in world.nodes if n.node is not None], 6
        )
        for _ in range(world.rng.choice([1, 2])):
            await asyncio.sleep(world.rng.uniform(0.1, 3.0))
            token = await change_leader(world, world.rng.choice([None, 0.3, 4.0]))
            world.counts["changes"] += await wait_for_new_leader(world, token)


@pytest.mark.parametrize("seed", range(440, 444))
def test_no_limit_is_overshot_by_what_silent_machines_still_hold(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", TightLimits)
    world = simulate(seed, teams_at_limits, nodes=(3, 5)[seed % 2])
    assert world.counts["at the limit"] > 0 and world.counts["cancelled"] > 3, world.counts
    assert world.counts["changes"] > 1
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

    monkeypatch.setattr("tests.test_rules.World", TightLimits)
    monkeypatch.setattr(Leader, "_stop_all_attempts", gone)
    assert any("quota" in b for b in collect_breaches(range(440, 446), teams_at_limits))


# -- jobs are cancelled in the seconds in which one controller's work changes hands ----------


async def cancellations_during_handover(world: World) -> None:
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(7.0, 12.0))
        token = await change_leader(world, world.rng.choice([None, 0.3, 4.0]))
        for _ in range(4):
            nodes = [n for n in world.nodes if n.node is not None]
            if nodes:
                world.counts["cancelled"] += await cancel_through(world, nodes, 2)
            await asyncio.sleep(world.rng.uniform(0.0, 0.8))
        world.counts["changes"] += await wait_for_new_leader(world, token)


@pytest.mark.parametrize("seed", range(450, 453))
def test_what_is_cancelled_as_work_changes_hands_ends(seed: int) -> None:
    world = simulate(seed, cancellations_during_handover, nodes=(3, 5)[seed % 2])
    assert world.counts["cancelled"] > 5 and world.counts["changes"] > 3, world.counts


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
    assert any(
        "ran_cancelled" in b
        for b in collect_breaches(range(450, 454), cancellations_during_handover)
    )


# -- machines up within two seconds get work at once, writes lag, and the leader ends --------


async def instant_boots(world: World) -> None:
    world.cloud.cloud.boot_profile = BootProfile(immediate_share=1.0)
    world.state.delayed_txn_share = 0.2
    up: dict[str, float] = {}

    def seen(event: Event) -> None:
        if event.kind == "machine" and event.data["what"] == "up":
            up[event.data["host"]] = event.at
        if event.kind == "on" and event.at - up.get(event.data["host"], -99.0) < 6.0:
            world.counts["work at once"] += 1

    world.history.listeners.append(seen)
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(4.0, 9.0))
        await change_leader(world, world.rng.choice([0.3, 4.0]))
        for name in list(world.cloud.workers):
            if world.rng.random() < 0.3:
                world.cloud.remove_host(name, failed=True)
    world.state.delayed_txn_share = 0.0


@pytest.mark.parametrize("seed", range(460, 463))
def test_new_machines_get_work_at_once_and_the_leader_ends(seed: int) -> None:
    world = simulate(seed, instant_boots, nodes=(3, 5)[seed % 2])
    assert world.counts["work at once"] > 3 and world.state.delayed_txns.executed > 5, (
        world.counts
    )


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
    broken = collect_breaches(range(460, 468), instant_boots)
    assert any("ran_twice" in b or "quota" in b for b in broken)


# -- an old report reaches every controller as a new leader begins, or once it has acted -----


async def old_reports_to_new_leader(world: World) -> None:
    while world.now() < BUSY_S:
        for agent in world.cloud.workers.values():
            agent.duplicate_share, agent.hold_copies = 0.6, True
        await asyncio.sleep(world.rng.uniform(5.0, 10.0))
        token = await change_leader(world, world.rng.choice([0.3, 4.0]))
        if not await wait_for_new_leader(world, token):
            continue
        await asyncio.sleep(world.rng.choice([0.0, 0.02, 1.0, 3.0]))
        for agent in world.cloud.workers.values():
            world.counts["copies"] += len(agent.held_copies)
            agent.release_copies()


@pytest.mark.parametrize("seed", range(470, 473))
def test_a_report_kept_for_the_next_leader_does_not_speak_of_the_present(seed: int) -> None:
    world = simulate(seed, old_reports_to_new_leader, nodes=(3, 5)[seed % 2])
    assert world.counts["copies"] > 20 and world.checker.starts > 20


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
    broken = collect_breaches(range(470, 476), old_reports_to_new_leader)
    assert any("ran_twice" in b or "quota" in b for b in broken)


# -- machines that reach no controller, while direct commands reach them ---------------------


async def machines_with_lost_reports(world: World) -> None:
    def seen(event: Event) -> None:
        agent = world.cloud.workers.get(event.data.get("host", ""))
        if event.kind == "on" and agent is not None and agent.reports_lost_until > event.at:
            since = agent.reports_lost_until - mute[event.data["host"]]
            world.counts["begun while mute"] += event.at > since + 12.0

    mute: dict[str, float] = {}
    world.history.listeners.append(seen)
    for _ in range(3):
        await asyncio.sleep(12.0)
        for name, agent in world.cloud.workers.items():
            if world.rng.random() < 0.5:
                mute[name] = 30.0
                agent.reports_lost_until = world.now() + 30.0
        await asyncio.sleep(world.rng.uniform(0.0, 4.0))
        if world.rng.random() < 0.7:
            await change_leader(world, world.rng.choice([0.3, 4.0]))
        await asyncio.sleep(14.0)
    world.counts["unsaid"] = sum(a.lost_reports for a in world.cloud.workers.values())


@pytest.mark.parametrize("seed", range(480, 483))
def test_a_mute_machine_gets_no_work_until_it_reports(seed: int) -> None:
    """From 12 s on: a silence of 6 s, what was commanded before, and its image."""
    world = simulate(seed, machines_with_lost_reports, nodes=(3, 5)[seed % 2])
    assert world.counts["unsaid"] > 10 and world.checker.starts > 20
    assert world.counts["begun while mute"] == 0


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
    begun = [
        simulate(seed, machines_with_lost_reports).counts["begun while mute"]
        for seed in range(480, 486)
    ]
    assert sum(begun) > 0


# -- jobs bound to one zone, arrays too, lose machines ---------------------------------------


class ZoneBoundJobs(World):
    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        if job["shape"] != "standing":
            job |= {"shape": "batch", "units": 4, "spread": False, "flavours": None}
            job |= {"vcpus": 2.0, "real_s": 15.0}
            job |= self.rng.choice([{"together": True, "hall": None}, {"hall": "north"}])
        return job


async def machine_losses_per_zone(world: World) -> None:
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(5.0, 9.0))
        hall = world.rng.choice(world_module.ZONES)
        for name, agent in list(world.cloud.workers.items()):
            if agent.worker.machine.zone == hall and world.rng.random() < 0.7:
                tasks = agent.worker.tasks.values()
                world.counts["lost"] += sum(t.on_machine for t in tasks)
                world.cloud.remove_host(name, failed=True)
        if world.rng.random() < 0.4:
            await change_leader(world, world.rng.choice([0.3, 4.0]))


@pytest.mark.parametrize("seed", range(490, 493))
def test_jobs_bound_to_a_zone_lose_machines(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.test_rules.World", ZoneBoundJobs)
    world = simulate(seed, machine_losses_per_zone, nodes=(3, 5)[seed % 2])
    assert world.counts["lost"] > 5 and world.checker.starts > 20
    assert sum(phase == "done" for phase in world.final_phases.values()) > 5


def test_without_knowing_where_the_others_are_a_zone_is_missed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.test_rules.World", ZoneBoundJobs)
    monkeypatch.setattr(Ledger, "job_zones", lambda self, job: {})
    assert any(
        "wrong_place" in b for b in collect_breaches(range(490, 492), machine_losses_per_zone)
    )


# -- ten changes of leader in two minutes, also inside an outage -----------------------------


async def frequent_leader_changes(world: World) -> None:
    first = leader_token(world)
    world.spawn(_outage_at(world, world.rng.uniform(30.0, 50.0)))
    while world.now() < 110.0:
        await asyncio.sleep(world.rng.uniform(4.0, 7.0))
        await change_leader(world, world.rng.choice([None, 0.1, 0.3, 4.0]))
        if world.state.store.down:
            world.counts["inside an outage"] += 1
    await wait_for_new_leader(world, 0)
    world.counts["changes"] = leader_token(world) - first


async def _outage_at(world: World, at: float) -> None:
    await asyncio.sleep(at)
    await world.state.outage(14.0)


@pytest.mark.parametrize("seed", range(500, 503))
def test_ten_changes_of_leader_in_two_minutes(seed: int) -> None:
    world = simulate(seed, frequent_leader_changes, nodes=(3, 5)[seed % 2])
    assert world.counts["changes"] >= 10 and world.counts["inside an outage"] > 0, world.counts
    assert world.checker.starts > 20


def test_a_leader_that_reads_no_log_of_starts_runs_tasks_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(UnreconciledHosts, "may_run", lambda self, task: False)
    assert any(
        "ran_twice" in b for b in collect_breaches(range(500, 506), frequent_leader_changes)
    )


# -- all controllers are away for longer than a lease ----------------------------------------


async def all_controllers_down(world: World) -> None:
    for _ in range(2):
        await asyncio.sleep(world.rng.uniform(18.0, 24.0))
        on = sum(
            t.on_machine for a in world.cloud.workers.values() for t in a.worker.tasks.values()
        )
        before, away = world.killed_tasks, world.rng.uniform(1.1, 1.8) * world_module.LEASE_S
        for box in world.nodes:
            world.spawn(box.restart(away + world.rng.uniform(0.0, 2.0)))
        await asyncio.sleep(away)
        world.counts["on machines"] += on
        world.counts["killed"] += world.killed_tasks - before


@pytest.mark.parametrize("seed", range(510, 513))
def test_all_controllers_are_away_for_longer_than_a_lease(seed: int) -> None:
    """Whatever ran is over by itself, and is begun again; nothing that was told is lost."""
    world = simulate(seed, all_controllers_down, nodes=(3, 5)[seed % 2])
    assert world.counts["killed"] > 2, world.counts
    assert sum(phase == "done" for phase in world.final_phases.values()) > 5


# -- more work than room, urgent and not, over slow links ------------------------------------


class OverloadOnSlowLinks(World):
    """Three times the work, and a way of half a second to every machine."""

    async def arrivals(self, until: float) -> None:
        for first in (0, 100_000, 200_000):
            self.spawn(self._stream(first, until))
        pass_ = self.network.deliver

        async def slowly(a: str, b: str) -> None:
            if a.startswith("m-") or b.startswith("m-"):
                await asyncio.sleep(self.rng.uniform(0.2, 0.9))
            await pass_(a, b)

        self.network.deliver = slowly  # type: ignore[method-assign]

    async def _stream(self, number: int, until: float) -> None:
        while self.now() < until:
            number += 1
            job = self.make_job(number)
            self.jobs.upload(job)
            drawn = self.rng.uniform(1.0, 30.0) if self.rng.random() < 0.2 else None
            self.spawn(self.users.run_job(job, self._cancel_after(job, drawn)))
            await asyncio.sleep(self.rng.expovariate(0.4))


async def measure_overload(world: World) -> None:
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(15.0, 25.0))
        box = leader_of(world)
        if box is not None and box.node is not None and box.node.leader is not None:
            world.counts["waiting"] += int(box.node.leader._waiting_cpus())
        await change_leader(world, world.rng.choice([None, 4.0]))


@pytest.mark.parametrize("seed", range(520, 522))
def test_more_work_than_room_over_slow_links(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", OverloadOnSlowLinks)
    world = simulate(seed, measure_overload)
    assert world.counts["waiting"] > 50 and world.checker.starts > 40, world.counts


def test_over_slow_links_a_start_given_up_with_its_call_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    withdraw_unanswered_starts(monkeypatch)
    monkeypatch.setattr("dunehold.coordination.term.delivery.TIMEOUT_S", 1.0)
    monkeypatch.setattr("tests.test_rules.World", OverloadOnSlowLinks)
    broken = collect_breaches(range(520, 524), measure_overload)
    assert any("ran_twice" in b or "quota" in b for b in broken)


# -- one-task jobs come four a second, a quarter of them cancelled ---------------------------


class ManySmallJobs(World):
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
        self.spawn(self.users.run_job(job, None))
        while cancelled and uid not in self.users.accepted:
            await asyncio.sleep(0.1)
        if not cancelled:
            return
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        self.history.add("cancel", uid=uid)
        asked = self.now()
        while (answer := await self.users.cancel(uid)).status != 200:
            await asyncio.sleep(max(1.0, answer.retry_after_s))
        self.counts["cancellations"] += 1
        self.waited += self.now() - asked


async def one_leader_change(world: World) -> None:
    await asyncio.sleep(40.0)
    await change_leader(world, 4.0)


def test_a_cancellation_waits_behind_no_submission(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.test_rules.World", ManySmallJobs)
    worlds = [simulate(seed, one_leader_change) for seed in range(530, 532)]
    asked = sum(world.counts["cancellations"] for world in worlds)
    assert asked > 100
    first = sum(world.measured for world in worlds) / asked
    monkeypatch.setattr(RequestPriority, "CANCEL", RequestPriority.BULK)
    worlds = [simulate(seed, one_leader_change) for seed in range(530, 532)]
    asked = sum(world.counts["cancellations"] for world in worlds)
    assert first < 0.6 * sum(world.measured for world in worlds) / asked
    assert first < 1.0


# -- a barrier that finds the listing done by somebody else ----------------------------------


class SlowStateClient:
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
        state: Any = SlowStateClient()
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


async def slow_then_unavailable(world: World) -> None:
    """Users cancel and ask all the while; it is out for longer than ``cancel_s``."""
    add_consistency_probes(world, 0.1)
    await asyncio.sleep(20.0)
    world.state.delay_s = 0.4
    before = world.counts["looks after accepted"]
    await asyncio.sleep(10.0)
    world.counts["looks meanwhile"] = world.counts["looks after accepted"] - before
    nodes = [n for n in world.nodes if n.node is not None]
    box = leader_of(world)
    if box is not None:
        world.spawn(world.state.refuse_node(box.name, 14.0))
        nodes = [n for n in nodes if n is not box]
    world.state.delay_s = 0.15  # within the lease of the leader: no other leads yet
    world.counts["cancelled"] += await cancel_through(world, nodes, 6)
    world.state.delay_s = 0.0
    await asyncio.sleep(world.rng.uniform(0.1, 0.4))
    await world.state.outage(world_module.CANCEL_S + world.rng.uniform(2.0, 14.0))


@pytest.mark.parametrize("seed", range(550, 553))
def test_a_slow_state_service_that_goes_away_keeps_nothing_cancelled(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    met = simulate(seed, slow_then_unavailable, nodes=(3, 5)[seed % 2]).counts
    assert met["cancelled"] > 1 and met["looks meanwhile"] > 3, met


def test_who_feeds_on_through_a_slow_state_service_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    monkeypatch.setattr(LeaseRenewal, "allowed", lambda self, relaying=False: True)
    monkeypatch.setattr(Node, "_on_cut_off_from_state", lambda self: None)
    assert any(
        "ran_cancelled" in b for b in collect_breaches(range(550, 554), slow_then_unavailable)
    )


# -- a leader ends while machines with long tasks can't be reached ---------------------------


async def unreachable_long_tasks(world: World) -> None:
    """Half of the machines are cut from every controller, and within a second the leader ends:
    the next one can't ask them, and what runs there goes on for most of a lease."""
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(14.0, 20.0))
        names = [n for n, a in world.cloud.workers.items() if a.worker.tasks]
        for name in world.rng.sample(names, (len(names) + 1) // 2):
            tasks = world.cloud.workers[name].worker.tasks.values()
            world.counts["long tasks"] += sum(t.on_machine for t in tasks)
            seconds = world.rng.uniform(4.0, 25.0)
            for node in world.nodes:
                for life in range(6):
                    source = node.name if not life else f"{node.name}#{life}"
                    world.spawn(world.network.cut_for(name, source, "hold", seconds))
        await asyncio.sleep(world.rng.uniform(0.0, 1.0))
        token = await change_leader(world, world.rng.choice([0.3, 4.0]))
        world.counts["changes"] += await wait_for_new_leader(world, token)


@pytest.mark.parametrize("seed", range(560, 563))
def test_a_leader_ends_while_machines_with_long_tasks_are_unreached(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    world = simulate(seed, unreachable_long_tasks, nodes=(3, 5)[seed % 2])
    assert world.counts["long tasks"] > 3 and world.counts["changes"] > 1, world.counts


def test_long_tasks_that_the_log_alone_knows_of_run_twice_without_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    monkeypatch.setattr(UnreconciledHosts, "may_run", lambda self, task: False)
    assert any(
        "ran_twice" in b for b in collect_breaches(range(560, 564), unreachable_long_tasks)
    )


# -- drawn at random ------------------------------------------------------------------------

FURTHER_COMBINATIONS: list[Faults] = [
    consistency_probes,
    lost_responses,
    requests_at_job_end,
    unusual_requests,
    cancellations_during_handover,
    instant_boots,
    old_reports_to_new_leader,
    machines_with_lost_reports,
    frequent_leader_changes,
    all_controllers_down,
    slow_then_unavailable,
    unreachable_long_tasks,
]


@pytest.mark.parametrize("seed", range(540, 546))
def test_rules_hold_when_further_meetings_meet(seed: int) -> None:
    assert (
        simulate(
            seed, random_faults(3, FURTHER_COMBINATIONS), nodes=(3, 5, 7)[seed % 3]
        ).checker.starts
        > 5
    )


if __name__ == "__main__":
    soak(FURTHER_COMBINATIONS + FAULT_COMBINATIONS)
