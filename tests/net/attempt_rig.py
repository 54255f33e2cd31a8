"""A real engine and server side over loopback sockets, with scripted decisions and servers the test plays.

The order of two events is forced by handshakes: a dial comes up when the test lets it (`Dials`), a server
reads, answers and closes step by step, and the clock can be moved on without waiting.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import uvloop
from harness import CONFIG, RecordingCounters

from roadlb.clock import monotonic_us
from roadlb.config import Address
from roadlb.engine import Engine
from roadlb.exchange import Answer, AttemptOutcome, Exchange, Message
from roadlb.net.pool import SETTLE_US
from roadlb.net.server_connections import ServerConnections
from roadlb.policy.interface import NEVER_RAN, Action, Arrival, Event, Fail, Outcome, Send, ServerId
from roadlb.wheel import TimerWheel

LIMIT_S = 10.0  # a step that has not happened by then never will
HELD_UP_MS = 1_000
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
ORDER = b"POST"


class Decider:
    """Sends each request to the servers in turn: on to the next where the last attempt never ran, or where
    `repeats` allows it."""

    def __init__(self, servers: list[ServerId]) -> None:
        self.servers = servers
        self.repeats = False
        self.sent: dict[int, int] = {}
        self.outcomes: list[Outcome] = []
        self.timeout_us = self.write_within_us = self.now_us = 0
        self.scripted: dict[type, Callable[[Any], list[Action]]] = {}

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now_us = now
        if type(event) in self.scripted:
            return self.scripted[type(event)](event)
        if isinstance(event, Arrival):
            return self.next(event.request)
        if isinstance(event, Outcome):
            self.outcomes.append(event)
            if event.closed:
                return []
            if event.status in NEVER_RAN or self.repeats:
                return self.next(event.request)
            return [Fail(event.request)]
        return []

    def next(self, request: int) -> list[Action]:
        number = self.sent.get(request, 0)
        if number == len(self.servers):
            return [Fail(request)]
        self.sent[request] = number + 1
        write_by_us = self.now_us + self.write_within_us if self.write_within_us else 0
        return [Send(request, self.servers[number], self.timeout_us, write_by_us)]


class Dials:
    """The event loop as the pool dials on it: connections are made, and come up when the test says so."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.made = asyncio.Event()
        self.up = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *told: Any) -> Any:
        connection = await self._loop.create_connection(*told)
        self.made.set()
        await self.up.wait()
        return connection


class Link:
    """A server's end of a connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        sock.setblocking(False)
        self.read = b""

    async def request(self) -> bytes:
        """The next whole request."""
        loop = asyncio.get_running_loop()
        while (whole := length_of(self.read)) is None or len(self.read) < whole:
            piece = await loop.sock_recv(self.socket, 65_536)
            assert piece, "the connection ended within a request"
            self.read += piece
        request, self.read = self.read[:whole], self.read[whole:]
        return request

    async def rest(self) -> bytes:
        """All that still comes till the connection ends."""
        loop = asyncio.get_running_loop()
        rest, self.read = self.read, b""
        try:
            while piece := await loop.sock_recv(self.socket, 65_536):
                rest += piece
        except ConnectionError:
            pass
        return rest

    def send(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def answer(self, body: bytes = b"done") -> None:
        self.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def ends(self) -> bool:
        """Has the program closed it, or does so within a while in which its event loop makes no turn?"""
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        return bool(poll.poll(HELD_UP_MS))

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.socket.close()


def length_of(data: bytes) -> int | None:
    """The length of the request that begins here, once its head has come."""
    head, end, _ = data.partition(b"\r\n\r\n")
    if not end:
        return None
    lengths = [int(line[15:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length:")]
    return len(head) + 4 + (lengths[0] if lengths else 0)


def time_left_us(request: bytes) -> int:
    """What a request tells in X-Time-Left."""
    return round(float(request.partition(b"X-Time-Left: ")[2].partition(b"\r\n")[0]) * 1e6)


class Server:
    """A server's listening socket."""

    def __init__(self, receive_buffer: int = 0) -> None:
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen()
        self.socket.setblocking(False)
        self.address = Address(*self.socket.getsockname())

    async def accept(self) -> Link:
        sock, _ = await asyncio.get_running_loop().sock_accept(self.socket)
        return Link(sock)


class Rig:
    """Engine, server side and `count` servers, named b"s0", b"s1" ..."""

    def __init__(self, count: int, receive_buffer: int = 0) -> None:
        self.servers = [Server(receive_buffer) for _ in range(count)]
        self.ids = [b"s%d" % i for i in range(count)]
        self.counters = RecordingCounters()
        self.moved_us = self.held_at_us = 0
        self.decider = Decider(self.ids)
        wheel = TimerWheel(self.clock)
        self.engine = Engine(self.decider, self.counters, self.clock, wheel)
        config = replace(CONFIG, dial_timeout_us=int(LIMIT_S * 1e6))
        self.instances = ServerConnections(config, self.engine, self.counters, self.clock, wheel)
        self.engine.executor = self.instances
        self.answers: list[Answer] = []
        self.answered = asyncio.Event()
        self.list(self.ids)

    def clock(self) -> int:
        return (self.held_at_us or monotonic_us()) + self.moved_us

    def hold_clock(self) -> None:
        """From now on the clock goes on by `moved_us` alone."""
        self.held_at_us = self.held_at_us or monotonic_us()

    def list(self, up: list[ServerId], draining: tuple[ServerId, ...] = (), born_us: int = 0) -> None:
        """A whole list of these, all started at one time, as discovery's watch takes one."""
        named = zip(self.ids, self.servers, strict=True)
        listed = {id: (id.decode(), server.address) for id, server in named if id in (*up, *draining)}
        self.instances.list_update(
            listed, [], whole=True, draining=draining, born_us=dict.fromkeys(listed, born_us)
        )
        self.instances.withdraw()

    def hold_dials(self) -> Dials:
        dials = Dials()
        self.instances.pool._loop = dials  # type: ignore[assignment]
        return dials

    def open(self, method: bytes = b"GET", body: bytes = b"", left_us: int = 5_000_000) -> Exchange:
        self.answered.clear()
        made = Exchange(Message(method, b"/x", b"", body), 0, 0, 1, left_us, 0, False, self._on_answer)
        self.engine.open(made)
        return made

    def _on_answer(self, exchange: Exchange, answer: Answer) -> None:
        self.answers.append(answer)
        self.answered.set()

    async def ended(self, exchange: Exchange, number: int) -> AttemptOutcome:
        """How an attempt ended, once it has."""
        while len(exchange.attempts) <= number or exchange.attempts[number].outcome is None:
            await asyncio.sleep(0)
        ending = exchange.attempts[number].outcome
        assert ending is not None
        return ending

    async def reused(self) -> Link:
        """A connection to the first server that has carried a request, and has rested for SETTLE_US."""
        self.open()
        link = await self.servers[0].accept()
        await link.request()
        link.answer()
        await self.answered.wait()
        while not self.instances.pool._all_idle:
            await asyncio.sleep(0)
        self.moved_us += SETTLE_US
        self.answers.clear()
        self.decider.outcomes.clear()
        return link


def play(main: Callable[[], Coroutine[None, None, None]]) -> None:
    """Run on the program's event loop, within the limit."""

    async def limited() -> None:
        async with asyncio.timeout(LIMIT_S):
            await main()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(limited())


async def turns(count: int) -> None:
    """Let the event loop read and write what there is."""
    for _ in range(count):
        await asyncio.sleep(0)
