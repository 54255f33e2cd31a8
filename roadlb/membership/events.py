"""What `roadlb.membership.members.Members` is told and what it answers, and what ride on its datagrams.

An **incarnation** is one 64-bit number that only grows for a name: the process's *life* in the upper 48 bits
and, below, how often that process has refuted a suspicion.  A life is the wall clock's milliseconds at the
start of the process.  Clocks need not agree: lives are compared for one name only, and a process that
finds itself known under a greater one than its own takes the next above it.  **Who keeps things by process
keys them by `life_of(incarnation)`**, which a refutation leaves as it is and a restart does not.

Parts that ride on the datagrams (`roadlb.shared_state`) need this much of `roadlb.net.peers.Peers`, and may
be handed anything that has it:

    watch(call)                 call(news: News) for all that becomes known of members, in order
    listen(kind, call)          call(sender: str, life: int, payload: bytes) for each item of that Kind
    send(name, kind, payload)   to one member, in its next datagram, which leaves in this turn of the loop;
                                False where it is not known or the payload is over PAYLOAD_MOST bytes
    spread(kind, payload, most) to `most` members that are there, drawn afresh each time; None: to all
    members()                   all Members known, the dead and itself too; `live()`: how many are there

Datagrams are lost, doubled and overtaken; what comes is by a holder of the key, from a process that has
proved that it runs now, and never the same datagram twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TypeAlias

LIFE_SHIFT = 16  # bits below a life, for refutations
NAME_MOST = 64  # bytes of a name, or of a hall's


def first_incarnation(wall_ms: int) -> int:
    """Of a process that starts at this time, in milliseconds since 1970 by its own wall clock."""
    return (wall_ms & (1 << 48) - 1) << LIFE_SHIFT


def life_of(incarnation: int) -> int:
    """The process's part of an incarnation."""
    return incarnation >> LIFE_SHIFT


class Kind(IntEnum):
    """What an item of a datagram is; bytes of other kinds are passed over, for a newer neighbour's sake."""

    MEMBERSHIP = 1
    SHARES = 2
    COUNTS = 3
    JUDGEMENTS = 4


class State(IntEnum):
    """How a member stands.  At equal incarnations the greater overrides."""

    ALIVE = 0
    SUSPECT = 1  # it has not answered; it may still refute
    DEAD = 2  # it has not refuted in time
    LEFT = 3  # it has said so itself


@dataclass(slots=True, frozen=True)
class Member:
    """One balancer as it is known: `host`, a numeric address, and `port` take its datagrams."""

    name: str
    host: str
    port: int
    hall: str
    incarnation: int
    state: State = State.ALIVE

    @property
    def life(self) -> int:
        return life_of(self.incarnation)


# What is told to listeners


class Cause(Enum):
    """Why a member is gone."""

    SILENT = "silent"  # suspected, and not refuted in time
    LEFT = "left"  # its own word


@dataclass(slots=True, frozen=True)
class Joined:
    """Not known before, or thought gone: it is there."""

    member: Member


@dataclass(slots=True, frozen=True)
class Suspected:
    """`by` doubts it; it counts as there until `Left`, or it refutes, which is a `Changed`."""

    member: Member
    by: str


@dataclass(slots=True, frozen=True)
class Changed:
    """It is there, but not as it was: a refutation, another address or hall, or a new life (`restarted`: all
    that its last process held is gone)."""

    member: Member
    restarted: bool


@dataclass(slots=True, frozen=True)
class Left:
    """It is gone."""

    member: Member
    cause: Cause


@dataclass(slots=True, frozen=True)
class Doubted:
    """This process has found that it was not running: for `late_us` nothing of it ran.  What it holds for a
    time by the clock (leases) may be over, and queues hold what is old."""

    late_us: int


@dataclass(slots=True, frozen=True)
class CutOff:
    """This process hears nobody any more, or (`off` false) somebody again, after `silent_us`.  All others
    stay as they were meanwhile."""

    off: bool
    silent_us: int


News: TypeAlias = Joined | Suspected | Changed | Left | Doubted | CutOff


# What the decider is told


@dataclass(slots=True, frozen=True)
class Start:
    """Begin: the first tick is now."""


@dataclass(slots=True, frozen=True)
class Tick:
    """The time asked for by `WakeAt` has come, or is past."""


@dataclass(slots=True, frozen=True)
class Received:
    """A datagram with an intact tag.  `trusted`: its life has proved that it runs (`admission.Verdict.PASS`);
    `payload`: its item of kind MEMBERSHIP, empty if it has none."""

    sender: str
    incarnation: int
    payload: bytes
    trusted: bool


@dataclass(slots=True, frozen=True)
class Leave:
    """This process ends; it says so to others."""


Event: TypeAlias = Start | Tick | Received | Leave


# What it answers


@dataclass(slots=True, frozen=True)
class Send:
    """An item of kind MEMBERSHIP for this address."""

    host: str
    port: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class Tell:
    """To all who watch."""

    news: News


@dataclass(slots=True, frozen=True)
class Trust:
    """This life of a name runs now, by its own answer or the word of one who is trusted."""

    name: str
    life: int


@dataclass(slots=True, frozen=True)
class Distrust:
    """Nothing of this name runs, as far as is known: what comes under it has to prove itself anew."""

    name: str


@dataclass(slots=True, frozen=True)
class Odd:
    """Something to be counted: `garbled`, `refuted`, `elder` (known under a greater life than our own),
    `crowded` (more members than are kept), `unproved`, `probe_failed`, `pull_refused`."""

    what: str


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Give a `Tick` at this time; one is asked for at a time."""

    at_us: int


Action: TypeAlias = Send | Tell | Trust | Distrust | Odd | WakeAt
