"""The most worth that so much capacity carries: greedy by worth for the work, which is best for fractions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Group:
    """Requests that nobody can tell apart: the worth of all of them, and the work that all would take."""

    name: str
    worth: float
    work_us: float


def by_worth(group: Group) -> tuple[float, ...]:
    """First what is worth most for its work; what takes none goes before everything."""
    return (-group.worth / group.work_us if group.work_us else -float("inf"),)


def first(name: str) -> Callable[[Group], tuple[float, ...]]:
    """First all of one name, then what is worth most for its work."""
    return lambda group: (group.name != name, *by_worth(group))


def greedy(
    groups: Sequence[Group], capacity_us: float, order: Callable[[Group], tuple[float, ...]] = by_worth
) -> float:
    """The worth that fits, where groups are taken in this order and the last one that fits at all in part."""
    left, worth = max(0.0, capacity_us), 0.0
    for group in sorted(groups, key=order):
        share = min(1.0, left / group.work_us) if group.work_us > 0 else 1.0
        worth += share * group.worth
        left -= share * group.work_us
        if left <= 0 and group.work_us > 0:
            break
    return worth
