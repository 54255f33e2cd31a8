"""Both sides, event by event: what is told to whom, in which order, and when a grant counts."""

from __future__ import annotations

from dataclasses import replace

from roadlb.agreement.events import (
    NOTHING,
    Ack,
    Apply,
    Ask,
    Book,
    Contents,
    Deposed,
    Exclude,
    Fenced,
    From,
    Heard,
    InForce,
    Keep,
    KeepRoll,
    Kept,
    Leading,
    Lease,
    Memory,
    Nack,
    Offered,
    Prepare,
    Propose,
    Pulse,
    Remember,
    Remembered,
    Reported,
    Restarted,
    RollKept,
    Standing,
    Tell,
    To,
    Unkept,
    Version,
    VersionId,
    Withdrawn,
    Word,
)
from roadlb.agreement.follower import Follower
from roadlb.agreement.issuer import FORGET_US, MOST_FOLLOWERS, Issuer, State
from roadlb.agreement.lease import Timing

TIMING = Timing()
S = 1_000_000
LONG = 10**12


def contents(attempts: int = 3, pool: str = "p") -> Contents:
    return Contents({"limits.max_attempts": str(attempts), "routes.read": pool})


def version(number: int, epoch: int = 1, **told: object) -> Version:
    return Version(VersionId(epoch, number), contents(**told))  # type: ignore[arg-type]


def follower(memory: Memory | None = None, now: int = 0) -> Follower:
    one = Follower(TIMING)
    one.handle(now, Restarted(7, memory or Memory()))
    return one


def sent(actions: list[object], kind: type) -> list[object]:
    """Messages of a kind among what was decided."""
    return [a.message for a in actions if isinstance(a, Tell | To) and isinstance(a.message, kind)]


def take(one: Follower, now: int, told: Version, epoch: int = 1) -> None:
    """Offered, remembered, acknowledged."""
    done = one.handle(now, Offered(Prepare(epoch, told)))
    [remember] = [a for a in done if isinstance(a, Remember)]
    assert not sent(done, Ack), "acknowledged before it is remembered"
    assert sent(one.handle(now, Remembered(remember.number)), Ack) == [Ack(told.id)]


def lease(one: Follower, now: int, id: VersionId, epoch: int = 1, held_up: int = 0) -> list[object]:
    """A lease for the `Ask` of `now`, answered `held_up` later."""
    [ask] = sent(one.handle(now, Pulse()), Ask)
    return list(one.handle(now + held_up, Heard(Lease(epoch, id, ask.life, ask.number, TIMING.lease_us))))


def test_what_is_granted_waits_for_a_lease_and_ends_with_it_by_the_clock_at_use() -> None:
    one = follower()
    take(one, S, version(1))
    assert one.allowed(S, "limits.max_attempts") == "1" and one.standing(S) is Standing.LAPSED
    lease(one, 2 * S, VersionId(1, 1), held_up=S)
    assert one.allowed(3 * S, "limits.max_attempts") == "3"
    assert one.allowed(2 * S + TIMING.lease_us - 1, "routes.read") == "p"
    # Nothing was handled since: a process that was stopped wakes with a request in hand.
    assert one.allowed(2 * S + TIMING.lease_us, "routes.read") == ""
    assert one.handle(6 * S, Pulse())[0] == Apply(VersionId(1, 1), one.floored, Standing.LAPSED)


def test_a_lease_that_is_answered_later_than_it_lasts_grants_nothing() -> None:
    one = follower()
    take(one, S, version(1))
    assert lease(one, 2 * S, VersionId(1, 1), held_up=TIMING.lease_us) == []
    assert not one.granted(2 * S + TIMING.lease_us)


def test_what_narrows_holds_at_once_and_until_the_last_of_several_versions_is_in_force() -> None:
    one = follower()
    take(one, S, version(1))
    lease(one, 2 * S, VersionId(1, 1))
    one.handle(2 * S, Offered(Prepare(1, version(2, attempts=1))))
    assert one.allowed(2 * S, "limits.max_attempts") == "1"
    take(one, 3 * S, version(3))  # back to the first
    assert one.allowed(3 * S, "limits.max_attempts") == "1"
    assert one.standing(3 * S) is Standing.NARROWED
    lease(one, 4 * S, VersionId(1, 3))
    assert one.allowed(4 * S, "limits.max_attempts") == "3"


def test_a_lease_of_an_earlier_life_or_for_another_version_is_not_used() -> None:
    one = follower()
    take(one, S, version(1))
    one.handle(2 * S, Pulse())
    for answer in (
        Lease(1, VersionId(1, 1), 6, one.number, TIMING.lease_us),
        Lease(1, VersionId(1, 1), 7, one.number + 9, TIMING.lease_us),
        Lease(1, VersionId(1, 2), 7, one.number, TIMING.lease_us),
    ):
        assert one.handle(2 * S, Heard(answer)) == [] and not one.granted(2 * S)


def test_an_older_epoch_is_told_so_also_after_a_restart() -> None:
    one = follower()
    take(one, S, version(1), epoch=4)
    again = follower(Memory(4, NOTHING, one.told, one.bound), now=9 * S)
    for message in (Offered(Prepare(3, version(9, epoch=3))), Heard(InForce(3, VersionId(3, 9)))):
        done = again.handle(9 * S, message)
        assert sent(done, Fenced) == [Fenced(4)] and again.told == one.told


def test_nothing_goes_back_and_numbers_begun_anew_are_refused() -> None:
    one = follower()
    take(one, S, version(5))
    assert one.handle(2 * S, Offered(Prepare(1, version(4)))) == []
    assert sent(one.handle(2 * S, Offered(Prepare(1, version(5)))), Ack) == [Ack(VersionId(1, 5))]
    [nack] = sent(one.handle(2 * S, Offered(Prepare(1, version(5, attempts=9)))), Nack)
    assert "raise the epoch" in nack.reason  # type: ignore[attr-defined]


def test_a_refused_version_changes_nothing_and_names_why() -> None:
    one = follower()
    take(one, S, version(1))
    before = one.bound
    done = one.handle(2 * S, Offered(Prepare(1, version(2, attempts=1)), "hall_emptied: hall a"))
    assert sent(done, Nack) == [Nack(VersionId(1, 2), "hall_emptied: hall a")] and one.bound is before
    odd = Version(VersionId(1, 3), Contents({"limits.max_attemps": "3"}))
    [nack] = sent(one.handle(2 * S, Offered(Prepare(1, odd))), Nack)
    assert "limits.max_attemps" in nack.reason  # type: ignore[attr-defined]


def leader(now: int = 0, book: Book | None = None, epoch: int = 1) -> Issuer:
    """One that has led for long: what it found in force is in force under its own epoch."""
    one = Issuer(TIMING)
    one.handle(now, Leading(epoch, LONG, Book()))
    one.force = (book or Book(version(1))).force
    assert one.force is not None
    one.number, one.ready_at = one.force.id.number, now
    return one


def enrol(one: Issuer, now: int, name: str) -> None:
    """It is heard of, and the store takes it onto the roll."""
    one.handle(now, From(name, Ack(NOTHING)))
    while name not in one.roll.held:
        one.handle(now, RollKept(one.roll.number))


def ask(one: Issuer, now: int, name: str, told: int, force: int, number: int) -> list[object]:
    if one.sure_until > now and len(one.peers) < MOST_FOLLOWERS:
        enrol(one, now, name)
    return list(
        one.handle(now, From(name, Ask(1, number, one.epoch, VersionId(1, force), VersionId(1, told))))
    )


def test_a_grant_waits_for_each_holder_or_for_its_lease_to_be_surely_gone() -> None:
    one = leader()
    for name in ("a", "b"):
        assert sent(ask(one, S, name, 1, 1, 1), Lease)
    one.handle(2 * S, Propose(contents(pool="q")))
    assert not [a for a in one.handle(2 * S, From("a", Ack(VersionId(1, 2)))) if isinstance(a, Keep)]
    assert not sent(ask(one, 3 * S, "b", 1, 1, 2), Lease), "a lease for one who has not acknowledged"
    gone = S + TIMING.gone_us
    assert not [a for a in one.handle(gone - 1, Pulse()) if isinstance(a, Keep)]
    assert [a for a in one.handle(gone, Pulse()) if isinstance(a, Keep)] == [
        Keep(1, Book(one.prepared, None))
    ]
    assert not sent(ask(one, gone, "a", 2, 1, 3), InForce)
    done = one.handle(gone, Kept(VersionId(1, 2)))
    assert {a.follower for a in done if isinstance(a, To)} == {"a", "b"}
    [granted] = sent(ask(one, gone, "a", 2, 1, 4), Lease)
    assert granted.id == VersionId(1, 2)  # type: ignore[attr-defined]


def test_a_new_leader_has_its_own_version_prepared_renews_and_waits_before_it_grants() -> None:
    one = Issuer(TIMING)
    one.handle(0, Leading(5, LONG, Book(version(1), version(2, attempts=1))))
    [told] = sent(ask(one, 1, "a", 1, 1, 1), Prepare)
    assert told.version == Version(VersionId(5, 3), contents(attempts=1))  # type: ignore[attr-defined]
    done = one.handle(3, From("a", Ack(VersionId(5, 3))))
    assert one.state is State.PREPARING and not [a for a in done if isinstance(a, Keep)]
    keeps = Ask(1, 2, 5, VersionId(1, 1), VersionId(5, 3))
    [lease] = sent(one.handle(4, From("a", keeps)), Lease)
    assert lease.id == VersionId(1, 1)  # type: ignore[attr-defined]
    assert [a for a in one.handle(TIMING.gone_us, Pulse()) if isinstance(a, Keep)]


def test_one_refusal_of_twelve_withdraws_a_version_unless_that_follower_is_excluded() -> None:
    for excluded in (False, True):
        one = leader()
        for number in range(12):
            ask(one, S, str(number), 1, 1, 1)
        one.handle(2 * S, Propose(contents(pool="q")))
        if excluded:
            one.handle(2 * S, Exclude("3"))
        done = one.handle(2 * S, From("3", Nack(VersionId(1, 2), "hall_emptied: hall a")))
        assert len(sent(done, Withdrawn)) == (0 if excluded else 12)
        assert one.prepared is not None and one.prepared.id.number == (2 if excluded else 3)
        assert one.force is not None and one.force.id == VersionId(1, 1)
        assert "hall_emptied" in one.peers["3"].refused
        if not excluded:
            assert one.history[-2].word is Word.REFUSED and "3: hall_emptied" in one.history[-2].text
            # Some have narrowed: the content in force goes out anew, and who has that is renewed.
            assert one.prepared.contents == one.force.contents and len(sent(done, Prepare)) == 12
            assert not sent(ask(one, 3 * S, "5", 2, 1, 2), Lease)
            assert sent(ask(one, 3 * S, "5", 3, 1, 3), Lease)
            assert one.handle(3 * S, From("3", Nack(VersionId(1, 3), "again")))[1:] == []
            assert one.prepared.id.number == 3, "the content in force is not withdrawn"


def test_what_narrows_further_goes_before_and_other_proposals_wait() -> None:
    one = leader()
    ask(one, S, "a", 1, 1, 1)
    one.handle(2 * S, Propose(contents(pool="q")))
    assert one.handle(2 * S, Propose(contents(attempts=9, pool="q"))) == []
    assert one.pending is not None
    done = one.handle(2 * S, Propose(contents(attempts=1, pool="q")))
    assert [m.version.id.number for m in sent(done, Prepare)] == [3]  # type: ignore[attr-defined]


def test_without_the_store_nothing_is_granted_and_what_narrows_goes_out() -> None:
    one = Issuer(TIMING)
    one.handle(0, Leading(1, 5 * S, Book(version(1))))
    one.handle(S, From("a", Ack(VersionId(1, 2))))
    assert sent(ask(one, S, "a", 2, 1, 1), Lease)
    assert not sent(ask(one, 5 * S, "a", 2, 1, 2), Lease)
    done = one.handle(6 * S, Propose(contents(attempts=1)))
    assert len(sent(done, Prepare)) == 1
    assert not [a for a in one.handle(99 * S, Pulse()) if isinstance(a, Keep)]


def test_a_version_that_the_store_may_hold_is_not_withdrawn() -> None:
    one = leader()
    ask(one, S, "a", 1, 1, 1)
    one.handle(2 * S, Propose(contents(pool="q")))
    one.handle(2 * S, From("a", Ack(VersionId(1, 2))))
    one.handle(2 * S, Unkept(VersionId(1, 2), "no answer"))
    one.handle(3 * S, From("late", Nack(VersionId(1, 2), "hall_emptied: hall a")))
    assert one.state is State.KEEPING
    assert [a for a in one.handle(4 * S, Pulse()) if isinstance(a, Keep)]
    narrow = one.handle(4 * S, Propose(contents(attempts=1, pool="q")))
    assert [a.book.force.id.number for a in narrow if isinstance(a, Keep)] == [2]  # type: ignore[union-attr]
    assert not sent(ask(one, 4 * S, "a", 3, 1, 2), Lease), "which one is in force is not known"


def test_a_higher_epoch_ends_leadership_and_a_lost_one_is_not_taken_up() -> None:
    one = leader()
    one.sure_until = S
    assert one.handle(S, From("a", Fenced(2)))[0] == Reported(
        Word.DEPOSED, VersionId(1, 1), text="a has heard epoch 2, this one is 1"
    )
    assert one.state is State.IDLE and one.handle(S, Deposed()) == []
    assert [a.word for a in one.handle(S, Leading(1, LONG, Book())) if isinstance(a, Reported)] == [
        Word.DECLINED
    ]


def test_a_follower_with_the_memory_of_another_fleet_deposes_nobody() -> None:
    one = leader()
    odd = From("odd", Ask(1, 1, 99, VersionId(99, 1), VersionId(99, 1)))
    done = one.handle(S, odd)
    assert [(a.word, a.about) for a in done if isinstance(a, Reported)] == [(Word.FENCED, "odd")]
    assert len(done) == 1 and one.handle(2 * S, odd) == [] and one.leading
    assert sent(ask(one, 2 * S, "a", 1, 1, 1), Lease)


def test_a_lagging_follower_is_told_the_one_in_force_before_the_newest() -> None:
    one = leader(book=Book(version(3)))
    one.handle(S, Propose(contents(pool="q")))
    told = sent(ask(one, S, "a", 1, 1, 1), Prepare)
    assert [m.version.id.number for m in told] == [3, 4]  # type: ignore[attr-defined]
    assert not sent(one.handle(S, From("a", Ack(VersionId(1, 3)))), Prepare), "on its way"


def test_a_follower_that_never_acknowledges_is_apart_then_gone_and_holds_nothing_up() -> None:
    one = leader()
    ask(one, S, "a", 1, 1, 1)
    one.handle(2 * S, Propose(contents(attempts=1)))
    done = one.handle(S + TIMING.gone_us, Pulse())
    assert [a.about for a in done if isinstance(a, Reported) and a.word is Word.APART] == ["a"]
    assert one.state is State.KEEPING
    [said] = [a for a in one.handle(S + TIMING.gone_us, Kept(VersionId(1, 2))) if isinstance(a, Reported)]
    assert said.text == "acknowledged by 0 of 1; its drains do not reach a"
    done = one.handle(S + 700 * S, Pulse())
    assert [a.about for a in done if isinstance(a, Reported) and a.word is Word.FORGOTTEN] == ["a"]
    assert not one.peers


def test_followers_beyond_the_bound_get_no_lease() -> None:
    one = leader()
    for number in range(MOST_FOLLOWERS):
        one.handle(S, From(str(number), Ack(NOTHING)))
    assert not sent(ask(one, S, "one more", 1, 1, 1), Lease) and len(one.peers) == MOST_FOLLOWERS


def test_a_store_that_lost_a_version_is_told_and_the_next_proposal_goes_past_it() -> None:
    one = leader()
    done = one.handle(S, From("a", Ask(1, 1, 1, VersionId(1, 1), VersionId(1, 4))))
    assert [a.word for a in done if isinstance(a, Reported)] == [Word.UNKNOWN]
    done = one.handle(S, Propose(replace(contents())))
    [told] = sent(done, Prepare)
    assert told.version.id > VersionId(1, 4)  # type: ignore[attr-defined]


def rolls(actions: list[object]) -> list[KeepRoll]:
    return [a for a in actions if isinstance(a, KeepRoll)]


def test_a_lease_waits_for_the_store_to_hold_the_follower_and_renewals_write_nothing() -> None:
    one, told = leader(), Ask(1, 1, 1, VersionId(1, 1), VersionId(1, 1))
    done = one.handle(S, From("a", told))
    assert rolls(done) == [KeepRoll(1, 1, frozenset("a"))] and not sent(done, Lease)
    assert not rolls(one.handle(S, From("b", replace(told)))), "one write at a time"
    assert not rolls(one.handle(S + TIMING.renew_us - 1, Pulse()))
    [again] = rolls(one.handle(S + TIMING.renew_us, Pulse()))  # no answer: asked anew, with b as well
    assert again == KeepRoll(1, 2, frozenset("ab"))
    assert not one.handle(S + TIMING.renew_us, RollKept(1)), "an answer to what was asked before"
    done = one.handle(2 * S, RollKept(2))
    assert [(a.follower, a.message) for a in done if isinstance(a, To)] == [
        (name, InForce(1, VersionId(1, 1))) for name in "ab"
    ], "they are to ask again"
    for number in range(2, 6):
        done = one.handle(3 * S + number, From("a", replace(told, number=number)))
        assert sent(done, Lease) and not rolls(done)
    assert not rolls(one.handle(4 * S, Pulse()))


def test_a_new_leader_waits_for_those_on_the_roll_and_names_whom_it_has_not_heard() -> None:
    one = Issuer(TIMING)
    one.handle(0, Leading(5, LONG, Book(version(1)), frozenset(("a", "silent"))))
    silent = next(p for p in one.view(0).peers if p.follower == "silent")
    assert not silent.heard and silent.left_us == TIMING.gone_us
    ask(one, 1, "a", 1, 1, 1)
    done = one.handle(2, From("a", Ack(VersionId(5, 2))))
    assert not sent(done, Prepare), "nothing is sent to whom nobody has heard"
    assert one.state is State.PREPARING
    assert one.holds_up(TIMING.gone_us - 1, one.peers["silent"], VersionId(5, 2))
    assert [a for a in one.handle(TIMING.gone_us, Pulse()) if isinstance(a, Keep)]
    [said] = [a for a in one.handle(TIMING.gone_us, Kept(VersionId(5, 2))) if isinstance(a, Reported)]
    assert said.text == "acknowledged by 1 of 2; its drains do not reach silent"
    assert sent(one.handle(9 * S, From("silent", Ask(1, 1, 1, VersionId(1, 1), VersionId(1, 1)))), Prepare)
    assert all(p.heard for p in one.view(9 * S).peers)


def test_one_not_heard_for_the_stated_time_leaves_the_roll_and_one_that_comes_back_waits_for_it() -> None:
    one = Issuer(TIMING)
    one.handle(0, Leading(5, LONG, Book(version(1)), frozenset(("a", "silent"))))
    now = FORGET_US
    enrol(one, now, "a")
    assert not rolls(one.handle(now, Pulse())) and "silent" in one.peers
    assert rolls(one.handle(now + 1, Pulse()))[0].names == frozenset("a")
    back = Ask(1, 1, 1, VersionId(1, 1), VersionId(1, 1))
    assert not sent(one.handle(now + 2, From("silent", back)), Lease)
    # Its name may go with the write under way: an answer to that says nothing of the next.
    [both] = rolls(one.handle(now + 3, RollKept(one.roll.number)))
    assert both.names == frozenset(("a", "silent")) and one.roll.held == frozenset("a")


def test_a_leader_that_is_not_sure_writes_no_roll() -> None:
    one = Issuer(TIMING)
    one.handle(0, Leading(1, 5 * S, Book(version(1))))
    assert rolls(one.handle(S, From("a", Ack(NOTHING))))
    assert not rolls(one.handle(7 * S, From("b", Ack(NOTHING)))) and not rolls(one.handle(8 * S, Pulse()))
    one.handle(8 * S, Deposed())
    assert one.handle(8 * S, RollKept(1)) == []
