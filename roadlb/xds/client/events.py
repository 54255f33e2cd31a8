"""What the subscriber's machine is told, and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..messages import DeltaRequest, DeltaResponse, ErrorDetail
from ..resources import Resource

# Events


@dataclass(frozen=True, slots=True)
class Opened:
    """A stream is up; nothing was said on it yet."""


@dataclass(frozen=True, slots=True)
class Came:
    """A response has come on it."""

    response: DeltaResponse


@dataclass(frozen=True, slots=True)
class Lost:
    """The stream is gone, at whatever byte."""


@dataclass(frozen=True, slots=True)
class Want:
    """These names are wanted from now on, those no more.  `*` is everything."""

    type_url: str
    names: tuple[str, ...] = ()
    no_more: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Accept:
    """What `Told` told with this token is taken; it is held from now on."""

    token: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """It is not, for this reason; what was held before stays."""

    token: int
    detail: ErrorDetail


@dataclass(frozen=True, slots=True)
class Tick:
    """The machine's `wake_at` has come."""


Event: TypeAlias = Opened | Came | Lost | Want | Accept | Refuse | Tick

# Actions


@dataclass(frozen=True, slots=True)
class Send:
    request: DeltaRequest


@dataclass(frozen=True, slots=True)
class Told:
    """Resources that are new or changed, and names that are gone or not there.

    Wants an answer, now or later: `Accept` or `Refuse` with its token.
    """

    token: int
    type_url: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Expired:
    """Nothing was heard of these within their TTL: they are no longer held."""

    type_url: str
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class End:
    """Close the stream: what came on it is not this protocol, or more than is kept."""

    reason: str


Action: TypeAlias = Send | Told | Expired | End
