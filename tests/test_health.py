"""Telling broken jobs from faulty machines: each is judged by the failures of the other."""

from __future__ import annotations

import asyncio
import random

import pytest

from dunehold.coordination.planning.health import Health
from dunehold.types import HostId, JobId, MonotonicTime
from tests.test_rules import simulate
from tests.world import World


def at(seconds: float) -> MonotonicTime:
    return MonotonicTime(seconds)


@pytest.mark.parametrize("seed", range(6))
def test_broken_jobs_and_faulty_machines_are_told_apart(seed: int) -> None:
    """Good and broken jobs run on good and faulty machines, in random order."""
    rng = random.Random(seed)
    hosts = [HostId(f"m{n}") for n in range(40)]
    faulty = set(rng.sample(hosts, 3))
    jobs = [JobId(f"j{n}") for n in range(60)]
    broken = set(rng.sample(jobs, 12))
    health = Health(2)
    for step in range(1500):
        now = at(step * 0.5)
        job, host = rng.choice(jobs), rng.choice(hosts)
        if health.is_faulty(host) or health.in_backoff(job, now):
            continue
        if job in broken or host in faulty:
            health.record_failure(job, host, now)
        else:
            health.record_success(job, host)
    assert {host for host in hosts if health.is_faulty(host)} == faulty
    assert health.broken_jobs() == broken


def test_a_broken_job_is_retried_at_growing_intervals() -> None:
    health = Health(2)
    job, now, tries = JobId("j"), 0.0, 0
    while now < 600.0:
        if not health.in_backoff(job, at(now)):
            # Several tasks that fail at almost the same time count as one try.
            for task in range(5):
                health.record_failure(job, HostId(f"m{tries}-{task}"), at(now + task * 0.01))
            tries += 1
        now += 1.0
    assert health.is_broken(job)
    assert 5 <= tries <= 16


def test_broken_jobs_found_by_one_leader_are_known_to_the_next() -> None:
    health = Health(2)
    health.restore_broken_jobs({JobId("j")}, at(0.0))
    assert health.in_backoff(JobId("j"), at(1.0))
    # If the judgement was wrong, the first success lifts it.
    health.record_success(JobId("j"), HostId("m"))
    assert not health.in_backoff(JobId("j"), at(1.0))
    assert not health.is_broken(JobId("j"))


def test_a_failing_job_with_a_single_suitable_machine_is_retried_with_backoff() -> None:
    """Guards against a job that is retried without end.

    A job counts as broken after failures on three machines. With only one machine to run on,
    it never does, and without backoff it is retried at once.
    """
    health = Health(2)
    tries, now = 0, 0.0
    while now < 120.0:
        if not health.in_backoff(JobId("j"), at(now)):
            tries += 1
            for _ in range(4):  # its tasks fail together
                health.record_failure(JobId("j"), HostId("only"), at(now))
        now += 0.5
    assert tries < 25  # 240 without backoff
    assert not health.is_broken(JobId("j"))


def test_tasks_that_fail_together_on_one_machine_cause_no_backoff() -> None:
    health = Health(2)
    for _ in range(20):
        health.record_failure(JobId("j"), HostId("faulty"), at(1.0))
    assert not health.in_backoff(JobId("j"), at(1.1))


async def broken_jobs_and_restarts(world: World) -> None:
    """Submit 35 % broken jobs and restart the leader every 25 s, three times."""
    world.broken_share = 0.35
    for _ in range(3):
        await asyncio.sleep(25.0)
        for process in world.nodes:
            if process.node is not None and process.node.leader is not None:
                world.spawn(process.restart(3.0))


def test_broken_jobs_cause_few_failures_across_leaders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a wave of failures of every broken job at each change of leader.

    Patched out for comparison: the restoring of known broken jobs, and the backoff.
    """
    remembered = sum(simulate(seed, broken_jobs_and_restarts).failed_tasks for seed in range(3))
    monkeypatch.setattr(Health, "restore_broken_jobs", lambda *_: None)
    monkeypatch.setattr(Health, "in_backoff", lambda *_: False)
    forgotten = sum(simulate(seed, broken_jobs_and_restarts).failed_tasks for seed in range(3))
    assert remembered < 0.6 * forgotten, (remembered, forgotten)
