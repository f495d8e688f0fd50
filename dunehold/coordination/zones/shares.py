"""Room divided by weight: nobody gets more than it wants, and none takes another's.

Weighted max-min fairness: room is handed out by weight until the first has all it wants; what
that one leaves goes to the others by their weights, and so on. So the least served, by weight,
is served as well as can be.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from itertools import accumulate
from typing import TypeVar

K = TypeVar("K", bound=Hashable)


def fair_shares(
    room: float, wants: Mapping[K, float], weights: Mapping[K, float]
) -> dict[K, float]:
    """How much of ``room`` each gets, in the unit of ``room`` and ``wants``.

    Without a weight above 0 one gets nothing before all others have what they want; what is
    left then goes to those in the order of their names.
    """
    shares = dict.fromkeys(wants, 0.0)
    left = max(0.0, room)
    weighted = {key: weights.get(key, 0.0) for key in wants if weights.get(key, 0.0) > 0}
    # By what one wants for each unit of weight: who is satisfied first comes first.
    order = sorted(weighted, key=lambda key: wants[key] / weighted[key])
    # Of each and all after it, summed from the end: subtracted, they would drift below one.
    totals = list(accumulate(weighted[key] for key in reversed(order)))
    for key, total in zip(order, reversed(totals), strict=True):
        shares[key] = max(0.0, min(wants[key], left * (weighted[key] / total)))
        left -= shares[key]
    for key in sorted((key for key in wants if key not in weighted), key=str):
        shares[key] = max(0.0, min(wants[key], left))
        left -= shares[key]
    return shares
