"""One client's flood takes no turn from another client.

The flood lies in the kernel before the other client's request does; the event loop, which the test shares,
reads a bounded piece of it in each turn.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest
from scenario import LIMIT_S, LOOPS, run
from test_client_closing import ASKED, Plain
from test_client_leaves import READ, begun, client, over, step, until

from roadlb.net import client_connection, frontend

READ_MOST = 262_144  # bytes that either loop reads of one connection in one turn
TURNS = 3  # for the other's request to be read, to be answered, and for the test to see that
FLOOD = READ_MOST * (TURNS + 2)
ANSWER = b"HTTP/1.1 "


async def answers(plain: Plain, count: int, got: bytes = b"") -> int:
    """How many answers come behind what has come, up to so many in all."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(LIMIT_S):
        while got.count(ANSWER) < count:
            read = await loop.sock_recv(plain.socket, READ_MOST)
            assert read, "it ended before"
            got += read
    return got.count(ANSWER)


def has_answer(plain: Plain) -> bool:
    with suppress(BlockingIOError):
        return bool(plain.socket.recv(1, socket.MSG_PEEK))
    return False


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("asked", [ASKED, ASKED.replace("healthz", "nothing")])
def test_a_flood_of_requests_takes_no_turn_from_another_client(asked: str, loop: str) -> None:
    async def main() -> None:
        stage = await begun("1")
        flood, other = Plain(stage), Plain(stage)
        await until(lambda: len(stage.app.frontend.connections) == 2)
        count = FLOOD // len(asked)
        left = flood.fill(asked * count)
        assert len(left) < len(asked) * count - READ_MOST * TURNS, "the kernel holds enough of it"
        other.send(ASKED)
        other.socket.setblocking(False)
        while not has_answer(other):
            await asyncio.sleep(0)
        assert await answers(other, 1) == 1
        got = b""
        with suppress(BlockingIOError):
            while read := flood.socket.recv(READ_MOST):
                got += read
        assert 0 < got.count(ANSWER) < count
        sending = asyncio.ensure_future(asyncio.get_running_loop().sock_sendall(flood.socket, left))
        assert await answers(flood, count, got) == count
        await sending
        flood.close()
        other.close()
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_flood_that_is_not_http_takes_no_turn_from_another_client(
    monkeypatch: pytest.MonkeyPatch, loop: str
) -> None:
    monkeypatch.setattr(frontend, "LINGER_S", 100.0)

    async def main() -> None:
        stage = await begun("1")
        flood = Plain(stage)
        flood.fill("nonsense\r\n\r\n" + "x" * (client_connection.MAX_DISCARDED_BYTES * 2))
        sending = asyncio.ensure_future(flood.go_on(1 << 30))
        link = await client(stage, "a", READ)
        await step(stage, "i1 expect GET")
        await step(stage, "i1 send 200 done")
        await step(stage, "a expect 200 done")
        assert not sending.done(), "it goes on"
        assert stage.app.counters["rejected.400"] == 1
        sending.cancel()
        link.writer.close()
        flood.close()
        await over(stage)

    run(main(), loop)
