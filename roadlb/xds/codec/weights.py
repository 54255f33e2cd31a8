"""The fleet's weights, any numbers from 0, as the whole numbers from 1 that the wire has.

A scale stands for a whole cluster: what a weight of 1.0 is on the wire.  It is told with each locality, so
that a reader finds the weights again; where a weight is rounded, its exact value is told with the endpoint.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .protos import CodecError

# A ramp in steps of a thousandth is told without rounding.
USUAL = 3
# The largest weight becomes at least this on the wire, so that shares are good to 1% or better.
LARGEST_LEAST = 100
# Envoy wants the sum over a locality within 32 bits.
SUM_MOST = 2**32 - 1
WEIGHT_MOST = 1e12
FINEST = 12


def usual_scale(weights: Iterable[float]) -> float:
    """The power of ten for a cluster with these weights: 1000, unless they are very large or very small.

    It depends on the largest weight and the sum only, so that a small change seldom changes it.
    """
    found = list(weights)
    largest, total, power = max(found, default=0.0), math.fsum(found), USUAL
    while total * 10.0**power + len(found) > SUM_MOST and total > 0 and power > -FINEST:
        power -= 1
    while 0 < largest * 10.0**power < LARGEST_LEAST and power < FINEST:
        power += 1
    return 10.0**power


def on_the_wire(weight: float, scale: float) -> int:
    """The number that is sent; a weight of 0 is 1 there, and the endpoint's health says that it is closed."""
    if not 0 <= weight <= WEIGHT_MOST:
        raise CodecError(f"weight {weight!r}: must be a number from 0 to {WEIGHT_MOST:.0e}")
    return max(1, min(round(weight * scale), SUM_MOST))


def exact(weight: float, scale: float) -> bool:
    """Whether the wire says this weight without rounding."""
    return 0 < weight <= WEIGHT_MOST and on_the_wire(weight, scale) / scale == weight
