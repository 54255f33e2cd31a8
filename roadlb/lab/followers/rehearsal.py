"""One incident with balancers that follow versions, with the control service there, or away for a time."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ...agreement.events import Standing
from ...agreement.lease import timing_for
from ...app import App
from ...clock import Clock
from ...config import Agreement, Config, Pairs, read_agreement
from ...xds.grpc import dial as grpc
from ..incident import Incident, rules_of
from ..judge import Judge, Verdict
from ..run.drawn import draw
from ..run.rehearsal import heard
from ..run.settings import settings_of
from ..run.sim_world import START_US, SimWorld, generators
from ..run.stage import Stage
from ..run.world import Role
from ..sim import SimLoop
from ..wire import WireLog
from .control import Control

CONTRADICTION_S = 5.0
LOOK_S = 0.25  # between looks at how balancers stand


class Loop(SimLoop):
    """What a thread would do for a balancer's store is done at once."""

    def run_in_executor(  # type: ignore[override]
        self,
        executor: Any,
        func: Callable[..., Any],
        *args: Any,
    ) -> asyncio.Future[Any]:
        done = self.create_future()
        try:
            done.set_result(func(*args))
        except OSError as e:
            done.set_exception(e)
        return done


@dataclass(slots=True)
class Plan:
    """`away`: seconds after arrivals begin, from when until when the control service is away; None: never.
    `floors` as operators state them; `stores`: balancers keep what they are told, across their restarts."""

    away: tuple[float, float] | None = None
    floors: Mapping[str, str] = field(default_factory=dict)
    stores: bool = False


@dataclass(slots=True)
class Played:
    """`standings`: so many looks found a balancer of this standing while control was away, and otherwise."""

    log: WireLog
    verdict: Verdict
    origin_us: int
    standings: dict[tuple[bool, Standing], int]
    errors: list[str]


def play(incident: Incident, seed: int, plan: Plan) -> Played:
    log, judge = WireLog(), Judge(rules_of(incident))
    folder = Path(tempfile.mkdtemp(prefix="roadlb-followers-"))
    try:
        with heard() as errors, asyncio.Runner(loop_factory=lambda: Loop(seed, start_us=START_US)) as runner:
            origin_us, end_us, standings = runner.run(_played(incident, seed, plan, log, folder))
            found = list(errors)
    finally:
        shutil.rmtree(folder)
    for event in log:
        judge.see(event)
    return Played(log, judge.verdict(end_us), origin_us, standings, found)


async def _played(
    incident: Incident, seed: int, plan: Plan, log: WireLog, folder: Path
) -> tuple[int, int, dict[tuple[bool, Standing], int]]:
    settings = Pairs.from_json(settings_of(incident, 0, incident.network.halls[0])).values
    made: list[App] = []
    drawn = draw(incident, generators(seed))

    def app(config: Config, clock: Clock, wall: Clock, cpu_us: Clock) -> App:
        told = _agreement(plan, settings, folder / config.name)
        made.append(App(replace(config, agreement=told), clock=clock, wall=wall, cpu_us=cpu_us))
        return made[-1]

    stage = Stage(incident, drawn, world := SimWorld(incident, drawn, app), log)
    place = world.machine("control", incident.network.halls[0], Role.AGENT)
    control = Control(
        stage.registry, settings, timing_for(CONTRADICTION_S), plan.floors, world.clock, place.call
    )
    real, vars(grpc)["dial"] = grpc.dial, control.dial  # which App looks up as it starts
    tasks = [place.run(control.run())]
    standings: dict[tuple[bool, Standing], int] = {}
    try:
        place.run(_away(plan, control, stage))
        tasks.append(asyncio.create_task(_looks(made, control, standings, stage)))
        await stage.play()
    finally:
        vars(grpc)["dial"] = real
        end_us = stage.world.clock()
        for one in made:
            if one.following is not None and one.following.lock is not None:
                one.following.lock.release()
        await stage.end()
    return stage.origin_us, end_us, standings


async def _away(plan: Plan, control: Control, stage: Stage) -> None:
    while not stage.origin_us:
        await asyncio.sleep(0.01)
    if plan.away is not None:
        await asyncio.sleep(plan.away[0])
        control.go()
        await asyncio.sleep(plan.away[1] - plan.away[0])
        control.away = False


async def _looks(
    made: list[App], control: Control, standings: dict[tuple[bool, Standing], int], stage: Stage
) -> None:
    while True:
        await asyncio.sleep(LOOK_S)
        if stage.origin_us:
            for app in made:
                if app.following is not None:
                    key = control.away, app.following.view().standing
                    standings[key] = standings.get(key, 0) + 1


def _agreement(plan: Plan, settings: Mapping[str, str], store: Path) -> Agreement:
    raw: dict[str, Any] = {
        "control": ["10.0.0.1:1"],
        "contradiction_s": CONTRADICTION_S,
        "floors": dict(plan.floors),
    }
    return read_agreement(raw | ({"store": str(store)} if plan.stores else {}), settings)


__all__ = ["CONTRADICTION_S", "Plan", "Played", "play"]
