"""Unit tests of zone health, the zone monitor, fair shares, urgency and guarantees."""

from __future__ import annotations

from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunehold.bookkeeping.hosts import Host, Run
from dunehold.bookkeeping.records import JobRecord
from dunehold.coordination.planning import guarantees
from dunehold.coordination.planning.health import Health
from dunehold.coordination.planning.offers import Offer, demands_for_job
from dunehold.coordination.planning.progress import JobProgress
from dunehold.coordination.zones.health import Evidence, KindCounts, ZoneHealth
from dunehold.coordination.zones.monitor import ZoneMonitor
from dunehold.coordination.zones.shares import fair_shares
from dunehold.coordination.zones.urgency import Urgency, urgency
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.users import JobSpec, decode_job_object
from dunehold.settings import TeamSettings
from dunehold.types import (
    NO_RESOURCES,
    UNBOUNDED,
    Attempt,
    AttemptId,
    Duration,
    HostId,
    Image,
    JobId,
    JobPhase,
    MonotonicTime,
    Resources,
    Revision,
    TaskId,
    Team,
    TypeName,
    WallTime,
    Zone,
    ZoneCondition,
)
from tests.test_protocol import JOB
from tests.world import ZONES

HEALTHY, SUSPECT = ZoneCondition.HEALTHY, ZoneCondition.SUSPECT


LOST, RECOVERING = ZoneCondition.LOST, ZoneCondition.RECOVERING


ALL_REPORTING = (KindCounts(10, 10), KindCounts(4, 4))


MOSTLY_SILENT = (KindCounts(10, 0), KindCounts(4, 1))


def health_after(*seen: tuple[float, Evidence], health: ZoneHealth | None = None) -> ZoneHealth:
    """Return the health after evidence at the given times in s."""
    health = health or ZoneHealth(confirm_s=2.0, trust_s=4.0)
    for at, one in seen:
        health.update(one, MonotonicTime(at))
    return health


def test_a_zone_is_lost_once_all_kinds_of_machines_have_been_silent_for_a_while() -> None:
    seen = Evidence(MOSTLY_SILENT, others_heard=True, controllers=2)
    assert health_after((0.0, seen)).condition is SUSPECT
    assert health_after((0.0, seen), (1.5, seen)).condition is SUSPECT
    assert health_after((0.0, seen), (2.0, seen)).condition is LOST


@pytest.mark.parametrize(
    "seen",
    [
        Evidence(
            (KindCounts(10, 0), KindCounts(4, 4)), True, 2
        ),  # one failed machine type, or a wave of spot reclaims
        Evidence(MOSTLY_SILENT, False, 2),  # no other zone is heard: the leader may be cut off
        Evidence((KindCounts(10, 0),), True, 2, reached=2),  # one kind; controllers answer
        Evidence((KindCounts(10, 0),), True, 2),  # one kind; no controller was polled yet
        Evidence((), True, 2, reached=0),  # no machine was ever there
    ],
)
def test_insufficient_evidence_does_not_make_a_zone_lost(seen: Evidence) -> None:
    steps = [(step * 0.5, seen) for step in range(100)]
    assert health_after(*steps).condition in (HEALTHY, SUSPECT)


def test_the_trust_delay_of_a_flapping_zone_doubles() -> None:
    """The delay doubles with each flap and resets after a long time without flaps."""
    lost, back = Evidence(MOSTLY_SILENT, True, 2), Evidence(ALL_REPORTING, True, 2)
    health, now, trust_delays = ZoneHealth(2.0, 4.0), 0.0, []
    for _ in range(5):
        while health.condition is not LOST:
            now += 0.5
            health.update(lost, MonotonicTime(now))
        now += 0.5
        health.update(back, MonotonicTime(now))
        assert health.condition is RECOVERING
        began = now
        trust_delays.append(health.trust_delay_s)
        now += trust_delays[-1] * 0.9
        health.update(back, MonotonicTime(now))
        assert health.condition is RECOVERING, now - began
    assert trust_delays == [4.0, 8.0, 16.0, 32.0, 64.0]
    assert health_after((now + 200.0, back), health=health).condition is HEALTHY
    assert health_after((now + 900.0, back), health=health).flaps == 0


EVIDENCE = st.builds(
    Evidence,
    st.lists(
        st.integers(1, 9).flatmap(
            lambda n: st.builds(KindCounts, st.just(n), st.integers(0, n))
        ),
        max_size=3,
    ).map(tuple),
    st.booleans(),
    st.integers(0, 2),
    st.sampled_from([None, 0, 1]),
)


@given(st.lists(st.tuples(st.floats(0.1, 9.0), EVIDENCE), max_size=60))
def test_random_evidence_causes_only_allowed_transitions(
    sequence: list[tuple[float, Evidence]],
) -> None:
    health, now, suspect_at = ZoneHealth(2.0, 4.0), 0.0, 0.0
    for gap, seen in sequence:
        now += gap
        before = health.condition
        health.update(seen, MonotonicTime(now))
        if before is HEALTHY:
            assert health.condition in (HEALTHY, SUSPECT)
            suspect_at = now
        if before is SUSPECT and health.condition is LOST:
            assert now - suspect_at >= 2.0 and seen.others_heard and seen.silent
        if before is LOST:
            assert health.condition in (LOST, RECOVERING)
            assert health.condition is LOST or seen.heard or seen.reached
        if before is RECOVERING and health.condition is HEALTHY:
            assert seen.heard > 0
        assert health.trust_delay_s <= 120.0


DEMANDS = st.dictionaries(st.sampled_from("abcdef"), st.floats(0.0, 1000.0), max_size=6)


WEIGHTS = st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 1000), max_size=6)


@given(st.floats(0.0, 3000.0), DEMANDS, WEIGHTS)
def test_shares_are_as_even_by_weight_as_demand_allows(
    room: float, demand: dict[str, float], weights: dict[str, int]
) -> None:
    shares = fair_shares(room, demand, weights)
    assert sum(shares.values()) <= room + 1e-6
    # No room stays unassigned while demand is left.
    assert sum(shares.values()) >= min(room, sum(demand.values())) - 1e-6
    for key, share in shares.items():
        assert -1e-9 <= share <= demand[key] + 1e-6
        weight = weights.get(key, 0.0)
        if weight > 0 and share < demand[key] - 1e-6:
            for other, other_share in shares.items():
                if weights.get(other, 0.0) > 0:
                    assert other_share / weights[other] <= share / weight + 1e-6 * (
                        1 + other_share / weight
                    )
                else:
                    assert other_share <= 1e-6


def test_services_without_replicas_have_the_highest_urgency() -> None:
    assert urgency(True, 4, 0) is Urgency.DOWN
    assert urgency(True, 4, 1) is Urgency.DEGRADED
    assert urgency(True, 4, 2) is urgency(False, 4, 0) is Urgency.NORMAL
    assert urgency(True, 1, 1) is Urgency.NORMAL


def test_scarce_room_is_shared_by_guarantee_without_stopping_runs() -> None:
    """With room for half of the demand, each team's first jobs fill its share of the room.

    Which runs lie beyond a guarantee does not depend on the room.
    """
    teams = {
        Team(name): TeamSettings(Team(name), Resources(cpus, 0.0, 1e9), None, None)
        for name, cpus in (("blue", 48.0), ("red", 16.0))
    }
    records, jobs = {}, {}
    for number in range(20):
        owner = "blue" if number % 2 else "red"
        row = JOB | {
            "uid": f"job-{number:06d}",
            "owner": owner,
            "vcpus": 4.0,
            "gpus": 0.0,
            "units": 1,
        }
        spec = decode_job_object(row | {"together": False})
        at = WallTime(float(number))
        records[spec.id] = JobRecord(spec.id, JobPhase.ACTIVE, Revision(1), at, spec, 1)
        jobs[spec.id] = JobProgress(spec, {0})
    ledger: Any = SimpleNamespace(
        view=SimpleNamespace(active=records),
        occupancy=SimpleNamespace(
            task_zones_by_job={}, runs_by_task={}, team_usage=lambda _: NO_RESOURCES
        ),
    )
    settings: Any = SimpleNamespace(teams=teams)

    def count_guaranteed(room: float | None) -> tuple[int, int]:
        found = guarantees.jobs_within_guarantee(settings, ledger, Health(2), jobs, room)
        blue = sum(records[job].spec.team == "blue" for job in found)  # type: ignore[union-attr]
        return blue, len(found) - blue

    assert count_guaranteed(None) == (10, 4)  # blue demands 40 CPUs of its 48, red 16 of its 16
    assert count_guaranteed(28.0) == (5, 1)  # 28 CPUs are shared 3 to 1: 21 and 7
    assert count_guaranteed(100.0) == (10, 4)
    busy = [Run(AttemptId(TaskId(job, 0), Attempt(n)), HostId("m"), spec_of(records[job]).team,
                spec_of(records[job]).need, Image("i"), 1.0, MonotonicTime(n))
            for n, job in enumerate(records)]  # fmt: skip
    use = {team: Resources(40.0, 0.0, 0.0) for team in teams}
    ledger.occupancy.runs_by_task, ledger.occupancy.team_usage = (
        {run.id.task: [run] for run in busy},
        use.get,
    )
    beyond = guarantees.borrowed_runs(settings, ledger)
    assert {run.team for run in busy if run.id in beyond} == {"red"} and len(beyond) == 6


def test_runs_within_a_guarantee_are_not_preempted_for_having_started_last() -> None:
    """Guards against repeated preemption of runs within a team's guarantee.

    When the latest runs are chosen by start time alone, they are stopped for another team, but
    as jobs within the guarantee they take the cleared room again half a second later.
    """
    teams = {Team("red"): TeamSettings(Team("red"), Resources(16.0, 0.0, 1e9), None, None)}
    runs = [
        Run(AttemptId(TaskId(JobId(job), n), Attempt(n)), HostId("m"), Team("red"),
            Resources(4.0, 0.0, 1.0), Image("i"), 1.0, MonotonicTime(float(n)))
        for n, job in enumerate(["later"] * 4 + ["first"] * 3)
    ]  # fmt: skip
    use = Resources(28.0, 0.0, 7.0)
    ledger: Any = SimpleNamespace(
        occupancy=SimpleNamespace(
            runs_by_task={run.id.task: [run] for run in runs}, team_usage=lambda _: use
        )
    )
    settings: Any = SimpleNamespace(teams=teams)

    def borrowing_jobs(guaranteed: set[JobId]) -> list[JobId]:
        beyond = guarantees.borrowed_runs(settings, ledger, guaranteed)
        return [run.id.task.job for run in runs if run.id in beyond]

    assert borrowing_jobs(set()) == ["first"] * 3
    assert borrowing_jobs({JobId("first")}) == ["later"] * 3


def spec_of(record: JobRecord) -> JobSpec:
    assert record.spec is not None
    return record.spec


def test_demand_in_a_zone_counts_only_tasks_that_may_run_there() -> None:
    """Guards against renting machines that stay idle while a zone is lost.

    Replicas that may run only in the lost zone must not count as demand in the other zone.
    """
    row = JOB | {"units": 9, "together": False, "spread": True, "flavours": None, "hall": None}
    spec = decode_job_object(row)
    north, south = Zone("north"), Zone("south")

    def demanded(row: dict[str, Any], tasks: int, placed: dict[Zone, int], *usable: Zone):  # type: ignore[no-untyped-def]
        found = demands_for_job(decode_job_object(row), tasks, 9.0, placed, usable)
        return {
            zone: sum(d.tasks for d in found if d.allowed(Offer(TypeName("t"), zone, False)))
            for zone in (north, south)
        }

    assert spec.spread
    assert demanded(row, 9, {}, north, south) == {north: 5, south: 4}
    assert demanded(row, 6, {north: 3}, north, south) == {north: 2, south: 4}
    assert demanded(row, 9, {}, north) == {north: 5, south: 0}
    assert demanded(row, 4, {north: 5}, north) == {north: 0, south: 0}
    assert demanded(row, 4, {north: 5}, north, south) == {north: 0, south: 4}
    together = row | {"spread": False, "together": True}
    assert demanded(together, 3, {south: 6}, north) == {north: 0, south: 3}
    bound = row | {"spread": False, "hall": "south"}
    assert demanded(bound, 9, {}, north) == {north: 0, south: 0}


def make_monitor(hosts: list[Host]) -> ZoneMonitor:
    """Return a monitor of two zones with a report interval of 2 s."""
    ledger: Any = SimpleNamespace(
        hosts={host.id: host for host in hosts},
        took_over_at=MonotonicTime(0.0),
        relayed_until={},
    )
    settings: Any = SimpleNamespace(
        report_s=2.0, zones=tuple(map(Zone, ZONES)), peers=(SimpleNamespace(zone=ZONES[1]),)
    )
    kind = MachineType(
        TypeName("small"), Resources(4.0, 0.0, 16.0), 8.0, 0.5, 0.2, 0.1, Duration(20.0), ()
    )
    return ZoneMonitor(settings, ledger, {kind.name: kind}, None, 6.0, lambda _: None)  # type: ignore[arg-type]


def make_host(name: str, zone: str, spot: bool, heard_at: float) -> Host:
    host = Host(
        HostId(name), TypeName("small"), Zone(zone), spot, "", MonotonicTime(1.0), NO_RESOURCES
    )
    host.up, host.heard_at = True, MonotonicTime(heard_at)
    return host


def mark_zone_lost(monitor: ZoneMonitor, now: float = 100.0) -> None:
    """Keep the first zone reporting until the silent second zone counts as lost."""
    for step in (-6, *range(8)):
        for host in monitor.ledger.hosts.values():
            if host.zone == ZONES[0]:
                host.heard_at = MonotonicTime(now + step)
        monitor.evaluate(MonotonicTime(now + step), MonotonicTime(0.0))
    assert monitor.is_lost(Zone(ZONES[1]))


def hosts_with_silent_zone(silent: int) -> list[Host]:
    """Return 8 hosts that report in the first zone and ``silent`` hosts in the second one."""
    hosts = [make_host(f"n{n}", ZONES[0], n % 2 == 0, 100.0) for n in range(8)]
    return hosts + [make_host(f"s{n}", ZONES[1], n % 2 == 0, 90.0) for n in range(silent)]


def test_two_ordinary_machines_are_kept_as_sentinels_of_a_lost_zone() -> None:
    monitor = make_monitor(hosts_with_silent_zone(8))
    mark_zone_lost(monitor)
    assert monitor.sentinels == {"s1", "s3"}
    monitor.ledger.hosts["s1"].deleting = True  # as when the cloud no longer lists it
    monitor.evaluate(MonotonicTime(108.0), MonotonicTime(0.0))
    assert monitor.sentinels == {"s3", "s5"}
    assert monitor.rent_limit(Zone(ZONES[1])) == 0 and not monitor.zones_to_probe(
        MonotonicTime(108.0)
    )


def test_zones_without_machines_are_probed_at_growing_intervals() -> None:
    """The interval between probes doubles from 30 s to at most 300 s."""
    monitor = make_monitor(hosts_with_silent_zone(8))
    mark_zone_lost(monitor)
    for host in list(monitor.ledger.hosts.values()):
        if host.zone == ZONES[1]:
            del monitor.ledger.hosts[host.id]
    sent = [at for at in range(110, 1500) if monitor.zones_to_probe(MonotonicTime(float(at)))]
    gaps = [later - earlier for earlier, later in pairwise(sent)]
    assert gaps == [30, 60, 120, 240, 300, 300, 300]


def test_rentals_in_a_recovering_zone_are_limited_to_steps() -> None:
    monitor = make_monitor(hosts_with_silent_zone(80))
    mark_zone_lost(monitor)
    back = [host for host in monitor.ledger.hosts.values() if host.zone == ZONES[1]]
    now = MonotonicTime(120.0)
    for host in monitor.ledger.hosts.values():
        host.heard_at = now
    monitor.evaluate(now, MonotonicTime(0.0))
    assert monitor.condition(Zone(ZONES[1])) is RECOVERING
    # A tenth of the 80 machines that were up there.
    assert monitor.rent_limit(Zone(ZONES[1])) == 8
    for host in back[:5]:
        host.up, host.heard_at = False, MonotonicTime(-1e9)  # as if it had just been rented
    assert monitor.rent_limit(Zone(ZONES[1])) == 3
    assert monitor.rent_limit(Zone(ZONES[0])) == UNBOUNDED


def test_silent_machines_of_a_lost_zone_are_presumed_lost() -> None:
    monitor = make_monitor(hosts_with_silent_zone(8))
    mark_zone_lost(monitor)
    silent, heard = monitor.ledger.hosts[HostId("s0")], monitor.ledger.hosts[HostId("n0")]
    assert monitor.presumed_lost(silent) and not monitor.presumed_lost(heard)
