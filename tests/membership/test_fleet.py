"""Membership under simulation: deaths, joins, splits, pauses, restarts, replays; and defects it must show.

Each test judges by what every member holds at the end, or by all that each was told on the way.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from roadlb.lab.members import Fleet
from roadlb.membership import members as members_module
from roadlb.membership import view as view_module
from roadlb.membership.admission import Verdict
from roadlb.membership.events import Changed, CutOff, Doubted, Joined, Left, Suspected, life_of
from roadlb.membership.view import View

GENEROUS_S = 90.0


def fleet_of(size: int, seed: int, **links: Any) -> Fleet:
    fleet = Fleet(size, seed, **links)
    assert fleet.run(GENEROUS_S, lambda: len(fleet.running) == size and fleet.agree()), "all know all"
    fleet.run(5)
    fleet.news.clear()
    return fleet


def told(fleet: Fleet, kind: type, name: str | None = None) -> list[tuple[int, str, Any]]:
    return [
        (at, whom, news)
        for at, whom, news in fleet.news
        if isinstance(news, kind) and (name is None or news.member.name == name)
    ]


def settles(fleet: Fleet, what: str, within_s: float = GENEROUS_S) -> None:
    assert fleet.run(within_s, fleet.agree), what


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("links", [{}, {"loss": 0.3, "double": 0.1, "reorder": 0.05}], ids=["clean", "lossy"])
def test_a_death_and_a_join_are_known_to_all_and_nobody_else_is_buried(
    seed: int, links: dict[str, float]
) -> None:
    fleet = fleet_of(12, seed, **links)
    fleet.kill("m5")
    settles(fleet, "the death")
    fleet.start("m5")
    settles(fleet, "the return")
    fleet.run(30)
    assert {news.member.name for _, _, news in told(fleet, Left)} == {"m5"}


@pytest.mark.parametrize("seed", range(2))
def test_a_restart_with_the_same_name_within_a_second_is_a_new_life_to_all(seed: int) -> None:
    fleet = fleet_of(12, seed)
    fleet.kill("m4")
    fleet.run(0.4)
    life = fleet.start("m4").members.me.life
    fleet.run(10)
    for name in set(fleet.running) - {"m4"}:
        assert fleet.running[name].members.view.entries["m4"].member.life == life
        assert [news.restarted for _, whom, news in told(fleet, Changed, "m4") if whom == name][0]
    assert not told(fleet, Left), "it was never gone"


def test_a_restart_whose_clock_is_hours_back_takes_a_life_above_its_last() -> None:
    fleet = fleet_of(8, 1)
    before = fleet.running["m6"].members.me.life
    fleet.kill("m6")
    fleet.run(0.5)
    fleet.start("m6", clock_off_s=-7_200)
    assert fleet.running["m6"].members.me.life < before
    settles(fleet, "it is let in")
    fleet.run(5)
    assert fleet.running["m6"].members.me.life > before
    assert [news for _, whom, news in told(fleet, Changed, "m6") if whom == "m6" and news.restarted]
    settles(fleet, "and stays")


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("asleep_s", [2.0, 25.0])
def test_who_was_stopped_doubts_itself_and_accuses_nobody(seed: int, asleep_s: float) -> None:
    fleet = fleet_of(12, seed)
    for name in ("m3", "m9"):
        fleet.pause(name)
    fleet.run(asleep_s)
    woken = fleet.now
    for name in ("m3", "m9"):
        fleet.go_on(name)
    settles(fleet, "they are back")
    fleet.run(20)
    assert {whom for _, whom, _ in [x for x in fleet.news if isinstance(x[2], Doubted)]} == {"m3", "m9"}
    accused = [
        (whom, news.member.name)
        for at, whom, news in told(fleet, Suspected)
        if at >= woken and news.by == whom in ("m3", "m9")
    ]
    assert not [pair for pair in accused if pair[1] not in ("m3", "m9")]
    assert {news.member.name for _, _, news in told(fleet, Left)} <= {"m3", "m9"}


@pytest.mark.parametrize("part", [6, 2, 10], ids=["half", "two", "all_but_two"])
def test_a_split_is_seen_on_both_sides_and_heals_even_after_the_dead_are_forgotten(part: int) -> None:
    fleet = fleet_of(12, 2)
    side = {f"m{i}" for i in range(part)}
    other = set(fleet.running) - side
    fleet.blocked = lambda a, b: (a in side) != (b in side)
    assert fleet.run(GENEROUS_S, lambda: fleet.agree(side) and fleet.agree(other)), "each side knows its own"
    fleet.run(view_module.GONE_KEEP_US / 1e6 + 10)
    assert all(
        len(process.members.view.entries) <= max(part, 12 - part) for process in fleet.running.values()
    ), "the dead are forgotten"
    fleet.blocked = None
    settles(fleet, "one fleet again")
    fleet.news.clear()
    fleet.run(30)
    assert not told(fleet, Left)


@pytest.mark.parametrize("links", [{}, {"loss": 0.3}], ids=["calm", "lossy"])
def test_one_that_is_cut_off_alone_says_so_at_once_and_buries_nobody(links: dict[str, Any]) -> None:
    fleet = fleet_of(30, 5, **links)
    fleet.run(30)
    assert not told(fleet, CutOff)
    fleet.blocked = lambda a, b: (a == "m7") != (b == "m7")
    began = fleet.now
    others = set(fleet.running) - {"m7"}
    assert fleet.run(GENEROUS_S, lambda: fleet.agree(others)), "the others bury it"
    fleet.run(30)
    ((at, whom, news),) = told(fleet, CutOff)
    assert whom == "m7" and news.off and at - began < 6_000_000
    assert fleet.there("m7") == set(fleet.running), "it buries nobody"
    fleet.blocked, healed = None, fleet.now
    settles(fleet, "one fleet again")
    assert [news.off for _, _, news in told(fleet, CutOff)] == [True, False]
    assert fleet.now - healed < 10_000_000
    fleet.run(10)
    assert {news.member.name for _, _, news in told(fleet, Left)} == {"m7"}


def test_links_that_carry_one_way_only_bury_nobody() -> None:
    fleet = fleet_of(12, 3)
    fleet.blocked = lambda a, b: (a, b) in {("m1", "m2"), ("m4", "m3"), ("m5", "m6")}
    fleet.run(60)
    assert not told(fleet, Left) and fleet.agree()


def test_two_that_accuse_each_other_for_ever_are_there_to_all() -> None:
    fleet = fleet_of(12, 3)
    fleet.blocked = lambda a, b: {a, b} == {"m1", "m2"}
    fleet.run(60)
    assert not told(fleet, Left) and fleet.agree()


def test_seven_of_ten_killed_at_once_are_known_to_the_three() -> None:
    fleet = fleet_of(10, 4)
    for i in range(7):  # the seeds among them
        fleet.kill(f"m{i}")
    settles(fleet, "seven deaths")
    fleet.start("m0")
    settles(fleet, "a seed is back")


def test_one_whose_own_link_is_sick_buries_nobody_for_long() -> None:
    fleet = fleet_of(12, 5)
    random = fleet.random
    fleet.blocked = lambda a, b: "m7" in (a, b) and random.random() < 0.7
    fleet.run(60)
    fleet.blocked = None
    settles(fleet, "all are there")
    fleet.run(5)
    assert not [news for _, whom, news in told(fleet, Left) if news.member.name != "m7" and whom != "m7"]


def test_who_leaves_says_so_and_is_not_suspected() -> None:
    fleet = fleet_of(12, 6)
    fleet.leave("m8")
    settles(fleet, "it is gone")
    fleet.run(10)
    assert len(told(fleet, Left, "m8")) == 11 and not told(fleet, Suspected, "m8")


def test_yesterdays_datagrams_neither_count_nor_raise_the_dead() -> None:
    fleet = Fleet(8, 7)
    kept: list[tuple[Any, str]] = []
    fleet.tap = lambda flight, to: kept.append((flight, to))
    assert fleet.run(GENEROUS_S, lambda: len(fleet.running) == 8 and fleet.agree())
    fleet.run(10)
    fleet.tap = None
    old_life = fleet.running["m5"].members.me.life
    fleet.kill("m5")
    fleet.kill("m6")
    settles(fleet, "two deaths")
    fleet.start("m5")
    newcomer = fleet.start("m7")  # it has never heard of the old lives
    settles(fleet, "m5 is back")
    fleet.news.clear()
    for flight, to in kept:
        fleet.inject(flight, to)
    fleet.run(20)
    assert fleet.agree() and not told(fleet, Joined)
    assert all(
        process.members.view.entries["m5"].member.life > old_life for process in fleet.running.values()
    )
    assert newcomer.odd.get("replayed", 0) + newcomer.odd.get("unproved", 0) > 0


# Defects, planted: each must be found by what is looked at above


def false_burials(seed: int, defect: Callable[[], None] | None) -> int:
    fleet = fleet_of(12, seed)
    if defect:
        defect()
    fleet.loss = 0.4
    fleet.run(40)
    return len(told(fleet, Left))


def test_without_suspicion_the_living_are_buried(monkeypatch: pytest.MonkeyPatch) -> None:
    assert sum(false_burials(seed, None) for seed in range(3)) == 0

    def no_time() -> None:
        monkeypatch.setattr(members_module, "SUSPECT_LEAST", 0.0)
        monkeypatch.setattr(members_module, "SUSPECT_MOST", 0.0)

    assert sum(false_burials(seed, no_time) for seed in range(3)) > 0


def test_with_incarnations_ignored_a_refutation_is_not_believed(monkeypatch: pytest.MonkeyPatch) -> None:
    learn = members_module.Members._learn

    def deaf(self: Any, now: int, member: Any, by: str) -> None:
        entry = self.view.entries.get(member.name)
        if entry is not None and life_of(member.incarnation) == entry.member.life:
            if member.state <= entry.member.state:
                return
        learn(self, now, member, by)

    monkeypatch.setattr(members_module.Members, "_learn", deaf)
    fleet = fleet_of(12, 1)
    fleet.pause("m3")
    fleet.run(20)
    fleet.go_on("m3")
    assert not fleet.run(GENEROUS_S, fleet.agree)


def test_with_replays_let_in_the_dead_rise() -> None:
    def lives_again(judge: Callable[..., Verdict] | None) -> bool:
        fleet = Fleet(6, 3)
        if judge:
            fleet.judge = judge
        kept: list[tuple[Any, str]] = []
        fleet.tap = lambda flight, to: kept.append((flight, to)) if flight[0] == "m5" else None
        assert fleet.run(GENEROUS_S, lambda: len(fleet.running) == 6 and fleet.agree())
        fleet.tap = None
        fleet.kill("m5")
        settles(fleet, "a death")
        fleet.run(view_module.GONE_KEEP_US / 1e6 + 10)
        fleet.news.clear()
        for flight, to in kept:
            fleet.inject(flight, to)
        fleet.run(20)
        return bool(told(fleet, Joined, "m5"))

    assert not lives_again(None)
    assert lives_again(lambda *told: Verdict.PASS)


def test_without_forgetting_the_dead_fill_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    def held() -> int:
        monkeypatch.setattr(view_module, "GONE_MOST", 8)
        fleet = fleet_of(4, 1)
        for i in range(20):
            fleet.start(f"m{50 + i}")
            fleet.run(3)
            fleet.leave(f"m{50 + i}")
            fleet.run(3)
        fleet.run(10)
        return max(len(process.members.view.entries) for process in fleet.running.values())

    assert held() <= 4 + 8
    monkeypatch.setattr(View, "forget", lambda self, now: None)
    assert held() > 4 + 8
