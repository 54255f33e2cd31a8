"""roadlb beside a bare relay: CPU, latency and memory of both in one run, and their ratios.

    python benchmarks/data_path.py [--root TREE] [--python PYTHON] [--json FILE]

Both forward the same load to the same nodes, in rounds that alternate, on the same core.  A machine's noise
then hits both alike and the ratios hold where the figures themselves do not; benchmarks/README.md says how to
read them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import statistics
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from importlib.metadata import version
from pathlib import Path

import uvloop
from load import Kind, Load, Round, histogram
from subjects import Parties, Process, Relay, Roadlb, end_on_signal

KINDS = {
    k.name: k
    for k in (
        Kind("served"),
        Kind("retried", again=0.15),
        Kind("refused", expects=503),
        Kind("order", orders=1.0),
        Kind("mix", orders=0.3),
    )
}
ALONE = {"refused": "empty"}  # the subject that only this kind is played at: one whose list is empty
# The module retries at most one read in five, and sheds when over a quarter of its tries are turned away.
# A rate is held if this share is answered as expected, and the half of it in so much time: past the limit a
# backlog grows all through the round, which the median shows first.
HELD_SHARE, HELD_P50_MS = 0.995, 15.0
FIRST_TRY, CLIMB, FALL, MOST_TRIES = 0.8, 1.15, 0.85, 5
REST_S = 1.0  # after overload, the module sheds for about so long
PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(slots=True)
class Measured:
    """One round of one subject."""

    cpu_us: float  # a request
    tries: float  # requests at nodes for each of a client's
    round: Round

    def held(self, expects: int) -> bool:
        return self.round.share(expects) >= HELD_SHARE and percentiles_ms([self], (50.0,))[0] <= HELD_P50_MS


def percentiles_ms(rounds: Iterable[Measured], wanted: tuple[float, ...] = PERCENTILES) -> list[float]:
    h = histogram()
    for one in rounds:
        for us in one.round.latencies_us:
            h.record_value(max(1, us))
    return [h.get_value_at_percentile(p) / 1000 for p in wanted]


@dataclass(slots=True)
class Row:
    """All rounds of one kind at one rate."""

    kind: Kind
    rate: float
    rounds: dict[str, list[Measured]] = field(default_factory=dict)
    versus: list[float] = field(default_factory=list)  # us that each round of roadlb is compared with
    derived: dict[str, list[float]] = field(default_factory=dict)
    at_limit: bool = False  # at the highest rate that both hold

    def costs(self, subject: str) -> list[float]:
        return self.derived.get(subject) or [m.cpu_us for m in self.rounds.get(subject, [])]

    def ratios(self) -> list[float]:
        return [a / b for a, b in zip(self.costs("roadlb"), self.versus, strict=True)]

    def summary(self) -> dict[str, object]:
        out: dict[str, object] = {
            "kind": self.kind.name,
            "rate": self.rate,
            "at_limit": self.at_limit,
            "ratio": spread(self.ratios()),
            "ratio_to": "own served read" if self.kind.expects == 503 else "relay",
        }
        for name, rounds in self.rounds.items():
            lasted = percentiles_ms(rounds)
            out[name] = {
                "cpu_us": spread(self.costs(name)),
                "round_cpu_us": [m.cpu_us for m in rounds],
                "tries": statistics.mean(m.tries for m in rounds),
                "ms": {f"p{p:g}": v for p, v in zip(PERCENTILES, lasted, strict=True)},
                "sent": sum(m.round.sent for m in rounds),
                "statuses": sum((m.round.statuses for m in rounds), start=type(rounds[0].round.statuses)()),
                "rounds_not_held": sum(not m.held(self.kind.expects) for m in rounds),
                "repeated_by_client": sum(m.round.repeated for m in rounds),
                "load_late_ms": max(m.round.late_us for m in rounds) / 1000,
            }
        return out


def spread(values: list[float]) -> dict[str, float]:
    return {"median": statistics.median(values), "min": min(values), "max": max(values)}


class Bench:
    """The subjects, their loads, and what has been measured."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.o, self.began, self.rows = options, time.monotonic(), list[Row]()
        self.subject_core, other = options.cpus[0], set(options.cpus[1:]) or {options.cpus[0]}
        os.sched_setaffinity(0, other)
        self.parties = Parties(options.nodes, options.delay_ms, other)
        self.processes: dict[str, Process] = {}
        self.loads: dict[str, Load] = {}

    async def start(self, kinds: list[Kind]) -> None:
        core, nodes = {self.subject_core}, self.parties.nodes
        subjects: list[Roadlb | Relay] = [self.roadlb(nodes), Relay(nodes, core)]
        for name, subject in zip(("roadlb", "relay"), subjects, strict=True):
            self.processes[name], self.loads[name] = subject, Load(subject.port, self.o.connections)
        for name in {ALONE[kind.name] for kind in kinds if kind.name in ALONE}:
            alone = self.roadlb([])
            self.processes[name], self.loads[name] = alone, Load(alone.port, self.o.connections)
        for load in self.loads.values():
            await load.connect()

    def roadlb(self, nodes: list[int]) -> Roadlb:
        return Roadlb(
            self.o.python,
            self.o.root,
            nodes,
            self.parties.discovery,
            {self.subject_core},
            installed=self.o.installed,
        )

    def stop(self) -> None:
        for load in self.loads.values():
            load.close()
        for process in (*self.processes.values(), self.parties):
            process.stop()

    def progress(self, text: str) -> None:
        start, end = ("\r\033[K", "") if sys.stderr.isatty() else ("", "\n")
        print(f"{start}{time.monotonic() - self.began:5.0f} s  {text}", end=end, file=sys.stderr, flush=True)

    async def one(self, name: str, kind: Kind, rate: float, seconds: float, seed: int) -> Measured:
        process = self.processes[name]
        asked, before = await asyncio.to_thread(self.parties.asked), process.cpu_us()
        # The relay has no retries, so its client asks again: that is the least that a retry can cost.
        result = await self.loads[name].play(kind, rate, seconds, seed, repeats=name == "relay")
        cpu = process.cpu_us() - before
        tries = await asyncio.to_thread(self.parties.asked) - asked
        return Measured(cpu / result.sent, tries / result.sent, result)

    async def play(self, rows: list[Row]) -> None:
        """In each round all kinds in turn, and in each kind roadlb and then the relay."""
        self.rows += rows
        for i in range(self.o.rounds):
            for row in rows:
                for name in [ALONE[row.kind.name]] if row.kind.name in ALONE else ["roadlb", "relay"]:
                    self.progress(
                        f"round {i + 1} of {self.o.rounds}: {row.kind.name} at {row.rate:g}/s, {name}"
                    )
                    one = await self.one(name, row.kind, row.rate, self.o.seconds, self.o.seed + i)
                    row.rounds.setdefault("roadlb" if row.kind.name in ALONE else name, []).append(one)

    async def run(self) -> None:
        kinds = [KINDS[k] for k in self.o.kinds]
        await self.start(kinds)
        for name in self.loads:
            self.progress(f"warming up: {name}")
            kind = KINDS[next((k for k, alone in ALONE.items() if alone == name), "mix")]
            await self.one(name, kind, self.o.rate, 1.0, self.o.seed - 1)
        await self.play([Row(kind, self.o.rate) for kind in kinds])
        if not self.o.no_highest and (rate := await self.highest(KINDS["mix"])):
            top = Row(KINDS["mix"], rate, at_limit=True)
            await self.play([top])
            if not all(m.held(200) for rounds in top.rounds.values() for m in rounds):
                self.rows.remove(top)  # it was the limit's luck to be held once
                await self.rest()
                await self.play([Row(KINDS["mix"], round(rate * FALL, -1), at_limit=True)])
        compare(self.rows)

    async def rest(self) -> None:
        """Let what an overload has left behind pass."""
        await asyncio.sleep(REST_S)
        await self.one("roadlb", KINDS["mix"], self.o.rate, 0.5, self.o.seed)

    async def highest(self, kind: Kind) -> float:
        """The highest rate of those tried that both hold; 0 if none."""
        known = [row for row in self.rows if row.kind is kind] or self.rows
        rate = round(FIRST_TRY * 1e6 / statistics.median(known[0].costs("roadlb")), -1)
        best, failed = 0.0, False
        for _ in range(MOST_TRIES):
            held = True
            for name in ("roadlb", "relay"):
                self.progress(f"is {rate:g}/s held: {name}")
                held = held and (await self.one(name, kind, rate, 1.5, self.o.seed)).held(kind.expects)
            if held:
                best = rate
                if failed:
                    break
                rate = round(rate * CLIMB, -1)
            else:
                await self.rest()
                failed = True
                if best:
                    break
                rate = round(rate * FALL, -1)
        return best

    def report(self) -> dict[str, object]:
        return {
            "options": {k: str(v) if isinstance(v, Path) else v for k, v in vars(self.o).items()},
            "machine": {
                "python": platform.python_version(),
                "system": platform.release(),
                "uvloop": version("uvloop"),
                "httptools": version("httptools"),
            },
            "peak_mb": {name: p.peak_mb() for name, p in self.processes.items()},
            "rows": [row.summary() for row in self.rows],
        }


def compare(rows: list[Row]) -> None:
    """Find what each row's costs are compared with, and the cost of one retried read.

    Only some of the reads of a row are retried.  What it costs beyond served reads, over the share of second
    tries in it, is what one retry adds.  That multiplies the noise by seven, so each of the figures given
    comes of all rounds but one, and their spread is what a single round can do to the mean.
    """
    served = next((row for row in rows if row.kind.name == "served"), None)
    for row in rows:
        if row.kind.again and served:
            for name, rounds in row.rounds.items():
                plain, mixed = served.costs(name), [m.cpu_us for m in rounds]
                seconds = statistics.mean(m.tries for m in rounds) - 1
                row.derived[name] = [
                    left_out(plain, i) + (left_out(mixed, i) - left_out(plain, i)) / max(seconds, 1e-3)
                    for i in range(len(rounds))
                ]
        refused = row.kind.expects == 503
        row.versus = (served or row).costs("roadlb") if refused else row.costs("relay")


def left_out(values: list[float], i: int) -> float:
    """The mean without the value at `i`, or of a single value."""
    return statistics.mean(values[:i] + values[i + 1 :] or values)


def table(report: dict[str, object]) -> str:
    """The report for a person."""

    def figures(summary: dict[str, object], name: str, one: Callable[[dict[str, object]], str]) -> str:
        found = summary.get(name)
        return one(found) if isinstance(found, dict) else "-"

    def lasted(one: dict[str, object]) -> str:
        ms = one["ms"]
        assert isinstance(ms, dict)
        return "/".join(f"{v:.1f}" for v in ms.values())

    def cost(one: dict[str, object]) -> str:
        return f"{one['cpu_us']['median']:.0f}"  # type: ignore[index]

    def unexpected(one: dict[str, object], expects: int, at_limit: bool) -> str:
        statuses = one["statuses"]
        assert isinstance(statuses, dict)
        said = [f"{v} x {k or 'none'}" for k, v in statuses.items() if k != expects and v]
        if at_limit and (late := one["rounds_not_held"]):
            said.append(f"{late} rounds not held")
        return ", ".join(said)

    lines = [
        f"{'':<18}{'CPU us a request':^18}{'ratio':^20}{'p50/p99/p99.9 ms':^34}{'tries':>7}  other",
        f"{'kind':<10}{'rate':>6}  {'roadlb':>8}{'relay':>8}  {'(lowest-highest)':^20}"
        f"{'roadlb':^17}{'relay':^17}{'roadlb':>7}",
    ]
    rows = report["rows"]
    assert isinstance(rows, list)
    for row in rows:
        ratio = row["ratio"]
        ratio_text = f"{ratio['median']:.2f} ({ratio['min']:.2f}-{ratio['max']:.2f})"
        ratio_text += "*" if row["ratio_to"] != "relay" else ""
        lines.append(
            f"{row['kind']:<10}{row['rate']:>6.0f}  {figures(row, 'roadlb', cost):>8}"
            f"{figures(row, 'relay', cost):>8}  {ratio_text:^20}{figures(row, 'roadlb', lasted):^17}"
            f"{figures(row, 'relay', lasted):^17}{row['roadlb']['tries']:>7.3f}  "
            + unexpected(row["roadlb"], KINDS[row["kind"]].expects, row["at_limit"])
        )
    lines.append("* to roadlb's own served read of the same run")
    peaks = report["peak_mb"]
    assert isinstance(peaks, dict)
    lines.append("peak MB: " + ", ".join(f"{name} {mb:.1f}" for name, mb in peaks.items()))
    late = max(one["load_late_ms"] for row in rows for one in (row.get("roadlb"), row.get("relay")) if one)
    lines.append(f"the load itself was late by {late:.1f} ms at most")
    return "\n".join(lines)


def cores(text: str) -> list[int]:
    return [int(c) for c in text.split(",")]


def default_cores() -> list[int]:
    """The last core for the subject, the two before it for the rest: the first ones have the interrupts."""
    return sorted(os.sched_getaffinity(0))[::-1][:3]


def options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    add = parser.add_argument
    add("--rate", type=float, default=400.0, help="requests a second (400)")
    add("--seconds", type=float, default=1.2, help="of one round (1.2)")
    add("--rounds", type=int, default=5, help="of each subject and kind (5)")
    add("--kinds", type=lambda t: t.split(","), default=list(KINDS), help=f"of {','.join(KINDS)} (all)")
    add("--python", default=sys.executable, help="interpreter that runs roadlb (this one)")
    add(
        "--root",
        type=Path,
        default=Path(__file__).resolve().parent.parent,
        help="tree whose roadlb is measured (the one this file is in)",
    )
    add(
        "--installed",
        action="store_true",
        help="measure the roadlb that the interpreter has installed, as the platform runs it",
    )
    add("--cpus", type=cores, default=default_cores(), help="core of the subject, then those of the rest")
    add("--nodes", type=int, default=6, help="grid nodes (6)")
    add("--delay-ms", type=float, default=2.0, help="of a node's answer (2)")
    add("--connections", type=int, default=48, help="of the clients (48)")
    add("--seed", type=int, default=1)
    add("--no-highest", action="store_true", help="leave out the stage at the highest rate that both hold")
    add("--json", type=Path, help="write all figures to this file")
    found = parser.parse_args()
    if unknown := [k for k in found.kinds if k not in KINDS]:
        parser.error(f"--kinds: {', '.join(unknown)}: not one of {', '.join(KINDS)}")
    if not (found.root / "roadlb" / "__main__.py").exists():
        parser.error(f"--root: {found.root} holds no roadlb")
    found.root = found.root.resolve()
    if len(found.cpus) < 2:
        print(
            "one core only: the load and the nodes share it with the subject, so latencies say little",
            file=sys.stderr,
        )
    return found


def main() -> None:
    end_on_signal()
    bench = Bench(options())
    try:
        uvloop.run(bench.run())
        report = bench.report()
    finally:
        bench.stop()
    bench.progress("done\n" if sys.stderr.isatty() else "done")
    print(table(report))
    if bench.o.json:
        bench.o.json.write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
