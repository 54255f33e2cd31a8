"""Discovery's own descriptor: a whole balancer whose table idle clients fill while discovery is down."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from limited_program import (
    IDLE_CLIENT_COUNT,
    INITIAL_GENERATION,
    BalancerProcess,
    idle_clients,
    limited_program,
)
from scenario import run
from watching import HEAD, Call, Discovery, entry, line, update

from roadlb.net.watch_timing import RESERVE_S, TOLD_S

LIST = update(INITIAL_GENERATION, entry("s"), entry("t", port=9002), reset=True)
LATE_S = 0.5  # after the third call; the second one has waited for over 2.6 s by then


async def crowd_while_down(
    program: BalancerProcess, discovery: Discovery, back: Discovery
) -> list[socket.socket]:
    """Discovery resets its watch and comes back, as clients come that fill the table and say nothing.

    Stopped meanwhile, the program finds all of that in one turn.
    """
    program.suspend()
    discovery.server.close()
    for writer in discovery.writers:
        writer.transport.abort()
    clients = await idle_clients(program.port, IDLE_CLIENT_COUNT)
    await back.start(discovery.address.port)
    program.resume()
    return clients


def test_idle_clients_that_fill_the_table_while_discovery_is_down_do_not_keep_it_out(tmp_path: Path) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        discovery, back = Discovery(), Discovery()
        await discovery.start()
        async with limited_program(tmp_path, discovery, LIST, max_attempts=5) as program:
            clients = await crowd_while_down(program, discovery, back)
            at = loop.time()
            call = await back.call()
            assert call.target.endswith(f"after={INITIAL_GENERATION}")
            took_s = loop.time() - at
            assert took_s < TOLD_S - RESERVE_S
            call.send(HEAD, line(update(INITIAL_GENERATION + 1, entry("s", "draining"))))
            for client in clients:
                client.close()
        text = "\n".join(program.log)
        assert f"generation={INITIAL_GENERATION + 1}" in text, text[-2000:]
        assert text.count('event="watch broken"') == 1, "the first dial had its descriptor"
        back.close()

    run(asyncio.wait_for(main(), 60))


async def answer_late(call: Call, *data: bytes) -> None:
    await asyncio.sleep(LATE_S)
    call.send(*data)


def test_calls_beside_one_that_is_overdue_have_their_descriptors_while_idle_clients_fill_the_table(
    tmp_path: Path,
) -> None:
    # Each call is late, so that three are open at once, the first of them dialled in the crowd.
    async def main() -> None:
        discovery, back = Discovery(), Discovery()
        await discovery.start()
        async with limited_program(tmp_path, discovery, LIST, max_attempts=5) as program:
            clients = await crowd_while_down(program, discovery, back)
            drain = HEAD + line(update(INITIAL_GENERATION + 1, entry("s", "draining")))
            first, second, third = [await back.call() for _ in range(3)]
            answering = asyncio.create_task(answer_late(second, drain))
            await asyncio.gather(first.closed(), third.closed())
            await answering
            for client in clients:
                client.close()
        text = "\n".join(program.log)
        assert f"generation={INITIAL_GENERATION + 1}" in text, text[-2000:]
        assert text.count('event="watch overdue"') == 2
        assert text.count('event="watch broken"') == 1, "each dial had its descriptor"
        back.close()

    run(asyncio.wait_for(main(), 60))
