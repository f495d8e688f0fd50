"""An asyncio event loop on virtual time: waiting takes no real time, and runs are repeatable.

Callbacks whose context sets ``CURRENT_PROCESS`` belong to that simulated process. A process can
be stalled while the clock continues, like a real one that gets no CPU time: none of its
callbacks run, its timers that are due meanwhile all fire at the end of the stall, and callbacks
that become ready meanwhile wait until then.
"""

from __future__ import annotations

import asyncio
import heapq
import selectors
from collections import deque
from collections.abc import Callable, Coroutine, Mapping
from contextvars import Context, ContextVar
from typing import Any, TypeVar

# The simulated process to which the running code belongs, None for code outside of all.
CURRENT_PROCESS: ContextVar[Any] = ContextVar("owner", default=None)
# Virtual time after which a task that goes on is cancelled again.
CANCEL_TIMEOUT_S = 0.1
Result = TypeVar("Result")
NO_PROCESS_CONTEXT = Context()  # for callbacks that belong to no process


class _VirtualClockSelector(selectors.BaseSelector):
    """Advances the virtual clock by each timeout instead of waiting for it."""

    def __init__(self) -> None:
        self.now = 0.0
        self._real = selectors.DefaultSelector()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: no callback is ready and no timer is scheduled")
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
    """An event loop whose time is the virtual clock, in seconds from 0."""

    def __init__(self) -> None:
        self.clock = _VirtualClockSelector()
        super().__init__(self.clock)
        self.slow_callback_duration = 1e9
        self.stalled: set[Any] = set()
        self._deferred: dict[Any, list[asyncio.Handle]] = {}

    def stall(self, process: Any, seconds: float) -> None:
        """Run no callback of the process for that long; its timers fire at the end."""
        until = self.time() + seconds
        self.stalled.add(process)
        for timer in self._scheduled:
            if timer._context.get(CURRENT_PROCESS) is process and timer._when < until:
                timer._when = until
        heapq.heapify(self._scheduled)
        self.call_at(until, self._resume, process, context=NO_PROCESS_CONTEXT)

    def _resume(self, process: Any) -> None:
        self.stalled.discard(process)
        self._ready.extend(self._deferred.pop(process, ()))

    def _run_once(self) -> None:
        if self.stalled:
            ready: deque[asyncio.Handle] = deque()
            for handle in self._ready:
                process = handle._context.get(CURRENT_PROCESS)
                if process in self.stalled:
                    self._deferred.setdefault(process, []).append(handle)
                else:
                    ready.append(handle)
            self._ready = ready
        super()._run_once()

    def time(self) -> float:
        return self.clock.now


def run_on_virtual_time(work: Callable[[], Coroutine[Any, Any, Result]]) -> Result:
    """Run ``work`` on a new loop on virtual time, and end everything that it has started."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work())
    finally:
        _cancel_all_tasks(loop)
        loop.close()
        asyncio.set_event_loop(None)


def _cancel_all_tasks(loop: VirtualLoop) -> None:
    """Cancel all tasks until none is left.

    ``asyncio.wait_for`` of Python 3.11 may drop a cancellation as it is about to return.
    """
    while tasks := asyncio.all_tasks(loop):
        for task in tasks:
            task.cancel()
        done, _ = loop.run_until_complete(asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_S))
        for task in done:
            if not task.cancelled():
                task.exception()  # nobody else asks for it
