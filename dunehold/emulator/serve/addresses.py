"""The addresses of the emulated hosts; each host has its own one in the loopback range.

On Linux, all of 127.0.0.0/8 belongs to the local machine. The two addresses of a connection
therefore show which two hosts it connects, so that a network partition can affect only the
connections between certain hosts.

| address | host |
| --- | --- |
| ``127.NET.0.1`` | load balancer |
| ``127.NET.0.2`` | state service |
| ``127.NET.0.3`` | cloud |
| ``127.NET.0.4`` | the emulator's control interface |
| ``127.NET.0.10`` and up | controllers |
| ``127.NET.1.1`` to ``127.NET.230.250`` | workers |
| ``127.NET.240.10`` and up | proxies between controllers, a third octet for each source |
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

STATE_PORT = 2379
CLOUD_PORT = 8443
USER_PORT = 8080
PEER_PORT = 8081
WORKER_PORT = 9000
CONTROL_PORT = 9400
# Names of hosts that are neither controllers nor machines.
STATE, CLOUD, USERS = "state", "cloud", "users"
_HOSTS_PER_OCTET = 250  # workers with the same third octet


class Endpoint(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class AddressPlan:
    """The addresses of one emulator, whose controllers have the names ``nodes``.

    ``net`` is the second octet. It differs between emulators that run at the same time.
    """

    net: int
    nodes: tuple[str, ...]

    def _at(self, third: int, last: int, port: int) -> Endpoint:
        return Endpoint(f"127.{self.net}.{third}.{last}", port)

    @property
    def state(self) -> Endpoint:
        """The state service."""
        return self._at(0, 2, STATE_PORT)

    @property
    def state_control(self) -> Endpoint:
        """The control interface of the state service's process."""
        return self._at(0, 2, CONTROL_PORT)

    @property
    def cloud(self) -> Endpoint:
        """The cloud's API."""
        return self._at(0, 3, CLOUD_PORT)

    @property
    def control(self) -> Endpoint:
        """The emulator's control interface."""
        return self._at(0, 4, CONTROL_PORT)

    @property
    def load_balancer(self) -> Endpoint:
        """The load balancer, to which users connect."""
        return self._at(0, 1, USER_PORT)

    def node(self, index: int) -> Endpoint:
        """The port of a controller for users and workers."""
        return self._at(0, 10 + index, USER_PORT)

    def peer(self, index: int) -> Endpoint:
        """The port of a controller for other controllers."""
        return self._at(0, 10 + index, PEER_PORT)

    def peer_proxy(self, source: int, target: int) -> Endpoint:
        """The proxy through which ``source`` reaches ``target``, both given by index.

        Each direction has its own proxy, which a partition can interrupt.
        """
        return self._at(240 + source, 10 + target, PEER_PORT)

    def worker(self, number: int) -> Endpoint:
        """The worker on the machine with this number, counted from 1."""
        row, last = divmod(number - 1, _HOSTS_PER_OCTET)
        return self._at(1 + row % 230, 1 + last, WORKER_PORT)

    def host_name(self, ip_address: str) -> str:
        """Returns the host that an address belongs to; unknown addresses belong to users."""
        parts = ip_address.split(".")
        if len(parts) != 4 or parts[1] != str(self.net):
            return USERS
        third, last = int(parts[2]), int(parts[3])
        if third == 0:
            services = {2: STATE, 3: CLOUD}
            if 10 <= last < 10 + len(self.nodes):
                return self.nodes[last - 10]
            return services.get(last, USERS)
        if third >= 240:
            return self.nodes[third - 240]
        return f"m-{(third - 1) * _HOSTS_PER_OCTET + last:06d}"
