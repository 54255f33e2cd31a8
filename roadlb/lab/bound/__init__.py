"""What a fleet could have carried at most in a rehearsal, whatever its balancers believed.

    capacity = Capacity(log, drawn.kinds)         true capacity of the nodes, by their starts, ends and warmth
    asked = demand(incident, drawn, random, log, origin_us)       every wish: when, worth, work, key
    bound = Bound(incident, drawn, log, capacity, asked)
    bound.by_second(first, last)                  worth that each second's capacity could have carried

It reads the wire log and what the run has drawn, and nothing that a balancer says.
"""

from .bound import Bound
from .capacity import Capacity
from .carry import Group, first, greedy
from .demand import Asked, demand

__all__ = ["Asked", "Bound", "Capacity", "Group", "demand", "first", "greedy"]
