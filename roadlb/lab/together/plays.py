"""Plays of the whole house, each with the faults that it is for, and what was seen.

play                 what befalls the house
lost_with_its_leader a hall flickers: its balancers, parts of which are on loan, are killed and at once
                     back.  Then, with parts on loan again, it is lost whole, with the leader in it, right
                     behind an order; a node drains elsewhere meanwhile; the hall comes back with what its
                     processes had stored
parted               a hall's balancers hear neither control service nor the other halls' balancers, and
                     serve on; a version and a drain fall into that time
by_seed              halls lost, parted, processes stopped and killed, links cut, drains and versions

claim       what must hold, of each play
once        no order came to nodes twice
shares      at each instant the shares of a budget are at most the whole, by the processes' own records
answered    who nothing befell has answered each request
drained     from `bound` after it could know of a drain, a balancer sends nothing to that node
said        no process logged an error
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from ...clock import monotonic_us
from ..agreement.deployment import BALANCERS, CUSTOMERS
from ..agreement.ends import ends
from ..agreement.judge import Sent
from ..agreement.whole import EXTRA_US, NEVER, Drain, judge, take_drains
from ..sharing.judge import ROUNDING, Sum, Told, largest_sum
from .house import HALLS, LEAVES_S, House

NODE = "node-0"  # that drains: of the first hall, where nothing else befalls
NEW_START = 1_000_000  # of nodes that come back
AGAIN_S = 0.2
LENT = 0.7  # of its own part, or less, is left to one who has lent of it
SOME = 0.1  # of its own part, or more, has one to whom there is a quota
USED = 0.98  # of a quota is used by somebody: what is lent is, too
PATIENCE_US = 20_000_000  # for that; a machine that makes every answer late may not get there
FREE_US = 4_200_000  # from a process's begin until it may lend
# What one had lent when it was killed is surely used for so long: its takers ask anew each 1.5 s of 4.
USED_US = 2_400_000
FLICKERS = 3  # until one was that short; a busy machine may not get there
LONGER_S = 1.0  # than its lease, a hall is parted
PAUSE_S, LASTS_S = (0.4, 2.0), (1.0, 9.0)


@dataclass(frozen=True, slots=True)
class Outcome:
    """`late_us`: the longest that anybody sent to a drained node after it could know, by `bound_us`;
    `took_us`: figures by name, which no verdict rests on; `spared`: requests without answer at those whom
    nothing befell; `loop_us`: the longest that the judge itself was held up."""

    seed: int
    requests: int
    orders: int
    twice: tuple[str, ...]
    shares: Sum
    spared: Mapping[str, Mapping[str, int]]
    late_us: int
    bound_us: int
    loop_us: int
    drains: int
    faults: int
    said: tuple[str, ...]
    took_us: dict[str, int]
    notes: tuple[tuple[int, str], ...]

    @property
    def broken(self) -> tuple[str, ...]:
        """The claims that do not hold, by name."""
        broken = {
            "once": bool(self.twice),
            "shares": self.shares.most > 1 + ROUNDING,
            "answered": bool(self.spared),
            "said": bool(self.said),
            "drained": self.late_us > self.bound_us + EXTRA_US + self.loop_us,
        }
        return tuple(name for name, is_broken in broken.items() if is_broken)

    @property
    def sound(self) -> bool:
        return not self.broken


async def lost_with_its_leader(house: House, took: dict[str, int]) -> tuple[list[Drain], int]:
    """Drains, and the longest that one who could know was late."""
    lost = "hall-b"
    stays = house.balancers(*(hall for hall in HALLS if hall != lost))
    for client in house.clients:
        if client.balancer in house.balancers(lost):
            client.period_s = LEAVES_S  # they need less than their parts
    await _proposed(house, 1)
    await _in_force(house, {0: False, 1: True})
    await _flickers(house, lost, took)
    await _on_loan(house, lost)
    await _proposed(house, 0)
    house.lose(lost)
    began, told = house.now, house.discovery.tell(NODE, lifecycle="draining")
    await house.until("control-1 leads", lambda: "event=leads" in house.children["control-1"].said())
    leads = house.now
    took["until another leads"] = leads - began
    await house.until(
        "the drain holds at all that are left", lambda: not house.reached(NODE, house.now - 2_000_000)
    )
    await house.until("the hall is lost to all that are left", lambda: house.hold(stays, lost, "lost"))
    took["until the hall is lost to all"] = house.now - began
    await _proposed(house, 0)  # holds already, if its first leader had told anybody
    await _in_force(house, {0: True, 1: False})
    took["from the loss until what was ordered right before is in force"] = house.now - began
    await _proposed(house, 1)
    ordered = house.now
    await _in_force(house, {0: False, 1: True})
    took["from the order to in force, two of six dead"] = house.now - ordered
    last = max((one.at for one in house.nodes.since(told) if one.node == NODE), default=told)
    took["drained, the last request since another leads"] = late = max(0, last - leads)
    await house.give_back(lost, NEW_START)
    back = house.now
    own = house.balancers(lost)
    await house.until(
        "who came back serves", lambda: {one.balancer for one in house.nodes.since(back)} >= set(own)
    )
    serves = house.now
    await house.until("the hall is whole to all", lambda: house.hold(house.balancers(), lost, "whole"))
    took["until the hall is whole to all"] = house.now - back
    await house.until("all send to each open node", lambda: _all_reach(house, back, {NODE}))
    await asyncio.sleep(1.2 * house.contradiction_s)
    after = [one.at for one in house.nodes.since(serves) if one.node == NODE]
    took["drained, the last request of who came back"] = max(after, default=serves) - serves
    late = max(late, max(after, default=serves) - serves)
    reopened = house.discovery.tell(NODE, lifecycle="up", startedAtMs=NEW_START)
    await house.until("all send to the node that was drained", lambda: _all_reach(house, reopened, set()))
    return [Drain(NODE, 1_000, told, reopened)], late


async def _flickers(house: House, hall: str, took: dict[str, int]) -> None:
    """Until its balancers were gone for so short that what they had lent was still used, if the machine lets
    them."""
    for _ in range(FLICKERS):
        took["with parts on loan, from killed to back"] = gone = await _flicker(house, hall)
        if gone < USED_US:
            break
    since, own = house.now, set(house.balancers(hall))
    await house.until("they serve", lambda: {one.balancer for one in house.nodes.since(since)} >= own)


async def _flicker(house: House, hall: str) -> int:
    """Its balancers that have lent are killed and started again; how long until all know their shares: a
    quota is nothing to who has not heard what is in force."""
    async with house.standing_by(house.balancers(hall)) as others:
        budget, lent = await _on_loan(house, hall)
        lives = {name: house.records.newest(name)[0] for name in lent}
        house.note(f"{hall}: flickers, {budget}")
        died = await house.flicker({name: others[name] for name in lent})

    def back_at(name: str) -> int:
        count, told = house.records.newest(name)
        known = (one.done for one in told if one.shares[budget][0] * BALANCERS > SOME)
        return next(known, 0) if count > lives[name] else 0

    await house.until("they know their shares again", lambda: all(map(back_at, lent)))
    return max(map(back_at, lent)) - died


async def _on_loan(house: House, hall: str) -> tuple[str, list[str]]:
    """Once there is one: a customer's quota of which nothing lies idle, if the machine lets it come to that,
    and those of the hall's balancers that have lent of their parts of it."""
    found: list[tuple[str, list[str]]] = []
    patient = house.now + PATIENCE_US

    def look() -> bool:
        told = {name: house.records.newest(name)[1] for name in house.balancers()}
        if all(told.values()):
            found.extend(lent(f"customer {i}", told) for i in range(CUSTOMERS))
        return any(names for _, names in found)

    def lent(budget: str, told: dict[str, list[Told]]) -> tuple[str, list[str]]:
        has = {name: all_[-1].shares[budget][0] for name, all_ in told.items()}
        free = [
            name
            for name in house.balancers(hall)
            if told[name][-1].at - told[name][0].at > FREE_US and SOME < has[name] * BALANCERS < LENT
        ]
        return budget, free if sum(has.values()) > USED or house.now > patient else []

    await house.until(f"{hall}: parts are on loan", look)
    return next((budget, names) for budget, names in found if names)


async def parted(house: House, took: dict[str, int]) -> tuple[list[Drain], int]:
    """As `lost_with_its_leader`."""
    alone, node = "hall-b", "node-1"
    own, others = house.balancers(alone), house.balancers(*(hall for hall in HALLS if hall != alone))
    links = [link for name, link in house.links.items() if name.startswith(tuple(own))]
    house.note(f"{alone}: parted")
    house.parted.add(alone)
    for link in links:
        link.drop("both")
    began, told = house.now, house.discovery.tell(node, lifecycle="draining")
    await house.until(
        "who hears no longer sends there",
        lambda: (
            not {one.balancer for one in house.nodes.since(house.now - 1_000_000) if one.node == node}
            & set(others)
        ),
    )
    took["drained, who hears"] = (
        max(
            [one.at for one in house.nodes.since(told) if one.node == node and one.balancer in others],
            default=told,
        )
        - told
    )
    await _proposed(house, 1)
    ordered = house.now
    await _in_force(house, {0: False, 1: True})
    took["from the order to in force, two of six parted"] = house.now - ordered
    await asyncio.sleep(max(0.0, house.contradiction_s + LONGER_S - (house.now - began) / 1e6))
    served = {one.balancer for one in house.nodes.since(house.now - 1_000_000)}
    if not served >= set(own):
        raise AssertionError(f"{alone}: parted, it should serve its own clients; it is {served} who serve")
    while_parted = [one.at for one in house.nodes.since(told) if one.node == node and one.balancer in own]
    took["drained, who is parted, the last request before it hears"] = max(while_parted, default=told) - told
    house.parted.discard(alone)
    for link in links:
        link.heal()
    healed = house.note(f"{alone}: hears again")
    await house.until(
        "who was parted no longer sends there", lambda: not house.reached(node, house.now - 2_000_000)
    )
    await asyncio.sleep(1.2 * house.contradiction_s)
    last = max((one.at for one in house.nodes.since(healed) if one.node == node), default=healed)
    took["drained, who was parted, from when it hears"] = last - healed
    reopened = house.discovery.tell(node, lifecycle="up", startedAtMs=NEW_START)
    await house.until("all send to the node that was drained", lambda: _all_reach(house, reopened, set()))
    return [Drain(node, 1_000, told, reopened)], max(took["drained, who hears"], last - healed)


async def by_seed(house: House, seconds: float) -> tuple[list[Drain], int, int]:
    """`seconds` of drains, versions and faults of all kinds; drains, the longest that one who could know was
    late, and how many faults."""
    random, until = Random(house.seed), house.now + round(seconds * 1e6)
    turns = asyncio.create_task(_turns(house, Random(house.seed + 1), until))
    drains = asyncio.create_task(take_drains(house, Random(house.seed + 2), until))
    count, starts = 0, NEW_START
    while house.now < until:
        await asyncio.sleep(random.uniform(*PAUSE_S))
        starts += 1_000
        await _one(house, random, starts)
        count += 1
    taken = await ends("drains end", drains)
    await ends("turns end", turns)
    since = house.note("healed")
    closed = {drain.node for drain in taken if drain.until == NEVER}
    await house.until("all send to each open node", lambda: _all_reach(house, since, closed))
    await asyncio.sleep(1.2 * house.contradiction_s)
    sent = [Sent(one.at, one.balancer, one.node) for one in house.nodes.came]
    late = [
        one.lasted_us
        for one in judge(taken, sent, house.notes, house.balancers(), round(house.contradiction_s * 1e6), {})
        if not one.kept_from
    ]
    return taken, max(late, default=0), count


async def _one(house: House, random: Random, starts: int) -> None:
    """One fault, until it is over."""
    lasts, hall = random.uniform(*LASTS_S), random.choice(HALLS)
    kind = random.choice(("lose", "part", "stop", "kill", "cut", "both"))
    name = random.choice(house.balancers())
    if kind == "lose":
        house.lose(hall)
        await asyncio.gather(*(ends(f"{one} ends", house.children[one].ended()) for one in house.of(hall)))
        await asyncio.sleep(lasts)
        await house.give_back(hall, starts)
    elif kind == "part":
        house.note(f"{hall}: parted")
        house.parted.add(hall)
        await asyncio.sleep(lasts)
        house.parted.discard(hall)
    elif kind in ("stop", "both"):
        stopped = [name] if kind == "stop" else house.balancers(hall)
        for one in stopped:
            house.stop(one)
        await asyncio.sleep(lasts)
        for one in stopped:
            house.children[one].go_on()
    elif kind == "kill":
        await house.children[name].restart()
    else:
        links = [link for both, link in house.links.items() if both.startswith(f"{name} to ")]
        for link in links:
            link.drop(random.choice(("there", "back", "both")))
        await asyncio.sleep(lasts)
        for link in links:
            link.heal()


async def _turns(house: House, random: Random, until: int) -> None:
    """Versions that give the one customer's quota to the other, until then."""
    gives = 0
    while house.now < until:
        await asyncio.sleep(random.uniform(0.5, 1.5) * house.contradiction_s)
        gives = 1 - gives
        with suppress(TimeoutError):
            async with asyncio.timeout(house.contradiction_s):
                await _proposed(house, gives)


async def _proposed(house: House, gives: int) -> None:
    """Until somebody who leads has taken it."""
    while (answer := await house.propose(gives)) and answer != "nothing changes":
        await asyncio.sleep(AGAIN_S)


async def _in_force(house: House, has: dict[int, bool]) -> None:
    """Until the store holds a version in force in which these customers have their quota, or none."""

    async def look() -> None:
        while True:
            seen = await house.seen()
            if seen is not None and seen.force is not None:
                texts = seen.force.contents.settings
                quotas = {j: float(texts[f"tenants.{j}.quota_per_s"]) > 0 for j in has}
                if quotas == has:
                    return
            await asyncio.sleep(AGAIN_S)

    await ends(f"in force: {has}", look())


def _all_reach(house: House, since: int, closed: set[str]) -> bool:
    open_ = set(house.discovery.entries) - closed
    return all(house.reached(node, since) >= set(house.balancers()) for node in open_)


Directed = Callable[[House, dict[str, int]], Awaitable[tuple[list[Drain], int]]]


async def play(
    what: str,
    seed: int = 1,
    seconds: float = 30.0,
    contradiction_s: float = 6.0,
    margin_s: float = 1.5,
    defects: dict[str, str] | None = None,
) -> Outcome:
    """One of the plays by its name; `seconds` of faults, where it has no end of its own."""
    directed: dict[str, tuple[Directed, set[str]]] = {
        "lost_with_its_leader": (lost_with_its_leader, {"hall-b"}),
        "parted": (parted, set[str]()),
    }
    with TemporaryDirectory(prefix="roadlb-house-") as folder:
        async with House(Path(folder), seed, contradiction_s, margin_s, defects) as house:
            begun = house.note("begun")
            await house.until("all send to each node", lambda: _all_reach(house, begun, set()))
            took, faults, spared = dict[str, int](), 1, dict[str, Counter[str]]()
            if what in directed:
                goes, hurt = directed[what]
                drains, late = await goes(house, took)
                spared = house.unanswered(
                    name
                    for name in house.balancers()
                    if not hurt & {hall for hall in HALLS if name in house.of(hall)}
                )
            else:
                drains, late, faults = await by_seed(house, seconds)
            killed = [(at, text.partition(":")[0]) for at, text in house.notes if text.endswith(": SIGKILL")]
            return Outcome(
                seed,
                len(house.nodes.came),
                sum(one.order for one in house.nodes.came),
                tuple(house.repeated_orders()),
                largest_sum(house.records.lives(killed, monotonic_us())),
                spared,
                late,
                round(contradiction_s * 1e6),
                house.beat.late_us,
                len(drains),
                faults,
                tuple(_errors(house)),
                took,
                tuple(house.notes),
            )


def _errors(house: House) -> list[str]:
    """What balancers logged as an error."""
    return [
        f"{file.stem}: {line}"
        for file in sorted(house.folder.glob("balancer-*.log"))
        for line in file.read_text(errors="replace").splitlines()
        if " level=error " in line
    ]
