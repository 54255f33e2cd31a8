"""Hard cases of shared state, each played to its end; the design of shared state lists which shows which."""

from __future__ import annotations

from random import Random

from roadlb.lab.model.share_fleet import CALM, SECOND, ShareFleet, Weather
from roadlb.shared_state.budgets import Terms
from roadlb.shared_state.events import short
from roadlb.shared_state.judgements import COUNT_US, HOLD_US, Judgements, Trouble

R = b"thing000"


def fleet(members: int, busy: int, weather: Weather = CALM, seed: int = 1) -> ShareFleet:
    """The first few have all the demand, and all have been there for long."""
    terms = Terms(instances=members)
    return ShareFleet(
        members,
        terms,
        seed,
        weather,
        resources=1,
        settled=True,
        needs=lambda i, _: {R: 40 * terms.part if i < busy else 0},
    )


def parts(f: ShareFleet, name: str) -> float:
    return f.processes[name].shares[R] / f.terms.part


def test_of_two_hundred_configured_sixty_are_alive_and_share_what_they_own() -> None:
    f = fleet(200, 6)
    f.kill(f.names[60:])
    f.know()
    f.most = 0.0
    f.play(8)
    assert parts(f, "lb-0") > 5 and f.most <= 0.3 + 1e-9


def test_a_fleet_that_doubles_takes_nothing_that_is_in_use() -> None:
    f = fleet(20, 2)
    f.kill(f.names[10:])
    f.know()
    f.play(6)
    assert parts(f, "lb-0") > 1.5
    for name in f.names[10:]:
        f.restart(name)
    assert all(parts(f, name) == 0.5 for name in f.names[10:]), "an earlier life may have given half"
    f.know()
    f.play(20)
    assert parts(f, "lb-0") + parts(f, "lb-1") > 8 and 0.9 < f.most <= 1


def test_one_stopped_for_longer_than_its_lease_wakes_with_a_queue_that_adds_nothing() -> None:
    f = fleet(10, 1)
    f.play(6)
    held, process = parts(f, "lb-0"), f.processes["lb-0"]
    while all(partner.answered for partner in process.budgets.partners.values()):
        f.play(0.001)
    f.stop("lb-0", 6 * SECOND)
    f.play(5.9)
    assert held > 3 and process.waiting, "answers to its last asks are in its queue"
    f.play(0.1)
    assert parts(f, "lb-0") <= 1, "nothing of its queue counts: its leases are over"
    f.play(5)
    assert parts(f, "lb-0") > 3 and f.most <= 1


def test_a_judgement_that_all_pass_round_late_and_twice_dies_with_its_age() -> None:
    # Twelve tell each other what they have; four failed once, and nobody asks the server again.
    random, servers = Random(1), {b"s%d" % n: 0 for n in range(12)}
    all_of_them = [Judgements(f"hall-{n % 3}", n) for n in range(12)]
    for n, one in enumerate(all_of_them):
        one.listed(servers)
        for server in servers:
            if server != b"s1":
                one.saw(0, server, Trouble.NONE)
        if n < 4:
            one.saw(1, b"s1", Trouble.ERRORS)
    under_way: list[tuple[int, int, int, object]] = []
    avoided, last = set(), 0
    for now in range(1, 60 * SECOND, SECOND // 2):
        for n, one in enumerate(all_of_them):
            evidence = one.tell(now, now)
            for to in random.sample(range(12), 4):
                for _ in range(2):
                    under_way.append((now + random.randrange(3 * SECOND), to, n, evidence))
        for due, to, n, evidence in sorted((m for m in under_way if m[0] <= now), key=lambda m: m[0]):
            all_of_them[to].came(due, f"w{n}", 1, evidence)  # type: ignore[arg-type]
        under_way = [m for m in under_way if m[0] > now]
        for n, one in enumerate(all_of_them):
            if b"s1" in one.avoid(now):
                avoided.add(n)
                last = now
    assert len(avoided) >= 3 and last < COUNT_US + 4 * SECOND
    assert not any(
        sign.failures
        for one in all_of_them
        for sign in one.tell(60 * SECOND, 1 << 40).signs
        if sign.server == short(b"s1") and sign.bad_us < HOLD_US
    )
