"""Requests of the command line: each command runs one event loop, which it leaves clean."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from dunehold.transport.http import HttpClient

Result = TypeVar("Result")


def run_request(
    address: tuple[str, int], request: Callable[[HttpClient], Awaitable[Result]]
) -> Result:
    """Runs ``request`` with a client for ``address`` on a new event loop; returns its result.

    The client's connections are closed before the loop ends, also after an error or an
    interrupt. Raises whatever ``request`` raises.
    """

    async def run() -> Result:
        client = HttpClient(*address, max_connections=1)
        try:
            return await request(client)
        finally:
            await client.close_and_wait()

    return asyncio.run(run())
