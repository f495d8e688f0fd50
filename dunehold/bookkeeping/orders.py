"""Orders of operators as they are durable: what is asked for, and how far the leader is.

An order is one key, written by whichever node took it, guarded by the serial that its operator
saw: every change of any order raises the serial, so of two that contradict each other one is
refused. How far it is stands under a key of its own, which only the leader writes. Neither
lists the machines: names come in the order in which machines were created, so a name bounds
what is meant, and only those in hand are named. So the cost does not grow with the fleet.
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

FORMAT = 1


class Stage(StrEnum):
    """How far the leader is with an order."""

    NEW = "new"
    RENTING = "room"  # fresh machines are rented before any is taken
    EMPTYING = "empty"  # the machines in hand run out of work
    BAKE = "bake"  # the fresh ones show how they do
    DRAINING = "draining"  # a drain has no steps
    DONE = "done"
    HALTED = "halted"  # by itself, with a reason
    ABORTED = "aborted"

    @property
    def final(self) -> bool:
        return self in (Stage.DONE, Stage.HALTED, Stage.ABORTED)


HostKind = tuple[TypeName, Zone, bool]  # a kind of machine: type, zone, spot or not


@dataclass(frozen=True, slots=True)
class OrderProgress:
    """The leader's part: ``mark`` is the last machine that is meant, by name."""

    stage: Stage = Stage.NEW
    last_host: HostId | None = None
    host_kind: HostKind | None = None  # the machines of this wave are all of one kind
    wave: int = 0
    wave_size: int = 0  # machines of this wave
    baseline_hosts: int = 0  # fresh machines there were before it
    draining_hosts: tuple[HostId, ...] = ()  # machines in hand: they get nothing new
    hosts_done: int = 0  # machines that are out of service
    stage_since: WallTime = WallTime(0.0)  # of the stage
    halt_reason: str = ""  # of a halt


# -- the state service's keys -------------------------------------------------------------


def encode_order(order: Order) -> dict[str, Any]:
    fixed = {"f": FORMAT, "made": order.created_at, "wish": order.desired_state.value}
    return encode_order_fields(order) | fixed


def decode_order(order: OrderId, value: Any, version: Revision) -> Order:
    """BadMessage for what is no order, or of a newer format than this program knows."""
    return replace(decode_order_fields(order, _known(value, "order")), version=version)


def encode_progress(progress: OrderProgress) -> dict[str, Any]:
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
    row = _known(value, "progress")
    wave = row.get("wave")
    if not isinstance(wave, list) or len(wave) != 3:
        raise BadMessage("wave must be a list of three")
    number, size, base = (int(each) for each in wave)
    mark, of = codec.opt_text(row, "mark"), row.get("of")
    if of is not None and (not isinstance(of, list) or len(of) != 3):
        raise BadMessage("of must be a list of three")
    return OrderProgress(
        Stage(codec.text(row, "stage")),
        None if mark is None else HostId(mark),
        None if of is None else (TypeName(of[0]), Zone(of[1]), bool(of[2])),
        number,
        size,
        base,
        tuple(HostId(name) for name in decode_texts(row, "hands")),
        codec.count(row, "done"),
        WallTime(codec.amount(row, "since")),
        str(row.get("why") or ""),
    )


def _known(value: Any, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise BadMessage(f"{name} record")
    if value.get("f") != FORMAT:
        raise BadMessage(f"{name} of format {value.get('f')}, this program knows {FORMAT}")
    return value
