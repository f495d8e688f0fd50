"""Jobs as users upload them for workers, and what outlives machines: results, checkpoints."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from dunehold.emulator.model.base import Malformed, Randomness
from dunehold.emulator.model.worker import JobFacts
from dunehold.protocol import codec

EMULATOR_ONLY_KEYS = ("real_s", "broken")  # what only the outside knows of a job
MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO = (
    0.6,
    1.5,
)  # true run time over the estimate, unless it is given


@dataclass(slots=True)
class Jobs:
    rng: Randomness
    rows: dict[str, dict[str, Any]] = field(default_factory=dict)
    completed_tasks: set[str] = field(default_factory=set)  # items
    _facts: dict[str, JobFacts] = field(default_factory=dict)
    _progress: dict[str, float] = field(default_factory=dict)  # item -> seconds saved

    def upload(self, row: dict[str, Any]) -> None:
        """Keep a job; Malformed when a worker could not run it. The first upload stands."""
        try:
            uid = codec.text(row, "uid")
            if uid in self.rows:
                return
            real_s = codec.opt_amount(row, "real_s")
            if real_s is None:
                real_s = codec.amount(row, "expect_s") * self.rng.uniform(
                    MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO
                )
            self._facts[uid] = JobFacts(
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
        self.rows[uid] = row

    # -- what a worker asks (model.worker.SharedJobData) ---------------------------------------

    def facts(self, uid: str) -> JobFacts | None:
        return self._facts.get(uid)

    def is_done(self, item: str) -> bool:
        return item in self.completed_tasks

    def set_done(self, item: str) -> None:
        self.completed_tasks.add(item)

    def progress(self, item: str) -> float:
        return self._progress.get(item, 0.0)

    def set_progress(self, item: str, seconds: float) -> None:
        self._progress[item] = seconds


def without_emulator_keys(row: dict[str, Any]) -> dict[str, Any]:
    """The job as its user describes it to the controllers."""
    return {key: value for key, value in row.items() if key not in EMULATOR_ONLY_KEYS}
