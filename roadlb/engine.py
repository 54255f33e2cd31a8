"""Runs the policy of one balancer: clock, timers, events in, actions out, open exchanges.  Knows no HTTP.

The code that receives requests opens exchanges, the code that connects to servers is the `Executor`, and
server discovery calls `list_update`.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, Protocol

from .clock import Clock
from .counters import Counters
from .exchange import Answer, AttemptOutcome, Exchange, Attempt, Failure, Refusal, Result, Response
from .log import fields
from .overload.memory_budget import MemoryBudget
from .policy.interface import (
    Action,
    AdmissionCheck,
    Arrival,
    BodyComplete,
    BodyOverdue,
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
from .policy.memory_admission import is_admitted
from .sites.events import SiteView
from .wheel import TimerWheel

logger = logging.getLogger(__name__)

# The retry advice in the engine's own refusals, where the settings allow one.
DEFAULT_RETRY_AFTER_US = 200_000
UPLOAD_TIMEOUT_US = 600_000_000  # 32 MB at 64 kB a second take 500 s
NO_EXPIRY_US = 1 << 62
RECENT_READ_US = 5_000  # the client of a request read within this time is taken to be still connected
DEADLINE_GRACE_US = 10_000  # after its deadline; then the engine answers an exchange without the policy


class Policy(Protocol):
    """The decision module `roadlb.policy`, or a test's replacement for it."""

    def handle(self, now: int, event: Event) -> list[Action]: ...


class Executor(Protocol):
    """Sends attempts and probes to servers."""

    def start(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt, unsent: bool = False) -> None:
        """Cancel an attempt; with `unsent` only if nothing was sent, as its outcome then says."""

    def extend(self, attempt: Attempt) -> None:
        """Apply the new `deadline_at_us` of an attempt."""

    def time_out(self, attempt: Attempt) -> None:
        """End an attempt at once, as its time is over."""

    def probe(self, server: ServerId) -> None: ...


class Engine:
    """Passes events to the policy one at a time and carries out the actions that it returns."""

    def __init__(
        self,
        policy: Policy,
        counters: Counters,
        clock: Clock,
        wheel: TimerWheel,
        max_open: int = 20_000,
        class_names: Sequence[str] = (),
        retry_after_us: int = DEFAULT_RETRY_AFTER_US,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        """Create an engine without open exchanges.

        `max_open` limits the exchanges open at once.  `class_names` are used in the names of the counters
        of answers and shed requests.  `retry_after_us` is the retry advice in refusals that the policy did
        not decide; 0: none.  `memory_budget`: of all connections; default: unlimited.
        """
        self._policy, self._counters, self._max_open = policy, counters, max_open
        self._clock, self._wheel = clock, wheel
        self._retry_after_us = retry_after_us
        self._memory_budget = memory_budget or MemoryBudget()
        self._events: deque[Event] = deque()
        # Whether an event is being processed, and the time at which that began.
        self._is_dispatching, self._event_time_us = False, 0
        self._next_id = 1
        self._open: dict[int, Exchange] = {}  # not answered, or with a running attempt
        # Closed while an event is processed; its remaining actions may still refer to them.
        self._awaiting_removal: list[Exchange] = []
        self._is_process_overloaded = False  # as last reported to the policy
        self._streaming_count = 0  # responses whose bodies are being streamed to clients
        # Requests received, and those of them that were refused before any attempt.
        self._arrived_count = self._refused_count = 0
        self._answer_counters = {
            (kind, i): f"{_ANSWER_COUNTERS[kind]}.{name}"
            for kind in _ANSWER_COUNTERS
            for i, name in enumerate(class_names)
        }
        self._shed_counters = {
            (i, is_overloaded): f"shed.{name}.{'own' if is_overloaded else 'fleet'}"
            for i, name in enumerate(class_names)
            for is_overloaded in (False, True)
        }
        self.executor: Executor | None = None
        self.on_outcome: Callable[[ServerId, Status], None] | None = None  # called when an attempt ends
        self.lease_expires_us = NO_EXPIRY_US  # from then on `on_lease_expired` is called first
        self.on_lease_expired: Callable[[], None] = lambda: None
        self._action_handlers: dict[type, Callable[[Any], None]] = {
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
        """Accept a client's request, which from now on gets exactly one final answer."""
        is_full = len(self._open) >= self._max_open
        if is_full or not is_admitted(self._memory_budget.available_bytes):
            # Beyond the limit an attempt could find no free socket, and the request would fail anyway.
            self.refuse(exchange, "full" if is_full else "full.memory")
            return
        exchange.id, self._next_id = self._next_id, self._next_id + 1
        now = self._clock()
        exchange.deadline_at_us = (exchange.arrived_us or now) + exchange.left_us
        if exchange.is_uploading:
            exchange.deadline_at_us = now + UPLOAD_TIMEOUT_US
        self._open[exchange.id] = exchange
        self._arrived_count += 1
        self._counters.add("taken")
        self._dispatch(
            Arrival(
                exchange.id,
                exchange.class_index,
                exchange.tenant,
                exchange.key,
                max(1, exchange.deadline_at_us - now),
                exchange.work_us,
                exchange.is_retry,
                exchange.is_uploading,
            ),
            now,
        )
        self._arm_deadline_timer(exchange)

    def refuse(self, exchange: Exchange, counter: str) -> None:
        """Refuse an exchange that has not been opened, and count it under this name.

        Nothing of it has been sent to a server, so the client may safely retry it.
        """
        self._counters.add(counter)
        exchange.answer = Refusal(self._retry_after_us)
        self._count_answer(Refusal, exchange.class_index)
        exchange.on_answer(exchange, exchange.answer)

    def _arm_deadline_timer(self, exchange: Exchange) -> None:
        """Set the timer that answers the client soon after the deadline even if the policy does not."""
        if exchange.deadline_timer:
            exchange.deadline_timer.cancel()
        if exchange.answer is None:
            exchange.deadline_timer = self._wheel.call_at(
                exchange.deadline_at_us + DEADLINE_GRACE_US, self._on_overdue, exchange
            )

    def body_complete(self, exchange: Exchange, arrived_us: int) -> None:
        """Apply the time limit of an exchange whose request body has been read completely.

        It counts from `arrived_us`, when the body's last byte came to this machine.
        """
        if exchange.closed or not exchange.is_uploading:
            return
        exchange.is_uploading, now = False, self._clock()
        exchange.arrived_us, exchange.deadline_at_us = arrived_us, arrived_us + exchange.left_us
        for attempt in exchange.attempts:
            if attempt.outcome is None:
                attempt.started_us, attempt.deadline_at_us, attempt.left_us = now, exchange.deadline_at_us, 0
                attempt.write_by_us = exchange.deadline_at_us
                assert self.executor
                self.executor.extend(attempt)
        self._dispatch(BodyComplete(exchange.id, max(1, exchange.deadline_at_us - now)), now)
        self._arm_deadline_timer(exchange)

    def body_overdue(self, exchange: Exchange) -> None:
        """End an exchange whose time is over while its body waits for a server to take the rest of it."""
        if exchange.closed or not exchange.is_uploading:
            return
        now = self._clock()
        exchange.deadline_at_us = now
        self._dispatch(BodyOverdue(exchange.id), now)
        for attempt in exchange.attempts:
            if attempt.outcome is None:
                assert self.executor
                self.executor.time_out(attempt)
        self._arm_deadline_timer(exchange)

    def client_gone(self, exchange: Exchange) -> None:
        """End an exchange whose client has closed its connection before the answer."""
        if exchange.id in self._open and not exchange.closed:
            exchange.is_client_gone = True
            self._counters.add("client_gone")
            self._dispatch(ClientGone(exchange.id))
            self._forbid_unsent(exchange)
            self._remove_if_done(exchange)

    def give_up_all(self, arrived_after_us: int = 0) -> None:
        """Answer all open exchanges that arrived after this time or whose request bodies are incomplete."""
        for exchange in list(self._open.values()):
            if not exchange.closed and (
                exchange.is_uploading or exchange.deadline_at_us - exchange.left_us > arrived_after_us
            ):
                self._give_up(exchange, "stopping")

    @property
    def requests_in_flight(self) -> int:
        """The number of requests that were accepted and have not ended."""
        return self._streaming_count + sum(not exchange.closed for exchange in self._open.values())

    def view(self) -> View:
        """Return the policy's current view of the servers."""
        for action in self._policy.handle(self._clock(), ViewQuery()):
            if isinstance(action, View):
                return action
        return View([])

    @property
    def is_process_overloaded(self) -> bool:
        """Whether part of the demand is refused because this process lacks CPU, memory or descriptors."""
        return self._is_process_overloaded

    def check_admission(
        self, class_index: int, tenant: int, key: int, left_us: int, work_us: int
    ) -> Refusal | None:
        """Return the refusal if the policy refuses this request, whose body has not been received.

        A refused request need not be opened.
        """
        try:
            actions = self._policy.handle(
                self._clock(), AdmissionCheck(class_index, tenant, key, left_us, work_us)
            )
        except Exception:
            self._counters.add("fault.engine")
            logger.exception("offer failed")
            return None
        for action in actions:
            if isinstance(action, Refuse):
                self._arrived_count += 1
                self._counters.add("offer.nack")
                self._count_answer(Refusal, class_index)
                self._count_shed(class_index)
                return Refusal(action.retry_after_us)
        return None

    def set_shed_share(self, share: float) -> None:
        """Set the least share (0..1) of the demand to be refused because this process lacks resources."""
        self._is_process_overloaded = share > 0
        self._dispatch(ProcessOverload(share))

    def set_max_open(self, max_open: int) -> None:
        """Limit how many exchanges may be open at once."""
        self._max_open = max_open

    def set_process_count(self, count: int) -> None:
        """Tell the policy how many processes now run as this one balancer."""
        self._dispatch(ProcessCount(count))

    def update_shared_state(self, event: SharedStateUpdate) -> None:
        """Pass on the latest state that this balancer has received from the others."""
        self._dispatch(event)

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings; to open requests as `policy.interface.SettingsChanged` describes."""
        self._dispatch(SettingsChanged(settings))

    def override_site(self, site: int, out: bool) -> SiteView | None:
        """Apply an operator's command to take a site out of service or put it back.

        Returns the site's state afterwards; None if no such site exists.
        """
        self._dispatch(SiteOverride(site, out))
        return next((view for view in self.view().sites if view.site == site), None)

    def request_counts(self) -> tuple[int, int]:
        """Return how many requests have arrived, and how many of them were refused with nothing sent."""
        return self._arrived_count, self._refused_count

    def _count_answer(self, kind: type, class_index: int) -> None:
        if name := self._answer_counters.get((kind, class_index)):
            self._counters.add(name)

    def _count_shed(self, class_index: int) -> None:
        self._refused_count += 1
        if name := self._shed_counters.get((class_index, self._is_process_overloaded)):
            self._counters.add(name)

    def list_update(self, kind: ListKind, members: list[Member]) -> None:
        """Pass an update of the server list to the policy."""
        self._dispatch(ListUpdate(kind, members))

    def attempt_ended(self, attempt: Attempt, result: Result) -> None:
        """Process the end of an attempt, which the executor reports exactly once."""
        exchange, attempt.outcome = self._open[attempt.request], result.outcome
        self._counters.add(_ATTEMPT_COUNTERS[result.outcome])
        if result.answer is not None:
            self._answer(exchange.id, result.answer)
        now = self._clock()
        self._dispatch(
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
        self._forbid_unsent(exchange)
        self._remove_if_done(exchange)

    def probe_ended(self, server: ServerId, latency_us: int, result: Result) -> None:
        """Process the end of a probe."""
        self._counters.add(f"probe.{result.outcome.value}")
        self._dispatch(Probed(server, result.outcome.status, latency_us, result.report))

    def _dispatch(self, event: Event, now: int | None = None) -> None:
        """Process an event, then in order the events that its actions caused meanwhile."""
        if self._is_dispatching:
            self._events.append(event)
            return
        now = self._clock() if now is None else now
        if now >= self.lease_expires_us:
            # A process that was suspended may resume with a request to process before any timer fires.
            self.lease_expires_us = NO_EXPIRY_US
            self.on_lease_expired()
        self._is_dispatching, self._event_time_us = True, now
        try:
            while True:
                try:
                    actions = self._policy.handle(self._event_time_us, event)
                except Exception:
                    self._handle_fault(event)
                    actions = []
                for action in actions:
                    try:
                        self._action_handlers[type(action)](action)
                    except Exception:
                        self._handle_fault(action)
                if not self._events:
                    return
                event = self._events.popleft()
        finally:
            self._is_dispatching = False
            if self._awaiting_removal:
                closed_exchanges, self._awaiting_removal = self._awaiting_removal, []
                for exchange in closed_exchanges:
                    self._remove_if_done(exchange)

    def _handle_fault(self, source: Event | Action) -> None:
        """Answer the request of a failed event or action; the process and other requests go on."""
        self._counters.add("fault.engine")
        logger.exception("event or action failed", extra=fields(kind=type(source).__name__))
        exchange = self._open.get(getattr(source, "request", 0))
        if exchange and not exchange.closed:  # once only: notifying the policy may fail as well
            self._give_up(exchange, "fault")

    def _on_overdue(self, exchange: Exchange) -> None:
        self._give_up(exchange, "overdue")

    def _give_up(self, exchange: Exchange, reason: str) -> None:
        """Answer an exchange without a decision of the policy.

        The answer is a refusal if no attempt was made, else a failure.  The policy then ends the request
        as if the client had gone.
        """
        self._answer(exchange.id, Failure(reason) if exchange.attempts else Refusal(self._retry_after_us))
        self._dispatch(ClientGone(exchange.id))
        self._forbid_unsent(exchange)

    # Actions out

    def _set_timer(self, action: SetTimer) -> None:
        self._wheel.call_at(action.at_us, self._dispatch, TimerFired(action.token))

    def _send(self, action: Send) -> None:
        assert self.executor
        exchange, now = self._open.get(action.request), self._event_time_us
        if exchange is None:
            return  # answered without the policy, which has yet to process the event that says so
        if not exchange.closed and (exchange.attempts or now > exchange.arrived_us + RECENT_READ_US):
            # The client may already have closed: the event that caused this attempt can be processed
            # before a close that has arrived as well.
            exchange.check_client_gone()
            if exchange.attempts and not exchange.closed and exchange.may_hide_close():
                self._counters.add("client.input_ahead")
                self._give_up(exchange, "no further attempt: more input than is read")
        attempt_deadline_at_us = (
            min(exchange.deadline_at_us, now + action.timeout_us)
            if action.timeout_us
            else exchange.deadline_at_us
        )
        attempt = Attempt(
            exchange.id,
            exchange.message,
            len(exchange.attempts),
            action.server,
            now,
            attempt_deadline_at_us,
            exchange.left_us if exchange.is_uploading else 0,
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
            self._forbid_unsent(exchange)

    def _fail(self, action: Fail) -> None:
        exchange = self._open.get(action.request)
        self._answer(action.request, Failure("given up"))
        if exchange:
            self._forbid_unsent(exchange)

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
        """Pass the final answer to the client, unless it has one or has gone."""
        exchange = self._open.get(request)
        if exchange is None or exchange.closed:
            return
        if isinstance(answer, Response) and answer.body_stream:
            self._streaming_count += 1
            answer.body_stream.on_end = partial(self._body_ended, exchange.class_index)
        else:
            self._count_answer(type(answer), exchange.class_index)
        exchange.answer = answer
        self._remove_if_done(exchange)
        try:
            exchange.on_answer(exchange, answer)
        except Exception:
            self._counters.add("fault.client")
            logger.exception("answer not passed on", extra=fields(request=request))

    def _body_ended(self, class_index: int, is_complete: bool | None) -> None:
        """Count a response whose body has ended; None: its client has gone."""
        self._streaming_count -= 1
        if is_complete is None:
            self._counters.add("client_gone")
        else:
            self._count_answer(Response if is_complete else Failure, class_index)

    def _forbid_unsent(self, exchange: Exchange) -> None:
        """Forbid writing the attempts of a request that is answered or whose client has gone.

        Attempts that are still connecting, and that the policy has not cancelled, go on connecting: the
        outcome shows whether the server, or a whole zone, is reachable.
        """
        if not exchange.closed:
            return
        for attempt in exchange.attempts:
            if attempt.outcome is None:
                attempt.forbid_writing()

    def _remove_if_done(self, exchange: Exchange) -> None:
        """Remove an exchange that is closed and has no running attempt."""
        if exchange.closed:
            if exchange.deadline_timer:
                exchange.deadline_timer.cancel()
                exchange.deadline_timer = None
            for attempt in exchange.attempts:
                if attempt.outcome is None:
                    return
            if self._is_dispatching:
                self._awaiting_removal.append(exchange)
                return
            self._open.pop(exchange.id, None)


_ATTEMPT_COUNTERS = {outcome: f"execution.{outcome.value}" for outcome in AttemptOutcome}
_ANSWER_COUNTERS: dict[type, str] = {Response: "answered", Refusal: "deferred", Failure: "errored"}
