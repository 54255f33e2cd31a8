"""Events that cross an attempt on its way to a server, forced over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest
from attempt_rig import ORDER, Dials, Rig, Server, play, time_left_us, turns
from scenario import LIMITS, Stage

from roadlb.exchange import Ending, Served
from roadlb.policy.interface import Action, Arrival, Outcome, Send

LEFT_US = 2_000_000
LATE_US = 300_400


def test_time_left_is_told_as_of_the_write_after_a_late_dial() -> None:
    async def main() -> None:
        rig = Rig(1)
        dials = rig.hold_dials()
        rig.open(left_us=LEFT_US)
        await dials.made.wait()
        rig.moved_us = LATE_US
        dials.up.set()
        link = await rig.servers[0].accept()
        told_us = time_left_us(await link.request())
        assert LEFT_US - LATE_US - 1_000_000 < told_us <= LEFT_US - LATE_US
        link.answer()
        await rig.answered.wait()
        assert isinstance(rig.answers[0], Served)

    play(main)


def test_a_dial_that_comes_up_after_the_deadline_writes_nothing() -> None:
    async def main() -> None:
        rig = Rig(1)
        dials = rig.hold_dials()
        exchange = rig.open(ORDER, left_us=LEFT_US)
        await dials.made.wait()
        rig.moved_us = LEFT_US - 999  # less than the millisecond that can be told
        dials.up.set()
        assert await rig.ended(exchange, 0) is Ending.NEVER_STARTED
        assert len(rig.answers) == 1
        await rig.instances.close()
        assert await (await rig.servers[0].accept()).rest() == b""

    play(main)


def test_a_repeat_whose_window_closes_while_it_is_dialled_is_not_written() -> None:
    async def main() -> None:
        rig = Rig(2)
        rig.decider.begin_within_us = 100_000
        dials = rig.hold_dials()
        exchange = rig.open(ORDER)
        rig.decider.begin_within_us = 0  # the next attempt's dial may take its time
        await dials.made.wait()
        rig.moved_us = 100_001
        dials.up.set()
        assert await rig.ended(exchange, 0) is Ending.NEVER_STARTED
        await (await rig.servers[1].accept()).request()
        await rig.instances.close()
        assert await (await rig.servers[0].accept()).rest() == b""

    play(main)


@pytest.mark.parametrize("ending", [Ending.TIMED_OUT, Ending.GARBLED, Ending.RESET])
def test_an_attempt_is_no_longer_open_when_the_next_one_is_decided(ending: Ending) -> None:
    # Where no second copies may be sent, the next one must not be out beside it for the turn of the event
    # loop that `abort` takes to close a connection.
    async def main() -> None:
        rig = Rig(2)
        rig.decider.timeout_us = 50_000 if ending is Ending.TIMED_OUT else 0
        exchange = rig.open()
        link = await rig.servers[0].accept()
        await link.request()
        ended: list[bool] = []

        def outcome(event: Outcome) -> list[Action]:
            if event.attempt == 0:
                ended.append(link.ends())
                rig.decider.timeout_us = 0
                return rig.decider.next(event.request)
            return []

        rig.decider.scripted[Outcome] = outcome
        if ending is Ending.GARBLED:
            link.send(b"no HTTP\r\n\r\n")
        elif ending is Ending.RESET:  # its server has ended its own sending, and still reads
            link.socket.shutdown(socket.SHUT_WR)
        other = await rig.servers[1].accept()
        await other.request()
        assert ended == [True] and exchange.executions[0].ending is ending
        other.answer()
        await rig.answered.wait()

    play(main)


async def nothing_written(rig: Rig, server: Server, dials: Dials) -> None:
    """Its connection comes up now, and ends with nothing on it."""
    dials.up.set()
    assert await (await server.accept()).rest() == b""
    assert not rig.instances.pool.dialled()


@pytest.mark.parametrize("method", [b"GET", ORDER])
def test_nothing_is_written_once_its_client_has_left_while_it_is_dialled(method: bytes) -> None:
    # Whatever the decisions do: here they cancel nothing, as where the settings forbid it.
    async def main() -> None:
        rig = Rig(2)
        dials = rig.hold_dials()
        exchange = rig.open(method)
        await dials.made.wait()
        rig.engine.client_gone(exchange)
        assert exchange.executions[0].ending is Ending.NEVER_STARTED
        await nothing_written(rig, rig.servers[0], dials)
        assert len(exchange.executions) == 1 and not rig.answers

    play(main)


def test_nothing_is_written_once_its_client_has_left_between_retry_decision_and_write() -> None:
    async def main() -> None:
        rig = Rig(2)
        exchange = rig.open(ORDER, b"x")
        first = await rig.servers[0].accept()
        await first.request()
        dials = rig.hold_dials()
        first.send(b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
        await dials.made.wait()
        assert len(exchange.executions) == 2
        rig.engine.client_gone(exchange)
        assert exchange.executions[1].ending is Ending.NEVER_STARTED
        await nothing_written(rig, rig.servers[1], dials)

    play(main)


def test_a_second_copy_is_not_written_once_the_first_has_been_answered() -> None:
    async def main() -> None:
        rig = Rig(2)
        link = await rig.reused()
        dials = rig.hold_dials()
        rig.decider.scripted[Arrival] = lambda e: [Send(e.request, server, 0) for server in rig.ids]
        exchange = rig.open()
        await dials.made.wait()
        await link.request()
        link.answer()
        assert await rig.ended(exchange, 0) is Ending.SERVED
        assert exchange.executions[1].ending is Ending.NEVER_STARTED
        await nothing_written(rig, rig.servers[1], dials)
        assert len(rig.answers) == 1

    play(main)


def moved(rig: Rig) -> None:
    """The first server's id is at another address now."""
    rig.servers[0] = Server()
    rig.list(rig.ids)


CHANGES: dict[str, Callable[[Rig], None]] = {
    "drains": lambda rig: rig.list([b"s1"], draining=(b"s0",)),
    "gone": lambda rig: rig.list([b"s1"]),
    "moved": moved,
}


@pytest.mark.parametrize("change", CHANGES)
def test_a_dial_to_a_server_that_takes_nothing_new_ends_and_the_next_one_gets_it(change: str) -> None:
    async def main() -> None:
        rig = Rig(2)
        at_first = rig.servers[0]
        dials = rig.hold_dials()
        exchange = rig.open(ORDER, b"x")
        await dials.made.wait()
        CHANGES[change](rig)
        assert exchange.executions[0].ending is Ending.NEVER_STARTED
        assert exchange.executions[1].server == b"s1"
        dials.up.set()
        other = await rig.servers[1].accept()
        await other.request()
        other.answer()
        await rig.answered.wait()
        assert await (await at_first.accept()).rest() == b""
        assert not rig.decider.outcomes[0].closed and len(rig.decider.outcomes) == 2

    play(main)


def test_an_attempt_that_has_been_written_goes_on_where_its_server_drains() -> None:
    async def main() -> None:
        rig = Rig(1)
        rig.open(ORDER, b"x")
        link = await rig.servers[0].accept()
        await link.request()
        rig.list([], draining=(b"s0",))
        link.answer()
        await rig.answered.wait()
        assert isinstance(rig.answers[0], Served)

    play(main)


@pytest.mark.parametrize("end", ["FIN", "RST"])
def test_a_client_that_closes_while_its_request_is_dialled_has_nothing_begun(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(LIMITS, "cancelling", False)  # the decisions may call nothing off

    async def main() -> None:
        stage = Stage()
        await stage.grid("1")
        dials = Dials()
        stage.app.instances.pool._loop = dials  # type: ignore[assignment]
        await stage.step("a send GET /grid-read/k")
        await dials.made.wait()
        await stage.step("a close" if end == "FIN" else "a reset")
        while not stage.app.counters["client_gone"]:
            await asyncio.sleep(0)
        assert not stage.app.instances.pool.dialled()
        dials.up.set()
        await turns(20)
        assert stage.app.counters["sends"] == 0 and stage.waiting["i"].empty()
        await stage.app.stop(linger_s=0)
        for server in stage.servers:
            server.close()

    play(main)


def test_a_list_that_tells_a_drain_ends_a_dial_to_that_server_at_once() -> None:
    async def main() -> None:
        stage = Stage()
        await stage.grid("1")
        await stage.step("d expect GET")
        dials = Dials()
        stage.app.instances.pool._loop = dials  # type: ignore[assignment]
        await stage.step("a send POST /order/k")
        await dials.made.wait()
        await stage.step("d send draining")
        assert not stage.app.instances.pool.dialled()  # not only when its time is up
        await stage.step("a expect 503")  # refused: never sent, and there is no other server
        dials.up.set()
        await turns(20)
        assert stage.app.counters["sends"] == 0 and stage.waiting["i"].empty()
        await stage.app.stop(linger_s=0)
        for server in stage.servers:
            server.close()

    play(main)
