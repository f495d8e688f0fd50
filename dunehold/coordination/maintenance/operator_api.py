"""What any node does for operators: take orders, change and list them, by guarded transactions.

Every change raises the serial in the transaction that makes it, guarded by the serial that was
seen, so two that contradict each other are put in an order: the second is refused with what has
changed. A repeated request finds its order and is answered alike. Nothing is told before it is
durable, and reads prove that they are fresh.
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

MAX_TRIES = 4
IN_FORCE_TIMEOUT_S, POLL_INTERVAL_S = (
    1.0,
    0.1,
)  # how long the answer waits for the leader to have the order
MAX_QUEUE_WAIT_S = 0.5
MAX_OPEN_ORDERS = 20  # orders under way
NOT_FOUND = Response(404, users.encode_error("no such order"))


class OrderConflict(Exception):
    """An order that contradicts others, with the reason."""


# From the leader: the revision that its view has, and what only it knows of each order.
LeaderStatus = tuple[Revision, dict[str, Any]]


@dataclass(slots=True)
class OperatorApi:
    settings: Settings
    state: StateClient
    view: View
    sync: ViewSync
    types: Callable[[], dict[TypeName, MachineType] | None]
    leader_status: Callable[[], Awaitable[LeaderStatus | None]]
    wall: Callable[[], float]

    async def handle(self, request: Request) -> Response:
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
                await self._place(request.body)
                if request.method == "POST"
                else METHOD_NOT_ALLOWED
            )
        name, _, action = rest.partition("/")
        order = OrderId(name)
        if not action:
            return await self._show(order) if request.method == "GET" else METHOD_NOT_ALLOWED
        wish = operators.ACTIONS.get(action)
        if wish is None or not operators.valid_order_id(name):
            return NOT_FOUND
        if request.method != "POST":
            return METHOD_NOT_ALLOWED
        row = codec.load_object(request.body or b"{}")
        return await self._change(order, wish, operators.decode_seen_serial(row))

    # -- reading ---------------------------------------------------------------------------

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
        """What is durable of it, and what the leader says if it could be asked."""
        progress = self.view.order_progress.get(order.id, scope.NOT_BEGUN)
        row = operators.encode_order_row(order) | {
            "stage": progress.stage.value,
            "wave": progress.wave,
            "done": progress.hosts_done,
            "why": progress.halt_reason,
            "live": False,
        }
        told = live[1].get(order.id) if live is not None else None
        return row if not isinstance(told, dict) else row | told | {"live": True}

    # -- writing ---------------------------------------------------------------------------

    async def _place(self, body: bytes) -> Response:
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
                raise OrderConflict(f"order {order.id} is another one already")
            self._check_seen(seen)
            rival = scope.conflicting_order(
                order, self.view.orders, self.view.order_progress, self.view.hosts.values()
            )
            if rival is not None:
                raise OrderConflict(
                    f"order {rival} is to replace some of these machines, or takes them"
                )
            under_way = sum(
                not scope.has_ended(name, self.view.order_progress) for name in self.view.orders
            )
            if under_way >= MAX_OPEN_ORDERS:
                raise OrderConflict(f"{MAX_OPEN_ORDERS} orders are under way: end some first")
            if not self._has_write_capacity():
                return TRY_AGAIN_LATER
            if await self._write(order, ABSENT):
                log.info("order %s taken: %s, %s", order.id, order.kind.value, order.reason)
                return await self._answer_once_in_force(
                    self.view.orders.get(order.id, order), 201
                )
        return TRY_AGAIN_LATER

    async def _change(self, name: OrderId, wish: DesiredState, seen: int | None) -> Response:
        await self.sync.barrier()
        for _ in range(MAX_TRIES):
            order = self.view.orders.get(name)
            if order is None:
                return NOT_FOUND
            over = scope.has_ended(name, self.view.order_progress)
            if order.desired_state is wish or (
                over and not (order.keep_rented and wish is DesiredState.ABORT)
            ):
                return await self._answer_once_in_force(order, 200)
            if order.desired_state is DesiredState.ABORT:
                raise OrderConflict(f"order {name} is aborted: that can't be taken back")
            self._check_seen(seen)
            if not self._has_write_capacity():
                return TRY_AGAIN_LATER
            if await self._write(replace(order, desired_state=wish), order.version):
                log.info("order %s: %s", name, wish.value)
                return await self._answer_once_in_force(self.view.orders.get(name, order), 200)
        return TRY_AGAIN_LATER

    def _check_names(self, order: Order) -> None:
        types = self.types() or {}
        for name in (
            *order.selection.types,
            *([order.replacement_type] if order.replacement_type else ()),
        ):
            if name not in types:
                raise BadMessage(f"types: there is no {name}")
        for zone in order.selection.zones:
            if zone not in self.settings.zones:
                raise BadMessage(f"zones: there is no {zone}")
        if order.ends_at is not None and order.ends_at <= self.wall():
            raise BadMessage("by is in the past")

    def _check_seen(self, seen: int | None) -> None:
        if seen is not None and seen != self.view.orders_serial:
            raise OrderConflict("orders have changed since you looked: look again")

    def _has_write_capacity(self) -> bool:
        """Nobody waits in a queue for changes: who would is told at once."""
        return self.state.write_limiter.wait_s(2.0) <= MAX_QUEUE_WAIT_S

    async def _write(self, order: Order, version: Revision) -> bool:
        """False: something changed meanwhile; look again."""
        key = records.ORDERS + order.id
        txn = Txn(
            guards={key: version, records.ORDERS_SERIAL: self.view.orders_serial},
            puts={key: encode_order(order), records.ORDERS_SERIAL: 1},
        )
        try:
            result = await self.state.txn(txn, RequestPriority.USER)
        except NoResponse:
            # It may have been applied: what the view says decides, and a retry finds it.
            await self.sync.barrier()
            raise
        await self.sync.barrier()
        return result.ok

    async def _answer_once_in_force(self, order: Order, status: int) -> Response:
        """Once the leader has it, or a second has passed: the answer says which."""
        wanted = self.view.applied
        until = asyncio.get_running_loop().time() + IN_FORCE_TIMEOUT_S
        live: LeaderStatus | None = None
        while True:
            live = await self.leader_status()
            if live is not None and live[0] >= wanted:
                break
            if asyncio.get_running_loop().time() > until:
                live = None
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        row = self._row(order, live)
        body = operators.encode_accepted(row, self.view.orders_serial, live is not None)
        return Response(status, body)
