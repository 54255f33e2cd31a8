"""The pool's dials and reuse where the transport misbehaves, on the harness's loop and wires."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from harness import (
    SERVER_ID,
    OneServerPolicy,
    RecordingCounters,
    StubLoop,
    StubTransport,
    new_engine,
    new_exchange,
    new_server_connections,
    run,
    settle,
)

from roadlb.exchange import AttemptOutcome, Attempt


async def send_one(loop: StubLoop, counters: RecordingCounters) -> tuple[Attempt, Any]:
    """Open an exchange; its attempt, and the instances."""
    engine = new_engine(OneServerPolicy(), counters)
    engine.executor = instances = new_server_connections(engine, counters)
    exchange = new_exchange()
    engine.open(exchange)
    await settle(loop)
    return exchange.attempts[0], instances


def test_a_dial_that_is_called_off_as_it_succeeds_ends_its_call_and_leaves_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # uvloop closes the handle then, says that it is not closing, and never calls connection_lost: the call
    # waited for its deadline, and the place in the pool was lost for good.
    async def called_off(self: StubLoop, factory: Any, *_: Any, **__: Any) -> Any:
        wire = StubTransport(self, factory())
        wire.abort = lambda: None  # type: ignore[method-assign]
        await asyncio.sleep(0)
        raise TimeoutError

    monkeypatch.setattr(StubLoop, "create_connection", called_off)

    async def main(loop: StubLoop, counters: RecordingCounters) -> None:
        attempt, instances = await send_one(loop, counters)
        assert attempt.outcome is AttemptOutcome.DIAL_TIMED_OUT
        assert not instances.pool.open

    assert run(main)[1] == []


def test_a_transport_that_refuses_the_write_has_sent_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    def refuse(self: StubTransport, data: Any) -> None:
        raise RuntimeError("the handler is closed")

    monkeypatch.setattr(StubTransport, "write", refuse)

    async def main(loop: StubLoop, counters: RecordingCounters) -> None:
        attempt, _ = await send_one(loop, counters)
        assert attempt.outcome is AttemptOutcome.BROKE_UNSENT

    assert run(main)[1] == []


def test_a_request_of_which_bytes_wait_for_the_kernel_never_ran_and_another_may_have() -> None:
    async def main(loop: StubLoop, counters: RecordingCounters) -> None:
        for waits in (True, False):
            attempt, _ = await send_one(loop, counters)
            wire = loop.transports[-1]
            if waits:
                wire.protocol.pause_writing()  # as with write buffer limits of 0
            wire.disconnect()
            await settle(loop)
            assert attempt.outcome is (AttemptOutcome.BROKE_UNSENT if waits else AttemptOutcome.RESET)

    assert run(main)[1] == []


def test_a_connection_rests_till_what_came_behind_its_answer_has_been_read() -> None:
    # Reused in the same turn, it would take the copy for the next request's answer.
    async def main(loop: StubLoop, counters: RecordingCounters) -> None:
        engine = new_engine(OneServerPolicy(), counters)
        engine.executor = new_server_connections(engine, counters)
        exchanges = [new_exchange(), new_exchange()]
        exchanges[0].on_answer = lambda x, answer: engine.open(exchanges[1])
        engine.open(exchanges[0])
        await settle(loop)
        (first,) = loop.transports
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
        first.feed(answer)
        first.feed(answer)
        await settle(loop)
        assert len(loop.transports) == 2 and first.end and exchanges[1].answer is None
        assert SERVER_ID == exchanges[1].attempts[0].server

    assert run(main)[1] == []


def test_what_is_called_off_unsent_is_what_is_dialled_and_no_request_that_is_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A class that may run once by now: its repeat is called off unless a node may have it already.
    made = StubLoop.create_connection

    async def held(self: StubLoop, factory: Any, *told: Any, **more: Any) -> Any:
        await asyncio.Event().wait()

    async def main(loop: StubLoop, counters: RecordingCounters) -> None:
        attempt, instances = await send_one(loop, counters)
        wire = loop.transports[-1]
        instances.cancel(attempt, unsent=True)
        assert attempt.outcome is None and not wire.is_closing()
        instances.cancel(attempt)
        assert attempt.outcome is AttemptOutcome.CANCELLED and wire.is_closing()
        monkeypatch.setattr(StubLoop, "create_connection", held)
        dialled, others = await send_one(loop, counters)
        assert dialled.outcome is None
        others.cancel(dialled, unsent=True)
        assert dialled.outcome is AttemptOutcome.NEVER_STARTED
        await settle(loop)
        assert not others.pool.open and len(loop.transports) == 1
        monkeypatch.setattr(StubLoop, "create_connection", made)

    assert run(main)[1] == []
