"""A scenario from its start to its summary: load, faults, settling, checks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from dunehold.emulator.agents.users import Users
from dunehold.emulator.check import Checker, Summary, summarize
from dunehold.emulator.faults import AnyFault
from dunehold.emulator.history import Event
from dunehold.emulator.objectives import ObjectiveResult, ObjectiveTracker
from dunehold.emulator.scenario import Scenario, ScenarioError
from dunehold.emulator.serve.addresses import Endpoint
from dunehold.emulator.serve.cluster import HISTORY_FILE, Cluster, ClusterError
from dunehold.emulator.serve.control import ControlServer
from dunehold.emulator.serve.fault_injector import FaultInjector
from dunehold.emulator.serve.processes import own_usage
from dunehold.emulator.workload import Arrival, generate_arrivals
from dunehold.transport.http import HttpClient

SAMPLE_INTERVAL_S = 1.0
MAX_LATENCY_US = 120_000_000


def latency_histogram() -> HdrHistogram:
    """Microseconds, three significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@dataclass(slots=True)
class LoadBalancerClient:
    """Users as the balancer sees them: a connection for each request."""

    endpoint: Endpoint

    async def request_with_retry_after(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes, float]:
        client = HttpClient(self.endpoint.host, self.endpoint.port, 1)
        try:
            return await client.request_with_retry_after(method, path, body, timeout_s)
        finally:
            client.close()


@dataclass(slots=True)
class Sample:
    """One second of a run."""

    at_s: float
    machines: int
    tasks: int
    open_jobs: int  # jobs accepted and not over
    reports: int  # so far
    state_served: int
    cpu_s: dict[str, float]
    rss_mb: dict[str, float]


@dataclass(slots=True)
class Result:
    scenario: Scenario
    summary: Summary
    duration_s: float
    submission_latencies: HdrHistogram
    poll_latencies: HdrHistogram
    statuses: dict[int, int]
    first_start_s: list[float]  # from a job's first try to its first start
    recoveries: list[tuple[float, float]]  # a leader was killed; the next start after it
    unexpected_exits: list[tuple[str, int]]
    samples: list[Sample]
    cost: float
    fault_times: list[float]  # seconds from the start
    objectives: list[ObjectiveResult]

    @property
    def faults(self) -> int:
        return len(self.fault_times)

    @property
    def passed(self) -> bool:
        return not self.summary.breaches and not self.unexpected_exits


@dataclass(slots=True)
class ScenarioRunner:
    """Plays one scenario. ``progress`` is told of each second and what is still open."""

    scenario: Scenario
    directory: Path
    net: int = 77
    replayed_faults: list[AnyFault] | None = None  # the faults of an earlier run instead
    on_progress: Callable[[float, int], None] = lambda at_s, left: None
    cluster: Cluster = field(init=False)
    fault_injector: FaultInjector = field(init=False)
    users: Users = field(init=False)
    checker: Checker = field(init=False)
    objectives: ObjectiveTracker = field(init=False)
    samples: list[Sample] = field(default_factory=list)
    _submission_latencies: HdrHistogram = field(default_factory=latency_histogram)
    _poll_latencies: HdrHistogram = field(default_factory=latency_histogram)
    _statuses: dict[int, int] = field(default_factory=dict)
    _submitted_at: dict[str, float] = field(default_factory=dict)
    _first_start_s: dict[str, float] = field(default_factory=dict)
    _leader_kills: list[tuple[float, int]] = field(
        default_factory=list
    )  # when; last attempt then
    _highest_attempt: int = 0  # the highest seen; a later leader's are all higher
    _recoveries: list[tuple[float, float]] = field(default_factory=list)
    _lost_tasks: int = 0

    def __post_init__(self) -> None:
        scenario = self.scenario
        if (self.directory / HISTORY_FILE).exists():
            # Its state service would come back with the jobs of that run, whose ids are used
            # again: their users would be told of answers that others got.
            raise ScenarioError(
                f"{self.directory}: holds an earlier run: name another directory"
            )
        self.cluster = Cluster(scenario, self.directory, self.net, [self._on_event])
        self.fault_injector = FaultInjector(self.cluster)
        door = LoadBalancerClient(self.cluster.addresses.load_balancer)
        self.users = Users(door, self.cluster.history, self.cluster.rng)
        self.users.on_submitted, self.users.on_polled = (
            self._record_submission,
            self._record_poll,
        )
        self.objectives = ObjectiveTracker(scenario.objectives)
        self.checker = Checker(
            scenario.team_limits(),
            scenario.workers.cancel_s,
            scenario.machine_type_capacities(),
        )

    # -- what is seen --------------------------------------------------------------------

    def _on_event(self, event: Event) -> None:
        self.checker.feed(event)
        self.objectives.feed(event)
        data = event.data
        if event.kind == "job":
            self._submitted_at[data["uid"]] = event.at
        elif event.kind == "on":
            uid = data["item"].rpartition("/")[0]
            if uid in self._submitted_at and uid not in self._first_start_s:
                self._first_start_s[uid] = event.at - self._submitted_at[uid]
            self._record_recovery(event.at, data["attempt"])
        elif event.kind == "off":
            self._lost_tasks += data["why"] in ("gone", "lease")
        elif event.kind == "fault" and self._kills_leader(data):
            self._leader_kills.append((event.at, self._highest_attempt | 0xFFFFFFFF))

    def _kills_leader(self, data: dict[str, Any]) -> bool:
        kills = data["what"] == "controllers" and data["fault"]["do"] == "kill"
        return kills and self.cluster.leader() in data["targets"]

    def _record_recovery(self, at: float, attempt: int) -> None:
        """A start by a later leader: its attempts have a higher upper half."""
        self._highest_attempt = max(self._highest_attempt, attempt)
        for kill in [kill for kill in self._leader_kills if attempt > kill[1]]:
            self._leader_kills.remove(kill)
            self._recoveries.append((kill[0], at - kill[0]))

    def _record_submission(self, latency_s: float, status: int) -> None:
        self._submission_latencies.record_value(min(int(latency_s * 1e6) + 1, MAX_LATENCY_US))
        self._statuses[status] = self._statuses.get(status, 0) + 1

    def _record_poll(self, latency_s: float, status: int) -> None:
        self._poll_latencies.record_value(min(int(latency_s * 1e6) + 1, MAX_LATENCY_US))

    # -- running -------------------------------------------------------------------------

    async def run(self) -> Result:
        """ClusterError when it does not come up, or something in the emulator fails."""
        try:
            await self.cluster.start(ControlServer(self.cluster, self.fault_injector).server)
            return await self._run_scenario()
        finally:
            await self.cluster.stop()

    async def _run_scenario(self) -> Result:
        cluster, scenario = self.cluster, self.scenario
        began = time.monotonic()
        arrivals = generate_arrivals(scenario, cluster.rng)
        for arrival in arrivals:
            cluster.jobs.upload(arrival.job)
        self.fault_injector.schedule(
            scenario.faults if self.replayed_faults is None else self.replayed_faults
        )
        cluster.spawn(self.users.poll_unknown_job(7.0))
        sampling = cluster.spawn(self._sample(began))
        await self._run_unless_failed(self._submit_arrivals(arrivals, began))
        await self._run_unless_failed(self._wait_until_settled(began))
        sampling.cancel()
        settled = not self._count_open_jobs()
        breaches = self.checker.finish(settled=True)
        self._write_run_file(settled)
        return Result(
            scenario,
            summarize(self.checker, self._lost_tasks, breaches),
            time.monotonic() - began,
            self._submission_latencies,
            self._poll_latencies,
            self._statuses,
            sorted(self._first_start_s.values()),
            self._recoveries,
            cluster.unexpected_exits,
            self.samples,
            cluster.cloud.cloud.cost(time.monotonic()),
            [fault.at_s for fault in self.fault_injector.injected],
            self.objectives.results(),
        )

    async def _run_unless_failed(self, work: Any) -> None:
        failed = asyncio.ensure_future(self.cluster.failed.wait())
        working = asyncio.ensure_future(work)
        await asyncio.wait((failed, working), return_when=asyncio.FIRST_COMPLETED)
        failed.cancel()
        if self.cluster.failed.is_set():
            working.cancel()
            raise ClusterError(self.cluster.failure)
        await working

    async def _submit(self, arrival: Arrival, intended: float) -> None:
        """A job that names others comes as soon as those are accepted."""
        needed = arrival.job.get("awaits") or ()
        if needed:
            while not all(uid in self.users.accepted for uid in needed):
                await asyncio.sleep(0.05)
            await self.users.run_job(arrival.job, arrival.cancel_after_s)
        else:
            await self.users.run_job(arrival.job, arrival.cancel_after_s, intended)

    async def _submit_arrivals(self, arrivals: list[Arrival], began: float) -> None:
        for arrival in arrivals:
            intended = began + arrival.at_s
            await asyncio.sleep(max(0.0, intended - time.monotonic()))
            self.cluster.spawn(self._submit(arrival, intended))
        end = began + self.scenario.duration_s
        await asyncio.sleep(max(0.0, end - time.monotonic()))

    async def _wait_until_settled(self, began: float) -> None:
        """Until every accepted job has had its final answer, or patience is over."""
        end = began + self.scenario.duration_s + self.scenario.settle_s
        while self._count_open_jobs() and time.monotonic() < end:
            await asyncio.sleep(0.5)
        await asyncio.sleep(1.0)

    def _count_open_jobs(self) -> int:
        return sum(
            job.final_phase is None and not (job.refused or job.given_up)
            for job in self.checker.jobs.values()
        )

    async def _sample(self, began: float) -> None:
        cluster = self.cluster
        while True:
            agents = cluster.cloud.workers.values()
            tasks = sum(t.on_machine for a in agents for t in a.worker.tasks.values())
            state = await cluster.control_state_service(None)
            usage = {name: child.usage() for name, child in cluster.controllers.items()}
            usage["state"] = cluster.state.usage()
            usage["emulator"] = own_usage()
            at_s = time.monotonic() - began
            self.samples.append(
                Sample(
                    at_s,
                    len(agents),
                    tasks,
                    self._count_open_jobs(),
                    cluster.cloud.reports,
                    0 if state is None else state["served"],
                    {name: used.cpu_s for name, used in usage.items()},
                    {name: used.rss_mb for name, used in usage.items()},
                )
            )
            self.on_progress(at_s, self._count_open_jobs())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _write_run_file(self, settled: bool) -> None:
        row = {
            "scenario": self.scenario.name,
            "seed": self.scenario.seed,
            "settled": settled,
            "faults": len(self.fault_injector.injected),
        }
        (self.directory / "run.json").write_bytes(orjson.dumps(row))


def format_result(result: Result) -> str:
    """The summary of a run, for people."""
    summary, scenario = result.summary, result.scenario
    lines = [
        f"scenario {scenario.name}, seed {scenario.seed}: {result.duration_s:.0f} s",
        f"jobs: {summary.jobs} made, {summary.accepted} accepted, {summary.done} done, "
        f"{summary.cancelled} cancelled, {summary.open} open",
        f"tasks: {summary.tasks_completed} completed in {summary.starts} starts, "
        f"{summary.lost_tasks} lost with their machines or leases",
        f"faults: {result.faults}; money spent: {result.cost:.2f}",
    ]
    for name, histogram in (
        ("submission", result.submission_latencies),
        ("question", result.poll_latencies),
    ):
        if histogram.get_total_count():
            at = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
            lines.append(
                f"{name} latency, ms: p50 {at[0]:.1f}, p99 {at[1]:.1f}, p99.9 {at[2]:.1f}"
            )
    if result.first_start_s:
        middle = result.first_start_s[len(result.first_start_s) // 2]
        lines.append(f"first start of a job: median {middle:.2f} s")
    if result.recoveries:
        worst = max(seconds for _, seconds in result.recoveries)
        lines.append(f"first start by the next leader after a kill -9: at most {worst:.1f} s")
    if result.samples:
        last = result.samples[-1]
        for name in sorted(last.cpu_s):
            most = max(sample.rss_mb.get(name, 0.0) for sample in result.samples)
            share = last.cpu_s[name] / max(last.at_s, 1e-9)
            lines.append(f"{name}: {share:.3f} of a core, at most {most:.0f} MB")
    lines.extend(str(met) for met in result.objectives)
    lines.extend(
        f"ended by itself: {name} with {code}" for name, code in result.unexpected_exits
    )
    lines.extend(f"BROKEN: {breach}" for breach in summary.breaches)
    if not summary.breaches:
        lines.append("every job has exactly one final answer; no rule broken")
    return "\n".join(lines)
