"""The life of a site: told from servers that fail one by one, tried, and taken back in steps.

A hall's forty servers would each be found out by itself, by requests that wait for a dial or an answer that
never comes; their lateness would be taken for too much work.  And a hall that is back would get either
nothing, since nobody chooses it, or everything at once.  Its life as one table, each line with its reason:

    from       what happens                         to         reason
    whole      DOUBT servers fail, none answers     doubtful   orders keep away: what they lose stays lost
    doubtful   any server answers                   whole      slow by overload is not lost: answers prove it
    doubtful   LOSS servers fail, another site has  lost       failures alike everywhere are our own link's:
               answered since the first, and this one          no site is lost on what holds for all; and one
               is unheard for QUIET_US, or for                 that answered just now is slow, as is one
               QUIET_TIMES its slowest answer of               whose answers took long before it fell
               late, QUIET_MOST_US at the most                 silent: its silence has to be longer
    doubtful   it fails again after DOUBT_US, while lost       what has failed is avoided one by one: a third
               another has answered; as quiet                  server might never be asked
    doubtful   a trial's time has come              (a trial)  as when lost: an answer is all that is needed
    whole,     others have had no answer from it    doubtful,  they have asked it: what would be sent there
    doubtful   since this one's last, and another   by trials  would wait for nothing.  On their word alone
               site is whole                        only       it is never lost; the first trial is at once
    the same   a server answers                     whole      or, after SHORT_US, returning: what has had
                                                               nothing for long may be cold
    doubtful   their word is over, and fewer than   whole      so does the word's age
               DOUBT servers have failed here
    lost       a trial's time has come, or the list (a trial)  nobody would choose a site that looks dead; one
               has a newer start of a server                   request that may be repeated is sent to ask
    lost       a server answers                     returning  whole, if it was gone for less than SHORT_US
    returning  STEP_ANSWERS in STEP_US, none missed (a step)   what it has proved, it may have more of; the
                                                               last step makes it whole
    returning  DOUBT servers fail, none answers     lost       a relapse: the next trial waits twice as long,
                                                               so that a site that flaps is left alone
    whole      lost within STEADY_US of its return  lost       a relapse as well: it flaps more slowly
    doubtful   those that failed leave the list,    whole      who drains or restarts fails for a reason of
               or start anew                                   its own, and says nothing of its site
    any        LOSS attempts overtaken by copies,   (a trial)  one in KEEP_US runs to its end: lost and slow
               none answers for QUIET_US                       look alike to one who calls all of them off
    any        an operator takes it out             out        nothing new goes there, whatever it answers
    out        an operator puts it in               returning  from the first step, as after a loss
    returning  all its servers leave the list       returning  from the first step once they are listed again:
                                                               what is back for a moment has proved nothing

Beside its state, whether orders keep away: a site may answer what is cheap and let each order hang, and then
any answer would clear the doubt that orders have raised, again and again:

    orders     what happens                         orders     reason
    go there   LOSS servers fail orders, none has   keep away  an answer to what is cheap is no evidence for
               been answered since the first nor               orders.  What fails everywhere is our own
               for QUIET_US, but other requests,               link's or the orders' fault, and one that
               and orders at another site                      answers nothing is the table's above
    keep away  a trial's time has come              (a trial)  one order at a time, and only one that would go
                                                               there anyway: what it loses stays lost
    keep away  the trial fails                      keep away  the next waits twice as long
    keep away  an order is answered                 go there   that is all that was missing
    keep away  fewer than DOUBT of those that       go there   as above, who drains or restarts says nothing
               failed are left as they were                    of its site
    any        it is lost and answers again, or an  go there   failures before a loss were its own; what kept
               operator puts it in                             orders away before it still does

A site with fewer than LOSS servers listed is not judged as a site: its servers are ejected one by one.
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

# servers of a site that have failed, with no answer from any of it meanwhile
DOUBT_FAILURES, LOSS_FAILURES = 2, 3
MAX_DOUBT_US = 1_500_000  # so long it may be in doubt: then one more failure is enough
TRIAL_INTERVAL_US = 1_000_000  # between two requests that try a lost or doubtful site
REQUESTS_PER_TRIAL = 20  # and between two trials at least so many requests of this balancer
MAX_TRIAL_INTERVAL_US = 8_000_000  # the same for one that relapses again and again
# unheard for so long; between attempts that then run to their end
MIN_SILENCE_US, KEPT_ATTEMPT_INTERVAL_US = 1_000_000, 250_000
SILENCE_LATENCY_MULTIPLE, MAX_SILENCE_US = 4, 3_000_000  # or for so often its slowest answer, and at the most
SLOWEST_ANSWER_WINDOW_US = 5_000_000  # a slowest answer is of late for so long
SHORT_OUTAGE_US = 1_000_000  # lost for less than this, it is whole with its first answer: nothing is cold
RETURN_STEP_US = 500_000  # a step of the return takes at least this long ...
RETURN_STEP_ANSWERS = 2  # ... and so many answers
RETURN_STEPS = (0.25, 0.5)  # shares of its usual load, on the way back
STABLE_US = 10_000_000  # whole for this long: earlier losses and relapses are forgotten
MAX_SITES = 256  # beyond them, a site is always whole


class Site:
    """One site as this balancer sees it."""

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
        self.failed_servers: set[bytes] = set()  # failed since the last answer from any; LOSS at the most
        self.servers: Mapping[bytes, int] = {}
        self.newest_start_us = 0  # the newest start among its servers
        self.next_trial_us, self.relapses = 0, 0
        self.recovered_us = -STABLE_US  # whole again after a loss since then
        self.step, self.step_at_us, self.step_answers = 0, 0, 0
        self.usual_rate = 0.0  # requests a second that it would get, were it whole
        self.allowance, self.allowance_at_us = 0.0, 0  # of them, what it may still take on its return
        self.last_answer_us, self.failing_since_us = -1, 0  # its last answer; the first failure since
        self.slowest_answer_us, self.slowest_answer_seen_us = 0, 0  # its slowest answer of late, us, and when
        self.hedge_wins, self.next_kept_attempt_us = 0, 0  # attempts since then whose copies were quicker
        self.reported_until_us = 0  # until then others say that it does not answer
        self.order_failed_servers: set[bytes] = set()  # at these, and none answered since; LOSS at the most
        # the first of them; the last answer to an order
        self.orders_failing_since_us, self.last_order_answer_us = 0, -1
        self.orders_away = False  # orders keep away, but for a trial in turn ...
        # ... from then on; the server that one is at
        self.next_order_trial_us, self.order_trial_server = 0, b""
        self.failed_order_trials = 0


class Sites:
    """Decides for one balancer: `handle(now, event) -> actions`.

    What happens for each request has methods of its own, `answered`, `missed` and `sent`, which `handle`
    calls, and whose actions gather in `decided` until `take` gives them, as do those of `tell`; `shut`, `due`
    and `view` change nothing.
    """

    __slots__ = ("_order_avoided_sites", "_suspect_sites", "pending_actions", "sites", "trial_interval_us")

    def __init__(self) -> None:
        self.sites: dict[int, Site] = {}
        self._suspect_sites: dict[int, Site] = {}  # those that are not whole, or have a silent server
        self._order_avoided_sites: dict[int, Site] = {}  # those that orders keep away from
        self.pending_actions: list[Action] = []
        self.trial_interval_us = TRIAL_INTERVAL_US

    def handle(self, now: int, event: Event) -> list[Action]:
        self.process(now, event)
        return self.take_actions()

    def process(self, now: int, event: Event) -> None:
        """As `handle`; what is decided waits for `take`."""
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
        """What has been decided since the last call."""
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

    # What the list and operators say

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
                    site.next_trial_us = now  # what failed was another process
                site.newest_start_us = newest
        for number in [n for n, site in self.sites.items() if n not in event.sites]:
            site = self.sites[number]
            if site.state in (State.OUT, State.LOST, State.RETURNING):
                site.servers = {}  # what was said or found out outlives the list
            else:
                del self.sites[number]
                self._suspect_sites.pop(number, None)
                self._order_avoided_sites.pop(number, None)

    def _forget_failures(self, now: int, site: Site, servers: Mapping[bytes, int]) -> None:
        """What has failed and is no longer listed, or is another process by now."""
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
            return  # somebody must be there to take what it would
        if now >= site.reported_until_us:
            site.next_trial_us = now  # if they are wrong, this ends it
        site.reported_until_us = event.until_us
        if site.state is State.WHOLE:
            self._set_state(now, site, State.DOUBTFUL, "it does not answer others")

    # What happens for each request

    def on_answered(self, now: int, number: int, order: bool = False, took_us: int = 0) -> None:
        """A server of it has answered, `took_us` after it was asked; an `order` if it was a request that may
        not be repeated."""
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
        """An attempt there failed with no answer.  Is the site lost by this one?"""
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
        """Nothing that orders have met there counts any more."""
        site.order_failed_servers.clear()
        if site.orders_away:
            site.orders_away = False
            del self._order_avoided_sites[site.number]
            self.pending_actions.append(OrderAvoidanceChanged(site.number, False, cause))

    def on_hedge_won(self, now: int, number: int, server: bytes) -> None:
        """An attempt was called off unheard, as its copy was answered: too little to raise a doubt, but
        enough to end a long one, for each trial of a silent site is overtaken.  Where two servers have ended
        and the rest are cold, the copies are quicker for a while as well."""
        site = self.sites.get(number)
        if site is None:
            return
        site.hedge_wins += 1
        if site.state is State.DOUBTFUL and now - site.state_since_us >= MAX_DOUBT_US:
            self.on_failed(now, number, server)

    def keeps_hedged_attempt(self, now: int, number: int) -> bool:
        """Is an attempt there to run to its end, though its copy has been answered?

        Where copies rescue all, nothing would tell a site that is lost from one that is slow: the latter's
        attempt is answered at last."""
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
        """Has any other site answered since this one fell silent?"""
        return any(
            other.last_answer_us >= site.failing_since_us and other is not site
            for other in self.sites.values()
        )

    def on_sent(self, now: int, number: int, server: bytes = b"", order: bool = False) -> None:
        """A request goes there: a trial, if the site is lost, and the next one waits for its turn."""
        if order and number in self._order_avoided_sites:
            avoided = self._order_avoided_sites[number]
            # if it is never heard of
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
        """Is it out of bounds for a request now?  A bold one has nowhere else to go; only an operator's word
        keeps it away, or, if it may not be repeated, a loss: better refused than lost.  A spare one would
        else be refused: it waits for no step of a return."""
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
        """Requests that a returning site may take now, saved for a quarter of a second at the most."""
        rate = RETURN_STEPS[site.step] * site.usual_rate
        return min(max(1.0, rate / 4), site.allowance + max(1.0, rate) * (now - site.allowance_at_us) / 1e6)

    def limited(self, number: int) -> bool:
        """Is it lost, on its way back, or tried on others' word?"""
        site = self._suspect_sites.get(number)
        return site is not None and (
            site.state is State.LOST or site.state is State.RETURNING or site.reported_until_us > 0
        )

    def due_trial(self, now: int) -> int:
        """A lost or doubtful site that a repeatable request should try now; -1: there is none."""
        for number, site in self._suspect_sites.items():
            wants_trial = site.state is State.LOST or site.state is State.DOUBTFUL
            if wants_trial and now >= site.next_trial_us and site.servers:
                return number
        return -1

    def spare_site(self, now: int) -> int:
        """A site that a repeatable request can go to although the others have no room: it is to be tried, or
        may take more on its return; -1: there is none."""
        if not self._suspect_sites:
            return -1
        for number, site in self._suspect_sites.items():
            if site.state is State.RETURNING and site.servers and self._allowance(now, site) >= 1.0:
                return number
        return self.due_trial(now)

    def set_usual_rates(self, servers: Iterable[tuple[int, float]]) -> None:
        """What this balancer would send to each server now, were its site whole: (site, requests a
        second)."""
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
        """What is believed of all sites, in their order."""
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
