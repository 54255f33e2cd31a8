"""Clients that leave while something of theirs is open, waits, or cannot be read: nothing further begins.

Each order is forced: a party goes on once the balancer's connection stands as the crossing wants it.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable

import pytest
from scenario import LIMIT_S, LOOPS, Link, Stage, run

from roadlb.net.client_connection import MAX_UNPARSED_BYTES, ClientConnection

ORDER = (
    "POST /order/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: {id}\r\n"
    "Content-Length: {length}\r\n\r\n"
)
READ = "GET /grid-read/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: 1\r\n\r\n"
KEYS = 20
MUCH = MAX_UNPARSED_BYTES + 1  # bytes behind an open request with which reading stops
LEAVING = ["end", "reset", "half-close"]


def order(id: int, length: int = 0) -> str:
    return ORDER.format(id=id, length=length)


def only(stage: Stage) -> ClientConnection:
    (connection,) = stage.app.frontend.connections
    return connection


async def until(is_so: Callable[[], object]) -> None:
    """Wait for what must come."""
    async with asyncio.timeout(LIMIT_S):
        while not is_so():
            await asyncio.sleep(0.002)


async def step(stage: Stage, line: str) -> None:
    """Play a line of the scenario language, which must come to its end."""
    await asyncio.wait_for(stage.step(line), LIMIT_S)


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
    await step(stage, f"grid {grid}")
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
        await step(stage, "i1 expect POST")
        link.write("x" * MUCH)
        await until(lambda: only(stage).is_reading_paused)
        leave(link, how)
        await step(stage, "i1 expect closed")
        assert stage.app.counters["client_gone"] == 1 and stage.app.counters["errored.order"] == 0
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_no_request_behind_is_begun_once_the_client_has_left(how: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("1")
        link = await client(stage, "a", order(1) + order(2) + order(3))
        await step(stage, "i1 expect POST")
        link.write(order(4) + "x" * MUCH)
        await until(lambda: only(stage).is_reading_paused)
        leave(link, how)
        await step(stage, "i1 expect closed")
        await until(lambda: not stage.app.frontend.connections)
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
        await step(stage, "i1 expect POST")
        plain.sendall(b"x" * MUCH)
        await until(lambda: only(stage).is_reading_paused)
        exchange = only(stage).exchange
        assert exchange is not None
        plain.close()
        stage.app.engine._give_up(exchange, "for the test")  # in this turn, as any answer may come
        assert stage.app.counters["taken"] == 1
        await step(stage, "i1 expect closed")
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_a_close_is_noticed_behind_input_that_is_not_http(how: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("1")
        link = await client(stage, "a", order(1) + "nonsense\r\n\r\n")
        await step(stage, "i1 expect POST")
        assert only(stage).ignores_input
        leave(link, how)
        await step(stage, "i1 expect closed")
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
            await until(lambda: only(stage).is_reading_paused)
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
        assert only(stage).is_uploading
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
        await step(stage, "i1 expect POST")
        stage.links["i1"].write(f"HTTP/1.1 200 OK\r\nContent-Length: {1 << 25}\r\n\r\n" + "x" * (1 << 24))
        await until(lambda: only(stage).write_blocked_since_us)
        leave(link, how)
        await until(lambda: stage.app.counters["client_gone"])
        assert stage.app.counters["taken"] == 1
        await step(stage, "i1 close")
        await until(lambda: not stage.app.engine.requests_in_flight)
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_a_burst_of_clients_leaves(how: str, loop: str) -> None:
    async def main() -> None:
        stage, count = await begun("1"), 8
        links = [await client(stage, f"a{i}", order(10 * i) + order(10 * i + 1)) for i in range(count)]
        for i in range(count):
            await step(stage, f"i{i} expect POST")
        for link in links:
            leave(link, how)
        for i in range(count):
            await step(stage, f"i{i} expect closed")
        await until(lambda: not stage.app.frontend.connections)
        assert stage.app.counters["client_gone"] == stage.app.counters["taken"] == count
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", ["end", "reset"])
def test_no_retry_begins_for_a_client_whose_close_lies_behind_what_allows_it(how: str, loop: str) -> None:
    # Both are in the kernel when the loop looks again, the server's answer first: it decides the retry, for
    # which a connection waits.
    async def main() -> None:
        stage = await begun("2")
        pools = stage.app.server_connections.pool
        ports: set[int] = set()
        for number in range(20):
            await client(stage, f"a{number}", order(100 + number).replace("/order/k", f"/order/k{number}"))
            await step(stage, f"i{number} expect POST")
            ports.add(stage.links[f"i{number}"].port)
            await step(stage, f"i{number} send 200 done")
            await step(stage, f"a{number} expect 200 done")
            await until(lambda: len(pools._all_idle) == len(ports))
        assert len(ports) == 2
        sent = stage.app.counters["sends"]
        with socket.create_connection(("127.0.0.1", stage.app.port)) as leaver:
            leaver.sendall(order(1).encode())
            await step(stage, "i99 expect POST")
            server = stage.links["i99"].writer.get_extra_info("socket").fileno()
            answer = b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
            assert os.write(server, answer) == len(answer)
            if how == "reset":
                leaver.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await until(lambda: stage.app.counters["client_gone"])
        assert stage.app.counters["sends"] == sent + 1
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_both_attempts_are_cancelled_as_the_client_of_a_second_copy_leaves(how: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("2 second_copies=true")
        link = await client(stage, "a", READ)
        await step(stage, "i1 expect GET")
        await step(stage, "i2 expect GET")  # no answer has come in time
        assert stage.links["i1"].port != stage.links["i2"].port
        leave(link, how)
        await step(stage, "i1 expect closed")
        await step(stage, "i2 expect closed")
        counters = stage.app.counters
        assert counters["client_gone"] == 1 and counters["errored.grid-read"] == 0
        assert counters["execution"] == counters["execution.cancelled"] == 2
        await until(lambda: not stage.app.engine.requests_in_flight)
        await over(stage)
        assert counters["execution"] == 2

    run(main(), loop)


def dialled_ports(stage: Stage) -> set[int]:
    """Where connections are being dialled to."""
    return {call.address.port for call in stage.app.server_connections.pool.dialled() if call.address}


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("how", LEAVING)
def test_a_close_is_noticed_while_a_retrys_server_is_dialled(how: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("1 0 1")
        counters, mute = stage.app.counters, stage.mutes[0].getsockname()[1]
        for number in range(KEYS):  # till one is first sent to the server that listens
            link = await client(stage, "a", order(number).replace("/order/k", f"/order/k{number}"))
            await until(lambda: mute in dialled_ports(stage) or not stage.waiting["i"].empty())
            if not stage.waiting["i"].empty():
                break
            gone = counters["client_gone"]
            leave(link, "end")
            await until(lambda gone=gone: counters["client_gone"] > gone and not dialled_ports(stage))
        await step(stage, "i1 expect POST")
        begun_before, cancelled, gone = (
            counters[name] for name in ("execution", "execution.cancelled", "client_gone")
        )
        await step(stage, "i1 send 503 X-Unprocessed:1")
        await until(lambda: mute in dialled_ports(stage))
        assert counters["execution"] == begun_before + 1
        leave(link, how)
        await until(lambda: counters["client_gone"] == gone + 1)
        assert not dialled_ports(stage) and counters["execution.cancelled"] == cancelled + 1
        await until(lambda: not stage.app.engine.requests_in_flight)
        await over(stage)
        assert counters["execution"] == begun_before + 1

    run(main(), loop)
