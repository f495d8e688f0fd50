"""An asyncio event loop on virtual time: waiting costs nothing, and runs repeat."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Mapping
from typing import Any


class _Selector(selectors.BaseSelector):
    """Instead of waiting for a timeout, moves the clock on."""

    def __init__(self) -> None:
        self.now = 0.0
        self._real = selectors.DefaultSelector()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nothing left to happen")
        self.now += max(timeout, 0.0)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        return self._real.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._real.unregister(fileobj)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._real.get_map()

    def close(self) -> None:
        self._real.close()


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.clock = _Selector()
        super().__init__(self.clock)
        self.slow_callback_duration = 1e9

    def time(self) -> float:
        return self.clock.now
