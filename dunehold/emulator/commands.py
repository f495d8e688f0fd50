"""The emulator's commands: up, emulate, experiment, fault, check-history."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec
import orjson

from dunehold.command_request import run_request
from dunehold.emulator import faults, history
from dunehold.emulator.check import check
from dunehold.emulator.scenario import DEFAULT_SCENARIO, Scenario, ScenarioError, load, parse
from dunehold.emulator.serve.addresses import AddressPlan
from dunehold.emulator.serve.cluster import Cluster, ClusterError
from dunehold.emulator.serve.control import FAULTS_PATH, JOBS_PATH, ControlServer
from dunehold.emulator.serve.fault_injector import FaultInjector, read_fault_log
from dunehold.emulator.serve.runner import ScenarioRunner, format_result
from dunehold.transport.http import NoResponse, parse_address

EXIT_FAILED = 1  # the command failed, or the run broke a rule
EXIT_USAGE = 2  # a mistake in an option or a file
CONTROL_TIMEOUT_S = 30.0  # for an answer of the emulator's control interface
# The job that ``dunehold up`` writes to first-job.json, with a team of its scenario as owner.
EXAMPLE_JOB = {
    "uid": "job-000001", "jobclass": "first", "owner": "blue", "shape": "batch",
    "rank": "normal", "units": 8, "vcpus": 1.0, "gpus": 0.0, "memory_gb": 1.0,
    "bundle": "hello", "size_gb": 0.5, "flavours": None, "hall": None, "together": False,
    "spread": False, "loaner": True, "expect_s": 5.0, "snapshot_s": 0.0, "flush_s": 0.0,
    "due_s": None,
}  # fmt: skip


def add_parsers(commands: Any) -> None:
    """Adds the emulator's commands to the subparsers of the command line."""
    up = commands.add_parser("up", help="start a small but complete cluster on this machine")
    up.add_argument("scenario", nargs="?", type=Path, help="scenario file (default: built in)")
    emulate = commands.add_parser("emulate", help="run a scenario on this machine")
    emulate.add_argument("scenario", type=Path, help="scenario file (TOML)")
    emulate.add_argument("--seed", type=int, default=None, help="replaces the scenario's seed")
    emulate.add_argument(
        "--replay",
        type=Path,
        default=None,
        help="faults.jsonl of an earlier run, whose faults are injected instead",
    )
    for command in (up, emulate):
        command.add_argument("--directory", type=Path, default=None, help="for logs and data")
        command.add_argument(
            "--net", type=int, default=77, help="addresses 127.NET.*.* are used (default 77)"
        )
    experiment = commands.add_parser(
        "experiment", help="run a scenario over a grid of settings, with repeats"
    )
    experiment.add_argument("plan", type=Path, help="plan file (TOML)")
    experiment.add_argument("--directory", type=Path, default=None, help="for the report")
    experiment.add_argument("--net", type=int, default=77, help="as for emulate")
    fault = commands.add_parser("fault", help="cause a fault in a running emulator")
    fault.add_argument("what", help="a fault as JSON, such as " + '\'{"kind":"state",...}\'')
    fault.add_argument("--control", default=None, help="HOST:PORT of its control interface")
    checking = commands.add_parser("check-history", help="check a run's history.jsonl again")
    checking.add_argument("scenario", type=Path)
    checking.add_argument("history", type=Path)


def run(options: argparse.Namespace) -> int:
    """Runs the command that ``options`` name; returns the exit code."""
    handlers = {
        "up": _up,
        "emulate": _emulate,
        "experiment": _experiment,
        "fault": _fault,
        "check-history": _check_history,
    }
    try:
        return handlers[options.command](options)
    except (ScenarioError, ClusterError) as error:
        print(f"dunehold: {error}", file=sys.stderr)
        return EXIT_USAGE if isinstance(error, ScenarioError) else EXIT_FAILED


def _directory(options: argparse.Namespace) -> Path:
    """Returns the directory of the options, or a new temporary one."""
    if options.directory is not None:
        return Path(options.directory)
    return Path(tempfile.mkdtemp(prefix="dunehold-"))


def _net(options: argparse.Namespace) -> int:
    if not 1 <= options.net <= 254:
        raise ScenarioError("--net: must be 1 to 254")
    return int(options.net)


async def _run_until_signalled(work: Any) -> Any:
    """Runs a coroutine and cancels it at SIGINT or SIGTERM.

    Cancelling also stops everything that the coroutine started. Returns None then.
    """
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return None


# -- up ----------------------------------------------------------------------------------


def _up(options: argparse.Namespace) -> int:
    scenario = (
        load(options.scenario) if options.scenario else parse(DEFAULT_SCENARIO, "built in")
    )
    directory, net = _directory(options), _net(options)
    asyncio.run(_run_until_signalled(_run_cluster(scenario, directory, net)))
    print("stopped, with all processes that were started")
    return 0


async def _run_cluster(scenario: Scenario, directory: Path, net: int) -> None:
    cluster = Cluster(scenario, directory, net)
    fault_injector = FaultInjector(cluster)
    try:
        await cluster.start(ControlServer(cluster, fault_injector).server)
        fault_injector.schedule(scenario.faults)
        _print_welcome(cluster, directory)
        await cluster.failed.wait()
        raise ClusterError(cluster.failure)
    finally:
        await cluster.stop()


def _print_welcome(cluster: Cluster, directory: Path) -> None:
    path = directory / "first-job.json"
    path.write_bytes(orjson.dumps({**EXAMPLE_JOB, "owner": cluster.scenario.teams[0].name}))
    plan, command = cluster.addresses, _command_name()
    print(
        f"{len(cluster.controllers)} controllers serve at {plan.load_balancer}; "
        f"logs in {directory}\n"
        "submit a first job and watch it run:\n"
        f"  {command} submit {path} --server {plan.load_balancer} --upload {plan.control}\n"
        f"  {command} status {EXAMPLE_JOB['uid']} --server {plan.load_balancer}\n"
        "cause a fault:\n"
        f'  {command} fault \'{{"kind":"controllers","do":"kill","node":"leader"}}\''
        f" --control {plan.control}\n"
        "Press Ctrl-C to stop everything.",
        flush=True,
    )


def _command_name() -> str:
    """Returns how this program was called, for the commands that users are told to run."""
    if Path(sys.argv[0]).name == "dunehold":
        return "dunehold"
    return f"{os.path.relpath(sys.executable)} -m dunehold"


# -- emulate -----------------------------------------------------------------------------


def _emulate(options: argparse.Namespace) -> int:
    scenario = load(options.scenario)
    if options.seed is not None:
        scenario = msgspec.structs.replace(scenario, seed=options.seed)
    if scenario.duration_s <= 0:
        raise ScenarioError(
            f"{options.scenario}: duration_s: must be over 0; dunehold up runs without an end"
        )
    replayed_faults = None
    if options.replay is not None:
        try:
            replayed_faults = read_fault_log(options.replay)
        except OSError as error:
            raise ScenarioError(f"{options.replay}: {error.strerror}") from None
        except msgspec.DecodeError as error:
            raise ScenarioError(f"{options.replay}: {error}") from None
    directory = _directory(options)
    runner = ScenarioRunner(scenario, directory, _net(options), replayed_faults)
    result = asyncio.run(_run_until_signalled(_run_with_progress_bar(runner)))
    if result is None:
        return EXIT_FAILED
    print(format_result(result))
    print(f"history, logs and faults: {directory}")
    return 0 if result.passed else EXIT_FAILED


async def _run_with_progress_bar(runner: ScenarioRunner) -> Any:
    """Runs a scenario; shows a progress bar if standard error is a terminal."""
    from rich.progress import Progress, TextColumn

    total = runner.scenario.duration_s
    with Progress(
        *Progress.get_default_columns(), TextColumn("{task.fields[left]} jobs open"),
        disable=not sys.stderr.isatty(), transient=True,
    ) as progress_bar:  # fmt: skip
        task = progress_bar.add_task(runner.scenario.name, total=total, left=0)
        runner.on_progress = lambda at_s, left: progress_bar.update(
            task, completed=min(at_s, total), left=left
        )
        return await runner.run()


def _experiment(options: argparse.Namespace) -> int:
    from rich.progress import track

    from dunehold.emulator import experiment as experiments
    from dunehold.emulator import report

    plan, points = experiments.load(options.plan)
    directory = _directory(options)
    directory.mkdir(parents=True, exist_ok=True)
    experiment = experiments.Experiment(plan, points, directory, _net(options))
    result_lines = track(
        experiment.run_all(), plan.name, total=len(points) * plan.repeats,
        disable=not sys.stderr.isatty(),
    )  # fmt: skip
    try:
        for line in result_lines:
            print(line, flush=True)
    except KeyboardInterrupt:
        print("stopped early", file=sys.stderr)
    if not experiment.completed_runs:
        return EXIT_FAILED
    print(f"report: {report.write(experiment)}")
    return (
        0
        if all(completed.result.passed for completed in experiment.completed_runs)
        else EXIT_FAILED
    )


def _check_history(options: argparse.Namespace) -> int:
    scenario = load(options.scenario)
    try:
        events = sorted(history.read(options.history), key=lambda event: event.at)
    except OSError as error:
        raise ScenarioError(f"{options.history}: {error.strerror}") from None
    summary = check(events, scenario.team_limits(), scenario.workers.cancel_s, settled=True)
    print(f"{summary.jobs} jobs, {summary.starts} starts, {len(summary.breaches)} breaches")
    for breach in summary.breaches:
        print(f"BROKEN: {breach}")
    return EXIT_FAILED if summary.breaches else 0


# -- requests to a running emulator ------------------------------------------------------


def _fault(options: argparse.Namespace) -> int:
    try:
        body = msgspec.json.encode(faults.decode(options.what.encode()))
    except msgspec.DecodeError as error:
        print(f"dunehold: fault: {error}", file=sys.stderr)
        return EXIT_USAGE
    control_address = options.control or str(AddressPlan(77, ()).control)
    return _post(control_address, FAULTS_PATH, body)


def upload(control_address: str, job: bytes) -> int:
    """Uploads a job's description for the workers, as users do before they submit the job."""
    return _post(control_address, JOBS_PATH, job)


def _post(control_address: str, path: str, body: bytes) -> int:
    """Sends a request to the control interface and prints a fault's targets or the error."""
    address = parse_address(control_address)
    if address is None:
        print(f"dunehold: {control_address}: must be HOST:PORT", file=sys.stderr)
        return EXIT_USAGE
    try:
        status, data = run_request(
            address, lambda client: client.request("POST", path, body, CONTROL_TIMEOUT_S)
        )
    except NoResponse as error:
        print(f"dunehold: {control_address}: no answer ({error})", file=sys.stderr)
        return EXIT_FAILED
    if status != 200:
        print(f"dunehold: {data.decode('utf-8', 'replace')}", file=sys.stderr)
        return EXIT_FAILED
    if path == FAULTS_PATH:
        print(data.decode())
    return 0
