"""What the kernel tells of a connection."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios

_INT = struct.Struct("i")


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
