"""Which packs of submissions are still needed."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.types import JobId


@dataclass(slots=True)
class JobBatchIndex:
    """Packs by the jobs that are on record nowhere else.

    A pack whose jobs have all ended says nothing that isn't written elsewhere. An end is
    never taken back, so a pack once spent stays spent, and may be deleted at any time.
    """

    live: dict[str, set[JobId]] = field(default_factory=dict)  # pack -> its jobs not ended
    obsolete: dict[str, None] = field(default_factory=dict)  # to be deleted, oldest first
    count: int = 0  # of packs that ever came

    def add(self, pack: str, jobs: set[JobId]) -> None:
        self.count += 1
        if jobs:
            self.live[pack] = jobs
        else:
            self.obsolete[pack] = None

    def job_ended(self, pack: str, job: JobId) -> None:
        """The job is over, or has proved to be another pack's."""
        jobs = self.live.get(pack)
        if jobs is None:
            return
        jobs.discard(job)
        if not jobs:
            del self.live[pack]
            self.obsolete[pack] = None

    def remove(self, pack: str) -> None:
        self.live.pop(pack, None)
        self.obsolete.pop(pack, None)
