"""Input events and resulting actions of `roadlb.sites.state_machine.Sites`.

A site is a zone, given by its number.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class State(Enum):
    """The state of a site as this balancer sees it; the transitions are listed in `state_machine`."""

    WHOLE = "whole"
    DOUBTFUL = "doubtful"  # some of its servers do not answer, and none has answered since
    LOST = "lost"  # nothing is sent there except an occasional trial
    RETURNING = "returning"  # it answers again, and its load is raised in steps
    OUT = "out"  # an operator has taken it out of service


@dataclass(slots=True, frozen=True)
class ServersListed:
    """The server list has changed: the servers that are up in each site, with the clock time of their start.

    A start time of 0 means long ago, or unknown.
    """

    sites: Mapping[int, Mapping[bytes, int]]


@dataclass(slots=True, frozen=True)
class ServerAnswered:
    """A server has sent any answer, `took_us` after the request; `order`: the request may not be
    repeated."""

    site: int
    server: bytes
    order: bool = False
    took_us: int = 0


@dataclass(slots=True, frozen=True)
class AttemptFailed:
    """An attempt at a server could not connect, was cut off, or was not answered in time."""

    site: int
    server: bytes
    order: bool = False


@dataclass(slots=True, frozen=True)
class RequestSent:
    """A request is being sent to a server of the site."""

    site: int
    server: bytes = b""
    order: bool = False


@dataclass(slots=True, frozen=True)
class TakeOut:
    """An operator's command: send nothing new to this site."""

    site: int


@dataclass(slots=True, frozen=True)
class PutIn:
    """An operator's command: let the site take load again, in steps."""

    site: int


@dataclass(slots=True, frozen=True)
class ReportedSilent:
    """Other balancers report that the site has not answered them since `since_us`.

    They send it requests as this balancer would.  The report holds until `until_us`; both are clock times.
    """

    site: int
    since_us: int
    until_us: int


@dataclass(slots=True, frozen=True)
class Tick:
    """Sent once a second."""


Event: TypeAlias = (
    ServersListed | ServerAnswered | AttemptFailed | RequestSent | TakeOut | PutIn | ReportedSilent | Tick
)


@dataclass(slots=True, frozen=True)
class StateChanged:
    """A site has changed its state; `cause` is a text for people."""

    site: int
    before: State
    after: State
    cause: str

    def __str__(self) -> str:
        return f"site {self.site}: {self.before.value} to {self.after.value}: {self.cause}"


@dataclass(slots=True, frozen=True)
class CommandRejected:
    """An operator's command that was rejected, and why."""

    site: int
    cause: str

    def __str__(self) -> str:
        return f"site {self.site}: {self.cause}"


@dataclass(slots=True, frozen=True)
class OrderAvoidanceChanged:
    """Requests that may not be repeated now avoid the site, or go there again.

    `cause` is a text for people.
    """

    site: int
    away: bool
    cause: str

    def __str__(self) -> str:
        return f"site {self.site}: orders {'keep away' if self.away else 'go there'}: {self.cause}"


Action: TypeAlias = StateChanged | CommandRejected | OrderAvoidanceChanged


@dataclass(slots=True, frozen=True)
class SiteView:
    """The state of one site.  `share`, 0..1: the part of its usual load that it may take now."""

    site: int
    state: State
    share: float
    servers: int
    silent: int  # servers that have failed since the last answer from any of them
    since_us: int  # clock time of the last state change
    relapses: int  # consecutive losses during or soon after a return
    last_answer_us: int = -1  # clock time of its last answer; -1: never
    orders_away: bool = False  # it answers other requests, but orders avoid it
