"""Discovery's own descriptor: a whole balancer whose table idle clients fill while discovery is down."""

from __future__ import annotations

import asyncio
from pathlib import Path

from limited_program import INITIAL_GENERATION, IDLE_CLIENT_COUNT, idle_clients, limited_program
from scenario import run
from watching import HEAD, Discovery, entry, line, update

from roadlb.net.watch_timing import RESERVE_S, TOLD_S

LIST = update(INITIAL_GENERATION, entry("s"), entry("t", port=9002), reset=True)


def test_idle_clients_that_fill_the_table_while_discovery_is_down_do_not_keep_it_out(tmp_path: Path) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        discovery, back = Discovery(), Discovery()
        await discovery.start()
        async with limited_program(tmp_path, discovery, LIST, max_attempts=5) as program:
            # Stopped, it finds all of them in its accept queue in one turn, and its watch reset as well.
            program.suspend()
            discovery.server.close()
            for writer in discovery.writers:
                writer.transport.abort()
            clients = await idle_clients(program.port, IDLE_CLIENT_COUNT)
            await back.start(discovery.address.port)
            program.resume()
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
