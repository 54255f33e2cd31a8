"""Drives one connection of a client's or a node's without sockets or wall clock, and says what became of it.

A loop whose clock stands still unless it is moved, transports that record, a real engine with a module that
sends each request to one node, and either an executor that answers at once (clients' side) or the real
instances on a transport that the test feeds (nodes' side).  What knows the classes of the network code is in
the part marked SEAM; all else holds for any code with the same behaviour.
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
from roadlb.net.server_connections import ServerConnections
from roadlb.net.frontend import Frontend
from roadlb.policy.interface import Action, Arrival, Event, Fail, Outcome, Send
from roadlb.wheel import TimerWheel

T = TypeVar("T")
Pairs = list[tuple[str, str]]

NODE_ID = b"s1"
READ_MOST = 262_144  # what asyncio reads at once, where a protocol does not ask for less
QUIET_TURNS = 16  # of the loop with nothing new; a dial is the longest silent chain
TURNS_MOST = 100_000
LINGER_US = 1_000_000  # longer than any connection lingers, shorter than any request may take
PROBE = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
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


# SEAM: the only functions that know the network code's classes (and, of the imports, aiohttp and these)


def new_engine(module: Module, counters: Counters) -> Engine:
    clock = _clock()
    names = [c.name for c in CONFIG.settings.classes]
    return Engine(module, counters, clock, TimerWheel(clock), class_names=names)  # type: ignore[arg-type]


def new_service_client(engine: Engine, counters: Counters) -> Callable[[], asyncio.Protocol]:
    """A factory of clients' connections."""
    clock = _clock()
    return Frontend(CONFIG, engine, counters, lambda: True, clock, TimerWheel(clock))


def new_instances(engine: Engine, counters: Counters) -> ServerConnections:
    clock = _clock()
    instances = ServerConnections(CONFIG, engine, counters, clock, TimerWheel(clock))
    instances.list_update({NODE_ID: ("s1", Address("127.0.0.1", 9))}, [], whole=True)
    return instances


def _clock() -> Clock:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, StubLoop)
    return lambda: loop.now_us


async def closed(instances: ServerConnections) -> None:
    await instances.close()


class Collector:
    """The far end of a body that flows: puts it behind what was held, and tells how it ended."""

    def __init__(self, kept: Message | Response, ended: Callable[[bool], None] = lambda whole: None) -> None:
        self.kept, self.ended = kept, ended
        self.whole: bool | None = None
        assert kept.body_stream
        kept.body_stream.attach(self)
        kept.body_stream.set_reading(True)

    def body_data(self, data: bytes) -> None:
        self.kept.body += data

    def body_end(self, whole: bool) -> None:
        self.whole = whole
        self.ended(whole)


FLOWS: dict[Exchange, Collector] = {}  # where the answers of exchanges flow to


def new_exchange() -> Exchange:
    """A read, as the clients' side would open it."""

    def answered(exchange: Exchange, answer: object) -> None:
        if isinstance(answer, Response) and answer.body_stream:
            FLOWS[exchange] = Collector(answer)

    return Exchange(Message(b"GET", b"/grid-read/k"), 0, 0, 1, 2_000_000, 0, False, answered)


def flow_of(exchange: Exchange) -> str:
    """How the answer's body stands, if it flows: `flowing`, `broke`, or "" once it is whole."""
    flowing = FLOWS.pop(exchange, None)
    if flowing is None or flowing.whole:
        return ""
    return "flowing" if flowing.whole is None else "broke"


def answer_of(exchange: Exchange) -> object:
    """The exchange's final answer, or None."""
    return exchange.answer


def passed_on(message: Message) -> tuple[str, str, Pairs, bytes]:
    """Method, target, headers and body; texts are latin-1."""
    return (
        message.method.decode("latin-1"),
        message.target.decode("latin-1"),
        _pairs(message.head),
        message.body,
    )


def served_headers(answer: Response) -> Pairs:
    return _pairs(answer.head)


def new_served(body: bytes) -> Response:
    return Response(body)


def _pairs(head: bytes) -> Pairs:
    lines = head.decode("latin-1").split("\r\n")[:-1]
    return [(name, value) for name, _, value in (line.partition(": ") for line in lines)]


# End of SEAM


class StubLoop(asyncio.SelectorEventLoop):
    """A loop whose clock moves only by `now_us`, and whose connections are `Wire`s."""

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 1_000_000_000
        self.wires: list[Wire] = []  # every one that was opened, in this order
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
    ) -> tuple[Wire, asyncio.Protocol]:
        wire = Wire(self, factory())
        await asyncio.sleep(0)
        return wire, wire.protocol


class Wire(asyncio.Transport):
    """A transport whose far end is the test: it feeds, and looks at what was written."""

    def __init__(self, loop: StubLoop, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.max_size = READ_MOST
        self.loop, self.protocol = loop, protocol
        self.written, self.paused = bytearray(), False
        self.end = ""  # closed, aborted, or `left` by the test
        self._inbox: deque[bytes] = deque()
        loop.wires.append(self)
        loop.call_soon(protocol.connection_made, self)

    # The test's side

    def feed(self, segment: bytes) -> None:
        """Have a segment wait for `deliver`, cut to what is read at a time."""
        self._inbox.extend(segment[at : at + self.max_size] for at in range(0, len(segment), self.max_size))

    def deliver(self, most: int = 1) -> bool:
        """Hand the protocol what was fed, if it reads."""
        delivered = False
        while most and self._inbox and not self.end and not self.paused:
            most, delivered = most - 1, True
            try:
                self.protocol.data_received(self._inbox.popleft())
            except Exception as e:
                self.loop.faults.append(f"data_received: {e!r}")
                self.abort()
        return delivered

    def leave(self, reset: bool = False) -> None:
        """The far end has closed; what it sent was read before."""
        if not self.end and (reset or not self.protocol.eof_received()):
            self._over("left", ConnectionResetError(104, "reset by peer") if reset else None)

    @property
    def fed(self) -> bool:
        return bool(self._inbox)

    @property
    def state(self) -> tuple[object, ...]:
        return len(self.written), self.end, self.paused, len(self._inbox)

    # The protocol's side

    def write(self, data: Any) -> None:
        if not self.end:
            self.written += data

    def _over(self, how: str, error: Exception | None = None) -> None:
        if not self.end:
            self.end = how
            self.loop.call_soon(self.protocol.connection_lost, error)

    def close(self) -> None:
        self._over("closed")

    def abort(self) -> None:
        self._over("aborted")

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
        """The far end reads it, and closes as well."""
        self.loop.call_soon(self._far_end_closes)

    def _far_end_closes(self) -> None:
        if not self.end and not self.protocol.eof_received():
            self._over("closed", None)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol


class Module:
    """Stands in for the decisions: each request goes to the one node, once."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.reports: list[tuple[float, ...]] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, Arrival):
            self.arrivals.append(event)
            return [Send(event.request, NODE_ID, 0)]
        if isinstance(event, Outcome):
            self.reports.append(event.report)
            return [] if event.closed else [Fail(event.request)]
        return []


class Answerer:
    """Stands in for the nodes: answers each attempt 200 after some turns, with a body that names it."""

    def __init__(self, engine: Engine, turns: int) -> None:
        self._engine, self._turns = engine, turns
        self.started: list[Attempt] = []

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)
        body = served_body(len(self.started) - 1)
        if attempt.message.body_stream:
            Collector(attempt.message, lambda whole: whole and self._wait(attempt, body, self._turns))
        else:
            self._wait(attempt, body, self._turns)

    def extend(self, attempt: Attempt) -> None:
        """It is answered when its body is whole."""

    def _wait(self, attempt: Attempt, body: bytes, turns: int) -> None:
        if attempt.outcome is not None:
            return
        if turns:
            asyncio.get_running_loop().call_soon(self._wait, attempt, body, turns - 1)
        else:
            self._engine.attempt_ended(attempt, Result(AttemptOutcome.SERVED, (), new_served(body)))

    def cancel(self, attempt: Attempt, unsent: bool = False) -> None:
        if unsent:
            return  # it has been written
        self._engine.attempt_ended(attempt, Result(AttemptOutcome.CANCELLED))

    def probe(self, server: bytes) -> None:
        raise NotImplementedError


def served_body(number: int) -> bytes:
    return b"served %d" % number


class Recorded(Counters):
    """Counters that know which faults they counted."""

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[str] = []

    def add(self, name: str, count: int = 1) -> None:
        super().add(name, count)
        if name.startswith("fault.") or name == "execution.fault":
            self.faults.append(name)


class ErrorLog(logging.Handler):
    """Keeps what is logged as an error."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        error = f": {record.exc_info[1]!r}" if record.exc_info else ""
        self.lines.append(f"{record.name}: {record.getMessage()}{error}")


def run(main: Callable[[StubLoop, Recorded], Coroutine[Any, Any, T]]) -> tuple[T, list[str]]:
    """Run a case on a loop of its own: its result, and every fault that escaped, was counted or logged."""
    loop, counters, log = StubLoop(), Recorded(), ErrorLog()
    logging.getLogger().addHandler(log)
    disabled = logging.root.manager.disable
    logging.disable(logging.WARNING)  # thousands of rejections would be printed with a test that fails
    try:
        result = loop.run_until_complete(main(loop, counters))
    finally:
        logging.disable(disabled)
        logging.getLogger().removeHandler(log)
        loop.close()
    return result, [*loop.faults, *counters.faults, *log.lines]


async def settle(loop: StubLoop) -> None:
    """Deliver what was fed, a segment a turn, till nothing has come of it for some turns."""
    quiet, before = 0, [wire.state for wire in loop.wires]
    for _ in range(TURNS_MOST):
        for wire in loop.wires:
            if wire.fed:
                loop.call_soon(wire.deliver)
        await asyncio.sleep(0)
        now = [wire.state for wire in loop.wires]
        quiet, before = 0 if now != before else quiet + 1, now
        if quiet > QUIET_TURNS:
            return
    raise AssertionError("never at rest")


async def play(loop: StubLoop, wire: Wire, segments: list[bytes], gap: int) -> None:
    """Feed segments `gap` turns apart; with 0, all in one turn."""
    for segment in segments:
        wire.feed(segment)
        loop.call_soon(wire.deliver, 1 if gap else TURNS_MOST)
        for _ in range(gap):
            await asyncio.sleep(0)
    await settle(loop)


# Clients' side


@dataclass
class Ran:
    """A request as it reached the executor, or a node."""

    method: str
    target: str
    headers: Pairs
    body: bytes
    told: dict[str, Any] = field(default_factory=dict)  # what the engine was told, where it is unusual

    def json(self) -> list[object]:
        return [
            f"{self.method} {short(self.target)}",
            unusual(self.headers),
            digest(self.body),
            *([self.told] if self.told else []),
        ]


@dataclass
class ClientOutcome:
    """What became of a client's bytes.

    `end` is how its connection stands: closed, aborted, lingers (is closed when time passes), kept (the next
    request on it is answered), or waiting for more of a message.
    """

    answers: list[tuple[int, Pairs, bytes | None]]
    ran: list[Ran]
    end: str
    faults: list[str]

    def json(self) -> dict[str, object]:
        answers = [s if body is not None else f"{s} without a body" for s, _, body in self.answers]
        told = {
            "answers": few(answers),
            "ran": few([ran.json() for ran in self.ran]),
            "end": self.end,
            "faults": self.faults,
        }
        return {k: v for k, v in told.items() if v}


def client(segments: list[bytes], gap: int = 1, turns: int = 1) -> ClientOutcome:
    """Play a client that sends these segments `gap` turns of the loop apart; nodes take `turns` to answer."""

    async def main(loop: StubLoop, counters: Recorded) -> ClientOutcome:
        module = Module()
        engine = new_engine(module, counters)
        engine.executor = answerer = Answerer(engine, turns)
        wire = Wire(loop, new_service_client(engine, counters)())
        await settle(loop)
        await play(loop, wire, segments, gap)
        answers = read_answers(bytes(wire.written))
        ran = [ran_of(e.message, a) for e, a in zip(answerer.started, module.arrivals, strict=True)]
        end, before = await _state_of(loop, wire, answerer), len(answerer.started)
        wire.leave()
        await settle(loop)
        late = [f"{len(answerer.started) - before} ran after their client had left"]
        return ClientOutcome(answers, ran, end, late if len(answerer.started) > before else [])

    outcome, faults = run(main)
    outcome.faults += faults
    return outcome


async def _state_of(loop: StubLoop, wire: Wire, answerer: Answerer) -> str:
    if wire.end:
        return wire.end
    loop.now_us += LINGER_US
    await settle(loop)
    if wire.end:
        return "lingers"
    before, ran = len(wire.written), len(answerer.started)
    await play(loop, wire, [PROBE], 1)
    answers = read_answers(bytes(wire.written[before:]))
    whole = len(answerer.started) == ran and [(s, body) for s, _, body in answers] == [(200, b"")]
    return "kept" if whole and not wire.end else "waiting"


def ran_of(message: Message, arrival: Arrival) -> Ran:
    method, target, headers, body = passed_on(message)
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
    told = {name: getattr(arrival, name) for name in usual}
    return Ran(method, target, headers, body, {k: v for k, v in told.items() if v != usual[k]})


def read_answers(data: bytes) -> list[tuple[int, Pairs, bytes | None]]:
    """Status, headers and body of each answer in what a client got; None for a body that is left out."""
    answers: list[tuple[int, Pairs, bytes | None]] = []
    while data:
        head, found, data = data.partition(b"\r\n\r\n")
        line, *lines = head.decode("latin-1").split("\r\n")
        match = re.fullmatch(r"HTTP/\d\.\d (\d{3}) [\w -]*", line)
        assert found and match, f"not an answer: {line[:80]!r}"
        pairs = [line.partition(":") for line in lines]
        headers = [(name.lower(), value.strip()) for name, _, value in pairs]
        (length,) = [int(v) for n, v in headers if n == "content-length"] or [0]
        if length and match[1] != "200" and data[:7] in (b"", b"HTTP/1."):  # an answer to HEAD
            answers.append((int(match[1]), headers, None))
        else:
            assert len(data) >= length, f"cut: {line!r}"
            answers.append((int(match[1]), headers, data[:length]))
            data = data[length:]
    return answers


# Nodes' side


@dataclass
class NodeOutcome:
    """What became of a node's bytes.

    `ending` is the execution's, or `waiting`, and then `at_eof` what it is if the node closes, and `at_reset`
    if that is another if the connection breaks.  `next` tells whether the next request goes out on the same
    connection, and what becomes of its good answer.
    """

    ending: str
    headers: Pairs
    body: bytes
    report: tuple[float, ...]
    next: str
    at_eof: str
    at_reset: str
    faults: list[str]

    def json(self) -> dict[str, object]:
        told = {
            "ending": self.ending,
            "headers": listed(self.headers),
            "body": digest(self.body),
            "report": list(self.report),
            "next": self.next,
            "at_eof": self.at_eof,
            "at_reset": self.at_reset,
            "faults": self.faults,
        }
        return {k: v for k, v in told.items() if v}


def node(segments: list[bytes], gap: int = 1) -> NodeOutcome:
    """Play a node that answers a read with these segments, `gap` turns of the loop apart."""
    outcome = _node(segments, gap, reset=False)
    if outcome.ending == "waiting":
        broken = _node(segments, gap, reset=True)
        outcome.at_reset = broken.at_eof if broken.at_eof != outcome.at_eof else ""
        outcome.faults += broken.faults
    return outcome


def _node(segments: list[bytes], gap: int, reset: bool) -> NodeOutcome:
    async def main(loop: StubLoop, counters: Recorded) -> NodeOutcome:
        module = Module()
        engine = new_engine(module, counters)
        engine.executor = instances = new_instances(engine, counters)

        async def ask() -> Exchange:
            exchange = new_exchange()
            engine.open(exchange)
            await settle(loop)
            return exchange

        first = await ask()
        (wire,) = loop.wires
        await play(loop, wire, segments, gap)
        outcome = NodeOutcome("waiting", [], b"", (), "", "", "", [])
        if first.attempts[0].outcome is None:
            wire.leave(reset)
            await settle(loop)
            outcome.at_eof = str(getattr(first.attempts[0].outcome, "value", "waiting"))
        else:
            outcome.ending = flow_of(first) or first.attempts[0].outcome.value
            answer = answer_of(first)
            if isinstance(answer, Response):
                outcome.headers, outcome.body = served_headers(answer), answer.body
            outcome.report = module.reports[0]
            second = await ask()
            used = loop.wires[-1]
            await play(loop, used, [SECOND_ANSWER], 1)
            ending, answer = second.attempts[0].outcome, answer_of(second)
            good = isinstance(answer, Response) and answer.body == SECOND_ANSWER[-6:]
            outcome.next = "reused" if used is wire else "dials anew" if wire.end else "dials anew beside it"
            outcome.next += "" if good else f", then {ending} {answer}"
        await closed(instances)
        await settle(loop)
        return outcome

    outcome, faults = run(main)
    outcome.faults += faults
    return outcome


# Both sides


def relay(data: bytes, answer: bytes) -> tuple[list[Ran], ClientOutcome]:
    """Play a client and a node that answers each request alike: what the node saw, and what the client."""

    async def main(loop: StubLoop, counters: Recorded) -> tuple[list[Ran], ClientOutcome]:
        module = Module()
        engine = new_engine(module, counters)
        engine.executor = instances = new_instances(engine, counters)
        wire = Wire(loop, new_service_client(engine, counters)())
        await settle(loop)
        await play(loop, wire, [data], 1)
        seen: dict[Wire, list[Ran]] = {}
        while pending := [w for w in loop.wires[1:] if len(read_requests(w)) > len(seen.get(w, []))]:
            for node_wire in pending:
                seen[node_wire] = read_requests(node_wire)
                await play(loop, node_wire, [answer], 1)
        outcome = ClientOutcome(read_answers(bytes(wire.written)), [], wire.end or "open", [])
        wire.leave()
        await settle(loop)
        await closed(instances)
        await settle(loop)
        return [ran for w in loop.wires[1:] for ran in read_requests(w)], outcome

    (seen, outcome), faults = run(main)
    outcome.faults += faults
    return seen, outcome


def read_requests(wire: Wire) -> list[Ran]:
    """The requests written to a node, each of which must say how long it is."""
    requests, data = [], bytes(wire.written)
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
            data, body = _unchunked(data)
            length = len(body)
            data = body + data
        assert len(data) >= length, f"cut: {line!r}"
        requests.append(Ran(match[1], match[2], headers, data[:length]))
        data = data[length:]
    return requests


def _unchunked(data: bytes) -> tuple[bytes, bytes]:
    """What lies behind a body in chunks, and the body."""
    body = b""
    while True:
        size, _, data = data.partition(b"\r\n")
        body, data = body + data[: int(size, 16)], data[int(size, 16) + 2 :]
        if size == b"0":
            return data, body


# Small values for the table


def digest(body: bytes) -> str:
    """The body itself where it is a word, else the start of its SHA-256 and its length."""
    if re.fullmatch(rb"[ -~]{0,16}", body):
        return body.decode()
    return f"sha256:{hashlib.sha256(body).hexdigest()[:16]} of {len(body)}"


def short(text: str) -> str:
    return text if len(text) <= 80 else f"{text[:24]}... {digest(text.encode('latin-1'))}"


def unusual(headers: Pairs) -> list[str]:
    """Headers as `name: value`, sorted, without those that each request of the corpus carries."""
    usual = [("host", r"x"), ("x-account", r"acme"), ("x-correlation-id", r"\d{1,3}")]
    left = [(name.lower(), value) for name, value in headers]
    missing = []
    for name, value in usual:
        found = [pair for pair in left if pair[0] == name and re.fullmatch(value, pair[1])][:1]
        missing += [] if found else [f"no {name}"]
        for pair in found:
            left.remove(pair)
    return missing + listed(left)


def listed(headers: Pairs) -> list[str]:
    """`name: value`, sorted; of a great many, only what tells them from others."""
    lines = sorted(f"{name.lower()}: {short(value)}" for name, value in headers)
    return few(lines)


def few(values: list[T]) -> list[T] | list[str]:
    """The values; of a great many, only what tells them from others."""
    return values if len(values) <= 12 else [f"{len(values)}: {digest(repr(values).encode())}"]
