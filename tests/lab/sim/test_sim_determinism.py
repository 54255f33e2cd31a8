"""One seed, one course of events: whatever the hash seed, the memory layout and the load."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from functools import partial
from pathlib import Path

from sim_worlds import Pair, simulate

HERE = Path(__file__).parent


def test_the_digest_tells_one_byte_and_one_microsecond() -> None:
    async def day(pair: Pair, data: bytes, wait: float) -> str:
        _, client = await pair.open()
        await asyncio.sleep(wait)
        client.transport.write(data)
        await asyncio.sleep(1)
        return pair.network.digest()

    days = [(b"a", 0.1), (b"a", 0.1), (b"b", 0.1), (b"a", 0.100001)]
    digests = [simulate(partial(day, data=data, wait=wait)) for data, wait in days]
    assert digests[0] == digests[1] and len(set(digests)) == 3


def start(seed: int, hash_seed: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, str(HERE / "busy.py"), str(seed), hash_seed],
        text=True,
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(HERE.parents[2])},
    )


def test_the_same_seed_gives_the_same_bytes_in_every_process() -> None:
    printed = []
    for pair in (((7, "0"), (7, "1")), ((7, "4242"), (8, "0"))):
        runs = [start(*each) for each in pair]
        printed += [run.communicate(timeout=60)[0] for run in runs]
        assert [run.returncode for run in runs] == [0, 0]
    assert int(printed[0].split()[0]) > 5_000, "the day is to be busy"
    assert printed[0] == printed[1] == printed[2] != printed[3]
