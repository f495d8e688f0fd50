"""Index of the batches of submissions that are still needed."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.types import JobId


@dataclass(slots=True)
class JobBatchIndex:
    """Batches of submissions, with their jobs that are recorded nowhere else.

    Once all jobs of a batch have ended, everything in it is also recorded elsewhere. The end of
    a job is never undone, so an obsolete batch stays obsolete and may be deleted at any time.

    Attributes:
        live: the jobs of each batch that have not ended.
        obsolete: batches that can be deleted, as an ordered set, oldest first.
        count: number of batches that were ever added.
    """

    live: dict[str, set[JobId]] = field(default_factory=dict)
    obsolete: dict[str, None] = field(default_factory=dict)
    count: int = 0

    def add(self, batch: str, jobs: set[JobId]) -> None:
        """Add a batch with its jobs that have not ended."""
        self.count += 1
        if jobs:
            self.live[batch] = jobs
        else:
            self.obsolete[batch] = None

    def job_ended(self, batch: str, job: JobId) -> None:
        """Note that the job has ended, or that its record is the one in another batch."""
        jobs = self.live.get(batch)
        if jobs is None:
            return
        jobs.discard(job)
        if not jobs:
            del self.live[batch]
            self.obsolete[batch] = None

    def remove(self, batch: str) -> None:
        """Remove a batch whose key was deleted."""
        self.live.pop(batch, None)
        self.obsolete.pop(batch, None)
