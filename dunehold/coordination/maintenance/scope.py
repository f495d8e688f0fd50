"""Which machines each order concerns, at this moment: pure reading of orders and machines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from dunehold.bookkeeping.hosts import Host
from dunehold.bookkeeping.orders import OrderProgress, Stage
from dunehold.bookkeeping.records import HostRecord
from dunehold.protocol.operators import DesiredState, Order, OrderKind
from dunehold.types import OrderId, WallTime

NOT_BEGUN = OrderProgress()


def limited_to_existing(order: Order) -> bool:
    """Does it mean only machines that there were when it was taken up?"""
    chosen = order.selection
    bounded = chosen.older_s is not None or chosen.share is not None
    return order.kind is OrderKind.REPLACE or bounded


def applies_to(order: Order, progress: OrderProgress, host: Host | HostRecord) -> bool:
    """Names come in the order in which machines were created: the mark bounds their age."""
    if not order.selection.matches(host.id, host.type, host.zone, host.spot):
        return False
    if not limited_to_existing(order):
        return True
    if progress.last_host is None:
        # Not taken up: a share is known by the names alone, an age is not.
        return order.kind is OrderKind.DRAIN and order.selection.older_s is None
    return host.id <= progress.last_host


def in_force(order: Order, progress: OrderProgress, wall: WallTime) -> bool:
    """Does it keep machines out of service now?"""
    if order.desired_state is DesiredState.ABORT:
        return False
    if order.begins_at is not None and wall < order.begins_at:
        return False
    if order.kind is OrderKind.DRAIN and order.keep_rented:
        return progress.stage is not Stage.ABORTED
    return not progress.stage.final


def takes_out_of_service(
    order: Order, progress: OrderProgress, host: Host, wall: WallTime
) -> bool:
    """Does this order keep this machine out of service now?"""
    if not in_force(order, progress, wall):
        return False
    if order.kind is OrderKind.REPLACE:
        return host.id in progress.draining_hosts
    return applies_to(order, progress, host)


def has_ended(order: OrderId, upkeep: Mapping[OrderId, OrderProgress]) -> bool:
    """Has it ended, by what is durable?"""
    return upkeep.get(order, NOT_BEGUN).stage.final


def conflicting_order(
    order: Order,
    others: Mapping[OrderId, Order],
    upkeep: Mapping[OrderId, OrderProgress],
    hosts: Iterable[HostRecord],
) -> OrderId | None:
    """An order under way that would replace machines which this one takes out for good, or the
    other way round, or that replaces them as well."""
    rivals = [
        other
        for other in others.values()
        if other.id != order.id
        and other.desired_state is not DesiredState.ABORT
        and not has_ended(other.id, upkeep)
        and OrderKind.REPLACE in (other.kind, order.kind)
    ]
    if not rivals:
        return None
    for host in hosts:
        kind = host.id, host.type, host.zone, host.spot
        if not order.selection.matches(*kind):
            continue
        for other in rivals:
            if other.selection.matches(*kind):
                return other.id
    return None
