"""Runs the emulated state service in its own process, which can be killed and restarted.

``python -m dunehold.emulator.serve.state SETTINGS.json``. Through the control interface, the
emulator begins and ends partitions, outages, refusals, lag and delays, and makes the process
die between a write and its answer.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import orjson

from dunehold.emulator.agents.external_services import StateAgent
from dunehold.emulator.agents.network_gate import NetworkGate
from dunehold.emulator.disk_storage import DiskStorage
from dunehold.emulator.model.base import Malformed, Reply, bad_request, decode_body, reply
from dunehold.emulator.model.copies import CopyRule, RequestCopies
from dunehold.emulator.model.partitions import PartitionMode
from dunehold.emulator.model.store import Limits, Row, Store
from dunehold.emulator.serve.addresses import STATE, AddressPlan
from dunehold.emulator.serve.processes import raise_file_limit
from dunehold.emulator.serve.sockets import HostServer, PortTaken, create_host_server
from dunehold.transport.http import HttpServer, Request, Response


class StateSettings(msgspec.Struct, frozen=True):
    """The settings file of this process."""

    net: int  # second octet of all addresses
    nodes: list[str]  # names of the controllers by index
    labels: dict[str, list[str]]  # controller -> its zone and groups, which partitions can name
    directory: str  # of the data
    map_mb: int  # space on disk in MiB
    rps: float | None  # requests a second; None means no limit
    write_rps: float | None  # changed keys a second; None means no limit
    value_bytes: int  # largest size of a value
    txn_ops: int  # most changed keys in one transaction


@dataclass(slots=True)
class CrashingStorage:
    """Kills the process, if asked to, when a commit is on disk and before it is answered."""

    inner: DiskStorage
    # How many commits of keys are left, the one that kills the process included; 0 means that
    # none does.
    commits_until_crash: int = 0

    def commit(
        self, revision: int, rows: dict[str, Row | None], leases: dict[int, int | None]
    ) -> None:
        """Commits; raises NoSpace."""
        self.inner.commit(revision, rows, leases)
        if self.commits_until_crash and rows:
            self.commits_until_crash -= 1
            if not self.commits_until_crash:
                os.kill(os.getpid(), signal.SIGKILL)


@dataclass(slots=True)
class StateProcess:
    """The state service with its server, its storage and its control interface."""

    settings: StateSettings
    gate: NetworkGate = field(default_factory=NetworkGate)
    copies: RequestCopies = field(default_factory=lambda: RequestCopies(random.Random(0)))
    lag_s: float = 0.0  # delay of each request
    storage: CrashingStorage = field(init=False)
    agent: StateAgent = field(init=False)
    server: HostServer = field(init=False)

    def __post_init__(self) -> None:
        settings = self.settings
        disk = DiskStorage(Path(settings.directory), settings.map_mb << 20)
        self.storage = CrashingStorage(disk)
        limits = Limits(
            settings.rps, settings.write_rps, settings.value_bytes, settings.txn_ops
        )
        store = Store(limits, self.storage)
        self.agent = StateAgent(store)
        labels = {name: tuple(groups) for name, groups in settings.labels.items()}
        self.gate.partitions.groups.update(labels)

    async def run(self) -> None:
        """Restores the data and serves until the process ends; raises PortTaken."""
        addresses = AddressPlan(self.settings.net, tuple(self.settings.nodes))
        self.storage.inner.restore(self.agent.store, asyncio.get_running_loop().time())
        self.server = create_host_server(STATE, self._handle, addresses, self.gate, self.copies)
        await self.server.open(addresses.state)
        control = HttpServer(self._handle_control, 64)
        await control.start(addresses.state_control.host, addresses.state_control.port)
        await self.agent.run()

    async def _handle(self, method: str, target: str, body: bytes | None, source: str) -> Reply:
        if self.lag_s:
            await asyncio.sleep(self.lag_s)
        return await self.agent.handle(method, target, body, source)

    async def _handle_control(self, request: Request) -> Response:
        if request.method == "GET":
            return Response(200, orjson.dumps(self.status()))
        try:
            answer = self._run_command(decode_body(request.body))
        except (Malformed, KeyError, ValueError, TypeError) as error:
            answer = bad_request(f"{type(error).__name__}: {error}")
        return Response(answer.status, answer.body)

    def status(self) -> dict[str, Any]:
        """Returns the answer to ``GET`` on the control interface."""
        store = self.agent.store
        return {
            "pid": os.getpid(),
            "revision": store.revision,
            "keys": len(store.rows),
            "served": self.agent.requests_served,
            "commits": self.storage.inner.commits,
            "refusals": store.refusals,
        }

    def _run_command(self, row: dict[str, Any]) -> Reply:
        """Carries out a command of the emulator; raises Malformed if it is unknown."""
        store, now = self.agent.store, asyncio.get_running_loop().time()
        match row["do"]:
            case "cut":
                self.gate.begin(row["a"], row["b"], PartitionMode(row["mode"]))
            case "join":
                self.gate.end(row["a"], row["b"])
            case "outage":
                store.begin_outage()
            case "outage_over":
                store.end_outage(now)
            case "refuse":
                store.refused_sources.add(row["node"])
            case "refuse_over":
                store.refused_sources.discard(row["node"])
            case "lag":
                self.lag_s = float(row["seconds"])
            case "delay":
                self.server.delays.add(row["path"], float(row["seconds"]), int(row["count"]))
            case "copy":
                self.copies.rules.append(CopyRule(*row["rule"]))
            case "copy_over":
                self.copies.rules.remove(CopyRule(*row["rule"]))
            case "die_after_write":
                self.storage.commits_until_crash = 1
            case other:
                raise Malformed(f"unknown command {other}")
        self.agent.wake_watches()
        return reply(200, {})


def main(arguments: list[str]) -> int:
    """Runs the state service with the settings file in ``arguments``; returns the exit code."""
    settings = msgspec.json.decode(Path(arguments[0]).read_bytes(), type=StateSettings)
    raise_file_limit()
    try:
        asyncio.run(StateProcess(settings).run())
    except PortTaken as error:
        print(f"dunehold: state service: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        pass
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
