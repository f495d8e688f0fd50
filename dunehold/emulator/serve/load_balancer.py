"""The load balancer's server.

It probes the nodes, forwards users' connections to healthy ones, and resets the connections to
nodes that stay unhealthy. ``model.balancer`` makes the decisions.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from dunehold.emulator.agents.network_gate import NetworkGate
from dunehold.emulator.model.balancer import (
    CONNECT_TIMEOUT_S,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    Balancer,
)
from dunehold.emulator.model.base import Randomness
from dunehold.emulator.serve.addresses import USERS, Endpoint
from dunehold.emulator.serve.sockets import StreamPair, forward_streams, listen
from dunehold.transport.http import HttpClient, NoResponse


@dataclass(slots=True)
class LoadBalancerServer:
    """Forwards TCP connections of users to ``nodes`` (name -> endpoint)."""

    balancer: Balancer
    nodes: dict[str, Endpoint]
    gate: NetworkGate
    rng: Randomness
    refused: int = 0  # users' connections that were reset because no node accepted them
    # Node -> users' connections that are forwarded to it.
    _writers: dict[str, set[asyncio.StreamWriter]] = field(default_factory=dict)

    async def run(self, endpoint: Endpoint) -> None:
        """Serves until it is cancelled; raises PortTaken."""
        server = await listen(
            asyncio.start_server(self._serve, endpoint.host, endpoint.port, backlog=512),
            endpoint,
        )
        async with server, asyncio.TaskGroup() as group:
            for name in self.nodes:
                group.create_task(self._probe(name))

    async def _probe(self, name: str) -> None:
        """Probes one node at intervals, and resets the connections to unhealthy nodes."""
        endpoint = self.nodes[name]
        loop = asyncio.get_running_loop()
        while True:
            client = HttpClient(endpoint.host, endpoint.port, 1)
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    await self.gate.wait_until_open(USERS, name)
                    status, _ = await client.request("GET", "/up", None, PROBE_TIMEOUT_S)
            except (NoResponse, OSError, TimeoutError):
                status = 0
            client.close()
            self.balancer.record_probe(name, status == 200, loop.time())
            for unhealthy in self.balancer.backends_to_reset(loop.time()):
                for writer in list(self._writers.get(unhealthy, ())):
                    writer.transport.abort()
            await asyncio.sleep(PROBE_INTERVAL_S * self.rng.uniform(0.9, 1.1))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connected = await self._connect()
        if connected is None:
            self.refused += 1
            writer.transport.abort()
            return
        name, node_streams = connected
        self._writers.setdefault(name, set()).add(writer)
        try:
            await forward_streams((reader, writer), node_streams, self.gate, USERS, name)
        except OSError:
            pass
        finally:
            self._writers[name].discard(writer)
            self.balancer.connection_closed(name)
            writer.transport.abort()
            node_streams[1].transport.abort()

    async def _connect(self) -> tuple[str, StreamPair] | None:
        """Connects to the first of the chosen nodes that accepts; None if none does."""
        loop = asyncio.get_running_loop()
        tried: set[str] = set()
        while (name := self.balancer.choose(loop.time(), self.rng, tried)) is not None:
            tried.add(name)
            endpoint = self.nodes[name]
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await self.gate.wait_until_open(USERS, name)
                    streams = await asyncio.open_connection(endpoint.host, endpoint.port)
            except (OSError, TimeoutError):
                self.balancer.connection_failed(name, loop.time())
                continue
            self.balancer.connection_opened(name)
            return name, streams
        return None
