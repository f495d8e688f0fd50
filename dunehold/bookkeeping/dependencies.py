"""Which jobs wait for which: an index over what is durable, the same at every node.

Nothing here is written anywhere. That a job waits, is free or is cancelled along with one that
it needs follows from its description and from the ends of the others, and an end is never taken
back. So one durable end cancels whatever comes after it, however many jobs that is, at every
node that sees it, and no burst of writes follows. Only jobs that wait take room here.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from dunehold.types import JobId


@dataclass(slots=True)
class DependencyIndex:
    pending: dict[JobId, set[JobId]] = field(default_factory=dict)  # for whom, not done yet
    dependents: dict[JobId, dict[JobId, None]] = field(default_factory=dict)  # who needs it
    no_longer_needed: list[JobId] = field(default_factory=list)  # that somebody needs no more

    def add(self, job: JobId, needed: Iterable[JobId]) -> None:
        """The job waits for these; for none of them, it does not wait."""
        left = set(needed)
        if left:
            self.pending[job] = left
            for need in sorted(left):
                self.dependents.setdefault(need, {})[job] = None

    def complete(self, job: JobId) -> list[JobId]:
        """Who waits for nobody any more, now that this job is done."""
        free = []
        for follower in self.dependents.pop(job, ()):
            left = self.pending[follower]
            left.discard(job)
            if not left:
                del self.pending[follower]
                free.append(follower)
        return free

    def cancel(self, job: JobId) -> list[JobId]:
        """All that need this job, directly or through others; they are forgotten here.

        Guards against chains of any depth: no call of itself for each link.
        """
        found: dict[JobId, None] = {}
        stack = [job]
        while stack:
            for follower in self.dependents.pop(stack.pop(), ()):
                if follower not in found:
                    found[follower] = None
                    self.forget(follower)
                    stack.append(follower)
        return list(found)

    def forget(self, job: JobId) -> None:
        """It waits no more: it is over."""
        for need in self.pending.pop(job, ()):
            followers = self.dependents.get(need)
            if followers is not None:
                self.no_longer_needed.append(need)
                followers.pop(job, None)
                if not followers:
                    del self.dependents[need]
