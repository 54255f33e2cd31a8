"""Events that cross an attempt on its way to a server, forced over loopback sockets."""

from __future__ import annotations

import socket

import pytest
from attempt_rig import ORDER, Rig, play, time_left_us

from roadlb.exchange import Ending, Served
from roadlb.policy.interface import Action, Outcome

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
