"""The decisions of roadlb.  Settings, events and actions are in roadlb/policy/interface.py.

LARD with server sets.  A table maps each key to a small server set.  A new set is seeded with the key's
weighted rendezvous-hash winner if that is below T_low, else with the least loaded server; later requests
go to the least loaded member.  A member above T_high while some server is below T_low, or at 2 T_high,
makes the least loaded server join the set and take the request.  Load is this node's own requests in
flight, now and lately, for the server's capacity; the marks are multiples of the fleet's mean.  The least
loaded is sought among the next few in the key's order, so that nodes that share nothing grow the same sets.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ..routing.key_order import HASH, mix
from ..routing.key_sets import RECENT_US, KeySet, KeySets
from ..routing.shares import Shares
from ..routing.standing import Standings
from ..sites.events import ReportedSilent, ServersListed, Tick, PutIn, TakeOut
from ..sites.state_machine import Sites
from ..sites.refusal import QuotaUsage, RefusalOrder
from ..sites.warm_up import WarmUp
from ..sites.in_flight_load import InFlightLoad
from .change import apply, withdraw
from .interface import (
    NEVER_RAN,
    Action,
    Arrival,
    BodyWhole,
    Cancel,
    Changed,
    ClientGone,
    Effect,
    Event,
    Fail,
    Group,
    Heard,
    ListKind,
    ListUpdate,
    Log,
    Offer,
    Outcome,
    Refuse,
    Report,
    Send,
    Settings,
    Shortage,
    SiteWord,
    Status,
    StreamStarted,
    Subscribe,
    TimerFired,
    Twins,
    View,
)
from .server_list import ServerList
from .slow_start import SlowStart
from .state import Attempt, ClassState, Notes, Request, Server

SAMPLE = 4  # servers looked at for the least loaded
OWN_MOST = 0.95  # of the demand is refused for want of this node's own means
HOPELESS = 0.5  # less than this part of its class's quickest answer ever: none can be in time
RETRY_SHARE, HEDGE_SHARE = 0.2, 0.15
FAILED = (Status.ERROR, Status.RESET, Status.CONNECT_FAILED, Status.TIMEOUT, Status.SPOILT)
TICK_US = 1_000_000
LEAVE_US = 500_000  # a server that drains may be sent what waits for its dial for so long; 1 s is allowed
TICK, ASK, LEAVE = -1, -2, -3  # notes that are not requests


class Balancer:
    """One node's decisions: feed it events with the clock's time, carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.s, self.random = settings, random.Random(seed)
        self.classes = [ClassState(c, c.aim_us / 4, c.aim_us / 2) for c in settings.classes]
        self.dialling = settings.dialling
        self.standings = Standings(self.random.random)
        self.warmth = WarmUp(settings.cold_from, settings.cold_us)
        self.list = ServerList(self.standings, self.warmth)
        self.sets: KeySets[Server] = KeySets(self.list.order)
        self.requests: dict[int, Request] = {}
        # Requests without a key share one server set, this balancer's own, and so the connections to it.
        self.own_key = mix(settings.instance + 1) or 1
        self.fleet, self.sites = self.list.fleet, Sites()
        self.slow_start = SlowStart()
        self.shares = Shares(settings.instances)  # of what all together may do
        self.pressure, self.alone, self.refusals = 0.0, 0.0, RefusalOrder(settings.refusals)
        self.hand, self.quotas = InFlightLoad(), QuotaUsage([t.quota_per_s for t in settings.tenants])
        self.own, self.watched = 0.0, False  # this process's own shortage; has one been told at all?
        self.aim, self.queue_field = min(c.aim_us for c in settings.classes), settings.queue_field
        self.notes = Notes()
        self.now, self.started, self.asks, self.retries, self.hedges = 0, False, 0, 10.0, 10.0
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            Arrival: self.arrival,
            Outcome: self.outcome,
            TimerFired: self.timer,
            ClientGone: self.client_gone,
            ListUpdate: self.list_update,
            StreamStarted: self.stream_started,
            Offer: self.offer,
            Shortage: self.shortage,
            Heard: self.heard,
            BodyWhole: self.body_whole,
            Changed: self.changed,
            Twins: lambda e: self.shares.twins(self.now, e.count),
            SiteWord: lambda e: self.sites.process(self.now, (TakeOut if e.out else PutIn)(e.site)),
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now` and return the actions to carry out, in order."""
        self.now, self.actions = now, []
        if type(event) is Report:  # reads only: it starts nothing, draws no number, moves no mean
            return [self.view(now)]
        if not self.started:
            self.started, self.fleet.at = True, now
            self.alarm(now + TICK_US, TICK)
            if self.s.discovery_on_request:  # nodes that start together must not ask together
                self.alarm(now + int(self.random.random() * min(2_000_000, self.s.ask_within_us // 4)), ASK)
        if handler := self.handlers.get(type(event)):
            handler(event)
        if self.sites.pending_actions:
            self.slow_start.has(now, self.list.warm(self.sites))
            self.actions += map(Log, map(str, decided := self.sites.take_actions()))
            if self.warmth.observe(now, decided):
                self.rebuild()
        return self.actions

    def alarm(self, at: int, what: int) -> None:
        if timer := self.notes.put(at, what):
            self.actions.append(timer)

    def timer(self, e: TimerFired) -> None:
        for what in self.notes.take(e.token):
            if what >= 0:
                self.look_at(what)
            elif what == TICK:
                self.tick()
            elif what == LEAVE:
                self.actions += withdraw(self.requests.values())
            else:
                self.actions.append(Subscribe())

    def tick(self) -> None:
        """Once a second: what need not be done for each request."""
        self.alarm(self.now + TICK_US, TICK)
        if any(s.share < 1 for s in self.list.ready):
            self.rebuild()
        self.refusals.decay()
        self.quotas.decay()
        self.slow_start.tick(self.now, self.list.warm(self.sites), self.list.weight)
        self.sets.told([s.told * s.inverse for s in self.list.ready if self.now - s.queue_at < RECENT_US])
        each = self.slow_start.carried / (self.slow_start.mean or 1.0) / self.list.weight
        self.sites.set_usual_rates([(s.zone, each * s.weight * s.share) for s in self.list.ready])
        self.sites.process(self.now, Tick())

    # The server list

    def list_update(self, e: ListUpdate) -> None:
        if e.kind is ListKind.FAILED:
            # Ask again, later each time and each node at its own moment: the list serves all nodes.
            self.asks = min(self.asks + 1, 3)
            self.alarm(self.now + int((0.5 + self.random.random()) * (1_000_000 << self.asks)), ASK)
            return
        self.asks = 0
        if self.list.apply(self.now, e, self.s, self.aim):
            self.alarm(self.now + LEAVE_US, LEAVE)
        self.rebuild()
        self.sites.process(self.now, ServersListed(self.list.starts()))

    def changed(self, e: Changed) -> None:
        old, self.s, self.dialling = self.s, (new := e.settings), e.settings.dialling
        self.actions += apply(old, new, self.classes, self.requests, self.refusals, self.warmth, self.rebuild)

    def rebuild(self) -> None:
        """The settings, or the time, have changed what servers can do."""
        self.list.rebuild(self.now, self.s)
        self.slow_start.has(self.now, self.list.warm(self.sites))

    # Load and health

    def usable(self, s: Server, r: Request) -> bool:
        """May this request go to this server now?"""
        safe = r.cls.spec.effect is Effect.SAFE
        if (
            not s.up
            or self.sites.is_closed(self.now, s.zone, safe, r.bold, r.spare)
            or s.barred(self.now, s.out, self.aim, safe, r.cls.spec.effect is Effect.UNSAFE, r.bold)
        ):
            return False
        return (s.share >= 1 or self.cold_room(s, r) > 0) and not (
            self.shares.bounded and self.sites.limited(s.zone) and not self.shares.may_dial(self.now, s.zone)
        )

    def cold_room(self, s: Server, r: Request) -> float:
        """What is left of this node's part of a cold server's budget, in work."""
        work = r.work or r.cls.least
        return self.slow_start.room(self.now, s, work, self.list, self.shares, self.s, self.random.random)

    def view(self, now: int) -> View:
        """What is believed of each server, and of each site, at clock time `now`."""
        return View(
            self.list.views(now, self.aim),
            self.sites.view(),
            self.alone,
            self.quotas.rates,
            self.shares.repeats_held,
            dict(self.shares.dials_held),
        )

    def judge(self, s: Server, r: Request, status: Status, latency: int, unheard: bool) -> None:
        """Learn from an outcome: what answers take, how the server stands, how its site does."""
        now, cls = self.now, r.cls
        if status is Status.OK:
            s.rested.append(now)
            if s.share < 1:
                s.cold.did(now, r.work or cls.least, self.s.fall_us)
            if s.share >= 1 or self.pressure <= 0:
                cls.took(latency)  # while it sheds, one that is spared tells nothing of what the rest wait
            self.standings.good(s)
            return
        if status is Status.CANCELLED and unheard:
            if latency > r.cls.spec.aim_us:
                status = Status.TIMEOUT  # called off, but it never came
            self.sites.on_hedge_won(now, s.zone, s.id)
        if status in (Status.FULL, Status.CONNECT_FAILED):
            self.standings.turned(now, s, cls.latency)
        if status in FAILED:
            self.standings.failed(now, s, status is Status.SPOILT, len(self.list.ready))
            # One that had less than the usual time left says nothing of the site: it may have been under way.
            short = status is Status.TIMEOUT and latency < cls.tail
            if status is not Status.SPOILT and not short and self.sites.on_failed(now, s.zone, s.id, r.order):
                for other in self.requests.values():  # what is held up there is no sign of work
                    if other.attempts and other.attempts[-1].server.zone == s.zone:
                        other.let_go(now, self.hand)

    # Sets and pick

    def least(self, servers: Iterable[Server], r: Request, skip: list[Server], most: int) -> Server | None:
        """The least loaded of the first `most` usable servers."""
        best, least = None, 0.0
        for s in servers:
            if s not in skip and self.usable(s, r):
                load = s.load(self.now, self.aim)
                if best is None or load < least:
                    best, least = s, load
                most -= 1
                if not most:
                    break
        return best

    def anywhere(self, r: Request, tried: list[Server]) -> Server | None:
        """Nobody in the key's order will do: the least loaded of a random sample."""
        sample = [self.random.choice(self.list.ready) for _ in range(2 * SAMPLE)] if self.list.ready else []
        return self.least(sample, r, tried, SAMPLE) or self.least(self.list.ready, r, tried, SAMPLE)

    def idle(self, r: Request, part: float) -> Server | None:
        """A cold or suspect one, which gets less than it could: its load is under this part of the usual."""
        count, mean = len(self.list.ready), part * self.fleet.load(self.now, self.aim)
        for n in range(r.key, r.key + min(count, 2 * SAMPLE)):
            s = self.list.ready[n % count]
            gets_less = s.share < 1 or s.suspect(self.now)
            if gets_less and s.load(self.now, self.aim) <= self.sets.low(s, mean) and self.usable(s, r):
                return s
        return None

    def pick(self, r: Request) -> Server | None:
        """The server for a request's next attempt."""
        tried, first, spec = [a.server for a in r.attempts], r.first(), r.cls.spec
        if first and spec.effect is Effect.KEYED and spec.group is not Group.ALL:
            # Only the group of the attempt that may have run discards a repeat; others would run it again.
            number = first.server.cell if spec.group is Group.CELL else first.server.zone
            return self.least(self.list.groups.get((spec.group, number), ()), r, tried, SAMPLE)
        if r.spare:
            return None if tried else self.idle(r, 0.5)
        if not tried and r.site >= 0:
            return self.least(self.list.groups.get((Group.ZONE, r.site), ()), r, tried, SAMPLE)
        if (
            not tried
            and spec.effect is Effect.SAFE
            and (site := self.sites.due_trial(self.now)) >= 0
            and (s := self.least(self.list.groups.get((Group.ZONE, site), ()), r, tried, SAMPLE))
        ):
            return s  # a lost site is asked whether it is back, as nobody would choose it
        if not tried and spec.effect is Effect.SAFE and self.pressure > 0 and (s := self.idle(r, 1.0)):
            return s  # what is warm is left to what only it can do in time
        s, ks = self.member(r, tried)
        if s and self.dialling and not s.connected(self.now, self.s.keep_us):
            # Each server that one node uses seldom costs it a dial for nearly every request.
            o = self.least([o for o in ks.order if o.connected(self.now, self.s.keep_us)], r, tried, SAMPLE)
            load, mean = s.load(self.now, self.aim), self.fleet.load(self.now, self.aim)
            if o and o.load(self.now, self.aim) <= max(load, self.sets.low(o, mean)):
                return o
        return s

    def member(self, r: Request, tried: list[Server]) -> tuple[Server | None, KeySet[Server]]:
        """The server of the key's set for the next attempt, which may have to join it first; and the set."""
        now, aim, sets = self.now, self.aim, self.sets
        ks = sets.use(r.key, self.list.version)
        best = self.least(ks.members, r, tried, len(ks.members))
        mean = self.fleet.load(now, aim)
        if best is None:
            other = self.least(ks.order, r, tried, 1)
            if other and other.load(now, aim) > sets.low(other, mean):
                other = self.least(ks.order, r, tried, SAMPLE)
            other = other or self.anywhere(r, tried)
        elif sets.suffices(now, aim, best, mean, ks):
            return best, ks
        else:
            other = self.least(sets.more(r.key, ks), r, tried + ks.members, SAMPLE)
            if not sets.relieves(now, aim, other, best, mean):
                return best, ks
        ks.join(now, other)
        return other, ks

    # Attempts

    def send(self, r: Request) -> bool:
        """Start an attempt, if there is a server for it."""
        s, now = self.pick(r), self.now
        if s is None:
            if r.site >= 0 or r.spare:
                return False
            r.bold = True  # better one that has failed lately than none
            if (s := self.pick(r)) is None:
                return False
        self.slow_start.sent(s, r.work or r.cls.least)
        del s.rested[-1:]
        if self.shares.bounded:
            self.shares.sent(now, s.zone, self.sites.limited(s.zone), bool(r.attempts))
        if not r.spare:
            self.sites.on_sent(now, s.zone, s.id, r.order)
        write_by_us = r.write_by_us()
        r.attempts.append(a := Attempt(s, now))
        r.open += 1
        if not r.coming:
            self.begin(a)
        self.actions.append(Send(r.id, s.id, max(1, r.until - now), write_by_us))
        at = now + int(r.cls.tail)
        copies = self.s.second_copies and not r.coming and r.cls.spec.effect is not Effect.UNSAFE
        if copies and at + r.cls.latency < r.due:
            self.alarm(at, r.id)
        return True

    def begin(self, a: Attempt) -> None:
        s = a.server
        if not s.out:
            s.since = self.now
        self.slow_start.began(self.now, a)
        self.list.count(self.now, self.aim, s, 1)

    def may_resend(self, r: Request) -> bool:
        """Do the class, the number of attempts and the time left allow another attempt?"""
        spec, first = r.cls.spec, r.first()
        if len(r.attempts) >= self.s.max_attempts or self.now + r.cls.latency / 2 > r.until:
            return False
        return (
            first is None
            or spec.effect is Effect.SAFE
            or (spec.effect is Effect.KEYED and self.now - first.sent < spec.window_us)
        ) and self.shares.may_repeat(self.now)

    def look_at(self, request: int) -> None:
        """An answer is overdue: note a missed aim, or send a second copy where allowed and of use."""
        r = self.requests.get(request)
        if not r or r.closed or r.streaming:
            return
        if self.now >= r.due and not r.late:
            r.late = True
            r.let_go(self.now, self.hand)
        if (
            self.s.second_copies
            and r.open == 1
            and self.hedges >= 1
            and (self.now + r.cls.latency < r.due)
            and self.may_resend(r)
        ):
            self.hedges -= self.send(r)

    def outcome(self, e: Outcome) -> None:
        r = self.requests.get(e.request)
        if r is None or e.attempt >= len(r.attempts) or not r.attempts[e.attempt].open:
            return
        a = r.attempts[e.attempt]
        a.open, a.ran, s = False, e.status not in NEVER_RAN, a.server
        r.open -= 1
        if not r.coming:
            self.list.count(self.now, self.aim, s, -1)
        self.slow_start.ended(self.now, a, r.work or r.cls.least, e.status is Status.OK)
        if len(e.report) > self.queue_field >= 0:
            s.told, s.queue_at = e.report[self.queue_field], self.now
            s.queue = s.told / self.shares.alike
        if e.status in (Status.OK, Status.ERROR, Status.FULL, Status.SPOILT):
            s.heard = self.now
            self.sites.on_answered(self.now, s.zone, r.order, e.latency_us)
            if e.status is not Status.FULL:
                self.hand.answer_received(self.now)
        self.judge(s, r, e.status, e.latency_us, unheard=a.sent > s.heard)
        if e.status is Status.FULL and s.fulls == 1:
            # Work turned away again and again says that a server drains, not that there is too much work.
            self.hand.request_rejected(self.now, r.cls.spec.aim_us)
        if e.closed or r.closed:
            self.close(r)
        elif r.open:
            return
        elif self.retries >= 1 and not r.streaming and self.may_resend(r) and self.send(r):
            self.retries -= 1
        else:
            self.give_up(r)

    def give_up(self, r: Request) -> None:
        """The final answer: a refusal where that is honest, else a failure."""
        effect, group = r.cls.spec.effect, r.cls.spec.group
        if not r.first() or effect is Effect.SAFE or (effect is Effect.KEYED and group is Group.ALL):
            self.refuse(r.id, r.cls)
        else:
            self.actions.append(Fail(r.id))
        self.close(r)

    def refuse(self, request: int, cls: ClassState) -> None:
        wait = int(cls.latency * (0.5 + self.random.random()) * (1 + 4 * max(self.pressure, self.own)))
        self.actions.append(Refuse(request, min(self.s.max_retry_after_us, wait)))

    def close(self, r: Request) -> None:
        """Answered: call off what is still out."""
        if not r.closed:
            r.closed = True
            r.let_go(self.now, self.hand)
            self.call_off(r)
        if not r.open:
            self.requests.pop(r.id, None)

    def call_off(self, r: Request, but: int = -1) -> None:
        if self.s.cancelling and r.open and not r.streaming:
            safe = r.cls.spec.effect is Effect.SAFE
            for n, a in r.out(but):
                if not (safe and self.sites.keeps_hedged_attempt(self.now, a.server.zone)):
                    a.called_off = True
                    self.actions.append(Cancel(r.id, n))

    def client_gone(self, e: ClientGone) -> None:
        if r := self.requests.get(e.request):
            self.close(r)
            # What may run to its end must not begin any more.
            self.actions += [Cancel(r.id, n, unsent=True) for n, _ in r.out()]

    def stream_started(self, e: StreamStarted) -> None:
        if r := self.requests.get(e.request):
            self.call_off(r, but=e.attempt)
            r.streaming = True
            r.let_go(self.now, self.hand)

    # Admission

    def arrival(self, e: Arrival) -> None:
        cls = self.classes[e.class_index]
        key = e.key or self.own_key
        r = self.requests[e.request] = Request(
            e.request, cls, key, e.work_us, self.now + e.left_us, self.now + cls.spec.aim_us, e.coming
        )
        self.retries, self.hedges = min(20, self.retries + RETRY_SHARE), min(20, self.hedges + HEDGE_SHARE)
        shed = self.shed(e, cls)
        if shed and cls.spec.effect is Effect.SAFE:
            # A balancer that refuses all but orders would never ask whether a lost site is back.
            r.site = self.sites.spare_site(self.now)
            r.spare = r.site < 0 and bool(self.list.ready)
        if shed and r.site < 0 and not r.spare or self.hopeless(e, cls) or not self.send(r):
            self.give_up(r)
        elif not r.coming:
            self.alarm(r.due, r.id)
            r.hold(self.now, self.hand)

    def body_whole(self, e: BodyWhole) -> None:
        """Only now can a server begin with it: till then it was neither load nor late."""
        if (r := self.requests.get(e.request)) and r.coming and not r.closed:
            r.coming, r.until, r.due = False, self.now + e.left_us, self.now + r.cls.spec.aim_us
            for a in r.attempts:
                if a.open:
                    a.sent = self.now
                    self.begin(a)
            self.alarm(r.due, r.id)
            r.hold(self.now, self.hand)

    def offer(self, e: Offer) -> None:
        cls = self.classes[e.class_index]
        short = max(self.wanting(), self.own) > 0
        if short and self.shed(e, cls, coming=True) or self.hopeless(e, cls):
            self.refuse(0, cls)

    def shortage(self, e: Shortage) -> None:
        self.own, self.watched = min(OWN_MOST, max(0.0, e.share)), True

    def heard(self, e: Heard) -> None:
        self.shares.told(
            self.now, e.parts, e.cold, e.quotas, e.pressure, e.until, e.floor, e.wholes, e.lean, e.stale
        )
        self.shares.bound(self.now, e.rest, e.repeats_per_s, e.repeats, e.dials_per_s, e.dials)
        for server, until in e.avoid.items():
            if s := self.list.servers.get(server):
                self.standings.avoid(s, until, len(self.list.ready))
        for site, (since, until) in e.silent.items():
            self.sites.process(self.now, ReportedSilent(site, since, until))

    def wanting(self) -> float:
        """The share of the demand that the servers have no room for."""
        self.alone = self.hand.shortage(self.now)
        return self.shares.shortage(self.now, self.alone)

    def hopeless(self, e: Arrival | Offer, cls: ClassState) -> bool:
        """Can no answer be in time?  A node would work for nothing, and be blamed for the time-out."""
        return self.watched and e.left_us < HOPELESS * cls.quickest

    def shed(self, e: Arrival | Offer, cls: ClassState, coming: bool = False) -> bool:
        """Load shedding: under pressure refuse what is worth least for its work, at once.

        What is still `coming`, and is not refused now, is counted when it arrives.
        """
        worth, tenants = cls.spec.worth, self.s.tenants
        if not coming:
            self.quotas.count_request(e.tenant)
        if over := self.quotas.exceeds_quota(
            e.tenant, self.shares.of_quota(self.now, e.tenant), self.random.random() if tenants else 1.0
        ):
            worth *= self.s.over_share_worth
        if not self.s.worth_by_work and e.work_us:
            worth *= cls.spec.aim_us / e.work_us
        warm = e.key in self.sets  # likely to be cached: less work for the same worth
        if self.s.warm_keys and warm:
            worth *= 2
        rank = self.refusals.rank(worth, e.class_index, e.tenant, over, e.is_retry, warm)
        if not coming:
            self.refusals.count_request(rank)
        self.pressure = self.wanting()
        pressure = max(self.pressure, self.own)
        if pressure <= 0:
            return False
        # Among equals the key decides, alike on all nodes: what is served then stays the same, and cached.
        luck = (mix(e.key) & HASH) / HASH if e.key else self.random.random()
        refused = self.refusals.is_refused(rank, luck, pressure)
        if refused and coming:
            self.refusals.count_request(rank)
            self.quotas.count_request(e.tenant)
        return refused
