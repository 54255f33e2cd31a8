"""Guards against balancers that never hear a discovery which answers each call 3 s late: real processes."""

from __future__ import annotations

import asyncio
import itertools
import signal
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from balancer_process import BalancerProcess, running_balancer, write_config
from scenario import run
from watching import HEAD, Call, Discovery, chunk, entry, line, update

from roadlb.lab.run.ports import reserved
from roadlb.net.watch_timing import KEEP_ALIVE_S, MOVED_TOLD_S, TOLD_S

LATE_S = 3.0  # half of the time after which a change counts as told
GRACE_S = 1.0  # a drain is kept that much after it counts as told
BALANCERS = 3
LIMITS = {"memory_mb": 96, "sockets": 256}
KNOWN = [entry("s"), entry("t", port=9002)]
LISTED = 5


def send(call: Call, data: bytes) -> None:
    if not call.writer.is_closing():
        call.send(data)


class LateDiscovery:
    """Answers each call `LATE_S` after it came, with the whole list; the first `hangs` ones hang."""

    def __init__(self, generation: int, draining: bool = False, hangs: int = 0) -> None:
        self._list = update(
            generation, entry("s", "draining" if draining else "up"), entry("t", port=9002), reset=True
        )
        self._discovery, self._hangs = Discovery(), hangs
        self._tasks: list[asyncio.Task[None]] = []
        self._answered: list[Call] = []

    async def start(self) -> str:
        await self._discovery.start()
        self._tasks.append(asyncio.create_task(self._serve()))
        return str(self._discovery.address)

    def tell(self, generation: int) -> None:
        for call in self._answered:
            send(call, line(update(generation, entry("s", "draining"))))

    async def _serve(self) -> None:
        for number in itertools.count():
            call = await self._discovery.calls.get()
            if number >= self._hangs:
                self._tasks.append(asyncio.create_task(self._answer(call)))

    async def _answer(self, call: Call) -> None:
        await asyncio.sleep(LATE_S)
        self._answered.append(call)
        send(call, HEAD + line(self._list))
        while True:
            await asyncio.sleep(KEEP_ALIVE_S)
            send(call, chunk(b"\n"))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._discovery.close()


async def took_list(balancer: BalancerProcess, generation: int, within_s: float) -> None:
    """Wait until the balancer's log says that it took this generation."""
    async with asyncio.timeout(within_s):
        while not any(f"generation={generation} " in f"{text} " for text in balancer.log):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("hangs", [0, BALANCERS], ids=["all late", "the first call of each hangs"])
def test_late_lists_are_taken_after_start_restart_and_sighup_at_each_of_many_balancers(
    hangs: int, tmp_path: Path
) -> None:
    async def main() -> None:
        old = LateDiscovery(LISTED)
        new = LateDiscovery(LISTED + 2, draining=True, hangs=hangs)
        addresses = await old.start(), await new.start()
        async with AsyncExitStack() as stack:

            async def start(port: int) -> BalancerProcess:
                config = write_config(tmp_path, port, KNOWN, LIMITS, addresses[0])
                return await stack.enter_async_context(running_balancer(config, port))

            ports = [stack.enter_context(reserved()).getsockname()[1] for _ in range(BALANCERS)]
            balancers = await asyncio.gather(*map(start, ports))
            await asyncio.gather(*(took_list(b, LISTED, TOLD_S) for b in balancers))
            balancers[0].signal(signal.SIGKILL)
            await balancers[0].process.wait()
            balancers[0] = await start(ports[0])
            await took_list(balancers[0], LISTED, TOLD_S)
            old.tell(LISTED + 1)
            await asyncio.gather(*(took_list(b, LISTED + 1, TOLD_S) for b in balancers))
            for balancer, port in zip(balancers, ports, strict=True):
                write_config(tmp_path, port, KNOWN, LIMITS, addresses[1])
                balancer.signal(signal.SIGHUP)
            in_time_s = MOVED_TOLD_S + GRACE_S
            await asyncio.gather(*(took_list(b, LISTED + 2, in_time_s) for b in balancers))
            assert not any(b.has_ended for b in balancers)
        await old.close()
        await new.close()

    run(asyncio.wait_for(main(), 90))
