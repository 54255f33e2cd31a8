"""A thin asyncio client of etcd: calls with deadlines, several endpoints, watches; one type of error.

Theory of operation.  One channel at a time, to the endpoint that answered last; whoever does not answer in
`call_s` is left, and the next call goes to the next one.  A read is tried once at each endpoint.  A write is
never tried twice: whether the first was done is not known, and only who asks knows what a second one would do
(`Trouble.UNREACHABLE`).  A watch that breaks is the caller's to open again, from the revision that it has
seen: `News` tells it.

A channel that is left ends what is open on it.  gRPC tells that to whoever waits as if his task had been
cancelled; nobody did, and it is `Trouble.UNREACHABLE` here (`_errors`), or tasks for ever would end unseen.

Who calls takes the time before a call, and not after it, as the beginning of whatever the answer grants: a
lease runs at the store from some moment between the two.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import grpc  # type: ignore[import-untyped]
import grpc.aio  # type: ignore[import-untyped]

from . import codec
from .model import (
    Compact,
    Compare,
    Decided,
    Delete,
    Get,
    Got,
    Grant,
    KeepAlive,
    Leased,
    News,
    Operation,
    Put,
    Reply,
    Request,
    Revoke,
    StoreError,
    Trouble,
    Txn,
    Written,
)

CALL_S = 1.0  # a store that is well answers in milliseconds
# The library would wait up to 120 s between two dials of an endpoint that is away.
OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 3_000),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", 64 << 20),
)  # a range of many large values
AWAY = (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED, grpc.StatusCode.CANCELLED)


class Etcd:
    """Calls of one store, by its endpoints (`host:port`), in order of preference."""

    def __init__(self, endpoints: Sequence[str], call_s: float = CALL_S) -> None:
        if not endpoints:
            raise ValueError("endpoints: name one at least, as host:port")
        self.endpoints, self.call_s = tuple(endpoints), call_s
        self._at = 0
        self._channel: Any = None
        self._leaving: set[asyncio.Task[None]] = set()

    @property
    def endpoint(self) -> str:
        """Who is asked next."""
        return self.endpoints[self._at]

    async def get(self, key: bytes, end: bytes = b"", revision: int = 0, most: int = 0) -> Got:
        reply = await self._read(Get(key, end, revision, most))
        assert isinstance(reply, Got)
        return reply

    async def put(self, key: bytes, value: bytes, lease: int = 0) -> Written:
        return await self._write(Put(key, value, lease))

    async def delete(self, key: bytes, end: bytes = b"") -> Written:
        return await self._write(Delete(key, end))

    async def compact(self, revision: int) -> Written:
        return await self._write(Compact(revision))

    async def txn(
        self, compares: Sequence[Compare], then: Sequence[Operation], otherwise: Sequence[Operation] = ()
    ) -> Decided:
        reply = await self.call(Txn(tuple(compares), tuple(then), tuple(otherwise)))
        assert isinstance(reply, Decided)
        return reply

    async def grant(self, ttl_s: int) -> Leased:
        return await self._lease(Grant(ttl_s))

    async def keep_alive(self, lease: int) -> Leased:
        """Once; a TTL of 0 says that the store has no such lease."""
        return await self._lease(KeepAlive(lease))

    async def revoke(self, lease: int) -> Written:
        return await self._write(Revoke(lease))

    async def watch(self, key: bytes, end: bytes = b"", start: int = 0) -> AsyncIterator[News]:
        """Changes from a revision on (0: from now), for as long as the stream lasts; then StoreError.

        The first news is empty, and says that the watch stands and at which revision.  Trouble.COMPACTED: the
        store no longer has the changes; read anew, and watch from there.
        """
        at, channel = self.endpoint, self._open()
        stream = channel.stream_stream(
            f"/{codec.WATCH}/Watch",
            request_serializer=codec.WatchRequest.SerializeToString,
            response_deserializer=codec.WatchResponse.FromString,
        )()
        try:
            with self._errors("watch", at, channel):
                async with asyncio.timeout(self.call_s):
                    await stream.write(codec.write_watch(key, end, start))
                    told = await stream.read()
            while told is not grpc.aio.EOF:
                if told.canceled:
                    trouble = Trouble.COMPACTED if told.compact_revision else Trouble.REFUSED
                    raise StoreError(trouble, f"{at}: watch: {told.cancel_reason}", told.compact_revision)
                yield codec.read_news(told)
                with self._errors("watch", at, channel):
                    told = await stream.read()
            raise StoreError(Trouble.UNREACHABLE, f"{at}: watch: the store has ended it")
        finally:
            stream.cancel()

    async def close(self) -> None:
        channel, self._channel = self._channel, None
        if channel is not None:
            await channel.close()
        await asyncio.gather(*self._leaving, return_exceptions=True)

    # One call

    async def _read(self, request: Request) -> Reply:
        for _ in self.endpoints[1:]:
            try:
                return await self.call(request)
            except StoreError as e:
                if e.trouble is not Trouble.UNREACHABLE:
                    raise
        return await self.call(request)

    async def _write(self, request: Request) -> Written:
        reply = await self.call(request)
        assert isinstance(reply, Written)
        return reply

    async def _lease(self, request: Request) -> Leased:
        reply = await self.call(request)
        assert isinstance(reply, Leased)
        return reply

    async def call(self, request: Request) -> Reply:
        """One request, once, at the endpoint of the moment."""
        kind = type(request)
        service, method, asks, answers = codec.METHODS[kind]
        at, channel = self.endpoint, self._open()
        path, wire = f"/{service}/{method}", codec.write_request(request)
        make = channel.stream_stream if kind is KeepAlive else channel.unary_unary
        call = make(path, request_serializer=asks.SerializeToString, response_deserializer=answers.FromString)
        with self._errors(method, at, channel):
            if kind is not KeepAlive:
                return codec.read_reply(kind, await call(wire, timeout=self.call_s))
            stream = call(timeout=self.call_s)
            await stream.write(wire)
            told = await stream.read()
            stream.cancel()
            if told is grpc.aio.EOF:
                raise StoreError(Trouble.UNREACHABLE, f"{at}: {method}: the store has ended the stream")
            return codec.read_reply(kind, told)

    def _open(self) -> Any:
        if self._channel is None:
            self._channel = grpc.aio.insecure_channel(self.endpoint, options=OPTIONS)
        return self._channel

    @contextmanager
    def _errors(self, what: str, at: str, channel: Any) -> Iterator[None]:
        """Whatever goes wrong in a call of the channel, as StoreError."""
        away = f"{at}: {what}: "
        try:
            yield
        except grpc.aio.AioRpcError as e:
            raise self._error(what, at, channel, e) from None
        except TimeoutError:
            self._leave(channel)
            raise StoreError(Trouble.UNREACHABLE, f"{away}no answer in {self.call_s:g} s") from None
        except (grpc.aio.UsageError, asyncio.InvalidStateError) as e:
            raise StoreError(Trouble.UNREACHABLE, f"{away}{e}") from None
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise  # who waits was cancelled
            raise StoreError(Trouble.UNREACHABLE, f"{away}its channel was left meanwhile") from None

    def _error(self, what: str, at: str, channel: Any, error: Any) -> StoreError:
        code, text = error.code(), error.details() or ""
        trouble = Trouble.REFUSED
        if code in AWAY:
            trouble = Trouble.UNREACHABLE
            self._leave(channel)
        elif code is grpc.StatusCode.NOT_FOUND and "lease" in text:
            trouble = Trouble.NO_LEASE
        elif code is grpc.StatusCode.OUT_OF_RANGE:
            trouble = Trouble.COMPACTED if "compacted" in text else Trouble.AHEAD
        return StoreError(trouble, f"{at}: {what}: {code.name.lower()}: {text}")

    def _leave(self, channel: Any) -> None:
        """The next call goes to the next endpoint, over a new channel; what is open on this one may end."""
        if channel is not self._channel:
            return  # another call has left it already
        self._channel = None
        self._at = (self._at + 1) % len(self.endpoints)
        task = asyncio.get_running_loop().create_task(channel.close(self.call_s))
        self._leaving.add(task)
        task.add_done_callback(self._leaving.discard)
