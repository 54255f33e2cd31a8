"""What `roadlb.sites.life.Sites` is told and what it answers.  A site is a hall, by its number."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class State(Enum):
    """How a site stands with this balancer; `life.STEPS` has how it gets from one to another."""

    WHOLE = "whole"
    DOUBTFUL = "doubtful"  # some of its servers are silent, and none has answered since
    LOST = "lost"  # nothing is sent there but a trial now and then
    RETURNING = "returning"  # it answers again, and takes load in steps
    OUT = "out"  # an operator has taken it out of service


@dataclass(slots=True, frozen=True)
class ServersListed:
    """The server list has changed: of each site, its servers that are up, with the clock time of their start.

    A start of 0 is long ago, or not known.
    """

    sites: Mapping[int, Mapping[bytes, int]]


@dataclass(slots=True, frozen=True)
class ServerAnswered:
    """A server has answered, whatever it said, after `took_us`; an `order` if it was a request that may
    not be repeated."""

    site: int
    server: bytes
    order: bool = False
    took_us: int = 0


@dataclass(slots=True, frozen=True)
class AttemptFailed:
    """An attempt at a server never came up, broke, or was not answered in time."""

    site: int
    server: bytes
    order: bool = False


@dataclass(slots=True, frozen=True)
class RequestSent:
    """A request goes to a server of the site."""

    site: int
    server: bytes = b""
    order: bool = False


@dataclass(slots=True, frozen=True)
class TakeOut:
    """An operator's word: nothing new goes to this site."""

    site: int


@dataclass(slots=True, frozen=True)
class PutIn:
    """An operator's word: the site is to take load again, in steps."""

    site: int


@dataclass(slots=True, frozen=True)
class ReportedSilent:
    """Since this clock time the site does not answer others, who ask it as this balancer could have done;
    they say so until then."""

    site: int
    since_us: int
    until_us: int


@dataclass(slots=True, frozen=True)
class Tick:
    """Once a second, whatever happens."""


Event: TypeAlias = (
    ServersListed | ServerAnswered | AttemptFailed | RequestSent | TakeOut | PutIn | ReportedSilent | Tick
)


@dataclass(slots=True, frozen=True)
class StateChanged:
    """A site is in another state now; `cause` is for a person."""

    site: int
    before: State
    after: State
    cause: str

    def __str__(self) -> str:
        return f"site {self.site}: {self.before.value} to {self.after.value}: {self.cause}"


@dataclass(slots=True, frozen=True)
class CommandRejected:
    """An operator's word that is not followed, and why."""

    site: int
    cause: str

    def __str__(self) -> str:
        return f"site {self.site}: {self.cause}"


@dataclass(slots=True, frozen=True)
class OrderAvoidanceChanged:
    """Requests that may not be repeated keep away from the site now, or go there again; why, for a person."""

    site: int
    away: bool
    cause: str

    def __str__(self) -> str:
        return f"site {self.site}: orders {'keep away' if self.away else 'go there'}: {self.cause}"


Action: TypeAlias = StateChanged | CommandRejected | OrderAvoidanceChanged


@dataclass(slots=True, frozen=True)
class SiteView:
    """What is believed of one site.  `share`, 0..1: the part of its usual load that it may take now."""

    site: int
    state: State
    share: float
    servers: int
    silent: int  # servers that failed since the last answer from any
    since_us: int  # clock time of the last change of state
    relapses: int  # losses during or soon after a return, in a row
    last_answer_us: int = -1  # clock time of its last answer; -1: never
    orders_away: bool = False  # it answers other requests, and orders keep away
