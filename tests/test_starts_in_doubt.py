"""Starts that are in transit while their job is cancelled, and arrive minutes later or never.

A worker carries such a start out as long as its session lasts, whoever renews its lease.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from dunehold.bookkeeping import records
from dunehold.bookkeeping.hosts import Run
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.records import JobRecord, LeaderRecord
from dunehold.bookkeeping.view import View
from dunehold.coordination.election.lease_renewal import LeaseRenewal
from dunehold.coordination.election.starts_in_doubt import StartsInDoubt
from dunehold.coordination.node import Node
from dunehold.coordination.persistence.proofs import Proof, ProofHistory
from dunehold.coordination.persistence.start_log_cleaner import StartLogCleaner
from dunehold.emulator.model.partitions import PartitionMode
from dunehold.protocol.workers import Report, Start, TaskReport
from dunehold.types import (
    Attempt,
    AttemptId,
    Duration,
    ExitReason,
    JobId,
    JobPhase,
    MonotonicTime,
    NodeId,
    Revision,
    TaskId,
    TaskPhase,
    Token,
    WallTime,
)
from tests import world as world_module
from tests.test_fault_combinations import cancel_job, collect_breaches, leader_of
from tests.test_ledger import HOST, TASK, make_ledger, report, start_task
from tests.test_rules import BUSY_S, simulate
from tests.world import CANCEL_S, ZONES, World

# How long starts are held back: they arrive after the latest time at which a task may start.
HELD_S = CANCEL_S + 4.0


# -- worlds ----------------------------------------------------------------------------------


async def next_direct_start(
    world: World, accept: Callable[[str, str], bool]
) -> tuple[str, str, set[str]]:
    """Wait for a direct call with a start; return its sender, its machine and the jobs.

    ``accept`` is called with the sender and the machine before the call is delivered, and
    returns whether the call is the one that is waited for. A partition that it begins applies
    to the call.
    """
    found: asyncio.Future[tuple[str, str, set[str]]] = asyncio.Future()
    call = world.network.call

    async def watched_call(
        a: str, b: str, method: str, target: str, body: bytes | None
    ) -> world_module.ServiceResponse:
        if target == "/orders" and not found.done():
            commands = orjson.loads(body or b"{}")["orders"]
            jobs = {c["item"].rpartition("/")[0] for c in commands if c["verb"] == "run"}
            if jobs and accept(a, b):
                found.set_result((a, b, jobs))
        return await call(a, b, method, target, body)

    world.network.call = watched_call  # type: ignore[method-assign]
    try:
        return await found
    finally:
        world.network.call = call  # type: ignore[method-assign]


async def cancel_while_in_transit(world: World, machine: str, jobs: set[str]) -> None:
    """Cancel the jobs, and count whether the machine has not received their starts by then."""
    nodes = [process for process in world.nodes if process.node is not None]
    for job in sorted(jobs):
        if await cancel_job(world, nodes, job):
            agent = world.cloud.workers.get(machine)
            tasks = agent.worker.tasks.values() if agent is not None else ()
            known = any(task.task_id.startswith(job + "/") for task in tasks)
            world.counts["known" if known else "in transit"] += 1


async def zone_cuts_at_starts(world: World, mode: PartitionMode) -> None:
    """Cut the zones from each other as a start is sent across, and cancel its job."""
    groups = world.network.gate.partitions.groups

    def cut_if_across(source: str, machine: str) -> bool:
        across = groups[source] != groups.get(machine, groups[source])
        if across:
            world.network.gate.begin(*ZONES, mode)
        return across

    while world.now() < BUSY_S:
        _, machine, jobs = await next_direct_start(world, cut_if_across)
        await asyncio.sleep(0.2)
        await cancel_while_in_transit(world, machine, jobs)
        await asyncio.sleep(HELD_S)
        world.network.gate.end(*ZONES)
        await asyncio.sleep(8.0)


async def starts_held_by_zone_cuts(world: World) -> None:
    await zone_cuts_at_starts(world, PartitionMode.HOLD)


async def starts_lost_by_zone_cuts(world: World) -> None:
    await zone_cuts_at_starts(world, PartitionMode.RESET)


async def starts_held_while_reports_are_answered(world: World) -> None:
    """Hold back direct calls to a machine whose reports are answered, and cancel its job."""

    def hold(source: str, machine: str) -> bool:
        # Answers to reports come from the node's own name, and are not held back.
        world.network.gate.begin(source, machine, PartitionMode.HOLD, one_way=True)
        return True

    while world.now() < BUSY_S:
        source, machine, jobs = await next_direct_start(world, hold)
        await cancel_while_in_transit(world, machine, jobs)
        await asyncio.sleep(HELD_S)
        world.network.gate.end(source, machine)
        await asyncio.sleep(3.0)


HELD_OR_LOST = [
    starts_held_by_zone_cuts,
    starts_lost_by_zone_cuts,
    starts_held_while_reports_are_answered,
]


@pytest.fixture
def long_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make leases long enough for workers to find a relay before they expire."""
    monkeypatch.setattr(world_module, "LEASE_S", 14.0)


@pytest.mark.usefixtures("long_leases")
@pytest.mark.parametrize("seed", range(500, 504))
@pytest.mark.parametrize("faults", HELD_OR_LOST)
def test_no_start_in_transit_begins_a_task_after_the_cancellation_limit(
    faults: Callable[[World], Any], seed: int
) -> None:
    """Guards against starts that arrive, or are sent again, after ``cancel_s``."""
    world = simulate(seed, faults, nodes=(3, 5)[seed % 2])
    assert world.counts["in transit"] > 0, world.counts


@pytest.mark.usefixtures("long_leases")
@pytest.mark.parametrize(
    ("faults", "seeds"),
    # With the second kind the leader's token often refuses the start, but not with these seeds.
    [(HELD_OR_LOST[0], range(500, 504)), (HELD_OR_LOST[2], range(507, 511))],
)
def test_a_held_start_breaks_a_rule_if_its_session_is_kept_alive(
    faults: Callable[[World], Any], seeds: range, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        LeaseRenewal, "allowed_with_start_in_doubt", lambda self, cancelled_at: True
    )
    breaches = collect_breaches(seeds, faults)
    assert any("ran_cancelled" in breach for breach in breaches), breaches


@pytest.mark.usefixtures("long_leases")
def test_a_lost_start_breaks_a_rule_if_it_is_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Patched out: leases that are not renewed, and starts that are not sent again."""
    monkeypatch.setattr(Ledger, "_is_cancelled", lambda self, run: False)
    monkeypatch.setattr(StartsInDoubt, "cancelled_at", lambda self, report, leader: None)
    breaches = collect_breaches(range(500, 504), starts_lost_by_zone_cuts)
    assert any("ran_cancelled" in breach for breach in breaches), breaches


def test_the_start_log_soon_names_no_settled_start_of_a_cancelled_job() -> None:
    """Guards against relays that let leases end because of starts settled long ago."""
    named: dict[bool, int] = {}

    async def count_named(world: World) -> None:
        while world.now() < BUSY_S:
            await asyncio.sleep(1.0)
            process = leader_of(world)
            if process is not None and process.node is not None and process.node.leader:
                named[cleaning] += settled_entries(process.node.leader.ledger)
                world.counts["cancelled"] = sum(
                    phase == "cancelled" for phase in world.final_phases.values()
                )

    for cleaning in (True, False):
        named[cleaning] = 0
        with pytest.MonkeyPatch.context() as patch:
            if not cleaning:
                patch.setattr(StartLogCleaner, "add_job", lambda self, job: None)
            world = simulate(505, count_named)
            assert world.counts["cancelled"] > 3
    # An entry is found within one search and written within a few transactions.
    assert named[False] > 100 and named[True] < named[False] / 4, named


def settled_entries(ledger: Ledger) -> int:
    """Number of entries of cancelled jobs in the start log that need not be there."""
    return sum(
        ledger.view.jobs[task.job].phase is JobPhase.CANCELLED
        and not ledger.must_stay_logged(host, task)
        for placed in ledger.view.start_log.values()
        for host, tasks in placed.items()
        for task in tasks
    )


def test_nothing_is_started_by_a_view_that_is_too_old_to_renew_leases() -> None:
    """Guards against starts that are sent long after their job was cancelled elsewhere."""

    async def check(world: World) -> None:
        await asyncio.sleep(10.0)
        process = leader_of(world)
        assert process is not None and process.node is not None
        node = process.node
        node.lease_until = MonotonicTime(world.now() + 100.0)
        assert node._may_start()
        limit_s = node.lease_renewal.max_proof_age_s
        node.sync.proved_at = MonotonicTime(world.now() - limit_s)
        assert not node._may_start()
        world.counts["checked"] += 1

    assert simulate(506, check).counts["checked"] == 1


# -- the leader --------------------------------------------------------------------------------


def cancel(ledger: Ledger, record: JobRecord, revision: int) -> None:
    """Cancel the job in the ledger's view."""
    record.phase, record.phase_revision = JobPhase.CANCELLED, Revision(revision)
    ledger.view.active.pop(record.id)


def started_directly() -> tuple[Ledger, Any, JobRecord, Run]:
    """Return a ledger with a start in a direct call that was not answered."""
    ledger, host, record = make_ledger()
    ledger.ingest(report(1, 1), MonotonicTime(1.0))
    run = start_task(ledger, host, record, MonotonicTime(1.0))
    assert ledger.commands(host, direct=True, starts=True) == [Start(run.id)]
    return ledger, host, record, run


def test_a_start_of_a_cancelled_job_is_never_sent_again() -> None:
    ledger, host, record, run = started_directly()
    cancel(ledger, record, 9)
    for direct in (True, False):
        sent = ledger.commands(host, direct, starts=True)
        assert [type(command).__name__ for command in sent] == ["Stop"]
    assert ledger.must_stay_logged(HOST, TASK) and run.unanswered_starts == 1


def test_a_cancelled_start_is_in_doubt_until_it_is_reported_or_its_session_ends() -> None:
    for ended_by in ("report", "answer", "session"):
        ledger, host, record, run = started_directly()
        assert ledger.start_in_doubt(host) is None  # its job is active
        cancel(ledger, record, 9)
        ledger.stop(run, Duration(0.0))
        ledger.ingest(report(1, 2), MonotonicTime(3.0))
        assert ledger.start_in_doubt(host) == 9
        if ended_by == "report":
            task = TaskReport(run.id, TaskPhase.FETCHING, None, False)
            ledger.ingest(report(1, 3, task), MonotonicTime(5.0))
        elif ended_by == "answer":
            ledger.on_direct_response(host, [run.id])
        else:
            ledger.ingest(report(2, 3), MonotonicTime(5.0))
        assert ledger.start_in_doubt(host) is None, ended_by


def test_nothing_is_started_on_a_machine_whose_session_may_have_to_end() -> None:
    ledger, host, record, run = started_directly()
    ledger.view.jobs[JobId("job-000500")] = other = JobRecord(
        JobId("job-000500"), JobPhase.ACTIVE, Revision(6), WallTime(0.0), record.spec, 16
    )
    cancel(ledger, record, 9)
    ledger.stop(run, Duration(0.0))
    refused = ledger.refusal(other, TaskId(other.id, 0), host, MonotonicTime(2.0))
    host.recorded = True
    assert refused == "machine's session may have to end"


# -- relays ------------------------------------------------------------------------------------

OTHER_ATTEMPT = AttemptId(TASK, Attempt(2))
ATTEMPT = AttemptId(TASK, Attempt(1))
LEADER = LeaderRecord(NodeId("n1"), "1", Token(7), Revision(5))


def relay_view(slot_version: int = 8) -> View:
    """Return a view in which the start log places a task of a cancelled job on the machine."""
    _, _, record = make_ledger()
    record.phase, record.phase_revision = JobPhase.CANCELLED, Revision(9)
    view = View()
    view.jobs[record.id] = record
    view.start_log[3] = {HOST: {TASK}}
    view.versions[records.STARTS + "3"] = Revision(slot_version)
    return view


def exited(attempt: AttemptId, reason: ExitReason = ExitReason.STOPPED) -> TaskReport:
    return TaskReport(attempt, TaskPhase.EXITED, reason, False)


def running(attempt: AttemptId) -> TaskReport:
    return TaskReport(attempt, TaskPhase.RUNNING, None, False)


def in_doubt_after(view: View, *reports: Report) -> bool:
    """Whether a start may still reach the machine after these reports to a relay."""
    starts = StartsInDoubt(view)
    for sent in reports:
        starts.observe(sent)
    return starts.cancelled_at(reports[-1], LEADER) is not None


def test_a_relay_takes_a_logged_start_for_one_in_doubt_unless_the_worker_knows_it() -> None:
    view = relay_view()
    assert in_doubt_after(view, report(1, 4))
    assert not in_doubt_after(view, report(1, 4, running(ATTEMPT)))
    # The task is done, so that no other attempt of it is started.
    assert not in_doubt_after(view, report(1, 4, exited(ATTEMPT, ExitReason.DONE)))
    # The leader may know of the exit, and may have sent another attempt.
    assert in_doubt_after(view, report(1, 4, exited(ATTEMPT)))
    view.jobs[TASK.job].phase = JobPhase.ACTIVE
    assert not in_doubt_after(view, report(1, 4))


def test_a_relay_knows_an_attempt_that_exited_while_all_reports_came_to_it() -> None:
    view, seen = relay_view(), report(1, 4, running(ATTEMPT))
    assert not in_doubt_after(view, seen, report(1, 5, exited(ATTEMPT)))
    # In between, a report or a direct answer may have told the leader of the exit.
    assert in_doubt_after(view, seen, report(1, 6, exited(ATTEMPT)))
    assert in_doubt_after(view, seen, report(2, 5, exited(ATTEMPT)))
    assert in_doubt_after(view, seen, report(1, 5, exited(OTHER_ATTEMPT)))
    assert in_doubt_after(view, seen, report(1, 5))  # only the leader makes workers forget


def test_a_relay_ignores_starts_of_earlier_leaders() -> None:
    """The worker refuses them, as it knows the token of the present leader."""
    assert not in_doubt_after(relay_view(slot_version=4), report(1, 4))


def test_a_proof_that_shows_a_cancellation_does_not_count_for_its_starts() -> None:
    proofs = ProofHistory(Duration(30.0))
    for time, revision in [(1.0, 4), (1.1, 5), (2.0, 6), (3.0, 9)]:
        proofs.record(Proof(MonotonicTime(time), Revision(revision)))
    assert proofs.latest_without(Revision(9)) == 2.0
    assert proofs.latest_without(Revision(10)) == 3.0
    assert proofs.latest_without(Revision(4)) is None
    proofs.record(Proof(MonotonicTime(32.5), Revision(20)))
    # The proofs before the cancellation are too old to be kept, and count for nothing.
    assert proofs.latest_without(Revision(6)) is None


def test_the_limit_counts_from_the_last_proof_without_the_cancellation() -> None:
    """Checked in a running node, whose newer proofs must not extend the time."""

    async def check(world: World) -> None:
        await asyncio.sleep(10.0)
        node: Node | None = world.nodes[0].node
        assert node is not None
        cancelled_at = Revision(node.view.applied + 1)
        while node.view.applied < cancelled_at:
            proved_at = node.sync.proved_at
            await asyncio.sleep(0.01)
        limit_s = node.lease_renewal.max_proof_age_s
        while node.lease_renewal.allowed_with_start_in_doubt(cancelled_at):
            assert world.now() < proved_at + limit_s
            await node.sync.barrier()
            await asyncio.sleep(0.5)
        assert node.lease_renewal.allowed() and world.now() > proved_at + limit_s / 2
        world.counts["checked"] += 1

    assert simulate(507, check).counts["checked"] == 1
