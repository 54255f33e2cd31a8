"""Eight balancers on loopback that share, each a process: a customer's quota goes to where it asks, and back.

What each may use is asked at its door.  Looks at eight doors are no single instant: sums are asked for while
shares rest, and waited for.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from real_peers import RealPeers

from roadlb.lab.run.ports import reserved

PART = 1 / 8


def play(
    folder: Path, test: Callable[[RealPeers, list[int]], Coroutine[Any, Any, None]], share: bool = True
) -> None:
    held = [reserved() for _ in range(8)]
    ports: list[int] = [one.getsockname()[1] for one in held]

    def change(name: str, raw: dict[str, Any]) -> None:
        raw["listen"] = f"127.0.0.1:{ports[int(name[3:])]}"
        raw["settings"] |= {"me": int(name[3:]), "instances": 8}
        raw["peers"] |= {"share": share}

    async def main() -> None:
        rig = RealPeers(8, 1, folder)
        rig.change = change
        async with rig:
            await test(rig, ports)
            errors = [
                line
                for log in folder.glob("*.log")
                for line in log.read_text().splitlines()
                if "level=error" in line or not line.startswith("at=")
            ]
            assert not errors, errors[:3]

    try:
        asyncio.run(main())
    finally:
        for one in held:
            one.close()


async def ask(port: int) -> None:
    """About sixty requests a second of one customer, of whose hundred an eighth is a balancer's part."""
    number = 0
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for _ in range(10):
                number += 1
                writer.write(
                    b"GET /grid-read/k%d HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %d-%d\r\n"
                    b"X-Account: acme\r\n\r\n" % (number, port, number)
                )
            await asyncio.sleep(0.16)
            writer.close()


def shares(rig: RealPeers) -> dict[str, float]:
    """What each may use of the customer's quota."""
    return {
        name: next((s["share"] for s in told["shared"]["shares"] if s["budget"] == "acme"), PART)
        for name, told in rig.told.items()
    }


def whole(rig: RealPeers) -> bool:
    return sum(shares(rig).values()) <= 1


def test_a_quota_moves_to_who_is_asked_and_back_when_it_is_cut_off_or_stopped(tmp_path: Path) -> None:
    async def test(rig: RealPeers, ports: list[int]) -> None:
        asking = asyncio.create_task(ask(ports[0]))
        await rig.until("lb-0 has others' parts", lambda: shares(rig)["lb-0"] > 3 * PART and whole(rig))
        rig.blocked = lambda sender, to: "lb-0" in (sender, to)
        await rig.until("cut off, it has its own", lambda: shares(rig)["lb-0"] == PART and whole(rig))
        await rig.until("and all have theirs", lambda: set(shares(rig).values()) == {PART})
        rig.blocked = lambda sender, to: False
        await rig.until("others' parts again", lambda: shares(rig)["lb-0"] > 3 * PART and whole(rig))
        rig.signal("lb-0", signal.SIGSTOP)
        await rig.until("what it held is over", lambda: set(shares(rig).values()) == {PART})
        rig.signal("lb-0", signal.SIGCONT)
        await rig.look()
        assert whole(rig)
        asking.cancel()
        await rig.until("all have theirs", lambda: set(shares(rig).values()) == {PART})
        await rig.kill("lb-1")
        await rig.start("lb-1")
        await rig.look()
        early = rig.told.get("lb-1")
        assert early is None or early["shared"]["lends"] or shares(rig)["lb-1"] < PART
        await rig.until("its first life's gifts are over", lambda: rig.told["lb-1"]["shared"]["lends"])

    play(tmp_path, test)


def test_with_sharing_off_nothing_of_it_is_there(tmp_path: Path) -> None:
    async def test(rig: RealPeers, ports: list[int]) -> None:
        assert all("shared" not in told for told in rig.told.values())

    play(tmp_path, test, share=False)
