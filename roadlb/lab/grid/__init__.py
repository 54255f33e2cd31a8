"""A grid to try balancers with, in real time on loopback, and a table of it that lives."""

from .live import NotReady, grid
from .picture import BalancerRow, NodeRow, Picture
from .table import line, tables
from .watch import Watch

__all__ = ["BalancerRow", "NodeRow", "NotReady", "Picture", "Watch", "grid", "line", "tables"]
