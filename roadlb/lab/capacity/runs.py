"""The whole run: which slopes at which sizes, how often, and how many deployments beside each other."""

from __future__ import annotations

import asyncio
import os
import platform
import time
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Protocol

from ...policy import logic
from . import calibration, control_plane, decisions, members, watching
from .limits import Demand, Impossible, Machine, check, machine
from .points import Kept, Point, Results, write

# Names of slopes.
FOLLOWERS, LISTED = "followers", "listed"  # the control service's, by balancers and by servers
PEERS, PEERS_LISTED = "peers", "peers listed"  # shared state's, by balancers and by servers
WATCH, SERVERS, KEYS, CALIBRATION = "watch", "servers", "keys", "calibration"

SIZES_LEAST, REPEATS = 5, 3
REQUESTS_PER_S = 3_100 / 380  # of one balancer, at the operators' peak


class Plan(Protocol):
    """What is measured in one deployment."""

    def demand(self) -> Demand: ...


@dataclass(frozen=True, slots=True)
class Task:
    slope: str
    repeat: int
    plan: Plan
    measure: Callable[[Path], AsyncIterator[Point]]


@dataclass(frozen=True, slots=True)
class Form:
    """`lanes`: deployments that stand beside each other."""

    name: str
    tasks: tuple[Task, ...]
    lanes: int

    def check(self, here: Machine) -> None:
        """Impossible, with the reason, if this machine cannot bear it."""
        check([task.plan.demand() for task in self.tasks], self.lanes, here)


def long(
    balancers: Sequence[int] = (10, 25, 50, 100, 200),
    peers: Sequence[int] = (10, 20, 40, 80, 120),
    servers: Sequence[int] = (150, 300, 600, 1_200, 2_400),
    repeats: int = REPEATS,
) -> Form:
    """Impossible for under five sizes of a slope, or sizes that do not grow."""
    for name, sizes in (("balancers", balancers), ("peers", peers), ("servers", servers)):
        grows(name, sizes)
        if len(sizes) < SIZES_LEAST:
            raise Impossible(f"{name}: {len(sizes)} sizes show no bend, at least {SIZES_LEAST} are needed")
    if repeats < 1:
        raise Impossible(f"repeats: {repeats} make no run, at least 1 is needed")
    keys = [250, 500, 1_000, 2_000, 3_500]
    every = tuple(servers)
    tasks: list[Task] = []
    for repeat in range(repeats):
        tasks += [
            _control(FOLLOWERS, repeat, control_plane.Plan(tuple(balancers), (240,), 3, returns=True)),
            _control(LISTED, repeat, control_plane.Plan((10,), every, 3)),
            _members(PEERS, repeat, members.Plan(tuple(peers), 60, REQUESTS_PER_S, 4.0)),
            *(
                _members(PEERS_LISTED, repeat, members.Plan((8,), count, REQUESTS_PER_S, 3.0))
                for count in every
            ),
            _watching(repeat, watching.Plan(every, 60, 3, 1.0)),
            _decisions(SERVERS, repeat, decisions.Plan(tuple((count, 3_500) for count in every), 2_000)),
            _decisions(KEYS, repeat, decisions.Plan(tuple((600, count) for count in keys), 2_000)),
            _calibration(repeat, calibration.Plan()),
        ]
    return Form("long", tuple(tasks), 2)


def small() -> Form:
    """A handful of processes, for CI: every slope at two sizes, once."""
    return Form(
        "small",
        (
            _control(FOLLOWERS, 0, control_plane.Plan((1, 3), (24,), 1, 1.5, each=2, returns=True)),
            _members(PEERS, 0, members.Plan((2, 4), 24, REQUESTS_PER_S, 1.5, each=2)),
            _watching(0, watching.Plan((24, 48), 4, 1, 0.2)),
            _decisions(SERVERS, 0, decisions.Plan(((24, 30), (48, 30)), 50)),
        ),
        1,
    )


def grows(name: str, sizes: Sequence[int]) -> None:
    """Impossible unless each is above the one before, and the first above 0."""
    if not sizes or any(after <= before for before, after in zip((0, *sizes), sizes, strict=False)):
        raise Impossible(f"{name}: {', '.join(map(str, sizes)) or 'none'} do not grow from above 0")


async def run(form: Form, file: Path, said: Callable[[str], None]) -> Results:
    """All tasks of the form; after each point the file has what there is, and says that it is partial."""
    form.check(machine())
    results = Results(form.name, described())
    write(results, file)
    waiting, began = list(reversed(form.tasks)), time.monotonic()

    async def lane() -> None:
        while waiting:
            task = waiting.pop()
            with TemporaryDirectory(prefix="roadlb-capacity-") as folder:
                async for point in task.measure(Path(folder)):
                    results.points.append(Kept(task.slope, task.repeat, point))
                    write(results, file)
                    said(
                        f"{time.monotonic() - began:5.0f} s  {task.slope} {task.repeat}: "
                        f"{point.balancers} balancers, {point.servers} servers"
                    )

    try:
        async with asyncio.TaskGroup() as lanes:
            for _ in range(form.lanes):
                lanes.create_task(lane())
    except asyncio.CancelledError:
        results.why = "it was interrupted"
        write(results, file)
        raise
    except BaseExceptionGroup as e:
        results.why = f"{type(e.exceptions[0]).__name__}: {e.exceptions[0]}"
        write(results, file)
        raise e.exceptions[0] from None
    results.partial, results.why = False, ""
    results.machine = {**results.machine, "took s": round(time.monotonic() - began)}
    write(results, file)
    return results


def described() -> dict[str, object]:
    here = machine()
    return {
        "cores used": len(os.sched_getaffinity(0)),
        "cores": os.cpu_count(),
        "memory MB": round(here.memory_bytes / 1e6),
        "load before": round(os.getloadavg()[0], 1),
        "python": platform.python_version(),
        "compiled": not str(logic.__file__).endswith(".py"),
    }


def _control(slope: str, repeat: int, plan: control_plane.Plan) -> Task:
    return Task(slope, repeat, plan, lambda folder: control_plane.measure(plan, folder))


def _members(slope: str, repeat: int, plan: members.Plan) -> Task:
    return Task(slope, repeat, plan, lambda folder: members.measure(plan, folder))


def _watching(repeat: int, plan: watching.Plan) -> Task:
    return Task(WATCH, repeat, plan, lambda folder: watching.measure(plan, folder))


def _decisions(slope: str, repeat: int, plan: decisions.Plan) -> Task:
    return Task(slope, repeat, plan, lambda folder: decisions.measure(plan, folder))


def _calibration(repeat: int, plan: calibration.Plan) -> Task:
    return Task(CALIBRATION, repeat, plan, lambda folder: calibration.measure(plan, folder))
