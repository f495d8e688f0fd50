"""Model of the job data outside the controllers: job descriptions, results and checkpoints.

Users upload descriptions for the workers; results and checkpoints outlive machines.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from dunehold.emulator.model.base import Malformed, Randomness
from dunehold.emulator.model.worker import JobFacts
from dunehold.protocol import codec

# Keys of a job's row that only the emulator knows; they are not sent to the controllers.
EMULATOR_ONLY_KEYS = ("real_s", "broken")
# Bounds of the true run time divided by the user's estimate, for rows without ``real_s``.
MIN_RUN_TIME_RATIO = 0.6
MAX_RUN_TIME_RATIO = 1.5


@dataclass(slots=True)
class Jobs:
    """Stores uploaded jobs and what their tasks have saved.

    Implements ``model.worker.SharedJobData``. Task ids have the form ``job-000412/3``.
    """

    rng: Randomness
    rows: dict[str, dict[str, Any]] = field(default_factory=dict)  # job id -> row as uploaded
    completed_tasks: set[str] = field(default_factory=set)  # task ids
    _facts: dict[str, JobFacts] = field(default_factory=dict)  # job id -> facts
    _progress: dict[str, float] = field(default_factory=dict)  # task id -> seconds saved

    def upload(self, row: dict[str, Any]) -> None:
        """Stores a job; a later upload under the same id is ignored.

        ``row`` has the keys of the protocol's job description: ``expect_s`` is the user's
        estimate of the run time, ``bundle`` the image and ``size_gb`` its size, ``snapshot_s``
        the interval between checkpoints, ``flush_s`` the time to save a checkpoint and
        ``shape`` the kind of job (``standing`` is a service, which runs until it is stopped).
        The emulator adds ``real_s``, the true run time of a task, and ``broken``, which means
        that each task fails. Raises Malformed when a worker could not run the job.
        """
        try:
            job_id = codec.text(row, "uid")
            if job_id in self.rows:
                return
            real_s = codec.opt_amount(row, "real_s")
            if real_s is None:
                real_s = codec.amount(row, "expect_s") * self.rng.uniform(
                    MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO
                )
            self._facts[job_id] = JobFacts(
                codec.amount(row, "vcpus"),
                codec.opt_amount(row, "gpus") or 0.0,
                codec.amount(row, "memory_gb"),
                codec.text(row, "bundle"),
                codec.amount(row, "size_gb"),
                codec.opt_amount(row, "snapshot_s") or 0.0,
                codec.opt_amount(row, "flush_s") or 0.0,
                None if row.get("shape") == "standing" else real_s,
                codec.flag(row, "broken", False),
            )
        except codec.BadMessage as error:
            raise Malformed(str(error)) from None
        self.rows[job_id] = row

    # -- model.worker.SharedJobData ------------------------------------------------------

    def facts(self, job_id: str) -> JobFacts | None:
        """Returns the facts of an uploaded job; None if the job is unknown."""
        return self._facts.get(job_id)

    def is_done(self, task_id: str) -> bool:
        """Returns whether the result of a task is stored."""
        return task_id in self.completed_tasks

    def set_done(self, task_id: str) -> None:
        """Stores that a task has a result."""
        self.completed_tasks.add(task_id)

    def progress(self, task_id: str) -> float:
        """Returns the progress in a task's checkpoint, in seconds; 0.0 without one."""
        return self._progress.get(task_id, 0.0)

    def set_progress(self, task_id: str, seconds: float) -> None:
        """Replaces the checkpoint of a task."""
        self._progress[task_id] = seconds


def without_emulator_keys(row: dict[str, Any]) -> dict[str, Any]:
    """Returns the job as its user describes it to the controllers."""
    return {key: value for key, value in row.items() if key not in EMULATOR_ONLY_KEYS}
