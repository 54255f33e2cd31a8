"""What a decision costs with trouble at a site, as a ratio to the same decisions without, within one run.

    python benchmarks/sites_cost.py [--servers 40] [--rounds 9] [--requests 4000]

One module without sockets, three halls of so many servers, 500 requests a second, a quarter of them orders;
each is one arrival and its outcomes.  The cases take turns, so a busy machine is busy for all; what is told
is the median over the rounds of (CPU time of the case / CPU time of `whole` in the same round).
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from statistics import median

import click

from roadlb.policy.interface import (
    Arrival,
    Effect,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    SharedStateUpdate,
    SiteOverride,
    Status,
    TimerFired,
)
from roadlb.policy.logic import Balancer

SECOND, TOOK_US, EVERY_US, DIAL_US = 1_000_000, 50_000, 2_000, 250_000
STAY = 250  # requests, 0.5 s, after which the trouble is begun anew
HALL = 1  # the one with the trouble


class Play:
    """One balancer of hall 0; the dark hall's servers never come up, the others answer after 50 ms."""

    def __init__(self, servers: int) -> None:
        classes = [
            RequestClass("read", 500_000, 2_500_000, 2.0, 0.5),
            RequestClass("order", 600_000, 2_000_000, 10.0, 0.5, effect=Effect.UNSAFE),
        ]
        self.balancer = Balancer(
            Settings(classes=classes, instances=6, cross_zone_cost=0.02, second_copies=False), 1
        )
        self.halls = {
            bytes([65 + hall, n % 256, n // 256]): hall for hall in range(3) for n in range(servers)
        }
        self.now, self.number, self.request, self.dark = SECOND, 0, 0, -1
        self.due: list[tuple[int, int, object]] = []
        self.tried: dict[int, int] = {}
        self.do(ListUpdate(ListKind.CACHED, [Member(s, zone=hall) for s, hall in self.halls.items()]))

    def do(self, event: object) -> None:
        for a in self.balancer.handle(self.now, event):  # type: ignore[arg-type]
            if isinstance(a, SetTimer):
                self.put(a.at_us, TimerFired(a.token))
            elif isinstance(a, Send):
                number = self.tried.get(a.request, 0)
                self.tried[a.request] = number + 1
                dark = self.halls[a.server] == self.dark
                status, took = (Status.CONNECT_FAILED, DIAL_US) if dark else (Status.OK, TOOK_US)
                self.put(self.now + took, Outcome(a.request, number, a.server, status, took, not dark))

    def put(self, at: int, event: object) -> None:
        self.number += 1
        heapq.heappush(self.due, (at, self.number, event))

    def play(self, requests: int) -> None:
        for _ in range(requests):
            self.now += EVERY_US
            while self.due and self.due[0][0] <= self.now:
                self.do(heapq.heappop(self.due)[2])
            self.request += 1
            key = 1 + self.request * 7919 % 1000
            self.do(Arrival(self.request, self.request % 4 == 0, 0, key, 2 * SECOND, 0))


def lost(play: Play) -> None:
    play.dark = HALL


def out(play: Play) -> None:
    play.do(SiteOverride(HALL, out=True))


def returning(play: Play) -> None:
    """From the first step, which takes 0.5 s at the least."""
    play.do(SiteOverride(HALL, out=True))
    play.do(SiteOverride(HALL, out=False))


def shedding(play: Play) -> None:
    play.do(SharedStateUpdate(fleet_shortage=0.5))


CASES: dict[str, Callable[[Play], None]] = {
    "whole": lambda play: None,
    "lost": lost,
    "out": out,
    "returning": returning,
    "half is shed": shedding,
}


@click.command()
@click.option("--servers", default=40, show_default=True, help="In each hall.")
@click.option("--rounds", default=9, show_default=True)
@click.option("--requests", default=4_000, show_default=True, help="For each case and round.")
def main(servers: int, rounds: int, requests: int) -> None:
    plays = {name: Play(servers) for name in CASES}
    took: dict[str, list[float]] = {name: [] for name in CASES}
    for play in plays.values():
        play.play(requests)  # sets and means are there
    for _ in range(rounds):
        for name, case in CASES.items():
            began = time.process_time()
            for _ in range(requests // STAY):
                case(plays[name])
                plays[name].play(STAY)
            took[name].append(time.process_time() - began)
    for name, times in took.items():
        ratio = median(t / w for t, w in zip(times, took["whole"], strict=True))
        states = ", ".join(view.state.value for view in plays[name].balancer.sites.view())
        print(f"{name:14} {ratio:5.2f} x  ({median(times) / requests * 1e6:5.1f} us a request; {states})")


if __name__ == "__main__":
    main()
