"""Settings: the platform's TOML file and the operators' S-expressions, checked at start."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any

from dunehold import budgets
from dunehold.budgets import DisruptionBudgets
from dunehold.types import Duration, NodeId, Resources, Team, Zone


class SettingsError(Exception):
    """One line that names the field and the reason."""


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Peer:
    name: NodeId
    zone: Zone
    address: Address


@dataclass(frozen=True, slots=True)
class TeamSettings:
    """What a team is promised and the most it may use; an amount of 0 means none."""

    name: Team
    guarantee: Resources
    limit_cpus: float | None
    limit_gpus: float | None

    def allows(self, use: Resources) -> bool:
        return (self.limit_cpus is None or use.cpus <= self.limit_cpus + 1e-6) and (
            self.limit_gpus is None or use.gpus <= self.limit_gpus + 1e-6
        )


@dataclass(frozen=True, slots=True)
class Objective:
    """An aim at starting or finishing, as the settings state it."""

    kind: str
    job_class: str
    share: float
    within_s: Duration
    times: float


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The operators' own settings; the values here are the defaults."""

    leader_lease_s: float = 3.0
    leader_renew_s: float = 0.8
    schedule_interval_s: float = 0.1
    headroom_share: float = 0.1
    idle_reserve_share: float = 0.06
    demand_memory_s: float = 40.0
    idle_return_s: float = 20.0
    silent_return_s: float = 45.0
    boot_patience: float = 4.0
    capacity_retry_s: float = 20.0
    sick_after_errors: int = 2
    move_budget: int = 4
    spot_allowed: int = 1
    reservation: int = 1
    backfill: int = 1
    background: int = 1
    lifting: int = 1
    direct_commands: int = 1
    preemption: int = 1
    bind_outgoing: int = 0
    pack_submissions: int = 1
    operator_port: int = 0
    disruption: DisruptionBudgets = DisruptionBudgets()


@dataclass(frozen=True, slots=True)
class Settings:
    node: NodeId
    zone: Zone
    listen: Address
    peer_listen: Address
    peers: tuple[Peer, ...]
    cloud: Address
    state: Address
    zones: tuple[Zone, ...]
    clock_error_s: Duration
    teams: dict[Team, TeamSettings]
    objectives: tuple[Objective, ...]
    report_s: Duration
    lease_s: Duration
    cancel_s: Duration
    state_rps: float
    state_write_rps: float
    value_bytes: int  # of what is written: the smaller of now and later
    txn_ops: int  # the same
    cloud_rps: float
    list_lag_s: Duration
    core_share: float
    memory_mb: float
    sockets: int
    write_burst: float = 0.0  # changes at once, as far as the rate allows
    later_rps: float | None = None  # rates that will hold from some moment, without notice
    later_write_rps: float | None = None
    operator: OperatorSettings = field(default_factory=OperatorSettings)

    @property
    def node_count(self) -> int:
        return 1 + len(self.peers)


class _Table:
    """A TOML table whose getters complain with the field's full name."""

    def __init__(self, values: Any, name: str) -> None:
        if not isinstance(values, dict):
            raise SettingsError(f"{name or 'settings'}: must be a table")
        self.values = values
        self.name = name

    def _label(self, key: str) -> str:
        return f"{self.name}.{key}" if self.name else key

    def table(self, key: str) -> _Table:
        if key not in self.values:
            raise SettingsError(f"{self._label(key)}: missing")
        return _Table(self.values[key], self._label(key))

    def tables(self, key: str) -> list[_Table]:
        rows = self.values.get(key, [])
        if not isinstance(rows, list):
            raise SettingsError(f"{self._label(key)}: must be a list of tables")
        return [_Table(row, f"{self._label(key)}[{n}]") for n, row in enumerate(rows)]

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            raise SettingsError(f"{self._label(key)}: missing")
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{self._label(key)}: must be a text that is not empty")
        return value

    def texts(self, key: str) -> list[str]:
        value = self.values.get(key)
        if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
            raise SettingsError(f"{self._label(key)}: must be a list of texts")
        return value

    def number(self, key: str, default: float | None = None, minimum: float = 0.0) -> float:
        value = self.values.get(key, default)
        if value is None:
            raise SettingsError(f"{self._label(key)}: missing")
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(f"{self._label(key)}: must be a number")
        if not math.isfinite(value) or value < minimum:
            raise SettingsError(f"{self._label(key)}: must be at least {minimum:g}")
        return float(value)

    def address(self, key: str) -> Address:
        host, colon, port = self.text(key).rpartition(":")
        if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise SettingsError(f"{self._label(key)}: must be HOST:PORT")
        return Address(host, int(port))


def load(path: Path, operator_path: Path | None = None) -> Settings:
    """Read and check the platform's file and, if given, the operators' own."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    settings = _decode(_Table(document, ""))
    if operator_path is not None:
        settings = replace(settings, operator=load_operator_settings(operator_path))
    return settings


def _decode(root: _Table) -> Settings:
    params, services = root.table("params"), root.table("endpoints")
    workers, state = params.table("workers"), params.table("state")
    cloud, machine = params.table("cloud"), params.table("machine_limits")
    # What the state service will allow from some moment. Sizes keep to the smaller of both
    # from the start, since what is too large is refused for good; rates once refusals show it.
    later = state.table("next") if "next" in state.values else _Table({}, "params.state.next")
    value_kb, txn_ops = (
        state.number("value_kb", minimum=1.0),
        state.number("txn_ops", minimum=2.0),
    )
    rps, write_rps = state.number("rps", minimum=1.0), state.number("write_rps", minimum=1.0)
    zones = tuple(Zone(zone) for zone in params.texts("zones"))
    settings = Settings(
        node=NodeId(root.text("host_name")),
        zone=Zone(root.text("site")),
        listen=root.address("bind"),
        peer_listen=root.address("peer_bind"),
        peers=tuple(
            Peer(NodeId(row.text("host_name")), Zone(row.text("site")), row.address("address"))
            for row in root.tables("seeds")
        ),
        cloud=services.address("cloud"),
        state=services.address("state"),
        zones=zones,
        clock_error_s=Duration(params.number("clock_error_ms", 0.0) / 1000),
        teams={team.name: team for team in map(_team, params.tables("teams"))},
        objectives=tuple(map(_objective, params.tables("objectives"))),
        report_s=Duration(workers.number("report_s", minimum=0.01)),
        lease_s=Duration(workers.number("lease_s", minimum=1.0)),
        cancel_s=Duration(workers.number("cancel_s", minimum=1.0)),
        state_rps=rps,
        state_write_rps=write_rps,
        value_bytes=int(min(value_kb, later.number("value_kb", value_kb, minimum=1.0)) * 1024),
        txn_ops=int(min(txn_ops, later.number("txn_ops", txn_ops, minimum=2.0))),
        write_burst=txn_ops,
        later_rps=min(rps, later.number("rps", rps, minimum=1.0)),
        later_write_rps=min(write_rps, later.number("write_rps", write_rps, minimum=1.0)),
        cloud_rps=cloud.number("rps", minimum=0.01),
        list_lag_s=Duration(cloud.number("list_lag_s")),
        core_share=machine.number("core_share", 1.0, minimum=0.01),
        memory_mb=machine.number("ram_mb", 256.0, minimum=1.0),
        sockets=int(machine.number("sockets", 1000, minimum=16)),
    )
    if not zones:
        raise SettingsError("params.zones: must name at least one zone")
    names = [settings.node, *(peer.name for peer in settings.peers)]
    if len(set(names)) != len(names):
        raise SettingsError("seeds: a node is named twice, or names this node")
    if settings.cancel_s <= settings.lease_s:
        # A worker cut off from everybody keeps its tasks for a lease.
        raise SettingsError("params.workers.cancel_s: must be longer than lease_s")
    return settings


def _team(row: _Table) -> TeamSettings:
    limits = {}
    for kind in ("cpus", "gpus"):
        most = row.number(f"{kind}_max", 0.0)
        limits[kind] = most or None
        if most and row.number(kind, 0.0) > most:
            raise SettingsError(f"{row.name}.{kind}: is more than {kind}_max")
    return TeamSettings(
        Team(row.text("name")),
        Resources(row.number("cpus", 0.0), row.number("gpus", 0.0), math.inf),
        limits["cpus"],
        limits["gpus"],
    )


def _objective(row: _Table) -> Objective:
    return Objective(
        row.text("kind"),
        row.text("class", "*"),
        row.number("share", 1.0),
        Duration(row.number("within_s", 0.0)),
        row.number("times", 1.0),
    )


def load_operator_settings(path: Path) -> OperatorSettings:
    """``(dunehold (leader-lease-s 3.0) ...)``; every name is optional."""
    import sexpdata  # only needed when there is such a file

    try:
        form = sexpdata.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except Exception as error:  # sexpdata raises several unrelated kinds
        raise SettingsError(f"{path}: not an S-expression: {error}") from None
    if not isinstance(form, list) or not form or str(form[0]) != "dunehold":
        raise SettingsError(f"{path}: must be (dunehold (name value) ...)")
    known = {item.name: item.type for item in fields(OperatorSettings)}
    values: dict[str, Any] = {}
    for entry in form[1:]:
        if not isinstance(entry, list) or not entry:
            raise SettingsError(f"{path}: every entry must be (name value)")
        name = str(entry[0]).replace("-", "_")
        if name == "disruption":
            try:
                values[name] = budgets.read(entry[1:])
            except ValueError as error:
                raise SettingsError(f"{path}: disruption: {error}") from None
            continue
        if len(entry) != 2:
            raise SettingsError(f"{path}: every entry must be (name value)")
        value = entry[1]
        if name not in known:
            raise SettingsError(f"{path}: {entry[0]}: no such setting")
        if known[name] == "int":
            if not isinstance(value, int) or isinstance(value, bool) or value < 0:
                raise SettingsError(f"{path}: {entry[0]}: must be a whole number")
        elif isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise SettingsError(f"{path}: {entry[0]}: must be a number of at least 0")
        values[name] = value
    operator = OperatorSettings(**values)
    if operator.operator_port > 65535:
        raise SettingsError(f"{path}: operator-port: must be a port, or 0 for none")
    if operator.leader_renew_s * 2 >= operator.leader_lease_s or operator.leader_lease_s < 0.5:
        raise SettingsError(
            f"{path}: leader-lease-s: must be over twice leader-renew-s, >= 0.5"
        )
    return operator
