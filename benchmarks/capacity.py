"""What each role costs at 380 and 600 balancers and 2,400 servers: a scale run, and its page's tables.

    python benchmarks/capacity.py                  the run (some 7 minutes of two cores), then the tables
    python benchmarks/capacity.py run --balancers 10 20 30 40 50 --out found/mine.json
    python benchmarks/capacity.py run --small --out found/small.json     a handful of processes
    python benchmarks/capacity.py page             the tables again, from benchmarks/data/capacity.json

Hollow balancers, many to a process, beside real ones; see docs/CAPACITY.md.  The compiled program of
`.venv-dev/compiled` is what is measured if it is there (`./dev check` makes it), else the sources.
Figures are CPU time and bytes.  A run that is interrupted keeps its finished points, and says so.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COMPILED = ROOT / ".venv-dev" / "compiled"
DATA, PAGE = ROOT / "benchmarks" / "data" / "capacity.json", ROOT / "docs" / "CAPACITY.md"


def measured(form: object, file: Path) -> int:
    """Interrupted by a signal, it ends its processes and says what it has."""
    import uvloop

    from roadlb.lab.capacity import runs

    assert isinstance(form, runs.Form)

    async def until_ended() -> None:
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        assert task
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, task.cancel)
        await runs.run(form, file, lambda line: print(line, flush=True))

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(until_ended())
    except asyncio.CancelledError:
        print(f"interrupted: {file} has the points that were finished, and says that it is partial")
        return 1
    return 0


def numbers(asked: argparse.Namespace) -> dict[str, list[int]]:
    return {key: getattr(asked, key) for key in ("balancers", "peers", "servers") if getattr(asked, key)}


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", nargs="?", choices=("all", "run", "page"), default="all")
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--sources", action="store_true", help="not what is compiled")
    parser.add_argument("--repeats", type=int, default=3)
    for name in ("balancers", "peers", "servers"):
        parser.add_argument(f"--{name}", type=int, nargs="+", help="sizes of the long form, growing")
    parser.add_argument("--out", type=Path, default=DATA)
    parser.add_argument("--compiled", type=Path, default=COMPILED, help=argparse.SUPPRESS)
    asked = parser.parse_args()
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")  # else it tells of each process that is started
    compiled = not asked.sources and (asked.compiled / "roadlb").is_dir()
    sys.path.insert(0, str(asked.compiled if compiled else ROOT))

    from roadlb.lab.capacity import page, runs
    from roadlb.lab.capacity.limits import Impossible

    if asked.what in ("all", "run"):
        try:
            form = runs.small() if asked.small else runs.long(**numbers(asked), repeats=asked.repeats)
            asked.out.parent.mkdir(parents=True, exist_ok=True)
            if code := measured(form, asked.out):
                return code
        except Impossible as e:
            print(f"refused: {e}", file=sys.stderr)
            return 2
    if asked.what in ("all", "page") and not asked.small:
        try:
            page.rewrite(PAGE, asked.out)
        except (page.PageError, FileNotFoundError) as e:
            print(f"no page: {e}", file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
