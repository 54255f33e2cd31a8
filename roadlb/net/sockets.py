"""Sockets: one that listens, and what the kernel tells of a connection."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from typing import TypeAlias

from ..config import Address

Bind: TypeAlias = Callable[[Address, int], socket.socket]

_INT = struct.Struct("i")


BUFFER = 65_536        # of the kernel, on either side of a body that flows


def listening(at: Address, backlog: int) -> socket.socket:
    """A TCP socket that listens at this address; raises OSError where it cannot.

    Left to `loop.create_server`, uvloop has libuv's thread pool look up even a numeric host: four threads,
    each with its stack, for as long as the process lives.
    """
    family = socket.AF_INET6 if ":" in at.host else socket.AF_INET
    made = socket.create_server((at.host, at.port), family=family, backlog=backlog)
    made.setblocking(False)
    return made


def bound(transport: asyncio.BaseTransport | None) -> None:
    """Have the kernel hold little of what flows, so that a slow reader is felt and memory stays bounded."""
    connection = transport.get_extra_info("socket") if transport else None
    if connection is not None:
        with suppress(OSError, AttributeError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)


def unread(transport: asyncio.BaseTransport) -> bool:
    """Have bytes come in that the program has not read?  To close on them would reset the connection.

    One system call; False where the transport has no socket, as in the lab's simulated network.
    """
    connection = transport.get_extra_info("socket")
    try:
        waiting = fcntl.ioctl(connection.fileno(), termios.FIONREAD, _INT.pack(0))
    except (AttributeError, OSError, ValueError, TypeError):
        return False
    return bool(_INT.unpack(waiting)[0])
