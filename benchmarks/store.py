"""What keeping one change costs, fsync included: the store beside SQLite, LMDB and whole snapshots.

    python benchmarks/store.py [--nodes 200,1000,10000] [--changes 300] [--directory DIR]

A change is one resource of 64 nodes and one drain.  Each way runs in a process of its own, round after round
on the same disk; times are also told as ratios to a bare append of the same bytes with fsync.  LMDB (package
`lmdb`) is left out where it is not installed.
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from roadlb.counters import Counters
from roadlb.store.disk import Directory
from roadlb.store.forms import write_state
from roadlb.store.state import Change, Drain, Version, after
from roadlb.store.store import Store

BODY_BYTES, NODES_EACH = 5_000, 64
Step = Callable[[int, str, bytes], None]


def bare(directory: Path, resources: dict[str, bytes]) -> Step:
    file = os.open(directory / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def step(number: int, name: str, body: bytes) -> None:
        os.write(file, body)
        os.fsync(file)

    return step


def own(directory: Path, resources: dict[str, bytes]) -> Step:
    store = Store(Directory(directory), "n1", Counters())
    store.open()
    store.put(Change(0, Version("0", 1, 0, resources)))

    def step(number: int, name: str, body: bytes) -> None:
        held = store.state.version
        assert held is not None
        store.put(
            Change(
                number,
                Version(str(number), 1, number, {**held.resources, name: body}),
                drains={f"node-{number}": Drain(number, number)},
            )
        )

    return step


def whole(directory: Path, resources: dict[str, bytes]) -> Step:
    disk, state = (
        Directory(directory),
        after(
            Store(None, "n1", Counters()).state,  # type: ignore[arg-type]
            Change(0, Version("0", 1, 0, resources)),
        ),
    )

    def step(number: int, name: str, body: bytes) -> None:
        nonlocal state
        assert state.version is not None
        state = after(
            state,
            Change(
                number,
                Version(str(number), 1, number, {**state.version.resources, name: body}),
                drains={f"node-{number}": Drain(number, number)},
            ),
        )
        disk.write("new", write_state(state, {}))
        disk.sync("new")
        disk.rename("new", "snap")
        disk.sync_names()

    return step


def sqlite(journal: str) -> Callable[[Path, dict[str, bytes]], Step]:
    def make(directory: Path, resources: dict[str, bytes]) -> Step:
        base = sqlite3.connect(directory / "store.db", isolation_level=None)
        base.execute(f"PRAGMA journal_mode={journal}")
        base.execute("PRAGMA synchronous=FULL")
        base.execute("CREATE TABLE resource (name TEXT PRIMARY KEY, body BLOB)")
        base.execute("CREATE TABLE drain (name TEXT PRIMARY KEY, started INT, told INT)")
        base.executemany("INSERT INTO resource VALUES (?, ?)", resources.items())

        def step(number: int, name: str, body: bytes) -> None:
            base.execute("BEGIN")
            base.execute("INSERT OR REPLACE INTO resource VALUES (?, ?)", (name, body))
            base.execute("INSERT OR REPLACE INTO drain VALUES (?, ?, ?)", (f"node-{number}", number, number))
            base.execute("COMMIT")

        return step

    return make


def lmdb(directory: Path, resources: dict[str, bytes]) -> Step:
    import lmdb as package  # type: ignore[import-not-found]

    base = package.open(str(directory / "lmdb"), map_size=64 << 20)
    with base.begin(write=True) as transaction:
        for name, body in resources.items():
            transaction.put(name.encode(), body)

    def step(number: int, name: str, body: bytes) -> None:
        with base.begin(write=True) as transaction:
            transaction.put(name.encode(), body)
            transaction.put(b"drain/%d" % number, b"%d" % number)

    return step


WAYS: dict[str, Callable[[Path, dict[str, bytes]], Step]] = {
    "bare append": bare,
    "store": own,
    "whole snapshot": whole,
    "sqlite, wal": sqlite("WAL"),
    "sqlite, delete": sqlite("DELETE"),
    "lmdb": lmdb,
}


def one(way: str, nodes: int, changes: int, directory: Path) -> dict[str, float]:
    """One way in this process."""
    names = [f"nodes/{i}" for i in range(-(-nodes // NODES_EACH))]
    step = WAYS[way](directory, {name: os.urandom(BODY_BYTES) for name in names})
    bodies = [os.urandom(BODY_BYTES) for _ in range(16)]
    before, cpu, times = resource.getrusage(resource.RUSAGE_SELF), time.process_time(), []
    for i in range(changes):
        began = time.perf_counter()
        step(i + 1, names[i % len(names)], bodies[i % 16])
        times.append((time.perf_counter() - began) * 1e6)
    times.sort()
    after_it = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "p50": times[len(times) // 2],
        "p99": times[int(len(times) * 0.99)],
        "cpu": (time.process_time() - cpu) / changes * 1e6,
        "rss": after_it.ru_maxrss / 1024,
        "grew": (after_it.ru_maxrss - before.ru_maxrss) / 1024,
        "disk": sum(f.stat().st_blocks * 512 for f in directory.rglob("*") if f.is_file()) / 1e6,
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--nodes", default="200,1000,10000")
    parser.add_argument("--changes", type=int, default=300)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--directory")
    parser.add_argument("--one")
    options = parser.parse_args()
    if options.one:
        print(json.dumps(one(options.one, int(options.nodes), options.changes, Path(options.directory))))
        return
    for nodes in options.nodes.split(","):
        found: dict[str, list[dict[str, float]]] = {way: [] for way in WAYS}
        for _ in range(options.rounds):
            for way in WAYS:
                with tempfile.TemporaryDirectory(dir=options.directory) as directory:
                    done = subprocess.run(
                        [
                            sys.executable,
                            __file__,
                            "--one",
                            way,
                            "--nodes",
                            nodes,
                            "--changes",
                            str(options.changes),
                            "--directory",
                            directory,
                        ],
                        capture_output=True,
                        text=True,
                    )
                if done.returncode == 0:
                    found[way].append(json.loads(done.stdout))
        bare_p50 = statistics.median(r["p50"] for r in found["bare append"])
        for way, rounds in found.items():
            if rounds:
                mean = {key: statistics.median(r[key] for r in rounds) for key in rounds[0]}
                print(
                    f"{nodes:>6} nodes  {way:15} p50 {mean['p50']:7.0f} us"
                    f" ({mean['p50'] / bare_p50:4.1f} x)"
                    f"  p99 {mean['p99']:7.0f} us  CPU {mean['cpu']:6.0f} us"
                    f"  memory {mean['rss']:5.1f} MB (+{mean['grew']:.1f})"
                    f"  disk {mean['disk']:5.1f} MB",
                    flush=True,
                )
            else:
                print(f"{nodes:>6} nodes  {way:15} not installed")


if __name__ == "__main__":
    main()
