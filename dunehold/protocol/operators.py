"""What operators ask for: orders to take machines out of service or to replace them.

Spoken on a port of its own, which is off unless the operators' settings name one. ``seen`` is
the serial that the operator saw with the list: an order is refused if any has changed since.
Times of day are seconds since the epoch, so that a repeated request is the same request.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.types import Duration, HostId, OrderId, Revision, TypeName, WallTime, Zone

ORDERS_PATH = "/operators/orders"
MAX_HOSTS = 100  # of machines in one order: it must fit a value
MAX_ORDER_ID_CHARS = 60  # characters of an order's id


class OrderKind(StrEnum):
    DRAIN = "drain"  # take the machines out of service
    REPLACE = "replace"  # each by a fresh one, in steps


class DesiredState(StrEnum):
    """What the operators last wanted of an order."""

    PROCEED = "go"
    PAUSE = "pause"
    ABORT = "abort"


ACTIONS = {
    "pause": DesiredState.PAUSE,
    "resume": DesiredState.PROCEED,
    "abort": DesiredState.ABORT,
}


@dataclass(frozen=True, slots=True)
class Selection:
    """Which machines are meant: all conditions that are set must hold."""

    hosts: tuple[HostId, ...] = ()
    types: tuple[TypeName, ...] = ()
    zones: tuple[Zone, ...] = ()
    spot: bool | None = None
    older_s: float | None = None  # than this when the order was taken up
    share: float | None = None  # of them, drawn by their names

    def matches(self, host: HostId, type_name: TypeName, zone: Zone, spot: bool) -> bool:
        """Age aside, which is a name that the leader found when it took the order up."""
        if self.hosts and host not in self.hosts:
            return False
        if self.types and type_name not in self.types:
            return False
        if self.zones and zone not in self.zones:
            return False
        if self.spot is not None and spot is not self.spot:
            return False
        return self.share is None or sampling_fraction(host) < self.share

    def matches_every_machine(self, type_name: TypeName, zone: Zone, spot: bool) -> bool:
        """Is every machine of that kind meant, those of the future included?"""
        if self.hosts or self.share is not None or self.older_s is not None:
            return False
        return self.matches(HostId(""), type_name, zone, spot)


def sampling_fraction(host: HostId) -> float:
    """A number in [0, 1) that only the name decides, so that every leader finds the same."""
    return zlib.crc32(host.encode()) / 2**32


@dataclass(frozen=True, slots=True)
class Order:
    """``begins_at``, ``ends_at`` and ``made_at`` are times of day.

    ``within_s``: how long a machine that is taken in a step may take to run empty.
    """

    id: OrderId
    kind: OrderKind
    selection: Selection
    created_at: WallTime
    reason: str = ""
    begins_at: WallTime | None = None
    ends_at: WallTime | None = None
    drain_timeout_s: Duration | None = None
    replacement_type: TypeName | None = None  # the type that replaces, where it is another
    keep_rented: bool = False  # stay rented once they are empty
    desired_state: DesiredState = DesiredState.PROCEED
    version: Revision = Revision(0)  # of its key

    def is_same_request(self, other: Order) -> bool:
        """Asked for alike: a repeated request, whatever has become of it since."""
        return encode_order_fields(self) == encode_order_fields(other)


def valid_order_id(name: str) -> bool:
    plain = name.replace("-", "").replace("_", "")
    return 0 < len(name) <= MAX_ORDER_ID_CHARS and plain.isascii() and plain.isalnum()


def encode_order_fields(order: Order) -> dict[str, Any]:
    chosen = order.selection
    row: dict[str, Any] = {
        "kind": order.kind.value,
        "hosts": list(chosen.hosts),
        "types": list(chosen.types),
        "zones": list(chosen.zones),
        "spot": chosen.spot,
        "older_s": chosen.older_s,
        "share": chosen.share,
        "reason": order.reason,
        "from": order.begins_at,
        "by": order.ends_at,
        "within_s": order.drain_timeout_s,
        "to": order.replacement_type,
        "keep": order.keep_rented or None,
    }
    return {key: value for key, value in row.items() if value not in (None, [], "")}


def decode_order_fields(order: OrderId, row: Mapping[str, Any]) -> Order:
    """From the fields of an operator's request or of a record; BadMessage names the field."""
    given = dict(row)
    try:
        kind = OrderKind(codec.text(given, "kind"))
        wish = DesiredState(given.get("wish", "go"))
    except ValueError:
        raise BadMessage("kind must be drain or replace") from None
    chosen = Selection(
        tuple(HostId(name) for name in decode_texts(given, "hosts")),
        tuple(TypeName(name) for name in decode_texts(given, "types")),
        tuple(Zone(name) for name in decode_texts(given, "zones")),
        codec.flag(given, "spot") if given.get("spot") is not None else None,
        codec.opt_amount(given, "older_s"),
        codec.opt_amount(given, "share"),
    )
    if chosen == Selection():
        raise BadMessage("no machines: name hosts, types, zones, spot, older_s or share")
    if len(chosen.hosts) > MAX_HOSTS:
        raise BadMessage(f"hosts: at most {MAX_HOSTS}; use types, zones, age or share")
    if chosen.share is not None and not 0 < chosen.share <= 1:
        raise BadMessage("share must be above 0 and at most 1")
    begins, ends = codec.opt_amount(given, "from"), codec.opt_amount(given, "by")
    within, to = codec.opt_amount(given, "within_s"), codec.opt_text(given, "to")
    if begins is not None and ends is not None and ends <= begins:
        raise BadMessage("by must be after from")
    if kind is OrderKind.DRAIN and to is not None:
        raise BadMessage("to is for replacements")
    keep = codec.flag(given, "keep", False)
    if kind is OrderKind.REPLACE and keep:
        raise BadMessage("keep is for drains")
    return Order(
        order,
        kind,
        chosen,
        WallTime(codec.opt_amount(given, "made") or 0.0),
        codec.text(given, "reason") if given.get("reason") else "",
        None if begins is None else WallTime(begins),
        None if ends is None else WallTime(ends),
        None if within is None else Duration(within),
        None if to is None else TypeName(to),
        keep,
        wish,
    )


def decode_texts(row: dict[str, Any], key: str) -> list[str]:
    value = row.get(key) or []
    if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
        raise BadMessage(f"{key} must be a list of texts")
    return sorted(set(value))


def decode_request(body: bytes) -> tuple[Order, int | None]:
    """A new order and the serial that its operator saw, if it says so."""
    row = codec.load_object(body)
    name = codec.text(row, "id")
    if not valid_order_id(name):
        raise BadMessage(f"id must be letters, digits, - and _, {MAX_ORDER_ID_CHARS} at most")
    if len(codec.opt_text(row, "reason") or "") > 200:
        raise BadMessage("reason must be 200 characters at most")
    return decode_order_fields(OrderId(name), row), decode_seen_serial(row)


def decode_seen_serial(row: dict[str, Any]) -> int | None:
    return None if row.get("seen") is None else codec.count(row, "seen")


def encode_request(order: Order, seen: int | None) -> bytes:
    row = encode_order_fields(order) | {"id": order.id}
    return codec.dump(row if seen is None else row | {"seen": seen})


def encode_list(serial: int, leader: str | None, rows: list[dict[str, Any]]) -> bytes:
    return codec.dump({"serial": serial, "leader": leader, "orders": rows})


def encode_accepted(row: dict[str, Any], serial: int, in_force: bool) -> bytes:
    """``in_force``: the leader has it, so that nothing more is begun on those machines."""
    return codec.dump(row | {"serial": serial, "in_force": in_force})


def encode_conflict(reason: str, serial: int) -> bytes:
    return codec.dump({"error": reason, "serial": serial})


def encode_order_row(order: Order) -> dict[str, Any]:
    asked = encode_order_fields(order)
    return {
        "id": order.id,
        "made": order.created_at,
        "wish": order.desired_state.value,
        **asked,
    }
