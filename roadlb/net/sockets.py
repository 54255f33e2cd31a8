"""Sockets: those that listen, and what the kernel tells of a connection."""

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

logger = logging.getLogger(__name__)

Bind: TypeAlias = Callable[[Address, int], socket.socket]

_INT = struct.Struct("i")

BACKLOG = 512
SOCKET_BUFFER_BYTES = 65_536  # of the kernel, on either side of a body that flows
# Of the loop, from accepting a connection until its protocol knows it: uvloop needs one, asyncio three.
ACCEPT_TURNS = 4
ADDRESS_WAIT_S = 10.0  # how long a predecessor may take to end


def listening_socket(at: Address, backlog: int) -> socket.socket:
    """A TCP socket that listens at this address; raises OSError where it cannot.

    Left to `loop.create_server`, uvloop has libuv's thread pool look up even a numeric host: four threads,
    each with its stack, for as long as the process lives.
    """
    family = socket.AF_INET6 if ":" in at.host else socket.AF_INET
    made = socket.create_server((at.host, at.port), family=family, backlog=backlog)
    made.setblocking(False)
    # Those that it accepts have it too; asyncio's own loop does not set it on them, uvloop does.
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


def inherited_socket(fd: int) -> socket.socket:
    """The listening socket that the platform holds for every process of this balancer."""
    try:
        found = socket.socket(fileno=fd)
    except OSError as e:
        raise ConfigError(f"PROXY_SOCKET_FD: descriptor {fd} is no socket: {e.strerror}") from None
    try:
        listens = found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if found.type != socket.SOCK_STREAM or not listens:
        found.detach()
        raise ConfigError(f"PROXY_SOCKET_FD: descriptor {fd} is not a TCP socket that listens")
    found.setblocking(False)
    return found


class Listener:
    """A server that listens, and its socket where that is not the loop's own affair."""

    def __init__(
        self,
        server: asyncio.Server,
        made: socket.socket | None,
        protocol_factory: Callable[[], asyncio.Protocol],
    ) -> None:
        self._server, self._socket, self._protocol_factory = server, made, protocol_factory

    @property
    def port(self) -> int:
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close(self) -> list[socket.socket]:
        """Accept nothing more; gives the connections that wait in the kernel's queue, which to close on
        would reset together with the requests that have come on them."""
        waiting: list[socket.socket] = []
        if self._socket is not None:
            with suppress(OSError):  # none waits, or no descriptor is left for it
                while len(waiting) < BACKLOG:
                    waiting.append(self._socket.accept()[0])
        self._server.close()
        return waiting

    async def serve_accepted(self, waiting: list[socket.socket]) -> None:
        """Serve connections that the kernel had accepted; once it returns their protocols know them, and
        those of all that the loop had accepted."""
        loop = asyncio.get_running_loop()
        for connection in waiting:
            connection.setblocking(False)
            with suppress(OSError):  # reset meanwhile
                await loop.connect_accepted_socket(self._protocol_factory, connection)
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)


async def listen(
    key: str, protocol_factory: Callable[[], asyncio.Protocol], at: Address, backlog: int, bind: Bind | None
) -> Listener:
    """Listen at the address that the setting `key` gives; raises ConfigError, which names it.

    An address that a predecessor still holds is waited for, as ending would be a crash.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + ADDRESS_WAIT_S
    while True:
        try:
            if bind is None:
                server = await loop.create_server(protocol_factory, at.host, at.port, backlog=backlog)
                return Listener(server, None, protocol_factory)
            made = bind(at, backlog)
            return Listener(
                await loop.create_server(protocol_factory, sock=made, backlog=backlog), made, protocol_factory
            )
        except (OSError, UnicodeError) as e:
            if not isinstance(e, OSError) or e.errno != errno.EADDRINUSE or loop.time() > give_up_at:
                raise ConfigError(f"{key}: cannot listen on {at}: {e}") from None
            logger.warning("address in use", extra=fields(address=at))
            await asyncio.sleep(0.1)


async def serve(
    protocol_factory: Callable[[], asyncio.Protocol], at: Address, fd: int | None, bind: Bind | None
) -> Listener:
    """Listen for clients, on the socket that is inherited where there is one."""
    if fd is None:
        return await listen("listen", protocol_factory, at, BACKLOG, bind)
    # Closed, it stays open at the platform, and what waits there is the successor's.
    server = await asyncio.get_running_loop().create_server(
        protocol_factory, sock=inherited_socket(fd), backlog=BACKLOG
    )
    return Listener(server, None, protocol_factory)


def limit_socket_buffers(transport: asyncio.BaseTransport | None) -> None:
    """Have the kernel hold little of what flows, so that a slow reader is felt and memory stays bounded."""
    connection = transport.get_extra_info("socket") if transport else None
    if connection is not None:
        with suppress(OSError, AttributeError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)


def end_sending(transport: asyncio.BaseTransport) -> None:
    """Tell the peer at once, and for certain, that nothing more comes, whatever still waits to be written.

    `abort` closes a turn later: until then uvloop may write what waits, and another connection be written to
    first.  Without a socket, as in the lab's simulated network, nothing is done.
    """
    connection = transport.get_extra_info("socket")
    with suppress(AttributeError, OSError, RuntimeError, TypeError, ValueError):
        same = socket.socket(connection.family, connection.type, 0, connection.fileno())
        try:
            same.shutdown(socket.SHUT_WR)
        finally:
            same.detach()  # the descriptor stays the transport's


def new_poll(transport: asyncio.BaseTransport) -> select.poll | None:
    """Its `poll(0)` tells of bytes, an end or a reset in the kernel; None where there is no socket."""
    connection = transport.get_extra_info("socket")
    try:
        made = select.poll()
        made.register(connection, select.POLLIN | select.POLLRDHUP)
    except (AttributeError, OSError, RuntimeError, TypeError, ValueError):
        return None
    return made


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Have bytes come in that the program has not read?  To close on them would reset the connection.

    One system call; False where the transport has no socket, as in the lab's simulated network.
    """
    connection = transport.get_extra_info("socket")
    try:
        waiting = fcntl.ioctl(connection.fileno(), termios.FIONREAD, _INT.pack(0))
    except (AttributeError, OSError, ValueError, TypeError):
        return False
    return bool(_INT.unpack(waiting)[0])


def is_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Has the far end closed or reset the connection, be it behind bytes that are not read?

    `poll` tells so whatever is in the buffer; a read, or a look at the next byte, only once that is empty.
    One system call; False where the transport has no socket.
    """
    connection = transport.get_extra_info("socket")
    poll = select.poll()
    try:
        poll.register(connection.fileno(), select.POLLRDHUP)
        ready = poll.poll(0)
    except (AttributeError, OSError, ValueError, TypeError):
        return False
    return any(events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR) for _, events in ready)
