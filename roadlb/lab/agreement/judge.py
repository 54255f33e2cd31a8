"""What contradictions were seen, from what was sent alone.  No I/O.

Two customers take turns: each version gives one of them its quota and takes the other's away.  So whoever
sends the one's requests may not do so while any balancer may send the other's.

    claim     what must hold
    bound     from when the version that takes a quota away was proposed, its requests end within the bound
    instant   once any balancer has sent a request that this version grants, none of what it takes away
              follows, in the order of the kernel's queue, in which no delay counts

A balancer that is stopped between its look at the clock and the datagram sends that one when it goes on: one
for each stop, which the design names.  So the first after each stop is held against nobody (`in_hand`).

A turn begins when its order was sent and is known to have been taken when the answer came.  The true
beginning lies between; what is counted from the order is never too short.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Sent:
    """A request came from a balancer, at this time of the machine's monotonic clock, in the queue's order."""

    at: int
    balancer: str
    what: str


@dataclass(frozen=True, slots=True)
class Turn:
    """From now on `gives` has its quota and `takes` has none: ordered, and answered as proposed.

    `lost`: its leader ended before anybody else knew of it, so that it was never in force; nothing is judged.
    """

    ordered: int
    answered: int
    gives: str
    takes: str
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Contradiction:
    """`lasted_us`: how long after the turn began the last request of what it takes came; `by`: whose it was.

    `after_us`: how long after the first request that the turn grants; below 0: not after it.  `force_us`:
    how long after the order that first request came; -1: none did.  `seen_us`: until the next turn, which
    allows those requests again: of a turn shorter than the bound no more is known.
    """

    turn: Turn
    lasted_us: int
    by: str
    after_us: int
    granted: bool
    force_us: int
    seen_us: int = 1 << 62


def in_hand(sent: Sequence[Sent], went_on: Sequence[tuple[int, str]]) -> set[int]:
    """Where in `sent` the first datagram of each balancer is after each time that it went on."""
    found, wakes = set[int](), dict[str, list[int]]()
    for at, balancer in sorted(went_on, reverse=True):
        wakes.setdefault(balancer, []).append(at)
    for i, one in enumerate(sent):
        waits = wakes.get(one.balancer)
        if waits and one.at >= waits[-1]:
            found.add(i)
            while waits and one.at >= waits[-1]:
                waits.pop()
    return found


def judge(
    turns: Sequence[Turn], sent: Sequence[Sent], went_on: Sequence[tuple[int, str]] = ()
) -> list[Contradiction]:
    """One for each turn that was not lost; the last one's requests must have had time to end.

    `went_on`: when which balancer, having been stopped, was told to go on.
    """
    hand = in_hand(sent, went_on)
    found = list[Contradiction]()
    at = 0
    for i, turn in enumerate(turns):
        end = turns[i + 1].ordered if i + 1 < len(turns) else 1 << 62
        while at < len(sent) and sent[at].at < turn.ordered:
            at += 1
        last: Sent | None = None
        first: Sent | None = None
        for j in range(at, len(sent)):
            one = sent[j]
            if one.at >= end:
                break
            if one.what == turn.takes and j not in hand:
                last = one
            elif one.what == turn.gives and first is None:
                first = one
        if turn.lost:
            continue
        found.append(
            Contradiction(
                turn,
                last.at - turn.ordered if last else 0,
                last.balancer if last else "",
                last.at - first.at if last and first else -1,
                first is not None,
                first.at - turn.ordered if first else -1,
                end - turn.ordered,
            )
        )
    return found
