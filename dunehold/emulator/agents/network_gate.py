"""Blocks messages while a network partition is in force."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from dunehold.emulator.model.partitions import NetworkPartitions, PartitionMode


@dataclass(slots=True)
class NetworkGate:
    """Network partitions with coroutines that wait for their end."""

    partitions: NetworkPartitions = field(default_factory=NetworkPartitions)
    # Set when any partition ends, and replaced by a new event for later waiters.
    _partition_ended: asyncio.Event = field(default_factory=asyncio.Event)

    def begin(self, a: str, b: str, mode: PartitionMode, one_way: bool = False) -> None:
        """Begins a partition, as ``NetworkPartitions.begin``."""
        self.partitions.begin(a, b, mode, one_way)

    def end(self, a: str, b: str) -> None:
        """Ends a partition and releases the messages that it held back."""
        self.partitions.end(a, b)
        self._notify_waiters()

    def clear(self) -> None:
        """Ends all partitions and releases the messages that they held back."""
        self.partitions.clear()
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._partition_ended.set()
        self._partition_ended = asyncio.Event()

    async def cut_for(
        self, a: str, b: str, mode: PartitionMode | str, seconds: float, one_way: bool = False
    ) -> None:
        """Partitions ``a`` and ``b`` for a time and returns when the partition has ended."""
        self.begin(a, b, PartitionMode(mode), one_way)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.end(a, b)

    async def wait_until_open(self, a: str, b: str) -> bool:
        """Returns when a message from host ``a`` may reach host ``b``; True if it waited.

        Raises ConnectionResetError or ConnectionRefusedError when a partition in the mode
        ``RESET`` or ``REFUSE`` is in force.
        """
        waited = False
        while (mode := self.partitions.mode_between(a, b)) is not None:
            if mode is PartitionMode.RESET:
                raise ConnectionResetError
            if mode is PartitionMode.REFUSE:
                raise ConnectionRefusedError
            waited = True
            await self._partition_ended.wait()
        return waited
