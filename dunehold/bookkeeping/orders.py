"""Durable form of operators' orders: the request, and the leader's progress with it.

An order has one key. The node that accepted it writes it, guarded by the serial that the
operator saw. Every change of any order raises the serial, so that of two contradicting orders
one is rejected. The progress has a key of its own, which only the leader writes.

Neither lists all hosts that the order applies to. Host names are in the order of creation, so
one name is the upper bound of those hosts, and only the hosts being drained are listed. The
size of the records therefore does not grow with the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.operators import (
    Order,
    decode_order_fields,
    decode_texts,
    encode_order_fields,
)
from dunehold.types import HostId, OrderId, Revision, TypeName, WallTime, Zone

FORMAT = 1  # of the durable records of an order and of its progress


class Stage(StrEnum):
    """How far the leader has proceeded with an order."""

    NEW = "new"
    RENTING = "room"  # replacements are rented before hosts are taken out of service
    EMPTYING = "empty"  # the hosts of the wave are being drained
    BAKE = "bake"  # the replacements are observed before the next wave
    DRAINING = "draining"  # the only stage of a drain that is under way
    DONE = "done"
    HALTED = "halted"  # stopped by the leader, for the reason in ``halt_reason``
    ABORTED = "aborted"

    @property
    def final(self) -> bool:
        """Whether the leader does nothing more for the order."""
        return self in (Stage.DONE, Stage.HALTED, Stage.ABORTED)


HostKind = tuple[TypeName, Zone, bool]  # machine type, zone, whether it is a spot machine


@dataclass(frozen=True, slots=True)
class OrderProgress:
    """The leader's progress with an order.

    Attributes:
        last_host: by name, the newest host that the order can apply to, as determined when the
            leader took up the order; None before that. It does not bound an order that also
            applies to hosts created later.
        host_kind: kind of all hosts of the present wave.
        wave: number of the present wave, from 1.
        wave_size: number of hosts of the present wave.
        baseline_hosts: number of working replacements of that kind when the wave began.
        draining_hosts: hosts of the present wave that are being drained; no task is started
            on them.
        hosts_done: number of hosts that have been taken out of service and emptied.
        stage_since: when the stage began.
        halt_reason: why the order was halted.
    """

    stage: Stage = Stage.NEW
    last_host: HostId | None = None
    host_kind: HostKind | None = None
    wave: int = 0
    wave_size: int = 0
    baseline_hosts: int = 0
    draining_hosts: tuple[HostId, ...] = ()
    hosts_done: int = 0
    stage_since: WallTime = WallTime(0.0)
    halt_reason: str = ""


# -- encoding -----------------------------------------------------------------------------


def encode_order(order: Order) -> dict[str, Any]:
    """Encode the value of an order's key."""
    fixed = {"f": FORMAT, "made": order.created_at, "wish": order.desired_state.value}
    return encode_order_fields(order) | fixed


def decode_order(order: OrderId, value: Any, version: Revision) -> Order:
    """Decode an order; raises BadMessage if it is malformed or of an unknown format."""
    return replace(decode_order_fields(order, _check_format(value, "order")), version=version)


def encode_progress(progress: OrderProgress) -> dict[str, Any]:
    """Encode the value of the key of an order's progress."""
    return {
        "f": FORMAT,
        "stage": progress.stage.value,
        "mark": progress.last_host,
        "of": None if progress.host_kind is None else list(progress.host_kind),
        "wave": [progress.wave, progress.wave_size, progress.baseline_hosts],
        "hands": list(progress.draining_hosts),
        "done": progress.hosts_done,
        "since": progress.stage_since,
        "why": progress.halt_reason,
    }


def decode_progress(value: Any) -> OrderProgress:
    """Decode an order's progress.

    Raises BadMessage if it is malformed or of an unknown format, ValueError for an unknown
    stage.
    """
    row = _check_format(value, "progress")
    wave = row.get("wave")
    if not isinstance(wave, list) or len(wave) != 3:
        raise BadMessage("wave must be a list [number, size, baseline hosts]")
    wave_number, wave_size, baseline_hosts = (int(each) for each in wave)
    last_host, kind = codec.opt_text(row, "mark"), row.get("of")
    if kind is not None and (not isinstance(kind, list) or len(kind) != 3):
        raise BadMessage("of must be a list [type, zone, spot]")
    return OrderProgress(
        Stage(codec.text(row, "stage")),
        None if last_host is None else HostId(last_host),
        None if kind is None else (TypeName(kind[0]), Zone(kind[1]), bool(kind[2])),
        wave_number,
        wave_size,
        baseline_hosts,
        tuple(HostId(name) for name in decode_texts(row, "hands")),
        codec.count(row, "done"),
        WallTime(codec.amount(row, "since")),
        str(row.get("why") or ""),
    )


def _check_format(value: Any, name: str) -> dict[str, Any]:
    """Return the value as an object of the known format, or raise BadMessage."""
    if not isinstance(value, dict):
        raise BadMessage(f"{name} record must be an object")
    if value.get("f") != FORMAT:
        raise BadMessage(f"{name} record has format {value.get('f')}, expected {FORMAT}")
    return value
