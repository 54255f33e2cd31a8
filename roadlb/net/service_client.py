"""The clients' side, on aiohttp's low-level server: requests in, one final answer each out."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from http import HTTPStatus

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage

from ..config import Config
from ..counters import Counters
from ..engine import Engine
from ..exchange import Exchange, Message, Nack, Served
from ..log import fields
from ..policy.interface import Effect
from .connections import read_little
from .headers import ACCOUNT, CORRELATION_ID, FACTS, REPEAT, TIME_LEFT, end_to_end, name_values

logger = logging.getLogger(__name__)

BODY_MOST = 65_536
# What the way here and back takes off a client's time.  The bench measured at the 99th percentile, from a
# client's send to the first execution and from an instance's answer to the client, 2.9 and 2.0 ms on a calm
# day, 8.2 and 5.8 ms on an overloaded one.
MARGIN_US = 10_000
REQUEST_S = 2.6        # for a request to come whole, from its first byte, or from connecting for the first
IDLE_S = 10.0          # for a connection between requests
SPARE_IDLE_S = 2.0     # and if connections are not plentiful, the longest idle may go after this
PLENTY, FEW = 1 / 3, 3 / 4     # of the connections that there may be: up to here, and from here on
SILENT_S = 0.5         # a client that means to ask has asked by then
SWEEP_S = 0.25
LINGER_S = 0.3         # open, but not read, after an answer to a body cut off, so that the client reads why
TIME_LEFT_MOST_S = 3_600.0
RECENT_S = 5.0         # an id is not taken again for so long after its answer ...
RECENT_MOST = 20_000   # ... or until so many others have come
ACCEPT_AT_ONCE = 16    # connections in one turn of the loop, so that some can be closed in between
REJECTS_LOGGED = 20    # a second; the others are only counted


class BadRequest(Exception):
    """Input that is the client's fault; answered with a plain 4xx."""

    def __init__(self, status: HTTPStatus, reason: str, closes: bool = False, **headers: str) -> None:
        super().__init__(reason)
        self.status, self.reason, self.headers = status, reason, headers
        self.closes = closes               # what may follow on its connection is not read


def key_number(text: str) -> int:
    """A key as the module wants it: 64 bits, alike in every process; 0 stands for none."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "little") or 1 if text else 0


def passable(target: str) -> bool:
    """Would aiohttp's client write this target again byte for byte?  (A test holds it to that.)"""
    return target.isascii() and target.isprintable() and "#" not in target and target[-1:] != "?"


class _Connection(web.RequestHandler):
    """aiohttp's connection, which knows since when it waits for a request, or for the rest of one.

    What is no HTTP costs one log line and a counter, and no stack trace.
    """

    __slots__ = ("_client", "asked", "busy", "came", "deaf", "since", "started")

    def __init__(self, client: ServiceClient, loop: asyncio.AbstractEventLoop) -> None:
        # How long it is kept is decided in `ServiceClient.sweep`.
        super().__init__(client, loop=loop, auto_decompress=False, logger=logger, lingering_time=LINGER_S,
                         keepalive_timeout=3 * IDLE_S, access_log=None)  # type: ignore[arg-type]
        self._client = client
        self.since = loop.time()       # its last answer was out, or it was opened
        self.started = 0.0             # the first byte of a request whose head is not whole came, if one has
        self.came: deque[tuple[float, float]] = deque()    # first bytes and heads of those that wait in line
        self.asked = self.busy = self.deaf = False

    def data_received(self, data: bytes) -> None:
        waiting = len(self._messages)
        super().data_received(data)
        now, new = self._loop.time(), len(self._messages) - waiting
        if new:
            self.came.extend([(self.started or (now if self.asked else self.since), now)] * new)
            self.started = 0.0
        elif data and not self.busy and not self._messages and not self.started:
            self.started = now

    def overdue(self, now: float, idle_s: float) -> bool:
        """Has it been silent, or at one request, for too long?"""
        if self.busy or self._messages:
            return False
        if self.started or not self.asked:
            return now - (self.started or self.since) > REQUEST_S
        return now - self.since > idle_s

    def stop_reading(self) -> None:
        """Take nothing more in, however much is sent: reading 60 MB to the end would cost others time."""
        self.deaf = True
        self._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self.deaf:
            super()._resume_transport_reading()

    def handle_error(self, request: web.BaseRequest, status: int = 500, exc: BaseException | None = None,
                     message: str | None = None) -> web.StreamResponse:
        if status >= 500:
            self._client.counters.add("fault.client")
            logger.error("request failed", exc_info=exc)
        else:
            self._client.reject(request, status, "not HTTP")
        response = web.Response(status=status, text=HTTPStatus(status).phrase)
        response.force_close()
        return response


class ServiceClient(web.Server):
    """Accepts clients' connections; `loop.create_server` takes it as the protocol factory."""

    def __init__(self, config: Config, engine: Engine, counters: Counters, ready: Callable[[], bool]) -> None:
        super().__init__(self._handle, request_factory=self._new_request, handler_cancellation=True)
        self.counters, self._engine, self._ready = counters, engine, ready
        self._classes = {c.name: i for i, c in enumerate(config.settings.classes)}
        self._methods = ["GET" if c.effect is Effect.SAFE else "POST" for c in config.settings.classes]
        self._deadlines = [c.deadline_us for c in config.settings.classes]
        self._tenants = {t.name: i for i, t in enumerate(config.settings.tenants)}
        self._most = config.client_sockets
        self._ids: dict[str, float] = {}       # open or answered lately, with the time until which they count
        self._logged, self._logged_in = 0, 0
        self.draining = False

    async def sweep_for_ever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.sweep()

    def sweep(self) -> None:
        """End the connections that have been silent or idle for too long, and forget old ids."""
        now, quiet = self._loop.time(), self._quiet()
        # Clients hold only so many connections: one that is kept idle is one that another may be waiting for.
        idle_s = IDLE_S if len(self._connections) <= self._most * PLENTY else SPARE_IDLE_S
        for connection in quiet:
            if connection.overdue(now, idle_s):
                self.counters.add("client.overdue")
                connection.force_close()
        while self._ids and ((until := self._ids[id := next(iter(self._ids))]) <= now
                             or len(self._ids) > RECENT_MOST and until < math.inf):
            del self._ids[id]

    def _quiet(self) -> list[_Connection]:
        return [c for c in self.connections if isinstance(c, _Connection) and c.transport and not c.busy]

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Past the limit of connections, each new one costs another: one that says nothing, or idles.

        To close one that idles harms least: a request that crosses it is sent once more.
        """
        super().connection_made(handler, transport)
        read_little(transport)
        if len(self._connections) <= self._most:
            return
        if len(self._connections) - sum(c.transport is None for c in self.connections) <= self._most:
            return                     # others are just being closed
        quiet, before = self._quiet(), self._loop.time() - SILENT_S
        silent = [c for c in quiet if not c.asked]         # the new one is the last of them
        idle = [c for c in quiet if c.asked and not c.started]
        self.counters.add("client.crowded")
        min([c for c in silent if c.since < before] or idle or silent[:-1] or silent,
            key=lambda c: c.since).force_close()

    def __call__(self) -> _Connection:
        return _Connection(self, self._loop)

    def _new_request(self, message: RawRequestMessage, payload: StreamReader, protocol: web.RequestHandler,
                     writer: AbstractStreamWriter, task: asyncio.Task[None]) -> web.BaseRequest:
        return web.BaseRequest(message, payload, protocol, writer, task, self._loop,
                               client_max_size=BODY_MOST)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, _Connection)
        connection.asked = connection.busy = True
        began, came = connection.came.popleft() if connection.came else (self._loop.time(),) * 2
        try:
            if request.path == "/healthz":
                response = web.Response(status=200 if self._ready() else 503)
            else:
                response = await self._serve(request, connection, began, came)
        finally:
            connection.busy, connection.since = False, self._loop.time()
        if self.draining or len(self._connections) > self._most * FEW:
            response.force_close()         # ends the connection once the answer is out
        return response

    def reject(self, request: web.BaseRequest, status: int, reason: str) -> None:
        self.counters.add(f"rejected.{status}")
        second = int(self._loop.time())
        self._logged = self._logged + 1 if second == self._logged_in else 1
        self._logged_in = second
        if self._logged > REJECTS_LOGGED:      # whoever sends faults at full speed must not fill the log too
            return
        logger.warning("request rejected", extra=fields(
            status=status, reason=reason, method=request.method, target=request.raw_path[:200]))

    async def _serve(self, request: web.BaseRequest, connection: _Connection, began: float,
                     came: float) -> web.Response:
        try:
            body = await self._body(request, began + REQUEST_S)
            # A request that waited in line behind another on its connection has used that time up.
            exchange = self._exchange(request, body, int((self._loop.time() - came) * 1e6))
            id = self._take_id(request)
        except BadRequest as e:
            self.reject(request, e.status, e.reason)
            response = web.Response(status=e.status, text=e.reason + "\n", headers=e.headers)
            if e.closes:
                connection.stop_reading()
                response.force_close()
            return response
        try:
            self._engine.open(exchange)
            answer = await exchange.answered
        except asyncio.CancelledError:
            self._engine.client_gone(exchange)
            raise
        finally:
            # Last in the table again, as the oldest are forgotten first.
            del self._ids[id]
            self._ids[id] = self._loop.time() + RECENT_S
        if isinstance(answer, Served):
            return web.Response(body=answer.body, headers=list(answer.headers))
        if isinstance(answer, Nack):
            return web.Response(status=503, headers={"Retry-After": f"{answer.retry_after_us / 1e6:.3f}"})
        return web.Response(status=502, text=answer.reason + "\n")

    def _take_id(self, request: web.BaseRequest) -> str:
        """An id that is open must not reach an instance twice, whoever sends it: orders never run twice."""
        id = request.headers[CORRELATION_ID]
        if self._ids.get(id, 0.0) > self._loop.time():
            raise BadRequest(HTTPStatus.CONFLICT, f"{CORRELATION_ID} is in use")
        self._ids.pop(id, None)
        self._ids[id] = math.inf
        return id

    async def _body(self, request: web.BaseRequest, until: float) -> bytes:
        if not request.body_exists:
            return b""
        try:
            if (request.content_length or 0) > BODY_MOST:
                raise web.HTTPRequestEntityTooLarge(BODY_MOST, request.content_length or 0)
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                request.writer.output_size = 0       # nothing of the answer has gone out
            async with asyncio.timeout_at(until):
                return await request.read()
        except TimeoutError:
            raise BadRequest(HTTPStatus.REQUEST_TIMEOUT, "the body did not come", closes=True) from None
        except web.HTTPRequestEntityTooLarge:
            raise BadRequest(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large", closes=True) from None
        except web.RequestPayloadError:
            raise BadRequest(HTTPStatus.BAD_REQUEST, "the body is malformed", closes=True) from None

    def _exchange(self, request: web.BaseRequest, body: bytes, waited_us: int) -> Exchange:
        """Check a request and put into an exchange what the two sides need to know of it."""
        target, headers = request.raw_path, request.headers
        path = target.partition("?")[0]
        parts = path.split("/")
        class_index = self._classes.get(parts[1] if len(parts) > 1 else "")
        if not target.startswith("/") or class_index is None:
            raise BadRequest(HTTPStatus.NOT_FOUND, "the path's first part names no class")
        # The client side must write exactly these bytes again.
        if not passable(target):
            raise BadRequest(HTTPStatus.BAD_REQUEST, "the target cannot be passed on unchanged")
        if request.method != (method := self._methods[class_index]):
            raise BadRequest(HTTPStatus.METHOD_NOT_ALLOWED, f"this class takes {method}", Allow=method)
        if body and request.method == "GET":
            raise BadRequest(HTTPStatus.BAD_REQUEST, "a GET has no body here")
        if not headers.get(CORRELATION_ID):
            raise BadRequest(HTTPStatus.BAD_REQUEST, f"{CORRELATION_ID} is missing")
        tenant = self._tenants.get(headers.get(ACCOUNT, "")) if self._tenants else 0
        if tenant is None:
            raise BadRequest(HTTPStatus.BAD_REQUEST, f"{ACCOUNT} names no tenant")
        return Exchange(
            Message(request.method, target, end_to_end(headers.items()), body), class_index, tenant,
            key_number(parts[-1] if len(parts) > 2 else ""),
            max(1, self._left_us(headers.get(TIME_LEFT), class_index) - waited_us),
            _work_us(headers.get(FACTS, "")), headers.get(REPEAT) == "1",
            asyncio.get_running_loop().create_future())

    def _left_us(self, text: str | None, class_index: int) -> int:
        if text is None:
            return self._deadlines[class_index]
        try:
            left = float(text)
        except ValueError:
            left = -1.0
        if not 0 < left <= TIME_LEFT_MOST_S:
            raise BadRequest(HTTPStatus.BAD_REQUEST, f"{TIME_LEFT} is no number of seconds")
        # No client waits for longer than its class allows; one that says so must not hold an instance.
        return min(int(left * 1e6), self._deadlines[class_index]) - MARGIN_US


def _work_us(facts: str) -> int:
    """The expected work, where the client knows it."""
    try:
        return max(0, int(float(name_values(facts).get("expected_us", "0"))))
    except (ValueError, OverflowError):
        return 0
