"""May a worker's lease be renewed now? Every path that renews one asks here.

What a feeder can have missed is a cancellation that was confirmed after its last proof of a
current view. It may therefore answer workers only for so long after that proof that the lease
it renewed last, counted from when the answered report was sent, ends within ``cancel_s``:

    proof + feed limit + lease, on clocks that drift apart, <= proof + cancel_s - margin

Neither a peer nor a watch makes the time longer: only a proof of this process's own does.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from dunehold.coordination.persistence.sync import ViewSync
from dunehold.settings import Settings
from dunehold.types import Duration

# A killed task is gone a moment after its lease, and a stop that still saves is cut off by it.
STOP_MARGIN_S = 4.0
CLOCK_DRIFT_FACTOR = 1.001  # two steady clocks, each up to 0.05% off
RELAY_MAX_PROOF_AGE_S = (
    2.0  # the oldest proof to feed by for a leader that the workers can't reach
)


@dataclass(slots=True)
class LeaseRenewal:
    settings: Settings
    sync: ViewSync

    @property
    def max_proof_age_s(self) -> Duration:
        """How long leases are fed without proof: what follows must end within cancel_s."""
        left = self.settings.cancel_s - self.settings.lease_s * CLOCK_DRIFT_FACTOR
        return Duration(max(0.0, left - min(STOP_MARGIN_S, left / 2)))

    def allowed(self, relaying: bool = False) -> bool:
        """The leader, or whoever feeds for it beyond a cut (``relaying``)."""
        limit_s = (
            min(self.max_proof_age_s, RELAY_MAX_PROOF_AGE_S)
            if relaying
            else self.max_proof_age_s
        )
        now = asyncio.get_running_loop().time()
        return now < self.sync.proved_at + limit_s / CLOCK_DRIFT_FACTOR
