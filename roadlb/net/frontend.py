"""The client side: accepts and limits connections, interprets requests and passes them to the engine."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable, Iterable
from functools import lru_cache
from hashlib import blake2b
from math import ceil
from typing import cast
from urllib.parse import quote

from ..clock import Clock
from ..config import Config
from ..counters import Counters
from ..engine import Engine
from ..exchange import Exchange, Message, Refusal
from ..log import Limit, fields
from ..overload.memory_budget import MemoryBudget
from ..policy.connection_admission import may_end_reader, reserved_connections
from ..policy.interface import Effect, Settings
from ..policy.memory_admission import STALLED_US, IncompleteRequest, is_admitted, requests_to_refuse
from ..wheel import Timer, TimerWheel
from .body_limits import body_buffer_bytes
from .client_connection import MAX_UNPARSED_BYTES, BadRequest, ClientConnection, Request
from .headers import ACCOUNT, CORRELATION_ID, FACTS, HOST, REPEAT, TIME_LEFT, HeaderError, parse_name_values
from .http import MAX_HEAD_BYTES, empty_answer, encode_answer, text_answer
from .read_buffer import ReadBuffer
from .request_ids import RequestIds, ReservedId, SharedClaims
from .sockets import has_unread_bytes
from .turn_queue import ReadQueue, TurnQueue

logger = logging.getLogger(__name__)

# Deducted from the client's remaining time for the way to this process and back.  At the 99th percentile,
# the ways from a client's send to the first attempt and from a server's answer to the client took 2.9 and
# 2.0 ms on a calm day, 8.2 and 5.8 ms on an overloaded one.
NETWORK_MARGIN_US = 10_000
REQUEST_TIMEOUT_S = 2.6  # to receive a request, from its first byte or, for the first, from connecting
WRITE_TIMEOUT_S = 15.0  # for a client to take more of a streamed answer
SERVER_STALL_US = 15_000_000  # for a server to take more of a streamed body, of which more waits
IDLE_TIMEOUT_S = 10.0  # of a connection between requests
SHORT_IDLE_TIMEOUT_S = 2.0  # the same while connections or resources are scarce
# Of the maximum of connections: up to the first idle ones may stay for IDLE_TIMEOUT_S; past the second each
# answer closes its connection.
LOW_USE_RATIO, HIGH_USE_RATIO = 1 / 3, 3 / 4
FIRST_REQUEST_GRACE_US = 500_000  # a client that connects to send a request has sent it by then
ACTIVE_US = 1_000_000  # a client that had its last answer within it is likely to send another request
SWEEP_INTERVAL_S = 0.25
PAUSED_CHECK_INTERVAL_US = 20_000  # between checks whether the clients of paused connections have closed
INPUT_WAIT_US = 5_000  # for input that waited on a client's machine
RECLAIM_INTERVAL_US = 50_000  # at least between two looks at all incomplete requests
LINGER_S = 0.3  # for the client to close too, once the last answer and our end of stream are sent
MAX_TIME_LEFT_S = 3_600.0
MAX_CACHED_TARGETS, MAX_CACHED_TARGET_BYTES = 4_096, 128  # a longer target is not cached
# A complete GET as clients commonly send it: no header in it concerns a body or the connection.
SIMPLE_GET = re.compile(
    rb"GET (/[!-~]*) HTTP/1\.1\r\n"
    rb"(?:(?:Host|X-Correlation-Id|X-Time-Left|X-Repeat|Accept|User-Agent): [ -~]+\r\n|"
    rb"X-Account: ([!-~]+)\r\n)+\r\n"
).fullmatch
FORWARDABLE = re.compile(rb'[!"$-~]*').fullmatch
MAX_LOGGED_REJECTS_PER_S = 20  # the others are only counted
# What one connection may always buffer, however short memory is.
MIN_UNPARSED_BYTES, MIN_HEAD_LIMIT_BYTES = 512, 4_096
MAX_LOGGED_BYTES = 200  # of a target or an id


def hash_key(key: bytes) -> int:
    """Hash a key to 64 bits, the same in every process; 0 stands for no key."""
    return int.from_bytes(blake2b(key, digest_size=8).digest(), "little") or 1 if key else 0


def is_forwardable(target: bytes) -> bool:
    """Whether a target can stand unchanged in a request line: all printable ASCII, with no empty query."""
    return FORWARDABLE(target) is not None and target[-1:] != b"?"


def read_target(target: bytes) -> tuple[bytes, int, bool]:
    """Return the class name (b"" if there is no path), the key's hash, and whether it is forwardable."""
    if not target.startswith(b"/"):
        return b"", 0, False
    parts = target.partition(b"?")[0].split(b"/")
    return parts[1], hash_key(parts[-1] if len(parts) > 2 else b""), is_forwardable(target)


# Most requests are for one of a few thousand targets; reading one without the cache takes 6 us.
read_target_cached = lru_cache(MAX_CACHED_TARGETS)(read_target)


class Frontend:
    """The protocol factory of the client listener, and the owner of all client connections."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        counters: Counters,
        is_ready: Callable[[], bool],
        clock: Clock,
        wheel: TimerWheel,
        arrived_us: Callable[[asyncio.Transport], int] | None = None,
        memory_budget: MemoryBudget | None = None,
        claims: SharedClaims | None = None,
    ) -> None:
        """`is_ready`: is a server known?  `arrived_us`: when bytes read now may have come (default: now).

        `memory_budget`: of all connections; default: unlimited.  `claims`: the ids that this balancer's
        processes have in use; default: there is no other process."""
        self.counters, self.clock = counters, clock
        self.memory_budget = memory_budget or MemoryBudget()
        self.read_buffer = ReadBuffer(self.memory_budget)
        self.turns, self.reads = TurnQueue(), ReadQueue()
        self.arrived_us = arrived_us or (lambda transport: clock())
        self._engine, self._is_ready, self._wheel = engine, is_ready, wheel
        classes = config.settings.classes
        # A name that cannot stand in a path as it is arrives percent-encoded.
        self._classes = {quote(c.name, safe="").encode(): i for i, c in enumerate(classes)}
        self._classes.update({c.name.encode(): i for i, c in enumerate(classes)})
        self._methods = [b"GET" if c.effect is Effect.SAFE else b"POST" for c in classes]
        self._deadlines_us = [c.deadline_us for c in classes]
        self._tenants = {t.name.encode(): i for i, t in enumerate(config.settings.tenants)}
        self._max_connections, self._name = config.client_sockets, config.name.encode()
        self._request_ids = RequestIds(self.memory_budget, claims)
        self._reject_log_limit = Limit(clock, MAX_LOGGED_REJECTS_PER_S)
        self.connections: dict[ClientConnection, None] = {}  # in the order of their acceptance
        self._paused_connections: dict[ClientConnection, None] = {}  # reading is paused
        self._all_closed: asyncio.Future[None] | None = None
        self._next_reclaim_us = 0
        self.draining = False  # each answer closes its connection
        self.is_short_of_resources = False  # memory or descriptors: idle connections are closed sooner

    def __call__(self) -> asyncio.Protocol:
        """Create the protocol of a new connection."""
        return cast(asyncio.Protocol, ClientConnection(self))

    def set_max_connections(self, connections: int) -> None:
        """Set how many connections may be open; those beyond it stay open."""
        self._max_connections = connections

    def set_deadlines(self, settings: Settings) -> None:
        """Take the classes' deadlines from new settings; requests already read keep theirs."""
        self._deadlines_us = [c.deadline_us for c in settings.classes]

    # Connections

    def on_connected(self, new: ClientConnection) -> None:
        """Register a connection; if all are in use, end a silent or idle one, or refuse this one's requests.

        Closing an idle connection does the least harm: the client repeats a request that crosses the close.
        """
        self.connections[new] = None
        if self.room() >= 0:
            return
        if lingering := self._lingering():
            lingering.end_linger()
        else:
            self.counters.add("client.crowded")
            self._displace_for(new)
        new.is_reserved = self.room() < 0

    def _displace_for(self, new: ClientConnection) -> None:
        least_needed = self._unneeded()
        if least_needed is None:
            if self._reserved_room() >= 0:
                return
            least_needed = self._young(new) or new
        if has_unread(least_needed):
            least_needed.close()  # its request is discarded, not reset: the client sees a graceful end
        else:
            least_needed.close_at_once()

    def _serve_if_room(self, connection: ClientConnection) -> None:
        """A request has come on a reserved connection: serve it in the place of one that is silent."""
        if self.room() <= 0 and (silent := self._young(connection, is_reserved=False)) is not None:
            silent.close_at_once()
        connection.is_reserved = self.room() <= 0

    @property
    def _max_served(self) -> int:
        """How many connections may be open whose requests are served."""
        return self._max_connections - reserved_connections(self._max_connections)

    def room(self) -> int:
        """Return how many more connections may be open whose requests are served."""
        room = self._max_served - len(self.connections)
        if room > 0:
            return room
        return self._max_served - sum(holds_descriptor(c) and not c.is_reserved for c in self.connections)

    def _reserved_room(self) -> int:
        return self._max_connections - sum(holds_descriptor(c) for c in self.connections)

    def make_room(self) -> bool:
        """End the least needed connection, as another one has come; False: all are in use."""
        if lingering := self._lingering():
            lingering.end_linger()
            return True
        self.counters.add("client.crowded")
        if (unneeded := self._unneeded()) is not None:
            unneeded.close_at_once()
            return True
        if (stalled := self._longest_stalled()) is not None:
            stalled.refuse_incomplete()
            return True
        if (reader := self._longest_stalled_reader()) is not None:
            self.counters.add("client.reader_ended")
            reader.abort()
            return True
        if self._reserved_room() > 0:
            return True
        if (young := self._young(None)) is not None:
            young.close_at_once()
            return True
        return False

    def _lingering(self) -> ClientConnection | None:
        """A connection that only waits for its client to close."""
        return next((c for c in self.connections if c.is_lingering), None)

    def _longest_stalled_reader(self) -> ClientConnection | None:
        """The connection whose client has taken nothing of its answer for longest, if for long."""
        readers = [c for c in self.connections if c.read_stalled_since_us and not is_closing(c)]
        longest = min(readers, key=lambda c: c.read_stalled_since_us, default=None)
        if longest is None or not may_end_reader(self.clock() - longest.read_stalled_since_us):
            return None
        return longest

    def _longest_stalled(self) -> ClientConnection | None:
        """The connection whose incomplete request has stalled for longest, if for long."""
        receiving = [c for c in self.connections if c.is_receiving]
        longest = min(receiving, key=lambda c: c.last_input_us, default=None)
        if longest is None or self.clock() - longest.last_input_us < STALLED_US:
            return None
        return longest

    def free_descriptor(self) -> bool:
        """Close an unused connection, as none can be accepted otherwise; return whether there was any.

        Those that never carried a request go first, also the latest: new connections may be shut unread then.
        """
        self.counters.add("client.no_descriptor")
        if lingering := self._lingering():
            lingering.end_linger()
            return True
        unused = [c for c in self._without_request() if not c.request_started_us]
        unused.sort(key=lambda c: (c.has_sent_request, c.idle_since_us))
        found = next((c for c in unused if not has_unread(c)), None)
        if found is not None:
            found.close_at_once()
        return found is not None

    def _unneeded(self) -> ClientConnection | None:
        """Choose an unused connection whose client is not about to send a request; None: there is none."""
        unused, now = self._without_request(), self.clock()
        grace_start_us, active_since_us = now - FIRST_REQUEST_GRACE_US, now - ACTIVE_US
        return longest_idle(
            c for c in unused if not c.has_sent_request and c.idle_since_us < grace_start_us
        ) or longest_idle(c for c in unused if is_idle(c) and c.idle_since_us < active_since_us)

    def _young(self, new: ClientConnection | None, is_reserved: bool = True) -> ClientConnection | None:
        """Choose another unused connection, not `new`, and no reserved one unless `is_reserved`.

        One that has just had an answer goes last: its client is likely to ask again.  None: there is none.
        """
        unused = [c for c in self._without_request() if is_reserved or not c.is_reserved]
        return longest_idle(c for c in unused if not c.has_sent_request and c is not new) or longest_idle(
            c for c in unused if is_idle(c)
        )

    def on_disconnected(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        self.abandon_exchange(connection)
        if self._all_closed and not self.connections and not self._all_closed.done():
            self._all_closed.set_result(None)

    def _without_request(self) -> list[ClientConnection]:
        return [c for c in self.connections if not is_closing(c) and not c.is_busy]

    @property
    def closes_after_answer(self) -> bool:
        """Whether each answer closes its connection: while draining, or near the maximum of connections."""
        return self.draining or len(self.connections) > self._max_connections * HIGH_USE_RATIO

    @property
    def body_buffer_bytes(self) -> int:
        """How many bytes of a body are buffered before it is streamed."""
        return body_buffer_bytes(self.memory_budget, self.is_short_of_resources)

    @property
    def unparsed_limit_bytes(self) -> int:
        """How much input of one connection is buffered unparsed before its reading is paused."""
        return self.memory_budget.share_bytes(MIN_UNPARSED_BYTES, MAX_UNPARSED_BYTES)

    @property
    def head_limit_bytes(self) -> int:
        """How long the head of one request may be."""
        return self.memory_budget.share_bytes(MIN_HEAD_LIMIT_BYTES, MAX_HEAD_BYTES)

    @property
    def is_overloaded(self) -> bool:
        """Whether this process lacks resources and refuses part of the requests."""
        return self._engine.is_process_overloaded

    def start_linger(self, connection: ClientConnection) -> Timer:
        """Start the timer that ends the connection's lingering."""
        return self._wheel.call_at(
            self.clock() + int(LINGER_S * 1e6), ClientConnection.end_linger, connection
        )

    def give_turn_soon(self, connection: ClientConnection) -> None:
        """Have the connection take its turn once more of its input may have come."""
        self._wheel.call_at(self.clock() + INPUT_WAIT_US, ClientConnection.take_turn, connection)

    def watch_paused(self, connection: ClientConnection) -> None:
        """Poll for what a transport does not report while reading is paused: a close, and new bytes."""
        if not self._paused_connections:
            self._wheel.call_at(self.clock() + PAUSED_CHECK_INTERVAL_US, Frontend._check_paused, self)
        self._paused_connections[connection] = None

    def _check_paused(self) -> None:
        paused, self._paused_connections = self._paused_connections, {}
        for connection in paused:
            if connection.is_reading_paused and not connection.check_client_gone():
                self._check_body_overdue(connection)
                self.watch_paused(connection)

    def _check_body_overdue(self, connection: ClientConnection) -> None:
        """End the open request if its time is over while bytes of its body wait for a server to take them.

        A client that goes on sending puts its own time off, but not the server's.
        """
        exchange, waiting_since_us = connection.exchange, connection.unread_since_us()
        if exchange is None or not waiting_since_us:
            return
        server_paused_us = connection.request_started_us
        overdue_us = min(waiting_since_us + exchange.left_us, server_paused_us + SERVER_STALL_US)
        if self.clock() >= overdue_us:
            self._engine.body_overdue(exchange)

    def figures(self) -> dict[str, int]:
        """The states of the clients' connections, under their metric names."""
        connections = [c for c in self.connections if c.transport is not None]
        return {
            "client.connections": len(connections),
            "client.incomplete": sum(c.request_started_us != 0 for c in connections),
            "client.uploading": sum(c.is_uploading for c in connections),
            "client.streaming": sum(c.is_streaming_answer for c in connections),
            "client.write_blocked": sum(c.write_blocked_since_us != 0 for c in connections),
            "client.paused": sum(c.is_reading_paused for c in connections),
            "client.closing": sum(c.closing_since_us != 0 for c in connections),
            "client.retained_ids": self._request_ids.retained_count,
        }

    async def run_sweeps(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """End connections that are overdue, and forget expired correlation ids."""
        now = self.clock()
        # Connections are limited: one that is kept idle may be one that another client is waiting for.
        is_use_low = (
            len(self.connections) <= self._max_connections * LOW_USE_RATIO and not self.is_short_of_resources
        )
        idle_s = IDLE_TIMEOUT_S if is_use_low else SHORT_IDLE_TIMEOUT_S
        for connection in list(self.connections):
            if connection.write_blocked_since_us:
                connection.record_unsent(now)
            if is_overdue(connection, now, idle_s):
                if connection.write_blocked_since_us or connection.closing_since_us:
                    self.counters.add("client.overdue")
                    connection.abort()
                elif connection.is_reading_paused or not has_unread(connection):
                    self.counters.add("client.overdue")
                    connection.time_out()
        self._request_ids.expire(now)

    def close_idle(self, share: float) -> None:
        """Close this share of the connections without a request, the longest idle first.

        One that was just accepted may have its first request on the way, and its client could not tell that
        the request was never read: it is spared for FIRST_REQUEST_GRACE_US.
        """
        grace_start_us = self.clock() - FIRST_REQUEST_GRACE_US
        idle = [
            c
            for c in self._without_request()
            if not c.request_started_us and (c.has_sent_request or c.idle_since_us <= grace_start_us)
        ]
        idle.sort(key=lambda c: c.idle_since_us)
        for connection in idle[: ceil(len(idle) * share)]:
            if not has_unread(connection):
                connection.close()

    def close_unfinished(self) -> None:
        """Close the connections on which an incomplete request has arrived."""
        for connection in self._without_request():
            if connection.request_started_us and not has_unread(connection):
                connection.close()

    async def wait_until_closed(self, deadline_at_us: int, write_deadline_at_us: int) -> None:
        """Wait until all connections are closed, at most until `deadline_at_us`; then abort the rest.

        Connections on which an answer is still being written, or which have unread bytes, may take until
        `write_deadline_at_us`.
        """
        await self._wait_none_left(deadline_at_us)
        for connection in list(self.connections):
            if not has_pending_io(connection):
                connection.abort()
        await self._wait_none_left(write_deadline_at_us)
        for connection in list(self.connections):
            connection.abort()

    async def _wait_none_left(self, deadline_at_us: int) -> None:
        if self.connections:
            self._all_closed = asyncio.get_running_loop().create_future()
            await asyncio.wait([self._all_closed], timeout=max(0, deadline_at_us - self.clock()) / 1e6)

    # Requests

    def serve(self, connection: ClientConnection, request: Request) -> None:
        """Pass a request to the engine, or answer it at once."""
        if request.target.partition(b"?")[0] == b"/healthz" and not request.error:
            is_last = connection.is_last
            connection.reply(empty_answer(200 if self._is_ready() else 503, is_last), is_last)
            return
        if request.error:
            # Raised, it would refer to this frame, and so to the request that refers to it.
            self._answer_error(connection, request, request.error)
            return
        try:
            exchange = self._new_exchange(connection, request)
            if connection.defer(request):
                return
            reserved_id = self._reserve_id(request, exchange)
        except BadRequest as e:
            self._answer_error(connection, request, e)
            return
        connection.exchange = exchange
        connection.reserved_id = reserved_id
        connection.forwarded_bytes = exchange.message.size
        if connection.is_reserved:
            self._serve_if_room(connection)
        if connection.is_reserved or connection.may_hide_close():
            self._engine.refuse(
                exchange, "full.connections" if connection.is_reserved else "client.input_ahead"
            )
            return
        if not is_admitted(self.memory_budget.available_bytes):
            self._reclaim_memory()
        try:
            self._engine.open(exchange)
        except Exception:
            self.counters.add("fault.client")
            logger.exception("request failed")
            if connection.is_open(exchange):
                connection.exchange = None
                self._note_attempts(connection, exchange)
                self.end_request(connection)
                connection.reply_and_close(text_answer(500, "fault", is_last=True))

    def _reclaim_memory(self) -> None:
        """Refuse incomplete requests, so that whole ones can be admitted."""
        now = self.clock()
        if now < self._next_reclaim_us:
            return
        self._next_reclaim_us = now + RECLAIM_INTERVAL_US
        connections = [c for c in self.connections if c.is_receiving]
        incomplete = [
            IncompleteRequest(number, c.held_bytes, now - c.last_input_us)
            for number, c in enumerate(connections)
        ]
        for number in requests_to_refuse(incomplete, self.memory_budget.available_bytes):
            self.counters.add("client.reclaimed")
            connections[number].refuse_incomplete()

    def on_upload_complete(self, connection: ClientConnection) -> None:
        """Tell the engine that the body of the open request is complete."""
        if connection.exchange is not None:
            self._engine.body_complete(connection.exchange, connection.body_arrived_us)

    def abandon_exchange(self, connection: ClientConnection) -> None:
        """Cancel the open request: its client has gone, or its body is in error."""
        if exchange := connection.exchange:
            connection.exchange = None
            self._engine.client_gone(exchange)
            self._note_attempts(connection, exchange)
            self.end_request(connection)

    def on_answered(self, connection: ClientConnection, exchange: Exchange) -> None:
        """Note that the open exchange has its final answer, of which more may be to come."""
        connection.idle_since_us = self.clock()
        self._note_attempts(connection, exchange)

    def _note_attempts(self, connection: ClientConnection, exchange: Exchange) -> None:
        if connection.reserved_id is not None:
            connection.reserved_id.may_have_run = bool(exchange.attempts)

    def end_request(self, connection: ClientConnection) -> None:
        """The request has ended with its whole answer or without: its id is retained if it may have run."""
        reserved_id, connection.reserved_id = connection.reserved_id, None
        if reserved_id is not None:
            self._request_ids.end(reserved_id, self.clock())

    def check_before_body(self, request: Request) -> Refusal | None:
        """Return the refusal if the policy refuses the request by its head, before its body is read."""
        try:
            class_index, tenant, key, left_us, work_us = self._classify(request)
        except BadRequest:
            return None  # `serve` answers the error when it comes to this request
        left_us -= self.clock() - request.arrived_us
        return self._engine.check_admission(class_index, tenant, key, max(1, left_us), work_us)

    def refuse_unparsed(self, data: bytes, is_last: bool) -> bytes:
        """Return the refusal if the data is one simple GET that the policy would refuse; else b"".

        While the process is overloaded it has to refuse more requests than it could parse: this takes no
        parser, no exchange and no correlation id.  Any other input is handled as usual.
        """
        match = SIMPLE_GET(data)
        if match is None:
            return b""
        class_name, key, can_forward = (
            read_target_cached if len(match[1]) <= MAX_CACHED_TARGET_BYTES else read_target
        )(match[1])
        class_index = self._classes.get(class_name)
        tenant = self._tenants.get(match[2]) if self._tenants else 0
        if class_index is None or self._methods[class_index] != b"GET" or tenant is None or not can_forward:
            return b""
        refusal = self._engine.check_admission(class_index, tenant, key, self._deadlines_us[class_index], 0)
        return encode_answer(refusal, is_last) if refusal else b""

    def _answer_error(self, connection: ClientConnection, request: Request, e: BadRequest) -> None:
        self.counters.add(f"rejected.{e.status}")
        if self._reject_log_limit.allows():  # a client that sends errors at full speed must not flood the log
            logger.warning(
                "request rejected",
                extra=fields(
                    status=e.status,
                    reason=e,
                    method=request.method.decode("latin-1"),
                    target=request.target[:MAX_LOGGED_BYTES].decode("latin-1"),
                    id=request.headers.fields.get(CORRELATION_ID, b"")[:MAX_LOGGED_BYTES].decode("latin-1"),
                    client=connection.peer,
                ),
            )
        is_last = e.closes_connection or connection.is_last
        answer = text_answer(e.status, e.reason, is_last, e.extra_headers)
        if request.method == b"HEAD":
            answer = answer[: answer.index(b"\r\n\r\n") + 4]
        if e.closes_connection:
            connection.reply_and_close(answer)
        else:
            connection.reply(answer, is_last)

    def _reserve_id(self, request: Request, exchange: Exchange) -> ReservedId:
        """Reserve the id: two requests with one id must not reach a server, as no order may run twice."""
        id = request.headers.fields[CORRELATION_ID]
        is_repeatable = self._methods[exchange.class_index] == b"GET"
        reserved_id = self._request_ids.reserve(id, is_repeatable)
        if reserved_id is None:
            raise BadRequest(409, "X-Correlation-Id is in use")
        return reserved_id

    def _classify(self, request: Request) -> tuple[int, int, int, int, int]:
        """Return class, tenant, key, time left on arrival and expected work (both us); raises BadRequest."""
        target, headers = request.target, request.headers.fields
        class_name, key, can_forward = (
            read_target_cached if len(target) <= MAX_CACHED_TARGET_BYTES else read_target
        )(target)
        class_index = self._classes.get(class_name)
        if class_index is None:
            raise BadRequest(404, "the path's first part names no class")
        if not can_forward:
            raise BadRequest(400, "the target cannot be passed on unchanged")
        if request.method != (method := self._methods[class_index]):
            raise BadRequest(
                405, f"this class takes {method.decode()}", extra_headers=b"Allow: %b\r\n" % method
            )
        if request.body_size and method == b"GET":
            raise BadRequest(400, "a GET has no body here")
        if not headers.get(CORRELATION_ID):
            raise BadRequest(400, "X-Correlation-Id is missing")
        tenant = self._tenants.get(headers.get(ACCOUNT, b"")) if self._tenants else 0
        if tenant is None:
            raise BadRequest(400, "X-Account names no tenant")
        left_us = self._time_left_us(headers.get(TIME_LEFT), class_index)
        return class_index, tenant, key, left_us, _work_us(headers.get(FACTS))

    def _new_exchange(self, connection: ClientConnection, request: Request) -> Exchange:
        """Check a request and create its exchange; raises BadRequest."""
        class_index, tenant, key, left_us, work_us = self._classify(request)
        try:
            head = request.headers.forwarded()
        except HeaderError as e:
            raise BadRequest(400, str(e)) from None
        if (
            HOST not in request.headers.fields
        ):  # allowed in HTTP/1.0; servers are sent HTTP/1.1, which requires it
            head = b"Host: %b\r\n%b" % (self._name, head)
        return Exchange(
            Message(request.method, request.target, head, bytes(request.body), request.body_stream),
            class_index,
            tenant,
            key,
            left_us,
            work_us,
            request.headers.fields.get(REPEAT) == b"1",
            connection.on_answer,
            # The time that it waited, behind another request or to be read, counts against its deadline.
            request.arrived_us,
            connection.check_client_gone,
            connection.may_hide_close,
        )

    def _time_left_us(self, text: bytes | None, class_index: int) -> int:
        if text is None:
            return self._deadlines_us[class_index]
        try:
            left_s = float(text)
        except ValueError:
            left_s = -1.0
        if not 0 < left_s <= MAX_TIME_LEFT_S:
            raise BadRequest(400, "X-Time-Left is no number of seconds")
        # A client that announces more time than its class allows must not occupy a server for it.
        return max(1, min(int(left_s * 1e6), self._deadlines_us[class_index]) - NETWORK_MARGIN_US)


def holds_descriptor(connection: ClientConnection) -> bool:
    """Whether it holds a descriptor that is not being released already."""
    return connection.transport is not None and not connection.transport.is_closing()


def is_idle(connection: ClientConnection) -> bool:
    """Whether it has carried requests, and none has begun since."""
    return connection.has_sent_request and not connection.request_started_us


def longest_idle(connections: Iterable[ClientConnection]) -> ClientConnection | None:
    """The one that has been idle for longest, of those without unread bytes, which announce a request."""
    by_idle_time = sorted(connections, key=lambda c: c.idle_since_us)
    return next((c for c in by_idle_time if not has_unread(c)), None)


def is_closing(connection: ClientConnection) -> bool:
    """Whether it is closed or being closed."""
    transport = connection.transport
    return transport is None or connection.closing_since_us != 0 or transport.is_closing()


def has_unread(connection: ClientConnection) -> bool:
    """Whether bytes wait to be read; they may complete a request, which must then be answered."""
    return connection.transport is not None and has_unread_bytes(connection.transport)


def has_pending_io(connection: ClientConnection) -> bool:
    """Whether an answer is being written or bytes wait to be read."""
    transport = connection.transport
    if transport is None:
        return False
    return (
        connection.is_streaming_answer or transport.get_write_buffer_size() > 0 or has_unread_bytes(transport)
    )


def is_overdue(connection: ClientConnection, now: int, idle_s: float) -> bool:
    """Whether it exceeds a timeout: idle, sending a request, or reading an answer.  `now` in microseconds."""
    if connection.write_blocked_since_us:
        return (
            now - connection.write_blocked_since_us
            > (WRITE_TIMEOUT_S if connection.is_streaming_answer else REQUEST_TIMEOUT_S) * 1e6
        )
    if connection.closing_since_us:
        return now - connection.closing_since_us > WRITE_TIMEOUT_S * 1e6
    if connection.is_uploading:
        # What waits to be taken by a server has its own limit, the client's time.
        is_too_slow = now - connection.request_started_us > REQUEST_TIMEOUT_S * 1e6
        return is_too_slow and not connection.unread_since_us()
    if connection.is_busy or connection.ignores_input:
        return False
    if connection.request_started_us or not connection.has_sent_request:
        return now - (connection.request_started_us or connection.idle_since_us) > REQUEST_TIMEOUT_S * 1e6
    return now - connection.idle_since_us > idle_s * 1e6


def _work_us(facts: bytes | None) -> int:
    """Return the expected work that the client states; 0 if it states none."""
    if not facts:
        return 0
    try:
        return max(0, int(float(parse_name_values(facts.decode("latin-1")).get("expected_us", "0"))))
    except (ValueError, OverflowError):
        return 0
