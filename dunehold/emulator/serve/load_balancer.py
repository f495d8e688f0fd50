"""The load balancer as a server: connections to healthy nodes, probes, resets."""

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
    balancer: Balancer
    nodes: dict[str, Endpoint]
    gate: NetworkGate
    rng: Randomness
    refused: int = 0  # connections for which no node was found
    _writers: dict[str, set[asyncio.StreamWriter]] = field(default_factory=dict)

    async def run(self, endpoint: Endpoint) -> None:
        server = await listen(
            asyncio.start_server(self._serve, endpoint.host, endpoint.port, backlog=512),
            endpoint,
        )
        async with server, asyncio.TaskGroup() as group:
            for name in self.nodes:
                group.create_task(self._probe(name))

    async def _probe(self, name: str) -> None:
        place = self.nodes[name]
        loop = asyncio.get_running_loop()
        while True:
            client = HttpClient(place.host, place.port, 1)
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    await self.gate.wait_until_open(USERS, name)
                    status, _ = await client.request("GET", "/up", None, PROBE_TIMEOUT_S)
            except (NoResponse, OSError, TimeoutError):
                status = 0
            client.close()
            self.balancer.record_probe(name, status == 200, loop.time())
            for gone in self.balancer.backends_to_reset(loop.time()):
                for writer in list(self._writers.get(gone, ())):
                    writer.transport.abort()
            await asyncio.sleep(PROBE_INTERVAL_S * self.rng.uniform(0.9, 1.1))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        found = await self._connect()
        if found is None:
            self.refused += 1
            writer.transport.abort()
            return
        name, far = found
        self._writers.setdefault(name, set()).add(writer)
        try:
            await forward_streams((reader, writer), far, self.gate, USERS, name)
        except OSError:
            pass
        finally:
            self._writers[name].discard(writer)
            self.balancer.connection_closed(name)
            writer.transport.abort()
            far[1].transport.abort()

    async def _connect(self) -> tuple[str, StreamPair] | None:
        loop = asyncio.get_running_loop()
        tried: set[str] = set()
        while (name := self.balancer.choose(loop.time(), self.rng, tried)) is not None:
            tried.add(name)
            place = self.nodes[name]
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await self.gate.wait_until_open(USERS, name)
                    far = await asyncio.open_connection(place.host, place.port)
            except (OSError, TimeoutError):
                self.balancer.connection_failed(name, loop.time())
                continue
            self.balancer.connection_opened(name)
            return name, far
        return None
