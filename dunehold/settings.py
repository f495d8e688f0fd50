"""Reads and checks the settings: the platform's TOML file, the operators' S-expressions."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any

from dunehold import budgets
from dunehold.budgets import DisruptionBudgets
from dunehold.types import EPSILON, Duration, NodeId, Resources, Team, Zone


class SettingsError(Exception):
    """The settings are invalid; the text is one line with the field and the reason."""


@dataclass(frozen=True, slots=True)
class Address:
    """Host and port of a TCP endpoint."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Peer:
    """Another controller. ``address`` is the one at which it answers its peers."""

    name: NodeId
    zone: Zone
    address: Address


@dataclass(frozen=True, slots=True)
class TeamSettings:
    """The resources guaranteed to a team, and the most that it may use."""

    name: Team
    guarantee: Resources
    limit_cpus: float | None  # None: no limit
    limit_gpus: float | None  # None: no limit

    def allows(self, use: Resources) -> bool:
        """Tells whether the team may use ``use`` in total."""
        return (self.limit_cpus is None or use.cpus <= self.limit_cpus + EPSILON) and (
            self.limit_gpus is None or use.gpus <= self.limit_gpus + EPSILON
        )


@dataclass(frozen=True, slots=True)
class Objective:
    """An objective for the start or the completion of jobs, as the settings state it."""

    kind: str  # wait, guarantee, finished or deadline
    job_class: str  # * if the objective names no class
    share: float  # part of the jobs or tasks that should meet it
    within_s: Duration  # time limit; kind deadline uses the deadline of the job instead
    times: float  # factor on that deadline


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The operators' own settings; the values here are the defaults.

    Fields of type int that are not counts or ports are switches: 0 is off, 1 is on.
    """

    leader_lease_s: float = 3.0  # lifetime of the leader lease
    leader_renew_s: float = 0.8  # interval between its renewals
    schedule_interval_s: float = 0.1  # minimum time between two plans
    headroom_share: float = 0.1  # kept in the fleet beyond the recent peak of wanted CPUs
    # Maximum share of the CPUs that jobs of the lowest priority leave free for other jobs.
    idle_reserve_share: float = 0.06
    demand_memory_s: float = 40.0  # how far back the recent peak of wanted CPUs reaches
    idle_return_s: float = 20.0  # a machine idle for this long may be returned
    silent_return_s: float = 45.0  # a machine not heard from for this long may be returned
    boot_patience: float = 4.0  # boot times of its type until a machine is given up
    capacity_retry_s: float = 20.0  # until an offer that the cloud lacked is tried again
    sick_after_errors: int = 2  # failures since the last success that quarantine a machine
    move_budget: int = 4  # most moves from checkpoints in one plan
    spot_allowed: int = 1  # rent spot machines
    reservation: int = 1  # number of jobs at the head of the queue that get a reservation
    backfill: int = 1
    background: int = 1  # run tasks in the background tier
    lifting: int = 1  # promote background tasks to the foreground, in place or by a move
    direct_commands: int = 1  # off: commands are sent in the answers to reports only
    preemption: int = 1
    bind_outgoing: int = 0  # connections go out from the address of ``bind``
    pack_submissions: int = 1  # jobs that wait for the write rate limiter share keys
    operator_port: int = 0  # 0: no port for operators
    blocked_log_s: float = 0.25  # work that holds up the event loop for this long is logged
    disruption: DisruptionBudgets = DisruptionBudgets()


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one controller."""

    node: NodeId
    zone: Zone
    listen: Address  # for users and workers
    peer_listen: Address  # for other controllers
    peers: tuple[Peer, ...]  # the other controllers
    cloud: Address
    state: Address
    zones: tuple[Zone, ...]
    clock_error_s: Duration  # upper bound of the error of the time of day
    teams: dict[Team, TeamSettings]
    objectives: tuple[Objective, ...]
    report_s: Duration  # interval between a worker's reports
    lease_s: Duration  # lifetime of a worker's lease
    cancel_s: Duration  # after a confirmed cancellation, until no task of the job may run
    state_rps: float  # requests per second to the state service, for all controllers together
    state_write_rps: float  # the same for writes
    value_bytes: int  # largest value: the smaller of the present and the later limit
    txn_ops: int  # most writes in a transaction: the smaller of both limits
    cloud_rps: float  # requests per second to the cloud
    list_lag_s: Duration  # how far the cloud's list of machines may be behind
    core_share: float  # part of a core that this controller may use
    memory_mb: float  # memory that it may use
    sockets: int  # sockets that it may have open
    write_burst: float = 0.0  # writes that may be made at once, as far as the rate allows
    later_rps: float | None = None  # rates that will apply from some moment on, without notice
    later_write_rps: float | None = None
    operator: OperatorSettings = field(default_factory=OperatorSettings)

    @property
    def node_count(self) -> int:
        """Number of controllers, this one included."""
        return 1 + len(self.peers)


class _Table:
    """A TOML table whose getters raise SettingsError with the full name of the field."""

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
            raise SettingsError(f"{self._label(key)}: must be a non-empty string")
        return value

    def texts(self, key: str) -> list[str]:
        value = self.values.get(key)
        if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
            raise SettingsError(f"{self._label(key)}: must be a list of non-empty strings")
        return value

    def number(self, key: str, default: float | None = None, minimum: float = 0.0) -> float:
        value = self.values.get(key, default)
        if value is None:
            raise SettingsError(f"{self._label(key)}: missing")
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(f"{self._label(key)}: must be a number")
        if not math.isfinite(value) or value < minimum:
            raise SettingsError(
                f"{self._label(key)}: must be a finite number of at least {minimum:g}"
            )
        return float(value)

    def address(self, key: str) -> Address:
        host, colon, port = self.text(key).rpartition(":")
        if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise SettingsError(
                f"{self._label(key)}: must be HOST:PORT with a port from 1 to 65535"
            )
        return Address(host, int(port))


def load(path: Path, operator_path: Path | None = None) -> Settings:
    """Reads and checks the platform's file and, if given, the operators' file.

    Raises SettingsError.
    """
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
    # Limits that the state service will apply from some moment on. The smaller sizes apply from
    # the start, since a larger value or transaction would be refused again and again. The lower
    # rates apply once refusals show that the service has changed its limits.
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
        raise SettingsError("seeds: every host_name must be unique and differ from this node's")
    if settings.cancel_s <= settings.lease_s:
        # A worker that is cut off from all controllers runs its tasks until its lease expires.
        raise SettingsError("params.workers.cancel_s: must be longer than lease_s")
    return settings


def _team(row: _Table) -> TeamSettings:
    """Reads a team; an amount of 0 or none means no guarantee, or no limit."""
    limits = {}
    for kind in ("cpus", "gpus"):
        most = row.number(f"{kind}_max", 0.0)
        limits[kind] = most or None
        if most and row.number(kind, 0.0) > most:
            raise SettingsError(f"{row.name}.{kind}: must not exceed {kind}_max")
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
    """Reads a file like ``(dunehold (leader-lease-s 3.0) ...)``, where every name is optional.

    Raises SettingsError.
    """
    import sexpdata  # needed only if there is such a file

    try:
        form = sexpdata.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except Exception as error:  # sexpdata raises several unrelated types
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
        raise SettingsError(f"{path}: operator-port: must be a port up to 65535, or 0 for none")
    if operator.leader_renew_s * 2 >= operator.leader_lease_s or operator.leader_lease_s < 0.5:
        raise SettingsError(
            f"{path}: leader-lease-s: must be at least 0.5 and over twice leader-renew-s"
        )
    return operator
