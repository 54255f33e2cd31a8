"""The operators' door: its calls, and callers that mean no good."""

from __future__ import annotations

import asyncio
import socket

import pytest
from scenario import LIMIT_S, run

from roadlb.admin import door
from roadlb.admin.door import HEAD_MOST, OPEN_MOST, Door
from roadlb.admin.report import report
from roadlb.config import Address
from roadlb.counters import Counters
from roadlb.net import sockets


async def opened() -> tuple[Door, list[str]]:
    done: list[str] = []

    def change() -> tuple[int, str]:
        done.append("changed")
        return 200, "ok"

    def fault() -> tuple[int, str]:
        raise RuntimeError

    one = Door(
        {("GET", "/ready"): lambda: (200, "yes"), ("PUT", "/change"): change, ("GET", "/fault"): fault},
        Counters(),
    )
    await one.listen(Address("127.0.0.1", 0))
    return one, done


async def call(one: Door, *pieces: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", one.port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0.002)
    answer = await asyncio.wait_for(reader.read(), LIMIT_S)
    writer.close()
    return answer


@pytest.mark.parametrize(
    "ask, said",
    [
        (b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 200 "),
        (b"GET /ready?verbose=1 HTTP/1.0\r\n\r\n", b"HTTP/1.1 200 "),
        (b"PUT /change HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", b"HTTP/1.1 200 "),
        (b"GET /change HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 405 Method Not Allowed\r\n"),
        (b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 404 "),
        pytest.param(
            b"GET /fault HTTP/1.1\r\nHost: x\r\n\r\n",
            b"HTTP/1.1 500 ",
            marks=pytest.mark.counts_faults("fault.admin"),
        ),
        (b"noise\r\n\r\n", b"HTTP/1.1 400 "),
        (b"GET /ready HTTP/1.1\r\nX: " + b"x" * HEAD_MOST, b"HTTP/1.1 400 "),
    ],
)
def test_one_call_one_answer_and_the_connection_ends(ask: bytes, said: bytes) -> None:
    async def main() -> None:
        one, _ = await opened()
        cut = len(ask) if b" 400 " not in said else 0  # what cannot be read is answered before its end
        for pieces in ((ask,), (*(ask[i : i + 1] for i in range(cut)), ask[cut:])):
            answer = await call(one, *pieces)
            assert answer.startswith(said) and answer.count(b"HTTP/1.1 ") == 1
            assert b"Connection: close" in answer and (b" 405 " not in answer or b"Allow: PUT\r\n" in answer)
        await one.close()

    run(main())


def test_who_says_nothing_or_half_a_call_keeps_nobody_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        one, done = await opened()
        held = [await asyncio.open_connection("127.0.0.1", one.port) for _ in range(3 * OPEN_MOST)]
        for _, writer in held[::2]:
            writer.write(b"PUT /change HTT")
        assert (await call(one, b"GET /ready HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 200")
        assert len(one.open) <= OPEN_MOST and not done
        monkeypatch.setattr(door, "CALL_S", 0.05)
        reader, _ = await asyncio.open_connection("127.0.0.1", one.port)
        assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
        await one.close()
        assert not one.open

    run(main())


def test_the_report_has_every_class_from_the_start() -> None:
    text = report({"answered.read": 3, "sends": 4, "taken": 9}, ["read", "order"], {"current": 1})
    assert text == (
        "edge_proxy.answered.read:3|c\nedge_proxy.deferred.read:0|c\nedge_proxy.errored.read:0|c\n"
        "edge_proxy.answered.order:0|c\nedge_proxy.deferred.order:0|c\nedge_proxy.errored.order:0|c\n"
        "edge_proxy.sends:4|c\nedge_proxy.current:1|g\n"
    )


def test_an_address_that_a_predecessor_still_holds_is_waited_for() -> None:
    async def main() -> None:
        held = socket.create_server(("127.0.0.1", 0))
        port, door, said = held.getsockname()[1], Door({}, Counters()), asyncio.Event()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(sockets.logger, "warning", lambda *told, **more: said.set())
            listening = asyncio.create_task(door.listen(Address("127.0.0.1", port), sockets.listening_socket))
            await said.wait()
            held.close()
            await listening
        assert door.port == port
        await door.close()

    run(asyncio.wait_for(main(), 60))
