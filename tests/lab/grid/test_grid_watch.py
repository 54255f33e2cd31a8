"""What the live picture has of the wire, and how it is shown: fixed events, a fixed state, and their text."""

from __future__ import annotations

from io import StringIO

from rich.console import Console

from roadlb.lab.grid.picture import BalancerRow, NodeRow, Picture
from roadlb.lab.grid.table import line, tables
from roadlb.lab.grid.watch import Inside, PassingLog, Watch
from roadlb.lab.incident import Incident
from roadlb.lab.wire import (
    BalancerState,
    ClientGot,
    ClientLost,
    ClientSent,
    ClientWished,
    NodeFell,
    NodeGot,
    NodeRan,
    NodeStarted,
    NodeState,
    Note,
)

S = 1_000_000
STATE = Picture(
    "A deploy",
    12.0,
    45.0,
    (
        NodeRow("node-01", "up", "new-2c", "hall-a", 1.0, 1.934, 1.0, 0, 2, 41.2),
        NodeRow("node-02", "draining", "old-2c", "hall-b", 1.0, 1.2, 3.0, 4, 2, 0.0),
        NodeRow("node-03", "fallen", "old-2c", "hall-c", 0.0, 0.0, 1.0, 0, 0, 7.0),
        NodeRow("node-12", "up", "new-2c", "hall-a", 0.31, 0.6, 1.0, 1, 2, 9.0),
    ),
    (
        BalancerRow("balancer-1", "up", "hall-a", 181.0, 2.0, 1.0, 0.0, 0.987),
        BalancerRow("balancer-2", "down", "hall-b", 0.0, 0.0, 0.0, 3.0, None),
    ),
    190.0,
    0.931,
    {"lost": 3},
    "order 01 of clients of hall-b, taken by balancer-2, got no answer",
    0.2,
)


def test_the_table_of_a_fixed_state() -> None:
    told = StringIO()
    Console(file=told, width=100, color_system=None).print(tables(STATE))
    assert [text.rstrip() for text in told.getvalue().splitlines()] == [
        "12 of 45 s   190 wished/s   service so far 93.1%   1 fallen   held up 0.2 s   A deploy",
        "broken: lost 3",
        "order 01 of clients of hall-b, taken by balancer-2, got no answer",
        "",
        "balancer    state  hall    served/s  refused/s  failed/s  lost/s  worth",
        "balancer-1  up     hall-a       181          2         1       0  98.7%",
        "balancer-2  down   hall-b         0          0         0       3      -",
        "",
        "node     state              kind    hall    warm            can  queue  in work  sent/s",
        "node-01  up                 new-2c  hall-a  ######## 100%  1.93      0        2      41",
        "node-02  draining, work x3  old-2c  hall-b  ######## 100%  1.20      4        2       0",
        "node-03  fallen             old-2c  hall-c",
        "node-12  cold               new-2c  hall-a  ##......  31%  0.60      1        2       9",
    ]


def test_the_line_of_a_fixed_state() -> None:
    assert line(STATE) == (
        "   12 s  nodes 1 up, 1 draining, 1 fallen, 1 cold  wished 190/s  served 181  refused 2  failed 1  "
        "lost 3  service 93.1%  broken: lost 3"
    )


def watched() -> tuple[PassingLog, Watch]:
    log, watch = PassingLog(), Watch(Incident(name="t", title="T"), 10 * S)
    log.listen(watch.see)
    return log, watch


def test_nodes_are_told_from_what_crossed_and_leave_the_picture_some_time_after_their_end() -> None:
    log, watch = watched()
    for name in ("a", "b", "c"):
        log.write(NodeStarted(10 * S, name, 5, "new-2c", "hall-a", 2.0, 1.0))
    for event in (
        NodeState(10 * S, "a", 5, "draining"),
        NodeState(10 * S, "a", 5, "paused"),
        NodeState(10 * S, "a", 5, "resumed"),
        NodeState(10 * S, "b", 5, "slowed"),
        NodeFell(11 * S, "c", 5, 2, 1),
        NodeState(11 * S, "c", 5, "stopped"),
        NodeGot(11 * S, 11 * S, "b", 5, "n1", "", "GET", "/load", 10),
        NodeGot(11 * S, 11 * S, "b", 5, "n1", "00000000000000aa", "GET", "/grid-read/x", 10),
    ):
        log.write(event)
    here = Inside(0.5, 1.0, 3.0, 4, 2)
    told = watch.picture(12 * S, lambda name: here)
    assert [(row.name, row.state, row.cold_share, row.queue, row.sent_per_s) for row in told.nodes] == [
        ("a", "draining", 0.5, 4, 0.0),
        ("b", "up", 0.5, 4, 0.5),
        ("c", "fallen", 0.0, 0, 0.0),
    ]
    assert [row.sent_per_s for row in watch.picture(13 * S, lambda name: here).nodes] == [0.0] * 3
    assert [row.name for row in watch.picture(21 * S + 1, lambda name: None).nodes] == ["a", "b"]
    assert len(log) == 0  # a grid may be played for days


def test_balancers_are_told_by_how_the_tries_of_their_clients_ended() -> None:
    log, watch = watched()
    log.write(BalancerState(10 * S, "n1", "started"))
    log.write(BalancerState(10 * S, "n1", "ready"))
    for i, (class_name, status) in enumerate(
        (
            ("order", 200),
            ("order", 503),
            ("grid-read", 429),
            ("grid-read", 500),
            ("order", 0),
            ("grid-read", 200),
        )
    ):
        request = f"{i + 0xF000000000000000:x}"
        log.write(ClientWished(10 * S, i, "c", class_name, "energia-sever"))
        log.write(ClientSent(10 * S, request, i, 0, "c", "n1", class_name, "energia-sever", "k", S, 10 * S))
        late = 10 * S + 900_000 * (class_name == "grid-read")  # after the aim of 0.5 s: half the worth
        log.write(
            ClientGot(late, request, "n1", status, "body")
            if status
            else ClientLost(late, request, "n1", "reset", True)
        )
    told = watch.picture(12 * S, lambda name: None)
    (row,) = told.balancers
    assert (row.state, row.served, row.refused, row.failed, row.lost) == ("up", 1.0, 1.0, 0.5, 0.5)
    assert row.worth == (10 + 1) / (3 * 10 + 3 * 2) and told.wished_per_s == 3.0
    log.write(BalancerState(12 * S, "n1", "ended"))
    told = watch.picture(13 * S, lambda name: None)
    assert told.balancers[0].state == "down" and told.balancers[0].served == 0.0
    assert told.violations.keys() >= {"lost", "crash"} and "n1" in told.worst


def test_what_others_ask_of_the_balancers_is_no_violation_and_yet_part_of_the_load() -> None:
    log, watch = watched()
    log.write(NodeStarted(10 * S, "b", 5, "new-2c", "hall-a", 2.0, 1.0))
    log.write(NodeGot(11 * S, 11 * S, "b", 5, "n1", "00000000000000aa", "GET", "/grid-read/x?w=1", 1))
    log.write(NodeRan(11 * S, "b", 5, "00000000000000aa"))
    log.write(Note(12 * S, "later"))
    told = watch.picture(12 * S, lambda name: Inside(1.0, 2.0, 1.0, 0, 0))
    assert (told.violations, told.worst, told.nodes[0].sent_per_s) == ({}, "", 0.5)
