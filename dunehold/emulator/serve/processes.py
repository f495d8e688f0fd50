"""Starts, restarts and signals child processes, and measures their usage.

Signals go only to processes that were started here: each one is identified by its own handle.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

REPOSITORY_ROOT = Path(__file__).resolve().parents[3]
PAGE_BYTES = resource.getpagesize()
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")  # unit of times in /proc


class Usage(NamedTuple):
    """CPU time and resident memory of a process."""

    cpu_s: float
    rss_mb: float


@dataclass(slots=True, eq=False)
class SupervisedProcess:
    """A process that is started again ``restart_after_s`` after each of its ends."""

    name: str
    arguments: list[str]  # of the Python interpreter
    log: Path  # gets standard output and standard error
    restart_after_s: float = 3.0
    environment: dict[str, str] = field(default_factory=dict)
    starts: int = 0
    on_exit: Callable[[int], None] = lambda code: None  # a signal's code is negative
    keep_running: bool = True  # when False, it is not started again
    previous_cpu_s: float = 0.0  # CPU time before the last restart
    _process: asyncio.subprocess.Process | None = None
    _last_usage: Usage = Usage(0.0, 0.0)  # since the last start

    async def run(self) -> None:
        """Keeps the process running until this coroutine is cancelled, then kills it."""
        try:
            while self.keep_running:
                await self._start()
                assert self._process is not None
                code = await self._process.wait()
                self._process = None
                self.previous_cpu_s += self._last_usage.cpu_s
                self._last_usage = Usage(0.0, 0.0)
                self.on_exit(code)
                await asyncio.sleep(self.restart_after_s)
        finally:
            self.kill()
            if self._process is not None:
                await self._process.wait()

    async def _start(self) -> None:
        self.starts += 1
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.arguments,
                stdout=log,
                stderr=log,
                cwd=REPOSITORY_ROOT,
                # A session of its own, so that Ctrl-C at a terminal reaches only the emulator.
                start_new_session=True,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path), **self.environment},
            )

    @property
    def pid(self) -> int | None:
        """The process id, or None while the process is not running."""
        process = self._process
        return None if process is None or process.returncode is not None else process.pid

    def _signal(self, number: int) -> None:
        pid = self.pid
        if pid is not None:
            # The process object's own method would reap the child, so that its exit code would
            # be lost.
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, number)

    def kill(self) -> None:
        """Kills the process with SIGKILL, after a last measurement of its usage."""
        self.usage()
        self._signal(signal.SIGKILL)

    async def stall(self, seconds: float) -> None:
        """Stops the process with SIGSTOP for a while. Its clocks go on, but it does not run."""
        self._signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._signal(signal.SIGCONT)

    def usage(self) -> Usage:
        """Returns the CPU time over all restarts and the present memory, from /proc (Linux)."""
        if self.pid is not None:
            with contextlib.suppress(OSError, IndexError, ValueError):
                fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
                pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
                spent = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
                self._last_usage = Usage(spent, pages * PAGE_BYTES / 1e6)
        return Usage(self.previous_cpu_s + self._last_usage.cpu_s, self._last_usage.rss_mb)


def own_usage() -> Usage:
    """Returns CPU time and peak memory of this process, which runs workers, cloud and users."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return Usage(used.ru_utime + used.ru_stime, used.ru_maxrss / 1e3)


def suppress_loop_errors() -> None:
    """Turns off the event loop's reports of errors in tasks and connections.

    When the servers stop, connections are aborted while others wait for them. These errors are
    expected from then on.
    """
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)


def raise_file_limit() -> None:
    """Raises the limit of open files, since hundreds of machines need thousands of sockets."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 1 << 18), hard))
