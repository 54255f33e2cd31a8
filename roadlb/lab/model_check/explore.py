"""Breadth first through all states of a shape: the shortest way to what must not be, or their number."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .world import Shape, World, steady


@dataclass(frozen=True, slots=True)
class Found:
    """`states` seen, `steps` tried, `depth` of the deepest; `whole`: none was left out.  `wrong`: what must
    not be, and the `way` there; `recovered`: states from which it was tried that all come to agree."""

    states: int
    steps: int
    depth: int
    whole: bool
    recovered: int
    wrong: str = ""
    way: tuple[str, ...] = ()


def explore(shape: Shape, most: int, recover_each: int = 0) -> Found:
    """As `Found`.  Ends after `most` states, told apart by 64 bits of their keys; of each
    `recover_each`-th one it is tried whether all come to agree once faults end (0: of none)."""
    start = steady(shape)
    came: dict[int, tuple[int, str]] = {hash(start.key()): (0, "")}
    waiting = deque([(start, hash(start.key()), 0)])
    steps = depth = recovered = 0
    while waiting:
        world, at, depth = waiting.popleft()
        for name, new in world.steps():
            steps += 1
            key = hash(new.key())
            if key in came:
                continue
            came[key] = (at, name)
            wrong = new.wrong
            if not wrong and recover_each and len(came) % recover_each == 0:
                recovered += 1
                wrong = "" if new.recovers() else "all faults have ended, and they do not come to agree"
            if wrong:
                return Found(len(came), steps, depth + 1, False, recovered, wrong, _way(came, key))
            if len(came) >= most:
                return Found(len(came), steps, depth + 1, False, recovered)
            waiting.append((new, key, depth + 1))
    return Found(len(came), steps, depth, True, recovered)


def _way(came: dict[int, tuple[int, str]], key: int) -> tuple[str, ...]:
    names = []
    while (entry := came[key])[1]:
        key = entry[0]
        names.append(entry[1])
    return tuple(reversed(names))


__all__ = ["Found", "World", "explore"]
