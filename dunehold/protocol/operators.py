"""Messages to and from operators: orders to take machines out of service or to replace them.

They are exchanged on a separate port, which is off unless the operators' settings name one.
``seen`` is the serial number that the operator saw with the list of orders: a request is
refused if any order has changed since. Times of day are seconds since the epoch instead of
relative ones, so that a repeated request is the same request.

Outer names of an order: ``from`` and ``by`` are the times of day when it begins and ends,
``within_s`` the drain timeout, ``to`` the replacement type, ``keep`` whether drained machines
stay rented, ``made`` the time of creation, ``wish`` the desired state.
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
MAX_HOSTS = 100  # in one order, since its record must fit a value of the state service
MAX_ORDER_ID_CHARS = 60
MAX_REASON_CHARS = 200


class OrderKind(StrEnum):
    """What an order does with its machines."""

    DRAIN = "drain"  # takes them out of service
    REPLACE = "replace"  # replaces each by a new one, in steps


class DesiredState(StrEnum):
    """The state that the operators last requested for an order."""

    PROCEED = "go"
    PAUSE = "pause"
    ABORT = "abort"


# Actions that the operators' API has for an existing order, and the states they request.
ACTIONS = {
    "pause": DesiredState.PAUSE,
    "resume": DesiredState.PROCEED,
    "abort": DesiredState.ABORT,
}


@dataclass(frozen=True, slots=True)
class Selection:
    """Selects machines: all conditions that are set must hold."""

    hosts: tuple[HostId, ...] = ()
    types: tuple[TypeName, ...] = ()
    zones: tuple[Zone, ...] = ()
    spot: bool | None = None
    older_s: float | None = None  # rented for longer than this when the leader began the order
    share: float | None = None  # part of the machines, chosen by a hash of their names

    def matches(self, host: HostId, type_name: TypeName, zone: Zone, spot: bool) -> bool:
        """Tells whether the machine meets all conditions except the one on its age.

        The leader resolves the age to names of machines when it begins the order.
        """
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
        """Tells whether every machine of that type, zone and kind matches, also future ones."""
        if self.hosts or self.share is not None or self.older_s is not None:
            return False
        return self.matches(HostId(""), type_name, zone, spot)


def sampling_fraction(host: HostId) -> float:
    """A number in [0, 1) that depends on the name only, so that every leader gets the same."""
    return zlib.crc32(host.encode()) / 2**32


@dataclass(frozen=True, slots=True)
class Order:
    """A maintenance order as its operator requested it."""

    id: OrderId
    kind: OrderKind
    selection: Selection
    created_at: WallTime
    reason: str = ""
    begins_at: WallTime | None = None  # None: at once
    ends_at: WallTime | None = None  # None: no time limit
    drain_timeout_s: Duration | None = None  # for the tasks of a machine to end or move
    replacement_type: TypeName | None = None  # None: the same type
    keep_rented: bool = False  # drained machines stay rented
    desired_state: DesiredState = DesiredState.PROCEED
    version: Revision = Revision(0)  # of the order's key

    def is_same_request(self, other: Order) -> bool:
        """Tells whether both orders were requested alike, regardless of their progress."""
        return encode_order_fields(self) == encode_order_fields(other)


def valid_order_id(name: str) -> bool:
    """Tells whether the id has 1 to 60 ASCII letters, digits, ``-`` and ``_``.

    At least one of them must be a letter or a digit.
    """
    plain = name.replace("-", "").replace("_", "")
    return 0 < len(name) <= MAX_ORDER_ID_CHARS and plain.isascii() and plain.isalnum()


def encode_order_fields(order: Order) -> dict[str, Any]:
    """Encodes what was requested, without empty fields; its progress is not included."""
    selected = order.selection
    row: dict[str, Any] = {
        "kind": order.kind.value,
        "hosts": list(selected.hosts),
        "types": list(selected.types),
        "zones": list(selected.zones),
        "spot": selected.spot,
        "older_s": selected.older_s,
        "share": selected.share,
        "reason": order.reason,
        "from": order.begins_at,
        "by": order.ends_at,
        "within_s": order.drain_timeout_s,
        "to": order.replacement_type,
        "keep": order.keep_rented or None,
    }
    return {key: value for key, value in row.items() if value not in (None, [], "")}


def decode_order_fields(order: OrderId, row: Mapping[str, Any]) -> Order:
    """Decodes an operator's request or a record; raises BadMessage with the field."""
    given = dict(row)
    try:
        kind = OrderKind(codec.text(given, "kind"))
        desired_state = DesiredState(given.get("wish", "go"))
    except ValueError:
        raise BadMessage(
            "kind must be drain or replace, and wish, if given, go, pause or abort"
        ) from None
    selection = Selection(
        tuple(HostId(name) for name in decode_texts(given, "hosts")),
        tuple(TypeName(name) for name in decode_texts(given, "types")),
        tuple(Zone(name) for name in decode_texts(given, "zones")),
        codec.flag(given, "spot") if given.get("spot") is not None else None,
        codec.opt_amount(given, "older_s"),
        codec.opt_amount(given, "share"),
    )
    if selection == Selection():
        raise BadMessage(
            "no machines selected: give hosts, types, zones, spot, older_s or share"
        )
    if len(selection.hosts) > MAX_HOSTS:
        raise BadMessage(
            f"hosts: at most {MAX_HOSTS} names; use types, zones, older_s or share instead"
        )
    if selection.share is not None and not 0 < selection.share <= 1:
        raise BadMessage("share must be above 0 and at most 1")
    begins, ends = codec.opt_amount(given, "from"), codec.opt_amount(given, "by")
    within, to = codec.opt_amount(given, "within_s"), codec.opt_text(given, "to")
    if begins is not None and ends is not None and ends <= begins:
        raise BadMessage("by must be after from")
    if kind is OrderKind.DRAIN and to is not None:
        raise BadMessage("to is allowed in orders of kind replace only")
    keep = codec.flag(given, "keep", False)
    if kind is OrderKind.REPLACE and keep:
        raise BadMessage("keep is allowed in orders of kind drain only")
    return Order(
        order,
        kind,
        selection,
        WallTime(codec.opt_amount(given, "made") or 0.0),
        codec.text(given, "reason") if given.get("reason") else "",
        None if begins is None else WallTime(begins),
        None if ends is None else WallTime(ends),
        None if within is None else Duration(within),
        None if to is None else TypeName(to),
        keep,
        desired_state,
    )


def decode_texts(row: dict[str, Any], key: str) -> list[str]:
    """Reads a list of non-empty strings, sorted and without duplicates."""
    value = row.get(key) or []
    if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
        raise BadMessage(f"{key} must be a list of non-empty strings")
    return sorted(set(value))


def decode_request(body: bytes) -> tuple[Order, int | None]:
    """Decodes a new order and the serial number that its operator saw, if given."""
    row = codec.load_object(body)
    name = codec.text(row, "id")
    if not valid_order_id(name):
        raise BadMessage(f"id must be letters, digits, - and _, {MAX_ORDER_ID_CHARS} at most")
    if len(codec.opt_text(row, "reason") or "") > MAX_REASON_CHARS:
        raise BadMessage("reason must be 200 characters at most")
    return decode_order_fields(OrderId(name), row), decode_seen_serial(row)


def decode_seen_serial(row: dict[str, Any]) -> int | None:
    """Reads the serial number that the operator saw, if given."""
    return None if row.get("seen") is None else codec.count(row, "seen")


def encode_request(order: Order, seen: int | None) -> bytes:
    """Encodes a new order and, if given, the serial number that the operator saw."""
    row = encode_order_fields(order) | {"id": order.id}
    return codec.dump(row if seen is None else row | {"seen": seen})


def encode_list(serial: int, leader: str | None, rows: list[dict[str, Any]]) -> bytes:
    """Encodes the list of orders; ``serial`` changes with every change of an order."""
    return codec.dump({"serial": serial, "leader": leader, "orders": rows})


def encode_accepted(row: dict[str, Any], serial: int, in_force: bool) -> bytes:
    """Encodes an accepted order.

    ``in_force`` means that the leader knows it and starts nothing more on its machines.
    """
    return codec.dump(row | {"serial": serial, "in_force": in_force})


def encode_conflict(reason: str, serial: int) -> bytes:
    """Encodes a refusal because orders have changed, with the present serial number."""
    return codec.dump({"error": reason, "serial": serial})


def encode_order_row(order: Order) -> dict[str, Any]:
    """Encodes an order for answers to operators."""
    asked = encode_order_fields(order)
    return {
        "id": order.id,
        "made": order.created_at,
        "wish": order.desired_state.value,
        **asked,
    }
