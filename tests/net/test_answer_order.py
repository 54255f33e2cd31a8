"""Pipelined requests: no byte of a later message is written before an earlier answer's last byte.

The first answer is streamed, and its client reads slowly; behind it stand further requests, and at the end
one that the balancer answers by its head, or before it is complete.
"""

from __future__ import annotations

import asyncio

import pytest
from scenario import LIMIT_S, Link, Stage, run
from test_client_leaves import connect_client, start_stage, step, stop_stage, wait_until

from roadlb.exchange import Refusal
from roadlb.net import frontend

BODY_BYTES = 1 << 20
READ_PIECE_BYTES = 65_536
DEPTHS = range(1, 5)  # requests in front of the one that is answered early
HEAD = "Host: x\r\nX-Account: acme\r\nX-Correlation-Id: {id}\r\n"
LAST_ID = 99


def read_request(id: int) -> str:
    return f"GET /grid-read/k{id} HTTP/1.1\r\n{HEAD.format(id=id)}\r\n"


def order_head(key: str, extra: str, length: int = 4) -> str:
    head = HEAD.format(id=LAST_ID)
    return f"POST /order/{key} HTTP/1.1\r\n{head}{extra}Content-Length: {length}\r\n\r\n"


def refuse_orders(stage: Stage) -> None:
    """Lets the policy refuse each request whose head has come and whose body has not."""
    stage.app.engine.check_admission = lambda *request: Refusal(1_000)  # type: ignore[method-assign]


REFUSAL = "a refusal by the head"
EARLY_ANSWERS = {  # the last of the pipelined requests, and the answer to it
    "100 Continue": (order_head("k", "Expect: 100-continue\r\n"), "HTTP/1.1 100"),
    REFUSAL: (order_head("k", ""), "HTTP/1.1 503"),
    "400": ("nonsense\r\n\r\n", "HTTP/1.1 400"),
    "413": (order_head("k", "", 1 << 26), "HTTP/1.1 413"),
    "431": ("GET /grid-read/k HTTP/1.1\r\nX-A: " + "x" * 20_000, "HTTP/1.1 431"),
    "409": (read_request(1), "HTTP/1.1 409"),
    "408": ("GET /grid-read/k HTTP/1.1\r\nHo", "HTTP/1.1 408"),
}


async def read_slowly(link: Link, size: int) -> bytes:
    body = b""
    while len(body) < size:
        async with asyncio.timeout(LIMIT_S):
            body += await link.reader.readexactly(min(READ_PIECE_BYTES, size - len(body)))
        await asyncio.sleep(0.002)
    return body


@pytest.mark.interpreted
@pytest.mark.parametrize("depth", DEPTHS)
@pytest.mark.parametrize("kind", EARLY_ANSWERS)
def test_an_early_answer_waits_for_the_answers_in_front_of_it(
    monkeypatch: pytest.MonkeyPatch, kind: str, depth: int
) -> None:
    # Guards against 100 Continue, a refusal or an error within, or in front of, another request's answer.
    last, expected = EARLY_ANSWERS[kind]
    monkeypatch.setattr(frontend, "REQUEST_TIMEOUT_S", 0.5)

    async def main() -> None:
        stage = await start_stage("1")
        reads = "".join(read_request(id) for id in range(1, depth + 1))
        if kind == REFUSAL:
            refuse_orders(stage)
        link = await connect_client(stage, "a", reads + last)
        await step(stage, "i1 expect GET")
        body = bytes(i % 251 for i in range(BODY_BYTES))
        server = stage.links["i1"].writer
        server.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + body)
        (connection,) = stage.app.frontend.connections
        await wait_until(lambda: connection.is_streaming_answer and connection.write_blocked_since_us)
        head = await asyncio.wait_for(link.reader.readuntil(b"\r\n\r\n"), LIMIT_S)
        assert head.startswith(b"HTTP/1.1 200")
        assert await read_slowly(link, BODY_BYTES) == body
        stage.links["i1"].answered.set()
        for number in range(2, depth + 1):
            await step(stage, f"i{number} expect GET")
            await step(stage, f"i{number} send 200 answer-{number}")
            await step(stage, f"a expect 200 answer-{number}")
        answer = await asyncio.wait_for(link.reader.readuntil(b"\r\n\r\n"), LIMIT_S)
        assert answer.decode().startswith(expected)
        await stop_stage(stage)

    run(main())


@pytest.mark.parametrize("depth", DEPTHS)
def test_a_streamed_order_is_not_opened_before_the_requests_in_front_of_it(depth: int) -> None:
    # Guards against two open requests on one connection while the process is short of memory: it streams
    # short bodies then, and one read may hold complete requests and enough of a later body.
    async def main() -> None:
        stage = await start_stage("1")
        stage.app.frontend.is_short_of_resources = True
        body_bytes = stage.app.frontend.body_buffer_bytes + 1_000
        reads = "".join(read_request(id) for id in range(1, depth + 1))
        link = await connect_client(
            stage, "a", reads + order_head("k", "", body_bytes + 1) + "x" * body_bytes
        )
        for number in range(1, depth + 1):
            await step(stage, f"i{number} expect GET /grid-read/k{number}")
            await step(stage, f"i{number} send 200 answer-{number}")
            await step(stage, f"a expect 200 answer-{number}")
        link.write("x")
        await step(stage, f"i{depth + 1} expect POST")
        await step(stage, f"i{depth + 1} send 200 ordered")
        await step(stage, "a expect 200 ordered")
        await stop_stage(stage)

    run(main())
