"""Clients that do not read their answers: buffers stay bounded, no request starts, a timeout ends them."""

from __future__ import annotations

from typing import Any

from corpus import get
from harness import (
    StubExecutor,
    OneServerPolicy,
    RecordingCounters,
    StubLoop,
    StubTransport,
    new_engine,
    new_frontend,
    run,
    settle,
)

from roadlb.net import client_connection, frontend


async def connect_client(
    loop: StubLoop, counters: RecordingCounters
) -> tuple[StubTransport, StubExecutor, Any]:
    engine = new_engine(OneServerPolicy(), counters)
    engine.executor = answerer = StubExecutor(engine, 1)
    client = new_frontend(engine, counters)
    wire = StubTransport(loop, client())
    await settle(loop)
    return wire, answerer, client


def test_a_client_that_does_not_read_gets_no_further_request_started_and_its_input_is_bounded() -> None:
    async def main(loop: StubLoop, counters: RecordingCounters) -> None:
        wire, answerer, _ = await connect_client(loop, counters)
        wire.feed(get(id=1).encode())
        await settle(loop)
        wire.protocol.pause_writing()
        for id in range(2, 6):
            wire.feed(get(id=id).encode())
        await settle(loop)
        assert (
            len(answerer.started) == 1 and not wire.paused
        )  # reading goes on, or a close would not be noticed
        pipelined_count = 1 + client_connection.MAX_UNPARSED_BYTES // len(get(id=6).encode())
        for id in range(6, 6 + pipelined_count):
            wire.feed(get(id=id).encode())
        await settle(loop)
        assert len(answerer.started) == 1 and wire.paused and wire.state[3] < pipelined_count
        wire.protocol.resume_writing()
        await settle(loop)
        assert len(answerer.started) == 5 + pipelined_count and not wire.paused and not wire.end

    assert run(main)[1] == []


def test_a_client_that_never_reads_its_answer_is_disconnected() -> None:
    async def main(loop: StubLoop, counters: RecordingCounters) -> None:
        wire, _, client = await connect_client(loop, counters)
        wire.feed(get(id=1).encode())
        await settle(loop)
        wire.protocol.pause_writing()
        for seconds, end in ((frontend.REQUEST_TIMEOUT_S, ""), (0.1, "aborted")):
            loop.now_us += int(seconds * 1e6)
            client.sweep()
            assert wire.end == end
        await settle(loop)
        assert counters["client.overdue"] == 1 and not client.connections

    assert run(main)[1] == []


def test_input_after_an_open_request_is_buffered_up_to_a_bound() -> None:
    async def main(loop: StubLoop, counters: RecordingCounters) -> None:
        engine = new_engine(OneServerPolicy(), counters)
        engine.executor = answerer = StubExecutor(engine, 10_000)  # so no request is answered in this test
        wire = StubTransport(loop, new_frontend(engine, counters)())
        await settle(loop)
        wire.feed(get(id=1).encode())
        await settle(loop)
        for _ in range(100):
            wire.feed(b"x" * 4_096)
        await settle(loop)
        assert len(answerer.started) == 1 and wire.paused
        unread_count = wire.state[3]
        assert (
            isinstance(unread_count, int)
            and unread_count >= 100 - client_connection.MAX_UNPARSED_BYTES // 4_096 - 1
        )

    assert run(main)[1] == []
