"""Listening and dialling as a kernel does them: the queue of whole connections, and SYNs sent again."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Literal, TypeAlias

from .names import address
from .tcp import Connection, End, Pipe

if TYPE_CHECKING:
    from .host import Host
    from .network import Network

# What becomes of a dial: `accept` where somebody listens, `refuse` (a reset answers), `ignore` (silence).
Verdict: TypeAlias = Literal["accept", "refuse", "ignore"]

SYN_AGAIN_US = 1_000_000  # Linux dials again after 1 s, then after twice as long each time ...
SYN_TRIES = 7  # ... and gives up 127 s after the first


class Listener:
    """A listening socket.  As on Linux it holds one connection more than its backlog says."""

    __slots__ = ("host", "ip", "port", "backlog", "when_full", "queue", "on_news", "closed")

    def __init__(self, host: Host, ip: str, port: int, backlog: int, when_full: Verdict) -> None:
        self.host, self.ip, self.port, self.backlog, self.when_full = host, ip, port, backlog, when_full
        self.queue: deque[End] = deque()
        self.on_news: Callable[[], None] | None = None
        self.closed = False

    def full(self) -> bool:
        return len(self.queue) > self.backlog

    def offer(self, end: End) -> None:
        self.queue.append(end)
        if self.on_news is not None:
            self.on_news()

    def close(self) -> None:
        """What was never accepted is reset."""
        if self.closed:
            return
        self.closed, self.on_news = True, None
        self.host.listeners.pop((self.ip, self.port), None)
        self.host.give_back_descriptor()
        for end in self.queue:
            end.closed = True
            end.reset()
        self.queue.clear()


class Dial:
    """One `connect()`: `answer` gets the client's end, or the error that the call ends with."""

    def __init__(
        self, network: Network, host: Host, ip: str, port: int, target_ip: str, target_port: int
    ) -> None:
        self.network, self.loop, self.host = network, network.loop, host
        self.ip, self.port, self.target_ip, self.target_port = ip, port, target_ip, target_port
        self.answer: asyncio.Future[End] = self.loop.create_future()
        self._tries = 0
        self._over = False  # connected, failed or given up
        self._given_up = False  # the program has closed the socket meanwhile
        self._connection: Connection | None = None
        self._target = network.machine(host, target_ip)
        host.dials[self] = None
        self._syn()

    def give_up(self) -> None:
        """The program has closed the socket: a connection that comes yet is reset."""
        if not self._over:
            self._end()
            self._given_up = True

    def _end(self) -> None:
        self._over = True
        self.host.dials.pop(self, None)

    def _fail(self, error: OSError) -> None:
        if not self._over:
            self._end()
            if not self.answer.done():
                self.answer.set_exception(error)

    def _error(self, kind: type[OSError], number: int) -> OSError:
        return kind(number, f"Connect call failed {address(self.target_ip, self.target_port)!r}")

    def _syn(self) -> None:
        if self._over:
            return
        if self._tries == SYN_TRIES:
            self._fail(self._error(TimeoutError, errno.ETIMEDOUT))
            return
        if self._target is not None:
            route = self.network.route(self.host, self._target)
            if not (route.silent or route.loses()):
                self.loop.kernel_at(route.arrival(0), self._syn_arrives)
        self.loop.kernel_at(self.loop.now_us + (SYN_AGAIN_US << self._tries), self._syn)
        self._tries += 1

    def _syn_arrives(self) -> None:
        target = self._target
        assert target is not None
        if self.network.route(self.host, target).silent:
            return
        if self._connection is not None:
            self._answer(self._syn_ack)  # the first answer was lost, or is on its way
            return
        verdict = self.network.verdict(self.host, target, self.target_port)
        listener = target.listener(self.target_ip, self.target_port)
        if verdict == "accept":
            if listener is None:
                verdict = "refuse"
            elif listener.full():
                verdict = listener.when_full
        if verdict == "refuse":
            self.network.taps.seen(
                self.loop.now_us,
                "refuse",
                0,
                f"{self.ip}:{self.port}",
                f"{self.target_ip}:{self.target_port}",
            )
            self._answer(self._refused)
        elif verdict == "accept" and listener is not None:
            self._connect(target, listener)

    def _answer(self, event: Callable[[], None]) -> int:
        """Send one back; lost, it comes again when the next SYN does."""
        assert self._target is not None
        back = self.network.route(self._target, self.host)
        at = back.arrival(0)
        if not (back.silent or back.loses()):
            self.loop.kernel_at(at, lambda: None if back.silent else event())
        return at

    def _connect(self, target: Host, listener: Listener) -> None:
        network, host = self.network, self.host
        client = End(host, self.ip, self.port, host.send_buffer, target.receive_buffer)
        server = End(target, self.target_ip, self.target_port, target.send_buffer, host.receive_buffer)
        self._connection = connection = network.connect(client, server)
        client.peer, server.peer = server, client
        client.connection = server.connection = connection
        for end in (client, server):
            route = network.route(end.host, end.peer.host)
            end.out = Pipe(self.loop, route, network.taps, connection.number, end, end.peer)
        network.taps.seen(self.loop.now_us, "open", connection.number, client.name, server.name)
        server.out.not_before(self._answer(self._syn_ack))
        listener.offer(server)

    def _refused(self) -> None:
        self._fail(self._error(ConnectionRefusedError, errno.ECONNREFUSED))

    def _syn_ack(self) -> None:
        assert self._connection is not None
        client = self._connection.client
        if self.answer.cancelled():
            self.give_up()
        if self._given_up:
            client.closed = True
            client.reset()
        elif not self._over:
            self._end()
            self.answer.set_result(client)
