"""What is shared, as the decision module hears it: many modules with and without, and deaf."""

from __future__ import annotations

import json
from io import StringIO

from rich.console import Console

from roadlb.cli.peers import shared_tables
from roadlb.lab.model.told_fleet import ORDER, SECOND, Air, ToldFleet
from roadlb.policy.interface import ListKind, ListUpdate, Member, ServerView, Tenant, View
from roadlb.routing.shares import BudgetShares
from roadlb.shared_state.budgets import Terms
from roadlb.shared_state.events import Answer, Ask, Beside, Budget, key
from roadlb.shared_state.judgements import Evidence
from roadlb.shared_state.told import Hear, Message, Post, Pulse, There, Told
from roadlb.shared_state.wire import read, write

TERMS = Terms(instances=4)
START = TERMS.gift_us
COLD = {"cold_from": 0.2, "cold_us": 20 * SECOND}


def played(share: bool, air: Air | None = None, seed: int = 3, hall: int | None = None) -> ToldFleet:
    """Twelve balancers; after 4 s one node answers errors at once, and one is new and cold."""
    fleet = ToldFleet(12, 20, seed, share, air, orders=0.9, tenants=[Tenant("t", 40.0)], **COLD)
    fleet.play(4, 300, tenants=1)
    fleet.bad[b"node-7"] = fleet.now, hall
    fleet.tell(ListUpdate(ListKind.DELTA, [Member(b"new", born_us=fleet.now)]))
    fleet.play(6, 300, tenants=1)
    return fleet


def lost(fleet: ToldFleet) -> int:
    return sum(s.cls == ORDER and not s.good for s in fleet.sent)


def test_who_hears_nobody_decides_as_with_the_part_off() -> None:
    off, deaf = played(False), played(True, Air(loss=1.0))
    assert off.sent == deaf.sent and off.refused == deaf.refused
    assert all(
        p.heard[0].fleet_shortage is None and not p.heard[0].slow_start_shares and not p.heard[0].quota_shares
        for p in deaf.parties
    )


def test_few_lose_orders_at_a_server_that_all_will_avoid() -> None:
    alone, together = lost(played(False)), lost(played(True))
    assert together <= 4 and alone >= 2 * together, (alone, together)


def test_a_server_that_is_bad_for_one_hall_is_avoided_by_that_hall_alone() -> None:
    fleet = played(True, hall=0)
    avoiding = {i % 3 for i, p in enumerate(fleet.parties) if b"node-7" in p.heard[0].avoid_until}
    assert avoiding == {0}
    assert any(s.server == b"node-7" and s.balancer % 3 for s in fleet.sent if s.at > fleet.now - SECOND)


def told(quota: float = 100.0) -> Told:
    t = Told(0, "a", 1, "hall", TERMS, [("t", quota)])
    t.handle(START, There(("a", "b", "c", "d")))
    return t


def pulse(t: Told, now: int, asked: float, *servers: ServerView) -> list[object]:
    return list(t.handle(now, Pulse(View(list(servers), tenant_rates_per_s=(asked,)), 0)))


def test_the_module_hears_of_less_before_any_of_it_leaves() -> None:
    t = told()
    pulse(t, START, 0.0)
    k = t._quotas[0][0]
    assert t.handle(START, Message("b", 1, write(Ask(1, 4, ((k, 0, TERMS.part),))))) == []
    hear, post = pulse(t, START + 1, 0.0)[:2]
    assert isinstance(hear, Hear) and isinstance(post, Post) and post.to == "b"
    assert hear.event.quota_shares == {0: TERMS.kept / TERMS.whole}
    assert read(post.payload) == Answer(1, 1, ((k, TERMS.most),))


def test_a_busy_customer_s_quota_is_asked_of_others_and_lapses_in_a_module_that_was_stopped() -> None:
    t = told()
    asks = [a for a in pulse(t, START, 90.0) if isinstance(a, Post)]
    for ask in asks:
        message = read(ask.payload)
        assert isinstance(message, Ask)
        t.handle(
            START, Message(ask.to, 1, write(Answer(1, message.number, ((t._quotas[0][0], TERMS.most),))))
        )
    (hear, *_) = pulse(t, START + 1, 90.0)
    assert isinstance(hear, Hear) and len(asks) == 3
    heard = hear.event
    assert heard.quota_shares[0] > 0.6 and heard.lease_end_us == START + TERMS.lease_us
    shares = BudgetShares(4)
    shares.update(
        0,
        0,
        heard.slow_start_shares,
        heard.quota_shares,
        None,
        heard.lease_end_us,
        heard.fallback_share,
        heard.quota_factors,
    )
    assert (
        shares.quota_divisor(heard.lease_end_us - 1, 0) == 1.6
        and shares.quota_divisor(heard.lease_end_us, 0) == 8
    )


def test_nothing_is_given_of_a_cold_server_that_the_module_may_still_use_wholly() -> None:
    # One that others know first, one that its earlier life gave of, and one that started twice.
    t, k = told(), key(Budget.COLD, b"new")

    def ask(number: int, now: int) -> Answer:
        t.handle(now, Message("b", 1, write(Ask(number, 4, ((k, 0, TERMS.part),)))))
        (answer,) = (read(a.payload) for a in pulse(t, now + 1, 0.0) if isinstance(a, Post) and a.to == "b")
        assert isinstance(answer, Answer)
        return answer

    assert ask(1, START).items == ((k, 0),)
    cold = ServerView(b"new", True, 0.2, False, 1.0, 1, 0)
    pulse(t, START + 2, 0.0, cold)
    ((_, given),) = ask(2, START + 3).items
    assert given > 0
    for cold_yet in ((cold,), ()):  # gone from the list, it may come back while the gift is used
        (hear, *_) = pulse(t, START + 5, 0.0, *cold_yet)
        assert isinstance(hear, Hear) and hear.event.slow_start_shares == {
            b"new": (TERMS.part - given) / TERMS.whole
        }
    early = Told(0, "a", 2, "hall", TERMS).handle(1, Beside(1))[0]
    assert isinstance(early, Hear)
    for rest, among in ((early.event.max_unlisted_share, 8), (hear.event.max_unlisted_share, 4)):
        shares = BudgetShares(4)
        shares.max_unlisted_share = rest
        assert shares.slow_start_divisor(0, b"unheard of") == among


def test_beside_a_twin_half_of_what_is_never_given() -> None:
    t = told()
    pulse(t, START, 0.0)
    (hear,) = t.handle(START, Beside(2))
    assert isinstance(hear, Hear) and hear.event.quota_shares == {0: TERMS.kept // 2 / TERMS.whole}


def test_what_is_no_message_is_counted_and_nothing_more() -> None:
    t = told()
    assert t.handle(START, Message("b", 1, b"\x07rubbish")) == [] and t.faults == 1


def test_operators_see_shares_and_judgements_with_their_witnesses() -> None:
    fleet = played(True, seed=4)
    party = next(p for p in fleet.parties if b"node-7" in p.heard[0].avoid_until)
    assert party.told
    figures = party.told.figures(fleet.now)
    (judged,) = (j for j in figures["judgements"] if j["server"] == "node-7")
    assert len(judged["witnesses"]) >= 2 and {w["trouble"] for w in judged["witnesses"]} == {"errors"}
    assert {(s["kind"], s["budget"]) for s in figures["shares"]} >= {("cold", "new"), ("quota", "t")}
    shares = [s for p in fleet.parties if p.told for s in p.told.figures(fleet.now)["shares"]]
    for side in ("held", "given"):
        assert any(s[side] for s in shares) and all(who.startswith("lb-") for s in shares for who in s[side])
    sent = figures["counts"]["sent"]
    assert sent[0]["count"] >= sent[-1]["count"] > 0 and sent[0]["heard"] > 1
    assert sent[0]["server"].startswith("node-")
    screen = Console(width=160, record=True, file=StringIO())
    screen.print(*shared_tables(json.loads(json.dumps(figures))), sep="\n")
    text = screen.export_text()
    witness = judged["witnesses"][0]
    assert "shares of 12" in text and "cold" in text
    named = "node-7", witness["name"], "errors"
    assert any(all(word in line for word in named) for line in text.splitlines())


def test_who_serves_few_leans_on_the_shortage_that_all_see_and_who_serves_many_on_its_own() -> None:

    leans = []
    for served in (1, 200):
        t = told()
        pulse(t, START, 0.0)
        for n, name in enumerate("bcd"):
            evidence = Evidence(0.5, 10, 5, 0, key(Budget.COLD, b"hall"), number=n + 1)
            t.handle(START + SECOND, Message(name, 1, write(evidence)))
        (hear, *_) = t.handle(START + SECOND, Pulse(View([], tenant_rates_per_s=(0.0,)), served))
        (hear, *_) = t.handle(START + SECOND + 1, Pulse(View([], tenant_rates_per_s=(0.0,)), served))
        assert isinstance(hear, Hear) and 0.3 < (hear.event.fleet_shortage or 0) <= 0.5
        assert hear.event.fleet_shortage_until > START + SECOND
        leans.append(hear.event.fleet_shortage_weight)
    assert leans[0] > 0.85 and leans[1] < 0.15
    (hear, *_) = t.handle(START + 4 * SECOND, Pulse(View([], tenant_rates_per_s=(0.0,)), 200))
    assert isinstance(hear, Hear) and hear.event.fleet_shortage is None, "nobody is heard any more"
