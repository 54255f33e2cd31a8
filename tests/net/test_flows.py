"""Bodies that flow: what arrives is a beginning of what was sent, and complete exactly when it says so."""

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

SLOW = settings(derandomize=True, deadline=None, max_examples=120, phases=[Phase.generate])
BODY = bytes(i * 7 % 251 for i in range(260_000))
FORMS = ("length", "chunked", "close")


class Party:
    """A client's wire and the wires to nodes, with a balancer between."""

    def __init__(self, loop: StubLoop, counters: harness.RecordingCounters) -> None:
        engine = new_engine(OneServerPolicy(), counters)
        engine.executor = self.instances = new_server_connections(engine, counters)
        self.loop, self.engine, self.counters = loop, engine, counters
        self.client = StubTransport(loop, new_frontend(engine, counters)())

    @property
    def node(self) -> StubTransport:
        return self.loop.transports[1]

    async def over(self) -> None:
        self.client.disconnect()
        await settle(self.loop)
        await harness.close_server_connections(self.instances)
        await settle(self.loop)
        assert self.engine.requests_in_flight == 0


async def feed(
    loop: StubLoop, source: StubTransport, sink: StubTransport, pieces: list[bytes], pauses: set[int]
) -> None:
    """Feed the pieces; the other wire takes nothing for a while before those whose number is in `pauses`."""
    for number, piece in enumerate(pieces):
        if number in pauses and not sink.end:
            sink.protocol.pause_writing()
            begun = bool(sink.written)
            await send_segments(loop, source, [piece], 1)
            assert source.paused or not begun or number == len(pieces) - 1  # it is not read meanwhile
            sink.protocol.resume_writing()
            await settle(loop)
        else:
            await send_segments(loop, source, [piece], 1)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    at = sorted({p % (len(data) + 1) for p in places} | {0, len(data)})
    return [data[a:b] for a, b in zip(at, at[1:], strict=False)]


def read_body(data: bytes) -> tuple[bytes, bool]:
    """A message's body as far as it has come, and whether that says that it is whole."""
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


def written(form: str, body: bytes, sizes: list[int]) -> tuple[bytes, bytes]:
    """The header that frames a body, and the body's bytes."""
    if form == "length":
        return b"Content-Length: %d\r\n" % len(body), body
    if form == "close":
        return b"", body
    chunks = b"".join(b"%x;n=%d\r\n%b\r\n" % (len(c), i, c) for i, c in enumerate(cut(body, sizes)) if c)
    return b"Transfer-Encoding: chunked\r\n", chunks + b"0\r\nX-Trailer: 1\r\n\r\n"


PLACES = st.lists(st.integers(0, 10**6), max_size=6)
PAUSES = st.sets(st.integers(0, 7), max_size=3)


@SLOW
@given(
    st.sampled_from(FORMS),
    st.integers(65_537, 260_000),
    PLACES,
    PLACES,
    PAUSES,
    st.none() | st.integers(0, 10**6),
    st.booleans(),
)
def test_an_answer_arrives_as_it_was_sent_or_ends_short_where_anyone_can_see(
    form: str,
    size: int,
    sizes: list[int],
    places: list[int],
    pauses: set[int],
    breaks: int | None,
    reset: bool,
) -> None:
    body = BODY[:size]
    framing, sent = written(form, body, sizes)
    whole = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + sent
    told = whole if breaks is None else whole[: len(whole) - 1 - breaks % len(sent)]

    async def main(loop: StubLoop, counters: harness.RecordingCounters) -> None:
        party = Party(loop, counters)
        await settle(loop)
        await send_segments(loop, party.client, [get().encode("latin-1")], 1)
        await feed(loop, party.node, party.client, cut(told, places), pauses)
        party.node.disconnect(reset and breaks is not None)
        await settle(loop)
        got = bytes(party.client.written)
        served = got.startswith(b"HTTP/1.1 200")
        arrived, complete = read_body(got) if served else (b"", False)
        assert body.startswith(arrived)
        # A node that closes has told the end of a body with no length, wherever it stands.
        meant = breaks is None or form == "close" and not reset
        assert complete == meant and (not meant or served)
        if meant:
            assert arrived == (body if breaks is None else body[: len(told) - len(whole)])
        else:
            assert party.client.end or not served
        await party.over()
        counts = counters["answered.grid-read"], counters["errored.grid-read"]
        assert counts in ((1, 0),) if complete else counts[0] == 0

    _, faults = harness.run(main)
    assert not faults


@SLOW
@given(
    st.sampled_from(FORMS[:2]),
    st.integers(66_000, 260_000),
    PLACES,
    PLACES,
    PAUSES,
    st.none() | st.integers(0, 10**6),
    st.sampled_from(["client", "node"]),
)
def test_an_orders_body_reaches_its_node_as_it_was_sent_or_visibly_unfinished(
    form: str, size: int, sizes: list[int], places: list[int], pauses: set[int], breaks: int | None, who: str
) -> None:
    body = BODY[:size]
    framing, sent = written(form, body, sizes)
    head = b"POST /order/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: 7\r\n%b\r\n" % framing
    # All of the hold is there before anything breaks.
    told = head + (sent if breaks is None else sent[: len(sent) - 1 - breaks % (len(sent) - 65_540)])

    async def main(loop: StubLoop, counters: harness.RecordingCounters) -> None:
        party = Party(loop, counters)
        await settle(loop)
        await send_segments(loop, party.client, [told[: len(head) + 65_537]], 1)
        if len(loop.transports) > 1:
            await feed(loop, party.client, party.node, cut(told[len(head) + 65_537 :], places), pauses)
        else:
            await send_segments(loop, party.client, [told[len(head) + 65_537 :]], 1)
        got = b"".join(bytes(wire.written) for wire in loop.transports[1:])
        if breaks is not None and got:
            (party.client if who == "client" else party.node).disconnect(True)
            await settle(loop)
        arrived, complete = read_body(got) if got else (b"", False)
        assert body.startswith(arrived) and complete == (breaks is None and bool(got))
        if breaks is None:
            assert arrived == body
            await send_segments(loop, party.node, [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"], 1)
            assert bytes(party.client.written).endswith(b"done") and not party.client.end
        elif got and who == "client":
            assert party.node.end  # the node must not wait for the rest
        elif got:
            assert bytes(party.client.written).startswith((b"HTTP/1.1 503", b"HTTP/1.1 502"))
            assert b"Connection: close" in party.client.written
        await party.over()

    _, faults = harness.run(main)
    assert not faults
