"""An asyncio event loop on virtual time: waiting costs nothing, and runs repeat.

What runs in the context of an ``OWNER`` can be made to stand still while the clock goes on, as
a process does that gets no processor: nothing of it runs, its timers all fire at the end, and
what arrives meanwhile waits.
"""

from __future__ import annotations

import asyncio
import heapq
import selectors
from collections import deque
from collections.abc import Mapping
from contextvars import Context, ContextVar
from typing import Any

CURRENT_PROCESS: ContextVar[Any] = ContextVar("owner", default=None)
NO_PROCESS_CONTEXT = Context()  # things that happen outside of all processes


class _VirtualClockSelector(selectors.BaseSelector):
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
        self.clock = _VirtualClockSelector()
        super().__init__(self.clock)
        self.slow_callback_duration = 1e9
        self.stalled: set[Any] = set()
        self._deferred: dict[Any, list[asyncio.Handle]] = {}

    def stall(self, process: Any, seconds: float) -> None:
        until = self.time() + seconds
        self.stalled.add(process)
        for timer in self._scheduled:
            if timer._context.get(CURRENT_PROCESS) is process and timer._when < until:
                timer._when = until
        heapq.heapify(self._scheduled)
        self.call_at(until, self._resume, process, context=NO_PROCESS_CONTEXT)

    def _resume(self, owner: Any) -> None:
        self.stalled.discard(owner)
        self._ready.extend(self._deferred.pop(owner, ()))

    def _run_once(self) -> None:
        if self.stalled:
            ready: deque[asyncio.Handle] = deque()
            for handle in self._ready:
                owner = handle._context.get(CURRENT_PROCESS)
                if owner in self.stalled:
                    self._deferred.setdefault(owner, []).append(handle)
                else:
                    ready.append(handle)
            self._ready = ready
        super()._run_once()

    def time(self) -> float:
        return self.clock.now
