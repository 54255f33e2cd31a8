"""Clients that do not take their answers: bounded buffers, no further request begun, an end after a while."""

from __future__ import annotations

from typing import Any

from corpus import get
from harness import Answerer, Module, Recorded, StubLoop, Wire, new_engine, new_service_client, run, settle

from roadlb.net import client_connection, frontend


async def connected(loop: StubLoop, counters: Recorded) -> tuple[Wire, Answerer, Any]:
    engine = new_engine(Module(), counters)
    engine.executor = answerer = Answerer(engine, 1)
    client = new_service_client(engine, counters)
    wire = Wire(loop, client())
    await settle(loop)
    return wire, answerer, client


def test_one_that_takes_no_answer_has_no_further_request_begun_and_is_read_up_to_a_bound() -> None:
    async def main(loop: StubLoop, counters: Recorded) -> None:
        wire, answerer, _ = await connected(loop, counters)
        wire.feed(get(id=1).encode())
        await settle(loop)
        wire.protocol.pause_writing()
        for id in range(2, 6):
            wire.feed(get(id=id).encode())
        await settle(loop)
        assert len(answerer.started) == 1 and not wire.paused  # else its close would not be noticed
        behind = 1 + client_connection.MAX_UNPARSED_BYTES // len(get(id=6).encode())
        for id in range(6, 6 + behind):
            wire.feed(get(id=id).encode())
        await settle(loop)
        assert len(answerer.started) == 1 and wire.paused and wire.state[3] < behind
        wire.protocol.resume_writing()
        await settle(loop)
        assert len(answerer.started) == 5 + behind and not wire.paused and not wire.end

    assert run(main)[1] == []


def test_one_that_never_takes_its_answer_is_ended() -> None:
    async def main(loop: StubLoop, counters: Recorded) -> None:
        wire, _, client = await connected(loop, counters)
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


def test_what_is_sent_behind_an_open_request_is_kept_within_a_bound() -> None:
    async def main(loop: StubLoop, counters: Recorded) -> None:
        engine = new_engine(Module(), counters)
        engine.executor = answerer = Answerer(engine, 10_000)  # never in this test
        wire = Wire(loop, new_service_client(engine, counters)())
        await settle(loop)
        wire.feed(get(id=1).encode())
        await settle(loop)
        for _ in range(100):
            wire.feed(b"x" * 4_096)
        await settle(loop)
        assert len(answerer.started) == 1 and wire.paused
        left = wire.state[3]
        assert isinstance(left, int) and left >= 100 - client_connection.MAX_UNPARSED_BYTES // 4_096 - 1

    assert run(main)[1] == []
