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
    Clouds,
    Controllers,
    Cut,
    Flood,
    Machines,
    Orders,
    State,
)
from dunehold.emulator.history import Event
from dunehold.emulator.model.cloud import Boots
from dunehold.emulator.model.cuts import Mode
from dunehold.emulator.serve.cluster import Cluster
from dunehold.emulator.serve.places import Place


class NoSuchTarget(Exception):
    """The fault names a host that there is not."""


def _now() -> float:
    return asyncio.get_running_loop().time()


@dataclass(slots=True)
class Acts:
    cluster: Cluster
    began: float = 0.0
    done: list[AnyFault] = field(default_factory=list)
    _rules: list[list[Any]] = field(default_factory=list)  # fault, times left
    _hit: set[str] = field(default_factory=set)  # machines, by events

    def schedule(self, planned: list[AnyFault]) -> None:
        """Those with a time happen then; those ``on`` an event, with it."""
        self.began = _now()
        for fault in planned:
            if fault.on:
                self._rules.append([fault, fault.times])
            else:
                self.cluster.spawn(self._at(fault))
        self.cluster.history.listeners.append(self._seen)

    async def _at(self, fault: AnyFault) -> None:
        await asyncio.sleep(max(0.0, self.began + fault.at_s - _now()))
        while True:
            await self.act(fault)
            if not fault.every_s or _now() + fault.every_s > self.began + fault.until_s:
                return
            await asyncio.sleep(fault.every_s)

    def _seen(self, event: Event) -> None:
        for rule in self._rules:
            fault, left = rule
            if left <= 0 or event.kind != fault.on or _now() < self.began + fault.at_s:
                continue
            if isinstance(fault, Machines) and not (fault.hosts or fault.share):
                host = event.data.get("host", "")
                if host in self._hit:
                    continue  # several events of one moment hit their machine once
                self._hit.add(host)
                fault = msgspec.structs.replace(fault, hosts=[host])
            rule[1] -= 1
            self.cluster.spawn(self.act(fault))

    async def act(self, fault: AnyFault) -> list[str]:
        """Do it now; what it was done to. What it does for a while ends by itself."""
        how: dict[type, Callable[[Any], Awaitable[list[str]]]] = {
            Machines: self._machines,
            Cut: self._cut,
            State: self._state,
            Clouds: self._clouds,
            Controllers: self._controllers,
            Orders: self._orders,
            Flood: self._flood,
        }
        targets = await how[type(fault)](fault)
        self._note(fault, targets)
        return targets

    def _note(self, fault: AnyFault, targets: list[str]) -> None:
        at = round(_now() - self.began, 3)
        changes: dict[str, Any] = {"at_s": at, "on": "", "every_s": 0.0}
        if isinstance(fault, Machines | Orders):
            changes["hosts"] = targets
        elif isinstance(fault, Controllers | Flood):
            changes["node"] = targets[0] if len(targets) == 1 else "all"
        concrete = msgspec.structs.replace(fault, **changes)
        self.done.append(concrete)
        row = msgspec.to_builtins(concrete)
        self.cluster.history.add("fault", what=row["kind"], targets=targets, fault=row)
        with (self.cluster.directory / "faults.jsonl").open("ab") as log:
            log.write(orjson.dumps(row) + b"\n")

    def _later(self, seconds: float, undo: Callable[[], Awaitable[Any]]) -> None:
        async def wait() -> None:
            await asyncio.sleep(seconds)
            await undo()

        if seconds:
            self.cluster.spawn(wait())

    # -- machines ------------------------------------------------------------------------

    async def _machines(self, fault: Machines) -> list[str]:
        cloud = self.cluster.cloud
        known = [
            faults.Known(name, agent.worker.machine.hall, agent.worker.machine.loaner)
            for name, agent in sorted(cloud.workers.items())
        ]
        names = faults.choose(fault, known, self.cluster.rng)
        for name in names:
            if fault.do == "kill":
                cloud.cloud.fail(name, _now())
            elif fault.do == "take":
                cloud.cloud.take_back(name, _now(), fault.silent)
            else:
                with cloud.workers[name].touched() as worker:
                    self._touch(worker, fault)
        cloud.after()
        return names

    @staticmethod
    def _touch(worker: Any, fault: Machines) -> None:
        if fault.do == "hang":
            worker.hang(_now(), fault.for_s or 10.0)
        elif fault.do == "slow":
            worker.set_speed(_now(), fault.speed)
        else:
            worker.sick = fault.do == "sick"

    async def _orders(self, fault: Orders) -> list[str]:
        names = [name for name in fault.hosts if name in self.cluster.machines]
        for name in names or sorted(self.cluster.machines)[: fault.count]:
            self.cluster.machines[name].delays.add("/orders", fault.delay_s, fault.count)
        return names

    # -- the rest ------------------------------------------------------------------------

    async def _cut(self, fault: Cut) -> list[str]:
        passages = self.cluster.passages
        passages.begin(fault.a, fault.b, Mode(fault.mode))
        row = {"do": "cut", "a": fault.a, "b": fault.b, "mode": fault.mode}
        await self.cluster.tell_state(row)

        async def join() -> None:
            passages.end(fault.a, fault.b)
            await self.cluster.tell_state({**row, "do": "join"})

        self._later(fault.for_s, join)
        return [fault.a, fault.b]

    async def _state(self, fault: State) -> list[str]:
        tell, child = self.cluster.tell_state, self.cluster.state
        child.back_s = fault.back_s
        if fault.do == "kill":
            child.kill()
        elif fault.do == "kill_after_write":
            await tell({"do": "die_after_write"})
        elif fault.do == "delay":
            row = {"do": "delay", "path": fault.path, "seconds": fault.for_s}
            await tell({**row, "count": fault.count})
        elif fault.do == "lag":
            await tell({"do": "lag", "seconds": fault.lag_ms / 1000})
            self._later(fault.for_s, lambda: tell({"do": "lag", "seconds": 0.0}))
        else:
            await tell({"do": fault.do, "node": fault.node})
            over = {"do": f"{fault.do}_over", "node": fault.node}
            self._later(fault.for_s, lambda: tell(over))
        return ["state"]

    async def _clouds(self, fault: Clouds) -> list[str]:
        cloud = self.cluster.cloud.cloud
        if fault.do == "outage":
            cloud.down = True
        elif fault.do == "delay":
            self.cluster.cloud_server.delays.add(fault.path, fault.for_s, fault.count)
            return ["cloud"]
        elif fault.do == "boots":
            before, cloud.boots = cloud.boots, Boots(fault.dead, fault.late)
        else:
            for kind in cloud.capacity:
                cloud.capacity[kind] = int(cloud.capacity[kind] * fault.factor)

        async def over() -> None:
            cloud.down = False
            if fault.do == "boots":
                cloud.boots = before

        self._later(fault.for_s, over)
        return ["cloud"]

    async def _flood(self, fault: Flood) -> list[str]:
        names = self._named(fault.node)
        for name in names:
            place = self.cluster.places.node(self.cluster.places.nodes.index(name))
            for _ in range(fault.connections):
                self.cluster.spawn(self._keep_open(place, _now() + (fault.for_s or 30.0)))
        return names

    async def _keep_open(self, place: Place, until: float) -> None:
        """One connection that is opened again whenever the other side closes it."""
        while _now() < until:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(place.host, place.port)
                try:
                    async with asyncio.timeout_at(until):
                        await reader.read()
                finally:
                    writer.transport.abort()
            await asyncio.sleep(1.0)

    def _named(self, node: str) -> list[str]:
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

    async def _controllers(self, fault: Controllers) -> list[str]:
        children = self.cluster.controllers
        names = self._named(fault.node)
        for n, name in enumerate(names):
            if n and fault.gap_s:
                await asyncio.sleep(fault.gap_s)
            if fault.do == "kill":
                children[name].back_s = fault.back_s
                children[name].kill()
            else:
                self.cluster.spawn(children[name].stand_still(fault.for_s or 5.0))
        return names


def read_log(path: Path) -> list[AnyFault]:
    """The faults of an earlier run, each with its time and targets."""
    return [faults.decode(line) for line in path.read_bytes().splitlines() if line]
