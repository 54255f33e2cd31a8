"""Connections to instances: aiohttp's, with bounds on what an answer brings and on how many there are.

aiohttp reads an answer without bound, loses a good answer when noise comes in the same segment, waits for
a body that its parser has given up, and hands what came behind one answer to the next request as its answer
(tests show each of these without this module).
"""

from __future__ import annotations

import asyncio
import os
from enum import Enum, auto
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from aiohttp.tracing import Trace

BODY_MOST = 65_536
HEAD_MOST = 16_384
READ_MOST = 16_384
INTERIM_MOST = 8       # 1xx answers in front of the final one
# From an answer's first byte to its last.  A sound instance writes an answer in one go, so that one which
# pauses for so long claims more than it has to give; its request would wait for it till its time is up.
ANSWER_S = 0.3


def read_little(transport: asyncio.BaseTransport) -> None:
    """Have a connection read no more at a time than a message holds.

    asyncio asks for 256 KiB each time and shrinks what it gets, which leaves the heap full of holes: a
    balancer grew by 1 MB in 15 s, with no more live objects than before.
    """
    transport.max_size = READ_MOST  # type: ignore[attr-defined]


class Spoilt(aiohttp.ClientPayloadError):
    """An answer came that cannot be used; its request may have run."""


class NoSocketLeft(aiohttp.ClientConnectionError):
    """Nothing was dialled, as no descriptor is left for it."""


class Stage(Enum):
    HEAD = auto()
    BODY = auto()
    NONE = auto()      # no answer is owed: whatever comes now belongs to no request


class InstanceConnection(ResponseHandler):
    """A connection that takes one answer for each request, and is closed for whatever comes besides."""

    def __init__(self, loop: asyncio.AbstractEventLoop, open: set[InstanceConnection]) -> None:
        super().__init__(loop)
        self._open = open
        self._stall: asyncio.TimerHandle | None = None
        self._await_head(Stage.NONE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        read_little(transport)
        self._open.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._open.discard(self)
        self._over()

    def set_response_params(self, **params: Any) -> None:
        """Called just before a request is written."""
        super().set_response_params(**params)
        self._await_head(Stage.HEAD)

    def _await_head(self, stage: Stage) -> None:
        self._stage, self._tail_of_head, self._size, self._interim = stage, b"", 0, 0
        self._left: int | None = None
        self._answer: tuple[RawResponseMessage, StreamReader] | None = None

    def _over(self) -> None:
        self._stage = Stage.NONE
        if self._stall:
            self._stall.cancel()
            self._stall = None

    def clean(self) -> bool:
        """May it carry another request?  Nothing may have come behind the last answer, nor lie unread."""
        if self.should_close or self.transport is None:
            return False
        try:
            os.read(self.transport.get_extra_info("socket").fileno(), 1)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False       # bytes that belong to nobody, or the instance has closed it

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """A head was read."""
        self._answer = data
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        if not data:
            return super().data_received(data)
        while data:
            if self._stage is Stage.NONE:
                self.force_close()
                if self.transport:
                    self.transport.abort()
                return
            # The parser drops what it has read of a segment if the segment's rest is noise, so it is given
            # a head and a body apart, and never more than that.
            take = self._end_of_head(data) if self._stage is Stage.HEAD else self._left
            part, data = (data, b"") if take is None else (data[:take], data[take:])
            self._size += len(part)
            if self._size > (HEAD_MOST if self._stage is Stage.HEAD else BODY_MOST + HEAD_MOST):
                return self._spoil("too long")
            super().data_received(part)
            if self.exception() is not None:
                return self._spoil("not HTTP")
            if self._stage is Stage.HEAD and take is not None:
                if reason := self._head_read():
                    return self._spoil(reason)
            elif self._stage is Stage.BODY and self._left is not None:
                self._left -= len(part)
            if self._stage is Stage.BODY and self._answer and self._answer[1].is_eof():
                self._over()
        if self._stage is not Stage.NONE and self._size and not self._stall:
            self._stall = self._loop.call_later(ANSWER_S, self._spoil, "never whole")

    def _end_of_head(self, data: bytes) -> int | None:
        """How much of the data is still the head's; None: all, and it goes on."""
        joined = self._tail_of_head + data
        at, before = joined.find(b"\r\n\r\n"), len(self._tail_of_head)
        self._tail_of_head = joined[-3:] if at < 0 else b""
        return None if at < 0 else at + 4 - before

    def _head_read(self) -> str:
        """Go on to what follows this head; if that cannot be, say why."""
        if self._answer is None:
            return "not HTTP"
        message, _ = self._answer
        if 100 <= message.code < 200:
            self._interim, self._answer = self._interim + 1, None
            if self._stall:                # the final answer may still take its time
                self._stall.cancel()
                self._stall = None
            return "1xx" if message.code == 101 or self._interim > INTERIM_MOST else ""
        lengths = message.headers.getall("Content-Length", [])
        if message.chunked:
            if lengths:
                return "two lengths"
        elif len(lengths) != 1 or not (lengths[0].isascii() and lengths[0].isdecimal()):
            # With no length, an answer that was cut could not be told from a whole one.
            return "length"
        elif (length := int(lengths[0])) > BODY_MOST:
            return "too long"
        else:
            self._left = length
        self._stage, self._size = Stage.BODY, 0
        return ""

    def _spoil(self, reason: str) -> None:
        self._over()
        error = Spoilt(reason)
        if self._answer and not self._answer[1].is_eof():
            self._answer[1].set_exception(error)
        if self.exception() is None:
            self.set_exception(error)
        if self.transport:
            self.transport.abort()


class InstanceConnector(aiohttp.TCPConnector):
    """A pool with no queue, in which an idle connection makes room for one that is needed."""

    def __init__(self, most: int, keep_s: float) -> None:
        # No limits of aiohttp's: a request that waited in a pool for its turn would wait unseen.
        super().__init__(limit=0, limit_per_host=0, keepalive_timeout=keep_s)
        self._most, self._dialling = most, 0
        self.open: set[InstanceConnection] = set()
        self._factory = partial(InstanceConnection, self._loop, self.open)  # type: ignore[assignment]

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while connection := await super()._get(key, traces):
            protocol = connection.protocol
            if isinstance(protocol, InstanceConnection) and protocol.clean():
                return connection
            connection.close()
        return None

    async def _create_connection(self, req: ClientRequest, traces: list[Trace],
                                 timeout: aiohttp.ClientTimeout) -> ResponseHandler:
        if len(self.open) + self._dialling >= self._most and not self._drop_longest_idle():
            raise NoSocketLeft
        self._dialling += 1
        try:
            return await super()._create_connection(req, traces, timeout)
        finally:
            self._dialling -= 1

    def _drop_longest_idle(self) -> bool:
        idle = [(conns[0][1], key) for key, conns in self._conns.items() if conns]
        if idle:
            _, key = min(idle, key=lambda pair: pair[0])
            self._conns[key].popleft()[0].close()
        return bool(idle)

    def drop(self, host: str, port: int) -> None:
        """Close the idle connections to an address: another instance may listen there soon."""
        for key in [key for key in self._conns if (key.host, key.port) == (host, port)]:
            for protocol, _ in self._conns.pop(key):
                protocol.close()

