"""Events that cross: what comes late finds its request over, or its server gone, and begins nothing."""

from __future__ import annotations

import pytest
from test_decisions import SECOND, Node, one

from roadlb.policy.interface import (
    Action,
    Arrival,
    BodyWhole,
    Cancel,
    ClientGone,
    Effect,
    Fail,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    Refuse,
    Send,
    ServerState,
    Status,
    StreamStarted,
)

ENDINGS = [
    Status.ERROR,
    Status.RESET,
    Status.CONNECT_FAILED,
    Status.TIMEOUT,
    Status.SPOILT,
    Status.FULL,
    Status.MOOT,
]


def drains(node: Node, server: bytes, state: ServerState = ServerState.DRAINING) -> list[Action]:
    return node.do(ListUpdate(ListKind.DELTA, [Member(server, state)]))


@pytest.mark.parametrize(("cancelling", "unsent"), [(True, False), (False, True)])
def test_a_client_that_leaves_takes_an_attempt_that_is_still_dialled_with_it(
    cancelling: bool, unsent: bool
) -> None:
    # Where servers are not cancelled an attempt runs on; one of which nothing is written must not begin.
    node = Node(cancelling=cancelling)
    node.sent(7)
    assert node.do(ClientGone(node.next)) == [Cancel(node.next, 0, unsent=unsent)]


def test_what_has_been_called_off_is_not_called_off_again() -> None:
    node = Node()
    node.sent(7)
    assert len(node.do(ClientGone(node.next))) == 1
    assert node.do(ClientGone(node.next)) == []


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("effect", list(Effect))
def test_nothing_begins_for_a_client_that_has_left(effect: Effect, ending: Status) -> None:
    node = Node(classes=one(effect))
    server = node.sent(7)
    node.do(ClientGone(node.next))
    assert not [a for a in node.wait(300_000) if isinstance(a, Send)]
    late = [
        *node.do(StreamStarted(node.next, 0, server, 1)),
        *node.do(Outcome(node.next, 0, server, ending, 300_000, True)),
        *node.do(Outcome(node.next, 0, server, ending, 300_000, True)),
        *node.wait(5 * SECOND),
    ]
    assert not [a for a in late if isinstance(a, Send)]
    assert not node.b.requests and node.b.hand.in_flight_count == 0 and node.b.fleet.out == 0


def test_a_body_that_is_whole_after_its_request_is_over_counts_for_nothing() -> None:
    node = Node()
    (send,) = node.do(Arrival(1, 0, 0, 7, SECOND, 0, coming=True))
    assert isinstance(send, Send)
    node.do(ClientGone(1))
    assert node.do(BodyWhole(1, SECOND)) == []
    node.do(Outcome(1, 0, send.server, Status.CANCELLED, 1000, True))
    assert not node.b.requests and node.b.hand.in_flight_count == 0 and node.b.fleet.out == 0


@pytest.mark.parametrize("effect", list(Effect))
def test_an_answer_that_has_begun_is_not_begun_again_elsewhere(effect: Effect) -> None:
    # Its client has the head of it, and a second one would be taken for the rest.
    node = Node(classes=one(effect), second_copies=False)
    server = node.sent(7)
    node.do(StreamStarted(node.next, 0, server, 1000))
    (answer,) = node.end(server, Status.RESET)
    assert isinstance(answer, Fail if effect is Effect.UNSAFE else Refuse)
    assert not [a for a in node.wait(5 * SECOND) if isinstance(a, Send)]


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
@pytest.mark.parametrize("effect", list(Effect))
def test_an_attempt_that_is_still_dialled_leaves_a_server_that_drains(
    effect: Effect, state: ServerState
) -> None:
    # A dial may take longer than the second for which new work may still go there.
    node = Node(classes=one(effect), second_copies=False)
    server = node.sent(7)
    drains(node, server, state)
    assert not [a for a in node.wait(450_000) if isinstance(a, Cancel)]
    cancels = [a for a in node.wait(60_000) if isinstance(a, Cancel)]
    assert cancels == [Cancel(node.next, 0, unsent=True)]
    (send,) = node.end(server, Status.MOOT)
    assert isinstance(send, Send) and send.server != server
    assert not [a for a in node.wait(SECOND) if isinstance(a, Cancel)]


def test_an_attempt_that_is_over_before_its_server_drains_is_left_alone() -> None:
    node = Node()
    drains(node, node.serve(7))
    assert not [a for a in node.wait(SECOND) if isinstance(a, Cancel)]


@pytest.mark.parametrize("effect", [Effect.KEYED, Effect.SAFE])
def test_a_repeat_has_to_be_written_while_what_may_have_run_is_remembered(effect: Effect) -> None:
    node = Node(classes=one(effect, window_us=300_000), second_copies=False)
    began = node.now
    (first,) = node.ask(7)
    assert isinstance(first, Send) and first.write_by_us == 0
    node.now += 100_000
    (repeat,) = node.end(first.server, Status.RESET)
    assert isinstance(repeat, Send)
    assert repeat.write_by_us == (began + 300_000 if effect is Effect.KEYED else 0)


def test_what_never_ran_may_be_written_again_at_any_time() -> None:
    node = Node(classes=one(Effect.KEYED, window_us=300_000), second_copies=False)
    (first,) = node.ask(7)
    assert isinstance(first, Send)
    (repeat,) = node.end(first.server, Status.CONNECT_FAILED)
    assert isinstance(repeat, Send) and repeat.write_by_us == 0
