"""The bare relay with one part of a heavier data path put in at a time, to see what that part costs.

    python benchmarks/probes/assembled.py [--front aiohttp] [--back aiohttp] [--tasks] [--module]
                                          [--loop asyncio] 127.0.0.1:9001 ...

`--front aiohttp` takes requests with aiohttp's low-level server, `--back aiohttp` sends them with its client;
`--tasks` keeps the relay's protocols but gives each request a task on either side with a future between, as
aiohttp would; `--module` lets roadlb's decisions choose the node, with their timers, and tells them each
outcome.  Like the relay it prints its port and trusts both sides.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import sys
import time
from collections.abc import Callable
from pathlib import Path

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from relay import Front, Pool  # noqa: E402

NOT_PASSED_ON = {"content-length", "transfer-encoding", "connection", "date", "server"}


class Exchange:
    """One request that goes forward: what a front hands to a back, and takes the answer from.

    It stands where the relay has the front's connection, so a back writes its answer to `transport`.
    """

    dialling: asyncio.Task[None] | None = None

    def __init__(
        self, method: bytes, url: bytes, head: list[bytes], body: bytes, answered: Callable[[bytes], None]
    ) -> None:
        self.method, self.url, self.head, self.body, self.answered = method, url, head, body, answered
        self.transport = self

    def data(self) -> bytes:
        return b"%b %b HTTP/1.1\r\n%b\r\n%b" % (self.method, self.url, b"".join(self.head), self.body)

    def write(self, data: bytes) -> None:
        self.answered(data)

    def close(self) -> None:
        self.answered(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")


Step = Callable[[Exchange], None]  # takes an exchange one part further


class BareFront(Front):
    """The relay's front, with its requests as exchanges."""

    def __init__(self, step: Step) -> None:
        super().__init__(itertools.cycle([Pool("unused:0")]))
        self.step = step

    def on_message_complete(self) -> None:
        self.step(Exchange(self.parser.get_method(), self.url, self.head, self.body, self.transport.write))


def bare_back(addresses: list[str]) -> Callable[[int], Step]:
    pools = [Pool(a) for a in addresses]
    return lambda i: lambda exchange: pools[i].forward(exchange, exchange.data())  # type: ignore[arg-type]


def in_tasks(step: Step) -> Step:
    """A task on either side of a request and a future between them."""
    loop, tasks = asyncio.get_running_loop(), set[asyncio.Task[None]]()

    async def execute(exchange: Exchange, ended: asyncio.Future[bytes]) -> None:
        answer: asyncio.Future[bytes] = loop.create_future()
        step(Exchange(exchange.method, exchange.url, exchange.head, exchange.body, answer.set_result))
        ended.set_result(await answer)

    async def handle(exchange: Exchange) -> None:
        ended: asyncio.Future[bytes] = loop.create_future()
        start(execute(exchange, ended))
        exchange.answered(await ended)

    def start(coroutine: object) -> None:
        task: asyncio.Task[None] = loop.create_task(coroutine)  # type: ignore[arg-type]
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    return lambda exchange: start(handle(exchange))


def by_module(steps: list[Step]) -> Step:
    """roadlb's decisions choose; a minimal driver carries out what they say, but for second copies."""
    from roadlb import Balancer
    from roadlb.policy.interface import (
        Arrival,
        Effect,
        Event,
        ListKind,
        ListUpdate,
        Member,
        Outcome,
        RequestClass,
        Send,
        Settings,
        SetTimer,
        Status,
        TimerFired,
    )

    classes = [
        RequestClass("grid-read", 500_000, 2_500_000, 2.0, 0.5, Effect.SAFE),
        RequestClass("order", 600_000, 2_000_000, 10.0, 0.5, Effect.UNSAFE),
    ]
    settings = Settings(
        classes=classes,
        warm_keys=True,
        report_source="inline",
        report_fields=("eps", "queue"),
        second_copies=False,
    )
    module, loop, ids = Balancer(settings, seed=1), asyncio.get_running_loop(), itertools.count(1)
    names = [i.to_bytes(8, "big") for i in range(1, len(steps) + 1)]
    open: dict[int, Exchange] = {}

    def now() -> int:
        return time.monotonic_ns() // 1000

    def feed(event: Event) -> None:
        for action in module.handle(now(), event):
            if isinstance(action, Send):
                send(action.request, action.server)
            elif isinstance(action, SetTimer):
                loop.call_later(max(0, action.at_us - now()) / 1e6, feed, TimerFired(action.token))

    def send(request: int, server: bytes) -> None:
        exchange, began = open.pop(request), now()

        def answered(data: bytes) -> None:
            exchange.answered(data)
            feed(Outcome(request, 0, server, Status.OK, now() - began, True, (0.0, 0.0)))

        steps[names.index(server)](
            Exchange(exchange.method, exchange.url, exchange.head, exchange.body, answered)
        )

    def step(exchange: Exchange) -> None:
        request = next(ids)
        open[request] = exchange
        order = exchange.method == b"POST"
        feed(Arrival(request, int(order), 0, hash(exchange.url), 2_000_000 if order else 2_500_000, 0))

    feed(ListUpdate(ListKind.CACHED, [Member(name) for name in names]))
    return step


def aiohttp_back(addresses: list[str]) -> Callable[[int], Step]:
    """aiohttp's client, in a task for each request."""
    import aiohttp

    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=0.25),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
    )
    loop, tasks = asyncio.get_running_loop(), set[asyncio.Task[None]]()

    async def fetch(exchange: Exchange, address: str) -> None:
        headers = [line.decode().rstrip().split(": ", 1) for line in exchange.head]
        async with asyncio.timeout(2.5):
            async with session.request(
                exchange.method.decode(),
                f"http://{address}{exchange.url.decode()}",
                data=exchange.body or None,
                allow_redirects=False,
                headers=[(k, v) for k, v in headers if k.lower() not in NOT_PASSED_ON],
            ) as answer:
                body = await answer.read()
        head = "".join(f"{k}: {v}\r\n" for k, v in answer.headers.items())
        exchange.answered(b"HTTP/1.1 %d OK\r\n%b\r\n%b" % (answer.status, head.encode(), body))

    def to(i: int) -> Step:
        def step(exchange: Exchange) -> None:
            task = loop.create_task(fetch(exchange, addresses[i]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        return step

    return to


async def listen_bare(step: Step) -> asyncio.Server:
    return await asyncio.get_running_loop().create_server(
        lambda: BareFront(step), "127.0.0.1", 0, backlog=512
    )


async def listen_aiohttp(step: Step) -> asyncio.Server:
    """aiohttp's low-level server: a task for each connection, woken for each request."""
    from aiohttp import web

    loop = asyncio.get_running_loop()

    async def handle(request: web.BaseRequest) -> web.Response:
        body = await request.read() if request.body_exists else b""
        answer: asyncio.Future[bytes] = loop.create_future()
        head = [f"{k}: {v}\r\n".encode() for k, v in request.headers.items()]
        step(Exchange(request.method.encode(), request.raw_path.encode(), head, body, answer.set_result))
        answer_head, _, answer_body = (await answer).partition(b"\r\n\r\n")
        first, *lines = answer_head.decode().split("\r\n")
        pairs = (line.split(": ", 1) for line in lines)
        return web.Response(
            status=int(first[9:12]),
            body=answer_body,
            headers=[(k, v) for k, v in pairs if k.lower() not in NOT_PASSED_ON],
        )

    return await loop.create_server(web.Server(handle, access_log=None), "127.0.0.1", 0, backlog=512)


async def serve(options: argparse.Namespace) -> None:
    to = (aiohttp_back if options.back == "aiohttp" else bare_back)(options.instance)
    steps = [to(i) for i in range(len(options.instance))]
    turn = itertools.cycle(steps)
    step: Step = by_module(steps) if options.module else lambda exchange: next(turn)(exchange)
    if options.tasks:
        step = in_tasks(step)
    server = await (listen_aiohttp if options.front == "aiohttp" else listen_bare)(step)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--front", choices=("bare", "aiohttp"), default="bare")
    parser.add_argument("--back", choices=("bare", "aiohttp"), default="bare")
    parser.add_argument("--tasks", action="store_true")
    parser.add_argument("--module", action="store_true")
    parser.add_argument("--loop", choices=("uvloop", "asyncio"), default="uvloop")
    parser.add_argument("instance", nargs="+", help="host:port")
    options = parser.parse_args()
    factory = uvloop.new_event_loop if options.loop == "uvloop" else asyncio.new_event_loop
    with asyncio.Runner(loop_factory=factory) as runner:
        runner.run(serve(options))


if __name__ == "__main__":
    main()
