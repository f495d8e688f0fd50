"""Weighted max-min fairness: divides capacity by weight, up to what each party wants.

Capacity is divided in proportion to the weights until one party has all that it wants; the rest
is divided among the others by their weights, and so on. This maximizes the allocation of the
party that gets least for its weight.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from itertools import accumulate
from typing import TypeVar

K = TypeVar("K", bound=Hashable)


def fair_shares(
    room: float, wants: Mapping[K, float], weights: Mapping[K, float]
) -> dict[K, float]:
    """Returns how much of ``room`` each key gets, in the unit of ``room`` and ``wants``.

    A key without a weight above 0 gets nothing before all weighted keys have what they want.
    What is left goes to the keys without a weight in the order of their names.
    """
    shares = dict.fromkeys(wants, 0.0)
    left = max(0.0, room)
    weighted = {key: weights.get(key, 0.0) for key in wants if weights.get(key, 0.0) > 0}
    # In order of what each wants per unit of weight: whoever is satisfied first comes first.
    order = sorted(weighted, key=lambda key: wants[key] / weighted[key])
    # The weight of each key and all keys after it, summed from the end: subtracting weights
    # from the total instead would accumulate rounding errors, and the total could fall below
    # the weight of the last key, which would then get more than is left.
    totals = list(accumulate(weighted[key] for key in reversed(order)))
    for key, total in zip(order, reversed(totals), strict=True):
        shares[key] = max(0.0, min(wants[key], left * (weighted[key] / total)))
        left -= shares[key]
    for key in sorted((key for key in wants if key not in weighted), key=str):
        shares[key] = max(0.0, min(wants[key], left))
        left -= shares[key]
    return shares
