"""Copies of requests that were carried out and answered, which arrive once more, at any age.

``python -m tests.test_repeated_requests FIRST COUNT`` plays each trouble with more seeds.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import orjson
import pytest

from dunehold.bookkeeping import term_tokens
from dunehold.bookkeeping.hosts import Run
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.term_tokens import RESERVED_TOKENS
from dunehold.coordination import node as node_module
from dunehold.coordination.election import relay as relay_module
from dunehold.coordination.election.relay import Relay
from dunehold.coordination.term.leader import Leader
from dunehold.emulator.history import Event
from dunehold.emulator.model.copies import CopyRule
from dunehold.emulator.model.jobs import Jobs
from dunehold.emulator.model.worker import Machine, Worker
from dunehold.protocol import workers
from dunehold.protocol.workers import Report, encode_reply
from dunehold.transport.http import MAX_BODY_BYTES
from dunehold.types import HostId, MonotonicTime, TaskId, Team, Tier, Token
from tests import world as world_module
from tests.test_fault_combinations import cancel_job, leader_of
from tests.test_ledger import HOST, make_ledger
from tests.test_protocol import JOB
from tests.test_rules import (
    BUSY_S,
    cuts,
    long_cuts,
    machine_failures,
    mixed_faults,
    simulate,
    spot_notices,
)
from tests.world import CANCEL_S, RuleBroken, ServiceResponse, World

Faults = Callable[[World], Awaitable[None]]
COMMANDS_PATH = "/orders"
MAX_COPY_DELAY_S = 30.0


def copy_requests(world: World, path: str, share: float = 1.0) -> None:
    """Deliver a share of the answered requests to ``path`` once more, within 30 s."""
    world.network.copies.rules.append(CopyRule(path, share, 0.3, MAX_COPY_DELAY_S))


@dataclass(eq=False)
class AnsweredStart:
    """A start that a worker carried out and answered, with the call that contained it."""

    source: str
    machine: str
    session: int
    token: int
    body: bytes
    task: str
    attempt: int
    exit_reason: str | None = None
    copies_sent: int = 0
    forgotten_at: float | None = None

    @property
    def job(self) -> str:
        return self.task.rpartition("/")[0]

    def worker(self, world: World) -> Worker | None:
        """The machine's worker while its session is the one that the call named."""
        agent = world.cloud.workers.get(self.machine)
        if agent is None or agent.worker.session != self.session:
            return None
        return agent.worker

    def runs_elsewhere(self, world: World) -> bool:
        """Whether another machine runs the task now."""
        return any(
            name != self.machine and task.task_id == self.task and task.on_machine
            for name, agent in world.cloud.workers.items()
            for task in agent.worker.tasks.values()
        )

    async def deliver_copy(self, world: World) -> bool:
        """Deliver the call once more; return whether the worker carries it out again."""
        self.copies_sent += 1
        await world.network.deliver_copy(
            self.source, self.machine, "POST", COMMANDS_PATH, self.body
        )
        worker = self.worker(world)
        return worker is not None and (self.task, self.attempt) in worker.tasks


def record_answered_starts(world: World) -> list[AnsweredStart]:
    """Return a list that grows with each start in an answered call from now on."""
    answered: list[AnsweredStart] = []
    by_attempt: dict[tuple[str, int], list[AnsweredStart]] = {}
    call = world.network.call

    async def recording_call(
        a: str, b: str, method: str, target: str, body: bytes | None
    ) -> ServiceResponse:
        response = await call(a, b, method, target, body)
        if target != COMMANDS_PATH or response[0] != 200 or body is None:
            return response
        row = orjson.loads(body)
        for command in row["orders"]:
            if command["verb"] == "run":
                item, attempt = command["item"], command["try"]
                start = AnsweredStart(a, b, row["tenure"], row["baton"], body, item, attempt)
                answered.append(start)
                by_attempt.setdefault((item, attempt), []).append(start)
        return response

    def on_event(event: Event) -> None:
        if event.kind == "off":
            for start in by_attempt.get((event.data["item"], event.data["attempt"]), ()):
                start.exit_reason = event.data["why"]

    world.network.call = recording_call  # type: ignore[method-assign]
    world.history.listeners.append(on_event)
    return answered


async def start_of_failed_attempt_arrives_again(world: World) -> None:
    """Deliver a start again whose attempt failed, while the task runs on another machine."""
    answered = record_answered_starts(world)
    while world.now() < BUSY_S:
        await asyncio.sleep(0.1)
        for agent in world.cloud.workers.values():
            agent.worker.faulty = world.now() % 20.0 < 5.0
        for start in answered:
            worker = start.worker(world)
            if (
                worker is not None
                and (start.task, start.attempt) not in worker.tasks
                and not start.copies_sent
                and start.runs_elsewhere(world)
            ):
                world.counts["copies"] += 1
                world.counts["carried out again"] += await start.deliver_copy(world)


def test_a_copy_of_a_start_runs_no_failed_task_beside_its_next_attempt() -> None:
    """Guards against ``ran_twice`` by a call that was carried out and answered before."""
    world = simulate(610, start_of_failed_attempt_arrives_again)
    assert world.counts["copies"] > 3 and not world.counts["carried out again"]


# -- what has become of the attempt when the copy arrives -------------------------------------


def leader(world: World) -> Leader | None:
    process = leader_of(world)
    return process.node.leader if process is not None and process.node is not None else None


def draining(world: World, machine: str) -> bool:
    """Whether the machine is to be taken by the cloud, drained or given back."""
    leading = leader(world)
    host = leading.ledger.hosts.get(HostId(machine)) if leading is not None else None
    return host is not None and (host.draining is not None or host.deleting)


def at_limit(world: World, job: str) -> bool:
    """Whether the team can't start another task of the job."""
    leading, row = leader(world), world.jobs.rows[job]
    limit = world.limits[row["owner"]]
    if leading is None or not limit:
        return False
    usage = leading.ledger.occupancy.team_usage(Team(row["owner"]))
    return usage.cpus + row["vcpus"] > limit


def relayed(world: World, machine: str) -> bool:
    """Whether another node than the leader renews the lease of the machine."""
    leading = leader(world)
    host = leading.ledger.hosts.get(HostId(machine)) if leading is not None else None
    return any(
        process.node is not None
        and process.node.leader is None
        and process.node.view.relays
        and host is not None
        and process.node.settings.zone == host.zone
        for process in world.nodes
    )


Fate = Callable[[World, AnsweredStart], bool]
FATES: dict[str, Fate] = {
    "failed": lambda world, start: start.exit_reason == "error",
    "stopped to be moved": lambda world, start: (
        start.exit_reason == "halted" and start.job not in world.final_phases
    ),
    "cancelled": lambda world, start: (
        start.exit_reason == "halted" and world.final_phases.get(start.job) == "cancelled"
    ),
    "done, its job goes on": lambda world, start: (
        start.exit_reason == "done" and start.job not in world.final_phases
    ),
    "done, its job cancelled later": lambda world, start: (
        start.exit_reason == "done" and world.final_phases.get(start.job) == "cancelled"
    ),
    "a replica of a service": lambda world, start: (
        world.jobs.rows[start.job]["shape"] == "standing"
    ),
    "on a machine that drains": lambda world, start: draining(world, start.machine),
    "bound to a zone or spread": lambda world, start: any(
        world.jobs.rows[start.job][key] for key in ("hall", "together", "spread")
    ),
    "of a team at its limit": lambda world, start: at_limit(world, start.job),
    "of an earlier leader": lambda world, start: (
        (leading := leader(world)) is not None and start.token < leading.token
    ),
    "on a machine of a relay": lambda world, start: relayed(world, start.machine),
}
# Copies of a start arrive this long after its attempt was forgotten.
COPY_DELAYS_S = (0.0, 4.0, CANCEL_S + 2.0)


async def copies_of_forgotten_starts(world: World) -> None:
    """Deliver copies of starts whose attempts were forgotten, and count them by fate."""
    answered = record_answered_starts(world)
    while True:
        await asyncio.sleep(0.1)
        for start in list(answered):
            worker = start.worker(world)
            if worker is None:
                answered.remove(start)
            elif (start.task, start.attempt) not in worker.tasks:
                if start.forgotten_at is None:
                    start.forgotten_at = world.now()
                if world.now() >= start.forgotten_at + COPY_DELAYS_S[start.copies_sent]:
                    world.spawn(count_copy(world, start))
                if start.copies_sent == len(COPY_DELAYS_S):
                    answered.remove(start)


async def count_copy(world: World, start: AnsweredStart) -> None:
    """Deliver one copy, and count it, and whether it is carried out, by each fate."""
    fates = [name for name, fate in FATES.items() if fate(world, start)]
    carried_out = await start.deliver_copy(world)
    for name in fates:
        world.counts[f"copies: {name}"] += 1
        world.counts[f"carried out: {name}"] += carried_out


async def sick_machines(world: World) -> None:
    """Let every machine fail its tasks for a few seconds, again and again."""
    while world.now() < BUSY_S:
        await asyncio.sleep(15.0)
        for faulty in (True, False):
            for agent in world.cloud.workers.values():
                agent.worker.faulty = faulty
            await asyncio.sleep(2.0)


async def cancel_partly_done_jobs(world: World) -> None:
    """Cancel a job that has completed a task and goes on, every few seconds."""
    while world.now() < BUSY_S:
        await asyncio.sleep(3.0)
        done = {task.rpartition("/")[0] for task in world.jobs.completed_tasks}
        done = done & set(world.users.accepted) - world.final_phases.keys()
        nodes = [process for process in world.nodes if process.node is not None]
        for job in sorted(done)[:1]:
            await cancel_job(world, nodes, job)


async def copies_meet_troubles(world: World) -> None:
    world.spawn(copies_of_forgotten_starts(world))
    world.spawn(sick_machines(world))
    world.spawn(cancel_partly_done_jobs(world))
    world.spawn(spot_notices(world))
    world.spawn(long_cuts(world))
    await asyncio.sleep(70.0)
    await quick_restarts(world)


def count_copies(seed: int) -> Counter[str]:
    """Play a world with copies and several troubles to its end; return its counts."""
    worlds: list[World] = []

    async def faults(world: World) -> None:
        worlds.append(world)
        await copies_meet_troubles(world)

    with contextlib.suppress(RuleBroken):
        simulate(seed, faults, nodes=5)
    worlds[0].counts["rules broken"] = len(worlds[0].breaches)
    return worlds[0].counts


@pytest.fixture
def long_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make leases long enough for workers to find a relay before they expire."""
    monkeypatch.setattr(world_module, "LEASE_S", 14.0)


SEEDS_OF_COPIES = range(620, 624)


@pytest.mark.usefixtures("long_leases")
def test_a_copy_of_a_start_revives_no_forgotten_attempt_whatever_became_of_it() -> None:
    counts = sum((count_copies(seed) for seed in SEEDS_OF_COPIES), Counter())
    for fate in FATES:
        assert counts[f"copies: {fate}"] > 5, (fate, counts)
        assert not counts[f"carried out: {fate}"], (fate, counts)
    assert not counts["rules broken"], counts


@pytest.mark.usefixtures("long_leases")
def test_a_copy_of_a_start_revives_a_forgotten_attempt_if_no_token_was_raised(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def never_end(self: World) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(World, "check_rules", never_end)
    monkeypatch.setattr(Ledger, "_void_earlier_calls", lambda self, host: True)
    counts = sum((count_copies(seed) for seed in SEEDS_OF_COPIES), Counter())
    missing = [fate for fate in FATES if not counts[f"carried out: {fate}"]]
    # A later leader's token refuses the calls of an earlier one, raised or not.
    assert missing in ([], ["of an earlier leader"]), counts


# -- reports stay bounded, and tokens belong to one term ---------------------------------------


@dataclass
class WorkerUnderLedger:
    """A model of a worker whose commands come from a ledger, with one job of many tasks."""

    tasks: int
    reserves_tokens: bool = True  # whether more tokens are reserved when they are wanted
    calls: list[bytes] = field(default_factory=list)  # bodies of the direct calls
    largest_report: int = 0  # bytes
    now: float = 0.0

    def __post_init__(self) -> None:
        self.ledger, self.host, self.record = make_ledger({"units": self.tasks})
        jobs = Jobs(random.Random(1))
        jobs.upload(JOB | {"units": self.tasks, "real_s": 0.2, "size_gb": 0.0})
        machine = Machine(HOST, "m:9000", "g8", "a", False, 96.0, 8.0, 768.0, 200.0, 100.0)
        self.worker = Worker(machine, jobs, 1e9, 0.0, token=int(self.ledger.token))
        self.host.recorded = True
        self.report()

    def report(self) -> None:
        """Let the worker report, and carry out the answer."""
        body = orjson.dumps(self.worker.report())
        self.largest_report = max(self.largest_report, len(body))
        self.ledger.ingest(workers.decode_report(body), MonotonicTime(self.now))
        commands = self.ledger.commands(self.host, direct=False, starts=True)
        answer = orjson.loads(workers.encode_reply(self.host.token, commands))
        self.worker.handle_report_response(self.now, 1, answer, self.now)

    def run_task(self, number: int) -> None:
        """Run one task that is started by a direct call, until its result is durable."""
        task = TaskId(self.record.id, number)
        run = self.ledger.plan_start(
            self.record, task, self.host, Tier.FOREGROUND, MonotonicTime(self.now)
        )
        assert isinstance(run, Run), run
        run.start_logged = True
        commands = self.ledger.commands(self.host, direct=True, starts=True)
        orders = orjson.loads(workers.encode_reply(self.host.token, commands))["orders"]
        call = orjson.dumps({"baton": self.host.token, "tenure": 1, "orders": orders})
        assert self.worker.handle("POST", COMMANDS_PATH, call, self.now).status == 200
        self.calls.append(call)
        self.ledger.on_direct_response(self.host, [run.id])
        self.now += 1.0
        self.worker.advance(self.now)
        self.record.completion_bitmaps[0] = (
            self.record.completion_bitmaps.get(0, 0) | 1 << number
        )
        self.report()
        wanted = self.ledger.tokens.wanted_last()
        if wanted is not None and self.reserves_tokens:
            self.ledger.tokens.last = wanted  # as the recorder does once that is durable


TASKS_IN_ONE_TERM = 3000  # more than three times as many as one report could list


def test_reports_stay_small_on_a_machine_that_ran_thousands_of_tasks_in_one_term() -> None:
    """Guards against exited attempts that are kept because of copies of their starts."""
    machine = WorkerUnderLedger(TASKS_IN_ONE_TERM)
    for number in range(TASKS_IN_ONE_TERM):
        machine.run_task(number)
    assert machine.largest_report < 1024
    assert machine.ledger.tokens.last > machine.ledger.token + RESERVED_TOKENS
    for call in machine.calls:
        assert machine.worker.handle("POST", COMMANDS_PATH, call, machine.now).status == 409
    assert not machine.worker.tasks


def test_reports_outgrow_their_limit_if_attempts_are_never_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Ledger, "_void_earlier_calls", lambda self, host: False)
    machine = WorkerUnderLedger(TASKS_IN_ONE_TERM)
    for number in range(1200):
        machine.run_task(number)
    assert machine.largest_report > MAX_BODY_BYTES


def test_attempts_stay_in_the_reports_until_more_tokens_are_reserved() -> None:
    """Guards against a token that a later term may use as well."""
    machine = WorkerUnderLedger(10, reserves_tokens=False)
    machine.ledger.tokens.last = machine.ledger.token
    machine.run_task(0)
    assert machine.worker.token == machine.ledger.token and len(machine.worker.tasks) == 1
    assert machine.ledger.tokens.wanted_last() is not None
    machine.ledger.tokens.last = Token(machine.ledger.token + 1)
    machine.report()
    assert machine.worker.token == machine.ledger.token + 1 and not machine.worker.tasks


def test_a_call_in_progress_is_not_made_void() -> None:
    """Guards against starts that are refused, and delayed, for attempts to be forgotten."""
    machine = WorkerUnderLedger(10)
    machine.host.call_in_progress = True
    machine.run_task(0)
    assert machine.host.token == machine.ledger.token and len(machine.worker.tasks) == 1
    machine.host.call_in_progress = False
    machine.report()
    assert machine.host.token > machine.ledger.token and not machine.worker.tasks


def test_a_start_that_was_never_answered_is_refused_once_its_attempt_is_forgotten() -> None:
    machine = WorkerUnderLedger(10)
    machine.run_task(0)
    (run,) = machine.host.runs.values()
    run.unanswered_starts = 1  # the worker has carried out a second call by now
    machine.report()
    assert not machine.worker.tasks
    answer = machine.worker.handle("POST", COMMANDS_PATH, machine.calls[0], machine.now)
    assert answer.status == 409


async def record_tokens(world: World, used: dict[int, set[int]]) -> None:
    """Note which tokens workers have, and the first token of the leader's term by then."""
    while True:
        await asyncio.sleep(0.05)
        leading = leader(world)
        if leading is not None and leading.may_start():
            tokens = used.setdefault(leading.token, set())
            tokens |= {host.token for host in leading.ledger.hosts.values()}


def tokens_of_terms(seed: int) -> dict[int, set[int]]:
    """Return the tokens that each term uses while leaders change and copies arrive."""
    used: dict[int, set[int]] = {}

    async def faults(world: World) -> None:
        copy_requests(world, COMMANDS_PATH)
        world.spawn(record_tokens(world, used))
        while world.now() < BUSY_S:
            await asyncio.sleep(20.0)
            process = leader_of(world)
            if process is not None:
                world.spawn(process.restart(0.5))

    simulate(seed, faults, nodes=3)
    return used


def test_no_two_terms_use_the_same_token(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a later leader whose commands an earlier one's tokens refuse."""
    monkeypatch.setattr(term_tokens, "RESERVED_TOKENS", 4)
    for used in (tokens_of_terms(630), tokens_of_terms(631)):
        ranges = sorted((min(tokens), max(tokens)) for tokens in used.values() if tokens)
        assert len(ranges) > 3
        # The range of a term grows beyond what it reserved when it began.
        begins = [first for first, _ in ranges]
        assert any(b - a > 4 for a, b in itertools.pairwise(begins)), ranges
        assert all(a[1] < b[0] for a, b in itertools.pairwise(ranges)), ranges


def test_terms_use_the_same_tokens_if_these_are_not_reserved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(node_module, "last_reserved", lambda first: first)
    ranges = sorted((min(t), max(t)) for t in tokens_of_terms(630).values() if t)
    assert any(a[1] >= b[0] for a, b in itertools.pairwise(ranges)), ranges


def killed_beyond_a_cut() -> int:
    """Tasks that are killed with their leases while zones are cut from each other."""
    return sum(simulate(seed, long_cuts, nodes=5).killed_tasks for seed in range(40, 44))


@pytest.mark.usefixtures("long_leases")
def test_a_relay_renews_the_lease_of_a_worker_whose_token_was_raised(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against relays that answer with a token which the worker has to drop."""
    with_raised_token = killed_beyond_a_cut()
    answer = Relay.answer

    def answer_with_first_token(self: Relay, report: Report) -> bytes | None:
        with pytest.MonkeyPatch.context() as patch:
            first = self.view.leader.token if self.view.leader is not None else report.token
            patch.setattr(
                relay_module.workers, "encode_reply", lambda _, c: encode_reply(first, c)
            )
            return answer(self, report)

    monkeypatch.setattr(Relay, "answer", answer_with_first_token)
    assert with_raised_token < killed_beyond_a_cut() / 2


# -- other requests ------------------------------------------------------------------------


OTHER_PATHS = [
    "/v1/jobs",
    "/v1/report",
    "/status",
    "/hosts",
    "/txn",
    "/leases",
    "/store",
    "/peer",
]


@pytest.mark.parametrize("path", OTHER_PATHS)
def test_copies_of_other_answered_requests_break_no_rule(path: str) -> None:
    async def faults(world: World) -> None:
        copy_requests(world, path)
        world.spawn(quick_restarts(world))
        world.spawn(machine_failures(world))

    for seed in (640, 641):
        world = simulate(seed, faults, nodes=(3, 5)[seed % 2])
        delivered = sum(world.network.copies_delivered.values())
        assert delivered > 5 and world.checker.starts > 20, world.network.copies_delivered


@pytest.mark.parametrize("seed", range(650, 654))
def test_copies_of_all_answered_requests_break_no_rule(seed: int) -> None:
    async def faults(world: World) -> None:
        copy_requests(world, "/", 0.3)
        world.spawn(quick_restarts(world))
        await mixed_faults(world)

    world = simulate(seed, faults, nodes=(3, 5)[seed % 2])
    assert len(world.network.copies_delivered) > 6 and world.checker.starts > 5


# -- troubles with more seeds --------------------------------------------------------------


async def quick_restarts(world: World) -> None:
    """Restart a random controller within a second, every few seconds."""
    while world.now() < BUSY_S:
        await asyncio.sleep(world.rng.uniform(3.0, 8.0))
        world.spawn(world.rng.choice(world.nodes).restart(world.rng.uniform(0.1, 0.9)))


async def short_hangs(world: World) -> None:
    """Let random machines hang for less than a second, every second."""
    while world.now() < BUSY_S:
        await asyncio.sleep(1.0)
        for agent in list(world.cloud.workers.values()):
            if world.rng.random() < 0.2:
                with agent.modify() as worker:
                    worker.hang(world.now(), world.rng.uniform(0.1, 0.9))


async def copied_commands(world: World) -> None:
    """Copy every answered call to a worker; some jobs are cancelled, and nothing else fails."""
    copy_requests(world, COMMANDS_PATH)


async def copied_commands_and_quick_restarts(world: World) -> None:
    copy_requests(world, COMMANDS_PATH)
    world.spawn(quick_restarts(world))


async def copied_commands_and_short_hangs(world: World) -> None:
    copy_requests(world, COMMANDS_PATH)
    world.spawn(short_hangs(world))
    world.spawn(machine_failures(world))


async def copied_commands_and_cuts(world: World) -> None:
    copy_requests(world, COMMANDS_PATH)
    world.spawn(machine_failures(world))
    world.spawn(cuts(world))


COPIED_COMMANDS = [
    copied_commands,
    copied_commands_and_quick_restarts,
    copied_commands_and_short_hangs,
    copied_commands_and_cuts,
]


@pytest.mark.parametrize("seed", range(600, 603))
@pytest.mark.parametrize("faults", COPIED_COMMANDS)
def test_a_copy_of_an_answered_start_runs_no_task_again(faults: Faults, seed: int) -> None:
    world = simulate(seed, faults, nodes=(3, 5)[seed % 2])
    assert world.network.copies_delivered[COMMANDS_PATH] > 20
    assert world.checker.starts > 20


def main(first: int, count: int) -> int:
    """Play each trouble with ``count`` seeds, print the broken worlds, and return the code."""
    broken: Counter[str] = Counter()
    for faults in COPIED_COMMANDS:
        for seed in range(first, first + count):
            try:
                simulate(seed, faults, nodes=(3, 5)[seed % 2])
            except RuleBroken as error:
                broken[faults.__name__] += 1
                print(f"{faults.__name__} seed {seed}: {str(error)[:160]}", flush=True)
        print(f"{faults.__name__}: {broken[faults.__name__]} of {count} worlds broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
