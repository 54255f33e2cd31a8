"""Accepts connections on a listening socket: many in each turn of the loop, and through errors that pass.

uvloop's own server accepts one connection in each turn: new clients wait for long while turns are long.
Where no descriptor is left it accepts and closes those that wait, without a word.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from ..clock import monotonic_us
from ..log import Limit, fields

logger = logging.getLogger(__name__)

ACCEPTS_PER_TURN = 32
MAX_DISPLACED_PER_TURN = 16  # each holds its descriptor for a turn more
MAX_OPENING = 24  # at the limit; each holds a descriptor of those that the settings leave spare
MAX_LOGGED_PER_S = 5
RETRY_S = 0.02  # after an error that says that resources are short
# What accept(2) reports of a connection that has failed already: the next one may be sound.
_OF_ONE_CONNECTION = frozenset(
    {
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.EOPNOTSUPP,
        errno.ETIMEDOUT,
    }
)


def frees_none() -> bool:
    """Default for `on_exhausted`."""
    return False


def has_room() -> int:
    """Default for `room`: there is no limit."""
    return 1 << 30


def makes_none() -> bool:
    """Default for `make_room`."""
    return False


class Acceptor:
    """Owns a listening socket that does not block; `close` ends it."""

    def __init__(
        self,
        listen_socket: socket.socket,
        protocol_factory: Callable[[], asyncio.Protocol],
        on_exhausted: Callable[[], bool] = frees_none,
        room: Callable[[], int] = has_room,
        make_room: Callable[[], bool] = makes_none,
    ) -> None:
        """`room` returns how many more connections may be open; where there is none, `make_room` ends another
        connection, or returns False and the new one is closed unread.

        `on_exhausted` is called where no descriptor is left for one that waits; it returns whether one is
        being freed."""
        self._loop = asyncio.get_running_loop()
        self._socket, self._protocol_factory = listen_socket, protocol_factory
        self._on_exhausted, self._room, self._make_room = on_exhausted, room, make_room
        self._log_limit = Limit(monotonic_us, MAX_LOGGED_PER_S)
        self._opening: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._loop.add_reader(listen_socket, self._accept_some)

    @property
    def port(self) -> int:
        port: int = self._socket.getsockname()[1]
        return port

    def _accept_some(self) -> None:
        displaced = 0
        for _ in range(ACCEPTS_PER_TURN):
            is_full = self._room() <= len(self._opening)
            if is_full and (displaced == MAX_DISPLACED_PER_TURN or len(self._opening) >= MAX_OPENING):
                return  # those being opened can be displaced once they are
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as e:
                if e.errno in _OF_ONE_CONNECTION:
                    continue
                self._pause(e)
                return
            if is_full:
                if not self._make_room():
                    connection.close()
                    continue
                displaced += 1
            self.open(connection)

    def _pause(self, error: OSError) -> None:
        """Leave the others in the kernel's queue for a moment: the loop would call again at once."""
        self._loop.remove_reader(self._socket)
        is_freed = error.errno == errno.EMFILE and self._on_exhausted()
        again_s = 0.0 if is_freed else RETRY_S
        if self._log_limit.allows():
            logger.warning("accept failed", extra=fields(error=error, again_s=again_s))
        self._retry = self._loop.call_later(again_s, self._resume)

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._socket, self._accept_some)

    def open(self, connection: socket.socket) -> None:
        """Serve a connection that has been accepted."""
        connection.setblocking(False)
        task = self._loop.create_task(self._open(connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._protocol_factory, connection)
        except OSError:
            connection.close()  # it was reset in the meantime

    async def wait_opened(self) -> None:
        """Wait until the protocols of all accepted connections have been told so."""
        while self._opening:
            await asyncio.wait(self._opening)

    def close(self, takes_waiting: bool, most: int) -> None:
        """Stop accepting; `takes_waiting`: serve those in the kernel's queue first, `most` at the most.

        Closing the last descriptor of the socket resets them together with the requests received on them.
        """
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        self._loop.remove_reader(self._socket)
        for _ in range(most if takes_waiting else 0):
            try:
                connection, _ = self._socket.accept()
            except OSError:  # none is waiting, or no descriptor is left for one
                break
            self.open(connection)
        self._socket.close()
