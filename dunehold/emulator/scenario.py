"""A scenario: the deployment, its users and its faults, in one TOML file."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec

from dunehold.emulator.faults import AnyFault, CommandDelayFault, PartitionFault

MAX_CONTROLLERS = 15  # they have so many addresses


class ScenarioError(Exception):
    """One line that names the field and the reason."""


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    pass


class TeamTable(Table, frozen=True, kw_only=True):
    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class FlavourTable(Table, frozen=True, kw_only=True):
    label: str
    vcpus: float
    memory_gb: float
    price: float = 0.5
    spot_price: float = 0.2
    boot_s: float = 5.0
    cache_gb: float = 50.0
    fetch_gb_per_s: float = 1.0
    gpus: float = 0.0
    count: int = 10  # in each zone
    spot: int = 10
    up: int = 0  # there from the start, in each zone


class StateTable(Table, frozen=True, kw_only=True):
    rps: float = 250.0
    write_rps: float = 60.0
    value_kb: float = 16.0
    txn_ops: int = 24
    unlimited: bool = False  # the settings name the rates, the service does not hold to them
    map_mb: int = 256


class WorkersTable(Table, frozen=True, kw_only=True):
    report_s: float = 2.5
    lease_s: float = 14.0
    cancel_s: float = 39.0


class CloudTable(Table, frozen=True, kw_only=True):
    rps: float = 5.0
    list_lag_s: float = 2.0
    dead: float = 0.0
    late: float = 0.0
    at_once: float = 0.0
    spot_per_hour: float = 0.0
    notice_s: float = 10.0
    silent: float = 0.15


class JobTable(Table, frozen=True, kw_only=True):
    """A class of jobs; tasks and run times are lognormal around a median."""

    jobclass: str
    rank: str = "normal"
    owner: str = ""  # any team
    per_s: float = 0.0
    initial: int = 0
    tasks: float = 1.0
    tasks_max: int = 1
    run_s: float = 5.0
    spread: float = 0.5  # sigma of the run times' logarithm
    estimate_error: float = 0.3
    vcpus: float = 1.0
    memory_gb: float = 1.0
    size_gb: float = 0.5
    images: int = 3
    loaner: bool = True
    snapshot_s: float = 0.0
    flush_s: float = 0.5
    due_factor: float = 0.0
    cancelled: float = 0.0
    broken: float = 0.0


class StageTable(Table, frozen=True, kw_only=True):
    """One job of a pipeline, as its class says; it needs the stages with these numbers."""

    jobclass: str
    needs: list[int] = []


class PipelineTable(Table, frozen=True, kw_only=True):
    """Jobs that wait for others, submitted one after another as those are accepted."""

    stages: list[StageTable]
    per_s: float = 0.0
    initial: int = 0
    due_s: float = 0.0  # of the last stage; 0: none
    cancelled: float = 0.0  # of the first stage, and so of all


class ObjectiveTable(Table, frozen=True, kw_only=True):
    kind: str
    share: float = 0.9
    within_s: float = 0.0
    times: float = 1.0
    jobclass: str = msgspec.field(default="*", name="class")


class Scenario(Table, frozen=True, kw_only=True):
    name: str = "scenario"
    seed: int = 1
    duration_s: float = 0.0  # of arrivals and faults; 0: until it is ended
    settle_s: float = 120.0  # at most, for what is left after that
    controllers: int = 3
    zones: list[str] = msgspec.field(default_factory=lambda: ["north", "south"])
    operator: dict[str, float] = {}
    teams: list[TeamTable] = []
    flavours: list[FlavourTable] = []
    state: StateTable = StateTable()
    workers: WorkersTable = WorkersTable()
    cloud: CloudTable = CloudTable()
    objectives: list[ObjectiveTable] = []
    jobs: list[JobTable] = []
    pipelines: list[PipelineTable] = []
    faults: list[AnyFault] = []
    core_share: float = 1.0
    ram_mb: float = 266.0
    sockets: int = 1500

    def team_limits(self) -> dict[str, tuple[float | None, float | None]]:
        """Most CPUs and GPUs of each team; None for no limit."""
        return {t.name: (t.cpus_max or None, t.gpus_max or None) for t in self.teams}

    def machine_type_capacities(self) -> dict[str, tuple[float, float, float]]:
        """CPUs, GPUs and GB of each type of machine."""
        return {f.label: (f.vcpus, f.gpus, f.memory_gb) for f in self.flavours}


def load(path: Path) -> Scenario:
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    return parse(data, str(path))


def parse(data: bytes, name: str) -> Scenario:
    try:
        scenario = msgspec.toml.decode(data, type=Scenario)
    except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as error:
        raise ScenarioError(f"{name}: {error}") from None
    reason = _validation_error(scenario)
    if reason is not None:
        raise ScenarioError(f"{name}: {reason}")
    return scenario


def _validation_error(scenario: Scenario) -> str | None:
    """What types alone can't tell."""
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
                return f"pipelines[{n}].stages[{m}].jobclass: no class is called so"
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
                return f"a, b: {side} is no host, zone or group"
    if isinstance(fault, CommandDelayFault) and fault.delay_s <= 0:
        return "delay_s: must be over 0"
    if fault.every_s and not fault.until_s:
        return "until_s: must say until when every_s holds"
    return None


def _number_error(value: Any, name: str) -> str | None:
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
