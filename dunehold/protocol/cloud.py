"""Client of the cloud's API: lists machine types, rents, returns and lists machines.

Outer names: ``label`` is the name of a machine type, ``flavour`` the machine type of a host,
``hall`` the zone, ``loaner`` whether it is a spot machine, ``number`` how many machines to
rent, ``uid`` the name of a host, ``held_s`` how long it has been rented.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.transport.http import Client
from dunehold.transport.rate_limiter import RateLimiter
from dunehold.types import Duration, HostId, RentalId, Resources, TypeName, Zone

MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_DELETE = 100
MAX_MACHINES_PER_PAGE = 500
TIMEOUT_S = 10.0  # for an answer of the cloud
MIN_FETCH_GB_PER_S = 0.001  # used as a divisor, so it must not be 0


class CloudUnavailable(Exception):
    """The cloud refused or failed the request; it may succeed later."""


class NoCapacity(Exception):
    """The cloud has no free machine of this type, zone and kind (ordinary or spot)."""


class HostPhase(StrEnum):
    """The state of a rented machine, as the cloud lists it."""

    BOOTING = "booting"
    RUNNING = "running"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class MachineType:
    """A machine type that the cloud offers."""

    name: TypeName
    capacity: Resources
    cache_gb: float  # room for images
    fetch_gb_per_s: float  # rate at which images are fetched
    price: float  # of an ordinary machine, per hour
    spot_price: float  # of a spot machine, per hour
    boot_s: Duration
    zones: tuple[Zone, ...]  # where it is offered


@dataclass(frozen=True, slots=True)
class Rental:
    """A request to rent machines, recorded durably before it is sent."""

    id: RentalId
    type: TypeName
    zone: Zone
    spot: bool
    count: int


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """A rented machine in the cloud's list."""

    host: HostId
    address: str
    type: TypeName
    zone: Zone
    spot: bool
    phase: HostPhase
    age_s: Duration  # since it was rented


@dataclass(slots=True)
class CloudClient:
    """Sends requests to the cloud within the rate limit.

    Every method may raise CloudUnavailable, NoCapacity, NoResponse or BadMessage. At the rate
    limiter, returning machines comes first, then machine types, renting and listing.
    """

    client: Client
    rate_limiter: RateLimiter

    async def _call(self, method: str, target: str, body: bytes | None, priority: int) -> bytes:
        await self.rate_limiter.acquire(priority)
        status, data = await self.client.request(method, target, body, TIMEOUT_S)
        if status == 200:
            return data
        if status == 503:
            try:
                error = codec.load_object(data).get("error")
            except BadMessage:
                error = None
            if error == "no capacity":
                raise NoCapacity
        raise CloudUnavailable(f"cloud answered {target} with status {status}, expected 200")

    async def machine_types(self) -> dict[TypeName, MachineType]:
        """Lists the machine types by name."""
        row = codec.load_object(await self._call("GET", "/flavors", None, 1))
        types = {}
        for item in codec.rows(row, "flavours"):
            name = TypeName(codec.text(item, "label"))
            gpus = codec.opt_amount(item, "gpus") or 0.0
            zones = item.get("halls")
            if not isinstance(zones, list):
                raise BadMessage("halls must be a list of zones")
            types[name] = MachineType(
                name,
                Resources(codec.amount(item, "vcpus"), gpus, codec.amount(item, "memory_gb")),
                codec.opt_amount(item, "cache_gb") or 0.0,
                max(codec.opt_amount(item, "fetch_gb_per_s") or 1.0, MIN_FETCH_GB_PER_S),
                codec.opt_amount(item, "price") or 0.0,
                codec.opt_amount(item, "spot_price") or 0.0,
                Duration(codec.opt_amount(item, "boot_s") or 0.0),
                tuple(Zone(str(zone)) for zone in zones),
            )
        return types

    async def rent(self, rental: Rental) -> list[HostId]:
        """Rents machines and returns their names."""
        body = {
            "rental": rental.id,
            "flavour": rental.type,
            "hall": rental.zone,
            "loaner": rental.spot,
            "number": rental.count,
        }
        data = await self._call("POST", "/hosts", codec.dump(body), 2)
        hosts = codec.load_object(data).get("hosts")
        if not isinstance(hosts, list) or not all(isinstance(h, str) for h in hosts):
            raise BadMessage("hosts must be a list of names")
        return [HostId(host) for host in hosts]

    async def delete(self, hosts: list[HostId]) -> None:
        """Returns machines to the cloud."""
        await self._call("POST", "/hosts/delete", codec.dump({"hosts": hosts}), 0)

    async def list_machines(self) -> list[ListedMachine]:
        """Lists all rented machines, page by page. ValueError for a phase that is not known."""
        found: list[ListedMachine] = []
        after = ""
        while True:
            target = f"/hosts?most={MAX_MACHINES_PER_PAGE}" + (
                f"&after={after}" if after else ""
            )
            row = codec.load_object(await self._call("GET", target, None, 3))
            items = codec.rows(row, "hosts")
            for item in items:
                found.append(
                    ListedMachine(
                        HostId(codec.text(item, "uid")),
                        str(item.get("address") or ""),
                        TypeName(codec.text(item, "flavour")),
                        Zone(codec.text(item, "hall")),
                        codec.flag(item, "loaner", False),
                        HostPhase(codec.text(item, "phase")),
                        Duration(codec.opt_amount(item, "held_s") or 0.0),
                    )
                )
            if not row.get("more") or not items:
                return found
            after = found[-1].host
