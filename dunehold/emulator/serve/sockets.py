"""Servers, clients and TCP proxies on loopback that apply the network partitions."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from dunehold.emulator.agents.network_gate import NetworkGate
from dunehold.emulator.model.base import Reply
from dunehold.emulator.model.copies import RequestCopies
from dunehold.emulator.model.partitions import PartitionMode
from dunehold.emulator.serve.addresses import AddressPlan, Endpoint
from dunehold.transport.http import HttpClient, HttpServer, NoResponse, Request, Response

# Handles a request, given by method, target, body and the name of the host that sent it.
HostHandler = Callable[[str, str, bytes | None, str], Awaitable[Reply]]
MAX_CONNECTIONS = 4096  # to one host's server
READ_CHUNK_BYTES = 64 * 1024
# For this long a machine without power neither answers nor refuses a connection.
POWERED_OFF_SILENCE_S = 150.0


class PortTaken(Exception):
    """Raised when a server can't listen; one line names the address and the reason."""


@dataclass(slots=True)
class RequestDelays:
    """Delays of single requests, which may last for minutes.

    A delayed request is carried out although its sender has stopped waiting for the answer.
    """

    # Path prefix, seconds, and the number of requests that are still to be delayed.
    _rules: list[tuple[str, float, int]] = field(default_factory=list)

    def add(self, path: str, seconds: float, count: int) -> None:
        """Delays the next ``count`` requests whose path starts with ``path``."""
        self._rules.append((path, seconds, count))

    def next_delay_s(self, path: str) -> float:
        """Returns the delay of a request that has just arrived, 0 if it has none."""
        for n, (prefix, seconds, count) in enumerate(self._rules):
            if path.startswith(prefix):
                self._rules[n] = (prefix, seconds, count - 1)
                if count <= 1:
                    del self._rules[n]
                return seconds
        return 0.0


@dataclass
class HostServer(HttpServer):
    """The HTTP server of one emulated host, which applies partitions and faults.

    A request that a partition or a fault holds back is handled when it gets through.
    """

    name: str = ""
    addresses: AddressPlan = AddressPlan(0, ())
    gate: NetworkGate = field(default_factory=NetworkGate)
    delays: RequestDelays = field(default_factory=RequestDelays)
    _server: asyncio.Server | None = None
    powered_off: bool = False  # the machine is gone; requests are never answered

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = self.addresses.host_name(str(writer.get_extra_info("peername")[0]))
        try:
            # A connection attempt that a partition has held back fails instead of completing
            # when the partition ends.
            blocked = await self.gate.wait_until_open(source, self.name)
        except OSError:
            blocked = True
        if blocked:
            writer.transport.abort()
            return
        await HttpServer._serve(self, reader, writer)

    async def open(self, endpoint: Endpoint) -> None:
        """Starts to listen; raises PortTaken."""
        self._server = await listen(self.start(endpoint.host, endpoint.port), endpoint)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._open):
            writer.transport.abort()

    async def power_off(self) -> None:
        """Behaves like a machine without power, then closes the server.

        Requests get no answer for ``POWERED_OFF_SILENCE_S``. After that time, connections are
        refused.
        """
        self.powered_off = True
        try:
            await asyncio.sleep(POWERED_OFF_SILENCE_S)
        finally:
            self.close()


async def listen(starting: Awaitable[asyncio.Server], endpoint: Endpoint) -> asyncio.Server:
    """Awaits a starting server; raises PortTaken if it can't listen at its endpoint."""
    try:
        return await starting
    except OSError as error:
        raise PortTaken(f"{endpoint}: {error.strerror or error}") from None


def create_host_server(
    name: str,
    handler: HostHandler,
    addresses: AddressPlan,
    gate: NetworkGate,
    copies: RequestCopies,
) -> HostServer:
    """Creates the server of the host ``name``, which is not listening yet.

    The sender of a request is identified by its address.
    """

    async def handle_copy(request: Request, target: str, source: str) -> None:
        await gate.wait_until_open(source, name)
        if not server.powered_off:
            await handler(request.method, target, request.body, source)

    async def serve(request: Request) -> Response:
        source = addresses.host_name(request.peer)
        await gate.wait_until_open(source, name)
        delay_s = server.delays.next_delay_s(request.path)
        if delay_s:
            await asyncio.sleep(delay_s)
        target = request.path
        if request.query:
            target += "?" + "&".join(f"{key}={value}" for key, value in request.query.items())
        if server.powered_off:
            await asyncio.sleep(POWERED_OFF_SILENCE_S)
            raise ConnectionResetError
        status, body = await handler(request.method, target, request.body, source)
        copies.answered(target, lambda: handle_copy(request, target, source))
        await gate.wait_until_open(name, source)
        return Response(status, body)

    server = HostServer(serve, MAX_CONNECTIONS, name=name, addresses=addresses, gate=gate)
    return server


@dataclass(slots=True)
class SocketTransport:
    """Sends workers' requests to controllers, each from its machine's own address."""

    addresses: AddressPlan
    gate: NetworkGate
    copies: RequestCopies
    machine_addresses: dict[str, str] = field(default_factory=dict)  # machine -> IP address
    # Machine and controller -> client.
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
        """Returns status and body; raises NoResponse if none comes within ``timeout_s``.

        A request that a partition holds back is sent when the partition ends, even after its
        time is over.
        """
        client = self._client(source, target)
        if self.gate.partitions.mode_between(source, target) is PartitionMode.HOLD:
            delayed_send = asyncio.get_running_loop().create_task(
                self._send_delayed(client, source, target, method, path, body)
            )
            self._delayed_sends.add(delayed_send)
            delayed_send.add_done_callback(self._delayed_sends.discard)
            await asyncio.sleep(timeout_s)
            raise NoResponse("held back by a network partition")
        try:
            await self.gate.wait_until_open(source, target)
            response = await client.request(method, path, body, timeout_s)
            async with asyncio.timeout(timeout_s):
                await self.gate.wait_until_open(target, source)
        except (OSError, TimeoutError) as error:
            raise NoResponse(str(error)) from None
        self.copies.answered(
            path, lambda: self._send_delayed(client, source, target, method, path, body)
        )
        return response

    async def _send_delayed(
        self,
        client: HttpClient,
        source: str,
        target: str,
        method: str,
        path: str,
        body: bytes | None,
    ) -> None:
        """Sends a request once the partition ends; nobody gets the answer."""
        with contextlib.suppress(OSError, NoResponse):
            await self.gate.wait_until_open(source, target)
            await client.request(method, path, body, 5.0)

    def _client(self, source: str, target: str) -> HttpClient:
        key = (source, target)
        if key not in self._clients:
            endpoint = self.addresses.node(self.addresses.nodes.index(target))
            self._clients[key] = HttpClient(
                endpoint.host, endpoint.port, 2, self.machine_addresses.get(source)
            )
        return self._clients[key]

    def close(self) -> None:
        """Closes the connections of all machines."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def close_clients(self, source: str) -> None:
        """Closes the connections of a machine that is gone."""
        for key in [key for key in self._clients if key[0] == source]:
            self._clients.pop(key).close()


@dataclass(slots=True, eq=False)
class TcpProxy:
    """Forwards TCP connections from one host to another, as partitions allow.

    A partition holds the bytes back, resets the connections, or refuses new ones.
    """

    source: str
    target: str
    target_endpoint: Endpoint
    gate: NetworkGate
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def run(self, listen_endpoint: Endpoint) -> None:
        """Serves until it is cancelled; raises PortTaken.

        While a partition refuses connections, the proxy does not listen.
        """
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

    async def _listen(self, endpoint: Endpoint) -> asyncio.Server:
        return await asyncio.start_server(self._serve, endpoint.host, endpoint.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if await self.gate.wait_until_open(self.source, self.target):
                return  # an attempt to connect that was held back fails
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
    """Forwards bytes both ways until either side closes or a partition resets the connection.

    Both directions are held back while a partition holds back messages from ``a`` to ``b``.
    """

    async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_CHUNK_BYTES):
            await gate.wait_until_open(a, b)
            writer.write(data)
            await writer.drain()

    directions = [
        asyncio.ensure_future(forward(near[0], far[1])),
        asyncio.ensure_future(forward(far[0], near[1])),
    ]
    try:
        await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for direction in directions:
            direction.cancel()
        await asyncio.gather(*directions, return_exceptions=True)
