"""The transport that a protocol holds: asyncio's documented one, over an end of a simulated connection.

It does what asyncio's own transport on a socket does, in the same turns of the loop, so that a protocol's
callbacks come in the same order; tests/lab/sim/test_conformance.py compares the two.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from contextvars import Context
from typing import TYPE_CHECKING, Any

from .handles import IoHandle
from .life import LIFE
from .names import address
from .sockets import SimSocket
from .tcp import End

if TYPE_CHECKING:
    from .loop import SimLoop
    from .server import SimServer

logger = logging.getLogger(__name__)

READ_MOST = 256 * 1024  # asyncio's own
HIGH_WATER = 64 * 1024  # asyncio's own; the low one is a quarter of it
WARN_AFTER_WRITES = 5  # writes to a connection that is lost, as asyncio


class SimTransport(asyncio.Transport):
    """One program's hold on a connection.

    `max_size`, bytes read at once, may be set as on asyncio's.  With `deferred`, writes go out at the turn's
    end, as uvloop's do.  `get_extra_info`: "peername", "sockname", "socket" (a `SimSocket`), "connection"
    (its number in the taps).
    """

    def __init__(
        self,
        loop: SimLoop,
        end: End,
        protocol: asyncio.BaseProtocol,
        context: Context,
        *,
        server: SimServer | None = None,
        waiter: asyncio.Future[None] | None = None,
        deferred: bool = False,
        abort_resets: bool = True,
    ) -> None:
        super().__init__()
        self.max_size = READ_MOST
        self._loop, self._end, self._server, self._context = loop, end, server, context
        self._deferred, self._abort_resets = deferred, abort_resets
        self._closing = self._eof = self._read_on = self._paused = False
        self._protocol_paused = self._gone = self._flush_queued = False
        self._lost = 0  # lost to us; counts the writes that come all the same
        self._buffer = bytearray()  # what the kernel has not taken
        self._high, self._low = HIGH_WATER, HIGH_WATER // 4
        life = context[LIFE]
        self._reader = IoHandle(self._read_ready, (), context, life)
        self._writer = IoHandle(self._write_ready, (), context, life)
        self._reader_queued = self._writer_queued = False
        self.set_protocol(protocol)
        end.watcher = self
        if server is not None:
            server.attach(self)
        self._soon(protocol.connection_made, self)
        self._soon(self._start_reading)
        if waiter is not None:
            self._soon(_wake, waiter)

    def __repr__(self) -> str:
        state = "closed" if self._gone else "closing" if self._closing else "open"
        return f"<SimTransport {self._end.name} to {self._end.peer.name}, {state}>"

    def _soon(self, callback: Callable[..., object], *args: object) -> None:
        self._loop.call_soon(callback, *args, context=self._context.copy())

    # What every transport has

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        end = self._end
        if name == "sockname":
            return address(end.ip, end.port)
        if name == "peername":
            return address(end.peer.ip, end.peer.port)
        if name == "socket":
            return SimSocket(self._loop.the_network(), end.host, end=end)
        if name == "connection":
            return end.connection.number
        return default

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol
        self._buffered = isinstance(protocol, asyncio.BufferedProtocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._protocol

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        if self._closing:
            return
        self._closing, self._read_on = True, False
        if not self._buffer:
            self._lost += 1
            self._soon(self._lose, None)

    def abort(self) -> None:
        """Close at once, by a reset; with `abort_resets=False` as asyncio does: in order, if all is read."""
        if self._abort_resets:
            self._end.linger_zero = True
        self._force_close(None)

    # Reading

    def is_reading(self) -> bool:
        return not self._closing and not self._paused

    def pause_reading(self) -> None:
        if self.is_reading():
            self._paused, self._read_on = True, False

    def resume_reading(self) -> None:
        if not self._closing and self._paused:
            self._paused = False
            self._read()

    def _start_reading(self) -> None:
        if self.is_reading():
            self._read()

    def _read(self) -> None:
        self._read_on = True
        if self._end.has_news():
            self.readable()

    def readable(self) -> None:
        """From the kernel: bytes, an end or an error can be read."""
        if self._read_on and not self._reader_queued:
            self._reader_queued = True
            self._loop.socket_ready(self._reader)

    def _read_ready(self) -> None:
        self._reader_queued = False
        if self._lost or not self._read_on:
            return
        try:
            if self._buffered:
                self._read_into()
            else:
                data = self._end.recv(self.max_size)
                if data:
                    self._protocol.data_received(data)  # type: ignore[attr-defined]
                else:
                    self._read_eof()
        except BlockingIOError:
            return
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            self._fatal_error(error, "Fatal read error, or protocol.data_received() call failed")
            return
        if self._read_on and self._end.has_news():
            self.readable()

    def _read_into(self) -> None:
        room = self._protocol.get_buffer(-1)  # type: ignore[attr-defined]
        if not len(room):
            raise RuntimeError("get_buffer() returned an empty buffer")
        data = self._end.recv(len(room))
        if data:
            room[: len(data)] = data
            self._protocol.buffer_updated(len(data))  # type: ignore[attr-defined]
        else:
            self._read_eof()

    def _read_eof(self) -> None:
        if self._protocol.eof_received():  # type: ignore[attr-defined]
            self._read_on = False  # half open, until the protocol closes it
        else:
            self.close()

    # Writing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not isinstance(data, (bytes, bytearray, memoryview)):
            raise TypeError(f"data argument must be a bytes-like object, not {type(data).__name__!r}")
        if self._eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data:
            return
        if self._lost:
            if self._lost >= WARN_AFTER_WRITES:
                logger.warning("socket.send() raised exception.")
            self._lost += 1
            return
        if not isinstance(data, bytes):
            data = bytes(data)
        if self._deferred:
            self._write_later(data)
            return
        if not self._buffer:
            taken = self._send(data)
            if taken < 0 or taken == len(data):
                return
            data = data[taken:]
            self._end.wants_write = True
        self._buffer += data
        self._maybe_pause()

    def _send(self, data: bytes) -> int:
        """How much the kernel took; -1: the connection is lost."""
        try:
            return self._end.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._fatal_error(error, "Fatal write error on socket transport")
            return -1

    def _write_later(self, data: bytes) -> None:
        self._buffer += data
        if len(self._buffer) > self._high and not (self._protocol_paused or self._end.wants_write):
            self._write_ready()  # uvloop: try before the protocol is paused
            if self._lost:
                return
        self._maybe_pause()
        if self._buffer and not (self._flush_queued or self._end.wants_write):
            self._flush_queued = True
            self._loop.at_turn_end(IoHandle(self._flush, (), self._context, self._writer.life))

    def _flush(self) -> None:
        self._flush_queued = False
        if self._lost:  # aborted in this very turn: uvloop writes all the same
            self._send(bytes(self._buffer))
            self._buffer.clear()
        elif not self._end.wants_write:
            self._write_ready()

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview]) -> None:
        self.write(b"".join(list_of_data))

    def writable(self) -> None:
        """From the kernel: there is room again."""
        if self._buffer and self._end.wants_write and not self._writer_queued:
            self._writer_queued = True
            self._loop.socket_ready(self._writer)

    def _write_ready(self) -> None:
        self._writer_queued = False
        if self._lost or not self._buffer:
            return
        taken = self._send(bytes(self._buffer))
        if taken < 0:
            return
        del self._buffer[:taken]
        self._maybe_resume()
        self._end.wants_write = bool(self._buffer)
        if self._buffer:
            return
        if self._closing:
            self._lose(None)
        elif self._eof:
            self._end.shutdown_write()

    def write_eof(self) -> None:
        if self._closing or self._eof:
            return
        self._eof = True
        if not self._buffer:
            self._end.shutdown_write()

    def can_write_eof(self) -> bool:
        return True

    # Water marks

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        if high is None:
            high = HIGH_WATER if low is None else 4 * low
        if low is None:
            low = high // 4
        if not high >= low >= 0:
            raise ValueError(f"high ({high!r}) must be >= low ({low!r}) must be >= 0")
        self._high, self._low = high, low
        self._maybe_pause()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._low, self._high

    def get_write_buffer_size(self) -> int:
        """Bytes that the kernel has not taken."""
        return len(self._buffer)

    def _maybe_pause(self) -> None:
        if len(self._buffer) > self._high and not self._protocol_paused:
            self._protocol_paused = True
            self._tell(self._protocol.pause_writing, "protocol.pause_writing() failed")

    def _maybe_resume(self) -> None:
        if self._protocol_paused and len(self._buffer) <= self._low:
            self._protocol_paused = False
            self._tell(self._protocol.resume_writing, "protocol.resume_writing() failed")

    def _tell(self, callback: Callable[[], None], message: str) -> None:
        try:
            callback()
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            self._loop.call_exception_handler(
                {"message": message, "exception": error, "transport": self, "protocol": self._protocol}
            )

    # Ending

    def _fatal_error(self, error: BaseException, message: str) -> None:
        if not isinstance(error, OSError):
            self._loop.call_exception_handler(
                {"message": message, "exception": error, "transport": self, "protocol": self._protocol}
            )
        self._force_close(error)

    def _force_close(self, error: BaseException | None) -> None:
        if self._lost:
            return
        if error is not None or not self._flush_queued:
            self._buffer.clear()
        self._end.wants_write = False
        self._closing, self._read_on = True, False
        self._lost += 1
        self._soon(self._lose, error)

    def _lose(self, error: BaseException | None) -> None:
        if self._gone:
            return
        self._gone = True
        self._lost = max(self._lost, 1)
        try:
            self._protocol.connection_lost(error)  # type: ignore[arg-type]
        finally:
            self._end.close()
            if self._server is not None:
                self._server.detach(self)
                self._server = None


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.cancelled():
        waiter.set_result(None)
