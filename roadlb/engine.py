"""Drives one `Balancer`: the clock, timers, events in, actions out, open exchanges.  Knows no HTTP.

Any protocol can feed it: one that takes requests opens exchanges, one that reaches instances is its
`Executor`, and one that knows the fleet calls `list_update`.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, Protocol

from .clock import Clock
from .counters import Counters
from .exchange import Answer, AttemptOutcome, Exchange, Attempt, Failed, Refusal, Result, Served
from .log import fields
from .policy.interface import (
    Action,
    AdmissionCheck,
    Arrival,
    BodyComplete,
    Cancel,
    ClientGone,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Log,
    Member,
    Outcome,
    Probe,
    Probed,
    ProcessCount,
    ProcessOverload,
    Refuse,
    Send,
    ServerId,
    SetTimer,
    Settings,
    SettingsChanged,
    SharedStateUpdate,
    SiteOverride,
    Status,
    Subscribe,
    TimerFired,
    View,
    ViewQuery,
)
from .sites.events import SiteView
from .wheel import Wheel

logger = logging.getLogger(__name__)

FULL_RETRY_US = 200_000  # when to come back to a program that has no room, where clients may be told
UPLOAD_US = 600_000_000  # 32 MB at 64 kB a second take 500 s
NEVER = 1 << 62
JUST_CAME_US = 5_000  # a request read so lately has a client that waits
GUARD_US = 10_000  # past its deadline an exchange is answered whatever the module says


class Decider(Protocol):
    """The decision module, or what stands in for it."""

    def handle(self, now: int, event: Event) -> list[Action]: ...


class Executor(Protocol):
    """The side that reaches the instances."""

    def start(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt, unsent: bool = False) -> None:
        """`unsent`: only if nothing of it can have been sent, which its outcome then tells."""

    def extend(self, attempt: Attempt) -> None:
        """Its `until_us` has changed."""

    def probe(self, server: ServerId) -> None: ...


class Engine:
    """Feeds a balancer one event at a time and carries out what it decides."""

    def __init__(
        self,
        balancer: Decider,
        counters: Counters,
        clock: Clock,
        wheel: Wheel,
        max_open: int = 20_000,
        class_names: Sequence[str] = (),
        retry_after_us: int = FULL_RETRY_US,
    ) -> None:
        """`max_open`: exchanges at once; `class_names`: for the counters of what is refused unsent;
        `retry_after_us`: the advice that goes with a refusal which the module did not make; 0: none."""
        self._balancer, self._counters, self._max_open = balancer, counters, max_open
        self._clock, self._wheel = clock, wheel
        self._retry_after_us = retry_after_us
        self._events: deque[Event] = deque()
        self._busy, self._now = False, 0  # carrying out an event, and when it began
        self._next_id = 1
        self._open: dict[int, Exchange] = {}  # with an answer owed, or an attempt still out
        self._leaving: list[Exchange] = []  # closed in this turn, whose actions may still concern them
        self._short = False  # of this program's own means, as the module was told
        self._flowing = 0  # answers that are on their way to clients
        self._asked = self._refused = 0  # requests that came, and those refused before any attempt
        self._answers = {
            (kind, i): f"{_ANSWER[kind]}.{name}" for kind in _ANSWER for i, name in enumerate(class_names)
        }
        self._shed = {
            (i, short): f"shed.{name}.{'own' if short else 'fleet'}"
            for i, name in enumerate(class_names)
            for short in (False, True)
        }
        self.executor: Executor | None = None
        self.on_outcome: Callable[[ServerId, Status], None] | None = None  # told of each attempt's end
        self.lapse_us = NEVER  # what was granted for a time ends then: `lapsed` is called
        self.lapsed: Callable[[], None] = lambda: None
        self._carry_out: dict[type, Callable[[Any], None]] = {
            Send: self._send,
            Refuse: self._refuse,
            Fail: self._fail,
            Cancel: self._cancel,
            SetTimer: self._set_timer,
            Probe: self._probe,
            Subscribe: self._subscribe,
            Log: self._log,
        }

    # Events in

    def open(self, exchange: Exchange) -> None:
        """Take a client's request: from now on it is owed one final answer."""
        if len(self._open) >= self._max_open:
            # Out of sockets every request would fail; nothing of this one has run, so it may come again.
            self._counters.add("full")
            exchange.answer = Refusal(self._retry_after_us)
            self._count_answer(Refusal, exchange.class_index)
            exchange.on_answer(exchange, exchange.answer)
            return
        exchange.id, self._next_id = self._next_id, self._next_id + 1
        now = self._clock()
        exchange.until_us = (exchange.came_us or now) + exchange.left_us
        if exchange.coming:
            exchange.until_us = now + UPLOAD_US
        self._open[exchange.id] = exchange
        self._asked += 1
        self._counters.add("taken")
        self._feed(
            Arrival(
                exchange.id,
                exchange.class_index,
                exchange.tenant,
                exchange.key,
                max(1, exchange.until_us - now),
                exchange.work_us,
                exchange.is_retry,
                exchange.coming,
            ),
            now,
        )
        self._watch_over(exchange)

    def _watch_over(self, exchange: Exchange) -> None:
        """Whatever becomes of the module, the client gets its answer in time."""
        if exchange.guard:
            exchange.guard.cancel()
        if exchange.answer is None:
            exchange.guard = self._wheel.at(exchange.until_us + GUARD_US, self._overdue, exchange)

    def body_whole(self, exchange: Exchange) -> None:
        """The last byte of its body has come: its time begins."""
        if exchange.closed or not exchange.coming:
            return
        exchange.coming, now = False, self._clock()
        exchange.came_us, exchange.until_us = now, now + exchange.left_us
        for attempt in exchange.attempts:
            if attempt.outcome is None:
                attempt.started_us, attempt.until_us, attempt.left_us = now, exchange.until_us, 0
                attempt.write_by_us = exchange.until_us
                assert self.executor
                self.executor.extend(attempt)
        self._feed(BodyComplete(exchange.id, max(1, exchange.left_us)), now)
        self._watch_over(exchange)

    def client_gone(self, exchange: Exchange) -> None:
        if exchange.id in self._open and not exchange.closed:
            exchange.gone = True
            self._counters.add("client_gone")
            self._feed(ClientGone(exchange.id))
            self._withdraw(exchange)
            self._forget(exchange)

    def finish(self, came_after_us: int = 0) -> None:
        """Give all that is still open, and came after this time, its answer now."""
        for exchange in list(self._open.values()):
            if not exchange.closed and (
                exchange.coming or exchange.until_us - exchange.left_us > came_after_us
            ):
                self._give_up(exchange, "stopping")

    @property
    def current(self) -> int:
        """Requests taken and not ended."""
        return self._flowing + sum(not exchange.closed for exchange in self._open.values())

    def view(self) -> View:
        """What the module believes of each server now."""
        for action in self._balancer.handle(self._clock(), ViewQuery()):
            if isinstance(action, View):
                return action
        return View([])

    @property
    def short(self) -> bool:
        """Is part of the demand to be refused for want of the program's own means?"""
        return self._short

    def offer(self, class_index: int, tenant: int, key: int, left_us: int, work_us: int) -> Refusal | None:
        """Would the module refuse this request, whose body has not come?  Then it need not be opened."""
        try:
            actions = self._balancer.handle(
                self._clock(), AdmissionCheck(class_index, tenant, key, left_us, work_us)
            )
        except Exception:
            self._counters.add("fault.engine")
            logger.exception("offer failed")
            return None
        for action in actions:
            if isinstance(action, Refuse):
                self._asked += 1
                self._counters.add("offer.nack")
                self._count_answer(Refusal, class_index)
                self._count_shed(class_index)
                return Refusal(action.retry_after_us)
        return None

    def shortage(self, share: float) -> None:
        """At least this share of the demand is to be refused for want of the program's own means."""
        self._short = share > 0
        self._feed(ProcessOverload(share))

    def limit(self, max_open: int) -> None:
        """So many exchanges may be open at once from now on."""
        self._max_open = max_open

    def twins(self, count: int) -> None:
        """So many processes are this one instance now."""
        self._feed(ProcessCount(count))

    def heard(self, event: SharedStateUpdate) -> None:
        """What balancers share, as far as this one knows by now."""
        self._feed(event)

    def changed(self, settings: Settings) -> None:
        """These hold from now on, for what is open as `policy.interface.SettingsChanged` has it."""
        self._feed(SettingsChanged(settings))

    def site_word(self, site: int, out: bool) -> SiteView | None:
        """An operator's word on a hall, by its number, and how it stands then; None: there is no such
        hall."""
        self._feed(SiteOverride(site, out))
        return next((view for view in self.view().sites if view.site == site), None)

    def asked_and_refused(self) -> tuple[int, int]:
        """Requests that have come so far, and how many of them were refused with nothing sent for them."""
        return self._asked, self._refused

    def _count_answer(self, kind: type, class_index: int) -> None:
        if name := self._answers.get((kind, class_index)):
            self._counters.add(name)

    def _count_shed(self, class_index: int) -> None:
        self._refused += 1
        if name := self._shed.get((class_index, self._short)):
            self._counters.add(name)

    def list_update(self, kind: ListKind, members: list[Member]) -> None:
        self._feed(ListUpdate(kind, members))

    def attempt_ended(self, attempt: Attempt, result: Result) -> None:
        """The executor reports each attempt's end exactly once."""
        exchange, attempt.outcome = self._open[attempt.request], result.outcome
        self._counters.add(_ATTEMPT_COUNTERS[result.outcome])
        if result.answer is not None:
            self._answer(exchange.id, result.answer)
        now = self._clock()
        self._feed(
            Outcome(
                exchange.id,
                attempt.number,
                attempt.server,
                result.outcome.status,
                now - attempt.started_us,
                exchange.closed,
                result.report,
            ),
            now,
        )
        if self.on_outcome:
            self.on_outcome(attempt.server, result.outcome.status)
        self._withdraw(exchange)
        self._forget(exchange)

    def probe_ended(self, server: ServerId, latency_us: int, result: Result) -> None:
        self._counters.add(f"probe.{result.outcome.value}")
        self._feed(Probed(server, result.outcome.status, latency_us, result.report))

    def _feed(self, event: Event, now: int | None = None) -> None:
        """Play an event, and those that carrying out its actions brings at once, strictly in turn."""
        if self._busy:
            self._events.append(event)
            return
        now = self._clock() if now is None else now
        if now >= self.lapse_us:
            # A process that was stopped wakes with requests in hand, before any timer is due.
            self.lapse_us = NEVER
            self.lapsed()
        self._busy, self._now = True, now
        try:
            while True:
                try:
                    actions = self._balancer.handle(self._now, event)
                except Exception:
                    self._fault(event)
                    actions = []
                for action in actions:
                    try:
                        self._carry_out[type(action)](action)
                    except Exception:
                        self._fault(action)
                if not self._events:
                    return
                event = self._events.popleft()
        finally:
            self._busy = False
            if self._leaving:
                leaving, self._leaving = self._leaving, []
                for exchange in leaving:
                    self._forget(exchange)

    def _fault(self, what: Event | Action) -> None:
        """One request's exception must neither end the process nor cost another its answer."""
        self._counters.add("fault.engine")
        logger.exception("event or action failed", extra=fields(kind=type(what).__name__))
        exchange = self._open.get(getattr(what, "request", 0))
        if exchange and not exchange.closed:  # once only: telling the module may fail as well
            self._give_up(exchange, "fault")

    def _overdue(self, exchange: Exchange) -> None:
        self._give_up(exchange, "overdue")

    def _give_up(self, exchange: Exchange, reason: str) -> None:
        """Answer without the module, and let it know that the request is over."""
        self._answer(exchange.id, Failed(reason) if exchange.attempts else Refusal(self._retry_after_us))
        self._feed(ClientGone(exchange.id))
        self._withdraw(exchange)

    # Actions out

    def _set_timer(self, action: SetTimer) -> None:
        self._wheel.at(action.at_us, self._feed, TimerFired(action.token))

    def _send(self, action: Send) -> None:
        assert self.executor
        exchange, now = self._open.get(action.request), self._now
        if exchange is None:
            return  # answered without the module, which hears of it in its next event
        if not exchange.closed and (exchange.attempts or now > exchange.came_us + JUST_CAME_US):
            # What made this attempt due may have been handled before the client's close, which has come too.
            exchange.check_left()
        until = min(exchange.until_us, now + action.timeout_us) if action.timeout_us else exchange.until_us
        attempt = Attempt(
            exchange.id,
            exchange.message,
            len(exchange.attempts),
            action.server,
            now,
            until,
            exchange.left_us if exchange.coming else 0,
            action.write_by_us,
        )
        exchange.attempts.append(attempt)
        self._counters.add("execution")
        if exchange.closed:
            self.attempt_ended(attempt, Result(AttemptOutcome.NEVER_STARTED))
        else:
            self.executor.start(attempt)

    def _refuse(self, action: Refuse) -> None:
        exchange = self._open.get(action.request)
        if exchange and not exchange.attempts and not exchange.closed:
            self._count_shed(exchange.class_index)
        self._answer(action.request, Refusal(action.retry_after_us))
        if exchange:
            self._withdraw(exchange)

    def _fail(self, action: Fail) -> None:
        exchange = self._open.get(action.request)
        self._answer(action.request, Failed("given up"))
        if exchange:
            self._withdraw(exchange)

    def _cancel(self, action: Cancel) -> None:
        exchange = self._open.get(action.request)
        if exchange and exchange.attempts[action.attempt].outcome is None:
            assert self.executor
            self.executor.cancel(exchange.attempts[action.attempt], action.unsent)

    def _probe(self, action: Probe) -> None:
        assert self.executor
        self.executor.probe(action.server)

    def _subscribe(self, action: Subscribe) -> None:
        logger.debug("subscribe", extra=fields(why="the watch is always on"))

    def _log(self, action: Log) -> None:
        logger.info("module", extra=fields(text=action.text))

    def _answer(self, request: int, answer: Answer) -> None:
        """Give the final answer, unless there has been one or the client has gone."""
        exchange = self._open.get(request)
        if exchange is None or exchange.closed:
            return
        if isinstance(answer, Served) and answer.flow:
            self._flowing += 1
            answer.flow.on_over = partial(self._flowed, exchange.class_index)
        else:
            self._count_answer(type(answer), exchange.class_index)
        exchange.answer = answer
        self._forget(exchange)
        try:
            exchange.on_answer(exchange, answer)
        except Exception:
            self._counters.add("fault.client")
            logger.exception("answer not passed on", extra=fields(request=request))

    def _flowed(self, class_index: int, whole: bool | None) -> None:
        """A flowing answer is over; one that its client has dropped counts as that client's leaving."""
        self._flowing -= 1
        if whole is None:
            self._counters.add("client_gone")
        else:
            self._count_answer(Served if whole else Failed, class_index)

    def _withdraw(self, exchange: Exchange) -> None:
        """Nothing of a request begins once it is answered or its client has gone, whatever the module says.

        What is still dialled, and was not called off by the module, goes on unwritten: whether its connection
        comes up tells how the server stands, or that a whole zone is silent.
        """
        if not exchange.closed:
            return
        for attempt in exchange.attempts:
            if attempt.outcome is None:
                attempt.never_write()

    def _forget(self, exchange: Exchange) -> None:
        if exchange.closed:
            if exchange.guard:
                exchange.guard.cancel()
                exchange.guard = None
            for attempt in exchange.attempts:
                if attempt.outcome is None:
                    return
            if self._busy:
                self._leaving.append(exchange)
                return
            self._open.pop(exchange.id, None)


_ATTEMPT_COUNTERS = {outcome: f"execution.{outcome.value}" for outcome in AttemptOutcome}
_ANSWER: dict[type, str] = {Served: "answered", Refusal: "deferred", Failed: "errored"}
