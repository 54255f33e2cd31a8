"""Faults and hard cases of the simulated network, each from the program's side."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any

import pytest
from sim_worlds import LINGER_ZERO, PORT, Pair, Recorder, simulate, simulated

from roadlb.lab.sim import HostDown, Link

RESET = ("lost", "ConnectionResetError")
CLOSED = ("lost", "NoneType")


def reset(me: Recorder) -> None:
    me.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    me.transport.abort()


async def dial_error(pair: Pair) -> tuple[int | None, int]:
    """How a dial fails, and after how many microseconds."""
    since = pair.loop.clock_us()
    with pytest.raises(OSError) as caught:
        await pair.connect(asyncio.Protocol)
    return caught.value.errno, pair.loop.clock_us() - since


@pytest.mark.parametrize(("timer_first", "order"), [(True, ["timer", "data"]), (False, ["data", "timer"])])
@simulated()
async def test_a_timer_and_a_delivery_of_one_instant_run_in_the_order_they_were_set(
    pair: Pair, timer_first: bool, order: list[str]
) -> None:
    server, client = await pair.open()
    server.log.clear()
    steps: list[Callable[[], Any]] = [
        lambda: pair.server.call(pair.loop.call_later, 0.0001, server.log.append, "timer"),
        lambda: client.transport.write(b"x"),
    ]
    for step in steps if timer_first else reversed(steps):
        step()
    await asyncio.sleep(0.0002)
    assert server.log == order


@simulated()
async def test_pausing_keeps_back_what_the_poll_has_found(pair: Pair) -> None:
    server, client = await pair.open()
    pair.server.call(pair.loop.call_later, 0.0001, server.transport.pause_reading)
    client.transport.write(b"x")  # arrives with the timer, and behind it
    await asyncio.sleep(1)
    assert server.log == ["made"]
    server.transport.resume_reading()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert server.log == ["made", "data"]


@simulated()
async def test_accepted_and_reset_before_the_first_byte(pair: Pair) -> None:
    log: list[Any] = []
    await pair.listen(lambda: Recorder(log))
    pair.server.pause()
    _, client = await pair.connect(Recorder)  # the kernel accepts
    reset(client)
    await asyncio.sleep(1)
    assert log == []
    pair.server.resume()
    await asyncio.sleep(0.001)
    assert log == ["made", RESET]


@simulated(receive_buffer=100_000, send_buffer=50_000)
async def test_a_write_is_half_taken_where_the_peer_stops_reading(pair: Pair) -> None:
    server, client = await pair.open()
    server.transport.pause_reading()
    client.transport.write(b"x" * 400_000)
    assert client.transport.get_write_buffer_size() == 400_000 - 100_000 - 50_000
    await asyncio.sleep(10)
    assert client.log == ["made", "paused"] and server.data == b""
    server.transport.resume_reading()
    await asyncio.sleep(1)
    assert client.log == ["made", "paused", "resumed"] and len(server.data) == 400_000
    client.transport.set_write_buffer_limits(high=100_000, low=90_000)
    client.on["resumed"] = lambda me: client.log.append(0 < me.transport.get_write_buffer_size() <= 90_000)
    client.transport.write(b"x" * 500_000)
    await asyncio.sleep(1)
    assert client.log[3:] == ["paused", "resumed", True]


@simulated()
async def test_nothing_of_a_killed_host_ever_runs_again(pair: Pair) -> None:
    ran: list[str] = []

    async def program() -> None:
        try:
            while True:
                await asyncio.sleep(0.1)
                ran.append("task")
        finally:
            ran.append("finally")

    _, client = await pair.open()
    pair.server.run(program())
    pair.server.call(pair.loop.call_later, 0.35, ran.append, "timer")
    await asyncio.sleep(0.3)
    pair.server.call(pair.loop.call_soon, ran.append, "queued")
    pair.server.kill()
    client.transport.write(b"crosses the reset")
    await asyncio.sleep(5)
    assert ran == ["task"] * 2 and client.log == ["made", RESET]
    assert await dial_error(pair) == (errno.ECONNREFUSED, 200)
    pair.server.restart()
    await pair.listen(asyncio.Protocol)
    await pair.connect(asyncio.Protocol)


@pytest.mark.parametrize(("unread", "end"), [(False, ["made", "eof", CLOSED]), (True, ["made", RESET])])
@simulated()
async def test_a_killed_process_may_end_its_connections_as_the_kernel_does(
    pair: Pair, unread: bool, end: list[Any]
) -> None:
    server, client = await pair.open()
    if unread:
        server.transport.pause_reading()
        client.transport.write(b"unread")
        await asyncio.sleep(1)
    pair.server.kill(fin=True)
    await asyncio.sleep(1)
    assert client.log == end


@pytest.mark.parametrize("crash", [False, True])
@simulated()
async def test_a_vanished_host_is_silent_and_resets_once_it_is_back(pair: Pair, crash: bool) -> None:
    server, client = await pair.open()
    pair.server.vanish(crash=crash)
    server.transport.write(b"unheard")
    client.transport.write(b"into the void")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(60):
            await pair.connect(asyncio.Protocol)
    assert client.log == ["made"] and (crash or server.log == ["made"])
    pair.server.return_()
    await asyncio.sleep(0.001)
    assert client.log == ["made", RESET]
    assert server.log == (["made"] if crash else ["made", RESET])
    if crash:
        assert (await dial_error(pair))[0] == errno.ECONNREFUSED
    else:
        await pair.connect(asyncio.Protocol)


@simulated()
async def test_after_a_crash_an_idle_connection_may_be_reset_only_when_it_is_used(pair: Pair) -> None:
    _, client = await pair.open()
    pair.server.vanish(crash=True)
    pair.server.return_(reset=False)
    await asyncio.sleep(100)
    assert client.log == ["made"]
    client.transport.write(b"are you there?")
    await asyncio.sleep(0.001)
    assert client.log == ["made", RESET]


@simulated()
async def test_a_stopped_host_is_late_with_all_it_has_to_do(pair: Pair) -> None:
    ran: list[Any] = []
    server, client = await pair.open()

    def note(what: str) -> None:
        ran.append((what, pair.loop.clock_us() - start))

    start = pair.loop.clock_us()
    server.on["data"] = lambda me: note("data")
    for delay in (0.2, 0.1):  # deadlines within the stop
        pair.server.call(pair.loop.call_later, delay, note, f"due at {delay}")
    pair.client.call(pair.loop.call_later, 0.05, client.transport.write, b"x")
    pair.server.stall(300_000)
    await pair.connect(asyncio.Protocol)  # the kernel answers dials meanwhile
    await asyncio.sleep(1)
    assert ran == [("data", 300_000), ("due at 0.1", 300_000), ("due at 0.2", 300_000)]


@simulated()
async def test_what_a_cut_held_back_comes_after_healing_in_order(pair: Pair) -> None:
    server, client = await pair.open()
    client.transport.write(b"under way, ")
    pair.network.cut("a", "b")
    for word in (b"written ", b"while ", b"cut"):
        client.transport.write(word)
        await asyncio.sleep(1.2)
    pair.network.heal("b", "a")
    await asyncio.sleep(2.5)  # TCP tries after 0.2, 0.6, 1.4, 3, 6.2 s
    assert server.data == b""
    await asyncio.sleep(0.2)
    assert server.data == b"under way, written while cut"


@simulated()
async def test_a_connection_whose_bytes_stay_unanswered_is_given_up(pair: Pair) -> None:
    _, client = await pair.open()
    pair.network.cut("a", "b", both=False)
    pair.network.cut("b", "a", both=False)
    client.transport.write(b"x")
    await asyncio.sleep(900)
    assert client.log == ["made"]
    await asyncio.sleep(100)
    assert client.log == ["made", ("lost", "TimeoutError")]


@simulated()
async def test_a_full_backlog_makes_dials_wait_or_refuses_them(pair: Pair) -> None:
    await pair.listen(asyncio.Protocol, backlog=2)
    pair.server.pause()
    since = pair.loop.clock_us()
    dials = [asyncio.create_task(pair.connect(asyncio.Protocol)) for _ in range(5)]
    await asyncio.sleep(0.5)
    assert [dial.done() for dial in dials] == [True] * 3 + [False] * 2  # one more than the backlog
    pair.server.resume()
    await asyncio.gather(*dials)
    assert 1_000_000 < pair.loop.clock_us() - since < 1_001_000  # with the second SYN
    pair.server.listeners[pair.server.ip, PORT].when_full = "refuse"
    pair.server.pause()
    for _ in range(3):
        await pair.connect(asyncio.Protocol)
    assert (await dial_error(pair))[0] == errno.ECONNREFUSED


@simulated()
async def test_what_was_never_accepted_is_reset_when_nobody_listens_any_more(pair: Pair) -> None:
    listener = await pair.listen(asyncio.Protocol)
    pair.server.pause()
    _, client = await pair.connect(Recorder)
    pair.server.call(listener.close)
    await asyncio.sleep(0.001)
    assert client.log == ["made", RESET]


@simulated()
async def test_so_many_are_accepted_in_one_turn_as_the_program_says(pair: Pair) -> None:
    made: list[int] = []

    async def listen() -> None:
        sock = pair.network.socket()
        sock.bind((pair.server.ip, PORT))
        sock.listen(10)
        await pair.loop.create_server(
            lambda: Recorder(made=lambda me: made.append(pair.loop.clock_us() - start)), sock=sock, backlog=2
        )

    await pair.server.run(listen())
    pair.server.pause()
    for _ in range(4):
        await pair.connect(asyncio.Protocol)
    pair.server.cpu(cost=100)
    start = pair.loop.clock_us()
    pair.server.resume()
    await asyncio.sleep(1)
    # Turns: accept two; take them, accept two; tell two protocols and start them, take two; tell these.
    assert made == [500, 700, 1100, 1300]


@simulated()
async def test_descriptors_run_out_on_dialling_and_on_accepting(pair: Pair) -> None:
    log: list[Any] = []
    handled: list[Any] = []
    pair.loop.set_exception_handler(lambda loop, context: handled.append(context["exception"].errno))
    await pair.listen(lambda: Recorder(log))
    pair.server.descriptors, pair.client.descriptors = 2, 3  # the listener holds one
    clients = [(await pair.connect(Recorder))[1] for _ in range(3)]
    assert (await dial_error(pair))[0] == errno.EMFILE
    await asyncio.sleep(0.5)
    assert log == ["made"] and handled == [errno.EMFILE]
    clients[0].transport.close()
    await asyncio.sleep(0.7)
    assert log.count("made") == 2  # asyncio looks again after 1 s
    await pair.connect(asyncio.Protocol)


@simulated()
async def test_dials_are_refused_or_never_answered_by_rule(pair: Pair) -> None:
    await pair.listen(asyncio.Protocol)
    end = pair.network.rule(lambda source, target, port: "refuse" if port == PORT else None)
    assert await dial_error(pair) == (errno.ECONNREFUSED, 200)
    end()
    pair.server.dials_answered = "ignore"
    assert await dial_error(pair) == (errno.ETIMEDOUT, 127_000_000)
    pair.server.dials_answered = "accept"
    await pair.connect(asyncio.Protocol)


@simulated()
async def test_a_dial_given_up_on_its_way_is_reset_at_the_server(pair: Pair) -> None:
    log: list[Any] = []
    await pair.listen(lambda: Recorder(log))
    dial = asyncio.create_task(pair.connect(asyncio.Protocol))
    pair.loop.call_later(0.00015, dial.cancel)  # the answer is on its way
    await asyncio.sleep(1)
    assert dial.cancelled() and log == ["made", RESET]
    assert pair.client.descriptors_open == 0 and pair.network.connections() == []


@simulated()
async def test_a_host_killed_while_it_dials_resets_what_was_accepted(pair: Pair) -> None:
    log: list[Any] = []
    await pair.listen(lambda: Recorder(log))
    dial = asyncio.create_task(pair.connect(asyncio.Protocol))
    pair.loop.call_later(0.00015, pair.client.kill)
    with pytest.raises(HostDown, match="client died while it ran"):
        await dial
    await asyncio.sleep(1)
    assert log == ["made", RESET]


@simulated()
async def test_a_share_of_connections_is_reset(pair: Pair) -> None:
    logs: list[list[Any]] = [[] for _ in range(10)]
    await pair.listen(asyncio.Protocol)
    for log in logs:
        await pair.connect(lambda log=log: Recorder(log))
    assert pair.network.reset_share(0.3) == 3
    await asyncio.sleep(0)
    await asyncio.sleep(0.001)
    assert sum(log == ["made", RESET] for log in logs) == 3 == 10 - len(pair.network.connections())


@simulated()
async def test_aborting_resets_unless_told_otherwise(pair: Pair) -> None:
    server, client = await pair.open()
    client.transport.abort()
    await asyncio.sleep(1)
    assert server.log == ["made", RESET]


def test_parsers_meet_a_message_split_at_every_place() -> None:
    async def main(pair: Pair) -> set[int]:
        class Parts(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                parts.append(len(data))

        parts: list[int] = []
        await pair.listen(Parts)
        transport, _ = await pair.connect(asyncio.Protocol)
        firsts = set()
        for _ in range(200):
            parts.clear()
            transport.write(b"12345678")
            await asyncio.sleep(0.01)
            assert sum(parts) == 8
            firsts.add(parts[0])
        return firsts

    assert simulate(main, link=Link(split=0.8)) == set(range(1, 9))


def test_a_socket_shows_what_lies_unread() -> None:
    import os

    async def main(pair: Pair) -> None:
        server, client = await pair.open()
        server.transport.pause_reading()
        sock = server.transport.get_extra_info("socket")
        with pytest.raises(BlockingIOError):
            os.read(sock.fileno(), 1)
        with pytest.raises(BlockingIOError):
            sock.recv(1)
        client.transport.write(b"bytes")
        await asyncio.sleep(0.001)
        assert len(os.read(sock.fileno(), 1)) == 1 and sock.recv(99, socket.MSG_PEEK) == b"bytes"
        assert sock.recv(99) == b"bytes"
        client.transport.close()
        await asyncio.sleep(0.001)
        assert os.read(sock.fileno(), 1) == b""

    simulate(main)
