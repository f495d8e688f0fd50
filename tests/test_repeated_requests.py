"""Copies of requests that were carried out and answered, which arrive once more, at any age.

``python -m tests.test_repeated_requests FIRST COUNT`` plays each trouble with more seeds.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import orjson
import pytest

from dunehold.emulator.model.copies import CopyRule
from tests.test_rules import BUSY_S, cuts, machine_failures, simulate
from tests.world import RuleBroken, ServiceResponse, World

Faults = Callable[[World], Awaitable[None]]
COMMANDS_PATH = "/orders"
MAX_COPY_DELAY_S = 30.0


def copy_requests(world: World, path: str, share: float = 1.0) -> None:
    """Deliver a share of the answered requests to ``path`` once more, within 30 s."""
    world.network.copies.rules.append(CopyRule(path, share, 0.3, MAX_COPY_DELAY_S))


class AnsweredStart(NamedTuple):
    """A start that a worker carried out and answered, with the call that contained it."""

    source: str
    machine: str
    body: bytes
    task: str
    attempt: int

    def forgotten(self, world: World) -> bool:
        """Whether the machine is up and does not know the attempt any more."""
        agent = world.cloud.workers.get(self.machine)
        return agent is not None and (self.task, self.attempt) not in agent.worker.tasks

    def machines_with_task(self, world: World) -> list[str]:
        """The machines that run the task now."""
        return [
            name
            for name, agent in world.cloud.workers.items()
            if any(t.task_id == self.task and t.on_machine for t in agent.worker.tasks.values())
        ]

    async def deliver_copy(self, world: World) -> None:
        """Deliver the call once more."""
        await world.network.deliver_copy(
            self.source, self.machine, "POST", COMMANDS_PATH, self.body
        )


def record_answered_starts(world: World) -> list[AnsweredStart]:
    """Return a list that grows with each start in an answered call from now on."""
    answered: list[AnsweredStart] = []
    call = world.network.call

    async def recording_call(
        a: str, b: str, method: str, target: str, body: bytes | None
    ) -> ServiceResponse:
        response = await call(a, b, method, target, body)
        if target == COMMANDS_PATH and response[0] == 200 and body is not None:
            answered.extend(
                AnsweredStart(a, b, body, command["item"], command["try"])
                for command in orjson.loads(body)["orders"]
                if command["verb"] == "run"
            )
        return response

    world.network.call = recording_call  # type: ignore[method-assign]
    return answered


async def start_of_failed_attempt_arrives_again(world: World) -> None:
    """Deliver a start again whose attempt failed, while the task runs on another machine."""
    answered = record_answered_starts(world)
    while world.now() < BUSY_S:
        await asyncio.sleep(0.1)
        for agent in world.cloud.workers.values():
            agent.worker.faulty = world.now() % 20.0 < 5.0
        for start in answered:
            elsewhere = start.machines_with_task(world)
            if elsewhere and start.machine not in elsewhere and start.forgotten(world):
                world.counts["copies"] += 1
                await start.deliver_copy(world)
                answered.remove(start)
                break


def test_a_copy_of_a_start_runs_no_failed_task_beside_its_next_attempt() -> None:
    """Guards against ``ran_twice`` by a call that was carried out and answered before."""
    world = simulate(610, start_of_failed_attempt_arrives_again)
    assert world.counts["copies"] > 3


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
