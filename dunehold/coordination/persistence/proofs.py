"""The latest proofs of a node that its view was current, and the revision that each one had.

From them follows until when a change was certainly not yet durable: a proof that does not show
it was requested before it was made.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from dunehold.types import Duration, MonotonicTime, Revision

# Minimum time between two proofs that are kept.
MIN_INTERVAL_S = 0.25


class Proof(NamedTuple):
    """The view contained everything that was durable at ``proved_at``.

    Attributes:
        proved_at: when the proof was requested, in seconds on the event loop's clock.
        revision: up to which revision the view had been applied afterwards.
    """

    proved_at: MonotonicTime
    revision: Revision


@dataclass(slots=True)
class ProofHistory:
    """The proofs of the last ``retention_s`` seconds, at most one in ``MIN_INTERVAL_S``."""

    retention_s: Duration
    _proofs: deque[Proof] = field(default_factory=deque)

    def record(self, proof: Proof) -> None:
        """Adds a proof, unless one of the same time or a later one is kept already."""
        proofs = self._proofs
        if proofs and proof.proved_at < proofs[-1].proved_at + MIN_INTERVAL_S:
            return
        proofs.append(proof)
        while proofs[0].proved_at < proof.proved_at - self.retention_s:
            proofs.popleft()

    def latest_without(self, revision: Revision) -> MonotonicTime | None:
        """Returns when the latest proof was requested that does not show ``revision``.

        What was written at that revision was not durable at that time. Returns None if no such
        proof is kept: the change may be older than all of them.
        """
        for proof in reversed(self._proofs):
            if proof.revision < revision:
                return proof.proved_at
        return None
