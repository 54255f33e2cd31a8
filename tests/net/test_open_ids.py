"""The id of a request is taken until the end of its answer, and for its retention from then on."""

from __future__ import annotations

import asyncio

import pytest
from scenario import LIMIT_S, Link, Stage, run
from test_client_leaves import connect_client, start_stage, step, stop_stage, wait_until

from roadlb.net.frontend import SWEEP_INTERVAL_S
from roadlb.net.request_ids import BUCKET_US, RETENTION_US

REQUESTS = {
    "order": "POST /order/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: {id}\r\n"
    "Content-Length: 0\r\n\r\n",
    "read": "GET /grid-read/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: {id}\r\n\r\n",
}
METHODS = {"order": "POST", "read": "GET"}
PART = "x" * 100_000  # more than is held of an answer before it is passed on
# What a server writes first of a long answer, and what is left then.
ANSWERS = {
    "length": (f"HTTP/1.1 200 OK\r\nContent-Length: {2 * len(PART)}\r\n\r\n{PART}", PART),
    "chunked": (
        f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{len(PART):x}\r\n{PART}\r\n",
        f"{len(PART):x}\r\n{PART}\r\n0\r\n\r\n",
    ),
    "until close": (f"HTTP/1.1 200 OK\r\n\r\n{PART}", PART),
}
ENDS = ["whole", "server breaks", "client leaves"]


class TimedStage:
    """A balancer whose client side's clock is moved on by the test."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self._moved_us = stage, 0
        self._frontend, self._clock = stage.app.frontend, stage.app.frontend.clock
        self._frontend.clock = lambda: self._clock() + self._moved_us

    def pass_time(self, us: int) -> None:
        """Move the clock on, and end what is overdue by then."""
        self._moved_us += us
        self._frontend.sweep()

    def is_streaming(self) -> bool:
        return any(connection.is_streaming_answer for connection in self._frontend.connections)

    async def status(self, name: str, request: str) -> str:
        """The status that a client of this name gets to the request, of which no server hears."""
        link = await connect_client(self.stage, name, request)
        head = await asyncio.wait_for(link.reader.readuntil(b"\r\n\r\n"), LIMIT_S)
        link.writer.close()
        return head.split()[1].decode()


def end_answer(end: str, client: Link, server: Link, rest: str) -> None:
    if end == "client leaves":
        client.writer.transport.abort()
    elif end == "server breaks":
        server.writer.transport.abort()
    else:
        server.write(rest)
        server.writer.close()


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", ANSWERS)
@pytest.mark.parametrize("kind", REQUESTS)
def test_an_id_is_free_while_the_long_answer_to_its_request_is_under_way(
    kind: str, framing: str, end: str
) -> None:
    # Guards against a second order with an id whose first one has been answered only in part.
    request = REQUESTS[kind].format(id="same")
    first, rest = ANSWERS[framing]

    async def main() -> None:
        stage = await start_stage("1")
        timed = TimedStage(stage)
        client = await connect_client(stage, "a", request)
        await step(stage, f"i1 expect {METHODS[kind]}")
        stage.links["i1"].write(first)
        await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), LIMIT_S)
        await wait_until(timed.is_streaming)
        timed.pass_time(10 * RETENTION_US)
        assert await timed.status("b", request) == "409"
        end_answer(end, client, stage.links["i1"], rest)
        draining = asyncio.create_task(client.reader.read())  # the rest, which may end in a reset
        await wait_until(lambda: not timed.is_streaming())
        timed.pass_time(RETENTION_US - int(SWEEP_INTERVAL_S * 1e6))
        assert await timed.status("c", request) == "409"
        timed.pass_time(int(SWEEP_INTERVAL_S * 1e6) + 2 * BUCKET_US)
        await connect_client(stage, "d", request)
        await step(stage, f"i2 expect {METHODS[kind]}")
        draining.cancel()
        await asyncio.gather(draining, return_exceptions=True)
        await stop_stage(stage)

    run(main())
