"""Model of the cloud: machine types, capacity, prices, boots, stale lists, spot reclaims.

The model has no clock: each call is given the time in seconds. ``Cloud.advance`` processes the
boots and reclaims that are due until then and appends them to ``Cloud.events``. The caller
starts a worker for each machine that is up and ends it when the machine is gone.

Names on the wire:

- ``flavour``: machine type; ``hall``: zone; ``loaner``: whether a machine is a spot machine
- ``rental``: id of a request to rent; ``number``: count of machines to rent
- ``uid``: host; ``held_s``: seconds since it was rented
- ``most``: page size; ``after``: last host of the previous page
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

MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_DELETE = 100
MAX_MACHINES_PER_PAGE = 500
FAILED_LISTED_AS_RUNNING_S = 30.0  # mean time until the list shows a machine as failed
LIST_SNAPSHOT_INTERVAL_S = 0.5  # minimum interval between snapshots for stale lists
SPOT_PRICE_INTERVAL_S = 20.0  # minimum interval between changes of spot prices
MAX_SPOT_PRICE_DEVIATION_SHARE = 1 / 3  # share of the nominal spot price
RATE_BURST_S = 2.0  # requests of this many seconds may arrive at once
MIN_BILLED_S = 60.0  # a machine that has not failed is billed for at least this time
NEVER_S = 1e18  # time of an event that is not scheduled


class HostKind(NamedTuple):
    """A kind of machine, by which capacity is counted."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(frozen=True, slots=True)
class MachineType:
    """A machine type with its resources and its prices per hour.

    ``spot_price`` is nominal; the price in force varies around it. ``boot_s`` is the usual time
    from renting to being up. ``cache_gb`` is the size of the image cache and
    ``fetch_gb_per_s`` the rate at which images are fetched.
    """

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
    """Distribution of boot times: shares of machines that deviate from the usual time.

    The other machines take 0.6 to 1.5 times the usual time of their machine type.
    """

    never_share: float = 0.0  # never come up
    late_share: float = 0.0  # take about ``late_factor`` times the usual time
    late_factor: float = 4.0
    immediate_share: float = 0.0  # come up within 0.5 to 2 s


class HostEventKind(StrEnum):
    """What happened to a machine."""

    UP = "up"  # it has booted
    NOTICE = "notice"  # a spot machine will be reclaimed
    GONE = "gone"  # it failed, was reclaimed or was deleted


class HostEvent(NamedTuple):
    """An event of one machine at a time in seconds."""

    at: float
    kind: HostEventKind
    host: str
    notice_s: float = 0.0  # time left until the reclaim, for NOTICE


@dataclass(slots=True)
class Host:
    """A rented machine; times are in seconds, NEVER_S where nothing is scheduled."""

    name: str
    address: str  # HOST:PORT of its worker
    kind: HostKind
    rented_at: float
    up_at: float
    billed_until: float
    up: bool = False
    failed_at: float | None = None
    listed_failed_at: float = NEVER_S  # until then the list does not show that it has failed
    notice_at: float = NEVER_S
    reclaim_at: float = NEVER_S
    notice_s: float = 0.0  # time between the notice and the reclaim

    def phase(self, now: float) -> str:
        """Returns the phase that a list shows: ``booting``, ``running`` or ``failed``."""
        if self.failed_at is not None and now >= self.listed_failed_at:
            return "failed"
        return "running" if self.up else "booting"


@dataclass(slots=True)
class Cloud:
    """The cloud's API, its machines and its bill."""

    machine_types: dict[str, MachineType]  # name -> machine type
    capacity: dict[HostKind, int]  # machines that can still be rented
    rng: Randomness
    worker_address: Callable[[int], str]  # machine's number -> HOST:PORT of its worker
    rps: float | None = None  # limit of requests per second; None means no limit
    list_lag_s: float = 0.0  # minimum age of a list; 0.0 means that lists are up to date
    boot_profile: BootProfile = field(default_factory=BootProfile)
    spot_reclaims_per_hour: float = 0.0  # mean rate for each spot machine
    spot_notice_s: float = 10.0  # mean time between notice and reclaim
    spot_silent_share: float = 0.15  # share of spot machines reclaimed without notice
    down: bool = False  # an outage: all requests get 503
    spent: float = 0.0  # money billed so far
    hosts: dict[str, Host] = field(default_factory=dict)  # by name, until deleted or reclaimed
    events: list[HostEvent] = field(default_factory=list)  # the caller reads and clears them
    refusals: int = 0  # requests refused by the rate limit
    _rentals: dict[str, list[str]] = field(default_factory=dict)  # rental -> names of hosts
    _host_count: int = 0  # machines ever added
    # (time, rows of the list), oldest first
    _list_snapshots: deque[tuple[float, list[dict[str, Any]]]] = field(default_factory=deque)
    # machine type -> spot price divided by the nominal one
    _spot_price_factors: dict[str, float] = field(default_factory=dict)
    _prices_updated_at: float = -NEVER_S
    _rate_limit: TokenBucket = field(init=False)

    def __post_init__(self) -> None:
        self._rate_limit = TokenBucket(self.rps, RATE_BURST_S)

    # -- time ----------------------------------------------------------------------------

    def next_at(self) -> float:
        """Returns when the next boot, notice or reclaim is due; NEVER_S if none is."""
        times = (
            min(h.up_at if not h.up else NEVER_S, h.notice_at, h.reclaim_at)
            for h in self.hosts.values()
            if h.failed_at is None
        )
        return min(times, default=NEVER_S)

    def advance(self, now: float) -> None:
        """Processes what is due until ``now`` and records a snapshot for stale lists."""
        while (at := self.next_at()) <= now:
            for host in [h for h in self.hosts.values() if h.failed_at is None]:
                self._advance_host(host, at)
        if self.list_lag_s and (
            not self._list_snapshots
            or now >= self._list_snapshots[-1][0] + LIST_SNAPSHOT_INTERVAL_S
        ):
            self._list_snapshots.append((now, self._encode_hosts(now)))
            # A list is at most 2 * list_lag_s old; snapshots well beyond that age are dropped.
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
        spec = self.machine_types[host.kind.machine_type]
        hourly = spec.price
        if host.kind.spot:
            hourly = spec.spot_price * self._spot_price_factors.get(spec.name, 1.0)
        self.spent += hourly * (until - host.billed_until) / 3600
        host.billed_until = until

    def cost(self, now: float) -> float:
        """Bills all machines that have not failed until ``now``; returns the money spent."""
        for host in self.hosts.values():
            if host.failed_at is None:
                self._bill_host(host, now)
        return self.spent

    # -- faults --------------------------------------------------------------------------

    def fail_host(self, name: str, now: float) -> None:
        """Makes a machine fail.

        The list shows the failure only after about ``FAILED_LISTED_AS_RUNNING_S``. Its capacity
        becomes free when it is deleted.
        """
        host = self.hosts.get(name)
        if host is not None and host.failed_at is None:
            host.failed_at = now
            host.listed_failed_at = now + FAILED_LISTED_AS_RUNNING_S * self.rng.uniform(
                0.8, 1.2
            )
            self._bill_host(host, now)
            self.events.append(HostEvent(now, HostEventKind.GONE, name))

    def reclaim_host(self, name: str, now: float, silent: bool | None = None) -> None:
        """Reclaims a spot machine, after a notice unless ``silent``.

        With ``silent`` None, a share ``spot_silent_share`` gets no notice. A booting machine
        gets no notice event but stays for the same time. Nothing happens if the machine is
        unknown or has failed, or if its reclaim is already scheduled.
        """
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
        """Answers a request to the cloud's API at time ``now``."""
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
            self.cost(now)  # bills the time until now at the previous prices
            for type_name in self.machine_types:
                self._spot_price_factors[type_name] = 1.0 + self.rng.uniform(
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
        """Rents as many of the requested machines as there is capacity for.

        A repeated rental returns the hosts of the first request. A rental without any capacity
        gets 503 and may be repeated.
        """
        rental, count = row.get("rental"), decode_uint64(row, "number")
        if (
            not isinstance(rental, str)
            or not rental
            or not 1 <= count <= MAX_MACHINES_PER_RENTAL
        ):
            raise Malformed(f"rental must be a name, number 1 to {MAX_MACHINES_PER_RENTAL}")
        if rental in self._rentals:
            return reply(200, {"hosts": self._rentals[rental]})
        kind = HostKind(
            str(row.get("flavour")), str(row.get("hall")), row.get("loaner") is True
        )
        spec = self.machine_types.get(kind.machine_type)
        if spec is None or kind.zone not in spec.zones:
            raise Malformed("no such type in that zone")
        count = min(count, self.capacity.get(kind, 0))
        if count <= 0:
            return reply(503, {"error": "no capacity"})
        self.capacity[kind] -= count
        names = [self.add_host(kind, now) for _ in range(count)]
        self._rentals[rental] = names
        return reply(200, {"hosts": names})

    def add_host(self, kind: HostKind, now: float, up: bool = False) -> str:
        """Adds a machine and returns its name; the caller accounts for the capacity.

        With ``up``, the machine needs no time to boot. The time until a spot machine is
        reclaimed is exponentially distributed.
        """
        self._host_count += 1
        name = f"m-{self._host_count:06d}"
        boot_s = 0.0 if up else self._draw_boot_s(self.machine_types[kind.machine_type].boot_s)
        host = Host(name, self.worker_address(self._host_count), kind, now, now + boot_s, now)
        if kind.spot and self.spot_reclaims_per_hour:
            lifetime_s = (
                -3600 / self.spot_reclaims_per_hour * math.log(max(self.rng.random(), 1e-12))
            )
            if self.rng.random() < self.spot_silent_share:
                host.reclaim_at = now + lifetime_s
            else:
                host.notice_s = self.spot_notice_s * self.rng.uniform(0.5, 1.5)
                host.notice_at = max(now + lifetime_s, host.up_at)
                host.reclaim_at = host.notice_at + host.notice_s
        self.hosts[name] = host
        return name

    def _draw_boot_s(self, boot_s: float) -> float:
        """Draws the boot time of one machine whose usual boot time is ``boot_s``."""
        drawn, profile = self.rng.random(), self.boot_profile
        if drawn < profile.never_share:
            return NEVER_S
        drawn -= profile.never_share
        if drawn < profile.late_share:
            return boot_s * profile.late_factor * self.rng.uniform(0.5, 1.5)
        if drawn - profile.late_share < profile.immediate_share:
            return self.rng.uniform(0.5, 2.0)
        return boot_s * self.rng.uniform(0.6, 1.5)

    def _delete(self, row: dict[str, Any], now: float) -> Reply:
        names = row.get("hosts")
        if not isinstance(names, list) or len(names) > MAX_MACHINES_PER_DELETE:
            raise Malformed(f"hosts must be a list of at most {MAX_MACHINES_PER_DELETE} names")
        self.delete_hosts((str(name) for name in names), now)
        return reply(200, {})

    def delete_hosts(self, names: Iterable[str], now: float) -> None:
        """Deletes machines and frees their capacity; unknown names are ignored."""
        for name in names:
            host = self.hosts.get(name)
            if host is not None:
                self._remove_host(host, now)

    def _list_hosts(self, query: dict[str, str], now: float) -> Reply:
        rows = self._encode_hosts(now)
        if self.list_lag_s and self._list_snapshots:
            # Each list has a random age of one to two times list_lag_s, so that a list can be
            # older than the one before it. It is empty if no snapshot is that old.
            as_of = now - self.list_lag_s * (1.0 + max(0.0, self.rng.uniform(-1.0, 1.0)))
            rows = next((r for at, r in reversed(self._list_snapshots) if at <= as_of), [])
        after = query.get("after", "")
        page_size = min(
            decode_uint64(query, "most", MAX_MACHINES_PER_PAGE), MAX_MACHINES_PER_PAGE
        )
        rows = [row for row in rows if row["uid"] > after]
        return reply(200, {"hosts": rows[:page_size], "more": len(rows) > page_size})

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
