"""The endpoint: what rides on it arrives once, what is no datagram of the cluster is dropped and counted."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from samples import RAW
from sim_worlds import Pair, simulate

from roadlb.clock import monotonic_us, unix_us
from roadlb.config import Address, ConfigError, PeersConfig, read_config
from roadlb.counters import Counters
from roadlb.lab.sim import Link
from roadlb.membership.events import Doubted, Joined, Kind, Left, News
from roadlb.net.datagram import MOST, PAYLOAD_MOST, Codec
from roadlb.net.peers import Peers

KEY = b"a key for tests only"


def peers(name: str, seeds: list[int], **told: Any) -> Peers:
    config = PeersConfig(
        Address("127.0.0.1", told.pop("port", 0)),
        KEY,
        "test",
        tuple(Address("127.0.0.1", port) for port in seeds),
    )
    return Peers(name, "hall-a", config, Counters(), told.pop("clock", monotonic_us), unix_us, 1, **told)


async def until(what: str, holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(45):
        while not holds():
            await asyncio.sleep(0.02)


async def three() -> list[Peers]:
    first = peers("a", [])
    await first.start()
    others = [peers(name, [first.port]) for name in "bc"]
    for one in others:
        await one.start()
    made = [first, *others]
    await until("all know all", lambda: all(one.live() == 3 for one in made))
    return made


def play(test: Callable[[list[Peers]], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        made = await three()
        try:
            await test(made)
            assert not [one.counters["fault.peers"] for one in made if one.counters["fault.peers"]]
        finally:
            for one in made:
                one.stop()

    asyncio.run(main())


def throw(datagrams: list[bytes], port: int) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as thrower:
        for data in datagrams:
            thrower.sendto(data, ("127.0.0.1", port))


def test_what_is_sent_arrives_with_its_sender_and_its_life() -> None:
    async def test(made: list[Peers]) -> None:
        a, b, c = made
        got: list[tuple[str, str, int, bytes]] = []
        for one in (b, c):
            one.listen(Kind.SHARES, lambda *told, at=one: got.append((at.me.name, *told)))
        with pytest.raises(ValueError, match="has its listener"):
            b.listen(Kind.SHARES, print)
        assert a.me is not None
        assert a.send("b", Kind.SHARES, b"x" * PAYLOAD_MOST) and a.send("b", Kind.SHARES, b"second")
        assert not a.send("nobody", Kind.SHARES, b"") and not a.send("b", 2, b"x" * (PAYLOAD_MOST + 1))
        assert a.spread(Kind.SHARES, b"to all") == 2
        await until("four arrive", lambda: len(got) == 4)
        life = a.me.life
        assert sorted(got) == sorted(
            [
                ("b", "a", life, b"x" * PAYLOAD_MOST),
                ("b", "a", life, b"second"),
                ("b", "a", life, b"to all"),
                ("c", "a", life, b"to all"),
            ]
        )

    play(test)


def test_strangers_noise_replays_and_floods_are_dropped_counted_and_change_nothing() -> None:
    async def test(made: list[Peers]) -> None:
        a, b, _ = made
        got: list[bytes] = []
        a.listen(Kind.SHARES, lambda sender, life, payload: got.append(payload))
        assert b.me is not None
        here = f"127.0.0.1:{a.port}"
        mine = Codec(KEY, "test")
        new = mine.write("b", b.me.incarnation, 10**6, [(Kind.SHARES, b"once")], here)
        stale = mine.write("b", b.me.incarnation - (1 << 30), 10**7, [(Kind.SHARES, b"old life")], here)
        elsewhere = mine.write("b", b.me.incarnation, 10**6 + 1, [(Kind.SHARES, b"x")], "127.0.0.1:1")
        forged = Codec(b"another key, as long", "test").write("b", b.me.incarnation, 10**7, [], here)
        luck = random.Random(1)
        noise = [luck.randbytes(luck.randrange(1, MOST)) for _ in range(50)]
        throw([new, new, new, stale, elsewhere, forged, *noise], a.port)
        await until("all came", lambda: a.counters["peers.dropped.malformed"] >= 50)
        dropped = {word: a.counters[f"peers.dropped.{word}"] for word in ("replayed", "stranger")}
        assert got == [b"once"] and dropped == {"replayed": 2, "stranger": 2}
        assert a.counters["peers.unproved"] > 0, "an old life counts for nothing"

        def flooded() -> bool:
            throw([forged] * 500, a.port)
            return a.counters["peers.dropped.flooded"] > 0

        await until("the flood is felt", flooded)
        assert all(one.live() == 3 for one in made)

    play(test)


@pytest.mark.counts_faults("fault.peers")
def test_a_listener_that_fails_costs_the_others_nothing() -> None:
    async def test(made: list[Peers]) -> None:
        a, b, _ = made
        got: list[bytes] = []

        def fail(*told: object) -> None:
            raise RuntimeError("planted")

        a.watch(fail)
        a.listen(Kind.SHARES, fail)
        a.listen(Kind.COUNTS, lambda sender, life, payload: got.append(payload))
        b.send("a", Kind.SHARES, b"1")
        b.send("a", Kind.COUNTS, b"2")
        await until("the second part has its payload", lambda: got == [b"2"])
        assert a.counters["fault.peers"] == 1
        a.counters.add("fault.peers", -1)

    play(test)


def test_a_successor_waits_for_the_address_and_is_another_life() -> None:
    async def test(made: list[Peers]) -> None:
        a, b, c = made
        port, life = c.port, c.me and c.me.life
        successor = peers("c", [a.port], port=port)
        await successor.start()
        assert successor.me is None and successor.live() == 1
        await asyncio.sleep(0.01)  # two lives differ by a millisecond at least
        c.stop(farewell=False)
        made[2] = successor
        await until(
            "it is there",
            lambda: (
                successor.live() == 3
                and all(
                    member.life != life for one in (a, b) for member in one.members() if member.name == "c"
                )
            ),
        )
        assert not a.counters["peers.left"]

    play(test)


def test_over_the_labs_network_that_loses_doubles_cuts_and_stalls() -> None:
    async def main(pair: Pair) -> list[Any]:
        clock = lambda: pair.loop.now_us  # noqa: E731
        news: list[News] = []

        def at(host: Any, name: str, seeds: tuple[Address, ...]) -> Peers:
            config = PeersConfig(Address(host.ip, 7946), KEY, "test", seeds)
            return Peers(name, "h", config, Counters(), clock, lambda: 10**15, 1, own_socket=False)

        a = at(pair.server, "a", ())
        b = at(pair.client, "b", (Address(pair.server.ip, 7946),))
        a.watch(news.append)
        b.watch(news.append)
        await pair.server.run(a.start())
        await pair.client.run(b.start())
        await asyncio.sleep(20)
        assert (a.live(), b.live()) == (2, 2)
        assert a.counters["peers.dropped.replayed"] and b.counters["peers.dropped.stranger"]
        assert not [one for one in news if isinstance(one, Left)]
        order: list[str] = []
        b.watch(lambda told: order.append(type(told).__name__))
        b.listen(Kind.SHARES, lambda sender, life, payload: order.append("payload"))
        pair.client.stall(3_000_000)
        for _ in range(20):
            await asyncio.sleep(0.1)
            pair.server.call(a.send, "b", Kind.SHARES, b"old by the time it is read")
        await asyncio.sleep(10)
        assert len([one for one in news if isinstance(one, Doubted)]) == 1
        assert order[0] == "Doubted" and "payload" in order, "its lease may be over: it hears so first"
        pair.client.kill()
        await asyncio.sleep(30)
        assert a.live() == 1
        return [a.counters.all(), [type(one).__name__ for one in news]]

    link = Link(delay_us=500, jitter_us=2_000, lose=0.1, repeat=0.1, cut_short=0.1)
    first = simulate(main, link=link)
    assert first == simulate(main, link=link) and Joined.__name__ in first[1]


@pytest.mark.parametrize(
    ("told", "message"),
    [
        ([], "peers: must be an object"),
        ({"listen": "127.0.0.1:1", "kez": 1}, "peers.kez: is not known"),
        ({"key": "k" * 16}, "peers.listen: is missing"),
        ({"listen": "here:1"}, "peers.listen: 'here' is no num"),
        ({"listen": "0.0.0.0:1"}, "set peers.advertise"),
        ({"listen": "127.0.0.1:1"}, "peers.key: give either"),
        ({"listen": "127.0.0.1:1", "key": "short"}, "peers.key: holds 5 bytes"),
        ({"listen": "127.0.0.1:1", "key_file": "/nowhere"}, "peers.key_file: cannot read /nowhere"),
        ({"listen": "127.0.0.1:1", "key": "k" * 16, "seeds": ["a"]}, "peers.seeds.0: 'a' is not host:port"),
        ({"listen": "127.0.0.1:1", "key": "k" * 16, "share": 1}, "peers.share: 1 is not true or false"),
        ({"listen": "127.0.0.1:1", "key": "k" * 16, "repeats_per_s": 5}, "repeats_per_s: needs peers.share"),
        (
            {"listen": "127.0.0.1:1", "key": "k" * 16, "share": True, "dials_per_s": -1},
            "dials_per_s: -1 must be",
        ),
    ],
)
def test_errors_of_the_configuration_name_the_key(told: object, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        read_config({**RAW, "peers": told}, {})


def test_the_example_is_read() -> None:
    example = Path(__file__).parents[2] / "examples" / "peers.json"
    read = read_config(json.loads(example.read_text()), {}).peers
    assert read is not None and len(read.seeds) == 3 and not read.share


def test_without_the_key_there_are_no_peers_and_addresses_have_one_spelling() -> None:
    assert read_config(RAW, {}).peers is None
    told = {"listen": "[0:0::1]:7946", "key": "k" * 16, "seeds": ["[::0:1]:7946"]}
    read = read_config({**RAW, "peers": told}, {}).peers
    assert read is not None and read.listen == read.seeds[0] == Address("::1", 7946)
