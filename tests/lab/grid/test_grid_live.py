"""The grid in real time: a balancer serves before it, steps are played, and it ends cleanly.

Everything waits for counts; a time limit only keeps a fault from waiting for ever.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from roadlb.app import App
from roadlb.config import read_config
from roadlb.lab.grid import NotReady, Picture, grid
from roadlb.lab.grid.live import fitted
from roadlb.lab.grid.processes import ByHand, limit
from roadlb.lab.incident import Incident, read
from roadlb.lab.incident.schema import Balancers

FEW = """
title = "A deploy of one node"
[fleet]
nodes = 3
[traffic]
rate = 60
[[step]]
do = "deploy"
at_s = 0.1
count = 1
over_s = 0.3
drain_s = 0.1
[[step]]
do = "slow"
at_s = 0.5
factor = 2
[discovery]
add_s = 0.0
notice_s = 0.0
period_ms = 10
spread_ms = 0
"""


class Screen:
    """Keeps what is said and shown; `until` waits for a picture that is as wanted."""

    def __init__(self) -> None:
        self.said: list[str] = []
        self.shown: asyncio.Queue[Picture] = asyncio.Queue()

    async def until(self, wanted: Callable[[Picture], bool]) -> Picture:
        while not wanted(picture := await self.shown.get()):
            pass
        return picture


def played(play: Callable[[Screen], Awaitable[None]]) -> Screen:
    async def whole() -> Screen:
        screen = Screen()
        async with asyncio.timeout(60):
            await play(screen)
        return screen

    return uvloop.run(whole())


def test_a_balancer_started_by_hand_serves_and_the_grid_ends_with_ctrl_c(tmp_path: Path) -> None:
    config = tmp_path / "balancer.json"

    async def play(screen: Screen) -> None:
        playing = asyncio.create_task(
            grid(
                read(FEW, "few.toml"),
                1,
                screen.said.append,
                traffic=True,
                config=config,
                show=screen.shown.put_nowait,
            )
        )
        while not config.exists() or not screen.said:
            await asyncio.sleep(0.01)
        app = App(read_config(json.loads(config.read_text()), {}))
        await app.start()
        told = await screen.until(
            lambda picture: bool(
                picture.balancers[0].served
                and any(row.sent_per_s for row in picture.nodes)
                and any(row.slowed == 2 for row in picture.nodes)
            )
        )
        up = [row for row in told.nodes if row.state == "up"]
        assert len(up) == 3 and up[-1].name == "node-04" and [row.slowed for row in up] == [2.0] * 3
        assert told.service is not None and told.balancers[0].state == "up"
        os.kill(os.getpid(), signal.SIGINT)
        last = await playing
        assert not last.violations.keys() & {"altered", "doubled", "misdelivered", "smuggled", "crash"}
        assert last.balancers[0].worth
        await app.stop(linger_s=0)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        assert not others, others

    said = played(play).said
    assert [text.split()[0] for text in said if " s  " in text] == ["0.1", "0.5"]
    assert f"start it    PROXY_CONFIG={config} python -m roadlb" in said
    assert said[1].startswith("balancer-1  http://127.") and "its discovery on 127." in said[1]


def test_a_balancer_that_does_not_start_is_told_with_the_end_of_its_log() -> None:
    async def play(screen: Screen) -> None:
        faulty = Incident(name="t", title="T", balancers=Balancers(dial_timeout_ms=0))
        await grid(faulty, 1, screen.said.append, balancers=1)

    with pytest.raises(NotReady, match=r"balancer-1 does not serve(?s:.*)limits.dial_timeout_us: must be"):
        played(play)


def test_what_cannot_be_played_is_left_out_and_said() -> None:
    text = """
title = "T"
[[step]]
do = "cut_hall"
at_s = 1
hall = "hall-a"
[[step]]
do = "flood"
at_s = 2
[[step]]
do = "shrink"
at_s = 3
"""
    said: list[str] = []
    told = fitted(read(text, "t.toml"), 4, False, said.append)
    assert [step.do for step in told.steps] == ["cut_hall", "shrink"] and told.balancers.in_hall == {
        "hall-a": 2,
        "hall-b": 1,
        "hall-c": 1,
    }
    assert said == ["left out, as there is no traffic: flood at 2 s"]
    told = fitted(read(text, "t.toml"), 4, True, said.append)
    assert [step.do for step in told.steps] == ["cut_hall", "flood", "shrink"] and len(said) == 1


def test_what_befalls_a_balancer_of_ones_own_is_said(tmp_path: Path) -> None:
    said: list[str] = []
    mine = ByHand("balancer-1", ("127.0.0.1", 1), tmp_path / "c.json", said.append)
    mine.start({"known": 1})
    mine.signal(signal.SIGHUP)
    mine.kill()
    mine.start({"known": 2})
    assert json.loads((tmp_path / "c.json").read_text()) == {"known": 2}
    assert said == [
        "balancer-1: send it SIGHUP now",
        "balancer-1: send it SIGKILL now",
        f"balancer-1: start it again now, with the new {tmp_path / 'c.json'}",
    ]


@pytest.mark.skipif(not hasattr(resource, "prlimit"), reason="the system cannot limit other processes")
def test_a_started_balancer_has_the_limits_of_its_machine() -> None:
    code = (
        "import sys, resource as r; sys.stdin.read()\n"
        "print(r.getrlimit(r.RLIMIT_NOFILE), r.getrlimit(r.RLIMIT_DATA))"
    )
    child = subprocess.Popen(
        [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    limit(child.pid, {"sockets": 99, "memory_mb": 192})
    assert child.communicate(timeout=30)[0].strip() == f"(99, 99) ({192 << 20}, {192 << 20})"
    limit(child.pid, {"sockets": 99, "memory_mb": 192})  # it has ended: nothing to be done
