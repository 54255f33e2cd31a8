"""The policy of roadlb.  Settings, events and actions are in roadlb/policy/interface.py.

LARD with server sets: a table maps each key to a small server set, whose least loaded member takes a request.
A new set begins with the key's weighted rendezvous-hash winner if that is below T_low, otherwise with the
least loaded server.  If that member is above T_high while some server is below T_low, or at 2 T_high, the
least loaded server joins the set and takes the request.  Load is this balancer's requests in flight, now and
in the recent mean, per capacity; T_low and T_high are multiples of the fleet's mean.  The least loaded server
is one of the next few in the key's order, so that balancers that share no state grow the same sets."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ..routing.key_order import HASH_MASK, splitmix64
from ..routing.key_sets import RECENT_US, KeySet, KeySets
from ..routing.shares import BudgetShares
from ..routing.health import HealthTracker
from ..sites.events import ReportedSilent, ServersListed, Tick, PutIn, TakeOut
from ..sites.state_machine import Sites
from ..sites.refusal import QuotaUsage, RefusalOrder
from ..sites.warm_up import WarmUp
from ..sites.in_flight_load import InFlightLoad
from .change import apply, cancel_unsent_to_drained
from .interface import NEVER_RAN, Action, AdmissionCheck, Arrival, BodyComplete, BodyOverdue, Cancel
from .interface import ClientGone, Effect, Event, Fail, Group, ListKind, ListUpdate, Log, Outcome
from .interface import ProcessCount, ProcessOverload, Refuse, Send, Settings, SettingsChanged
from .interface import SharedStateUpdate, SiteOverride, Status, StreamStarted, Subscribe, TimerFired
from .interface import View, ViewQuery
from .server_list import ServerList
from .slow_start import SlowStart
from .state import Attempt, ClassState, Request, Server, TimerSlots

SAMPLE = 4  # servers that are compared to find the least loaded
MAX_OVERLOAD_SHARE = 0.95  # upper bound of the demand refused for lack of this process's own resources
MIN_TIME_LEFT_RATIO = 0.5  # a request with less time left, in lowest latencies of its class, is too late
RETRY_RATIO, HEDGE_RATIO = 0.2, 0.15  # retries and hedges allowed per request
FAILURES = (Status.ERROR, Status.RESET, Status.CONNECT_FAILED, Status.TIMEOUT, Status.SPOILT)
TICK_US = 1_000_000
DRAIN_DIAL_US = 500_000  # for so long a draining server gets what waits for its dial; 1 s is allowed
TICK, SUBSCRIBE, DRAIN = -1, -2, -3  # timer entries that are not requests


class Balancer:
    """The decisions of one balancer: pass events with the clock time, carry out the returned actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings, self.rng = settings, random.Random(seed)
        self.classes = [ClassState(c, c.aim_us / 4, c.aim_us / 2) for c in settings.classes]
        self.dials_cost = settings.dials_cost
        self.health = HealthTracker(self.rng.random)
        self.warmth = WarmUp(settings.cold_from, settings.cold_us)
        self.servers = ServerList(self.health, self.warmth)
        self.sets: KeySets[Server] = KeySets(self.servers.servers_for_key)
        self.requests: dict[int, Request] = {}
        # Requests without a key share one server set of this balancer, and so its connections.
        self.default_key = splitmix64(settings.instance + 1) or 1
        self.fleet, self.sites = self.servers.fleet, Sites()
        self.slow_start = SlowStart()
        self.shares = BudgetShares(settings.instances)  # of what all balancers together may do
        self.shortage, self.local_shortage, self.refusals = 0.0, 0.0, RefusalOrder(settings.refusals)
        self.fleet_load, self.quotas = InFlightLoad(), QuotaUsage([t.quota_per_s for t in settings.tenants])
        self.overload, self.is_monitored = 0.0, False  # the last event; has any come?
        self.aim_us, self.queue_index = min(c.aim_us for c in settings.classes), settings.queue_index
        self.timers = TimerSlots()
        self.now, self.started, self.backoff, self.retries, self.hedges = 0, False, 0, 10.0, 10.0
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            Arrival: self.on_arrival,
            Outcome: self.on_outcome,
            TimerFired: self.on_timer,
            ClientGone: self.on_client_gone,
            ListUpdate: self.on_list_update,
            StreamStarted: self.on_stream_started,
            AdmissionCheck: self.on_admission_check,
            ProcessOverload: self.on_process_overload,
            SharedStateUpdate: self.on_shared_state,
            BodyComplete: self.on_body_complete,
            BodyOverdue: self.on_body_overdue,
            SettingsChanged: self.on_settings_changed,
            ProcessCount: lambda e: self.shares.set_process_count(self.now, e.count),
            SiteOverride: lambda e: self.sites.process(self.now, (TakeOut if e.out else PutIn)(e.site)),
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event at clock time `now`; returns the actions to carry out, in order."""
        self.now, self.actions = now, []
        if type(event) is ViewQuery:  # read only: starts nothing, draws no number, moves no mean
            return [self.view(now)]
        if not self.started:
            self.started, self.fleet.mean_updated_us = True, now
            self.schedule(now + TICK_US, TICK)
            if self.settings.discovery_on_request:  # balancers that start together must not ask together
                self.schedule(
                    now + int(self.rng.random() * min(2_000_000, self.settings.ask_within_us // 4)), SUBSCRIBE
                )
        if handler := self.handlers.get(type(event)):
            handler(event)
        if self.sites.pending_actions:
            self.slow_start.set_warm_capacity(now, self.servers.warm_capacity(self.sites))
            self.actions += map(Log, map(str, decided := self.sites.take_actions()))
            if self.warmth.observe(now, decided):
                self.rebuild()
        return self.actions

    def schedule(self, at: int, entry: int) -> None:
        if timer := self.timers.schedule(at, entry):
            self.actions.append(timer)

    def on_timer(self, e: TimerFired) -> None:
        for entry in self.timers.pop(e.token):
            if entry >= 0:
                self.on_overdue(entry)
            elif entry == TICK:
                self.on_tick()
            elif entry == DRAIN:
                self.actions += cancel_unsent_to_drained(self.requests.values())
            else:
                self.actions.append(Subscribe())

    def on_tick(self) -> None:
        """Do once a second what need not be done for each request."""
        self.schedule(self.now + TICK_US, TICK)
        if any(s.share < 1 for s in self.servers.ready):
            self.rebuild()
        self.refusals.decay()
        self.quotas.decay()
        self.slow_start.tick(self.now, self.servers.warm_capacity(self.sites), self.servers.capacity)
        self.sets.update_reports(
            [s.queue * s.unit_load for s in self.servers.ready if self.now - s.reported_us < RECENT_US]
        )
        each = self.slow_start.work_per_s / (self.slow_start.mean_work or 1.0) / self.servers.capacity
        self.sites.set_usual_rates([(s.zone, each * s.weight * s.share) for s in self.servers.ready])
        self.sites.process(self.now, Tick())

    def on_list_update(self, e: ListUpdate) -> None:
        if e.kind is ListKind.FAILED:
            # Retry with exponential backoff and jitter: the list serves all balancers.
            self.backoff = min(self.backoff + 1, 3)
            self.schedule(self.now + int((0.5 + self.rng.random()) * (1_000_000 << self.backoff)), SUBSCRIBE)
            return
        self.backoff = 0
        if self.servers.apply(self.now, e, self.settings, self.aim_us):
            self.schedule(self.now + DRAIN_DIAL_US, DRAIN)
        self.rebuild()
        self.sites.process(self.now, ServersListed(self.servers.start_times()))

    def on_settings_changed(self, e: SettingsChanged) -> None:
        old, self.settings, self.dials_cost = self.settings, (new := e.settings), e.settings.dials_cost
        self.actions += apply(old, new, self.classes, self.requests, self.refusals, self.warmth, self.rebuild)

    def rebuild(self) -> None:
        """Rebuild what depends on the capacity of servers: settings, or the time, have changed it."""
        self.servers.rebuild(self.now, self.settings)
        self.slow_start.set_warm_capacity(self.now, self.servers.warm_capacity(self.sites))

    def may_use(self, s: Server, r: Request) -> bool:
        safe = r.cls.spec.effect is Effect.SAFE
        if (
            not s.is_ready
            or self.sites.is_closed(self.now, s.zone, safe, r.last_resort, r.spare_only)
            or s.is_excluded(
                self.now, s.in_flight, self.aim_us, safe, r.cls.spec.effect is Effect.UNSAFE, r.last_resort
            )
        ):
            return False
        return (s.share >= 1 or self.slow_start_budget(s, r) > 0) and not (
            self.shares.is_limited
            and self.sites.limited(s.zone)
            and not self.shares.may_dial(self.now, s.zone)
        )

    def slow_start_budget(self, s: Server, r: Request) -> float:
        """The work that this balancer may still send to a server in slow start."""
        work = r.work_us or r.cls.base_latency_us
        return self.slow_start.budget(
            self.now, s, work, self.servers, self.shares, self.settings, self.rng.random
        )

    def view(self, now: int) -> View:
        return View(
            self.servers.views(now, self.aim_us),
            self.sites.view(),
            self.local_shortage,
            self.quotas.rates,
            self.shares.rejected_retries,
            dict(self.shares.rejected_dials),
        )

    def record_outcome(self, s: Server, r: Request, status: Status, latency: int, unanswered: bool) -> None:
        """Update latencies, the health of the server and the state of its site with an outcome."""
        now, cls = self.now, r.cls
        if status is Status.OK:
            s.idle_since_us.append(now)
            if s.share < 1:
                s.budget.record_completed(now, r.work_us or cls.base_latency_us, self.settings.fall_us)
            if s.share >= 1 or self.shortage <= 0:
                cls.record_latency(latency)  # while shedding, a spared server says nothing of the others
            self.health.record_success(s)
            return
        if status is Status.CANCELLED and unanswered:
            if latency > r.cls.spec.aim_us:
                status = Status.TIMEOUT  # cancelled, but it never came
            self.sites.on_hedge_won(now, s.zone, s.id)
        if status in (Status.FULL, Status.CONNECT_FAILED):
            self.health.record_full(now, s, cls.mean_us)
        if status in FAILURES:
            self.health.record_failed_attempt(now, s, status is Status.SPOILT, len(self.servers.ready))
            # With less than the usual time left it says nothing of the site: an answer may have been coming.
            short = status is Status.TIMEOUT and latency < cls.tail_us
            if (
                status is not Status.SPOILT
                and not short
                and self.sites.on_failed(now, s.zone, s.id, r.is_order)
            ):
                for other in self.requests.values():  # waiting for that site is no sign of load
                    if other.attempts and other.attempts[-1].server.zone == s.zone:
                        other.end_progress(now, self.fleet_load)

    def least_loaded(self, among: Iterable[Server], r: Request, skip: list[Server], n: int) -> Server | None:
        """The least loaded of the first `n` usable servers."""
        best, least = None, 0.0
        for s in among:
            if s not in skip and self.may_use(s, r):
                load = s.load(self.now, self.aim_us)
                if best is None or load < least:
                    best, least = s, load
                n -= 1
                if not n:
                    break
        return best

    def random_least_loaded(self, r: Request, tried: list[Server]) -> Server | None:
        """The least loaded server of a random sample, if none in the key's order is usable."""
        drawn = [self.rng.choice(self.servers.ready) for _ in range(2 * SAMPLE)] if self.servers.ready else []
        return self.least_loaded(drawn, r, tried, SAMPLE) or self.least_loaded(
            self.servers.ready, r, tried, SAMPLE
        )

    def underused(self, r: Request, fraction: float) -> Server | None:
        """A server in slow start or suspect whose load is below this fraction of the usual."""
        count, mean = len(self.servers.ready), fraction * self.fleet.load(self.now, self.aim_us)
        for n in range(r.key, r.key + min(count, 2 * SAMPLE)):
            s = self.servers.ready[n % count]
            spared = s.share < 1 or s.is_suspect(self.now)
            if spared and s.load(self.now, self.aim_us) <= self.sets.low(s, mean) and self.may_use(s, r):
                return s
        return None

    def pick_server(self, r: Request) -> Server | None:
        tried, first, spec = [a.server for a in r.attempts], r.earliest_run(), r.cls.spec
        if first and spec.effect is Effect.KEYED and spec.group is not Group.ALL:
            # Only the group of the attempt that may have run discards a repeat; others would run it again.
            number = first.server.cell if spec.group is Group.CELL else first.server.zone
            return self.least_loaded(self.servers.groups.get((spec.group, number), ()), r, tried, SAMPLE)
        if r.spare_only:
            return None if tried else self.underused(r, 0.5)
        if not tried and r.only_site >= 0:
            return self.least_loaded(self.servers.groups.get((Group.ZONE, r.only_site), ()), r, tried, SAMPLE)
        if (
            not tried
            and spec.effect is Effect.SAFE
            and (site := self.sites.due_trial(self.now)) >= 0
            and (s := self.least_loaded(self.servers.groups.get((Group.ZONE, site), ()), r, tried, SAMPLE))
        ):
            return s  # a trial of a lost site, which would not be chosen otherwise
        if not tried and spec.effect is Effect.SAFE and self.shortage > 0 and (s := self.underused(r, 1.0)):
            return s  # leaves warm servers to requests that only they can answer in time
        s, found = self.pick_from_key_set(r, tried)
        if s and self.dials_cost and not s.connected(self.now, self.settings.keep_us):
            # A server that this balancer uses seldom would cost a dial for nearly every request.
            o = self.least_loaded(
                [o for o in found.candidates if o.connected(self.now, self.settings.keep_us)],
                r,
                tried,
                SAMPLE,
            )
            load, mean = s.load(self.now, self.aim_us), self.fleet.load(self.now, self.aim_us)
            if o and o.load(self.now, self.aim_us) <= max(load, self.sets.low(o, mean)):
                return o
        return s

    def pick_from_key_set(self, r: Request, tried: list[Server]) -> tuple[Server | None, KeySet[Server]]:
        """The server for the next attempt, added to the key's set if it is not a member; and the set."""
        now, aim_us, sets = self.now, self.aim_us, self.sets
        found = sets.get_or_create(r.key, self.servers.version)
        best = self.least_loaded(found.members, r, tried, len(found.members))
        mean = self.fleet.load(now, aim_us)
        if best is None:
            other = self.least_loaded(found.candidates, r, tried, 1)
            if other and other.load(now, aim_us) > sets.low(other, mean):
                other = self.least_loaded(found.candidates, r, tried, SAMPLE)
            other = other or self.random_least_loaded(r, tried)
        elif sets.suffices(now, aim_us, best, mean, found):
            return best, found
        else:
            other = self.least_loaded(sets.joinable(r.key, found), r, tried + found.members, SAMPLE)
            if not sets.should_join(now, aim_us, other, best, mean):
                return best, found
        found.join(now, other)
        return other, found

    def send(self, r: Request) -> bool:
        """Start an attempt; returns False if no server is usable."""
        s, now = self.pick_server(r), self.now
        if s is None:
            if r.only_site >= 0 or r.spare_only:
                return False
            r.last_resort = True  # a server that has failed recently is better than none
            if (s := self.pick_server(r)) is None:
                return False
        self.slow_start.record_sent(s, r.work_us or r.cls.base_latency_us)
        del s.idle_since_us[-1:]
        if self.shares.is_limited:
            self.shares.record_attempt(now, s.zone, self.sites.limited(s.zone), bool(r.attempts))
        if not r.spare_only:
            self.sites.on_sent(now, s.zone, s.id, r.is_order)
        write_by_us = r.write_by_us()
        r.attempts.append(a := Attempt(s, now))
        r.open_attempts += 1
        if not r.uploading:
            self.begin_attempt(a)
        self.actions.append(Send(r.id, s.id, max(1, r.deadline_at_us - now), write_by_us))
        at = now + int(r.cls.tail_us)
        copies = self.settings.second_copies and not r.uploading and r.cls.spec.effect is not Effect.UNSAFE
        if copies and at + r.cls.mean_us < r.due:
            self.schedule(at, r.id)
        return True

    def begin_attempt(self, a: Attempt) -> None:
        s = a.server
        if not s.in_flight:
            s.oldest_sent_at = self.now
        self.slow_start.record_begun(self.now, a)
        self.servers.add_in_flight(self.now, self.aim_us, s, 1)

    def may_resend(self, r: Request) -> bool:
        """Whether the class, the number of attempts, the time left and the budgets allow another attempt."""
        spec, first = r.cls.spec, r.earliest_run()
        if len(r.attempts) >= self.settings.max_attempts or self.now + r.cls.mean_us / 2 > r.deadline_at_us:
            return False
        return (
            first is None
            or spec.effect is Effect.SAFE
            or (spec.effect is Effect.KEYED and self.now - first.sent_us < spec.window_us)
        ) and self.shares.may_retry(self.now)

    def on_overdue(self, request: int) -> None:
        """An answer is overdue: record a missed latency target, or send a hedge if allowed and useful."""
        r = self.requests.get(request)
        if not r or r.closed or r.streaming:
            return
        if self.now >= r.due and not r.is_late:
            r.is_late = True
            r.end_progress(self.now, self.fleet_load)
        if (
            self.settings.second_copies
            and r.open_attempts == 1
            and self.hedges >= 1
            and (self.now + r.cls.mean_us < r.due)
            and self.may_resend(r)
        ):
            self.hedges -= self.send(r)

    def on_outcome(self, e: Outcome) -> None:
        r = self.requests.get(e.request)
        if r is None or e.attempt >= len(r.attempts) or not r.attempts[e.attempt].is_open:
            return
        a = r.attempts[e.attempt]
        a.is_open, a.may_have_run, s = False, e.status not in NEVER_RAN, a.server
        r.open_attempts -= 1
        if not r.uploading:
            self.servers.add_in_flight(self.now, self.aim_us, s, -1)
        self.slow_start.record_ended(self.now, a, r.work_us or r.cls.base_latency_us, e.status is Status.OK)
        if len(e.report) > self.queue_index >= 0:
            s.queue, s.reported_us = e.report[self.queue_index], self.now
            s.queue_share = s.queue / self.shares.balancer_count
        if e.status in (Status.OK, Status.ERROR, Status.FULL, Status.SPOILT):
            s.last_answer_at = self.now
            self.sites.on_answered(self.now, s.zone, r.is_order, e.latency_us)
            if e.status is not Status.FULL:
                self.fleet_load.answer_received(self.now)
        self.record_outcome(s, r, e.status, e.latency_us, unanswered=a.sent_us > s.last_answer_at)
        if e.status is Status.FULL and s.full_count == 1:
            # A server that rejects repeatedly is draining, which is no sign of too much work.
            self.fleet_load.request_rejected(self.now, r.cls.spec.aim_us)
        if e.closed or r.closed:
            self.close(r)
        elif r.open_attempts:
            return
        elif self.retries >= 1 and not r.streaming and self.may_resend(r) and self.send(r):
            self.retries -= 1
        else:
            self.give_up(r)

    def give_up(self, r: Request) -> None:
        """End the request without an answer: refuse it if the client may safely repeat it, else fail it."""
        effect, group = r.cls.spec.effect, r.cls.spec.group
        if not r.earliest_run() or effect is Effect.SAFE or (effect is Effect.KEYED and group is Group.ALL):
            self.refuse(r.id, r.cls)
        else:
            self.actions.append(Fail(r.id))
        self.close(r)

    def refuse(self, request: int, cls: ClassState) -> None:
        wait = int(cls.mean_us * (0.5 + self.rng.random()) * (1 + 4 * max(self.shortage, self.overload)))
        self.actions.append(Refuse(request, min(self.settings.max_retry_after_us, wait)))

    def close(self, r: Request) -> None:
        """The request has its final answer: cancel the attempts that are still open."""
        if not r.closed:
            r.closed = True
            r.end_progress(self.now, self.fleet_load)
            self.cancel_attempts(r)
        if not r.open_attempts:
            self.requests.pop(r.id, None)

    def cancel_attempts(self, r: Request, except_attempt: int = -1) -> None:
        if self.settings.cancelling and r.open_attempts and not r.streaming:
            safe = r.cls.spec.effect is Effect.SAFE
            for n, a in r.open_uncancelled(except_attempt):
                if not (safe and self.sites.keeps_hedged_attempt(self.now, a.server.zone)):
                    a.cancelled = True
                    self.actions.append(Cancel(r.id, n))

    def on_client_gone(self, e: ClientGone) -> None:
        if r := self.requests.get(e.request):
            self.close(r)
            # `close` may leave attempts running; those that still wait for a connection must not be sent.
            self.actions += [Cancel(r.id, n, unsent=True) for n, _ in r.open_uncancelled()]

    def on_stream_started(self, e: StreamStarted) -> None:
        if r := self.requests.get(e.request):
            self.cancel_attempts(r, except_attempt=e.attempt)
            r.streaming = True
            r.end_progress(self.now, self.fleet_load)

    def on_arrival(self, e: Arrival) -> None:
        cls = self.classes[e.class_index]
        key = e.key or self.default_key
        r = self.requests[e.request] = Request(
            e.request, cls, key, e.work_us, self.now + e.left_us, self.now + cls.spec.aim_us, e.coming
        )
        self.retries, self.hedges = min(20, self.retries + RETRY_RATIO), min(20, self.hedges + HEDGE_RATIO)
        shed = self.should_shed(e, cls)
        if shed and cls.spec.effect is Effect.SAFE:
            # Otherwise a balancer that refuses all but orders would never try a lost site.
            r.only_site = self.sites.spare_site(self.now)
            r.spare_only = r.only_site < 0 and bool(self.servers.ready)
        if shed and r.only_site < 0 and not r.spare_only or self.is_too_late(e, cls) or not self.send(r):
            self.give_up(r)
        elif not r.uploading:
            self.schedule(r.due, r.id)
            r.start_progress(self.now, self.fleet_load)

    def on_body_complete(self, e: BodyComplete) -> None:
        """A server can begin with the request only now: until then it was neither load nor late."""
        if (r := self.requests.get(e.request)) and r.uploading and not r.closed:
            r.uploading, r.deadline_at_us, r.due = (
                False,
                self.now + e.left_us,
                self.now + r.cls.spec.aim_us,
            )
            for a in r.attempts:
                if a.is_open:
                    a.sent_us = self.now
                    self.begin_attempt(a)
            self.schedule(r.due, r.id)
            r.start_progress(self.now, self.fleet_load)

    def on_body_overdue(self, e: BodyOverdue) -> None:
        if (r := self.requests.get(e.request)) and r.uploading and not r.closed:
            r.deadline_at_us = self.now

    def on_admission_check(self, e: AdmissionCheck) -> None:
        cls = self.classes[e.class_index]
        short = max(self.measure_shortage(), self.overload) > 0
        if short and self.should_shed(e, cls, coming=True) or self.is_too_late(e, cls):
            self.refuse(0, cls)

    def on_process_overload(self, e: ProcessOverload) -> None:
        self.overload, self.is_monitored = min(MAX_OVERLOAD_SHARE, max(0.0, e.share)), True

    def on_shared_state(self, e: SharedStateUpdate) -> None:
        self.shares.update(
            self.now,
            e.process_count,
            e.slow_start_shares,
            e.quota_shares,
            e.fleet_shortage,
            e.lease_end_us,
            e.fallback_share,
            e.quota_factors,
            e.fleet_shortage_weight,
            e.fleet_shortage_until,
        )
        self.shares.set_rate_limits(
            self.now, e.max_unlisted_share, e.retries_per_s, e.retry_share, e.dials_per_s, e.dial_shares
        )
        for server, until in e.avoid_until.items():
            if s := self.servers.by_id.get(server):
                self.health.apply_peer_report(s, until, len(self.servers.ready))
        for site, (since, until) in e.unreachable_zones.items():
            self.sites.process(self.now, ReportedSilent(site, since, until))

    def measure_shortage(self) -> float:
        """The share of the demand that the servers have no capacity for."""
        self.local_shortage = self.fleet_load.shortage(self.now)
        return self.shares.shortage(self.now, self.local_shortage)

    def is_too_late(self, e: Arrival | AdmissionCheck, cls: ClassState) -> bool:
        """No answer can be in time: a server would work in vain and be blamed for the timeout."""
        return self.is_monitored and e.left_us < MIN_TIME_LEFT_RATIO * cls.min_latency_us

    def should_shed(self, e: Arrival | AdmissionCheck, cls: ClassState, coming: bool = False) -> bool:
        """Load shedding by worth per work; a request `coming` is counted here only if it is refused."""
        worth, tenants = cls.spec.worth, self.settings.tenants
        if not coming:
            self.quotas.count_request(e.tenant)
        if over := self.quotas.exceeds_quota(
            e.tenant, self.shares.quota_divisor(self.now, e.tenant), self.rng.random() if tenants else 1.0
        ):
            worth *= self.settings.over_share_worth
        if not self.settings.worth_by_work and e.work_us:
            worth *= cls.spec.aim_us / e.work_us
        warm = e.key in self.sets  # likely to be cached: less work for the same worth
        if self.settings.warm_keys and warm:
            worth *= 2
        rank = self.refusals.rank(worth, e.class_index, e.tenant, over, e.is_retry, warm)
        if not coming:
            self.refusals.count_request(rank)
        self.shortage = self.measure_shortage()
        shed_share = max(self.shortage, self.overload)
        if shed_share <= 0:
            return False
        # Within a rank the key decides, alike on all balancers: those served stay the same, and cached.
        tie_break = (splitmix64(e.key) & HASH_MASK) / HASH_MASK if e.key else self.rng.random()
        refused = self.refusals.is_refused(rank, tie_break, shed_share)
        if refused and coming:
            self.refusals.count_request(rank)
            self.quotas.count_request(e.tenant)
        return refused
