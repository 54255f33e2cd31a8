"""Clients that send what no sound client would, each kind by its name, and how they were answered.

Such a client is owed an error (any 4xx or 5xx) or a close within some seconds of connecting.  How it was
treated is written down as `RudeLeft`, what it sent is not; `Rude.tallies` has the outcome as well.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from random import Random

from ..wire import RudeLeft, WireLog
from .front import Front
from .http import ACCOUNT, CORRELATION_ID, TIME_LEFT, AnswerReader, Garbled, write_request
from .links import stream

OWED_US, OWED_BIG_US = 3_000_000, 6_000_000  # to be answered or closed in; the second with 60 MB to send
BIG = 60_000_000
PIECE = 65_536
PIECE_GAP_S = 0.0005  # 130 MB a second at most on one connection
FLOOD_CONNECTIONS, FLOOD_REQUESTS = 200, 200
AGAIN_MOST = 50  # times that one client sends the same thing again


@dataclass(slots=True, frozen=True)
class Kind:
    """What one client does; `chunks` are written as fast as the connection takes them."""

    chunks: Callable[[Rude], Iterator[bytes]]
    connections: int = 1
    closes: bool = False  # hangs up when it has written all
    again: bool = False  # sends it all again at once when it is answered
    owed: bool = True  # an error or a close is owed to it
    owed_us: int = OWED_US


def _good(
    rude: Rude,
    method: str = "GET",
    path: str = "",
    left: str = "0.5",
    id: str | None = None,
    more: Sequence[tuple[str, str]] = (),
    body: bytes = b"",
    account: str | None = None,
) -> bytes:
    headers = [
        ("Host", "backend.local"),
        (CORRELATION_ID, rude.new_id() if id is None else id),
        (ACCOUNT, rude.tenant if account is None else account),
        (TIME_LEFT, left),
        *more,
    ]
    return write_request(method, path or rude.read_path, [h for h in headers if h[1]], body)


def _raw_length(rude: Rude, length: str) -> Iterator[bytes]:
    data = _good(rude, "POST", rude.order_path)
    yield data.replace(b"Content-Length: 0", b"Content-Length: " + length.encode()) + b"12345"


def _noise(rude: Rude) -> Iterator[bytes]:
    yield rude.rng.randbytes(500) + b"\r\n\r\n"


def _endless_head(rude: Rude) -> Iterator[bytes]:
    yield f"GET {rude.read_path} HTTP/1.1\r\nHost: backend.local\r\n".encode()
    while True:
        yield b"X-Filler: " + b"a" * 4_000 + b"\r\n"


def _silent(rude: Rude) -> Iterator[bytes]:
    yield from ()


def _half(rude: Rude) -> Iterator[bytes]:
    data = _good(rude, "POST", rude.order_path, body=b"x" * 200)
    yield data[:-100]


def _big(rude: Rude) -> Iterator[bytes]:
    yield _good(rude, "POST", rude.order_path).replace(b"Content-Length: 0", b"Content-Length: %d" % BIG)
    for _ in range(BIG // PIECE + 1):
        yield b"b" * PIECE


def _flood(rude: Rude) -> Iterator[bytes]:
    for _ in range(FLOOD_REQUESTS):
        yield _good(rude, path="/no-such-class/x?w=1000")


def _smuggled(rude: Rude) -> Iterator[bytes]:
    """Two lengths of different kinds, with a request of its own in what one of them calls the body."""
    inner = _good(rude, "POST", rude.order_path, body=b"")
    chunked = [("Transfer-Encoding", "chunked")]
    outer = _good(rude, "POST", rude.order_path, more=chunked, body=b"0\r\n\r\n" + inner)
    yield outer


KINDS: dict[str, Kind] = {
    "noise": Kind(_noise),
    "endless head": Kind(_endless_head),
    "length wrong": Kind(lambda rude: _raw_length(rude, "5x")),
    "length negative": Kind(lambda rude: _raw_length(rude, "-5")),
    "length huge": Kind(lambda rude: _raw_length(rude, "9" * 25)),
    "body 60 MB": Kind(_big, owed_us=OWED_BIG_US),
    "no such class": Kind(lambda rude: iter([_good(rude, path="/no-such-class/x?w=1000")])),
    "no such tenant": Kind(lambda rude: iter([_good(rude, account="nobody")])),
    "deadline no number": Kind(lambda rude: iter([_good(rude, left="soon")])),
    "no id": Kind(lambda rude: iter([_good(rude, id="")])),
    "stolen id": Kind(lambda rude: iter([_good(rude, "POST", rude.order_path, id=rude.steal())])),
    "half a request": Kind(_half, closes=True, owed=False),
    "silent": Kind(_silent),
    "silent hundreds": Kind(_silent, connections=FLOOD_CONNECTIONS),
    "hundreds at once": Kind(_flood),
    "two lengths": Kind(_smuggled),
    "again": Kind(lambda rude: iter([_good(rude, path="/no-such-class/x?w=1000")]), again=True),
}


class _Link(asyncio.Protocol):
    """One connection; reads whatever it is sent."""

    def __init__(self, rude: Rude, name: str, kind: Kind) -> None:
        self.rude, self.name, self.kind = rude, name, kind
        self.reader = AnswerReader()
        self.chunks = kind.chunks(rude)
        self.ended: asyncio.Future[str] = rude.loop.create_future()
        self.sent, self.writable = 0, True
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = stream(transport)
        self.rude.loop.call_soon(self.write)

    def write(self) -> None:
        """One piece in each turn of the loop, so that an endless one lets others have theirs."""
        if not self.writable or self.transport.is_closing():
            return
        chunk = next(self.chunks, None)
        if chunk is not None:
            self.transport.write(chunk)
            self.rude.loop.call_later(PIECE_GAP_S, self.write)
        elif self.kind.closes:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        try:
            answers = self.reader.feed(data)
        except Garbled:
            self.over("garbled")
            return
        for answer in answers:
            # Success where an error is owed: the program has served what it cannot have understood.
            self.over("error" if 400 <= answer.status <= 599 else "served")
        if answers and self.kind.again and self.sent < AGAIN_MOST and answers[-1].keep_alive:
            self.sent += 1
            self.chunks = self.kind.chunks(self.rude)
            self.write()

    def eof_received(self) -> None:
        self.over("closed")

    def connection_lost(self, error: Exception | None) -> None:
        self.over("closed")

    def pause_writing(self) -> None:
        self.writable = False

    def resume_writing(self) -> None:
        self.writable = True
        self.write()

    def over(self, how: str) -> None:
        if not self.ended.done():
            self.ended.set_result(how)


class Rude:
    """The rude clients of one hall.

    `open_ids` gives ids of requests that sound clients have open at a balancer, to steal one of; no balancer
    can know what is open at another one.  `tallies` counts, for each kind, `error`, `closed`, `garbled`,
    `served`, `late` (neither in time) and `refused` (no connection).
    """

    read_path: str
    order_path: str

    def __init__(
        self,
        hall: str,
        front: Front,
        rng: Random,
        classes: Sequence[str],
        tenant: str = "",
        open_ids: Callable[[str], Sequence[str]] = lambda balancer: (),
        log: WireLog | None = None,
        clock: Callable[[], int] = lambda: 0,
    ) -> None:
        self.hall, self.rng, self.tenant = hall, rng, tenant
        self._log, self._clock = log, clock
        self._balancer = ""  # that the client which is just coming has picked
        self.read_path, self.order_path = f"/{classes[0]}/f0000?w=10000", f"/{classes[-1]}/f0000?w=10000"
        self._front, self._open_ids = front, open_ids
        self.tallies: dict[str, Counter[str]] = {}
        self.loop: asyncio.AbstractEventLoop

    def new_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    def steal(self) -> str:
        ids = self._open_ids(self._balancer)
        return self.rng.choice(ids) if ids else ""

    async def visit(self, name: str) -> None:
        """One client of this kind comes, and goes once it has what it is owed, or did not get it in time."""
        if name not in KINDS:
            raise ValueError(f"kind: {name!r} is not known: give one of {', '.join(KINDS)}")
        self.loop = asyncio.get_running_loop()
        kind = KINDS[name]
        await asyncio.gather(*(self._connect(name, kind) for _ in range(kind.connections)))

    async def play(self, names: Sequence[str], gap_s: float, until: float) -> None:
        """Clients of these kinds in turn, one after each gap on average, until the loop's time `until`."""
        loop = asyncio.get_running_loop()
        visits: dict[asyncio.Task[None], None] = {}
        turn = 0
        while loop.time() < until:
            task = loop.create_task(self.visit(names[turn % len(names)]))
            visits[task] = None
            task.add_done_callback(lambda task: visits.pop(task, None))
            turn += 1
            await asyncio.sleep(self.rng.expovariate(1 / gap_s))
        await asyncio.gather(*list(visits))

    async def _connect(self, name: str, kind: Kind) -> None:
        since, picked = 0, self._front.pick(self.hall)
        self._balancer = picked[0] if picked else ""
        if name == "stolen id" and not self._open_ids(self._balancer):
            return  # there is nothing to steal
        link = _Link(self, name, kind)
        try:
            async with asyncio.timeout(kind.owed_us / 1e6):
                if picked is None:
                    raise ConnectionRefusedError("no balancer is taken in")
                await self.loop.create_connection(lambda: link, *picked[1])
                since = self._clock()
                how = await link.ended
        except OSError as e:
            how = "late" if isinstance(e, TimeoutError) else "refused"
        finally:
            if hasattr(link, "transport"):
                link.transport.abort()
        self.tallies.setdefault(name, Counter())[how] += 1
        if self._log and picked and hasattr(link, "transport"):
            self._log.write(
                RudeLeft(
                    self._clock(), since, f"rude clients of {self.hall}", picked[0], name, how, kind.owed
                )
            )

    def unpaid(self) -> dict[str, int]:
        """Clients that were owed an error or a close and got neither in time, by kind."""
        return {
            name: tally["late"] + tally["served"]
            for name, tally in self.tallies.items()
            if KINDS[name].owed and tally["late"] + tally["served"]
        }
