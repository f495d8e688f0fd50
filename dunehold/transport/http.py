"""HTTP/1.1 over asyncio streams, parsed by h11: a server and a client with a pool."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from dunehold.transport.admission import Admission, AdmittedConnection, Purpose

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_HEADER_BYTES = 16 * 1024
READ_CHUNK_BYTES = 64 * 1024
REQUEST_TIMEOUT_S = 20.0  # to receive a request once it has begun, and to send a response
LISTEN_BACKLOG = 512  # connections that the kernel queues until they are accepted
# The response to a connection that is not admitted.
OVERLOADED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    b"Content-Length: 2\r\nRetry-After: 1\r\nConnection: close\r\n\r\n{}"
)
# Reason phrases by status; the other responses have none.
REASONS = {200: b"OK", 201: b"Created", 421: b"Misdirected Request", 422: b"Unprocessable"}


def parse_address(text: str) -> tuple[str, int] | None:
    """Parses ``HOST:PORT``; returns None for anything else."""
    host, colon, port = text.rpartition(":")
    return (host, int(port)) if colon and port.isdigit() else None


def _now() -> float:
    return asyncio.get_running_loop().time()


class Request(NamedTuple):
    """A request; ``path`` is unquoted and has no query string."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    peer: str = ""  # the address that it came from, without the port


class Response(NamedTuple):
    """A response with a JSON body."""

    status: int
    body: bytes = b"{}"
    retry_after: int | None = None  # seconds; None: no Retry-After header
    close: bool = False  # close the connection after sending


class NoResponse(Exception):
    """No answer came. The request may have been executed, or may still be executed later."""


class Refused(NoResponse):
    """The connection was refused: the host is reachable, and no request was sent."""


Handler = Callable[[Request], Awaitable[Response]]


class Client(Protocol):
    """The interface that other modules use; tests provide their own implementation."""

    async def request(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        """Returns status and body; raises NoResponse if none came in time."""
        ...

    def close(self) -> None:
        """Closes the idle connections."""
        ...


Connect = Callable[[str, int, int], Client]  # host, port, max. connections


@dataclass(slots=True)
class HttpServer:
    """Serves one address and holds at most ``max_connections`` connections.

    ``purpose_of`` determines from a request what its connection is used for. Each purpose has a
    share of the connections, see ``Admission``.
    """

    handler: Handler
    max_connections: int
    idle_timeout_s: float = 90.0  # for a peer that sends nothing
    purpose_of: Callable[[Request], Purpose] = lambda request: Purpose.USER
    admission: Admission = field(init=False)
    _open: set[asyncio.StreamWriter] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.admission = Admission(self.max_connections)

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Starts to listen; raises OSError if the address can't be used."""
        return await asyncio.start_server(
            self._serve,
            host,
            port,
            limit=READ_CHUNK_BYTES,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Admission keeps a flood of connections from taking the sockets of other purposes.
        peer = str((writer.get_extra_info("peername") or ("",))[0])
        admitted = self.admission.admit(writer.transport.abort, peer, _now())
        if admitted is None:
            writer.write(OVERLOADED_RESPONSE)
            writer.close()
            return
        self._open.add(writer)
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        try:
            while await self._exchange(conn, reader, writer, admitted):
                conn.start_next_cycle()
        except (OSError, TimeoutError, h11.RemoteProtocolError, asyncio.IncompleteReadError):
            pass
        except Exception:
            # No input from a peer may end the process.
            log.exception("unexpected error on a connection; closing it")
        finally:
            self._open.discard(writer)
            self.admission.release(admitted)
            writer.close()

    async def _exchange(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        admitted: AdmittedConnection,
    ) -> bool:
        """Handles one request; returns whether the connection can serve another one."""
        try:
            request = await self._read(conn, reader)
        except h11.RemoteProtocolError as error:
            if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                status = error.error_status_hint or 400
                await self._send(conn, writer, Response(status), close=True)
            return False
        if request is None:
            return False
        if isinstance(request, Response):
            await self._send(conn, writer, request, close=True)
            return False
        self.admission.begin_request(admitted, self.purpose_of(request))
        try:
            response = await self.handler(request._replace(peer=admitted.peer))
        except ConnectionError:
            raise  # the handler asks to drop the connection without an answer
        except Exception:
            log.exception("request %s %s failed; answering 503", request.method, request.path)
            response = Response(503, retry_after=1)
        await self._send(conn, writer, response, close=response.close)
        self.admission.end_request(admitted, _now())
        return conn.our_state is h11.DONE and conn.their_state is h11.DONE

    async def _read(
        self, conn: h11.Connection, reader: asyncio.StreamReader
    ) -> Request | Response | None:
        """Reads a request; returns a Response that refuses it, or None if the peer closed."""
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        # Set with the first bytes: a slow sender must not hold its connection indefinitely.
        deadline: float | None = None
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                timeout_s = (
                    self.idle_timeout_s
                    if deadline is None
                    else min(self.idle_timeout_s, deadline - _now())
                )
                async with asyncio.timeout(timeout_s):
                    conn.receive_data(await reader.read(READ_CHUNK_BYTES))
                deadline = deadline or _now() + REQUEST_TIMEOUT_S
            elif isinstance(event, h11.Request):
                head = event
                if conn.they_are_waiting_for_100_continue:
                    return Response(417)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    return Response(413)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                url = urlsplit(head.target.decode("latin-1"))
                query = dict(parse_qsl(url.query)) if url.query else {}
                method = head.method.decode("ascii", "replace")
                return Request(method, unquote(url.path), query, b"".join(parts))
            else:
                return None

    async def _send(
        self,
        conn: h11.Connection,
        writer: asyncio.StreamWriter,
        response: Response,
        close: bool,
    ) -> None:
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
        ]
        if response.retry_after is not None:
            headers.append(("Retry-After", str(response.retry_after)))
        if close:
            headers.append(("Connection", "close"))
        head = h11.Response(
            status_code=response.status,
            headers=headers,
            reason=REASONS.get(response.status, b""),
        )
        chunks = [
            conn.send(head),
            conn.send(h11.Data(data=response.body)),
            conn.send(h11.EndOfMessage()),
        ]
        writer.write(b"".join(chunk for chunk in chunks if chunk))
        if writer.transport.get_write_buffer_size():
            # A peer that does not read must not hold its connection indefinitely, either.
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await writer.drain()


class ClientResponse(NamedTuple):
    """A response; ``retry_after_s`` is 0 if the server sent no Retry-After in seconds."""

    status: int
    body: bytes
    retry_after_s: float


class _PooledConnection(NamedTuple):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    conn: h11.Connection


@dataclass(slots=True)
class HttpClient:
    """Sends requests to one address over a pool of at most ``max_connections`` connections.

    If ``local_host`` is set, connections go out from that address of this machine.
    """

    host: str
    port: int
    max_connections: int = 8
    local_host: str | None = None
    _idle: deque[_PooledConnection] = field(default_factory=deque)
    _slots: asyncio.Semaphore | None = None

    async def request(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        """Returns status and body; raises NoResponse if none came within ``timeout_s``.

        The time includes the wait for a free connection.
        """
        return (await self.request_with_retry_after(method, target, body, timeout_s))[:2]

    async def request_with_retry_after(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> ClientResponse:
        """Does the same as ``request`` and also returns the time of the Retry-After header."""
        if self._slots is None:
            self._slots = asyncio.Semaphore(self.max_connections)
        connection: _PooledConnection | None = None
        try:
            async with asyncio.timeout(timeout_s), self._slots:
                connection = self._take() or await self._connect()
                answer = await self._exchange(connection, method, target, body)
        except ConnectionRefusedError:
            raise Refused("connection refused") from None
        except (OSError, TimeoutError, h11.ProtocolError, EOFError) as error:
            self._drop(connection)
            raise NoResponse(f"{type(error).__name__} {error}".strip()) from None
        except BaseException:
            self._drop(connection)
            raise
        if connection.conn.our_state is h11.DONE and connection.conn.their_state is h11.DONE:
            connection.conn.start_next_cycle()
            self._idle.append(connection)
        else:
            self._drop(connection)
        return answer

    def close(self) -> None:
        """Closes the idle connections; requests in progress go on."""
        while self._idle:
            self._drop(self._idle.pop())

    async def close_and_wait(self) -> None:
        """Closes the idle connections and returns once their sockets are closed."""
        idle = list(self._idle)
        self.close()
        for connection in idle:
            with contextlib.suppress(OSError):
                await connection.writer.wait_closed()

    def _take(self) -> _PooledConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            self._drop(connection)
        return None

    async def _connect(self) -> _PooledConnection:
        local = None if self.local_host is None else (self.local_host, 0)
        reader, writer = await asyncio.open_connection(
            self.host, self.port, limit=READ_CHUNK_BYTES, local_addr=local
        )
        return _PooledConnection(reader, writer, h11.Connection(h11.CLIENT))

    @staticmethod
    def _drop(connection: _PooledConnection | None) -> None:
        if connection is not None:
            connection.writer.transport.abort()

    async def _exchange(
        self, connection: _PooledConnection, method: str, target: str, body: bytes | None
    ) -> ClientResponse:
        headers = [("Host", f"{self.host}:{self.port}")]
        if body is not None:
            headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(body))))
        conn = connection.conn
        out = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body is not None:
            out += conn.send(h11.Data(data=body)) or b""
        out += conn.send(h11.EndOfMessage()) or b""
        connection.writer.write(out)
        await connection.writer.drain()
        status, retry_after_s = 0, 0.0
        parts: list[bytes] = []
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await connection.reader.read(READ_CHUNK_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                retry_after_s = _retry_after(event)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return ClientResponse(status, b"".join(parts), retry_after_s)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("peer closed the connection before the response was complete")


def _retry_after(response: h11.Response) -> float:
    for name, value in response.headers:
        if name == b"retry-after" and value.isdigit():
            return float(value)
    return 0.0
