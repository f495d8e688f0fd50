"""A token bucket whose waiters are served by priority."""

from __future__ import annotations

import asyncio
import heapq
import math
from dataclasses import dataclass, field

from dunehold.types import MonotonicTime


@dataclass(slots=True)
class RateLimiter:
    """``rate`` per second with a burst of ``burst``; lower ``priority`` goes first."""

    rate: float
    burst: float
    _level: float = 0.0
    _filled_at: MonotonicTime = MonotonicTime(-1.0)
    _queue: list[tuple[int, int, float, asyncio.Future[None]]] = field(default_factory=list)
    _sequence: int = 0
    _timer: asyncio.TimerHandle | None = None

    async def acquire(self, priority: int, amount: float = 1.0) -> None:
        amount = min(amount, self.burst)
        self._fill()
        if not self._queue and self._level >= amount:
            self._level -= amount
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._sequence += 1
        heapq.heappush(self._queue, (priority, self._sequence, amount, future))
        self._wake_waiters()
        await future

    def refund(self, amount: float) -> None:
        """What was taken and not used."""
        self._fill()
        self._level = min(self.burst, self._level + max(0.0, amount))
        self._wake_waiters()

    def set_rate(self, rate: float, burst: float) -> None:
        """From now on; what was saved up stays, as far as it fits."""
        self._fill()
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)
        self._wake_waiters()

    def wait_s(self, amount: float = 1.0, priority: float = math.inf) -> float:
        """How long who comes last of this priority would wait, if nobody of higher came."""
        self._fill()
        ahead = sum(e[2] for e in self._queue if e[0] <= priority and not e[3].done())
        return max(0.0, (ahead + min(amount, self.burst) - self._level) / self.rate)

    def _fill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._filled_at < 0:
            self._level = self.burst
        else:
            self._level = min(self.burst, self._level + (now - self._filled_at) * self.rate)
        self._filled_at = MonotonicTime(now)

    def _wake_waiters(self) -> None:
        self._fill()
        while self._queue:
            _, _, amount, future = self._queue[0]
            if future.done():
                heapq.heappop(self._queue)
                continue
            amount = min(amount, self.burst)  # the rate may have changed since
            if self._level < amount:
                break
            heapq.heappop(self._queue)
            self._level -= amount
            future.set_result(None)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._queue:
            delay = (self._queue[0][2] - self._level) / self.rate
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(delay, 0.002), self._wake_waiters)
