"""The `roadlb` command: what it says, where, and with which exit code."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from types import ModuleType, SimpleNamespace
from typing import Any

import pytest
from click.testing import CliRunner, Result

from roadlb.cli import main
from roadlb.cli.commands import roadlb
from roadlb.lab.incident import Incident, rules_of
from roadlb.lab.judge import Judge
from roadlb.lab.wire import ClientSent, Note, WireLog

ROOT = Path(__file__).parents[2]
INCIDENTS = sorted(map(str, (ROOT / "examples" / "incidents").glob("*.toml")))
CALM = str(ROOT / "examples" / "incidents" / "calm.toml")


def call(*arguments: str, env: dict[str, str] | None = None) -> Result:
    return CliRunner().invoke(roadlb, arguments, env=env)


def rehearse(incident: Incident, seed: int, world: str) -> Any:
    """One request, which is lost if the seed is odd; in the real world no run is like another."""
    log, rules = WireLog(), rules_of(incident)
    judge = Judge(rules)
    log.listen(judge.see)
    log.write(Note(0, f"seed {seed}"))
    if world == "real":
        log.write(Note(id(log), "now"))
    if seed % 2:
        log.write(ClientSent(1, "r1", 1, 0, "c", "b", "order", "energia-sever", "k", 100_000, 1))
    figures = {"faults": ["balancer-1: ended with 3"] if seed == 4 else []}
    return SimpleNamespace(log=log, verdict=judge.verdict(10_000_000), origin_us=None, figures=figures)


def give(monkeypatch: pytest.MonkeyPatch, name: str, **functions: Any) -> None:
    """Let a module of the lab have these functions."""
    module = ModuleType(name)
    vars(module).update(functions)
    monkeypatch.setitem(sys.modules, name, module)


def test_help_names_every_command() -> None:
    for arguments, commands in (
        ((), "lab config"),
        (("lab",), "run check show load grid"),
        (("config",), "check"),
    ):
        result = call(*arguments, "-h")
        assert result.exit_code == 0 and all(f"\n  {word}  " in result.output for word in commands.split())


def test_check_takes_all_examples_and_names_each_problem(tmp_path: Path) -> None:
    assert call("lab", "check", *INCIDENTS).exit_code == 0
    bad = tmp_path / "bad.toml"
    bad.write_text('title = "t"\nnodes = 3\n[[step]]\ndo = "deplyo"\nat_s = 1\n')
    result = call("lab", "check", CALM, str(bad), str(tmp_path / "none.toml"))
    assert result.exit_code == 1 and result.stdout == f"{CALM}: sound, 0 steps in 40 s\n"
    assert result.stderr.splitlines() == [
        f"{bad}:2: nodes: is no key here; {result.stderr.splitlines()[0].partition('; ')[2]}",
        f"{bad}:4: step[1].do: 'deplyo' is no kind of step; did you mean 'deploy'?",
        f"{tmp_path / 'none.toml'}:1: cannot be read: No such file or directory",
    ]


def test_show_explains_an_incident_and_fails_on_a_faulty_one(tmp_path: Path) -> None:
    result = call("lab", "show", CALM)
    assert result.exit_code == 0 and result.stdout.startswith("calm: A calm night at half load\n")
    (tmp_path / "x.toml").write_text("")
    result = call("lab", "show", str(tmp_path / "x.toml"))
    assert (result.exit_code, result.stdout) == (1, "") and "title is missing" in result.stderr


def test_run_reports_and_its_exit_code_tells_whether_rules_were_kept(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    give(monkeypatch, "roadlb.lab.run", rehearse=rehearse)
    page, machine, pictures = tmp_path / "r.html", tmp_path / "r.json", tmp_path / "png"
    result = call(
        "lab", "run", CALM, "--seed", "2", "--html", str(page), "--json", str(machine), "--png", str(pictures)
    )
    assert result.exit_code == 0 and "all rules kept" in result.stdout
    assert json.loads(machine.read_text())["seed"] == 2 and "seed 2" in page.read_text()
    assert len(list(pictures.iterdir())) == 4
    result = call("lab", "run", CALM, "--seed", "3", "--json", "-")
    assert result.exit_code == 1 and json.loads(result.stdout)["broken"] == {"lost": 1}
    assert "lost, 1 times" in result.stderr


def test_run_fails_where_the_program_has_logged_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    give(monkeypatch, "roadlb.lab.run", rehearse=rehearse)
    result = call("lab", "run", CALM, "--seed", "4", "--json", "-")
    assert result.exit_code == 1 and "the program said: balancer-1: ended with 3" in result.stderr
    assert json.loads(result.stdout)["run"]["faults"]


def test_run_compares_what_must_be_alike_in_each_world(monkeypatch: pytest.MonkeyPatch) -> None:
    give(monkeypatch, "roadlb.lab.run", rehearse=rehearse)
    for world in ("sim", "real"):
        result = call("lab", "run", CALM, "--seed", "2", "--times", "3", "--world", world)
        assert result.exit_code == 0 and "3 runs, which agree" in result.stderr
    give(monkeypatch, "roadlb.lab.run", rehearse=lambda incident, seed, world: rehearse(incident, 2, "real"))
    result = call("lab", "run", CALM, "--times", "2")
    assert result.exit_code == 1 and "2 runs, which differ" in result.stderr


def test_load_makes_stairs_of_rates(monkeypatch: pytest.MonkeyPatch) -> None:
    asked: list[Any] = []

    async def load(
        url: str, traffic: Any, seconds: float, progress: Any, *, edges: Any, connections: int, seed: int
    ) -> Any:
        asked.append((url, [traffic.rate_at(s) for s in (0, 4.9, 5, 9.9)], seconds, edges, connections, seed))
        raise Ended("enough")

    class Ended(Exception):
        pass

    give(monkeypatch, "roadlb.lab.load", load=load, NotLoopback=Ended, NoAnswer=Ended)
    result = call("lab", "load", "http://127.0.0.1:1", "--rates", "100,200", "--seconds", "5", "--seed", "7")
    assert asked == [("http://127.0.0.1:1", [100, 100, 200, 200], 10.0, [5, 10], 300, 7)]
    assert (result.exit_code, result.stderr) == (1, "Error: enough\n")
    assert call("lab", "load", "http://x", "--rates", "1,x").exit_code == 2
    assert call("lab", "load", "http://x", "--rates", "-1").exit_code == 2


def test_grid_plays_a_file_or_a_calm_day(monkeypatch: pytest.MonkeyPatch) -> None:
    class NotReady(Exception):
        pass

    async def grid(incident: Incident, seed: int, say: Any, *, show: Any, **asked: Any) -> Any:
        if asked["balancers"] > 2:
            raise NotReady("balancer-1 does not serve")
        say(f"{incident.name} {seed} {' '.join(str(value) for value in asked.values())}")
        show("picture")
        return SimpleNamespace(violations={"crash": 1} if asked["traffic"] else {"lost": 1})

    give(monkeypatch, "roadlb.lab.grid", grid=grid, NotReady=NotReady, line=str, tables=str)
    assert call("lab", "grid").stdout == "grid 1 0 False None None\npicture\n"
    result = call(
        "lab",
        "grid",
        CALM,
        "--seed",
        "5",
        "--balancers",
        "2",
        "--traffic",
        "--config",
        "x.json",
        "--seconds",
        "3",
    )
    assert (result.stdout, result.exit_code) == ("calm 5 2 True x.json 3.0\npicture\n", 1)  # one crashed
    result = call("lab", "grid", "--balancers", "3")
    assert (result.stderr, result.exit_code) == ("Error: balancer-1 does not serve\n", 1)


def test_what_is_not_there_is_told_with_its_remedy(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(sys.modules, "roadlb.lab.load", None)
    result = call("lab", "load", "http://x")
    assert result.exit_code == 1 and "roadlb.lab.load is not there" in result.stderr
    monkeypatch.setitem(sys.modules, "roadlb.cli.commands", None)
    with pytest.raises(SystemExit, match=r"pip install 'roadlb\[lab\]'"):
        main.main()


@pytest.mark.parametrize(
    ("text", "says"),
    [('{"name": "n", "settings": {}}', "listen: is missing"), ("{", "is not JSON"), (None, "cannot be read")],
)
def test_config_check_names_the_problem(text: str | None, says: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    result = call("config", "check", str(path))
    assert result.exit_code == 1 and result.stderr.startswith(f"{path}: ") and says in result.stderr


def test_config_check_takes_the_example_and_the_environment() -> None:
    example = str(ROOT / "examples" / "config.json")
    result = call("config", "check", example, env={"PROXY_NAME": "n9"})
    assert result.exit_code == 0 and f"{example}: sound; n9 listens on " in result.stdout


def test_the_platforms_program_loads_nothing_of_the_lab() -> None:
    code = (
        "import sys, roadlb.app, roadlb.config, roadlb.log\n"
        "loaded = {name.partition('.')[0] for name in sys.modules}\n"
        "own = {name for name in sys.modules if name.startswith(('roadlb.lab', 'roadlb.cli'))}\n"
        "print(sorted(own | loaded & {'click', 'msgspec', 'rich', 'matplotlib', 'hdrh', 'numpy'}))"
    )
    told = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert told.stdout == "[]\n"
