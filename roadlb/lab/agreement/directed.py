"""Directed plays: each brings about the moment in which planted defects show, at every seed.

    play      what befalls                                                    claims of judge.py and whole.py
    cut       balancers are cut off from all control services, their wall     bound, instant
              clocks are set back, and a turn is ordered
    split     the leader loses the store and keeps one balancer, which hears  bound, instant
              nobody else; once another leads, a turn is ordered
    killed    a node drains; balancers whose disks are slow are killed right  complete
              behind their acknowledgement and come back cut off
    mute      the store is silent for longer than a seat, and a node drains   bound

Who is cut off, split or killed, when in a lease, and which node drains are the seed's.  Times of a turn count
from the *answer* to its order, before which it had begun, so that what is over the bound is so by any count.

Whom a busy machine holds up for longer than its lease is not waited for, and a leader held up for longer than
its seat is followed by another.  Where a play needs a drain that all have acknowledged before it is in force,
and one of these came between, it is begun anew (`undisturbed`): nothing was judged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any, TypeVar

from ...clock import monotonic_us
from ...fleet.steps import up
from ...xds.codec.versions import PREPARED, STRUCT
from ..run.link import Link
from . import whole
from .deployment import BALANCERS, CONTROLS, NODES, Deployment
from .ends import GENEROUS_S, DidNotCome, ends
from .follower import SET_BACK, SLOW
from .judge import Sent, Turn, judge
from .parties import Beat

TAKES, GIVES = "customer-0", "customer-1"
AGAIN_S = 0.2  # after an order that nobody took
PAST_S = 0.5  # behind the bound, and behind the first that is granted: what must not be comes
REST_S = 1.0  # a store on which nothing was written for so long holds what there was to keep
ATTEMPTS = 4  # of a play whose moment did not come, as somebody was held up
WATCHED = 40  # requests to other nodes of one that has come back: 2 s of them
DEFECTS = {
    "cut": ("balancer=floor", "balancer=wall", "balancer=deaf", "control=early"),
    "split": ("control=unfenced",),
    "killed": ("balancer=forgetful",),
    "mute": ("control=mute",),
}


@dataclass(frozen=True, slots=True)
class Verdict:
    """Of one balancer.  `lasted_us`: from when a turn was answered, or a drain told, until its last request
    of what was taken; -1: not judged.  `after_us`: until that request from the first that the turn grants,
    or from when the drain was in force everywhere; below 0: none followed."""

    balancer: str
    lasted_us: int
    after_us: int
    bound_us: int

    @property
    def sound(self) -> bool:
        return self.lasted_us <= self.bound_us and self.after_us < 0


@dataclass(frozen=True, slots=True)
class Outcome:
    play: str
    seed: int
    verdicts: tuple[Verdict, ...]
    notes: tuple[tuple[int, str], ...]

    @property
    def sound(self) -> bool:
        return all(one.sound for one in self.verdicts)

    def of(self, balancer: str) -> Verdict:
        [found] = [one for one in self.verdicts if one.balancer == balancer]
        return found


class Disturbed(Exception):
    """What a play brings about did not come, as somebody was held up for longer than a lease or a seat."""


T = TypeVar("T")
Play = Callable[[Deployment, Random, Sequence[str]], Coroutine[Any, Any, list[Verdict]]]


async def play(
    name: str,
    seed: int,
    whom: Sequence[str] = (),
    contradiction_s: float = 3.0,
    margin_s: float = 0.4,
    seat_s: int = 4,
    defects: dict[str, str] | None = None,
) -> Outcome:
    """One of PLAYS, after all is up.  `whom`: the balancers it befalls; empty: the seed draws one."""
    random = Random(f"{name} {seed}")
    chosen = whom or (f"balancer-{random.randrange(BALANCERS)}",)

    async def once() -> Outcome:
        with TemporaryDirectory(prefix="roadlb-directed-") as folder:
            async with Deployment(Path(folder), contradiction_s, margin_s, seat_s, defects) as all_of_it:
                await _served(all_of_it, TAKES, all_of_it.note("begun"))
                await asyncio.sleep(random.uniform(0.0, contradiction_s / 4))  # somewhere in a lease
                verdicts = await PLAYS[name](all_of_it, random, chosen)
                return Outcome(name, seed, tuple(verdicts), tuple(all_of_it.notes))

    return await undisturbed(once)


async def undisturbed(once: Callable[[], Awaitable[T]]) -> T:
    """What it gives when it is not Disturbed; DidNotCome after ATTEMPTS."""
    for _ in range(ATTEMPTS):
        try:
            return await once()
        except Disturbed as e:
            reason = e
    raise DidNotCome(f"{reason}, {ATTEMPTS} times", 0)


# Turns


async def cut(all_of_it: Deployment, random: Random, whom: Sequence[str]) -> list[Verdict]:
    for link in _links(all_of_it, lambda balancer, _: balancer in whom):
        link.drop(random.choice(("back", "both")))  # `there` alone would let it hear
    await asyncio.sleep(random.uniform(0.0, 0.2))
    for name in whom:
        all_of_it.children[name].signal(SET_BACK)
    await asyncio.sleep(random.uniform(0.0, 0.2))
    return await _turn(all_of_it, whom)


async def split(all_of_it: Deployment, random: Random, whom: Sequence[str]) -> list[Verdict]:
    leader = await _leader(all_of_it)
    all_of_it.links[f"{leader} to store"].drop()
    for link in _links(all_of_it, lambda balancer, control: (balancer in whom) != (control == leader)):
        link.drop()
        link.reset()  # so that no stream is waited for in vain
    end = monotonic_us() + GENEROUS_S * 1e6
    while await _leader(all_of_it) == leader:
        if monotonic_us() > end:
            raise DidNotCome(f"another than {leader} leads", GENEROUS_S)
        await asyncio.sleep(AGAIN_S)
    all_of_it.note("another leads")
    return await _turn(all_of_it, whom)


async def _turn(all_of_it: Deployment, whom: Sequence[str]) -> list[Verdict]:
    """The turn is ordered, and watched until the bound is past and it has been used."""
    ordered = monotonic_us()
    while answer := await all_of_it.propose(1):
        if monotonic_us() > ordered + GENEROUS_S * 1e6:
            raise DidNotCome(f"the turn is taken ({answer})", GENEROUS_S)
        await asyncio.sleep(AGAIN_S)
    turn = Turn(ordered, all_of_it.note(f"turn: {GIVES}"), GIVES, TAKES)
    await all_of_it.until("the turn is used", lambda: bool(all_of_it.senders(GIVES, ordered)))
    used = monotonic_us()
    await _past(max(turn.answered + round(all_of_it.contradiction_s * 1e6), used))
    return turned(turn, list(all_of_it.ears.sent), whom, round(all_of_it.contradiction_s * 1e6))


def turned(turn: Turn, sent: list[Sent], whom: Sequence[str], bound_us: int) -> list[Verdict]:
    """Each balancer by itself, against what any of them sends of what the turn grants."""
    found = list[Verdict]()
    for name in whom:
        [one] = judge([turn], [one for one in sent if one.balancer == name or one.what == turn.gives])
        found.append(
            Verdict(name, max(0, one.lasted_us - (turn.answered - turn.ordered)), one.after_us, bound_us)
        )
    return found


# Drains


async def killed(all_of_it: Deployment, random: Random, whom: Sequence[str]) -> list[Verdict]:
    for name in whom:
        await _rests(all_of_it, all_of_it.folder / f"{name}.store")
        all_of_it.children[name].signal(SLOW)
    ends_of = [asyncio.ensure_future(_killed_behind_ack(all_of_it, name)) for name in whom]
    node = f"node-{random.randrange(NODES)}"
    await asyncio.sleep(0)  # they look at what goes by
    all_of_it.discovery.tell(node, lifecycle="draining")
    all_of_it.note(f"turn: {node} drains")
    await ends("each is killed behind its acknowledgement", asyncio.gather(*ends_of))
    version = await _drained(all_of_it, node)
    force = all_of_it.note(f"the drain of {node} is in force")
    acknowledged(
        version,
        [
            words
            for i in range(CONTROLS)
            for words in whole.IN_FORCE.findall(all_of_it.children[f"control-{i}"].said())
        ],
    )
    for link in _links(all_of_it, lambda balancer, _: balancer in whom):
        link.drop()
    for name in whom:
        await all_of_it.children[name].start()
    other = next(f"node-{i}" for i in range(NODES) if f"node-{i}" != node)
    await all_of_it.until(
        "each is back and sends",
        lambda: all(
            sum(
                one.balancer == name and one.what == other and one.at > force
                for one in list(all_of_it.ears.sent)
            )
            >= WATCHED
            for name in whom
        ),
    )
    sent = list(all_of_it.ears.sent)
    last = {
        name: max((one.at for one in sent if (one.balancer, one.what) == (name, node)), default=0)
        for name in whom
    }
    return [Verdict(name, -1, last[name] - force, round(all_of_it.contradiction_s * 1e6)) for name in whom]


def acknowledged(version: str, said: Sequence[tuple[str, str, str]]) -> None:
    """That all have acknowledged it before it was in force, as leaders have `said`; else Disturbed."""
    if (version, f"acknowledged by {BALANCERS} of {BALANCERS}", str(BALANCERS)) not in said:
        raise Disturbed(f"{version} is in force without the word of all: {said}")


async def _rests(all_of_it: Deployment, store: Path) -> None:
    """What it kept since its start is on the disk."""

    def size() -> int:
        return sum(file.stat().st_size for file in store.iterdir() if file.is_file())

    at, known = monotonic_us(), 0

    def rests() -> bool:
        nonlocal at, known
        if (found := size()) != known:
            at, known = monotonic_us(), found
        return known > 0 and monotonic_us() - at > REST_S * 1e6

    await all_of_it.until(f"{store.name} rests", rests)


async def _killed_behind_ack(all_of_it: Deployment, name: str) -> None:
    """Killed once the answer to the next `prepared` goes by: the next request of that type."""
    child, links = all_of_it.children[name], _links(all_of_it, lambda balancer, _: balancer == name)
    told = [link.when(PREPARED.encode(), way="back") for link in links]
    done, waits = await asyncio.wait(told, return_when=asyncio.FIRST_COMPLETED)
    for one in waits:
        one.cancel()
    link = links[told.index(done.pop())]
    await link.when(STRUCT.encode(), child.kill)
    await child.ended()


async def _drained(all_of_it: Deployment, node: str) -> str:
    """The version with which it is in force."""
    end = monotonic_us() + GENEROUS_S * 1e6
    while True:
        seen = await all_of_it.seen()
        if (
            seen is not None
            and seen.force is not None
            and any(
                one.node.name == node and not up(one)
                for cluster in seen.force.contents.clusters.values()
                for one in cluster.endpoints
            )
        ):
            return str(seen.force.id)
        if monotonic_us() > end:
            raise DidNotCome(f"the drain of {node} is in force", GENEROUS_S)
        await asyncio.sleep(AGAIN_S)


async def mute(all_of_it: Deployment, random: Random, whom: Sequence[str]) -> list[Verdict]:
    beat = Beat()
    try:
        await all_of_it.order_store("fault silent")
        await asyncio.sleep(all_of_it.seat_s + random.uniform(0.5, 1.0))
        node, bound_us = f"node-{random.randrange(NODES)}", round(all_of_it.contradiction_s * 1e6)
        drain = whole.Drain(node, 0, all_of_it.discovery.tell(node, lifecycle="draining"), whole.NEVER)
        all_of_it.note(f"turn: {node} drains")
        await _past(drain.told + bound_us + beat.late_us)
        names = sorted(one for one in all_of_it.children if one.startswith("balancer"))
        late = whole.judge([drain], list(all_of_it.ears.sent), all_of_it.notes, names, bound_us, {})
        return [Verdict(one.balancer, max(0, one.lasted_us - beat.late_us), -1, bound_us) for one in late]
    finally:
        beat.end()


PLAYS: dict[str, Play] = {"cut": cut, "split": split, "killed": killed, "mute": mute}


# What they share


def _links(all_of_it: Deployment, which: Callable[[str, str], bool]) -> list[Link]:
    """Between balancers and control services, by the names of both."""
    pairs = [(both.split(" to "), link) for both, link in all_of_it.links.items()]
    return [link for (near, far), link in pairs if near.startswith("balancer") and which(near, far)]


async def _leader(all_of_it: Deployment) -> str:
    """Who has the seat; as long as nobody has it, who had it last."""
    end = monotonic_us() + GENEROUS_S * 1e6
    while (seen := await all_of_it.seen()) is None or not seen.holder.get("name"):
        if monotonic_us() > end:
            raise DidNotCome("a control service has the seat", GENEROUS_S)
        await asyncio.sleep(AGAIN_S)
    return seen.holder["name"]


async def _served(all_of_it: Deployment, customer: str, since: int) -> None:
    names = {name for name in all_of_it.children if name.startswith("balancer")}
    await all_of_it.until(
        f"every balancer serves {customer}", lambda: all_of_it.senders(customer, since) == names
    )


async def _past(at: int) -> None:
    """Until then, and what must not be would have come."""
    await asyncio.sleep(max(0.0, (at - monotonic_us()) / 1e6) + PAST_S)
