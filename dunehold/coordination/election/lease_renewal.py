"""Decides whether worker leases may be renewed now. Every code path that renews one asks here.

A node that renews leases may have missed a cancellation that was confirmed after the node's
last proof of a current view. It may therefore answer workers only for a limited time after that
proof. The limit is such that the lease renewed last, which counts from when the answered report
was sent, ends within ``cancel_s``:

    proof + maximum proof age + lease_s, with clock drift, <= proof + cancel_s - margin

Only a proof that this process obtained itself extends the time; answers of peers and changes
that the watch delivers do not.

A start that was sent and not answered may reach its worker minutes later, for as long as the
worker's session lasts. If its job has been cancelled by then, a proof that shows the
cancellation does not help: the task would still begin. For such a worker the latest proof that
does not show the cancellation takes the place of the latest proof.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from dunehold.coordination.persistence.sync import ViewSync
from dunehold.settings import Settings
from dunehold.types import Duration, MonotonicTime, Revision

# Time between the end of the last lease and ``cancel_s``. A killed task disappears a moment
# after the end of its lease, and a stop that is still saving then is cut off.
STOP_MARGIN_S = 4.0
# Relative drift of two monotonic clocks, each up to 0.05% off.
CLOCK_DRIFT_FACTOR = 1.001
# Maximum age of the proof by which a relay renews leases for a leader that the workers cannot
# reach.
RELAY_MAX_PROOF_AGE_S = 2.0


@dataclass(slots=True)
class LeaseRenewal:
    """Limits the renewal of worker leases by the age of this node's latest proof."""

    settings: Settings
    sync: ViewSync

    @property
    def max_proof_age_s(self) -> Duration:
        """How old the latest proof may be for leases to be renewed.

        Chosen so that the last lease ends within ``cancel_s`` of the proof, less a margin of
        ``STOP_MARGIN_S`` or half of the time left after a lease, whichever is shorter.
        """
        left = self.settings.cancel_s - self.settings.lease_s * CLOCK_DRIFT_FACTOR
        return Duration(max(0.0, left - min(STOP_MARGIN_S, left / 2)))

    def allowed(self, relaying: bool = False) -> bool:
        """Returns whether this node may renew worker leases now.

        ``relaying``: as a relay for the leader, for which at most ``RELAY_MAX_PROOF_AGE_S``
        applies, instead of as the leader itself.
        """
        limit_s = (
            min(self.max_proof_age_s, RELAY_MAX_PROOF_AGE_S)
            if relaying
            else self.max_proof_age_s
        )
        return self._within(self.sync.proved_at, limit_s)

    def allowed_with_start_in_doubt(self, cancelled_at: Revision) -> bool:
        """Returns whether to renew the lease of a worker that a cancelled start may reach.

        ``cancelled_at``: the revision at which the job of that start was cancelled. The session
        that the start names ends in time because its lease is not renewed any more.
        """
        proved_at = self.sync.proofs.latest_without(cancelled_at)
        return proved_at is not None and self._within(proved_at, self.max_proof_age_s)

    @staticmethod
    def _within(proved_at: MonotonicTime, limit_s: float) -> bool:
        now = asyncio.get_running_loop().time()
        return now < proved_at + limit_s / CLOCK_DRIFT_FACTOR
