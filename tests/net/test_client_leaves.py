"""Clients that leave while something of theirs is open, waits, or cannot be read: nothing further begins.

Each order is forced: a party goes on once the balancer's connection stands as the crossing wants it.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest
from scenario import LIMIT_S, LOOPS, Link, Stage, run

from roadlb.net.client_connection import HELD_MOST, ClientConnection

ORDER = (
    "POST /order/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: {id}\r\n"
    "Content-Length: {length}\r\n\r\n"
)
MUCH = HELD_MOST + 1  # bytes behind an open request with which reading stops
LEAVING = ["end", "reset", "half-close"]


def order(id: int, length: int = 0) -> str:
    return ORDER.format(id=id, length=length)


def only(stage: Stage) -> ClientConnection:
    (connection,) = stage.app.service_client.connections
    return connection


async def until(is_so: Callable[[], object]) -> None:
    """Wait for what must come."""
    async with asyncio.timeout(LIMIT_S):
        while not is_so():
            await asyncio.sleep(0.002)


async def client(stage: Stage, name: str, text: str) -> Link:
    link = stage.links[name] = Link(*await asyncio.open_connection("127.0.0.1", stage.app.port))
    link.write(text)
    return link


def leave(link: Link, how: str) -> None:
    connection = link.writer.get_extra_info("socket")
    if how == "reset":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        link.writer.transport.abort()
    elif how == "half-close":
        link.writer.write_eof()
    else:
        link.writer.close()


async def begun(grid: str) -> Stage:
    stage = Stage()
    await stage.step(f"grid {grid}")
    return stage


async def over(stage: Stage) -> None:
    """End all, and see that no request reached a server but those that were expected."""
    for link in stage.links.values():
        link.writer.close()
    await asyncio.wait_for(stage.app.stop(linger_s=0), LIMIT_S)
    for end in [*stage.servers, *stage.mutes]:
        end.close()
    assert stage.waiting["i"].empty()


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_a_close_is_noticed_while_reading_is_paused(how: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("1")
        link = await client(stage, "a", order(1))
        await stage.step("i1 expect POST")
        link.write("x" * MUCH)
        await until(lambda: only(stage).reading_paused)
        leave(link, how)
        await stage.step("i1 expect closed")
        assert stage.app.counters["client_gone"] == 1 and stage.app.counters["errored.order"] == 0
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_no_request_behind_is_begun_once_the_client_has_left(how: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("1")
        link = await client(stage, "a", order(1) + order(2) + order(3))
        await stage.step("i1 expect POST")
        link.write(order(4) + "x" * MUCH)
        await until(lambda: only(stage).reading_paused)
        leave(link, how)
        await stage.step("i1 expect closed")
        await until(lambda: not stage.app.service_client.connections)
        assert stage.app.counters["taken"] == 1
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_close_in_the_same_turn_as_the_answer_lets_no_request_behind_begin(loop: str) -> None:
    # The answer ends the first request before the look at paused clients is due.
    async def main() -> None:
        stage = await begun("1")
        plain = socket.create_connection(("127.0.0.1", stage.app.port))  # whose close takes effect at once
        plain.sendall((order(1) + order(2)).encode())
        await stage.step("i1 expect POST")
        plain.sendall(b"x" * MUCH)
        await until(lambda: only(stage).reading_paused)
        exchange = only(stage).exchange
        assert exchange is not None
        plain.close()
        stage.app.engine._give_up(exchange, "for the test")  # in this turn, as any answer may come
        assert stage.app.counters["taken"] == 1
        await stage.step("i1 expect closed")
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_a_close_is_noticed_behind_input_that_is_not_http(how: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("1")
        link = await client(stage, "a", order(1) + "nonsense\r\n\r\n")
        await stage.step("i1 expect POST")
        assert only(stage).deaf
        leave(link, how)
        await stage.step("i1 expect closed")
        assert stage.app.counters["client_gone"] == 1 and stage.app.counters["errored.order"] == 0
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
@pytest.mark.parametrize("paused", [False, True])
def test_a_close_is_noticed_while_a_server_is_dialled(paused: bool, how: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("0 0 1")
        link = await client(stage, "a", order(1))
        await until(lambda: stage.app.counters["execution"])
        if paused:
            link.write("x" * MUCH)
            await until(lambda: only(stage).reading_paused)
        leave(link, how)
        await until(lambda: stage.app.counters["client_gone"])
        assert stage.app.counters["execution.cancelled"] == 1 and stage.app.counters["execution"] == 1
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_a_close_in_a_long_body_is_noticed_while_a_server_is_dialled(how: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("0 0 1")
        link = await client(stage, "a", order(1, 200_000) + "x" * 100_000)
        await until(lambda: stage.app.counters["execution"])
        assert only(stage).uploading
        leave(link, how)
        await until(lambda: stage.app.counters["client_gone"])
        assert stage.app.counters["execution"] == 1
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_a_close_is_noticed_while_the_client_takes_no_answer(how: str, loop: str) -> None:
    # uvloop tells of the connection's end only when all that was written is out.
    async def main() -> None:
        stage = await begun("1")
        link = await client(stage, "a", order(1) + order(2))
        link.reader._transport.pause_reading()  # type: ignore[attr-defined]
        await stage.step("i1 expect POST")
        stage.links["i1"].write(f"HTTP/1.1 200 OK\r\nContent-Length: {1 << 25}\r\n\r\n" + "x" * (1 << 24))
        await until(lambda: only(stage).stuck_us)
        leave(link, how)
        await until(lambda: stage.app.counters["client_gone"])
        assert stage.app.counters["taken"] == 1
        await stage.step("i1 close")
        await until(lambda: not stage.app.engine.current)
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_a_burst_of_clients_leaves(how: str, loop: str) -> None:
    async def main() -> None:
        stage, count = await begun("1"), 8
        links = [await client(stage, f"a{i}", order(10 * i) + order(10 * i + 1)) for i in range(count)]
        for i in range(count):
            await stage.step(f"i{i} expect POST")
        for link in links:
            leave(link, how)
        for i in range(count):
            await stage.step(f"i{i} expect closed")
        await until(lambda: not stage.app.service_client.connections)
        assert stage.app.counters["client_gone"] == stage.app.counters["taken"] == count
        await over(stage)

    run(main(), loop)
