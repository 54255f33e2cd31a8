"""What the parties need of transports beyond asyncio's interface."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import cast

NO_LINGER = struct.pack("ii", 1, 0)


def stream(transport: asyncio.BaseTransport) -> asyncio.Transport:
    """What `connection_made` gets from a stream; uvloop's transports are no subclass of asyncio's."""
    return cast(asyncio.Transport, transport)


def reset(transport: asyncio.Transport) -> None:
    """End a connection as a dying process does.

    A kernel's socket would be closed in order by `abort` alone, unless something lies unread in it; a
    simulated transport has no socket, and resets.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()
