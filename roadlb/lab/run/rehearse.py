"""`rehearse`: one incident, one seed, one world; what crossed the wire, and what the judge says of it."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, Literal

from ...app import App
from ..incident import Incident, rules_of
from ..judge import Judge, Verdict
from ..wire import WireLog
from .drawn import draw
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
    log.listen(judge.see)
    began = time.perf_counter()
    if world == "sim":
        origin_us, end_us, figures = _simulated(incident, seed, log, app)
    else:
        raise NotImplementedError(world)
    figures["took_s"] = time.perf_counter() - began
    return Rehearsal(log, judge.verdict(end_us), origin_us, figures)


def _simulated(incident: Incident, seed: int, log: WireLog, app: AppFactory
               ) -> tuple[int, int, dict[str, Any]]:
    async def play() -> tuple[int, int, dict[str, Any]]:
        drawn = draw(incident, generators(seed))
        world = SimWorld(incident, drawn, app)
        stage = Stage(incident, drawn, world, log)
        try:
            await stage.play()
        finally:
            end_us = world.clock()
            world.end()
        # What dead programs say while the loop is closed counts no more.
        return stage.origin_us, end_us, stage.figures() | {"program_errors": list(errors)}

    with heard() as errors, asyncio.Runner(loop_factory=lambda: new_loop(seed)) as runner:
        return runner.run(play())


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
