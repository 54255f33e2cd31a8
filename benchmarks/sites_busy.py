"""The scenarios of a site's loss before real processes, run after run beside busy loops: is the verdict one?

    python benchmarks/sites_busy.py --runs 10 --loops 8 --cores 1,2
    python benchmarks/sites_busy.py --runs 1 --out runs.jsonl         one more, kept with those before
    python benchmarks/sites_busy.py --runs 0 --out runs.jsonl         what is kept, told again

Each run is pytest over the files in a process of its own.  Loops and runs share the cores given, so that
others on the machine are not disturbed; `--nice` is how much lower the loops' priority is.  A verdict that is
not the same every time is told by scenario, with the evidence of the claim that failed; ends with 1 then, and
with 2 if all fail alike.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import xml.etree.ElementTree as xml
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
from sites_figures import tell

ROOT = Path(__file__).resolve().parent.parent
FILES = tuple(
    str(path.relative_to(ROOT))
    for path in sorted((ROOT / "tests" / "sites").glob("test_processes*.py"))
    if "planted" not in path.name
)
EVIDENCE = 12  # lines of it that are shown of a claim that failed
LAST_S = 1_200.0  # for one run; one that takes longer has failed, and is ended


@contextmanager
def busy(loops: int, cores: Sequence[int], nice: int) -> Iterator[None]:
    """So many processes that do nothing but count, on these cores; ended by their ids."""
    running = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(loops)]
    try:
        for one in running:
            os.sched_setaffinity(one.pid, cores)
            os.setpriority(os.PRIO_PROCESS, one.pid, os.getpriority(os.PRIO_PROCESS, 0) + nice)
        yield
    finally:
        for one in running:
            one.kill()
            one.wait()


def run(files: Sequence[str], cores: Sequence[int]) -> dict[str, Any]:
    """Durations by scenario, in seconds, and the evidence of those that failed."""
    load, began = os.getloadavg()[0], time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        command = [sys.executable, "-m", "pytest", "-q", "--tb=short", f"--junitxml={report}", *files]
        started = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        os.sched_setaffinity(started.pid, cores)
        try:
            said, _ = started.communicate(timeout=LAST_S)
        except BaseException as error:
            os.killpg(started.pid, signal.SIGKILL)  # with the balancers that it started
            said, _ = started.communicate()
            if not isinstance(error, subprocess.TimeoutExpired):
                raise
        took_s = time.monotonic() - began
        cases = list(xml.parse(report).iter("testcase")) if report.exists() else []
    failed = {}
    for case in cases:
        for bad in (*case.findall("failure"), *case.findall("error")):
            failed[case.get("name", "")] = evidence(bad.text or bad.get("message") or "")
    if started.returncode and not failed:
        failed["the run itself"] = said.splitlines()[-EVIDENCE:]
    return {
        "took_s": took_s,
        "load": [load, os.getloadavg()[0]],
        "failed": failed,
        "seconds": {case.get("name", ""): float(case.get("time", 0)) for case in cases},
    }


def evidence(text: str) -> list[str]:
    """What pytest says of a claim: the line that failed, and its values."""
    lines = text.splitlines()
    return [line for line in lines if line.startswith(("E ", ">"))][:EVIDENCE] or lines[-EVIDENCE:]


def told(runs: Sequence[dict[str, Any]]) -> int:
    """Tables of durations and verdicts; how the command ends."""
    tell(
        ("run", "seconds", "load at its start, end", "scenarios", "failed"),
        [
            (
                str(number),
                f"{one['took_s']:.0f}",
                f"{one['load'][0]:.0f}, {one['load'][1]:.0f}",
                str(len(one["seconds"])),
                ", ".join(one["failed"]) or "none",
            )
            for number, one in enumerate(runs, 1)
        ],
    )
    by_name: dict[str, list[float]] = {}
    for one in runs:
        for name, seconds in one["seconds"].items():
            by_name.setdefault(name, []).append(seconds)
    failures = Counter(name for one in runs for name in one["failed"])
    tell(
        ("scenario", "least s", "mean s", "most s", "failed"),
        [
            (
                name,
                f"{min(each):.1f}",
                f"{sum(each) / len(each):.1f}",
                f"{max(each):.1f}",
                f"{failures[name]} of {len(runs)}",
            )
            for name, each in by_name.items()
        ],
    )
    for number, one in enumerate(runs, 1):
        for name, lines in one["failed"].items():
            click.echo(f"run {number}, {name}:")
            for line in lines:
                click.echo(f"    {line}")
    if not failures:
        click.echo(f"one verdict: all passed, {len(runs)} of {len(runs)} runs")
        return 0
    alike = all(count == len(runs) for count in failures.values())
    click.echo(
        "one verdict: the same fail in each run"
        if alike
        else f"no single verdict: {sum(bool(one['failed']) for one in runs)} of {len(runs)} runs failed"
    )
    return 2 if alike else 1


@click.command(help=(__doc__ or "").partition("\n")[0])
@click.option("--runs", default=10, show_default=True)
@click.option("--loops", default=8, show_default=True, help="Busy processes beside each run.")
@click.option("--cores", default="", help="Of loops and runs, as 1,2; empty: all that this process may use.")
@click.option("--nice", default=0, show_default=True, help="Of the loops, added to this process's own.")
@click.option("--out", type=click.Path(path_type=Path), help="A line of JSON a run, beside those there.")
@click.argument("files", nargs=-1)
def main(runs: int, loops: int, cores: str, nice: int, out: Path | None, files: tuple[str, ...]) -> None:
    """`files`: of tests, from the root of the checkout; none: both of whole sites."""
    on = [int(core) for core in cores.split(",")] if cores else sorted(os.sched_getaffinity(0))
    played = [json.loads(line) for line in out.read_text().splitlines()] if out and out.exists() else []
    for _ in range(runs):
        with busy(loops, on, nice):
            played.append(run(files or FILES, on))
        last = played[-1]
        click.echo(f"{last['took_s']:.0f} s, failed: {', '.join(last['failed']) or 'none'}", err=True)
        if out:
            out.write_text("".join(json.dumps(one) + "\n" for one in played))
    raise SystemExit(told(played) if played else 0)


if __name__ == "__main__":
    main()
