"""Further combinations of faults, which occurred on real machines.

Each section brings about one of the later combinations of ``docs/meetings.md``. As in
``test_fault_combinations.py``, a test asserts that the combination came about and that the
rules held. A second test patches the safeguard out and expects that a rule breaks or a result
gets worse.
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
from dunehold.bookkeeping.term_tokens import RESERVED_TOKENS
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
from tests.test_fault_combinations import (
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
    """Wait until a node leads with a higher token; return whether one did in time."""
    for _ in range(int(timeout_s / 0.05)):
        process = leader_of(world)
        if (
            process is not None
            and process.node
            and process.node.leader
            and process.node.leader.token > token
        ):
            return True
        await asyncio.sleep(0.05)
    return False


def leader_token(world: World) -> int:
    """Return the token of the current leader, 0 if there is none."""
    process = leader_of(world)
    return (
        process.node.leader.token
        if process is not None and process.node and process.node.leader
        else 0
    )


async def change_leader(world: World, restart_after_s: float | None = None) -> int:
    """Restart the leader or, without a delay, let it step down; return its token."""
    process, token = leader_of(world), leader_token(world)
    if process is not None and process.node is not None and process.node.leader is not None:
        if restart_after_s is None:
            process.node.leader.deposed()
        else:
            world.spawn(process.restart(restart_after_s))
    return token


# -- users ask all nodes within milliseconds after each answer -------------------------------


class SingleNodeClient:
    """A ServiceClient that reaches one node only."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name

    async def request_with_retry_after(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> ServiceResponse:
        return await self.world.network.request_with_retry_after(
            "users", self.name, method, path, body, timeout_s
        )


def add_consistency_probes(world: World, cancel_share: float) -> ConsistencyProbes:
    """Let users ask every node about a job right after they learn something new of it.

    ``cancel_share`` of the jobs are cancelled right after their acceptance.
    """
    users_by_node = [
        Users(
            SingleNodeClient(world, process.name),
            world.history,
            world.rng,
            final_phases=world.users.final_phases,
        )
        for process in world.nodes
    ]
    probes = ConsistencyProbes(
        world.users,
        users_by_node,
        world.rng,
        world.jobs.rows.__getitem__,
        cancel_share,
        world.counts,
    )
    world.history.listeners.append(probes.on_event)
    return probes


async def consistency_probes(world: World) -> None:
    """Add the probes and no other fault, and allow less staleness than under other faults."""
    world.max_staleness_s = 0.4
    add_consistency_probes(world, 0.2)


@pytest.mark.parametrize("seed", range(400, 403))
def test_no_answer_is_older_than_what_a_user_was_told_by_another_node(seed: int) -> None:
    observed = simulate(seed, consistency_probes, nodes=(3, 5)[seed % 2]).counts
    assert min(observed[f"looks after {s}"] for s in ("accepted", "done", "cancelled")) > 20, (
        observed
    )
    assert observed["cancelled at once"] > 2


def test_reusing_a_proof_of_the_last_half_second_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Such a proof can be older than what another node has told the user meanwhile."""
    barrier = ViewSync.barrier

    async def reuse_recent_proof(self: ViewSync, urgent: bool = False) -> None:
        if urgent or asyncio.get_running_loop().time() - self.proved_at > 0.5:
            await barrier(self, urgent)

    monkeypatch.setattr(ViewSync, "barrier", reuse_recent_proof)
    breaches = collect_breaches(range(400, 403), consistency_probes)
    assert any("went_back" in b or "forgotten" in b for b in breaches)


# -- a transaction is executed at once and only its response is lost -------------------------


async def lost_responses(world: World) -> None:
    """Lose a fifth of the transactions' responses for 60 s, with a change of leader halfway."""
    add_consistency_probes(world, 0.2)
    # One node learns of every change later than the others.
    world.state.delay_s_by_node = {"n0": 0.15}
    world.state.lost_response_share = 0.2
    await asyncio.sleep(30.0)
    await change_leader(world, 2.0)
    await asyncio.sleep(30.0)
    world.state.lost_response_share = 0.0


@pytest.mark.parametrize("seed", range(410, 413))
def test_a_write_whose_response_was_lost_is_never_taken_back(seed: int) -> None:
    """Guards against undoing a write that other nodes may already have told users of."""
    world = simulate(seed, lost_responses, nodes=(3, 5)[seed % 2])
    assert world.state.lost_responses > 10 and world.counts["looks after accepted"] > 20
    assert world.checker.starts > 10


class UnguardedJobWrites:
    """Plants a fault: transactions have no guards on the keys of jobs."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        txn = StateClient.txn

        async def unguarded(
            self: StateClient, txn_: Txn, priority: int, pre_acquired: bool = False
        ) -> TxnResult:
            for key in [k for k in txn_.guards if "/jobs/" in k]:
                del txn_.guards[key]
            return await txn(self, txn_, priority, pre_acquired)

        monkeypatch.setattr(StateClient, "txn", unguarded)


# -- a cancellation, a poll or a resubmission arrives as the last task ends ------------------


async def requests_at_job_end(world: World) -> None:
    """Cancel, poll or resubmit each job within 0.3 s of the end of its last task.

    There is no other fault.
    """
    probes = add_consistency_probes(world, 0.0)

    def on_event(event: Event) -> None:
        uid = event.data.get("item", "").rpartition("/")[0]
        job = world.checker.jobs.get(uid)
        if event.kind != "completed" or job is None or job.cancel_requested:
            return
        if len(job.completed) < job.row["units"]:
            return
        request = world.rng.choice(["cancel", "poll", "resubmit"])
        world.counts[request] += 1
        if request == "cancel":
            world.spawn(_after_short_delay(world, probes.cancel(uid)))
        elif request == "poll":
            for users in probes.users_by_node:
                world.spawn(_after_short_delay(world, users.poll(uid)))
        else:
            for users in probes.users_by_node:
                world.spawn(_after_short_delay(world, users.resubmit(world.jobs.rows[uid])))

    world.history.listeners.append(on_event)


async def _after_short_delay(world: World, work: Awaitable[Any]) -> None:
    await asyncio.sleep(world.rng.choice([0.0, 0.02, 0.1, 0.3]) * world.rng.random())
    await work


@pytest.mark.parametrize("seed", range(420, 423))
def test_requests_at_the_end_of_the_last_task_get_consistent_answers(seed: int) -> None:
    observed = simulate(seed, requests_at_job_end, nodes=(3, 5)[seed % 2]).counts
    assert min(observed["cancel"], observed["poll"], observed["resubmit"]) > 2, observed


def test_without_guards_on_a_job_s_version_its_end_is_taken_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Then both the cancellation and the completion of a job are accepted."""
    UnguardedJobWrites(monkeypatch)
    assert any("went_back" in b for b in collect_breaches(range(420, 426), requests_at_job_end))


# -- invalid and repeated requests ----------------------------------------------------------


async def unusual_requests(world: World) -> None:
    """Send invalid and repeated requests, while a node is refused and during a short outage."""
    requests = UnusualRequests(world.users, world.rng, world.jobs.rows.__getitem__)
    world.counts["odd"] = 0
    world.measured = requests  # type: ignore[assignment]  # the test reads the responses
    world.spawn(world.state.refuse_node("n1", 12.0))
    while world.now() < BUSY_S + 20.0:
        await asyncio.sleep(world.rng.uniform(0.05, 0.5))
        await requests.send_requests()
        if 30.0 < world.now() < 31.0:
            world.spawn(world.state.outage(8.0))


@pytest.mark.parametrize("seed", range(430, 432))
def test_invalid_and_repeated_requests_get_the_statuses_of_the_protocol(seed: int) -> None:
    """Every node refuses an invalid job, and accepts a known one whatever its new description.

    The field that is missing is always a required one.
    """
    requests: Any = simulate(seed, unusual_requests).measured
    allowed = {
        "known": {200}, "over": {200}, "no machine fits": {422}, "unknown team": {422},
        "a field is missing": {400}, "no object": {400}, "no number": {400},
    }  # fmt: skip
    counts_by_case: dict[str, Counter[int]] = {}
    for (case, status), number in requests.response_counts.items():
        counts_by_case.setdefault(case, Counter())[status] += number
    assert counts_by_case.keys() == allowed.keys()
    for case, counts in counts_by_case.items():
        assert counts.keys() <= allowed[case] | {0, 503}, (case, counts)
        assert sum(counts[status] for status in allowed[case]) > 3, (case, counts)


def test_refusing_a_job_without_a_proof_forgets_an_accepted_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against taking the resubmission of a job for a new, invalid submission.

    A node that has not learned of the acceptance yet would refuse it.
    """

    async def refuse_at_once(
        self: JobApi, job: JobId | None, status: int, reason: str
    ) -> Response:
        return Response(status, user_messages.encode_error(reason))

    monkeypatch.setattr(JobApi, "_refuse", refuse_at_once)

    async def invalid_resubmissions(world: World) -> None:
        """Resubmit each accepted job to all nodes, with a size that fits no machine."""

        def on_event(event: Event) -> None:
            if event.kind == "accepted":
                row = world.jobs.rows[event.data["uid"]]
                for process in world.nodes:
                    users = Users(
                        SingleNodeClient(world, process.name), world.history, world.rng
                    )
                    world.spawn(users.resubmit(row | {"vcpus": 1e6}))

        world.state.delay_s_by_node = {"n1": 0.2}
        world.history.listeners.append(on_event)

    assert any(
        "forgotten" in b for b in collect_breaches(range(430, 433), invalid_resubmissions)
    )
    monkeypatch.undo()
    assert not collect_breaches(range(430, 433), invalid_resubmissions)


# -- teams at their limits, jobs cancelled on silent machines, and a new leader --------------


class TightLimits(World):
    """Each team has a low limit and more work than the limit allows at once."""

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
    """Silence two thirds of the busy machines, cancel jobs and change the leader, three times.

    Machines are silenced by a hang or by a cut from all controllers. Counts the teams that use
    at least three quarters of their limit at that time.
    """
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(14.0, 20.0))
        process = leader_of(world)
        if process is None:
            continue
        busy = [n for n, a in world.cloud.workers.items() if a.worker.tasks]
        usage = world.checker._team_usage
        world.counts["at the limit"] += sum(
            usage.get(team, [0.0])[0] >= 0.75 * most
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
def test_tasks_on_silent_machines_count_against_their_team_s_limit(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", TightLimits)
    world = simulate(seed, teams_at_limits, nodes=(3, 5)[seed % 2])
    assert world.counts["at the limit"] > 0 and world.counts["cancelled"] > 3, world.counts
    assert world.counts["changes"] > 1
    # The room becomes free again: tasks still start, and the checker found no job left waiting.
    assert world.checker.starts > 20


def test_removing_cancelled_tasks_at_once_exceeds_a_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The patched leader takes a stop command that was sent for one that was executed."""
    stop_all = Leader._stop_all_attempts

    def stop_and_remove(self: Leader, job: JobId) -> None:
        runs = [
            r
            for t in self.ledger.occupancy.task_zones_by_job.get(job, ())
            for r in self.ledger.occupancy.runs_by_task[t]
        ]
        stop_all(self, job)
        for run in runs:
            if run.id in self.ledger.hosts[run.host].runs:
                self.ledger.occupancy.remove(self.ledger.hosts[run.host], run)

    monkeypatch.setattr("tests.test_rules.World", TightLimits)
    monkeypatch.setattr(Leader, "_stop_all_attempts", stop_and_remove)
    assert any("quota" in b for b in collect_breaches(range(440, 446), teams_at_limits))


# -- jobs are cancelled while the leader changes ---------------------------------------------


async def cancellations_during_handover(world: World) -> None:
    """Change the leader every few seconds, and cancel jobs in the seconds after each change."""
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
def test_tasks_that_are_cancelled_during_a_leader_change_end(seed: int) -> None:
    world = simulate(seed, cancellations_during_handover, nodes=(3, 5)[seed % 2])
    assert world.counts["cancelled"] > 5 and world.counts["changes"] > 3, world.counts


def test_a_leader_that_does_not_stop_cancelled_tasks_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    unwanted = Ledger._unwanted

    def unwanted_unless_cancelled(self: Ledger, run: Run) -> bool:
        record = self.view.jobs.get(run.id.task.job)
        return not (record is not None and record.phase is JobPhase.CANCELLED) and unwanted(
            self, run
        )

    monkeypatch.setattr(Ledger, "_unwanted", unwanted_unless_cancelled)
    monkeypatch.setattr(Leader, "_stop_all_attempts", lambda self, job: None)
    assert any(
        "ran_cancelled" in b
        for b in collect_breaches(range(450, 454), cancellations_during_handover)
    )


# -- machines boot within 2 s and get work at once, writes are delayed, and the leader ends --


async def instant_boots(world: World) -> None:
    """Let machines fail and new ones boot at once, delay writes, and restart the leader.

    Counts the tasks that start within 6 s after their machine has come up.
    """
    world.cloud.cloud.boot_profile = BootProfile(immediate_share=1.0)
    world.state.delayed_txn_share = 0.2
    up_at: dict[str, float] = {}

    def on_event(event: Event) -> None:
        if event.kind == "machine" and event.data["what"] == "up":
            up_at[event.data["host"]] = event.at
        if event.kind == "on" and event.at - up_at.get(event.data["host"], -99.0) < 6.0:
            world.counts["starts on new machines"] += 1

    world.history.listeners.append(on_event)
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(4.0, 9.0))
        await change_leader(world, world.rng.choice([0.3, 4.0]))
        for name in list(world.cloud.workers):
            if world.rng.random() < 0.3:
                world.cloud.remove_host(name, failed=True)
    world.state.delayed_txn_share = 0.0


@pytest.mark.parametrize("seed", range(460, 463))
def test_rules_hold_when_new_machines_get_work_while_the_leader_ends(seed: int) -> None:
    world = simulate(seed, instant_boots, nodes=(3, 5)[seed % 2])
    assert (
        world.counts["starts on new machines"] > 3 and world.state.delayed_txns.executed > 5
    ), world.counts


def test_commanding_a_start_before_it_is_in_the_start_log_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next leader doesn't learn of such a start from the log, and starts the task again."""
    plan_start = Ledger.plan_start

    def plan_as_logged(self: Ledger, *args: Any) -> Any:
        run = plan_start(self, *args)
        if isinstance(run, Run):
            run.start_logged = True
        return run

    monkeypatch.setattr(Ledger, "plan_start", plan_as_logged)
    breaches = collect_breaches(range(460, 468), instant_boots)
    assert any("ran_twice" in b or "quota" in b for b in breaches)


# -- old reports reach every controller when a new leader begins, or up to 3 s later ---------


async def old_reports_to_new_leader(world: World) -> None:
    """Keep copies of reports, change the leader, and send the copies to every controller."""
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
def test_rules_hold_when_a_new_leader_receives_old_reports(seed: int) -> None:
    world = simulate(seed, old_reports_to_new_leader, nodes=(3, 5)[seed % 2])
    assert world.counts["copies"] > 20 and world.checker.starts > 20


def test_accepting_reports_with_an_older_token_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The patched ledger takes a report to an earlier leader for one to this leader."""
    ingest = Ledger.ingest

    def ingest_any_token(
        self: Ledger, report: Report, now: MonotonicTime, direct: bool = False
    ) -> ReportOutcome:
        host = self.hosts.get(report.host)
        if host is not None and report.token < self.token:
            host.expired_session, host.sequence = Session(0), Sequence(0)
            host.session = min(host.session, report.session)
        return ingest(self, replace(report, token=self.token), now, direct)

    monkeypatch.setattr(Ledger, "ingest", ingest_any_token)
    monkeypatch.setattr(Leader, "_handle_higher_token", lambda self, host, token: None)
    breaches = collect_breaches(range(464, 482), old_reports_to_new_leader)
    assert any("ran_twice" in b or "quota" in b for b in breaches)


# -- machines whose reports are lost, while direct commands reach them -----------------------


async def machines_with_lost_reports(world: World) -> None:
    """Lose all reports of half of the machines for 30 s, and change the leader, three times.

    Counts the tasks that start on such a machine later than 12 s after its reports began to
    be lost.
    """

    def on_event(event: Event) -> None:
        agent = world.cloud.workers.get(event.data.get("host", ""))
        if event.kind == "on" and agent is not None and agent.reports_lost_until > event.at:
            since = agent.reports_lost_until - loss_s[event.data["host"]]
            world.counts["starts without reports"] += event.at > since + 12.0

    loss_s: dict[str, float] = {}  # machine -> how long its reports are lost
    world.history.listeners.append(on_event)
    for _ in range(3):
        await asyncio.sleep(12.0)
        for name, agent in world.cloud.workers.items():
            if world.rng.random() < 0.5:
                loss_s[name] = 30.0
                agent.reports_lost_until = world.now() + 30.0
        await asyncio.sleep(world.rng.uniform(0.0, 4.0))
        if world.rng.random() < 0.7:
            await change_leader(world, world.rng.choice([0.3, 4.0]))
        await asyncio.sleep(14.0)
    world.counts["lost reports"] = sum(a.lost_reports for a in world.cloud.workers.values())


@pytest.mark.parametrize("seed", range(480, 483))
def test_a_machine_whose_reports_are_lost_gets_no_work_until_it_reports(seed: int) -> None:
    """Nothing may start from 12 s of silence on.

    Before that the leader notices the silence (after 6 s), and starts that were commanded
    earlier still fetch their images.
    """
    world = simulate(seed, machines_with_lost_reports, nodes=(3, 5)[seed % 2])
    assert world.counts["lost reports"] > 10 and world.checker.starts > 20
    assert world.counts["starts without reports"] == 0


def test_taking_direct_responses_for_reports_starts_tasks_that_will_be_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A direct call renews no lease, so the tasks on such a machine end with its lease.

    The patched ledger counts the response to a direct call as a report.
    """
    ingest = Ledger.ingest

    def ingest_as_report(
        self: Ledger, report: Report, now: MonotonicTime, direct: bool = False
    ) -> ReportOutcome:
        outcome = ingest(self, report, now, direct)
        host: Host | None = self.hosts.get(report.host)
        if host is not None and outcome.accepted:
            host.is_reporting, host.reported_at = True, now
        return outcome

    monkeypatch.setattr(Ledger, "ingest", ingest_as_report)
    starts = [
        simulate(seed, machines_with_lost_reports).counts["starts without reports"]
        for seed in range(480, 486)
    ]
    assert sum(starts) > 0


# -- jobs bound to one zone, arrays included, lose machines ----------------------------------


class ZoneBoundJobs(World):
    """Jobs must run in one zone: in any one, or in the zone north."""

    def make_job(self, number: int) -> dict[str, Any]:
        job = super().make_job(number)
        if job["shape"] != "standing":
            job |= {"shape": "batch", "units": 4, "spread": False, "flavours": None}
            job |= {"vcpus": 2.0, "real_s": 15.0}
            job |= self.rng.choice([{"together": True, "hall": None}, {"hall": "north"}])
        return job


async def machine_losses_per_zone(world: World) -> None:
    """Let most machines of a random zone fail every few seconds; change the leader at times.

    Counts the tasks that are lost.
    """
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(5.0, 9.0))
        lost_zone = world.rng.choice(world_module.ZONES)
        for name, agent in list(world.cloud.workers.items()):
            if agent.worker.machine.zone == lost_zone and world.rng.random() < 0.7:
                tasks = agent.worker.tasks.values()
                world.counts["lost"] += sum(t.on_machine for t in tasks)
                world.cloud.remove_host(name, failed=True)
        if world.rng.random() < 0.4:
            await change_leader(world, world.rng.choice([0.3, 4.0]))


@pytest.mark.parametrize("seed", range(490, 493))
def test_rules_hold_when_jobs_bound_to_a_zone_lose_machines(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", ZoneBoundJobs)
    world = simulate(seed, machine_losses_per_zone, nodes=(3, 5)[seed % 2])
    assert world.counts["lost"] > 5 and world.checker.starts > 20
    assert sum(phase == "done" for phase in world.final_phases.values()) > 5


def test_ignoring_the_zones_of_a_job_s_other_tasks_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.test_rules.World", ZoneBoundJobs)
    monkeypatch.setattr(Ledger, "job_zones", lambda self, job: {})
    assert any(
        "wrong_place" in b for b in collect_breaches(range(490, 492), machine_losses_per_zone)
    )


# -- ten changes of leader in two minutes, also inside an outage -----------------------------


async def frequent_leader_changes(world: World) -> None:
    """Change the leader every 4 to 7 s, and let the state service fail for 14 s meanwhile.

    Counts the terms that began.
    """
    first = leader_token(world)
    world.spawn(_outage_at(world, world.rng.uniform(30.0, 50.0)))
    while world.now() < 110.0:
        await asyncio.sleep(world.rng.uniform(4.0, 7.0))
        await change_leader(world, world.rng.choice([None, 0.1, 0.3, 4.0]))
        if world.state.store.down:
            world.counts["inside an outage"] += 1
    await wait_for_new_leader(world, 0)
    world.counts["changes"] = (leader_token(world) - first) // RESERVED_TOKENS


async def _outage_at(world: World, at: float) -> None:
    await asyncio.sleep(at)
    await world.state.outage(14.0)


@pytest.mark.parametrize("seed", range(500, 503))
def test_rules_hold_during_ten_leader_changes_in_two_minutes(seed: int) -> None:
    world = simulate(seed, frequent_leader_changes, nodes=(3, 5)[seed % 2])
    assert world.counts["changes"] >= 10 and world.counts["inside an outage"] > 0, world.counts
    assert world.checker.starts > 20


def test_a_leader_that_ignores_the_start_log_runs_tasks_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(UnreconciledHosts, "may_run", lambda self, task: False)
    monkeypatch.setattr(UnreconciledHosts, "tasks_of", lambda self, job: ())
    assert any(
        "ran_twice" in b for b in collect_breaches(range(500, 506), frequent_leader_changes)
    )


# -- all controllers are down for longer than a worker's lease -------------------------------


async def all_controllers_down(world: World) -> None:
    """Crash all controllers for longer than a worker's lease, twice.

    Counts the tasks on machines before, and those that were killed by then.
    """
    for _ in range(2):
        await asyncio.sleep(world.rng.uniform(18.0, 24.0))
        task_count = sum(
            t.on_machine for a in world.cloud.workers.values() for t in a.worker.tasks.values()
        )
        before, down_s = world.killed_tasks, world.rng.uniform(1.1, 1.8) * world_module.LEASE_S
        for process in world.nodes:
            world.spawn(process.restart(down_s + world.rng.uniform(0.0, 2.0)))
        await asyncio.sleep(down_s)
        world.counts["on machines"] += task_count
        world.counts["killed"] += world.killed_tasks - before


@pytest.mark.parametrize("seed", range(510, 513))
def test_rules_hold_when_all_controllers_are_down_for_longer_than_a_lease(seed: int) -> None:
    """Workers kill their tasks by themselves, tasks start again, and no job is forgotten."""
    world = simulate(seed, all_controllers_down, nodes=(3, 5)[seed % 2])
    assert world.counts["killed"] > 2, world.counts
    assert sum(phase == "done" for phase in world.final_phases.values()) > 5


# -- more work than room, of all priorities, over slow links ---------------------------------


class OverloadOnSlowLinks(World):
    """Three times the usual work, and 0.2 to 0.9 s more latency from and to every machine."""

    async def arrivals(self, until: float) -> None:
        for first in (0, 100_000, 200_000):
            self.spawn(self._stream(first, until))
        original_deliver = self.network.deliver

        async def deliver_slowly(a: str, b: str) -> None:
            if a.startswith("m-") or b.startswith("m-"):
                await asyncio.sleep(self.rng.uniform(0.2, 0.9))
            await original_deliver(a, b)

        self.network.deliver = deliver_slowly  # type: ignore[method-assign]

    async def _stream(self, number: int, until: float) -> None:
        while self.now() < until:
            number += 1
            job = self.make_job(number)
            self.jobs.upload(job)
            drawn = self.rng.uniform(1.0, 30.0) if self.rng.random() < 0.2 else None
            self.spawn(self.users.run_job(job, self._cancel_after(job, drawn)))
            await asyncio.sleep(self.rng.expovariate(0.4))


async def measure_overload(world: World) -> None:
    """Add up the CPUs that are waited for, and change the leader, every 15 to 25 s."""
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(15.0, 25.0))
        process = leader_of(world)
        if process is not None and process.node is not None and process.node.leader is not None:
            world.counts["waiting"] += int(process.node.leader._waiting_cpus())
        await change_leader(world, world.rng.choice([None, 4.0]))


@pytest.mark.parametrize("seed", range(520, 522))
def test_rules_hold_under_overload_over_slow_links(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", OverloadOnSlowLinks)
    world = simulate(seed, measure_overload)
    assert world.counts["waiting"] > 50 and world.checker.starts > 40, world.counts


def test_withdrawing_unanswered_starts_over_slow_links_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    withdraw_unanswered_starts(monkeypatch)
    monkeypatch.setattr("dunehold.coordination.term.delivery.TIMEOUT_S", 1.0)
    monkeypatch.setattr("tests.test_rules.World", OverloadOnSlowLinks)
    breaches = collect_breaches(range(520, 524), measure_overload)
    assert any("ran_twice" in b or "quota" in b for b in breaches)


# -- four one-task jobs arrive per second, and a quarter of them is cancelled ----------------


class ManySmallJobs(World):
    """Many small jobs and a low write rate, as if many controllers shared the state service."""

    def settings(self, index: int) -> Settings:
        base = super().settings(index)
        # Without batches every submission and cancellation is a write of its own.
        operator_settings = replace(base.operator, pack_submissions=0)
        return replace(base, state_write_rps=6.0, operator=operator_settings)

    async def arrivals(self, until: float) -> None:
        number = 0
        while self.now() < until:
            number += 1
            job = super().make_job(number) | {
                "shape": "batch", "units": 1, "vcpus": 0.25, "memory_gb": 0.2, "flavours": None,
                "real_s": self.rng.uniform(1.0, 6.0), "together": False, "spread": False,
            }  # fmt: skip
            self.jobs.upload(job)
            self.spawn(self._submit_and_cancel(job))
            await asyncio.sleep(self.rng.expovariate(4.0))

    async def _submit_and_cancel(self, job: dict[str, Any]) -> None:
        """Submit a job; cancel it with a probability of 0.25 and measure the time taken."""
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
        self.measured += self.now() - asked


async def one_leader_change(world: World) -> None:
    """Crash the leader once, for 4 s."""
    await asyncio.sleep(40.0)
    await change_leader(world, 4.0)


def test_cancellations_don_t_wait_behind_submissions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against cancellations that queue behind submissions for the limited write rate.

    The mean time to a confirmation is compared with that under the lowest priority.
    """
    monkeypatch.setattr("tests.test_rules.World", ManySmallJobs)
    worlds = [simulate(seed, one_leader_change) for seed in range(530, 532)]
    cancellations = sum(world.counts["cancellations"] for world in worlds)
    assert cancellations > 100
    mean_s = sum(world.measured for world in worlds) / cancellations
    monkeypatch.setattr(RequestPriority, "CANCEL", RequestPriority.BULK)
    worlds = [simulate(seed, one_leader_change) for seed in range(530, 532)]
    cancellations = sum(world.counts["cancellations"] for world in worlds)
    assert mean_s < 0.6 * sum(world.measured for world in worlds) / cancellations
    assert mean_s < 1.0


# -- a barrier while another activity loads the view -----------------------------------------


class SlowStateClient:
    """A state service whose listings and changes take 0.1 s; keys may be added meanwhile.

    It is its own rate limiter, without a limit.
    """

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


def test_a_barrier_needs_a_proof_that_was_sent_after_it_was_called() -> None:
    """Guards against a 404 for an accepted job at a node that is starting.

    While the watch loads the view and waits for its last response, another node accepts a job.
    A barrier that is called after that must not be satisfied by that response.
    """

    async def start() -> bool:
        state: Any = SlowStateClient()
        view = View()
        sync = ViewSync(state, view, lambda jobs: None, Duration(0.0), Duration(0.1))
        watch = asyncio.create_task(sync.watch())
        await asyncio.sleep(0.15)  # the listing has arrived, the changes have not
        state.rows.append("job-000001")
        await sync.barrier()
        watch.cancel()
        return "job-000001" in view.jobs

    assert asyncio.run(start())


def test_nothing_is_awaited_between_the_proof_and_the_answer() -> None:
    """Guards against an answer that is older than what another node has told the user.

    Asking for the counts of running tasks can take up to a second. If that happened after the
    proof, the proof would be too old by the time of the answer.
    """

    spec = user_messages.decode_job_object(JOB)

    async def get_job() -> bytes:
        view, sync = View(loaded=True), Any

        def put(phase: JobPhase, revision: int) -> None:
            value = records.encode_job_record(spec, phase, WallTime(1.0))
            key = records.job_key(spec.id)
            change = Change(key, orjson.loads(orjson.dumps(value)), Revision(revision), False)
            view.apply([change], Revision(revision))

        class ProvedSync:
            def failing(self) -> bool:
                return False

            async def barrier(self, urgent: bool = False) -> None:
                await asyncio.sleep(0.01)

        async def running(job: JobId) -> int:
            await asyncio.sleep(0.05)
            put(JobPhase.CANCELLED, 2)  # another node's cancellation arrives by the watch
            return 1

        put(JobPhase.ACTIVE, 1)
        sync = ProvedSync()
        unused: Any = None
        job_api = JobApi(
            unused,
            unused,
            view,
            sync,
            lambda: {},
            running,
            lambda: 1.0,
            unused,  # type: ignore[arg-type]
        )
        answer = await job_api.handle(Request("GET", f"/v1/jobs/{spec.id}", {}, b""))
        assert answer is not None
        return answer.body

    assert b"cancelled" in asyncio.run(get_job())


# -- the state service is slow, then refuses the leader, then every node ---------------------


async def slow_then_unavailable(world: World) -> None:
    """Slow the state service down, let it refuse the leader, then all for over ``cancel_s``.

    Users cancel and ask all the while. Counts the answers while the state service is slow, and
    the cancellations that other nodes confirm while it refuses the leader.
    """
    add_consistency_probes(world, 0.1)
    await asyncio.sleep(20.0)
    world.state.delay_s = 0.4
    before = world.counts["looks after accepted"]
    await asyncio.sleep(10.0)
    world.counts["looks while slow"] = world.counts["looks after accepted"] - before
    nodes = [n for n in world.nodes if n.node is not None]
    process = leader_of(world)
    if process is not None:
        world.spawn(world.state.refuse_node(process.name, 14.0))
        nodes = [n for n in nodes if n is not process]
    world.state.delay_s = 0.15  # within the leader's lease, so no other node leads yet
    world.counts["cancelled"] += await cancel_through(world, nodes, 6)
    world.state.delay_s = 0.0
    await asyncio.sleep(world.rng.uniform(0.1, 0.4))
    await world.state.outage(world_module.CANCEL_S + world.rng.uniform(2.0, 14.0))


@pytest.mark.parametrize("seed", range(550, 553))
def test_cancelled_tasks_end_when_a_slow_state_service_becomes_unavailable(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    observed = simulate(seed, slow_then_unavailable, nodes=(3, 5)[seed % 2]).counts
    assert observed["cancelled"] > 1 and observed["looks while slow"] > 3, observed


def test_renewing_leases_while_the_state_service_is_unavailable_breaks_a_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    monkeypatch.setattr(LeaseRenewal, "allowed", lambda self, relaying=False: True)
    monkeypatch.setattr(Node, "_on_cut_off_from_state", lambda self: None)
    assert any(
        "ran_cancelled" in b for b in collect_breaches(range(550, 554), slow_then_unavailable)
    )


# -- the leader ends while machines with long tasks can't be reached -------------------------


async def unreachable_long_tasks(world: World) -> None:
    """Cut half of the busy machines from all controllers; the leader ends within 1 s, 3 times.

    The next leader can't ask these machines, and their tasks run on for most of a lease.
    """
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(14.0, 20.0))
        names = [n for n, a in world.cloud.workers.items() if a.worker.tasks]
        for name in world.rng.sample(names, (len(names) + 1) // 2):
            tasks = world.cloud.workers[name].worker.tasks.values()
            world.counts["long tasks"] += sum(t.on_machine for t in tasks)
            seconds = world.rng.uniform(4.0, 25.0)
            for node in world.nodes:
                for number in range(6):
                    source = node.name if not number else f"{node.name}#{number}"
                    world.spawn(world.network.cut_for(name, source, "hold", seconds))
        await asyncio.sleep(world.rng.uniform(0.0, 1.0))
        token = await change_leader(world, world.rng.choice([0.3, 4.0]))
        world.counts["changes"] += await wait_for_new_leader(world, token)


@pytest.mark.parametrize("seed", range(560, 563))
def test_rules_hold_when_the_leader_ends_while_long_tasks_are_unreachable(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    world = simulate(seed, unreachable_long_tasks, nodes=(3, 5)[seed % 2])
    assert world.counts["long tasks"] > 3 and world.counts["changes"] > 1, world.counts


def test_unreachable_long_tasks_run_twice_without_the_start_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The start log is the new leader's only source for the tasks on these machines."""
    monkeypatch.setattr("tests.test_rules.World", LongTasks)
    monkeypatch.setattr(UnreconciledHosts, "may_run", lambda self, task: False)
    monkeypatch.setattr(UnreconciledHosts, "tasks_of", lambda self, job: ())
    assert any(
        "ran_twice" in b for b in collect_breaches(range(560, 564), unreachable_long_tasks)
    )


# -- random combinations --------------------------------------------------------------------

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
def test_rules_hold_under_random_further_combinations(seed: int) -> None:
    assert (
        simulate(
            seed, random_faults(3, FURTHER_COMBINATIONS), nodes=(3, 5, 7)[seed % 3]
        ).checker.starts
        > 5
    )


if __name__ == "__main__":
    soak(FURTHER_COMBINATIONS + FAULT_COMBINATIONS)
