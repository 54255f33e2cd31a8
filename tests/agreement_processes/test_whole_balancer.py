"""`python -m roadlb` follows a control service that issues: both halves as they are shipped."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

from grid_parties import platform
from issuing_parties import HOST, PATIENCE_S, until

from roadlb.cli.control import read
from roadlb.control.service import Service
from roadlb.lab.standin_etcd.server import StandIn

ROOT = Path(__file__).parents[2]


async def play(folder: Path) -> None:
    nodes = {f"n{i}": {"hostPort": f"{HOST}:{9_000 + i}"} for i in range(3)}
    async with StandIn() as store, platform(**nodes) as told:
        file = folder / "control.toml"
        file.write_text(
            f'discovery = "{HOST}:{told.port}"\nlisten = "{HOST}:0"\nstatus = ""\n[agreement]\n'
            f'store = ["{store.address}"]\ncontradiction_s = 3.0\nmargin_s = 0.5\nseat_s = 3\n'
        )
        service = Service(read(str(file)))
        await service.start()
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        config |= {
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:{told.port}",
            "agreement": {
                "control": [f"{HOST}:{service.port}"],
                "contradiction_s": 3.0,
                "margin_s": 0.5,
                "store": str(folder / "store"),
            },
        }
        del config["admin_addr"]
        (folder / "config.json").write_text(json.dumps(config))
        with (folder / "log").open("wb") as log:
            balancer = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "roadlb",
                stdout=log,
                stderr=log,
                env={**os.environ, "PROXY_CONFIG": str(folder / "config.json")},
            )
        try:

            def peers() -> list[tuple[str, bool]]:
                return [
                    (p.follower, p.left_us > 0 and p.force == p.acknowledged)
                    for p in service.office.issuer.view(service._clock()).peers
                ]

            await until(lambda: peers() == [("n1", True)], "it has a lease for the version in force")
            first = service.office.issuer.force
            told.tell(n2={"lifecycle": "draining"})
            await until(lambda: service.office.issuer.force != first, "the drain is in force")
            await until(lambda: peers() == [("n1", True)], "which it has acknowledged")
        finally:
            balancer.terminate()
            await balancer.wait()
            await service.stop()
        said = (folder / "log").read_text()
        assert "word=granted" in said and "level=error" not in said, said


def test_a_balancer_takes_what_a_control_service_issues(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(play(tmp_path), 3 * PATIENCE_S))
