"""Servers, clients and relays on loopback, all of which obey the cuts."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from dunehold.emulator.agents.passages import Passages
from dunehold.emulator.model.base import Reply
from dunehold.emulator.model.cuts import Mode
from dunehold.emulator.serve.places import Place, Places
from dunehold.transport.http import HttpClient, HttpServer, NoResponse, Request, Response

Handle = Callable[[str, str, bytes | None, str], Awaitable[Reply]]
MOST_CONNECTIONS = 4096
CHUNK = 64 * 1024
SILENT_S = 150.0  # a machine without power answers nobody, and refuses nobody


class PortTaken(Exception):
    """One line that names the address and the reason."""


@dataclass(slots=True)
class Delays:
    """Single messages that come minutes late, though their sender has given up."""

    _rules: list[tuple[str, float, int]] = field(default_factory=list)

    def add(self, path: str, seconds: float, count: int) -> None:
        self._rules.append((path, seconds, count))

    def take(self, path: str) -> float:
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
    places: Places = Places(0, ())
    passages: Passages = field(default_factory=Passages)
    delays: Delays = field(default_factory=Delays)
    _server: asyncio.Server | None = None
    dark: bool = False  # without power

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = self.places.name_of(str(writer.get_extra_info("peername")[0]))
        try:
            # An attempt to connect that a cut held up does not complete later.
            late = await self.passages.through(source, self.name)
        except OSError:
            late = True
        if late:
            writer.transport.abort()
            return
        await HttpServer._serve(self, reader, writer)

    async def open(self, place: Place) -> None:
        self._server = await listen(self.start(place.host, place.port), place)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._open):
            writer.transport.abort()

    async def go_dark(self) -> None:
        """Silence, as of a machine without power, then nothing at all."""
        self.dark = True
        try:
            await asyncio.sleep(SILENT_S)
        finally:
            self.close()


async def listen(starting: Awaitable[asyncio.Server], place: Place) -> asyncio.Server:
    try:
        return await starting
    except OSError as error:
        raise PortTaken(f"{place}: {error.strerror or error}") from None


def host_server(name: str, handle: Handle, places: Places, passages: Passages) -> HostServer:
    async def serve(request: Request) -> Response:
        source = places.name_of(request.peer)
        await passages.through(source, name)
        wait = server.delays.take(request.path)
        if wait:
            await asyncio.sleep(wait)
        target = request.path
        if request.query:
            target += "?" + "&".join(f"{key}={value}" for key, value in request.query.items())
        if server.dark:
            await asyncio.sleep(SILENT_S)
            raise ConnectionResetError
        status, body = await handle(request.method, target, request.body, source)
        await passages.through(name, source)
        return Response(status, body)

    server = HostServer(serve, MOST_CONNECTIONS, name=name, places=places, passages=passages)
    return server


@dataclass(slots=True)
class SocketCarrier:
    """Messages of workers to controllers, each from its own address."""

    places: Places
    passages: Passages
    machine_hosts: dict[str, str] = field(default_factory=dict)  # name -> address
    _clients: dict[tuple[str, str], HttpClient] = field(default_factory=dict)
    _late: set[asyncio.Task[None]] = field(default_factory=set)

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
        if self.passages.cuts.between(source, target) is Mode.HOLD:
            late = asyncio.get_running_loop().create_task(
                self._send_late(client, source, target, method, path, body)
            )
            self._late.add(late)
            late.add_done_callback(self._late.discard)
            await asyncio.sleep(timeout_s)
            raise NoResponse("held back")
        try:
            await self.passages.through(source, target)
            answer = await client.request(method, path, body, timeout_s)
            async with asyncio.timeout(timeout_s):
                await self.passages.through(target, source)
        except (OSError, TimeoutError) as error:
            raise NoResponse(str(error)) from None
        return answer

    async def _send_late(
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
            await self.passages.through(source, target)
            await client.request(method, path, body, 5.0)

    def _client(self, source: str, target: str) -> HttpClient:
        key = (source, target)
        if key not in self._clients:
            place = self.places.node(self.places.nodes.index(target))
            self._clients[key] = HttpClient(
                place.host, place.port, 2, self.machine_hosts.get(source)
            )
        return self._clients[key]

    def forget(self, source: str) -> None:
        for key in [key for key in self._clients if key[0] == source]:
            self._clients.pop(key).close()


@dataclass(slots=True, eq=False)
class Relay:
    """Bytes between two hosts, passed on until a cut between them."""

    source: str
    target: str
    place: Place
    passages: Passages
    _server: asyncio.Server | None = None
    _open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def run(self, listens: Place) -> None:
        """Serves until it is cancelled. Where a cut refuses, nobody listens."""
        self._server = await listen(self._listen(listens), listens)
        try:
            while True:
                await asyncio.sleep(0.05)
                mode = self.passages.cuts.between(self.source, self.target)
                await self._open_unless(mode is Mode.REFUSE, listens)
                if mode in (Mode.RESET, Mode.REFUSE):
                    for writer in list(self._open):
                        writer.transport.abort()
        finally:
            if self._server is not None:
                self._server.close()

    async def _open_unless(self, refuses: bool, listens: Place) -> None:
        if refuses and self._server is not None:
            self._server.close()
            self._server = None
        elif not refuses and self._server is None:
            self._server = await self._listen(listens)

    async def _listen(self, place: Place) -> asyncio.Server:
        return await asyncio.start_server(self._serve, place.host, place.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            if await self.passages.through(self.source, self.target):
                return
            remote = await asyncio.open_connection(self.place.host, self.place.port)
            self._open.add(remote[1])
            try:
                await join((reader, writer), remote, self.passages, self.source, self.target)
            finally:
                self._open.discard(remote[1])
                remote[1].transport.abort()
        except OSError:
            pass
        finally:
            self._open.discard(writer)
            writer.transport.abort()


Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def join(near: Stream, far: Stream, passages: Passages, a: str, b: str) -> None:
    """Pass bytes both ways until either side closes."""

    async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(CHUNK):
            await passages.through(a, b)
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
