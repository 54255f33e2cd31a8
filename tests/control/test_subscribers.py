"""Who acknowledged what, over arbitrary orders; newcomers are spread."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from roadlb.control.subscribers import (
    ADMIT_PER_S,
    BURST,
    KEPT,
    LAG_US,
    Acked,
    Admit,
    Came,
    CaughtUp,
    Forgot,
    Hurry,
    Lags,
    Left,
    Nacked,
    Refuses,
    Sent,
    State,
    Subscribers,
    Tick,
    TurnAway,
)

SECOND = 1_000_000
NAMES = ("a", "b", "c")
events = st.one_of(
    st.builds(Came, st.sampled_from(NAMES), st.integers(1, 4), st.none() | st.integers(0, 9)),
    st.builds(Left, st.sampled_from(NAMES), st.integers(1, 4)),
    st.builds(
        Sent, st.sampled_from(NAMES), st.sampled_from(["eds", "cds"]), st.integers(1, 12), st.integers(0, 9)
    ),
    st.builds(Acked, st.sampled_from(NAMES), st.sampled_from(["eds", "cds"]), st.integers(0, 14)),
    st.builds(
        Nacked,
        st.sampled_from(NAMES),
        st.sampled_from(["eds", "cds"]),
        st.integers(0, 14),
        st.text(max_size=300),
    ),
    st.just(Hurry()),
    st.just(Tick()),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 2 * SECOND), events), max_size=60))
def test_counts_stay_bounded_and_true_in_any_order(steps: list[tuple[int, object]]) -> None:
    s, now, lagging = Subscribers(Random(1), "eds", stale_us=5 * SECOND, most=2), 0, set()
    for wait, event in steps:
        now += wait
        told_eds = {n: x.generation for n, x in s.known.items()}
        for a in s.handle(now, event):  # type: ignore[arg-type]
            if isinstance(a, Lags):
                assert (a.subscriber, a.type_url) not in lagging and a.versions > 0
                lagging.add((a.subscriber, a.type_url))
            elif isinstance(a, CaughtUp):
                lagging.remove((a.subscriber, a.type_url))
            elif isinstance(a, Forgot):
                assert a.subscriber not in s.known
            elif isinstance(a, Admit):
                assert s.known[a.subscriber].state is State.CONNECTED
        lagging = {
            (n, t)
            for n, t in lagging
            if n in s.known and t in s.known[n].types and s.known[n].types[t].lagging
        }
        assert len(s.known) <= 2
        for name, x in s.known.items():
            if not isinstance(event, Came) and name in told_eds:
                assert x.generation >= told_eds[name], "what is acknowledged does not go back on a stream"
            for p in x.types.values():
                assert p.acked <= p.settled <= p.sent and len(p.open) <= KEPT and len(p.reason) <= 200
        if isinstance(event, Tick):
            assert all(x.state is not State.AWAY or now - x.since < 5 * SECOND for x in s.known.values())
            assert s.next_at is None or s.next_at > now


def test_hundreds_that_come_at_once_are_spread_and_a_drain_hurries_those_with_a_view() -> None:
    s = Subscribers(Random(1), "eds")
    for i in range(600):
        s.handle(0, Came(f"p{i}", i, 7 if i % 2 else None))
    admitted, now = [], 0
    while s.next_at is not None and s.next_at < SECOND // 10:
        now = s.next_at
        admitted += [now for a in s.handle(now, Tick()) if isinstance(a, Admit)]
    assert sum(at == 0 for at in admitted) <= BURST + 1
    assert 0.5 < len(admitted) / (BURST + ADMIT_PER_S / 10) < 1.2
    hurried = {a.subscriber for a in s.handle(now, Hurry()) if isinstance(a, Admit)}
    waiting = {x.name for x in s.known.values() if x.state is State.WAITING}
    assert hurried and all(int(n[1:]) % 2 for n in hurried)
    assert waiting and not any(int(n[1:]) % 2 for n in waiting)


def test_the_whole_crowd_is_let_in_at_the_stated_rate() -> None:
    s, last = Subscribers(Random(2), "eds"), 0
    for i in range(1000):
        s.handle(0, Came(f"p{i}", i))
    while s.next_at is not None:
        last = s.next_at
        s.handle(last, Tick())
    assert all(x.state is State.CONNECTED for x in s.known.values())
    assert last <= (1000 + BURST) / ADMIT_PER_S * SECOND


def test_refusals_lags_and_the_end_of_both_are_told_once() -> None:
    s = Subscribers(Random(1), "eds")
    s.handle(0, Came("p", 1))
    s.handle(0, Tick())
    s.handle(0, Sent("p", "eds", 1, 5))
    assert s.carriers().carriers[0].generation == 5  # what it may have: this, or nothing yet
    assert s.handle(LAG_US, Tick()) == [Lags("p", "eds", 1, LAG_US)]
    assert s.handle(LAG_US + 1, Tick()) == []
    refused, caught_up = s.handle(LAG_US + 2, Nacked("p", "eds", 1, "weight: too much"))
    assert refused == Refuses("p", "eds", "weight: too much", 1) and caught_up == CaughtUp("p", "eds")
    s.handle(LAG_US + 3, Sent("p", "eds", 2, 6))
    assert s.handle(LAG_US + 4, Acked("p", "eds", 2)) == [] and s.carriers().carriers[0].generation == 6


def test_a_full_house_turns_away_only_where_nobody_is_away() -> None:
    s = Subscribers(Random(1), "eds", most=1)
    s.handle(0, Came("a", 1, 4))
    (no,) = s.handle(0, Came("b", 2))
    assert isinstance(no, TurnAway) and "raise its limit" in no.reason
    s.handle(1, Left("a", 1))
    assert s.handle(2, Came("b", 3)) == [Forgot("a")]
