"""Pure functions that tell which machines a maintenance order applies to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from dunehold.bookkeeping.hosts import Host
from dunehold.bookkeeping.orders import OrderProgress, Stage
from dunehold.bookkeeping.records import HostRecord
from dunehold.protocol.operators import DesiredState, Order, OrderKind
from dunehold.types import OrderId, WallTime

NOT_BEGUN = OrderProgress()  # of an order that has no recorded progress


def limited_to_existing(order: Order) -> bool:
    """Tells whether an order applies only to machines that existed when the leader began it."""
    chosen = order.selection
    bounded = chosen.older_s is not None or chosen.share is not None
    return order.kind is OrderKind.REPLACE or bounded


def applies_to(order: Order, progress: OrderProgress, host: Host | HostRecord) -> bool:
    """Tells whether an order applies to a machine.

    Machine names increase in the order of creation, so ``progress.last_host`` limits the order
    to machines up to a certain age.
    """
    if not order.selection.matches(host.id, host.type, host.zone, host.spot):
        return False
    if not limited_to_existing(order):
        return True
    if progress.last_host is None:
        # The leader has not begun the order. A share follows from the machine names alone; the
        # machines of an age are known only once ``last_host`` is set.
        return order.kind is OrderKind.DRAIN and order.selection.older_s is None
    return host.id <= progress.last_host


def in_force(order: Order, progress: OrderProgress, wall: WallTime) -> bool:
    """Tells whether an order keeps any machines out of service now."""
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
    """Tells whether an order keeps this machine out of service now."""
    if not in_force(order, progress, wall):
        return False
    if order.kind is OrderKind.REPLACE:
        return host.id in progress.draining_hosts
    return applies_to(order, progress, host)


def has_ended(order: OrderId, progress_by_order: Mapping[OrderId, OrderProgress]) -> bool:
    """Tells whether an order has ended according to its durable progress."""
    return progress_by_order.get(order, NOT_BEGUN).stage.final


def conflicting_order(
    order: Order,
    others: Mapping[OrderId, Order],
    progress_by_order: Mapping[OrderId, OrderProgress],
    hosts: Iterable[HostRecord],
) -> OrderId | None:
    """Returns an order in progress that conflicts with a new one, or None.

    Two orders conflict if at least one of them replaces machines and both select the same
    machine.
    """
    candidates = [
        other
        for other in others.values()
        if other.id != order.id
        and other.desired_state is not DesiredState.ABORT
        and not has_ended(other.id, progress_by_order)
        and OrderKind.REPLACE in (other.kind, order.kind)
    ]
    if not candidates:
        return None
    for host in hosts:
        kind = host.id, host.type, host.zone, host.spot
        if not order.selection.matches(*kind):
            continue
        for other in candidates:
            if other.selection.matches(*kind):
                return other.id
    return None
