"""Servers, clients and relays on loopback, all of which obey the cuts."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from dunehold.emulator.agents.network_gate import NetworkGate
from dunehold.emulator.model.base import Reply
from dunehold.emulator.model.partitions import PartitionMode
from dunehold.emulator.serve.addresses import AddressPlan, Endpoint
from dunehold.transport.http import HttpClient, HttpServer, NoResponse, Request, Response

HostHandler = Callable[[str, str, bytes | None, str], Awaitable[Reply]]
MAX_CONNECTIONS = 4096
READ_CHUNK_BYTES = 64 * 1024
POWERED_OFF_SILENCE_S = 150.0  # a machine without power answers nobody, and refuses nobody


class PortTaken(Exception):
    """One line that names the address and the reason."""


@dataclass(slots=True)
class RequestDelays:
    """Single messages that come minutes late, though their sender has given up."""

    _rules: list[tuple[str, float, int]] = field(default_factory=list)

    def add(self, path: str, seconds: float, count: int) -> None:
        self._rules.append((path, seconds, count))

    def next_delay_s(self, path: str) -> float:
        for n, (start, seconds, count) in enumerate(self._rules):
            if path.startswith(start):
                self._rules[n] = (start, seconds, count - 1)
                if count <= 1:
                    del self._rules[n]
                return seconds
        return 0.0


@dataclass
class HostServer(HttpServer):
    """One host's server: what a cut or a fault holds back is answered when it comes through."""

    name: str = ""
    addresses: AddressPlan = AddressPlan(0, ())
    gate: NetworkGate = field(default_factory=NetworkGate)
    delays: RequestDelays = field(default_factory=RequestDelays)
    _server: asyncio.Server | None = None
    powered_off: bool = False  # without power

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = self.addresses.host_name(str(writer.get_extra_info("peername")[0]))
        try:
            # An attempt to connect that a cut held up does not complete later.
            late = await self.gate.wait_until_open(source, self.name)
        except OSError:
            late = True
        if late:
            writer.transport.abort()
            return
        await HttpServer._serve(self, reader, writer)

    async def open(self, endpoint: Endpoint) -> None:
        self._server = await listen(self.start(endpoint.host, endpoint.port), endpoint)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._open):
            writer.transport.abort()

    async def power_off(self) -> None:
        """Silence, as of a machine without power, then nothing at all."""
        self.powered_off = True
        try:
            await asyncio.sleep(POWERED_OFF_SILENCE_S)
        finally:
            self.close()


async def listen(starting: Awaitable[asyncio.Server], endpoint: Endpoint) -> asyncio.Server:
    try:
        return await starting
    except OSError as error:
        raise PortTaken(f"{endpoint}: {error.strerror or error}") from None


def create_host_server(
    name: str, handler: HostHandler, addresses: AddressPlan, gate: NetworkGate
) -> HostServer:
    async def serve(request: Request) -> Response:
        source = addresses.host_name(request.peer)
        await gate.wait_until_open(source, name)
        wait = server.delays.next_delay_s(request.path)
        if wait:
            await asyncio.sleep(wait)
        target = request.path
        if request.query:
            target += "?" + "&".join(f"{key}={value}" for key, value in request.query.items())
        if server.powered_off:
            await asyncio.sleep(POWERED_OFF_SILENCE_S)
            raise ConnectionResetError
        status, body = await handler(request.method, target, request.body, source)
        await gate.wait_until_open(name, source)
        return Response(status, body)

    server = HostServer(serve, MAX_CONNECTIONS, name=name, addresses=addresses, gate=gate)
    return server


@dataclass(slots=True)
class SocketTransport:
    """Messages of workers to controllers, each from its own address."""

    addresses: AddressPlan
    gate: NetworkGate
    machine_addresses: dict[str, str] = field(default_factory=dict)  # name -> address
    _clients: dict[tuple[str, str], HttpClient] = field(default_factory=dict)
    _delayed_sends: set[asyncio.Task[None]] = field(default_factory=set)

    async def request(
        self,
        source: str,
        target: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        client = self._client(source, target)
        if self.gate.partitions.mode_between(source, target) is PartitionMode.HOLD:
            late = asyncio.get_running_loop().create_task(
                self._send_delayed(client, source, target, method, path, body)
            )
            self._delayed_sends.add(late)
            late.add_done_callback(self._delayed_sends.discard)
            await asyncio.sleep(timeout_s)
            raise NoResponse("held back")
        try:
            await self.gate.wait_until_open(source, target)
            answer = await client.request(method, path, body, timeout_s)
            async with asyncio.timeout(timeout_s):
                await self.gate.wait_until_open(target, source)
        except (OSError, TimeoutError) as error:
            raise NoResponse(str(error)) from None
        return answer

    async def _send_delayed(
        self,
        client: HttpClient,
        source: str,
        target: str,
        method: str,
        path: str,
        body: bytes | None,
    ) -> None:
        """A packet that was held back arrives, and nobody hears the answer."""
        with contextlib.suppress(OSError, NoResponse):
            await self.gate.wait_until_open(source, target)
            await client.request(method, path, body, 5.0)

    def _client(self, source: str, target: str) -> HttpClient:
        key = (source, target)
        if key not in self._clients:
            place = self.addresses.node(self.addresses.nodes.index(target))
            self._clients[key] = HttpClient(
                place.host, place.port, 2, self.machine_addresses.get(source)
            )
        return self._clients[key]

    def close_clients(self, source: str) -> None:
        for key in [key for key in self._clients if key[0] == source]:
            self._clients.pop(key).close()


@dataclass(slots=True, eq=False)
class TcpProxy:
    """Bytes between two hosts, passed on until a cut between them."""

    source: str
    target: str
    target_endpoint: Endpoint
    gate: NetworkGate
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def run(self, listen_endpoint: Endpoint) -> None:
        """Serves until it is cancelled. Where a cut refuses, nobody listens."""
        self._server = await listen(self._listen(listen_endpoint), listen_endpoint)
        try:
            while True:
                await asyncio.sleep(0.05)
                mode = self.gate.partitions.mode_between(self.source, self.target)
                await self._update_listener(mode is PartitionMode.REFUSE, listen_endpoint)
                if mode in (PartitionMode.RESET, PartitionMode.REFUSE):
                    for writer in list(self._writers):
                        writer.transport.abort()
        finally:
            if self._server is not None:
                self._server.close()

    async def _update_listener(self, refused: bool, listen_endpoint: Endpoint) -> None:
        if refused and self._server is not None:
            self._server.close()
            self._server = None
        elif not refused and self._server is None:
            self._server = await self._listen(listen_endpoint)

    async def _listen(self, place: Endpoint) -> asyncio.Server:
        return await asyncio.start_server(self._serve, place.host, place.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if await self.gate.wait_until_open(self.source, self.target):
                return
            remote = await asyncio.open_connection(
                self.target_endpoint.host, self.target_endpoint.port
            )
            self._writers.add(remote[1])
            try:
                await forward_streams(
                    (reader, writer), remote, self.gate, self.source, self.target
                )
            finally:
                self._writers.discard(remote[1])
                remote[1].transport.abort()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def forward_streams(
    near: StreamPair, far: StreamPair, gate: NetworkGate, a: str, b: str
) -> None:
    """Pass bytes both ways until either side closes."""

    async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_CHUNK_BYTES):
            await gate.wait_until_open(a, b)
            writer.write(data)
            await writer.drain()

    ways = [
        asyncio.ensure_future(pump(near[0], far[1])),
        asyncio.ensure_future(pump(far[0], near[1])),
    ]
    try:
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for way in ways:
            way.cancel()
        await asyncio.gather(*ways, return_exceptions=True)
