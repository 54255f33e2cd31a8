"""One connection to an instance: one request out, one answer in, and nothing besides.

On httptools' parser.  The answer is read within bounds; whatever comes that belongs to no request, or that
cannot be used, ends the connection.  Every way in which a call can end on a connection is told apart here:

    resting ──send──> awaiting head ──> awaiting body ──> whole: the connection rests, or ends
                           │                  │  └──> too long to hold: SERVED, and the body flows on
                           ├ ended, request not written out: BROKE_UNSENT
                           ├ ended: RESET     └ ended: CUT_SHORT
                           └ not usable: GARBLED

Bodies flow in both directions: the connection is the sink of a request's and the source of an answer's.  A
call whose answer flows has ended; the connection is the flow's until that ends as well.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from ..config import Address
from ..exchange import AttemptOutcome, Attempt, Result, Response
from ..body_stream import BodyStream
from ..overload.memory_budget import MemoryBudget
from ..policy.interface import ServerId
from ..wheel import Timer
from .headers import LOAD, UNPROCESSED, HeaderError, Headers
from .http import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEAD_FIELDS,
    BODY_BUFFER_BYTES,
    MAX_INTERIM_RESPONSES,
    LAST_CHUNK,
    encode_chunk,
)
from .server_request import request_bytes
from .sockets import limit_socket_buffers, end_sending, new_poll

if TYPE_CHECKING:
    from .pool import Pool

# Between two pieces of an answer.  One that pauses for longer is passed on if it may be long; else it claims
# more than it has to give.  Once it flows, only the client waits, who has part of it.
PAUSE_S, FLOW_PAUSE_S = 0.5, 10.0
GAP_FACTOR = 2  # a server that pauses for so many times its longest pause before has stopped writing
LATE_ANSWER_US = 500_000  # after its client's time an answer is worth nothing; later it counts as lost
ANSWERED = frozenset(
    {AttemptOutcome.SERVED, AttemptOutcome.TURNED_AWAY, AttemptOutcome.INSTANCE_ERROR}
)  # by a whole answer
CONNECTION_BYTES = 5_000  # memory of a connection's objects, with its transport and the call that it carries
HOLD_S = 0.05  # an answer of unknown length, which may be long, is held for so long
PROBE = b"GET /healthz HTTP/1.1\r\nHost: instance\r\n\r\n"


@dataclass(slots=True, eq=False, init=False)
class Call:
    """One request to one instance: `ended` hears once what came of it, `written` that its last byte has gone
    out.  Without an `attempt` it is a probe.

    `until_us` is a time of the program's clock.
    """

    server: ServerId
    deadline_at_us: int
    ended: Callable[[Result, str], None]
    attempt: Attempt | None
    connection: ServerConnection | None
    address: Address | None  # to which it is dialled
    dialling: asyncio.Task[None] | None
    timer: Timer | None
    written: Callable[[], None] | None
    body_stream: BodyStream | None  # what follows of the body

    def __init__(
        self,
        server: ServerId,
        deadline_at_us: int,
        ended: Callable[[Result, str], None],
        attempt: Attempt | None = None,
        written: Callable[[], None] | None = None,
        body_stream: BodyStream | None = None,
    ) -> None:
        self.body_stream = body_stream
        self.server, self.deadline_at_us, self.ended = server, deadline_at_us, ended
        self.attempt, self.written = attempt, written
        self.connection, self.address, self.dialling, self.timer = None, None, None, None

    def render(self, now_us: int) -> bytes:
        """The bytes to write now; b"" if it may not begin any more.

        Made only when they are written: what was decided before a dial or a late turn of the loop would tell
        the server of time that the client no longer has.
        """
        if self.attempt is None:
            return PROBE
        return request_bytes(self.attempt.message, self.attempt.time_left_us(now_us))


class ServerConnection:
    """An asyncio.Protocol by its methods, told what to send by the pool, to which it comes back to rest."""

    __slots__ = (
        "_answer",
        "_between",
        "_body",
        "_call",
        "_extra",
        "_final",
        "_first_us",
        "_flow_deadline_us",
        "_body_stream",
        "_head_whole",
        "_headers",
        "_heard_us",
        "_held_bytes",
        "_interim",
        "_keep",
        "_last",
        "_length",
        "_longest_gap_us",
        "_news",
        "_parser",
        "_is_turn_over",
        "_paused",
        "_pool",
        "_size",
        "_spoilt",
        "_stall",
        "_status",
        "_tail",
        "_unwritten",
        "_upload",
        "address",
        "rested_us",
        "server",
        "transport",
    )

    def __init__(self, pool: Pool, server: ServerId, address: Address) -> None:
        self._pool, self.server, self.address = pool, server, address
        self._parser: HttpResponseParser | None = HttpResponseParser(self)
        # A control byte in a header, such as a load report that cannot be read, costs no good answer.  Line
        # ends and zeros in one still do, in `Headers.forwarded`.
        self._parser.set_dangerous_leniencies(lenient_headers=True)
        self._call: Call | None = None
        self._stall: Timer | None = None
        self._unwritten = False  # some of the request has not gone out
        self._upload: BodyStream | None = None  # the rest of the request's body, while it comes
        self._body_stream: BodyStream | None = None  # the answer's body, while it flows
        self._flow_deadline_us = 0  # of the client whose answer flows
        self._paused = False  # nothing is read, as the flow's sink is full
        self._is_turn_over = False  # the transport is paused until others have been read
        self._heard_us = self._first_us = 0  # when something last came, and first came of this answer
        self.transport: asyncio.Transport | None = None
        self._news: select.poll | None = None
        self.rested_us = 0  # since when it carries no call
        self._held_bytes = 0  # as last reported to the memory budget
        self._await(0)

    def _await(self, interim: int) -> None:
        """Begin an answer's head, behind so many 1xx."""
        self._headers = Headers()
        self._body = bytearray()  # joined, as a piece may be a single byte
        self._between = False  # a 1xx has ended, and nothing has come behind it
        self._last = b""  # the last piece of the body
        self._length = 0  # of the body; -1: not told
        self._longest_gap_us = 0  # between two pieces of it
        self._status = 0
        self._size, self._interim = 0, interim  # bytes of the head, then of the body
        self._head_whole = False  # the final answer's
        self._final = self._extra = False  # the final answer is whole; something came behind it
        self._keep = False  # the instance lets the connection live on
        self._spoilt = ""  # why the answer cannot be used
        self._tail = b""  # the last bytes of those before this segment
        self._answer: Result | None = None

    # The pool's side

    @property
    def usable(self) -> bool:
        """Can it carry a call?"""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and self._call is None
            and self._body_stream is None
        )

    @property
    def quiet(self) -> bool:
        """Has nothing come from the server that the loop has not read yet?  One system call.

        What is written to a connection that has ended may have run, for all that is known then; bytes that
        came before the request would be taken for its answer.
        """
        if self._news is None and self.transport:
            self._news = new_poll(self.transport)
        return self._news is None or not self._news.poll(0)

    def send(self, call: Call) -> None:
        """Write the call's request; the connection must be usable."""
        assert self.transport and self._call is None
        data = call.render(self._pool.clock())
        if not data or call.body_stream is not None and not call.body_stream.is_attachable:
            idle_since_us = self.rested_us  # of a reused one; to the server it idles on
            self._pool.rest(self)
            self.rested_us = idle_since_us or self.rested_us
            call.ended(Result(AttemptOutcome.NEVER_STARTED), "")
            return
        self._call, call.connection = call, self
        self._await(0)
        self._first_us = 0
        try:
            self.transport.write(data)
        except RuntimeError as e:  # uvloop, where it has closed it and not said so yet
            self._end(Result(AttemptOutcome.BROKE_UNSENT), str(e), keep=False)
        else:
            if self.transport.is_closing():  # the write itself failed: the kernel has taken no byte
                self._end(Result(AttemptOutcome.BROKE_UNSENT), "closed by the instance", keep=False)
            elif call.body_stream is not None:
                self._upload = call.body_stream
                limit_socket_buffers(self.transport)
                call.body_stream.attach(self)
                call.body_stream.set_reading(not self._unwritten)
            elif not self._unwritten:
                self._written()

    def _written(self) -> None:
        """The request's last byte has gone out."""
        if self._call and self._call.written:
            written, self._call.written = self._call.written, None
            written()

    # The sink of a request's body

    def body_data(self, data: bytes) -> None:
        if self._upload is not None and self.transport:
            self._put(encode_chunk(data) if self._upload.size < 0 else data)

    def body_end(self, whole: bool) -> None:
        upload, self._upload = self._upload, None
        if not whole:
            self._end(Result(AttemptOutcome.UNFINISHED), "the client left it unfinished", keep=False)
        elif upload is not None:
            if upload.size < 0:
                self._put(LAST_CHUNK)
            if not self._unwritten:
                self._written()

    def _put(self, data: bytes) -> None:
        try:
            if self.transport:
                self.transport.write(data)
        except RuntimeError as e:  # as in `send`
            self._end(Result(AttemptOutcome.BROKE_UNSENT), str(e), keep=False)

    # The source of an answer's body

    def set_body_reading(self, on: bool) -> None:
        if self.transport and on is self._paused and not self.transport.is_closing():
            self._paused, self._heard_us = not on, self._pool.clock()
            if not self._is_turn_over:  # else `read_on` looks at `_paused`
                (self.transport.resume_reading if on else self.transport.pause_reading)()

    def body_abandoned(self) -> None:
        self._body_stream = None
        self.close()

    def unread_since_us(self) -> int:
        """Return 0: a response's body has no time limit that its unread bytes could start."""
        return 0

    def give_up(self) -> None:
        """End the connection, and with it the call it carries, of which nothing more is heard.

        Its server is told before any other one can be written to: this is no longer an open attempt.
        """
        self._call = None
        self._stop_sending()
        self.close()

    def _stop_sending(self) -> None:
        if self.transport and not self.transport.is_closing():
            end_sending(self.transport)

    def close(self) -> None:
        """End it at once; what is not written is not sent."""
        self._quiet()
        if self._upload is not None:
            upload, self._upload = self._upload, None
            upload.detach()
        if self._body_stream is not None:
            body_stream, self._body_stream = self._body_stream, None
            body_stream.feed_end(False)
        if self.transport:
            self.transport.abort()

    # The transport's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Writing is paused while any byte waits for the kernel: that is how a request that broke before its
        # last byte was written is told from one that may have run.
        self.transport.set_write_buffer_limits(high=0)
        self._record_held()
        self._pool.opened(self)

    def pause_writing(self) -> None:
        self._unwritten = True
        self._record_held()
        if self._upload is not None:
            self._upload.set_reading(False)

    def resume_writing(self) -> None:
        self._unwritten = False
        self._record_held()
        if self._upload is not None:
            self._upload.set_reading(True)
        else:
            self._written()

    def eof_received(self) -> None:
        if (
            self._head_whole
            and self._length < 0
            and not self._headers.is_transfer_encoded
            and not self._final
            and (self._call is not None or self._body_stream is not None)
        ):
            self._whole()  # this is how the end of an answer with no length is told
            self._ended(keep=False)
        else:
            self._broke("closed by the instance")

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._broke(f"{type(exc).__name__}: {exc}" if exc else "ended")
        self._quiet()
        self._parser = None  # it refers to this object: without a cycle both are freed at once
        self._pool.closed(self)

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where to read to: with `buffer_updated` this makes an asyncio.BufferedProtocol."""
        return self._pool.read_buffer.space()

    def buffer_updated(self, size: int) -> None:
        """Take `size` bytes that have been read."""
        read_buffer = self._pool.read_buffer
        is_filled = size == read_buffer.space_bytes
        self.data_received(read_buffer.received(size))
        if is_filled:
            self._end_turn()

    def _end_turn(self) -> None:
        """Read on in a later turn of the loop: libuv reads again at once while a buffer is filled."""
        if not self._paused and self.transport and not self.transport.is_closing():
            self._is_turn_over = True
            self.transport.pause_reading()
            self._pool.reads.wait(self)

    def read_on(self) -> None:
        """Read again, after reading was paused for others' turns."""
        self._is_turn_over = False
        if not self._paused and self.transport and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self._receive(data)
        self._record_held()

    def _receive(self, data: bytes) -> None:
        if self._call is None and self._body_stream is None:
            if self.usable:
                self._pool.unasked_bytes(self)
            self.close()
            return
        now = self._pool.clock()
        if self._head_whole and not self._paused:
            self._longest_gap_us = max(self._longest_gap_us, now - self._heard_us)
        self._heard_us = now
        self._first_us = self._first_us or now
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._spoilt = self._spoilt or ("another protocol" if not self._final else "")
            self._extra = True
        except HttpParserError as e:
            if not self._final:
                self._spoilt = self._spoilt or f"not HTTP: {e}"
            self._extra = True
        self._fed(data)

    def _record_held(self) -> None:
        """Report to the memory budget what this connection holds now."""
        held_bytes = 0
        if self.transport is not None:
            buffered_bytes = self._headers.size + len(self._body) + len(self._last)
            buffered_bytes += self.transport.get_write_buffer_size()
            held_bytes = CONNECTION_BYTES + MemoryBudget.cost_bytes(buffered_bytes)
        self._pool.memory_budget.change(held_bytes - self._held_bytes)
        self._held_bytes = held_bytes

    def release_held(self) -> None:
        """Report that it holds nothing any more, as it has ended or never came up."""
        self._pool.memory_budget.change(-self._held_bytes)
        self._held_bytes = 0

    def _fed(self, data: bytes) -> None:
        """The parser has read these bytes: judge what it made of them."""
        if self._between:
            return  # the final answer may still take its time
        if not self._head_whole:
            self._size += len(data)  # blanks included; a whole head is measured without
            if self._size > MAX_HEAD_BYTES:
                self._spoilt = self._spoilt or "too long"
        elif self._final and not self._extra:
            # The parser passes over line ends in front of a next answer, which there must not be.  What has
            # no body, or a chunked one, ends with two of them, cut up as it may be.
            body = self._last if not self._headers.is_transfer_encoded else b""
            tail = (self._tail + data[-5:])[-5:]
            self._extra = not data.endswith(body) if body else not tail.strip(b"\r\n")
        if self._spoilt:
            self._end(Result(AttemptOutcome.GARBLED), self._spoilt, keep=False)
        elif self._answer:
            if self._extra and self._keep:
                self._pool.unasked_bytes(self)
            self._ended(keep=self._keep and not self._extra and not self._unwritten)
        else:
            self._tail = (self._tail + data[-5:])[-5:]
            if self._call is not None and self._is_long():
                self._begin_flow(self._call)
            if not self._stall and (self._call is not None or self._body_stream is not None):
                self._stall = self._pool.wheel.call_at(
                    self._heard_us + int(PAUSE_S * 1e6), ServerConnection._stalled, self
                )

    def _is_long(self) -> bool:
        """Whether the answer is too long to hold until it is whole, or comes too slowly for that."""
        if not self._head_whole or self._status != 200:
            return False
        if max(self._length, self._size) > self._pool.body_buffer_bytes:
            return True
        return self._length < 0 and self._size > 0 and self._heard_us - self._first_us > HOLD_S * 1e6

    def _may_be_long(self) -> bool:
        """Whether an answer has begun whose length is not known, to a request that has gone out whole."""
        return self._head_whole and self._status == 200 and self._length < 0 and self._upload is None

    def pass_on_begun(self) -> bool:
        """Pass on what has come of an answer that may be long; return whether that has ended its call.

        Of a long answer only the first bytes are due in the client's time; more of it may still come.
        """
        if self._call is None or self._call.attempt is None or not self._may_be_long():
            return False
        self._begin_flow(self._call)
        return True

    def _begin_flow(self, call: Call) -> None:
        """The answer is too long to hold: its call has ended well, and its body goes on as it comes."""
        try:
            head = self._headers.forwarded()
        except HeaderError as e:
            self._end(Result(AttemptOutcome.GARBLED), str(e), keep=False)
            return
        if self._upload is not None:
            self.close()  # it answers what it has not read: neither connection is of further use
            call.ended(Result(AttemptOutcome.GARBLED), "a long answer to half a request")
            return
        self._flow_deadline_us = call.deadline_at_us
        held = bytes(self._body)
        self._body = bytearray()
        self._call = None
        body_stream = self._body_stream = BodyStream(self._length, self)
        limit_socket_buffers(self.transport)
        report = self._pool.reports.read(self._headers.fields.get(LOAD))
        call.ended(Result(AttemptOutcome.SERVED, report, Response(b"", head, body_stream)), "")
        if not body_stream.is_attached:
            body_stream.discard()
        if held:
            body_stream.feed_data(held)

    # The parser's side

    def on_message_begin(self) -> None:
        self._between = False
        if self._final:
            self._extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._head_whole:
            if self._headers.count < MAX_HEAD_FIELDS:
                self._headers.add(name, value)
            else:
                self._spoilt = self._spoilt or "too many fields"
            return
        # A trailer, of which nothing is passed on; it counts as body, for the bound.
        self._size += len(name) + len(value) + 4
        if self._size > MAX_BODY_BYTES + MAX_HEAD_BYTES:
            self._spoilt = self._spoilt or "too long"

    def on_headers_complete(self) -> None:
        if self._final or self._parser is None:
            return
        status = self._parser.get_status_code()
        headers = self._headers
        version = self._parser.get_http_version()
        if self._spoilt:
            return
        if headers.size > MAX_HEAD_BYTES:
            self._spoilt = "too long"
        elif version != "1.1" and (version != "1.0" or headers.is_transfer_encoded):
            self._spoilt = "version"
        elif 100 <= status < 200:
            if status == 101 or self._interim >= MAX_INTERIM_RESPONSES:
                self._spoilt = "1xx"
            return
        self._head_whole, self._status, self._size = True, status, 0
        if self._spoilt or status in (204, 304):  # these have no body
            return
        try:
            length = headers.body_length()
        except HeaderError as e:
            self._spoilt = str(e)
            return
        self._length = -1 if length is None else length
        if status < 100:
            self._spoilt = "status"
        elif self._length > MAX_BODY_BYTES:
            self._spoilt = "too long"
        elif status != 200 and (self._length > BODY_BUFFER_BYTES or length == -1):
            self._whole()  # nobody needs the body of what was not served

    def on_body(self, body: bytes) -> None:
        if self._final or self._spoilt:
            return
        self._size += len(body)
        self._last = body
        if self._size > MAX_BODY_BYTES:
            self._spoilt = "too long"
        elif self._call is None:
            if self._body_stream is not None:
                self._body_stream.feed_data(body)
        elif self._status == 200:
            self._body += body

    def on_message_complete(self) -> None:
        if self._final or self._spoilt:
            return
        if not self._head_whole:  # a 1xx; the final answer may still take its time
            self._await(self._interim + 1)
            self._between = True
            self._quiet()
            return
        if self._length < 0 and not self._headers.is_transfer_encoded and self._status not in (204, 304):
            self._spoilt = "length"  # the parser has read one that `Headers` does not take for one
            return
        self._whole()
        self._keep = self._parser is not None and self._parser.should_keep_alive()

    def _whole(self) -> None:
        """The final answer has come, or as much of it as is of use."""
        self._final = True
        try:
            self._answer = self._judge()
        except HeaderError as e:
            self._spoilt = str(e)

    def _judge(self) -> Result:
        fields = self._headers.fields
        report = self._pool.reports.read(fields.get(LOAD))
        if self._status == 200:
            return Result(
                AttemptOutcome.SERVED, report, Response(bytes(self._body), self._headers.forwarded())
            )
        if self._status in (503, 504) and fields.get(UNPROCESSED) == b"1":
            return Result(AttemptOutcome.TURNED_AWAY, report)
        return Result(AttemptOutcome.INSTANCE_ERROR, report)

    # Ends

    def _forget_answer(self) -> None:
        """Keep nothing of the last answer: the connection may idle for long."""
        self._headers, self._body = Headers(), bytearray()
        self._last, self._answer = b"", None

    def _end(self, result: Result, error: str, keep: bool) -> None:
        call, self._call = self._call, None
        self._quiet()
        self._forget_answer()
        upload, self._upload = self._upload, None
        body_stream, self._body_stream = self._body_stream, None
        if keep and upload is None and self.transport:
            if self._paused:
                self._paused = False
                if not self._is_turn_over:
                    self.transport.resume_reading()
            self._pool.rest(self)
        elif self.transport:
            if self._unwritten or result.outcome not in ANSWERED:
                # What waits could still be written in this turn, and make a request that is about to be
                # called never run whole to a server that has only ended its own sending.
                self._stop_sending()
            self.transport.abort()
        if upload is not None:
            upload.detach()
        if call:
            call.ended(result, error)
        elif body_stream is not None:
            body_stream.feed_end(result.outcome is AttemptOutcome.SERVED)

    def _ended(self, keep: bool) -> None:
        """The answer is whole, or cannot be used."""
        if self._spoilt or self._answer is None:
            self._end(Result(AttemptOutcome.GARBLED), self._spoilt, keep=False)
        else:
            self._end(self._answer, "", keep)

    def _broke(self, error: str) -> None:
        if self._call is None and self._body_stream is None:
            return
        if self._call is not None and (self._unwritten or self._upload is not None):
            outcome = AttemptOutcome.BROKE_UNSENT
        else:
            begun = self._head_whole or self._size or self._interim
            outcome = AttemptOutcome.CUT_SHORT if begun else AttemptOutcome.RESET
        self._end(Result(outcome), error, keep=False)

    def _stalled(self) -> None:
        self._stall = None
        if self._call is None and self._body_stream is None:
            return
        now = self._pool.clock()
        until = now + int(PAUSE_S * 1e6) if self._paused else self._silence_limit_us()
        if until <= now:
            if not self.pass_on_begun():
                self._end(Result(AttemptOutcome.GARBLED), "never whole", keep=False)
                return
            until = self._silence_limit_us()
        if self._call is not None or self._body_stream is not None:
            self._stall = self._pool.wheel.call_at(until, ServerConnection._stalled, self)

    def _silence_limit_us(self) -> int:
        """Return the time at which an answer of which nothing more comes is given up.

        Of a long answer only the first bytes are due in the client's time.  A short one is due as a whole,
        also where it flows as its length is not known.
        """
        pause_us = max(int(PAUSE_S * 1e6), GAP_FACTOR * self._longest_gap_us)
        pause_ends_us = self._heard_us + pause_us
        if self._body_stream is None:
            return pause_ends_us
        flow_pause_ends_us = self._heard_us + int(FLOW_PAUSE_S * 1e6)
        if max(self._length, self._size) > BODY_BUFFER_BYTES:
            return flow_pause_ends_us
        late_us = self._flow_deadline_us + LATE_ANSWER_US
        return min(flow_pause_ends_us, max(pause_ends_us, late_us))

    def _quiet(self) -> None:
        if self._stall:
            self._stall.cancel()
            self._stall = None
