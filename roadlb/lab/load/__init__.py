"""Open-loop load on a balancer on this machine, in real time, and how it answered."""

from .loopback import NotLoopback, loopback_address
from .play import NoAnswer, load
from .result import Cell, LoadResult, Stair
from .tables import for_machines, print_result, progress_line

__all__ = [
    "Cell",
    "LoadResult",
    "NoAnswer",
    "NotLoopback",
    "Stair",
    "for_machines",
    "load",
    "loopback_address",
    "print_result",
    "progress_line",
]
