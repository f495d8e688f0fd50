"""Jobs that failed on faulty machines run once these are gone, and broken jobs cost little.

``python -m tests.test_broken_jobs`` measures what a broken array costs in ten minutes.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import pytest

from dunehold.coordination.planning.health import Health
from dunehold.emulator.agents.external_services import WorkerAgent
from dunehold.emulator.history import Event
from dunehold.types import HostId, JobId, MonotonicTime
from tests.test_fault_combinations import leader_of
from tests.virtual_time import run_on_virtual_time
from tests.world import World

FAULTY_MACHINES = 3  # the machines that are up first
JOB_CHANGES: dict[str, dict[str, Any]] = {
    "array": {},
    "bound to a zone": {"hall": "north"},
    "bound to a type": {"flavours": ["small"]},
    "gang": {"shape": "gang"},
    "service": {"shape": "standing"},
}


def make_job(world: World, number: int, **changes: Any) -> dict[str, Any]:
    """Return a job with three tasks, each of which fills a small machine."""
    fields = {
        "jobclass": "long",
        "owner": "red",
        "shape": "batch",
        "rank": "normal",
        "units": 3,
        "vcpus": 4.0,
        "memory_gb": 4.0,
        "flavours": ["small"],
        "hall": None,
        "together": False,
        "spread": False,
        "loaner": False,
        "expect_s": 5.0,
        "real_s": 5.0,
        "broken": False,
        "snapshot_s": 0.0,
        "due_s": None,
    }
    job = world.make_job(number) | fields | changes
    world.jobs.upload(job)
    return job


def running(world: World, uid: str) -> int:
    """The number of the job's tasks that run on machines."""
    return sum(
        task.task_id.startswith(uid) and task.phase == "running"
        for agent in world.cloud.workers.values()
        for task in agent.worker.tasks.values()
    )


async def lose_faulty_machines(
    world: World, job: dict[str, Any], change_leader: bool = False
) -> None:
    """Let the job fail on the first machines, and remove these; then nothing is at fault."""
    faulty: set[str] = set()
    failed: set[str] = set()
    on_host_up = world.cloud.on_host_up

    def start_faulty(agent: WorkerAgent) -> None:
        if len(faulty) < FAULTY_MACHINES:
            faulty.add(agent.worker.machine.name)
            agent.worker.faulty = True
        on_host_up(agent)

    def note_failure(event: Event) -> None:
        if event.kind == "off" and event.data["why"] == "error":
            failed.add(event.data["host"])

    world.cloud.on_host_up = start_faulty
    world.history.listeners.append(note_failure)
    world.spawn(world.users.run_job(job, None))
    while len(failed) < FAULTY_MACHINES:
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.0)
    if change_leader and (process := leader_of(world)) is not None:
        world.spawn(process.restart(0.5))
    for name in sorted(faulty):
        world.cloud.remove_host(name)


async def wait_until(
    world: World, condition: Callable[[], bool], within_s: float = 90.0
) -> bool:
    end = world.now() + within_s
    while world.now() < end and not condition():
        await asyncio.sleep(0.5)
    return condition()


def run_without_arrivals(seed: int, faults: Callable[[World], Any], end_s: float) -> World:
    """Run a world in which only the fault function submits jobs."""

    async def run_world() -> World:
        world = World(seed)
        await world.run(faults, -1.0, end_s)
        return world

    return run_on_virtual_time(run_world)


@pytest.mark.parametrize("change_leader", [False, True])
@pytest.mark.parametrize("kind", JOB_CHANGES)
def test_a_job_that_failed_on_faulty_machines_runs_once_they_are_gone(
    kind: str, change_leader: bool
) -> None:
    """Guards against a job that is judged broken for good, for which nothing is rented."""

    async def check(world: World) -> None:
        job = make_job(world, 1, **JOB_CHANGES[kind])
        await lose_faulty_machines(world, job, change_leader)
        if kind == "service":
            done = await wait_until(world, lambda: running(world, job["uid"]) == 3)
        else:
            done = await wait_until(world, lambda: world.final_phases.get(job["uid"]) == "done")
        world.counts["done"] = int(done)

    assert run_without_arrivals(600, check, 240.0).counts["done"] == 1


def test_a_job_that_others_await_runs_once_its_faulty_machines_are_gone() -> None:
    async def check(world: World) -> None:
        job = make_job(world, 1)
        await lose_faulty_machines(world, job)
        last = make_job(world, 2, awaits=[job["uid"]], units=1)
        world.spawn(world.users.run_job(last, None))
        world.counts["done"] = await wait_until(
            world, lambda: world.final_phases.get(last["uid"]) == "done"
        )

    assert run_without_arrivals(601, check, 240.0).counts["done"] == 1


def at(seconds: float) -> MonotonicTime:
    return MonotonicTime(seconds)


def judged_job() -> tuple[Health, JobId, list[HostId]]:
    health, job = Health(2), JobId("j")
    hosts = [HostId(f"m{number}") for number in range(3)]
    for host in hosts:
        health.record_failure(job, host, at(0.0))
    assert health.is_broken(job) and health.is_on_trial(job)
    return health, job, hosts


def test_the_judgement_lapses_with_machines_on_which_nothing_succeeded() -> None:
    health, job, hosts = judged_job()
    health.forget_host(hosts[0], at(1.0))
    assert not health.is_broken(job) and not health.in_backoff(job, at(1.0))
    assert health.is_on_trial(job)  # one task at a time, until one succeeds
    health.record_success(job, HostId("m9"))
    assert not health.is_on_trial(job)


def test_the_judgement_stands_when_a_machine_that_was_in_order_is_returned() -> None:
    health, job, hosts = judged_job()
    health.record_success(JobId("other"), hosts[0])
    health.forget_host(hosts[0], at(1.0))
    assert health.is_broken(job)


def test_the_judgement_lapses_when_other_jobs_show_a_machine_to_be_faulty() -> None:
    health, job, hosts = judged_job()
    for other in ("a", "b"):
        health.record_failure(JobId(other), hosts[0], at(1.0))
    assert health.is_faulty(hosts[0]) and not health.is_broken(job)


def test_intervals_do_not_start_anew_when_a_judgement_lapses() -> None:
    health, job, _ = judged_job()
    now, tries = 0.0, 0
    while now < 600.0:
        if not health.in_backoff(job, at(now)):
            host = HostId(f"n{tries}")
            health.record_failure(job, host, at(now))
            tries += 1
            if tries % 2:  # every other machine is returned with nothing having succeeded
                health.forget_host(host, at(now))
        now += 1.0
    assert tries <= 40, tries


def broken_array_cost(seconds: float) -> tuple[float, int, int]:
    """Return money, machines rented and failed tasks for a broken array that is alone."""
    rented: set[str] = set()

    async def submit(world: World) -> None:
        world.spawn(world.users.run_job(make_job(world, 1, units=20, broken=True), None))
        while world.now() < seconds:
            rented.update(world.cloud.cloud.hosts)
            world.measured = world.cloud.cloud.cost(world.now())
            await asyncio.sleep(0.5)

    world = run_without_arrivals(602, submit, seconds + 1.0)
    return world.measured, len(rented), world.failed_tasks


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 600.0
    money, machines, failures = broken_array_cost(seconds)
    print(f"{seconds:g} s: money {money:.3f}, {machines} machines, {failures} failed tasks")


def test_a_broken_array_is_tried_with_one_machine_at_a_time() -> None:
    """After the judgement, machines for it come singly: few in the second five minutes."""
    first = broken_array_cost(300.0)
    both = broken_array_cost(600.0)
    assert both[1] - first[1] <= 300.0 / 20.0, (first, both)
    assert both[2] - first[2] <= 300.0 / 20.0, (first, both)


if __name__ == "__main__":
    main()
