"""Waiting at cuts: what is held back goes on when they end."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from dunehold.emulator.model.cuts import Cuts, Mode


@dataclass(slots=True)
class Passages:
    cuts: Cuts = field(default_factory=Cuts)
    _ended: asyncio.Event = field(default_factory=asyncio.Event)

    def begin(self, a: str, b: str, mode: Mode, one_way: bool = False) -> None:
        self.cuts.begin(a, b, mode, one_way)

    def end(self, a: str, b: str) -> None:
        self.cuts.end(a, b)
        self._wake()

    def clear(self) -> None:
        self.cuts.clear()
        self._wake()

    def _wake(self) -> None:
        self._ended.set()
        self._ended = asyncio.Event()

    async def for_a_while(
        self, a: str, b: str, mode: Mode | str, seconds: float, one_way: bool = False
    ) -> None:
        self.begin(a, b, Mode(mode), one_way)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.end(a, b)

    async def through(self, a: str, b: str) -> bool:
        """Return when a message from a may reach b: true if it had to wait.

        ConnectionResetError and ConnectionRefusedError as the cut says.
        """
        waited = False
        while (mode := self.cuts.between(a, b)) is not None:
            if mode is Mode.RESET:
                raise ConnectionResetError
            if mode is Mode.REFUSE:
                raise ConnectionRefusedError
            waited = True
            await self._ended.wait()
        return waited
