"""The state machine of a site: detected from servers that fail one by one, tried, and taken back in steps.

Without it, each of the forty servers of a lost zone would be detected by itself, by requests that wait for a
connection or for an answer that never comes, and their delay would be taken for overload.  A zone that comes
back would get either nothing, since nobody chooses it, or its whole load at once.  The transitions, each with
its reason:

    from       event                                to         reason
    whole      DOUBT_FAILURES servers fail, none    doubtful   orders avoid it, as a lost order cannot be
               answers                                         repeated
    doubtful   any server answers                   whole      a site that is slow by overload is not lost, as
                                                               its answers prove
    doubtful   LOSS_FAILURES servers fail, another  lost       if all sites fail alike, this balancer's own
               site has answered since the first,              link has failed and no site is lost; a site
               and this one has not answered for               that answered just now is slow, and one whose
               MIN_SILENCE_US or, if longer,                   answers took long before it fell silent has to
               SILENCE_LATENCY_MULTIPLE times its              be silent for longer
               slowest recent answer, but no more
               than MAX_SILENCE_US
    doubtful   it fails again after MAX_DOUBT_US,   lost       failed servers are avoided one by one, so a
               with another site answering and the             third server might never be asked
               same silence
    doubtful   a trial is due                       (a trial)  as when lost: a single answer is enough
    whole,     other balancers report that it has   doubtful,  they have sent it requests: what would be sent
    doubtful   not answered since its last answer   trials     there would only wait.  Their reports alone
               here, and another site is whole      only       never make it lost; the first trial is at once
    the same   a server answers                     whole      or, after SHORT_OUTAGE_US, returning: servers
                                                               without load for long may need a slow start
    doubtful   the reports have expired, and fewer  whole      its state expires with the reports
               than DOUBT_FAILURES servers have
               failed here
    lost       a trial is due, or the list has a    (a trial)  no request would choose a site that looks dead,
               newer start of a server                         so one that may be repeated is sent as a trial
    lost       a server answers                     returning  whole, if it was lost for less than
                                                               SHORT_OUTAGE_US
    returning  RETURN_STEP_ANSWERS answers in       (a step)   a site that carries one step can be given the
               RETURN_STEP_US, no failure                      next; the last step makes it whole
    returning  DOUBT_FAILURES servers fail, none    lost       a relapse: the next trial waits twice as long,
               answers                                         so that a flapping site is left alone
    whole      lost within STABLE_US of its return  lost       a relapse as well, of a site that flaps more
                                                               slowly
    doubtful   the failed servers leave the list,   whole      servers that drain or restart fail for reasons
               or restart                                      of their own, which say nothing of the site
    any        hedges answer before LOSS_FAILURES   (a trial)  every KEPT_ATTEMPT_INTERVAL_US one attempt runs
               attempts, no answer for                         to its end: a lost and a slow site look alike
               MIN_SILENCE_US                                  if every attempt is cancelled
    any        an operator takes it out             out        nothing new goes there, whatever it answers
    out        an operator puts it in               returning  from the first step, as after a loss
    returning  all its servers leave the list       returning  from the first step once they are listed again:
                                                               a site that was back for a moment has proved
                                                               nothing

A second state decides whether orders avoid a site.  A site may answer cheap requests while every order hangs,
and then any answer would clear the doubt that orders have raised, again and again:

    orders     event                                orders     reason
    go there   LOSS_FAILURES servers fail orders;   avoid it   an answer to a cheap request is no evidence
               no order has been answered since                about orders.  If orders fail everywhere, this
               the first nor for MIN_SILENCE_US,               balancer's link or the orders are at fault; a
               but other requests have, and orders             site that answers nothing is covered by the
               at another site                                 table above
    avoid it   a trial is due                       (a trial)  one order at a time, and only one that would go
                                                               there anyway, as an order that is lost cannot
                                                               be repeated
    avoid it   the trial fails                      avoid it   the next waits twice as long
    avoid it   an order is answered                 go there   the evidence that was missing
    avoid it   fewer than DOUBT_FAILURES of the     go there   as above, servers that drain or restart say
               failed servers are still listed                 nothing of their site
               with the same start
    any        it is lost and answers again, or an  go there   failures before a loss were part of the loss;
               operator puts it in                             what made orders avoid it before still counts

A site with fewer than LOSS_FAILURES listed servers has no state: its servers are ejected one by one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .events import (
    Action,
    AttemptFailed,
    CommandRejected,
    Event,
    OrderAvoidanceChanged,
    PutIn,
    ReportedSilent,
    RequestSent,
    ServerAnswered,
    ServersListed,
    SiteView,
    State,
    StateChanged,
    TakeOut,
)

# Failed servers of a site, with no answer from any of its servers in between.
DOUBT_FAILURES, LOSS_FAILURES = 2, 3
MAX_DOUBT_US = 1_500_000  # after this time in doubt one more failure is enough for a loss
TRIAL_INTERVAL_US = 1_000_000  # between two trials of a lost or doubtful site
REQUESTS_PER_TRIAL = 20  # and at least so many requests of this balancer between two trials
MAX_TRIAL_INTERVAL_US = 8_000_000  # between two trials of a site that relapses again and again
# Time without an answer; time between attempts that then run to their end although a hedge was answered.
MIN_SILENCE_US, KEPT_ATTEMPT_INTERVAL_US = 1_000_000, 250_000
# The silence needed for a loss as a multiple of the slowest recent answer, and its upper limit.
SILENCE_LATENCY_MULTIPLE, MAX_SILENCE_US = 4, 3_000_000
SLOWEST_ANSWER_WINDOW_US = 5_000_000  # how long the slowest answer is remembered
SHORT_OUTAGE_US = 1_000_000  # after a shorter loss the first answer makes it whole: no slow start is needed
RETURN_STEP_US = 500_000  # minimum length of a step of the return
RETURN_STEP_ANSWERS = 2  # answers needed in each step
RETURN_STEPS = (0.25, 0.5)  # the shares of its usual load in the steps of a return
STABLE_US = 10_000_000  # after being whole for this long its earlier losses and relapses are forgotten
MAX_SITES = 256  # further sites are not tracked and always count as whole


class Site:
    """What this balancer knows of one site."""

    __slots__ = (
        "allowance",
        "allowance_at_us",
        "failed_order_trials",
        "failed_servers",
        "failing_since_us",
        "hedge_wins",
        "last_answer_us",
        "last_order_answer_us",
        "newest_start_us",
        "next_kept_attempt_us",
        "next_order_trial_us",
        "next_trial_us",
        "number",
        "order_failed_servers",
        "order_trial_server",
        "orders_away",
        "orders_failing_since_us",
        "recovered_us",
        "relapses",
        "reported_until_us",
        "servers",
        "slowest_answer_seen_us",
        "slowest_answer_us",
        "state",
        "state_since_us",
        "step",
        "step_answers",
        "step_at_us",
        "usual_rate",
    )

    def __init__(self, number: int) -> None:
        self.number, self.state, self.state_since_us = number, State.WHOLE, 0
        self.failed_servers: set[bytes] = set()  # since the last answer from any; at most LOSS_FAILURES
        self.servers: Mapping[bytes, int] = {}
        self.newest_start_us = 0  # the latest start among its servers
        self.next_trial_us, self.relapses = 0, 0
        self.recovered_us = -STABLE_US  # when it last became whole after a loss
        self.step, self.step_at_us, self.step_answers = 0, 0, 0
        self.usual_rate = 0.0  # requests a second that it would get if it were whole
        self.allowance, self.allowance_at_us = 0.0, 0  # requests that it may still take during its return
        self.last_answer_us, self.failing_since_us = -1, 0  # its last answer; the first failure after it
        self.slowest_answer_us, self.slowest_answer_seen_us = 0, 0  # its slowest recent answer, and when
        # Attempts since the last answer whose hedge was answered first; the next one that runs to its end.
        self.hedge_wins, self.next_kept_attempt_us = 0, 0
        self.reported_until_us = 0  # until then other balancers report it as silent
        self.order_failed_servers: set[bytes] = set()  # with no order answered since; at most LOSS_FAILURES
        # The first of these failures; the last answer to an order.
        self.orders_failing_since_us, self.last_order_answer_us = 0, -1
        self.orders_away = False  # orders avoid it, except for occasional trials
        # The time of the next of these trials; the server of the current one.
        self.next_order_trial_us, self.order_trial_server = 0, b""
        self.failed_order_trials = 0


class Sites:
    """The sites as one balancer sees them: `handle(now, event) -> actions`.

    The events of each request have methods of their own, `on_answered`, `on_failed` and `on_sent`,
    which `handle` calls.  Their actions and those of `process` are collected in `pending_actions` until
    `take_actions` returns them.  `is_closed`, `due_trial` and `view` change nothing.
    """

    __slots__ = ("_order_avoided_sites", "_suspect_sites", "pending_actions", "sites", "trial_interval_us")

    def __init__(self) -> None:
        self.sites: dict[int, Site] = {}
        self._suspect_sites: dict[int, Site] = {}  # sites that are not whole, or have a failed server
        self._order_avoided_sites: dict[int, Site] = {}  # sites that orders avoid
        self.pending_actions: list[Action] = []
        self.trial_interval_us = TRIAL_INTERVAL_US

    def handle(self, now: int, event: Event) -> list[Action]:
        self.process(now, event)
        return self.take_actions()

    def process(self, now: int, event: Event) -> None:
        """As `handle`, but the actions wait for `take_actions`."""
        if isinstance(event, ServerAnswered):
            self.on_answered(now, event.site, event.order, event.took_us)
        elif isinstance(event, AttemptFailed):
            self.on_failed(now, event.site, event.server, event.order)
        elif isinstance(event, RequestSent):
            self.on_sent(now, event.site, event.server, event.order)
        elif isinstance(event, ServersListed):
            self._update_list(now, event)
        elif isinstance(event, TakeOut):
            self._take_out(now, event.site)
        elif isinstance(event, PutIn):
            self._put_in(now, event.site)
        elif isinstance(event, ReportedSilent):
            self._apply_peer_report(now, event)
        else:
            self._tick(now)

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call."""
        actions, self.pending_actions = self.pending_actions, []
        return actions

    def _set_state(self, now: int, site: Site, state: State, cause: str) -> None:
        self.pending_actions.append(StateChanged(site.number, site.state, state, cause))
        if state is State.WHOLE and site.state is not State.DOUBTFUL:
            site.recovered_us = now
        site.state, site.state_since_us = state, now
        if state is State.WHOLE and not site.failed_servers:
            self._suspect_sites.pop(site.number, None)
        else:
            self._suspect_sites[site.number] = site

    # The server list, operators and peers

    def _update_list(self, now: int, event: ServersListed) -> None:
        for number, servers in event.sites.items():
            site = self.sites.get(number)
            if site is None:
                if len(self.sites) >= MAX_SITES:
                    continue
                site = self.sites[number] = Site(number)
            self._forget_failures(now, site, servers)
            if servers and not site.servers and site.state is State.RETURNING:
                self._restart_steps(now, site)
            site.servers = servers
            newest = max(servers.values(), default=0)
            if newest > site.newest_start_us:
                if site.state is State.LOST and newest > site.state_since_us:
                    site.next_trial_us = now  # the processes that failed have been replaced
                site.newest_start_us = newest
        for number in [n for n, site in self.sites.items() if n not in event.sites]:
            site = self.sites[number]
            if site.state in (State.OUT, State.LOST, State.RETURNING):
                site.servers = {}  # the state outlives the list, as an operator or failures have set it
            else:
                del self.sites[number]
                self._suspect_sites.pop(number, None)
                self._order_avoided_sites.pop(number, None)

    def _forget_failures(self, now: int, site: Site, servers: Mapping[bytes, int]) -> None:
        """Forget failures of servers that have left the list or have restarted."""
        if site.order_failed_servers:
            site.order_failed_servers = {
                s for s in site.order_failed_servers if s in servers and servers[s] == site.servers.get(s)
            }
            if site.orders_away and len(site.order_failed_servers) < DOUBT_FAILURES:
                self._readmit_orders(site, "those that failed orders have left the list")
        if not site.failed_servers or site.state is State.LOST:
            return
        site.failed_servers = {
            s for s in site.failed_servers if s in servers and servers[s] == site.servers.get(s)
        }
        if (
            site.state is State.DOUBTFUL
            and len(site.failed_servers) < DOUBT_FAILURES
            and now >= site.reported_until_us
        ):
            self._set_state(now, site, State.WHOLE, "those that failed have left the list")
        elif site.state is State.WHOLE and not site.failed_servers:
            self._suspect_sites.pop(site.number, None)

    def _take_out(self, now: int, number: int) -> None:
        site = self.sites.get(number)
        if site is None:
            self.pending_actions.append(CommandRejected(number, "no such site in the list"))
        elif not any(
            other.state is not State.OUT and other.servers
            for other in self.sites.values()
            if other is not site
        ):
            self.pending_actions.append(CommandRejected(number, "it is the last one in service"))
        elif site.state is not State.OUT:
            self._set_state(now, site, State.OUT, "an operator's word")

    def _put_in(self, now: int, number: int) -> None:
        site = self.sites.get(number)
        if site is None:
            self.pending_actions.append(CommandRejected(number, "no such site in the list"))
        elif site.state is State.OUT:
            site.failed_servers.clear()
            self._readmit_orders(site, "an operator's word")
            self._begin_return(now, site, "an operator's word")

    def _apply_peer_report(self, now: int, event: ReportedSilent) -> None:
        site = self.sites.get(event.site)
        if (
            site is None
            or now >= event.until_us
            or event.since_us <= site.last_answer_us
            or (len(site.servers) < LOSS_FAILURES or site.state not in (State.WHOLE, State.DOUBTFUL))
        ):
            return
        if not any(
            other.state is State.WHOLE and other.servers for other in self.sites.values() if other is not site
        ):
            return  # another site must be able to take its load
        if now >= site.reported_until_us:
            site.next_trial_us = now  # if the reports are wrong, the answer to this trial refutes them
        site.reported_until_us = event.until_us
        if site.state is State.WHOLE:
            self._set_state(now, site, State.DOUBTFUL, "it does not answer others")

    # Events of each request

    def on_answered(self, now: int, number: int, order: bool = False, took_us: int = 0) -> None:
        """A server of the site has answered, `took_us` after the request was sent.

        `order`: the request may not be repeated.
        """
        site = self.sites.get(number)
        if site is None:
            return
        site.last_answer_us, site.hedge_wins = now, 0
        if took_us >= site.slowest_answer_us or now - site.slowest_answer_seen_us > SLOWEST_ANSWER_WINDOW_US:
            site.slowest_answer_us, site.slowest_answer_seen_us = took_us, now
        if order:
            site.last_order_answer_us = now
            if site.order_failed_servers:
                self._readmit_orders(site, "an order is answered")
        if not self._suspect_sites or number not in self._suspect_sites:
            return
        site.failed_servers.clear()
        state, is_reported, site.reported_until_us = site.state, now < site.reported_until_us, 0
        if state is State.WHOLE:
            del self._suspect_sites[number]
        elif state is State.DOUBTFUL:
            if is_reported and now - site.state_since_us >= SHORT_OUTAGE_US:
                self._begin_return(now, site, "a server answers")
            else:
                self._set_state(now, site, State.WHOLE, "a server answers")
        elif state is State.LOST:
            if not site.orders_away:
                site.order_failed_servers.clear()
            if now - site.state_since_us < SHORT_OUTAGE_US and not site.relapses:
                self._set_state(now, site, State.WHOLE, "a server answers at once")
            else:
                self._begin_return(now, site, "a server answers")
        elif state is State.RETURNING:
            site.step_answers += 1 if site.servers else 0
            if site.step_answers >= RETURN_STEP_ANSWERS and now - site.step_at_us >= RETURN_STEP_US:
                site.step, site.step_at_us, site.step_answers = site.step + 1, now, 0
                if site.step >= len(RETURN_STEPS):
                    self._set_state(now, site, State.WHOLE, "it has carried every step")

    def _begin_return(self, now: int, site: Site, cause: str) -> None:
        self._restart_steps(now, site)
        self._set_state(now, site, State.RETURNING, cause)

    def _restart_steps(self, now: int, site: Site) -> None:
        site.step, site.step_at_us, site.step_answers, site.allowance, site.allowance_at_us = (
            0,
            now,
            0,
            1.0,
            now,
        )

    def on_failed(self, now: int, number: int, server: bytes, order: bool = False) -> bool:
        """An attempt has failed without an answer; returns whether the site is lost by this failure."""
        site = self.sites.get(number)
        if (
            site is None
            or site.state is State.OUT
            or site.state is State.LOST
            or (len(site.servers) < LOSS_FAILURES or server not in site.servers)
        ):
            return False
        if order:
            self._record_order_failure(now, site, server)
        if not site.failed_servers:
            site.failing_since_us = now
        if len(site.failed_servers) < LOSS_FAILURES:
            site.failed_servers.add(server)
        self._suspect_sites[number] = site
        failed = len(site.failed_servers)
        if site.state is State.RETURNING and failed >= DOUBT_FAILURES:
            self._set_lost(now, site, f"{failed} servers fail on its return")
            return True
        is_doubt_expired = (
            site.state is State.DOUBTFUL
            and now - site.state_since_us >= MAX_DOUBT_US
            and failed >= DOUBT_FAILURES
        )
        is_silent = now - site.last_answer_us >= max(
            MIN_SILENCE_US, min(MAX_SILENCE_US, SILENCE_LATENCY_MULTIPLE * site.slowest_answer_us)
        )
        if is_silent and (failed >= LOSS_FAILURES or is_doubt_expired) and self._another_site_answers(site):
            self._set_lost(now, site, f"{failed} servers fail, none answers")
            return True
        if failed >= DOUBT_FAILURES and site.state is State.WHOLE:
            site.next_trial_us = now + self._trial_delay_us(site)
            self._set_state(now, site, State.DOUBTFUL, f"{failed} servers fail, none answers")
        return False

    def _record_order_failure(self, now: int, site: Site, server: bytes) -> None:
        if not site.order_failed_servers:
            site.orders_failing_since_us = now
        if len(site.order_failed_servers) < LOSS_FAILURES:
            site.order_failed_servers.add(server)
        if site.orders_away:
            if server == site.order_trial_server:
                site.order_trial_server, site.failed_order_trials = b"", site.failed_order_trials + 1
                site.next_order_trial_us = now + min(
                    MAX_TRIAL_INTERVAL_US, self.trial_interval_us << min(site.failed_order_trials, 3)
                )
            return
        if (
            len(site.order_failed_servers) >= LOSS_FAILURES
            and site.last_answer_us >= site.orders_failing_since_us
            and (now - site.last_order_answer_us >= MIN_SILENCE_US)
            and any(
                other.last_order_answer_us >= site.orders_failing_since_us
                for other in self.sites.values()
                if other is not site
            )
        ):
            site.orders_away, site.order_trial_server, site.failed_order_trials = True, b"", 0
            site.next_order_trial_us = now + self.trial_interval_us
            self._order_avoided_sites[site.number] = site
            self.pending_actions.append(
                OrderAvoidanceChanged(
                    site.number,
                    True,
                    f"{len(site.order_failed_servers)} servers fail them and answer other requests",
                )
            )

    def _readmit_orders(self, site: Site, cause: str) -> None:
        """Forget the failures of orders at this site and let orders go there again."""
        site.order_failed_servers.clear()
        if site.orders_away:
            site.orders_away = False
            del self._order_avoided_sites[site.number]
            self.pending_actions.append(OrderAvoidanceChanged(site.number, False, cause))

    def on_hedge_won(self, now: int, number: int, server: bytes) -> None:
        """An attempt was cancelled before any answer, as its hedge was answered first.

        This is not enough to raise a doubt: where two servers have stopped and the rest are in slow start,
        hedges are faster for a while as well.  It is enough to end a long doubt, because each trial of a
        silent site is cancelled in this way.
        """
        site = self.sites.get(number)
        if site is None:
            return
        site.hedge_wins += 1
        if site.state is State.DOUBTFUL and now - site.state_since_us >= MAX_DOUBT_US:
            self.on_failed(now, number, server)

    def keeps_hedged_attempt(self, now: int, number: int) -> bool:
        """Whether an attempt there must run to its end although its hedge has been answered.

        If every attempt were cancelled, a lost site could not be told from a slow one, whose attempt is
        answered in the end.
        """
        site = self.sites.get(number)
        if (
            site is None
            or site.hedge_wins < LOSS_FAILURES
            or now - site.last_answer_us < MIN_SILENCE_US
            or now < site.next_kept_attempt_us
        ):
            return False
        site.next_kept_attempt_us = now + KEPT_ATTEMPT_INTERVAL_US
        return True

    def _set_lost(self, now: int, site: Site, cause: str) -> None:
        if site.state is State.RETURNING or now - site.recovered_us < STABLE_US:
            site.relapses += 1
        site.next_trial_us = now + self._trial_delay_us(site)
        self._set_state(now, site, State.LOST, cause)

    def _trial_delay_us(self, site: Site) -> int:
        return min(MAX_TRIAL_INTERVAL_US, self.trial_interval_us << min(site.relapses, 3))

    def _another_site_answers(self, site: Site) -> bool:
        """Whether any other site has answered since this one began to fail."""
        return any(
            other.last_answer_us >= site.failing_since_us and other is not site
            for other in self.sites.values()
        )

    def on_sent(self, now: int, number: int, server: bytes = b"", order: bool = False) -> None:
        """A request is sent there; at a lost or doubtful site it is a trial, and the next one has to wait."""
        if order and number in self._order_avoided_sites:
            avoided = self._order_avoided_sites[number]
            # The time holds in case the end of the trial is never reported.
            avoided.order_trial_server, avoided.next_order_trial_us = server, now + MAX_TRIAL_INTERVAL_US
        site = self._suspect_sites.get(number)
        if site is None:
            return
        if site.state is State.LOST or site.state is State.DOUBTFUL:
            site.next_trial_us = now + self._trial_delay_us(site)
        elif site.state is State.RETURNING:
            site.allowance = self._allowance(now, site) - 1.0
            site.allowance_at_us = now

    def is_closed(
        self,
        now: int,
        number: int,
        repeatable: bool,
        last_resort: bool = False,
        otherwise_refused: bool = False,
    ) -> bool:
        """Whether a request may not go to the site now.

        `last_resort`: it has nowhere else to go; only an operator's command closes the site to it, or a loss
        if it may not be repeated, as a refusal is better than a lost order.  `otherwise_refused`: it would be
        refused elsewhere, and so is not held back by the steps of a return.
        """
        if (
            not repeatable
            and number in self._order_avoided_sites
            and now < self._order_avoided_sites[number].next_order_trial_us
        ):
            return True
        site = self._suspect_sites.get(number)
        if site is None:
            return False
        state = site.state
        if last_resort or state is State.OUT:
            return state is State.OUT or state is State.LOST and not repeatable
        if state is State.LOST:
            return now < site.next_trial_us or not repeatable
        if state is State.DOUBTFUL and now < site.reported_until_us:
            return now < site.next_trial_us or not repeatable
        return (
            state is State.DOUBTFUL
            and not repeatable
            or (state is State.RETURNING and not otherwise_refused and self._allowance(now, site) < 1.0)
        )

    def _allowance(self, now: int, site: Site) -> float:
        """Requests that a returning site may take now; unused ones accumulate for at most 0.25 s."""
        rate = RETURN_STEPS[site.step] * site.usual_rate
        return min(max(1.0, rate / 4), site.allowance + max(1.0, rate) * (now - site.allowance_at_us) / 1e6)

    def limited(self, number: int) -> bool:
        """Whether it is lost, returning, or gets only trials because of peer reports."""
        site = self._suspect_sites.get(number)
        return site is not None and (
            site.state is State.LOST or site.state is State.RETURNING or site.reported_until_us > 0
        )

    def due_trial(self, now: int) -> int:
        """A lost or doubtful site to which a repeatable request should go now as a trial; -1: none."""
        for number, site in self._suspect_sites.items():
            wants_trial = site.state is State.LOST or site.state is State.DOUBTFUL
            if wants_trial and now >= site.next_trial_us and site.servers:
                return number
        return -1

    def spare_site(self, now: int) -> int:
        """A site that can take a repeatable request when the others have no capacity left; -1: none.

        It is due for a trial, or may take more during its return.
        """
        if not self._suspect_sites:
            return -1
        for number, site in self._suspect_sites.items():
            if site.state is State.RETURNING and site.servers and self._allowance(now, site) >= 1.0:
                return number
        return self.due_trial(now)

    def set_usual_rates(self, servers: Iterable[tuple[int, float]]) -> None:
        """Set what this balancer would send to each server if its site were whole: (site, requests/s)."""
        rates: dict[int, float] = {}
        for number, rate in servers:
            rates[number] = rates.get(number, 0.0) + rate
        for number, rate in rates.items():
            if number in self.sites:
                self.sites[number].usual_rate = rate
        total_rate = max(1.0, sum(rates.values()))
        self.trial_interval_us = max(
            TRIAL_INTERVAL_US, min(MAX_TRIAL_INTERVAL_US, int(REQUESTS_PER_TRIAL * 1e6 / total_rate))
        )

    def _tick(self, now: int) -> None:
        for site in self.sites.values():
            if site.relapses and site.state is State.WHOLE and now - site.state_since_us > STABLE_US:
                site.relapses = 0
            if site.reported_until_us and now >= site.reported_until_us:
                site.reported_until_us = 0
                if site.state is State.DOUBTFUL and len(site.failed_servers) < DOUBT_FAILURES:
                    self._set_state(now, site, State.WHOLE, "others say so no longer")

    def view(self) -> list[SiteView]:
        """The state of all sites, in the order of their numbers."""
        shares = {State.WHOLE: 1.0, State.DOUBTFUL: 1.0, State.LOST: 0.0, State.OUT: 0.0}
        return [
            SiteView(
                n,
                site.state,
                shares.get(site.state, RETURN_STEPS[min(site.step, len(RETURN_STEPS) - 1)]),
                len(site.servers),
                len(site.failed_servers),
                site.state_since_us,
                site.relapses,
                site.last_answer_us,
                site.orders_away,
            )
            for n, site in sorted(self.sites.items())
        ]
