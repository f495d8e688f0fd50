"""Worker, cloud, balancer and cuts: the sentences of the protocol that bind them."""

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
    jobs = Jobs(random.Random(1))
    for row in rows or (make_job(),):
        jobs.upload(row)
    machine = Machine("m", "m:1", "t", "a", True, vcpus, 0.0, 16.0, cache_gb, 1.0)
    return Worker(machine, jobs, LEASE_S, 0.0)


def run_order(item: str, attempt: int = 1) -> dict[str, Any]:
    return {"verb": "run", "item": item, "try": attempt}


def stop_order(item: str, wind_down_s: float, attempt: int = 1) -> dict[str, Any]:
    return {"verb": "stop", "item": item, "try": attempt, "wind_down_s": wind_down_s}


def answer_report(box: Worker, now: float, *orders: dict[str, Any], baton: int = 1) -> bool:
    return box.handle_report_response(
        now, box.session, {"baton": baton, "orders": list(orders)}, now
    )


def task_states(box: Worker) -> dict[str, str]:
    rows = box.report()["units"]
    return {f"{r['item']}#{r['try']}": r.get("cause") or r["phase"] for r in rows}


def post_orders(box: Worker, now: float, row: Any) -> tuple[int, dict[str, Any]]:
    answer = box.handle("POST", "/orders", orjson.dumps(row), now)
    return answer.status, orjson.loads(answer.body)


def test_a_task_fetches_runs_and_its_result_is_kept() -> None:
    box = make_worker()
    assert answer_report(box, 0.0, run_order("job-1/0"))
    assert task_states(box) == {"job-1/0#1": "pulling"}
    box.advance(1.5)
    assert task_states(box) == {"job-1/0#1": "running"}
    answer_report(box, 5.0)
    box.advance(11.5)
    assert task_states(box) == {"job-1/0#1": "done"}
    assert [h.kind for h in box.events] == [
        TaskEventKind.STARTED,
        TaskEventKind.COMPLETED,
        TaskEventKind.ENDED,
    ]
    answer_report(
        box, 11.5, {"verb": "reap", "item": "job-1/0", "try": 1}, run_order("job-1/0", 2)
    )
    box.advance(11.6)
    assert task_states(box) == {"job-1/0#2": "done"}


def test_refusals_unknown_in_use_no_room() -> None:
    box = make_worker(make_job(), make_job("job-2", vcpus=3.0))
    answer_report(
        box,
        0.0,
        run_order("job-9/0"),
        run_order("job-1/0"),
        run_order("job-1/0", 2),
        run_order("job-2/0"),
    )
    assert task_states(box) == {
        "job-9/0#1": "unknown",
        "job-1/0#1": "pulling",
        "job-1/0#2": "in_use",
        "job-2/0#1": "no_room",  # fetching tasks count
    }


def test_a_repeated_run_has_no_effect_until_it_is_reaped() -> None:
    box = make_worker()
    answer_report(
        box, 0.0, run_order("job-1/0"), stop_order("job-1/0", 0.0), run_order("job-1/0")
    )
    assert task_states(box) == {"job-1/0#1": "halted"}
    answer_report(box, 0.1, {"verb": "reap", "item": "job-1/0", "try": 1}, run_order("job-1/0"))
    assert task_states(box) == {"job-1/0#1": "pulling"}


def test_one_fetch_serves_all_and_is_given_up_when_none_waits() -> None:
    box = make_worker(make_job(), make_job("job-2", bundle="other", size_gb=3.0))
    answer_report(box, 0.0, run_order("job-1/0"), run_order("job-2/0"))
    answer_report(
        box, 1.0, stop_order("job-2/0", 0.0)
    )  # half a GB each so far; now all for the first
    box.advance(1.6)
    assert task_states(box)["job-1/0#1"] == "running"
    answer_report(box, 1.6, run_order("job-2/1"))
    box.advance(4.0)
    assert task_states(box)["job-2/1#1"] == "pulling"  # begun anew


def test_images_fetched_at_the_same_time_share_the_rate() -> None:
    box = make_worker(make_job(), make_job("job-2", bundle="other"))
    answer_report(box, 0.0, run_order("job-1/0"), run_order("job-2/0"))
    box.advance(1.9)
    assert set(task_states(box).values()) == {"pulling"}
    box.advance(2.1)
    assert set(task_states(box).values()) == {"running"}


def test_the_cache_keeps_the_images_used_last() -> None:
    rows = [make_job(f"job-{n}", bundle=f"i{n}", size_gb=4.0, real_s=0.1) for n in range(3)]
    box = make_worker(*rows, cache_gb=8.0)
    for n in range(3):
        answer_report(box, n * 6.0, run_order(f"job-{n}/0"))
        box.advance(n * 6.0 + 5.0)
    answer_report(box, 18.0, run_order("job-2/1"), run_order("job-0/1"))
    assert task_states(box)["job-2/1#1"] == "running"
    assert task_states(box)["job-0/1#1"] == "pulling"


def test_stopping_saves_where_there_is_time_and_not_otherwise() -> None:
    box = make_worker(make_job(snapshot_s=3.0))
    answer_report(box, 0.0, run_order("job-1/0"))
    box.advance(5.0)
    answer_report(box, 5.0, stop_order("job-1/0", 1.0))
    assert task_states(box) == {"job-1/0#1": "flushing"}
    box.advance(6.1)
    assert box.report()["units"][0] | {"kept": True} == box.report()["units"][0]
    answer_report(box, 6.1, run_order("job-1/0", 2))
    box.advance(11.9)
    assert task_states(box)["job-1/0#2"] == "running"  # 10 s less the 4 s saved
    box.advance(12.2)
    assert task_states(box)["job-1/0#2"] == "done"


def test_a_second_stop_ends_a_task_that_saves() -> None:
    box = make_worker(make_job(snapshot_s=30.0, flush_s=5.0))
    answer_report(box, 0.0, run_order("job-1/0"))
    box.advance(2.0)
    answer_report(box, 2.0, stop_order("job-1/0", 5.0))
    answer_report(box, 2.5, stop_order("job-1/0", 3.0))
    assert task_states(box) == {"job-1/0#1": "flushing"}
    answer_report(box, 3.0, stop_order("job-1/0", 0.0))
    assert task_states(box) == {"job-1/0#1": "halted"}
    assert "kept" not in box.report()["units"][0]


def test_checkpoints_of_its_own_outlive_the_machine() -> None:
    box = make_worker(make_job(snapshot_s=3.0))
    answer_report(box, 0.0, run_order("job-1/0"))
    box.power_off(8.0)  # 7 s of progress: two checkpoints
    assert box.job_data.progress("job-1/0") == pytest.approx(6.0)


def test_tokens_a_lower_one_is_dropped_and_renews_nothing() -> None:
    box = make_worker()
    answer_report(box, 0.0, baton=5)
    assert not answer_report(box, 6.0, run_order("job-1/0"), baton=4)
    assert not box.handle_report_response(
        6.0, box.session, {"orders": [run_order("job-1/0")]}, 6.0
    )
    assert task_states(box) == {}
    box.advance(10.1)
    assert box.session == 2  # the lease of 0.0 is over
    assert box.token == 5


def test_direct_orders_need_token_and_session_and_renew_no_lease() -> None:
    box = make_worker()
    assert post_orders(box, 0.0, {"baton": 3, "orders": []})[0] == 400
    assert post_orders(box, 0.0, {"tenure": 1, "orders": []})[0] == 400
    assert (
        post_orders(box, 0.0, {"baton": 3, "tenure": 2, "orders": [run_order("job-1/0")]})[0]
        == 409
    )
    status, row = post_orders(
        box, 0.0, {"baton": 3, "tenure": 1, "orders": [run_order("job-1/0")]}
    )
    assert (status, row["baton"], len(row["units"])) == (200, 3, 1)
    assert post_orders(box, 9.9, {"baton": 2, "tenure": 1, "orders": []})[0] == 409
    assert post_orders(box, 9.9, {"baton": 3, "tenure": 1, "orders": []})[0] == 200
    box.advance(10.1)
    assert (box.session, task_states(box)) == (2, {})


def test_answers_of_an_earlier_session_and_late_ones_are_dropped() -> None:
    box = make_worker()
    box.advance(10.1)
    assert not box.handle_report_response(9.0, 1, {"baton": 1, "orders": []}, 10.2)
    assert not box.handle_report_response(10.2, 2, {"baton": 1, "orders": []}, 14.3)


def test_a_lost_lease_kills_and_forgets_everything() -> None:
    box = make_worker(make_job(real_s=60.0))
    answer_report(box, 0.0, run_order("job-1/0"))
    box.advance(10.1)
    assert (task_states(box), box.session, box.killed_tasks) == ({}, 2, 1)
    assert box.events[-1].reason == "lease"


def test_a_hanging_machine_does_nothing_and_may_resume_within_its_lease() -> None:
    box = make_worker(make_job(real_s=4.0))
    answer_report(box, 0.0, run_order("job-1/0"))
    box.advance(2.0)
    box.hang(2.0, 6.0)
    box.advance(7.9)
    assert task_states(box) == {"job-1/0#1": "running"}
    answer_report(box, 8.0)
    box.advance(10.9)
    assert task_states(box) == {"job-1/0#1": "running"}  # six seconds were lost
    box.advance(11.1)
    assert task_states(box) == {"job-1/0#1": "done"}


def test_sick_and_slow_machines() -> None:
    box = make_worker(make_job(real_s=4.0))
    box.faulty = True
    answer_report(box, 0.0, run_order("job-1/0"))
    box.advance(2.0)
    assert task_states(box) == {"job-1/0#1": "error"}
    box.faulty = False
    answer_report(box, 2.0, run_order("job-1/1"))
    box.advance(4.0)
    box.set_speed(4.0, 0.5)
    box.advance(7.9)
    assert task_states(box)["job-1/1#1"] == "running"
    box.advance(8.1)
    assert task_states(box)["job-1/1#1"] == "done"


def test_reports_go_where_they_are_sent_or_round() -> None:
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
    flavour = MachineType("t", 4.0, 16.0, 3.6, 1.2, 10.0, ("a",))
    kinds = {HostKind("t", "a", loaner): count for loaner in (True, False)}
    return Cloud({"t": flavour}, kinds, random.Random(1), lambda n: f"h{n}:1", **more)


def call(box: Cloud, method: str, target: str, body: Any = None, now: float = 0.0) -> Any:
    data = None if body is None else orjson.dumps(body)
    answer = box.handle(method, target, data, now)
    return answer.status, orjson.loads(answer.body)


def rent(box: Cloud, rental: str, number: int, now: float = 0.0, loaner: bool = False) -> Any:
    row = {"rental": rental, "flavour": "t", "hall": "a", "loaner": loaner, "number": number}
    return call(box, "POST", "/hosts", row, now)


def test_rentals_are_filled_in_part_refused_and_repeat_their_answer() -> None:
    box = make_cloud()
    status, first = rent(box, "r", 3)
    assert (status, len(first["hosts"])) == (200, 3)
    assert rent(box, "r", 3) == (200, first)
    assert len(rent(box, "s", 5)[1]["hosts"]) == 2
    assert rent(box, "u", 1) == (503, {"error": "no capacity"})
    call(box, "POST", "/hosts/delete", {"hosts": [*first["hosts"], "m-none"]})
    assert rent(box, "u", 1)[0] == 200
    assert rent(box, "v", 51)[0] == 400
    assert call(box, "POST", "/hosts/delete", {"hosts": ["m"] * 101})[0] == 400
    assert call(box, "POST", "/hosts", {"rental": "w", "flavour": "no", "number": 1})[0] == 400


def test_boots_take_their_time_some_for_ever() -> None:
    box = make_cloud(60)
    rent(box, "r", 50)
    box.advance(15.1)
    up = [e for e in box.events if e.kind is HostEventKind.UP]
    assert len(up) == 50
    assert all(6.0 <= event.at <= 15.0 for event in up)
    box.boot_profile = BootProfile(never_share=1.0)
    name = rent(box, "s", 1, 20.0)[1]["hosts"][0]
    box.advance(2000.0)
    _, row = call(box, "GET", "/hosts", None, 2000.0)
    assert {h["uid"]: h["phase"] for h in row["hosts"]}[name] == "booting"


def test_lists_lag_and_keep_the_dead_for_a_while() -> None:
    box = make_cloud(list_lag_s=2.0)
    name = rent(box, "r", 1)[1]["hosts"][0]
    assert call(box, "GET", "/hosts", None, 0.2)[1]["hosts"] == []
    for tick in range(1, 100):
        box.advance(tick / 2)
    assert call(box, "GET", "/hosts", None, 50.0)[1]["hosts"][0]["phase"] == "running"
    box.fail_host(name, 50.0)
    phases = {}
    for tick in range(100, 200):
        box.advance(tick / 2)
        phases[tick / 2] = call(box, "GET", "/hosts", None, tick / 2)[1]["hosts"][0]["phase"]
    assert phases[50.0 + FAILED_LISTED_AS_RUNNING_S * 0.7] == "running"
    assert phases[99.5] == "failed"
    call(box, "POST", "/hosts/delete", {"hosts": [name]}, 100.0)
    for tick in range(200, 220):
        box.advance(tick / 2)
    assert call(box, "GET", "/hosts", None, 110.0)[1]["hosts"] == []
    assert len(rent(box, "s", 50, 110.0)[1]["hosts"]) == 5  # its place is free again


def test_pages_of_the_list() -> None:
    box = make_cloud()
    names = rent(box, "r", 5)[1]["hosts"]
    _, row = call(box, "GET", "/hosts?most=2")
    assert ([h["uid"] for h in row["hosts"]], row["more"]) == (names[:2], True)
    _, row = call(box, "GET", f"/hosts?after={names[1]}&most=500")
    assert ([h["uid"] for h in row["hosts"]], row["more"]) == (names[2:], False)


def test_rates_and_outages() -> None:
    box = make_cloud(rps=2.0)
    assert [call(box, "GET", "/hosts")[0] for _ in range(5)] == [200] * 4 + [429]
    assert call(box, "GET", "/hosts", None, 0.6)[0] == 200
    box.down = True
    assert call(box, "GET", "/flavors", None, 9.0) == (503, {"error": "trouble"})


def test_what_is_paid() -> None:
    box = make_cloud()
    names = rent(box, "r", 2)[1]["hosts"]
    call(box, "POST", "/hosts/delete", {"hosts": names[:1]}, 20.0)
    assert box.spent == pytest.approx(3.6 * 60 / 3600)  # at least 60 s
    call(box, "POST", "/hosts/delete", {"hosts": names[1:]}, 1000.0)
    assert box.spent == pytest.approx(3.6 * 1060 / 3600)


def test_spot_prices_move_around_the_nominal_one_and_hold_for_machines_rented_before() -> None:
    box = make_cloud()
    name = rent(box, "r", 1, loaner=True)[1]["hosts"][0]
    seen, paid, before = set(), 0.0, box.machine_types["t"].spot_price
    for now in range(0, 601, 20):
        _, row = call(box, "GET", "/flavors", None, float(now))
        assert row["flavours"][0]["price"] == 3.6
        paid += before * (20 if now else 0) / 3600
        before = row["flavours"][0]["spot_price"]
        seen.add(before)
        assert 0.8 - 1e-9 <= before <= 1.6 + 1e-9
    assert len(seen) > 20
    call(box, "POST", "/hosts/delete", {"hosts": [name]}, 600.0)
    assert box.spent == pytest.approx(paid)


def test_spot_machines_go_with_a_notice_or_without() -> None:
    box = make_cloud()
    names = rent(box, "r", 2, loaner=True)[1]["hosts"]
    box.advance(20.0)
    box.events.clear()
    box.reclaim_host(names[0], 20.0, silent=True)
    box.reclaim_host(names[1], 20.0, silent=False)
    box.advance(60.0)
    notice = next(e for e in box.events if e.kind is HostEventKind.NOTICE)
    assert notice.host == names[1]
    assert 5.0 <= notice.notice_s <= 15.0
    gone = {e.host: e.at for e in box.events if e.kind is HostEventKind.GONE}
    assert gone[names[0]] == 20.0
    assert gone[names[1]] == pytest.approx(20.0 + notice.notice_s)
    assert box.hosts == {}


# -- balancer and cuts -------------------------------------------------------------------


def test_health_two_failures_out_two_successes_back_after_a_pause_that_doubles() -> None:
    box, rng = Balancer.from_names(["x", "y"]), random.Random(1)
    box.record_probe("x", True, 0.0)  # one is enough at first
    assert box.choose(0.0, rng, set()) == "x"
    at = 0.0
    for pause in (3.0, 6.0, 12.0):
        box.record_probe("x", False, at)
        box.record_probe("x", False, at)
        assert box.choose(at, rng, set()) is None
        box.record_probe("x", True, at + pause - 0.5)
        box.record_probe("x", True, at + pause - 0.1)
        assert box.choose(at, rng, set()) is None
        box.record_probe("x", True, at + pause)
        at += pause
        assert box.choose(at, rng, set()) == "x"


def test_three_failures_among_six_probes_are_enough() -> None:
    box = Balancer.from_names(["x"])
    for good in (True, False, True, False, True, False):
        box.record_probe("x", good, 0.0)
    assert not box.backends["x"].healthy


def test_skips_after_three_failed_connections_and_three_tries_in_all() -> None:
    box, rng = Balancer.from_names(["v", "w", "x", "y"]), random.Random(1)
    for name in box.backends:
        box.record_probe(name, True, 0.0)
    for _ in range(3):
        box.connection_failed("x", 20.0)
    chosen = {box.choose(20.0 + t / 10, rng, set()) for t in range(29)}
    assert "x" not in chosen
    assert box.choose(20.0, rng, {"v", "w", "y"}) is None
    for name in ("v", "w", "y"):
        for _ in range(200):
            box.connection_opened(name)
    assert box.choose(23.1, rng, set()) == "x"  # fewer open connections


def test_a_node_that_turns_healthy_is_ramped_and_one_that_does_not_is_reset() -> None:
    box, rng = Balancer.from_names(["x", "y"]), random.Random(1)
    box.record_probe("x", True, 0.0)
    box.record_probe("y", True, 99.0)
    young = [box.choose(100.0, rng, set()) for _ in range(200)].count("y")
    later = [box.choose(120.0, rng, set()) for _ in range(200)].count("y")
    assert young < 40 < later
    box.connection_opened("x")
    box.record_probe("x", False, 120.0)
    box.record_probe("x", False, 120.0)
    assert box.backends_to_reset(124.0) == []
    assert box.backends_to_reset(125.0) == ["x"]


def test_cuts_by_host_zone_and_group() -> None:
    cuts = NetworkPartitions(
        {"n0": ("a", "@nodes"), "n1": ("b", "@nodes"), "m": ("b", "@machines")}
    )
    assert cuts.mode_between("n0", "m") is None
    cuts.begin("a", "b", PartitionMode.HOLD)
    assert cuts.mode_between("n0", "m") is cuts.mode_between("m", "n0") is PartitionMode.HOLD
    assert cuts.mode_between("n1", "m") is None
    assert cuts.mode_between("n0", "state") is None
    cuts.end("b", "a")
    cuts.begin("@nodes", "@machines", PartitionMode.RESET)
    assert cuts.mode_between("n1", "m") is PartitionMode.RESET
    assert cuts.mode_between("n0", "n1") is None
