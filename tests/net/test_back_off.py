"""When a watch is opened again: soon after a break, ever later after a refusal, each balancer by itself."""

from __future__ import annotations

import asyncio
import logging

import pytest

from roadlb.config import Address
from roadlb.counters import Counters
from roadlb.net.discovery import ServerDiscovery
from roadlb.net.watch_timing import PAUSE_MOST_S, REFUSED_MOST_S, BackOff


def calls(seed: int, refused: bool, until: float) -> list[float]:
    back_off, at, when = BackOff(seed), 0.0, []
    while (at := at + back_off.seconds(refused)) < until:
        when.append(at)
    return when


def test_forty_that_are_refused_together_soon_ask_no_more_than_discovery_can_bear() -> None:
    # At most 1 s apart and without chance, forty balancers asked an overbooked discovery forty times a second
    # for the rest of the day, and none of them was let in.
    asked = sorted(at for seed in range(40) for at in calls(seed, True, 60))
    rate = [sum(s <= at < s + 1 for at in asked) for s in range(60)]
    assert max(rate[12:]) <= 15 and sum(rate[12:]) / 48 <= 40 / REFUSED_MOST_S * 1.3
    # Each goes on asking: a discovery that has room again is heard after one pause.
    for when in (calls(seed, True, 60) for seed in range(40)):
        assert all(b - a <= REFUSED_MOST_S for a, b in zip(when, when[1:], strict=False))


def test_a_break_is_mended_at_once_and_not_by_all_in_one_instant() -> None:
    first = [calls(seed, False, 1)[0] for seed in range(40)]
    assert max(first) <= 0.1 and len({round(at, 3) for at in first}) > 20
    again = BackOff(1)
    for _ in range(9):
        again.seconds(True)
    again.heard()
    assert again.seconds(True) <= 0.8 and again.seconds(False) <= 0.1


def test_no_pause_is_longer_than_its_ceiling() -> None:
    # With chance on top, a mean of 8 s was a pause of 12 s: a drain counts as told after 6 s.
    for seed in range(200):
        back_off = BackOff(seed)
        assert max(back_off.seconds(True) for _ in range(20)) <= REFUSED_MOST_S
        assert max(back_off.seconds(False) for _ in range(20)) <= PAUSE_MOST_S


def test_the_name_table_takes_a_503_for_a_refusal(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> int:
        asked = 0

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal asked
            asked += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(discovery, "127.0.0.1", 0)
        table = ServerDiscovery(
            Address(*server.sockets[0].getsockname()),
            (),
            (),
            None,
            None,  # type: ignore[arg-type]
            Counters(),
            lambda: 0,
            lambda: 0,
            seed=3,
        )
        task = asyncio.ensure_future(table.run())
        with caplog.at_level(logging.WARNING):
            while "watch broken" not in caplog.text:
                await asyncio.sleep(0.01)
        task.cancel()
        server.close()
        return asked

    assert asyncio.run(main()) == 1
    (record,) = (r for r in caplog.records if r.getMessage() == "watch broken")
    assert record.fields["again_s"] >= 0.4  # type: ignore[attr-defined]
