"""Who follows, as the issuers' store holds it: what a leader leaves to the one after it.

A lease is given only to one whose name the store surely holds, so a later leader knows of everyone who may
have one, whatever ended the leader that gave it: it counts their leases from its own start, and names those
that a version does not reach.  Names alone are kept.  They change when a follower is first heard of or
forgotten, never with a renewal, and no clock reading goes along, as another machine could not read it:
whoever takes the roll over counts the time of silence anew.

One write is under way at a time; what changes meanwhile goes with the next one.
"""

from __future__ import annotations

from .events import FollowerId, KeepRoll

NAME_MOST = 253  # bytes of a follower's name: 4,096 of them fit into one value of the store

Names = frozenset[FollowerId]
NOBODY: Names = frozenset()


class Roll:
    """`held`: the names that the store surely holds, under this leader's epoch or before."""

    __slots__ = ("asked", "asked_at", "held", "number")

    def __init__(self) -> None:
        self.held: Names = NOBODY
        self.asked: Names | None = None  # of the write under way
        self.asked_at, self.number = 0, 0

    def begin(self, held: Names) -> None:
        """A new leader has read it."""
        self.held, self.asked = held, None

    def write(self, now: int, epoch: int, wanted: Names, again_us: int) -> list[KeepRoll]:
        """What the store is to be asked, if anything; the same again after `again_us` without an answer."""
        if self.asked is None and wanted == self.held:
            return []
        if self.asked is not None and now - self.asked_at < again_us:
            return []
        if wanted != self.asked:
            self.number += 1
        self.asked, self.asked_at = wanted, now
        self.held &= wanted  # the write may be carried out and its answer be lost
        return [KeepRoll(epoch, self.number, wanted)]

    def kept(self, number: int) -> Names:
        """The store has taken it; those that it holds only now.  An answer to an earlier write tells nothing,
        as a later one may have taken names away."""
        if self.asked is None or number != self.number:
            return NOBODY
        new, self.held, self.asked = self.asked - self.held, self.asked, None
        return new
