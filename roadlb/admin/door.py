"""HTTP/1.1 for operators: one call to a connection, answered at once, whatever else goes on.

The door has descriptors of its own, is exempt from shedding, and owes nothing to who does not ask: a caller
has CALL_S for its call, which holds HEAD_MOST bytes at the most, and past OPEN_MOST callers the one that has
been silent for longest makes room for the next.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from ..config import Address
from ..counters import Counters
from ..lifecycle.parts import Calls
from ..net.http import text_answer
from ..net.sockets import Bind, Listener, listen

logger = logging.getLogger(__name__)

HEAD_MOST = 8_192
CALL_S = 2.0
OPEN_MOST = 16
BACKLOG = 100


class Door:
    """Answers `calls`: by method and path, what carries the call out and gives status and text.

    What a call changes is in effect before its answer is written.
    """

    def __init__(self, calls: Calls, counters: Counters) -> None:
        self._calls, self._counters = calls, counters
        self._paths: dict[str, list[str]] = {}
        for method, path in calls:
            self._paths.setdefault(path, []).append(method)
        self.open: dict[Caller, None] = {}  # in the order in which they came
        self._listener: Listener | None = None

    async def listen(self, at: Address, bind: Bind | None = None) -> None:
        """`bind` makes the socket; None: the running loop does."""
        self._listener = await listen(
            "admin_addr", lambda: cast(asyncio.Protocol, Caller(self)), at, BACKLOG, bind
        )

    @property
    def port(self) -> int:
        assert self._listener
        return self._listener.port

    def came(self, caller: Caller) -> None:
        self.open[caller] = None
        if len(self.open) > OPEN_MOST:
            self._counters.add("admin.crowded")
            next(iter(self.open)).end()

    def answer(self, method: str, target: str) -> bytes:
        """Carry a call out; the answer's bytes."""
        path = target.partition("?")[0]
        if (call := self._calls.get((method, path))) is None:
            self._counters.add("admin.refused")
            if methods := self._paths.get(path):
                allowed = ", ".join(methods)
                return text_answer(405, f"{path} takes {allowed}", True, b"Allow: %b\r\n" % allowed.encode())
            return text_answer(404, f"there is nothing here but {', '.join(self._paths)}", True)
        self._counters.add("admin.calls")
        try:
            status, text = call()
        except Exception:
            self._counters.add("fault.admin")
            logger.exception("call failed")
            status, text = 500, "fault"
        return text_answer(status, text, True)

    def unread(self) -> bytes:
        """The answer to what is no call."""
        self._counters.add("admin.refused")
        return text_answer(400, "this is no call", True)

    async def close(self) -> None:
        if self._listener:
            self._listener.close(serves_waiting=False)
        for caller in list(self.open):
            caller.end()


class Caller:
    """One connection: an asyncio.Protocol by its methods."""

    def __init__(self, door: Door) -> None:
        self._door, self._parser, self._target, self._size = door, HttpRequestParser(self), b"", 0
        self._transport: asyncio.Transport | None = None
        self._limit: asyncio.TimerHandle | None = None
        self._done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._limit = asyncio.get_running_loop().call_later(CALL_S, self.end)
        self._door.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport, self._done = None, True
        self._door.open.pop(self, None)
        if self._limit:
            self._limit.cancel()

    def eof_received(self) -> bool:
        """Who ends its sending behind a whole call still gets the answer; it is written by then."""
        return False

    def data_received(self, data: bytes) -> None:
        if self._done:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self._say(self._door.unread())
        else:
            if self._size > HEAD_MOST:
                self._say(self._door.unread())

    def pause_writing(self) -> None:
        """A report is some kB, which the kernel takes; who does not read it is ended by its limit."""

    def resume_writing(self) -> None:
        """As above."""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        if not self._done:
            method = self._parser.get_method().decode("latin-1")
            self._say(self._door.answer(method, self._target.decode("latin-1")))

    def _say(self, answer: bytes) -> None:
        if self._transport and not self._done:
            self._done = True
            self._transport.write(answer)
            self._transport.close()

    def end(self) -> None:
        """End it at once: nobody here waits for an answer."""
        self._done = True
        self._door.open.pop(self, None)
        if self._transport:
            self._transport.abort()
