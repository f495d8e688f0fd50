"""Index of the dependencies between jobs, derived from durable records at every node alike.

The index itself is not durable. Whether a job waits, may start or is cancelled together with a
dependency follows from its spec and from the ends of the other jobs, and the end of a job is
never undone. One durable cancellation therefore cancels all dependents, however many, at every
node that sees it, without a burst of writes. Only jobs that wait take memory here.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from dunehold.types import JobId


@dataclass(slots=True)
class DependencyIndex:
    """The jobs that wait for other jobs.

    Attributes:
        pending: the unfinished dependencies of each job that waits.
        dependents: the jobs that wait for each job, as an ordered set.
        no_longer_needed: jobs that a dependent no longer waits for, because that dependent is
            over. The view reports them as changed and clears the list.
    """

    pending: dict[JobId, set[JobId]] = field(default_factory=dict)
    dependents: dict[JobId, dict[JobId, None]] = field(default_factory=dict)
    no_longer_needed: list[JobId] = field(default_factory=list)

    def add(self, job: JobId, needed: Iterable[JobId]) -> None:
        """Add a job with its unfinished dependencies; without any it does not wait."""
        unfinished = set(needed)
        if unfinished:
            self.pending[job] = unfinished
            for need in sorted(unfinished):
                self.dependents.setdefault(need, {})[job] = None

    def complete(self, job: JobId) -> list[JobId]:
        """Note that the job is done; return the jobs that wait for nothing any more."""
        ready = []
        for dependent in self.dependents.pop(job, ()):
            unfinished = self.pending[dependent]
            unfinished.discard(job)
            if not unfinished:
                del self.pending[dependent]
                ready.append(dependent)
        return ready

    def cancel(self, job: JobId) -> list[JobId]:
        """Remove and return all jobs that depend on this one, directly or through others.

        The search is iterative, since a chain of dependencies can be too long for recursion.
        """
        found: dict[JobId, None] = {}
        stack = [job]
        while stack:
            for dependent in self.dependents.pop(stack.pop(), ()):
                if dependent not in found:
                    found[dependent] = None
                    self.forget(dependent)
                    stack.append(dependent)
        return list(found)

    def forget(self, job: JobId) -> None:
        """Remove a job that is over from the jobs that wait."""
        for need in self.pending.pop(job, ()):
            waiting = self.dependents.get(need)
            if waiting is not None:
                self.no_longer_needed.append(need)
                waiting.pop(job, None)
                if not waiting:
                    del self.dependents[need]
