"""Scenarios: TOML files that describe a deployment, its users and its faults."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec

from dunehold.emulator.faults import (
    AnyFault,
    CommandDelayFault,
    PartitionFault,
    RequestCopyFault,
)

MAX_CONTROLLERS = 15  # AddressPlan has addresses for this many


class ScenarioError(Exception):
    """Raised for a mistake in a file or an option; one line names the field and the reason."""


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of a scenario file; unknown keys are errors."""


class TeamTable(Table, frozen=True, kw_only=True):
    """A team with its guarantees (``cpus``, ``gpus``) and limits; a limit of 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class FlavourTable(Table, frozen=True, kw_only=True):
    """A machine type of the cloud."""

    label: str
    vcpus: float
    memory_gb: float
    price: float = 0.5  # for an hour
    spot_price: float = 0.2  # for an hour, on average
    boot_s: float = 5.0
    cache_gb: float = 50.0  # room for images
    fetch_gb_per_s: float = 1.0
    gpus: float = 0.0
    count: int = 10  # ordinary machines that can be rented in each zone
    spot: int = 10  # spot machines that can be rented in each zone
    up: int = 0  # ordinary machines in each zone that are up from the start


class StateTable(Table, frozen=True, kw_only=True):
    """Limits of the state service."""

    rps: float = 250.0  # requests a second
    write_rps: float = 60.0  # changed keys a second
    value_kb: float = 16.0  # size of a value in KiB
    txn_ops: int = 24  # changed keys in one transaction
    # The controllers' settings have the rates, but the service does not enforce them.
    unlimited: bool = False
    map_mb: int = 256  # space on disk in MiB


class WorkersTable(Table, frozen=True, kw_only=True):
    """Times of workers.

    They report every ``report_s`` on average and kill their tasks ``lease_s`` after they sent
    the last report that was answered. A cancelled job's tasks have to end within ``cancel_s``.
    """

    report_s: float = 2.5
    lease_s: float = 14.0
    cancel_s: float = 39.0


class CloudTable(Table, frozen=True, kw_only=True):
    """Properties of the cloud."""

    rps: float = 5.0  # requests a second that it allows
    list_lag_s: float = 2.0  # least age of a list of machines
    dead: float = 0.0  # share of machines that never boot
    late: float = 0.0  # share of machines that boot late
    at_once: float = 0.0  # share of machines that boot within 2 s
    spot_per_hour: float = 0.0  # reclaims of each spot machine in an hour, on average
    notice_s: float = 10.0  # from the notice of a reclaim to the reclaim, on average
    silent: float = 0.15  # share of reclaims without notice


class JobTable(Table, frozen=True, kw_only=True):
    """A class of jobs; numbers of tasks and run times are lognormal around a median."""

    jobclass: str
    rank: str = "normal"  # priority
    owner: str = ""  # empty means that a team is drawn for each job
    per_s: float = 0.0  # mean arrivals a second
    initial: int = 0  # jobs that arrive at the start
    tasks: float = 1.0  # median number of a job's tasks
    tasks_max: int = 1
    run_s: float = 5.0  # median run time
    spread: float = 0.5  # sigma of the run times' logarithm
    estimate_error: float = 0.3  # sigma of the logarithm of estimated over true run time
    vcpus: float = 1.0  # for each task
    memory_gb: float = 1.0  # for each task
    size_gb: float = 0.5  # of an image
    images: int = 3  # number of different images
    loaner: bool = True  # may run on spot machines
    snapshot_s: float = 0.0  # interval of checkpoints; 0 means none
    flush_s: float = 0.5  # time to save a checkpoint
    due_factor: float = 0.0  # deadline over estimated run time; 0 means no deadline
    cancelled: float = 0.0  # share of jobs that their users cancel
    broken: float = 0.0  # share of jobs whose tasks always fail; cancelled after at most 30 s


class StageTable(Table, frozen=True, kw_only=True):
    """One job of a pipeline: its class, and the numbers of the stages that it depends on."""

    jobclass: str
    needs: list[int] = []


class PipelineTable(Table, frozen=True, kw_only=True):
    """Jobs with dependencies; each is submitted once its dependencies are accepted."""

    stages: list[StageTable]
    per_s: float = 0.0  # mean arrivals a second
    initial: int = 0  # pipelines that arrive at the start
    due_s: float = 0.0  # deadline of the last stage; 0 means none
    cancelled: float = 0.0  # share whose first stage, and with it all stages, is cancelled


class ObjectiveTable(Table, frozen=True, kw_only=True):
    """An objective of the operators, as in the controllers' settings."""

    kind: str  # wait, deadline, finished or guarantee
    share: float = 0.9  # of tasks or jobs that have to meet it
    within_s: float = 0.0  # of kinds wait, finished and guarantee: the longest time
    times: float = 1.0  # of kind deadline: the multiple of due_s that is still in time
    jobclass: str = msgspec.field(default="*", name="class")  # * means all classes


class Scenario(Table, frozen=True, kw_only=True):
    """A whole scenario file."""

    name: str = "scenario"
    seed: int = 1
    duration_s: float = 0.0  # of arrivals and faults; ``dunehold up`` does without it
    settle_s: float = 120.0  # the longest time after that for the remaining jobs to end
    controllers: int = 3
    zones: list[str] = msgspec.field(default_factory=lambda: ["north", "south"])
    operator: dict[str, float] = {}  # settings of operators, with _ instead of -
    teams: list[TeamTable] = []
    flavours: list[FlavourTable] = []
    state: StateTable = StateTable()
    workers: WorkersTable = WorkersTable()
    cloud: CloudTable = CloudTable()
    objectives: list[ObjectiveTable] = []
    jobs: list[JobTable] = []
    pipelines: list[PipelineTable] = []
    faults: list[AnyFault] = []
    # Limits of a controller's machine, as its settings state them.
    core_share: float = 1.0
    ram_mb: float = 266.0
    sockets: int = 1500

    def team_limits(self) -> dict[str, tuple[float | None, float | None]]:
        """Returns each team's limits of CPUs and GPUs; None means that there is no limit."""
        return {t.name: (t.cpus_max or None, t.gpus_max or None) for t in self.teams}

    def machine_type_capacities(self) -> dict[str, tuple[float, float, float]]:
        """Returns CPUs, GPUs and GB of memory of each machine type."""
        return {f.label: (f.vcpus, f.gpus, f.memory_gb) for f in self.flavours}


def load(path: Path) -> Scenario:
    """Loads a scenario file; raises ScenarioError."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    return parse(data, str(path))


def parse(data: bytes, name: str) -> Scenario:
    """Parses a scenario. Raises ScenarioError, whose text begins with ``name``."""
    try:
        scenario = msgspec.toml.decode(data, type=Scenario)
    except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as error:
        raise ScenarioError(f"{name}: {error}") from None
    reason = _validation_error(scenario)
    if reason is not None:
        raise ScenarioError(f"{name}: {reason}")
    return scenario


def _validation_error(scenario: Scenario) -> str | None:
    """Returns the first mistake that the fields' types don't rule out, or None."""
    if not 1 <= scenario.controllers <= MAX_CONTROLLERS:
        return f"controllers: must be 1 to {MAX_CONTROLLERS}"
    if not scenario.zones or len(set(scenario.zones)) != len(scenario.zones):
        return "zones: must name at least one zone, each once"
    if not scenario.flavours:
        return "flavours: must name at least one machine type"
    if not scenario.teams:
        return "teams: must name at least one team"
    if scenario.workers.cancel_s <= scenario.workers.lease_s:
        return "workers.cancel_s: must be longer than lease_s"
    teams = {team.name for team in scenario.teams}
    for n, job in enumerate(scenario.jobs):
        if job.owner and job.owner not in teams:
            return f"jobs[{n}].owner: no team is called {job.owner}"
        if job.rank not in ("critical", "high", "normal", "idle"):
            return f"jobs[{n}].rank: must be critical, high, normal or idle"
    classes = {job.jobclass for job in scenario.jobs}
    for n, pipeline in enumerate(scenario.pipelines):
        for m, stage in enumerate(pipeline.stages):
            if stage.jobclass not in classes:
                return f"pipelines[{n}].stages[{m}].jobclass: no class is called this"
            if not all(0 <= need < m for need in stage.needs):
                return f"pipelines[{n}].stages[{m}].needs: must name earlier stages"
    for n, fault in enumerate(scenario.faults):
        reason = _fault_error(scenario, fault)
        if reason is not None:
            return f"faults[{n}].{reason}"
    return _number_error(msgspec.to_builtins(scenario), "")


def _fault_error(scenario: Scenario, fault: AnyFault) -> str | None:
    nodes = [f"dunehold-{n}" for n in range(scenario.controllers)]
    node = getattr(fault, "node", "")
    if node and node not in (*nodes, "leader", "any", "all"):
        return f"node: no controller is called {node}"
    if isinstance(fault, PartitionFault):
        known = {*nodes, *scenario.zones, "@machines", "@nodes", "state", "cloud", "users"}
        for side in (fault.a, fault.b):
            if side not in known and not side.startswith("m-"):
                return f"a, b: {side} is not a host, zone or group"
    if isinstance(fault, CommandDelayFault) and fault.delay_s <= 0:
        return "delay_s: must be over 0"
    if isinstance(fault, RequestCopyFault) and fault.max_s < fault.min_s:
        return "max_s: must not be under min_s"
    if isinstance(fault, RequestCopyFault) and not 0 < fault.share <= 1:
        return "share: must be over 0 and at most 1"
    if fault.every_s and not fault.until_s:
        return "until_s: must be set if every_s is set"
    return None


def _number_error(value: Any, name: str) -> str | None:
    """Returns the first number in a nested value that is negative or not finite, or None."""
    if isinstance(value, dict):
        rows = [(f"{name}.{key}" if name else str(key), row) for key, row in value.items()]
    elif isinstance(value, list):
        rows = [(f"{name}[{n}]", row) for n, row in enumerate(value)]
    elif isinstance(value, float | int) and not isinstance(value, bool):
        return None if math.isfinite(value) and value >= 0 else f"{name}: must not be negative"
    else:
        return None
    return next((m for key, row in rows if (m := _number_error(row, key)) is not None), None)


DEFAULT_SCENARIO = b"""
# What `dunehold up` brings up: three controllers, machines that boot in a few seconds.
name = "up"
zones = ["north", "south"]
[[teams]]
name = "blue"
cpus = 16.0
cpus_max = 64.0
[[teams]]
name = "red"
[[flavours]]
label = "small"
vcpus = 4.0
memory_gb = 16.0
boot_s = 3.0
count = 4
spot = 4
[[flavours]]
label = "big"
vcpus = 16.0
memory_gb = 64.0
price = 1.8
spot_price = 0.7
boot_s = 4.0
count = 2
spot = 2
"""
