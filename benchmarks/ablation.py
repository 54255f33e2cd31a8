"""What each part of a data path costs: the relay with one part more, and roadlb with one part less.

    python benchmarks/ablation.py [--kinds served,order] [--only NAME,...]

All subjects run on one core in turn, round after round, under the same load; each row's difference is to the
subject that it was made from, of the same round.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path

import uvloop
from data_path import KINDS, cores, default_cores
from load import Load
from subjects import HERE, Parties, Process, Relay, Roadlb, end_on_signal

ASSEMBLED = {
    "relay": [],
    "relay on asyncio": ["--loop", "asyncio"],
    "+ tasks and futures": ["--tasks"],
    "+ the same, asyncio": ["--tasks", "--loop", "asyncio"],
    "+ module": ["--module"],
    "+ aiohttp's server": ["--front", "aiohttp"],
    "+ aiohttp's client": ["--back", "aiohttp"],
    "+ both": ["--front", "aiohttp", "--back", "aiohttp"],
    "+ both, asyncio": ["--front", "aiohttp", "--back", "aiohttp", "--loop", "asyncio"],
}
VARIANTS = {
    "roadlb": "as-is",
    "roadlb on uvloop": "uvloop",
    "roadlb, no log": "no-log",
    "roadlb, no GC": "no-gc",
    "roadlb, no guards": "no-guards",
}


class Assembled(Relay):
    def __init__(self, arguments: list[str], root: Path, nodes: list[int], core: int) -> None:
        Process.__init__(
            self,
            [
                sys.executable,
                str(HERE / "probes" / "assembled.py"),
                *arguments,
                *(f"127.0.0.1:{p}" for p in nodes),
            ],
            {core},
            env={"PYTHONPATH": str(root)},
        )
        self.port = int(self.first_line())


def subjects(
    options: argparse.Namespace,
    parties: Parties,
    core: int,
) -> dict[str, Callable[[], Relay | Roadlb]]:
    found: dict[str, Callable[[], Relay | Roadlb]] = {}
    for name, arguments in ASSEMBLED.items():
        found[name] = lambda a=arguments: Assembled(a, options.root, parties.nodes, core)  # type: ignore[misc]
    for name, variant in VARIANTS.items():
        command = [str(HERE / "probes" / "variant.py"), variant]
        found[name] = lambda c=command: Roadlb(  # type: ignore[misc]
            options.python, options.root, parties.nodes, parties.discovery, {core}, c
        )
    return {name: make for name, make in found.items() if not options.only or name in options.only}


async def run(options: argparse.Namespace) -> dict[str, dict[str, list[float]]]:
    core, others = options.cpus[0], set(options.cpus[1:]) or {options.cpus[0]}
    os.sched_setaffinity(0, others)
    parties = Parties(6, options.delay_ms, others)
    running: dict[str, Relay | Roadlb] = {}
    loads: dict[str, Load] = {}
    costs: dict[str, dict[str, list[float]]] = {}
    began = time.monotonic()
    try:
        for name, make in subjects(options, parties, core).items():
            running[name] = make()
            loads[name] = Load(running[name].port, 48)
            await loads[name].connect()
            await loads[name].play(KINDS["mix"], options.rate, 0.7, 0)
        for i in range(options.rounds):
            print(f"{time.monotonic() - began:5.0f} s  round {i + 1} of {options.rounds}", file=sys.stderr)
            for kind in options.kinds:
                for name, process in running.items():
                    before = process.cpu_us()
                    result = await loads[name].play(KINDS[kind], options.rate, options.seconds, i + 1)
                    if result.share(200) < 0.99:
                        print(f"{name}, {kind}: {dict(result.statuses)}", file=sys.stderr)
                    cost = (process.cpu_us() - before) / result.sent
                    costs.setdefault(kind, {}).setdefault(name, []).append(cost)
    finally:
        for load in loads.values():
            load.close()
        for process in running.values():
            process.stop()
        parties.stop()
    return costs


def table(costs: dict[str, list[float]]) -> str:
    lines = [f"{'':<24}{'CPU us':>8}{'lowest':>8}{'to its base':>13}{'(spread)':>18}{'to the relay':>14}"]
    for name, row in costs.items():
        base = "roadlb" if name.startswith("roadlb") else "relay on asyncio" if "asyncio" in name else "relay"
        steps = [a - b for a, b in zip(row, costs.get(base, row), strict=True)]
        times = [a / b for a, b in zip(row, costs.get("relay", row), strict=True)]
        lines.append(
            f"{name:<24}{statistics.median(row):>8.0f}{min(row):>8.0f}"
            f"{statistics.median(steps):>+13.0f}{f'({min(steps):+.0f} to {max(steps):+.0f})':>18}"
            f"{statistics.median(times):>13.2f}x"
        )
    return "\n".join(lines)


def main() -> None:
    end_on_signal()
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    add = parser.add_argument
    add("--rate", type=float, default=400.0)
    add("--seconds", type=float, default=1.0, help="of one round (1)")
    add("--rounds", type=int, default=5)
    add("--kinds", type=lambda t: t.split(","), default=["served"], help="of served, order, mix (served)")
    add("--only", type=lambda t: t.split(","), help=f"of {', '.join([*ASSEMBLED, *VARIANTS])}")
    add("--python", default=sys.executable, help="interpreter that runs roadlb (this one)")
    add("--root", type=Path, default=HERE.parent, help="tree whose roadlb is measured")
    add("--cpus", type=cores, default=default_cores(), help="core of the subject, then those of the rest")
    add("--delay-ms", type=float, default=2.0)
    add("--json", type=Path)
    options = parser.parse_args()
    options.root = options.root.resolve()
    costs = uvloop.run(run(options))
    for kind, rows in costs.items():
        print(f"{kind} at {options.rate:g}/s")
        print(table(rows))
    if options.json:
        options.json.write_text(json.dumps(costs, indent=1) + "\n")


if __name__ == "__main__":
    main()
