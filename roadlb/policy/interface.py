"""What goes into and comes out of `roadlb.policy.logic.Balancer`: settings, events and actions.

All times are integer microseconds on one monotonic clock that the embedder owns.  Nothing here decides
anything; `Settings.check` only refuses settings that make no sense.  What is made for each request has its
constructor written out: mypyc compiles one, but not what `dataclass` makes.
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
    """May a request run more than once?"""

    SAFE = 0  # any number of times
    KEYED = 1  # a repeat is discarded by the servers of one group, for a while
    UNSAFE = 2  # never


class Group(IntEnum):
    """The servers that discard each other's repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class ServerState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    CACHED = 0  # the whole list, as last held before a restart
    FULL = 1  # the whole list
    FAILED = 2  # a call failed or the subscription broke; the list held stays valid
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
    SPOILT = 9  # it came back, but not so that it could be used; it may have run (on sockets only)


# The outcomes that prove that an attempt never ran.
NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT})


@dataclass(slots=True)
class RequestClass:
    """One class of request and what an answer to it is worth."""

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
    """A tenant and the requests a second, over all nodes, that are within its share."""

    name: str = ""
    quota_per_s: float = 0.0


@dataclass(slots=True)
class Settings:
    """Everything a node is told when it starts."""

    classes: list[RequestClass] = field(default_factory=lambda: [RequestClass()])
    tenants: list[Tenant] = field(default_factory=list)
    instance: int = 0
    instances: int = 1
    zone: int = 0
    over_share_worth: float = 0.1
    worth_by_work: bool = False
    warm_keys: bool = False  # a server does less work for a key that it met lately
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
    cold_from: float = 1.0  # share of its capacity that a server starts with, at the least
    cold_us: int = 0  # and the time after which it is warm, at the latest
    fall_multiple: float = 3.0  # pushed over by this multiple of what it can do at the moment
    fall_us: int = 2_000_000  # for this long
    handshake_cost: float = 0.0  # price of a new connection to a server, beside what it takes
    refusals: tuple[PlanLine, ...] = ()  # what is refused first; empty: what is worth least
    keep_us: int = 0  # for so long a connection to a server is kept idle; 0: not known

    @property
    def dials_cost(self) -> bool:
        """Does a new connection to a server cost something?"""
        return self.handshake_cost > 0 and self.keep_us > 0

    @property
    def queue_index(self) -> int:
        """Where in `report_fields` a queue is told; -1: nowhere."""
        indexes = [i for i, name in enumerate(self.report_fields) if name in ("queue", "inflight")]
        return indexes[0] if indexes and self.report_source != "off" else -1

    def check(self) -> None:
        """Raise ValueError, naming the setting, where a value makes no sense."""
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
    """One line of the server list."""

    server: ServerId
    state: ServerState = ServerState.READY
    cell: int = 0
    kind: int = 0
    zone: int = 0
    weight: float = 1.0
    born_us: int = 0  # clock time of its last start; 0: long ago


# Events


@dataclass(slots=True)
class ListUpdate:
    kind: ListKind
    members: list[Member]


@dataclass(slots=True, init=False)
class Arrival:
    """A client's request; the balancer now owes it exactly one final answer."""

    request: int
    class_index: int
    tenant: int
    key: int  # 0: none
    left_us: int  # until the client gives this try up
    work_us: int  # expected work; 0: no hint
    is_retry: bool = False
    coming: bool = False  # its body still comes: the attempt begins with `BodyComplete`

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
    """A request's head has come, its body has not: would it be refused now?

    Answered by `[Refuse(0, retry_after_us)]`, after which it must not arrive, or by `[]`.  Fields are those
    of its `Arrival`, which counts as demand; one that is shed here counts at once.
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
    """The last byte of a request that was `coming` has come; `left_us`, in microseconds, counts from now."""

    request: int
    left_us: int


@dataclass(slots=True)
class ProcessOverload:
    """This process is short of its own means, such as CPU time.

    `share`, 0..0.95, of the work asked for is to be refused at the least, what is worth least first.  It
    holds until the next one.  It does not add to the pressure of a late fleet: the larger of both counts.
    """

    share: float


@dataclass(slots=True)
class ProcessCount:
    """So many processes, this one among them, are one instance now: what an instance may do is divided."""

    count: int


@dataclass(slots=True, frozen=True)
class SharedStateUpdate:
    """Figures that balancers share, and this one could also have had alone; each holds until the next event.

    `parts`: among so many balancers, this process among them, is divided what all together may do; it stands
    for `Settings.instances` times the twins.  0: not known, and those hold.
    `cold`, `quotas`: this process's share, 0..1, of what all may send to a cold server, or serve of a
    customer (its number) as within its quota.  One that is absent is divided evenly: 1 / parts.
    `avoid`: servers that others judge bad, with the clock time until which they do.  It counts like an
    ejection: at most the module's ejected share of the fleet, after that time one request that can be
    repeated tries it, and an own good answer ends it until others say so of a later time.  One that a later
    event leaves out stays as it is till its time.
    `pressure`, 0..1: the shortage that all see, and `lean`, 0..1, the part of it that counts beside the rest
    of this one's own; 1: in place of it.  From `stale` on, a clock time (0: never), the own holds alone, as
    it does for None.  A process's shortage of its own means, `ProcessOverload`, counts beside either.

    `until`: at this clock time a lease ends; from then on no share in `cold` and `quotas` counts for more
    than `floor`, as a process that was stopped takes requests before it is told anything.  0: they hold.
    `rest`: of a cold server that is absent from `cold`, no more than this share: what a process's earlier
    life gave away of it may still be used.

    `wholes`: of a customer's quota in the settings, the part that holds now, 1 for all of it; absent: 1.  It
    and the share in `quotas` come from different sources and are multiplied.

    `repeats_per_s`: attempts a second beyond each request's first that all balancers may make together;
    `dials_per_s`: requests a second that all may send to a hall that is lost or returns, each of which may
    dial.  0: no such bound.  `repeats` and `dials` (a hall's number) are this process's shares of them, as
    those above.  They bind beside the module's own limits, whichever is the tighter.

    `silent`: halls that do not answer others, by number, with the clock times since when and until when they
    say so.  Unless it has answered this balancer since, such a hall is in doubt and gets trials only, never
    lost for that alone.

    What others need of this one is in its `View`: `shortage`, `asked`, and for each server `ejected` and
    `passed`.
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
    """These settings hold from now on, for the requests that are open as well.

    Classes and customers are those of the start, in their order, with the same aims; so are `instances`, the
    quotas, `weight_source`, `report_source` and `report_fields`.

    An open request keeps its deadline, and is held to the stricter of the rule that it came under and each
    one since: one whose class may run at most once by now is neither repeated nor copied, and a class that
    may now be repeated may be so for what comes from now on.  What is refused is ranked anew, by what is
    asked from now on, if ranks have another meaning.
    """

    settings: Settings


@dataclass(slots=True)
class SiteOverride:
    """An operator's word on a hall, by its number: nothing new goes there, or it takes load again, in
    steps."""

    site: int
    out: bool


@dataclass(slots=True, init=False)
class Outcome:
    """How one attempt ended; `closed`: the request has had its final answer."""

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
    """Asks for a `View`.  It has no effect on any decision, now or later."""


Event: TypeAlias = (
    ListUpdate
    | Arrival
    | BodyComplete
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
    """Start an attempt; those of one request are numbered 0, 1, 2 ... in this order."""

    request: int
    server: ServerId
    timeout_us: int  # 0: until the client gives up
    write_by_us: int = 0  # clock time from which on nothing of it may be written; 0: no such time

    def __init__(self, request: int, server: ServerId, timeout_us: int, write_by_us: int = 0) -> None:
        self.request, self.server, self.timeout_us = request, server, timeout_us
        self.write_by_us = write_by_us


@dataclass(slots=True, init=False)
class Refuse:
    """Final answer: not done, and a retry does no harm."""

    request: int
    retry_after_us: int

    def __init__(self, request: int, retry_after_us: int) -> None:
        self.request, self.retry_after_us = request, retry_after_us


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Give an attempt up; `unsent`: only if nothing of it can have been sent by now."""

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
    """Ask the server list for changes from now on."""


@dataclass(slots=True)
class Probe:
    server: ServerId


@dataclass(slots=True)
class Log:
    text: str


@dataclass(slots=True, frozen=True)
class ServerView:
    """What the module believes of a server.

    `eligible`: may a request that can be repeated go there now, its cold budget left aside?  `share`, 0..1:
    the least part of its capacity that it can have by now.  `load`: own requests in flight, now and on the
    mean of late, for weight and share.  `passed`: how often it was passed over since its last start, as this
    balancer's part of its cold budget was used up.
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
    """Answer to `Report`: all servers listed, those that drain among them, in the order of their ids; all
    sites, by number; the share of the demand, 0..1, that the servers had no room for when a request last
    came, as this balancer alone sees it; of each customer the requests a second that come here; and how
    often repeats, and requests to a hall, were held back by the bounds of `Heard`."""

    servers: list[ServerView]
    sites: list[SiteView] = field(default_factory=list)
    shortage: float = 0.0
    tenant_rates_per_s: tuple[float, ...] = ()
    rejected_retries: int = 0
    rejected_dials: Mapping[int, int] = field(default_factory=dict)


Action: TypeAlias = Send | Refuse | Fail | Cancel | SetTimer | Subscribe | Probe | Log | View
