"""A short night that was made up: a deploy, a pause, a node that falls, and a few broken rules."""

from __future__ import annotations

from random import Random

from roadlb.lab.incident import read, rules_of
from roadlb.lab.judge import Judge
from roadlb.lab.report import Subject
from roadlb.lab.wire import (
    BalancerState,
    ClientGot,
    ClientLost,
    ClientSent,
    NodeFell,
    NodeGave,
    NodeGot,
    NodeRan,
    NodeStarted,
    NodeState,
    Note,
    Told,
    WireEvent,
    WireLog,
)

S, START = 1_000_000, 500 * 1_000_000  # the clock does not begin at 0
NODES = ("node-01", "node-02", "node-03")


def events(rng: Random, seconds: int, per_s: int) -> list[WireEvent]:
    made: list[WireEvent] = [NodeStarted(START, name, 0, "new-2c", "hall-a", 2.0, 1.0) for name in NODES]
    made += [
        Note(START + 4 * S, "deploy <of> node-01 & others"),
        Told(START, "balancer-1", "node-01", 0, "up", 1),
        NodeState(START + 4 * S, "node-01", 0, "draining"),
        Told(START + 5 * S, "balancer-1", "node-01", 0, "draining", 2),
        NodeState(START + 8 * S, "node-01", 0, "stopped"),
        NodeStarted(START + 8 * S, "node-04", 99, "old-2c", "hall-b", 1.2, 0.2),
        Told(START + 9 * S, "balancer-1", "node-04", 99, "up", 3),
        NodeState(START + 6 * S, "node-02", 0, "paused"),
        NodeState(START + 7 * S, "node-02", 0, "resumed"),
        NodeFell(START + 11 * S, "node-04", 99, 1_900_000, 400_000),
        BalancerState(START, "balancer-1", "started"),
        BalancerState(START, "balancer-1", "ready"),
    ]
    for number in range(seconds * per_s):
        at = START + number * S // per_s + rng.randrange(S // per_s)
        class_name, method = rng.choice([("grid-read", "GET"), ("order", "POST")])
        name, node, started, took = f"{number:016x}", rng.choice(NODES), 0, rng.randrange(5_000, 90_000)
        if 10 * S <= at - START < 11 * S:
            node, started = "node-04", 99
        made.append(
            ClientSent(
                at, name, number, 0, "clients-a", "balancer-1", class_name, "energia-sever", "k1", 900_000, at
            )
        )
        if number % 50 == 7:
            made.append(ClientGot(at + 900, name, "balancer-1", 503, ""))
        elif number % 50 == 9:
            made.append(ClientLost(at + 900_000, name, "balancer-1", "timed_out", True))
        else:
            made += [
                NodeGot(
                    at + 900, at + 900, node, started, "balancer-1", name, method, f"/{class_name}/k1", took
                ),
                NodeRan(at + 950, node, started, name),
                NodeGave(at + took, node, started, name, 200, "ok", name * 2),
                ClientGot(at + took + 900, name, "balancer-1", 200, name * 2),
            ]
    return sorted(made, key=lambda event: event.at)


def subject(seconds: int = 14, per_s: int = 60) -> Subject:
    """The same every time."""
    rules = rules_of(read('title = "t"', "night.toml"))
    log, judge = WireLog(), Judge(rules)
    log.listen(judge.see)
    for event in events(Random(3), seconds, per_s):
        log.write(event)
    verdict = judge.verdict(START + (seconds + 5) * S)
    return Subject("night", "A made-up <night>", 7, "sim", log, verdict, rules)
