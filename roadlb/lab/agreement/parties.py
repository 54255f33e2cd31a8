"""What stands round the processes: nodes that record what came, clients that never rest, the discovery.

A client's requests bear an id that begins with the balancer that it sent them to, so that a node knows from
whom each came; what bears none (a probe) is not of a client.  All live in the judge's own loop, which records
by how much it was late itself (`Beat`): what was late by the machine counts against nobody.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from ...clock import monotonic_us
from ..parties.http import (
    ACCOUNT,
    CORRELATION_ID,
    Garbled,
    Message,
    RequestReader,
    write_answer,
    write_request,
)
from ..parties.links import stream
from .judge import Sent
from .watch import HOST

BEAT_S = 0.01
HELD_US = 250_000  # half of what a request may take
DISCOVERY_BEAT_S = 1.0
REST_S = 0.01  # between an answer and a client's next request
REFUSED, SERVED = 503, 200
PERIODS = 0.5, 1.5  # of a client's period, from one request to the next
ANSWER_S = 5.0


class Beat:
    """`late_us`: the longest that this loop was held up; `held`: from when until when, each time that it was
    for HELD_US or longer."""

    def __init__(self) -> None:
        self.late_us, self.held = 0, list[tuple[int, int]]()
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            at = monotonic_us()
            await asyncio.sleep(BEAT_S)
            over = monotonic_us()
            late_us = over - at - round(BEAT_S * 1e6)
            self.late_us = max(self.late_us, late_us)
            if late_us >= HELD_US:
                self.held.append((at, over))

    def end(self) -> None:
        self._task.cancel()


class Node(asyncio.Protocol):
    """One connection of a node, which has an `answer` for each message; `got` is called with (balancer,
    customer) for each request of a client, and gives the seconds until its answer."""

    def __init__(self, got: Callable[[str, str], float]) -> None:
        self._got, self._reader = got, RequestReader()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = stream(transport)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self._reader.feed(data)
        except Garbled:
            self.transport.abort()
            return
        for message in messages:
            self.answer(message)

    def answer(self, message: Message) -> None:
        id, later_s = message.headers.get(CORRELATION_ID.lower(), ""), 0.0
        if id.count(".") == 2:
            balancer, customer, _ = id.split(".")
            later_s = self._got(balancer, customer)
        if later_s:
            asyncio.get_running_loop().call_later(later_s, self._say, message.keep_alive)
        else:
            self._say(message.keep_alive)

    def _say(self, keep_alive: bool) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(write_answer(200, [], b""))
        if not keep_alive:
            self.transport.close()


class Platform:
    """Discovery's watch, whose list changes when `tell` is called."""

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, object]] = {}
        self.address: tuple[str, int] = (HOST, 0)
        self._generation = 1
        self.lines: list[bytes] = []  # told since the beginning
        self._server: asyncio.Server
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def place(self, i: int, port: int) -> None:
        """Node i is in the list, before anybody asks for it."""
        self.entries[f"node-{i}"] = {
            "instanceId": f"node-{i}",
            "hostPort": f"{HOST}:{port}",
            "lifecycle": "up",
            "weight": 1.0,
            "zone": f"hall-{'abc'[i % 3]}",
            "startedAtMs": 1_000,
        }

    def tell(self, name: str, **values: object) -> int:
        """An entry changes; the clock then."""
        self._generation += 1
        self.entries[name] = {**self.entries[name], **values}
        self.lines.append(
            json.dumps(
                {"generation": self._generation, "reset": False, "instances": [self.entries[name]]}
            ).encode()
        )
        return monotonic_us()

    def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._watch(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            told, line = (
                len(self.lines),
                json.dumps(
                    {"generation": self._generation, "reset": True, "instances": list(self.entries.values())}
                ).encode(),
            )
            at = monotonic_us()
            while not writer.is_closing():
                if line or monotonic_us() - at > DISCOVERY_BEAT_S * 1e6:
                    at = monotonic_us()
                    writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
                    await writer.drain()
                if told < len(self.lines):
                    line, told = self.lines[told], told + 1
                else:
                    line = b""
                    await asyncio.sleep(BEAT_S)
        writer.close()

    async def stop(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@dataclass(frozen=True, slots=True)
class Asked:
    """A request of a client that was answered, by the machine's monotonic clock."""

    sent: int
    answered: int
    balancer: str
    customer: str
    status: int


class Client:
    """Sends to one balancer, one request after the other, until `end`; `answers` by status (0: none, and
    `why` by the error's name); `answer_s`: without an answer it dials anew.

    From one to the next is about `period_s` at the least, so that who is refused asks no more often.  It is
    drawn each time: lines that keep time with each other are one burst, which is served or refused as one.
    `asked`: of each answered request when it was sent, when it was answered, and the status.
    """

    def __init__(
        self,
        balancer: str,
        at: tuple[str, int],
        customer: str,
        class_name: str,
        line: int = 0,
        period_s: float = 0.0,
    ) -> None:
        self.balancer, self._at, self.customer, self._class = balancer, at, customer, class_name
        self.line, self.period_s = line, period_s
        self.answers: dict[int, int] = {}
        self.asked: list[Asked] = []
        self.why, self.answer_s = Counter[str](), ANSWER_S
        self._random = Random(f"{balancer} {customer} {line}")
        self.then: Callable[[], None] | None = None  # once, right behind the bytes of a request
        self._number = 0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            writer: asyncio.StreamWriter | None = None
            try:
                async with asyncio.timeout(self.answer_s):
                    reader, writer = await asyncio.open_connection(*self._at)
                while True:
                    began = monotonic_us()
                    async with asyncio.timeout(self.answer_s):
                        status = await self._one(reader, writer)
                    self.answers[status] = self.answers.get(status, 0) + 1
                    self.asked.append(Asked(began, monotonic_us(), self.balancer, self.customer, status))
                    period_s = self.period_s * self._random.uniform(*PERIODS)
                    await asyncio.sleep(max(REST_S, period_s - (monotonic_us() - began) / 1e6))
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as e:
                self.answers[0] = self.answers.get(0, 0) + 1
                self.why[type(e).__name__] += 1
                await asyncio.sleep(10 * REST_S)  # it is stopped, or starts again
            finally:
                if writer is not None:
                    writer.close()

    def request(self, number: int) -> bytes:
        """The one of this number, from 1."""
        id = f"{self.balancer}.{self.customer}.{self.line}x{number}"
        key = self.line * 1_000 + number % 1_000
        return write_request(
            "GET",
            f"/{self._class}/{key}?w=1",
            (("Host", "backend.local"), (CORRELATION_ID, id), (ACCOUNT, self.customer)),
        )

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> int:
        self._number += 1
        writer.write(self.request(self._number))
        if self.then is not None:
            then, self.then = self.then, None
            then()
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        size = next(
            (int(line.partition(b":")[2]) for line in lines if line.lower().startswith(b"content-length:")), 0
        )
        await reader.readexactly(size)
        return int(lines[0].split()[1])

    async def end(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


class Nodes:
    """Which balancer's request came to which node (`sent`), and when it was read, in that order.

    A request takes `least_s`, and before it `each_s` of the one thing that all nodes share, as of a database
    behind them: one after the other, so that all wait longer if more is sent.  0: no time."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.least_s = self.each_s = 0.0
        self._free_at = 0
        self.servers: list[asyncio.Server] = []

    async def start(self, name: str) -> int:
        """One more node; its port."""

        def got(balancer: str, customer: str) -> float:
            at = monotonic_us()
            self.sent.append(Sent(at, balancer, name))
            self._free_at = max(self._free_at, at) + round(self.each_s * 1e6)
            return self.least_s + (self._free_at - at) / 1e6 if self.each_s else self.least_s

        server = await asyncio.get_running_loop().create_server(lambda: Node(got), HOST, 0)
        self.servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port

    def end(self) -> None:
        for server in self.servers:
            server.close()
