"""What `create_server` returns: listeners, and who accepts from them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from contextvars import Context
from typing import TYPE_CHECKING

from .dial import Listener
from .handles import IoHandle
from .life import LIFE
from .sockets import SimSocket
from .tcp import End
from .transport import SimTransport

if TYPE_CHECKING:
    from .network import Network

ACCEPT_AGAIN_S = 1.0  # asyncio's pause when no descriptor is left


class SimServer(asyncio.AbstractServer):
    """As `asyncio.Server` of Python 3.11: `wait_closed` returns at once where the server was closed.

    In one turn it accepts as many connections as its backlog says, as asyncio does.
    """

    def __init__(
        self,
        network: Network,
        listeners: list[Listener],
        factory: Callable[[], asyncio.BaseProtocol],
        context: Context,
        accept_at_once: int,
    ) -> None:
        self._network, self._loop, self._factory, self._context = network, network.loop, factory, context
        self._listeners: list[Listener] | None = listeners
        self._accept_at_once = accept_at_once
        self._serving = False
        self._clients: dict[SimTransport, None] = {}
        self._waiters: list[asyncio.Future[None]] | None = []
        self._for_ever: asyncio.Future[None] | None = None

    def __repr__(self) -> str:
        return f"<SimServer {self.sockets!r}>"

    @property
    def sockets(self) -> tuple[SimSocket, ...]:
        return tuple(
            SimSocket(self._network, listener.host, listener=listener) for listener in self._listeners or ()
        )

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return self._loop

    def is_serving(self) -> bool:
        return self._serving

    async def start_serving(self) -> None:
        self.serve()

    def serve(self) -> None:
        if self._listeners is None:
            raise RuntimeError(f"server {self!r} is closed")
        if self._serving:
            return
        self._serving = True
        for listener in self._listeners:
            _Acceptor(self, listener).watch()

    async def serve_forever(self) -> None:
        if self._for_ever is not None:
            raise RuntimeError(f"server {self!r} is already being awaited on serve_forever()")
        self.serve()
        self._for_ever = self._loop.create_future()
        try:
            await self._for_ever
        except asyncio.CancelledError:
            self.close()
            await self.wait_closed()
            raise
        finally:
            self._for_ever = None

    def close(self) -> None:
        """Listen no more; connections that were accepted live on."""
        listeners, self._listeners, self._serving = self._listeners, None, False
        for listener in listeners or ():
            listener.close()
        if self._for_ever is not None and not self._for_ever.done():
            self._for_ever.cancel()
        if not self._clients:
            self._wake()

    async def wait_closed(self) -> None:
        if self._listeners is None or self._waiters is None:
            return
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        await waiter

    def attach(self, transport: SimTransport) -> None:
        self._clients[transport] = None

    def detach(self, transport: SimTransport) -> None:
        self._clients.pop(transport, None)
        if not self._clients and self._listeners is None:
            self._wake()

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, None
        for waiter in waiters or ():
            if not waiter.done():
                waiter.set_result(None)

    def accept(self, listener: Listener) -> bool:
        """Take connections from a listener; False: no descriptor is left."""
        for _ in range(self._accept_at_once):
            if not listener.queue:
                break
            try:
                listener.host.take_descriptor()
            except OSError as error:
                if error.errno != errno.EMFILE:
                    raise
                self._loop.call_exception_handler(
                    {
                        "message": "socket.accept() out of system resource",
                        "exception": error,
                        "socket": SimSocket(self._network, listener.host, listener=listener),
                    }
                )
                return False
            end = listener.queue.popleft()
            end.on_close = listener.host.give_back_descriptor
            self._loop.call_soon(self._take, end, context=self._context.copy())
        return True

    def _take(self, end: End) -> None:
        try:
            self._network.transport(end, self._factory(), self._context.copy(), server=self)
        except BaseException:
            end.close()
            raise


class _Acceptor:
    """Accepts from one listener whenever its host's loop finds it ready."""

    def __init__(self, server: SimServer, listener: Listener) -> None:
        self._server, self._listener = server, listener
        self._loop = server.get_loop()
        context = server._context
        self._handle = IoHandle(self._ready, (), context, context[LIFE])
        self._queued = self._resting = False

    def watch(self) -> None:
        self._resting = False
        if not self._listener.closed:
            self._listener.on_news = self._news
            if self._listener.queue:
                self._news()

    def _news(self) -> None:
        if not (self._queued or self._resting):
            self._queued = True
            self._server._loop.socket_ready(self._handle)

    def _ready(self) -> None:
        self._queued = False
        if self._listener.closed:
            return
        if not self._server.accept(self._listener):
            self._resting = True
            self._loop.call_later(ACCEPT_AGAIN_S, self.watch)
        elif self._listener.queue:
            self._news()
