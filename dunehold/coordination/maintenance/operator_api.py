"""The operators' HTTP API, which any node serves: submits, changes and lists orders.

Every change of an order also raises the orders' serial, in one transaction that is guarded by
the serial that this node has seen. Two changes that contradict each other are thereby
serialized, and the second is checked again and refused with the reason. A repeated request
finds its order and gets the same answer. Nothing is answered before it is durable, and every
read first confirms that this node's view is current.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

from dunehold.bookkeeping import records
from dunehold.bookkeeping.orders import encode_order
from dunehold.bookkeeping.view import View
from dunehold.coordination.maintenance import scope
from dunehold.coordination.persistence.sync import STATE_SERVICE_ERRORS, ViewSync
from dunehold.protocol import codec, operators, users
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.operators import DesiredState, Order
from dunehold.protocol.responses import METHOD_NOT_ALLOWED, STATE_UNAVAILABLE, TRY_AGAIN_LATER
from dunehold.protocol.state import ABSENT, RequestPriority, StateClient, Txn
from dunehold.settings import Settings
from dunehold.transport.http import NoResponse, Request, Response
from dunehold.types import OrderId, Revision, TypeName, WallTime

log = logging.getLogger(__name__)

MAX_TRIES = 4  # transactions that are tried for one request
IN_FORCE_TIMEOUT_S = 1.0  # how long an answer waits until the leader has the order
POLL_INTERVAL_S = 0.1  # between polls of the leader in that time
WRITE_OPS = 2.0  # writes of a change: the order and the serial
MAX_QUEUE_WAIT_S = 0.5  # a change that would wait longer for the write limit is refused
MAX_OPEN_ORDERS = 20  # orders that have not ended
NOT_FOUND = Response(404, users.encode_error("no such order"))


class OrderConflict(Exception):
    """A request contradicts the existing orders; the message says why."""


# The revision of the leader's view, and what only the leader knows of each order.
LeaderStatus = tuple[Revision, dict[str, Any]]


@dataclass(slots=True)
class OperatorApi:
    """Handles the requests of operators on this node.

    Attributes:
        types: returns the machine types, or None until the cloud has listed them.
        leader_status: asks the leader for its status; None if it does not answer.
        wall: returns the wall-clock time, in seconds since the epoch.
    """

    settings: Settings
    state: StateClient
    view: View
    sync: ViewSync
    types: Callable[[], dict[TypeName, MachineType] | None]
    leader_status: Callable[[], Awaitable[LeaderStatus | None]]
    wall: Callable[[], float]

    async def handle(self, request: Request) -> Response:
        """Answers a request; errors become responses with status 400, 404, 405, 409 or 503."""
        path, _, rest = request.path.partition(operators.ORDERS_PATH)
        if path or not request.path.startswith(operators.ORDERS_PATH):
            return Response(404, users.encode_error("no such path"))
        if self.sync.failing():
            return STATE_UNAVAILABLE
        try:
            return await self._answer(request, rest.strip("/"))
        except BadMessage as error:
            return Response(400, users.encode_error(str(error)))
        except OrderConflict as error:
            body = operators.encode_conflict(str(error), self.view.orders_serial)
            return Response(409, body)
        except (*STATE_SERVICE_ERRORS, NoResponse):
            return TRY_AGAIN_LATER

    async def _answer(self, request: Request, rest: str) -> Response:
        if not rest:
            if request.method == "GET":
                return await self._list()
            return (
                await self._submit(request.body)
                if request.method == "POST"
                else METHOD_NOT_ALLOWED
            )
        name, _, action = rest.partition("/")
        order = OrderId(name)
        if not action:
            return await self._show(order) if request.method == "GET" else METHOD_NOT_ALLOWED
        desired = operators.ACTIONS.get(action)
        if desired is None or not operators.valid_order_id(name):
            return NOT_FOUND
        if request.method != "POST":
            return METHOD_NOT_ALLOWED
        row = codec.load_object(request.body or b"{}")
        return await self._change(order, desired, operators.decode_seen_serial(row))

    # -- queries ---------------------------------------------------------------------------

    async def _list(self) -> Response:
        await self.sync.barrier()
        live = await self.leader_status()
        known = self.view.leader
        rows = [self._row(order, live) for order in self.view.orders.values()]
        rows.sort(key=lambda row: (row["made"], row["id"]))
        return Response(
            200,
            operators.encode_list(
                self.view.orders_serial, None if known is None else known.node, rows
            ),
        )

    async def _show(self, order: OrderId) -> Response:
        await self.sync.barrier()
        found = self.view.orders.get(order)
        if found is None:
            return NOT_FOUND
        row = self._row(found, await self.leader_status())
        return Response(200, codec.dump(row | {"serial": self.view.orders_serial}))

    def _row(self, order: Order, live: LeaderStatus | None) -> dict[str, Any]:
        """Returns an order's durable state, with the leader's status of it if it is known."""
        progress = self.view.order_progress.get(order.id, scope.NOT_BEGUN)
        row = operators.encode_order_row(order) | {
            "stage": progress.stage.value,
            "wave": progress.wave,
            "done": progress.hosts_done,
            "why": progress.halt_reason,
            "live": False,
        }
        status = live[1].get(order.id) if live is not None else None
        return row if not isinstance(status, dict) else row | status | {"live": True}

    # -- changes ---------------------------------------------------------------------------

    async def _submit(self, body: bytes) -> Response:
        """Takes a new order, unless it is not valid or contradicts others."""
        order, seen = operators.decode_request(body)
        if self.types() is None:
            return TRY_AGAIN_LATER
        self._check_names(order)
        order = replace(
            order,
            created_at=WallTime(round(self.wall(), 3)),
            desired_state=DesiredState.PROCEED,
        )
        if len(codec.dump(encode_order(order))) > records.usable_value_bytes(
            self.settings.value_bytes
        ):
            raise BadMessage("too long: name fewer machines, or use types, zones, age or share")
        await self.sync.barrier()
        for _ in range(MAX_TRIES):
            known = self.view.orders.get(order.id)
            if known is not None:
                if known.is_same_request(order):
                    return await self._answer_once_in_force(known, 200)
                raise OrderConflict(f"order {order.id} exists already with other contents")
            self._check_seen(seen)
            conflicting = scope.conflicting_order(
                order, self.view.orders, self.view.order_progress, self.view.hosts.values()
            )
            if conflicting is not None:
                raise OrderConflict(
                    f"order {conflicting} already applies to some of these machines"
                )
            open_orders = sum(
                not scope.has_ended(name, self.view.order_progress) for name in self.view.orders
            )
            if open_orders >= MAX_OPEN_ORDERS:
                raise OrderConflict(
                    f"{MAX_OPEN_ORDERS} orders have not ended: abort some first"
                )
            if not self._has_write_capacity():
                return TRY_AGAIN_LATER
            if await self._write(order, ABSENT):
                log.info(
                    "order %s accepted: %s, reason: %s",
                    order.id,
                    order.kind.value,
                    order.reason,
                )
                return await self._answer_once_in_force(
                    self.view.orders.get(order.id, order), 201
                )
        return TRY_AGAIN_LATER

    async def _change(self, name: OrderId, desired: DesiredState, seen: int | None) -> Response:
        """Changes the desired state of an order."""
        await self.sync.barrier()
        for _ in range(MAX_TRIES):
            order = self.view.orders.get(name)
            if order is None:
                return NOT_FOUND
            ended = scope.has_ended(name, self.view.order_progress)
            if order.desired_state is desired or (
                ended and not (order.keep_rented and desired is DesiredState.ABORT)
            ):
                return await self._answer_once_in_force(order, 200)
            if order.desired_state is DesiredState.ABORT:
                raise OrderConflict(f"order {name} is aborted, which can't be undone")
            self._check_seen(seen)
            if not self._has_write_capacity():
                return TRY_AGAIN_LATER
            if await self._write(replace(order, desired_state=desired), order.version):
                log.info("order %s: desired state is %s", name, desired.value)
                return await self._answer_once_in_force(self.view.orders.get(name, order), 200)
        return TRY_AGAIN_LATER

    def _check_names(self, order: Order) -> None:
        """Raises BadMessage for unknown types and zones, and for a time limit in the past."""
        types = self.types() or {}
        for name in (
            *order.selection.types,
            *([order.replacement_type] if order.replacement_type else ()),
        ):
            if name not in types:
                raise BadMessage(f"types: no such machine type: {name}")
        for zone in order.selection.zones:
            if zone not in self.settings.zones:
                raise BadMessage(f"zones: no such zone: {zone}")
        if order.ends_at is not None and order.ends_at <= self.wall():
            raise BadMessage("by is in the past")

    def _check_seen(self, seen: int | None) -> None:
        if seen is not None and seen != self.view.orders_serial:
            raise OrderConflict("orders have changed since this serial: list them again")

    def _has_write_capacity(self) -> bool:
        """Tells whether a change could be written soon; otherwise it is refused at once."""
        return self.state.write_limiter.wait_s(WRITE_OPS) <= MAX_QUEUE_WAIT_S

    async def _write(self, order: Order, version: Revision) -> bool:
        """Writes an order and raises the serial, and brings the view up to date.

        Returns False if an order changed meanwhile; the caller has to check its request again.

        Raises:
            NoResponse: the state service did not answer, so the order may be written or not.
        """
        key = records.ORDERS + order.id
        txn = Txn(
            guards={key: version, records.ORDERS_SERIAL: self.view.orders_serial},
            puts={key: encode_order(order), records.ORDERS_SERIAL: 1},
        )
        try:
            result = await self.state.txn(txn, RequestPriority.USER)
        except NoResponse:
            # The transaction may have been applied. The view shows that once it is up to date,
            # and a repeated request finds the order.
            await self.sync.barrier()
            raise
        await self.sync.barrier()
        return result.ok

    async def _answer_once_in_force(self, order: Order, status: int) -> Response:
        """Answers once the leader has the order, or after ``IN_FORCE_TIMEOUT_S``.

        ``in_force`` in the answer tells whether the leader has it.
        """
        wanted = self.view.applied
        deadline = asyncio.get_running_loop().time() + IN_FORCE_TIMEOUT_S
        live: LeaderStatus | None = None
        while True:
            live = await self.leader_status()
            if live is not None and live[0] >= wanted:
                break
            if asyncio.get_running_loop().time() > deadline:
                live = None
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        row = self._row(order, live)
        body = operators.encode_accepted(row, self.view.orders_serial, live is not None)
        return Response(status, body)
