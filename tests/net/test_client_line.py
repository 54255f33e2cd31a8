"""A request that waits in line behind another on its connection uses its client's time up."""

from __future__ import annotations

import asyncio

import pytest
from scenario import LOOPS, Stage, run
from test_client_leaves import begun, client, only, order, over, step, until

ANSWERED = 10
TOLD_S = 1.5
SHORT_S, WAIT_S = 0.2, 0.3
PLACES = ["parsed", "held"]  # where the one behind waits: read as a request, or as bytes behind the open one


def order_within(left_s: float) -> str:
    return order(1).removesuffix("\r\n") + f"X-Time-Left: {left_s}\r\n\r\n"


async def busy_stage() -> Stage:
    """One whose balancer has had answers: it knows that one slow one is no sign of too much work."""
    stage = await begun("1")
    for number in range(ANSWERED):
        await step(stage, "b send POST /order/k")
        await step(stage, f"i{10 + number} expect POST")
        await step(stage, f"i{10 + number} send 200 done")
        await step(stage, "b expect 200 done")
    await step(stage, "b close")
    await until(lambda: not stage.app.frontend.connections)
    return stage


async def in_line(stage: Stage, place: str, left_s: float) -> None:
    """An open order, and another behind it that has come."""
    behind = order_within(left_s)
    link = await client(stage, "a", order(2) + (behind if place == "parsed" else ""))
    await step(stage, "i1 expect POST")
    if place == "held":
        link.write(behind)
        await until(lambda: only(stage)._unparsed)
    else:
        assert only(stage)._pending


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("place", PLACES)
def test_a_request_whose_time_has_passed_in_line_is_answered_at_once_and_not_sent(
    place: str, loop: str
) -> None:
    async def main() -> None:
        stage = await busy_stage()
        await in_line(stage, place, SHORT_S)
        await asyncio.sleep(WAIT_S)
        clock = stage.app.frontend.clock
        await step(stage, "i1 send 200 done")
        await step(stage, "a expect 200 done")
        began_us = clock()
        await step(stage, "a expect 503")  # a refusal: nothing of it ran
        assert clock() - began_us < SHORT_S * 1e6 / 2, "it does not wait for its own time again"
        assert stage.app.counters["sends"] == ANSWERED + 1
        await step(stage, "a send POST /order/k")
        await step(stage, "i2 expect POST")
        await step(stage, "i2 send 200 next")
        await step(stage, "a expect 200 next")
        await over(stage)

    run(main(), loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("place", PLACES)
def test_the_time_left_that_a_server_is_told_is_less_by_the_wait_in_line(place: str, loop: str) -> None:
    async def main() -> None:
        stage = await busy_stage()
        clock = stage.app.frontend.clock
        await in_line(stage, place, TOLD_S)
        came_us = clock()
        await asyncio.sleep(WAIT_S)
        waited_s = (clock() - came_us) / 1e6
        await step(stage, "i1 send 200 done")
        await step(stage, "i2 expect POST")
        told_s = float(stage.links["i2"].last.partition("X-Time-Left: ")[2].partition("\r")[0])
        assert 0 < told_s <= TOLD_S - waited_s
        await step(stage, "i2 send 200 next")
        await step(stage, "a expect 200 done")
        await step(stage, "a expect 200 next")
        await over(stage)

    run(main(), loop)
