"""Injects faults into a running cluster and logs them, so that a run can be replayed."""

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
    RequestCopyFault,
    StateFault,
)
from dunehold.emulator.history import Event
from dunehold.emulator.model.cloud import BootProfile
from dunehold.emulator.model.copies import CopyRule
from dunehold.emulator.model.partitions import PartitionMode
from dunehold.emulator.serve.addresses import Endpoint
from dunehold.emulator.serve.cluster import Cluster


class NoSuchTarget(Exception):
    """Raised when a fault names a controller that does not exist."""


def _now() -> float:
    return asyncio.get_running_loop().time()


@dataclass(slots=True)
class FaultInjector:
    """Injects scheduled faults, faults triggered by events, and faults on request.

    Each injected fault is appended to ``faults.jsonl`` in the cluster's directory, with its
    time and targets, and to the history.
    """

    cluster: Cluster
    started_at: float = 0.0  # loop time from which the faults' ``at_s`` count
    injected: list[AnyFault] = field(default_factory=list)  # each with its time and targets
    # Faults triggered by events, each as [fault, number of times that it may still happen].
    _triggers: list[list[Any]] = field(default_factory=list)
    _machines_hit: set[str] = field(default_factory=set)  # by faults triggered by their events

    def schedule(self, planned: list[AnyFault]) -> None:
        """Schedules faults: those with ``on`` at such events, the others by time from now."""
        self.started_at = _now()
        for fault in planned:
            if fault.on:
                self._triggers.append([fault, fault.times])
            else:
                self.cluster.spawn(self._inject_scheduled(fault))
        self.cluster.history.listeners.append(self._on_event)

    async def _inject_scheduled(self, fault: AnyFault) -> None:
        """Injects a fault at its time, and again every ``every_s`` until ``until_s``."""
        await asyncio.sleep(max(0.0, self.started_at + fault.at_s - _now()))
        while True:
            await self.inject(fault)
            if not fault.every_s or _now() + fault.every_s > self.started_at + fault.until_s:
                return
            await asyncio.sleep(fault.every_s)

    def _on_event(self, event: Event) -> None:
        """Injects the faults that are triggered by this kind of event.

        A machine fault without hosts or a share hits the event's own machine.
        """
        for trigger in self._triggers:
            fault, times_left = trigger
            if (
                times_left <= 0
                or event.kind != fault.on
                or _now() < self.started_at + fault.at_s
            ):
                continue
            if isinstance(fault, MachineFault) and not (fault.hosts or fault.share):
                host = event.data.get("host", "")
                if host in self._machines_hit:
                    # One machine can have several events at the same moment. Its fault has to
                    # happen only once.
                    continue
                self._machines_hit.add(host)
                fault = msgspec.structs.replace(fault, hosts=[host])
            trigger[1] -= 1
            self.cluster.spawn(self.inject(fault))

    async def inject(self, fault: AnyFault) -> list[str]:
        """Injects a fault at once and returns its targets.

        A fault with a duration is undone when that is over. Raises NoSuchTarget.
        """
        handlers: dict[type, Callable[[Any], Awaitable[list[str]]]] = {
            MachineFault: self._inject_machine_fault,
            PartitionFault: self._inject_partition,
            StateFault: self._inject_state_fault,
            CloudFault: self._inject_cloud_fault,
            ControllerFault: self._inject_controller_fault,
            CommandDelayFault: self._inject_command_delay,
            RequestCopyFault: self._inject_request_copies,
            ConnectionFloodFault: self._inject_connection_flood,
        }
        targets = await handlers[type(fault)](fault)
        self._record(fault, targets)
        return targets

    def _record(self, fault: AnyFault, targets: list[str]) -> None:
        """Logs a fault with its actual time and targets instead of its schedule."""
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
        """Calls ``undo`` after so many seconds; 0 means that the fault is permanent."""

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

    async def _inject_request_copies(self, fault: RequestCopyFault) -> list[str]:
        rule = CopyRule(fault.path, fault.share, fault.min_s, fault.max_s)
        self.cluster.copies.rules.append(rule)
        await self.cluster.control_state_service({"do": "copy", "rule": list(rule)})

        async def end_copies() -> None:
            self.cluster.copies.rules.remove(rule)
            await self.cluster.control_state_service({"do": "copy_over", "rule": list(rule)})

        self._undo_after(fault.for_s, end_copies)
        return [fault.path]

    # -- network, state service, cloud, controllers --------------------------------------

    async def _inject_partition(self, fault: PartitionFault) -> list[str]:
        network_gate = self.cluster.gate
        network_gate.begin(fault.a, fault.b, PartitionMode(fault.mode))
        row = {"do": "cut", "a": fault.a, "b": fault.b, "mode": fault.mode}
        await self.cluster.control_state_service(row)

        async def end_partition() -> None:
            network_gate.end(fault.a, fault.b)
            await self.cluster.control_state_service({**row, "do": "join"})

        self._undo_after(fault.for_s, end_partition)
        return [fault.a, fault.b]

    async def _inject_state_fault(self, fault: StateFault) -> list[str]:
        send_command, process = self.cluster.control_state_service, self.cluster.state
        process.restart_after_s = fault.back_s
        if fault.do == "kill":
            process.kill()
        elif fault.do == "kill_after_write":
            await send_command({"do": "die_after_write"})
        elif fault.do == "delay":
            row = {"do": "delay", "path": fault.path, "seconds": fault.for_s}
            await send_command({**row, "count": fault.count})
        elif fault.do == "lag":
            await send_command({"do": "lag", "seconds": fault.lag_ms / 1000})
            self._undo_after(fault.for_s, lambda: send_command({"do": "lag", "seconds": 0.0}))
        else:
            await send_command({"do": fault.do, "node": fault.node})
            end_command = {"do": f"{fault.do}_over", "node": fault.node}
            self._undo_after(fault.for_s, lambda: send_command(end_command))
        return ["state"]

    async def _inject_cloud_fault(self, fault: CloudFault) -> list[str]:
        cloud = self.cluster.cloud.cloud
        if fault.do == "outage":
            cloud.down = True
        elif fault.do == "delay":
            self.cluster.cloud_server.delays.add(fault.path, fault.for_s, fault.count)
            return ["cloud"]
        elif fault.do == "boots":
            previous_profile, cloud.boot_profile = (
                cloud.boot_profile,
                BootProfile(fault.dead, fault.late),
            )
        else:
            for kind in cloud.capacity:
                cloud.capacity[kind] = int(cloud.capacity[kind] * fault.factor)

        async def end_fault() -> None:
            cloud.down = False
            if fault.do == "boots":
                cloud.boot_profile = previous_profile

        self._undo_after(fault.for_s, end_fault)
        return ["cloud"]

    async def _inject_connection_flood(self, fault: ConnectionFloodFault) -> list[str]:
        names = self._select_controllers(fault.node)
        for name in names:
            endpoint = self.cluster.addresses.node(self.cluster.addresses.nodes.index(name))
            for _ in range(fault.connections):
                self.cluster.spawn(
                    self._hold_connection(endpoint, _now() + (fault.for_s or 30.0))
                )
        return names

    async def _hold_connection(self, endpoint: Endpoint, until: float) -> None:
        """Holds an idle connection until ``until``; opens it again 1 s after it is closed."""
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
        """Returns the controllers that ``node`` means: a name, ``leader``, ``any`` or ``all``.

        ``leader`` means the first controller while no leader is known. Raises NoSuchTarget.
        """
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
        processes = self.cluster.controllers
        names = self._select_controllers(fault.node)
        for n, name in enumerate(names):
            if n and fault.gap_s:
                await asyncio.sleep(fault.gap_s)
            if fault.do == "kill":
                processes[name].restart_after_s = fault.back_s
                processes[name].kill()
            else:
                self.cluster.spawn(processes[name].stall(fault.for_s or 5.0))
        return names


def read_fault_log(path: Path) -> list[AnyFault]:
    """Reads the faults of an earlier run, each with its time and targets."""
    return [faults.decode(line) for line in path.read_bytes().splitlines() if line]
