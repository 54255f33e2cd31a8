"""Settings, events and actions: the input and output of `roadlb.policy.logic.Balancer`.

All times are integer microseconds of one monotonic clock that the embedder owns.  Nothing here decides
anything; `Settings.check` only rejects inconsistent settings.  Classes of which each request makes an
instance have their constructor written out: mypyc compiles that, but not the one that `dataclass` generates.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TypeAlias

from ..sites.events import SiteView
from ..sites.refusal import PlanLine

ServerId: TypeAlias = bytes


class Effect(IntEnum):
    """How often a request may run."""

    SAFE = 0  # any number of times
    KEYED = 1  # the servers of one group discard a repeat, within a time window
    UNSAFE = 2  # at most once


class Group(IntEnum):
    """Which servers discard each other's repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class ServerState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    CACHED = 0  # the whole list, as it was known before a restart
    FULL = 1  # the whole list
    FAILED = 2  # a call failed or the subscription broke; the known list stays valid
    DELTA = 3  # changed entries only


class Status(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8
    SPOILT = 9  # the response was unusable; the request may have run (on sockets only)


# Outcomes that prove that an attempt did not run.
NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT})


@dataclass(slots=True)
class RequestClass:
    """A class of requests: latency target, deadline, effect, and what an answer is worth."""

    name: str = ""
    aim_us: int = 100_000
    deadline_us: int = 400_000
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_us: int = 5_000_000
    stream: bool = False


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota: requests a second at all balancers that are within its share."""

    name: str = ""
    quota_per_s: float = 0.0


@dataclass(slots=True)
class Settings:
    """All settings of one balancer's policy."""

    classes: list[RequestClass] = field(default_factory=lambda: [RequestClass()])
    tenants: list[Tenant] = field(default_factory=list)
    instance: int = 0
    instances: int = 1
    zone: int = 0
    over_share_worth: float = 0.1
    worth_by_work: bool = False
    warm_keys: bool = False  # a server does less work for a key that it has served recently
    discovery_on_request: bool = False
    weight_source: str = "off"  # off, nominal, rough or live
    report_source: str = "off"  # off, inline or on_probe
    report_fields: tuple[str, ...] = ()
    cross_zone_cost: float = 0.0
    probe_cost: float = 0.0
    cancelling: bool = True
    second_copies: bool = True
    max_attempts: int = 3
    max_retry_after_us: int = 1_000_000
    probes: bool = False
    peers: bool = False
    ask_within_us: int = 10_000_000
    cold_from: float = 1.0  # share of its capacity that a server has at its start, lower bound
    cold_us: int = 0  # time from its start until it has all of it, upper bound
    fall_multiple: float = 3.0  # sent this multiple of what it can do at the time, it is overloaded
    fall_us: int = 2_000_000  # ... if that lasts this long
    handshake_cost: float = 0.0  # price of a new connection to a server, besides the time it takes
    refusals: tuple[PlanLine, ...] = ()  # what is refused first; empty: requests of the least worth
    keep_us: int = 0  # how long an idle connection to a server is kept; 0: not known

    @property
    def dials_cost(self) -> bool:
        """Does a new connection to a server have a cost that reuse saves?"""
        return self.handshake_cost > 0 and self.keep_us > 0

    @property
    def queue_index(self) -> int:
        """Index in `report_fields` of the queue that servers report; -1: none."""
        indexes = [i for i, name in enumerate(self.report_fields) if name in ("queue", "inflight")]
        return indexes[0] if indexes and self.report_source != "off" else -1

    def check(self) -> None:
        """Raise ValueError that names the setting if a value is not allowed."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for i, c in enumerate(self.classes):
            if c.deadline_us <= 0 or c.aim_us <= 0:
                raise ValueError(f"classes.{i}: aim and deadline must be positive")
            if c.worth < 0 or not 0 <= c.late_worth <= 1:
                raise ValueError(f"classes.{i}: worth must not be negative, late_worth lies in 0..1")
            if c.effect is Effect.KEYED and c.window_us < 0:
                raise ValueError(f"classes.{i}: window must not be negative")
        for name, ok in (
            ("instances", self.instances >= 1),
            ("instance", 0 <= self.instance),
            ("max_attempts", self.max_attempts >= 1),
            ("cold_from", 0 < self.cold_from <= 1),
            ("cold_us", self.cold_us >= 0),
            ("fall_multiple", self.fall_multiple > 0),
            ("fall_us", self.fall_us > 0),
            ("keep_us", self.keep_us >= 0),
            ("ask_within_us", self.ask_within_us > 0),
            ("over_share_worth", 0 <= self.over_share_worth <= 1),
            ("max_retry_after_us", self.max_retry_after_us >= 0),
            ("weight_source", self.weight_source in ("off", "nominal", "rough", "live")),
            ("report_source", self.report_source in ("off", "inline", "on_probe")),
        ):
            if not ok:
                raise ValueError(f"{name}: {getattr(self, name)!r} makes no sense")


@dataclass(slots=True)
class Member:
    """An entry of the server list."""

    server: ServerId
    state: ServerState = ServerState.READY
    cell: int = 0
    kind: int = 0
    zone: int = 0
    weight: float = 1.0
    born_us: int = 0  # clock time of its last start; 0: long ago or not known


# Events


@dataclass(slots=True)
class ListUpdate:
    kind: ListKind
    members: list[Member]


@dataclass(slots=True, init=False)
class Arrival:
    """A client's request has arrived; the policy owes it exactly one final answer."""

    request: int
    class_index: int
    tenant: int
    key: int  # 0: none
    left_us: int  # time until the client gives up
    work_us: int  # expected work; 0: no hint
    is_retry: bool = False
    coming: bool = False  # its body is incomplete: the attempt begins at `BodyComplete`

    def __init__(
        self,
        request: int,
        class_index: int,
        tenant: int,
        key: int,
        left_us: int,
        work_us: int,
        is_retry: bool = False,
        coming: bool = False,
    ) -> None:
        self.coming = coming
        self.request, self.class_index, self.tenant, self.key = request, class_index, tenant, key
        self.left_us, self.work_us, self.is_retry = left_us, work_us, is_retry


@dataclass(slots=True, init=False)
class AdmissionCheck:
    """Would a request whose head has arrived, and whose body has not, be refused now?

    The answer is `[Refuse(0, retry_after_us)]`, after which it must not arrive, or `[]`.  Its fields are
    those of its `Arrival`, which is counted as demand; a request that is shed here is counted at once.
    """

    class_index: int
    tenant: int
    key: int
    left_us: int
    work_us: int
    is_retry: bool = False

    def __init__(
        self, class_index: int, tenant: int, key: int, left_us: int, work_us: int, is_retry: bool = False
    ) -> None:
        self.class_index, self.tenant, self.key = class_index, tenant, key
        self.left_us, self.work_us, self.is_retry = left_us, work_us, is_retry


@dataclass(slots=True)
class BodyComplete:
    """The body of a request that arrived `coming` is complete; `left_us` counts from now."""

    request: int
    left_us: int


@dataclass(slots=True)
class BodyOverdue:
    """The time of a request that arrived `coming` is over before any server has taken its whole body.

    The outcomes of its attempts follow; no further attempt can be in time.
    """

    request: int


@dataclass(slots=True)
class ProcessOverload:
    """This process lacks resources of its own, such as CPU time.

    `share`, 0..0.95, is the least part of the demand to refuse, the least worth first.  It holds until the
    next event of this kind.  It does not add to the shortage of the servers: the larger of both counts.
    """

    share: float


@dataclass(slots=True)
class ProcessCount:
    """How many processes, this one included, are one balancer now and divide what one balancer may do."""

    count: int


@dataclass(slots=True, frozen=True)
class SharedStateUpdate:
    """Figures that balancers share, in place of those that this one has alone; each holds until the next
    event.

    `process_count`: the number of processes, this one included, that divide what all together may do, in
    place of `Settings.instances` times `ProcessCount`; 0: not known, and these hold.
    `slow_start_shares`, `quota_shares`: this process's share, 0..1, of what all may send to a server in slow
    start, or serve of a tenant (by number) as within its quota.  Those absent are divided evenly:
    1 / process_count.
    `avoid_until`: servers that others judge bad, and the clock time until which they do.  It counts like an
    ejection: at most the share of the fleet that the policy ejects is avoided, after that time one request
    that can be repeated tries the server, and a good answer to this balancer ends it until others name a
    later time.  A server that a later event leaves out stays avoided until its time.
    `fleet_shortage`, 0..1: the shortage that all see.  `fleet_shortage_weight`, 0..1: its weight against this
    balancer's own; 1: in place of it.  From the clock time `fleet_shortage_until` on (0: never), and for
    None, the own holds alone.  `ProcessOverload` counts besides either.

    `lease_end_us`: from this clock time on no share in `slow_start_shares` and `quota_shares` counts for more
    than `fallback_share`, since a process that was stopped takes requests before it receives any event.  0:
    the shares have no end.
    `max_unlisted_share`: upper bound of the share of a server absent from `slow_start_shares`: what an
    earlier life of this process gave away of it may still be in use.

    `quota_factors`: the part of a tenant's quota in the settings that holds now, 1 for all of it; absent: 1.
    It and the share in `quota_shares` come from different sources and are multiplied.

    `retries_per_s`: attempts a second beyond each request's first that all balancers may make together.
    `dials_per_s`: requests a second that all may send to a zone that is lost or returns, each of which may
    open a connection.  0: no such bound.  `retry_share` and `dial_shares` (by zone number) are this process's
    shares of them, as above.  They apply besides the policy's own limits, whichever is tighter.

    `unreachable_zones`: zones that do not answer others, by number, with the clock times since when and until
    when they report so.  Unless it has answered this balancer since, such a zone is in doubt and gets trials
    only; it is never lost for that alone.

    What others need from this one is in its `View`: `shortage`, `tenant_rates_per_s`, and for each server
    `ejected` and `rejected_count`.
    """

    process_count: int = 0
    slow_start_shares: Mapping[ServerId, float] = field(default_factory=dict)
    quota_shares: Mapping[int, float] = field(default_factory=dict)
    avoid_until: Mapping[ServerId, int] = field(default_factory=dict)
    fleet_shortage: float | None = None
    lease_end_us: int = 0
    fallback_share: float = 1.0
    max_unlisted_share: float = 1.0
    quota_factors: Mapping[int, float] = field(default_factory=dict)
    retries_per_s: float = 0.0
    retry_share: float | None = None
    dials_per_s: float = 0.0
    dial_shares: Mapping[int, float] = field(default_factory=dict)
    unreachable_zones: Mapping[int, tuple[int, int]] = field(default_factory=dict)
    fleet_shortage_weight: float = 1.0
    fleet_shortage_until: int = 0


@dataclass(slots=True)
class SettingsChanged:
    """These settings hold from now on, for open requests as well.

    Classes, their aims and tenants have to be those of the start, in the same order; so do `instances`, the
    quotas, `weight_source`, `report_source` and `report_fields`.

    An open request keeps its deadline, and follows the strictest of the rule of its arrival and each one
    since: if its class may run at most once by now, it is neither retried nor hedged; if the class may be
    repeated from now on, this holds for later arrivals only.  If the ranks of load shedding have changed
    their meaning, they are counted anew, from the demand that follows.
    """

    settings: Settings


@dataclass(slots=True)
class SiteOverride:
    """An operator's command on a site, by its number: `out` of service, nothing new goes there; otherwise it
    takes load again, in steps."""

    site: int
    out: bool


@dataclass(slots=True, init=False)
class Outcome:
    """An attempt has ended; `closed`: its request has had its final answer."""

    request: int
    attempt: int
    server: ServerId
    status: Status
    latency_us: int
    closed: bool
    report: tuple[float, ...] = ()

    def __init__(
        self,
        request: int,
        attempt: int,
        server: ServerId,
        status: Status,
        latency_us: int,
        closed: bool,
        report: tuple[float, ...] = (),
    ) -> None:
        self.request, self.attempt, self.server, self.status = request, attempt, server, status
        self.latency_us, self.closed, self.report = latency_us, closed, report


@dataclass(slots=True)
class StreamStarted:
    request: int
    attempt: int
    server: ServerId
    latency_us: int


@dataclass(slots=True)
class ClientGone:
    request: int


@dataclass(slots=True, init=False)
class TimerFired:
    token: int

    def __init__(self, token: int) -> None:
        self.token = token


@dataclass(slots=True)
class Probed:
    server: ServerId
    status: Status
    latency_us: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    sender: int
    payload: bytes


@dataclass(slots=True)
class ViewQuery:
    """Asks for a `View`; has no effect on any decision, now or later."""


Event: TypeAlias = (
    ListUpdate
    | Arrival
    | BodyComplete
    | BodyOverdue
    | AdmissionCheck
    | ProcessOverload
    | ProcessCount
    | SharedStateUpdate
    | SettingsChanged
    | SiteOverride
    | Outcome
    | StreamStarted
    | ClientGone
    | TimerFired
    | Probed
    | PeerMessage
    | ViewQuery
)


# Actions


@dataclass(slots=True, init=False)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of these actions."""

    request: int
    server: ServerId
    timeout_us: int  # 0: until the client gives up
    write_by_us: int = 0  # clock time from which nothing of it may be written; 0: no limit

    def __init__(self, request: int, server: ServerId, timeout_us: int, write_by_us: int = 0) -> None:
        self.request, self.server, self.timeout_us = request, server, timeout_us
        self.write_by_us = write_by_us


@dataclass(slots=True, init=False)
class Refuse:
    """Final answer: the request is refused, and a retry does no harm."""

    request: int
    retry_after_us: int

    def __init__(self, request: int, retry_after_us: int) -> None:
        self.request, self.retry_after_us = request, retry_after_us


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed; it may have been executed or not."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt; `unsent`: only if nothing of it can have been sent yet."""

    request: int
    attempt: int
    unsent: bool = False


@dataclass(slots=True, init=False)
class SetTimer:
    at_us: int
    token: int

    def __init__(self, at_us: int, token: int) -> None:
        self.at_us, self.token = at_us, token


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes of the server list."""


@dataclass(slots=True)
class Probe:
    server: ServerId


@dataclass(slots=True)
class Log:
    text: str


@dataclass(slots=True, frozen=True)
class ServerView:
    """What the policy knows of a server.

    `eligible`: may a request that can be repeated go there now, its slow-start budget aside?  `share`, 0..1:
    lower bound of the part of its capacity that it has by now.  `load`: own requests in flight, now and in
    the recent mean, per weight and share.  `rejected_count`: how often it was not used since its last start
    because this balancer's part of its slow-start budget was used up.
    """

    server: ServerId
    eligible: bool
    share: float
    ejected: bool
    suspect: bool
    load: float
    born_us: int = 0
    rejected_count: int = 0
    site: int = -1


@dataclass(slots=True)
class View:
    """Answer to `ViewQuery`: all listed servers, draining ones included, in the order of their ids; all
    sites, by number; the shortage, 0..1, when a request last arrived, as this balancer alone sees it; the
    requests a second of each tenant that arrive here; and how often the limits of `SharedStateUpdate`
    prevented retries, and requests to a zone, by its number."""

    servers: list[ServerView]
    sites: list[SiteView] = field(default_factory=list)
    shortage: float = 0.0
    tenant_rates_per_s: tuple[float, ...] = ()
    rejected_retries: int = 0
    rejected_dials: Mapping[int, int] = field(default_factory=dict)


Action: TypeAlias = Send | Refuse | Fail | Cancel | SetTimer | Subscribe | Probe | Log | View
