"""The judge accuses nobody who kept the rules, holds a bounded number of things, and weighs worth as told."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st
from wire_story import RULES, Story, us

from roadlb.lab.judge import Judge, Rule, Verdict
from roadlb.lab.wire import ClientGot, ClientLost, NodeGot

NODES, BALANCERS, GRACE_MS = ("n1", "n2", "n3", "n4"), ("b1", "b2"), 1000
TURNED_AWAY, FAILS = ["unprocessed"], ["error", "noise", "length short"]
SERVES = ["ok", "copy behind", "interim first"]


def lawful(rng: Random, count: int) -> Story:
    """Requests of both classes through drains, crashes of balancers and spoilt answers."""
    story, end = Story(), 100 * count + 3000
    drained = {(b, n): rng.randrange(end) for b in BALANCERS for n in NODES[1:] if rng.random() < 0.5}
    for (balancer, node), at in drained.items():
        story.told(at, rng.choice(["draining", "removed"]), 2, balancer=balancer, node=node)
    killed = {b: rng.randrange(end) for b in BALANCERS if rng.random() < 0.5}
    for balancer, at in killed.items():
        story.does(at, "killed", balancer).does(at + 500, "started", balancer)
    for i in range(count):
        begin, balancer = 100 * i + rng.randrange(90), rng.choice(BALANCERS)
        if not killed.get(balancer, end) <= begin < killed.get(balancer, end) + 500:
            one_request(story, rng, f"r{i}", begin, balancer, drained, killed.get(balancer, 2 * end))
    return story


def one_request(
    story: Story,
    rng: Random,
    name: str,
    begin: int,
    balancer: str,
    drained: dict[tuple[str, str], int],
    killed: int,
) -> None:
    """Attempts as its class allows, then an answer; or the balancer dies first."""
    story.class_name, story.balancer = rng.choice(["order", "grid-read"]), balancer
    order, at, before, out = story.class_name == "order", begin + 1, len(story.events), False
    story.sent(begin, name)
    for _ in range(rng.randrange(5)):
        node = rng.choice([n for n in NODES if at <= drained.get((balancer, n), 1 << 40) + GRACE_MS])
        kind, took = rng.choice(TURNED_AWAY + FAILS + SERVES), rng.randrange(2, 150)
        story.attempt(at, name, node, kind, took)
        at += took + 2
        if kind in SERVES:
            story.got(at, name)
            break
        out = out or kind != "unprocessed"
        if order and out:
            story.got(at, name, 502)
            break
    else:
        how = rng.choice([502, 503, "left"])
        if how == "left":
            story.lost(at, "timed_out", name)
        else:
            story.got(at, name, 502 if order and out else int(how))
    if begin < killed < at:  # what was not there yet when the balancer died never came about
        story.events[before:] = [
            event
            for event in story.events[before:]
            if event.at <= us(killed) or not isinstance(event, NodeGot | ClientGot)
        ]
        story.lost(killed + 1, "reset", name)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(1, 30))
def test_lawful_streams_break_no_rule(seed: int, count: int) -> None:
    story = lawful(Random(seed), count)
    verdict = story.verdict()
    assert verdict.counts == {}, [violation.text for violation in verdict.violations]
    assert verdict == story.verdict()


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(5, 30), st.sampled_from(["lose", "double", "alter"]))
def test_one_defect_in_a_lawful_stream_is_found(seed: int, count: int, defect: str) -> None:
    story = lawful(Random(seed), count)
    answers = [
        i for i, event in enumerate(story.events) if isinstance(event, ClientGot) and event.status == 200
    ]
    assume(answers)
    i = answers[seed % len(answers)]
    answer = story.events[i]
    assert isinstance(answer, ClientGot)
    if defect == "lose":
        story.events[i] = ClientLost(answer.at, answer.request, answer.balancer, "closed", True)
    elif defect == "double":
        story.events.append(replace(answer, at=answer.at + 5000))
    else:
        story.events[i] = replace(answer, body="other")
    wanted = {"lose": Rule.LOST, "double": Rule.DOUBLED, "alter": Rule.ALTERED}[defect]
    assert story.verdict().counts == {wanted: 1}


def test_what_the_judge_holds_does_not_grow_with_the_run() -> None:
    judge, held = Judge(RULES), []
    for minute in range(3):
        for i in range(600):
            story = Story().whole(60_000 * minute + 100 * i, f"r{minute}-{i}", work=1)
            for event in story.events:
                judge.see(event)
        held.append(judge.held)
    assert held[0] == held[1] == held[2] < 300 and judge.verdict(us(240_000)).figures.served == 1800


def test_events_may_be_written_a_little_late() -> None:
    """On real sockets an answer may reach its client before its node has noted that it gave it."""
    judge, story = Judge(RULES), Story().sent(0).came(1).ran(2).got(60).gave(50)
    for event in story.events:
        judge.see(event)
    assert judge.verdict(us(5000)).kept


def worth_of(**rules: float) -> Verdict:
    """Two tenants, both classes, and every way in which a wish can end."""
    s = Story(**rules)
    s.class_name = "grid-read"
    s.sent(0, "a0", wish=1, tenant="acme").attempt(1, "a0").got(500, "a0")  # in time: 2 of 2
    s.sent(0, "a1", wish=2, tenant="bolt").attempt(1, "a1", took=20).got(501, "a1")  # late: 1 of 2
    s.class_name = "order"
    s.sent(20_000, "o0", wish=3, tenant="acme").got(20_100, "o0", 503)  # refused
    s.sent(20_200, "o1", wish=3, attempt=1, tenant="acme", due=20_000)  # and in time:
    s.attempt(20_201, "o1", node="n2").got(20_600, "o1")  # 10 of 10
    s.sent(20_000, "o2", wish=4, tenant="bolt").attempt(20_002, "o2", kind="error").got(20_060, "o2", 502)
    s.wished(20_900, 5, tenant="acme")  # never got through
    return s.verdict()


def test_worth_is_weighed_as_the_operators_weigh_it() -> None:
    worth, figures = worth_of().worth, worth_of().figures
    assert (worth.asked, worth.served) == (34, 13)
    assert worth.by_class == {"grid-read": 3 / 4, "order": 10 / 30}
    assert worth.by_tenant == {"acme": 12 / 22, "bolt": 1 / 12}
    assert (worth.worst_window, worth.worst_window_at_s) == (10 / 30, 11)
    prices = 0.04 * 10 / 40 + 0.03 * 10 / 34
    assert sum(worth.prices.values()) == pytest.approx(prices)
    assert worth.service == pytest.approx(
        0.4 * 13 / 34 + 0.15 * 10 / 30 + 0.2 * 10 / 30 + 0.25 * 1 / 12 - prices
    )
    assert (figures.wishes, figures.tries) == (5, 5)
    assert (figures.in_time, figures.late, figures.unanswered) == (2, 1, 2)
    assert (figures.served, figures.refused, figures.failed, figures.attempts) == (3, 1, 1, 4)
    assert figures.latency_ms["order"]["p50"] == pytest.approx(400, rel=0.002)


def test_a_tenant_beyond_its_share_is_worth_less_and_not_counted_for_it() -> None:
    story = Story()
    for i in range(4):  # bolt may ask twice a second; its third and fourth are beyond
        story.sent(i, f"r{i}", tenant="bolt").attempt(i + 1, f"r{i}")
        story.got(60 + i, f"r{i}", 200 if i < 2 else 502)
    worth = story.verdict().worth
    assert worth.asked == 10 + 10 + 2 + 2 and worth.by_tenant == {"bolt": 1.0}


def test_prices_and_the_cost_of_sitting_on_a_request() -> None:
    story = Story(halls={"b1": "hall-b"}).started(0)
    story.class_name = "grid-read"
    story.whole(10, "r1", fresh=True).came(100, "", target="/healthz")
    story.sent(200, "r2").got(701, "r2", 503)  # after more than half of its time
    story.sent(200, "r3").got(700, "r3", 503)  # and just not
    worth = story.verdict().worth
    assert {name: price * 100 for name, price in worth.prices.items()} == pytest.approx(
        {"handshake": 8 / 3, "waste": 0, "late_fail": 1, "cross_hall": 2 / 3, "probe": 1 / 3}
    )
    assert worth.served == pytest.approx(2 - 0.3 * 2)
