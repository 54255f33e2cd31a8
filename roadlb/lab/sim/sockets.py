"""The few things that programs ask of a socket, for one that is simulated."""

from __future__ import annotations

import errno
import os
import socket
import struct
from typing import TYPE_CHECKING, Any

from .errors import refuse
from .names import Address, address, family_of

if TYPE_CHECKING:
    from .dial import Listener
    from .host import Host
    from .network import Network
    from .tcp import End

LAST_DATA_RECV = struct.Struct("=52xI")  # of struct tcp_info, in milliseconds
LINGER = struct.Struct("ii")  # SO_LINGER: on or off, seconds


class StandIns:
    """Real descriptors for `os.read(socket.fileno(), ...)`: with a byte, at its end, with nothing."""

    def __init__(self) -> None:
        self._open: list[int] = []
        self._kinds: dict[str, int] = {}

    def get(self, kind: str) -> int:
        """`nothing`: reading raises BlockingIOError; `end`: reads b""; `bytes`: reads some byte."""
        if kind not in self._kinds:
            if kind == "bytes":
                reader = os.open("/dev/zero", os.O_RDONLY)
            else:
                reader, writer = os.pipe()
                os.set_blocking(reader, False)
                if kind == "end":
                    os.close(writer)
                else:
                    self._open.append(writer)
            self._open.append(reader)
            self._kinds[kind] = reader
        return self._kinds[kind]

    def close(self) -> None:
        for descriptor in self._open:
            os.close(descriptor)
        self._open.clear()
        self._kinds.clear()


class SimSocket:
    """A non-blocking TCP socket of a simulated host.

    From `get_extra_info("socket")` and `server.sockets`; or made by `network.socket()`, for
    `loop.sock_connect` (aiohttp's `socket_factory`) and `create_server(sock=...)`, in the name of the host
    that makes it.
    """

    type = socket.SOCK_STREAM
    proto = socket.IPPROTO_TCP

    def __init__(
        self,
        network: Network,
        host: Host,
        *,
        end: End | None = None,
        listener: Listener | None = None,
        family: int = socket.AF_INET,
    ) -> None:
        self.network, self.host, self.end, self.listener = network, host, end, listener
        at = end or listener
        self.bound: tuple[str, int] | None = (at.ip, at.port) if at else None
        self.family = family_of(at.ip) if at else socket.AddressFamily(family)
        self.closed = False

    def __repr__(self) -> str:
        return f"<SimSocket {self.getsockname()} of {self.host.name}>"

    def getsockname(self) -> Address:
        ip, port = self.bound or ("::" if self.family == socket.AF_INET6 else "0.0.0.0", 0)
        return address(ip, port)

    def getpeername(self) -> Address:
        if self.end is None:
            raise OSError(107, "Transport endpoint is not connected")
        return address(self.end.peer.ip, self.end.peer.port)

    def fileno(self) -> int:
        """A descriptor that reads as this socket would at this moment, once; of no use for anything else."""
        if self.closed or (self.end is not None and self.end.closed):
            return -1
        kind = "nothing"
        if self.end is not None and self.end.has_news():
            kind = "bytes" if self.end.unread else "end"
        return self.network.stand_ins.get(kind)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """As on a non-blocking socket; with MSG_PEEK the bytes stay."""
        if self.end is None:
            raise OSError(107, "Transport endpoint is not connected")
        return self.end.recv(size, peek=bool(flags & socket.MSG_PEEK))

    def setsockopt(self, level: int, option: int, value: Any, *_: Any) -> None:
        """SO_LINGER of 0 s makes closing a reset; all else is taken and has no effect."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER) and self.end is not None:
            self.end.linger_zero = LINGER.unpack(value) == (1, 0)

    def getsockopt(self, level: int, option: int, *_: Any) -> Any:
        """TCP_INFO tells when data last came, and of all else nothing; every other option is 0."""
        if level != socket.IPPROTO_TCP or option != getattr(socket, "TCP_INFO", -1):
            return 0
        if self.end is None:
            raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")
        return LAST_DATA_RECV.pack((self.network.loop.now_us - self.end.data_at) // 1000)

    def bind(self, at: tuple[Any, ...]) -> None:
        self.bound = self.host.bindable(str(at[0]), int(at[1]))

    def listen(self, backlog: int = 128) -> None:
        if self.listener is not None:
            self.listener.backlog = backlog
        else:
            ip, port = self.bound or ("0.0.0.0", 0)
            self.listener = self.host.listen(ip, port, backlog)
            self.bound = (self.listener.ip, self.listener.port)

    def setblocking(self, flag: bool) -> None:
        if flag:
            refuse("a blocking socket", "give setblocking(False)")

    def settimeout(self, value: float | None) -> None:
        self.setblocking(value != 0)

    def gettimeout(self) -> float:
        return 0.0

    def close(self) -> None:
        self.closed = True
        for held in (self.listener, self.end):
            if held is not None:
                held.close()
