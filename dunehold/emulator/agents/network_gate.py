"""Waiting at cuts: what is held back goes on when they end."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from dunehold.emulator.model.partitions import NetworkPartitions, PartitionMode


@dataclass(slots=True)
class NetworkGate:
    partitions: NetworkPartitions = field(default_factory=NetworkPartitions)
    _cut_ended: asyncio.Event = field(default_factory=asyncio.Event)

    def begin(self, a: str, b: str, mode: PartitionMode, one_way: bool = False) -> None:
        self.partitions.begin(a, b, mode, one_way)

    def end(self, a: str, b: str) -> None:
        self.partitions.end(a, b)
        self._notify_waiters()

    def clear(self) -> None:
        self.partitions.clear()
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._cut_ended.set()
        self._cut_ended = asyncio.Event()

    async def cut_for(
        self, a: str, b: str, mode: PartitionMode | str, seconds: float, one_way: bool = False
    ) -> None:
        self.begin(a, b, PartitionMode(mode), one_way)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.end(a, b)

    async def wait_until_open(self, a: str, b: str) -> bool:
        """Return when a message from a may reach b: true if it had to wait.

        ConnectionResetError and ConnectionRefusedError as the cut says.
        """
        waited = False
        while (mode := self.partitions.mode_between(a, b)) is not None:
            if mode is PartitionMode.RESET:
                raise ConnectionResetError
            if mode is PartitionMode.REFUSE:
                raise ConnectionRefusedError
            waited = True
            await self._cut_ended.wait()
        return waited
