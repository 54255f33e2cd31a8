"""Whole balancers under the judge: `python -m roadlb` with its HTTP, clients before them, nodes as witnesses.

Nodes are told to drain, one after the other, and come back as started anew; faults fall meanwhile as in the
other plays.

    claim     what must hold
    bound     from when discovery told that a node drains, requests to it end within the bound, from every
              balancer that nothing kept the news from
    complete  once the store holds a version in force with the drain, no request to that node follows, from
              any balancer but those that the leader named as not reached; where it has heard of all of them

What keeps the news from a balancer is a fault of its own, of one of its links, or of a control service: one
that hears nothing keeps its nodes, as the agreement's table says.  How long such a one went on is told as a
figure.  The store's faults excuse nothing: drains go out without it.  The request in hand when a balancer was
stopped is held against nobody.
"""

from __future__ import annotations

import asyncio
import re
import socket
import sys
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Self

from ...clock import monotonic_us
from ...fleet.steps import up
from .deployment import BALANCERS, CUSTOMERS, Deployment, settings
from .ends import DidNotCome
from .faults import Faults
from .judge import Sent, in_hand
from .parties import Beat, Client, Nodes
from .watch import HOST

NODES = 9  # three in each hall
DRAINED_MOST = 2  # at a time, of different halls: more is refused by the guard
TURN_S = (0.6, 2.4)  # from one change of the list to the next
PAUSE_S = (0.5, 4.0)  # between two faults: many drains are to meet none
RETURN_US = 9_000_000  # after a fault, until all is as if there had been none: a seat, a call again
LOOK_S = 0.05
LONG, LONG_TURN = 0.4, (1.1, 1.6)  # the others are longer than the bound by so much
NEVER = 1 << 62
EXTRA_US = 250_000  # a dial that had begun may take as long (`limits.dial_timeout_us`)


@dataclass(frozen=True, slots=True)
class Drain:
    """From `told` until `until` the node, of this start, was to get nothing new."""

    node: str
    started_ms: int
    told: int
    until: int


@dataclass(frozen=True, slots=True)
class Late:
    """The last request of a balancer to a node that drained: so long after that was told (0: before), and so
    long after it was seen in force (below 0: before, or it was not, or the leader named this balancer)."""

    drain: Drain
    balancer: str
    lasted_us: int
    after_us: int
    kept_from: bool
    complete: bool


@dataclass(frozen=True, slots=True)
class Outcome:
    """`reached`: pairs of a drain and a balancer that nothing kept the news from, of drains longer than the
    bound; `complete`: pairs judged by what was in force; `each_us`: of those reached, how long it lasted.
    `unsettled`: what did not come to pass once all faults had ended."""

    seed: int
    drains: int
    reached: int
    complete: int
    longest_us: int
    after_us: int
    kept_from_us: int
    bound_us: int
    requests: int
    answers: dict[int, int]
    faults: int
    late_us: int
    each_us: tuple[int, ...]
    worst: Late | None
    unsettled: str
    notes: tuple[tuple[int, str], ...]

    @property
    def sound(self) -> bool:
        grace = EXTRA_US + self.late_us
        return not self.unsettled and self.longest_us <= self.bound_us + grace and self.after_us <= grace


class Whole(Deployment):
    """The nine processes, the balancers whole; `lines` clients of each customer send to each."""

    lines, period_s = 1, 0.0

    def __init__(
        self,
        folder: Path,
        contradiction_s: float = 3.0,
        margin_s: float = 0.4,
        defects: dict[str, str] | None = None,
    ) -> None:
        super().__init__(folder, contradiction_s, margin_s, defects=defects)
        self.nodes, self.clients = Nodes(), list[Client]()
        self.beat = Beat()
        self._held = list[socket.socket]()

    async def __aenter__(self) -> Self:
        for i in range(NODES):
            self.discovery.place(i, await self.nodes.start(f"node-{i}"))
        await super().__aenter__()
        return self

    async def __aexit__(self, *told: object) -> None:
        await asyncio.gather(*(client.end() for client in self.clients))
        await super().__aexit__(*told)
        self.nodes.end()
        self.beat.end()
        for held in self._held:
            held.close()

    async def start_balancer(self, i: int, ports: list[int]) -> None:
        name, told = f"balancer-{i}", self.links_to_controls(i, ports)
        held = socket.socket()  # its port stays its own while it does not run
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((HOST, 0))
        self._held.append(held)
        listen: tuple[str, int] = held.getsockname()
        file = self.write(
            f"{name}.json",
            {
                "name": name,
                "listen": f"{HOST}:{listen[1]}",
                "seed": f"{i + 1:016x}",
                "discovery": f"{HOST}:{self.discovery.address[1]}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"generation": 0, "reset": True, "instances": []},
                "settings": settings(None),
                "agreement": {
                    "control": [f"{host}:{port}" for host, port in told],
                    "contradiction_s": self.contradiction_s,
                    "margin_s": self.margin_s,
                    "store": str(self.folder / f"{name}.store"),
                },
            },
        )
        defect = self.defects.get(name, self.defects.get("balancer", ""))
        child = await self.spawn(
            name, [sys.executable, "-m", "roadlb.lab.agreement.balancer", defect], {"PROXY_CONFIG": str(file)}
        )
        await self.until(f"{name} listens", lambda: "event=listening" in child.said())
        self.clients += [
            Client(name, listen, f"customer-{j}", "read", line, self.period_s)
            for j in range(CUSTOMERS)
            for line in range(self.lines)
        ]

    def stop(self, name: str) -> None:
        """A balancer is stopped with a request in hand: right behind the bytes of its client's next one."""
        for client in self.clients:
            if client.balancer == name:
                client.then = self.children[name].stop
                return
        super().stop(name)

    def reached(self, node: str, since: int) -> set[str]:
        """Whose requests came to this node since then."""
        found = set()
        for one in reversed(self.nodes.sent):
            if one.at < since:
                break
            if one.what == node:
                found.add(one.balancer)
        return found


# The faults, as the deployment's notes tell them: who was hurt from when until when.

BEGINS = re.compile(r"(?P<whom>.+): (dropped|silent|\d.* ms|SIGSTOP|SIGKILL|reset).*")
ENDS = re.compile(r"(?P<whom>.+): (healed|0 ms|SIGCONT|started, .*|reset)")


def hurts(notes: list[tuple[int, str]], balancer: str) -> list[tuple[int, int]]:
    """When something stood between what discovery told and this balancer; the store does not."""
    found, open_ = list[tuple[int, int]](), dict[str, int]()
    for at, text in notes:
        begun, ended = BEGINS.fullmatch(text), ENDS.fullmatch(text)
        whom = (ended or begun or {"whom": ""})["whom"]
        if whom.endswith(" to store") or not (
            whom.startswith((f"{balancer} to ", "control-")) or whom == balancer
        ):
            continue
        if ended:
            found.append((open_.pop(whom, at), at))
        else:
            open_.setdefault(whom, at)
    return found + [(at, 1 << 62) for at in open_.values()]


def judge(
    drains: list[Drain],
    sent: list[Sent],
    notes: list[tuple[int, str]],
    balancers: list[str],
    bound_us: int,
    force: dict[tuple[str, int], tuple[int, set[str]]],
) -> list[Late]:
    """One for each drain and balancer.  `force`: of a drain, by node and start, when it was seen
    in force, and who was named as not reached."""
    went_on = [(at, text.partition(":")[0]) for at, text in notes if text.endswith(": SIGCONT")]
    hand, found = in_hand(sent, went_on), list[Late]()
    last = dict[tuple[int, str], int]()
    for i, one in enumerate(sent):
        if i not in hand:
            for j, drain in enumerate(drains):
                if drain.node == one.what and drain.told <= one.at < drain.until:
                    last[j, one.balancer] = one.at
    for balancer in balancers:
        hurt = hurts(notes, balancer)
        for j, drain in enumerate(drains):
            at = last.get((j, balancer), 0)
            kept_from = any(
                begin <= drain.told + bound_us and end > drain.told - RETURN_US for begin, end in hurt
            )
            seen, named = force.get((drain.node, drain.started_ms), (NEVER, set[str]()))
            complete = seen < drain.until and balancer not in named
            found.append(
                Late(
                    drain,
                    balancer,
                    max(0, at - drain.told),
                    at - seen if at and complete else -1,
                    kept_from,
                    complete,
                )
            )
    return found


IN_FORCE = re.compile(r'event="in force" version=(\S+) .*text="(acknowledged by \d+ of (\d+)[^"]*)"')


async def watch_force(whole: Whole, seen: dict[tuple[str, int], tuple[int, str]]) -> None:
    """When which drain was first seen in the version in force, and in which, by node and start."""
    while True:
        told = await whole.seen()
        at = monotonic_us()
        if told is not None and told.force is not None:
            for cluster in told.force.contents.clusters.values():
                for one in cluster.endpoints:
                    if not up(one):
                        seen.setdefault((one.node.name, one.node.started_ms), (at, str(told.force.id)))
        await asyncio.sleep(LOOK_S)


def named(whole: Whole) -> dict[str, set[str]]:
    """Of each version that a leader said to be in force: whom its drains do not reach.

    Not of a leader that does not know all yet, of its own hearing or by the roll: the first one, while they
    come up one after the other."""
    found = dict[str, set[str]]()
    for file in whole.folder.glob("control-*.log"):
        for version, text, known in IN_FORCE.findall(file.read_text(errors="replace")):
            if int(known) == BALANCERS:
                found[version] = set(re.findall(r"balancer-\d+", text))
    return found


async def play(
    seed: int,
    seconds: float,
    contradiction_s: float = 3.0,
    faulty: bool = True,
    defects: dict[str, str] | None = None,
    margin_s: float = 0.4,
) -> Outcome:
    """`seconds` of drains and returns under load, after all is up; then time for the last one."""
    with TemporaryDirectory(prefix="roadlb-whole-") as folder:
        async with Whole(Path(folder), contradiction_s, margin_s, defects) as whole:
            names = sorted(one for one in whole.children if one.startswith("balancer"))
            begun = whole.note("begun")
            await whole.until(
                "every balancer sends to every node",
                lambda: all(whole.reached(node, begun) == set(names) for node in whole.discovery.entries),
            )
            faults, seen = Faults(whole, seed, PAUSE_S), dict[tuple[str, int], tuple[int, str]]()
            watching = asyncio.create_task(watch_force(whole, seen))
            playing = asyncio.create_task(faults.run()) if faulty else None
            try:
                drains = await take_drains(whole, Random(seed + 1), monotonic_us() + round(seconds * 1e6))
            finally:
                await faults.heal(playing)
            since = whole.note("healed")
            closed = {drain.node for drain in drains if drain.until == NEVER}
            unsettled = ""
            try:
                await whole.until(
                    "every balancer sends to every node that is open",
                    lambda: all(
                        whole.reached(node, since) == set(names)
                        for node in whole.discovery.entries
                        if node not in closed
                    ),
                )
            except DidNotCome as e:  # who never hears of a return is judged all the same
                unsettled = str(e)
            await asyncio.sleep(1.2 * contradiction_s)
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            return _outcome(seed, whole, drains, seen, names, faults.count, unsettled)


async def take_drains(whole: Deployment, random: Random, until: int) -> list[Drain]:
    """Until then nodes drain and come back as started anew, by what discovery tells."""
    found, closed = list[Drain](), dict[str, Drain]()
    starts = 1_000
    while monotonic_us() < until:
        long = random.uniform(*LONG_TURN) * whole.contradiction_s if random.random() < LONG else 0.0
        await asyncio.sleep(long or random.uniform(*TURN_S))
        if len(closed) == DRAINED_MOST or (closed and random.random() < 0.4):
            node = random.choice(sorted(closed))
            starts += 1_000
            back = whole.discovery.tell(node, lifecycle="up", startedAtMs=starts)
            whole.note(f"turn: {node} is back")
            found.append(replace(closed.pop(node), until=back))
        else:
            halls = {whole.discovery.entries[node]["zone"] for node in closed}
            node = random.choice(
                sorted(name for name, entry in whole.discovery.entries.items() if entry["zone"] not in halls)
            )
            told = whole.discovery.tell(node, lifecycle="draining")
            whole.note(f"turn: {node} drains")
            closed[node] = Drain(node, int(str(whole.discovery.entries[node]["startedAtMs"])), told, NEVER)
    return sorted([*found, *closed.values()], key=lambda drain: drain.told)


def _outcome(
    seed: int,
    whole: Whole,
    drains: list[Drain],
    seen: dict[tuple[str, int], tuple[int, str]],
    names: list[str],
    faults: int,
    unsettled: str,
) -> Outcome:
    bound_us, unreached = round(whole.contradiction_s * 1e6), named(whole)
    force = {
        (node, started): (at, unreached[version])
        for (node, started), (at, version) in seen.items()
        if version in unreached
    }  # else its leader ended before it said so
    found = judge(drains, whole.nodes.sent, whole.notes, names, bound_us, force)
    reached = [one for one in found if not one.kept_from and one.drain.until - one.drain.told > bound_us]
    answers = Counter[int]()
    for client in whole.clients:
        answers.update(client.answers)
    return Outcome(
        seed,
        len(drains),
        len(reached),
        sum(one.complete for one in found),
        max((one.lasted_us for one in reached), default=0),
        max((one.after_us for one in found), default=-1),
        max((one.lasted_us for one in found if one.kept_from), default=0),
        bound_us,
        len(whole.nodes.sent),
        dict(answers),
        faults,
        whole.beat.late_us,
        tuple(one.lasted_us for one in reached),
        max(found, key=lambda one: (one.after_us, one.lasted_us * (not one.kept_from)), default=None),
        unsettled,
        tuple(whole.notes),
    )
