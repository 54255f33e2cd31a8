"""One client's connection: bytes in, whole requests in turn, one answer out for each.

What a request means is `frontend`'s matter.  Here is what HTTP/1.1 makes of the bytes, on httptools'
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

from ..exchange import Answer, Exchange, Response
from ..body_stream import BodyStream
from .headers import EXPECT, HOST, Faulty, Headers
from .http import BODY_MOST, CONTINUE, HEAD_MOST, LAST_CHUNK, answered, began, chunk
from .sockets import bound, far_end_left, unread

if TYPE_CHECKING:
    from ..wheel import Timer
    from .frontend import Frontend

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

    def __init__(self, status: int, reason: str, closes: bool = False, more: bytes = b"") -> None:
        super().__init__(reason)
        self.status, self.reason, self.more = status, reason, more
        self.closes = closes  # what may follow on its connection is no request


class Request:
    """A request as it is read."""

    __slots__ = (
        "body",
        "came_us",
        "faulty",
        "body_stream",
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
        self.body_stream: BodyStream | None = None  # the rest of its body, while that comes
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
        "_body_stream",
        "_flow_ended",
        "_held",
        "_held_us",
        "_last",
        "_lingering",
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
        "closing_us",
        "deaf",
        "exchange",
        "id",
        "since_us",
        "started_us",
        "stuck_us",
        "transport",
        "unwanted_us",
    )

    def __init__(self, client: Frontend) -> None:
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
        self._upload: BodyStream | None = None  # the open request's body, while it comes
        self._wanted = False  # more of that is wanted
        self.unwanted_us = 0  # since when not, while it comes
        self._body_stream: BodyStream | None = None  # the answer's body, while it comes
        self._flow_ended = self._chunked = False  # all of that has come; it goes out in chunks
        self._newest = True  # the open request is HTTP/1.1
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None  # the open one
        self.id = b""  # and its correlation id
        self.since_us = client.clock()  # its last answer was out, or it was opened
        self.started_us = 0  # the first byte of a request not yet whole, if any
        self.stuck_us = 0  # since when the client has not taken an answer
        self.closing_us = 0  # since when it is being closed, by either side
        self._lingering: Timer | None = None
        self.asked = False  # a request has come whole
        self.deaf = False  # nothing more is read

    # The transport's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=SLICE)
        self._client.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self._lingering is not None:
            self._lingering.cancel()
        self._client.disconnected(self)
        self._client_left()

    def eof_received(self) -> None:
        """The client has closed: what it asked for is called off now, and the transport closes as well.

        `connection_lost` may come much later: only when all that was written is out, which a client that
        has gone never takes.
        """
        self.closing_us = self.closing_us or self._client.clock()
        self._client_left()

    def _client_left(self) -> None:
        """Nobody waits for an answer any more: nothing further begins, and what is open is called off."""
        self._ignore_rest()
        self._client.abandon(self)
        upload, self._upload = self._upload, None
        body_stream, self._body_stream = self._body_stream, None
        if upload is not None:
            upload.feed_end(False)
        if body_stream is not None:
            body_stream.discard()

    def check_client_gone(self) -> bool:
        """Has the client closed, be it behind unread bytes?  Then it is treated as any that leaves."""
        if self.transport is None or not far_end_left(self.transport):
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
        if self.exchange or self._waiting or self._held or self.stuck_us or self._body_stream is not None:
            self._held_us = self._held_us if self._held else came
            self._held += data
            if len(self._held) > HELD_MOST:
                self._read_on(False)
            return
        if self._client.short and self._reading is None:
            last = self.last
            if refusal := self._client.refuse_at_once(data, last):
                self.asked, self.since_us = True, came
                self._write(refusal)
                if last:
                    self.close()
                return
        self._came_us, self._held = came, data
        self._pump()

    def pause_writing(self) -> None:
        """The client does not take its answer: it gets no further one before it has.

        Reading goes on, within its bound: else the client's close would not be noticed.
        """
        self.stuck_us = self._client.clock()
        if self._body_stream is not None:
            self._body_stream.set_reading(False)

    def resume_writing(self) -> None:
        self.stuck_us = 0
        if self._flow_ended:
            self._flow_over()
        elif self._body_stream is not None:
            self._body_stream.set_reading(True)
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
            self._fault(BadRequest(431, "the head is too large", closes=True))
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
                    self._fault(BadRequest(413, "the body is too large", closes=True))
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
            self._upload.feed_data(body)
        elif not request.given_up:
            request.body.append(body)

    def on_message_complete(self) -> None:
        request, self._reading, self.started_us = self._reading, None, 0
        if not request:
            return
        request.came_us = self._came_us
        if self._upload is not None:
            upload, self._upload, self.unwanted_us = self._upload, None, 0
            upload.feed_end(True)
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
            upload.feed_end(False)
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
                if not self._reading_on and self.check_client_gone():
                    break
                if self._upload is not None:
                    if not self._wanted:
                        break
                elif self.exchange or self.stuck_us or self._body_stream is not None:
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
                self._fault(BadRequest(431, "the head is too large", closes=True))

    def _offer(self, request: Request) -> None:
        """Its head is whole and its body is not: it is refused now if it would be then, else read on."""
        request.offered = True
        if refusal := self._client.offer(request):
            request.given_up = True
            request.body.clear()
            self._write(answered(refusal, last=False))
        elif request.headers.fields.get(EXPECT, b"").lower() == b"100-continue" and not request.size:
            self._write(CONTINUE)

    # The source of a request's body

    def _begin_upload(self, request: Request) -> None:
        """The body is too long to hold: the request is served now, and the rest goes on as it comes."""
        request.body_stream = self._upload = BodyStream(request.length, self)
        self.set_body_reading(False)
        bound(self.transport)
        request.came_us = self._came_us
        self._serve(request)
        if self.exchange is None and self._upload is not None:  # answered at once: the rest is not read
            self._upload = None

    def set_body_reading(self, on: bool) -> None:
        if self._upload is None:
            return
        self._wanted, self.unwanted_us = on, 0 if on else self._client.clock()
        self.started_us = self._client.clock()
        self._read_on(on)
        if on:
            self._pump()

    def body_abandoned(self) -> None:
        """Whoever answers decides what becomes of the rest."""

    # The sink of an answer's body

    def _begin_flow(self, answer: Response, body_stream: BodyStream, last: bool) -> None:
        """The answer's head goes out, and its body as it comes."""
        self._body_stream, self._flow_ended = body_stream, False
        self._chunked = body_stream.size < 0 and self._newest
        self._last = last or body_stream.size < 0 and not self._newest
        bound(self.transport)
        self._write(began(answer, self._last, self._chunked))
        body_stream.attach(self)
        body_stream.set_reading(not self.stuck_us)

    def body_data(self, data: bytes) -> None:
        self._write(chunk(data) if self._chunked else data)

    def body_end(self, whole: bool) -> None:
        body_stream = self._body_stream
        if body_stream is None:
            return
        if whole:
            self._flow_ended = True
            if self._chunked:
                self._write(LAST_CHUNK)
            if not self.stuck_us:
                self._flow_over()
            return
        self._body_stream = None
        body_stream.report_end(False)
        if body_stream.size >= 0 or self._chunked:
            self.close()  # it ends short of what its head or its last chunk would tell
        else:
            self.abort()  # nothing but a reset tells that it is not whole

    def _flow_over(self) -> None:
        body_stream, self._body_stream, self._flow_ended = self._body_stream, None, False
        if body_stream is not None:
            body_stream.report_end(True)
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
        if isinstance(answer, Response) and answer.body_stream is not None:
            self._begin_flow(answer, answer.body_stream, last)
            return
        if self._upload is not None:
            self.reject(answered(answer, last))
            return
        self._write(answered(answer, last))
        if last:
            self.close()
        self._pump()

    @property
    def last(self) -> bool:
        """Is the answer that is due the last on this connection?"""
        if self._last or self._upload is not None:
            return True
        return self._client.ending and not self._more_has_come

    @property
    def _more_has_come(self) -> bool:
        """Is there something behind the open request?  It may be a whole one, which is owed an answer."""
        if self._waiting or self._held or self._reading is not None:
            return True
        return self.transport is not None and unread(self.transport)

    def reply(self, data: bytes, last: bool) -> None:
        """Write an answer that no exchange brought; `last`: it says that its connection ends with it."""
        self.since_us = self._client.clock()
        if self._upload is not None:
            self.reject(data)
            return
        self._write(data)
        if last:
            self.close()

    def reject(self, data: bytes) -> None:
        """Write the answer to what was faulty; nothing that is sent behind it is a request."""
        self._write(data)
        self._upload = self._reading = None
        self.close()

    def _write(self, data: bytes) -> None:
        if self.transport and not self.closing_us and not self.transport.is_closing():
            try:
                self.transport.write(data)
            except RuntimeError:  # uvloop, where it has closed it and not said so yet
                self.deaf = True

    # Ends

    @property
    def busy(self) -> bool:
        """Is a request open, or waiting in line?"""
        return self.exchange is not None or bool(self._waiting) or self._body_stream is not None

    @property
    def uploading(self) -> bool:
        """Is a request open whose body still comes?"""
        return self._upload is not None

    @property
    def flowing(self) -> bool:
        """Is an answer on its way?"""
        return self._body_stream is not None

    def time_out(self) -> None:
        """The rest of a request has not come in its time."""
        if self.unwanted_us and self._upload is not None:
            self._fault(BadRequest(504, "no node took the body", closes=True))
            self._pump()
        elif self._reading is not None and not self._reading.given_up:
            part = "body" if self._reading.head_whole else "head"
            self._fault(BadRequest(408, f"the {part} did not come", closes=True))
            self._pump()
        else:
            self.close()

    def _ignore_rest(self) -> None:
        """Nothing more that has come or comes is a request."""
        self.deaf, self._held, self._reading, self.started_us = True, b"", None, 0
        self._waiting.clear()

    def close(self) -> None:
        """End it in good order: what was written goes out, then the end of our side of the stream.

        What the client still sends is thrown away till it closes too, for LINGER_S: a close over unread bytes
        resets the connection, and a reset may destroy the last answer before the client has read it.
        """
        self._ignore_rest()
        transport = self.transport
        if transport is None or self.closing_us or transport.is_closing():
            return
        self.closing_us, self._discarded = self._client.clock(), 0
        try:
            transport.write_eof()
        except (OSError, RuntimeError):  # it is broken already, and that was not told yet
            transport.abort()
            return
        self._read_on(True)
        self._lingering = self._client.linger(self)

    def close_at_once(self) -> None:
        """End it once what was written is out, without waiting for the client: its descriptor is needed."""
        self._ignore_rest()
        if self.transport:
            self.transport.close()

    @property
    def lingers(self) -> bool:
        """Is it over but for the client's close?"""
        transport = self.transport
        if transport is None or not self.closing_us or transport.is_closing():
            return False
        return not transport.get_write_buffer_size()

    def linger_over(self) -> None:
        """The client has had its time to read the last answer; one that is not out yet goes on going out."""
        if self.lingers and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End it at once."""
        self.deaf = True
        if self.transport:
            self.transport.abort()
