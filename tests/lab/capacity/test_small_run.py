"""The small form of the scale run on real processes: its counts and bounds, and that nobody is left."""

from __future__ import annotations

import asyncio
import os
import select
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import pytest

from roadlb.lab.agreement.ends import GENEROUS_S
from roadlb.lab.capacity import runs
from roadlb.lab.capacity.control_plane import Plan as ControlPlan
from roadlb.lab.capacity.control_plane import most_within
from roadlb.lab.capacity.limits import Demand
from roadlb.lab.capacity.points import Point, Results, read, write
from roadlb.lab.capacity.processes import Processes
from roadlb.lab.capacity.runs import FOLLOWERS, PEERS, SERVERS, WATCH, Form, Task

ROOT = Path(__file__).parents[3]
CHANGE_BYTES, JOIN_BYTES, RENEWAL_BYTES_S = (
    20_000,
    60_000,
    4_000,
)  # at the most, of one balancer with 24 servers
MEMORY_MB = 256.0


def children() -> Iterator[int]:
    """Processes of ours that run or wait to be asked after."""
    for name in filter(str.isdigit, os.listdir("/proc")):
        try:
            words = Path(f"/proc/{name}/stat").read_text().rpartition(")")[2].split()
        except (FileNotFoundError, ProcessLookupError):
            continue
        if int(words[1]) == os.getpid():
            yield int(name)


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> Results:
    before, file = set(children()), tmp_path_factory.mktemp("capacity") / "small.json"
    found = asyncio.run(runs.run(runs.small(), file, lambda line: None))
    assert set(children()) <= before
    kept = read(file)
    assert not kept.partial and kept.why == "" and kept.form == "small"
    assert [(one.slope, one.point.balancers, one.point.servers) for one in kept.points] == [
        (one.slope, one.point.balancers, one.point.servers) for one in found.points
    ]
    return kept


def test_each_size_has_its_point(results: Results) -> None:
    sizes = {slope: [(p.point.balancers, p.point.servers) for p in results.of(slope)] for slope in
             (FOLLOWERS, PEERS, WATCH, SERVERS)}  # fmt: skip
    assert sizes == {
        FOLLOWERS: [(1, 24), (3, 24), (3, 24)],  # the last is the return
        PEERS: [(2, 24), (4, 24)],
        WATCH: [(1, 24), (1, 48)],
        SERVERS: [(1, 24), (1, 48)],
    }


def test_a_change_comes_to_each_follower_in_bounded_bytes(results: Results) -> None:
    for kept in list(results.of(FOLLOWERS))[:2]:
        figures, count = kept.point.figures, kept.point.balancers
        assert figures["processes"] == 2 + (1 if count == 1 else 2)
        for kind in ("settings", "drain"):
            assert 0 < figures[f"{kind} in B each"] < CHANGE_BYTES
            assert 0 < figures[f"{kind} out B each"] < CHANGE_BYTES
            assert figures[f"{kind} to store B"] > 0
            assert figures[f"{kind} control out B"] == pytest.approx(
                count * figures[f"{kind} in B each"], rel=0.01
            )
        assert 0 < figures["join in B each"] < JOIN_BYTES
        assert 0 < figures["idle in B/s each"] < RENEWAL_BYTES_S
        assert figures["control memory MB"] < MEMORY_MB
        assert figures["control descriptors"] >= count


def test_all_follow_again_after_the_control_service_was_gone(results: Results) -> None:
    figures = list(results.of(FOLLOWERS))[2].point.figures
    assert figures["return dials each"] >= 1
    assert 0 < figures["return in B each"] < JOIN_BYTES


def test_balancers_among_each_other_lose_nothing_and_know_all(results: Results) -> None:
    for kept in results.of(PEERS):
        figures = kept.point.figures
        assert figures["dropped/s each"] == 0
        assert figures["out datagrams/s each"] == pytest.approx(figures["in datagrams/s each"], rel=0.5)
        assert 0 < figures["counts B/s each"] < figures["out B/s each"] < 21_000
        assert figures["processes"] == kept.point.balancers / 2


def test_a_line_of_one_server_does_not_grow_with_the_list(results: Results) -> None:
    few, many = (kept.point.figures for kept in results.of(WATCH))
    assert few["line B"] == pytest.approx(many["line B"], rel=0.05)
    assert many["list B"] == pytest.approx(2 * few["list B"], rel=0.1)
    assert max(few["peak MB"], many["peak MB"]) < MEMORY_MB


def test_an_interrupted_run_keeps_its_points_and_leaves_nobody(tmp_path: Path) -> None:
    file, before = tmp_path / "run.json", set(children())
    plan = ControlPlan((1, 2), (24,), 1, 0.2, each=1)
    form = Form("small", (runs.small().tasks[1], Task(FOLLOWERS, 0, plan, _without_end)), 1)

    async def interrupted() -> None:
        told = asyncio.Event()
        running = asyncio.create_task(
            runs.run(form, file, lambda line: told.set() if FOLLOWERS in line else None)
        )
        await told.wait()
        assert set(children()) - before  # it is in the midst of a deployment
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert running.cancelled()

    asyncio.run(interrupted())
    assert set(children()) <= before
    kept = read(file)
    assert kept.partial and kept.why == "it was interrupted"
    assert [one.slope for one in kept.points] == [PEERS, PEERS, FOLLOWERS]


async def _without_end(folder: Path) -> AsyncIterator[Point]:
    """Its process neither ends with its input nor at SIGTERM."""
    deaf = (
        "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); "
        "print('deaf', flush=True); time.sleep(600)"
    )
    async with Processes(folder) as processes:
        process = await processes.start("deaf", ["-c", deaf])
        assert await process.line() == "deaf"
        yield Point(1, 24, {"figure": 1.0})
        await process.wait()


def test_a_process_that_fails_ends_the_run_with_its_words(tmp_path: Path) -> None:
    before = set(children())

    async def fails(folder: Path) -> AsyncIterator[Point]:
        async with Processes(folder) as processes:
            await processes.start("other", ["-c", "import time; time.sleep(600)"])
            process = await processes.start("failing", ["-c", "raise SystemExit('no room')"])
            yield Point(1, 24, {"figure": 1.0})
            await process.line()

    class Any:
        def demand(self) -> Demand:
            return Demand(1, 1, 1, 24)

    form = Form("small", (Task(FOLLOWERS, 0, Any(), fails),), 1)
    with pytest.raises(RuntimeError, match="no room"):
        asyncio.run(runs.run(form, tmp_path / "run.json", lambda line: None))
    kept = read(tmp_path / "run.json")
    assert kept.partial and "no room" in kept.why and len(kept.points) == 1
    assert set(children()) <= before


def test_a_file_of_another_version_is_not_read(tmp_path: Path) -> None:
    file = tmp_path / "run.json"
    write(Results("small", {}), file)
    assert read(file).partial
    file.write_text(file.read_text().replace('"version": 1', '"version": 0'))
    with pytest.raises(ValueError, match="make the run again"):
        read(file)


def test_the_most_within_a_span_is_counted() -> None:
    assert most_within([], 10) == 0
    assert most_within([0, 5, 10, 11, 30], 10) == 3


RIG = """
import asyncio, sys
from pathlib import Path
from roadlb.lab.capacity.processes import Processes

async def main():
    async with Processes(Path(sys.argv[1])) as processes:
        child = await processes.start("child", ["-c", "import time; time.sleep(600)"], lines=False)
        print(child.pid, flush=True)
        await asyncio.sleep(600)

asyncio.run(main())
"""


def test_a_rig_that_is_killed_leaves_nobody(tmp_path: Path) -> None:
    rig = subprocess.Popen(
        [sys.executable, "-c", RIG, str(tmp_path)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    with rig:
        assert rig.stdout
        child = int(rig.stdout.readline())
        seen = os.pidfd_open(child)  # readable once it has ended
        rig.kill()
    try:
        assert select.select([seen], [], [], GENEROUS_S)[0]
    finally:
        os.close(seen)
