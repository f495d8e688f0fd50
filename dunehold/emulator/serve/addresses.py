"""Who has which address: every host one of its own on the loopback range.

The whole of 127.0.0.0/8 is this machine's on Linux, so a connection's two addresses say which
two hosts it joins, and a cut between two hosts can be told from one between two others.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

STATE_PORT, CLOUD_PORT, USER_PORT, PEER_PORT, WORKER_PORT = 2379, 8443, 8080, 8081, 9000
CONTROL_PORT = 9400
STATE, CLOUD, USERS = "state", "cloud", "users"
_HOSTS_PER_OCTET = 250  # last octets used of each third octet


class Endpoint(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class AddressPlan:
    """``net``: the second octet, so that several emulators can run at once."""

    net: int
    nodes: tuple[str, ...]

    def _at(self, third: int, last: int, port: int) -> Endpoint:
        return Endpoint(f"127.{self.net}.{third}.{last}", port)

    @property
    def state(self) -> Endpoint:
        return self._at(0, 2, STATE_PORT)

    @property
    def state_control(self) -> Endpoint:
        return self._at(0, 2, CONTROL_PORT)

    @property
    def cloud(self) -> Endpoint:
        return self._at(0, 3, CLOUD_PORT)

    @property
    def control(self) -> Endpoint:
        return self._at(0, 4, CONTROL_PORT)

    @property
    def load_balancer(self) -> Endpoint:
        """The load balancer, where users come."""
        return self._at(0, 1, USER_PORT)

    def node(self, index: int) -> Endpoint:
        return self._at(0, 10 + index, USER_PORT)

    def peer(self, index: int) -> Endpoint:
        return self._at(0, 10 + index, PEER_PORT)

    def peer_proxy(self, source: int, target: int) -> Endpoint:
        """Where ``source`` finds ``target``: a relay of its own, which can be cut."""
        return self._at(240 + source, 10 + target, PEER_PORT)

    def worker(self, number: int) -> Endpoint:
        row, last = divmod(number - 1, _HOSTS_PER_OCTET)
        return self._at(1 + row % 230, 1 + last, WORKER_PORT)

    def host_name(self, ip_address: str) -> str:
        """The host that an address belongs to; everybody else counts as users."""
        parts = ip_address.split(".")
        if len(parts) != 4 or parts[1] != str(self.net):
            return USERS
        third, last = int(parts[2]), int(parts[3])
        if third == 0:
            fixed = {2: STATE, 3: CLOUD}
            if 10 <= last < 10 + len(self.nodes):
                return self.nodes[last - 10]
            return fixed.get(last, USERS)
        if third >= 240:
            return self.nodes[third - 240]
        return f"m-{(third - 1) * _HOSTS_PER_OCTET + last:06d}"
