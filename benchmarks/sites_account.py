"""Where nodes' work goes while more is asked than they can do: each request begun, by what became of it.

    python benchmarks/sites_account.py --seed 3 --rate 1364           a hall lost at 4 s, 8 s counted
    python benchmarks/sites_account.py --seed 3 --rate 1364 --views   and what the balancers believe

One process, the sources of PYTHONPATH.  Work is that of the wire, less what the cache saved: a request that a
node stopped half way counts in full.
"""

from __future__ import annotations

import tempfile
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from statistics import fmean

import click
from sites import without_return
from sites_figures import SETTLED_S

from roadlb.lab.bound import Capacity
from roadlb.lab.incident import Incident, load, rules_of
from roadlb.lab.run import rehearse
from roadlb.lab.run.drawn import draw
from roadlb.lab.run.sim_world import generators
from roadlb.lab.wire import ClientGot, ClientSent, ClientWished, NodeGave, NodeGot, NodeRan, WireLog
from roadlb.policy.logic import Balancer

SECOND, LOST_S, UNTIL_S = 1_000_000, 4, 16
VIEW_US = 500_000


class Book:
    """What the wire says of wishes, tries and attempts."""

    def __init__(self, log: WireLog) -> None:
        self.wished: dict[int, ClientWished] = {}
        self.sent: dict[str, ClientSent] = {}
        self.won: dict[int, ClientGot] = {}  # by wish, the first good answer
        self.came: dict[tuple[str, str], NodeGot] = {}  # by request and node
        self.ran: list[NodeRan] = []
        self.gave: dict[tuple[str, str], NodeGave] = {}
        for event in log:
            match event:
                case ClientWished():
                    self.wished[event.wish] = event
                case ClientSent():
                    self.sent[event.request] = event
                case ClientGot(status=200) if event.request in self.sent:
                    self.won.setdefault(self.sent[event.request].wish, event)
                case NodeGot():
                    self.came[event.request, event.node] = event
                case NodeRan():
                    self.ran.append(event)
                case NodeGave():
                    self.gave[event.request, event.node] = event

    def became(self, ran: NodeRan, aim_us: int, deadline_us: int) -> str:
        """Of one request that a node began."""
        sent = self.sent[ran.request]
        won, gave = self.won.get(sent.wish), self.gave.get((ran.request, ran.node))
        if won is None:
            return "no answer"
        if won.request != ran.request or gave is None or gave.kind != "ok":
            return "doubled"
        took = won.at - self.wished[sent.wish].at
        if took > deadline_us:
            return "no answer"
        if took <= aim_us:
            return "in time"
        return "late by tries" if won.at - sent.at <= aim_us else "late by node"


@click.command(help=(__doc__ or "").partition("\n")[0])
@click.option("--seed", default=3, show_default=True)
@click.option("--rate", default=1364.0, show_default=True, help="First tries a second.")
@click.option("--views/--no-views", help="Each balancer's shortage, wait, usual wait and requests in hand.")
def main(seed: int, rate: float, views: bool) -> None:
    incident = incident_of(rate)
    with viewed() as seen:
        rehearsal = rehearse(incident, seed)
    drawn, origin = draw(incident, generators(seed)), rehearsal.origin_us
    since, until = origin + (LOST_S + SETTLED_S) * SECOND, origin + UNTIL_S * SECOND
    book, rules = Book(rehearsal.log), {row.name: row for row in rules_of(incident).classes}
    room = Capacity(rehearsal.log, drawn.kinds).between(since, until)
    gain = next(iter(drawn.kinds.values())).cache_gain
    work, waits, tries = defaultdict(float), defaultdict(list), Counter[int]()  # type: ignore[var-annotated]
    for ran in book.ran:
        if since <= ran.at < until and ran.request in book.sent:
            sent, came = book.sent[ran.request], book.came[ran.request, ran.node]
            rule = rules[sent.class_name]
            became = book.became(ran, rule.aim_us, rule.deadline_us)
            work[became] += came.work_us * (1 - gain if ran.hit else 1) / room
            waits[ran.node].append((ran.at - came.at) / rule.aim_us)
            tries[sent.attempt] += 1
    click.echo(f"begun, of what nodes can do: {sum(work.values()):.3f}")
    for name, share in sorted(work.items(), key=lambda one: -one[1]):
        click.echo(f"  {name:14} {share:.3f}")
    click.echo(
        "wait at the nodes, of the aim: "
        + ", ".join(f"{node} {fmean(found):.2f}" for node, found in sorted(waits.items()))
    )
    click.echo(f"begun by try: {dict(sorted(tries.items()))}")
    if views:
        for at, number, *view in seen:
            click.echo(f"{(at - origin) / SECOND:6.1f} s  balancer {number}  " + "  ".join(map(str, view)))


def incident_of(rate: float) -> Incident:
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(without_return(rate, LOST_S, UNTIL_S))
        file.flush()
        return load(file.name)


@contextmanager
def viewed() -> Iterator[list[tuple[int, int, float, float, float, int]]]:
    """Now and then: when, which balancer, its shortage, wait, usual wait, and what is in hand."""
    seen: list[tuple[int, int, float, float, float, int]] = []
    known: dict[Balancer, tuple[int, int]] = {}  # its number, and when it was looked at
    measure_shortage = Balancer.measure_shortage

    def looked(self: Balancer) -> float:
        share = measure_shortage(self)
        number, at = known.get(self, (len(known), -VIEW_US))
        if self.now - at >= VIEW_US:
            known[self] = number, self.now
            hand = self.fleet_load
            seen.append(
                (
                    self.now,
                    number,
                    round(share, 2),
                    round(hand.expected_wait(self.now), 2),
                    round(hand._baseline, 2),
                    hand.in_flight_count,
                )
            )
        return share

    Balancer.measure_shortage = looked  # type: ignore[method-assign]
    try:
        yield seen
    finally:
        Balancer.measure_shortage = measure_shortage  # type: ignore[method-assign]


if __name__ == "__main__":
    main()
