"""The simulated loop by itself: its clock, its order, its ends, and what it refuses."""

from __future__ import annotations

import asyncio
import contextvars
import gc
import signal
import socket
from typing import Any

import pytest
from sim_worlds import Pair, simulate, simulated

from roadlb.lab.sim import Deadlock, HostDown, Livelock, NotSimulated, SimLoop


def run(main: Any, **options: Any) -> Any:
    with asyncio.Runner(loop_factory=lambda: SimLoop(1, **options)) as runner:
        return runner.run(main())


def test_the_clock_shows_whole_microseconds_and_jumps() -> None:
    async def main() -> None:
        loop = SimLoop.running()
        for _ in range(1000):
            await asyncio.sleep(0.001)
        assert loop.clock_us() == 1_000_000 and loop.time() == 1.0
        await asyncio.sleep(0.0000004)
        assert loop.clock_us() == 1_000_001  # never early
        await asyncio.sleep(86_400 * 365)

    run(main)


def test_callbacks_and_timers_of_one_instant_keep_their_order() -> None:
    async def main() -> list[Any]:
        loop, ran = SimLoop.running(), []
        for number in range(50):
            loop.call_at(1.0, ran.append, number)
        loop.call_at(1.0, loop.call_soon, ran.append, "next turn")
        loop.call_at(1.0, loop.call_soon, ran.append, "too")
        loop.call_later(1.0, ran.append, 50)
        await asyncio.sleep(2)
        return ran

    assert run(main) == [*range(51), "next turn", "too"]


def test_cancelled_timers_neither_run_nor_move_the_clock() -> None:
    async def main() -> None:
        loop = SimLoop.running()
        for _ in range(5_000):
            loop.call_later(3600, pytest.fail).cancel()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(loop.create_future(), 1)
        async with asyncio.timeout(10):
            await asyncio.sleep(1)
        assert loop.clock_us() == 2_000_000
        loop.call_later(float("inf"), pytest.fail)
        await asyncio.Event().wait()

    with pytest.raises(Deadlock, match=r"at 2000000 us .*\n  Task-1 waits in Event.wait"):
        run(main)


def test_a_clock_that_stands_still_is_told() -> None:
    async def main() -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(Livelock, match="100 turns at 0 us"):
        run(main, most_turns=100)


def test_context_variables_follow_callbacks_and_tasks() -> None:
    async def main() -> list[str]:
        name, seen = contextvars.ContextVar[str]("name"), []
        for value in ("one", "two"):
            name.set(value)
            asyncio.get_running_loop().call_later(1, lambda: seen.append(name.get()))
            asyncio.get_running_loop().call_soon(lambda: seen.append(name.get()))
        context = contextvars.copy_context()
        context.run(name.set, "three")
        asyncio.get_running_loop().call_soon(lambda: seen.append(name.get()), context=context)
        name.set("four")
        await asyncio.sleep(2)
        return seen

    assert run(main) == ["one", "two", "three", "one", "two"]


def test_a_set_of_tasks_is_walked_in_the_order_of_their_making() -> None:
    async def main() -> None:
        made = [asyncio.create_task(asyncio.sleep(1)) for _ in range(200)]
        assert [task for task in asyncio.all_tasks() if task in made] == made

    run(main)


def test_tasks_that_nobody_holds_are_kept_and_those_of_the_dead_end_unheard(caplog: Any) -> None:
    async def forgotten() -> None:
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            await asyncio.sleep(1)

    async def main(pair: Pair) -> None:
        tasks = {asyncio.create_task(forgotten()).get_name() for _ in range(3_000)}
        pair.server.run(forgotten())
        await asyncio.sleep(1)
        gc.collect()
        assert tasks <= {task.get_name() for task in asyncio.all_tasks()}
        pair.network.end()

    simulate(main)
    gc.collect()
    assert caplog.records == []


@pytest.mark.parametrize(
    "reach_out",
    [
        lambda loop: loop.run_in_executor(None, print),
        lambda loop: asyncio.to_thread(print),
        lambda loop: asyncio.create_subprocess_exec("true"),
        lambda loop: loop.add_reader(0, print),
        lambda loop: loop.sock_recv(socket.socket(), 1),
        lambda loop: loop.sock_connect(socket.socket(), ("127.0.0.1", 1)),
        lambda loop: loop.create_server(asyncio.Protocol, sock=socket.socket()),
        lambda loop: loop.create_connection(asyncio.Protocol, "127.0.0.1", 1, ssl=True),
        lambda loop: loop.create_unix_connection(asyncio.Protocol, "/tmp/x"),
    ],
)
@simulated()
async def test_what_reaches_out_is_refused_with_a_remedy(pair: Pair, reach_out: Any) -> None:
    async def program() -> None:
        result = reach_out(pair.loop)
        if result is not None:
            await result

    with pytest.raises(NotSimulated, match="reaches out of the simulated world.*; "):
        await pair.client.run(program())


@simulated()
async def test_names_are_looked_up_in_the_network_only(pair: Pair) -> None:
    async def ips(name: str, **options: Any) -> list[str]:
        found = await pair.loop.getaddrinfo(name, 80, type=socket.SOCK_STREAM, **options)
        return [info[4][0] for info in found]

    pair.network.names.set("grid.example", "10.9.0.1", "fd00::1")
    assert await ips("10.1.2.3") == ["10.1.2.3"]
    assert await ips("server") == [pair.server.ip]
    assert await ips("grid.example") == ["10.9.0.1", "fd00::1"]
    assert await ips("grid.example", family=socket.AF_INET6) == ["fd00::1"]
    with pytest.raises(socket.gaierror, match="names.set"):
        await ips("localhost.localdomain")


@simulated()
async def test_signals_go_to_the_host_they_were_raised_on(pair: Pair) -> None:
    got: list[str] = []
    for host in (pair.server, pair.client):
        host.call(pair.loop.add_signal_handler, signal.SIGTERM, got.append, host.name)
    pair.client.raise_signal(signal.SIGTERM)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert got == ["client"]
    pair.client.raise_signal(signal.SIGINT)  # nobody handles it
    assert pair.client.life.dead and not pair.server.life.dead
    with pytest.raises(HostDown, match="restart"):
        pair.client.call(print)


def test_one_seed_for_each_name() -> None:
    draws = [SimLoop(seed).random(name).random() for seed, name in ((1, "a"), (1, "a"), (1, "b"), (2, "a"))]
    assert draws[0] == draws[1] and len(set(draws)) == 3


def test_who_finds_itself_a_rounding_error_early_gets_further() -> None:
    """`left = until - loop.time()` may be 1e-16: a timer for that must not fire at the same instant again."""

    async def main(pair: Pair) -> int:
        loop, rounds = asyncio.get_running_loop(), 0
        for until in (loop.time() + 0.1 + 0.2, loop.time() + 0.7 + 0.1):
            while (left := until - loop.time()) > 0:
                rounds += 1
                await asyncio.sleep(left)
                loop.call_at(until, lambda: None)
            while loop.time() < until + 1e-15:
                rounds += 1
                await asyncio.sleep(1e-15)
        return rounds

    assert simulate(main) < 10
