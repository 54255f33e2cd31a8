"""The agreement's messages over the subscriber: nothing is acknowledged that the follower did not answer."""

from __future__ import annotations

from fleets import node

from roadlb.agreement.events import (
    Ack,
    Ask,
    Contents,
    Fenced,
    FromIssuer,
    InForce,
    Lease,
    Nack,
    Prepare,
    Version,
    VersionId,
)
from roadlb.fleet.model import Cluster
from roadlb.xds.client.events import Came, Lost, Opened, Send, Tick
from roadlb.xds.client.link import VERDICT_US, WHOLE_US, Action, Fault, Hears, Link, Nothing, Say
from roadlb.xds.codec.versions import (
    FORCE,
    LEASES,
    NOT_WHOLE,
    PARTS,
    PREPARED,
    STRUCT,
    VersionWriter,
    ask_name,
    write_force,
    write_lease,
    write_prepared,
)
from roadlb.xds.messages import DeltaRequest, DeltaResponse
from roadlb.xds.resources import Resource

ID = VersionId(3, 7)


class Server:
    """Makes responses as a control service does."""

    def __init__(self) -> None:
        self.nonces, self.writer = 0, VersionWriter()

    def response(self, type_url: str, *resources: Resource, removed: tuple[str, ...] = ()) -> Came:
        self.nonces += 1
        return Came(DeltaResponse(type_url, "", str(self.nonces), resources, removed))

    def version(self, id: VersionId = ID, epoch: int = 3, *names: str) -> tuple[list[Came], Came]:
        """The responses with its parts, and the one with `prepared`."""
        endpoints = tuple(node(name) for name in names or ("a", "b"))
        told = Contents({"me": "0"}, {"grid": Cluster("grid", endpoints)})
        parts = self.writer.write(told)
        made = {key: Resource.make(*key, body, id.number) for key, body in parts.items()}
        prepared = write_prepared(Prepare(epoch, Version(id, told)), parts)
        return (
            [
                self.response(PARTS, *(one for key, one in made.items() if key[0] == PARTS)),
                self.response(STRUCT, *(one for key, one in made.items() if key[0] == STRUCT)),
            ],
            self.response(STRUCT, Resource.make(STRUCT, PREPARED, prepared, id.number)),
        )


def sent(actions: list[Action]) -> list[DeltaRequest]:
    return [action.request for action in actions if isinstance(action, Send)]


def heard(actions: list[Action]) -> list[FromIssuer]:
    return [action.message for action in actions if isinstance(action, Hears)]


def opened() -> tuple[Link, Server]:
    link = Link("n1")
    first = sent(link.handle(0, Opened()))
    assert [request.type_url for request in first] == [STRUCT, PARTS]
    return link, Server()


def test_a_version_is_told_when_it_is_whole_and_acknowledged_when_the_follower_says_so() -> None:
    link, server = opened()
    parts, prepared = server.version()
    assert heard(link.handle(1, prepared)) == []
    for response in parts[:1]:
        assert heard(link.handle(2, response)) == []
    [told] = heard(link.handle(3, parts[1]))
    assert isinstance(told, Prepare) and told.version.id == ID and told.epoch == 3
    assert prepared.response.nonce not in [r.response_nonce for r in sent(link.handle(4, Tick()))]
    [ack] = sent(link.handle(5, Say(Ack(ID))))
    assert ack.response_nonce == prepared.response.nonce and ack.error_detail is None


def test_a_refusal_names_the_check_and_a_fenced_leader_the_epoch() -> None:
    link, server = opened()
    first, second = VersionId(3, 1), VersionId(3, 2)
    for version, answer, said in (
        (first, Nack(first, "hall_emptied: no"), "hall_emptied: no"),
        (second, Fenced(9), "fenced by epoch 9"),
    ):
        parts, prepared = server.version(version)
        for response in (*parts, prepared):
            link.handle(1, response)
        [nack] = sent(link.handle(2, Say(answer)))
        assert nack.response_nonce == prepared.response.nonce
        assert nack.error_detail is not None and nack.error_detail.message == said


def test_a_version_whose_parts_do_not_come_is_given_back_without_a_verdict() -> None:
    """Or a service that waits for the answer before it tells the next version would wait for ever."""
    link, server = opened()
    _, prepared = server.version()
    link.handle(1, prepared)
    assert link.wake_at == 1 + WHOLE_US
    [nack] = sent(link.handle(1 + WHOLE_US, Tick()))
    assert nack.error_detail is not None and nack.error_detail.code == NOT_WHOLE
    assert link.wake_at is None


def test_parts_of_the_next_version_in_place_of_this_ones_give_way_to_that() -> None:
    link, server = opened()
    old_parts, old = server.version(VersionId(3, 1))
    new_parts, new = server.version(VersionId(3, 2), 3, "a", "c")
    for response in (*old_parts, *new_parts, old):
        assert heard(link.handle(1, response)) == []
    actions = link.handle(2, new)
    assert [m.version.id for m in heard(actions) if isinstance(m, Prepare)] == [VersionId(3, 2)]
    [given_back] = [request for request in sent(actions) if request.error_detail]
    assert given_back.response_nonce == old.response.nonce


def test_no_answer_of_the_follower_and_nothing_to_say_are_no_verdicts() -> None:
    link, server = opened()
    parts, prepared = server.version()
    for response in (*parts, prepared):
        link.handle(1, response)
    [nack] = sent(link.handle(2, Nothing(ID)))
    assert nack.error_detail is not None and nack.error_detail.code == NOT_WHOLE
    link.handle(3, server.version(VersionId(3, 8))[1])
    assert any(isinstance(action, Fault) for action in link.handle(3 + VERDICT_US, Tick()))


def test_an_ask_is_a_name_and_its_answer_the_resource_of_that_name() -> None:
    link, server = opened()
    first, second = Ask(5, 1, 3, ID, ID), Ask(5, 2, 3, ID, ID)
    [asked] = sent(link.handle(1, Say(first)))
    assert asked.type_url == LEASES and asked.resource_names_subscribe == (ask_name(first),)
    lease = Lease(3, ID, 5, 1, 4_000_000)
    answer = Resource.make(LEASES, ask_name(first), write_lease(lease), 7, 4_000_000)
    assert heard(link.handle(2, server.response(LEASES, answer))) == [lease]
    [asked] = sent(link.handle(3, Say(second)))
    assert asked.resource_names_unsubscribe == (ask_name(first),)
    assert heard(link.handle(4, server.response(LEASES, removed=(ask_name(second),)))) == []
    link.handle(5, Lost())
    assert link.handle(6, Say(Ask(5, 3, 3, ID, ID))) == [], "asked on no stream"
    again = sent(link.handle(7, Opened()))
    assert LEASES not in [request.type_url for request in again], "an old question was asked again"


def test_what_was_accepted_is_shown_again_and_what_was_not_is_not() -> None:
    link, server = opened()
    parts, prepared = server.version()
    for response in (*parts, prepared):
        link.handle(1, response)
    link.handle(2, Lost())
    assert sent(link.handle(2, Say(Ack(ID)))) == [], "an answer to a stream that is gone"
    shown = {
        request.type_url: request.initial_resource_versions for request in sent(link.handle(3, Opened()))
    }
    assert shown[PARTS].keys() == {"grid/frame", "grid/0-of-1"} and shown[STRUCT].keys() == {"settings"}
    assert [type(m) for m in heard(link.handle(4, prepared))] == [Prepare], "its parts were held"


def test_what_cannot_be_read_is_refused_and_named() -> None:
    link, server = opened()
    bad = server.response(STRUCT, Resource.make(STRUCT, FORCE, b"\xff\xff\xff", 1))
    [nack] = sent(link.handle(1, bad))
    assert nack.error_detail is not None and nack.error_detail.message.startswith("malformed: ")
    good = Resource.make(STRUCT, FORCE, write_force(InForce(3, ID)), 2)
    assert heard(link.handle(2, server.response(STRUCT, good))) == [InForce(3, ID)]
