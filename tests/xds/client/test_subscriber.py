"""The subscriber against the server's machine, through lost streams and late answers; and its rules."""

from __future__ import annotations

from collections import deque
from random import Random

import pytest

from roadlb.xds.client.events import (
    Accept,
    Action,
    Came,
    End,
    Expired,
    Lost,
    Opened,
    Refuse,
    Send,
    Tick,
    Told,
    Want,
)
from roadlb.xds.client.subscriber import OWED_MOST, State, Subscriber
from roadlb.xds.delta import DeltaStream
from roadlb.xds.messages import (
    Asked,
    Closed,
    DeltaRequest,
    DeltaResponse,
    ErrorDetail,
    Node,
    Published,
    Ready,
    Respond,
)
from roadlb.xds.resources import CLUSTER, ENDPOINTS, Resource, Snapshot

NO = ErrorDetail(3, "hall_emptied: no")


def resource(name: str, body: str, generation: int = 1, ttl_us: int | None = None) -> Resource:
    return Resource.make(CLUSTER, name, body.encode(), generation, ttl_us)


def subscriber(*names: str) -> Subscriber:
    made = Subscriber(Node("n1"))
    made.handle(0, Want(CLUSTER, names or ("*",)))
    return made


def requests(actions: list[Action]) -> list[DeltaRequest]:
    return [action.request for action in actions if isinstance(action, Send)]


def told(actions: list[Action]) -> Told:
    [found] = [action for action in actions if isinstance(action, Told)]
    return found


def came(
    by: Subscriber, nonce: str, *resources: Resource, removed: tuple[str, ...] = (), now: int = 0
) -> Told:
    return told(by.handle(now, Came(DeltaResponse(CLUSTER, "v", nonce, resources, removed))))


class Pair:
    """A subscriber and a service instance, with what is on its way; the instance gives way to others."""

    def __init__(self, seed: int) -> None:
        self.random, self.now, self.generation = Random(seed), 0, 1
        self.snapshot = Snapshot.of(1, [resource("c0", "0")])
        self.subscriber = subscriber()
        self.subscriber.handle(0, Want(ENDPOINTS, ("e0", "e1")))
        self.view: dict[tuple[str, str], bytes] = {}
        self.owed: list[Told] = []
        self.poison = False
        self.open()

    def open(self) -> None:
        self.server = DeltaStream(self.snapshot)
        self.up: deque[DeltaRequest] = deque()
        self.down: deque[DeltaResponse] = deque()
        self.owed = []
        self.hear(self.subscriber.handle(self.now, Opened()))

    def lose(self) -> None:
        self.hear(self.subscriber.handle(self.now, Lost()))
        self.server.handle(self.now, Closed())
        self.open()

    def hear(self, actions: list[Action]) -> None:
        for action in actions:
            assert not isinstance(action, End), action
            if isinstance(action, Send):
                self.up.append(action.request)
            elif isinstance(action, Told):
                self.owed.append(action)

    def serve(self, actions: list[object]) -> None:
        self.down += [
            action.response
            for action in actions
            if isinstance(action, Respond) and isinstance(action.response, DeltaResponse)
        ]

    def publish(self) -> None:
        self.generation += 1
        kind = self.random.choice((CLUSTER, ENDPOINTS))
        name = ("c" if kind == CLUSTER else "e") + str(self.random.randrange(3))
        if self.random.random() < 0.3:
            self.snapshot = self.snapshot.next(self.generation, removed=[(kind, name)])
        else:
            body = str(self.generation).encode()
            self.snapshot = self.snapshot.next(
                self.generation, [Resource.make(kind, name, body, self.generation)]
            )
        self.serve(list(self.server.handle(self.now, Published(self.snapshot))))

    def answer(self, refuse: bool) -> None:
        """Any of those owed, in any order."""
        one = self.owed.pop(self.random.randrange(len(self.owed)))
        if refuse:
            self.hear(self.subscriber.handle(self.now, Refuse(one.token, NO)))
            return
        for item in one.resources:
            self.view[one.type_url, item.name] = item.body
        for name in one.removed:
            self.view.pop((one.type_url, name), None)
        self.hear(self.subscriber.handle(self.now, Accept(one.token)))

    def step(self, rough: bool) -> bool:
        """One thing that can happen; whether anything could."""
        self.now += 1_000_000
        can = [name for name, there in (("up", self.up), ("down", self.down), ("owed", self.owed)) if there]
        if rough:
            can += ["publish", "publish", "lose"]
        if not can:
            before = len(self.down)
            self.serve(list(self.server.handle(self.now, Tick())))
            return len(self.down) > before
        match self.random.choice(can):
            case "up":
                self.serve(list(self.server.handle(self.now, Asked(self.up.popleft()))))
            case "down":
                self.hear(self.subscriber.handle(self.now, Came(self.down.popleft())))
                self.serve(list(self.server.handle(self.now, Ready())))
            case "owed":
                self.answer(rough and self.random.random() < 0.2)
            case "publish":
                self.publish()
            case "lose":
                self.lose()
        return True


@pytest.mark.parametrize("seed", range(100))
def test_after_any_trouble_the_view_is_what_was_published(seed: int) -> None:
    pair = Pair(seed)
    for _ in range(150):
        pair.step(rough=True)
    pair.lose()  # what was refused counts again on a new stream
    quiet = 0
    while quiet < 30:
        quiet = 0 if pair.step(rough=False) else quiet + 1
    want = {
        (one.type_url, one.name): one.body
        for one in pair.snapshot
        if one.type_url == CLUSTER or one.name in ("e0", "e1")
    }
    assert pair.view == want
    for kind in (CLUSTER, ENDPOINTS):
        assert pair.subscriber.versions(kind).keys() == {name for url, name in want if url == kind}


def test_a_new_stream_shows_what_was_accepted_and_nothing_else() -> None:
    by = subscriber()
    first = requests(by.handle(0, Opened()))[0]
    assert first.node == Node("n1") and first.resource_names_subscribe == ("*",)
    assert not first.initial_resource_versions
    a, b = resource("a", "1"), resource("b", "1")
    by.handle(0, Accept(came(by, "1", a).token))
    by.handle(0, Refuse(came(by, "2", b).token, NO))
    came(by, "3", resource("c", "1"))
    by.handle(0, Lost())
    assert by.state(CLUSTER) is State.SILENT
    [again] = requests(by.handle(0, Opened()))
    assert again.initial_resource_versions == {"a": a.version} and again.node is not None


def test_an_answer_to_a_stream_that_is_gone_answers_nothing() -> None:
    """Both streams number their responses from 1."""
    by = subscriber()
    by.handle(0, Opened())
    old = came(by, "1", resource("a", "1"))
    by.handle(0, Lost())
    by.handle(0, Opened())
    new = came(by, "1", resource("a", "2"))
    assert by.handle(0, Accept(old.token)) == [] and by.state(CLUSTER) is State.OWING
    [ack] = requests(by.handle(0, Accept(new.token)))
    assert ack.response_nonce == "1" and ack.error_detail is None
    assert by.versions(CLUSTER) == {"a": resource("a", "2").version}


def test_a_nack_names_the_check_and_keeps_what_was_held() -> None:
    by = subscriber()
    by.handle(0, Opened())
    by.handle(0, Accept(came(by, "1", resource("a", "1")).token))
    [nack] = requests(by.handle(0, Refuse(came(by, "2", resource("a", "2")).token, NO)))
    assert nack.response_nonce == "2" and nack.error_detail == NO
    assert by.versions(CLUSTER) == {"a": resource("a", "1").version}
    assert came(by, "3", resource("a", "2")).resources, "a refused resource told again is news again"


def test_answers_in_another_order_do_not_bring_an_older_state_back() -> None:
    by = subscriber()
    by.handle(0, Opened())
    first, second = came(by, "1", resource("a", "1"), resource("b", "1")), came(by, "2", resource("a", "2"))
    third = came(by, "3", removed=("b",))
    for each in (third, second, first):
        by.handle(0, Accept(each.token))
    assert by.versions(CLUSTER) == {"a": resource("a", "2").version}


def test_a_ttl_that_is_not_prolonged_ends_what_is_held() -> None:
    by = subscriber()
    by.handle(0, Opened())
    lease = resource("lease", "1", ttl_us=1_000)
    by.handle(0, Accept(came(by, "1", lease).token))
    assert by.wake_at == 1_000
    by.handle(600, Accept(came(by, "2", lease.heartbeat(), now=600).token))
    assert by.wake_at == 1_600 and by.handle(1_599, Tick()) == []
    assert by.handle(1_600, Tick()) == [Expired(CLUSTER, ("lease",))] and by.versions(CLUSTER) == {}
    by.handle(1_700, Lost())
    assert not requests(by.handle(1_700, Opened()))[0].initial_resource_versions


def test_names_come_and_go_without_a_word_too_many() -> None:
    by = subscriber("a")
    assert by.handle(0, Want(CLUSTER, ("b",))) == [], "told before there is a stream"
    by.handle(0, Opened())
    by.handle(0, Accept(came(by, "1", resource("a", "1"), resource("b", "1")).token))
    [request] = requests(by.handle(0, Want(CLUSTER, ("c", "b"), ("a", "x"))))
    assert request.resource_names_subscribe == ("c",) and request.resource_names_unsubscribe == ("a",)
    assert by.versions(CLUSTER).keys() == {"b"}
    assert not came(by, "2", resource("a", "2")).resources, "no longer wanted"


def test_what_is_no_answer_to_us_ends_the_stream() -> None:
    by = subscriber()
    by.handle(0, Opened())
    assert isinstance(by.handle(0, Came(DeltaResponse(ENDPOINTS, "v", "1")))[0], End)
    assert isinstance(by.handle(0, Came(DeltaResponse(CLUSTER, "v", "")))[0], End)
    for i in range(OWED_MOST):
        came(by, str(i + 1))
    assert isinstance(by.handle(0, Came(DeltaResponse(CLUSTER, "v", "x")))[0], End)
