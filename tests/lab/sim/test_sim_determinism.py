"""One seed, one course of events: whatever the hash seed, the memory layout and the load."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).parent


def start(seed: int, hash_seed: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, str(HERE / "busy.py"), str(seed), hash_seed], text=True, stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(HERE.parents[2])})


def test_the_same_seed_gives_the_same_bytes_in_every_process() -> None:
    printed = []
    for pair in (((7, "0"), (7, "1")), ((7, "4242"), (8, "0"))):
        runs = [start(*each) for each in pair]
        printed += [run.communicate(timeout=60)[0] for run in runs]
        assert [run.returncode for run in runs] == [0, 0]
    assert int(printed[0].split()[0]) > 5_000, "the day is to be busy"
    assert printed[0] == printed[1] == printed[2] != printed[3]
