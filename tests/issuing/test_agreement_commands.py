"""`roadlb versions` and `roadlb agreement` against a control service, a store and balancers that follow."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from click.testing import CliRunner, Result
from grid_parties import platform
from issuing_parties import HOST, PATIENCE_S, Balancer, until

from roadlb.agreement.events import Standing
from roadlb.cli.commands import roadlb
from roadlb.cli.control import read
from roadlb.control.service import Service
from roadlb.etcd.client import Etcd
from roadlb.issuing.roll import write_roll
from roadlb.lab.standin_etcd.server import StandIn

EXAMPLE = Path(__file__).parents[2] / "examples" / "config.json"


def call(*words: str) -> Result:
    return CliRunner().invoke(roadlb, [str(word) for word in words])


def files(folder: Path, discovery: int, store: str) -> tuple[str, str]:
    """A control service's file, and settings to propose: with a smaller quota."""
    file = folder / "control.toml"
    file.write_text(
        f'discovery = "{HOST}:{discovery}"\nlisten = "{HOST}:0"\nstatus = "{HOST}:0"\n[agreement]\n'
        f'store = ["{store}"]\nname = "one"\ncontradiction_s = 2.0\nmargin_s = 0.3\nseat_s = 3\n'
        f'settings = "{EXAMPLE}"\n'
    )
    config = json.loads(EXAMPLE.read_text())
    config["settings"]["tenants"][1]["quota_per_s"] = 60
    (folder / "next.json").write_text(json.dumps(config))
    return str(file), str(folder / "next.json")


async def play(folder: Path) -> None:
    nodes = {f"n{i}": {"hostPort": f"{HOST}:{9_000 + i}"} for i in range(4)}
    async with StandIn() as store, platform(**nodes) as told:
        file, config = files(folder, told.port, store.address)
        nobody = await asyncio.to_thread(call, "agreement", "status", file)
        assert nobody.exit_code == 1 and "nobody leads" in nobody.stderr
        late = await asyncio.to_thread(
            call, "versions", "propose", file, config, "--why", "x", "--wait", "0.2"
        )
        assert late.exit_code == 1 and "no leader has carried it out" in late.stderr
        service = Service(read(file))
        await service.start()
        ones = [Balancer(f"b{i}", service.office.timing, service.port) for i in range(2)]
        try:
            await until(lambda: all(one.standing is Standing.GRANTED for one in ones), "all have a lease")
            await commands(file, config, told, ones)
        finally:
            await asyncio.gather(*(one.end() for one in ones))
            await service.stop()
        gone = await asyncio.to_thread(call, "agreement", "status", file)
        assert gone.exit_code == 1 and "nobody leads" in gone.stderr


async def commands(file: str, config: str, told, ones: list[Balancer]) -> None:  # type: ignore[no-untyped-def]
    async def run(*words: str) -> Result:
        return await asyncio.to_thread(call, *words)

    status = await run("agreement", "status", file)
    assert status.exit_code == 0 and "one leads in epoch" in status.stdout, status.output
    assert status.stdout.count(" granted ") == 2 and "in force" in status.stdout
    page = json.loads((await run("agreement", "status", file, "--json")).stdout)
    assert [one["name"] for one in page["followers"]] == ["b0", "b1"] and page["leads"]
    assert all(one["acknowledged"] == page["force"] and one["since_s"] > 0 for one in page["followers"])

    shown = json.loads((await run("versions", "show", file, "--json")).stdout)
    assert shown["version"] == page["force"] and [n["node"] for n in shown["clusters"]["grid"]] == [
        "n0",
        "n1",
        "n2",
        "n3",
    ]
    assert "tenants.1.quota_per_s" in (await run("versions", "show", file)).stdout

    done = await run("versions", "propose", file, config, "--why", "less for cesty-vychod")
    assert done.exit_code == 0 and done.stdout == "proposed\n", done.output
    again = await run("versions", "propose", file, config, "--why", "again", "--json")
    assert again.exit_code == 1 and json.loads(again.stdout) == {"done": False, "reason": "nothing changes"}
    path = "tenants.1.quota_per_s"
    await until(lambda: all(one.decider.bound.settings[path] == "60" for one in ones), "followed")
    await until(lambda: str(ones[0].decider.force).endswith(".2"), "in force")
    (row,) = json.loads((await run("versions", "diff", file, page["force"], "force", "--json")).stdout)
    assert (row["key"], row["before"], row["after"], row["kind"]) == (path, "78.0", "60", "narrows")
    assert "narrows" in (await run("versions", "diff", file, page["force"], "force")).stdout
    assert "the same" in (await run("versions", "diff", file, "force", "force")).stdout

    told.tell(n1={"lifecycle": "removed"}, n2={"lifecycle": "removed"}, n3={"lifecycle": "removed"})
    lines: list[dict[str, object]] = []
    while not lines or lines[-1]["word"] != "declined":
        lines = json.loads((await run("versions", "history", file, "--json")).stdout)
    assert [line["word"] for line in lines if line["word"] != "leading"] == [
        "prepared",
        "in force",
        "prepared",
        "in force",
        "declined",
    ]
    assert "capacity_gone" in str(lines[-1]["text"]) and lines[-1]["kept"]
    number = str(lines[-1]["line"])
    assert f"#{number}*" in (await run("versions", "history", file)).stdout
    assert (
        len(
            json.loads((await run("versions", "show", file, f"#{number}", "--json")).stdout)["clusters"][
                "grid"
            ]
        )
        == 1
    )
    done = await run("versions", "accept", file, number, "--why", "the hall is mended")
    assert done.exit_code == 0 and f"line {number}" in done.stdout, done.output
    await until(lambda: all(len(one.lifecycles()) == 1 for one in ones), "the accepted list is followed")

    bad = await run("versions", "show", file, "9.9")
    assert bad.exit_code == 1 and "is no version here" in bad.stderr
    bad = await run("versions", "accept", file, "9999", "--why", "x")
    assert bad.exit_code == 1 and "holds no version" in bad.stderr
    bad = await run("versions", "propose", file, file, "--why", "x")
    assert bad.exit_code == 1 and file in bad.stderr
    done = await run("agreement", "exclude", file, "b1", "--why", "it is mended")
    assert done.exit_code == 0, done.output
    await until(lambda: ones[1].standing is Standing.LAPSED, "without a lease")
    status = await run("agreement", "status", file)
    assert status.exit_code == 1 and " excluded " in status.stdout
    assert (await run("agreement", "include", file, "b1", "--why", "back", "--json")).exit_code == 0


def test_every_command_says_what_is_so_and_does_what_it_says(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(play(tmp_path), 6 * PATIENCE_S))


def test_without_agreement_in_the_file_or_without_the_store_a_command_says_so(tmp_path: Path) -> None:
    file = tmp_path / "control.toml"
    file.write_text('discovery = "h:1"\n')
    result = call("versions", "history", str(file))
    assert result.exit_code == 1 and "has no [agreement]" in result.stderr
    file.write_text('discovery = "h:1"\n[agreement]\nstore = ["127.0.0.1:1"]\nstore_call_s = 0.2\n')
    for words in (("versions", "history"), ("versions", "show"), ("agreement", "status")):
        result = call(*words, str(file))
        assert result.exit_code == 1 and "127.0.0.1:1: Range" in result.stderr, result.output


async def unheard(folder: Path) -> None:
    nodes = {f"n{i}": {"hostPort": f"{HOST}:{9_000 + i}"} for i in range(4)}
    async with StandIn() as store, platform(**nodes) as told:
        file, _ = files(folder, told.port, store.address)
        client = Etcd((store.address,), 1.0)
        await client.put(b"/roadlb/roll", write_roll(("b0", "silent")))  # a leader was there before
        service = Service(read(file))
        await service.start()
        one = Balancer("b0", service.office.timing, service.port)
        try:
            await until(lambda: one.standing is Standing.GRANTED, "one is heard")
            status = await asyncio.to_thread(call, "agreement", "status", file)
            rows = {row.split()[0]: row.split()[1] for row in status.stdout.splitlines() if row.split()[1:]}
            assert (rows["b0"], rows["silent"], status.exit_code) == ("granted", "unheard", 1), status.output
        finally:
            await one.end()
            await service.stop()
            await client.close()


def test_status_shows_who_is_on_the_roll_and_has_not_been_heard(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(unheard(tmp_path), 4 * PATIENCE_S))
