"""The grid nodes: attempts and probes, each a call on a connection of its own."""

from __future__ import annotations

import logging
from collections.abc import Collection, Mapping

from ..clock import Clock
from ..config import IDLE_PART, Address, Config
from ..counters import Counters
from ..engine import Engine
from ..exchange import AttemptOutcome, Attempt, Result
from ..log import Limit, fields
from ..overload.memory_budget import MemoryBudget
from ..policy.interface import ServerId
from ..wheel import TimerWheel
from .headers import LoadReports
from .server_connection import Call
from .pool import Pool

logger = logging.getLogger(__name__)

PROBE_US = 300_000
NO_STARTS: Mapping[ServerId, int] = {}
OUTCOMES_LOGGED = 50  # a second; the others are only counted


def heard(result: Result, error: str) -> None:
    """In place of what has been told already."""


class ServerConnections:
    """The engine's executor over HTTP/1.1; told by discovery where instances listen."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        counters: Counters,
        clock: Clock,
        wheel: TimerWheel,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        """`memory_budget`: of all connections; default: unlimited."""
        self._engine, self._counters, self._clock, self._wheel = engine, counters, clock, wheel
        self._listed: dict[ServerId, tuple[str, Address]] = {}
        self._draining: set[ServerId] = set()  # of those listed
        self._born_us: dict[ServerId, int] = {}  # when each was started
        self._calls: dict[Attempt, Call] = {}
        self._probes: dict[Call, None] = {}
        self._logged = Limit(clock, OUTCOMES_LOGGED)
        self.pool = Pool(
            config.instance_sockets,
            int(config.conn_idle_us * IDLE_PART),
            config.dial_timeout_us,
            LoadReports(config.settings.report_fields),
            clock,
            wheel,
            self._unasked_bytes,
            memory_budget or MemoryBudget(),
        )

    def list_update(
        self,
        listed: Mapping[ServerId, tuple[str, Address]],
        gone: list[ServerId],
        whole: bool,
        draining: Collection[ServerId] = (),
        born_us: Mapping[ServerId, int] = NO_STARTS,
    ) -> None:
        """Where the instances listen; `draining`: those of `listed` that take nothing new; `born_us`: clock
        times of their last starts.

        Once the decisions know of it as well, `withdraw` is to be called.
        """
        if whole:
            self._listed.clear()
            self._draining.clear()
        for server, started_us in born_us.items():
            if self._born_us.get(server, started_us) != started_us:
                # Its idle connections were the former process's, whose end may never have been told.
                self.pool.drop_idle(server)
            self._born_us[server] = started_us
        self._listed.update(listed)
        self._draining.difference_update(listed)
        self._draining.update(draining)
        for server in gone:
            self._listed.pop(server, None)
            self._draining.discard(server)
        self._born_us = {server: at for server, at in self._born_us.items() if server in self._listed}
        self.pool.follow({server: address for server, (_, address) in self._listed.items()})

    def withdraw(self) -> None:
        """End what is still dialled to where nothing may begin any more: an instance that drains, is gone, or
        listens elsewhere.  None of it has been written."""
        for call in self.pool.dialled():
            if call.server in self._draining or self._address(call.server) != call.address:
                self._cut_off(call, AttemptOutcome.NEVER_STARTED)

    def _address(self, server: ServerId) -> Address | None:
        listed = self._listed.get(server)
        return listed[1] if listed else None

    # The engine's executor

    def start(self, attempt: Attempt) -> None:
        body_stream = attempt.message.body_stream
        if (
            attempt.deadline_at_us <= attempt.started_us
            or body_stream is not None
            and not body_stream.is_attachable
        ):
            self._engine.attempt_ended(attempt, Result(AttemptOutcome.NEVER_STARTED))
            return

        def ended(result: Result, error: str) -> None:
            del self._calls[attempt]
            self._over(call, result, error)
            self._engine.attempt_ended(attempt, result)

        call = self._calls[attempt] = Call(
            attempt.server, attempt.deadline_at_us, ended, attempt, self._written, body_stream
        )
        self._go(call)

    def _written(self) -> None:
        self._counters.add("sends")

    def cancel(self, attempt: Attempt, unsent: bool = False) -> None:
        """Give an attempt up; its connection is closed, which tells the instance.  `unsent`: only while it
        is being dialled."""
        call = self._calls.get(attempt)
        if call and unsent and not call.connection:
            self._cut_off(call, AttemptOutcome.NEVER_STARTED)
        elif call and not unsent:
            # While the body comes no server can have begun with it, nor be late.
            self._cut_off(call, AttemptOutcome.UNFINISHED if attempt.left_us else AttemptOutcome.CANCELLED)

    def extend(self, attempt: Attempt) -> None:
        """The last byte of its body has come: from now on its answer is waited for."""
        if call := self._calls.get(attempt):
            call.deadline_at_us = attempt.deadline_at_us
            if call.timer:
                call.timer.cancel()
            call.timer = self._wheel.call_at(call.deadline_at_us, self._timed_out, call)

    def time_out(self, attempt: Attempt) -> None:
        if call := self._calls.get(attempt):
            self._timed_out(call)

    def probe(self, server: ServerId) -> None:
        began_us = self._clock()

        def ended(result: Result, error: str) -> None:
            del self._probes[call]
            self._over(call, result, error)
            self._engine.probe_ended(server, self._clock() - began_us, result)

        call = Call(server, began_us + PROBE_US, ended)
        self._probes[call] = None
        self._go(call)

    def _unasked_bytes(self, server: ServerId, is_new: bool) -> None:
        self._counters.add("server.unasked_bytes")
        if is_new and self._logged.allows():
            name, _ = self._listed.get(server, (server.hex(), None))
            logger.warning("server sends bytes that no request asked for", extra=fields(instance=name))

    # Calls

    def _go(self, call: Call) -> None:
        call.timer = self._wheel.call_at(call.deadline_at_us, self._timed_out, call)
        try:
            self.pool.start(call)
        except Exception:
            self._counters.add("fault.instances")
            logger.exception("call not started")
            self._cut_off(call, AttemptOutcome.FAULT)

    def _timed_out(self, call: Call) -> None:
        # Until its last byte has been written it has never run.
        if call.connection is None:
            self._cut_off(call, AttemptOutcome.DIAL_TIMED_OUT)
        elif call.attempt is not None and call.attempt.left_us:
            self._cut_off(call, AttemptOutcome.UPLOAD_TIMED_OUT, "the rest of the body was not taken")
        elif not call.connection.pass_on_begun():
            self._cut_off(call, AttemptOutcome.TIMED_OUT)

    def _cut_off(self, call: Call, outcome: AttemptOutcome, error: str = "") -> None:
        self.pool.give_up(call)
        call.ended(Result(outcome), error)

    def _over(self, call: Call, result: Result, error: str) -> None:
        call.ended = heard  # it refers to the call, which would be a cycle
        if call.timer:
            call.timer.cancel()
        if error and self._logged.allows():
            name, _ = self._listed.get(call.server, (call.server.hex(), None))
            logger.info(
                "execution ended",
                extra=fields(
                    instance=name,
                    ending=result.outcome.value,
                    error=error,
                    request=call.attempt.request if call.attempt else 0,
                    attempt=call.attempt.number if call.attempt else 0,
                ),
            )

    async def close(self) -> None:
        for call in [*self._calls.values(), *self._probes]:
            self._cut_off(call, AttemptOutcome.CANCELLED)
        await self.pool.close()
