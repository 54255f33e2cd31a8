"""What stands in for the network in real time: a relay before a node's listener, for one balancer.

It delays, goes silent, resets, and refuses dials while nothing listens behind it, as a network and a kernel
would.  A silent relay reads nothing, so that the kernels hold what is sent; its accept queue is filled up, so
that dials never come up (Linux drops the SYN of a full queue).  One that holds a way does not read what goes
that way, and passes the other.  A watch sees bytes before they go on, and may let a fault fall among them.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Flag, auto

from ..parties.discovery import Address
from ..parties.links import NO_LINGER, reset, stream

BACKLOG = 512
HIGH_WATER = 65_536


class Ways(Flag):
    """THERE: from who dials to who listens."""

    NONE = 0
    THERE = auto()
    BACK = auto()
    BOTH = THERE | BACK


# (way, bytes, pair) -> how many of them go on before `then`, and then; None: all of them, and nothing
Watch = Callable[[Ways, bytes, "Pair"], tuple[int, Callable[[], None]] | None]


class _Side(asyncio.Protocol):
    """One of the two connections; what comes is written to the other one after the delay."""

    def __init__(self, pair: Pair) -> None:
        self.pair = pair
        self.other: _Side
        self.transport: asyncio.Transport | None = None
        self.full = False
        self.ended = False  # it has been told that nothing more comes
        self._under_way: deque[tuple[float, bytes]] = deque()  # due, bytes; b"": the end of its writing
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = stream(transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        # uvloop begins to read after this call, whatever it was told in it.
        asyncio.get_running_loop().call_soon(self.read)
        self.deliver()

    def data_received(self, data: bytes) -> None:
        while (watch := self.pair.relay.watch) and (told := watch(self.way, data, self.pair)):
            size, then = told
            self.other.take(data[:size])
            self.other.push()
            then()
            if self.pair.over:
                return
            data = data[size:]
            if not data:
                return
        self.other.take(data)

    def eof_received(self) -> bool:
        self.other.take(b"")
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.pair.lost(self, error)

    def pause_writing(self) -> None:
        self.full = True
        self.other.read()

    def resume_writing(self) -> None:
        self.full = False
        self.other.read()

    @property
    def way(self) -> Ways:
        """Of what this side sends."""
        return Ways.THERE if self is self.pair.near else Ways.BACK

    @property
    def held(self) -> bool:
        """Does what is meant for this side not come through?"""
        return bool((self.pair.relay.holds | self.pair.holds) & self.other.way)

    @property
    def reads(self) -> bool:
        return not (self.pair.relay.silent or self.other.held or self.other.full)

    def read(self) -> None:
        """Whether it does is as it should be now."""
        if self.transport and not self.pair.over and not self.transport.is_closing():
            (self.transport.resume_reading if self.reads else self.transport.pause_reading)()

    def take(self, data: bytes) -> None:
        """Bytes for this side, which arrive after the delay, in order."""
        loop = asyncio.get_running_loop()
        self._under_way.append((loop.time() + self.pair.relay.delay(), data))
        self.deliver()

    def deliver(self) -> None:
        if self._timer or not self.transport or self.pair.relay.silent or self.held:
            return
        loop = asyncio.get_running_loop()
        while self._under_way:
            due, data = self._under_way[0]
            if due > loop.time():
                self._timer = loop.call_later(due - loop.time(), self._due)
                return
            self._under_way.popleft()
            if data:
                self.transport.write(data)
            else:
                self.ended = True
                self.transport.write_eof()
                if self.other.ended:  # neither end writes any more
                    self.pair.close()
                    return

    def push(self) -> None:
        """All that is under way arrives now, unless something holds it."""
        now = asyncio.get_running_loop().time()
        self._under_way = deque((min(due, now), data) for due, data in self._under_way)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self.deliver()

    def flush(self) -> None:
        """All that is under way arrives now, as nothing more will come behind it."""
        for _, data in self._under_way:
            if data and self.transport:
                self.transport.write(data)
        self.stop()

    def _due(self) -> None:
        self._timer = None
        self.deliver()

    def stop(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._under_way.clear()


class Pair:
    """A connection of the balancer, and the one to the node that belongs to it."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.near, self.far = _Side(self), _Side(self)
        self.near.other, self.far.other = self.far, self.near
        self.over = False
        self.holds = Ways.NONE  # of this connection alone, to its end

    def lost(self, side: _Side, error: Exception | None) -> None:
        """One end is gone; the other one is told, but not through a silent network."""
        if not self.over and not self.holds & side.way:
            self.relay.once_heard(side.way, self.reset if error else self.close)

    def close(self) -> None:
        """In order, with what is under way first."""
        if self.over:
            return
        for side in (self.near, self.far):
            side.flush()
            if side.transport:
                side.transport.close()
        self._end()

    def reset(self) -> None:
        """As by a box on the way: both ends are told now."""
        if self.over:
            return
        for side in (self.near, self.far):
            if side.transport:
                reset(side.transport)
        self._end()

    def _end(self) -> None:
        self.over = True
        self.near.stop()
        self.far.stop()
        self.relay.pairs.pop(self, None)


@dataclass(slots=True, frozen=True)
class Way:
    """Which two halls a relay stands between: a balancer's, and that of a node or of clients."""

    balancer_hall: str
    node_hall: str
    balancer: str = ""  # none: any


class Relay:
    """Listens from `open` to `close`, again and again at one address.  `delay` gives seconds, one way."""

    def __init__(self, way: Way, ip: str, target: Address, delay: Callable[[], float]) -> None:
        self.way, self.target, self.delay = way, target, delay
        self.address: Address = (ip, 0)
        self.silent = False
        self.deaf = False  # dials never come up
        self.vanished = False  # the node's machine is off the network
        self.holds = Ways.NONE  # what is sent these ways does not come through
        self.watch: Watch | None = None
        self.dials = 0  # that have come up here
        self.pairs: dict[Pair, None] = {}
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        self._plug: socket.socket | None = None
        self._later: list[tuple[Ways, Callable[[], None]]] = []
        self._dials: dict[asyncio.Task[None], None] = {}

    @property
    def is_open(self) -> bool:
        return self._listener is not None

    def open(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(self.address)
        self.address = listener.getsockname()
        self._listener = listener
        self._listen()

    def _listen(self) -> None:
        if self._listener and self.deaf:
            self._stop_accepting()
            self._plug_up()
        elif self._listener:
            self._unplug()
            self._listener.listen(BACKLOG)
            self._accepting = asyncio.get_running_loop().create_task(self._accept(self._listener))

    def close(self) -> None:
        """Nothing listens behind it any more: dials are refused, connections are reset."""
        self.refuse()
        for dial in self._dials:
            dial.cancel()
        for pair in list(self.pairs):
            pair.reset()

    def refuse(self) -> None:
        """Dials are refused from now on; connections go on."""
        self._stop_accepting()
        self._unplug()
        if self._listener:
            self._listener.close()
            self._listener = None

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listener)
            self.dials += 1
            dial = loop.create_task(self._dial(connection))
            self._dials[dial] = None
            dial.add_done_callback(lambda dial: self._dials.pop(dial, None))

    async def _dial(self, connection: socket.socket) -> None:
        loop, pair = asyncio.get_running_loop(), Pair(self)
        self.pairs[pair] = None
        try:
            # The other end first: nothing is taken from who dials that could not go on at once.
            await loop.create_connection(lambda: pair.far, *self.target)
            if pair.over:
                raise ConnectionResetError
            await loop.connect_accepted_socket(lambda: pair.near, connection)
        except (OSError, asyncio.CancelledError):
            pair.reset()
            if pair.near.transport is None:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                connection.close()

    # Silence

    def silence(self, on: bool) -> None:
        """No packet comes through, either way."""
        if on is self.silent:
            return
        self.silent = on
        self._read()
        self.deafen(on)
        if not on:
            self._go_on()

    def deafen(self, on: bool) -> None:
        """Dials never come up; connections go on."""
        if on is not self.deaf:
            self.deaf = on
            self._listen()

    def hold(self, ways: Ways) -> None:
        """What is sent these ways, and no other, does not come through, not even that a connection ended;
        dials come up all the same."""
        self.holds = ways
        self._read()
        self._go_on()

    def mute(self, on: bool) -> None:
        """One way only: the node hears the balancer, which hears nothing."""
        self.hold(Ways.BACK if on else Ways.NONE)

    def _read(self) -> None:
        for pair in list(self.pairs):
            pair.near.read()
            pair.far.read()

    def _go_on(self) -> None:
        """What was held up comes through, as far as nothing else holds it."""
        later, self._later = self._later, []
        for way, action in later:
            self.once_heard(way, action)
        for pair in list(self.pairs):
            pair.near.deliver()
            pair.far.deliver()

    def once_heard(self, way: Ways, action: Callable[[], None]) -> None:
        """Now, or when what goes this way comes through again."""
        if self.silent or self.holds & way:
            self._later.append((way, action))
        else:
            action()

    def _stop_accepting(self) -> None:
        if self._accepting:
            self._accepting.cancel()
            self._accepting = None

    def _plug_up(self) -> None:
        assert self._listener
        self._listener.listen(0)
        self._plug = socket.socket()
        self._plug.setblocking(False)
        with suppress(BlockingIOError):
            self._plug.connect(self.address)

    def _unplug(self) -> None:
        if self._plug:
            self._plug.close()
            self._plug = None
