"""The example configuration serves a request before the lab's grid node, and follows its drain."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from one_node import balancer

from roadlb.lab.parties.http import AnswerReader, Message, write_request
from roadlb.lab.parties.links import stream

EXAMPLE = Path(__file__).parents[2] / "examples" / "config.json"
READ = "/grid-read/run-7/tatry/12?w=1000"


class Ask(asyncio.Protocol):
    def __init__(self, request: bytes) -> None:
        self.request, self.reader = request, AnswerReader()
        self.answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        stream(transport).write(self.request)

    def data_received(self, data: bytes) -> None:
        for answer in self.reader.feed(data):
            self.answer.set_result(answer)


async def ask(url: str, method: str, target: str, id: str = "") -> Message:
    headers = [("Host", "backend.local")] + (
        [("X-Correlation-Id", id), ("X-Account", "energia-sever"), ("X-Time-Left", "10")] if id else []
    )
    host, port = url.removeprefix("http://").split(":")
    transport, asked = await asyncio.get_running_loop().create_connection(
        lambda: Ask(write_request(method, target, headers)), host, int(port)
    )
    try:
        return await asked.answer
    finally:
        transport.close()


async def serve() -> None:
    async with asyncio.timeout(30), balancer(json.loads(EXAMPLE.read_text())) as here:
        while (await ask(here.url, "GET", "/healthz")).status != 200:  # until discovery has told its list
            await asyncio.sleep(0.01)
        read = await ask(here.url, "GET", READ, "9b1f03aa5c7e2d41")
        assert read.status == 200 and read.body.startswith(b"9b1f03aa5c7e2d41 ")
        order = await ask(here.url, "POST", "/order/tatry?w=1000", "9b1f03aa5c7e2d42")
        assert order.status == 200 and b" g1 " in order.body
        here.registry.drain("g1")
        number = 0x9B1F03AA5C7E2D43
        while (await ask(here.url, "GET", READ, f"{number:016x}")).status != 503:
            number += 1
            await asyncio.sleep(0.01)


def test_the_example_serves_and_follows_its_discovery() -> None:
    asyncio.run(serve())
