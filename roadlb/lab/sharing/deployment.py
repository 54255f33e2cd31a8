"""Nine balancers that share, each a process, under load, with a relay for datagrams before each of them.

Hall-a's clients ask for more than its balancers' parts, so that the others' unused parts move there.  Every
balancer is short of own means by SHORT_BY of what it is asked for: it is pressed all the time, whatever the
machine does.
What each module is told of its shares is written down by its own process (`record`).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from .. import mutants
from ..incident import read
from ..run.rig import Rig
from ..wire import BalancerState, ClientGot, ClientSent, Lagged, NodeFell, NodeGot, NodeStarted
from .judge import GOES, Cold, Life, largest_sum, most_of_a_fall, most_of_a_quota, most_of_a_rate, settled
from .record import SHORT, VARIABLE
from .records import Records
from .relays import Relays

WATCHED, QUOTA = "watched", 60  # the customer whose quota is judged from outside, a second
SHORT_BY = 0.4  # more than what it asks beyond its quota, less than that and what the rest ask
PARTS = 9
INCIDENT = f"""
title = "nine balancers that share"
[fleet]
nodes = 12
[balancers]
per_hall = {PARTS // 3}
[traffic]
rate = 240
quota_per_s = {5 * QUOTA}
hall_shares = {{ hall-a = 0.8, hall-b = 0.1, hall-c = 0.1 }}
hall_skew = 0
[[traffic.tenant]]
name = "{WATCHED}"
share = 0.2
sends = 2
[[traffic.tenant]]
name = "rest"
share = 0.8
sends = 0.75
[traffic.clients]
retries = 0
[[refusal]]
customer = "{WATCHED}"
share = "over"
[[refusal]]
customer = "rest"
"""
GENEROUS_S, LOOK_S = 150.0, 0.1
AWAY, SAID_US = ("lost", "returning"), 100_000  # a hall's states; from a change until its line is written


class Sharers:
    """`async with Sharers(1) as nine`: all are ready, and clients ask.  `defect`: of `roadlb.lab.mutants`;
    `bounds`: keys of `peers`, beside those of sharing."""

    def __init__(self, seed: int, defect: str = "", bounds: Mapping[str, float] | None = None) -> None:
        self.seed, self._defect, self._bounds = seed, defect, bounds or {}
        self.names = [f"balancer-{n + 1}" for n in range(PARTS)]
        self.blocked: dict[str, Callable[[str, str], bool]] = {}  # by the fault: from whom to whom
        self._relays = Relays(lambda a, b: not any(blocked(a, b) for blocked in self.blocked.values()))
        self.links = self._relays.links
        self.rig: Rig
        self._folder = TemporaryDirectory(prefix="roadlb-shares-")
        self._records = Records(Path(self._folder.name))

    async def __aenter__(self) -> Sharers:
        incident = read(INCIDENT, "sharing.toml")
        variables = {**mutants.seam(), VARIABLE: self._folder.name, SHORT: str(SHORT_BY)}
        if self._defect:
            variables[mutants.VARIABLE] = self._defect
        try:
            for number, name in enumerate(self.names):
                await self._relays.before(name, Random(self.seed * 1_000 + number))
            rig = Rig(incident, self.seed, self._further, variables)
            await rig.__aenter__()
        except BaseException:
            self._end()
            raise
        self.rig = rig
        return self

    async def __aexit__(self, *_: object) -> None:
        try:
            await self.rig.__aexit__()
        finally:
            self._end()

    def _end(self) -> None:
        self._relays.end()
        self._folder.cleanup()

    def _further(self, name: str) -> dict[str, Any]:
        return {"peers": {**self._bounds, **self._relays.peers(name, "rig", 4), "share": True}}

    # What processes have written down

    def lives(self) -> list[Life]:
        """All processes so far, and what their modules were told."""
        return self._records.lives(
            [
                (event.at, event.balancer)
                for event in self.rig.events(BalancerState)
                if event.state in ("killed", "ended")
            ],
            self.rig.now,
        )

    def share(self, name: str, budget: str) -> float:
        """What this balancer's module was last told, parts of its own part; 0: it does not run, or was told
        nothing yet."""
        one = next(one for one in self.rig.stage.balancers.all if one.name == name)
        count, told = self._records.newest(name)
        if not one.runs or count < one.starts or not told:
            return 0.0
        return told[-1].shares.get(budget, (0.0, 0.0))[0] * PARTS

    async def until(self, what: str, holds: Callable[[], bool]) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + GENEROUS_S
        while not holds():
            if loop.time() > end:
                raise TimeoutError(f"{what}: not within {GENEROUS_S:g} s")
            await asyncio.sleep(LOOK_S)

    # What nodes and clients have seen

    def cold(self) -> tuple[float, int]:
        """The most of what makes a cold node fall that any was sent, and how many fell."""
        spec, lags = self.rig.incident.rules, self._lags()
        fall_us, most = round(spec.fall_s * 1e6), 0.0
        starts = [event for event in self.rig.events(NodeStarted) if event.cold_share < 1]
        came: dict[tuple[str, int], list[tuple[int, int]]] = {}
        for event in self.rig.events(NodeGot):
            came.setdefault((event.node, event.started_ms), []).append((event.at, event.work_us))
        warm = {one.name: one.spec for one in self.rig.stage.fleet.there.values()}
        for start in starts:
            if (node := warm.get(start.node)) is None:
                continue
            cold = Cold(start.at, start.capacity, node.cold_share, node.warm_us)
            most = max(
                most,
                most_of_a_fall(
                    cold,
                    came.get((start.node, start.started_ms), []),
                    spec.fall_multiple,
                    fall_us,
                    node.fall_each_us,
                    lags,
                ),
            )
        # One that falls as the rig goes on was sent in a moment what had come in all of the hold-up.
        return most, sum(
            not any(since <= event.at <= end + fall_us for since, end in lags)
            for event in self.rig.events(NodeFell)
        )

    def _lags(self) -> list[tuple[int, int]]:
        """From when until when the rig was held up."""
        return [(event.since, event.at) for event in self.rig.events(Lagged)]

    def customer(self) -> float:
        """The most in any window of what the watched customer's quota is there."""
        of = {event.request for event in self.rig.events(ClientSent) if event.tenant == WATCHED}
        served = [
            (event.at, event.balancer)
            for event in self.rig.events(ClientGot)
            if event.status == 200 and event.request in of
        ]
        states = [(event.at, event.balancer, event.state) for event in self.rig.events(BalancerState)]
        halls = {one.name: one.hall for one in self.rig.stage.balancers.all}
        return most_of_a_quota(served, settled(states, halls, self.rig.now), QUOTA, lags=self._lags())

    def repeats(self) -> list[int]:
        """When nodes were sent another attempt at a request that some node had been sent already."""
        seen, found = Counter[str](), []
        for event in self.rig.events(NodeGot):
            if event.request:
                seen[event.request] += 1
                if seen[event.request] > 1:
                    found.append(event.at)
        return found

    def dials(self) -> dict[str, list[int]]:
        """By hall, when its nodes were sent a request by a balancer that held the hall for away.

        From its log: from when it said so until SAID_US before it said another thing, or its end."""
        spans: dict[tuple[str, str], list[tuple[int, int]]] = {}
        since: dict[tuple[str, str], int] = {}
        halls = self.rig.incident.network.halls
        said = [
            (change.at, change.balancer, change.site, change.after in AWAY) for change in self.rig.changes()
        ]
        ends = [
            (event.at, event.balancer, hall, False)
            for event in self.rig.events(BalancerState)
            if event.state in (*GOES, "started") and event.state != "paused"
            for hall in halls
        ]
        for at, balancer, hall, away in sorted(said + ends):
            if away:
                since.setdefault((balancer, hall), at)
            elif (began := since.pop((balancer, hall), None)) is not None:
                spans.setdefault((balancer, hall), []).append((began, at - SAID_US))
        for which, began in since.items():
            spans.setdefault(which, []).append((began, self.rig.now))
        found: dict[str, list[int]] = {hall: [] for hall in halls}
        for event in self.rig.events(NodeGot):
            hall = self.rig.hall_of(event)
            if event.request and any(a <= event.at < b for a, b in spans.get((event.balancer, hall), ())):
                found[hall].append(event.at)
        return found

    def most_of(self, came: list[int], per_s: float) -> float:
        """Of a rate; a process that was stopped may go on with what it had begun, and counts for one more."""
        began: dict[str, int] = {}
        ran = []
        for event in self.rig.events(BalancerState):
            if event.state in ("started", "resumed"):
                began[event.balancer] = event.at
            elif event.state in GOES and event.balancer in began:
                ran.append((began.pop(event.balancer), event.at))
        ran += [(at, self.rig.now) for at in began.values()]
        return most_of_a_rate(came, per_s, ran, self._lags())

    def sum(self) -> Any:
        return largest_sum(self.lives())
