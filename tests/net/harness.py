"""Drives a single client or server connection without sockets or wall clock and describes the outcome.

It consists of an event loop whose clock moves only when a test moves it, transports that record what is
written, and a real engine with a policy that sends each request to one server.  Client cases use an executor
that answers at once; server cases use the real server connections on a transport that the test feeds.  Only
the part between "Adapter" and "End of the adapter" knows the classes of the network code; the rest fits any
implementation with the same behaviour.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import re
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from roadlb.clock import Clock
from roadlb.config import Address, read_config
from roadlb.counters import Counters
from roadlb.engine import UPLOAD_TIMEOUT_US, Engine
from roadlb.exchange import AttemptOutcome, Exchange, Attempt, Message, Result, Response
from roadlb.net.pool import SETTLE_US
from roadlb.net.server_connections import ServerConnections
from roadlb.net.frontend import Frontend
from roadlb.policy.interface import Action, Arrival, Event, Fail, Outcome, Send
from roadlb.wheel import TimerWheel

T = TypeVar("T")
Pairs = list[tuple[str, str]]

SERVER_ID = b"s1"
READ_BYTES = 262_144  # size of one asyncio read, unless a protocol sets a smaller `max_size`
STABLE_ITERATIONS = (
    16  # loop iterations without a change; connecting is the longest chain without a visible one
)
MAX_ITERATIONS = 100_000
LINGER_US = 1_000_000  # longer than the lingering close, shorter than any request deadline
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
CONFIG = read_config(
    {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "limits": {"sockets": 2_000},
        "settings": {
            "me": 0,
            "instances": 1,
            "discovery": "pushed",
            "classes": [
                {
                    "name": "grid-read",
                    "promise_us": 500_000,
                    "deadline_us": 2_500_000,
                    "value": 2.0,
                    "effect": "idempotent",
                },
                {
                    "name": "order",
                    "promise_us": 600_000,
                    "deadline_us": 2_000_000,
                    "value": 10.0,
                    "effect": "at_most_once",
                },
            ],
            "tenants": [{"name": "acme", "quota_per_s": 100.0}],
            "limits": {"max_attempts": 1, "cancelling": True},
            "report": {"source": "inline", "fields": ["fail_rate", "q"]},
            "invariants": {
                "cold_from": 0.12,
                "cold_us": 23_000_000,
                "fall_multiple": 3.0,
                "fall_us": 1_000_000,
            },
        },
    },
    {},
)


# Adapter: the only functions that use classes of the network code


def new_engine(policy: OneServerPolicy, counters: Counters) -> Engine:
    clock = _loop_clock()
    names = [c.name for c in CONFIG.settings.classes]
    return Engine(policy, counters, clock, TimerWheel(clock), class_names=names)  # type: ignore[arg-type]


def new_frontend(engine: Engine, counters: Counters) -> Callable[[], asyncio.Protocol]:
    """Returns a factory of client connections."""
    clock = _loop_clock()
    return Frontend(CONFIG, engine, counters, lambda: True, clock, TimerWheel(clock))


def new_server_connections(engine: Engine, counters: Counters) -> ServerConnections:
    clock = _loop_clock()
    connections = ServerConnections(CONFIG, engine, counters, clock, TimerWheel(clock))
    connections.list_update({SERVER_ID: ("s1", Address("127.0.0.1", 9))}, [], whole=True)
    return connections


def _loop_clock() -> Clock:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, StubLoop)
    return lambda: loop.now_us


async def close_server_connections(connections: ServerConnections) -> None:
    await connections.close()


class Collector:
    """Receives a body stream: appends its data to the message's body, then reports its end."""

    def __init__(
        self, message: Message | Response, on_end: Callable[[bool], None] = lambda whole: None
    ) -> None:
        self.collected, self.on_end = message, on_end
        self.is_complete: bool | None = None
        assert message.body_stream
        message.body_stream.attach(self)
        message.body_stream.set_reading(True)

    def body_data(self, data: bytes) -> None:
        self.collected.body += data

    def body_end(self, whole: bool) -> None:
        self.is_complete = whole
        self.on_end(whole)


BODY_COLLECTORS: dict[Exchange, Collector] = {}  # collectors of streamed answers, by exchange


def new_exchange() -> Exchange:
    """Creates a read request's exchange as the frontend would."""

    def answered(exchange: Exchange, answer: object) -> None:
        if isinstance(answer, Response) and answer.body_stream:
            BODY_COLLECTORS[exchange] = Collector(answer)

    return Exchange(Message(b"GET", b"/grid-read/k"), 0, 0, 1, 2_000_000, 0, False, answered)


def body_state(exchange: Exchange) -> str:
    """Returns the state of a streamed answer body: `flowing`, `broke`, or "" if complete or not streamed."""
    collector = BODY_COLLECTORS.pop(exchange, None)
    if collector is None or collector.is_complete:
        return ""
    return "flowing" if collector.is_complete is None else "broke"


def final_answer(exchange: Exchange) -> object:
    """Returns the exchange's final answer, or None."""
    return exchange.answer


def request_parts(message: Message) -> tuple[str, str, Pairs, bytes]:
    """Returns method, target, headers and body, with the texts decoded as latin-1."""
    return (
        message.method.decode("latin-1"),
        message.target.decode("latin-1"),
        _header_pairs(message.head),
        message.body,
    )


def response_headers(answer: Response) -> Pairs:
    return _header_pairs(answer.head)


def new_response(body: bytes) -> Response:
    return Response(body)


def _header_pairs(head: bytes) -> Pairs:
    lines = head.decode("latin-1").split("\r\n")[:-1]
    return [(name, value) for name, _, value in (line.partition(": ") for line in lines)]


# End of the adapter


class StubLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is `now_us` and whose connections are `StubTransport`s."""

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 1_000_000_000
        self.transports: list[StubTransport] = []  # all that were opened, oldest first
        self.faults: list[str] = []
        self.set_exception_handler(
            lambda _, context: self.faults.append(f"{context['message']}: {context.get('exception')!r}")
        )

    def time(self) -> float:
        return self.now_us / 1e6

    async def create_connection(
        self,
        factory: Callable[[], asyncio.Protocol],
        *_: Any,  # type: ignore[override]
        **__: Any,
    ) -> tuple[StubTransport, asyncio.Protocol]:
        transport = StubTransport(self, factory())
        await asyncio.sleep(0)
        return transport, transport.protocol


class StubTransport(asyncio.Transport):
    """A transport whose peer is the test, which feeds input and inspects what was written."""

    def __init__(self, loop: StubLoop, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.max_size = READ_BYTES
        self.loop, self.protocol = loop, protocol
        self.written, self.paused = bytearray(), False
        self.end = ""  # `closed`, `aborted`, or `left` if the test closed it as the peer
        self._incoming: deque[bytes] = deque()
        loop.transports.append(self)
        loop.call_soon(protocol.connection_made, self)

    # Used by the test as the peer

    def feed(self, segment: bytes) -> None:
        """Queue a segment for `deliver`, split into single reads."""
        self._incoming.extend(
            segment[at : at + self.max_size] for at in range(0, len(segment), self.max_size)
        )

    def deliver(self, max_segments: int = 1) -> bool:
        """Pass queued reads to the protocol unless it has paused; return whether any was passed."""
        delivered = False
        while max_segments and self._incoming and not self.end and not self.paused:
            max_segments, delivered = max_segments - 1, True
            try:
                self.protocol.data_received(self._incoming.popleft())
            except Exception as e:
                self.loop.faults.append(f"data_received: {e!r}")
                self.abort()
        return delivered

    def disconnect(self, reset: bool = False) -> None:
        """Close, or reset, the connection as the peer after everything it sent has been read."""
        if not self.end and (reset or not self.protocol.eof_received()):
            self._finish("left", ConnectionResetError(104, "reset by peer") if reset else None)

    @property
    def has_input(self) -> bool:
        return bool(self._incoming)

    @property
    def state(self) -> tuple[object, ...]:
        return len(self.written), self.end, self.paused, len(self._incoming)

    # Used by the protocol

    def write(self, data: Any) -> None:
        if not self.end:
            self.written += data

    def _finish(self, how: str, error: Exception | None = None) -> None:
        if not self.end:
            self.end = how
            self.loop.call_soon(self.protocol.connection_lost, error)

    def close(self) -> None:
        self._finish("closed")

    def abort(self) -> None:
        self._finish("aborted")

    def is_closing(self) -> bool:
        return bool(self.end)

    def is_reading(self) -> bool:
        return not self.paused and not self.end

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        known = {"peername": ("127.0.0.1", 1), "sockname": ("127.0.0.1", 2)}
        return known.get(name, default)

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        """Send EOF; the peer closes in response."""
        self.loop.call_soon(self._peer_closes)

    def _peer_closes(self) -> None:
        if not self.end and not self.protocol.eof_received():
            self._finish("closed", None)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol


class OneServerPolicy:
    """A stub policy that sends each request to the one server, once."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.reports: list[tuple[float, ...]] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, Arrival):
            self.arrivals.append(event)
            return [Send(event.request, SERVER_ID, 0)]
        if isinstance(event, Outcome):
            self.reports.append(event.report)
            return [] if event.closed else [Fail(event.request)]
        return []


class StubExecutor:
    """A stub executor that answers each attempt with 200 after some loop iterations, bodies numbered."""

    def __init__(self, engine: Engine, delay_iterations: int) -> None:
        self._engine, self._delay_iterations = engine, delay_iterations
        self.started: list[Attempt] = []

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)
        body = numbered_body(len(self.started) - 1)
        if attempt.message.body_stream:
            Collector(
                attempt.message, lambda whole: whole and self._wait(attempt, body, self._delay_iterations)
            )
        else:
            self._wait(attempt, body, self._delay_iterations)

    def extend(self, attempt: Attempt) -> None:
        """Does nothing: the attempt is answered when its body is complete."""

    def _wait(self, attempt: Attempt, body: bytes, delay_iterations: int) -> None:
        if attempt.outcome is not None:
            return
        if delay_iterations:
            asyncio.get_running_loop().call_soon(self._wait, attempt, body, delay_iterations - 1)
        else:
            self._engine.attempt_ended(attempt, Result(AttemptOutcome.SERVED, (), new_response(body)))

    def cancel(self, attempt: Attempt, unsent: bool = False) -> None:
        if unsent:
            return  # the attempt is already written
        self._engine.attempt_ended(attempt, Result(AttemptOutcome.CANCELLED))

    def probe(self, server: bytes) -> None:
        raise NotImplementedError


def numbered_body(number: int) -> bytes:
    return b"served %d" % number


class RecordingCounters(Counters):
    """Counters that also list the names of counted faults."""

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[str] = []

    def add(self, name: str, count: int = 1) -> None:
        super().add(name, count)
        if name.startswith("fault.") or name == "execution.fault":
            self.faults.append(name)


class ErrorLog(logging.Handler):
    """A log handler that keeps error records."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        error = f": {record.exc_info[1]!r}" if record.exc_info else ""
        self.lines.append(f"{record.name}: {record.getMessage()}{error}")


def run(main: Callable[[StubLoop, RecordingCounters], Coroutine[Any, Any, T]]) -> tuple[T, list[str]]:
    """Run a case on a new loop; return its result and every escaped, counted or logged fault."""
    loop, counters, log = StubLoop(), RecordingCounters(), ErrorLog()
    logging.getLogger().addHandler(log)
    disabled = logging.root.manager.disable
    logging.disable(logging.WARNING)  # otherwise a failing test prints thousands of rejections
    try:
        result = loop.run_until_complete(main(loop, counters))
    finally:
        logging.disable(disabled)
        logging.getLogger().removeHandler(log)
        loop.close()
    return result, [*loop.faults, *counters.faults, *log.lines]


async def settle(loop: StubLoop) -> None:
    """Deliver queued input, one read per loop iteration, until nothing changes for STABLE_ITERATIONS."""
    quiet, before = 0, [transport.state for transport in loop.transports]
    for _ in range(MAX_ITERATIONS):
        for transport in loop.transports:
            if transport.has_input:
                loop.call_soon(transport.deliver)
        await asyncio.sleep(0)
        now = [transport.state for transport in loop.transports]
        quiet, before = 0 if now != before else quiet + 1, now
        if quiet > STABLE_ITERATIONS:
            return
    raise AssertionError("the connections kept changing")


async def send_segments(loop: StubLoop, transport: StubTransport, segments: list[bytes], gap: int) -> None:
    """Feed segments `gap` loop iterations apart; with 0, all in one iteration."""
    for segment in segments:
        transport.feed(segment)
        loop.call_soon(transport.deliver, 1 if gap else MAX_ITERATIONS)
        for _ in range(gap):
            await asyncio.sleep(0)
    await settle(loop)


# Client cases


@dataclass
class ReceivedRequest:
    """A request as it reached the executor or a server."""

    method: str
    target: str
    headers: Pairs
    body: bytes
    # Fields of the policy's arrival event that differ from the usual.
    unusual_fields: dict[str, Any] = field(default_factory=dict)

    def json(self) -> list[object]:
        return [
            f"{self.method} {shorten(self.target)}",
            unusual_headers(self.headers),
            digest(self.body),
            *([self.unusual_fields] if self.unusual_fields else []),
        ]


@dataclass
class ClientOutcome:
    """The outcome of a client's bytes.

    `end` is the final state of the connection: `closed`, `aborted`, `lingers` (closed after a delay), `kept`
    (the next request on it is answered), or `waiting` for the rest of a message.
    """

    answers: list[tuple[int, Pairs, bytes | None]]
    received: list[ReceivedRequest]
    end: str
    faults: list[str]

    def json(self) -> dict[str, object]:
        answers = [s if body is not None else f"{s} without a body" for s, _, body in self.answers]
        fields = {
            "answers": abbreviate(answers),
            "ran": abbreviate([request.json() for request in self.received]),
            "end": self.end,
            "faults": self.faults,
        }
        return {k: v for k, v in fields.items() if v}


def run_client(segments: list[bytes], gap: int = 1, delay_iterations: int = 1) -> ClientOutcome:
    """Run a client that sends segments `gap` loop iterations apart; answers take `delay_iterations`."""

    async def main(loop: StubLoop, counters: RecordingCounters) -> ClientOutcome:
        policy = OneServerPolicy()
        engine = new_engine(policy, counters)
        engine.executor = executor = StubExecutor(engine, delay_iterations)
        transport = StubTransport(loop, new_frontend(engine, counters)())
        await settle(loop)
        await send_segments(loop, transport, segments, gap)
        answers = parse_answers(bytes(transport.written))
        received = [
            received_request(e.message, a) for e, a in zip(executor.started, policy.arrivals, strict=True)
        ]
        end, started_count = await _connection_state(loop, transport, executor), len(executor.started)
        transport.disconnect()
        await settle(loop)
        late = [f"{len(executor.started) - started_count} ran after their client had left"]
        return ClientOutcome(answers, received, end, late if len(executor.started) > started_count else [])

    outcome, faults = run(main)
    outcome.faults += faults
    return outcome


async def _connection_state(loop: StubLoop, transport: StubTransport, executor: StubExecutor) -> str:
    if transport.end:
        return transport.end
    loop.now_us += LINGER_US
    await settle(loop)
    if transport.end:
        return "lingers"
    written_bytes, started_count = len(transport.written), len(executor.started)
    await send_segments(loop, transport, [HEALTH_REQUEST], 1)
    answers = parse_answers(bytes(transport.written[written_bytes:]))
    is_answered = len(executor.started) == started_count and [(s, body) for s, _, body in answers] == [
        (200, b"")
    ]
    return "kept" if is_answered and not transport.end else "waiting"


def received_request(message: Message, arrival: Arrival) -> ReceivedRequest:
    method, target, headers, body = request_parts(message)
    last = target.partition("?")[0].split("/")[2:][-1:]
    key = int.from_bytes(hashlib.blake2b(last[0].encode(), digest_size=8).digest(), "little") if last else 0
    usual = {
        "class_index": int(method == "POST"),
        "tenant": 0,
        "key": key if any(last) else 0,
        "work_us": 0,
        "left_us": UPLOAD_TIMEOUT_US if arrival.coming else 2_000_000 if method == "POST" else 2_500_000,
        "is_retry": False,
    }
    fields = {name: getattr(arrival, name) for name in usual}
    return ReceivedRequest(method, target, headers, body, {k: v for k, v in fields.items() if v != usual[k]})


def parse_answers(data: bytes) -> list[tuple[int, Pairs, bytes | None]]:
    """Parse the answers a client got into status, headers and body; the body is None if it was omitted."""
    answers: list[tuple[int, Pairs, bytes | None]] = []
    while data:
        head, found, data = data.partition(b"\r\n\r\n")
        line, *lines = head.decode("latin-1").split("\r\n")
        match = re.fullmatch(r"HTTP/\d\.\d (\d{3}) [\w -]*", line)
        assert found and match, f"not an answer: {line[:80]!r}"
        pairs = [line.partition(":") for line in lines]
        headers = [(name.lower(), value.strip()) for name, _, value in pairs]
        (length,) = [int(v) for n, v in headers if n == "content-length"] or [0]
        if length and match[1] != "200" and data[:7] in (b"", b"HTTP/1."):  # the answer to a HEAD request
            answers.append((int(match[1]), headers, None))
        else:
            assert len(data) >= length, f"cut: {line!r}"
            answers.append((int(match[1]), headers, data[:length]))
            data = data[length:]
    return answers


# Server cases


@dataclass
class ServerOutcome:
    """The outcome of a server's bytes.

    `attempt_outcome` is the attempt's outcome, or `waiting`.  If `waiting`, `at_eof` is the outcome when
    the server then closes, and `at_reset` the outcome when the connection is reset, if that differs.
    `next_connection` tells whether the next request uses the same connection, and the outcome of its valid
    answer if that is not served.
    """

    attempt_outcome: str
    headers: Pairs
    body: bytes
    report: tuple[float, ...]
    next_connection: str
    at_eof: str
    at_reset: str
    faults: list[str]

    def json(self) -> dict[str, object]:
        fields = {
            "ending": self.attempt_outcome,
            "headers": header_lines(self.headers),
            "body": digest(self.body),
            "report": list(self.report),
            "next": self.next_connection,
            "at_eof": self.at_eof,
            "at_reset": self.at_reset,
            "faults": self.faults,
        }
        return {k: v for k, v in fields.items() if v}


def run_server(segments: list[bytes], gap: int = 1) -> ServerOutcome:
    """Run a server that answers a read with these segments, `gap` loop iterations apart."""
    outcome = _run_server(segments, gap, reset=False)
    if outcome.attempt_outcome == "waiting":
        broken = _run_server(segments, gap, reset=True)
        outcome.at_reset = broken.at_eof if broken.at_eof != outcome.at_eof else ""
        outcome.faults += broken.faults
    return outcome


def _run_server(segments: list[bytes], gap: int, reset: bool) -> ServerOutcome:
    async def main(loop: StubLoop, counters: RecordingCounters) -> ServerOutcome:
        policy = OneServerPolicy()
        engine = new_engine(policy, counters)
        engine.executor = connections = new_server_connections(engine, counters)

        async def open_exchange() -> Exchange:
            exchange = new_exchange()
            engine.open(exchange)
            await settle(loop)
            return exchange

        first = await open_exchange()
        (transport,) = loop.transports
        await send_segments(loop, transport, segments, gap)
        outcome = ServerOutcome("waiting", [], b"", (), "", "", "", [])
        if first.attempts[0].outcome is None:
            transport.disconnect(reset)
            await settle(loop)
            outcome.at_eof = str(getattr(first.attempts[0].outcome, "value", "waiting"))
        else:
            outcome.attempt_outcome = body_state(first) or first.attempts[0].outcome.value
            answer = final_answer(first)
            if isinstance(answer, Response):
                outcome.headers, outcome.body = response_headers(answer), answer.body
            outcome.report = policy.reports[0]
            loop.now_us += SETTLE_US
            second = await open_exchange()
            used = loop.transports[-1]
            await send_segments(loop, used, [SECOND_ANSWER], 1)
            attempt_outcome, answer = second.attempts[0].outcome, final_answer(second)
            good = isinstance(answer, Response) and answer.body == SECOND_ANSWER[-6:]
            outcome.next_connection = (
                "reused" if used is transport else "dials anew" if transport.end else "dials anew beside it"
            )
            outcome.next_connection += "" if good else f", then {attempt_outcome} {answer}"
        await close_server_connections(connections)
        await settle(loop)
        return outcome

    outcome, faults = run(main)
    outcome.faults += faults
    return outcome


# Client and server together


def run_relay(data: bytes, answer: bytes) -> tuple[list[ReceivedRequest], ClientOutcome]:
    """Run a client and a server that gives each request the same answer.

    Returns the requests that the server received and the client's outcome.
    """

    async def main(
        loop: StubLoop, counters: RecordingCounters
    ) -> tuple[list[ReceivedRequest], ClientOutcome]:
        policy = OneServerPolicy()
        engine = new_engine(policy, counters)
        engine.executor = connections = new_server_connections(engine, counters)
        transport = StubTransport(loop, new_frontend(engine, counters)())
        await settle(loop)
        await send_segments(loop, transport, [data], 1)
        seen: dict[StubTransport, list[ReceivedRequest]] = {}
        while pending := [w for w in loop.transports[1:] if len(parse_requests(w)) > len(seen.get(w, []))]:
            for server_transport in pending:
                seen[server_transport] = parse_requests(server_transport)
                await send_segments(loop, server_transport, [answer], 1)
        outcome = ClientOutcome(parse_answers(bytes(transport.written)), [], transport.end or "open", [])
        transport.disconnect()
        await settle(loop)
        await close_server_connections(connections)
        await settle(loop)
        return [request for w in loop.transports[1:] for request in parse_requests(w)], outcome

    (seen, outcome), faults = run(main)
    outcome.faults += faults
    return seen, outcome


def parse_requests(transport: StubTransport) -> list[ReceivedRequest]:
    """Parse the requests written to a server; each must state its body length."""
    requests, data = [], bytes(transport.written)
    while data:
        head, found, data = data.partition(b"\r\n\r\n")
        line, *lines = head.decode("latin-1").split("\r\n")
        match = re.fullmatch(r"([A-Z]+) ([!-~]+) HTTP/1\.1", line)
        assert found and match, f"not a request: {line[:80]!r}"
        pairs = [re.fullmatch(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+): ([\t -~\x80-\xff]*)", line) for line in lines]
        assert all(pairs), f"not headers: {lines}"
        headers = [(pair[1].lower(), pair[2]) for pair in pairs if pair]
        (length,) = [int(v) for n, v in headers if n == "content-length"] or [0]
        if ("transfer-encoding", "chunked") in headers:
            headers.remove(("transfer-encoding", "chunked"))
            data, body = _decode_chunked(data)
            length = len(body)
            data = body + data
        assert len(data) >= length, f"cut: {line!r}"
        requests.append(ReceivedRequest(match[1], match[2], headers, data[:length]))
        data = data[length:]
    return requests


def _decode_chunked(data: bytes) -> tuple[bytes, bytes]:
    """Returns the bytes after a chunked body, and the decoded body."""
    body = b""
    while True:
        size, _, data = data.partition(b"\r\n")
        body, data = body + data[: int(size, 16)], data[int(size, 16) + 2 :]
        if size == b"0":
            return data, body


# Short values for the table


def digest(body: bytes) -> str:
    """Returns a short printable body itself, else the start of its SHA-256 and its length."""
    if re.fullmatch(rb"[ -~]{0,16}", body):
        return body.decode()
    return f"sha256:{hashlib.sha256(body).hexdigest()[:16]} of {len(body)}"


def shorten(text: str) -> str:
    return text if len(text) <= 80 else f"{text[:24]}... {digest(text.encode('latin-1'))}"


def unusual_headers(headers: Pairs) -> list[str]:
    """Returns sorted `name: value` lines without the headers that every request of the corpus carries."""
    usual = [("host", r"x"), ("x-account", r"acme"), ("x-correlation-id", r"\d{1,3}")]
    left = [(name.lower(), value) for name, value in headers]
    missing = []
    for name, value in usual:
        found = [pair for pair in left if pair[0] == name and re.fullmatch(value, pair[1])][:1]
        missing += [] if found else [f"no {name}"]
        for pair in found:
            left.remove(pair)
    return missing + header_lines(left)


def header_lines(headers: Pairs) -> list[str]:
    """Returns sorted `name: value` lines; more than 12 are replaced by their number and digest."""
    lines = sorted(f"{name.lower()}: {shorten(value)}" for name, value in headers)
    return abbreviate(lines)


def abbreviate(values: list[T]) -> list[T] | list[str]:
    """Returns the values; more than 12 are replaced by their number and digest."""
    return values if len(values) <= 12 else [f"{len(values)}: {digest(repr(values).encode())}"]
