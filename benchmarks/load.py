"""An open-loop load of reads and orders over kept connections, and what came of it.

Requests fall due at random moments (a Poisson process with a fixed seed) whether or not earlier ones have
been answered, and wait for a free connection if none is; their latency counts from when they were due.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import httptools
from hdrh.histogram import HdrHistogram

IDS = itertools.count(time.time_ns())
KEYS, ORDER_BODY, PATIENCE_S = 200, b"o" * 212, 3.0
SPIN_S = 0.0015  # uvloop's timers have milliseconds: nearer than this, the loop asks again each turn
MOST_US = 60_000_000


def histogram() -> HdrHistogram:
    """1 us to a minute at three digits."""
    return HdrHistogram(1, MOST_US, 3)


@dataclass(frozen=True, slots=True)
class Kind:
    """A mix of requests: the shares of orders, and of reads whose first try is turned away."""

    name: str
    orders: float = 0.0
    again: float = 0.0
    expects: int = 200


@dataclass(slots=True)
class Round:
    """What came of one round."""

    sent: int = 0
    statuses: Counter[int] = field(default_factory=Counter)  # 0: the connection broke, or no answer came
    latencies_us: list[int] = field(default_factory=list)  # of the answers that were expected
    late_us: int = 0  # the load's own worst lateness
    repeated: int = 0  # tries that the client itself sent again

    def share(self, status: int) -> float:
        return self.statuses[status] / max(1, self.sent)


@dataclass(slots=True)
class Request:
    due: float
    data: bytes


def requests(kind: Kind, rate: float, seconds: float, seed: int) -> Iterator[tuple[float, bytes]]:
    """Each request with its moment in seconds from the start; an id never comes twice, whatever the seed."""
    rng, at = random.Random(seed), 0.0
    while (at := at + rng.expovariate(rate)) < seconds:
        key = f"run-7-{rng.randrange(KEYS)}"
        account = "energia-sever" if rng.random() < 0.8 else "cesty-vychod"
        id = next(IDS) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF  # odd, so each number has its own
        if rng.random() < kind.orders:
            head, left, body = f"POST /order/{key}", "2.000", ORDER_BODY
        else:
            again = "again-" if rng.random() < kind.again else ""
            head, left, body = f"GET /grid-read/{again}{key}", "2.500", b""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        yield (
            at,
            (
                f"{head} HTTP/1.1\r\nHost: 127.0.0.1\r\n{length}X-Correlation-Id: {id:016x}\r\n"
                f"X-Account: {account}\r\nX-Time-Left: {left}\r\n\r\n"
            ).encode()
            + body,
        )


class Connection(asyncio.Protocol):
    def __init__(self, load: Load) -> None:
        self.load, self.request = load, None  # type: Load, Request | None
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.load.lost(self)

    def ask(self, request: Request) -> None:
        self.request = request
        self.transport.write(request.data)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.load.answered(self, self.parser.get_status_code())


class Load:
    """Kept connections to one address, and rounds of requests over them."""

    def __init__(self, port: int, connections: int) -> None:
        self.port, self.most = port, connections
        self.idle, self.waiting = deque[Connection](), deque[Request]()
        self.open: set[Connection] = set()
        self.round, self.expects, self.repeats = Round(), 200, False
        self.dials: set[asyncio.Task[None]] = set()
        self.closing = False

    async def connect(self) -> None:
        await asyncio.gather(*(self._dial() for _ in range(self.most)))

    async def _dial(self) -> None:
        _, c = await asyncio.get_running_loop().create_connection(
            lambda: Connection(self), "127.0.0.1", self.port
        )
        self.open.add(c)
        self._free(c)

    def close(self) -> None:
        self.closing = True
        for c in self.open:
            c.transport.abort()

    def lost(self, connection: Connection) -> None:
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if connection.request:
            self.round.statuses[0] += 1
        if not self.closing:
            task = asyncio.get_running_loop().create_task(self._dial())
            self.dials.add(task)
            task.add_done_callback(self.dials.discard)

    def answered(self, connection: Connection, status: int) -> None:
        request, connection.request = connection.request, None
        if request is None:
            return
        if status == 503 and self.repeats:
            self.round.repeated += 1
            connection.ask(request)
            return
        self.round.statuses[status] += 1
        if status == self.expects:
            self.round.latencies_us.append(int((time.monotonic() - request.due) * 1e6))
        self._free(connection)

    def _free(self, connection: Connection) -> None:
        if connection.transport.is_closing():
            return
        if self.waiting:
            connection.ask(self.waiting.popleft())
        else:
            self.idle.append(connection)

    async def play(self, kind: Kind, rate: float, seconds: float, seed: int, repeats: bool = False) -> Round:
        """Play one round; with `repeats`, the client sends again what got a 503, as the same request."""
        due_list = list(requests(kind, rate, seconds, seed))
        self.round, self.expects, self.repeats = Round(sent=len(due_list)), kind.expects, repeats
        start = time.monotonic() + 0.01
        for at, data in due_list:
            due = start + at
            while (ahead := due - time.monotonic()) > 0:
                await asyncio.sleep(ahead - SPIN_S / 2 if ahead > SPIN_S else 0)
            self.round.late_us = max(self.round.late_us, int(-ahead * 1e6))
            if self.idle:
                self.idle.popleft().ask(Request(due, data))
            else:
                self.waiting.append(Request(due, data))
        until = time.monotonic() + PATIENCE_S
        while self.round.statuses.total() < len(due_list) and time.monotonic() < until:
            await asyncio.sleep(0.002)
        self.round.statuses[0] += len(due_list) - self.round.statuses.total()
        self.waiting.clear()
        return self.round
