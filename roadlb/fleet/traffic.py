"""What clients are to do with a cluster and its requests: limits, routes, listeners, as plain data.

Times are in microseconds, None where nothing is told and the client's own default holds.  `origin`: see
model.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .model import Cluster, Place


@dataclass(frozen=True, slots=True)
class Limits:
    """What one client may have open at one cluster, for requests of one priority (0: usual, 1: high)."""

    priority: int = 0
    connections: int | None = None
    pending: int | None = None
    requests: int | None = None
    retries: int | None = None
    retry_percent: float | None = None  # of the requests open


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """How a client finds a cluster's endpoints and spreads work on them.

    `discovery` and `policy` are words of xDS (`EDS`, `STATIC`, ...; `ROUND_ROBIN`, `RING_HASH`, ...), an
    empty `discovery` one that xDS has no word for.  `source`: `ads`, `self`, or empty for another place;
    `assignment`: the name to ask for, if not the cluster's own.  `locality_weights`: are weights of
    localities obeyed?  `reports`: is load told to the server that the cluster came from?
    """

    name: str
    discovery: str = "EDS"
    source: str = "ads"
    assignment: str = ""
    policy: str = "ROUND_ROBIN"
    connect_timeout_us: int | None = None
    limits: tuple[Limits, ...] = ()
    panic_percent: float | None = None
    locality_weights: bool = False
    reports: bool = False
    endpoints: Cluster | None = None  # told with the cluster itself
    origin: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class Retry:
    """When a request is tried again: `on` in Envoy's words, `headers` those of `retriable-headers`."""

    on: tuple[str, ...] = ()
    times: int | None = None
    try_timeout_us: int | None = None
    back_off_us: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    elsewhere: bool = False  # not to a node tried already


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one form, and where they go.

    `prefix` or `path`: of the request's path; both None for a match that is neither.  `method`: empty for
    all.  `clusters`: names with whole weights; a sole one gets all, none means another action than to route.
    """

    name: str = ""
    prefix: str | None = None
    path: str | None = None
    method: str = ""
    clusters: tuple[tuple[str, int], ...] = ()
    timeout_us: int | None = None
    retry: Retry | None = None
    hedge: bool = False  # a second copy when a try takes too long
    origin: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class VirtualHost:
    """The routes of some hosts, `*` for all; the first that matches counts."""

    name: str
    domains: tuple[str, ...] = ("*",)
    routes: tuple[Route, ...] = ()
    origin: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes under one name."""

    name: str
    hosts: tuple[VirtualHost, ...] = ()
    origin: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class Listener:
    """Where requests come in: at a `place` (Envoy), or None from inside the client's process (gRPC).

    `routes`: the name of the table to ask for; or `table`, told with the listener itself.
    """

    name: str
    place: Place | None = None
    routes: str = ""
    table: RouteTable | None = None
    origin: bytes | None = field(default=None, repr=False)
