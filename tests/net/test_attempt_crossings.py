"""Events that cross an attempt on its way to a server, forced over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest
from attempt_rig import ORDER, Dials, Rig, Server, play, time_left_us, turns
from scenario import LIMITS, Stage
from scenario import play as scenario_play
from scenario import run as run_scenario

from roadlb.exchange import AttemptOutcome, Exchange, Response
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
        assert isinstance(rig.answers[0], Response)

    play(main)


def test_a_dial_that_comes_up_after_the_deadline_writes_nothing() -> None:
    async def main() -> None:
        rig = Rig(1)
        dials = rig.hold_dials()
        exchange = rig.open(ORDER, left_us=LEFT_US)
        await dials.made.wait()
        rig.moved_us = LEFT_US - 999  # less than the millisecond that can be told
        dials.up.set()
        assert await rig.ended(exchange, 0) is AttemptOutcome.NEVER_STARTED
        assert len(rig.answers) == 1
        await rig.instances.close()
        assert await (await rig.servers[0].accept()).rest() == b""

    play(main)


def test_a_repeat_whose_window_closes_while_it_is_dialled_is_not_written() -> None:
    async def main() -> None:
        rig = Rig(2)
        rig.decider.write_within_us = 100_000
        dials = rig.hold_dials()
        exchange = rig.open(ORDER)
        rig.decider.write_within_us = 0  # the next attempt's dial may take its time
        await dials.made.wait()
        rig.moved_us = 100_000
        dials.up.set()
        assert await rig.ended(exchange, 0) is AttemptOutcome.NEVER_STARTED
        await (await rig.servers[1].accept()).request()
        await rig.instances.close()
        assert await (await rig.servers[0].accept()).rest() == b""

    play(main)


@pytest.mark.parametrize("ending", [AttemptOutcome.TIMED_OUT, AttemptOutcome.GARBLED, AttemptOutcome.RESET])
def test_an_attempt_is_no_longer_open_when_the_next_one_is_decided(ending: AttemptOutcome) -> None:
    # Where no second copies may be sent, the next one must not be out beside it for the turn of the event
    # loop that `abort` takes to close a connection.
    async def main() -> None:
        rig = Rig(2)
        link = await rig.reused()
        rig.decider.timeout_us = 50_000 if ending is AttemptOutcome.TIMED_OUT else 0
        ended: list[bool] = []

        def outcome(event: Outcome) -> list[Action]:
            if event.attempt == 0:
                ended.append(link.ends())
                rig.decider.timeout_us = 0
                return rig.decider.next(event.request)
            return []

        rig.decider.scripted[Outcome] = outcome
        exchange = rig.open()
        await link.request()
        if ending is AttemptOutcome.GARBLED:
            link.send(b"no HTTP\r\n\r\n")
        elif ending is AttemptOutcome.RESET:  # its server has ended its own sending, and still reads
            link.socket.shutdown(socket.SHUT_WR)
        other = await rig.servers[1].accept()
        await other.request()
        assert ended == [True] and exchange.attempts[0].outcome is ending
        other.answer()
        await rig.answered.wait()

    play(main)


async def nothing_written(rig: Rig, server: Server, dials: Dials) -> None:
    """Its connection comes up now, and ends with nothing on it."""
    dials.up.set()
    assert await (await server.accept()).rest() == b""
    assert not rig.instances.pool.dialled()


async def never_written(rig: Rig, exchange: Exchange, number: int, server: Server, dials: Dials) -> None:
    """Its dial goes on, as it tells how the server stands; it comes up now, and nothing goes out on it."""
    assert exchange.attempts[number].outcome is None
    dials.up.set()
    assert await rig.ended(exchange, number) is AttemptOutcome.NEVER_STARTED
    await rig.instances.close()
    assert await (await server.accept()).rest() == b""


@pytest.mark.parametrize("method", [b"GET", ORDER])
def test_nothing_is_written_once_its_client_has_left_while_it_is_dialled(method: bytes) -> None:
    # Whatever the decisions do: here they cancel nothing, as where the settings forbid it.
    async def main() -> None:
        rig = Rig(2)
        dials = rig.hold_dials()
        exchange = rig.open(method)
        await dials.made.wait()
        rig.engine.client_gone(exchange)
        await never_written(rig, exchange, 0, rig.servers[0], dials)
        assert len(exchange.attempts) == 1 and not rig.answers

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
        assert len(exchange.attempts) == 2
        rig.engine.client_gone(exchange)
        await never_written(rig, exchange, 1, rig.servers[1], dials)

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
        assert await rig.ended(exchange, 0) is AttemptOutcome.SERVED
        await never_written(rig, exchange, 1, rig.servers[1], dials)
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
        assert exchange.attempts[0].outcome is AttemptOutcome.NEVER_STARTED
        assert exchange.attempts[1].server == b"s1"
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
        assert isinstance(rig.answers[0], Response)

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
        stage.app.server_connections.pool._loop = dials  # type: ignore[assignment]
        await stage.step("a send GET /grid-read/k")
        await dials.made.wait()
        await stage.step("a close" if end == "FIN" else "a reset")
        while not stage.app.counters["client_gone"]:
            await asyncio.sleep(0)
        assert not stage.app.server_connections.pool.dialled()
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
        stage.app.server_connections.pool._loop = dials  # type: ignore[assignment]
        await stage.step("a send POST /order/k")
        await dials.made.wait()
        await stage.step("d send draining")
        assert not stage.app.server_connections.pool.dialled()  # not only when its time is up
        await stage.step("a expect 503")  # refused: never sent, and there is no other server
        dials.up.set()
        await turns(20)
        assert stage.app.counters["sends"] == 0 and stage.waiting["i"].empty()
        await stage.app.stop(linger_s=0)
        for server in stage.servers:
            server.close()

    play(main)


def test_where_one_attempt_is_allowed_a_read_that_broke_is_not_sent_again() -> None:
    run_scenario(
        scenario_play("""
        grid 2 max_attempts=1
        a send GET /grid-read/k
        i1 expect GET
        i1 close
        a expect 503""")
    )


def test_where_nothing_may_be_called_off_what_is_written_goes_on_without_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(LIMITS, "cancelling", False)
    stage = run_scenario(
        scenario_play("""
        grid 1
        a send POST /order/k
        i1 expect POST
        a close
        b send GET /healthz
        b expect 200
        i1 send 200 done
        b send GET /grid-read/k
        i2 expect GET
        i2 send 200 two
        b expect 200 two""")
    )
    assert stage.app.counters["client_gone"] == 1 and stage.app.counters["execution.cancelled"] == 0


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_server_is_not_blamed_for_a_body_that_its_client_left_unfinished(
    cancelling: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It counted as a connection that could not be made, or after the class's aim as a time-out.
    monkeypatch.setitem(LIMITS, "cancelling", cancelling)
    stage = run_scenario(
        scenario_play("""
        grid 1
        a send POST /order/k Content-Length:200000
        a send raw BODY=100000
        i1 expect POST "Content-Length: 200000"
        i1 rest 100000
        a close
        i1 expect closed""")
    )
    endings = {n: c for n, c in stage.app.counters.all().items() if n.startswith("execution.")}
    assert endings == {"execution.unfinished": 1}
