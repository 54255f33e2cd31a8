"""The connections to instances: reused first, dialled within bounds, with no queue.

A connection that has carried an answer rests for a turn of the event loop before it may carry another
request: what came right behind the answer has been read by then, and ends the connection instead of being
taken for the next request's answer.  What comes later than that is kept from it as well as can be: a
connection that has not settled carries no request while a new one can be dialled.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Mapping
from typing import cast

from ..clock import Clock
from ..config import Address
from ..exchange import AttemptOutcome, Result
from ..overload.memory_budget import MemoryBudget
from ..policy.interface import ServerId
from ..wheel import TimerWheel
from .headers import LoadReports
from .body_limits import body_buffer_bytes
from .read_buffer import ReadBuffer
from .server_connection import Call, ServerConnection
from .turn_queue import ReadQueue
from .unasked_bytes import UnaskedBytes

SWEEP_S = 0.25
CLOSING_TURNS = 10  # of the event loop, at the most, for aborted connections to be told that they ended
# A server's second answer to one request may come some milliseconds after the first.  A connection that has
# rested for so long is settled: none has come.  The shorter time holds while no server has sent such bytes.
SETTLE_US, TRUSTED_SETTLE_US = 25_000, 12_000
MAX_UNSETTLED_IDLE = 8  # idle connections of one server, none settled, beside which another one is dialled
NO_DESCRIPTOR = frozenset({errno.EMFILE, errno.ENFILE})


class Pool:
    """At most `most` connections, idle for at most `keep_us`; `dial_us` is how long a dial may take.

    `on_unasked_bytes` hears of a server that has sent some, and whether it was not known to do so.
    """

    def __init__(
        self,
        most: int,
        keep_us: int,
        dial_us: int,
        reports: LoadReports,
        clock: Clock,
        wheel: TimerWheel,
        on_unasked_bytes: Callable[[ServerId, bool], None],
        memory_budget: MemoryBudget,
    ) -> None:
        self.memory_budget, self.read_buffer = memory_budget, ReadBuffer(memory_budget)
        self.reads = ReadQueue()
        self.reports, self.clock, self.wheel = reports, clock, wheel
        self._most, self._keep_us, self._dial_us = most, keep_us, dial_us
        self._loop = asyncio.get_running_loop()
        self._addresses: Mapping[ServerId, Address] = {}
        self.open: dict[ServerConnection, None] = {}
        self._dialling: dict[Call, None] = {}
        # Those that wait for a call: of each instance, and of all in the order in which they began to.
        self._idle: dict[ServerId, dict[ServerConnection, None]] = {}
        self._all_idle: dict[ServerConnection, None] = {}
        self._resting: list[ServerConnection] = []
        self._sweeping = False
        self._unasked_bytes, self._on_unasked_bytes = UnaskedBytes(), on_unasked_bytes
        self.is_short_of_resources = False  # memory or descriptors

    @property
    def body_buffer_bytes(self) -> int:
        """How many bytes of an answer are buffered before it is streamed."""
        return body_buffer_bytes(self.memory_budget, self.is_short_of_resources)

    def limit(self, connections: int) -> None:
        """So many connections there may be from now on; what is too much goes as it idles."""
        self._most = connections

    # Calls

    def start(self, call: Call) -> None:
        """Send the call on an idle connection, or on a new one."""
        if connection := self._take(call.server):
            connection.send(call)
            return
        address = self._addresses.get(call.server)
        if address is None:
            call.ended(Result(AttemptOutcome.NEVER_STARTED), "")
        elif not self._has_room() and not self._drop_longest_idle():
            call.ended(Result(AttemptOutcome.NO_SOCKET), "")
        else:
            self._dialling[call] = None
            call.address = address
            call.dialling = self._loop.create_task(self._dial(call, address))

    def dialled(self) -> list[Call]:
        """The calls whose connections have not come up yet."""
        return list(self._dialling)

    def give_up(self, call: Call) -> None:
        """Of this call nothing more is heard; its connection is closed, which tells the instance."""
        self._dialling.pop(call, None)
        if call.dialling:
            call.dialling.cancel()
        if call.connection:
            call.connection.give_up()

    async def _dial(self, call: Call, address: Address) -> None:
        connection = ServerConnection(self, call.server, address)
        protocol = cast(asyncio.Protocol, connection)
        outcome, error = None, ""
        try:
            async with asyncio.timeout(self._dial_us / 1e6):
                await self._loop.create_connection(lambda: protocol, address.host, address.port)
        except asyncio.CancelledError:
            self._unmade(connection)
            raise
        except TimeoutError:
            outcome = AttemptOutcome.DIAL_TIMED_OUT
        except OSError as e:
            outcome, error = (
                AttemptOutcome.NO_SOCKET if e.errno in NO_DESCRIPTOR else AttemptOutcome.DIAL_FAILED,
                str(e),
            )
        except Exception as e:
            outcome, error = AttemptOutcome.DIAL_FAILED, f"{type(e).__name__}: {e}"
        call.dialling = None
        if call not in self._dialling:
            self._unmade(connection)  # given up meanwhile
            return
        del self._dialling[call]
        if outcome is None and connection.usable:
            connection.send(call)
        else:
            self._unmade(connection)
            call.ended(Result(outcome or AttemptOutcome.DIAL_FAILED), error)

    def _unmade(self, connection: ServerConnection) -> None:
        """A dial that was called off as it succeeded: uvloop then closes the handle, says that it is not
        closing, and never calls connection_lost."""
        connection.close()
        self.closed(connection)

    # Connections

    def follow(self, addresses: Mapping[ServerId, Address]) -> None:
        """The instances are here now; where one was, another may listen soon."""
        self._addresses = addresses
        for connection in list(self._all_idle):
            if addresses.get(connection.server) != connection.address:
                self._drop(connection)

    def drop_idle(self, server: ServerId) -> None:
        """No call goes out any more on a connection that waits for one now."""
        for connection in list(self._idle.get(server, ())):
            self._drop(connection)
        for connection in self._resting:
            if connection.server == server:
                connection.close()

    def opened(self, connection: ServerConnection) -> None:
        self.open[connection] = None

    def closed(self, connection: ServerConnection) -> None:
        connection.release_held()
        self.open.pop(connection, None)
        self._forget(connection)

    def rest(self, connection: ServerConnection) -> None:
        """It has carried its answer; from the turn after next on, when what was there has been read, it may
        carry another request."""
        connection.rested_us = self.clock()
        self._resting.append(connection)
        if len(self._resting) == 1:
            # What one turn schedules may run before that turn's reads: hence twice.
            self._loop.call_soon(self._loop.call_soon, self._rested)

    def _rested(self) -> None:
        resting, self._resting = self._resting, []
        for connection in resting:
            if not connection.usable:
                continue
            if self._addresses.get(connection.server) != connection.address:
                connection.close()
                continue
            self._idle.setdefault(connection.server, {})[connection] = None
            self._all_idle[connection] = None
        if self._all_idle and not self._sweeping:
            self._sweeping = True
            self.wheel.call_at(self.clock() + int(SWEEP_S * 1e6), self._sweep, None)

    def _has_room(self) -> bool:
        return len(self.open) + len(self._dialling) < self._most

    def _take(self, server: ServerId) -> ServerConnection | None:
        """An idle connection for the next request; None: a new one is to be dialled."""
        idle = self._idle.get(server)
        if not idle:
            return None
        before = self.clock() - self._keep_us  # the sweep may be late, with all else on the loop
        while idle:
            connection = self._last_settled(idle) or self._unsettled(server, idle)
            if connection is None:
                return None
            del idle[connection]
            self._all_idle.pop(connection, None)
            if connection.usable and connection.rested_us >= before and connection.quiet:
                return connection
            connection.close()
        return None

    def _last_settled(self, idle: dict[ServerConnection, None]) -> ServerConnection | None:
        """The connection that has waited for the shortest time, of those that have settled."""
        now_us = self.clock()
        is_any_known = self._unasked_bytes.sent_by_any(now_us)
        settled_us = now_us - (SETTLE_US if is_any_known else TRUSTED_SETTLE_US)
        for connection in reversed(idle):
            if connection.rested_us <= settled_us:
                return connection
        return None

    def _unsettled(self, server: ServerId, idle: dict[ServerConnection, None]) -> ServerConnection | None:
        """The first to rest where none has settled, if another one should not be dialled instead."""
        is_full = len(idle) >= MAX_UNSETTLED_IDLE
        longest = next(iter(idle))
        if self._unasked_bytes.sent_by(self.clock(), server):
            if is_full:
                self._drop_for_a_dial(longest)
            return None
        return longest if is_full or not self._has_room() else None

    def unasked_bytes(self, connection: ServerConnection) -> None:
        """The connection's server has sent bytes that belong to no request."""
        is_new = self._unasked_bytes.record(self.clock(), connection.server)
        self._on_unasked_bytes(connection.server, is_new)

    def _forget(self, connection: ServerConnection) -> None:
        self._all_idle.pop(connection, None)
        if (idle := self._idle.get(connection.server)) is not None:
            idle.pop(connection, None)
            if not idle:
                del self._idle[connection.server]

    def _drop(self, connection: ServerConnection) -> None:
        self._forget(connection)
        connection.close()

    def _drop_longest_idle(self) -> bool:
        for connection in self._all_idle:
            self._drop_for_a_dial(connection)
            return True
        return False

    def _drop_for_a_dial(self, connection: ServerConnection) -> None:
        self._drop(connection)
        self.open.pop(connection, None)  # its descriptor is free by the time that one is dialled

    def _sweep(self, _: None) -> None:
        """Close those that have waited for too long: a request that crosses the instance's own closing of an
        idle connection is a reset, and an order among those is lost."""
        before = self.clock() - self._keep_us
        for connection in list(self._all_idle):
            if connection.rested_us > before:
                break
            self._drop(connection)
        self._sweeping = bool(self._all_idle)
        if self._sweeping:
            self.wheel.call_at(self.clock() + int(SWEEP_S * 1e6), self._sweep, None)

    async def close(self) -> None:
        """End all connections and dials; calls that are out are not told."""
        tasks = [call.dialling for call in self._dialling if call.dialling]
        self._dialling.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in list(self.open):
            connection.give_up()
        for _ in range(CLOSING_TURNS):
            if self.open:
                await asyncio.sleep(0)
