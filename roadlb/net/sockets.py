"""Listening sockets, and the kernel's state of a connection."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import logging
import select
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from typing import TypeAlias

from ..config import Address, ConfigError
from ..log import fields
from .acceptor import Acceptor, frees_none, has_room, makes_none

logger = logging.getLogger(__name__)

Bind: TypeAlias = Callable[[Address, int], socket.socket]

_INT = struct.Struct("i")

BACKLOG = 512
SOCKET_BUFFER_BYTES = 65_536  # the kernel's, each way, on connections with a body stream
# Iterations of the loop from a server's accepting a connection to connection_made, at the most.
ACCEPT_ITERATIONS = 4
ADDRESS_WAIT_S = 10.0  # how long a previous process may take to release the address


def listening_socket(address: Address, backlog: int) -> socket.socket:
    """Create a TCP socket that listens at this address; raises OSError if it cannot.

    With `loop.create_server`, uvloop would resolve even a numeric host in libuv's thread pool: four threads,
    each with its stack, for the life of the process.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listen_socket = socket.create_server((address.host, address.port), family=family, backlog=backlog)
    listen_socket.setblocking(False)
    # Accepted sockets inherit it; asyncio's own loop does not set it on them, uvloop does.
    listen_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listen_socket


def inherited_socket(fd: int) -> socket.socket:
    """Return the listening socket that the platform passes to each process of this balancer.

    Raises ConfigError if the descriptor is not a listening TCP socket.
    """
    try:
        listen_socket = socket.socket(fileno=fd)
    except OSError as e:
        raise ConfigError(f"PROXY_SOCKET_FD: descriptor {fd} is no socket: {e.strerror}") from None
    try:
        listens = listen_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if listen_socket.type != socket.SOCK_STREAM or not listens:
        listen_socket.detach()
        raise ConfigError(f"PROXY_SOCKET_FD: descriptor {fd} is not a TCP socket that listens")
    listen_socket.setblocking(False)
    listen_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # accepted sockets inherit it
    return listen_socket


class Listener:
    """Accepts connections until `close`, by a server of the running loop or by an acceptor.

    `owns_queue`: closing the socket resets the connections in the kernel's queue.
    """

    def __init__(self, accepting: asyncio.Server | Acceptor, owns_queue: bool) -> None:
        self._accepting, self._owns_queue = accepting, owns_queue

    @property
    def port(self) -> int:
        if isinstance(self._accepting, Acceptor):
            return self._accepting.port
        port: int = self._accepting.sockets[0].getsockname()[1]
        return port

    def close(self, serves_waiting: bool = True) -> None:
        """Stop accepting; `serves_waiting`: serve those that wait in the queue, if they would be reset."""
        if isinstance(self._accepting, Acceptor):
            self._accepting.close(serves_waiting and self._owns_queue, BACKLOG)
        else:
            self._accepting.close()

    async def wait_accepted(self) -> None:
        """Wait until connection_made has been called for all connections that were accepted."""
        if isinstance(self._accepting, Acceptor):
            await self._accepting.wait_opened()
        for _ in range(ACCEPT_ITERATIONS):
            await asyncio.sleep(0)


async def listen(
    key: str,
    protocol_factory: Callable[[], asyncio.Protocol],
    address: Address,
    backlog: int,
    bind: Bind | None,
    on_exhausted: Callable[[], bool] = frees_none,
    room: Callable[[], int] = has_room,
    make_room: Callable[[], bool] = makes_none,
) -> Listener:
    """Listen at the address of the setting `key`; raises ConfigError, which names the setting.

    `on_exhausted` is called where no descriptor is left for a connection that waits, and may free one.

    While a previous process still holds the address it waits: exiting would be a crash.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + ADDRESS_WAIT_S
    while True:
        try:
            if bind is None:
                server = await loop.create_server(
                    protocol_factory, address.host, address.port, backlog=backlog
                )
                return Listener(server, owns_queue=False)
            return Listener(
                Acceptor(bind(address, backlog), protocol_factory, on_exhausted, room, make_room),
                owns_queue=True,
            )
        except (OSError, UnicodeError) as e:
            if not isinstance(e, OSError) or e.errno != errno.EADDRINUSE or loop.time() > give_up_at:
                raise ConfigError(f"{key}: cannot listen on {address}: {e}") from None
            logger.warning("address in use", extra=fields(address=address))
            await asyncio.sleep(0.1)


async def serve(
    protocol_factory: Callable[[], asyncio.Protocol],
    address: Address,
    fd: int | None,
    bind: Bind | None,
    on_exhausted: Callable[[], bool],
    room: Callable[[], int],
    make_room: Callable[[], bool],
) -> Listener:
    """Listen for clients: on the inherited socket `fd` if there is one, else at the address."""
    if fd is None:
        return await listen("listen", protocol_factory, address, BACKLOG, bind, on_exhausted, room, make_room)
    # The platform keeps the inherited socket open after this process has closed its copy, so connections
    # in its queue are not reset: they are the next process's.
    return Listener(
        Acceptor(inherited_socket(fd), protocol_factory, on_exhausted, room, make_room), owns_queue=False
    )


def limit_socket_buffers(transport: asyncio.BaseTransport | None) -> None:
    """Keep the kernel's buffers small, so that a slow reader causes backpressure and memory stays bounded."""
    connection = transport.get_extra_info("socket") if transport else None
    if connection is not None:
        with suppress(OSError, AttributeError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)


def end_sending(transport: asyncio.BaseTransport) -> None:
    """Shut down the sending side at once, even if data is still buffered in the transport.

    `abort` closes one loop iteration later: until then uvloop may write buffered data, and another connection
    may be written to first.  Without a socket, as in the lab's simulated network, nothing is done.
    """
    connection = transport.get_extra_info("socket")
    with suppress(AttributeError, OSError, RuntimeError, TypeError, ValueError):
        # Under uvloop the transport's own socket object refuses `shutdown`, hence a second object.
        alias = socket.socket(connection.family, connection.type, 0, connection.fileno())
        try:
            alias.shutdown(socket.SHUT_WR)
        finally:
            alias.detach()  # the descriptor stays the transport's


def new_poll(transport: asyncio.BaseTransport) -> select.poll | None:
    """Create an object whose `poll(0)` reports bytes, an end or a reset; None if there is no socket."""
    connection = transport.get_extra_info("socket")
    try:
        poll = select.poll()
        poll.register(connection, select.POLLIN | select.POLLRDHUP)
    except (AttributeError, OSError, RuntimeError, TypeError, ValueError):
        return None
    return poll


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many received bytes wait to be read.

    One system call; 0 if the transport has no socket, as in the lab's simulated network.
    """
    return _queued_bytes(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes the kernel holds of what was written; one system call, as above."""
    return _queued_bytes(transport, termios.TIOCOUTQ)


def _queued_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    connection = transport.get_extra_info("socket")
    try:
        queued = fcntl.ioctl(connection.fileno(), request, _INT.pack(0))
    except (AttributeError, OSError, ValueError, TypeError):
        return 0
    return int(_INT.unpack(queued)[0])


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Whether received bytes wait to be read; closing the connection then would reset it."""
    return unread_bytes(transport) > 0


def is_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed or reset the connection, even behind unread bytes.

    `poll` reports it whatever is in the buffer; a read or a peek only once the buffer is empty.
    One system call; False if the transport has no socket.
    """
    connection = transport.get_extra_info("socket")
    poll = select.poll()
    try:
        poll.register(connection.fileno(), select.POLLRDHUP)
        ready = poll.poll(0)
    except (AttributeError, OSError, ValueError, TypeError):
        return False
    return any(events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR) for _, events in ready)
