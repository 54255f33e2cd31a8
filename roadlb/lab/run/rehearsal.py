"""`rehearse`: one incident, one seed, one world; what crossed the wire, and what the judge says of it."""

from __future__ import annotations

import asyncio
import gc
import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Literal

import uvloop

from ...app import App
from ..incident import Incident, rules_of
from ..judge import Judge, Verdict
from ..wire import WireLog
from .drawn import draw
from .real_world import RealWorld
from .sim_world import AppFactory, SimWorld, generators, new_loop
from .stage import Stage

WorldName = Literal["sim", "real"]


@dataclass(slots=True)
class Rehearsal:
    """What a run leaves behind.

    `origin_us`: the clock when arrivals began.  `figures`: what is no rule's and no worth's, such as the
    programs' own counters, rude clients' tallies, and how long the run took.
    """

    log: WireLog
    verdict: Verdict
    origin_us: int
    figures: dict[str, Any] = field(default_factory=dict)


def rehearse(incident: Incident, seed: int, world: WorldName = "sim", app: AppFactory = App) -> Rehearsal:
    """Play an incident.  `app` makes each balancer of the simulated world: tests hand in faulty ones."""
    log, judge = WireLog(), Judge(rules_of(incident))
    began = time.perf_counter()
    if world == "sim":
        origin_us, end_us, figures = _simulated(incident, seed, log, app)
    else:
        origin_us, end_us, figures = _in_real_time(incident, seed, log)
    for event in log:  # after the run: in real time it would hold the parties up
        judge.see(event)
    figures["took_s"] = time.perf_counter() - began
    return Rehearsal(log, judge.verdict(end_us), origin_us, figures)


def _simulated(
    incident: Incident, seed: int, log: WireLog, app: AppFactory
) -> tuple[int, int, dict[str, Any]]:
    async def play() -> tuple[int, int, dict[str, Any]]:
        drawn = draw(incident, generators(seed))
        world = SimWorld(incident, drawn, app)
        stage = Stage(incident, drawn, world, log)
        end_us = await _played(stage)
        # What dead programs say while the loop is closed counts no more.
        return stage.origin_us, end_us, stage.figures() | {"program_errors": list(errors)}

    with heard() as errors, asyncio.Runner(loop_factory=lambda: new_loop(seed)) as runner:
        return runner.run(play())


def _in_real_time(incident: Incident, seed: int, log: WireLog) -> tuple[int, int, dict[str, Any]]:
    async def play(folder: Path) -> tuple[int, int, dict[str, Any]]:
        random = generators(seed)
        drawn = draw(incident, random)
        stage = Stage(incident, drawn, RealWorld(drawn, log, folder, random), log)
        end_us = await _played(stage)
        return stage.origin_us, end_us, stage.figures() | {"program_errors": []}

    gc.collect()
    gc.disable()  # a full collection holds everything up for tens of milliseconds
    try:
        with (
            TemporaryDirectory(prefix="roadlb-lab-") as folder,
            asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
        ):
            return runner.run(play(Path(folder)))
    finally:
        gc.enable()


async def _played(stage: Stage) -> int:
    """Play it, and take it down whatever happens; the clock at its end."""
    try:
        await stage.play()
    finally:
        end_us = stage.world.clock()
        await stage.end()
    return end_us


@contextmanager
def heard() -> Iterator[list[str]]:
    """The errors that the program logs meanwhile; nothing of it goes anywhere else."""
    faults: list[str] = []

    class Ear(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            faults.append(self.format(record))

    logger, ear = logging.getLogger("roadlb"), Ear(logging.ERROR)
    level, propagate = logger.level, logger.propagate
    logger.addHandler(ear)
    logger.setLevel(logging.ERROR)
    logger.propagate = False
    try:
        yield faults
    finally:
        logger.removeHandler(ear)
        logger.setLevel(level)
        logger.propagate = propagate
