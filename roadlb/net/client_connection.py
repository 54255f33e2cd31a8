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
from .headers import EXPECT, HOST, HeaderError, Headers
from .http import (
    MAX_BODY_BYTES,
    CONTINUE,
    MAX_HEAD_BYTES,
    LAST_CHUNK,
    encode_answer,
    encode_head,
    encode_chunk,
)
from .sockets import limit_socket_buffers, is_peer_closed, has_unread_bytes

if TYPE_CHECKING:
    from ..wheel import Timer
    from .frontend import Frontend

PARSE_CHUNK_BYTES = 16_384  # bytes parsed before what is whole among them is served
BODY_TIME_PER_BYTE_US = (
    60  # a body's byte may take so long: 16 kB a second, where clients send 64 kB at the least
)
MAX_UNPARSED_BYTES = 65_536  # bytes kept that cannot be served yet; then reading stops
MAX_DISCARDED_BYTES = (
    1_048_576  # bytes thrown away once nothing more is read as a request; then reading stops
)


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
        self, status: int, reason: str, closes_connection: bool = False, extra_headers: bytes = b""
    ) -> None:
        super().__init__(reason)
        self.status, self.reason, self.extra_headers = status, reason, extra_headers
        self.closes_connection = closes_connection  # what may follow on its connection is no request


class Request:
    """A request as it is read."""

    __slots__ = (
        "body",
        "arrived_us",
        "error",
        "body_stream",
        "is_answered_early",
        "head_size",
        "is_head_complete",
        "headers",
        "keep_alive",
        "content_length",
        "method",
        "is_http_1_1",
        "is_admission_checked",
        "body_size",
        "target",
        "trailer_size",
    )

    def __init__(self, arrived_us: int) -> None:
        self.arrived_us = arrived_us  # when its last byte came; at first, when its first did
        self.content_length = -1  # of its body, where it is told
        self.body_stream: BodyStream | None = None  # the rest of its body, while that comes
        self.is_http_1_1 = True  # it is HTTP/1.1
        self.method = self.target = b""
        self.headers = NO_HEADERS  # till the head is whole
        self.body: list[bytes] = []
        self.body_size = self.trailer_size = 0  # of the body and what is behind it, so far
        self.head_size = 0  # by whole segments
        self.error: BadRequest | None = None
        self.is_head_complete = False
        self.keep_alive = False  # may its connection go on after it?
        self.is_admission_checked = False  # the module has been asked whether to read its body
        self.is_answered_early = False  # answered already: what is left of it is skipped


class ClientConnection:
    """An asyncio.Protocol by its methods; times are microseconds of the program's clock.

    Not by its base: a compiled class with a base that is not costs a quarter more of each request.
    """

    __slots__ = (
        "_arrived_us",
        "_is_chunked",
        "_frontend",
        "_discarded_bytes",
        "_body_stream",
        "_is_answer_complete",
        "_unparsed",
        "_unparsed_since_us",
        "_is_last",
        "_linger_timer",
        "_is_http_1_1",
        "_header_pairs",
        "_parser",
        "_is_processing",
        "_partial_request",
        "_is_reading",
        "_upload",
        "_pending",
        "_is_body_wanted",
        "has_sent_request",
        "closing_since_us",
        "ignores_input",
        "exchange",
        "id",
        "idle_since_us",
        "request_started_us",
        "write_blocked_since_us",
        "transport",
        "body_paused_since_us",
    )

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend
        self._parser = HttpRequestParser(self)
        self._partial_request: Request | None = None  # not whole yet
        self._header_pairs: list[tuple[bytes, bytes]] | None = None  # its headers, while its head is not
        self._pending: deque[Request] = deque()  # whole, or faulty, behind the open one
        self._unparsed, self._unparsed_since_us = b"", 0  # not parsed yet, and when the first of it came
        self._arrived_us = 0
        self._discarded_bytes = 0  # bytes that came once it was deaf
        self._is_last = False  # the open request's answer ends the connection
        self._is_processing, self._is_reading = False, True
        self._upload: BodyStream | None = None  # the open request's body, while it comes
        self._is_body_wanted = False  # more of that is wanted
        self.body_paused_since_us = 0  # since when not, while it comes
        self._body_stream: BodyStream | None = None  # the answer's body, while it comes
        self._is_answer_complete = self._is_chunked = False  # all of that has come; it goes out in chunks
        self._is_http_1_1 = True  # the open request is HTTP/1.1
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None  # the open one
        self.id = b""  # and its correlation id
        self.idle_since_us = frontend.clock()  # its last answer was out, or it was opened
        self.request_started_us = 0  # the first byte of a request not yet whole, if any
        self.write_blocked_since_us = 0  # since when the client has not taken an answer
        self.closing_since_us = 0  # since when it is being closed, by either side
        self._linger_timer: Timer | None = None
        self.has_sent_request = False  # a request has come whole
        self.ignores_input = False  # nothing more is read

    # The transport's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=PARSE_CHUNK_BYTES)
        self._frontend.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._frontend.on_disconnected(self)
        self._on_client_gone()

    def eof_received(self) -> None:
        """The client has closed: what it asked for is called off now, and the transport closes as well.

        `connection_lost` may come much later: only when all that was written is out, which a client that
        has gone never takes.
        """
        self.closing_since_us = self.closing_since_us or self._frontend.clock()
        self._on_client_gone()

    def _on_client_gone(self) -> None:
        """Nobody waits for an answer any more: nothing further begins, and what is open is called off."""
        self._ignore_input()
        self._frontend.abandon_exchange(self)
        upload, self._upload = self._upload, None
        body_stream, self._body_stream = self._body_stream, None
        if upload is not None:
            upload.feed_end(False)
        if body_stream is not None:
            body_stream.abandon()

    def check_client_gone(self) -> bool:
        """Has the client closed, be it behind unread bytes?  Then it is treated as any that leaves."""
        if self.transport is None or not is_peer_closed(self.transport):
            return False
        self._on_client_gone()
        self.transport.close()
        return True

    def data_received(self, data: bytes) -> None:
        if not self.transport:
            return
        if self.ignores_input:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._set_reading(False)
            return
        arrived_us = self._frontend.arrived_us(self.transport)
        if self._upload is not None:
            self._unparsed += data
            self._arrived_us = arrived_us
            self._process_input()
            return
        if (
            self.exchange
            or self._pending
            or self._unparsed
            or self.write_blocked_since_us
            or self._body_stream is not None
        ):
            self._unparsed_since_us = self._unparsed_since_us if self._unparsed else arrived_us
            self._unparsed += data
            if len(self._unparsed) > MAX_UNPARSED_BYTES:
                self._set_reading(False)
            return
        if self._frontend.is_overloaded and self._partial_request is None:
            is_last = self.is_last
            if refusal := self._frontend.refuse_unparsed(data, is_last):
                self.has_sent_request, self.idle_since_us = True, arrived_us
                self._write(refusal)
                if is_last:
                    self.close()
                return
        self._arrived_us, self._unparsed = arrived_us, data
        self._process_input()

    def pause_writing(self) -> None:
        """The client does not take its answer: it gets no further one before it has.

        Reading goes on, within its bound: else the client's close would not be noticed.
        """
        self.write_blocked_since_us = self._frontend.clock()
        if self._body_stream is not None:
            self._body_stream.set_reading(False)

    def resume_writing(self) -> None:
        self.write_blocked_since_us = 0
        if self._is_answer_complete:
            self._finish_answer_stream()
        elif self._body_stream is not None:
            self._body_stream.set_reading(True)
        self._process_input()

    def _set_reading(self, on: bool) -> None:
        if self.transport and on is not self._is_reading and not self.transport.is_closing():
            self._is_reading = on
            if on:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()
                self._frontend.watch_paused(self)

    @property
    def is_reading_paused(self) -> bool:
        """Is it open, and does the transport tell nothing of a close?"""
        return not self._is_reading and self.transport is not None and not self.transport.is_closing()

    # The parser's side

    def on_message_begin(self) -> None:
        self._partial_request, self._header_pairs = Request(self._arrived_us), []
        self.request_started_us = self.request_started_us or self._arrived_us

    def on_url(self, url: bytes) -> None:
        if self._partial_request:
            self._partial_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._header_pairs is not None:
            self._header_pairs.append((name, value))
        elif request := self._partial_request:  # a trailer, of which nothing is passed on
            request.trailer_size += len(name) + len(value) + 4
            if request.trailer_size > MAX_HEAD_BYTES:
                self._queue_error(BadRequest(400, "the trailers are too large", closes_connection=True))

    def on_headers_complete(self) -> None:
        request, pairs, self._header_pairs = self._partial_request, self._header_pairs, None
        if not request or pairs is None:
            return
        request.is_head_complete, self.request_started_us = True, self._arrived_us  # the body's time begins
        if request.target[:1] != b"/":
            request.target = origin_form(request.target)
        request.method = self._parser.get_method()
        request.headers = headers = Headers(pairs)
        version = self._parser.get_http_version()
        is_http_1_1 = version == "1.1"
        request.is_http_1_1 = is_http_1_1
        request.keep_alive = is_http_1_1 and self._parser.should_keep_alive()
        if headers.size + len(request.target) > MAX_HEAD_BYTES:
            self._queue_error(BadRequest(431, "the head is too large", closes_connection=True))
        elif not is_http_1_1 and version != "1.0":
            self._queue_error(BadRequest(400, "this is no HTTP/1.1 or 1.0", closes_connection=True))
        elif headers.has_duplicates or is_http_1_1 and HOST not in headers.fields:
            self._queue_error(
                BadRequest(400, "Host and the X-headers must be told once", closes_connection=True)
            )
        elif headers.transfer_encodings and not is_http_1_1:
            self._queue_error(BadRequest(400, "no chunks in this version", closes_connection=True))
        else:
            try:
                length = headers.body_length()
                request.content_length = -1 if length is None else max(0, length)
                if self._parser.should_upgrade() and length not in (-1, 0):
                    # The parser would take the body for the other protocol's bytes.
                    self._queue_error(BadRequest(400, "no body goes with an upgrade", closes_connection=True))
                elif length and length > MAX_BODY_BYTES:
                    self._queue_error(BadRequest(413, "the body is too large", closes_connection=True))
            except HeaderError as e:
                self._queue_error(BadRequest(400, str(e), closes_connection=True))

    def on_body(self, body: bytes) -> None:
        request = self._partial_request
        if not request:
            return
        request.body_size += len(body)
        if self.request_started_us:  # who sends at a fair rate has the time for it
            self.request_started_us = min(
                self._arrived_us, self.request_started_us + len(body) * BODY_TIME_PER_BYTE_US
            )
        if request.body_size > MAX_BODY_BYTES:
            self._queue_error(BadRequest(413, "the body is too large", closes_connection=True))
        elif self._upload is not None:
            self._upload.feed_data(body)
        elif not request.is_answered_early:
            request.body.append(body)

    def on_message_complete(self) -> None:
        request, self._partial_request, self.request_started_us = self._partial_request, None, 0
        if not request:
            return
        request.arrived_us = self._arrived_us
        if self._upload is not None:
            upload, self._upload, self.body_paused_since_us = self._upload, None, 0
            upload.feed_end(True)
            self._frontend.on_upload_complete(self)
        elif not request.is_answered_early:
            self._pending.append(request)

    def _queue_error(self, error: BadRequest) -> None:
        """What is being read cannot be; in its turn it is answered so, and nothing behind it is read."""
        request = self._partial_request or Request(self._arrived_us)
        self._partial_request = None
        self.ignores_input, self._unparsed = True, b""
        if self._upload is not None:
            upload, self._upload = self._upload, None
            self._frontend.abandon_exchange(self)
            upload.feed_end(False)
        if not request.is_answered_early:
            request.error = error
            self._pending.append(request)

    # Requests in turn

    def _process_input(self) -> None:
        """Serve what is whole, then parse on, until one is open or no bytes are left."""
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self.transport:
                if not self._is_reading and self.check_client_gone():
                    break
                if self._upload is not None:
                    if not self._is_body_wanted:
                        break
                elif self.exchange or self.write_blocked_since_us or self._body_stream is not None:
                    break
                if self._pending:
                    self._serve(self._pending.popleft())
                elif self._unparsed and not self.ignores_input:
                    data, self._unparsed = self._unparsed, b""
                    if len(data) > PARSE_CHUNK_BYTES:
                        data, self._unparsed = data[:PARSE_CHUNK_BYTES], data[PARSE_CHUNK_BYTES:]
                    self._parse(data)
                    request = self._partial_request
                    if (
                        request
                        and request.body_size > self._frontend.body_buffer_bytes
                        and not request.is_answered_early
                        and (self._upload is None and not self.exchange and not self.ignores_input)
                    ):
                        self._start_upload(request)
                else:
                    break
        finally:
            self._is_processing = False
        if not self.ignores_input:
            if (
                not self._is_reading
                and len(self._unparsed) <= MAX_UNPARSED_BYTES // 2
                and (self._upload is None or self._is_body_wanted)
            ):
                self._set_reading(True)
            request = self._partial_request
            if (
                request
                and request.is_head_complete
                and not request.is_admission_checked
                and not self.exchange
            ):
                self._check_admission(request)

    def _parse(self, data: bytes) -> None:
        if self._unparsed_since_us:
            self._arrived_us = self._unparsed_since_us
            if not self._unparsed:
                self._unparsed_since_us = 0
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # The request is served as any other; what comes behind it is another protocol's.
            self.ignores_input = True
            if self._pending:
                self._pending[-1].keep_alive = False
            return
        except HttpParserError:
            if not self.ignores_input:
                self._queue_error(BadRequest(400, "not HTTP", closes_connection=True))
            return
        request = self._partial_request
        if request and not request.is_head_complete:
            request.head_size += len(data)
            if request.head_size > MAX_HEAD_BYTES:  # blanks included; a whole head is measured without
                self._queue_error(BadRequest(431, "the head is too large", closes_connection=True))

    def _check_admission(self, request: Request) -> None:
        """Its head is whole and its body is not: it is refused now if it would be then, else read on."""
        request.is_admission_checked = True
        if refusal := self._frontend.check_before_body(request):
            request.is_answered_early = True
            request.body.clear()
            self._write(encode_answer(refusal, is_last=False))
        elif request.headers.fields.get(EXPECT, b"").lower() == b"100-continue" and not request.body_size:
            self._write(CONTINUE)

    # The source of a request's body

    def _start_upload(self, request: Request) -> None:
        """The body is too long to hold: the request is served now, and the rest goes on as it comes."""
        request.body_stream = self._upload = BodyStream(request.content_length, self)
        self.set_body_reading(False)
        limit_socket_buffers(self.transport)
        request.arrived_us = self._arrived_us
        self._serve(request)
        if self.exchange is None and self._upload is not None:  # answered at once: the rest is not read
            self._upload = None

    def set_body_reading(self, on: bool) -> None:
        if self._upload is None:
            return
        self._is_body_wanted, self.body_paused_since_us = on, 0 if on else self._frontend.clock()
        self.request_started_us = self._frontend.clock()
        self._set_reading(on)
        if on:
            self._process_input()

    def body_abandoned(self) -> None:
        """Whoever answers decides what becomes of the rest."""

    # The sink of an answer's body

    def _start_answer_stream(self, answer: Response, body_stream: BodyStream, is_last: bool) -> None:
        """The answer's head goes out, and its body as it comes."""
        self._body_stream, self._is_answer_complete = body_stream, False
        self._is_chunked = body_stream.size < 0 and self._is_http_1_1
        self._is_last = is_last or body_stream.size < 0 and not self._is_http_1_1
        limit_socket_buffers(self.transport)
        self._write(encode_head(answer, self._is_last, self._is_chunked))
        body_stream.attach(self)
        body_stream.set_reading(not self.write_blocked_since_us)

    def body_data(self, data: bytes) -> None:
        self._write(encode_chunk(data) if self._is_chunked else data)

    def body_end(self, whole: bool) -> None:
        body_stream = self._body_stream
        if body_stream is None:
            return
        if whole:
            self._is_answer_complete = True
            if self._is_chunked:
                self._write(LAST_CHUNK)
            if not self.write_blocked_since_us:
                self._finish_answer_stream()
            return
        self._body_stream = None
        body_stream.report_end(False)
        if body_stream.size >= 0 or self._is_chunked:
            self.close()  # it ends short of what its head or its last chunk would tell
        else:
            self.abort()  # nothing but a reset tells that it is not whole

    def _finish_answer_stream(self) -> None:
        body_stream, self._body_stream, self._is_answer_complete = self._body_stream, None, False
        if body_stream is not None:
            body_stream.report_end(True)
        self.idle_since_us = self._frontend.clock()
        if self._is_last:
            self.close()
        else:
            self._process_input()

    def _serve(self, request: Request) -> None:
        self.has_sent_request, self._is_http_1_1 = True, request.is_http_1_1
        self._is_last = not request.keep_alive
        self._frontend.serve(self, request)

    def on_answer(self, exchange: Exchange, answer: Answer) -> None:
        """The engine's final answer to the open exchange."""
        self.exchange = None
        self._frontend.on_answered(self)
        is_last = self.is_last
        if isinstance(answer, Response) and answer.body_stream is not None:
            self._start_answer_stream(answer, answer.body_stream, is_last)
            return
        if self._upload is not None:
            self.reply_and_close(encode_answer(answer, is_last))
            return
        self._write(encode_answer(answer, is_last))
        if is_last:
            self.close()
        self._process_input()

    @property
    def is_last(self) -> bool:
        """Is the answer that is due the last on this connection?"""
        if self._is_last or self._upload is not None:
            return True
        return self._frontend.closes_after_answer and not self._has_more_input

    @property
    def _has_more_input(self) -> bool:
        """Is there something behind the open request?  It may be a whole one, which is owed an answer."""
        if self._pending or self._unparsed or self._partial_request is not None:
            return True
        return self.transport is not None and has_unread_bytes(self.transport)

    def reply(self, data: bytes, is_last: bool) -> None:
        """Write an answer that no exchange brought; `last`: it says that its connection ends with it."""
        self.idle_since_us = self._frontend.clock()
        if self._upload is not None:
            self.reply_and_close(data)
            return
        self._write(data)
        if is_last:
            self.close()

    def reply_and_close(self, data: bytes) -> None:
        """Write the answer to what was faulty; nothing that is sent behind it is a request."""
        self._write(data)
        self._upload = self._partial_request = None
        self.close()

    def _write(self, data: bytes) -> None:
        if self.transport and not self.closing_since_us and not self.transport.is_closing():
            try:
                self.transport.write(data)
            except RuntimeError:  # uvloop, where it has closed it and not said so yet
                self.ignores_input = True

    # Ends

    @property
    def is_busy(self) -> bool:
        """Is a request open, or waiting in line?"""
        return self.exchange is not None or bool(self._pending) or self._body_stream is not None

    @property
    def is_uploading(self) -> bool:
        """Is a request open whose body still comes?"""
        return self._upload is not None

    @property
    def is_streaming_answer(self) -> bool:
        """Is an answer on its way?"""
        return self._body_stream is not None

    def time_out(self) -> None:
        """The rest of a request has not come in its time."""
        if self.body_paused_since_us and self._upload is not None:
            self._queue_error(BadRequest(504, "no node took the body", closes_connection=True))
            self._process_input()
        elif self._partial_request is not None and not self._partial_request.is_answered_early:
            part = "body" if self._partial_request.is_head_complete else "head"
            self._queue_error(BadRequest(408, f"the {part} did not come", closes_connection=True))
            self._process_input()
        else:
            self.close()

    def _ignore_input(self) -> None:
        """Nothing more that has come or comes is a request."""
        self.ignores_input, self._unparsed, self._partial_request, self.request_started_us = (
            True,
            b"",
            None,
            0,
        )
        self._pending.clear()

    def close(self) -> None:
        """End it in good order: what was written goes out, then the end of our side of the stream.

        What the client still sends is thrown away till it closes too, for LINGER_S: a close over unread bytes
        resets the connection, and a reset may destroy the last answer before the client has read it.
        """
        self._ignore_input()
        transport = self.transport
        if transport is None or self.closing_since_us or transport.is_closing():
            return
        self.closing_since_us, self._discarded_bytes = self._frontend.clock(), 0
        try:
            transport.write_eof()
        except (OSError, RuntimeError):  # it is broken already, and that was not told yet
            transport.abort()
            return
        self._set_reading(True)
        self._linger_timer = self._frontend.start_linger(self)

    def close_at_once(self) -> None:
        """End it once what was written is out, without waiting for the client: its descriptor is needed."""
        self._ignore_input()
        if self.transport:
            self.transport.close()

    @property
    def is_lingering(self) -> bool:
        """Is it over but for the client's close?"""
        transport = self.transport
        if transport is None or not self.closing_since_us or transport.is_closing():
            return False
        return not transport.get_write_buffer_size()

    def end_linger(self) -> None:
        """The client has had its time to read the last answer; one that is not out yet goes on going out."""
        if self.is_lingering and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End it at once."""
        self.ignores_input = True
        if self.transport:
            self.transport.abort()
