"""Connections are shared by purpose: who holds many idle ones keeps nobody out."""

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
def test_no_purpose_is_kept_from_its_share(seed: int) -> None:
    """Random arrivals, requests and ends; after each step the sums hold."""
    rng = random.Random(seed)
    box, now = Admission(50), 0.0
    lines: list[AdmittedConnection] = []
    closed: set[int] = set()
    for number in range(4000):
        now += rng.expovariate(3.0)
        lines = [line for line in lines if not line.closed]
        idle = [line for line in lines if any(line in kind for kind in box._idle.values())]
        busy = [line for line in lines if line not in idle]
        move = rng.random()
        if move < 0.5:
            line = box.admit(lambda number=number: closed.add(number), "p", now)
            if line is not None:
                lines.append(line)
        elif move < 0.75 and idle:
            line = rng.choice(idle)
            known = line.purpose is not Purpose.NEW
            box.begin_request(line, line.purpose if known else rng.choice(list(Purpose)[1:]))
        elif move < 0.95 and busy:
            box.end_request(rng.choice(busy), now)
        elif lines:
            box.release(rng.choice(lines))
        live = [line for line in lines if not line.closed]
        assert box.open_count == len(live) <= 50
        for purpose in Purpose:
            assert box._open_by_purpose[purpose] == sum(
                line.purpose is purpose for line in live
            )
    assert len(closed) == box.evicted > 0


def test_a_flood_of_idle_connections_takes_nothing_from_workers() -> None:
    box, now = Admission(100), 0.0
    workers = [box.admit(lambda: None, "w", now) for _ in range(60)]
    for line in workers:
        assert line is not None
        box.begin_request(line, Purpose.WORKER)
        box.end_request(line, now)
    for step in range(1000):
        now = 1.0 + step * 0.1
        box.admit(lambda: None, "flood", now)
    assert all(line is not None and not line.closed for line in workers)
    now += MIN_IDLE_S
    assert box.admit(lambda: None, "w", now) is not None


def test_what_is_served_and_what_is_young_is_not_closed() -> None:
    box = Admission(4)
    for _ in range(4):
        line = box.admit(lambda: None, "p", 0.0)
        assert line is not None
        box.begin_request(line, Purpose.USER)
    assert box.admit(lambda: None, "p", 100.0) is None
    assert box.refused == 1
    box.end_request(line, 100.0)
    assert box.admit(lambda: None, "p", 100.0 + MIN_IDLE_S / 2) is None
    assert box.admit(lambda: None, "p", 100.0 + MIN_IDLE_S) is not None
    assert line.closed
    # A request of it was on its way, and is answered after all: nothing is counted twice.
    box.begin_request(line, Purpose.WORKER)
    box.end_request(line, 101.0)
    box.release(line)
    assert box.open_count == 4
    assert box._open_by_purpose[Purpose.WORKER] == 0


def test_shares_leave_something_free() -> None:
    assert sum(RESERVED_SHARES.values()) < 1.0


async def echo(request: Request) -> Response:
    return Response(200, request.body or b"{}")


def request_purpose(request: Request) -> Purpose:
    return Purpose.WORKER if request.path == "/report" else Purpose.USER


def test_workers_get_through_a_flood_and_the_rest_is_refused_at_once() -> None:
    async def play() -> None:
        server = HttpServer(echo, 20, purpose_of=request_purpose)
        listening = await server.start("127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        flood = [await asyncio.open_connection("127.0.0.1", port) for _ in range(40)]
        await asyncio.sleep(0.1)
        # The last of them were told so at once, with a time to come back.
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

    asyncio.run(play())


@pytest.mark.parametrize("dribbles", [True, False])
def test_who_dribbles_or_does_not_read_is_let_go(
    dribbles: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each byte, and each answer that nobody took, kept a connection for ever."""
    monkeypatch.setattr(http, "REQUEST_TIMEOUT_S", 0.6)

    async def large(request: Request) -> Response:
        return Response(200, b"x" * 30_000_000)

    async def play() -> None:
        server = HttpServer(large, 20)
        listening = await server.start("127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        if dribbles:
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

    asyncio.run(play())


def test_a_client_hears_what_a_refusal_says_of_a_retry() -> None:
    async def busy(request: Request) -> Response:
        return Response(503, retry_after=7)

    async def play() -> None:
        listening = await HttpServer(busy, 20).start("127.0.0.1", 0)
        client = HttpClient("127.0.0.1", listening.sockets[0].getsockname()[1])
        assert await client.request_with_retry_after("GET", "/", None, 2.0) == (503, b"{}", 7.0)
        client.close()
        listening.close()
        with pytest.raises(NoResponse):
            await client.request_with_retry_after("GET", "/", None, 2.0)

    asyncio.run(play())
