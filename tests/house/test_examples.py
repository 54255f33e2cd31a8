"""The example configuration and the toy grid serve a request, as the README says they do."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import aiohttp

from roadlb.app import App
from roadlb.config import read_config

EXAMPLES = Path(__file__).parents[2] / "examples"
sys.path.insert(0, str(EXAMPLES))

from toy_grid import ToyGrid  # noqa: E402


async def serve_one() -> None:
    grid = ToyGrid()
    discovery = await grid.start(0)
    raw = json.loads((EXAMPLES / "config.json").read_text())
    app = App(read_config({**raw, "listen": "127.0.0.1:0", "discovery": discovery}, {}))
    await app.start()
    at = f"http://127.0.0.1:{app.port}"
    async with aiohttp.ClientSession() as session, asyncio.timeout(20):
        while (await session.get(at + "/healthz")).status != 200:       # until discovery has told its list
            await asyncio.sleep(0.01)
        headers = {"X-Correlation-Id": "9b1f03aa5c7e2d41", "X-Account": "energia-sever", "X-Time-Left": "10"}
        async with session.get(at + "/grid-read/run-7/tatry/12", headers=headers) as response:
            assert "answers GET /grid-read/run-7/tatry/12" in await response.text()
            assert response.status == 200
        await grid.toggle()
        headers["X-Correlation-Id"] += "0"       # new on every request
        async with session.post(at + "/order/tatry", headers=headers) as response:
            assert response.status == 200
    await app.stop(linger_s=0)


def test_the_example_serves() -> None:
    asyncio.run(serve_one())
