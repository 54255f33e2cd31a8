"""Body streams: what arrives is a prefix of what was sent, and is marked complete only if it is.

Bodies are segmented, paused and broken off at generated offsets, between a client and a server.
"""

from __future__ import annotations

from contextlib import suppress

import harness
from corpus import get
from harness import (
    OneServerPolicy,
    StubLoop,
    StubTransport,
    new_engine,
    new_server_connections,
    new_frontend,
    send_segments,
    settle,
)
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

FUZZ_SETTINGS = settings(derandomize=True, deadline=None, max_examples=120, phases=[Phase.generate])
BODY = bytes(i * 7 % 251 for i in range(260_000))
FRAMINGS = ("length", "chunked", "close")


class ProxiedClient:
    """A client's wire and the wire to the server, with a balancer between them."""

    def __init__(self, loop: StubLoop, counters: harness.RecordingCounters) -> None:
        engine = new_engine(OneServerPolicy(), counters)
        engine.executor = self.server_side = new_server_connections(engine, counters)
        self.loop, self.engine, self.counters = loop, engine, counters
        self.client = StubTransport(loop, new_frontend(engine, counters)())

    @property
    def server(self) -> StubTransport:
        return self.loop.transports[1]

    async def finish(self) -> None:
        self.client.disconnect()
        await settle(self.loop)
        await harness.close_server_connections(self.server_side)
        await settle(self.loop)
        assert self.engine.requests_in_flight == 0


async def feed(
    loop: StubLoop, source: StubTransport, sink: StubTransport, pieces: list[bytes], paused_pieces: set[int]
) -> None:
    """Feeds the pieces to `source`; `sink` takes no output during those whose index is in `paused_pieces`."""
    for number, piece in enumerate(pieces):
        if number in paused_pieces and not sink.end:
            sink.protocol.pause_writing()
            had_output = bool(sink.written)
            await send_segments(loop, source, [piece], 1)
            assert source.paused or not had_output or number == len(pieces) - 1  # not read meanwhile
            sink.protocol.resume_writing()
            await settle(loop)
        else:
            await send_segments(loop, source, [piece], 1)


def split_at(data: bytes, offsets: list[int]) -> list[bytes]:
    bounds = sorted({p % (len(data) + 1) for p in offsets} | {0, len(data)})
    return [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


def read_body(data: bytes) -> tuple[bytes, bool]:
    """Returns the part of a message's body that has arrived, and whether its framing marks it complete."""
    head, _, rest = data.partition(b"\r\n\r\n")
    if b"Transfer-Encoding: chunked" not in head:
        length = int(head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0])
        return rest[:length], len(rest) >= length
    body = b""
    with suppress(ValueError):
        while rest:
            size, end, rest = rest.partition(b"\r\n")
            if end and int(size, 16) == 0:
                return body, rest.startswith(b"\r\n")
            body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    return body, False


def encode_body(framing_kind: str, body: bytes, chunk_offsets: list[int]) -> tuple[bytes, bytes]:
    """Returns the header that frames a body, and the encoded body."""
    if framing_kind == "length":
        return b"Content-Length: %d\r\n" % len(body), body
    if framing_kind == "close":
        return b"", body
    chunks = b"".join(
        b"%x;n=%d\r\n%b\r\n" % (len(c), i, c) for i, c in enumerate(split_at(body, chunk_offsets)) if c
    )
    return b"Transfer-Encoding: chunked\r\n", chunks + b"0\r\nX-Trailer: 1\r\n\r\n"


OFFSETS = st.lists(st.integers(0, 10**6), max_size=6)
PAUSED_PIECES = st.sets(st.integers(0, 7), max_size=3)


@FUZZ_SETTINGS
@given(
    st.sampled_from(FRAMINGS),
    st.integers(65_537, 260_000),
    OFFSETS,
    OFFSETS,
    PAUSED_PIECES,
    st.none() | st.integers(0, 10**6),
    st.booleans(),
)
def test_an_answer_arrives_as_it_was_sent_or_is_visibly_truncated(
    framing_kind: str,
    size: int,
    chunk_offsets: list[int],
    offsets: list[int],
    paused_pieces: set[int],
    break_offset: int | None,
    reset: bool,
) -> None:
    body = BODY[:size]
    framing, sent = encode_body(framing_kind, body, chunk_offsets)
    whole = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + sent
    transmitted = whole if break_offset is None else whole[: len(whole) - 1 - break_offset % len(sent)]

    async def main(loop: StubLoop, counters: harness.RecordingCounters) -> None:
        proxied = ProxiedClient(loop, counters)
        await settle(loop)
        await send_segments(loop, proxied.client, [get().encode("latin-1")], 1)
        await feed(loop, proxied.server, proxied.client, split_at(transmitted, offsets), paused_pieces)
        proxied.server.disconnect(reset and break_offset is not None)
        await settle(loop)
        received = bytes(proxied.client.written)
        served = received.startswith(b"HTTP/1.1 200")
        arrived, complete = read_body(received) if served else (b"", False)
        assert body.startswith(arrived)
        # A close ends a body without a length, wherever it occurs, so such a body counts as complete.
        expects_complete = break_offset is None or framing_kind == "close" and not reset
        assert complete == expects_complete and (not expects_complete or served)
        if expects_complete:
            assert arrived == (body if break_offset is None else body[: len(transmitted) - len(whole)])
        else:
            assert proxied.client.end or not served
        await proxied.finish()
        counts = counters["answered.grid-read"], counters["errored.grid-read"]
        assert counts in ((1, 0),) if complete else counts[0] == 0

    _, faults = harness.run(main)
    assert not faults


@FUZZ_SETTINGS
@given(
    st.sampled_from(FRAMINGS[:2]),
    st.integers(66_000, 260_000),
    OFFSETS,
    OFFSETS,
    PAUSED_PIECES,
    st.none() | st.integers(0, 10**6),
    st.sampled_from(["client", "server"]),
)
def test_the_body_of_an_order_reaches_the_server_as_it_was_sent_or_is_visibly_truncated(
    framing_kind: str,
    size: int,
    chunk_offsets: list[int],
    offsets: list[int],
    paused_pieces: set[int],
    break_offset: int | None,
    breaking_side: str,
) -> None:
    body = BODY[:size]
    framing, sent = encode_body(framing_kind, body, chunk_offsets)
    head = b"POST /order/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: 7\r\n%b\r\n" % framing
    # The break comes after more than the balancer buffers before it forwards a body.
    transmitted = head + (
        sent if break_offset is None else sent[: len(sent) - 1 - break_offset % (len(sent) - 65_540)]
    )

    async def main(loop: StubLoop, counters: harness.RecordingCounters) -> None:
        proxied = ProxiedClient(loop, counters)
        await settle(loop)
        await send_segments(loop, proxied.client, [transmitted[: len(head) + 65_537]], 1)
        if len(loop.transports) > 1:
            await feed(
                loop,
                proxied.client,
                proxied.server,
                split_at(transmitted[len(head) + 65_537 :], offsets),
                paused_pieces,
            )
        else:
            await send_segments(loop, proxied.client, [transmitted[len(head) + 65_537 :]], 1)
        received = b"".join(bytes(wire.written) for wire in loop.transports[1:])
        if break_offset is not None and received:
            (proxied.client if breaking_side == "client" else proxied.server).disconnect(True)
            await settle(loop)
        arrived, complete = read_body(received) if received else (b"", False)
        assert body.startswith(arrived) and complete == (break_offset is None and bool(received))
        if break_offset is None:
            assert arrived == body
            await send_segments(
                loop, proxied.server, [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"], 1
            )
            assert bytes(proxied.client.written).endswith(b"done") and not proxied.client.end
        elif received and breaking_side == "client":
            assert proxied.server.end  # the server must not wait for the rest
        elif received:
            assert bytes(proxied.client.written).startswith((b"HTTP/1.1 503", b"HTTP/1.1 502"))
            assert b"Connection: close" in proxied.client.written
        await proxied.finish()

    _, faults = harness.run(main)
    assert not faults
