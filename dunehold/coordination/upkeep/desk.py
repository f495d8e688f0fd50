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
from dunehold.coordination.durable.sync import TROUBLE, Sync
from dunehold.coordination.upkeep import scope
from dunehold.protocol import codec, operators, users
from dunehold.protocol.answers import BAD_METHOD, BUSY, OUTAGE
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.operators import Order, Wish
from dunehold.protocol.state import ABSENT, Priority, StateClient, Txn
from dunehold.settings import Settings
from dunehold.transport.http import NoResponse, Request, Response
from dunehold.types import OrderId, Revision, TypeName, WallTime

log = logging.getLogger(__name__)

TRIES = 4
IN_FORCE_S, ASK_GAP_S = 1.0, 0.1  # how long the answer waits for the leader to have the order
MOST_QUEUED_S = 0.5
MOST_OPEN = 20  # orders under way
NOT_FOUND = Response(404, users.encode_error("no such order"))


class Refused(Exception):
    """An order that contradicts others, with the reason."""


# From the leader: the revision that its view has, and what only it knows of each order.
Live = tuple[Revision, dict[str, Any]]


@dataclass(slots=True)
class Desk:
    settings: Settings
    state: StateClient
    view: View
    sync: Sync
    types: Callable[[], dict[TypeName, MachineType] | None]
    live: Callable[[], Awaitable[Live | None]]
    wall: Callable[[], float]

    async def handle(self, request: Request) -> Response:
        path, _, rest = request.path.partition(operators.ORDERS_PATH)
        if path or not request.path.startswith(operators.ORDERS_PATH):
            return Response(404, users.encode_error("no such path"))
        if self.sync.failing():
            return OUTAGE
        try:
            return await self._answer(request, rest.strip("/"))
        except BadMessage as error:
            return Response(400, users.encode_error(str(error)))
        except Refused as error:
            body = operators.encode_conflict(str(error), self.view.orders_serial)
            return Response(409, body)
        except (*TROUBLE, NoResponse):
            return BUSY

    async def _answer(self, request: Request, rest: str) -> Response:
        if not rest:
            if request.method == "GET":
                return await self._list()
            return await self._place(request.body) if request.method == "POST" else BAD_METHOD
        name, _, action = rest.partition("/")
        order = OrderId(name)
        if not action:
            return await self._show(order) if request.method == "GET" else BAD_METHOD
        wish = operators.ACTIONS.get(action)
        if wish is None or not operators.valid_order_id(name):
            return NOT_FOUND
        if request.method != "POST":
            return BAD_METHOD
        row = codec.load_object(request.body or b"{}")
        return await self._change(order, wish, operators.read_seen(row))

    # -- reading ---------------------------------------------------------------------------

    async def _list(self) -> Response:
        await self.sync.barrier()
        live = await self.live()
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
        row = self._row(found, await self.live())
        return Response(200, codec.dump(row | {"serial": self.view.orders_serial}))

    def _row(self, order: Order, live: Live | None) -> dict[str, Any]:
        """What is durable of it, and what the leader says if it could be asked."""
        progress = self.view.upkeep.get(order.id, scope.NOT_BEGUN)
        row = operators.row_of(order) | {
            "stage": progress.stage.value,
            "wave": progress.wave,
            "done": progress.done,
            "why": progress.why,
            "live": False,
        }
        told = live[1].get(order.id) if live is not None else None
        return row if not isinstance(told, dict) else row | told | {"live": True}

    # -- writing ---------------------------------------------------------------------------

    async def _place(self, body: bytes) -> Response:
        order, seen = operators.read_request(body)
        if self.types() is None:
            return BUSY
        self._check_names(order)
        order = replace(order, made_at=WallTime(round(self.wall(), 3)), wish=Wish.GO)
        if len(codec.dump(encode_order(order))) > records.value_room(self.settings.value_bytes):
            raise BadMessage("too long: name fewer machines, or use types, zones, age or share")
        await self.sync.barrier()
        for _ in range(TRIES):
            known = self.view.orders.get(order.id)
            if known is not None:
                if known.same_as(order):
                    return await self._placed(known, 200)
                raise Refused(f"order {order.id} is another one already")
            self._check_seen(seen)
            rival = scope.overlap(
                order, self.view.orders, self.view.upkeep, self.view.hosts.values()
            )
            if rival is not None:
                raise Refused(
                    f"order {rival} is to replace some of these machines, or takes them"
                )
            under_way = sum(not scope.over(name, self.view.upkeep) for name in self.view.orders)
            if under_way >= MOST_OPEN:
                raise Refused(f"{MOST_OPEN} orders are under way: end some first")
            if not self._affordable():
                return BUSY
            if await self._write(order, ABSENT):
                log.info("order %s taken: %s, %s", order.id, order.kind.value, order.reason)
                return await self._placed(self.view.orders.get(order.id, order), 201)
        return BUSY

    async def _change(self, name: OrderId, wish: Wish, seen: int | None) -> Response:
        await self.sync.barrier()
        for _ in range(TRIES):
            order = self.view.orders.get(name)
            if order is None:
                return NOT_FOUND
            over = scope.over(name, self.view.upkeep)
            if order.wish is wish or (over and not (order.keep and wish is Wish.ABORT)):
                return await self._placed(order, 200)
            if order.wish is Wish.ABORT:
                raise Refused(f"order {name} is aborted: that can't be taken back")
            self._check_seen(seen)
            if not self._affordable():
                return BUSY
            if await self._write(replace(order, wish=wish), order.version):
                log.info("order %s: %s", name, wish.value)
                return await self._placed(self.view.orders.get(name, order), 200)
        return BUSY

    def _check_names(self, order: Order) -> None:
        types = self.types() or {}
        for name in (*order.selection.types, *([order.to] if order.to else ())):
            if name not in types:
                raise BadMessage(f"types: there is no {name}")
        for zone in order.selection.zones:
            if zone not in self.settings.zones:
                raise BadMessage(f"zones: there is no {zone}")
        if order.ends_at is not None and order.ends_at <= self.wall():
            raise BadMessage("by is in the past")

    def _check_seen(self, seen: int | None) -> None:
        if seen is not None and seen != self.view.orders_serial:
            raise Refused("orders have changed since you looked: look again")

    def _affordable(self) -> bool:
        """Nobody waits in a queue for changes: who would is told at once."""
        return self.state.writes.wait_s(2.0) <= MOST_QUEUED_S

    async def _write(self, order: Order, version: Revision) -> bool:
        """False: something changed meanwhile; look again."""
        key = records.ORDERS + order.id
        txn = Txn(
            guards={key: version, records.ORDERS_SERIAL: self.view.orders_serial},
            puts={key: encode_order(order), records.ORDERS_SERIAL: 1},
        )
        try:
            result = await self.state.txn(txn, Priority.USER)
        except NoResponse:
            # It may have been applied: what the view says decides, and a retry finds it.
            await self.sync.barrier()
            raise
        await self.sync.barrier()
        return result.ok

    async def _placed(self, order: Order, status: int) -> Response:
        """Once the leader has it, or a second has passed: the answer says which."""
        wanted = self.view.applied
        until = asyncio.get_running_loop().time() + IN_FORCE_S
        live: Live | None = None
        while True:
            live = await self.live()
            if live is not None and live[0] >= wanted:
                break
            if asyncio.get_running_loop().time() > until:
                live = None
                break
            await asyncio.sleep(ASK_GAP_S)
        row = self._row(order, live)
        body = operators.encode_placed(row, self.view.orders_serial, live is not None)
        return Response(status, body)
