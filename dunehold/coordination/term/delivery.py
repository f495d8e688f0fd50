"""Direct calls to workers: urgent commands, and probes after a takeover.

Usually a worker gets its commands in the response to its next report. A direct call delivers
those that must not wait that long.
"""

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
from dunehold.types import AttemptId, HostId

log = logging.getLogger(__name__)

# Time within which a worker must answer a direct call.
TIMEOUT_S = 2.0
# Delay of urgent commands, in which the response to a report may deliver them.
SEND_DELAY_S = 0.02
# Pause between two rounds of probes.
PROBE_INTERVAL_S = 1.5
# Maximum number of calls with commands at a time.
MAX_CONCURRENT_CALLS = 64
# Maximum number of probes at a time. Probing a whole fleet at once would delay everything else.
MAX_CONCURRENT_PROBES = 16


@dataclass(slots=True)
class Delivery:
    """Sends commands and probes to workers over kept-open connections."""

    settings: Settings
    ledger: Ledger
    connect: Connect
    # Whether the leader lease is known to hold. No command is sent without it.
    may_start: Callable[[], bool]
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    # Handles a worker's report in its answer to a call, and the starts that the call contained.
    on_answer: Callable[[Host, Report, list[AttemptId]], None]
    # Maximum number of kept-open connections. Only those with a send in progress may exceed it.
    max_connections: int
    # Least recently used first.
    _clients: OrderedDict[HostId, Client] = field(default_factory=OrderedDict)
    # Machines to which commands are being sent.
    _sending: set[HostId] = field(default_factory=set)
    _calls: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    )

    def send_urgent(self, host_id: HostId) -> None:
        """Sends commands that cannot wait for the next report, one call at a time per machine.

        Does nothing if direct commands are switched off in the operators' settings.
        """
        if self.settings.operator.direct_commands and host_id not in self._sending:
            self._sending.add(host_id)
            self.spawn(self._send_urgent(host_id))

    async def _send_urgent(self, host_id: HostId) -> None:
        try:
            # Commands that the response to a report delivers meanwhile need no call.
            await asyncio.sleep(SEND_DELAY_S)
            # Commands may have become due during a call, so up to three calls are made.
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
        """Sends the commands that are due; returns whether the worker carried them out."""
        commands = self.ledger.commands(host, direct=True, starts=True)
        if not commands:
            return False
        starts = [c.id for c in commands if isinstance(c, workers.Start)]
        log.debug(
            "host %s: direct call with %d commands, %d of them starts, token %d, session %d",
            host.id,
            len(commands),
            len(starts),
            host.token,
            host.session,
        )
        host.call_in_progress = True
        try:
            done, report = await workers.send_commands(
                self._client(host), host.token, host.session, commands, TIMEOUT_S
            )
        except (NoResponse, BadMessage) as error:
            # The commands may still be carried out minutes later, so the ledger keeps them.
            log.info(
                "host %s: no valid answer to a direct call with %d commands: %s; "
                "closing the connection",
                host.id,
                len(commands),
                error,
            )
            self.drop(host.id)
            return False
        finally:
            host.call_in_progress = False
        self.on_answer(host, report, starts)
        return done

    async def probe_all(self) -> None:
        """Tells workers the new token and asks what runs on them, a few machines at a time.

        Repeats until every machine on record has answered, is fenced or is deleted. Workers
        also report by themselves once they have found the leader. The probes reach earlier
        those that still report to another node.
        """
        slots = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

        async def probe_unreconciled(host: Host) -> None:
            async with slots:
                if host.address and not host.session_known and not host.fenced:
                    await self._probe(host)

        while hosts := self.ledger.unreconciled_hosts():
            async with asyncio.TaskGroup() as group:
                for host in hosts:
                    group.create_task(probe_unreconciled(host))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, host: Host) -> None:
        try:
            client = self._client(host)
            status = await workers.get_status(client, TIMEOUT_S)
            if status.host != host.id:
                return
            _, report = await workers.send_commands(
                client, host.token, status.session, [], TIMEOUT_S
            )
            self.on_answer(host, report, [])
        except (NoResponse, BadMessage) as error:
            log.debug("probe of host %s failed: %s; closing the connection", host.id, error)
            self.drop(host.id)

    def _client(self, host: Host) -> Client:
        client = self._clients.get(host.id)
        if client is None:
            name, _, port = host.address.rpartition(":")
            if not port.isdigit():
                raise BadMessage(f"worker address must be HOST:PORT, got {host.address!r}")
            self._evict_connections()
            client = self._clients[host.id] = self.connect(name, int(port), 1)
        self._clients.move_to_end(host.id)
        return client

    def _evict_connections(self) -> None:
        """Closes least recently used connections until there is room for one more.

        Without a limit, the connections to a large fleet would take the sockets that users and
        reporting workers need. Machines to which commands are being sent keep their connection.
        """
        for host_id in list(self._clients):
            if len(self._clients) < self.max_connections:
                return
            if host_id not in self._sending:
                self.drop(host_id)

    def drop(self, host: HostId) -> None:
        """Closes the connection to a machine, if there is one."""
        client = self._clients.pop(host, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Closes all connections."""
        for host in list(self._clients):
            self.drop(host)
