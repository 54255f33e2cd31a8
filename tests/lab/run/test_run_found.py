"""What rehearsals have found in the program; each is the smallest scene that shows it."""

from __future__ import annotations

import asyncio

from one_balancer import DELAY_US, End, Scene, answer, play, request

from roadlb.lifecycle.lifecycle import LINGER_US


def test_a_connection_accepted_at_the_end_of_the_linger_has_its_request_answered() -> None:
    # Closed unanswered, its client could not tell that the request was never read (`lab.py fuzz`, seed 103).
    async def scene(stage: Scene) -> bytes:
        await stage.node(lambda: End(on_data=lambda end: end.transport.write(answer())))
        await stage.begin()
        stopped = stage.balancer.run(stage.app.stop())
        await asyncio.sleep(LINGER_US / 1e6 - (DELAY_US + 100) / 1e6)  # a SYN 100 us before the end
        client = await stage.connect(request(1))
        await stopped
        await asyncio.sleep(2 * DELAY_US / 1e6)  # its answer is on its way
        return client.got

    assert play(scene).startswith(b"HTTP/1.1 200")
