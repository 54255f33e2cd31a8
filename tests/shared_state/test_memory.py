"""What is kept of others, and of oneself, is bounded: each table filled far beyond with hostile input."""

from __future__ import annotations

import asyncio
from random import Random

from roadlb.config import Address, PeersConfig
from roadlb.counters import Counters
from roadlb.lab.model.told_fleet import SECOND
from roadlb.membership import messages as say
from roadlb.membership.admission import SENDERS_MOST, Admission
from roadlb.membership.events import Member, Received, Start, State, first_incarnation
from roadlb.membership.members import Members
from roadlb.membership.pings import UNDER_WAY_MOST, Pings
from roadlb.membership.view import GONE_MOST
from roadlb.net.peers import SOURCES_MOST, WAITING_MOST, Peers
from roadlb.policy.interface import ServerView, View
from roadlb.shared_state import counts, judgements
from roadlb.shared_state.budgets import MOST_ITEMS, MOST_PARTNERS, MOST_TAKERS, Budgets, Terms
from roadlb.shared_state.counts import Counted, Counts
from roadlb.shared_state.events import Answer, Ask, Came, Needs, Partners, Sort, short
from roadlb.shared_state.events import Pulse as BudgetsPulse
from roadlb.shared_state.judgements import Evidence, Judgements, Sign, Trouble
from roadlb.shared_state.told import MOST_WAITING, Message, Pulse, There, Told
from roadlb.shared_state.wire import write

NOW = 100 * SECOND
KEYS = [short(b"%d" % n) for n in range(3_000)]


def test_counts() -> None:
    here = Counts()
    for n in range(3 * counts.MOST_KEYS):
        here.add(NOW, Sort.SENT, b"%08d" % n)
        here.add(NOW, Sort.SERVED, short(b"%d" % n))
    assert len(here.own(NOW)) <= counts.MOST_KEYS + len(Sort)
    many = Counted(tuple((Sort.SENT, k, 1) for k in KEYS))
    for n in range(counts.MOST_SENDERS + 500):
        here.came(NOW, f"w{n}", 1, many)
    assert len(here.reports) == counts.MOST_SENDERS
    assert max(len(r.counts) for r in here.reports.values()) == counts.MOST_COUNTS


def test_judgements() -> None:
    here = Judgements("a")
    here.listed({b"%d" % n: 0 for n in range(50)})
    for n in range(5_000):
        here.saw(NOW, b"%d" % n, Trouble.ERRORS)
    assert len(here._seen) == 50 == len(here._news)
    for whole in (True, False):
        for n in range(judgements.MOST_WITNESSES + 100):
            for number in (1, 2):
                signs = tuple(Sign(k, Trouble.ERRORS, 1, 0, -1, -1) for k in KEYS[number * 40 :][:50])
                here.came(NOW, f"w{n}", 1, Evidence(0.0, 1, 1, 1, KEYS[0], signs, number, whole))
    assert len(here.witnesses) == judgements.MOST_WITNESSES
    assert max(len(w.claims) for w in here.witnesses.values()) <= judgements.MOST_SIGNS
    here.forget(NOW + 2 * judgements.COUNT_US)
    assert not here.witnesses and not here._claimed


def test_budgets() -> None:
    terms = Terms(instances=4)
    here = Budgets(NOW - terms.gift_us, "me", 1, terms)
    for n in range(MOST_TAKERS + 50):
        for number in (1, 2):
            items = tuple((k, 0, 1) for k in KEYS[number * 100 :][:MOST_ITEMS])
            here.handle(NOW, Came(f"t{n}", 1, Ask(number, 4, items)))
    assert len(here.takers) == MOST_TAKERS
    assert max(len(t.gifts) for t in here.takers.values()) <= MOST_ITEMS
    here.handle(NOW, Partners(tuple(f"p{n}" for n in range(500))))
    here.handle(NOW, Needs(dict.fromkeys(KEYS[:MOST_ITEMS], terms.whole)))
    for step in range(30):
        for ask in here.handle(NOW + step * SECOND // 4, BudgetsPulse()):
            assert isinstance(ask.message, Ask)
            here.handle(
                NOW + step * SECOND // 4,
                Came(ask.to, 1, Answer(1, ask.message.number, tuple((k, 1) for k in KEYS))),
            )
        assert len(here.partners) <= MOST_PARTNERS and len(here.skip) <= 500
        assert all(len(p.held) <= MOST_ITEMS for p in here.partners.values())


def test_answers_that_wait_for_the_module_to_be_told() -> None:
    told = Told(NOW - Terms(instances=4).gift_us, "me", 1, "hall", Terms(instances=4), [("t", 1.0)])
    told.handle(NOW, There(("me", "b")))
    told.handle(NOW, Pulse(View([ServerView(b"a", True, 1.0, False, False, 0.0)]), 0))
    for number in range(1, 3 * MOST_WAITING):
        told.handle(NOW, Message("b", 1, write(Ask(number, 4, ((told._quotas[0][0], 0, 1),)))))
    assert len(told._waiting) == MOST_WAITING


def test_membership() -> None:
    members = Members(Member("me", "10.0.0.1", 7946, "h", first_incarnation(1_000)), [], Random(1), most=200)
    members.handle(0, Start())
    other = Member("other", "10.0.0.2", 7946, "h", first_incarnation(2_000))
    head = say.record(other) + say.digest(2, 7)
    for n in range(4_000):
        state = State.DEAD if n % 2 else State.SUSPECT
        lied = Member(f"m{n}", "10.0.0.3", 7946, "h", first_incarnation(3_000 + n), state)
        parts = say.update(lied, "other" if n % 2 == 0 else ""), say.ask(n, lied), say.numbered(say.PING, n)
        members.handle(n * 100, Received("other", other.incarnation, head + b"".join(parts), True))
    members.view.forget(4_000 * 100)
    assert len(members.view) <= 200 and len(members.view.entries) <= 200 + GONE_MOST
    assert len(members._suspects) <= 200 and len(members.rumours) <= 200 + GONE_MOST
    pings = Pings(Random(1))
    for n in range(3 * UNDER_WAY_MOST):
        pings.for_another(n, other, n, "10.0.0.3", 1)
    assert len(pings._under_way) == UNDER_WAY_MOST


def test_admission() -> None:
    admission = Admission()
    for n in range(SENDERS_MOST + 1_000):
        admission.judge(n, f"n{n}", 1 << 16, 1)
        admission.trust(f"t{n}", 1)
    assert len(admission.senders) == SENDERS_MOST


def test_the_endpoint_s_own_tables() -> None:
    async def main() -> None:
        config = PeersConfig(Address("127.0.0.1", 0), b"a key for tests only", "test", ())
        peers = Peers("me", "h", config, Counters(), lambda: NOW, lambda: NOW, 1)
        for n in range(SOURCES_MOST + 1_000):
            peers._source(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}")
        for n in range(WAITING_MOST + 1_000):
            peers._put("10.0.0.1", n % 9_000, 77, b"x")
        assert len(peers._sources) == SOURCES_MOST
        assert sum(map(len, peers._waiting.values())) == WAITING_MOST
        assert peers.counters["peers.out_dropped"] == 1_000
        assert len([name for name in peers.counters.all() if "bytes" in name]) == 1, "none for each kind"

    asyncio.run(main())
