"""How clients' connections are closed: no answer is destroyed, and what has come whole is answered.

A `Plain` client is a blocking socket: what it sends is in the kernel before the balancer's next turn.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
from scenario import LIMIT_S, LOOPS, Stage, run
from test_client_leaves import begun, only, order, over, step, until

from roadlb.lifecycle.lifecycle import Event
from roadlb.net import client_connection, frontend

ASKED = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
CLOSE = "Connection: close"
BEHIND = (
    client_connection.MAX_DISCARDED_BYTES // 2
)  # bytes behind what is faulty, all of which are thrown away


class Plain:
    """A client that reads nothing till it is asked to."""

    def __init__(self, stage: Stage) -> None:
        self.socket = socket.create_connection(("127.0.0.1", stage.app.port))

    def send(self, text: str) -> None:
        self.socket.sendall(text.encode())

    def fill(self, text: str) -> bytes:
        """Send as much of it as the kernel takes in this turn; gives the rest."""
        self.socket.setblocking(False)
        left = memoryview(text.encode())
        with suppress(BlockingIOError):
            while left:
                left = left[self.socket.send(left) :]
        return bytes(left)

    async def go_on(self, more: int) -> None:
        """Send so many bytes as they are taken; a reset raises."""
        async with asyncio.timeout(LIMIT_S):
            await asyncio.get_running_loop().sock_sendall(self.socket, b"x" * more)

    async def rest(self) -> str:
        """All that comes up to the stream's end; a reset raises."""
        self.socket.setblocking(False)
        got, loop = b"", asyncio.get_running_loop()
        async with asyncio.timeout(LIMIT_S):
            while read := await loop.sock_recv(self.socket, 65_536):
                got += read
        self.socket.close()
        return got.decode()

    def close(self) -> None:
        self.socket.close()


def play(loop: str, grid: str, main: Callable[[Stage, Plain], Awaitable[None]]) -> None:
    async def whole() -> None:
        stage = await begun(grid)
        plain = Plain(stage)
        await until(lambda: stage.app.frontend.connections)
        await main(stage, plain)
        plain.close()
        await over(stage)

    run(whole(), loop)


async def asked(stage: Stage, plain: Plain) -> None:
    """Have the connection carry a request, which is answered."""
    plain.send(ASKED)
    await until(lambda: only(stage).has_sent_request)


@pytest.mark.parametrize("loop", LOOPS)
def test_no_reset_destroys_a_last_answer_though_its_client_goes_on_sending(loop: str) -> None:
    async def main(stage: Stage, plain: Plain) -> None:
        plain.send(order(1))
        await step(stage, "i1 expect POST")
        stage.app.tell(Event.OUT_OF_SERVICE)
        await step(stage, "i1 send 200 done")
        connection = only(stage)
        await until(lambda: connection.closing_since_us)
        plain.send(order(2) + order(3))
        await until(lambda: connection._discarded_bytes)
        got = await plain.rest()
        assert got.count("HTTP/1.1") == 1 and CLOSE in got and got.endswith("done")
        await until(lambda: not stage.app.frontend.connections)
        assert stage.app.counters["taken"] == 1

    play(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (order(1, 1 << 26), 413),
        ("nonsense\r\n\r\n", 400),
        ("GET /grid-read/k HTTP/1.1\r\nHost: x\r\nX-A: " + "x" * 20_000, 431),
    ],
)
def test_no_reset_destroys_the_answer_to_input_that_goes_on(sent: str, status: int, loop: str) -> None:
    async def main(stage: Stage, plain: Plain) -> None:
        # More than the loop reads in one piece: some of it is in the socket when the answer is written, and a
        # plain close would be a reset.
        connection = only(stage)
        plain.fill(sent + "x" * BEHIND)
        await until(lambda: connection.closing_since_us)
        await plain.go_on(100_000)
        got = await plain.rest()
        assert got.startswith(f"HTTP/1.1 {status}") and CLOSE in got
        assert stage.app.counters[f"rejected.{status}"] == 1

    play(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_client_that_never_closes_and_sends_for_ever_is_closed_within_bounds(loop: str) -> None:
    async def main(stage: Stage, plain: Plain) -> None:
        connection = only(stage)
        plain.send("nonsense\r\n\r\n")
        await until(lambda: connection.closing_since_us)
        plain.socket.setblocking(False)
        async with asyncio.timeout(LIMIT_S):
            while connection.transport is not None:
                try:
                    plain.socket.send(b"x" * 65_536)
                except BlockingIOError:
                    pass
                except ConnectionError:
                    break
                await asyncio.sleep(0)
        await until(lambda: not stage.app.frontend.connections)
        assert connection._discarded_bytes <= client_connection.MAX_DISCARDED_BYTES + (
            1 << 19
        )  # and two reads of the loop

    play(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_each_request_in_line_is_answered_and_only_the_last_answer_says_so(loop: str) -> None:
    async def main(stage: Stage, plain: Plain) -> None:
        plain.send(order(1) + order(2))
        await step(stage, "i1 expect POST")
        stage.app.tell(Event.OUT_OF_SERVICE)
        await step(stage, "i1 send 200 one")
        await step(stage, "i2 expect POST")
        await step(stage, "i2 send 200 two")
        first, second = (await plain.rest()).split("HTTP/1.1 200")[1:]
        assert CLOSE not in first and first.endswith("one") and CLOSE in second and second.endswith("two")

    play(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_that_has_come_and_is_not_read_yet_is_answered(loop: str) -> None:
    async def main(stage: Stage, plain: Plain) -> None:
        plain.send(order(1))
        await step(stage, "i1 expect POST")
        stage.app.tell(Event.OUT_OF_SERVICE)
        exchange = only(stage).exchange
        assert exchange is not None
        plain.send(order(2))
        stage.app.engine._give_up(exchange, "for the test")  # in this turn, as any answer may come
        await step(stage, "i2 expect POST")
        await step(stage, "i2 send 200 two")
        first, second = (await plain.rest()).split("HTTP/1.1 ")[1:]
        assert CLOSE not in first and CLOSE in second and second.endswith("two")

    play(loop, "1", main)


def idles(stage: Stage) -> None:
    stage.app.frontend.sweep()


def drains(stage: Stage) -> None:
    stage.app.frontend.close_idle(1.0)


def crowds(stage: Stage) -> None:
    client = stage.app.frontend
    client.set_max_connections(0)
    client.on_connected(client_connection.ClientConnection(client))


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("closes", [idles, drains, crowds])
def test_a_resting_connection_is_not_closed_on_a_request_that_has_come(
    monkeypatch: pytest.MonkeyPatch, closes: Callable[[Stage], None], loop: str
) -> None:
    async def main(stage: Stage, plain: Plain) -> None:
        await asked(stage, plain)
        monkeypatch.setattr(frontend, "IDLE_TIMEOUT_S", -1.0)
        monkeypatch.setattr(frontend, "SHORT_IDLE_TIMEOUT_S", -1.0)
        monkeypatch.setattr(frontend, "HIGH_USE_RATIO", 2)
        plain.send(order(1))
        closes(stage)
        monkeypatch.undo()
        await step(stage, "i1 expect POST")
        await step(stage, "i1 send 200 done")
        await until(lambda: not only_open(stage).exchange)
        plain.socket.shutdown(socket.SHUT_WR)
        assert (await plain.rest()).endswith("done")

    play(loop, "1", main)


def only_open(stage: Stage) -> client_connection.ClientConnection:
    """The one that has a transport: a test may have announced another, which has none."""
    connections = stage.app.frontend.connections
    for connection in [c for c in connections if c.transport is None]:
        del connections[connection]
    return only(stage)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_whose_rest_has_come_is_not_closed_as_unfinished(loop: str) -> None:
    async def main(stage: Stage, plain: Plain) -> None:
        text = order(1)
        plain.send(text[:-2])
        await until(lambda: only(stage).request_started_us)
        plain.send(text[-2:])
        stage.app.frontend.close_unfinished()
        await step(stage, "i1 expect POST")
        await step(stage, "i1 send 200 done")
        await until(lambda: not only(stage).exchange)
        plain.socket.shutdown(socket.SHUT_WR)
        assert (await plain.rest()).endswith("done")

    play(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_that_crosses_the_end_of_its_resting_connection_never_runs(loop: str) -> None:
    async def main(stage: Stage, plain: Plain) -> None:
        await asked(stage, plain)
        connection = only(stage)
        stage.app.frontend.close_idle(1.0)
        plain.send(order(1))
        assert (await plain.rest()).count("HTTP/1.1") == 1  # it ends in good order, and can be sent once more
        await until(lambda: connection.transport is None)
        assert stage.app.counters["taken"] == 0

    play(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_connections_that_wait_for_their_clients_end_make_room_first(
    monkeypatch: pytest.MonkeyPatch, loop: str
) -> None:
    monkeypatch.setattr(frontend, "LINGER_S", 100.0)

    async def main(stage: Stage, plain: Plain) -> None:
        connection = only(stage)
        plain.send("nonsense\r\n\r\n")
        await until(lambda: connection.is_lingering)
        stage.app.frontend.set_max_connections(1)
        other = Plain(stage)
        await until(lambda: connection not in stage.app.frontend.connections)
        assert stage.app.counters["client.crowded"] == 0
        other.close()

    play(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_small_writes_are_not_held_back(loop: str) -> None:
    async def main(stage: Stage, plain: Plain) -> None:
        plain.send(order(1))
        await step(stage, "i1 expect POST")
        (to_server,) = stage.app.server_connections.pool.open
        for transport in (only(stage).transport, to_server.transport):
            assert transport is not None
            connection = transport.get_extra_info("socket")
            assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        await step(stage, "i1 send 200 done")

    play(loop, "1", main)
