"""Deliberate defects, each of which the model must find: a proof that cannot fail proves nothing."""

from __future__ import annotations

from dataclasses import replace

from ...agreement.events import Contents, FollowerId, IssuerAction, Leading, VersionId
from ...agreement.follower import Follower
from ...agreement.issuer import Issuer, Peer
from .world import SECOND, Shape


class Unfenced(Follower):
    """Acts on messages of any epoch, and compares versions by their numbers alone."""

    __slots__ = ()

    def _fenced(self, epoch: int) -> bool:
        return False

    def _newer(self, id: VersionId) -> bool:
        return self.told is None or id != self.told.id and id.number >= self.told.id.number


class NoFloor(Follower):
    """Goes on with its grants when it hears nothing."""

    __slots__ = ()

    def _floor(self, bound: Contents) -> Contents:
        return bound


class Hasty(Issuer):
    """Grants as soon as one has acknowledged, before the others' ends."""

    __slots__ = ()

    def holds_up(self, now: int, peer: Peer, id: VersionId) -> bool:
        return all(other.acked != id for other in self.peers.values())


class Forgetful(Issuer):
    """A new leader knows of nobody but those that it has heard itself."""

    __slots__ = ()

    def _take_roll(self, now: int, event: Leading) -> None:
        pass


class Stubborn(Issuer):
    """Goes on when it hears of a later epoch."""

    __slots__ = ()

    def _outrun(self, now: int, name: FollowerId, epoch: int) -> list[IssuerAction]:
        return []


class Unlisted(Issuer):
    """Gives leases to whoever asks, on the roll or not."""

    __slots__ = ()

    def _enrol(self, now: int) -> list[IssuerAction]:
        self.roll.held = frozenset(self.peers)
        return []


# A follower has one stream at a time, and what it says first there ends a leader of an earlier epoch: so its
# own fence is the second bar, missed only where such a leader goes on (`Stubborn`).
STREAMS = Shape(followers=1, rates=(4, 4, 5), seats=1, ticks=2, on_the_way=1, streams=True, moves=2)

DEFECTS = {
    "no fencing": Shape(
        followers=1,
        rates=(4, 4, 5),
        follower=Unfenced,
        seats=1,
        proposals=(SECOND, SECOND),
        ticks=2,
        on_the_way=1,
    ),
    "no fencing, and a leader that goes on": replace(STREAMS, follower=Unfenced, issuer=Stubborn),
    "lease by wall clock": Shape(wall_leases=True, wall=40, ticks=6, on_the_way=1),
    "ack before store": Shape(ack_first=True, crashes=1, ticks=3, on_the_way=1),
    "grant before the other's end": Shape(issuer=Hasty, ticks=3, on_the_way=1),
    "a roll that is not read": Shape(
        issuer=Forgetful, seats=1, renews=1, proposals=(), ticks=4, on_the_way=1
    ),
    "a lease before the roll": Shape(issuer=Unlisted, seats=0, proposals=(), ticks=2, on_the_way=1),
    "a floor that is not a floor": Shape(follower=NoFloor, ticks=6, on_the_way=1),
}
