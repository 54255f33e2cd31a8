"""The guard in front of publishing, over arbitrary orders of events."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from roadlb.control.events import Decision, Decisions
from roadlb.control.order import (
    ASK_US,
    CatchUp,
    Connected,
    Disconnected,
    Listed,
    Order,
    Pictured,
    Proposed,
    Release,
    Silence,
    Speak,
    Tick,
    Withheld,
)
from roadlb.fleet.model import Endpoint, Health, NodeId

NODES = [NodeId(f"n{i}") for i in range(4)]


def decisions(generation: int, serial: int, up: frozenset[NodeId]) -> Decisions:
    return Decisions(
        generation,
        serial,
        {
            "grid": tuple(
                Decision(
                    Endpoint(n, "h", i), Health.HEALTHY if n in up else Health.DRAINING, n in up, "", 0, ""
                )
                for i, n in enumerate(NODES)
            )
        },
    )


def is_open(d: Decisions) -> set[NodeId]:
    return {one.node for one in d.clusters["grid"] if one.open}


ups = st.frozensets(st.sampled_from(NODES))
steps = st.lists(
    st.tuples(
        st.sampled_from(["picture", "propose", "move", "listed", "tick"]),
        st.integers(0, 1),
        st.integers(0, 9),
    ),
    max_size=60,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(ups, min_size=10, max_size=10), steps)
def test_no_view_that_a_proxy_gets_has_open_what_a_picture_up_to_its_generation_closed_last(
    history: list[frozenset[NodeId]], steps: list[tuple[str, int, int]]
) -> None:
    """Two instances, pictures and decisions late and out of order, one proxy that moves between them."""
    guards, serials = [Order(), Order()], [0, 0]
    at, stream, seen, out = 0, 0, -1, [(-1, -1), (-1, -1)]
    guards[0].handle(0, Connected("p", stream))
    for now, (what, i, g) in enumerate(steps):
        actions = []
        if what == "picture":
            actions = guards[i].handle(now, Pictured(g, history[g]))
        elif what == "propose":
            serials[i] += 1
            actions = guards[i].handle(now, Proposed(decisions(g, serials[i], history[g])))
            assert any(isinstance(a, Release | Withheld) for a in actions)
        elif what == "move":
            guards[at].handle(now, Disconnected("p", stream))
            at, stream = i, stream + 1
            actions = guards[i].handle(now, Connected("p", stream, seen if seen >= 0 else None))
        else:
            actions = guards[i].handle(now, Listed(g) if what == "listed" else Tick())
        for a in actions:
            if isinstance(a, Release):
                assert (a.decisions.generation, a.decisions.serial) >= out[i]
                out[i] = a.decisions.generation, a.decisions.serial
                assert is_open(a.decisions) <= history[a.decisions.generation]
        if guards[at].may_tell("p") and guards[at].out is not None:
            assert guards[at].generation >= seen, "it was told something older than it has acknowledged"
            seen = guards[at].generation


def test_a_drain_goes_out_at_once_and_a_decision_made_before_it_does_not_reopen_the_node() -> None:
    guard, all_up = Order(), frozenset(NODES)
    guard.handle(0, Proposed(decisions(1, 1, all_up)))
    (release,) = guard.handle(1, Pictured(2, all_up - {NODES[0]}))
    assert isinstance(release, Release) and release.decisions.urgent and release.decisions.generation == 2
    assert is_open(release.decisions) == set(NODES[1:])
    (withheld,) = guard.handle(2, Proposed(decisions(1, 2, all_up)))
    assert isinstance(withheld, Withheld) and "2.1 has gone out already" in withheld.reason
    (again,) = guard.handle(3, Proposed(decisions(2, 3, all_up - {NODES[0]})))
    assert isinstance(again, Release)
    (reopened,) = guard.handle(4, Proposed(decisions(3, 4, all_up)))
    assert isinstance(reopened, Release) and NODES[0] in is_open(reopened.decisions)


def test_a_decision_older_than_a_drain_that_nothing_went_out_for_yet_is_closed_on_its_way() -> None:
    guard, all_up = Order(), frozenset(NODES)
    assert guard.handle(0, Pictured(2, all_up - {NODES[0]})) == []
    (release,) = guard.handle(1, Proposed(decisions(1, 1, all_up)))
    assert isinstance(release, Release) and is_open(release.decisions) == set(NODES[1:])


def test_a_new_start_under_an_old_name_is_another_node() -> None:
    guard, fresh = Order(), NodeId("n0", 5)
    guard.handle(0, Proposed(decisions(1, 1, frozenset(NODES))))
    guard.handle(1, Pictured(2, frozenset({*NODES[1:], fresh})))
    told = decisions(2, 2, frozenset(NODES[1:]))
    born = replace(told.clusters["grid"][1], endpoint=Endpoint(fresh, "h", 0))
    (release,) = guard.handle(2, Proposed(replace(told, clusters={"grid": (*told.clusters["grid"], born)})))
    assert isinstance(release, Release) and fresh in is_open(release.decisions)


def test_silence_until_caught_up_and_discovery_is_asked_not_too_often() -> None:
    guard = Order()
    guard.handle(0, Proposed(decisions(5, 1, frozenset(NODES))))
    silence, ask = guard.handle(0, Connected("p", 1, acknowledged=7))
    assert silence == Silence("p", 7) and isinstance(ask, CatchUp) and not guard.may_tell("p")
    assert guard.handle(1, Connected("q", 2, acknowledged=5)) == [Speak("q")]  # a call is out
    assert guard.handle(2, Listed(5)) == []
    (again,) = guard.handle(ASK_US, Tick())
    assert isinstance(again, CatchUp)
    guard.handle(ASK_US + 1, Proposed(decisions(6, 2, frozenset(NODES))))
    assert not guard.may_tell("p")
    actions = guard.handle(ASK_US + 2, Proposed(decisions(7, 3, frozenset(NODES))))
    assert actions[1:] == [Speak("p")] and guard.may_tell("p")


def test_the_late_end_of_an_old_stream_does_not_disconnect_the_new_one() -> None:
    guard = Order()
    guard.handle(0, Proposed(decisions(5, 1, frozenset(NODES))))
    guard.handle(0, Connected("p", 1))
    guard.handle(1, Connected("p", 2))
    guard.handle(2, Disconnected("p", 1))
    assert guard.may_tell("p")
    guard.handle(3, Disconnected("p", 2))
    assert not guard.may_tell("p")
