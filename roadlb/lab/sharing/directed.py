"""The hard cases of a moving share, each played on purpose; what records must say of each.

A case gives its evidence: what came to pass, by name, each true or false.  Whether the sum held meanwhile is
`Sharers.sum`'s to say, over the whole run.

    reborn          a giver whose gifts are out is killed, and is back under its name within a second
    outslept        a taker is stopped for longer than its lease, and wakes with its share and a queue
    healing         a split comes and heals again and again, each time while shares move
    unanswered      one hears nothing more and is heard by all; then one is heard by nobody and hears all
    stormy          30% of all datagrams are lost, 30% doubled, 30% late by up to 3 s
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias

from ..wire import BalancerState
from .deployment import PARTS
from .faults import BUDGET, GAVE, HOLDS, LEASE_S, Faults
from .judge import ROUNDING, Life

Evidence: TypeAlias = dict[str, bool]
Case: TypeAlias = Callable[[Faults], Awaitable[Evidence]]
WITHIN_S = 1.0  # of its death, its next life
QUEUED = 20  # datagrams that one must find when it wakes
HEALS, STORM_S = 6, 12.0
MOVED = 0.02  # of a part: a share that changes by more has moved


def life_of(faults: Faults, name: str, nth: int = -1) -> Life:
    """Of this balancer's processes, in order."""
    return [life for life in faults.nine.lives() if life.balancer == name][nth]


def at(life: Life, clock: int) -> float:
    """What it was told last by then, of BUDGET, in parts."""
    told = [one for one in life.told if one.done <= clock]
    if not told:
        return 0.0
    now, then = told[-1].shares.get(BUDGET, (0.0, 0.0))
    return PARTS * (then if 0 < told[-1].until <= clock else now)


def moves(faults: Faults, since: int) -> int:
    """How often anybody's share of BUDGET changed since then."""
    count = 0
    for life in faults.nine.lives():
        shares = [
            PARTS * one.shares[BUDGET][0] for one in life.told if one.at > since and BUDGET in one.shares
        ]
        count += sum(abs(b - a) > MOVED for a, b in zip(shares, shares[1:], strict=False))
    return count


async def reborn(faults: Faults) -> Evidence:
    rig, balancers = faults.nine.rig, faults.nine.rig.stage.balancers
    one = faults.standing(await faults.giver())
    died = rig.now
    balancers.kill(one)
    gave = at(life_of(faults, one.name), died)
    await balancers.gone(one, 10)
    balancers.start_again(one)
    born = max(
        event.at
        for event in rig.events(BalancerState)
        if event.balancer == one.name and event.state == "started"
    )
    starts = one.starts
    await faults.nine.until(
        f"{one.name} has its whole part again",
        lambda: (
            len([life for life in faults.nine.lives() if life.balancer == one.name]) >= starts
            and at(life_of(faults, one.name), rig.now) > 0.5 + ROUNDING
        ),
    )
    early = [
        PARTS * told.shares[BUDGET][0]
        for told in life_of(faults, one.name).told
        if told.at < born + LEASE_S * 1e6 - 100_000 and BUDGET in told.shares
    ]
    return {
        "it had given of its own": 0 < gave < GAVE,
        "back within a second": born - died < WITHIN_S * 1e6,
        "half its part and no more until its gifts are over": max(early, default=0.0) <= 0.5 + ROUNDING,
    }


async def outslept(faults: Faults) -> Evidence:
    rig, nine = faults.nine.rig, faults.nine
    name = await faults.taker()
    link, one = nine.links[name], faults.standing(name)
    slept, before = rig.now, link.counts["went"]
    held = at(life_of(faults, name), slept)
    wake = rig.stage.balancers.pause(one)
    await asyncio.sleep(LEASE_S + 1.5)
    await nine.until("a queue has come", lambda: link.counts["went"] - before >= QUEUED)
    woke, queued = rig.now, link.counts["went"] - before
    given = [at(life, woke) for life in nine.lives() if life.balancer != name and life.ended >= woke]
    wake()
    await nine.until(f"{name} holds others' parts again", lambda: at(life_of(faults, name), rig.now) > HOLDS)
    said = [told for told in life_of(faults, name).told if told.at > woke]
    return {
        "it held others' parts": held > HOLDS,
        "stopped for longer than a lease": woke - slept > LEASE_S * 1e6,
        "a queue of datagrams": queued >= QUEUED,
        "its old share beside the others' would be above the whole": sum(given) + held > PARTS,
        "its first word after it woke": bool(said),
    }


async def healing(faults: Faults) -> Evidence:
    rig, began, healed_within_lease = faults.nine.rig, faults.nine.rig.now, 0
    moving = 0
    for _ in range(HEALS):
        taker = await faults.taker()
        since, seconds = rig.now, faults.random.uniform(0.2, LEASE_S - 1)
        await faults.part(f"{taker} apart", lambda a, b, one=taker: one in (a, b), seconds)  # type: ignore[misc]
        healed_within_lease += (rig.now - since) < LEASE_S * 1e6
        await asyncio.sleep(0.5)
        moving += moves(faults, since) > 0
    return {
        "healed within a lease": healed_within_lease > HEALS / 2,
        "shares moved": moves(faults, began) >= HEALS,
        "in most splits": moving > HEALS / 2,
    }


async def unanswered(faults: Faults) -> Evidence:
    """Its asks come and the answers are lost: what was deducted for it is used by nobody."""
    rig, nine = faults.nine.rig, faults.nine
    taker = await faults.taker()
    nine.blocked["answers"] = lambda a, b: b == taker

    def fallen() -> bool:
        return 0 < at(life_of(faults, taker), rig.now) <= 1 + ROUNDING

    await nine.until(f"{taker} has no more than its own", fallen)
    deaf = rig.now
    idle = PARTS - sum(at(life, deaf) for life in nine.lives() if life.ended >= deaf)
    del nine.blocked["answers"]
    taker = await faults.taker()
    nine.blocked["asks"] = lambda a, b: a == taker
    await nine.until(f"unheard, {taker} has no more than its own", fallen)
    await asyncio.sleep(1)
    del nine.blocked["asks"]
    taker = await faults.taker()
    return {"what was deducted for it lay idle": idle > MOVED, "others' parts again": bool(taker)}


async def stormy(faults: Faults) -> Evidence:
    rig, nine = faults.nine.rig, faults.nine
    before = {name: dict(link.counts) for name, link in nine.links.items()}
    since = rig.now
    for link in nine.links.values():
        link.fail(
            lost=0.3, doubled=0.3, reordered=0.3, behind_ms=faults.random.uniform(1_000, 3_000), jitter_ms=100
        )
    await asyncio.sleep(STORM_S)
    await faults.taker()
    count = {
        what: sum(link.counts[what] - before[name][what] for name, link in nine.links.items())
        for what in ("came", "lost", "doubled", "reordered")
    }
    moved = moves(faults, since)
    for link in nine.links.values():
        link.heal()
    return {
        "a quarter and more lost": count["lost"] > 0.25 * count["came"],
        "doubled, and late by seconds": min(count["doubled"], count["reordered"]) > 0.1 * count["came"],
        "shares moved all the same": moved > 0,
    }


CASES: Mapping[str, Case] = {case.__name__: case for case in (reborn, outslept, healing, unanswered, stormy)}
