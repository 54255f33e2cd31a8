"""Crossings at the end of a process: what is on its way when it is told to end, or closes what it holds.

Each order is forced: by a call in the same turn of the loop, by an event that the program reaches, or by a
peer that holds its next byte back.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine

import pytest
from scenario import Stage, play, run

from roadlb.lifecycle.lifecycle import Event
from roadlb.net import frontend

END_S = 60.0  # generous: nothing here waits for it
LOOPS = ["uvloop", "asyncio"]


def request(number: int, path: str = "/grid-read/k", method: str = "GET", body: str = "") -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {number}\r\nX-Account: acme\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def on_stage(
    what: Callable[[Stage], Coroutine[None, None, None]], loop: str = "uvloop", grid: tuple[str, ...] = ("1",)
) -> None:
    async def main() -> None:
        stage = Stage()
        await stage.grid(*grid)
        await asyncio.wait_for(what(stage), END_S)
        for server in stage.servers:
            server.close()

    run(main(), loop)


async def reached(what: Callable[[], bool]) -> None:
    while not what():
        await asyncio.sleep(0.001)


async def answer(link: socket.socket) -> bytes:
    """What comes until the balancer ends the connection; ConnectionError if it is reset."""
    loop, got = asyncio.get_running_loop(), b""
    while data := await loop.sock_recv(link, 65_536):
        got += data
    return got


def called(link: Stage) -> socket.socket:
    """A connection that the kernel has accepted and the loop, whose turn this is, has not."""
    client = socket.create_connection(("127.0.0.1", link.app.port))
    client.setblocking(False)
    return client


@pytest.mark.parametrize("loop", LOOPS)
def test_a_connection_in_the_accept_queue_is_served_and_not_reset(loop: str) -> None:
    async def what(stage: Stage) -> None:
        client = called(stage)
        client.send(request(1))
        stage.app.lifecycle.linger_us = 0
        stage.app._life(Event.LEAVE)  # closes the listener in this very turn
        stopping = asyncio.create_task(stage.app.stop(linger_s=0))
        await stage.step("i1 expect GET")
        await stage.step("i1 send 200 done")
        got = await answer(client)
        assert got.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in got and got.endswith(b"done")
        await stopping
        client.close()

    on_stage(what, loop)


def test_a_connection_that_is_accepted_in_the_turn_of_the_end_is_served() -> None:
    async def what(stage: Stage) -> None:
        client = called(stage)
        client.send(request(1))

        async def served() -> None:
            await stage.step("i1 expect GET")
            await stage.step("i1 send 200 done")
            assert (await answer(client)).endswith(b"done")

        serving, app = asyncio.create_task(served()), stage.app
        taken, parts_stop = list[int](), app.parts.stop

        async def stop() -> None:
            taken.append(app.counters["taken"])  # what comes from here on finds the parts gone
            await parts_stop()

        app.parts.stop = stop  # type: ignore[method-assign]
        await asyncio.sleep(0)  # the loop has accepted it, and its protocol is told in this turn, after us
        assert not app.frontend.connections
        await app.stop(linger_s=0)
        assert taken == [1]
        await serving
        client.close()

    on_stage(what)


def test_what_is_read_after_the_last_moment_is_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "REQUEST_TIMEOUT_S", 3_600.0)  # it is held back for as long as it takes

    async def what(stage: Stage) -> None:
        app = stage.app
        client = called(stage)
        client.send(request(1, "/order/k", "POST", "half")[:-2])
        await reached(lambda: any(c.request_started_us for c in app.frontend.connections))
        over, finish = asyncio.Event(), app.engine.give_up_all
        app.engine.give_up_all = lambda after: (finish(after), over.set())  # type: ignore[method-assign,assignment]
        app.lifecycle.longest_us = 0
        app._life(Event.LEAVE)
        await over.wait()
        client.send(b"lf")
        got = await answer(client)
        assert got.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in got and b"Connection: close" in got
        assert stage.waiting["i"].empty()
        client.close()
        await app.stop(linger_s=0)

    on_stage(what)


def test_an_answer_that_is_being_written_is_not_cut_off_at_the_end() -> None:
    size = 4_000_000

    async def what(stage: Stage) -> None:
        app, waits = stage.app, asyncio.Event()
        client = called(stage)
        client.send(request(1))
        await stage.step("i1 expect GET")
        await stage.step(f"i1 send raw HTTP/1.1 200 OK\\r\\nContent-Length: {size}\\r\\n\\r\\nBODY={size}")
        await reached(lambda: any(c.write_blocked_since_us for c in app.frontend.connections))
        app.lifecycle.longest_us = 0
        none_left, calls = app.frontend._wait_none_left, 0

        async def second(until_us: int) -> None:
            nonlocal calls
            calls += 1
            if calls == 2:
                waits.set()  # the time for all others is over
            await none_left(until_us)

        app.frontend._wait_none_left = second  # type: ignore[method-assign]
        stopping = asyncio.create_task(app.stop(linger_s=0))
        await waits.wait()
        got = await answer(client)
        assert len(got.partition(b"\r\n\r\n")[2]) == size
        await stopping
        client.close()

    on_stage(what)


def test_an_end_with_nothing_open_comes_at_once() -> None:
    async def what(stage: Stage) -> None:
        stage.app.lifecycle.longest_us = 3_600_000_000  # whoever waited for that would be seen to
        await stage.app.stop(linger_s=0)

    on_stage(what)


def test_a_loop_that_is_held_up_when_told_to_end_counts_from_before() -> None:
    async def what(stage: Stage) -> None:
        time.sleep(0.2)  # what the loop sees next may have come at its begin
        await stage.app.stop(linger_s=0)
        assert 150_000 <= stage.app.lifecycle._late_us

    on_stage(what)


SCENARIOS = {
    "a request half read when told to end is served": """
        a send raw POST /order/k HTTP/1.1\\r\\nHost: x\\r\\nX-Correlation-Id: 1\\r\\nX-Account: acme\\r\\n
        stop 3600
        a send raw Content-Length: 4\\r\\n\\r\\nbo
        a send raw dy
        i1 expect POST
        i1 send 200 done
        a expect 200 done "Connection: close"
        a expect closed
        stop
        stopped""",
    "of two requests in a row each is answered, and the second as the last": """
        a send POST /order/k
        i1 expect POST
        a send POST /order/k
        stop
        i1 send 200 done
        a expect 200 done !close
        i2 expect POST
        i2 send 200 more
        a expect 200 more "Connection: close"
        a expect closed
        stopped""",
    "a retry that waits when told to end is made": """
        grid 2
        a send GET /grid-read/k
        i1 expect GET
        i1 send 503 X-Unprocessed:1
        stop
        i2 expect GET
        i2 send 200 done
        a expect 200 done "Connection: close"
        a expect closed
        stopped""",
    "told to end twice, and out of service and in again between: the first holds": """
        a send POST /order/k
        i1 expect POST
        stop
        out-of-service
        in-service
        i1 send 200 done
        a expect 200 done "Connection: close"
        a expect closed
        stopped""",
    "a new configuration just before the end": """
        d expect after=0
        a send POST /order/k
        i1 expect POST
        reload
        stop
        i1 send 200 done
        a expect 200 done "Connection: close"
        a expect closed
        stopped""",
}


@pytest.mark.parametrize("text", SCENARIOS.values(), ids=SCENARIOS.keys())
@pytest.mark.parametrize("loop", LOOPS)
def test_told_to_end(text: str, loop: str) -> None:
    run(play(text), loop)


def test_a_request_that_comes_late_in_a_drain_is_refused_and_one_that_comes_after_it_is_not() -> None:
    async def what(stage: Stage) -> None:
        app = stage.app
        # The schedule is played by hand: its wakes are ours to give.
        app.wheel.call_at = lambda when, call, arg: None  # type: ignore[method-assign,assignment]
        start = app.clock()
        for event, at, status in (
            (Event.OUT_OF_SERVICE, 0, "200"),
            (Event.WAKE, 3_490_000, "200"),
            (Event.WAKE, 3_590_000, "503"),
            (Event.WAKE, 3_990_000, "503"),
            (Event.WAKE, 4_190_000, "200"),
            (Event.WAKE, 4_290_000, "200"),
        ):
            now = start + at
            app.clock = lambda now=now: now  # type: ignore[misc]
            app._life(event)
            await stage.step(f"c{at} send GET /grid-read/k")
            if status == "200":
                await stage.step(f"i{at} expect GET")
                await stage.step(f"i{at} send 200")
            await stage.step(f"c{at} expect {status}")

    on_stage(what)
