"""Connections that break before, at and after a request's last byte: never run is what is proved."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from attempt_rig import ORDER, Link, Rig, play, turns
from harness import CONFIG

from roadlb.config import IDLE_PART
from roadlb.exchange import AttemptOutcome, Exchange, Failure, Response
from roadlb.net.server_connection import ServerConnection
from roadlb.net.pool import SETTLE_US
from roadlb.policy.interface import Outcome

RECEIVE_BYTES = 8_192  # of the server's kernel, and
SEND_BYTES = 16_384  # of the program's: little of a long request goes out at once
BODY_BYTES = 120_000
LEFT_US = 100_000
REST_BYTES = 6_000  # goes out at once when the server has read what was there


def out(rig: Rig) -> asyncio.Transport:
    """The transport of the one connection to a server."""
    (connection,) = rig.instances.pool.open
    assert connection.transport
    return connection.transport


async def nearly_written(rig: Rig, link: Link) -> tuple[Exchange, bytes]:
    """An order of which the last few bytes wait for the kernel, and what the server has read of it."""
    sock = out(rig).get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
    order = rig.open(ORDER, b"x" * BODY_BYTES)
    read = b""
    waiting = out(rig).get_write_buffer_size()
    assert waiting > REST_BYTES
    while waiting > REST_BYTES:
        try:
            read += link.socket.recv(1_024)
        except BlockingIOError:
            await asyncio.sleep(0.001)  # the kernel has news of the window for itself
        await turns(2)
        waiting = out(rig).get_write_buffer_size()
    assert waiting
    return order, read


def drain(link: Link) -> bytes:
    """All that is there now, with no turn of the program's loop between."""
    read = b""
    try:
        while piece := link.socket.recv(65_536):
            read += piece
    except BlockingIOError:
        pass
    return read


def test_an_order_whose_last_bytes_go_out_as_its_server_ends_is_not_sent_again() -> None:
    # In one turn the loop reads the end and writes what waited: the server, which reads on, has it whole.
    async def main() -> None:
        rig = Rig(2, RECEIVE_BYTES)
        link = await rig.reused()
        order, read = await nearly_written(rig, link)
        link.socket.shutdown(socket.SHUT_WR)
        read += drain(link)
        ending = await rig.ended(order, 0)
        read += await link.rest()
        # Called never run, it is sent on to the next server: then the first must not have it whole.
        assert ending is AttemptOutcome.BROKE_UNSENT and len(order.attempts) == 2
        assert not read.endswith(b"x" * BODY_BYTES)

    play(main)


def test_an_order_reset_before_its_last_byte_never_ran() -> None:
    async def main() -> None:
        rig = Rig(2, RECEIVE_BYTES)
        link = await rig.reused()
        order, _ = await nearly_written(rig, link)
        link.reset()
        assert await rig.ended(order, 0) is AttemptOutcome.BROKE_UNSENT
        other = await rig.servers[1].accept()
        assert (await other.request()).endswith(b"x" * BODY_BYTES)
        other.answer()
        await rig.answered.wait()
        assert isinstance(rig.answers[0], Response)

    play(main)


def test_an_order_reset_right_after_its_last_byte_is_sent_once() -> None:
    async def main() -> None:
        rig = Rig(2)
        order = rig.open(ORDER, b"x" * 9)
        link = await rig.servers[0].accept()
        await link.request()
        link.reset()
        assert await rig.ended(order, 0) is AttemptOutcome.RESET
        await rig.answered.wait()
        assert isinstance(rig.answers[0], Failure) and len(order.attempts) == 1

    play(main)


def test_an_order_read_whole_and_reset_in_the_turn_that_wrote_its_last_bytes_is_sent_once() -> None:
    # The kernel took them while the loop still held the order for unwritten: what the loop reads first is
    # the reset, and the last bytes' being written must count before it.
    async def main() -> None:
        rig = Rig(2, RECEIVE_BYTES)
        link = await rig.reused()
        order, read = await nearly_written(rig, link)
        while out(rig).get_write_buffer_size():
            read += drain(link)
            await asyncio.sleep(0)
        assert order.attempts[0].outcome is None
        read += drain(link)
        assert read.endswith(b"x" * BODY_BYTES)
        link.reset()
        assert await rig.ended(order, 0) is AttemptOutcome.RESET
        await rig.answered.wait()
        assert isinstance(rig.answers[0], Failure) and len(order.attempts) == 1

    play(main)


def test_an_order_is_not_written_to_a_connection_that_has_ended_unread() -> None:
    # It would end as a reset, after which an order may have run and is lost.
    async def main(reset: bool) -> None:
        rig = Rig(1)
        link = await rig.reused()
        link.reset() if reset else link.socket.close()  # which the loop has not read yet
        order = rig.open(ORDER, b"x" * 9)
        other = await rig.servers[0].accept()
        assert (await other.request()).endswith(b"x" * 9)
        other.answer()
        await rig.answered.wait()
        assert isinstance(rig.answers[0], Response) and len(order.attempts) == 1

    play(lambda: main(True))
    play(lambda: main(False))


def test_an_order_turned_away_before_it_is_whole_never_becomes_whole_there() -> None:
    async def main() -> None:
        rig = Rig(2, RECEIVE_BYTES)
        link = await rig.reused()
        order, read = await nearly_written(rig, link)
        link.send(b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
        read += drain(link)
        assert await rig.ended(order, 0) is AttemptOutcome.TURNED_AWAY
        read += await link.rest()
        assert len(order.attempts) == 2 and not read.endswith(b"x" * BODY_BYTES)
        assert (await (await rig.servers[1].accept()).request()).endswith(b"x" * BODY_BYTES)

    play(main)


@pytest.mark.interpreted
def test_an_order_whose_write_fails_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    # Reset between the look at the connection and the write: the kernel takes no byte.
    monkeypatch.setattr(ServerConnection, "quiet", True)

    async def main() -> None:
        rig = Rig(2)
        link = await rig.reused()
        link.reset()
        order = rig.open(ORDER, b"x" * 9)
        assert order.attempts[0].outcome is AttemptOutcome.BROKE_UNSENT
        other = await rig.servers[1].accept()
        assert (await other.request()).endswith(b"x" * 9)
        other.answer()
        await rig.answered.wait()
        assert isinstance(rig.answers[0], Response)

    play(main)


def test_a_second_answer_that_the_loop_has_not_read_answers_no_other_request() -> None:
    async def main() -> None:
        rig = Rig(1)
        link = await rig.reused()
        link.answer(b"second")
        rig.open()
        other = await rig.servers[0].accept()
        await other.request()
        other.answer(b"other")
        await rig.answered.wait()
        (answer,) = rig.answers
        assert isinstance(answer, Response) and answer.body == b"other"
        assert await link.rest() == b""

    play(main)


def test_an_order_whose_new_connection_is_reset_as_it_is_written_never_ran() -> None:
    async def main() -> None:
        rig = Rig(2)
        dials = rig.hold_dials()
        order = rig.open(ORDER, b"x" * 9)
        link = await rig.servers[0].accept()
        await dials.made.wait()
        dials.up.set()
        link.reset()
        other = await rig.servers[1].accept()
        assert (await other.request()).endswith(b"x" * 9)
        assert order.attempts[0].outcome in (AttemptOutcome.BROKE_UNSENT, AttemptOutcome.DIAL_FAILED)
        other.answer()
        await rig.answered.wait()
        assert isinstance(rig.answers[0], Response)

    play(main)


def test_a_connection_that_its_server_may_close_by_now_is_not_written_to() -> None:
    # The sweep that closes idle ones comes late, where the loop was held up or the time is short.
    async def main() -> None:
        rig = Rig(1)
        link = await rig.reused()
        rig.moved_us = int(CONFIG.conn_idle_us * IDLE_PART) + 1
        order = rig.open(ORDER)
        other = await rig.servers[0].accept()
        await other.request()
        other.answer()
        await rig.answered.wait()
        assert len(order.attempts) == 1 and await link.rest() == b""

    play(main)


def test_an_attempt_that_is_not_written_makes_its_connection_no_younger() -> None:
    async def main() -> None:
        rig = Rig(1)
        link = await rig.reused()
        keep_us = int(CONFIG.conn_idle_us * IDLE_PART)
        rig.moved_us = keep_us - 1_000_000
        late = rig.open(left_us=500)  # less than can be told
        assert late.attempts[0].outcome is AttemptOutcome.NEVER_STARTED
        while not rig.instances.pool._all_idle:
            await asyncio.sleep(0)
        rig.moved_us = keep_us + 1_000_000
        rig.open(ORDER)
        other = await rig.servers[0].accept()
        await other.request()
        assert await link.rest() == b""
        other.answer()

    play(main)


def test_an_order_is_not_written_to_a_connection_from_before_its_server_was_started() -> None:
    # A machine that vanished says nothing; its connections are reset by what is written once it is back.
    async def main() -> None:
        rig = Rig(1)
        rig.list(rig.ids, born_us=1)
        link = await rig.reused()
        rig.list(rig.ids, born_us=1)
        assert rig.instances.pool._all_idle
        rig.list(rig.ids, born_us=2)
        order = rig.open(ORDER, b"x")
        other = await rig.servers[0].accept()
        await other.request()
        other.answer()
        await rig.answered.wait()
        assert len(order.attempts) == 1 and await link.rest() == b""

    play(main)


@pytest.mark.parametrize("late_us", [-20_000, 20_000])
def test_an_answer_that_lies_unread_as_its_time_ends_makes_one_final_answer(late_us: int) -> None:
    async def main() -> None:
        rig = Rig(1)
        order = rig.open(ORDER, left_us=LEFT_US)
        link = await rig.servers[0].accept()
        await link.request()
        link.answer()
        time.sleep((LEFT_US + late_us) / 1e6)  # the event loop makes no turn
        await rig.answered.wait()
        assert order.attempts[0].outcome is not None
        assert [type(e) for e in rig.decider.outcomes] == [Outcome]
        before = len(rig.counters.faults)
        rig.engine.client_gone(order)
        await turns(20)
        assert len(rig.answers) == 1 and len(rig.decider.outcomes) == 1
        assert len(rig.counters.faults) == before == 0

    play(main)


def test_a_second_answer_some_milliseconds_late_finds_its_connection_at_rest() -> None:
    # The last connection to rest was taken first, and the late answer was the next request's.
    async def main() -> None:
        rig = Rig(1)
        exchanges = [rig.open(), rig.open()]
        links = [await rig.servers[0].accept(), await rig.servers[0].accept()]
        for link in links:
            await link.request()
        links[0].answer(b"one")
        while len(rig.answers) < 1:
            await asyncio.sleep(0)
        rig.moved_us += SETTLE_US
        links[1].answer(b"two")
        for exchange in exchanges:
            await rig.ended(exchange, 0)
        while len(rig.instances.pool._all_idle) < 2:
            await asyncio.sleep(0)
        third = rig.open()
        await links[0].request()
        links[1].answer(b"two again")
        assert await links[1].rest() == b""  # closed: what came belongs to no request
        links[0].answer(b"three")
        assert await rig.ended(third, 0) is AttemptOutcome.SERVED
        assert isinstance(third.answer, Response) and third.answer.body == b"three"
        await rig.instances.close()

    play(main)


def test_of_connections_that_have_settled_the_last_to_rest_is_taken() -> None:
    async def main() -> None:
        rig = Rig(1)
        exchanges = [rig.open(), rig.open()]
        links = [await rig.servers[0].accept(), await rig.servers[0].accept()]
        for number, link in enumerate(links):
            await link.request()
            link.answer()
            while len(rig.answers) <= number:
                await asyncio.sleep(0)
        for exchange in exchanges:
            await rig.ended(exchange, 0)
        while len(rig.instances.pool._all_idle) < 2:
            await asyncio.sleep(0)
        rig.moved_us += SETTLE_US
        rig.open()
        await links[1].request()
        await rig.instances.close()

    play(main)
