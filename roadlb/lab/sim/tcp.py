"""TCP as a kernel has it: two ends, a pipe each way, windows, FIN and reset.  No asyncio."""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Literal, Protocol, TypeAlias

from .route import FIRST_RETRY_US

if TYPE_CHECKING:
    from .host import Host
    from .loop import SimLoop
    from .route import Route
    from .taps import Taps

GIVE_UP_US = 924_600_000  # Linux ends a connection whose data stay unanswered for so long
WRITABLE_SHARE = 3  # ... and wakes a writer once a third of the buffer is free


# What a segment is; the names that taps see.
Kind: TypeAlias = Literal["data", "fin", "reset"]


class Watcher(Protocol):
    """Who is told that an end can be read or written: the transport."""

    def readable(self) -> None: ...
    def writable(self) -> None: ...


class Pipe:
    """One direction of a connection: segments under way, in order whatever the jitter."""

    __slots__ = (
        "loop",
        "route",
        "taps",
        "number",
        "source",
        "target",
        "_queue",
        "_last_us",
        "_armed",
        "_lost_us",
        "_event",
    )

    def __init__(
        self, loop: SimLoop, route: Route, taps: Taps, number: int, source: End, target: End
    ) -> None:
        self.loop, self.route, self.taps, self.number = loop, route, taps, number
        self.source, self.target = source, target
        self._queue: deque[tuple[int, Kind, bytes]] = deque()
        self._last_us = 0
        self._armed = False
        self._lost_us = -1  # since when segments have been lost; -1: they are not
        self._event = self._arrive

    def send(self, kind: Kind, data: bytes = b"") -> None:
        route = self.route
        link = route.link
        if data and (link.split or 0 < link.segment_bytes < len(data)):
            for part in route.parts(data):
                self._send(kind, part)
                self._last_us += 1  # so that the parts are read apart
            self._last_us -= 1
        else:
            self._send(kind, data)

    def not_before(self, at_us: int) -> None:
        self._last_us = max(self._last_us, at_us)

    def clear(self) -> None:
        """What is under way will never arrive, nor be sent again."""
        self._queue.clear()

    def reset(self) -> None:
        """Only a reset is under way now, however long nothing got through."""
        self._queue.clear()
        self._lost_us = -1
        self._send("reset", b"")

    def _send(self, kind: Kind, data: bytes) -> None:
        at, wait = self.route.arrival(len(data)), FIRST_RETRY_US
        while self.route.loses():
            at, wait = at + wait, 2 * wait
        self._last_us = max(self._last_us, at)
        self._queue.append((self._last_us, kind, data))
        if self._lost_us >= 0:
            return
        if self.route.silent:
            self._lose()
        elif not self._armed:
            self._armed = True
            self.loop.kernel_at(self._last_us, self._event)

    def _arrive(self) -> None:
        self._armed = False
        if self._lost_us >= 0 or not self._queue:
            return
        if self.route.silent:
            self._lose()
            return
        queue, now = self._queue, self.loop.now_us
        while queue and queue[0][0] <= now:
            _, kind, data = queue.popleft()
            self.taps.seen(now, kind, self.number, self.source.name, self.target.name, data)
            self.target.take(kind, data)
        if queue:
            self._armed = True
            self.loop.kernel_at(queue[0][0], self._event)

    def _lose(self) -> None:
        """Nothing gets through: TCP tries again and again, and gives up in the end."""
        self._lost_us = lost = self.loop.now_us
        self.route.when_open(self._found_open)
        self.loop.kernel_at(lost + GIVE_UP_US, partial(self._give_up, lost))

    def _found_open(self) -> None:
        self.loop.kernel_at(self.route.retry_at(self._lost_us), self._retry)

    def _retry(self) -> None:
        if self.route.silent:
            self.route.when_open(self._found_open)
            return
        self._lost_us = -1
        start = self.route.arrival(0)
        self._queue = deque((max(at, start), kind, data) for at, kind, data in self._queue)
        self._last_us = max(self._last_us, start)
        if self._queue and not self._armed:
            self._armed = True
            self.loop.kernel_at(self._queue[0][0], self._event)

    def _give_up(self, lost_us: int) -> None:
        if self._lost_us == lost_us:
            self.source.fail(TimeoutError(errno.ETIMEDOUT, "Connection timed out"))


class End:
    """One end of a connection: what a socket is to the program that holds it.

    `send` and `recv` behave as on a non-blocking socket.  `window`: how much more the peer's kernel takes.
    """

    __slots__ = (
        "host",
        "ip",
        "port",
        "name",
        "peer",
        "out",
        "connection",
        "watcher",
        "data_at",
        "unread",
        "fin_in",
        "fin_out",
        "dead",
        "closed",
        "error",
        "linger_zero",
        "wants_write",
        "send_buffer",
        "window",
        "on_close",
        "_received",
        "_unsent",
        "_unsent_size",
        "_fin_sent",
    )

    peer: End
    out: Pipe
    connection: Connection

    def __init__(self, host: Host, ip: str, port: int, send_buffer: int, window: int) -> None:
        self.host, self.ip, self.port = host, ip, port
        self.name = f"{ip}:{port}"
        self.watcher: Watcher | None = None
        self.data_at = 0  # when bytes last came
        self.unread = 0  # bytes received, and not yet read
        self.fin_in = False  # the peer writes no more
        self.fin_out = False  # we write no more
        self.dead = False  # reset or given up: nothing goes out any more
        self.closed = False  # by the program, which no longer holds it
        self.error: OSError | None = None  # what the next call raises
        self.linger_zero = False  # SO_LINGER of 0 s: closing resets
        self.wants_write = False  # the program waits for room
        self.send_buffer, self.window = send_buffer, window
        self.on_close: Callable[[], None] | None = None  # gives back the descriptor
        self._received: deque[bytes] = deque()
        self._unsent: deque[bytes] = deque()
        self._unsent_size = 0
        self._fin_sent = False

    # For the program

    def send(self, data: bytes) -> int:
        """How many bytes the kernel took; BlockingIOError: none, wait until it is writable."""
        if self.error is not None:
            raise self._take_error()
        if self.dead or self.fin_out:
            raise BrokenPipeError(errno.EPIPE, "Broken pipe")
        size = len(data)
        if not self._unsent and size <= self.window:
            self.window -= size
            self.out.send("data", data)
            return size
        room = self.send_buffer - self._unsent_size + (0 if self._unsent else self.window)
        if room <= 0:
            raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")
        part = data[:room]
        self._unsent.append(part)
        self._unsent_size += len(part)
        self._push()
        return len(part)

    def recv(self, size: int, peek: bool = False) -> bytes:
        """Bytes; b"": the peer writes no more; BlockingIOError: none yet."""
        received = self._received
        if received:
            if len(received) == 1 and len(received[0]) <= size:
                data = received[0]
                if not peek:
                    received.clear()
            else:
                joined = b"".join(received)
                data = joined[:size]
                if not peek:
                    received.clear()
                    if len(joined) > size:
                        received.append(joined[size:])
            if not peek:
                self.unread -= len(data)
                self.peer.credit(len(data))
            return data
        if self.error is not None:
            raise self.error if peek else self._take_error()
        if self.fin_in or self.dead:
            return b""
        raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")

    def has_news(self) -> bool:
        """Would `recv` not block?"""
        return bool(self._received) or self.fin_in or self.dead

    def has_room(self) -> bool:
        """Would the kernel wake a writer?"""
        return self.dead or self._unsent_size * WRITABLE_SHARE <= self.send_buffer * (WRITABLE_SHARE - 1)

    def shutdown_write(self) -> None:
        """Write no more; the peer reads the end once it has read what was sent."""
        if not (self.fin_out or self.dead):
            self.fin_out = True
            self._push()

    def close(self) -> None:
        """Let go of it: in order, or by a reset where unread bytes are thrown away."""
        if self.closed:
            return
        self.closed, self.watcher, self.wants_write = True, None, False
        if self.on_close is not None:
            self.on_close()
        if not self.dead:
            if self.unread or self.linger_zero:
                self.reset()
            else:
                self.fin_out = True
                self._push()
        self._received.clear()
        self.connection.settle()

    def reset(self) -> None:
        """Tell the peer that this connection is no more."""
        if not self.dead:
            self._die()
            self.out.send("reset")
            self.connection.settle()

    def fail(self, error: OSError) -> None:
        """The connection ended under the program: it meets `error` at its next call."""
        if self.dead:
            return
        self._die()
        if not self.closed:
            self.error = error
            if self.watcher is not None:
                self.watcher.readable()
                self.watcher.writable()
        self.connection.settle()

    def vanish(self) -> None:
        """Its machine lost all memory of it; nobody is told."""
        self._die()
        self.closed, self.watcher = True, None
        self._received.clear()
        self.out.clear()

    # For the network

    def take(self, kind: Kind, data: bytes) -> None:
        """A segment arrived."""
        if kind == "reset":
            self.fail(
                BrokenPipeError(errno.EPIPE, "Broken pipe")
                if self.fin_in
                else ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
            )
            return
        if self.closed or self.dead:
            if kind == "data" and not self.peer.dead:
                self._die()
                self.out.send("reset")  # nobody is left to read this
            elif kind == "fin":
                self.fin_in = True
                self.connection.settle()
            return
        if kind == "data":
            self._received.append(data)
            self.unread += len(data)
            self.data_at = self.out.loop.now_us
        else:
            self.fin_in = True
        if self.watcher is not None:
            self.watcher.readable()

    def credit(self, size: int) -> None:
        """The peer's program has read so much: its kernel takes as much again, once we are told."""
        if self.dead:
            return
        if self._unsent:
            self.peer.out.route.carry(partial(self._credited, size))
        else:
            self.window += size

    def _credited(self, size: int) -> None:
        self.window += size
        self._push()
        if self.wants_write and self.watcher is not None and self.has_room():
            self.watcher.writable()

    def _push(self) -> None:
        """Send what the peer's kernel takes."""
        unsent = self._unsent
        while unsent and self.window > 0:
            data = unsent.popleft()
            if len(data) > self.window:
                unsent.appendleft(data[self.window :])
                data = data[: self.window]
            self.window -= len(data)
            self._unsent_size -= len(data)
            self.out.send("data", data)
        if self.fin_out and not unsent and not self._fin_sent and not self.dead:
            self._fin_sent = True
            self.out.send("fin")
            self.connection.settle()

    def _die(self) -> None:
        self.dead = True
        self._unsent.clear()
        self._unsent_size = 0

    def _take_error(self) -> OSError:
        error, self.error = self.error, None
        assert error is not None
        return error

    @property
    def settled(self) -> bool:
        """Is nothing left that could happen to it?"""
        return self.dead or (self.closed and self._fin_sent and self.fin_in)


class Connection:
    """Two ends; `client` dialled."""

    __slots__ = ("number", "client", "server", "_registry")

    def __init__(self, number: int, client: End, server: End, registry: dict[int, Connection]) -> None:
        self.number, self.client, self.server, self._registry = number, client, server, registry
        registry[number] = self

    def __repr__(self) -> str:
        return f"<Connection {self.number} {self.client.name} -> {self.server.name}>"

    def reset(self) -> None:
        """As by a box on the way: both ends are told now."""
        for end in (self.client, self.server):
            end.fail(ConnectionResetError(errno.ECONNRESET, "Connection reset by peer"))

    def settle(self) -> None:
        """Forget it once neither end needs it."""
        if self.client.settled and self.server.settled:
            self._registry.pop(self.number, None)
