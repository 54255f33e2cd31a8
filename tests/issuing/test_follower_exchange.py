"""Both machines of a follower's stream: whatever is refused, lost or late, the next version arrives."""

from __future__ import annotations

from random import Random

import pytest

from roadlb.agreement.events import Ack, Ask, Contents, InForce, Lease, Nack, Prepare, Version, VersionId
from roadlb.fleet.model import Cluster, Endpoint, NodeId
from roadlb.issuing.books import Books
from roadlb.issuing.follower_exchange import (
    Action,
    Deliver,
    EndStream,
    FollowerExchange,
    FollowerSays,
    RequestReceived,
    SendResponse,
)
from roadlb.xds.client import events as client
from roadlb.xds.client.link import Hears, Link, Say
from roadlb.xds.codec.discovery import (
    read_delta_request,
    read_delta_response,
    write_delta_request,
    write_delta_response,
)
from roadlb.xds.messages import DeltaRequest, Node

NODES = tuple(Endpoint(NodeId(f"n{i}", 1), "127.0.0.1", 9_000 + i) for i in range(200))


def version(number: int, random: Random) -> Version:
    """One of a few contents, so that what was held before comes again."""
    settings = {"tenants.0.quota_per_s": str(random.randrange(3))}
    nodes = NODES[: random.choice((20, 21, 150, 200))]
    return Version(VersionId(1, number), Contents(settings, {"grid": Cluster("grid", nodes)}))


class Stream:
    """A follower's link and the issuer's exchange, with messages as bytes that wait both ways."""

    def __init__(self, random: Random) -> None:
        self.random, self.now, self.books = random, 0, Books()
        self.link, self.exchange = Link("b"), FollowerExchange()
        self.there: list[bytes] = []
        self.back: list[bytes] = []
        self.heard: list[Prepare] = []
        self.unanswered: list[Prepare] = []
        self.open()

    def open(self) -> None:
        self.exchange, self.there, self.back = FollowerExchange(), [], []
        self.tell_link(client.Lost())
        self.tell_link(client.Opened())

    def tell_link(self, event: client.Opened | client.Lost | client.Came | client.Tick | Say) -> None:
        for action in self.link.handle(self.now, event):
            if isinstance(action, client.Send):
                self.there.append(write_delta_request(action.request))
            elif isinstance(action, Hears) and isinstance(action.message, Prepare):
                self.heard.append(action.message)
                self.unanswered.append(action.message)

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            assert not isinstance(action, EndStream), action.reason
            if isinstance(action, SendResponse):
                self.back.append(write_delta_response(action.response))

    def step(self) -> None:
        """One thing happens: a message arrives, the follower answers, time passes, the stream breaks."""
        draw = self.random.random()
        if draw < 0.4 and self.there:
            self.do(self.exchange.handle(RequestReceived(read_delta_request(self.there.pop(0)))))
        elif draw < 0.8 and self.back:
            self.tell_link(client.Came(read_delta_response(self.back.pop(0))))
        elif draw < 0.9 and self.unanswered:
            told = self.unanswered.pop().version.id
            self.tell_link(Say(Ack(told) if self.random.random() < 0.6 else Nack(told, "no")))
        elif draw < 0.97:
            self.now += self.random.randrange(400_000)
            self.tell_link(client.Tick())
        else:
            self.open()


@pytest.mark.parametrize("seed", range(60))
def test_the_last_version_is_heard_whole_whatever_went_before(seed: int) -> None:
    random = Random(seed)
    stream, last = Stream(random), None
    for number in range(1, 25):
        last = version(number, random)
        stream.do(stream.exchange.handle(Deliver(stream.books.offer(Prepare(1, last)))))
        for _ in range(random.randrange(12)):
            stream.step()
    assert last is not None
    for _ in range(12):  # as the issuer does: again and again, until it is acknowledged
        stream.do(stream.exchange.handle(Deliver(stream.books.offer(Prepare(1, last)))))
        while stream.there or stream.back:
            if stream.there:
                stream.do(stream.exchange.handle(RequestReceived(read_delta_request(stream.there.pop(0)))))
            if stream.back:
                stream.tell_link(client.Came(read_delta_response(stream.back.pop(0))))
        if any(told.version.id == last.id for told in stream.heard):
            break
        stream.now += 600_000
        stream.tell_link(client.Tick())
    told = next(told for told in stream.heard if told.version.id == last.id)
    assert told.version.contents.settings == last.contents.settings
    assert sorted(e.node.name for e in told.version.contents.clusters["grid"].endpoints) == sorted(
        e.node.name for e in last.contents.clusters["grid"].endpoints
    )


def test_an_ask_is_answered_by_its_name_and_only_on_its_stream() -> None:
    exchange = FollowerExchange()
    ask = Ask(7, 3, 1, VersionId(), VersionId(1, 2))
    link = Link("b")
    sent = [
        action.request
        for event in (client.Opened(), Say(ask))
        for action in link.handle(0, event)
        if isinstance(action, client.Send)
    ]
    assert [
        action.message
        for request in sent
        for action in exchange.handle(RequestReceived(request))
        if isinstance(action, FollowerSays)
    ] == [ask]
    lease = Lease(1, VersionId(1, 2), 7, 3, 4_000_000)
    (answer,) = exchange.handle(Deliver(lease))
    assert isinstance(answer, SendResponse) and answer.response.resources[0].ttl_us == 4_000_000
    assert exchange.handle(Deliver(lease)) == []  # once
    assert FollowerExchange().handle(Deliver(lease)) == []  # nobody asked here
    (heard,) = [
        action for action in link.handle(1, client.Came(answer.response)) if isinstance(action, Hears)
    ]
    assert heard.message == lease


def test_a_request_that_is_none_ends_the_stream_with_the_reason() -> None:
    (end,) = FollowerExchange().handle(RequestReceived(DeltaRequest("x")))
    assert isinstance(end, EndStream) and "node.id" in end.reason
    exchange = FollowerExchange()
    exchange.handle(RequestReceived(DeltaRequest("x", node=Node("b"))))
    (end,) = exchange.handle(
        RequestReceived(DeltaRequest("type.googleapis.com/google.protobuf.Value", ("lease?no=1",)))
    )
    assert isinstance(end, EndStream) and "lease?no=1" in end.reason
    told = [
        action
        for number in range(300)
        for action in exchange.handle(Deliver(InForce(1, VersionId(1, number))))
    ]
    assert any(isinstance(action, EndStream) and "without an answer" in action.reason for action in told)


def test_nothing_is_said_on_a_stream_before_its_first_ask_which_bears_the_epoch() -> None:
    """An issuer answers on the stream on which it heard last: so it hears of a later epoch first."""
    stream = Stream(Random(1))
    stream.tell_link(Say(Ask(1, 1, 7, VersionId(7, 3), VersionId(7, 4))))
    said = [
        action.message
        for data in stream.there
        for action in stream.exchange.handle(RequestReceived(read_delta_request(data)))
        if isinstance(action, FollowerSays)
    ]
    assert said == [Ask(1, 1, 7, VersionId(7, 3), VersionId(7, 4))] and len(stream.there) > 1
