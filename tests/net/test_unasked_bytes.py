"""Bytes from a server that no request asked for: which request they could be taken for, and who is told."""

from __future__ import annotations

import asyncio
import logging

import pytest
from attempt_rig import ORDER, Link, Rig, play

from roadlb.exchange import AttemptOutcome, Response
from roadlb.net.pool import MAX_UNSETTLED_IDLE, SETTLE_US, TRUSTED_SETTLE_US
from roadlb.net.unasked_bytes import MAX_REMEMBERED, REMEMBERED_US, UnaskedBytes

COUNTER = "server.unasked_bytes"


async def idle(rig: Rig, count: int) -> None:
    """Wait until so many connections are idle."""
    while len(rig.instances.pool._all_idle) != count:
        await asyncio.sleep(0)


async def answered_links(rig: Rig, count: int) -> list[Link]:
    """So many connections to the first server that have all answered at the same time."""
    rig.hold_clock()
    exchanges = [rig.open() for _ in range(count)]
    links = [await rig.servers[0].accept() for _ in range(count)]
    for link in links:
        await link.request()
        link.answer()
    for exchange in exchanges:
        assert await rig.ended(exchange, 0) is AttemptOutcome.SERVED
    await idle(rig, count)
    return links


async def new_link(rig: Rig, method: bytes = b"GET") -> Link:
    """The connection that the next request dials."""
    exchange = rig.open(method)
    link = await rig.servers[0].accept()
    await link.request()
    link.answer(b"own")
    assert await rig.ended(exchange, 0) is AttemptOutcome.SERVED
    assert isinstance(exchange.answer, Response) and exchange.answer.body == b"own"
    return link


async def remember(rig: Rig) -> None:
    """The first server sends a second answer."""
    link = await rig.reused()
    link.answer(b"again")
    assert await link.rest() == b""
    await idle(rig, 0)


def test_a_second_answer_on_its_way_is_not_taken_for_the_next_requests() -> None:
    # A connection that had answered a moment before was taken where no other idled: the answer's second copy,
    # on its way as the next request went out, was served to that request's client.
    async def main() -> None:
        rig = Rig(1)
        (link,) = await answered_links(rig, 1)
        exchange = rig.open(ORDER)
        other = await rig.servers[0].accept()
        await other.request()
        link.answer(b"again")
        assert await link.rest() == b""  # closed, and nothing was written to it
        other.answer(b"own")
        assert await rig.ended(exchange, 0) is AttemptOutcome.SERVED
        assert isinstance(exchange.answer, Response) and exchange.answer.body == b"own"

    play(main)


def test_connections_that_have_just_answered_are_bounded_for_each_server() -> None:
    async def main() -> None:
        rig = Rig(1)
        links = await answered_links(rig, MAX_UNSETTLED_IDLE)
        rig.open(ORDER)
        await links[0].request()  # the first to rest
        assert len(rig.instances.pool.open) == MAX_UNSETTLED_IDLE

    play(main)


def test_where_no_connection_can_be_dialled_one_that_has_just_answered_is_used() -> None:
    async def main() -> None:
        rig = Rig(1)
        (link,) = await answered_links(rig, 1)
        rig.instances.pool.limit(1)
        rig.open(ORDER)
        await link.request()

    play(main)


def test_connections_rest_longer_once_any_server_has_sent_unasked_bytes() -> None:
    async def main() -> None:
        rig = Rig(2)
        (link,) = await answered_links(rig, 1)
        rig.moved_us += TRUSTED_SETTLE_US
        exchange = rig.open()
        await link.request()
        link.answer()
        assert await rig.ended(exchange, 0) is AttemptOutcome.SERVED
        await idle(rig, 1)
        rig.instances.pool.unasked_bytes(next(iter(rig.instances.pool.open)))
        rig.moved_us += TRUSTED_SETTLE_US
        other = await new_link(rig)
        await idle(rig, 2)
        rig.moved_us += SETTLE_US
        rig.open()
        await other.request()

    play(main)


def test_a_server_known_for_unasked_bytes_gets_no_request_where_one_has_just_answered() -> None:
    # Also where the connections are at their bound, of all or of this server: the oldest makes room.
    async def main() -> None:
        rig = Rig(1)
        await remember(rig)
        links = await answered_links(rig, MAX_UNSETTLED_IDLE)
        links.append(await new_link(rig))
        assert await links[0].rest() == b""
        await idle(rig, MAX_UNSETTLED_IDLE)
        rig.instances.pool.limit(MAX_UNSETTLED_IDLE)
        links.append(await new_link(rig))
        assert len(rig.instances.pool.open) <= MAX_UNSETTLED_IDLE

    play(main)


def test_a_server_is_remembered_for_a_minute_after_its_last_unasked_bytes() -> None:
    senders = UnaskedBytes()
    assert senders.record(0, b"s0")
    assert not senders.record(1, b"s0")
    assert senders.sent_by(REMEMBERED_US, b"s0") and not senders.sent_by(REMEMBERED_US, b"s1")
    assert not senders.sent_by(REMEMBERED_US + 1, b"s0")
    assert senders.record(REMEMBERED_US + 1, b"s0")


def test_the_servers_that_are_remembered_are_bounded_and_the_expired_make_room() -> None:
    senders = UnaskedBytes()
    for number in range(MAX_REMEMBERED):
        assert senders.record(0, b"%d" % number)
    assert senders.record(1, b"one more") and not senders.sent_by(1, b"one more")
    assert senders.sent_by(1, b"0")
    assert senders.record(REMEMBERED_US, b"one more") and senders.sent_by(REMEMBERED_US, b"one more")


@pytest.mark.parametrize("position", ["directly behind its answer", "later"])
def test_unasked_bytes_are_counted_and_logged_once_with_the_servers_name(
    position: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        rig = Rig(1)
        for _ in range(2):
            exchange = rig.open()
            link = await rig.servers[0].accept()
            await link.request()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            if position == "later":
                link.send(answer)
                await rig.ended(exchange, 0)
                link.send(answer)
            else:
                link.send(answer + answer)
            assert await link.rest() == b""
            assert isinstance(exchange.answer, Response)
        assert rig.counters[COUNTER] == 2

    with caplog.at_level(logging.WARNING, "roadlb.net"):
        play(main)
    (record,) = caplog.records
    assert record.getMessage() == "server sends bytes that no request asked for"
    assert record.__dict__["fields"] == {"instance": "s0"}


def test_the_unread_body_of_an_error_is_not_taken_for_unasked_bytes() -> None:
    async def main() -> None:
        rig = Rig(1)
        exchange = rig.open()
        link = await rig.servers[0].accept()
        await link.request()
        link.send(b"HTTP/1.1 500 Error\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 10_000)
        assert await rig.ended(exchange, 0) is AttemptOutcome.INSTANCE_ERROR
        await link.rest()
        assert rig.counters[COUNTER] == 0

    play(main)


def test_a_settled_connection_is_taken_before_any_other() -> None:
    async def main() -> None:
        rig = Rig(1)
        links = await answered_links(rig, 2)
        rig.moved_us += SETTLE_US
        rig.open()
        await links[1].request()
        assert len(rig.instances.pool.open) == 2

    play(main)
