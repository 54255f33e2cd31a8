"""How time passes for hosts and segments: slow links, slow hosts, writes at the turn's end."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest
from sim_worlds import Pair, simulate, simulated

from roadlb.lab.sim import Seen
from roadlb.lab.sim.cpu import Cpu


@simulated()
async def test_a_slow_link_takes_its_time_and_delays_may_change_under_way(pair: Pair) -> None:
    server, client = await pair.open()
    start = pair.loop.clock_us()
    pair.network.link("a", "b", bytes_per_s=1_000_000, delay_us=50_000)
    client.transport.write(b"a" * 100_000)  # 100 ms for the bytes, 50 for the way
    pair.network.link("a", "b", bytes_per_s=0, delay_us=10)
    client.transport.write(b"b")  # does not overtake
    await asyncio.sleep(0.149)
    assert server.data == b""
    await asyncio.sleep(0.002)
    assert server.data == b"a" * 100_000 + b"b"
    assert pair.loop.clock_us() - start == 151_000


@simulated()
async def test_lost_segments_and_dials_come_again_and_hold_up_what_is_behind(pair: Pair) -> None:
    server, client = await pair.open()
    came: list[int] = []
    server.on["data"] = lambda me: came.append(pair.loop.clock_us() - start)
    pair.network.link("a", "b", lose=0.5)
    start = pair.loop.clock_us()
    for number in range(10):
        client.transport.write(b"%d" % number)
    await asyncio.sleep(60)
    assert server.data == b"0123456789" and came[-1] >= 200_100
    pair.network.link("a", "b", lose=0.2)
    dials = []
    for _ in range(10):
        since = pair.loop.clock_us()
        await pair.connect(asyncio.Protocol)
        dials.append(round((pair.loop.clock_us() - since) / 1e6))
    assert 0 in dials and max(dials) >= 1


@simulated()
async def test_stops_that_overlap_end_with_the_last(pair: Pair) -> None:
    ran: list[int] = []
    pair.server.call(pair.loop.call_soon, lambda: ran.append(pair.loop.clock_us()))
    for us in (300_000, 100_000):
        pair.server.stall(us)
    pair.server.pause()
    pair.loop.call_later(0.2, pair.server.resume)
    await asyncio.sleep(1)
    assert ran == [300_000]


@simulated()
async def test_a_host_whose_callbacks_take_time_falls_behind(pair: Pair) -> None:
    ran: list[int] = []
    pair.server.cpu(cost=2_000)
    for number in range(10):  # one each millisecond
        pair.server.call(pair.loop.call_later, number / 1_000, lambda: ran.append(pair.loop.clock_us()))
    await asyncio.sleep(1)
    assert ran == [2_000 * (number + 1) for number in range(10)]
    ran.clear()
    pair.server.cpu(cost=lambda rng: 10_000, cores=0.2)  # 20 ms of each 100
    for _ in range(5):
        pair.server.call(pair.loop.call_soon, lambda: ran.append(pair.loop.clock_us() - 1_000_000))
    await asyncio.sleep(1)
    assert ran == [10_000, 20_000, 110_000, 120_000, 210_000]
    pair.server.no_cpu()


def test_a_quota_is_drawn_from_the_period_in_which_the_work_is_done() -> None:
    cpu = Cpu(10_000, 0.2, 100_000, Random(1))  # 20 ms of each 100
    ends = [now := 95_000]
    for _ in range(3):
        ends.append(now := cpu.end(now))
    assert ends[1:] == [105_000, 115_000, 205_000]


def test_a_slow_host_runs_its_callbacks_in_the_turns_of_a_real_one() -> None:
    async def main(pair: Pair) -> list[Any]:
        ran: list[Any] = []

        def note(what: str) -> None:
            ran.append((what, pair.loop.clock_us()))
            if what == "first":
                pair.loop.call_soon(note, "queued by first")

        pair.server.cpu(cost=1_000)
        for what in ("first", "second"):
            pair.server.call(pair.loop.call_soon, note, what)
        pair.server.call(pair.loop.call_later, 0.0005, note, "timer, due while first runs")
        pair.loop.call_later(0.0015, pair.server.stall, 10_000)  # in the middle of the second
        await asyncio.sleep(1)
        return ran

    assert simulate(main) == [
        ("first", 1_000),
        ("second", 11_500),
        ("queued by first", 12_500),
        ("timer, due while first runs", 13_500),
    ]


@pytest.mark.parametrize(("deferred", "segments"), [(False, [b"he", b"llo"]), (True, [b"hello"])])
def test_writes_go_out_at_once_or_at_the_turns_end(deferred: bool, segments: list[bytes]) -> None:
    async def main(pair: Pair) -> None:
        seen: list[Seen] = []
        _, client = await pair.open()
        pair.network.tap(seen.append)

        def write() -> None:
            client.transport.write(b"he")
            held.append(client.transport.get_write_buffer_size())
            client.transport.write(b"llo")
            client.transport.close()

        held: list[int] = []
        pair.client.call(pair.loop.call_soon, write)
        await asyncio.sleep(1)
        assert [event.data for event in seen if event.kind == "data"] == segments
        assert held == [2 if deferred else 0]
        assert [event.kind for event in seen][-2:] == ["fin", "fin"]
        assert pair.network.connections() == []

    simulate(main, deferred_writes=deferred)


@simulated(deferred_writes=True)
async def test_a_slow_host_with_deferred_writes_writes_at_its_turns_end(pair: Pair) -> None:
    seen: list[Seen] = []
    _, client = await pair.open()
    pair.network.tap(seen.append)
    pair.client.cpu(cost=1_000)
    for word in (b"two ", b"callbacks"):
        pair.client.call(pair.loop.call_soon, client.transport.write, word)
    start = pair.loop.clock_us()
    await asyncio.sleep(1)
    assert [(event.at - start, event.data) for event in seen] == [(2_100, b"two callbacks")]
