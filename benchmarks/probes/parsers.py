"""What it costs to parse one typical request and one typical answer: httptools, aiohttp's parser, h11.

    python benchmarks/probes/parsers.py

Each parser is kept over its connection's life, as in a server with keep-alive, and gives method, target and a
list of headers.  Microseconds of CPU for each message, the lowest of 5 runs of 20,000.  `bytes.split` is the
floor that a hand-made parser in Python would not get under.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from importlib.metadata import version

import h11
import httptools
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpRequestParser, HttpResponseParser

N, ROUNDS = 20_000, 5
REQUEST = (
    b"GET /grid-read/run-7/tatry/12 HTTP/1.1\r\nHost: 127.0.0.1:8080\r\n"
    b"X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Account: energia-sever\r\nX-Time-Left: 2.500\r\n\r\n"
)
ORDER = (
    b"POST /order/run-7 HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nContent-Length: 212\r\n"
    b"X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Account: energia-sever\r\nX-Time-Left: 2.000\r\n\r\n"
    + b"o"
    * 212
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: 300\r\n"
    b"X-Backend-Load: eps=0,queue=0\r\n\r\n" + b"a" * 300
)


Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


class Collector:
    """httptools' callbacks, as few as a relay needs."""

    def __init__(self) -> None:
        self.url, self.headers, self.body, self.done = b"", list[tuple[bytes, bytes]](), b"", 0

    def on_message_begin(self) -> None:
        self.headers = []

    def on_url(self, url: bytes) -> None:
        self.url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self.body = body

    def on_message_complete(self) -> None:
        self.done += 1


def httptools_kept(data: bytes, make: Callable[[object], Parser]) -> Callable[[], object]:
    collector = Collector()
    parser = make(collector)
    return lambda: parser.feed_data(data)


def httptools_anew(data: bytes, make: Callable[[object], Parser]) -> Callable[[], object]:
    return lambda: make(Collector()).feed_data(data)


def aiohttp_kept(data: bytes, answer: bool) -> Callable[[], object]:
    loop = asyncio.new_event_loop()
    protocol = BaseProtocol(loop)
    parser = (HttpResponseParser if answer else HttpRequestParser)(
        protocol, loop, 65_536, max_line_size=8190, max_headers=128, max_field_size=8190
    )

    def one() -> object:
        messages, _, _ = parser.feed_data(data)
        message, payload = messages[0]
        assert not payload or payload.is_eof()
        return message.headers

    return one


def h11_kept(data: bytes) -> Callable[[], object]:
    connection = h11.Connection(h11.SERVER)
    reply = h11.Response(status_code=200, headers=[(b"content-length", b"0")])

    def one() -> object:
        connection.receive_data(data)
        while type(event := connection.next_event()) is not h11.EndOfMessage:
            pass
        # Answered without writing, as its state machine takes no second request before.
        connection.send(reply)
        connection.send(h11.EndOfMessage())
        connection.start_next_cycle()
        return event

    return one


def split(data: bytes) -> Callable[[], object]:
    def one() -> object:
        head, _, body = data.partition(b"\r\n\r\n")
        first, *lines = head.split(b"\r\n")
        return first.split(b" "), [line.split(b": ", 1) for line in lines], body

    return one


def cost(one: Callable[[], object]) -> float:
    began = time.process_time_ns()
    for _ in range(N):
        one()
    return (time.process_time_ns() - began) / N / 1000


def main() -> None:
    request, answer = httptools.HttpRequestParser, httptools.HttpResponseParser
    kinds = {
        "bytes.split": (split(REQUEST), split(ORDER), split(ANSWER)),
        "httptools, kept": tuple(
            httptools_kept(d, m) for d, m in ((REQUEST, request), (ORDER, request), (ANSWER, answer))
        ),
        "httptools, made anew": tuple(
            httptools_anew(d, m) for d, m in ((REQUEST, request), (ORDER, request), (ANSWER, answer))
        ),
        "aiohttp's in C": tuple(
            aiohttp_kept(d, a) for d, a in ((REQUEST, False), (ORDER, False), (ANSWER, True))
        ),
        "h11, and its answer": (h11_kept(REQUEST), h11_kept(ORDER), None),
    }
    best: dict[tuple[str, int], float] = {}
    for _ in range(ROUNDS):
        for name, probes in kinds.items():
            for i, probe in enumerate(probes):
                if probe:
                    best[name, i] = min(cost(probe), best.get((name, i), 1e9))
    print(", ".join(f"{p} {version(p)}" for p in ("httptools", "aiohttp", "h11")))
    print(f"{'us a message':<24}{'read':>8}{'order':>8}{'answer':>8}")
    for name in kinds:
        print(
            f"{name:<24}"
            + "".join(f"{best[name, i]:>8.2f}" if (name, i) in best else f"{'-':>8}" for i in range(3))
        )


if __name__ == "__main__":
    main()
