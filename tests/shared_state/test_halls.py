"""Judgements of halls: who is believed, whom it concerns, when it ends; and many deciders in bad weather."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import pytest

from roadlb.lab.model.told_fleet import SECOND, Air, ToldFleet
from roadlb.shared_state.events import Key, short
from roadlb.shared_state.halls import HOLD_US, MOST_HALLS, MOST_WITNESSES, Halls, HallSign, Silent
from roadlb.sites.events import SiteView, State

NOW = 100 * SECOND
NAMES = {n: short(b"hall-%d" % n) for n in range(3)}
WHOLE, LOST, RETURNING = State.WHOLE, State.LOST, State.RETURNING
Seen = Mapping[int, tuple[State, int]]  # of each hall the state, and when it last answered


def sees(seen: Seen, now: int = NOW, since: int = NOW, into: Halls | None = None) -> Halls:
    """One that believes this of the halls."""
    halls = into or Halls()
    halls.saw(
        now, [SiteView(n, state, 1.0, 4, 0, since, 0, heard) for n, (state, heard) in seen.items()], NAMES
    )
    return halls


def accuses(number: int, since: int = NOW) -> Halls:
    return sees({n: (LOST, since - SECOND) if n == number else (WHOLE, since) for n in NAMES}, since=since)


def tells(hearer: Halls, told: Mapping[str, tuple[int, Halls]], now: int = NOW, number: int = 1) -> None:
    """By name, the hall of who tells."""
    for name, (hall, one) in told.items():
        hearer.came(now, name, 1, number, NAMES[hall], one.tell(now))


ALL_WELL: Seen = {n: (WHOLE, NOW - SECOND) for n in NAMES}


def test_two_of_two_halls_are_believed_and_one_hall_is_not() -> None:
    here = sees(ALL_WELL)
    tells(here, {"a": (0, accuses(1)), "b": (0, accuses(1)), "c": (0, accuses(1))})
    assert here.silent(NOW) == {}
    tells(here, {"d": (2, accuses(1))})
    silent = here.silent(NOW)
    assert set(silent) == {1} and silent[1].since == NOW and set(silent[1].accusers) == set("abcd")
    assert here.tell(NOW) == (HallSign(NAMES[1], 0, -1, SECOND),), "what is heard is not passed on"


def test_an_answer_since_is_worth_more_than_any_word() -> None:
    here = sees({**ALL_WELL, 1: (WHOLE, NOW + 1)})
    tells(here, {"a": (0, accuses(1)), "b": (2, accuses(1))})
    assert here.silent(NOW + 1) == {}


def test_those_whom_it_answers_count_against() -> None:
    here = sees(ALL_WELL, NOW + 2)
    lives = {f"own-{n}": (1, sees({**ALL_WELL, 1: (WHOLE, NOW + 1)}, NOW + 2)) for n in range(3)}
    for _, one in lives.values():
        tells(one, {"a": (0, accuses(1))}, NOW + 2)
    tells(here, {name: ((n % 2) * 2, accuses(1)) for n, name in enumerate("abcd")} | lives, NOW + 2, 2)
    assert here.silent(NOW + 2) == {}, "four accuse it, and three have heard it"
    tells(here, {"e": (0, accuses(1))}, NOW + 2)
    assert set(here.silent(NOW + 2)) == {1} and here.silent(NOW + 2)[1].against == tuple(sorted(lives))


def test_one_that_is_cut_off_accuses_nobody() -> None:
    assert sees({n: (LOST, NOW - 10 * SECOND) for n in NAMES}).tell(NOW) == ()
    assert accuses(1).tell(NOW) != ()


def test_two_halls_that_accuse_each_other_take_nothing_from_a_third_nor_from_each_other() -> None:
    accusing = {f"a{n}": (0, accuses(1)) for n in range(4)} | {f"b{n}": (1, accuses(0)) for n in range(4)}
    for here in (sees(ALL_WELL), accuses(1), accuses(0)):
        tells(here, accusing)
        assert here.silent(NOW) == {}


def test_it_ends_with_its_age_and_with_another_word() -> None:
    here = sees(ALL_WELL)
    told = {"a": (0, accuses(1)), "b": (2, accuses(1))}
    tells(here, told)
    assert here.silent(NOW)[1].until == NOW + HOLD_US and here.silent(NOW + HOLD_US) == {}
    tells(here, {"a": (0, sees({**ALL_WELL, 1: (RETURNING, NOW)}))}, NOW, number=2)
    assert here.silent(NOW) == {}
    tells(here, told, NOW, number=1)
    assert here.silent(NOW) == {}, "overtaken"
    here.forget(NOW + HOLD_US)
    assert not here.witnesses


def test_a_loss_is_news_until_enough_have_said_so_and_a_return_always() -> None:
    here = sees(ALL_WELL)
    lost: Seen = {**ALL_WELL, 1: (LOST, NOW - 2 * SECOND)}
    assert sees(lost, into=here).urgent
    here.tell(NOW)
    assert not sees(lost, into=here).urgent
    assert sees({**ALL_WELL, 1: (RETURNING, NOW)}, into=here).urgent
    late = sees(ALL_WELL)
    tells(late, {name: (0, accuses(1)) for name in "abcd"})
    assert not sees(lost, into=late).urgent


def test_what_is_kept_of_others_is_bounded_whatever_they_tell() -> None:
    here = sees(ALL_WELL)
    many = [HallSign(short(b"%d" % n), 2, 0, -1) for n in range(10 * MOST_HALLS)]
    for n in range(MOST_WITNESSES + 500):
        here.came(NOW, f"w{n}", 1, 1, NAMES[0], many)
    assert len(here.witnesses) == MOST_WITNESSES
    assert max(len(w.claims) for w in here.witnesses.values()) == MOST_HALLS


# Many deciders: twelve balancers of three halls, 24 servers, each balancer with few requests

WEATHER = Air(loss=0.3, delay_us=150_000)


def lost_hall(share: bool, cut: set[tuple[int, int]], weights: list[float] | None = None) -> ToldFleet:
    f = ToldFleet(12, 24, 3, share, WEATHER, orders=0.1, second_copies=False, weights=weights)
    f.play(4, 150)
    f.cut = cut
    f.play(8, 150)
    return f


def states(f: ToldFleet, site: int) -> list[State]:
    return [p.balancer.sites.sites[site].state for p in f.parties]


def test_a_lost_hall_is_not_found_out_by_each_alone() -> None:
    cut = {(n, 1) for n in range(3)}
    alone, together = lost_hall(False, cut), lost_hall(True, cut)
    late = [sum(64 * SECOND + SECOND < s.at < 67 * SECOND for s in f.unheard) for f in (alone, together)]
    assert 2 * late[1] < late[0], "asked in vain from a second after the loss on, till the trials"
    for f in (alone, together):
        f.cut = set()
        f.play(8, 150)
        assert set(states(f, 1)) == {WHOLE}


def told_of_it(f: ToldFleet) -> set[int]:
    """Halls whose balancers were told of a silent one."""
    return {i % 3 for i, p in enumerate(f.parties) if any(h.unreachable_zones for h in p.heard)}


BUSY = [20.0, 0.1, 0.1] * 4  # the others seldom hear of it themselves


def test_a_hall_s_own_cut_takes_nothing_from_the_others() -> None:
    for weights in (None, BUSY):
        f = lost_hall(True, {(0, 1)}, weights)
        assert not told_of_it(f) and {State.LOST} == set(states(f, 1)[::3])
        assert set(states(f, 1)[1::3] + states(f, 1)[2::3]) == {WHOLE}


# Planted defects


class OneHallIsEnough(Halls):
    def silent(self, now: int) -> dict[int, Silent]:
        for n, w in enumerate(self.witnesses.values()):
            w.hall = b"%08d" % n
        return super().silent(now)


class NoneCountsAgainst(Halls):
    def came(
        self, now: int, sender: str, life: int, number: int, hall: Key, signs: Iterable[HallSign]
    ) -> None:
        super().came(now, sender, life, number, hall, [s for s in signs if s.weight])


class TheCutOffAccuse(Halls):
    def tell(self, now: int) -> tuple[HallSign, ...]:
        return tuple(HallSign(key, 2, 0, -1) for key, site in self._own.items() if site.state is LOST)


class NeverOld(Halls):
    def silent(self, now: int) -> dict[int, Silent]:
        for w in self.witnesses.values():
            w.at = now
        return super().silent(now)


@pytest.mark.parametrize(
    ("defect", "found_by"),
    [
        (OneHallIsEnough, test_two_of_two_halls_are_believed_and_one_hall_is_not),
        (
            OneHallIsEnough,
            test_two_halls_that_accuse_each_other_take_nothing_from_a_third_nor_from_each_other,
        ),
        (NoneCountsAgainst, test_those_whom_it_answers_count_against),
        (TheCutOffAccuse, test_one_that_is_cut_off_accuses_nobody),
        (NeverOld, test_it_ends_with_its_age_and_with_another_word),
    ],
)
def test_each_planted_defect_is_found(
    monkeypatch: pytest.MonkeyPatch, defect: type[Halls], found_by: Callable[[], None]
) -> None:
    monkeypatch.setitem(globals(), "Halls", defect)
    with pytest.raises(AssertionError):
        found_by()


def test_a_planted_defect_takes_a_hall_from_those_whom_it_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("roadlb.shared_state.told.Halls", OneHallIsEnough)
    assert told_of_it(lost_hall(True, {(0, 1)}, BUSY)) & {1, 2}
