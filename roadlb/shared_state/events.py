"""What `roadlb.shared_state` is told and what it answers.

A **resource** is a budget of all balancers together, by a key of eight bytes; a **member** is one process, by
its name and its life (`roadlb.membership.events`).  Shares are whole numbers of units, of which a budget has
`Terms.whole`.  All times are integer microseconds of the process's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b
from typing import TypeAlias

Key: TypeAlias = bytes
KEY = 8  # bytes


class Budget(IntEnum):
    """What a budget is of."""

    COLD = 1  # a cold server's room
    QUOTA = 2  # a customer's requests a second
    REPEATS = 3  # attempts beyond each request's first, a second
    DIALS = 4  # requests a second to a hall that is lost or returns


class Sort(IntEnum):
    """What is counted."""

    SENT = 1  # to a server
    SERVED = 2  # for a customer
    REFUSED = 3  # of a class


def key(kind: IntEnum, name: bytes) -> Key:
    """The eight bytes that stand for a resource or a counted thing, alike at all balancers.

    Two names with one key (chance: one in 10^13 for a thousand names) would share one ledger, which keeps the
    bound of both.
    """
    return blake2b(bytes([kind]) + name, digest_size=KEY, person=type(kind).__name__.encode()[:16]).digest()


def short(server: bytes) -> Key:
    """The eight bytes that stand for a server."""
    return blake2b(server, digest_size=KEY).digest()


# Budgets


@dataclass(slots=True, frozen=True)
class Needs:
    """What this balancer could use of each resource, in units, at the moment; absent: nothing."""

    units: Mapping[Key, int]


@dataclass(slots=True, frozen=True)
class Partners:
    """The other members that are there, by name."""

    names: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Beside:
    """So many processes, this one among them, are this one balancer now."""

    count: int


@dataclass(slots=True, frozen=True)
class Pulse:
    """Several times a second, whatever happens."""


@dataclass(slots=True, frozen=True)
class Ask:
    """A taker's whole account with one giver: of each resource what it holds from now on at the most, and
    what it would like to hold; what is not in `items` it holds nothing of.

    `number` grows with each ask of a life, to whomever.  `instances` as configured: others' parts differ.
    """

    number: int
    instances: int
    items: tuple[tuple[Key, int, int], ...]  # resource, hold, want


@dataclass(slots=True, frozen=True)
class Answer:
    """A giver's answer to the ask of this number by this life: what the taker may hold, for a lease."""

    life: int
    number: int
    items: tuple[tuple[Key, int], ...]  # resource, units


@dataclass(slots=True, frozen=True)
class Came:
    """A message has come from a member's life."""

    sender: str
    life: int
    message: Ask | Answer


@dataclass(slots=True, frozen=True)
class Agreed:
    """What agreed versions say of the wholes: among how many balancers they are divided, and of customers'
    quotas, by number, the part of the settings' that holds; absent: all of it."""

    instances: int  # 0: nothing is said, and the settings hold
    wholes: Mapping[int, float]


@dataclass(slots=True, frozen=True)
class Among:
    """Among so many balancers each budget is divided from now on, as an agreed version says."""

    instances: int


BudgetEvent: TypeAlias = Needs | Partners | Beside | Pulse | Came | Among


@dataclass(slots=True, frozen=True)
class Tell:
    """Send this to a member.  What it gives away has been deducted already."""

    to: str
    message: Ask | Answer
