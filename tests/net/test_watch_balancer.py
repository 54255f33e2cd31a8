"""What a whole balancer makes of discovery's lists: who is sent to, who is ready, and when."""

from __future__ import annotations

import asyncio
import json

from scenario import Stage, run

STEP_S = 10.0


async def steps(stage: Stage, *lines: str) -> None:
    for step in lines:
        await asyncio.wait_for(stage.step(step), STEP_S)


async def end(stage: Stage) -> None:
    for link in stage.links.values():
        link.writer.close()
    await asyncio.wait_for(stage.app.stop(linger_s=0), STEP_S)
    for server in stage.servers:
        server.close()


def test_with_discovery_silent_it_is_ready_and_serves_from_the_known_list() -> None:
    async def main() -> None:
        stage = Stage()
        await steps(
            stage,
            "grid 2",
            "h send GET /healthz",
            "h expect 200",
            "a send GET /grid-read/k",
            "i1 expect GET",
            "i1 send 200 one",
            "a expect 200 one",
        )
        assert not stage.app.name_table.told.is_set()
        await end(stage)

    run(main())


def test_what_a_whole_list_omits_gets_nothing_more_also_over_a_connection_that_is_open() -> None:
    # It drained, its entry is left out of the next whole list, and it would still answer.
    async def main() -> None:
        stage = Stage()
        await steps(stage, "grid 2", "d expect after=0", "d send up draining")
        for number in range(3):
            await steps(
                stage,
                f"a send POST /order/{number}",
                f"i{number} expect POST",
                f"i{number} send 200",
                "a expect 200",
            )
        left = json.loads(stage.list(["up", "up"]))
        left["instances"].pop(0)  # the one that is connected
        text = json.dumps(left).replace(" ", "")
        await steps(stage, f"d send raw {text}")
        (listed,) = stage.app.instances.pool._addresses.values()
        assert str(listed) == stage.names[1] and stage.app.gauges()["cluster_size"] == 1
        open_before = stage.connections
        await steps(stage, "a send POST /order/x", "i9 expect POST", "i9 send 200", "a expect 200")
        assert stage.connections == open_before + 1, "the connection to the other one is not used"
        await end(stage)

    run(main())


def test_a_request_read_right_after_a_list_and_a_drain_in_one_read_goes_elsewhere() -> None:
    async def main() -> None:
        stage = Stage()
        await steps(stage, "grid 2", "d expect after=0", "b send GET /healthz", "b expect 200")
        first, second = stage.list(["up", "up"]), stage.list(["draining", "up"])
        stage.links["d"].write(first + "\n" + second + "\n")
        while stage.app.counters["list.taken"] < 3:
            await asyncio.sleep(0)
        stage.links["b"].write(
            "POST /order/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1f\r\nX-Account: acme\r\n"
            "X-Time-Left: 100\r\nContent-Length: 0\r\n\r\n"
        )
        await steps(stage, "i1 expect POST")
        assert stage.links["i1"].port == int(stage.names[1].rpartition(":")[2])
        await steps(stage, "i1 send 200", "b expect 200")
        await end(stage)

    run(main())
