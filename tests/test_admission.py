"""Admission of connections: each purpose has a share that idle connections cannot take."""

from __future__ import annotations

import asyncio
import random

import pytest

from dunehold.transport import http
from dunehold.transport.admission import (
    MIN_IDLE_S,
    RESERVED_SHARES,
    Admission,
    AdmittedConnection,
    Purpose,
)
from dunehold.transport.http import HttpClient, HttpServer, NoResponse, Request, Response


@pytest.mark.parametrize("seed", range(6))
def test_connection_counts_stay_consistent_within_the_limit(seed: int) -> None:
    """Random connects, requests and disconnects; the counts are checked after each step."""
    rng = random.Random(seed)
    admission, now = Admission(50), 0.0
    connections: list[AdmittedConnection] = []
    closed: set[int] = set()
    for number in range(4000):
        now += rng.expovariate(3.0)
        connections = [connection for connection in connections if not connection.closed]
        idle = [
            connection
            for connection in connections
            if any(connection in kind for kind in admission._idle.values())
        ]
        busy = [connection for connection in connections if connection not in idle]
        draw = rng.random()
        if draw < 0.5:
            connection = admission.admit(lambda number=number: closed.add(number), "p", now)
            if connection is not None:
                connections.append(connection)
        elif draw < 0.75 and idle:
            connection = rng.choice(idle)
            known = connection.purpose is not Purpose.NEW
            admission.begin_request(
                connection, connection.purpose if known else rng.choice(list(Purpose)[1:])
            )
        elif draw < 0.95 and busy:
            admission.end_request(rng.choice(busy), now)
        elif connections:
            admission.release(rng.choice(connections))
        live = [connection for connection in connections if not connection.closed]
        assert admission.open_count == len(live) <= 50
        for purpose in Purpose:
            assert admission._open_by_purpose[purpose] == sum(
                connection.purpose is purpose for connection in live
            )
    assert len(closed) == admission.evicted > 0


def test_a_flood_of_idle_connections_does_not_displace_workers() -> None:
    admission, now = Admission(100), 0.0
    workers = [admission.admit(lambda: None, "w", now) for _ in range(60)]
    for connection in workers:
        assert connection is not None
        admission.begin_request(connection, Purpose.WORKER)
        admission.end_request(connection, now)
    for step in range(1000):
        now = 1.0 + step * 0.1
        admission.admit(lambda: None, "flood", now)
    assert all(connection is not None and not connection.closed for connection in workers)
    now += MIN_IDLE_S
    assert admission.admit(lambda: None, "w", now) is not None


def test_busy_and_recently_used_connections_are_not_evicted() -> None:
    admission = Admission(4)
    for _ in range(4):
        connection = admission.admit(lambda: None, "p", 0.0)
        assert connection is not None
        admission.begin_request(connection, Purpose.USER)
    assert admission.admit(lambda: None, "p", 100.0) is None
    assert admission.refused == 1
    admission.end_request(connection, 100.0)
    assert admission.admit(lambda: None, "p", 100.0 + MIN_IDLE_S / 2) is None
    assert admission.admit(lambda: None, "p", 100.0 + MIN_IDLE_S) is not None
    assert connection.closed
    # A request of the evicted connection was under way and is still answered: it is not counted
    # a second time.
    admission.begin_request(connection, Purpose.WORKER)
    admission.end_request(connection, 101.0)
    admission.release(connection)
    assert admission.open_count == 4
    assert admission._open_by_purpose[Purpose.WORKER] == 0


def test_reserved_shares_leave_some_connections_unreserved() -> None:
    assert sum(RESERVED_SHARES.values()) < 1.0


async def echo(request: Request) -> Response:
    return Response(200, request.body or b"{}")


def request_purpose(request: Request) -> Purpose:
    return Purpose.WORKER if request.path == "/report" else Purpose.USER


def test_workers_connect_during_a_flood_and_excess_connections_get_503() -> None:
    async def run() -> None:
        server = HttpServer(echo, 20, purpose_of=request_purpose)
        listening = await server.start("127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        flood = [await asyncio.open_connection("127.0.0.1", port) for _ in range(40)]
        await asyncio.sleep(0.1)
        # The last connections are refused at once, with a Retry-After header.
        refused = await asyncio.wait_for(flood[-1][0].read(), 1.0)
        assert b" 503 " in refused
        assert b"Retry-After: 1\r\n" in refused
        await asyncio.sleep(MIN_IDLE_S)
        workers = [HttpClient("127.0.0.1", port) for _ in range(10)]
        for _ in range(3):
            for client in workers:
                assert (await client.request("POST", "/report", b"{}", 2.0))[0] == 200
            await asyncio.sleep(MIN_IDLE_S)
        for _, writer in flood:
            writer.transport.abort()
        for client in workers:
            client.close()
        listening.close()

    asyncio.run(run())


@pytest.mark.parametrize("sends_slowly", [True, False])
def test_connections_that_send_or_read_too_slowly_are_closed(
    sends_slowly: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections that stay open for ever.

    One kind sends a request byte by byte; the other kind does not read the response.
    """
    monkeypatch.setattr(http, "REQUEST_TIMEOUT_S", 0.6)

    async def large(request: Request) -> Response:
        return Response(200, b"x" * 30_000_000)

    async def run() -> None:
        server = HttpServer(large, 20)
        listening = await server.start("127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        if sends_slowly:
            for byte in b"GET /abcdefghijklmnop":
                writer.write(bytes([byte]))
                await asyncio.sleep(0.05)
        else:
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(1.0)
        await asyncio.sleep(0.1)
        assert server.admission.open_count == 0
        writer.transport.abort()
        listening.close()

    asyncio.run(run())


def test_a_client_returns_the_retry_after_value_of_a_refusal() -> None:
    async def busy(request: Request) -> Response:
        return Response(503, retry_after=7)

    async def run() -> None:
        listening = await HttpServer(busy, 20).start("127.0.0.1", 0)
        client = HttpClient("127.0.0.1", listening.sockets[0].getsockname()[1])
        assert await client.request_with_retry_after("GET", "/", None, 2.0) == (503, b"{}", 7.0)
        client.close()
        listening.close()
        with pytest.raises(NoResponse):
            await client.request_with_retry_after("GET", "/", None, 2.0)

    asyncio.run(run())
