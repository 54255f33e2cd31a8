"""What a grid node has in hand: jobs, and the connections on which somebody waits for them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Kind(Enum):
    REQUEST = auto()
    PROBE = auto()
    HANDSHAKE = auto()


@dataclass(slots=True)
class Job:
    kind: Kind
    connection: int
    request: str = ""
    work_us: int = 0
    key: str = ""
    until: int = 0  # the caller's deadline
    wanted: bool = True  # somebody waits for the answer
    slot: bool = False  # it takes one when in work
    number: int = 0  # at the machine; 0: not in work


@dataclass(slots=True)
class Connection:
    over: bool  # one too many
    ready: bool  # its handshake is done
    job: Job | None = None  # what its caller waits for
