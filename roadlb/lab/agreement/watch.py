"""The judge's ears: a datagram socket read by a thread of its own."""

from __future__ import annotations

import socket
import struct
import threading
import time
from contextlib import suppress

from ...clock import monotonic_us
from .judge import Sent

HOST = "127.0.0.1"
QUEUE_BYTES = 8 << 20
STAMPS = 35  # Linux's SO_TIMESTAMPNS, which the socket module does not name


class Ears:
    """`sent`: all that came, in the order of the kernel's queue, with the kernel's times of arrival.

    A judge that is held up itself holds nothing against anybody.  Where the kernel tells no times, they are
    those of reading.
    """

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUE_BYTES)
        self._socket.bind((HOST, 0))
        self._socket.settimeout(0.2)
        self.address: tuple[str, int] = self._socket.getsockname()
        with suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, STAMPS, 1)
        self._offset_us = time.time_ns() // 1_000 - monotonic_us()
        self._ends = False
        self._thread = threading.Thread(target=self._hear, name="ears", daemon=True)
        self._thread.start()

    def _hear(self) -> None:
        while not self._ends:
            try:
                data, extras, _, _ = self._socket.recvmsg(200, 64)
            except TimeoutError:
                continue
            at = monotonic_us()
            for level, kind, stamp in extras:
                if (level, kind) == (socket.SOL_SOCKET, STAMPS) and len(stamp) == 16:
                    seconds, ns = struct.unpack("=qq", stamp)
                    at = seconds * 1_000_000 + ns // 1_000 - self._offset_us
            balancer, _, what = data.decode().partition(" ")
            self.sent.append(Sent(at, balancer, what))

    def close(self) -> None:
        self._ends = True
        self._thread.join()
        self._socket.close()
