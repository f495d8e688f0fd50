"""Run times by class: how far the owners' estimates were off lately."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import median

from dunehold.protocol.users import JobSpec
from dunehold.types import Duration

MAX_RATIOS_PER_CLASS = 60
MIN_RATIOS = 5
OVERRUN_SHARE = 0.25


@dataclass(slots=True)
class RuntimeEstimates:
    _ratios: dict[str, deque[float]] = field(default_factory=dict)
    _cached: dict[str, float] = field(default_factory=dict)

    def record_run(self, spec: JobSpec, ran_s: Duration) -> None:
        if spec.estimate_s <= 0:
            return
        ratios = self._ratios.setdefault(spec.job_class, deque(maxlen=MAX_RATIOS_PER_CLASS))
        ratios.append(ran_s / spec.estimate_s)
        self._cached.pop(spec.job_class, None)

    def ratio(self, job_class: str) -> float:
        """Median of actual over estimated; 1 until enough was seen."""
        found = self._cached.get(job_class)
        if found is None:
            ratios = self._ratios.get(job_class, ())
            found = median(ratios) if len(ratios) >= MIN_RATIOS else 1.0
            self._cached[job_class] = found
        return found

    def run_s(self, spec: JobSpec) -> float:
        return spec.estimate_s * self.ratio(spec.job_class)

    def remaining_s(self, spec: JobSpec, ran_s: float) -> float:
        """What is left of a run; one that overruns is taken to go on for a part of its time."""
        return max(self.run_s(spec) - ran_s, OVERRUN_SHARE * ran_s, 0.5)
