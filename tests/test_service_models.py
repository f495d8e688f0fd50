"""The models of worker, cloud, load balancer and network partitions follow the protocol."""

from __future__ import annotations

import random
from typing import Any

import orjson
import pytest

from dunehold.emulator.model.balancer import Balancer
from dunehold.emulator.model.cloud import (
    FAILED_LISTED_AS_RUNNING_S,
    BootProfile,
    Cloud,
    HostEventKind,
    HostKind,
    MachineType,
)
from dunehold.emulator.model.jobs import Jobs
from dunehold.emulator.model.partitions import NetworkPartitions, PartitionMode
from dunehold.emulator.model.worker import Machine, Route, TaskEventKind, Worker, next_route

LEASE_S = 10.0


def make_job(uid: str = "job-1", **more: Any) -> dict[str, Any]:
    return {
        "uid": uid, "shape": "batch", "vcpus": 2.0, "gpus": 0.0, "memory_gb": 1.0,
        "bundle": "img", "size_gb": 1.0, "expect_s": 10.0, "snapshot_s": 0.0, "flush_s": 1.0,
        "real_s": 10.0, **more,
    }  # fmt: skip


def make_worker(*rows: dict[str, Any], vcpus: float = 4.0, cache_gb: float = 10.0) -> Worker:
    """Return a worker at time 0 on a machine that fetches images at 1 GB/s."""
    jobs = Jobs(random.Random(1))
    for row in rows or (make_job(),):
        jobs.upload(row)
    machine = Machine("m", "m:1", "t", "a", True, vcpus, 0.0, 16.0, cache_gb, 1.0)
    return Worker(machine, jobs, LEASE_S, 0.0)


def run_command(task: str, attempt: int = 1) -> dict[str, Any]:
    return {"verb": "run", "item": task, "try": attempt}


def stop_command(task: str, grace_s: float, attempt: int = 1) -> dict[str, Any]:
    return {"verb": "stop", "item": task, "try": attempt, "wind_down_s": grace_s}


def answer_report(
    worker: Worker, now: float, *commands: dict[str, Any], response_token: int = 1
) -> bool:
    """Deliver the response to a report sent at ``now``; return whether it was accepted."""
    return worker.handle_report_response(
        now, worker.session, {"baton": response_token, "orders": list(commands)}, now
    )


def task_states(worker: Worker) -> dict[str, str]:
    """Return task#attempt -> exit reason, or phase while the task has not ended."""
    rows = worker.report()["units"]
    return {f"{r['item']}#{r['try']}": r.get("cause") or r["phase"] for r in rows}


def post_commands(worker: Worker, now: float, row: Any) -> tuple[int, dict[str, Any]]:
    """Send direct commands; return the status and the decoded body."""
    answer = worker.handle("POST", "/orders", orjson.dumps(row), now)
    return answer.status, orjson.loads(answer.body)


def test_a_task_fetches_its_image_and_runs_and_its_result_is_kept() -> None:
    worker = make_worker()
    assert answer_report(worker, 0.0, run_command("job-1/0"))
    assert task_states(worker) == {"job-1/0#1": "pulling"}
    worker.advance(1.5)
    assert task_states(worker) == {"job-1/0#1": "running"}
    answer_report(worker, 5.0)
    worker.advance(11.5)
    assert task_states(worker) == {"job-1/0#1": "done"}
    assert [event.kind for event in worker.events] == [
        TaskEventKind.STARTED,
        TaskEventKind.COMPLETED,
        TaskEventKind.ENDED,
    ]
    answer_report(
        worker, 11.5, {"verb": "reap", "item": "job-1/0", "try": 1}, run_command("job-1/0", 2)
    )
    worker.advance(11.6)
    assert task_states(worker) == {"job-1/0#2": "done"}


def test_starts_are_refused_for_unknown_jobs_running_tasks_and_no_room() -> None:
    worker = make_worker(make_job(), make_job("job-2", vcpus=3.0))
    answer_report(
        worker,
        0.0,
        run_command("job-9/0"),
        run_command("job-1/0"),
        run_command("job-1/0", 2),
        run_command("job-2/0"),
    )
    assert task_states(worker) == {
        "job-9/0#1": "unknown",
        "job-1/0#1": "pulling",
        "job-1/0#2": "in_use",
        "job-2/0#1": "no_room",  # tasks that fetch their image count
    }


def test_a_repeated_start_has_no_effect_until_the_task_is_reaped() -> None:
    worker = make_worker()
    answer_report(
        worker,
        0.0,
        run_command("job-1/0"),
        stop_command("job-1/0", 0.0),
        run_command("job-1/0"),
    )
    assert task_states(worker) == {"job-1/0#1": "halted"}
    answer_report(
        worker, 0.1, {"verb": "reap", "item": "job-1/0", "try": 1}, run_command("job-1/0")
    )
    assert task_states(worker) == {"job-1/0#1": "pulling"}


def test_a_fetch_is_cancelled_when_no_task_waits_for_its_image() -> None:
    worker = make_worker(make_job(), make_job("job-2", bundle="other", size_gb=3.0))
    answer_report(worker, 0.0, run_command("job-1/0"), run_command("job-2/0"))
    # Each image has 0.5 GB so far; from now on the first one gets the whole rate.
    answer_report(worker, 1.0, stop_command("job-2/0", 0.0))
    worker.advance(1.6)
    assert task_states(worker)["job-1/0#1"] == "running"
    answer_report(worker, 1.6, run_command("job-2/1"))
    worker.advance(4.0)
    assert task_states(worker)["job-2/1#1"] == "pulling"  # the fetch started again from 0


def test_images_fetched_at_the_same_time_share_the_fetch_rate() -> None:
    worker = make_worker(make_job(), make_job("job-2", bundle="other"))
    answer_report(worker, 0.0, run_command("job-1/0"), run_command("job-2/0"))
    worker.advance(1.9)
    assert set(task_states(worker).values()) == {"pulling"}
    worker.advance(2.1)
    assert set(task_states(worker).values()) == {"running"}


def test_the_cache_keeps_the_most_recently_used_images() -> None:
    rows = [make_job(f"job-{n}", bundle=f"i{n}", size_gb=4.0, real_s=0.1) for n in range(3)]
    worker = make_worker(*rows, cache_gb=8.0)
    for n in range(3):
        answer_report(worker, n * 6.0, run_command(f"job-{n}/0"))
        worker.advance(n * 6.0 + 5.0)
    answer_report(worker, 18.0, run_command("job-2/1"), run_command("job-0/1"))
    assert task_states(worker)["job-2/1#1"] == "running"
    assert task_states(worker)["job-0/1#1"] == "pulling"


def test_a_stopped_task_saves_its_progress_if_its_grace_period_allows() -> None:
    worker = make_worker(make_job(snapshot_s=3.0))
    answer_report(worker, 0.0, run_command("job-1/0"))
    worker.advance(5.0)
    answer_report(worker, 5.0, stop_command("job-1/0", 1.0))
    assert task_states(worker) == {"job-1/0#1": "flushing"}
    worker.advance(6.1)
    assert worker.report()["units"][0] | {"kept": True} == worker.report()["units"][0]
    answer_report(worker, 6.1, run_command("job-1/0", 2))
    worker.advance(11.9)
    assert task_states(worker)["job-1/0#2"] == "running"  # 10 s, less the 4 s of saved progress
    worker.advance(12.2)
    assert task_states(worker)["job-1/0#2"] == "done"


def test_a_second_stop_without_grace_period_ends_a_task_that_saves() -> None:
    worker = make_worker(make_job(snapshot_s=30.0, flush_s=5.0))
    answer_report(worker, 0.0, run_command("job-1/0"))
    worker.advance(2.0)
    answer_report(worker, 2.0, stop_command("job-1/0", 5.0))
    answer_report(worker, 2.5, stop_command("job-1/0", 3.0))
    assert task_states(worker) == {"job-1/0#1": "flushing"}
    answer_report(worker, 3.0, stop_command("job-1/0", 0.0))
    assert task_states(worker) == {"job-1/0#1": "halted"}
    assert "kept" not in worker.report()["units"][0]


def test_periodic_checkpoints_of_a_task_survive_its_machine() -> None:
    worker = make_worker(make_job(snapshot_s=3.0))
    answer_report(worker, 0.0, run_command("job-1/0"))
    worker.power_off(8.0)  # 7 s of progress: two checkpoints
    assert worker.job_data.progress("job-1/0") == pytest.approx(6.0)


def test_a_response_with_a_lower_token_is_dropped_and_renews_no_lease() -> None:
    worker = make_worker()
    answer_report(worker, 0.0, response_token=5)
    assert not answer_report(worker, 6.0, run_command("job-1/0"), response_token=4)
    assert not worker.handle_report_response(
        6.0, worker.session, {"orders": [run_command("job-1/0")]}, 6.0
    )
    assert task_states(worker) == {}
    worker.advance(10.1)
    assert worker.session == 2  # the lease that was renewed at 0 s has expired
    assert worker.token == 5


def test_direct_commands_need_token_and_session_and_renew_no_lease() -> None:
    worker = make_worker()
    assert post_commands(worker, 0.0, {"baton": 3, "orders": []})[0] == 400
    assert post_commands(worker, 0.0, {"tenure": 1, "orders": []})[0] == 400
    assert (
        post_commands(
            worker, 0.0, {"baton": 3, "tenure": 2, "orders": [run_command("job-1/0")]}
        )[0]
        == 409
    )
    status, row = post_commands(
        worker, 0.0, {"baton": 3, "tenure": 1, "orders": [run_command("job-1/0")]}
    )
    assert (status, row["baton"], len(row["units"])) == (200, 3, 1)
    assert post_commands(worker, 9.9, {"baton": 2, "tenure": 1, "orders": []})[0] == 409
    assert post_commands(worker, 9.9, {"baton": 3, "tenure": 1, "orders": []})[0] == 200
    worker.advance(10.1)
    assert (worker.session, task_states(worker)) == (2, {})


def test_responses_to_an_earlier_session_and_late_ones_are_dropped() -> None:
    worker = make_worker()
    worker.advance(10.1)
    assert not worker.handle_report_response(9.0, 1, {"baton": 1, "orders": []}, 10.2)
    assert not worker.handle_report_response(10.2, 2, {"baton": 1, "orders": []}, 14.3)


def test_an_expired_lease_kills_and_forgets_all_tasks() -> None:
    worker = make_worker(make_job(real_s=60.0))
    answer_report(worker, 0.0, run_command("job-1/0"))
    worker.advance(10.1)
    assert (task_states(worker), worker.session, worker.killed_tasks) == ({}, 2, 1)
    assert worker.events[-1].reason == "lease"


def test_a_hanging_machine_makes_no_progress_and_may_resume_within_its_lease() -> None:
    worker = make_worker(make_job(real_s=4.0))
    answer_report(worker, 0.0, run_command("job-1/0"))
    worker.advance(2.0)
    worker.hang(2.0, 6.0)
    worker.advance(7.9)
    assert task_states(worker) == {"job-1/0#1": "running"}
    answer_report(worker, 8.0)
    worker.advance(10.9)
    assert task_states(worker) == {"job-1/0#1": "running"}  # 6 s were lost to the hang
    worker.advance(11.1)
    assert task_states(worker) == {"job-1/0#1": "done"}


def test_faulty_machines_fail_tasks_and_slow_ones_delay_them() -> None:
    worker = make_worker(make_job(real_s=4.0))
    worker.faulty = True
    answer_report(worker, 0.0, run_command("job-1/0"))
    worker.advance(2.0)
    assert task_states(worker) == {"job-1/0#1": "error"}
    worker.faulty = False
    answer_report(worker, 2.0, run_command("job-1/1"))
    worker.advance(4.0)
    worker.set_speed(4.0, 0.5)
    worker.advance(7.9)
    assert task_states(worker)["job-1/1#1"] == "running"
    worker.advance(8.1)
    assert task_states(worker)["job-1/1#1"] == "done"


def test_reports_go_to_the_redirect_target_or_to_the_next_node() -> None:
    nodes = ["x", "y", "z"]
    assert next_route(nodes, 0, 200, {}, 0.3) == Route(0, None)
    assert next_route(nodes, 0, 421, {"steward": "z"}, 0.3) == Route(2, 0.3)
    for row in ({}, {"steward": "x"}, {"steward": "nobody"}):
        assert next_route(nodes, 0, 421, row, 0.3) == Route(1, 1.0)
    assert (
        next_route(nodes, 2, 503, {}, 0.3) == next_route(nodes, 2, 0, {}, 0.3) == Route(0, 1.0)
    )


# -- cloud -------------------------------------------------------------------------------


def make_cloud(count: int = 5, **more: Any) -> Cloud:
    machine_type = MachineType("t", 4.0, 16.0, 3.6, 1.2, 10.0, ("a",))
    kinds = {HostKind("t", "a", spot): count for spot in (True, False)}
    return Cloud({"t": machine_type}, kinds, random.Random(1), lambda n: f"h{n}:1", **more)


def call(cloud: Cloud, method: str, target: str, body: Any = None, now: float = 0.0) -> Any:
    data = None if body is None else orjson.dumps(body)
    answer = cloud.handle(method, target, data, now)
    return answer.status, orjson.loads(answer.body)


def rent(cloud: Cloud, rental: str, number: int, now: float = 0.0, spot: bool = False) -> Any:
    row = {"rental": rental, "flavour": "t", "hall": "a", "loaner": spot, "number": number}
    return call(cloud, "POST", "/hosts", row, now)


def test_rentals_are_filled_partly_or_refused_and_repeat_their_response() -> None:
    cloud = make_cloud()
    status, first = rent(cloud, "r", 3)
    assert (status, len(first["hosts"])) == (200, 3)
    assert rent(cloud, "r", 3) == (200, first)
    assert len(rent(cloud, "s", 5)[1]["hosts"]) == 2
    assert rent(cloud, "u", 1) == (503, {"error": "no capacity"})
    call(cloud, "POST", "/hosts/delete", {"hosts": [*first["hosts"], "m-none"]})
    assert rent(cloud, "u", 1)[0] == 200
    assert rent(cloud, "v", 51)[0] == 400
    assert call(cloud, "POST", "/hosts/delete", {"hosts": ["m"] * 101})[0] == 400
    assert (
        call(cloud, "POST", "/hosts", {"rental": "w", "flavour": "no", "number": 1})[0] == 400
    )


def test_boot_times_vary_and_some_machines_never_boot() -> None:
    cloud = make_cloud(60)
    rent(cloud, "r", 50)
    cloud.advance(15.1)
    up = [e for e in cloud.events if e.kind is HostEventKind.UP]
    assert len(up) == 50
    assert all(6.0 <= event.at <= 15.0 for event in up)
    cloud.boot_profile = BootProfile(never_share=1.0)
    name = rent(cloud, "s", 1, 20.0)[1]["hosts"][0]
    cloud.advance(2000.0)
    _, row = call(cloud, "GET", "/hosts", None, 2000.0)
    assert {h["uid"]: h["phase"] for h in row["hosts"]}[name] == "booting"


def test_lists_lag_and_show_failed_machines_as_running_for_a_while() -> None:
    cloud = make_cloud(list_lag_s=2.0)
    name = rent(cloud, "r", 1)[1]["hosts"][0]
    assert call(cloud, "GET", "/hosts", None, 0.2)[1]["hosts"] == []
    for tick in range(1, 100):
        cloud.advance(tick / 2)
    assert call(cloud, "GET", "/hosts", None, 50.0)[1]["hosts"][0]["phase"] == "running"
    cloud.fail_host(name, 50.0)
    phases = {}
    for tick in range(100, 200):
        cloud.advance(tick / 2)
        phases[tick / 2] = call(cloud, "GET", "/hosts", None, tick / 2)[1]["hosts"][0]["phase"]
    assert phases[50.0 + FAILED_LISTED_AS_RUNNING_S * 0.7] == "running"
    assert phases[99.5] == "failed"
    call(cloud, "POST", "/hosts/delete", {"hosts": [name]}, 100.0)
    for tick in range(200, 220):
        cloud.advance(tick / 2)
    assert call(cloud, "GET", "/hosts", None, 110.0)[1]["hosts"] == []
    # The capacity of the deleted machine is free again.
    assert len(rent(cloud, "s", 50, 110.0)[1]["hosts"]) == 5


def test_the_list_of_machines_is_paged() -> None:
    cloud = make_cloud()
    names = rent(cloud, "r", 5)[1]["hosts"]
    _, row = call(cloud, "GET", "/hosts?most=2")
    assert ([h["uid"] for h in row["hosts"]], row["more"]) == (names[:2], True)
    _, row = call(cloud, "GET", f"/hosts?after={names[1]}&most=500")
    assert ([h["uid"] for h in row["hosts"]], row["more"]) == (names[2:], False)


def test_the_request_rate_is_limited_and_an_outage_answers_503() -> None:
    cloud = make_cloud(rps=2.0)
    assert [call(cloud, "GET", "/hosts")[0] for _ in range(5)] == [200] * 4 + [429]
    assert call(cloud, "GET", "/hosts", None, 0.6)[0] == 200
    cloud.down = True
    assert call(cloud, "GET", "/flavors", None, 9.0) == (503, {"error": "trouble"})


def test_machines_are_billed_for_at_least_60_s() -> None:
    cloud = make_cloud()
    names = rent(cloud, "r", 2)[1]["hosts"]
    call(cloud, "POST", "/hosts/delete", {"hosts": names[:1]}, 20.0)
    assert cloud.spent == pytest.approx(3.6 * 60 / 3600)  # deleted after 20 s
    call(cloud, "POST", "/hosts/delete", {"hosts": names[1:]}, 1000.0)
    assert cloud.spent == pytest.approx(3.6 * 1060 / 3600)


def test_spot_prices_vary_by_a_third_and_apply_to_machines_rented_before() -> None:
    cloud = make_cloud()
    name = rent(cloud, "r", 1, spot=True)[1]["hosts"][0]
    prices, paid, price = set(), 0.0, cloud.machine_types["t"].spot_price
    for now in range(0, 601, 20):
        _, row = call(cloud, "GET", "/flavors", None, float(now))
        assert row["flavours"][0]["price"] == 3.6
        paid += price * (20 if now else 0) / 3600
        price = row["flavours"][0]["spot_price"]
        prices.add(price)
        assert 0.8 - 1e-9 <= price <= 1.6 + 1e-9
    assert len(prices) > 20
    call(cloud, "POST", "/hosts/delete", {"hosts": [name]}, 600.0)
    assert cloud.spent == pytest.approx(paid)


def test_spot_machines_are_reclaimed_with_a_notice_or_without() -> None:
    cloud = make_cloud()
    names = rent(cloud, "r", 2, spot=True)[1]["hosts"]
    cloud.advance(20.0)
    cloud.events.clear()
    cloud.reclaim_host(names[0], 20.0, silent=True)
    cloud.reclaim_host(names[1], 20.0, silent=False)
    cloud.advance(60.0)
    notice = next(e for e in cloud.events if e.kind is HostEventKind.NOTICE)
    assert notice.host == names[1]
    assert 5.0 <= notice.notice_s <= 15.0
    gone = {e.host: e.at for e in cloud.events if e.kind is HostEventKind.GONE}
    assert gone[names[0]] == 20.0
    assert gone[names[1]] == pytest.approx(20.0 + notice.notice_s)
    assert cloud.hosts == {}


# -- load balancer and network partitions ---------------------------------------------------


def test_two_failed_probes_eject_a_backend_for_a_time_that_doubles() -> None:
    """Two successful probes bring it back, but not before that time is over."""
    balancer, rng = Balancer.from_names(["x", "y"]), random.Random(1)
    balancer.record_probe("x", True, 0.0)  # one success is enough at first
    assert balancer.choose(0.0, rng, set()) == "x"
    at = 0.0
    for pause in (3.0, 6.0, 12.0):
        balancer.record_probe("x", False, at)
        balancer.record_probe("x", False, at)
        assert balancer.choose(at, rng, set()) is None
        balancer.record_probe("x", True, at + pause - 0.5)
        balancer.record_probe("x", True, at + pause - 0.1)
        assert balancer.choose(at, rng, set()) is None
        balancer.record_probe("x", True, at + pause)
        at += pause
        assert balancer.choose(at, rng, set()) == "x"


def test_three_failures_among_six_probes_eject_a_backend() -> None:
    balancer = Balancer.from_names(["x"])
    for succeeded in (True, False, True, False, True, False):
        balancer.record_probe("x", succeeded, 0.0)
    assert not balancer.backends["x"].healthy


def test_a_backend_is_skipped_after_three_failed_connections() -> None:
    """A request that has tried three backends gets no further one."""
    balancer, rng = Balancer.from_names(["v", "w", "x", "y"]), random.Random(1)
    for name in balancer.backends:
        balancer.record_probe(name, True, 0.0)
    for _ in range(3):
        balancer.connection_failed("x", 20.0)
    chosen = {balancer.choose(20.0 + t / 10, rng, set()) for t in range(29)}
    assert "x" not in chosen
    assert balancer.choose(20.0, rng, {"v", "w", "y"}) is None
    for name in ("v", "w", "y"):
        for _ in range(200):
            balancer.connection_opened(name)
    assert balancer.choose(23.1, rng, set()) == "x"  # it has the fewest open connections


def test_slow_start_of_healthy_backends_and_connection_reset_of_unhealthy_ones() -> None:
    balancer, rng = Balancer.from_names(["x", "y"]), random.Random(1)
    balancer.record_probe("x", True, 0.0)
    balancer.record_probe("y", True, 99.0)
    soon_after = [balancer.choose(100.0, rng, set()) for _ in range(200)].count("y")
    later_on = [balancer.choose(120.0, rng, set()) for _ in range(200)].count("y")
    assert soon_after < 40 < later_on
    balancer.connection_opened("x")
    balancer.record_probe("x", False, 120.0)
    balancer.record_probe("x", False, 120.0)
    assert balancer.backends_to_reset(124.0) == []
    assert balancer.backends_to_reset(125.0) == ["x"]


def test_partitions_by_host_zone_and_group() -> None:
    partitions = NetworkPartitions(
        {"n0": ("a", "@nodes"), "n1": ("b", "@nodes"), "m": ("b", "@machines")}
    )
    assert partitions.mode_between("n0", "m") is None
    partitions.begin("a", "b", PartitionMode.HOLD)
    assert (
        partitions.mode_between("n0", "m")
        is partitions.mode_between("m", "n0")
        is PartitionMode.HOLD
    )
    assert partitions.mode_between("n1", "m") is None
    assert partitions.mode_between("n0", "state") is None
    partitions.end("b", "a")
    partitions.begin("@nodes", "@machines", PartitionMode.RESET)
    assert partitions.mode_between("n1", "m") is PartitionMode.RESET
    assert partitions.mode_between("n0", "n1") is None
