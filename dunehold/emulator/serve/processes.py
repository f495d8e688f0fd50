"""Child processes: controllers and the state service, their ends, and what they use.

Only what was started here is ever signalled: each child is known by its own handle.
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
PAGE_BYTES, CLOCK_TICKS_PER_S = resource.getpagesize(), os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    cpu_s: float
    rss_mb: float


@dataclass(slots=True, eq=False)
class SupervisedProcess:
    """A process that is kept running: started again ``back_s`` after its end."""

    name: str
    arguments: list[str]
    log: Path
    restart_after_s: float = 3.0
    environment: dict[str, str] = field(default_factory=dict)
    starts: int = 0
    on_exit: Callable[[int], None] = lambda code: None
    keep_running: bool = True
    previous_cpu_s: float = 0.0  # of its earlier lives
    _process: asyncio.subprocess.Process | None = None
    _last_usage: Usage = Usage(0.0, 0.0)

    async def run(self) -> None:
        """Until it is cancelled; then the process ends too."""
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
                # A group of its own: Ctrl-C at a terminal reaches the emulator alone.
                start_new_session=True,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path), **self.environment},
            )

    @property
    def pid(self) -> int | None:
        process = self._process
        return None if process is None or process.returncode is not None else process.pid

    def _signal(self, number: int) -> None:
        pid = self.pid
        if pid is not None:
            # Not by the process object: that one would reap the child, and hide its exit code.
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, number)

    def kill(self) -> None:
        self.usage()
        self._signal(signal.SIGKILL)

    async def stall(self, seconds: float) -> None:
        """SIGSTOP: its clocks run on, and nothing of it does."""
        self._signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._signal(signal.SIGCONT)

    def usage(self) -> Usage:
        """Processor time of all its lives, and what it holds now (Linux)."""
        if self.pid is not None:
            with contextlib.suppress(OSError, IndexError, ValueError):
                fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
                pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
                spent = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
                self._last_usage = Usage(spent, pages * PAGE_BYTES / 1e6)
        return Usage(self.previous_cpu_s + self._last_usage.cpu_s, self._last_usage.rss_mb)


def own_usage() -> Usage:
    """Of this process: the workers, the cloud and the users."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return Usage(used.ru_utime + used.ru_stime, used.ru_maxrss / 1e3)


def suppress_loop_errors() -> None:
    """Connections that are cut off in the midst of a wait are no news from here on."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)


def raise_file_limit() -> None:
    """Hundreds of machines are thousands of sockets."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 1 << 18), hard))
