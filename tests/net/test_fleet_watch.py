"""The control service's list of a cluster keeps the same watch: the same forms, and what is only its own."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress

from scenario import run
from watching import HEAD, Discovery, chunk, entry, line, until, update

from roadlb.fleet.model import Picture
from roadlb.net.fleet_watch import FleetWatch
from roadlb.net.watch_timing import TOLD_S

LIST = update(5, entry("s"), entry("t", port=9002), reset=True)


def play(scenario: Callable[[Discovery, FleetWatch, list[Picture]], Awaitable[None]]) -> None:
    async def main() -> None:
        discovery, told = Discovery(), list[Picture]()
        await discovery.start()
        watch = FleetWatch(discovery.address, "grid", told.append)
        task = asyncio.ensure_future(watch.run())
        try:
            await scenario(discovery, watch, told)
        finally:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
            discovery.close()

    run(main())


def names(picture: Picture) -> set[str]:
    return {endpoint.node.name for endpoint in picture.clusters["grid"].endpoints}


def test_an_indented_list_in_pieces_is_taken() -> None:
    async def scenario(discovery: Discovery, watch: FleetWatch, told: list[Picture]) -> None:
        data = json.dumps(LIST, indent=2).encode()
        call = (await discovery.call()).send(HEAD)
        for at in range(0, len(data), 7):
            call.send(chunk(data[at : at + 7]))
        await until(lambda: told, "the list is taken")
        assert names(told[0]) == {"s", "t"} and watch.counts["malformed"] == 0

    play(scenario)


def test_an_older_list_is_not_taken_and_a_malformed_one_opens_the_watch_again() -> None:
    async def scenario(discovery: Discovery, watch: FleetWatch, told: list[Picture]) -> None:
        call = (await discovery.call()).send(HEAD, line(LIST), line(update(4, entry("s"), reset=True)))
        await until(lambda: watch.counts["older"], "the older one is seen")
        call.send(line({**update(6), "instances": [{"lifecycle": "up"}]}))
        call = await discovery.call()
        assert call.target.endswith("after=5") and watch.counts["malformed"] == 1 and len(told) == 1
        call.send(HEAD, line(update(6, entry("t", "removed", port=9002))))
        await until(lambda: len(told) == 2, "the change is taken")
        assert names(told[1]) == {"s"}

    play(scenario)


def test_a_call_beside_the_watch_brings_the_newest_or_none() -> None:
    async def scenario(discovery: Discovery, watch: FleetWatch, told: list[Picture]) -> None:
        (await discovery.call()).send(HEAD, line(LIST))
        await until(lambda: told, "the list is taken")
        asked = asyncio.ensure_future(watch.call())
        beside = (await discovery.call()).send(HEAD, line(update(7, entry("s", "draining"))))
        assert await asked == 7 and len(told) == 2
        await beside.closed()
        for answer in (
            b"HTTP/1.1 503 No Room\r\nContent-Length: 0\r\n\r\n",
            HEAD + line({"generation": "x"}),
        ):
            asked = asyncio.ensure_future(watch.call())
            (await discovery.call()).send(answer)
            assert await asked is None
        assert watch.counts["call failed"] == 2

    play(scenario)


def test_a_call_beside_the_watch_that_is_answered_late_is_heard() -> None:
    # Given up after 2 s, calls of a discovery that takes longer failed for ever.
    async def scenario(discovery: Discovery, watch: FleetWatch, told: list[Picture]) -> None:
        (await discovery.call()).send(HEAD, line(LIST))
        await until(lambda: told, "the list is taken")
        asked = asyncio.ensure_future(watch.call())
        beside = await discovery.call()
        await asyncio.sleep(TOLD_S / 2)
        beside.send(HEAD, line(update(7, entry("s", "draining"))))
        assert await asked == 7 and watch.counts["call failed"] == 0

    play(scenario)
