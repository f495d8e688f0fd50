"""The cloud: types, capacity, prices, boots, lists that lag, spot machines taken back.

Time is told with every call; ``advance`` plays boots and takings until then and leaves them in
``happened``. The owner starts a worker for each machine that is up and ends it when it is gone.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from dunehold.emulator.model.base import (
    Malformed,
    Randomness,
    Rate,
    Reply,
    load,
    malformed,
    reply,
    split,
    whole,
)

MOST_RENT, MOST_DELETE, MOST_LIST = 50, 100, 500
DEAD_LISTED_S = 30.0
SNAPSHOT_S = 0.5
PRICE_STEP_S, PRICE_SPAN = 20.0, 1 / 3
BURST_S = 2.0
LEAST_PAID_S = 60.0
FAR = 1e18


class Kind(NamedTuple):
    flavour: str
    hall: str
    loaner: bool


@dataclass(frozen=True, slots=True)
class Flavour:
    label: str
    vcpus: float
    memory_gb: float
    price: float
    spot_price: float
    boot_s: float
    halls: tuple[str, ...]
    gpus: float = 0.0
    cache_gb: float = 50.0
    fetch_gb_per_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Boots:
    """How machines come up: a share never, a share late, the rest as usual."""

    dead: float = 0.0
    late: float = 0.0
    late_times: float = 4.0
    at_once: float = 0.0


class What(StrEnum):
    UP = "up"
    NOTICE = "notice"
    GONE = "gone"


class Event(NamedTuple):
    at: float
    what: What
    host: str
    notice_s: float = 0.0


@dataclass(slots=True)
class Host:
    name: str
    address: str
    kind: Kind
    rented_at: float
    up_at: float
    paid_until: float
    up: bool = False
    failed_at: float | None = None
    shown_failed_at: float = FAR  # it stays listed as running until then
    notice_at: float = FAR
    taken_at: float = FAR
    notice_s: float = 0.0

    def phase(self, now: float) -> str:
        if self.failed_at is not None and now >= self.shown_failed_at:
            return "failed"
        return "running" if self.up else "booting"


@dataclass(slots=True)
class Cloud:
    flavours: dict[str, Flavour]
    capacity: dict[Kind, int]
    rng: Randomness
    address_of: Callable[[int], str]  # machine's number; gives HOST:PORT of its worker
    rps: float | None = None
    list_lag_s: float = 0.0
    boots: Boots = field(default_factory=Boots)
    spot_per_hour: float = 0.0  # takings of each spot machine
    spot_notice_s: float = 10.0
    spot_silent: float = 0.15  # share of machines that are taken without notice
    down: bool = False
    spent: float = 0.0
    hosts: dict[str, Host] = field(default_factory=dict)
    happened: list[Event] = field(default_factory=list)
    refusals: int = 0
    _rentals: dict[str, list[str]] = field(default_factory=dict)
    _count: int = 0
    _lists: deque[tuple[float, list[dict[str, Any]]]] = field(default_factory=deque)
    _prices: dict[str, float] = field(default_factory=dict)  # of spot machines, factors
    _prices_at: float = -FAR
    _rate: Rate = field(init=False)

    def __post_init__(self) -> None:
        self._rate = Rate(self.rps, BURST_S)

    # -- time ----------------------------------------------------------------------------

    def next_at(self) -> float:
        times = (
            min(h.up_at if not h.up else FAR, h.notice_at, h.taken_at)
            for h in self.hosts.values()
            if h.failed_at is None
        )
        return min(times, default=FAR)

    def advance(self, now: float) -> None:
        while (at := self.next_at()) <= now:
            for host in [h for h in self.hosts.values() if h.failed_at is None]:
                self._step(host, at)
        if self.list_lag_s and (not self._lists or now >= self._lists[-1][0] + SNAPSHOT_S):
            self._lists.append((now, self._rows(now)))
            while len(self._lists) > 2 and self._lists[1][0] < now - 2.5 * self.list_lag_s:
                self._lists.popleft()

    def _step(self, host: Host, at: float) -> None:
        if not host.up and host.up_at <= at:
            host.up = True
            self.happened.append(Event(at, What.UP, host.name))
        if host.notice_at <= at:
            host.notice_at = FAR
            self.happened.append(Event(at, What.NOTICE, host.name, host.notice_s))
        if host.taken_at <= at:
            self._remove(host, at)

    def _remove(self, host: Host, now: float) -> None:
        del self.hosts[host.name]
        if host.failed_at is None:
            self._charge(host, max(now, host.rented_at + LEAST_PAID_S))
            self.happened.append(Event(now, What.GONE, host.name))
        self.capacity[host.kind] += 1

    def _charge(self, host: Host, until: float) -> None:
        flavour = self.flavours[host.kind.flavour]
        hourly = flavour.price
        if host.kind.loaner:
            hourly = flavour.spot_price * self._prices.get(flavour.label, 1.0)
        self.spent += hourly * (until - host.paid_until) / 3600
        host.paid_until = until

    def cost(self, now: float) -> float:
        """What has been spent until now."""
        for host in self.hosts.values():
            if host.failed_at is None:
                self._charge(host, now)
        return self.spent

    # -- faults --------------------------------------------------------------------------

    def fail(self, name: str, now: float) -> None:
        """The machine stops on its own; the list shows it later, its place is free once
        it is deleted."""
        host = self.hosts.get(name)
        if host is not None and host.failed_at is None:
            host.failed_at = now
            host.shown_failed_at = now + DEAD_LISTED_S * self.rng.uniform(0.8, 1.2)
            self._charge(host, now)
            self.happened.append(Event(now, What.GONE, name))

    def take_back(self, name: str, now: float, silent: bool | None = None) -> None:
        """A spot machine is wanted elsewhere: with a notice, mostly."""
        host = self.hosts.get(name)
        if host is None or host.failed_at is not None or host.taken_at < FAR:
            return
        if silent is None:
            silent = self.rng.random() < self.spot_silent
        host.notice_s = 0.0 if silent else self.spot_notice_s * self.rng.uniform(0.5, 1.5)
        host.notice_at = FAR if silent or not host.up else now
        host.taken_at = now + host.notice_s

    # -- requests ------------------------------------------------------------------------

    def handle(self, method: str, target: str, body: bytes | None, now: float) -> Reply:
        self.advance(now)
        if self.down:
            return reply(503, {"error": "trouble"})
        if not self._rate.take(now):
            self.refusals += 1
            return reply(429, {"error": "too many requests"})
        path, query = split(target)
        try:
            if (method, path) == ("GET", "/flavors"):
                return reply(200, {"flavours": self._flavours(now)})
            if (method, path) == ("POST", "/hosts"):
                return self._rent(load(body), now)
            if (method, path) == ("POST", "/hosts/delete"):
                return self._delete(load(body), now)
            if (method, path) == ("GET", "/hosts"):
                return self._list(query, now)
        except Malformed as error:
            return malformed(str(error))
        return reply(404, {"error": "no such path"})

    def _flavours(self, now: float) -> list[dict[str, Any]]:
        if now >= self._prices_at + PRICE_STEP_S:
            self._prices_at = now
            self.cost(now)  # the price so far holds until now
            for label in self.flavours:
                self._prices[label] = 1.0 + self.rng.uniform(-PRICE_SPAN, PRICE_SPAN)
        return [
            {
                "label": f.label,
                "vcpus": f.vcpus,
                "gpus": f.gpus,
                "memory_gb": f.memory_gb,
                "cache_gb": f.cache_gb,
                "fetch_gb_per_s": f.fetch_gb_per_s,
                "price": f.price,
                "spot_price": f.spot_price * self._prices[f.label],
                "boot_s": f.boot_s,
                "halls": list(f.halls),
            }
            for f in self.flavours.values()
        ]

    def _rent(self, row: dict[str, Any], now: float) -> Reply:
        rental, number = row.get("rental"), whole(row, "number")
        if not isinstance(rental, str) or not rental or not 1 <= number <= MOST_RENT:
            raise Malformed(f"rental must be a name, number 1 to {MOST_RENT}")
        if rental in self._rentals:
            return reply(200, {"hosts": self._rentals[rental]})
        kind = Kind(str(row.get("flavour")), str(row.get("hall")), row.get("loaner") is True)
        flavour = self.flavours.get(kind.flavour)
        if flavour is None or kind.hall not in flavour.halls:
            raise Malformed("no such type in that zone")
        number = min(number, self.capacity.get(kind, 0))
        if number <= 0:
            return reply(503, {"error": "no capacity"})
        self.capacity[kind] -= number
        names = [self.add(kind, now) for _ in range(number)]
        self._rentals[rental] = names
        return reply(200, {"hosts": names})

    def add(self, kind: Kind, now: float, up: bool = False) -> str:
        """A machine is rented, or (``up``) is there from the start."""
        self._count += 1
        name = f"m-{self._count:06d}"
        boot_s = 0.0 if up else self._boot_s(self.flavours[kind.flavour].boot_s)
        host = Host(name, self.address_of(self._count), kind, now, now + boot_s, now)
        if kind.loaner and self.spot_per_hour:
            lives = -3600 / self.spot_per_hour * math.log(max(self.rng.random(), 1e-12))
            if self.rng.random() < self.spot_silent:
                host.taken_at = now + lives
            else:
                host.notice_s = self.spot_notice_s * self.rng.uniform(0.5, 1.5)
                host.notice_at = max(now + lives, host.up_at)
                host.taken_at = host.notice_at + host.notice_s
        self.hosts[name] = host
        return name

    def _boot_s(self, boot_s: float) -> float:
        drawn, boots = self.rng.random(), self.boots
        if drawn < boots.dead:
            return FAR
        drawn -= boots.dead
        if drawn < boots.late:
            return boot_s * boots.late_times * self.rng.uniform(0.5, 1.5)
        if drawn - boots.late < boots.at_once:
            return self.rng.uniform(0.5, 2.0)
        return boot_s * self.rng.uniform(0.6, 1.5)

    def _delete(self, row: dict[str, Any], now: float) -> Reply:
        names = row.get("hosts")
        if not isinstance(names, list) or len(names) > MOST_DELETE:
            raise Malformed(f"hosts must be a list of at most {MOST_DELETE} names")
        self.delete((str(name) for name in names), now)
        return reply(200, {})

    def delete(self, names: Iterable[str], now: float) -> None:
        for name in names:
            host = self.hosts.get(name)
            if host is not None:
                self._remove(host, now)

    def _list(self, query: dict[str, str], now: float) -> Reply:
        rows = self._rows(now)
        if self.list_lag_s and self._lists:
            # Each list is as old as it happens to be: one can be older than the one before.
            as_of = now - self.list_lag_s * (1.0 + max(0.0, self.rng.uniform(-1.0, 1.0)))
            rows = next((r for at, r in reversed(self._lists) if at <= as_of), [])
        after = query.get("after", "")
        most = min(whole(query, "most", MOST_LIST), MOST_LIST)
        rows = [row for row in rows if row["uid"] > after]
        return reply(200, {"hosts": rows[:most], "more": len(rows) > most})

    def _rows(self, now: float) -> list[dict[str, Any]]:
        return [
            {
                "uid": host.name,
                "address": host.address,
                "flavour": host.kind.flavour,
                "hall": host.kind.hall,
                "loaner": host.kind.loaner,
                "phase": host.phase(now),
                "held_s": now - host.rented_at,
            }
            for host in self.hosts.values()
        ]
