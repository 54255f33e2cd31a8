"""A client's connection: parses its bytes into requests, serves them in order, writes one answer to each.

This module does the HTTP/1.1 of a connection, with httptools' parser, and decides when the connection is
read, paused and ended.  What a request means is decided in `frontend`.

    head ──> body ──> pending ──> open (in the engine) ──> answered ──> head ...
     │        │                      │
     └────────┴── in error: answered in its turn with a 4xx, then the connection ends

A request whose body is too long to buffer is opened before its body is complete: the connection is then the
source of the request's body stream.  It is likewise the sink of an answer that is streamed.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from ..exchange import Answer, Exchange, Response
from ..body_stream import BodyStream
from ..overload.memory_budget import MemoryBudget
from ..policy.connection_admission import has_caught_up, may_hide_close
from .body_arrival import UNKNOWN_BYTES, BodyArrival
from .headers import EXPECT, HOST, HeaderError, Headers
from .http import (
    CONTINUE,
    LAST_CHUNK,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEAD_FIELDS,
    encode_answer,
    encode_chunk,
    encode_head,
)
from .request_ids import ReservedId
from .sockets import (
    has_unread_bytes,
    is_peer_closed,
    limit_socket_buffers,
    unacknowledged_bytes,
    unread_bytes,
)

if TYPE_CHECKING:
    from ..wheel import Timer
    from .frontend import Frontend

PARSE_CHUNK_BYTES = 16_384  # parsed at a time
MESSAGE_END = b"\r\n\r\n"  # of a head, and of a chunked body
# Of one connection's requests, how many are served before other input is read: of those that have just been
# read, and of those that have waited for the connection's turn.
MAX_REQUESTS_AT_ONCE, MAX_REQUESTS_PER_TURN = 2, 16
BODY_TIME_PER_BYTE_US = 60  # 16 kB per second; clients send at least 64 kB per second
MAX_UNPARSED_BYTES = 65_536  # buffered while an earlier request is open; beyond it reading is paused
MAX_DISCARDED_BYTES = 1_048_576  # discarded once no further request is accepted; beyond it reading is paused

# Memory of the objects that make up a connection with its transport and parser, and of an open request.
CONNECTION_BYTES = 2_500
OPEN_REQUEST_BYTES = 2_500


def origin_form(target: bytes) -> bytes:
    """Return path and query of a target in absolute form (RFC 9112, 3.2.2); other targets unchanged."""
    scheme, _, rest = target.partition(b"://")
    authority, slash, path = rest.partition(b"/")
    if scheme.lower() != b"http" or not authority or b"?" in authority:
        return target
    return slash + path


class BadRequest(Exception):
    """A fault of the request; answered with the status and a line of text."""

    def __init__(
        self, status: int, reason: str, closes_connection: bool = False, extra_headers: bytes = b""
    ) -> None:
        super().__init__(reason)
        self.status, self.reason, self.extra_headers = status, reason, extra_headers
        self.closes_connection = closes_connection  # what follows on it cannot be parsed as a request


def memory_is_short() -> BadRequest:
    """Return the refusal of an incomplete request whose memory is needed for others."""
    retry_after = b"Retry-After: 1\r\n"
    return BadRequest(503, "memory is short", closes_connection=True, extra_headers=retry_after)


class Request:
    """A request that is being read or waits to be served."""

    __slots__ = (
        "arrived_us",
        "body",
        "body_size",
        "body_stream",
        "content_length",
        "error",
        "head_size",
        "headers",
        "is_admission_checked",
        "is_answered_early",
        "is_head_complete",
        "is_http_1_1",
        "keep_alive",
        "method",
        "target",
        "trailer_size",
    )

    def __init__(self, arrived_us: int) -> None:
        self.arrived_us = arrived_us  # when its last byte arrived; until it is complete, when its first did
        self.content_length = -1  # of the body; -1: not known (chunked, or no body)
        self.body_stream: BodyStream | None = None  # set if the body is streamed
        self.is_http_1_1 = True
        self.method = self.target = b""
        self.headers = Headers()
        self.body = bytearray()  # joined, as a piece may be a single byte
        self.body_size = self.trailer_size = 0  # bytes of the body and of its trailers, so far
        self.head_size = 0  # bytes received up to now, counted in whole segments
        self.error: BadRequest | None = None
        self.is_head_complete = False
        self.keep_alive = False  # the connection may persist after the answer
        self.is_admission_checked = False  # the policy has been asked whether to read the body
        self.is_answered_early = False  # answered before its body was complete: the rest is skipped


class ClientConnection:
    """Implements the methods of asyncio.Protocol; times are microseconds of the program's clock.

    It does not derive from asyncio.Protocol: a compiled class with a base that is not compiled costs a
    quarter more time for each request.
    """

    __slots__ = (
        "_arrived_us",
        "_behind_us",
        "_body_arrival",
        "_body_stream",
        "_discarded_bytes",
        "_frontend",
        "_held_bytes",
        "_is_answer_complete",
        "_is_body_wanted",
        "_is_chunked",
        "_is_http_1_1",
        "_is_last",
        "_is_processing",
        "_is_reading",
        "_is_turn_over",
        "_linger_timer",
        "_parser",
        "_partial_request",
        "_pending",
        "_unparsed",
        "_unparsed_since_us",
        "_unsent_bytes",
        "_upload",
        "_waits_for_turn",
        "closing_since_us",
        "exchange",
        "forwarded_bytes",
        "has_sent_request",
        "idle_since_us",
        "ignores_input",
        "is_reserved",
        "read_stalled_since_us",
        "request_started_us",
        "reserved_id",
        "transport",
        "write_blocked_since_us",
    )

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._partial_request: Request | None = None  # the request that is being read
        self._held_bytes = 0  # as last reported to the memory budget
        self._pending: deque[Request] = deque()  # complete or in error, behind the open request
        self._unparsed, self._unparsed_since_us = bytearray(), 0  # and when its first byte arrived
        self._waits_for_turn = False  # complete requests wait for this connection's turn
        self._arrived_us = 0
        self._behind_us = 0  # when a close may have been hidden behind unread input; 0: it would have come
        self._discarded_bytes = 0  # bytes received while `ignores_input` or closing
        self._is_last = False  # the connection ends with the open request's answer
        self._is_processing, self._is_reading = False, True
        self._is_turn_over = False  # the transport is paused until others have been read
        self._upload: BodyStream | None = None  # the open request's body, while it is received
        self._body_arrival = BodyArrival(0)  # of the last streamed body
        self._is_body_wanted = False  # the body stream takes more
        self._body_stream: BodyStream | None = None  # the answer's body, while it is sent
        # Of the answer's body: all of it has arrived; it is sent in chunks.
        self._is_answer_complete = self._is_chunked = False
        self._is_http_1_1 = True  # of the open request
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None  # of the open request
        self.reserved_id: ReservedId | None = None  # of the open request, until the end of its answer
        self.forwarded_bytes = 0  # size of what is forwarded of the open request
        self.idle_since_us = frontend.clock()  # since its last answer, or since it was accepted
        self.request_started_us = 0  # of the request being read; moved on as its body arrives; 0: none
        self.write_blocked_since_us = 0  # since when the client has not read its answer; 0: it does
        # Of the answer, and since when the client has taken nothing of it; 0: nothing of one is to be taken.
        self._unsent_bytes = self.read_stalled_since_us = 0
        self.is_reserved = False  # one of those whose requests are refused
        self.closing_since_us = 0  # since when it is being closed, by either side; 0: it is not
        self._linger_timer: Timer | None = None
        self.has_sent_request = False  # has sent at least one complete request
        self.ignores_input = False  # no further input is parsed

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=PARSE_CHUNK_BYTES)
        self._record_held()
        self._frontend.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._record_held()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._frontend.on_disconnected(self)
        self._on_client_gone()

    def eof_received(self) -> None:
        """The client has closed its side: cancel its requests now; returning None closes the transport.

        `connection_lost` may follow much later: only once everything written has been sent, and a client that
        has gone never reads it.
        """
        self.closing_since_us = self.closing_since_us or self._frontend.clock()
        self._on_client_gone()

    def _on_client_gone(self) -> None:
        """No client waits for an answer any more: start no further request and cancel the open one."""
        self._ignore_input()
        self._frontend.abandon_exchange(self)
        upload, self._upload = self._upload, None
        body_stream, self._body_stream = self._body_stream, None
        if upload is not None:
            upload.feed_end(False)
        if body_stream is not None:
            body_stream.discard()
        self._frontend.end_request(self)

    def check_client_gone(self) -> bool:
        """Return whether the client has closed, even behind unread bytes; if so, cancel and close."""
        if self.transport is None or not is_peer_closed(self.transport):
            return False
        self._on_client_gone()
        self.transport.close()
        return True

    def _record_held(self) -> None:
        """Report to the memory budget what this connection holds now."""
        held_bytes = 0
        if self.transport is not None:
            buffered_bytes = len(self._unparsed) + self.transport.get_write_buffer_size()
            held_bytes = CONNECTION_BYTES
            if (request := self._partial_request) is not None:
                head_bytes = request.headers.size if request.is_head_complete else request.head_size
                buffered_bytes += head_bytes + len(request.body)
            if self.exchange is not None:
                held_bytes += OPEN_REQUEST_BYTES
                buffered_bytes += self.forwarded_bytes
            held_bytes += MemoryBudget.cost_bytes(buffered_bytes)
        self._frontend.memory_budget.change(held_bytes - self._held_bytes)
        self._held_bytes = held_bytes

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where to read to: with `buffer_updated` this makes an asyncio.BufferedProtocol."""
        return self._frontend.read_buffer.space()

    def buffer_updated(self, size: int) -> None:
        """Take `size` bytes that have been read."""
        read_buffer = self._frontend.read_buffer
        is_filled = size == read_buffer.space_bytes
        self.data_received(read_buffer.received(size))
        if is_filled:
            self._end_turn()

    def _end_turn(self) -> None:
        """Read on in a later turn of the loop: libuv reads again at once while a buffer is filled."""
        if self._is_reading and self.transport and not self.transport.is_closing():
            self._is_turn_over = True
            self.transport.pause_reading()
            self._frontend.reads.wait(self)

    def read_on(self) -> None:
        """Read again, after reading was paused for others' turns."""
        self._is_turn_over = False
        if self._is_reading and self.transport and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.transport:
            self._receive(data)
            self._record_held()

    def _receive(self, data: bytes) -> None:
        assert self.transport
        if self.ignores_input:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._set_reading(False)
            return
        arrived_us = self._frontend.arrived_us(self.transport)
        if self._upload is not None:
            self._body_arrival.record_read(len(data), unread_bytes(self.transport), arrived_us)
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
            if self._behind_us:
                self._behind_us = self._frontend.clock()
            if len(self._unparsed) > self._frontend.unparsed_limit_bytes:
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
        self._arrived_us = arrived_us
        self._unparsed += data
        self._process_input()

    def pause_writing(self) -> None:
        """The client does not read its answer: send no further one until it does.

        Reading goes on, up to a limit: otherwise a close by the client would not be noticed.
        """
        self.write_blocked_since_us = self._frontend.clock()
        if self._body_stream is not None:
            self._body_stream.set_reading(False)

    def record_unsent(self, now_us: int) -> None:
        """Record whether the client, which does not read its answer as it comes, has taken any of it."""
        if self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size() + unacknowledged_bytes(self.transport)
        if unsent_bytes != self._unsent_bytes or not self.read_stalled_since_us:
            self._unsent_bytes, self.read_stalled_since_us = unsent_bytes, now_us

    def resume_writing(self) -> None:
        self.write_blocked_since_us = self.read_stalled_since_us = 0
        if self._is_answer_complete:
            self._finish_answer_stream()
        elif self._body_stream is not None:
            self._body_stream.set_reading(True)
        self._process_next()
        self._record_held()

    def _set_reading(self, on: bool) -> None:
        if self.transport and on is not self._is_reading and not self.transport.is_closing():
            self._is_reading = on
            if not on:
                self._frontend.watch_paused(self)
            if self._is_turn_over:
                return  # paused until `read_on`, which looks at `_is_reading`
            if on:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    @property
    def peer(self) -> str:
        """The client's address, for the log."""
        address = self.transport.get_extra_info("peername") if self.transport else None
        return f"{address[0]}:{address[1]}" if address else ""

    @property
    def is_reading_paused(self) -> bool:
        """Whether it is open with reading paused, so that the transport does not notice a close."""
        return not self._is_reading and self.transport is not None and not self.transport.is_closing()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        self._partial_request = Request(self._arrived_us)
        self.request_started_us = self.request_started_us or self._arrived_us

    def on_url(self, url: bytes) -> None:
        if self._partial_request:
            self._partial_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        request = self._partial_request
        if request is None:
            return
        if not request.is_head_complete:
            request.headers.add(name, value)
            if request.headers.count > MAX_HEAD_FIELDS:
                self._queue_error(BadRequest(431, "the head has too many fields", closes_connection=True))
            return
        request.trailer_size += len(name) + len(value) + 4  # a trailer field; none is forwarded
        if request.trailer_size > MAX_HEAD_BYTES:
            self._queue_error(BadRequest(400, "the trailers are too large", closes_connection=True))

    def on_headers_complete(self) -> None:
        request = self._partial_request
        if not request or self._parser is None:
            return
        # The time for the body begins.
        request.is_head_complete, self.request_started_us = True, self._arrived_us
        if request.target[:1] != b"/":
            request.target = origin_form(request.target)
        request.method = self._parser.get_method()
        headers = request.headers
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
        elif headers.is_transfer_encoded and not is_http_1_1:
            self._queue_error(BadRequest(400, "no chunks in this version", closes_connection=True))
        else:
            try:
                length = headers.body_length()
                request.content_length = -1 if length is None else max(0, length)
                if self._parser.should_upgrade() and length not in (-1, 0):
                    # The parser would treat the body as bytes of the other protocol.
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
        # Each byte moves the start of the read timeout forward, up to now: a long body may take longer
        # than the timeout if it arrives at the rate behind BODY_TIME_PER_BYTE_US or faster.
        if self.request_started_us:
            self.request_started_us = min(
                self._arrived_us, self.request_started_us + len(body) * BODY_TIME_PER_BYTE_US
            )
        if request.body_size > MAX_BODY_BYTES:
            self._queue_error(BadRequest(413, "the body is too large", closes_connection=True))
        elif self._upload is not None:
            self._upload.feed_data(body)
        elif not request.is_answered_early:
            request.body += body

    def on_message_complete(self) -> None:
        request, self._partial_request, self.request_started_us = self._partial_request, None, 0
        if not request:
            return
        request.arrived_us = self._arrived_us
        if self._upload is not None:
            upload, self._upload = self._upload, None
            upload.feed_end(True)
            self._frontend.on_upload_complete(self)
        elif not request.is_answered_early:
            self._pending.append(request)

    def _queue_error(self, error: BadRequest) -> None:
        """Queue the error as the answer to the request being read, and parse nothing after it."""
        request = self._partial_request or Request(self._arrived_us)
        self._partial_request = None
        self._stop_parsing()
        if self._upload is not None:
            upload, self._upload = self._upload, None
            self._frontend.abandon_exchange(self)
            upload.feed_end(False)
        if not request.is_answered_early:
            request.error = error
            self._pending.append(request)

    # Requests in order

    @property
    def _is_next_to_answer(self) -> bool:
        """Whether the request that is being read is the next to be answered.

        Only then may anything be written for it: all earlier answers have been written completely.
        """
        return self.exchange is None and not self._pending and self._body_stream is None

    def _process_input(self, max_requests: int = MAX_REQUESTS_AT_ONCE) -> None:
        """Serve complete requests and parse further input until one is open or no bytes are left.

        After `max_requests` the others wait for the connection's turn.
        """
        if self._is_processing or not self._is_reading and self.check_client_gone():
            return
        self._is_processing = True
        served_count = 0
        try:
            while self.transport:
                if self._upload is not None:
                    if not self._is_body_wanted:
                        break
                elif self.exchange or self.write_blocked_since_us or self._body_stream is not None:
                    break
                if self._pending:
                    if self._waits_for_turn:
                        break
                    if served_count == max_requests:
                        self._continue_later()
                        break
                    served_count += 1
                    self._serve(self._pending.popleft())
                elif self._unparsed and not self.ignores_input:
                    self._parse(self._take_piece())
                    request = self._partial_request
                    if (
                        request
                        and request.body_size > self._frontend.body_buffer_bytes
                        and not request.is_answered_early
                        and not self.ignores_input
                        and self._upload is None
                        and self._is_next_to_answer
                    ):
                        self._start_upload(request)
                else:
                    break
        finally:
            self._is_processing = False
        if not self.ignores_input:
            self._resume_reading()
            request = self._partial_request
            if (
                request
                and request.is_head_complete
                and not request.is_admission_checked
                and self._is_next_to_answer
            ):
                self._check_admission(request)

    def _resume_reading(self) -> None:
        """Read on if reading is paused and there is room for more."""
        if (
            not self._is_reading
            and len(self._unparsed) <= self._frontend.unparsed_limit_bytes // 2
            and (self._upload is None or self._is_body_wanted)
        ):
            self._set_reading(True)

    def defer(self, request: Request) -> bool:
        """Put off a request that is being served until a close behind it would have come.

        Returns False if it would, or if there is no room for the input that has to be read first.
        """
        is_behind = self._record_behind()
        if not self._behind_us:
            return False
        self._resume_reading()
        if is_behind and not self._is_reading:
            return False
        self._pending.appendleft(request)
        if is_behind:
            self._continue_later()
        elif not self._waits_for_turn:
            self._waits_for_turn = True
            self._frontend.give_turn_soon(self)
        return True

    def _record_behind(self) -> bool:
        """Record whether the kernel holds so much input that a close may not have come, and return it."""
        if self.transport is None or self.ignores_input or not (self._unparsed or self._behind_us):
            return False
        now = self._frontend.clock()
        is_behind = may_hide_close(unread_bytes(self.transport), self._behind_us != 0)
        if is_behind:
            self._behind_us = now
        elif self._behind_us and has_caught_up(now - self._behind_us):
            self._behind_us = 0
        return is_behind

    def may_hide_close(self) -> bool:
        """Whether the client may have closed behind its further requests, unnoticed."""
        self._record_behind()
        return self._behind_us != 0 and self._upload is None

    def _continue_later(self) -> None:
        """Leave the requests that wait to the next turn: other connections are served meanwhile."""
        if not self._waits_for_turn:
            self._waits_for_turn = True
            self._frontend.turns.wait(self)

    def take_turn(self) -> None:
        """Serve requests that waited for this connection's turn."""
        self._waits_for_turn = False
        self._process_input(MAX_REQUESTS_PER_TURN)
        self._record_held()

    def _take_piece(self) -> bytes:
        """Remove and return the input to parse next, at most up to the end of one message.

        All that is parsed becomes requests at once, which cost far more memory than their bytes.
        """
        size = min(len(self._unparsed), PARSE_CHUNK_BYTES)
        request = self._partial_request
        if request is not None and request.is_head_complete and request.content_length >= 0:
            size = min(size, max(1, request.content_length - request.body_size))
        elif (end := self._unparsed.find(MESSAGE_END, 0, size)) >= 0:
            size = end + len(MESSAGE_END)
        piece = bytes(self._unparsed[:size])
        del self._unparsed[:size]
        return piece

    def _parse(self, data: bytes) -> None:
        if self._unparsed_since_us:
            self._arrived_us = self._unparsed_since_us
            if not self._unparsed:
                self._unparsed_since_us = 0
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # The request is served like any other; what follows it belongs to another protocol.
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
            if request.head_size > MAX_HEAD_BYTES:  # with blanks; a complete head is measured without
                self._queue_error(BadRequest(431, "the head is too large", closes_connection=True))
            elif request.head_size > self._frontend.head_limit_bytes:
                self._queue_error(memory_is_short())

    def _check_admission(self, request: Request) -> None:
        """The head is complete and the body is not: refuse the request now if the policy would."""
        request.is_admission_checked = True
        if refusal := self._frontend.check_before_body(request):
            request.is_answered_early = True
            request.body.clear()
            self._write(encode_answer(refusal, is_last=False))
        elif request.headers.fields.get(EXPECT, b"").lower() == b"100-continue" and not request.body_size:
            self._write(CONTINUE)

    # Source of a request's body stream

    def _start_upload(self, request: Request) -> None:
        """The body is too long to buffer: serve the request now and stream the rest of its body."""
        request.body_stream = self._upload = BodyStream(request.content_length, self)
        rest_bytes = request.content_length - request.body_size - len(self._unparsed)
        self._body_arrival = BodyArrival(
            self._arrived_us, rest_bytes if request.content_length >= 0 else UNKNOWN_BYTES
        )
        self.set_body_reading(False)
        limit_socket_buffers(self.transport)
        self.unread_since_us()  # what waits already has come by now
        request.arrived_us = self._arrived_us
        self._serve(request)
        if self.exchange is None:  # answered at once: the rest is not read
            self._upload = None

    def set_body_reading(self, on: bool) -> None:
        if self._upload is None:
            return
        self._is_body_wanted = on
        self.request_started_us = self._frontend.clock()
        self._set_reading(on)
        if on:
            self._process_input()

    def body_abandoned(self) -> None:
        """Nothing to do: the answer decides what happens to the rest of the body."""

    @property
    def body_arrived_us(self) -> int:
        """When the client may have written the latest byte of the streamed body, as far as is known."""
        return self._body_arrival.latest_us

    def unread_since_us(self) -> int:
        """Return when the client may have written what the body stream does not take yet; 0: none waits.

        The last byte of the body may be among it.  One system call.
        """
        if self._upload is None or self.transport is None:
            return 0
        unread = unread_bytes(self.transport)
        self._body_arrival.record_unread(unread, self._frontend.clock())
        return self._body_arrival.latest_us if unread or self._unparsed else 0

    # Sink of an answer's body stream

    def _start_answer_stream(self, answer: Response, body_stream: BodyStream, is_last: bool) -> None:
        """Write the head of the answer now and its body as it arrives."""
        self._body_stream, self._is_answer_complete = body_stream, False
        self._is_chunked = body_stream.size < 0 and self._is_http_1_1
        self._is_last = is_last or body_stream.size < 0 and not self._is_http_1_1
        limit_socket_buffers(self.transport)
        if self.transport:
            self.transport.set_write_buffer_limits(high=0)  # the stream pauses as soon as a byte waits
        self._write(encode_head(answer, self._is_last, self._is_chunked))
        body_stream.attach(self)
        body_stream.set_reading(not self.write_blocked_since_us)

    def body_data(self, data: bytes) -> None:
        self._write(encode_chunk(data) if self._is_chunked else data)
        self._record_held()

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
        self._frontend.end_request(self)
        if body_stream.size >= 0 or self._is_chunked:
            self.close()  # the client sees that content or the last chunk is missing
        else:
            self.abort()  # the end of the connection ends the body: only a reset shows that it is incomplete

    def _finish_answer_stream(self) -> None:
        body_stream, self._body_stream, self._is_answer_complete = self._body_stream, None, False
        if self.transport:
            self.transport.set_write_buffer_limits(high=PARSE_CHUNK_BYTES)
        if body_stream is not None:
            body_stream.report_end(True)
        self._frontend.end_request(self)
        self.idle_since_us = self._frontend.clock()
        if self._is_last:
            self.close()
        else:
            self._process_next()

    def _serve(self, request: Request) -> None:
        self.has_sent_request, self._is_http_1_1 = True, request.is_http_1_1
        self._is_last = not request.keep_alive
        self._frontend.serve(self, request)

    def on_answer(self, exchange: Exchange, answer: Answer) -> None:
        """Write the engine's final answer to the open exchange."""
        self._write_answer(exchange, answer)
        self._record_held()

    def _write_answer(self, exchange: Exchange, answer: Answer) -> None:
        self.exchange = None
        self._frontend.on_answered(self, exchange)
        is_last = self.is_last
        if isinstance(answer, Response) and answer.body_stream is not None:
            self._start_answer_stream(answer, answer.body_stream, is_last)
            return
        self._frontend.end_request(self)
        if self._upload is not None:
            self.reply_and_close(encode_answer(answer, is_last))
            return
        self._write(encode_answer(answer, is_last))
        if is_last:
            self.close()
        self._process_next()

    def _process_next(self) -> None:
        """Go on to what the client has sent behind the answered request, in this connection's turn."""
        if self._is_processing:
            return
        if self._pending or self._unparsed:
            self._continue_later()
        else:
            self._process_input()

    @property
    def is_last(self) -> bool:
        """Whether the connection ends with the next answer."""
        if self._is_last or self.is_reserved or self._upload is not None:
            return True
        return self._frontend.closes_after_answer and not self._has_more_input

    @property
    def _has_more_input(self) -> bool:
        """Whether there is input behind the open request, which may be a complete request to answer."""
        if self._pending or self._unparsed or self._partial_request is not None:
            return True
        return self.transport is not None and has_unread_bytes(self.transport)

    def reply(self, data: bytes, is_last: bool) -> None:
        """Write an answer that comes from no exchange; `is_last`: it announces the connection's end."""
        self.idle_since_us = self._frontend.clock()
        if self._upload is not None:
            self.reply_and_close(data)
            return
        self._write(data)
        if is_last:
            self.close()

    def reply_and_close(self, data: bytes) -> None:
        """Write the answer to a request in error and close: what follows it cannot be parsed."""
        self._write(data)
        self._upload = self._partial_request = None
        self.close()

    def _write(self, data: bytes) -> None:
        if self.transport and not self.closing_since_us and not self.transport.is_closing():
            try:
                self.transport.write(data)
            except RuntimeError:  # uvloop has closed the transport and not reported it yet
                self.ignores_input = True

    # Ends of the connection

    @property
    def is_busy(self) -> bool:
        """Whether a request is open, pending or waits for its turn, or an answer is being streamed."""
        return (
            self.exchange is not None
            or bool(self._pending)
            or self._waits_for_turn
            or self._body_stream is not None
        )

    def is_open(self, exchange: Exchange) -> bool:
        """Whether this exchange is still the open request's."""
        return self.exchange is exchange

    @property
    def is_uploading(self) -> bool:
        """Whether the open request's body is still being received."""
        return self._upload is not None

    @property
    def is_streaming_answer(self) -> bool:
        """Whether an answer is being streamed."""
        return self._body_stream is not None

    @property
    def is_receiving(self) -> bool:
        """Whether an incomplete request is being read, and it is the client that keeps it waiting."""
        return (
            self._partial_request is not None
            and not self._partial_request.is_answered_early
            and (self._upload is None or self._is_body_wanted)
        )

    @property
    def held_bytes(self) -> int:
        """The memory that this connection costs."""
        return self._held_bytes

    @property
    def last_input_us(self) -> int:
        """When the client's last bytes came."""
        return self._arrived_us

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being read, as its memory is needed for others; none of it has run."""
        self._queue_error(memory_is_short())
        self._process_input()
        self._record_held()

    def time_out(self) -> None:
        """The rest of a request, or the first one, did not arrive in time: answer so, or close."""
        if self._partial_request is not None and not self._partial_request.is_answered_early:
            part = "body" if self._partial_request.is_head_complete else "head"
            self._queue_error(BadRequest(408, f"the {part} did not come", closes_connection=True))
            self._process_input()
        else:
            self.close()

    def _stop_parsing(self) -> None:
        """Parse no more; the parser is dropped with the part of a header that it holds."""
        self.ignores_input, self._unparsed, self._parser = True, bytearray(), None

    def _ignore_input(self) -> None:
        """Drop all input that is not served yet, and parse no more."""
        self._stop_parsing()
        self._partial_request, self.request_started_us = None, 0
        self._pending.clear()

    def close(self) -> None:
        """Close gracefully: send what was written, then shut down the sending side.

        What the client still sends is discarded until it closes too, for at most LINGER_S: closing with
        unread bytes resets the connection, and a reset may destroy the last answer before the client has
        read it.
        """
        self._ignore_input()
        transport = self.transport
        if transport is None or self.closing_since_us or transport.is_closing():
            return
        self.closing_since_us, self._discarded_bytes = self._frontend.clock(), 0
        try:
            transport.write_eof()
        except (OSError, RuntimeError):  # it is broken already, and the transport has not reported it yet
            transport.abort()
            return
        self._set_reading(True)
        self._linger_timer = self._frontend.start_linger(self)

    def close_at_once(self) -> None:
        """Close once everything written is sent, without lingering: the descriptor is needed."""
        self._ignore_input()
        if self.transport:
            self.transport.close()

    @property
    def is_lingering(self) -> bool:
        """Whether everything is sent and only the client's close is awaited."""
        transport = self.transport
        if transport is None or not self.closing_since_us or transport.is_closing():
            return False
        return not transport.get_write_buffer_size()

    def end_linger(self) -> None:
        """The time to read the last answer is over: close, unless some of it is still to be sent."""
        if self.is_lingering and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, without sending what was written."""
        self.ignores_input = True
        if self.transport:
            self.transport.abort()
