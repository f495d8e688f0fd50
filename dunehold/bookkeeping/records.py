"""The records kept in the state service: their keys and their encoding.

Decoders raise BadMessage for a value that does not have the shape of the record. An invalid
item within a value may also raise ValueError or TypeError.
"""

from __future__ import annotations

import base64
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from dunehold.protocol import codec
from dunehold.protocol.cloud import Rental
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.users import JobSpec, decode_job_object, encode_job
from dunehold.types import (
    HostId,
    JobId,
    JobPhase,
    NodeId,
    RentalId,
    Revision,
    TaskId,
    Token,
    TypeName,
    WallTime,
    Zone,
    ZoneCondition,
)

PREFIX = "dunehold/"
LEADER_KEY = PREFIX + "leader"
TOKEN_KEY = PREFIX + "token"
JOBS = PREFIX + "jobs/"
COMPLETION_BITMAPS = PREFIX + "marks/"
HOSTS = PREFIX + "hosts/"
RENTALS = PREFIX + "rentals/"
RELAYS = PREFIX + "relays/"
STARTS = PREFIX + "starts/"
JOB_BATCHES = PREFIX + "packs/"  # many submissions under one key
COMPLETION_BATCHES = PREFIX + "ends/"  # many completions under one key
BATCHING_ENABLED = PREFIX + "packing"  # whether nodes may write batches of submissions
BROKEN_JOBS = PREFIX + "broken"  # jobs that fail on every host, for the next leader
ZONES = PREFIX + "zones"  # zones that are or recently were unhealthy, for the next leader
SUCCESSOR = PREFIX + "successor"  # the zone that should lead next, and after which token
ORDERS = PREFIX + "orders/"  # operators' orders, one key each
ORDERS_SERIAL = PREFIX + "orders-serial"  # its version rises with every change of an order
ORDER_PROGRESS = PREFIX + "upkeep/"  # the leader's progress with each order
DISRUPTIONS = PREFIX + "disruptions"  # recent voluntary disruptions, for the next leader
START_SLOTS = 256  # keys of the start log, which is a ring


def usable_value_bytes(value_bytes: int) -> int:
    """Part of the value size limit that encoders fill, in bytes.

    The rest is a margin, because the state service may count the size of a value differently.
    """
    return value_bytes * 3 // 4


TasksByHost = dict[HostId, set[TaskId]]  # host -> tasks that may have been started there

# One page of a job's completion bitmap covers this many tasks. It takes about 700 bytes in
# base64, which fits the smallest value size that the settings allow (1 KiB).
TASKS_PER_BITMAP_PAGE = 4096
# Bytes assumed for each host in a page of host records: its id with quotes and a comma. This
# limits the number of hosts in a page, whose encoded size is not checked below that number.
# Longer ids would need a larger value here, and thus fewer hosts to a page.
HOST_BYTES = 24


def job_key(job: JobId) -> str:
    """The key of a job that was not accepted in a batch, or that was cancelled."""
    return JOBS + job


def completion_bitmap_key(job: JobId, page: int) -> str:
    """The key of one page of a job's completion bitmap."""
    return f"{COMPLETION_BITMAPS}{job}/{page}"


@dataclass(slots=True)
class JobRecord:
    """A job as the state service has it.

    Attributes:
        version: version of the job's own key, 0 if it has none.
        spec: what the user submitted; None once the job is done.
        completion_bitmaps: bitmap of the completed tasks by page.
        phase_revision: version of the key that states the job's phase: that it was accepted
            or, once it is over, that it ended.
        batch_key: name of the batch that the job was accepted in, if any.
        ended_at: when the job was done; None if it is not, or if that was not recorded.
        dependencies_done_at: when the last of its dependencies was done; None while it waits
            for any of them, and if it has none.
    """

    id: JobId
    phase: JobPhase
    version: Revision
    accepted_at: WallTime
    spec: JobSpec | None
    tasks: int
    completion_bitmaps: dict[int, int] = field(default_factory=dict)
    phase_revision: Revision = Revision(0)
    batch_key: str | None = None
    ended_at: WallTime | None = None
    dependencies_done_at: WallTime | None = None

    @property
    def eligible_at(self) -> WallTime:
        """Start of its waiting time. Time spent waiting for dependencies does not count."""
        return (
            self.accepted_at if self.dependencies_done_at is None else self.dependencies_done_at
        )

    def takes_precedence_over(self, other: JobRecord) -> bool:
        """Whether this record is kept rather than another record of the same job.

        A final phase takes precedence over an active one; otherwise the record with the lower
        revision does. Every node must choose the same record, whatever the order in which it
        received them.
        """
        if self.phase.final != other.phase.final:
            return self.phase.final
        return self.phase_revision <= other.phase_revision

    def is_task_done(self, index: int) -> bool:
        """Whether the task's completion is durable."""
        page, bit = divmod(index, TASKS_PER_BITMAP_PAGE)
        return bool(self.completion_bitmaps.get(page, 0) >> bit & 1)

    def done_tasks(self) -> Iterator[int]:
        """Numbers of the tasks whose completion is durable."""
        for page, bits in self.completion_bitmaps.items():
            first = page * TASKS_PER_BITMAP_PAGE
            for offset, bit in enumerate(reversed(f"{bits:b}")):
                if bit == "1":
                    yield first + offset

    def done_count(self) -> int:
        """Number of tasks whose completion is durable."""
        return sum(bits.bit_count() for bits in self.completion_bitmaps.values())


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The current leader, as its key in the state service names it."""

    node: NodeId
    incarnation: str
    token: Token
    version: Revision


@dataclass(frozen=True, slots=True)
class RelayRecord:
    """A node that renews leases of its zone's workers for a leader that they can't reach."""

    zone: Zone
    token: Token


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A host that may have been commanded to start tasks."""

    id: HostId
    type: TypeName
    zone: Zone
    spot: bool


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """What a leader knew about a zone that is or recently was unhealthy."""

    condition: ZoneCondition
    flaps: int
    healthy_host_count: int  # hosts expected to report when it was last healthy


def encode_job_record(spec: JobSpec, phase: JobPhase, accepted_at: WallTime) -> dict[str, Any]:
    """Encode the value of a job's own key."""
    return {"phase": phase.value, "at": accepted_at, "job": encode_job(spec)}


def encode_cancelled(record: JobRecord, most_bytes: int) -> dict[str, Any]:
    """Encode the record of a cancelled job in at most ``most_bytes``, where that is possible.

    The resources of its tasks are kept, since some of them may still be on hosts. The
    dependencies are left out, since they only say when a task may start. The allowed machine
    types are left out too if the value is still too large, as can happen when the limit was
    lowered: a job that was accepted must never be too large to be cancelled.
    """
    spec = record.spec
    assert spec is not None
    spec = replace(spec, dependencies=())
    value = encode_job_record(spec, JobPhase.CANCELLED, record.accepted_at)
    if len(codec.dump(value)) > most_bytes:
        spec = replace(spec, types=None)
        value = encode_job_record(spec, JobPhase.CANCELLED, record.accepted_at)
    return value


def encode_done(record: JobRecord, ended_at: WallTime | None = None) -> dict[str, Any]:
    """Encode the record of a job that is done, which needs no spec any more."""
    return {
        "phase": JobPhase.DONE.value,
        "at": record.accepted_at,
        "tasks": record.tasks,
        "end": ended_at,
    }


def decode_job_record(job: JobId, value: Any, version: Revision) -> JobRecord:
    """Decode the value of a job's own key, in any phase."""
    if not isinstance(value, dict):
        raise BadMessage("job record must be an object")
    row = value.get("job")
    spec = decode_job_object(row) if isinstance(row, dict) else None
    end = codec.opt_amount(value, "end")
    return JobRecord(
        job,
        JobPhase(str(value.get("phase"))),
        version,
        WallTime(codec.amount(value, "at")),
        spec,
        spec.tasks if spec is not None else codec.count(value, "tasks"),
        phase_revision=version,
        ended_at=None if end is None else WallTime(end),
    )


def encode_bitmap(bits: int) -> str:
    """Encode a bitmap as base64 of its bytes, lowest tasks first."""
    return base64.b64encode(bits.to_bytes((bits.bit_length() + 7) // 8, "little")).decode()


def decode_bitmap(value: Any) -> int:
    """Decode what encode_bitmap() returned."""
    if not isinstance(value, str):
        raise BadMessage("completion bitmap must be a string")
    return int.from_bytes(base64.b64decode(value), "little")


def encode_leader(node: NodeId, incarnation: str, token: Token) -> dict[str, Any]:
    """Encode the value of the leader key."""
    return {"node": node, "incarnation": incarnation, "token": token}


def decode_leader(value: Any, version: Revision) -> LeaderRecord:
    """Decode the value of the leader key, whose version is ``version``."""
    if not isinstance(value, dict):
        raise BadMessage("leader record must be an object")
    return LeaderRecord(
        NodeId(codec.text(value, "node")),
        codec.text(value, "incarnation"),
        Token(codec.count(value, "token")),
        version,
    )


def encode_hosts(hosts: list[HostRecord]) -> list[Any]:
    """Encode a page of hosts, grouped by type, zone and spot flag, which many hosts share.

    Addresses are not recorded: workers find the leader by themselves, and the cloud's list of
    hosts has the addresses.
    """
    groups: dict[tuple[TypeName, Zone, bool], list[HostId]] = {}
    for host in hosts:
        groups.setdefault((host.type, host.zone, host.spot), []).append(host.id)
    return [[*key, *names] for key, names in groups.items()]


def decode_hosts(value: Any) -> dict[HostId, HostRecord]:
    """Decode a page of hosts."""
    if not isinstance(value, list):
        raise BadMessage("hosts record must be a list")
    found = {}
    for row in value:
        if not isinstance(row, list) or len(row) < 3:
            raise BadMessage("hosts record: a group must be [type, zone, spot, host...]")
        for name in row[3:]:
            host = HostId(str(name))
            found[host] = HostRecord(host, TypeName(row[0]), Zone(row[1]), bool(row[2]))
    return found


def encode_starts(placed: TasksByHost) -> dict[str, Any]:
    """Encode one slot of the start log as host -> job -> task numbers."""
    value: dict[str, dict[str, list[int]]] = {}
    for host, tasks in placed.items():
        jobs = value.setdefault(host, {})
        for task in sorted(tasks):
            jobs.setdefault(task.job, []).append(task.number)
    return value


def decode_starts(value: Any) -> TasksByHost:
    """Decode one slot of the start log."""
    if not isinstance(value, dict):
        raise BadMessage("starts record must be an object")
    return {
        HostId(host): {
            TaskId(JobId(job), int(number))
            for job, numbers in jobs.items()
            for number in numbers
        }
        for host, jobs in value.items()
    }


def starts_bytes(tasks: set[TaskId]) -> int:
    """Estimated size of one host's tasks in the start log, in bytes."""
    return 24 + sum(len(job) + 8 for job in {t.job for t in tasks}) + 7 * len(tasks)


def encode_broken_jobs(jobs: set[JobId], most_bytes: int) -> list[JobId]:
    """Encode as many broken jobs as fit ``most_bytes``, those with the highest names first.

    A job that is left out is detected again by its failures.
    """
    found: list[JobId] = []
    for job in sorted(jobs, reverse=True):
        most_bytes -= len(job) + 3
        if most_bytes < 0:
            break
        found.append(job)
    return found


def decode_broken_jobs(value: Any) -> set[JobId]:
    """Decode the list of broken jobs."""
    if not isinstance(value, list):
        raise BadMessage("broken jobs record must be a list")
    return {JobId(str(job)) for job in value}


def encode_relay(zone: Zone, token: Token) -> dict[str, Any]:
    """Encode the value of a relay's key."""
    return {"zone": zone, "token": token}


def decode_relay(value: Any) -> RelayRecord:
    """Decode the value of a relay's key."""
    if not isinstance(value, dict):
        raise BadMessage("relay record must be an object")
    return RelayRecord(Zone(codec.text(value, "zone")), Token(codec.count(value, "token")))


def encode_successor(zone: Zone, token: Token) -> dict[str, Any]:
    """Encode which zone should lead after the leader with ``token``."""
    return {"zone": zone, "token": token}


def decode_successor(value: Any) -> tuple[Zone, Token]:
    """Decode the preferred zone and the token after which it should lead."""
    if not isinstance(value, dict):
        raise BadMessage("successor record must be an object")
    return Zone(codec.text(value, "zone")), Token(codec.count(value, "token"))


def encode_zones(zones: dict[Zone, ZoneRecord]) -> dict[str, list[Any]]:
    """Encode the zones as zone -> [condition, flaps, healthy hosts]."""
    return {
        zone: [r.condition, r.flaps, r.healthy_host_count] for zone, r in sorted(zones.items())
    }


def decode_zones(value: Any) -> dict[Zone, ZoneRecord]:
    """Decode the zones; items after the first three of a row are ignored."""
    if not isinstance(value, dict):
        raise BadMessage("zones record must be an object")
    found = {}
    for zone, row in value.items():
        if not isinstance(row, list) or len(row) < 3:
            raise BadMessage("zones record: a row must be [condition, flaps, healthy hosts]")
        found[Zone(zone)] = ZoneRecord(ZoneCondition(row[0]), int(row[1]), int(row[2]))
    return found


def encode_rental(rental: Rental) -> list[Any]:
    """Encode a rental, whose id is part of its key."""
    return [rental.type, rental.zone, rental.spot, rental.count]


def decode_rental(rental: RentalId, value: Any) -> Rental:
    """Decode the rental with the id ``rental``."""
    if not isinstance(value, list) or len(value) != 4:
        raise BadMessage("rental record must be [type, zone, spot, count]")
    return Rental(rental, TypeName(value[0]), Zone(value[1]), bool(value[2]), int(value[3]))
