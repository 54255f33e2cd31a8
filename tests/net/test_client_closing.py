"""Closing of client connections: no reset destroys an answer, and a request that has arrived is answered.

A `BlockingClient` sends on a blocking socket, so the data is in the kernel before the balancer's next loop
iteration.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
from scenario import LIMIT_S, LOOPS, Stage, run
from test_client_leaves import start_stage, only_connection, order_request, stop_stage, step, wait_until

from roadlb.lifecycle.lifecycle import Event
from roadlb.net import client_connection, frontend

UPLOAD_BYTES = 200_000  # more than is buffered before a body is streamed
HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
CLOSE_HEADER = "Connection: close"
PIECE = b"x" * (1 << 20)  # of a long input
TRAILING_BYTES = (
    client_connection.MAX_DISCARDED_BYTES // 2
)  # bytes after the faulty input, all of which are discarded


class BlockingClient:
    """A client that reads nothing until it is asked to."""

    def __init__(self, stage: Stage) -> None:
        self.socket = socket.create_connection(("127.0.0.1", stage.app.port))

    def send(self, text: str) -> None:
        self.socket.sendall(text.encode())

    def send_available(self, text: str) -> bytes:
        """Sends as much as the kernel takes without blocking and returns the rest."""
        self.socket.setblocking(False)
        remaining = memoryview(text.encode())
        with suppress(BlockingIOError):
            while remaining:
                remaining = remaining[self.socket.send(remaining) :]
        return bytes(remaining)

    async def send_more(self, byte_count: int) -> None:
        """Sends `byte_count` bytes as the balancer reads them; raises ConnectionError on a reset."""
        loop = asyncio.get_running_loop()
        whole_pieces, rest = divmod(byte_count, len(PIECE))
        async with asyncio.timeout(LIMIT_S):
            for _ in range(whole_pieces):
                await loop.sock_sendall(self.socket, PIECE)
            await loop.sock_sendall(self.socket, PIECE[:rest])

    async def read_to_end(self) -> str:
        """Reads to the end of the stream; raises ConnectionError on a reset."""
        self.socket.setblocking(False)
        received, loop = b"", asyncio.get_running_loop()
        async with asyncio.timeout(LIMIT_S):
            while read := await loop.sock_recv(self.socket, 65_536):
                received += read
        self.socket.close()
        return received.decode()

    def close(self) -> None:
        self.socket.close()


def run_with_client(loop: str, grid: str, main: Callable[[Stage, BlockingClient], Awaitable[None]]) -> None:
    async def main_with_stage() -> None:
        stage = await start_stage(grid)
        blocking_client = BlockingClient(stage)
        await wait_until(lambda: stage.app.frontend.connections)
        await main(stage, blocking_client)
        blocking_client.close()
        await stop_stage(stage)

    run(main_with_stage(), loop)


async def send_answered_request(stage: Stage, blocking_client: BlockingClient) -> None:
    """Sends a request that the balancer answers itself, so that the connection is idle after a request."""
    blocking_client.send(HEALTH_REQUEST)
    await wait_until(lambda: only_connection(stage).has_sent_request)


@pytest.mark.parametrize("loop", LOOPS)
def test_no_reset_destroys_the_last_answer_while_the_client_keeps_sending(loop: str) -> None:
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        blocking_client.send(order_request(1))
        await step(stage, "i1 expect POST")
        stage.app.tell(Event.OUT_OF_SERVICE)
        await step(stage, "i1 send 200 done")
        connection = only_connection(stage)
        await wait_until(lambda: connection.closing_since_us)
        blocking_client.send(order_request(2) + order_request(3))
        await wait_until(lambda: connection._discarded_bytes)
        received = await blocking_client.read_to_end()
        assert received.count("HTTP/1.1") == 1 and CLOSE_HEADER in received and received.endswith("done")
        await wait_until(lambda: not stage.app.frontend.connections)
        assert stage.app.counters["taken"] == 1

    run_with_client(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (order_request(1, UPLOAD_BYTES).replace("/order/", "/nothing/"), 404),
        (order_request(1, UPLOAD_BYTES).replace("acme", "nobody"), 400),
        (order_request(1, UPLOAD_BYTES).replace("POST", "PUT"), 405),
    ],
)
def test_no_reset_destroys_the_answer_to_a_long_body_that_is_answered_at_once(
    sent: str, status: int, loop: str
) -> None:
    # Guards against an exception of the compiled code, which ended the connection behind the answer.
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        connection = only_connection(stage)
        blocking_client.send(sent + "x" * (UPLOAD_BYTES - 1))
        await wait_until(lambda: connection.closing_since_us)
        assert not connection.is_uploading
        received = await blocking_client.read_to_end()
        assert received.startswith(f"HTTP/1.1 {status}") and CLOSE_HEADER in received
        await wait_until(lambda: not stage.app.frontend.connections)

    run_with_client(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (order_request(1, 1 << 26), 413),
        ("nonsense\r\n\r\n", 400),
        ("GET /grid-read/k HTTP/1.1\r\nHost: x\r\nX-A: " + "x" * 20_000, 431),
    ],
)
def test_no_reset_destroys_the_answer_to_rejected_input_that_continues(
    sent: str, status: int, loop: str
) -> None:
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        # More than the loop reads at once: some input is unread in the socket when the answer is written, and
        # an immediate close would send a reset.
        connection = only_connection(stage)
        blocking_client.send_available(sent + "x" * TRAILING_BYTES)
        await wait_until(lambda: connection.closing_since_us)
        await blocking_client.send_more(100_000)
        received = await blocking_client.read_to_end()
        assert received.startswith(f"HTTP/1.1 {status}") and CLOSE_HEADER in received
        assert stage.app.counters[f"rejected.{status}"] == 1

    run_with_client(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_client_that_sends_forever_after_a_rejection_is_closed_within_bounds(loop: str) -> None:
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        connection = only_connection(stage)
        blocking_client.send("nonsense\r\n\r\n")
        await wait_until(lambda: connection.closing_since_us)
        blocking_client.socket.setblocking(False)
        async with asyncio.timeout(LIMIT_S):
            while connection.transport is not None:
                try:
                    blocking_client.socket.send(b"x" * 65_536)
                except BlockingIOError:
                    pass
                except ConnectionError:
                    break
                await asyncio.sleep(0)
        await wait_until(lambda: not stage.app.frontend.connections)
        assert connection._discarded_bytes <= client_connection.MAX_DISCARDED_BYTES + (
            1 << 19
        )  # plus two reads of the event loop

    run_with_client(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_each_pipelined_request_is_answered_and_only_the_last_answer_announces_the_close(loop: str) -> None:
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        blocking_client.send(order_request(1) + order_request(2))
        await step(stage, "i1 expect POST")
        stage.app.tell(Event.OUT_OF_SERVICE)
        await step(stage, "i1 send 200 one")
        await step(stage, "i2 expect POST")
        await step(stage, "i2 send 200 two")
        first, second = (await blocking_client.read_to_end()).split("HTTP/1.1 200")[1:]
        assert (
            CLOSE_HEADER not in first
            and first.endswith("one")
            and CLOSE_HEADER in second
            and second.endswith("two")
        )

    run_with_client(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_that_has_arrived_and_is_still_unread_is_answered(loop: str) -> None:
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        blocking_client.send(order_request(1))
        await step(stage, "i1 expect POST")
        stage.app.tell(Event.OUT_OF_SERVICE)
        exchange = only_connection(stage).exchange
        assert exchange is not None
        blocking_client.send(order_request(2))
        stage.app.engine._give_up(exchange, "for the test")  # in this loop iteration, as any answer may come
        await step(stage, "i2 expect POST")
        await step(stage, "i2 send 200 two")
        first, second = (await blocking_client.read_to_end()).split("HTTP/1.1 ")[1:]
        assert CLOSE_HEADER not in first and CLOSE_HEADER in second and second.endswith("two")

    run_with_client(loop, "1", main)


def sweep_idle(stage: Stage) -> None:
    stage.app.frontend.sweep()


def drain_idle(stage: Stage) -> None:
    stage.app.frontend.close_idle(1.0)


def exceed_connection_limit(stage: Stage) -> None:
    frontend_under_test = stage.app.frontend
    frontend_under_test.set_max_connections(0)
    frontend_under_test.on_connected(client_connection.ClientConnection(frontend_under_test))


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("close_idle_connections", [sweep_idle, drain_idle, exceed_connection_limit])
def test_an_idle_connection_is_not_closed_if_a_request_has_arrived(
    monkeypatch: pytest.MonkeyPatch, close_idle_connections: Callable[[Stage], None], loop: str
) -> None:
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        await send_answered_request(stage, blocking_client)
        monkeypatch.setattr(frontend, "IDLE_TIMEOUT_S", -1.0)
        monkeypatch.setattr(frontend, "SHORT_IDLE_TIMEOUT_S", -1.0)
        monkeypatch.setattr(frontend, "HIGH_USE_RATIO", 2)
        blocking_client.send(order_request(1))
        close_idle_connections(stage)
        monkeypatch.undo()
        await step(stage, "i1 expect POST")
        await step(stage, "i1 send 200 done")
        await wait_until(lambda: not only_open(stage).exchange)
        blocking_client.socket.shutdown(socket.SHUT_WR)
        assert (await blocking_client.read_to_end()).endswith("done")

    run_with_client(loop, "1", main)


def only_open(stage: Stage) -> client_connection.ClientConnection:
    """Returns the only connection with a transport, dropping those that a test registered without one."""
    connections = stage.app.frontend.connections
    for connection in [c for c in connections if c.transport is None]:
        del connections[connection]
    return only_connection(stage)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_whose_remainder_has_arrived_is_not_closed_as_unfinished(loop: str) -> None:
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        text = order_request(1)
        blocking_client.send(text[:-2])
        await wait_until(lambda: only_connection(stage).request_started_us)
        blocking_client.send(text[-2:])
        stage.app.frontend.close_unfinished()
        await step(stage, "i1 expect POST")
        await step(stage, "i1 send 200 done")
        await wait_until(lambda: not only_connection(stage).exchange)
        blocking_client.socket.shutdown(socket.SHUT_WR)
        assert (await blocking_client.read_to_end()).endswith("done")

    run_with_client(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_sent_while_its_idle_connection_is_being_closed_never_runs(loop: str) -> None:
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        await send_answered_request(stage, blocking_client)
        connection = only_connection(stage)
        stage.app.frontend.close_idle(1.0)
        blocking_client.send(order_request(1))
        assert (await blocking_client.read_to_end()).count(
            "HTTP/1.1"
        ) == 1  # a clean end, so the client may send it again
        await wait_until(lambda: connection.transport is None)
        assert stage.app.counters["taken"] == 0

    run_with_client(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_lingering_connections_are_closed_first_at_the_connection_limit(
    monkeypatch: pytest.MonkeyPatch, loop: str
) -> None:
    monkeypatch.setattr(frontend, "LINGER_S", 100.0)

    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        connection = only_connection(stage)
        blocking_client.send("nonsense\r\n\r\n")
        await wait_until(lambda: connection.is_lingering)
        stage.app.frontend.set_max_connections(1)
        other = BlockingClient(stage)
        await wait_until(lambda: connection not in stage.app.frontend.connections)
        assert stage.app.counters["client.crowded"] == 0
        other.close()

    run_with_client(loop, "1", main)


@pytest.mark.parametrize("loop", LOOPS)
def test_connections_to_client_and_server_have_tcp_nodelay(loop: str) -> None:
    async def main(stage: Stage, blocking_client: BlockingClient) -> None:
        blocking_client.send(order_request(1))
        await step(stage, "i1 expect POST")
        (to_server,) = stage.app.server_connections.pool.open
        for transport in (only_connection(stage).transport, to_server.transport):
            assert transport is not None
            connection = transport.get_extra_info("socket")
            assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        await step(stage, "i1 send 200 done")

    run_with_client(loop, "1", main)
