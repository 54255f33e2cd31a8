"""The watch of discovery where two events cross, over loopback sockets; each says what it guards against."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest
from watching import HEAD, Watched, chunk, entry, until, update, watched

UP, DRAINING = "ready", "draining"


def play(scenario: Callable[[Watched], Awaitable[None]], known: dict[str, object] | None = None) -> Watched:
    async def main() -> Watched:
        async with watched(known) as w:
            await scenario(w)
            return w

    return asyncio.run(main())


FIRST = update(5, entry("s-č"), entry("t", port=9002), reset=True)
THEN = update(6, entry("s-č", "draining"))


def forms(message: object) -> dict[str, bytes]:
    plain = json.dumps(message, ensure_ascii=False).encode()
    indented = json.dumps(message, indent=2, ensure_ascii=False).encode()
    return {
        "a line": plain + b"\n",
        "indented": indented + b"\n",
        "indented, CRLF": indented.replace(b"\n", b"\r\n") + b"\r\n",
        "indented by tabs, a blank line within": json.dumps(message, indent="\t")
        .encode()
        .replace(b"\n", b"\n\n")
        + b"\n",
        "blank lines around": b"\n\r\n" + plain + b"\n\n",
        "braces and quotes in a name": plain.replace(b'"zone": "a"', rb'"zone": "a", "x": "}]\"{[\\"')
        + b"\n",
    }


@pytest.mark.parametrize("pieces", ["whole", "by byte", "a byte a chunk"])
@pytest.mark.parametrize("form", forms({}).keys())
def test_a_list_is_read_in_any_form_of_json_and_in_any_pieces(form: str, pieces: str) -> None:
    # Read line by line, an indented list was malformed each time, and nothing was ever learned.
    async def scenario(w: Watched) -> None:
        call = await w.discovery.call()
        for message in (FIRST, THEN):
            data = forms(message)[form]
            if pieces == "a byte a chunk":
                sent = [chunk(data[i : i + 1]) for i in range(len(data))]
            else:
                sent = [chunk(data)]
            stream = (HEAD if message is FIRST else b"") + b"".join(sent)
            if pieces == "by byte":
                for i in range(len(stream)):
                    call.send(stream[i : i + 1])
                    await call.writer.drain()
                    if i % 8 == 0:
                        await asyncio.sleep(0)
            else:
                call.send(stream)
        await until(lambda: w.told.lifecycles == {"s-č": DRAINING, "t": UP}, "both messages are taken")
        assert w.counters["list.malformed"] == 0 and w.counters["list.broken"] == 0

    play(scenario)


def test_several_messages_on_one_line_are_taken_in_turn() -> None:
    async def scenario(w: Watched) -> None:
        call = await w.discovery.call()
        call.send(HEAD, chunk(json.dumps(FIRST).encode() + b" " + json.dumps(THEN).encode() + b"\n"))
        await until(lambda: w.told.lifecycles.get("s-č") == DRAINING, "the second one is taken")

    play(scenario)


def test_an_answer_of_a_known_length_without_a_line_end_is_taken_and_asked_again() -> None:
    async def scenario(w: Watched) -> None:
        body = json.dumps(FIRST, indent=1).encode()
        (await w.discovery.call()).send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body)
        call = await w.discovery.call()
        assert call.target.endswith("after=5") and w.told.lifecycles == {"s-č": UP, "t": UP}

    play(scenario)
