"""What the kernel tells of a connection."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from contextlib import suppress

_INT = struct.Struct("i")


BUFFER = 65_536        # of the kernel, on either side of a body that flows


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
