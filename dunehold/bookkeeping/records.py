"""What is durable in the state service, and how it is written there."""

from __future__ import annotations

import base64
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
JOB_BATCHES = PREFIX + "packs/"  # many submissions to a key
COMPLETION_BATCHES = PREFIX + "ends/"  # many ends to a key
BATCHING_ENABLED = PREFIX + "packing"  # whether packs of submissions may be written
BROKEN_JOBS = PREFIX + "broken"  # jobs that fail on every machine, for the next leader
ZONES = PREFIX + "zones"  # those that are not well, for the next leader
SUCCESSOR = PREFIX + "successor"  # the zone that should lead next, and after which token
ORDERS = PREFIX + "orders/"  # of operators, one key each
ORDERS_SERIAL = PREFIX + "orders-serial"  # raised with every change of an order
ORDER_PROGRESS = PREFIX + "upkeep/"  # how far the leader is with each order
DISRUPTIONS = PREFIX + "disruptions"  # stopped by choice lately, for the next leader
START_SLOTS = 256  # the log of starts is a ring of so many keys


def usable_value_bytes(value_bytes: int) -> int:
    """Bytes of a value that are filled: how the state service counts may differ."""
    return value_bytes * 3 // 4


TasksByHost = dict[HostId, set[TaskId]]  # machine -> tasks that may have been started there

# One page of done marks is a bitmap of so many tasks: 700 bytes in base64, which fits
# the smallest value size that the settings allow (1 KiB).
TASKS_PER_BITMAP_PAGE = 4096
HOST_BYTES = 24  # of a name in a page of machines; longer names make fewer to a page


def job_key(job: JobId) -> str:
    return JOBS + job


def completion_bitmap_key(job: JobId, page: int) -> str:
    return f"{COMPLETION_BITMAPS}{job}/{page}"


@dataclass(slots=True)
class JobRecord:
    """A job as the state service knows it.

    ``version`` is that of the job's own key, 0 if it has none. ``order`` is the version of
    what says that the job is accepted or, once it is over, that it is. ``pack`` names the
    pack that it was accepted in, if it was.
    """

    id: JobId
    phase: JobPhase
    version: Revision
    accepted_at: WallTime
    spec: JobSpec | None
    tasks: int
    completion_bitmaps: dict[int, int] = field(
        default_factory=dict
    )  # page -> bitmap of done tasks
    phase_revision: Revision = Revision(0)
    batch_key: str | None = None
    ended_at: WallTime | None = None  # of a job that is done, where that is written
    dependencies_done_at: WallTime | None = None  # when the last job that it needs was done

    @property
    def eligible_at(self) -> WallTime:
        """From when its waiting counts: for the jobs that it needs, it does not wait."""
        return (
            self.accepted_at if self.dependencies_done_at is None else self.dependencies_done_at
        )

    def takes_precedence_over(self, other: JobRecord) -> bool:
        """Against another record of the same job: an end before no end, the first of two.

        Every node must find the same one, in whatever order it came to know of them.
        """
        if self.phase.final != other.phase.final:
            return self.phase.final
        return self.phase_revision <= other.phase_revision

    def is_task_done(self, index: int) -> bool:
        page, bit = divmod(index, TASKS_PER_BITMAP_PAGE)
        return bool(self.completion_bitmaps.get(page, 0) >> bit & 1)

    def done_count(self) -> int:
        return sum(bits.bit_count() for bits in self.completion_bitmaps.values())


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    node: NodeId
    incarnation: str
    token: Token
    version: Revision


@dataclass(frozen=True, slots=True)
class RelayRecord:
    """A node that feeds the workers of its zone for a leader that they can't reach."""

    zone: Zone
    token: Token


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A machine that may have been told to start tasks."""

    id: HostId
    type: TypeName
    zone: Zone
    spot: bool


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """What a leader knew of a zone that is, or lately was, not well."""

    condition: ZoneCondition
    flaps: int
    healthy_host_count: int  # machines up when it was last well


def encode_job_record(spec: JobSpec, phase: JobPhase, accepted_at: WallTime) -> dict[str, Any]:
    return {"phase": phase.value, "at": accepted_at, "job": encode_job(spec)}


def encode_cancelled(record: JobRecord, most_bytes: int) -> dict[str, Any]:
    """What its tasks take stays known, since some may still be on machines. What only says
    where and when it may start goes, and more of it where a value has become smaller: a
    job that was accepted must never be too large to be cancelled."""
    spec = record.spec
    assert spec is not None
    spec = replace(spec, dependencies=())
    value = encode_job_record(spec, JobPhase.CANCELLED, record.accepted_at)
    if len(codec.dump(value)) > most_bytes:
        spec = replace(spec, types=None)
        value = encode_job_record(spec, JobPhase.CANCELLED, record.accepted_at)
    return value


def encode_done(record: JobRecord, ended_at: WallTime | None = None) -> dict[str, Any]:
    """Nothing but the end is needed of a job that is done."""
    return {
        "phase": JobPhase.DONE.value,
        "at": record.accepted_at,
        "tasks": record.tasks,
        "end": ended_at,
    }


def decode_job_record(job: JobId, value: Any, version: Revision) -> JobRecord:
    if not isinstance(value, dict):
        raise BadMessage("job record")
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
    return base64.b64encode(bits.to_bytes((bits.bit_length() + 7) // 8, "little")).decode()


def decode_bitmap(value: Any) -> int:
    if not isinstance(value, str):
        raise BadMessage("bitmap")
    return int.from_bytes(base64.b64decode(value), "little")


def encode_leader(node: NodeId, incarnation: str, token: Token) -> dict[str, Any]:
    return {"node": node, "incarnation": incarnation, "token": token}


def decode_leader(value: Any, version: Revision) -> LeaderRecord:
    if not isinstance(value, dict):
        raise BadMessage("leader record")
    return LeaderRecord(
        NodeId(codec.text(value, "node")),
        codec.text(value, "incarnation"),
        Token(codec.count(value, "token")),
        version,
    )


def encode_hosts(hosts: list[HostRecord]) -> list[Any]:
    """By type, zone and kind, which many share. Addresses are not kept: workers find the
    leader by themselves, and the cloud's list has them."""
    groups: dict[tuple[TypeName, Zone, bool], list[HostId]] = {}
    for host in hosts:
        groups.setdefault((host.type, host.zone, host.spot), []).append(host.id)
    return [[*key, *names] for key, names in groups.items()]


def decode_hosts(value: Any) -> dict[HostId, HostRecord]:
    if not isinstance(value, list):
        raise BadMessage("hosts record")
    found = {}
    for row in value:
        if not isinstance(row, list) or len(row) < 3:
            raise BadMessage("hosts record")
        for name in row[3:]:
            host = HostId(str(name))
            found[host] = HostRecord(host, TypeName(row[0]), Zone(row[1]), bool(row[2]))
    return found


def encode_starts(placed: TasksByHost) -> dict[str, Any]:
    value: dict[str, dict[str, list[int]]] = {}
    for host, tasks in placed.items():
        jobs = value.setdefault(host, {})
        for task in sorted(tasks):
            jobs.setdefault(task.job, []).append(task.number)
    return value


def decode_starts(value: Any) -> TasksByHost:
    if not isinstance(value, dict):
        raise BadMessage("starts record")
    return {
        HostId(host): {
            TaskId(JobId(job), int(number))
            for job, numbers in jobs.items()
            for number in numbers
        }
        for host, jobs in value.items()
    }


def starts_bytes(tasks: set[TaskId]) -> int:
    """About what one machine's tasks take in the log."""
    return 24 + sum(len(job) + 8 for job in {t.job for t in tasks}) + 7 * len(tasks)


def encode_broken_jobs(jobs: set[JobId], most_bytes: int) -> list[JobId]:
    """As many as a value holds; a job left out is found again by its failures."""
    found: list[JobId] = []
    for job in sorted(jobs, reverse=True):
        most_bytes -= len(job) + 3
        if most_bytes < 0:
            break
        found.append(job)
    return found


def decode_broken_jobs(value: Any) -> set[JobId]:
    if not isinstance(value, list):
        raise BadMessage("broken jobs record")
    return {JobId(str(job)) for job in value}


def encode_relay(zone: Zone, token: Token) -> dict[str, Any]:
    return {"zone": zone, "token": token}


def decode_relay(value: Any) -> RelayRecord:
    if not isinstance(value, dict):
        raise BadMessage("relay record")
    return RelayRecord(Zone(codec.text(value, "zone")), Token(codec.count(value, "token")))


def encode_successor(zone: Zone, token: Token) -> dict[str, Any]:
    return {"zone": zone, "token": token}


def decode_successor(value: Any) -> tuple[Zone, Token]:
    if not isinstance(value, dict):
        raise BadMessage("successor record")
    return Zone(codec.text(value, "zone")), Token(codec.count(value, "token"))


def encode_zones(zones: dict[Zone, ZoneRecord]) -> dict[str, list[Any]]:
    return {
        zone: [r.condition, r.flaps, r.healthy_host_count] for zone, r in sorted(zones.items())
    }


def decode_zones(value: Any) -> dict[Zone, ZoneRecord]:
    if not isinstance(value, dict):
        raise BadMessage("zones record")
    found = {}
    for zone, row in value.items():
        if not isinstance(row, list) or len(row) < 3:
            raise BadMessage("zones record")
        found[Zone(zone)] = ZoneRecord(ZoneCondition(row[0]), int(row[1]), int(row[2]))
    return found


def encode_rental(rental: Rental) -> list[Any]:
    return [rental.type, rental.zone, rental.spot, rental.count]


def decode_rental(rental: RentalId, value: Any) -> Rental:
    if not isinstance(value, list) or len(value) != 4:
        raise BadMessage("rental record")
    return Rental(rental, TypeName(value[0]), Zone(value[1]), bool(value[2]), int(value[3]))
