"""A rate limiter: a token bucket whose waiters are served by priority."""

from __future__ import annotations

import asyncio
import heapq
import math
from dataclasses import dataclass, field

from dunehold.types import MonotonicTime

MIN_TIMER_DELAY_S = 0.002  # so that rounding errors cause no busy loop


@dataclass(slots=True)
class RateLimiter:
    """A token bucket that starts full; the lowest number of ``priority`` is served first."""

    rate: float  # tokens per second
    burst: float  # tokens that may be saved up
    _level: float = 0.0  # tokens available at ``_filled_at``
    _filled_at: MonotonicTime = MonotonicTime(-1.0)  # negative: not used yet
    # A heap of (priority, sequence number, tokens wanted, future of the waiter).
    _queue: list[tuple[int, int, float, asyncio.Future[None]]] = field(default_factory=list)
    _sequence: int = 0
    _timer: asyncio.TimerHandle | None = None

    async def acquire(self, priority: int, amount: float = 1.0) -> None:
        """Takes ``amount`` tokens, but no more than ``burst``, and waits until they are there.

        Waiters of one priority are served in order of arrival. The first in the queue holds up
        all others until its tokens are there, so small requests of the same or a lower priority
        can't starve a large one.
        """
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
        """Returns tokens that were acquired and not used."""
        self._fill()
        self._level = min(self.burst, self._level + max(0.0, amount))
        self._wake_waiters()

    def set_rate(self, rate: float, burst: float) -> None:
        """Changes the rate and the burst; saved-up tokens stay, up to the new burst."""
        self._fill()
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)
        self._wake_waiters()

    def wait_s(self, amount: float = 1.0, priority: float = math.inf) -> float:
        """Seconds that a new waiter would wait if none of a higher priority came after it."""
        self._fill()
        ahead = sum(e[2] for e in self._queue if e[0] <= priority and not e[3].done())
        return max(0.0, (ahead + min(amount, self.burst) - self._level) / self.rate)

    def _fill(self) -> None:
        """Adds the tokens that have accrued since the last call."""
        now = asyncio.get_running_loop().time()
        if self._filled_at < 0:
            self._level = self.burst
        else:
            self._level = min(self.burst, self._level + (now - self._filled_at) * self.rate)
        self._filled_at = MonotonicTime(now)

    def _wake_waiters(self) -> None:
        """Serves the waiters whose tokens are there, and sets a timer for the next one."""
        self._fill()
        while self._queue:
            _, _, amount, future = self._queue[0]
            if future.done():
                heapq.heappop(self._queue)
                continue
            amount = min(amount, self.burst)  # the burst may have been lowered since
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
            self._timer = loop.call_later(max(delay, MIN_TIMER_DELAY_S), self._wake_waiters)
