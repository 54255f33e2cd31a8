"""One client's connection: bytes in, whole requests in turn, one answer out for each.

What a request means is `service_client`'s matter.  Here is what HTTP/1.1 makes of the bytes, on httptools'
parser, and when the connection reads, waits, and ends.

    head ──> body ──> waiting in line ──> open (at the engine) ──> answered ──> head ...
     │        │                              │
     └────────┴── faulty: answered in turn with a 4xx, then the connection ends

A request whose body is too long to hold is open before that is whole: the connection is the body's source, as
it is the sink of an answer that flows.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from ..exchange import Answer, Exchange, Served
from ..flow import Flow
from .headers import EXPECT, HOST, Faulty, Headers
from .http import BODY_MOST, CONTINUE, HEAD_MOST, LAST_CHUNK, answered, began, chunk
from .sockets import bound, far_end_left

if TYPE_CHECKING:
    from .service_client import ServiceClient

SLICE = 16_384  # bytes parsed before what is whole among them is served
BYTE_US = 60  # a body's byte may take so long: 16 kB a second, where clients send 64 kB at the least
HELD_MOST = 65_536  # bytes kept that cannot be served yet; then reading stops
DISCARDED_MOST = 1_048_576  # bytes thrown away once nothing more is read as a request; then reading stops


NO_HEADERS = Headers()


def origin_form(target: bytes) -> bytes:
    """Path and query of a target in absolute form (RFC 9112, 3.2.2); any other as it is."""
    scheme, _, rest = target.partition(b"://")
    authority, slash, path = rest.partition(b"/")
    if scheme.lower() != b"http" or not authority or b"?" in authority:
        return target
    return slash + path


class BadRequest(Exception):
    """Input that is the client's fault; answered with a plain 4xx."""

    def __init__(
        self, status: int, reason: str, closes: bool = False, lingers: bool = False, more: bytes = b""
    ) -> None:
        super().__init__(reason)
        self.status, self.reason, self.more = status, reason, more
        self.closes = closes  # what may follow on its connection is not read
        self.lingers = lingers  # the rest of it is likely to come all the same


class Request:
    """A request as it is read."""

    __slots__ = (
        "body",
        "came_us",
        "faulty",
        "flow",
        "given_up",
        "head_size",
        "head_whole",
        "headers",
        "keep",
        "length",
        "method",
        "newest",
        "offered",
        "size",
        "target",
        "trailer_size",
    )

    def __init__(self, came_us: int) -> None:
        self.came_us = came_us  # when its last byte came; at first, when its first did
        self.length = -1  # of its body, where it is told
        self.flow: Flow | None = None  # the rest of its body, while that comes
        self.newest = True  # it is HTTP/1.1
        self.method = self.target = b""
        self.headers = NO_HEADERS  # till the head is whole
        self.body: list[bytes] = []
        self.size = self.trailer_size = 0  # of the body and what is behind it, so far
        self.head_size = 0  # by whole segments
        self.faulty: BadRequest | None = None
        self.head_whole = False
        self.keep = False  # may its connection go on after it?
        self.offered = False  # the module has been asked whether to read its body
        self.given_up = False  # answered already: what is left of it is skipped


class ClientConnection:
    """An asyncio.Protocol by its methods; times are microseconds of the program's clock.

    Not by its base: a compiled class with a base that is not costs a quarter more of each request.
    """

    __slots__ = (
        "_came_us",
        "_chunked",
        "_client",
        "_discarded",
        "_flow",
        "_flow_ended",
        "_held",
        "_held_us",
        "_last",
        "_newest",
        "_pairs",
        "_parser",
        "_pumping",
        "_reading",
        "_reading_on",
        "_upload",
        "_waiting",
        "_wanted",
        "asked",
        "deaf",
        "exchange",
        "id",
        "since_us",
        "started_us",
        "stuck_us",
        "transport",
        "unwanted_us",
    )

    def __init__(self, client: ServiceClient) -> None:
        self._client = client
        self._parser = HttpRequestParser(self)
        self._reading: Request | None = None  # not whole yet
        self._pairs: list[tuple[bytes, bytes]] | None = None  # its headers, while its head is not
        self._waiting: deque[Request] = deque()  # whole, or faulty, behind the open one
        self._held, self._held_us = b"", 0  # not parsed yet, and when the first of it came
        self._came_us = 0
        self._discarded = 0  # bytes that came once it was deaf
        self._last = False  # the open request's answer ends the connection
        self._pumping, self._reading_on = False, True
        self._upload: Flow | None = None  # the open request's body, while it comes
        self._wanted = False  # more of that is wanted
        self.unwanted_us = 0  # since when not, while it comes
        self._flow: Flow | None = None  # the answer's body, while it comes
        self._flow_ended = self._chunked = False  # all of that has come; it goes out in chunks
        self._newest = True  # the open request is HTTP/1.1
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None  # the open one
        self.id = b""  # and its correlation id
        self.since_us = client.clock()  # its last answer was out, or it was opened
        self.started_us = 0  # the first byte of a request not yet whole, if any
        self.stuck_us = 0  # since when the client has not taken an answer
        self.asked = False  # a request has come whole
        self.deaf = False  # nothing more is read

    # The transport's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=SLICE)
        self._client.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._client.disconnected(self)
        self._client_left()

    def eof_received(self) -> None:
        """The client has closed: what it asked for is called off now, and the transport closes as well.

        `connection_lost` may come much later: only when all that was written is out, which a client that
        has gone never takes.
        """
        self._client_left()

    def _client_left(self) -> None:
        """Nobody waits for an answer any more: nothing further begins, and what is open is called off."""
        self._ignore_rest()
        self._client.abandon(self)
        upload, self._upload = self._upload, None
        flow, self._flow = self._flow, None
        if upload is not None:
            upload.end(False)
        if flow is not None:
            flow.drop()

    def check_left(self) -> bool:
        """Has the client closed behind bytes that are not read?  Then it is treated as any that leaves.

        Only while reading is paused: otherwise the transport tells.
        """
        if self._reading_on or self.transport is None or not far_end_left(self.transport):
            return False
        self._client_left()
        self.transport.close()
        return True

    def data_received(self, data: bytes) -> None:
        if not self.transport:
            return
        if self.deaf:
            self._discarded += len(data)
            if self._discarded > DISCARDED_MOST:
                self._read_on(False)
            return
        came = self._client.came_us(self.transport)
        if self._upload is not None:
            self._held += data
            self._came_us = came
            self._pump()
            return
        if self.exchange or self._waiting or self._held or self.stuck_us or self._flow is not None:
            self._held_us = self._held_us if self._held else came
            self._held += data
            if len(self._held) > HELD_MOST:
                self._read_on(False)
            return
        if self._client.short and self._reading is None and (refusal := self._client.refuse_at_once(data)):
            self.asked, self.since_us = True, came
            self._write(refusal)
            if self._client.ending:
                self.close()
            return
        self._came_us, self._held = came, data
        self._pump()

    def pause_writing(self) -> None:
        """The client does not take its answer: it gets no further one before it has.

        Reading goes on, within its bound: else the client's close would not be noticed.
        """
        self.stuck_us = self._client.clock()
        if self._flow is not None:
            self._flow.want(False)

    def resume_writing(self) -> None:
        self.stuck_us = 0
        if self._flow_ended:
            self._flow_over()
        elif self._flow is not None:
            self._flow.want(True)
        self._pump()

    def _read_on(self, on: bool) -> None:
        if self.transport and on is not self._reading_on and not self.transport.is_closing():
            self._reading_on = on
            if on:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()
                self._client.watch_paused(self)

    @property
    def reading_paused(self) -> bool:
        """Is it open, and does the transport tell nothing of a close?"""
        return not self._reading_on and self.transport is not None and not self.transport.is_closing()

    # The parser's side

    def on_message_begin(self) -> None:
        self._reading, self._pairs = Request(self._came_us), []
        self.started_us = self.started_us or self._came_us

    def on_url(self, url: bytes) -> None:
        if self._reading:
            self._reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._pairs is not None:
            self._pairs.append((name, value))
        elif request := self._reading:  # a trailer, of which nothing is passed on
            request.trailer_size += len(name) + len(value) + 4
            if request.trailer_size > HEAD_MOST:
                self._fault(BadRequest(400, "the trailers are too large", closes=True))

    def on_headers_complete(self) -> None:
        request, pairs, self._pairs = self._reading, self._pairs, None
        if not request or pairs is None:
            return
        request.head_whole, self.started_us = True, self._came_us  # the body's time begins
        if request.target[:1] != b"/":
            request.target = origin_form(request.target)
        request.method = self._parser.get_method()
        request.headers = headers = Headers(pairs)
        version = self._parser.get_http_version()
        newest = version == "1.1"
        request.newest = newest
        request.keep = newest and self._parser.should_keep_alive()
        if headers.size + len(request.target) > HEAD_MOST:
            self._fault(BadRequest(400, "the head is too large", closes=True))
        elif not newest and version != "1.0":
            self._fault(BadRequest(400, "this is no HTTP/1.1 or 1.0", closes=True))
        elif headers.twice or newest and HOST not in headers.fields:
            self._fault(BadRequest(400, "Host and the X-headers must be told once", closes=True))
        elif headers.encodings and not newest:
            self._fault(BadRequest(400, "no chunks in this version", closes=True))
        else:
            try:
                length = headers.framing()
                request.length = -1 if length is None else max(0, length)
                if self._parser.should_upgrade() and length not in (-1, 0):
                    # The parser would take the body for the other protocol's bytes.
                    self._fault(BadRequest(400, "no body goes with an upgrade", closes=True))
                elif length and length > BODY_MOST:
                    self._fault(BadRequest(413, "the body is too large", closes=True, lingers=True))
            except Faulty as e:
                self._fault(BadRequest(400, str(e), closes=True))

    def on_body(self, body: bytes) -> None:
        request = self._reading
        if not request:
            return
        request.size += len(body)
        if self.started_us:  # who sends at a fair rate has the time for it
            self.started_us = min(self._came_us, self.started_us + len(body) * BYTE_US)
        if request.size > BODY_MOST:
            self._fault(BadRequest(413, "the body is too large", closes=True))
        elif self._upload is not None:
            self._upload.piece(body)
        elif not request.given_up:
            request.body.append(body)

    def on_message_complete(self) -> None:
        request, self._reading, self.started_us = self._reading, None, 0
        if not request:
            return
        request.came_us = self._came_us
        if self._upload is not None:
            upload, self._upload, self.unwanted_us = self._upload, None, 0
            upload.end(True)
            self._client.uploaded(self)
        elif not request.given_up:
            self._waiting.append(request)

    def _fault(self, fault: BadRequest) -> None:
        """What is being read cannot be; in its turn it is answered so, and nothing behind it is read."""
        request = self._reading or Request(self._came_us)
        self._reading = None
        self.deaf, self._held = True, b""
        if self._upload is not None:
            upload, self._upload = self._upload, None
            self._client.abandon(self)
            upload.end(False)
        if not request.given_up:
            request.faulty = fault
            self._waiting.append(request)

    # Requests in turn

    def _pump(self) -> None:
        """Serve what is whole, then parse on, until one is open or no bytes are left."""
        if self._pumping:
            return
        self._pumping = True
        try:
            while self.transport:
                if not self._reading_on and self.check_left():
                    break
                if self._upload is not None:
                    if not self._wanted:
                        break
                elif self.exchange or self.stuck_us or self._flow is not None:
                    break
                if self._waiting:
                    self._serve(self._waiting.popleft())
                elif self._held and not self.deaf:
                    data, self._held = self._held, b""
                    if len(data) > SLICE:
                        data, self._held = data[:SLICE], data[SLICE:]
                    self._parse(data)
                    request = self._reading
                    if (
                        request
                        and request.size > self._client.hold
                        and not request.given_up
                        and (self._upload is None and not self.exchange and not self.deaf)
                    ):
                        self._begin_upload(request)
                else:
                    break
        finally:
            self._pumping = False
        if not self.deaf:
            if (
                not self._reading_on
                and len(self._held) <= HELD_MOST // 2
                and (self._upload is None or self._wanted)
            ):
                self._read_on(True)
            request = self._reading
            if request and request.head_whole and not request.offered and not self.exchange:
                self._offer(request)

    def _parse(self, data: bytes) -> None:
        if self._held_us:
            self._came_us = self._held_us
            if not self._held:
                self._held_us = 0
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # The request is served as any other; what comes behind it is another protocol's.
            self.deaf = True
            if self._waiting:
                self._waiting[-1].keep = False
            return
        except HttpParserError:
            if not self.deaf:
                self._fault(BadRequest(400, "not HTTP", closes=True))
            return
        request = self._reading
        if request and not request.head_whole:
            request.head_size += len(data)
            if request.head_size > HEAD_MOST:  # blanks included; a whole head is measured without
                self._fault(BadRequest(400, "the head is too large", closes=True))

    def _offer(self, request: Request) -> None:
        """Its head is whole and its body is not: it is refused now if it would be then, else read on."""
        request.offered = True
        if nack := self._client.offer(request):
            request.given_up = True
            request.body.clear()
            self._write(answered(nack, last=False))
        elif request.headers.fields.get(EXPECT, b"").lower() == b"100-continue" and not request.size:
            self._write(CONTINUE)

    # The source of a request's body

    def _begin_upload(self, request: Request) -> None:
        """The body is too long to hold: the request is served now, and the rest goes on as it comes."""
        request.flow = self._upload = Flow(request.length, self)
        self.flow_want(False)
        bound(self.transport)
        request.came_us = self._came_us
        self._serve(request)
        if self.exchange is None and self._upload is not None:  # answered at once: the rest is not read
            self._upload = None

    def flow_want(self, on: bool) -> None:
        if self._upload is None:
            return
        self._wanted, self.unwanted_us = on, 0 if on else self._client.clock()
        self.started_us = self._client.clock()
        self._read_on(on)
        if on:
            self._pump()

    def flow_dropped(self) -> None:
        """Whoever answers decides what becomes of the rest."""

    # The sink of an answer's body

    def _begin_flow(self, answer: Served, flow: Flow, last: bool) -> None:
        """The answer's head goes out, and its body as it comes."""
        self._flow, self._flow_ended = flow, False
        self._chunked = flow.size < 0 and self._newest
        self._last = last or flow.size < 0 and not self._newest
        bound(self.transport)
        self._write(began(answer, self._last, self._chunked))
        flow.attach(self)
        flow.want(not self.stuck_us)

    def flow_piece(self, data: bytes) -> None:
        self._write(chunk(data) if self._chunked else data)

    def flow_end(self, whole: bool) -> None:
        flow = self._flow
        if flow is None:
            return
        if whole:
            self._flow_ended = True
            if self._chunked:
                self._write(LAST_CHUNK)
            if not self.stuck_us:
                self._flow_over()
            return
        self._flow = None
        flow.over(False)
        if flow.size >= 0 or self._chunked:
            self.close()  # it ends short of what its head or its last chunk would tell
        else:
            self.abort()  # nothing but a reset tells that it is not whole

    def _flow_over(self) -> None:
        flow, self._flow, self._flow_ended = self._flow, None, False
        if flow is not None:
            flow.over(True)
        self.since_us = self._client.clock()
        if self._last:
            self.close()
        else:
            self._pump()

    def _serve(self, request: Request) -> None:
        self.asked, self._newest = True, request.newest
        self._last = not request.keep
        self._client.serve(self, request)

    def on_answer(self, exchange: Exchange, answer: Answer) -> None:
        """The engine's final answer to the open exchange."""
        self.exchange = None
        self._client.answered(self)
        last = self.last
        if isinstance(answer, Served) and answer.flow is not None:
            self._begin_flow(answer, answer.flow, last)
            return
        if self._upload is not None:
            self.reject(answered(answer, last), lingers=True)
            return
        self._write(answered(answer, last))
        if last:
            self.close()
        self._pump()

    @property
    def last(self) -> bool:
        """Is the answer that is due the last on this connection?"""
        return self._last or self._client.ending or self._upload is not None

    def reply(self, data: bytes) -> None:
        """Write an answer that no exchange brought, made for `last` as it is."""
        self.since_us = self._client.clock()
        if self._upload is not None:
            self.reject(data, lingers=True)
            return
        self._write(data)
        if self.last:
            self.close()

    def reject(self, data: bytes, lingers: bool) -> None:
        """Write the answer to what was faulty, and read nothing more, however much is sent.

        One that lingers stays open for a little, so that the client can read why: to close it on bytes that
        still come would reset it.
        """
        self._write(data)
        self._upload = self._reading = None
        if not lingers:
            self.close()
            return
        self.deaf, self._held = True, b""
        self._waiting.clear()
        if self.transport and not self.transport.is_closing():
            self._read_on(False)
            self._client.linger(self)

    def _write(self, data: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            try:
                self.transport.write(data)
            except RuntimeError:  # uvloop, where it has closed it and not said so yet
                self.deaf = True

    # Ends

    @property
    def busy(self) -> bool:
        """Is a request open, or waiting in line?"""
        return self.exchange is not None or bool(self._waiting) or self._flow is not None

    @property
    def uploading(self) -> bool:
        """Is a request open whose body still comes?"""
        return self._upload is not None

    @property
    def flowing(self) -> bool:
        """Is an answer on its way?"""
        return self._flow is not None

    @property
    def reading_body(self) -> bool:
        return self._reading is not None and self._reading.head_whole and not self._reading.given_up

    def time_out(self) -> None:
        """The rest of a request has not come in its time."""
        if self.unwanted_us and self._upload is not None:
            self._fault(BadRequest(504, "no node took the body", closes=True, lingers=True))
            self._pump()
        elif self.reading_body:
            self._fault(BadRequest(408, "the body did not come", closes=True, lingers=True))
            self._pump()
        else:
            self.close()

    def _ignore_rest(self) -> None:
        """Nothing more that has come or comes is a request."""
        self.deaf, self._held, self._reading, self.started_us = True, b"", None, 0
        self._waiting.clear()

    def close(self) -> None:
        """End it once what was written is out."""
        self._ignore_rest()
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        """End it at once."""
        self.deaf = True
        if self.transport:
            self.transport.abort()
