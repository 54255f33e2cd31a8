"""What happens to a grid node's inside (events), and what it does in return (actions).

`connection` is a number that the server gives to each connection that it accepts, and never gives twice.  A
connection carries one request at a time, so that the number also tells which request is meant; a
correlation id could not, as two copies of a request bear the same one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from .spec import Spoil


@dataclass(slots=True, frozen=True)
class Load:
    """A load report: errors a second, and requests waiting."""

    eps: float
    queue: float


@dataclass(slots=True, frozen=True)
class Connected:
    connection: int


@dataclass(slots=True, frozen=True)
class Disconnected:
    """The connection is gone, and with it whoever waited on it."""

    connection: int


@dataclass(slots=True, frozen=True)
class Request:
    """A request's last byte has come."""

    connection: int
    request: str  # correlation id
    work_us: int  # of a standard core, caches not counted
    key: str
    left_us: int  # how long the caller waits, from now on


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """The caller has given up what waits on this connection: it closed it, or its side of it."""

    connection: int


@dataclass(slots=True, frozen=True)
class Probe:
    connection: int


@dataclass(slots=True, frozen=True)
class Tick:
    """The time that `WakeAt` named has come."""


@dataclass(slots=True, frozen=True)
class Drain:
    """Finish what there is, turn new work away."""


@dataclass(slots=True, frozen=True)
class Pause:
    """The process is stopped: nothing runs, answers or reports.  What comes waits in its sockets."""


@dataclass(slots=True, frozen=True)
class Resume:
    pass


@dataclass(slots=True, frozen=True)
class Slow:
    factor: float  # of its usual speed; 1 ends it


@dataclass(slots=True, frozen=True)
class Ail:
    """From now on answers go wrong at these rates, in place of the spec's."""

    error_share: float = 0.0
    spoilt_share: float = 0.0
    spoilt_kinds: tuple[Spoil, ...] = ()


@dataclass(slots=True, frozen=True)
class Stop:
    """The process is dead."""


Event: TypeAlias = (
    Connected | Disconnected | Request | Withdrawn | Probe | Tick | Drain | Pause | Resume | Slow | Ail | Stop
)


@dataclass(slots=True, frozen=True)
class Began:
    """Work on a request has begun: from here on its effect may have happened."""

    connection: int
    request: str
    hit: bool  # its key was known


@dataclass(slots=True, frozen=True)
class Answer:
    """`kind`: `ok`, `error`, `unprocessed`, or how it is to be spoilt."""

    connection: int
    request: str
    status: int
    kind: str
    load: Load | None
    spoil: Spoil | None = None
    closes: bool = False  # the connection is of no use afterwards: there are too many


@dataclass(slots=True, frozen=True)
class ProbeAnswer:
    connection: int
    status: int
    load: Load | None


@dataclass(slots=True, frozen=True)
class Fell:
    """Pushed over: the process is gone, and all its connections are reset."""

    sent_us: int
    room_us: int  # what it could have done in the window


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Give it a `Tick` at this time; takes the place of any earlier one."""

    at: int


Action: TypeAlias = Began | Answer | ProbeAnswer | Fell | WakeAt
