"""Run time estimates, corrected for each job class by how far recent estimates were off."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import median

from dunehold.protocol.users import JobSpec
from dunehold.types import Duration

MAX_RATIOS_PER_CLASS = 60  # recent runs that are remembered of each class
MIN_RATIOS = 5  # runs from which on estimates are corrected
OVERRUN_SHARE = 0.25  # of the time that a run took so far: the least that is assumed to remain
MIN_REMAINING_S = 0.5  # the least that is assumed to remain of any run


@dataclass(slots=True)
class RuntimeEstimates:
    """Actual run times compared with the users' estimates, by job class."""

    _ratios: dict[str, deque[float]] = field(default_factory=dict)
    _cached: dict[str, float] = field(default_factory=dict)

    def record_run(self, spec: JobSpec, ran_s: Duration) -> None:
        """Records the run time of a task; jobs without an estimate are ignored."""
        if spec.estimate_s <= 0:
            return
        ratios = self._ratios.setdefault(spec.job_class, deque(maxlen=MAX_RATIOS_PER_CLASS))
        ratios.append(ran_s / spec.estimate_s)
        self._cached.pop(spec.job_class, None)

    def ratio(self, job_class: str) -> float:
        """Median of actual over estimated run times; 1 until MIN_RATIOS runs are recorded."""
        median_ratio = self._cached.get(job_class)
        if median_ratio is None:
            ratios = self._ratios.get(job_class, ())
            median_ratio = median(ratios) if len(ratios) >= MIN_RATIOS else 1.0
            self._cached[job_class] = median_ratio
        return median_ratio

    def run_s(self, spec: JobSpec) -> float:
        """The corrected estimate of a task's run time, in seconds."""
        return spec.estimate_s * self.ratio(spec.job_class)

    def remaining_s(self, spec: JobSpec, ran_s: float) -> float:
        """Seconds that a task which has run for ``ran_s`` is expected to go on.

        A run that exceeds its estimate is assumed to go on for OVERRUN_SHARE of the time that
        it took so far.
        """
        return max(self.run_s(spec) - ran_s, OVERRUN_SHARE * ran_s, MIN_REMAINING_S)
