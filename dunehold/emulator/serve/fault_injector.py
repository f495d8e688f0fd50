"""Faults done to a running cluster, and the log from which a run can be played again."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import orjson

from dunehold.emulator import faults
from dunehold.emulator.faults import (
    AnyFault,
    CloudFault,
    CommandDelayFault,
    ConnectionFloodFault,
    ControllerFault,
    MachineFault,
    PartitionFault,
    StateFault,
)
from dunehold.emulator.history import Event
from dunehold.emulator.model.cloud import BootProfile
from dunehold.emulator.model.partitions import PartitionMode
from dunehold.emulator.serve.addresses import Endpoint
from dunehold.emulator.serve.cluster import Cluster


class NoSuchTarget(Exception):
    """The fault names a host that there is not."""


def _now() -> float:
    return asyncio.get_running_loop().time()


@dataclass(slots=True)
class FaultInjector:
    cluster: Cluster
    started_at: float = 0.0
    injected: list[AnyFault] = field(default_factory=list)
    _triggers: list[list[Any]] = field(default_factory=list)  # fault, times left
    _machines_hit: set[str] = field(default_factory=set)  # machines, by events

    def schedule(self, planned: list[AnyFault]) -> None:
        """Those with a time happen then; those ``on`` an event, with it."""
        self.started_at = _now()
        for fault in planned:
            if fault.on:
                self._triggers.append([fault, fault.times])
            else:
                self.cluster.spawn(self._inject_scheduled(fault))
        self.cluster.history.listeners.append(self._on_event)

    async def _inject_scheduled(self, fault: AnyFault) -> None:
        await asyncio.sleep(max(0.0, self.started_at + fault.at_s - _now()))
        while True:
            await self.inject(fault)
            if not fault.every_s or _now() + fault.every_s > self.started_at + fault.until_s:
                return
            await asyncio.sleep(fault.every_s)

    def _on_event(self, event: Event) -> None:
        for rule in self._triggers:
            fault, left = rule
            if left <= 0 or event.kind != fault.on or _now() < self.started_at + fault.at_s:
                continue
            if isinstance(fault, MachineFault) and not (fault.hosts or fault.share):
                host = event.data.get("host", "")
                if host in self._machines_hit:
                    continue  # several events of one moment hit their machine once
                self._machines_hit.add(host)
                fault = msgspec.structs.replace(fault, hosts=[host])
            rule[1] -= 1
            self.cluster.spawn(self.inject(fault))

    async def inject(self, fault: AnyFault) -> list[str]:
        """Do it now; what it was done to. What it does for a while ends by itself."""
        how: dict[type, Callable[[Any], Awaitable[list[str]]]] = {
            MachineFault: self._inject_machine_fault,
            PartitionFault: self._inject_partition,
            StateFault: self._inject_state_fault,
            CloudFault: self._inject_cloud_fault,
            ControllerFault: self._inject_controller_fault,
            CommandDelayFault: self._inject_command_delay,
            ConnectionFloodFault: self._inject_connection_flood,
        }
        targets = await how[type(fault)](fault)
        self._record(fault, targets)
        return targets

    def _record(self, fault: AnyFault, targets: list[str]) -> None:
        at = round(_now() - self.started_at, 3)
        changes: dict[str, Any] = {"at_s": at, "on": "", "every_s": 0.0}
        if isinstance(fault, MachineFault | CommandDelayFault):
            changes["hosts"] = targets
        elif isinstance(fault, ControllerFault | ConnectionFloodFault):
            changes["node"] = targets[0] if len(targets) == 1 else "all"
        concrete = msgspec.structs.replace(fault, **changes)
        self.injected.append(concrete)
        row = msgspec.to_builtins(concrete)
        self.cluster.history.add("fault", what=row["kind"], targets=targets, fault=row)
        with (self.cluster.directory / "faults.jsonl").open("ab") as log:
            log.write(orjson.dumps(row) + b"\n")

    def _undo_after(self, seconds: float, undo: Callable[[], Awaitable[Any]]) -> None:
        async def wait() -> None:
            await asyncio.sleep(seconds)
            await undo()

        if seconds:
            self.cluster.spawn(wait())

    # -- machines ------------------------------------------------------------------------

    async def _inject_machine_fault(self, fault: MachineFault) -> list[str]:
        cloud = self.cluster.cloud
        known = [
            faults.FaultCandidate(name, agent.worker.machine.zone, agent.worker.machine.spot)
            for name, agent in sorted(cloud.workers.items())
        ]
        names = faults.choose_machines(fault, known, self.cluster.rng)
        for name in names:
            if fault.do == "kill":
                cloud.cloud.fail_host(name, _now())
            elif fault.do == "take":
                cloud.cloud.reclaim_host(name, _now(), fault.silent)
            else:
                with cloud.workers[name].modify() as worker:
                    self._apply_to_worker(worker, fault)
        cloud.process_events()
        return names

    @staticmethod
    def _apply_to_worker(worker: Any, fault: MachineFault) -> None:
        if fault.do == "hang":
            worker.hang(_now(), fault.for_s or 10.0)
        elif fault.do == "slow":
            worker.set_speed(_now(), fault.speed)
        else:
            worker.faulty = fault.do == "sick"

    async def _inject_command_delay(self, fault: CommandDelayFault) -> list[str]:
        names = [name for name in fault.hosts if name in self.cluster.machine_servers]
        for name in names or sorted(self.cluster.machine_servers)[: fault.count]:
            self.cluster.machine_servers[name].delays.add("/orders", fault.delay_s, fault.count)
        return names

    # -- the rest ------------------------------------------------------------------------

    async def _inject_partition(self, fault: PartitionFault) -> list[str]:
        passages = self.cluster.gate
        passages.begin(fault.a, fault.b, PartitionMode(fault.mode))
        row = {"do": "cut", "a": fault.a, "b": fault.b, "mode": fault.mode}
        await self.cluster.control_state_service(row)

        async def join() -> None:
            passages.end(fault.a, fault.b)
            await self.cluster.control_state_service({**row, "do": "join"})

        self._undo_after(fault.for_s, join)
        return [fault.a, fault.b]

    async def _inject_state_fault(self, fault: StateFault) -> list[str]:
        tell, child = self.cluster.control_state_service, self.cluster.state
        child.restart_after_s = fault.back_s
        if fault.do == "kill":
            child.kill()
        elif fault.do == "kill_after_write":
            await tell({"do": "die_after_write"})
        elif fault.do == "delay":
            row = {"do": "delay", "path": fault.path, "seconds": fault.for_s}
            await tell({**row, "count": fault.count})
        elif fault.do == "lag":
            await tell({"do": "lag", "seconds": fault.lag_ms / 1000})
            self._undo_after(fault.for_s, lambda: tell({"do": "lag", "seconds": 0.0}))
        else:
            await tell({"do": fault.do, "node": fault.node})
            over = {"do": f"{fault.do}_over", "node": fault.node}
            self._undo_after(fault.for_s, lambda: tell(over))
        return ["state"]

    async def _inject_cloud_fault(self, fault: CloudFault) -> list[str]:
        cloud = self.cluster.cloud.cloud
        if fault.do == "outage":
            cloud.down = True
        elif fault.do == "delay":
            self.cluster.cloud_server.delays.add(fault.path, fault.for_s, fault.count)
            return ["cloud"]
        elif fault.do == "boots":
            before, cloud.boot_profile = cloud.boot_profile, BootProfile(fault.dead, fault.late)
        else:
            for kind in cloud.capacity:
                cloud.capacity[kind] = int(cloud.capacity[kind] * fault.factor)

        async def over() -> None:
            cloud.down = False
            if fault.do == "boots":
                cloud.boot_profile = before

        self._undo_after(fault.for_s, over)
        return ["cloud"]

    async def _inject_connection_flood(self, fault: ConnectionFloodFault) -> list[str]:
        names = self._select_controllers(fault.node)
        for name in names:
            place = self.cluster.addresses.node(self.cluster.addresses.nodes.index(name))
            for _ in range(fault.connections):
                self.cluster.spawn(self._hold_connection(place, _now() + (fault.for_s or 30.0)))
        return names

    async def _hold_connection(self, endpoint: Endpoint, until: float) -> None:
        """One connection that is opened again whenever the other side closes it."""
        while _now() < until:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
                try:
                    async with asyncio.timeout_at(until):
                        await reader.read()
                finally:
                    writer.transport.abort()
            await asyncio.sleep(1.0)

    def _select_controllers(self, node: str) -> list[str]:
        """Controllers by name, or ``leader``, ``any``, ``all``."""
        names = list(self.cluster.controllers)
        if node == "all":
            return names
        if node == "leader":
            return [self.cluster.leader() or names[0]]
        if node == "any":
            return [names[int(self.cluster.rng.integers(len(names)))]]
        if node not in names:
            raise NoSuchTarget(f"no controller is called {node}")
        return [node]

    async def _inject_controller_fault(self, fault: ControllerFault) -> list[str]:
        children = self.cluster.controllers
        names = self._select_controllers(fault.node)
        for n, name in enumerate(names):
            if n and fault.gap_s:
                await asyncio.sleep(fault.gap_s)
            if fault.do == "kill":
                children[name].restart_after_s = fault.back_s
                children[name].kill()
            else:
                self.cluster.spawn(children[name].stall(fault.for_s or 5.0))
        return names


def read_fault_log(path: Path) -> list[AnyFault]:
    """The faults of an earlier run, each with its time and targets."""
    return [faults.decode(line) for line in path.read_bytes().splitlines() if line]
