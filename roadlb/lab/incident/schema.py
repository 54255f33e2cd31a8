"""The world of an incident: its tables, their keys, units and defaults.

The defaults are this deployment's, as its operators give them: three halls, machines old and new, reads and
orders.  A name that ends in `_s` or `_ms` is in seconds or milliseconds; a `Range` is drawn anew by each run.
"""

from __future__ import annotations

from typing import Literal

from msgspec import field

from .steps import Step
from .values import (
    Amount,
    Count,
    CountOrNone,
    Factor,
    Point,
    Range,
    Seconds,
    Section,
    Share,
    SomeSeconds,
    SomeShare,
    Word,
)


class Machine(Section, frozen=True, kw_only=True):
    """A kind of grid node.  Speed 1 is a standard core: a second of work in a second."""

    name: Word
    share: Share  # of the fleet, where `[[fleet.group]]` does not say
    speed: Range  # of one core: the mean of the kind
    speed_spread: Range = Range(0.042, 0.25)  # between nodes of the kind: standard deviation over mean
    cores: Count = 2
    slots_per_core: Count = 1  # requests in work at once
    waiting_per_core: Range = Range(13, 40)  # room in the queue; beyond it requests are turned away
    cold_share: Range = Range(0.12, 0.36)  # of its capacity that a started node has at once
    cold_s: Range = Range(13, 22)  # until it has all of it
    choke: Range = Range(0.065, 0.15)  # loss when crowded: work takes 1 + choke * excess
    choke_at: Range = Range(4.2, 8.8)  # excess is what it holds for each core beyond this
    error_share: Range = Range(0, 0.001)  # of its answers that are errors of their own accord


MACHINES = (
    Machine(name="new-2c", share=0.49, speed=Range(0.85, 1.1)),
    Machine(
        name="old-2c",
        share=0.51,
        speed=Range(0.51, 0.69),
        speed_spread=Range(0.094, 0.21),
        waiting_per_core=Range(8.4, 22),
        choke=Range(0.034, 0.13),
        cold_share=Range(0.2, 0.35),
        cold_s=Range(12, 23),
    ),
)


class Group(Section, frozen=True, kw_only=True):
    """So many nodes of one kind in one hall."""

    machine: Word
    hall: Word
    count: Count


class Cache(Section, frozen=True, kw_only=True):
    """What a node that met a key lately saves of its work."""

    gain: Range = Range(0.25, 0.7)  # share of the work that is saved
    remember_s: Range = Range(6, 11)
    keys_per_core: Range = Range(18, 36)


class Fleet(Section, frozen=True, kw_only=True):
    """The grid nodes, and how all of them answer."""

    nodes: Count = 11  # dealt to the halls in turn; `group` goes before it
    machines: tuple[Machine, ...] = field(default=MACHINES, name="machine")
    groups: tuple[Group, ...] = field(default=(), name="group")
    cache: Cache = Cache()
    warm_at_start: bool = True  # false: all nodes start cold with the run
    connections_per_core: Range = Range(350, 550)  # that a node holds open
    handshake_ms: Range = Range(0.98, 2.0)  # work that a new connection costs a node
    handshake_trips: Range = Range(1, 2)  # round trips of it, beside TCP's own
    table_tax: Range = Range(0.031, 0.15)  # share of the capacity that a full table of them takes
    idle_s: SomeSeconds = 10.0  # a node closes a connection that was idle for so long
    probe_ms: Range = Range(0.21, 0.43)  # work of one probe
    probes_per_core: Range = Range(1.1, 3.9)  # a second; more are turned away
    report_every_ms: Range = Range(65, 470)  # `eps` and `queue` are refreshed so often
    report_delay_ms: Range = Range(17, 130)  # until answers have them
    report_noise: Range = Range(0.029, 0.17)  # of the figure
    work_noise: Range = Range(0.07, 0.59)  # of a request's work from one attempt to the next
    cancel: Literal["queued", "all", "either"] = "either"  # what a closed connection stops; either: drawn


class Balancers(Section, frozen=True, kw_only=True):
    """The processes under rehearsal, each with the limits of its machine."""

    per_hall: Count = 1
    in_hall: dict[str, CountOrNone] = {}  # halls that differ
    cores: Factor = 1.0
    memory_mb: Count = 192
    callback_us: Amount = 0.0  # of CPU for each callback, in the simulated world
    sockets: Count = 1_024  # descriptors that one may hold
    dial_timeout_ms: Amount = 250.0  # a connection that is not up by then has failed
    peers: Literal["off", "share", "deaf"] = "off"  # what they share with one another; deaf: nobody hears any


class RequestClass(Section, frozen=True, kw_only=True):
    """A class of requests."""

    name: Word
    share: Share  # of the requests
    work_ms: Range  # mean work on a standard core, caches not counted
    aim_s: SomeSeconds  # answered within it earns the full worth
    deadline_s: SomeSeconds  # the client gives up; all its tries fall in it
    worth: Factor
    repeatable: bool  # may run more than once
    late_share: Share = 0.5  # of the worth, between aim and deadline
    spread: Range = Range(1.6, 2.8)  # of the work: standard deviation over mean
    distribution: Literal["lognormal", "pareto", "fixed", "either"] = "either"  # either of the first two


CLASSES = (
    RequestClass(
        name="grid-read",
        share=0.7,
        work_ms=Range(11, 20),
        aim_s=0.5,
        deadline_s=2.5,
        worth=2,
        repeatable=True,
    ),
    RequestClass(
        name="order",
        share=0.3,
        work_ms=Range(69, 120),
        aim_s=0.6,
        deadline_s=2.0,
        worth=10,
        repeatable=False,
        spread=Range(1.5, 2.6),
        distribution="pareto",
    ),
)


class Tenant(Section, frozen=True, kw_only=True):
    """A customer."""

    name: Word
    share: SomeShare  # of the service, that is of `traffic.quota_per_s`
    sends: Range = Range(1, 1)  # times its share of the traffic that it sends


TENANTS = (Tenant(name="energia-sever", share=0.8), Tenant(name="cesty-vychod", share=0.2))


class Clients(Section, frozen=True, kw_only=True):
    """How clients try again."""

    retries: Range = Range(2, 3)  # whole numbers: at most so many
    try_share: Range = Range(0.3, 0.55)  # of the deadline, after which a try is given up
    backoff: Literal["none", "fixed", "either"] = "either"
    backoff_ms: Range = Range(25, 200)  # before the next try, where it is fixed
    honour_share: Range = Range(0, 0.4)  # of the clients that heed Retry-After
    max_retry_after_s: Seconds = 1.2  # the longest that those heed
    marks_retry: bool = True  # X-Repeat: 1 on further tries
    once_share: Share = 0.0  # of the wishes that have a connection of their own
    hold_share: Share = 0.0  # and of those, the ones that keep it open for good


class Traffic(Section, frozen=True, kw_only=True):
    """What the clients of all halls ask for, in an open loop: nobody waits for an answer to send the next."""

    rate: Amount = 390.0  # first tries a second
    rates: tuple[Point, ...] = ()  # its course instead: straight lines between the points
    shape: Literal["steady", "wave"] = "steady"
    swing: Share = 0.15  # of the rate, up and down, for `wave`
    period_s: SomeSeconds = 20.0  # of one wave
    hall_skew: Range = Range(0.05, 0.3)  # how much more or less than its part one hall sends
    hall_shares: dict[str, Share] = {}  # of the traffic by hall, without skew; empty: even
    keys: Range = Range(610, 1_600)  # distinct ones
    zipf: Range = Range(0.86, 1.1)  # the popularity's exponent
    fresh_keys: Share = 0.0  # of the wishes that have a key of their own
    quota_per_s: Amount = 390.0  # requests a second within all shares together
    over_share_worth: Share = 0.2  # of the worth of what a tenant asks beyond its share
    classes: tuple[RequestClass, ...] = field(default=CLASSES, name="class")
    tenants: tuple[Tenant, ...] = field(default=TENANTS, name="tenant")
    clients: Clients = Clients()

    def rate_at(self, at_s: float) -> float:
        """First tries a second at a time, without shape and floods."""
        if not self.rates:
            return self.rate
        before = self.rates[0]
        for point in self.rates:
            if point.at_s > at_s:
                part = (at_s - before.at_s) / (point.at_s - before.at_s) if point.at_s > before.at_s else 1.0
                return before.per_s + (point.per_s - before.per_s) * max(0.0, part)
            before = point
        return before.per_s


class Refusal(Section, frozen=True, kw_only=True):
    """A line of the balancers' plan of what is refused first; a word that is left out fits all."""

    of_class: Word | None = field(default=None, name="class")
    customer: Word | None = None
    share: Literal["over", "within"] | None = None
    tries: Literal["first", "repeat"] | None = field(default=None, name="try")
    key: Literal["warm", "cold"] | None = None


class Link(Section, frozen=True, kw_only=True):
    """Two halls that are nearer or farther than the rest."""

    between: tuple[Word, Word]
    delay_ms: Range


class Network(Section, frozen=True, kw_only=True):
    """Delays are one way; each pair of halls draws its own within the range."""

    halls: tuple[Word, ...] = ("hall-a", "hall-b", "hall-c")
    same_hall_ms: Range = Range(0.11, 0.32)
    cross_hall_ms: Range = Range(1.4, 2.6)
    client_ms: Range = Range(0.28, 0.88)  # clients to the balancers of their hall
    jitter: Range = Range(0.15, 0.34)  # of the delay, drawn for each segment
    segment_bytes: Count = 1_460  # the most that arrives at once
    links: tuple[Link, ...] = field(default=(), name="link")


class Discovery(Section, frozen=True, kw_only=True):
    """How late the truth comes to the balancers."""

    add_s: Range = Range(0.95, 2.1)  # until a started node is listed
    notice_s: Range = Range(0.71, 4.3)  # until a drain or an orderly end is
    silent_notice_s: Range = Range(5.3, 14)  # until a death without a word is
    period_ms: Range = Range(190, 840)  # the list is sent out so often
    spread_ms: Range = Range(0, 430)  # and takes so long to each balancer


class Front(Section, frozen=True, kw_only=True):
    """The layer that deals out client connections among the balancers of the clients' hall."""

    notice_s: Range = Range(1.3, 3.9)  # it goes on sending to a dead balancer for so long


class Rules(Section, frozen=True, kw_only=True):
    """The figures of the rules: balancers find them in their settings, the judge holds them to these."""

    drain_grace_s: Seconds = 1.0
    answer_slack_ms: Amount = 8.0  # an answer may come so long after its time
    slack_ms: Amount = 50.0  # every time limit is longer by this
    deemed_told_s: Seconds = 6.0  # what discovery has to tell counts as told by then
    fall_multiple: Factor = 3.0  # a node falls if sent so many times what it can do
    fall_s: SomeSeconds = 1.0  # for so long
    fall_share: SomeShare = 2 / 3  # of it, sent by balancers told: they broke the rule
    cold_from: SomeShare = 0.12
    cold_s: SomeSeconds = 23.0
    term_grace_s: Seconds = 0.7  # after SIGTERM, clients still come for so long
    reload_told_s: Seconds = 4.0  # after SIGHUP, what discovery has to tell counts as told
    silence_is_loss: bool = True  # false: what runs out of time has failed, and is not lost
    max_attempts: Count = 5
    second_copies: bool = True


class Prices(Section, frozen=True, kw_only=True):
    """Points of service in 100 for each unit of what is priced."""

    handshake: Amount = 8.0  # a new connection for each request
    waste: Amount = 4.0  # as much work wasted as was asked for
    late_fail: Amount = 3.0  # all failing after the wanted time
    cross_hall: Amount = 2.0  # each request crossing halls once
    probe: Amount = 1.0  # one probe a request


class Incident(Section, frozen=True, kw_only=True):
    """One rehearsal: a world, and what happens to it."""

    name: Word
    title: Word
    duration_s: SomeSeconds = 45.0  # arrivals end then; what is open is played out
    fleet: Fleet = Fleet()
    balancers: Balancers = Balancers()
    traffic: Traffic = Traffic()
    network: Network = Network()
    discovery: Discovery = Discovery()
    front: Front = Front()
    rules: Rules = Rules()
    prices: Prices = Prices()
    refusals: tuple[Refusal, ...] = field(default=(), name="refusal")  # by worth, where there is none
    steps: tuple[Step, ...] = field(default=(), name="step")  # in the file's order, not by time
