"""What crossed the wire in a rehearsal, as its honest ends saw it: the only thing that the judge reads.

Grid nodes, clients, discovery and the network write these events; the program under rehearsal writes none.
All times `at` are integer microseconds of the rehearsal's clock.  A node is told apart by its name and its
start (`started_ms`, Unix time in milliseconds, as discovery tells it); a request by its correlation id, which
is new for each try of a client; tries of one wish share `wish`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import sha256
from typing import TypeAlias


@dataclass(slots=True, frozen=True)
class ClientWished:
    """A wish came due: from here on its worth is asked for, whether or not any try of it finds a balancer."""

    at: int
    wish: int
    client: str
    class_name: str
    tenant: str


@dataclass(slots=True, frozen=True)
class ClientSent:
    """The last byte of a client's request was written to a connection that a balancer's machine accepted."""

    at: int
    request: str
    wish: int
    attempt: int  # 0: the first try
    client: str
    balancer: str
    class_name: str
    tenant: str
    key: str
    left_us: int  # what X-Time-Left said
    due_at: int  # when an open-loop client meant to send the first try


@dataclass(slots=True, frozen=True)
class ClientGot:
    """The last byte of an answer: `status`, and the digest of its body."""

    at: int
    request: str
    balancer: str
    status: int
    body: str
    retry_after_us: int = -1  # -1: none told


@dataclass(slots=True, frozen=True)
class ClientLost:
    """A try that ended with no whole answer.

    `how`: `refused` (no connection), `reset`, `closed` (the balancer ended it in order), `cut` (within an
    answer), `garbled`, `timed_out` (the client gave up, and closed), `extra` (bytes behind an answer).
    """

    at: int
    request: str
    balancer: str
    how: str
    taken: bool  # the request's last byte had been written


@dataclass(slots=True, frozen=True)
class NodeStarted:
    """A node's process runs and accepts; `capacity` is its full one, in seconds of standard work a second."""

    at: int
    node: str
    started_ms: int
    kind: str
    hall: str
    capacity: float
    cold_share: float  # the part of it that it has now


@dataclass(slots=True, frozen=True)
class NodeGot:
    """A request came whole; `first_at`: its first byte.  The order of these is the order of arrival."""

    at: int
    first_at: int
    node: str
    started_ms: int
    balancer: str
    request: str
    method: str
    target: str
    work_us: int  # what it asks of a standard core, caches not counted
    fresh: bool = False  # the first request on its connection


@dataclass(slots=True, frozen=True)
class NodeRan:
    """The node began to work on a request: from here on its effect may have happened."""

    at: int
    node: str
    started_ms: int
    request: str
    hit: bool | None = None  # the key was cached; None: not told


@dataclass(slots=True, frozen=True)
class NodeGave:
    """An answer's last byte was written: `kind` is `ok`, `error`, `unprocessed`, or how it was spoilt."""

    at: int
    node: str
    started_ms: int
    request: str
    status: int
    kind: str
    body: str  # digest


@dataclass(slots=True, frozen=True)
class NodeFell:
    """Pushed over: sent more than `multiple` times its present capacity for the stated time."""

    at: int
    node: str
    started_ms: int
    sent_us: int  # work sent in the window
    room_us: int  # what it could have done in it


@dataclass(slots=True, frozen=True)
class NodeState:
    """A step in a node's life: `draining`, `stopped`, `paused`, `resumed`, `slowed`, `cut`, `healed`."""

    at: int
    node: str
    started_ms: int
    state: str


@dataclass(slots=True, frozen=True)
class Told:
    """Discovery's agent has written an entry to a balancer, which now counts as told.

    With no balancer: discovery has this to tell from now on, and it counts as told to all some time later.
    """

    at: int
    balancer: str
    node: str
    started_ms: int
    lifecycle: str  # up, draining or removed
    generation: int


@dataclass(slots=True, frozen=True)
class BalancerState:
    """`started` (its process), `ready` (healthz said 200), `killed`, `terminated` (SIGTERM), `ended`.

    What is done to it: `reloaded` (SIGHUP), `paused`, `resumed`, `cut` and `healed` (from its clients), and
    `reset` (the network reset connections of its clients).
    """

    at: int
    balancer: str
    state: str


@dataclass(slots=True, frozen=True)
class RudeLeft:
    """A client that keeps to no protocol is done with a balancer, to which it was connected from `since` on.

    `how`: `error`, `closed` or `garbled` (it was answered, or sent away), `served` (as though it were sound),
    `late` (neither in time).
    """

    at: int
    since: int
    client: str
    balancer: str
    kind: str
    how: str
    owed: bool  # an error or a close was owed to it


@dataclass(slots=True, frozen=True)
class Lagged:
    """The rehearsal itself was held up, from `since` to `at`: in real time, its machine was too busy."""

    at: int
    since: int


@dataclass(slots=True, frozen=True)
class Note:
    """A step of the incident, for the report."""

    at: int
    text: str


WireEvent: TypeAlias = (
    ClientWished
    | ClientSent
    | ClientGot
    | ClientLost
    | NodeStarted
    | NodeGot
    | NodeRan
    | NodeGave
    | NodeFell
    | NodeState
    | Told
    | BalancerState
    | RudeLeft
    | Lagged
    | Note
)


class WireLog:
    """Keeps events in the order in which they were written, and tells each to the listeners."""

    def __init__(self) -> None:
        self._events: list[WireEvent] = []
        self._listeners: list[Callable[[WireEvent], None]] = []
        self._over = False

    def close(self) -> None:
        """The rehearsal is over: what is written while it is taken down is left out."""
        self._over = True

    def write(self, event: WireEvent) -> None:
        if self._over:
            return
        self._events.append(event)
        for listener in self._listeners:
            listener(event)

    def listen(self, listener: Callable[[WireEvent], None]) -> None:
        self._listeners.append(listener)

    def __iter__(self) -> Iterator[WireEvent]:
        return iter(self._events)

    def __len__(self) -> int:
        return len(self._events)

    def digest(self) -> str:
        """One SHA-256 over all events in order: two runs that differ anywhere differ here."""
        total = sha256()
        for event in self._events:
            total.update(repr(event).encode())  # class and all fields; JSON takes 15 times as long
        return total.hexdigest()
