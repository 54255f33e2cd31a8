"""Runs of the lab in processes of their own, with the sources of a tree: a job as JSON goes in by stdin,
figures as JSON come out by stdout.

A job has `incident`, a file's text, and `seed`; `connections`, if there: of the clients of one hall at the
most, where the lab's own is 300.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from roadlb.lab.incident import Incident

Job = dict[str, Any]


def answer(played: Callable[[Job, Incident], dict[str, Any]]) -> None:
    """In the process of a run: its job is taken, and its figures told."""
    from roadlb.lab.incident import load
    from roadlb.lab.run import crowd

    job = json.load(sys.stdin)
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(job["incident"])
        file.flush()
        incident = load(file.name)
    if connections := job.get("connections"):
        crowd.Clients = partial(crowd.Clients, most=connections)  # type: ignore[misc, assignment]
    json.dump(played(job, incident), sys.stdout)


def ask(
    words: Sequence[str | Path], job: Job, tree: Path, more: Mapping[str, str] | None = None
) -> dict[str, Any]:
    """One run.  `words`: the script that answers, and its words; `more`: variables of its environment.
    RuntimeError with the end of what it said, where it failed."""
    done = subprocess.run(
        [sys.executable, *map(str, words)],
        input=json.dumps(job),
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(tree), **(more or {})},
    )
    if done.returncode:
        raise RuntimeError(f"seed {job['seed']} with {tree.name}: {done.stderr[-2000:]}")
    found: dict[str, Any] = json.loads(done.stdout)
    return found


def ask_all(
    words: Sequence[str | Path], jobs: Sequence[Job], tree: Path, processes: int = 2
) -> list[dict[str, Any]]:
    """Results in the jobs' order, so many runs at a time."""
    with ThreadPoolExecutor(processes) as pool:
        return list(pool.map(lambda job: ask(words, job, tree), jobs))
