"""How each kind of step is played on a stage."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from ..incident import steps as s
from ..incident.targets import chosen, deploy_batches, shrink_times
from ..model.spec import Spoil
from .balancers import Standing as BalancerStanding
from .fleet import Ailment, Life
from .fleet import Standing as NodeStanding
from .world import Role

if TYPE_CHECKING:
    from .stage import Stage


class Player:
    """Plays one step, which has just begun; what it chooses is drawn from the run's seed and its number."""

    def __init__(self, stage: Stage, number: int) -> None:
        self._stage, self._fleet, self._balancers = stage, stage.fleet, stage.balancers
        self._rng = stage.world.random(f"step {number}")
        self._began_s = asyncio.get_running_loop().time()
        self._plays: dict[type[s.Step], Callable[[Any], Coroutine[Any, Any, None]]] = {
            s.Deploy: self._deploy,
            s.Shrink: self._shrink,
            s.BalancerCrash: self._crash,
            s.BalancerRestart: self._restart,
            s.BalancerDrain: self._drain,
            s.Pause: self._pause,
            s.Slow: self._slow,
            s.CutHall: self._cut_hall,
            s.DiscoveryOutage: self._outage,
            s.DiscoveryMove: self._move,
            s.Flood: self._flood,
            s.Errors: self._errors,
            s.Spoilt: self._spoilt,
            s.Reset: self._reset,
            s.Rude: self._rude,
            s.KillNode: self._kill,
            s.LoseHall: self._lose_hall,
        }

    async def play(self, step: s.Step) -> None:
        await self._plays[type(step)](step)

    async def _until(self, second: float) -> None:
        """Sleep until so long after the step began."""
        await asyncio.sleep(max(0.0, self._began_s + second - asyncio.get_running_loop().time()))

    async def _hold(self, for_s: float | None, ends: list[Callable[[], None]]) -> None:
        """What has begun holds for a time, or to the end of the run."""
        if for_s is not None:
            await self._until(for_s)
            for end in ends:
                end()

    def _held_at(self, list_age_s: float) -> int | None:
        """When balancers that are killed now held the list that they return with; None: now."""
        return self._stage.world.clock() - round(list_age_s * 1e6) if list_age_s else None

    def _nodes(self, step: s.AtNodes) -> list[NodeStanding]:
        return chosen(step, self._fleet.there.values(), self._rng)

    # Nodes

    async def _deploy(self, step: s.Deploy) -> None:
        whom = chosen(step, self._fleet.up, self._rng)
        batches = deploy_batches(step, whom, len(self._fleet.up))
        async with asyncio.TaskGroup() as group:
            for at_s, batch in batches:
                await self._until(at_s - step.at_s)
                for one in batch:
                    group.create_task(self._replace(one, step))

    async def _replace(self, one: NodeStanding, step: s.Deploy) -> None:
        """One that was shrunk away, or fell, before its turn came is left out."""
        if one.life is not Life.UP:
            return
        self._fleet.awaited += 1
        await self._leave(one, step.drain_s)
        await self._fleet.succeed(one, step.address == "same")
        self._fleet.awaited -= 1

    async def _shrink(self, step: s.Shrink) -> None:
        fleet = self._fleet
        async with asyncio.TaskGroup() as group:
            for at_s in shrink_times(step, len(fleet.up) + fleet.awaited):
                await self._until(at_s - step.at_s)
                if len(fleet.up) + fleet.awaited > 1 and fleet.up:
                    group.create_task(self._leave(self._rng.choice(fleet.up), step.drain_s))

    async def _leave(self, one: NodeStanding, drain_s: float) -> None:
        self._fleet.drain(one)
        await asyncio.sleep(drain_s)
        self._fleet.stop(one)

    async def _kill(self, step: s.KillNode) -> None:
        whom = self._nodes(step)
        for one in whom:
            self._fleet.stop(one, step.silent)
        if step.back_after_s is not None:
            await self._until(step.back_after_s)
            for one in whom:
                await self._fleet.back(one)

    async def _lose_hall(self, step: s.LoseHall) -> None:
        give_back = self._stage.lose(step.hall, self._held_at(step.list_age_s))
        if step.back_after_s is not None:
            await self._until(step.back_after_s)
            await give_back()

    async def _slow(self, step: s.Slow) -> None:
        await self._hold(step.for_s, [self._fleet.slow(one, step.factor) for one in self._nodes(step)])

    async def _errors(self, step: s.Errors) -> None:
        ailment = Ailment(errors=step.answers)
        await self._hold(step.for_s, [self._fleet.ail(one, ailment) for one in self._nodes(step)])

    async def _spoilt(self, step: s.Spoilt) -> None:
        ailment = Ailment(spoilt=step.answers, kinds=tuple(Spoil(kind) for kind in step.kinds))
        await self._hold(step.for_s, [self._fleet.ail(one, ailment) for one in self._nodes(step)])

    async def _pause(self, step: s.Pause) -> None:
        if step.what == "nodes":
            ends = [self._fleet.pause(one) for one in self._nodes(step)]
        else:
            told = s.AtBalancers(
                at_s=step.at_s, share=step.share, count=step.count, hall=step.hall, balancers=step.balancers
            )
            ends = [self._balancers.pause(one) for one in chosen(told, self._balancers.running, self._rng)]
        await self._hold(step.for_s, ends)

    # Balancers

    async def _crash(self, step: s.BalancerCrash) -> None:
        whom = chosen(step, self._balancers.running, self._rng)
        held_at = self._held_at(step.list_age_s)
        for one in whom:
            self._balancers.kill(one)
        if step.back:
            await self._until(step.back_after_s)
            for one in whom:
                self._balancers.start_again(one, held_at)

    async def _in_turn(
        self,
        step: s.BalancerRestart | s.BalancerDrain,
        each: Callable[[BalancerStanding, Any], Coroutine[Any, Any, None]],
    ) -> None:
        """What befalls the balancers chosen, one after another."""
        async with asyncio.TaskGroup() as group:
            for number, one in enumerate(chosen(step, self._balancers.running, self._rng)):
                await self._until(number * step.every_s)
                group.create_task(each(one, step))

    async def _restart(self, step: s.BalancerRestart) -> None:
        await self._in_turn(step, self._restart_one)

    async def _restart_one(self, one: BalancerStanding, step: s.BalancerRestart) -> None:
        if not one.runs:
            return  # it has crashed meanwhile, and another step has it
        start = one.starts
        self._balancers.terminate(one)
        await self._balancers.gone(one, step.kill_after_s)
        if one.starts == start:
            self._balancers.kill(one)
            await asyncio.sleep(step.down_s)
            self._balancers.start_again(one)

    async def _drain(self, step: s.BalancerDrain) -> None:
        await self._in_turn(step, self._drain_one)

    async def _drain_one(self, one: BalancerStanding, step: s.BalancerDrain) -> None:
        end = self._balancers.drain(one)
        await asyncio.sleep(step.for_s)
        end()

    # Network, discovery, clients

    async def _cut_hall(self, step: s.CutHall) -> None:
        self._fleet.cut(step.hall)
        cut_off = self._balancers.cut(self._stage.world.cut(step.hall))

        def heal() -> None:
            self._stage.world.heal(step.hall)
            self._fleet.heal(step.hall)
            self._balancers.heal(cut_off)

        await self._hold(step.for_s, [heal])

    async def _outage(self, step: s.DiscoveryOutage) -> None:
        await self._hold(step.for_s, [self._stage.silence()])

    async def _move(self, step: s.DiscoveryMove) -> None:
        for one in self._balancers.all:
            await self._balancers.move(one, step.old_closes_s)

    async def _flood(self, step: s.Flood) -> None:
        await self._hold(step.for_s, [self._stage.crowd.flood(step)])

    async def _rude(self, step: s.Rude) -> None:
        for_s = self._stage.incident.duration_s - step.at_s if step.for_s is None else step.for_s
        await self._stage.crowd.be_rude(step, for_s)

    async def _reset(self, step: s.Reset) -> None:
        between = Role.NODE if step.between == "nodes" else Role.CLIENTS
        for name in self._stage.world.reset(step.connections, between, step.hall):
            if between is Role.CLIENTS:
                self._balancers.state_of(name, "reset")
