"""What both sides of the agreement are told, what they answer, and the messages between them.

Times are integer microseconds of the monotonic clock of whoever holds them; a message carries lengths of
time, never an instant.  docs/design/agreement.md has the protocol step by step.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import TypeAlias

from ..fleet.model import Cluster

FollowerId: TypeAlias = str

NONE_HELD: Mapping[str, Cluster] = MappingProxyType({})


@dataclass(slots=True, frozen=True, order=True)
class VersionId:
    """Which version: the epoch of the leader that made it, and its number, which grows across epochs too.

    The order is the epoch's first; nothing goes back.  (0, 0) is before the first version.
    """

    epoch: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"


NOTHING = VersionId()


@dataclass(slots=True, frozen=True)
class Contents:
    """What a version says: settings by path, as in `config.Pairs`, and the list by cluster.  Not changed."""

    settings: Mapping[str, str] = field(default_factory=lambda: MappingProxyType({}))
    clusters: Mapping[str, Cluster] = field(default_factory=lambda: NONE_HELD)


@dataclass(slots=True, frozen=True)
class Version:
    """`meant`: an operator's word that what a guard would refuse in it is meant; empty: there is none."""

    id: VersionId
    contents: Contents
    meant: str = ""


# Messages from the issuer.  `epoch` is the leader's own; a version may be of an earlier one.


@dataclass(slots=True, frozen=True)
class Prepare:
    """Keep to what this version narrows from now on, and say whether it can be taken."""

    epoch: int
    version: Version


@dataclass(slots=True, frozen=True)
class InForce:
    """The version is in force: whoever has acknowledged it gets a lease for it for the asking."""

    epoch: int
    id: VersionId


@dataclass(slots=True, frozen=True)
class Lease:
    """The answer to the `Ask` of that life and number: `id`, which is in force, may be used for `lease_us`,
    counted from when that `Ask` was sent."""

    epoch: int
    id: VersionId
    life: int
    number: int
    lease_us: int


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """A version that was prepared will not be in force: a follower has refused it, or the operator."""

    epoch: int
    id: VersionId
    reason: str


FromIssuer: TypeAlias = Prepare | InForce | Lease | Withdrawn


# Messages from a follower.


@dataclass(slots=True, frozen=True)
class Ask:
    """Wants a lease.  `force` is the newest version in force that it keeps to, `told` the newest that it has
    acknowledged, `epoch` the highest that it has heard of; `life` tells one run of it from the next, `number`
    one `Ask` of it from the next."""

    life: int
    number: int
    epoch: int
    force: VersionId
    told: VersionId


@dataclass(slots=True, frozen=True)
class Ack:
    """The version is remembered, and what it narrows holds."""

    id: VersionId


@dataclass(slots=True, frozen=True)
class Nack:
    """The version is refused.  `reason` names the check and is for a person."""

    id: VersionId
    reason: str


@dataclass(slots=True, frozen=True)
class Fenced:
    """A message of an epoch that is over: it was not acted on.  `epoch` is the highest heard of."""

    epoch: int


FromFollower: TypeAlias = Ask | Ack | Nack | Fenced


# What a follower is told


@dataclass(slots=True, frozen=True)
class Memory:
    """What a follower keeps from one life to the next.

    `bound` is what it may use at the most: less than `told` until that is in force.  `told` is the newest
    version that it has taken; `force` the newest in force that `bound` keeps to; `passed` those that it has
    taken since `bound` was a version as a whole.
    """

    epoch: int = 0
    force: VersionId = NOTHING
    told: Version | None = None
    bound: Contents | None = None
    passed: tuple[VersionId, ...] = ()


@dataclass(slots=True, frozen=True)
class Restarted:
    """The first event of a life: what the store holds.  `life` differs from those of all earlier lives."""

    life: int
    memory: Memory


@dataclass(slots=True, frozen=True)
class Offered:
    """A `Prepare` has come and the guard has looked at it; `refusal` is its reason, empty if it passes."""

    prepare: Prepare
    refusal: str = ""


@dataclass(slots=True, frozen=True)
class Heard:
    """Another message of the issuer has come."""

    message: InForce | Lease | Withdrawn


@dataclass(slots=True, frozen=True)
class Remembered:
    """The store holds what `Remember` of that number gave it, and will after a crash."""

    number: int


@dataclass(slots=True, frozen=True)
class Linked:
    """A stream to a control service is up anew; what was sent on the former one may be lost."""


@dataclass(slots=True, frozen=True)
class Pulse:
    """Time goes on.  Both sides want it at least every tenth of a lease."""


FollowerEvent: TypeAlias = Restarted | Offered | Heard | Remembered | Linked | Pulse


# What a follower answers


class Standing(Enum):
    """How a follower stands; `follower` has how it gets from one to another."""

    EMPTY = "empty"  # knows no version
    LAPSED = "lapsed"  # serves on the last good version, its grants at their floors
    GRANTED = "granted"  # has a lease for the version that it holds as in force
    NARROWED = "narrowed"  # the same, and keeps to what a prepared version narrows


@dataclass(slots=True, frozen=True)
class Tell:
    """To the control service that it follows."""

    message: FromFollower


@dataclass(slots=True, frozen=True)
class Apply:
    """These are the rules from now on.  `id` is the newest version that they keep to."""

    id: VersionId
    contents: Contents
    standing: Standing


@dataclass(slots=True, frozen=True)
class Remember:
    """Store this; answered by `Remembered` with the number once it would outlive a crash."""

    number: int
    memory: Memory


class Word(Enum):
    """What is told to the operator."""

    PREPARED = "prepared"
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"
    SUPERSEDED = "superseded"
    IN_FORCE = "in force"
    GRANTED = "granted"
    LAPSED = "lapsed"
    FENCED = "fenced"
    APART = "apart"  # hears nothing: what the list takes away does not reach it
    BACK = "back"
    UNKNOWN = "unknown"  # a follower holds a version that the issuer does not know
    FORGOTTEN = "forgotten"
    FULL = "full"
    LEADING = "leading"
    ALONE = "alone"  # leadership is not sure: nothing is granted, what narrows goes out
    DEPOSED = "deposed"
    DECLINED = "declined"


@dataclass(slots=True, frozen=True)
class Reported:
    """For the log and the operator: `about` is a follower, or empty."""

    word: Word
    id: VersionId
    about: FollowerId = ""
    text: str = ""


FollowerAction: TypeAlias = Tell | Apply | Remember | Reported


# What an issuer is told


@dataclass(slots=True, frozen=True)
class Book:
    """What the issuers' store holds: the version in force, and the newest prepared one if it is newer."""

    force: Version | None = None
    prepared: Version | None = None


@dataclass(slots=True, frozen=True)
class Leading:
    """This issuer leads, with an epoch higher than any before, until `until_us` of its own clock at least;
    `book` and `roll`, who may have a lease, were read under that epoch."""

    epoch: int
    until_us: int
    book: Book
    roll: frozenset[FollowerId] = frozenset()


@dataclass(slots=True, frozen=True)
class StillLeading:
    """Leadership is sure until then, counted from before the store was asked."""

    epoch: int
    until_us: int


@dataclass(slots=True, frozen=True)
class Deposed:
    """Another leads, or leadership was given up."""


@dataclass(slots=True, frozen=True)
class Propose:
    """New contents; an operator or the fleet's discovery wants them in force."""

    contents: Contents
    meant: str = ""


@dataclass(slots=True, frozen=True)
class From:
    """A follower's message."""

    follower: FollowerId
    message: FromFollower


@dataclass(slots=True, frozen=True)
class Kept:
    """The store holds this version as the one in force, written under this epoch and no higher one there."""

    id: VersionId


@dataclass(slots=True, frozen=True)
class Unkept:
    """The store did not take it, or it is not known whether it did.  It is tried again on a pulse, as it may
    have: nothing else can be in force before that is known."""

    id: VersionId
    reason: str


@dataclass(slots=True, frozen=True)
class RollKept:
    """The store holds what `KeepRoll` of that number gave it.  Unanswered, it is asked again on a pulse."""

    number: int


@dataclass(slots=True, frozen=True)
class Exclude:
    """An operator's word: this follower's refusal stops nothing, and it gets no lease.  One that it has runs
    out before anything is granted."""

    follower: FollowerId


@dataclass(slots=True, frozen=True)
class Include:
    """An operator's word: it counts again."""

    follower: FollowerId


IssuerEvent: TypeAlias = (
    Leading | StillLeading | Deposed | Propose | From | Kept | Unkept | RollKept | Exclude | Include | Pulse
)


# What an issuer answers


@dataclass(slots=True, frozen=True)
class To:
    """To one follower; a message that cannot be sent is lost, and comes again."""

    follower: FollowerId
    message: FromIssuer


@dataclass(slots=True, frozen=True)
class Keep:
    """Write into the store, only if `epoch` is still the highest there.

    Writes are made in the order of these actions.  What is in `book.force` is answered by `Kept` or `Unkept`;
    one that the issuer does not wait for may be left unanswered.
    """

    epoch: int
    book: Book


@dataclass(slots=True, frozen=True)
class KeepRoll:
    """Write who follows into the store, only if `epoch` is still the highest there; `RollKept` answers."""

    epoch: int
    number: int
    names: frozenset[FollowerId]


IssuerAction: TypeAlias = To | Keep | KeepRoll | Reported


# What both sides show


@dataclass(slots=True, frozen=True)
class FollowerView:
    """How a follower stands, by its own account; `left_us` of its lease."""

    standing: Standing
    epoch: int
    force: VersionId
    told: VersionId
    left_us: int


@dataclass(slots=True, frozen=True)
class PeerView:
    """What the issuer knows of one follower.  `left_us`: until its lease is surely gone; `silent_us`: since
    it was heard of; `heard`: False for one that is known by the roll alone, whose times count from when this
    issuer began to lead."""

    follower: FollowerId
    acknowledged: VersionId
    force: VersionId
    left_us: int
    silent_us: int
    apart: bool
    excluded: bool
    refused: str
    heard: bool = True


@dataclass(slots=True, frozen=True)
class Line:
    """What has become of a version."""

    id: VersionId
    word: Word
    text: str


@dataclass(slots=True, frozen=True)
class IssuerView:
    """How the agreement stands; `history` from the oldest on."""

    leads: bool
    epoch: int
    force: VersionId
    prepared: VersionId
    waits_us: int
    peers: tuple[PeerView, ...]
    history: tuple[Line, ...]
