"""Datagrams of the simulated network, beside asyncio's own on loopback."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from sim_worlds import PORT, Pair, simulate, simulated

from roadlb.lab.sim import Link


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, log: list[Any], echo: bool = False) -> None:
        self.log, self.echo = log, echo

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.log.append("made")

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.log.append(data)
        if self.echo:
            self.transport.sendto(data.upper(), source)

    def error_received(self, error: Exception) -> None:
        self.log.append(type(error).__name__)

    def connection_lost(self, error: Exception | None) -> None:
        self.log.append("lost")


async def talk(loop: Any, run_server: Any, run_client: Any, ip: str) -> list[list[Any]]:
    """Two datagrams there and back, a wrong address, and one to where nobody listens any more."""
    logs: list[list[Any]] = [[], []]
    server, _ = await run_server(
        loop.create_datagram_endpoint(lambda: Datagrams(logs[0], echo=True), (ip, 0))
    )
    at = server.get_extra_info("sockname")
    client, _ = await run_client(loop.create_datagram_endpoint(lambda: Datagrams(logs[1]), remote_addr=at))
    assert client.get_extra_info("peername") == at

    async def until(count: int) -> None:
        async with asyncio.timeout(10):
            while len(logs[1]) < count:
                await asyncio.sleep(0.001)

    for number, word in enumerate((b"one", b"two")):
        client.sendto(word)
        await until(2 + number)
    with pytest.raises(ValueError, match="Invalid address"):
        client.sendto(b"x", ("192.0.2.1", 1))
    server.close()
    await asyncio.sleep(0.01)
    client.sendto(b"nobody")
    await until(4)
    client.close()
    client.sendto(b"closed")
    await until(5)
    return logs


def test_datagrams_come_as_on_the_real_loop() -> None:
    async def here(coroutine: Any) -> Any:
        return await coroutine

    async def real() -> list[list[Any]]:
        return await talk(asyncio.get_running_loop(), here, here, "127.0.0.1")

    async def simulated(pair: Pair) -> list[list[Any]]:
        return await talk(pair.loop, pair.server.run, pair.client.run, pair.server.ip)

    assert simulate(simulated) == asyncio.run(real())


def test_datagrams_are_lost_repeated_cut_short_and_overtaken() -> None:
    async def main(pair: Pair) -> list[int]:
        log: list[Any] = []
        await pair.server.run(
            pair.loop.create_datagram_endpoint(lambda: Datagrams(log), (pair.server.ip, PORT))
        )
        client, _ = await pair.client.run(
            pair.loop.create_datagram_endpoint(lambda: Datagrams([]), remote_addr=("server", PORT))
        )
        for number in range(1_000):
            client.sendto(b"%04d" % number)
        await asyncio.sleep(1)
        whole = [int(data) for data in log[1:] if len(data) == 4]
        assert 50 < len(log) - 1 - len(whole) < 150  # cut short
        assert 50 < 1_000 - len(set(whole)) < 300  # lost, or cut short
        assert 50 < len(whole) - len(set(whole)) < 150  # repeated
        assert whole != sorted(whole)
        return whole

    link = Link(jitter_us=1_000, lose=0.1, repeat=0.1, cut_short=0.1)
    assert simulate(main, link=link) == simulate(main, link=link)


@simulated(receive_buffer=500)
async def test_a_stopped_host_drops_the_datagrams_that_its_buffer_does_not_hold(pair: Pair) -> None:
    log: list[Any] = []
    transport, _ = await pair.server.run(
        pair.loop.create_datagram_endpoint(lambda: Datagrams(log), (pair.server.ip, PORT))
    )
    client, _ = await pair.client.run(
        pair.loop.create_datagram_endpoint(lambda: Datagrams([]), local_addr=("0.0.0.0", 0))
    )
    transport.max_size = 60
    pair.server.stall(1_000_000)
    for _ in range(10):
        client.sendto(b"x" * 100, (pair.server.ip, PORT))
    await asyncio.sleep(2)
    assert log == ["made"] + [b"x" * 60] * 5
    pair.server.restart()
    await pair.server.run(pair.loop.create_datagram_endpoint(lambda: Datagrams(log), (pair.server.ip, PORT)))
    client.sendto(b"new life", (pair.server.ip, PORT))
    await asyncio.sleep(1)
    assert log[6:] == ["made", b"new life"]
