"""Events that come late find their request over or their server gone, and start nothing."""

from __future__ import annotations

import pytest
from test_decisions import SECOND, BalancerUnderTest, one_class

from roadlb.policy.interface import (
    Action,
    Arrival,
    BodyComplete,
    BodyOverdue,
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

FAILED_STATUSES = [
    Status.ERROR,
    Status.RESET,
    Status.CONNECT_FAILED,
    Status.TIMEOUT,
    Status.SPOILT,
    Status.FULL,
    Status.MOOT,
]


def drain_server(
    harness: BalancerUnderTest, server: bytes, state: ServerState = ServerState.DRAINING
) -> list[Action]:
    return harness.feed(ListUpdate(ListKind.DELTA, [Member(server, state)]))


@pytest.mark.parametrize(("cancelling", "unsent"), [(True, False), (False, True)])
def test_a_client_that_leaves_cancels_an_attempt_that_is_still_being_dialled(
    cancelling: bool, unsent: bool
) -> None:
    # Without cancelling a started attempt runs on, but one of which nothing is written yet must not start.
    harness = BalancerUnderTest(cancelling=cancelling)
    harness.request_server(7)
    assert harness.feed(ClientGone(harness.last_request)) == [Cancel(harness.last_request, 0, unsent=unsent)]


def test_a_cancelled_attempt_is_not_cancelled_again() -> None:
    harness = BalancerUnderTest()
    harness.request_server(7)
    assert len(harness.feed(ClientGone(harness.last_request))) == 1
    assert harness.feed(ClientGone(harness.last_request)) == []


@pytest.mark.parametrize("status", FAILED_STATUSES)
@pytest.mark.parametrize("effect", list(Effect))
def test_no_attempt_starts_for_a_client_that_has_left(effect: Effect, status: Status) -> None:
    harness = BalancerUnderTest(classes=one_class(effect))
    server = harness.request_server(7)
    harness.feed(ClientGone(harness.last_request))
    assert not [a for a in harness.advance(300_000) if isinstance(a, Send)]
    late = [
        *harness.feed(StreamStarted(harness.last_request, 0, server, 1)),
        *harness.feed(Outcome(harness.last_request, 0, server, status, 300_000, True)),
        *harness.feed(Outcome(harness.last_request, 0, server, status, 300_000, True)),
        *harness.advance(5 * SECOND),
    ]
    assert not [a for a in late if isinstance(a, Send)]
    assert (
        not harness.balancer.requests
        and harness.balancer.fleet_load.in_flight_count == 0
        and harness.balancer.fleet.in_flight == 0
    )


def test_a_body_completed_after_its_request_is_over_counts_for_nothing() -> None:
    harness = BalancerUnderTest()
    (send,) = harness.feed(Arrival(1, 0, 0, 7, SECOND, 0, coming=True))
    assert isinstance(send, Send)
    harness.feed(ClientGone(1))
    assert harness.feed(BodyComplete(1, SECOND)) == []
    harness.feed(Outcome(1, 0, send.server, Status.CANCELLED, 1000, True))
    assert (
        not harness.balancer.requests
        and harness.balancer.fleet_load.in_flight_count == 0
        and harness.balancer.fleet.in_flight == 0
    )


@pytest.mark.parametrize("effect", list(Effect))
def test_a_request_whose_time_is_over_before_its_body_was_taken_is_refused(effect: Effect) -> None:
    # Guards against another attempt, which could not be in time, and against a failure: nothing has run.
    harness = BalancerUnderTest(classes=one_class(effect))
    (send,) = harness.feed(Arrival(1, 0, 0, 7, 600 * SECOND, 0, coming=True))
    assert isinstance(send, Send)
    assert harness.feed(BodyOverdue(1)) == []
    (answer,) = harness.feed(Outcome(1, 0, send.server, Status.CONNECT_FAILED, SECOND, False))
    assert isinstance(answer, Refuse)
    assert harness.feed(BodyOverdue(1)) == [] and harness.advance(5 * SECOND) == []
    assert not harness.balancer.requests and harness.balancer.fleet.in_flight == 0


def test_a_late_word_that_the_body_is_overdue_changes_nothing() -> None:
    # Guards against a request that loses the time it has because an event crossed the end of its body.
    harness = BalancerUnderTest(classes=one_class(Effect.SAFE), second_copies=False)
    (send,) = harness.feed(Arrival(1, 0, 0, 7, 600 * SECOND, 0, coming=True))
    assert isinstance(send, Send)
    assert harness.feed(BodyComplete(1, SECOND)) == []
    assert harness.feed(BodyOverdue(1)) == []
    (again,) = harness.feed(Outcome(1, 0, send.server, Status.RESET, 1000, False))
    assert isinstance(again, Send) and again.server != send.server
    harness.feed(ClientGone(1))
    assert harness.feed(BodyOverdue(1)) == []


@pytest.mark.parametrize("effect", list(Effect))
def test_an_answer_that_has_started_is_not_retried_elsewhere(effect: Effect) -> None:
    # The client already has the head of the first answer and would take a second answer for its body.
    harness = BalancerUnderTest(classes=one_class(effect), second_copies=False)
    server = harness.request_server(7)
    harness.feed(StreamStarted(harness.last_request, 0, server, 1000))
    (answer,) = harness.finish(server, Status.RESET)
    assert isinstance(answer, Fail if effect is Effect.UNSAFE else Refuse)
    assert not [a for a in harness.advance(5 * SECOND) if isinstance(a, Send)]


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
@pytest.mark.parametrize("effect", list(Effect))
def test_an_attempt_still_being_dialled_leaves_a_draining_server(effect: Effect, state: ServerState) -> None:
    # Dialling may take longer than the second within which new work may still go to a draining server.
    harness = BalancerUnderTest(classes=one_class(effect), second_copies=False)
    server = harness.request_server(7)
    drain_server(harness, server, state)
    assert not [a for a in harness.advance(450_000) if isinstance(a, Cancel)]
    cancels = [a for a in harness.advance(60_000) if isinstance(a, Cancel)]
    assert cancels == [Cancel(harness.last_request, 0, unsent=True)]
    (send,) = harness.finish(server, Status.MOOT)
    assert isinstance(send, Send) and send.server != server
    assert not [a for a in harness.advance(SECOND) if isinstance(a, Cancel)]


def test_an_attempt_finished_before_its_server_drains_is_not_cancelled() -> None:
    harness = BalancerUnderTest()
    drain_server(harness, harness.serve(7))
    assert not [a for a in harness.advance(SECOND) if isinstance(a, Cancel)]


@pytest.mark.parametrize("effect", [Effect.KEYED, Effect.SAFE])
def test_a_keyed_retry_has_to_be_written_within_the_window(effect: Effect) -> None:
    harness = BalancerUnderTest(classes=one_class(effect, window_us=300_000), second_copies=False)
    began = harness.now
    (first,) = harness.send_request(7)
    assert isinstance(first, Send) and first.write_by_us == 0
    harness.now += 100_000
    (repeat,) = harness.finish(first.server, Status.RESET)
    assert isinstance(repeat, Send)
    assert repeat.write_by_us == (began + 300_000 if effect is Effect.KEYED else 0)


def test_a_retry_of_an_attempt_that_never_ran_may_be_written_at_any_time() -> None:
    harness = BalancerUnderTest(classes=one_class(Effect.KEYED, window_us=300_000), second_copies=False)
    (first,) = harness.send_request(7)
    assert isinstance(first, Send)
    (repeat,) = harness.finish(first.server, Status.CONNECT_FAILED)
    assert isinstance(repeat, Send) and repeat.write_by_us == 0
