"""What the stand-in store is told, and what it does.  `by`: who asked, by the shell's number."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ...etcd.model import News, Reply, Request


@dataclass(frozen=True, slots=True)
class Asked:
    by: int
    request: Request


@dataclass(frozen=True, slots=True)
class Watching:
    """A watch of a key or range, from a revision on; 0: from now."""

    by: int
    key: bytes
    end: bytes
    start: int


@dataclass(frozen=True, slots=True)
class Left:
    """A watch has ended."""

    by: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event: TypeAlias = Asked | Watching | Left | Tick


@dataclass(frozen=True, slots=True)
class Answer:
    by: int
    reply: Reply


@dataclass(frozen=True, slots=True)
class Refuse:
    """`code`: gRPC's name of the status."""

    by: int
    code: str
    text: str


@dataclass(frozen=True, slots=True)
class Tell:
    by: int
    news: News


@dataclass(frozen=True, slots=True)
class Cancel:
    """A watch ends; `compacted`: the oldest revision there is, where that is the reason."""

    by: int
    compacted: int
    text: str


Action: TypeAlias = Answer | Refuse | Tell | Cancel
