"""A class is narrowed to at most once while its requests fail, and widened again: six whole balancers, real
processes, judged by what nodes read.

Nodes break the connection of each request in BREAK at its first coming, so that a class that may be repeated
is repeated all the time.  A request's second coming, anywhere, is a repeat.  Versions that change nothing but
`classes.0.effect` are ordered in turn, while one balancer is cut off from all control services and one is
stopped right behind the bytes of a client's request, until the narrow version is in force.

    claim     what must hold
    complete  once the store holds the narrow version in force no repeat is read, from any balancer, until the
              wide one is ordered: whoever did not hear of it has no lease
    bound     the last repeat of each balancer is read within the bound from the order's answer
    returns   once the wide version is in force, every balancer repeats again

A node reads what has lain before it for as long as this loop was held up: that (`late_us`) counts against
nobody.  The defect `deaf` of a balancer must be found.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from ...clock import monotonic_us
from ..parties.http import CORRELATION_ID, Message
from ..parties.links import reset
from .deployment import Deployment, settings
from .ends import GENEROUS_S, DidNotCome
from .judge import Sent
from .parties import Node, Nodes
from .watch import HOST
from .whole import Whole

BREAK = 5
WIDE, NARROW = "idempotent", "at_most_once"
PATH = "classes.0.effect"
LOOK_S = 0.02
AGAIN_S = 0.2  # after an order that nobody took
PAST_S = 1.0  # behind what must be over: what must not be comes


class Breaking(Node):
    """One connection of a node that breaks some requests, and tells which it has met before."""

    def __init__(self, nodes: BreakingNodes) -> None:
        super().__init__(lambda balancer, customer: 0.0)
        self._nodes = nodes

    def answer(self, message: Message) -> None:
        id = message.headers.get(CORRELATION_ID.lower(), "")
        if id.count(".") != 2 or self._nodes.met(id):
            super().answer(message)
        else:
            reset(self.transport)


class BreakingNodes(Nodes):
    """`sent`: each request by its balancer; `repeats`: each that was met before."""

    def __init__(self) -> None:
        super().__init__()
        self.repeats: list[Sent] = []
        self._met: set[str] = set()

    def met(self, id: str) -> bool:
        """Is this one to be answered?"""
        one = Sent(monotonic_us(), id.partition(".")[0], id)
        self.sent.append(one)
        if id in self._met:
            self.repeats.append(one)
            return True
        self._met.add(id)
        return int(id.rpartition("x")[2]) % BREAK > 0

    async def start(self, name: str) -> int:
        server = await asyncio.get_running_loop().create_server(lambda: Breaking(self), HOST, 0)
        self.servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port


class Narrowing(Whole):
    """`propose(1)` narrows the class, `propose(0)` widens it."""

    period_s = 0.05

    def __init__(
        self, folder: Path, contradiction_s: float, margin_s: float, defects: dict[str, str] | None
    ) -> None:
        super().__init__(folder, contradiction_s, margin_s, defects)
        self.nodes = self.breaking = BreakingNodes()

    async def __aenter__(self) -> Narrowing:
        await super().__aenter__()
        return self

    def settings(self, gives: int | None) -> dict[str, Any]:
        told = settings(None)
        told["classes"][0]["effect"] = NARROW if gives else WIDE
        return told

    async def order(self, narrow: bool) -> tuple[int, int]:
        """When it was ordered, and when that was answered."""
        ordered = self.note(f"order: {NARROW if narrow else WIDE}")
        while answer := await self.propose(int(narrow)):
            if monotonic_us() > ordered + GENEROUS_S * 1e6:
                raise DidNotCome(f"the order is taken ({answer})", GENEROUS_S)
            await asyncio.sleep(AGAIN_S)
        return ordered, self.note("answered")

    async def in_force(self, effect: str) -> int:
        """When it was seen to be."""
        end = monotonic_us() + GENEROUS_S * 1e6
        while True:
            seen = await self.seen()
            if (
                seen is not None
                and seen.force is not None
                and (seen.force.contents.settings.get(PATH) == effect)
            ):
                return self.note(f"in force: {effect}")
            if monotonic_us() > end:
                raise DidNotCome(f"{effect} is in force", GENEROUS_S)
            await asyncio.sleep(LOOK_S)

    def repeated(self, since: int) -> set[str]:
        return {one.balancer for one in self.breaking.repeats if one.at >= since}


@dataclass(frozen=True, slots=True)
class Turned:
    """One narrowing and the widening after it, in us.

    `force`, `widened`: from the order until it was seen in force.  `last`: of each balancer, from the order
    to its last repeat (0: none after it); `after`: of each repeat read once the narrow version was in force,
    how long after; `first`: of each balancer, from the wide version's order to its first repeat after that.
    `hurt`: those cut off and stopped.  `late`: the longest that this loop was held up meanwhile.
    """

    force_us: int
    answered_us: int
    last_us: dict[str, int]
    after_us: tuple[int, ...]
    widened_us: int
    first_us: dict[str, int]
    late_us: int
    hurt: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Outcome:
    seed: int
    turns: tuple[Turned, ...]
    requests: int
    repeats: int
    answers: dict[int, int]
    bound_us: int
    notes: tuple[tuple[int, str], ...]

    @property
    def sound(self) -> bool:
        return all(
            max(turn.after_us, default=0) <= turn.late_us
            and max(turn.last_us.values()) - turn.answered_us <= self.bound_us + turn.late_us
            for turn in self.turns
        )


async def play(
    seed: int,
    turns: int = 2,
    contradiction_s: float = 3.0,
    margin_s: float = 0.4,
    faulty: bool = True,
    defects: dict[str, str] | None = None,
) -> Outcome:
    random = Random(seed)
    with TemporaryDirectory(prefix="roadlb-narrowing-") as folder:
        async with Narrowing(Path(folder), contradiction_s, margin_s, defects) as it:
            names = sorted(one for one in it.children if one.startswith("balancer"))
            begun = it.note("begun")
            await it.until("every balancer repeats", lambda: it.repeated(begun) == set(names))
            found = [await _turn(it, random, names, faulty) for _ in range(turns)]
            answers: dict[int, int] = {}
            for client in it.clients:
                for status, count in client.answers.items():
                    answers[status] = answers.get(status, 0) + count
            return Outcome(
                seed,
                tuple(found),
                len(it.breaking.sent),
                len(it.breaking.repeats),
                answers,
                round(contradiction_s * 1e6),
                tuple(it.notes),
            )


async def _turn(it: Narrowing, random: Random, names: list[str], faulty: bool) -> Turned:
    it.beat.late_us = 0  # by which all was held up as it began
    hurt = tuple(random.sample(names, 2)) if faulty else ()
    await asyncio.sleep(random.uniform(0.0, it.contradiction_s / 4))  # somewhere in a lease
    if hurt:
        _cut(it, hurt[0], True)
        it.stop(hurt[1])
        await asyncio.sleep(random.uniform(0.0, 0.2))
    ordered, answered = await it.order(True)
    force = await it.in_force(NARROW)
    if hurt:
        it.children[hurt[1]].go_on()
        await asyncio.sleep(random.uniform(0.0, PAST_S))
        _cut(it, hurt[0], False)
    await asyncio.sleep(PAST_S + it.beat.late_us / 1e6)
    widened, _ = await it.order(False)
    late_us = it.beat.late_us
    repeats = [one for one in it.breaking.repeats if one.at >= ordered]
    narrow = [one for one in repeats if one.at < widened]
    wide = await it.in_force(WIDE)
    await it.until("every balancer repeats again", lambda: it.repeated(wide) == set(names))
    later = [one for one in it.breaking.repeats if one.at >= widened]
    return Turned(
        force - ordered,
        answered - ordered,
        {
            name: max((one.at - ordered for one in narrow if one.balancer == name), default=0)
            for name in names
        },
        tuple(one.at - force for one in narrow if one.at > force),
        wide - widened,
        {name: min(one.at - widened for one in later if one.balancer == name) for name in names},
        late_us,
        hurt,
    )


def _cut(it: Deployment, balancer: str, on: bool) -> None:
    for both, link in it.links.items():
        if both.startswith(f"{balancer} to "):
            if on:
                link.drop()
            else:
                link.heal()
