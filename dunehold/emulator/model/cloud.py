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
    Reply,
    TokenBucket,
    bad_request,
    decode_body,
    decode_uint64,
    reply,
    split_target,
)

MAX_MACHINES_PER_RENTAL, MAX_MACHINES_PER_DELETE, MAX_MACHINES_PER_PAGE = 50, 100, 500
FAILED_LISTED_AS_RUNNING_S = 30.0
LIST_SNAPSHOT_INTERVAL_S = 0.5
SPOT_PRICE_INTERVAL_S, MAX_SPOT_PRICE_DEVIATION_SHARE = 20.0, 1 / 3
RATE_BURST_S = 2.0
MIN_BILLED_S = 60.0
NEVER_S = 1e18


class HostKind(NamedTuple):
    machine_type: str
    zone: str
    spot: bool


@dataclass(frozen=True, slots=True)
class MachineType:
    name: str
    vcpus: float
    memory_gb: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]
    gpus: float = 0.0
    cache_gb: float = 50.0
    fetch_gb_per_s: float = 0.5


@dataclass(frozen=True, slots=True)
class BootProfile:
    """How machines come up: a share never, a share late, the rest as usual."""

    never_share: float = 0.0
    late_share: float = 0.0
    late_factor: float = 4.0
    immediate_share: float = 0.0


class HostEventKind(StrEnum):
    UP = "up"
    NOTICE = "notice"
    GONE = "gone"


class HostEvent(NamedTuple):
    at: float
    kind: HostEventKind
    host: str
    notice_s: float = 0.0


@dataclass(slots=True)
class Host:
    name: str
    address: str
    kind: HostKind
    rented_at: float
    up_at: float
    billed_until: float
    up: bool = False
    failed_at: float | None = None
    listed_failed_at: float = NEVER_S  # it stays listed as running until then
    notice_at: float = NEVER_S
    reclaim_at: float = NEVER_S
    notice_s: float = 0.0

    def phase(self, now: float) -> str:
        if self.failed_at is not None and now >= self.listed_failed_at:
            return "failed"
        return "running" if self.up else "booting"


@dataclass(slots=True)
class Cloud:
    machine_types: dict[str, MachineType]
    capacity: dict[HostKind, int]
    rng: Randomness
    worker_address: Callable[[int], str]  # machine's number; gives HOST:PORT of its worker
    rps: float | None = None
    list_lag_s: float = 0.0
    boot_profile: BootProfile = field(default_factory=BootProfile)
    spot_reclaims_per_hour: float = 0.0  # takings of each spot machine
    spot_notice_s: float = 10.0
    spot_silent_share: float = 0.15  # share of machines that are taken without notice
    down: bool = False
    spent: float = 0.0
    hosts: dict[str, Host] = field(default_factory=dict)
    events: list[HostEvent] = field(default_factory=list)
    refusals: int = 0
    _rentals: dict[str, list[str]] = field(default_factory=dict)
    _host_count: int = 0
    _list_snapshots: deque[tuple[float, list[dict[str, Any]]]] = field(default_factory=deque)
    _spot_price_factors: dict[str, float] = field(
        default_factory=dict
    )  # of spot machines, factors
    _prices_updated_at: float = -NEVER_S
    _rate_limit: TokenBucket = field(init=False)

    def __post_init__(self) -> None:
        self._rate_limit = TokenBucket(self.rps, RATE_BURST_S)

    # -- time ----------------------------------------------------------------------------

    def next_at(self) -> float:
        times = (
            min(h.up_at if not h.up else NEVER_S, h.notice_at, h.reclaim_at)
            for h in self.hosts.values()
            if h.failed_at is None
        )
        return min(times, default=NEVER_S)

    def advance(self, now: float) -> None:
        while (at := self.next_at()) <= now:
            for host in [h for h in self.hosts.values() if h.failed_at is None]:
                self._advance_host(host, at)
        if self.list_lag_s and (
            not self._list_snapshots
            or now >= self._list_snapshots[-1][0] + LIST_SNAPSHOT_INTERVAL_S
        ):
            self._list_snapshots.append((now, self._encode_hosts(now)))
            while (
                len(self._list_snapshots) > 2
                and self._list_snapshots[1][0] < now - 2.5 * self.list_lag_s
            ):
                self._list_snapshots.popleft()

    def _advance_host(self, host: Host, at: float) -> None:
        if not host.up and host.up_at <= at:
            host.up = True
            self.events.append(HostEvent(at, HostEventKind.UP, host.name))
        if host.notice_at <= at:
            host.notice_at = NEVER_S
            self.events.append(HostEvent(at, HostEventKind.NOTICE, host.name, host.notice_s))
        if host.reclaim_at <= at:
            self._remove_host(host, at)

    def _remove_host(self, host: Host, now: float) -> None:
        del self.hosts[host.name]
        if host.failed_at is None:
            self._bill_host(host, max(now, host.rented_at + MIN_BILLED_S))
            self.events.append(HostEvent(now, HostEventKind.GONE, host.name))
        self.capacity[host.kind] += 1

    def _bill_host(self, host: Host, until: float) -> None:
        flavour = self.machine_types[host.kind.machine_type]
        hourly = flavour.price
        if host.kind.spot:
            hourly = flavour.spot_price * self._spot_price_factors.get(flavour.name, 1.0)
        self.spent += hourly * (until - host.billed_until) / 3600
        host.billed_until = until

    def cost(self, now: float) -> float:
        """What has been spent until now."""
        for host in self.hosts.values():
            if host.failed_at is None:
                self._bill_host(host, now)
        return self.spent

    # -- faults --------------------------------------------------------------------------

    def fail_host(self, name: str, now: float) -> None:
        """The machine stops on its own; the list shows it later, its place is free once
        it is deleted."""
        host = self.hosts.get(name)
        if host is not None and host.failed_at is None:
            host.failed_at = now
            host.listed_failed_at = now + FAILED_LISTED_AS_RUNNING_S * self.rng.uniform(
                0.8, 1.2
            )
            self._bill_host(host, now)
            self.events.append(HostEvent(now, HostEventKind.GONE, name))

    def reclaim_host(self, name: str, now: float, silent: bool | None = None) -> None:
        """A spot machine is wanted elsewhere: with a notice, mostly."""
        host = self.hosts.get(name)
        if host is None or host.failed_at is not None or host.reclaim_at < NEVER_S:
            return
        if silent is None:
            silent = self.rng.random() < self.spot_silent_share
        host.notice_s = 0.0 if silent else self.spot_notice_s * self.rng.uniform(0.5, 1.5)
        host.notice_at = NEVER_S if silent or not host.up else now
        host.reclaim_at = now + host.notice_s

    # -- requests ------------------------------------------------------------------------

    def handle(self, method: str, target: str, body: bytes | None, now: float) -> Reply:
        self.advance(now)
        if self.down:
            return reply(503, {"error": "trouble"})
        if not self._rate_limit.try_acquire(now):
            self.refusals += 1
            return reply(429, {"error": "too many requests"})
        path, query = split_target(target)
        try:
            if (method, path) == ("GET", "/flavors"):
                return reply(200, {"flavours": self._encode_machine_types(now)})
            if (method, path) == ("POST", "/hosts"):
                return self._rent(decode_body(body), now)
            if (method, path) == ("POST", "/hosts/delete"):
                return self._delete(decode_body(body), now)
            if (method, path) == ("GET", "/hosts"):
                return self._list_hosts(query, now)
        except Malformed as error:
            return bad_request(str(error))
        return reply(404, {"error": "no such path"})

    def _encode_machine_types(self, now: float) -> list[dict[str, Any]]:
        if now >= self._prices_updated_at + SPOT_PRICE_INTERVAL_S:
            self._prices_updated_at = now
            self.cost(now)  # the price so far holds until now
            for label in self.machine_types:
                self._spot_price_factors[label] = 1.0 + self.rng.uniform(
                    -MAX_SPOT_PRICE_DEVIATION_SHARE, MAX_SPOT_PRICE_DEVIATION_SHARE
                )
        return [
            {
                "label": f.name,
                "vcpus": f.vcpus,
                "gpus": f.gpus,
                "memory_gb": f.memory_gb,
                "cache_gb": f.cache_gb,
                "fetch_gb_per_s": f.fetch_gb_per_s,
                "price": f.price,
                "spot_price": f.spot_price * self._spot_price_factors[f.name],
                "boot_s": f.boot_s,
                "halls": list(f.zones),
            }
            for f in self.machine_types.values()
        ]

    def _rent(self, row: dict[str, Any], now: float) -> Reply:
        rental, number = row.get("rental"), decode_uint64(row, "number")
        if (
            not isinstance(rental, str)
            or not rental
            or not 1 <= number <= MAX_MACHINES_PER_RENTAL
        ):
            raise Malformed(f"rental must be a name, number 1 to {MAX_MACHINES_PER_RENTAL}")
        if rental in self._rentals:
            return reply(200, {"hosts": self._rentals[rental]})
        kind = HostKind(
            str(row.get("flavour")), str(row.get("hall")), row.get("loaner") is True
        )
        flavour = self.machine_types.get(kind.machine_type)
        if flavour is None or kind.zone not in flavour.zones:
            raise Malformed("no such type in that zone")
        number = min(number, self.capacity.get(kind, 0))
        if number <= 0:
            return reply(503, {"error": "no capacity"})
        self.capacity[kind] -= number
        names = [self.add_host(kind, now) for _ in range(number)]
        self._rentals[rental] = names
        return reply(200, {"hosts": names})

    def add_host(self, kind: HostKind, now: float, up: bool = False) -> str:
        """A machine is rented, or (``up``) is there from the start."""
        self._host_count += 1
        name = f"m-{self._host_count:06d}"
        boot_s = 0.0 if up else self._draw_boot_s(self.machine_types[kind.machine_type].boot_s)
        host = Host(name, self.worker_address(self._host_count), kind, now, now + boot_s, now)
        if kind.spot and self.spot_reclaims_per_hour:
            lives = (
                -3600 / self.spot_reclaims_per_hour * math.log(max(self.rng.random(), 1e-12))
            )
            if self.rng.random() < self.spot_silent_share:
                host.reclaim_at = now + lives
            else:
                host.notice_s = self.spot_notice_s * self.rng.uniform(0.5, 1.5)
                host.notice_at = max(now + lives, host.up_at)
                host.reclaim_at = host.notice_at + host.notice_s
        self.hosts[name] = host
        return name

    def _draw_boot_s(self, boot_s: float) -> float:
        drawn, boots = self.rng.random(), self.boot_profile
        if drawn < boots.never_share:
            return NEVER_S
        drawn -= boots.never_share
        if drawn < boots.late_share:
            return boot_s * boots.late_factor * self.rng.uniform(0.5, 1.5)
        if drawn - boots.late_share < boots.immediate_share:
            return self.rng.uniform(0.5, 2.0)
        return boot_s * self.rng.uniform(0.6, 1.5)

    def _delete(self, row: dict[str, Any], now: float) -> Reply:
        names = row.get("hosts")
        if not isinstance(names, list) or len(names) > MAX_MACHINES_PER_DELETE:
            raise Malformed(f"hosts must be a list of at most {MAX_MACHINES_PER_DELETE} names")
        self.delete_hosts((str(name) for name in names), now)
        return reply(200, {})

    def delete_hosts(self, names: Iterable[str], now: float) -> None:
        for name in names:
            host = self.hosts.get(name)
            if host is not None:
                self._remove_host(host, now)

    def _list_hosts(self, query: dict[str, str], now: float) -> Reply:
        rows = self._encode_hosts(now)
        if self.list_lag_s and self._list_snapshots:
            # Each list is as old as it happens to be: one can be older than the one before.
            as_of = now - self.list_lag_s * (1.0 + max(0.0, self.rng.uniform(-1.0, 1.0)))
            rows = next((r for at, r in reversed(self._list_snapshots) if at <= as_of), [])
        after = query.get("after", "")
        most = min(decode_uint64(query, "most", MAX_MACHINES_PER_PAGE), MAX_MACHINES_PER_PAGE)
        rows = [row for row in rows if row["uid"] > after]
        return reply(200, {"hosts": rows[:most], "more": len(rows) > most})

    def _encode_hosts(self, now: float) -> list[dict[str, Any]]:
        return [
            {
                "uid": host.name,
                "address": host.address,
                "flavour": host.kind.machine_type,
                "hall": host.kind.zone,
                "loaner": host.kind.spot,
                "phase": host.phase(now),
                "held_s": now - host.rented_at,
            }
            for host in self.hosts.values()
        ]
