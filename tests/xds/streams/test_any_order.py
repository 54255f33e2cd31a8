"""In no order of events does a subscriber end with another view than the last published one, or go back.

Two service instances publish the same pictures, the second one late; one subscriber is connected to one of
them.  Requests and responses are delivered, or lost with their stream, one at a time.
"""

from __future__ import annotations

from itertools import count

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run
from xds_subscriber import DeltaSubscriber, SotwSubscriber, Subscriber

from roadlb.xds.delta import DeltaStream
from roadlb.xds.messages import Acked, Asked, Closed, End, Published, Ready, Respond, Response, Tick
from roadlb.xds.ordering import BREAK_WAIT_US
from roadlb.xds.resources import CLUSTER, ENDPOINTS, LISTENER, ROUTE, Resource, Snapshot, digest_of
from roadlb.xds.sotw import SotwStream
from roadlb.xds.stream import Stream

STEP_US = 1_000  # so short that nothing waits for ever within a run
SETTLE_MOST = 1_000  # rounds of one request and one response
CLUSTERS = [f"c{n}" for n in range(4)]


class World(RuleBasedStateMachine):
    """One subscriber, two instances, and what is on its way between them."""

    subscriber_class: type[Subscriber]
    stream_class: type[Stream]
    explicit = False
    rough = True  # streams are lost, resources refused, and the subscriber forgets

    def __init__(self) -> None:
        super().__init__()
        self.now, self.generation, self.salt = 0, 0, count()
        self.fleet = {"c0": 0}  # clusters, and the generation of their endpoints
        self.target, self.poison = {"c0"}, set()  # clusters that the route leads to; names refused
        self.bodies: dict[str, str] = {}
        self.published: list[list[Resource]] = []
        self.instances = [Snapshot.empty(), Snapshot.empty()]
        self.known = [0, 0]  # how many of the published each instance knows
        self.client = self.subscriber_class(self.explicit)
        self.seen: dict[str, int] = {}
        self.calm = True  # the subscriber's view has been whole on this stream
        self.at = 0
        self.publish()
        self.connect(0)
        self.settle()

    # ---- the fleet

    def publish(self) -> None:
        """A new picture, known to the first instance at once."""
        self.generation += 1
        clusters = ",".join(sorted(self.target))
        resources = [
            Resource.make(ROUTE, "r", f"to={clusters}".encode(), self.generation),
            Resource.make(LISTENER, "l", b"route=r", self.generation),
        ]
        for name, since in self.fleet.items():
            body = f"{name};poison" if name in self.poison else f"{name};{self.bodies.get(name, '')}"
            resources.append(Resource.make(CLUSTER, name, body.encode(), self.generation))
            resources.append(Resource.make(ENDPOINTS, name, f"since={since}".encode(), self.generation))
        self.published.append(resources)
        self.learn(0)

    def learn(self, instance: int) -> None:
        """An instance hears of the next picture."""
        self.known[instance] += 1
        generation = self.known[instance]
        self.instances[instance] = Snapshot.of(
            generation, self.published[generation - 1], self.instances[instance]
        )
        if instance == self.at and hasattr(self, "stream"):
            self.tell(Published(self.instances[instance]))

    @rule(name=st.sampled_from(CLUSTERS))
    def drain(self, name: str) -> None:
        if name in self.fleet:
            self.fleet[name] = self.generation + 1
            self.publish()

    @rule(names=st.sets(st.sampled_from(CLUSTERS), min_size=1))
    def shift(self, names: set[str]) -> None:
        """Routes lead elsewhere; clusters come with them, or go."""
        self.target = names
        self.fleet = {name: self.fleet.get(name, self.generation + 1) for name in sorted(names)}
        self.publish()

    @rule(name=st.sampled_from(CLUSTERS))
    def alter(self, name: str) -> None:
        if name in self.fleet:
            self.bodies[name] = str(next(self.salt))
            self.publish()

    @precondition(lambda self: self.rough)
    @rule(name=st.sampled_from(CLUSTERS))
    def spoil(self, name: str) -> None:
        if name in self.fleet:
            self.poison ^= {name}
            self.publish()

    @precondition(lambda self: self.known[1] < len(self.published))
    @rule()
    def second_learns(self) -> None:
        self.learn(1)

    # ---- the stream

    def connect(self, instance: int) -> None:
        if hasattr(self, "stream"):
            self.tell(Closed())
        self.at, self.stream = instance, self.stream_class(self.instances[instance])
        self.responses: list[Response] = []
        self.ready = True
        shown = getattr(self.client, "versions", {}).get(CLUSTER, "")
        known = not shown or self.instances[instance].find(CLUSTER, shown) is not None
        self.calm = known and not self.client.broken()
        self.client.connect()

    def tell(self, event: object) -> None:
        self.now += STEP_US
        for action in self.stream.handle(self.now, event):
            assert not isinstance(action, End), action
            if isinstance(action, Respond):
                assert self.ready, "a second response before Ready"
                self.ready = False
                self.responses.append(action.response)
            elif isinstance(action, Acked):
                assert action.generation <= self.generation

    @precondition(lambda self: self.rough)
    @rule(instance=st.integers(0, 1))
    def lose(self, instance: int) -> None:
        self.connect(instance)

    @precondition(lambda self: self.client.out)
    @rule()
    def request_arrives(self) -> None:
        self.tell(Asked(self.client.out.pop(0)))

    @precondition(lambda self: self.responses)
    @rule()
    def response_arrives(self) -> None:
        self.client.receive(self.responses.pop(0))

    @rule(turns=st.lists(st.integers(0, 2), min_size=3, max_size=12))
    def some_arrive(self, turns: list[int]) -> None:
        """Several things in a row, one of the three that there are each time."""
        for turn in turns:
            if turn == 0 and self.client.out:
                self.request_arrives()
            elif turn == 1 and self.responses:
                self.response_arrives()
                self.made_before_broken()
            elif turn == 2 and not self.ready:
                self.transport_ready()

    @rule()
    def settle(self) -> None:
        """All arrives that is on its way."""
        for _ in range(SETTLE_MOST):
            if not (self.client.out or self.responses or not self.ready):
                break
            self.some_arrive([0, 1, 2])
        else:
            raise AssertionError("requests and responses follow each other without end")
        if self.stream.quiet and not self.poison:
            self.calm = True

    @precondition(lambda self: not self.ready)
    @rule()
    def transport_ready(self) -> None:
        self.ready = True
        self.tell(Ready())

    @precondition(lambda self: self.rough and self.client.wanted[ENDPOINTS])
    @rule()
    def ask_again(self) -> None:
        """The subscriber dropped what it had, and wants it again."""
        names, self.client.view[ENDPOINTS] = self.client.wanted[ENDPOINTS], {}
        self.calm = False
        self.client.want(ENDPOINTS, set())
        self.client.want(ENDPOINTS, names)

    # ---- what must hold

    @invariant()
    def nothing_goes_back(self) -> None:
        held = self.client.view[ENDPOINTS]
        for name, resource in held.items():
            since = int(resource.body.partition(b"=")[2])
            assert since >= self.seen.get(name, 0), f"{name}: endpoints of {since} after {self.seen[name]}"
        self.seen = {name: int(resource.body.partition(b"=")[2]) for name, resource in held.items()}

    @invariant()
    def made_before_broken(self) -> None:
        self.calm = self.calm and not self.poison
        if self.calm:
            assert not self.client.broken(), self.client.broken()

    @invariant()
    def at_most_one_in_flight(self) -> None:
        types = [response.type_url for response in self.responses]
        assert len(types) == len(set(types))

    def teardown(self) -> None:
        """Everything arrives, nothing is refused any more: the view is the published one."""
        if not self.published:
            return
        self.poison.clear()
        self.publish()
        while self.known[1] < len(self.published):
            self.learn(1)
        for _ in range(10):
            self.settle()
            if self.stream.wake_at is not None:
                assert self.stream.wake_at <= self.now + BREAK_WAIT_US
                self.now = self.stream.wake_at
                self.tell(Tick())
        assert self.stream.quiet and self.stream.wake_at is None, "it does not become quiet"
        expected = {(r.type_url, r.name): r.body for r in self.published[-1]}
        got = {(r.type_url, r.name): r.body for view in self.client.view.values() for r in view.values()}
        assert got == expected
        versions = {digest_of(r.version) for r in self.instances[self.at]}
        assert {digest_of(r.version) for view in self.client.view.values() for r in view.values()} == versions


BOUNDED = settings(
    max_examples=25,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("rough", [False, True], ids=["smooth", "rough"])
@pytest.mark.parametrize("subscriber, stream", [(SotwSubscriber, SotwStream), (DeltaSubscriber, DeltaStream)])
def test_any_order_of_events_ends_in_the_published_view(
    subscriber: type[Subscriber], stream: type[Stream], rough: bool
) -> None:
    kind = type(
        "Kind",
        (World,),
        {"subscriber_class": subscriber, "stream_class": stream, "rough": rough, "explicit": rough},
    )
    run(kind, settings=BOUNDED)
