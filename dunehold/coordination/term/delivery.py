"""Direct calls to workers: commands that can't wait for a report, and probes."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from dunehold.bookkeeping.hosts import Host
from dunehold.bookkeeping.ledger import Ledger
from dunehold.protocol import workers
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.workers import Report
from dunehold.settings import Settings
from dunehold.transport.http import Client, Connect, NoResponse
from dunehold.types import AttemptId, HostId, Token

log = logging.getLogger(__name__)

TIMEOUT_S = 2.0
SEND_DELAY_S = 0.02
PROBE_INTERVAL_S = 1.5
MAX_CONCURRENT_CALLS = 64
MAX_CONCURRENT_PROBES = 16  # a whole fleet asked at once would hold up everything else


@dataclass(slots=True)
class Delivery:
    settings: Settings
    ledger: Ledger
    token: Token
    connect: Connect
    may_start: Callable[[], bool]
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    on_answer: Callable[[Host, Report, list[AttemptId]], None]
    max_connections: int  # sockets that kept-open connections to workers may take
    _clients: OrderedDict[HostId, Client] = field(default_factory=OrderedDict)
    _sending: set[HostId] = field(default_factory=set)
    _calls: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    )

    def send_urgent(self, host_id: HostId) -> None:
        """Send what can't wait for the next report, one call at a time a machine."""
        if self.settings.operator.direct_commands and host_id not in self._sending:
            self._sending.add(host_id)
            self.spawn(self._send_urgent(host_id))

    async def _send_urgent(self, host_id: HostId) -> None:
        try:
            # Commands that the report being answered takes along need no call of their own.
            await asyncio.sleep(SEND_DELAY_S)
            for _ in range(3):
                host = self.ledger.hosts.get(host_id)
                if host is None or not self.ledger.has_urgent_commands(host):
                    return
                async with self._calls:
                    if not host.session_known or not host.address or not self.may_start():
                        return
                    if not await self._call(host):
                        return
        finally:
            self._sending.discard(host_id)

    async def _call(self, host: Host) -> bool:
        commands = self.ledger.commands(host, direct=True, starts=True)
        if not commands:
            return False
        starts = [c.id for c in commands if isinstance(c, workers.Start)]
        try:
            done, report = await workers.send_commands(
                self._client(host), self.token, host.session, commands, TIMEOUT_S
            )
        except (NoResponse, BadMessage) as error:
            # They may be carried out minutes late, so they stay on the books.
            log.info("host %s: no answer to %d commands: %s", host.id, len(commands), error)
            self.drop(host.id)
            return False
        self.on_answer(host, report, starts)
        return done

    async def probe_all(self) -> None:
        """Tell machines of the new token and hear what they have, a few at a time.

        Their workers come by themselves once they have found the leader; this finds those
        first that still report elsewhere.
        """
        slots = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

        async def one(host: Host) -> None:
            async with slots:
                if host.address and not host.session_known and not host.fenced:
                    await self._probe(host)

        while hosts := self.ledger.unreconciled_hosts():
            async with asyncio.TaskGroup() as group:
                for host in hosts:
                    group.create_task(one(host))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, host: Host) -> None:
        try:
            client = self._client(host)
            status = await workers.get_status(client, TIMEOUT_S)
            if status.host != host.id:
                return
            _, report = await workers.send_commands(
                client, self.token, status.session, [], TIMEOUT_S
            )
            self.on_answer(host, report, [])
        except (NoResponse, BadMessage) as error:
            log.debug("probe of %s: %s", host.id, error)
            self.drop(host.id)

    def _client(self, host: Host) -> Client:
        client = self._clients.get(host.id)
        if client is None:
            name, _, port = host.address.rpartition(":")
            if not port.isdigit():
                raise BadMessage(f"address {host.address!r}")
            self._evict_connections()
            client = self._clients[host.id] = self.connect(name, int(port), 1)
        self._clients.move_to_end(host.id)
        return client

    def _evict_connections(self) -> None:
        """A large fleet must not take the sockets of users and reporting workers."""
        for host_id in list(self._clients):
            if len(self._clients) < self.max_connections:
                return
            if host_id not in self._sending:
                self.drop(host_id)

    def drop(self, host: HostId) -> None:
        client = self._clients.pop(host, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        for host in list(self._clients):
            self.drop(host)
