"""Runs one scenario: starts the cluster, submits jobs, injects faults, checks the history."""

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
from dunehold.emulator.model.copies import RequestCopies
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
MAX_LATENCY_US = 120_000_000  # longer latencies are recorded as this one


def latency_histogram() -> HdrHistogram:
    """Creates a histogram of latencies in microseconds, with three significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@dataclass(slots=True)
class LoadBalancerClient:
    """Sends users' requests to the load balancer, each over a connection of its own.

    The load balancer distributes connections, not requests.
    """

    endpoint: Endpoint
    copies: RequestCopies

    async def request_with_retry_after(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes, float]:
        """Returns status, body and ``Retry-After`` in seconds; raises NoResponse."""
        answer = await self._send(method, path, body, timeout_s)
        self.copies.answered(path, lambda: self._send(method, path, body, timeout_s))
        return answer

    async def _send(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes, float]:
        client = HttpClient(self.endpoint.host, self.endpoint.port, 1)
        try:
            return await client.request_with_retry_after(method, path, body, timeout_s)
        finally:
            client.close()


@dataclass(slots=True)
class Sample:
    """Measurements at one moment of a run, taken about every ``SAMPLE_INTERVAL_S``."""

    at_s: float
    machines: int
    tasks: int
    open_jobs: int  # submitted jobs without a final phase, but not those refused or given up
    reports: int  # workers' reports since the start
    state_served: int  # requests that the state service process has handled since its start
    cpu_s: dict[str, float]  # process name -> CPU seconds since the start
    rss_mb: dict[str, float]  # process name -> resident memory


@dataclass(slots=True)
class Result:
    """The outcome of one run."""

    scenario: Scenario
    summary: Summary
    duration_s: float
    submission_latencies: HdrHistogram
    poll_latencies: HdrHistogram
    statuses: dict[int, int]  # HTTP status of a submission -> number of submissions
    first_start_s: list[float]  # for each job, from its submission to its first task's start
    # For each kill of a leader: its time, and the seconds until a later leader started a task.
    recoveries: list[tuple[float, float]]
    # Controllers that ended although the emulator didn't kill them, and their exit codes.
    unexpected_exits: list[tuple[str, int]]
    samples: list[Sample]
    cost: float  # money spent on machines
    fault_times: list[float]  # seconds from the start
    objectives: list[ObjectiveResult]

    @property
    def faults(self) -> int:
        """The number of injected faults."""
        return len(self.fault_times)

    @property
    def passed(self) -> bool:
        """Whether no rule was broken and no controller ended unexpectedly."""
        return not self.summary.breaches and not self.unexpected_exits


@dataclass(slots=True)
class ScenarioRunner:
    """Runs one scenario.

    ``replayed_faults`` replaces the scenario's own faults by those of an earlier run.
    ``on_progress`` is called with each sample's time in seconds and the number of open jobs.
    Raises ScenarioError if the directory already holds a run.
    """

    scenario: Scenario
    directory: Path
    net: int = 77  # second octet of all addresses
    replayed_faults: list[AnyFault] | None = None
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
    # Kills of leaders that no later leader has followed yet: the time, and the highest number
    # that an attempt of the killed leader can have.
    _leader_kills: list[tuple[float, int]] = field(default_factory=list)
    _highest_attempt: int = 0  # the highest number of an attempt that has started so far
    _recoveries: list[tuple[float, float]] = field(default_factory=list)
    _lost_tasks: int = 0

    def __post_init__(self) -> None:
        scenario = self.scenario
        if (self.directory / HISTORY_FILE).exists():
            # The state service would restore the jobs of that run. The new run uses the same
            # job ids, so that users would get the answers for the old jobs.
            raise ScenarioError(
                f"{self.directory}: holds the data of an earlier run; choose another directory"
            )
        self.cluster = Cluster(scenario, self.directory, self.net, [self._on_event])
        self.fault_injector = FaultInjector(self.cluster)
        client = LoadBalancerClient(self.cluster.addresses.load_balancer, self.cluster.copies)
        self.users = Users(client, self.cluster.history, self.cluster.rng)
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

    # -- events and measurements ---------------------------------------------------------

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
            # The upper bits of an attempt's number are its leader's fencing token, the lower 32
            # bits count the leader's attempts.
            self._leader_kills.append((event.at, self._highest_attempt | 0xFFFFFFFF))

    def _kills_leader(self, data: dict[str, Any]) -> bool:
        kills = data["what"] == "controllers" and data["fault"]["do"] == "kill"
        return kills and self.cluster.leader() in data["targets"]

    def _record_recovery(self, at: float, attempt: int) -> None:
        """Notes which kills of a leader are followed by this start of a later leader.

        A later leader has a higher fencing token, so that all its attempts have higher numbers.
        """
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
        """Runs the scenario to its end and stops everything that it started.

        Raises ClusterError if the cluster doesn't start or if a part of the emulator fails.
        """
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
        """Waits for ``work``; raises ClusterError as soon as a part of the emulator fails."""
        failed = asyncio.ensure_future(self.cluster.failed.wait())
        working = asyncio.ensure_future(work)
        await asyncio.wait((failed, working), return_when=asyncio.FIRST_COMPLETED)
        failed.cancel()
        if self.cluster.failed.is_set():
            working.cancel()
            raise ClusterError(self.cluster.failure)
        await working

    async def _submit(self, arrival: Arrival, intended: float) -> None:
        """Submits one job and follows it; a job with dependencies waits for their acceptance.

        The latency of a submission counts from its intended time, except for a job with
        dependencies, which has none.
        """
        needed = arrival.job.get("awaits") or ()
        if needed:
            while not all(uid in self.users.accepted for uid in needed):
                await asyncio.sleep(0.05)
            await self.users.run_job(arrival.job, arrival.cancel_after_s)
        else:
            await self.users.run_job(arrival.job, arrival.cancel_after_s, intended)

    async def _submit_arrivals(self, arrivals: list[Arrival], began: float) -> None:
        """Starts each submission at its time; returns when the scenario's duration is over."""
        for arrival in arrivals:
            intended = began + arrival.at_s
            await asyncio.sleep(max(0.0, intended - time.monotonic()))
            self.cluster.spawn(self._submit(arrival, intended))
        end = began + self.scenario.duration_s
        await asyncio.sleep(max(0.0, end - time.monotonic()))

    async def _wait_until_settled(self, began: float) -> None:
        """Waits until no job is open, at most the scenario's ``settle_s``."""
        end = began + self.scenario.duration_s + self.scenario.settle_s
        while self._count_open_jobs() and time.monotonic() < end:
            await asyncio.sleep(0.5)
        await asyncio.sleep(1.0)

    def _count_open_jobs(self) -> int:
        """Counts submitted jobs that have no final phase and were not refused or given up."""
        return sum(
            job.final_phase is None and not (job.refused or job.given_up)
            for job in self.checker.jobs.values()
        )

    async def _sample(self, began: float) -> None:
        """Takes a sample every ``SAMPLE_INTERVAL_S`` until it is cancelled."""
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
    """Formats the summary of a run as text for people."""
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
            ms = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
            lines.append(
                f"{name} latency, ms: p50 {ms[0]:.1f}, p99 {ms[1]:.1f}, p99.9 {ms[2]:.1f}"
            )
    if result.first_start_s:
        median_s = result.first_start_s[len(result.first_start_s) // 2]
        lines.append(f"first start of a job: median {median_s:.2f} s")
    if result.recoveries:
        longest_s = max(seconds for _, seconds in result.recoveries)
        lines.append(
            f"first start by the next leader after a kill -9: at most {longest_s:.1f} s"
        )
    if result.samples:
        last = result.samples[-1]
        for name in sorted(last.cpu_s):
            most = max(sample.rss_mb.get(name, 0.0) for sample in result.samples)
            share = last.cpu_s[name] / max(last.at_s, 1e-9)
            lines.append(f"{name}: {share:.3f} of a core, at most {most:.0f} MB")
    lines.extend(str(objective) for objective in result.objectives)
    lines.extend(
        f"unexpected exit: {name} with code {code}" for name, code in result.unexpected_exits
    )
    lines.extend(f"BROKEN: {breach}" for breach in summary.breaches)
    if not summary.breaches:
        lines.append("every job has exactly one final answer; no rule broken")
    return "\n".join(lines)
