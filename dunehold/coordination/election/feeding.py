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

from dunehold.coordination.durable.sync import Sync
from dunehold.settings import Settings
from dunehold.types import Duration

# A killed task is gone a moment after its lease, and a stop that still saves is cut off by it.
STOP_MARGIN_S = 4.0
DRIFT = 1.001  # two steady clocks, each up to 0.05% off
RELAY_PROOF_S = 2.0  # the oldest proof to feed by for a leader that the workers can't reach


@dataclass(slots=True)
class Feeding:
    settings: Settings
    sync: Sync

    @property
    def limit_s(self) -> Duration:
        """How long leases are fed without proof: what follows must end within cancel_s."""
        left = self.settings.cancel_s - self.settings.lease_s * DRIFT
        return Duration(max(0.0, left - min(STOP_MARGIN_S, left / 2)))

    def allowed(self, relaying: bool = False) -> bool:
        """The leader, or whoever feeds for it beyond a cut (``relaying``)."""
        limit_s = min(self.limit_s, RELAY_PROOF_S) if relaying else self.limit_s
        now = asyncio.get_running_loop().time()
        return now < self.sync.proved_at + limit_s / DRIFT
