"""Jobs and machines are judged by one another's failures."""

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
def test_broken_jobs_cost_no_machine_and_faulty_machines_are_found(seed: int) -> None:
    """Tasks of good and broken jobs on good and faulty machines, in any order."""
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


def test_a_broken_job_is_tried_ever_more_seldom() -> None:
    health = Health(2)
    job, now, tries = JobId("j"), 0.0, 0
    while now < 600.0:
        if not health.in_backoff(job, at(now)):
            # Many tasks of it fail in the same moment: that is one try.
            for task in range(5):
                health.record_failure(job, HostId(f"m{tries}-{task}"), at(now + task * 0.01))
            tries += 1
        now += 1.0
    assert health.is_broken(job)
    assert 5 <= tries <= 16


def test_what_a_leader_found_spares_the_next_the_failures() -> None:
    health = Health(2)
    health.restore_broken_jobs({JobId("j")}, at(0.0))
    assert health.in_backoff(JobId("j"), at(1.0))
    # Judged wrongly, it is free again with its first result.
    health.record_success(JobId("j"), HostId("m"))
    assert not health.in_backoff(JobId("j"), at(1.0))
    assert not health.is_broken(JobId("j"))


def test_a_job_with_one_machine_to_run_on_is_not_tried_without_end() -> None:
    """It can't fail on three machines, so it was never judged, and tried again at once."""
    health = Health(2)
    tries, now = 0, 0.0
    while now < 120.0:
        if not health.in_backoff(JobId("j"), at(now)):
            tries += 1
            for _ in range(4):  # its tasks all fail together
                health.record_failure(JobId("j"), HostId("only"), at(now))
        now += 0.5
    assert tries < 25  # 240 without it
    assert not health.is_broken(JobId("j"))


def test_tasks_that_fail_together_on_a_faulty_machine_slow_nothing_down() -> None:
    health = Health(2)
    for _ in range(20):
        health.record_failure(JobId("j"), HostId("faulty"), at(1.0))
    assert not health.in_backoff(JobId("j"), at(1.1))


async def broken_jobs_and_restarts(world: World) -> None:
    world.broken_share = 0.35
    for _ in range(3):
        await asyncio.sleep(25.0)
        for box in world.nodes:
            if box.node is not None and box.node.leader is not None:
                world.spawn(box.restart(3.0))


def test_jobs_with_a_mistake_fail_seldom_across_leaders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each change of leader cost the fleet a wave of failures for every broken job."""
    remembered = sum(simulate(seed, broken_jobs_and_restarts).failed_tasks for seed in range(3))
    monkeypatch.setattr(Health, "restore_broken_jobs", lambda *_: None)
    monkeypatch.setattr(Health, "in_backoff", lambda *_: False)
    forgotten = sum(simulate(seed, broken_jobs_and_restarts).failed_tasks for seed in range(3))
    assert remembered < 0.6 * forgotten, (remembered, forgotten)
