"""Clients, front and rude clients against a scripted balancer, in virtual time."""

import asyncio
import time
from dataclasses import replace
from random import Random

import pytest
import uvloop
from hosts import virtual

from roadlb.lab.model.classes import ClassSpec, Habits, TenantSpec
from roadlb.lab.model.keys import Keys
from roadlb.lab.model.shapes import Steady
from roadlb.lab.model.spec import NodeSpec
from roadlb.lab.model.traffic import Traffic, Wish
from roadlb.lab.parties.bodies import answer_body, asked
from roadlb.lab.parties.clients import Clients
from roadlb.lab.parties.front import Front
from roadlb.lab.parties.grid_node import GridNode
from roadlb.lab.parties.http import Garbled, RequestReader, write_answer
from roadlb.lab.parties.rude import KINDS, Rude
from roadlb.lab.wire import BalancerState, ClientGot, ClientLost, ClientSent, NodeGave, WireLog

S = 1_000_000
READ = ClassSpec("grid-read", 1.0, 10_000)
ORDER = ClassSpec("order", 1.0, 10_000, give_up_us=2 * S, repeatable=False, body_bytes=50)
HABITS = Habits(try_share=0.4, retries=2, wait_us=50_000)


class Balancer(asyncio.Protocol):
    """Answers each request as `script` says, the last word for all that follow."""

    script: list[str] = ["served"]
    requests: list = []

    def __init__(self):
        self.reader = RequestReader()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        try:
            for message in self.reader.feed(data):
                if message.target == "/healthz":
                    self.transport.write(write_answer(200))
                else:
                    self.requests.append(message)
                    self.answer(message, self.script.pop(0) if len(self.script) > 1 else self.script[0])
        except Garbled:
            self.transport.write(write_answer(400))
            self.transport.close()

    def answer(self, message, word):
        id = message.headers.get("x-correlation-id")
        there = asked(message.method, message.target, message.body)
        good = write_answer(200, [], answer_body(id, there, "g1", 0, 1, 300))
        match word.split():
            case ["served"]:
                self.transport.write(good)
            case ["late", delay]:
                asyncio.get_running_loop().call_later(float(delay), self.transport.write, good)
            case ["wrong"]:
                self.transport.write(write_answer(200, [], b"another's answer"))
            case ["extra"]:
                self.transport.write(good + b"HTTP/1.1 2")
            case ["cut"]:
                self.transport.write(good[:-5])
                self.transport.close()
            case ["close"]:
                self.transport.close()
            case ["leave"]:  # served, and the connection ends a little later
                self.transport.write(good)
                asyncio.get_running_loop().call_later(0.049, self.transport.close)
            case ["drop", delay]:
                asyncio.get_running_loop().call_later(float(delay), self.transport.close)
            case ["reset"]:
                self.transport.abort()
            case ["noise"]:
                self.transport.write(b"\x00\x01")
            case [status, *after]:
                self.transport.write(write_answer(int(status), [("Retry-After", a) for a in after]))


class Wishes(Traffic):
    """Wishes at given times in place of drawn ones."""

    def __init__(self, spec, *dues, **more):
        keys, tenant = Keys(1, 1.0, Random(1)), TenantSpec("acme", 1.0)
        super().__init__(Steady(0), [spec], [tenant], keys, HABITS, Random(1))
        self.list = [
            Wish(n, due, 0, "acme", "f01", 10_000, **{"honours": True, "once": False, "holds": False, **more})
            for n, due in enumerate(dues)
        ]

    def next(self, until):
        return self.list.pop(0) if self.list and self.list[0].due < until else None


async def stage(loop, script, traffic, **more):
    """Clients, their log, and the connections that their balancer accepted; run to the end of all wishes."""
    Balancer.script, Balancer.requests = script, []
    log = WireLog()
    front = Front(log, loop.clock, Random(1))
    await loop.create_server(Balancer, "10.0.0.4", 80)
    front.place("n0", "hall-a", ("10.0.0.4", 80))
    await asyncio.sleep(0.1)
    clients = Clients("c0", "hall-a", traffic, front, log, loop.clock, Random(2), **more)
    clients.start()
    return clients, front, log


def ends(log):
    ended = [e for e in log if isinstance(e, ClientGot | ClientLost)]
    return [e.status if isinstance(e, ClientGot) else e.how for e in ended]


@pytest.mark.parametrize(
    "spec, script, ended, tries",
    [
        (READ, ["502", "reset", "served"], [502, "reset", 200], 3),
        (READ, ["close"], ["closed"] * 3, 3),
        (READ, ["503", "cut", "served"], [503, "cut", 200], 3),
        (READ, ["noise", "served"], ["garbled", 200], 2),
        (READ, ["late 5"], ["timed_out"] * 3, 3),
        (READ, ["wrong", "served"], [200, 200], 2),
        (ORDER, ["429", "served"], [429, 200], 2),
        (ORDER, ["502"], [502], 1),
        (ORDER, ["reset"], ["reset"], 1),
        (ORDER, ["late 5"], ["timed_out"], 1),
        (ORDER, ["extra"], [200, "extra"], 1),
    ],
)
@virtual
async def test_tries_are_repeated_as_the_class_allows_and_written_down(loop, spec, script, ended, tries):
    clients, _, log = await stage(loop, script, Wishes(spec, S))
    await asyncio.sleep(9)
    assert ends(log) == ended and clients.open_wishes == 0
    sent = [e for e in log if isinstance(e, ClientSent)]
    assert [e.attempt for e in sent] == list(range(tries))
    assert len({e.request for e in sent}) == tries and {e.wish for e in sent} == {0}
    assert [m.headers.get("x-repeat") for m in Balancer.requests] == [None, "1", "1"][:tries]
    assert all(
        m.headers["x-time-left"] == f"{e.left_us / 1e6:.6f}"
        for m, e in zip(Balancer.requests, sent, strict=True)
    )


@virtual
async def test_tries_take_their_part_of_the_time_and_the_last_what_is_left(loop):
    _, _, log = await stage(loop, ["late 9"], Wishes(READ, S))
    await asyncio.sleep(9)
    assert [(e.at, e.left_us) for e in log if isinstance(e, ClientSent)] == [
        (S + 2_000, S - 2_000),
        (2 * S + 52_000, S - 2_000),
        (3 * S + 102_000, 398_000),
    ]
    assert [e.at for e in log if isinstance(e, ClientLost)] == [2 * S, 3 * S + 50_000, 3 * S + 500_000]


@pytest.mark.parametrize(
    "delay, ended, again_us", [("1.03", [200, 200], 50_000), ("1.1", [200, "timed_out"], 52_000)]
)
@virtual
async def test_a_client_may_listen_on_after_it_has_given_a_try_up(loop, delay, ended, again_us):
    clients, _, log = await stage(loop, [f"late {delay}", "served"], Wishes(READ, S), hears_us=58_000)
    await asyncio.sleep(9)
    assert ends(log) == ended and clients.tallies["given_up"] == 1 and clients.open_wishes == 0
    second = [e for e in log if isinstance(e, ClientSent)][1]
    assert second.at == 2 * S + again_us  # not held up by the listening, on a connection that is free


@pytest.mark.parametrize("honours, second_at", [(True, 0.7), (False, 0.05)])
@virtual
async def test_retry_after_is_honoured_by_those_who_do(loop, honours, second_at):
    _, _, log = await stage(loop, ["503 0.7", "served"], Wishes(ORDER, S, honours=honours))
    await asyncio.sleep(9)
    first, second = [e.at for e in log if isinstance(e, ClientSent)]
    assert second - first == pytest.approx(second_at * 1e6 + 2_000, abs=2)
    assert next(e for e in log if isinstance(e, ClientGot)).retry_after_us == 700_000


@virtual
async def test_latency_counts_from_when_the_wish_was_due_and_connections_are_kept(loop):
    clients, _, log = await stage(loop, ["late 0.3", "served"], Wishes(READ, S, S, 2 * S, 2 * S), most=1)
    await asyncio.sleep(3)
    assert ends(log) == [200] * 4 and len(clients.links) == 1
    # The second waits for the only connection: 300 ms and three ways more than its own two.
    latency = clients.latency["grid-read"]
    assert latency.get_max_value() == pytest.approx(306_000, rel=0.01)
    assert latency.get_min_value() == pytest.approx(2_000, rel=0.01)
    assert latency.get_total_count() == 4
    assert [e.due_at for e in log if isinstance(e, ClientSent)] == [S, S, 2 * S, 2 * S]


@virtual
async def test_one_shot_clients_take_a_kept_connection_when_there_may_be_no_more(loop):
    clients, _, log = await stage(loop, ["late 0.1"], Wishes(READ, S, S, S, once=True), most=2)
    clients.traffic.list.insert(0, replace(clients.traffic.list[0], number=9, once=False))
    await asyncio.sleep(3)
    assert ends(log) == [200] * 4 and clients.tallies["sent"] == 4


@virtual
async def test_more_connections_are_opened_when_all_are_busy_and_one_shot_clients_use_their_own(loop):
    clients, _, _ = await stage(loop, ["late 0.1"], Wishes(READ, *[S] * 5, 2 * S, 2 * S))
    await asyncio.sleep(3)
    assert len(clients.links) == 5
    once, _, _ = await stage(loop, ["served"], Wishes(READ, 4 * S, 5 * S, once=True, holds=True))
    await asyncio.sleep(3)
    assert len(once.links) == 2 and once.tallies["wish served"] == 2


@pytest.mark.parametrize(
    "due_us, crossed", [(50_500, False), (51_500, True), (52_500, True), (53_500, False)]
)
@virtual
async def test_a_request_that_crosses_an_orderly_close_is_sent_once_more_under_its_id(loop, due_us, crossed):
    # the close leaves the balancer at 52 ms
    clients, _, log = await stage(loop, ["leave", "served"], Wishes(ORDER, S, S + due_us))
    await asyncio.sleep(3)
    assert ends(log)[0] == 200
    sent = [e.request for e in log if isinstance(e, ClientSent)]
    assert len(sent) - len(set(sent)) == clients.tallies["crossed"] == crossed


@pytest.mark.parametrize("word, how", [("drop 0.002", "closed"), ("reset", "reset")])
@virtual
async def test_what_is_closed_later_or_reset_is_not_sent_again(loop, word, how):
    clients, _, log = await stage(loop, ["served", word], Wishes(ORDER, S, 2 * S))
    await asyncio.sleep(5)
    assert ends(log) == [200, how] and clients.tallies["crossed"] == 0


@virtual
async def test_orders_go_elsewhere_when_the_balancer_was_not_reached(loop):
    clients, front, log = await stage(loop, ["served"], Wishes(ORDER, S))
    loop.servers["10.0.0.4"].close()
    await asyncio.sleep(0.95)
    await loop.create_server(Balancer, "10.0.0.4", 80)
    await asyncio.sleep(3)
    assert ends(log) == ["refused", 200]
    lost = next(e for e in log if isinstance(e, ClientLost))
    assert (lost.balancer, lost.taken) == ("n0", False)


@virtual
async def test_the_front_notices_a_dead_balancer_late_and_takes_one_in_when_it_is_well(loop):
    log, Balancer.script = WireLog(), ["served"]
    front = Front(log, loop.clock, Random(1))
    for name, hall, host in (("n0", "hall-a", "10.0.0.4"), ("n1", "hall-b", "10.0.0.5")):
        front.place(name, hall, (host, 80))
    assert front.pick("hall-a") is None
    await loop.create_server(Balancer, "10.0.0.4", 80)
    await loop.create_server(Balancer, "10.0.0.5", 80)
    await asyncio.sleep(0.3)
    assert [(e.balancer, e.state) for e in log] == [("n0", "ready"), ("n1", "ready")]
    assert all(isinstance(e, BalancerState) for e in log)
    assert {front.pick("hall-a")[0] for _ in range(5)} == {"n0"}
    assert {front.pick("hall-c")[0] for _ in range(5)} == {"n0", "n1"}
    loop.servers["10.0.0.4"].close()
    front.failed("n0")
    await asyncio.sleep(1.29)
    assert front.pick("hall-a")[0] == "n0"
    await asyncio.sleep(2.7)
    assert front.pick("hall-a")[0] == "n1"
    await loop.create_server(Balancer, "10.0.0.4", 80)
    await asyncio.sleep(0.2)
    assert front.pick("hall-a")[0] == "n0" and len(log) == 3
    front.failed("n0")  # a fault that has passed by the time it is noticed
    await asyncio.sleep(5)
    assert front.pick("hall-a")[0] == "n0" and len(log) == 3


@pytest.mark.parametrize("name", KINDS)
@virtual
async def test_rude_clients_come_and_what_they_are_owed_is_counted(loop, name):
    log, Balancer.script, Balancer.requests = WireLog(), ["404"], []
    front = Front(log, loop.clock, Random(1))
    front.place("n0", "hall-a", ("10.0.0.4", 80))
    await loop.create_server(Balancer, "10.0.0.4", 80)
    await asyncio.sleep(0.3)
    rude = Rude("hall-a", front, Random(3), ["grid-read", "order"], "acme", lambda balancer: ["ab" * 8])
    await rude.visit(name)
    kind = KINDS[name]
    assert sum(rude.tallies[name].values()) == kind.connections
    (how,) = rude.tallies[name]
    # The scripted balancer never closes on those who say nothing.
    assert how == ("late" if "silent" in name else "closed" if kind.closes else "error")
    assert rude.unpaid() == ({name: kind.connections} if "silent" in name else {})
    if name == "stolen id":
        assert Balancer.requests[0].headers["x-correlation-id"] == "ab" * 8
    if name == "hundreds at once":
        assert len(Balancer.requests) > 1


@virtual
async def test_serving_what_cannot_have_been_understood_is_not_what_is_owed(loop):
    Balancer.script = ["served"]
    front = Front(WireLog(), loop.clock, Random(1))
    front.place("n0", "hall-a", ("10.0.0.4", 80))
    await loop.create_server(Balancer, "10.0.0.4", 80)
    await asyncio.sleep(0.3)
    rude = Rude("hall-a", front, Random(3), ["grid-read", "order"])
    await rude.visit("deadline no number")
    assert rude.unpaid() == {"deadline no number": 1}
    with pytest.raises(ValueError, match="no such kind"):
        await rude.visit("no such kind")


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_on_real_sockets_what_the_node_gave_is_what_the_client_got(runner):
    async def scenario():
        log, clock = WireLog(), lambda: time.monotonic_ns() // 1000
        spec, patient = NodeSpec(cores=8, slots=8, room=99), replace(READ, give_up_us=60 * S)
        node = GridNode("g1", spec, Random(1), log, clock, lambda: 1, warm=True)
        await node.start({"n0": ("127.0.0.1", 0)})
        front = Front(log, clock, Random(1))
        front.place("n0", "hall-a", node.addresses["n0"])
        while not front.taken_in:
            await asyncio.sleep(0.001)
        now = clock()
        wishes = Wishes(patient, *[now] * 20, *[now + 20_000] * 20)
        clients = Clients("c0", "hall-a", wishes, front, log, clock, Random(2))
        clients.start()
        while clients.tallies["wish served"] < 40:
            await asyncio.sleep(0.001)
        given = {e.request: e.body for e in log if isinstance(e, NodeGave)}
        assert {e.request: e.body for e in log if isinstance(e, ClientGot)} == given and len(given) == 40
        clients.close()
        node.stop()
        front.stop()

    runner(asyncio.wait_for(scenario(), 30))
