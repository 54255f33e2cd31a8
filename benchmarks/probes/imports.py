"""What a bare process costs that has imported a library and done nothing: start-up time and memory.

    python benchmarks/probes/imports.py [--rounds 9]

Time is from before the fork until the import is done, so the interpreter's own start is in it.  The first
round only warms the disk cache and is not counted.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
import time

KINDS = {
    "interpreter": "pass",
    "asyncio": "import asyncio",
    "uvloop": "import asyncio, uvloop",
    "uvloop + httptools": "import asyncio, uvloop, httptools",
    "aiohttp's client": "import asyncio, aiohttp",
    "aiohttp, both sides": "import asyncio, aiohttp, aiohttp.web",
    "roadlb.app": "import roadlb.app",
}
TELL = """
import time
done = time.monotonic_ns()
status = dict(line.split(":", 1) for line in open("/proc/self/status"))
import sys
print(done, status["VmRSS"].split()[0], status["VmHWM"].split()[0], len(sys.modules))
"""


def sample(code: str) -> tuple[float, int, int, int]:
    """Start one process; returns milliseconds, KiB resident, KiB at its peak, modules loaded."""
    began = time.monotonic_ns()
    run = subprocess.run([sys.executable, "-c", code + TELL], check=True, capture_output=True, text=True)
    done, rss, peak, modules = map(int, run.stdout.split())
    return (done - began) / 1e6, rss, peak, modules


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=9)
    rounds = parser.parse_args().rounds
    samples: dict[str, list[tuple[float, int, int, int]]] = {name: [] for name in KINDS}
    for counted in [False] + [True] * rounds:
        for name, code in KINDS.items():  # alternating, so that noise hits all alike
            one = sample(code)
            if counted:
                samples[name].append(one)
    print(f"{'imported':<22}{'start ms':>10}{'lowest':>8}{'RSS MB':>8}{'peak MB':>9}{'modules':>9}")
    for name, rows in samples.items():
        ms, rss, peak, modules = zip(*rows, strict=True)
        print(
            f"{name:<22}{statistics.median(ms):>10.0f}{min(ms):>8.0f}{statistics.median(rss) / 1024:>8.1f}"
            f"{statistics.median(peak) / 1024:>9.1f}{modules[0]:>9}"
        )


if __name__ == "__main__":
    main()
