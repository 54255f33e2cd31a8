"""Small scenarios on asyncio's own loop (loopback) and on the simulated one: the callbacks must agree."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop
from sim_worlds import LINGER_ZERO, PORT, Recorder, simulate

BIG = 12_000_000  # more than both kernels' buffers hold


class World:
    """What a scenario needs, in either world; `connect` and `serve` are the loop's."""

    def __init__(
        self, serve: Callable[..., Awaitable[Any]], run: Callable[..., Awaitable[Any]], *at: Any
    ) -> None:
        self.serve, self.run, self.at = serve, run, at
        self.dial: Callable[..., Any] = asyncio.get_running_loop().create_connection
        self.server: list[Any] = []
        self.client: list[Any] = []
        self.served: list[Recorder] = []

    async def open(
        self, server: dict[str, Any] | None = None, client: dict[str, Any] | None = None
    ) -> Recorder:
        """A connection whose ends do what `server` and `client` say; the client's recorder."""

        def factory() -> Recorder:
            self.served.append(Recorder(self.server, **(server or {})))
            return self.served[-1]

        self.listener = await self.serve(factory)
        _, protocol = await self.connect(lambda: Recorder(self.client, **(client or {})))
        return protocol

    async def connect(self, factory: Callable[[], asyncio.BaseProtocol]) -> Any:
        return await self.run(self.dial(factory, *self.at))

    async def until(self, true: Callable[[], object]) -> None:
        async with asyncio.timeout(20):
            while not true():
                await asyncio.sleep(0.001)

    async def both_lost(self) -> None:
        await self.until(lambda: all(log and log[-1][0] == "lost" for log in (self.server, self.client)))


def write(data: bytes) -> Callable[[Recorder], None]:
    return lambda me: me.transport.write(data)


def close(me: Recorder) -> None:
    me.transport.close()


def reset(me: Recorder) -> None:
    me.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    me.transport.abort()


async def echo_then_close(world: World) -> None:
    await world.open({"data": write(b"answer")}, {"made": write(b"request"), "data": close})
    await world.both_lost()


async def half_close(world: World) -> None:
    def ask(me: Recorder) -> None:
        me.transport.write(b"all I have")
        me.transport.write_eof()

    def answer(me: Recorder) -> None:
        me.transport.write(b"thanks")
        me.transport.close()

    await world.open({"eof": answer, "keep_open": True}, {"made": ask})
    await world.both_lost()


async def close_with_unread_data(world: World) -> None:
    await world.open({"made": lambda me: me.transport.pause_reading()}, {"made": write(b"unread")})
    await world.until(lambda: world.server)
    await asyncio.sleep(0.001)  # loopback has delivered when `write` returns; a simulated link takes time
    world.served[0].transport.close()
    await world.both_lost()


async def abort_with_nothing_unread(world: World) -> None:
    client = await world.open()
    await world.until(lambda: world.server)
    client.transport.abort()
    await world.both_lost()


async def reset_before_the_first_byte(world: World) -> None:
    client = await world.open()
    reset(client)
    await world.both_lost()


async def bytes_and_then_a_reset(world: World) -> None:
    client = await world.open()
    await world.until(lambda: world.server)
    client.transport.write(b"last words")
    reset(client)
    await world.both_lost()


async def write_to_who_has_closed(world: World) -> None:
    client = await world.open({"made": close}, {"keep_open": True})
    await world.until(lambda: world.server[-1:] == [("lost", "NoneType")] and "eof" in world.client)
    client.transport.write(b"anybody there?")
    for _ in range(200):  # the reset comes back, and a later write meets it
        await asyncio.sleep(0.001)
        client.transport.write(b"anybody?")
    await world.both_lost()


async def deaf_and_then_not(world: World) -> None:
    client = await world.open({"made": lambda me: me.transport.pause_reading()})
    await world.until(lambda: world.server)
    client.transport.write(b"x" * BIG)
    world.client.append(("held", client.transport.get_write_buffer_size() > 64 * 1024))
    world.served[0].transport.resume_reading()
    await world.until(lambda: len(world.served[0].data) == BIG)
    world.client.append(("held", client.transport.get_write_buffer_size() > 0))
    client.transport.close()
    await world.both_lost()


async def close_behind_a_full_buffer(world: World) -> None:
    def all_of_it(me: Recorder) -> None:
        me.transport.write(b"x" * BIG)
        me.transport.close()
        me.transport.write(b"too late")

    await world.open({}, {"made": all_of_it})
    await world.both_lost()
    world.server.append(len(world.served[0].data))


async def eof_behind_a_full_buffer(world: World) -> None:
    def all_of_it(me: Recorder) -> None:
        me.transport.write(b"x" * BIG)
        me.transport.write_eof()

    await world.open({}, {"made": all_of_it})
    await world.both_lost()
    world.server.append(len(world.served[0].data))


async def who_dials_goes_on_before_the_first_bytes(world: World) -> None:
    async def dial(factory: Callable[[], asyncio.BaseProtocol], *at: Any) -> Any:
        connected = await asyncio.get_running_loop().create_connection(factory, *at)
        world.client.append("dialled")
        return connected

    world.dial = dial
    await world.open({"made": write(b"greeting")})
    await world.until(lambda: "data" in world.client)
    world.served[0].transport.close()
    await world.both_lost()


async def refused(world: World) -> None:
    server = await world.serve(asyncio.Protocol)
    server.close()
    try:
        await world.connect(asyncio.Protocol)
    except OSError as error:
        world.client.append((type(error).__name__, error.errno, str(error).split("(")[0]))


async def clients_outlive_their_server(world: World) -> None:
    client = await world.open({"data": write(b"still here")}, {"data": close})
    await world.until(lambda: world.server)
    world.server.append((world.listener.is_serving(), len(world.listener.sockets)))
    world.listener.close()
    await world.listener.wait_closed()
    world.server.append((world.listener.is_serving(), len(world.listener.sockets)))
    client.transport.write(b"hello?")
    await world.both_lost()


async def misuse(world: World) -> None:
    client = await world.open()
    transport = client.transport
    for wrong in (
        lambda: transport.write("text"),
        lambda: transport.set_write_buffer_limits(1, 2),
        transport.write_eof,
        lambda: transport.write(b"after the end"),
    ):
        try:
            wrong()
        except Exception as error:
            world.client.append((type(error).__name__, str(error)))
    await world.both_lost()


async def a_protocol_that_raises(world: World) -> None:
    def fail(me: Recorder) -> None:
        raise ValueError("a fault of the program")

    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: world.server.append(("handler", type(context["exception"]).__name__))
    )
    await world.open({"data": fail}, {"made": write(b"go")})
    await world.both_lost()


async def buffered_protocol(world: World) -> None:
    class Buffered(asyncio.BufferedProtocol):
        def __init__(self) -> None:
            self.buffer, self.data = bytearray(7), b""

        def get_buffer(self, sizehint: int) -> bytearray:
            return self.buffer

        def buffer_updated(self, nbytes: int) -> None:
            self.data += self.buffer[:nbytes]

        def eof_received(self) -> None:
            world.server.append(self.data)

        def connection_lost(self, error: BaseException | None) -> None:
            world.server.append(("lost", type(error).__name__))

    def say(me: Recorder) -> None:
        me.transport.write(b"in parts of seven bytes")
        me.transport.close()

    await world.serve(Buffered)
    await world.connect(lambda: Recorder(world.client, made=say))
    await world.both_lost()


async def paused_reading(world: World) -> None:
    client = await world.open(
        {"made": write(b"for later")}, {"made": lambda me: me.transport.pause_reading()}
    )
    await world.until(lambda: world.server)
    world.client.append(client.transport.is_reading())
    client.transport.resume_reading()
    client.transport.resume_reading()
    await world.until(lambda: client.data)
    world.client.append(client.transport.is_reading())
    client.transport.close()
    world.client.append((client.transport.is_reading(), client.transport.is_closing()))
    await world.both_lost()


SCENARIOS = [
    echo_then_close,
    half_close,
    close_with_unread_data,
    abort_with_nothing_unread,
    reset_before_the_first_byte,
    bytes_and_then_a_reset,
    write_to_who_has_closed,
    deaf_and_then_not,
    close_behind_a_full_buffer,
    eof_behind_a_full_buffer,
    who_dials_goes_on_before_the_first_bytes,
    refused,
    clients_outlive_their_server,
    misuse,
    a_protocol_that_raises,
    buffered_protocol,
    paused_reading,
]


# uvloop words errors otherwise, reads on where connection_made has paused reading, and hands a dialler its
# first bytes before it goes on.  In these it agrees.
AS_ON_UVLOOP = [
    echo_then_close,
    half_close,
    abort_with_nothing_unread,
    reset_before_the_first_byte,
    bytes_and_then_a_reset,
    deaf_and_then_not,
    close_behind_a_full_buffer,
    eof_behind_a_full_buffer,
    clients_outlive_their_server,
    a_protocol_that_raises,
    buffered_protocol,
]


def on_the_real_loop(
    scenario: Callable[[World], Awaitable[None]], new_loop: Callable[[], Any]
) -> tuple[list[Any], list[Any]]:
    async def main() -> tuple[list[Any], list[Any]]:
        loop = asyncio.get_running_loop()

        async def serve(factory: Any) -> asyncio.Server:
            server = await loop.create_server(factory, "127.0.0.1", 0)
            world.at = server.sockets[0].getsockname()
            return server

        async def run(coroutine: Any) -> Any:
            return await coroutine

        world = World(serve, run)
        await scenario(world)
        return world.server, world.client

    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(main())


def on_the_simulated_loop(
    scenario: Callable[[World], Awaitable[None]], **options: Any
) -> tuple[list[Any], list[Any]]:
    async def main(pair: Any) -> tuple[list[Any], list[Any]]:
        world = World(pair.listen, pair.client.run, pair.server.ip, PORT)
        await scenario(world)
        return world.server, world.client

    result: tuple[list[Any], list[Any]] = simulate(main, **options)
    return result


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_callbacks_come_as_on_the_real_loop(scenario: Callable[[World], Awaitable[None]]) -> None:
    real = on_the_real_loop(scenario, asyncio.SelectorEventLoop)
    assert on_the_simulated_loop(scenario, abort_resets=False) == real


@pytest.mark.parametrize("scenario", AS_ON_UVLOOP, ids=lambda scenario: scenario.__name__)
def test_callbacks_come_as_on_uvloop_where_writes_are_deferred(
    scenario: Callable[[World], Awaitable[None]],
) -> None:
    real = on_the_real_loop(scenario, uvloop.new_event_loop)
    assert on_the_simulated_loop(scenario, abort_resets=False, deferred_writes=True) == real
