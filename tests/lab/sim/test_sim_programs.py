"""Programs that know nothing of the simulation run on it (streams, httptools, aiohttp) and lose nothing."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import httptools
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st
from sim_worlds import PORT, Pair, Recorder, simulate, simulated

from roadlb.lab.sim import Link, Seen

ROUGH = Link(delay_us=200, jitter_us=500, split=0.5)


@simulated(link=ROUGH)
async def test_plain_streams(pair: Pair) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(line.upper())
            await writer.drain()
        writer.close()
        await writer.wait_closed()

    async def ask() -> bytes:
        reader, writer = await asyncio.open_connection("server", PORT)
        for line in (b"one\n", b"two\n"):
            writer.write(line)
        writer.write(b"x" * 300_000 + b"\n")
        writer.write_eof()
        await writer.drain()
        return await reader.read(-1)

    await pair.server.run(asyncio.start_server(serve, "0.0.0.0", PORT, limit=2**20))
    assert await pair.client.run(ask()) == b"ONE\nTWO\n" + b"X" * 300_000 + b"\n"


def test_protocols_on_httptools() -> None:
    class Server(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            self.transport, self.parser, self.url = transport, httptools.HttpRequestParser(self), b""

        def data_received(self, data: bytes) -> None:
            self.parser.feed_data(data)

        def on_url(self, url: bytes) -> None:
            self.url += url  # it, too, comes in parts

        def on_message_complete(self) -> None:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.url)
            self.transport.write(head + self.url)

    class Client(asyncio.Protocol):
        def __init__(self, done: asyncio.Future[bytes]) -> None:
            self.parser, self.done, self.body = httptools.HttpResponseParser(self), done, b""

        def connection_made(self, transport: Any) -> None:
            transport.write(b"GET /grid-read/k17 HTTP/1.1\r\nHost: grid\r\n\r\n")

        def data_received(self, data: bytes) -> None:
            self.parser.feed_data(data)

        def on_body(self, body: bytes) -> None:
            self.body += body

        def on_message_complete(self) -> None:
            self.done.set_result(self.body)

    async def main(pair: Pair) -> None:
        await pair.listen(Server)
        for _ in range(20):
            done = pair.loop.create_future()
            await pair.connect(lambda done=done: Client(done))
            assert await done == b"/grid-read/k17"

    simulate(main, link=ROUGH)


@simulated(link=ROUGH)
async def test_aiohttp_server_and_client(pair: Pair) -> None:
    async def handler(request: web.BaseRequest) -> web.Response:
        return web.Response(text=f"{request.method} {request.path} {len(await request.read())}")

    async def ask() -> list[str]:
        connector = aiohttp.TCPConnector(socket_factory=pair.network.socket)
        async with aiohttp.ClientSession(connector=connector) as session:
            answers = []
            for _ in range(3):
                async with session.post(f"http://server:{PORT}/order", data=b"x" * 50_000) as response:
                    answers.append(await response.text())
            return answers

    await pair.listen(pair.server.call(web.Server, handler))
    opened: list[Seen] = []
    pair.network.tap(lambda event: opened.append(event) if event.kind == "open" else None)
    assert await pair.client.run(ask()) == ["POST /order 50000"] * 3
    assert len(opened) == 1  # kept alive


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("write", "write", "write", "pause", "resume", "eof", "wait", "stall", "cut", "faster")
        ),
        st.booleans(),
        st.integers(1, 5_000),
    ),
    max_size=40,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(STEPS, st.integers(0, 2**16), st.sampled_from((0.0, 0.7)), st.booleans(), st.sampled_from((0.0, 0.2)))
def test_a_stream_arrives_whole_and_in_order_whatever_happens_to_it(
    steps: list[tuple[str, bool, int]], seed: int, split: float, deferred: bool, lose: float
) -> None:
    async def main(pair: Pair) -> None:
        ends = await pair.open()
        for end in ends:
            end.keep_open = True
        written = [bytearray(), bytearray()]
        ended = [False, False]
        for number, (step, which, amount) in enumerate(steps):
            end, transport = ends[which], ends[which].transport
            if step == "write" and not ended[which]:
                data = (number % 251 + 1).to_bytes(1, "big") * amount
                transport.write(data)
                written[which] += data
            elif step == "pause":
                transport.pause_reading()
            elif step == "resume":
                transport.resume_reading()
            elif step == "eof":
                transport.write_eof()
                ended[which] = True
            elif step == "wait":
                await asyncio.sleep(amount / 1e6)
            elif step == "stall":
                (pair.server, pair.client)[which].stall(amount)
            elif step == "cut":
                pair.network.cut("a", "b")
                pair.loop.call_later(amount / 1e4, pair.network.heal)
            elif step == "faster":
                pair.network.link("a", "b", delay_us=amount // 50, jitter_us=amount % 50)
            assert written[not which].startswith(end.data)
        for end in ends:
            end.transport.resume_reading()
        await asyncio.sleep(300)
        for which, end in enumerate(ends):
            assert end.data == written[not which]
            assert ("eof" in end.log) == ended[not which]
            end.transport.close()
        await asyncio.sleep(1)
        assert [end.log[-1] for end in ends] == [("lost", "NoneType")] * 2
        assert pair.network.connections() == []

    simulate(
        main,
        seed=seed,
        link=Link(delay_us=100, jitter_us=300, split=split, lose=lose),
        send_buffer=2_000,
        receive_buffer=3_000,
        deferred_writes=deferred,
    )


@simulated()
async def test_many_connections_leave_nothing_behind(pair: Pair) -> None:
    await pair.listen(lambda: Recorder([], data=lambda me: me.transport.close()))
    for _ in range(300):
        transport, _ = await pair.connect(asyncio.Protocol)
        transport.write(b"x")
        await asyncio.sleep(0.01)
    assert pair.network.connections() == []
    assert (pair.server.descriptors_open, pair.client.descriptors_open) == (1, 0)
