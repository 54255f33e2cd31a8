"""Answers that stop in the middle: their client is told in its time, and those that go on are not cut."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from attempt_rig import Rig, play
from scenario import LIMIT_S, LOOPS, Link, Stage, run
from test_client_leaves import start_stage, step, stop_stage

from roadlb.net.http import LAST_CHUNK
from roadlb.net.server_connection import HOLD_S

LEFT_S, LATE_S, SLACK_S = (
    0.5,
    0.5,
    0.05,
)  # the client's time, half a second after it, and the protocol's slack
LONG_BYTES = 100_000  # more than the first bytes of which are due in time
PAUSE_S = 0.8  # that a server makes within a long answer
REQUESTS = {"order": "POST /order/k", "read": "GET /grid-read/k"}
FIRST_BYTES = {"after the head": 0, "after the first bytes": 8_192}
NO_LENGTH = "HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def run_read(loop: str, answer: Callable[[Stage, Link], Awaitable[None]]) -> None:
    """Runs a read whose client has LEFT_S; `answer` plays its server."""

    async def main() -> None:
        stage = await start_stage("1")
        await step(stage, f"a send GET /grid-read/k X-Time-Left:{LEFT_S}")
        await step(stage, "i1 expect GET")
        await answer(stage, stage.links["i1"])
        await stop_stage(stage)

    run(main(), loop)


async def read_to_end(link: Link) -> tuple[bytes, float]:
    """Returns what came until the connection ended, or was reset, and how long that took."""
    loop = asyncio.get_running_loop()
    began, received = loop.time(), b""
    async with asyncio.timeout(LIMIT_S):
        try:
            while piece := await link.reader.read(65_536):
                received += piece
        except ConnectionError:
            pass  # the end of an answer without a length is told by a reset, if it is not whole
    return received, loop.time() - began


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("pieces", [1, 2])
@pytest.mark.parametrize("start", [NO_LENGTH + "half", CHUNKED + "4\r\nhalf\r\n"], ids=["close", "chunked"])
def test_a_short_answer_that_stops_ends_half_a_second_after_its_time(
    start: str, pieces: int, loop: str
) -> None:
    # Guards against a client that waits for the pause that long answers may make.
    async def answer(stage: Stage, server: Link) -> None:
        server.write(start)
        if pieces == 2:
            await asyncio.sleep(2 * HOLD_S)  # of an answer of unknown length what has come is passed on then
            server.write(start.partition("\r\n\r\n")[2])
        received, seconds = await read_to_end(stage.links["a"])
        assert b"half" in received and not received.endswith(b"0\r\n\r\n")
        assert seconds <= LEFT_S + LATE_S + SLACK_S
        server.answered.set()
        await step(stage, "i1 expect closed")

    run_read(loop, answer)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_short_answer_that_goes_on_coming_is_not_cut(loop: str) -> None:
    async def answer(stage: Stage, server: Link) -> None:
        server.write(CHUNKED)
        for _ in range(10):
            server.write("4\r\nmore\r\n")
            await asyncio.sleep(0.2)
        server.write("0\r\n\r\n")
        head = await asyncio.wait_for(stage.links["a"].reader.readuntil(b"0\r\n\r\n"), LIMIT_S)
        assert head.startswith(b"HTTP/1.1 200") and head.count(b"more") == 10

    run_read(loop, answer)


@pytest.mark.parametrize("loop", LOOPS)
def test_an_answer_that_its_server_writes_slowly_is_cut_off(loop: str) -> None:
    # Its length is not known; it will be long, but most of it comes after the client's time.
    async def answer(stage: Stage, server: Link) -> None:
        server.write(CHUNKED)
        for gap_s in (0.2, 0.45, 0.7, 0.7, 0.9):
            server.write("4\r\nmore\r\n")
            await asyncio.sleep(gap_s)
        server.write("0\r\n\r\n")
        head = await asyncio.wait_for(stage.links["a"].reader.readuntil(b"0\r\n\r\n"), LIMIT_S)
        assert head.startswith(b"HTTP/1.1 200") and head.count(b"more") == 5

    run_read(loop, answer)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_long_answer_that_pauses_past_its_time_is_not_cut(loop: str) -> None:
    async def answer(stage: Stage, server: Link) -> None:
        server.write(f"HTTP/1.1 200 OK\r\nContent-Length: {LONG_BYTES}\r\n\r\n" + "x" * (LONG_BYTES - 1))
        await asyncio.sleep(LEFT_S + LATE_S + 0.5)
        server.write("x")
        reader = stage.links["a"].reader
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LIMIT_S)
        assert await asyncio.wait_for(reader.readexactly(LONG_BYTES), LIMIT_S) == b"x" * LONG_BYTES

    run_read(loop, answer)


def in_chunks(data: str) -> str:
    return f"{len(data):x}\r\n{data}\r\n" if data else ""


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("left_s", ["2", "0.4"], ids=["pause within its time", "pause past its time"])
@pytest.mark.parametrize("first_bytes", FIRST_BYTES.values(), ids=FIRST_BYTES)
@pytest.mark.parametrize("is_chunked", [True, False], ids=["chunked", "until close"])
@pytest.mark.parametrize("request_line", REQUESTS.values(), ids=REQUESTS)
def test_a_long_answer_of_unknown_length_that_pauses_early_is_cut_off(
    request_line: str, is_chunked: bool, first_bytes: int, left_s: str, loop: str
) -> None:
    # Guards against the bound on the pauses of short answers for one that has not come far enough to tell.
    encode, last = (in_chunks, LAST_CHUNK.decode()) if is_chunked else (str, "")

    async def main() -> None:
        stage = await start_stage("1")
        await step(stage, f"a send {request_line} X-Time-Left:{left_s}")
        await step(stage, f"i1 expect {request_line}")
        server, reader = stage.links["i1"], stage.links["a"].reader
        server.write((CHUNKED if is_chunked else NO_LENGTH) + encode("x" * first_bytes))
        await asyncio.sleep(PAUSE_S)
        server.write(encode("x" * LONG_BYTES) + last)
        server.writer.close()
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LIMIT_S)
        assert head.startswith(b"HTTP/1.1 200")
        received = b""
        async with asyncio.timeout(LIMIT_S):
            while not received.endswith(LAST_CHUNK):
                received += await reader.read(65_536)
        assert received.count(b"x") == first_bytes + LONG_BYTES
        await stop_stage(stage)

    run(main(), loop)


def test_a_probe_whose_answer_stops_finds_its_server_sound() -> None:
    # Guards against probes that take what is passed on of a client's answer for a whole one.
    async def main() -> None:
        rig = Rig(1)
        rig.instances.probe(rig.ids[0])
        link = await rig.servers[0].accept()
        await link.request()
        link.send(CHUNKED.encode() + b"4\r\nhalf\r\n")
        while not (rig.counters["probe.timed_out"] or rig.counters["probe.served"]):
            await asyncio.sleep(0.01)
        assert rig.counters["probe.timed_out"] == 1

    play(main)
