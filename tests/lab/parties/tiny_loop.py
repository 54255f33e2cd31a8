"""A loop whose time jumps to the next timer, with connections in memory that take 1 ms each way."""

import asyncio
import inspect
import selectors
from collections import deque
from collections.abc import Callable

DELAY_S = 0.001


class _Jumps(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        self.now += max(timeout, 0)
        return super().select(0)


class Pipe(asyncio.Transport):
    """One end; what it writes reaches the other end's protocol in order, DELAY_S later."""

    def __init__(self, loop: "TinyLoop", protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.loop, self.protocol, self.peer, self.over = loop, protocol, self, False
        self.way = deque()           # a loop may run two timers of one time in any order

    def _later(self, action: Callable[[], object]) -> None:
        self.way.append(action)
        self.loop.call_later(DELAY_S, lambda: self.way.popleft()())

    def write(self, data: bytes) -> None:
        if not self.over:
            self._later(lambda: self.peer.over or self.peer.protocol.data_received(bytes(data)))

    def write_eof(self) -> None:
        self._later(self.peer._eof)

    def _eof(self) -> None:
        if not self.over and not self.protocol.eof_received():
            self.close()

    def close(self) -> None:
        if not self.over:
            self._end(None)
            self._later(self.peer._eof)

    def abort(self) -> None:
        if not self.over:
            self._end(None)
            self._later(lambda: self.peer.over or self.peer._end(ConnectionResetError()))

    def _end(self, error: Exception | None) -> None:
        self.over = True
        self.loop.call_soon(self.protocol.connection_lost, error)

    def is_closing(self) -> bool:
        return self.over

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass


class Server:
    def __init__(self, loop: "TinyLoop", address: tuple[str, int]) -> None:
        self.loop, self.address, self.sockets = loop, address, [self]

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def close(self) -> None:
        self.loop.servers.pop(self.address, None)


class TinyLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumps = _Jumps()
        self.servers: dict[tuple[str, int], Callable[[], asyncio.Protocol]] = {}
        self.mute: set[tuple[str, int]] = set()          # dials there never come up
        self.dials = self._ports = 0
        super().__init__(self._jumps)

    def time(self) -> float:
        return self._jumps.now

    def clock(self) -> int:
        return round(self.time() * 1e6)

    async def create_server(self, factory, host, port, **more) -> Server:
        self._ports += 1
        address = (host, port or self._ports)
        assert address not in self.servers
        self.servers[address] = factory
        return Server(self, address)

    async def create_connection(self, factory, host, port, **more):
        self.dials += 1
        await asyncio.sleep(2 * DELAY_S if (host, port) not in self.mute else 1e9)
        if (host, port) not in self.servers:
            raise ConnectionRefusedError
        far = Pipe(self, self.servers[host, port]())
        near = Pipe(self, factory())
        near.peer, far.peer = far, near
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol


def virtual(test: Callable[..., object]) -> Callable[..., None]:
    """Has pytest run `async def test(loop, ...)` to its end in no time."""
    def run(**parameters: object) -> None:
        loop = TinyLoop()
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(test(loop, **parameters))
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            asyncio.set_event_loop(None)
            loop.close()
    of_test = inspect.signature(test)
    run.__signature__ = of_test.replace(parameters=list(of_test.parameters.values())[1:])
    return run
