"""UDP: datagrams that may be lost, repeated, cut short or overtaken, and asyncio's transport for them."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from contextvars import Context
from functools import partial
from typing import TYPE_CHECKING, Any

from .errors import refuse
from .handles import IoHandle
from .life import LIFE
from .names import Address, address, is_loopback

if TYPE_CHECKING:
    from .host import Host
    from .loop import SimLoop
    from .network import Network
    from .route import Route

READ_MOST = 256 * 1024  # asyncio's own
LARGEST = 65_507  # bytes that an IPv4 datagram can carry


class DatagramSocket:
    """A host's UDP socket.  What comes while `receive_buffer` bytes lie unread is lost, as in a kernel."""

    def __init__(
        self, network: Network, host: Host, ip: str, port: int, remote: tuple[str, int] | None
    ) -> None:
        self.network, self.host, self.ip, self.port, self.remote = network, host, ip, port, remote
        self.watcher: SimDatagramTransport | None = None
        self.queue: deque[tuple[bytes, Address]] = deque()
        self.errors: deque[OSError] = deque()
        self._unread = 0
        self.closed = False
        host.take_descriptor()
        host.datagram_sockets[ip, port] = self

    def close(self) -> None:
        if not self.closed:
            self.closed, self.watcher = True, None
            self.host.datagram_sockets.pop((self.ip, self.port), None)
            self.host.give_back_descriptor()

    def send(self, data: bytes, ip: str, port: int) -> None:
        if len(data) > LARGEST:
            raise OSError(errno.EMSGSIZE, f"Message too long: {len(data)} bytes, at most {LARGEST} fit")
        network, target = self.network, self.network.machine(self.host, ip)
        if target is None:
            return
        route = network.route(self.host, target)
        link, rng = route.link, route.rng
        source = self.ip if self.ip not in ("0.0.0.0", "::") else ip if is_loopback(ip) else self.host.ip
        for _ in range(1 + (link.repeat > 0 and rng.random() < link.repeat)):
            if route.silent or route.loses():
                continue
            part = data
            if link.cut_short and rng.random() < link.cut_short:
                part = data[: rng.randrange(len(data))]
            network.loop.kernel_at(
                route.arrival(len(part)), partial(self._arrive, route, part, source, ip, port)
            )

    def _arrive(self, route: Route, data: bytes, source: str, ip: str, port: int) -> None:
        if route.silent:
            return
        sockets = route.target.datagram_sockets
        found = sockets.get((ip, port)) or sockets.get(("0.0.0.0", port)) or sockets.get(("::", port))
        if found is not None and found.remote in (None, (source, self.port)):
            self.network.taps.seen(
                route.loop.now_us, "datagram", 0, f"{source}:{self.port}", f"{ip}:{port}", data
            )
            found.take(data, address(source, self.port))
        elif self.remote is not None:
            self.network.route(route.target, self.host).carry(self._refused)

    def _refused(self) -> None:
        """The target's kernel says that nobody listens; a socket with one partner is told."""
        if not self.closed:
            self.errors.append(ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused"))
            if self.watcher is not None:
                self.watcher.readable()

    def take(self, data: bytes, source: Address) -> None:
        if self._unread + len(data) <= self.host.receive_buffer:
            self._unread += len(data)
            self.queue.append((data, source))
            if self.watcher is not None:
                self.watcher.readable()

    def receive(self, size: int) -> tuple[bytes, Address]:
        """The oldest datagram; what does not fit is gone."""
        if self.errors:
            raise self.errors.popleft()
        data, source = self.queue.popleft()
        self._unread -= len(data)
        return data[:size], source

    def has_news(self) -> bool:
        return bool(self.queue or self.errors)


class SimDatagramTransport(asyncio.DatagramTransport):
    """As asyncio's, one datagram each turn; `max_size`, bytes read of each, may be set."""

    def __init__(
        self,
        loop: SimLoop,
        socket: DatagramSocket,
        protocol: asyncio.DatagramProtocol,
        context: Context,
        waiter: asyncio.Future[None],
    ) -> None:
        super().__init__()
        self.max_size = READ_MOST
        self._loop, self._socket, self._protocol, self._context = loop, socket, protocol, context
        self._closing = self._queued = False
        self._reader = IoHandle(self._read_ready, (), context, context[LIFE])
        loop.call_soon(protocol.connection_made, self, context=context.copy())
        loop.call_soon(self._start, waiter, context=context.copy())

    def _start(self, waiter: asyncio.Future[None]) -> None:
        self._socket.watcher = self
        if self._socket.has_news():
            self.readable()
        if not waiter.cancelled():
            waiter.set_result(None)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "sockname":
            return address(self._socket.ip, self._socket.port)
        if name == "peername" and self._socket.remote is not None:
            return address(*self._socket.remote)
        return default

    def get_protocol(self) -> asyncio.DatagramProtocol:
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        assert isinstance(protocol, asyncio.DatagramProtocol)
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._closing

    def get_write_buffer_size(self) -> int:
        return 0

    def readable(self) -> None:
        if not (self._queued or self._closing):
            self._queued = True
            self._loop.socket_ready(self._reader)

    def _read_ready(self) -> None:
        self._queued = False
        if self._closing or not self._socket.has_news():
            return
        try:
            data, source = self._socket.receive(self.max_size)
        except OSError as error:
            self._protocol.error_received(error)
        else:
            self._protocol.datagram_received(data, source)
        if self._socket.has_news():
            self.readable()

    def sendto(self, data: bytes | bytearray | memoryview, addr: Any = None) -> None:
        if not isinstance(data, (bytes, bytearray, memoryview)):
            raise TypeError(f"data argument must be a bytes-like object, not {type(data).__name__!r}")
        remote = self._socket.remote
        if not data or self._closing:
            return
        if remote is not None and addr is not None and tuple(addr[:2]) != remote:
            raise ValueError(f"Invalid address: must be None or {remote}")
        target = remote if remote is not None else addr
        if target is None:
            raise ValueError("no address: give addr, or remote_addr when the endpoint is made")
        try:
            self._socket.send(bytes(data), target[0], target[1])
        except OSError as error:
            self._protocol.error_received(error)

    def close(self) -> None:
        self._lose(None)

    def abort(self) -> None:
        self._lose(None)

    def _lose(self, error: Exception | None) -> None:
        if not self._closing:
            self._closing = True
            self._loop.call_soon(self._lost, error, context=self._context.copy())

    def _lost(self, error: Exception | None) -> None:
        try:
            self._protocol.connection_lost(error)
        finally:
            self._socket.close()


async def create_datagram_endpoint(
    network: Network,
    host: Host,
    context: Context,
    factory: Any,
    local_addr: Any,
    remote_addr: Any,
    *,
    family: int = 0,
    proto: int = 0,
    flags: int = 0,
    sock: Any = None,
    reuse_port: bool | None = None,
    allow_broadcast: bool | None = None,
) -> tuple[SimDatagramTransport, Any]:
    """See asyncio's; a socket of one's own, shared ports and broadcast are refused."""
    for name, value in (("sock", sock), ("reuse_port", reuse_port), ("allow_broadcast", allow_broadcast)):
        if value:
            refuse(f"create_datagram_endpoint with {name}", "give local_addr, or remote_addr")

    def look_up(at: Any) -> tuple[str, int]:
        found: Address = network.names.look_up(at[0], at[1], family)[0][4]
        return found[0], found[1]

    remote = look_up(remote_addr) if remote_addr else None
    if local_addr:
        ip, port = look_up(local_addr)
    elif remote:
        ip, port = (remote[0] if is_loopback(remote[0]) else host.ip), 0
    else:
        ip, port = "0.0.0.0", 0
    ip, port = host.bindable(ip, port)
    if (ip, port) in host.datagram_sockets:
        raise OSError(errno.EADDRINUSE, f"address already in use: {ip}:{port}")
    socket = DatagramSocket(network, host, ip, port, remote)
    protocol, waiter = factory(), network.loop.create_future()
    transport = SimDatagramTransport(network.loop, socket, protocol, context, waiter)
    await waiter
    return transport, protocol
