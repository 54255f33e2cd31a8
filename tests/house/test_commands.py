"""README's two commands: they do their own set-up, install what the checks use, and end as they should."""

from __future__ import annotations

import ast
import itertools
import os
import re
import shutil
import signal
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request
from collections.abc import Iterator
from importlib import metadata
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).parents[2]
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
STATIC = ["ruff format --check .", "ruff check .", "mypy", "lint-imports --no-logo"]
BUILD = "python setup.py -q build --build-lib .venv-dev/compiled --build-temp .venv-dev/temp"
TESTS = [
    "python -P -m pytest -q -m not interpreted tests/net tests/engine tests/policy",
    "pytest -q -n 4 --dist loadgroup --no-loadscope-reorder",
]
FIRST, LATER = [*STATIC, BUILD, *TESTS], [*STATIC, *TESTS]
STUB = """#!/bin/sh
# Stands in for Python and for the tools: notes what it was asked for, fails where a file FAIL-name is.
case "$*" in *sys.version_info*) test ! -e FAIL-version; exit;; -V) exit;; esac
echo "${0##*/} $*" >> notes
case "$*" in *"-m venv"*) mkdir -p .venv-dev/bin
    for name in python ruff mypy lint-imports pytest roadlb; do cp "$0" .venv-dev/bin/$name; done;;
    "setup.py "*) mkdir -p .venv-dev/compiled;; esac
test ! -e "FAIL-${0##*/}"
"""
MADE = ["python3 -m venv .venv-dev", "python -m pip --disable-pip-version-check install -e .[dev]"]


def commands() -> dict[str, str]:
    return dict(re.findall(r"<!-- (\w+) command -->\n```sh\n(.*?)\n```", (ROOT / "README.md").read_text()))


def test_readme_names_both_commands_and_ci_runs_the_second() -> None:
    assert commands() == {"run": "./dev run", "test": "./dev check"}
    asked = subprocess.run(["./dev"], cwd=ROOT, capture_output=True, text=True, check=False)
    assert asked.returncode == 2 and all(command in asked.stdout for command in commands().values())
    assert "<!-- test command -->" in (ROOT / ".ci" / "run").read_text()


class Checkout:
    """A directory with `dev`, a pyproject and a stub of Python; `check` says what was run for it."""

    def __init__(self, at: Path) -> None:
        self.at = at
        (at / "bin").mkdir(parents=True)
        (at / "bin" / "python3").write_text(STUB)
        (at / "bin" / "python3").chmod(0o755)
        shutil.copy(ROOT / "dev", at)
        (at / "pyproject.toml").write_text("[project]\n")
        (at / "roadlb").mkdir()
        (at / "setup.py").touch()

    def check(self, *arguments: str) -> tuple[int, list[str]]:
        return self.call("check", *arguments)

    def run(self, *arguments: str) -> tuple[int, list[str]]:
        return self.call("run", *arguments)

    def call(self, *arguments: str) -> tuple[int, list[str]]:
        (self.at / "notes").write_text("")
        path = f"{self.at / 'bin'}:{os.environ['PATH']}"
        done = subprocess.run(
            ["./dev", *arguments],
            cwd=self.at,
            timeout=60,
            check=False,
            env={"PATH": path},
            capture_output=True,
            text=True,
        )
        self.said = done.stdout + done.stderr
        return done.returncode, [line.strip() for line in (self.at / "notes").read_text().splitlines()]


def test_the_set_up_is_done_once_and_again_when_its_ground_has_changed(tmp_path: Path) -> None:
    here = Checkout(tmp_path / "here")
    (here.at / "FAIL-python").touch()
    assert here.check() == (1, MADE)  # the installation fails: half made
    (here.at / "FAIL-python").unlink()
    assert here.check() == (0, MADE + FIRST)  # made anew
    assert here.check("-k", "net") == (0, [*LATER[:-1], LATER[-1] + " -k net"])
    (here.at / "roadlb" / "more.py").write_text("a = 1\n")  # what is compiled has changed
    assert here.check() == (0, FIRST)
    (here.at / "pyproject.toml").write_text("[project]\nname = 'other'\n")
    assert here.check() == (0, MADE + FIRST)
    here.at = here.at.rename(tmp_path / "there")  # environments hold absolute paths
    assert here.check() == (0, MADE + FIRST)


def test_the_first_check_that_fails_ends_them(tmp_path: Path) -> None:
    here = Checkout(tmp_path / "here")
    (here.at / "FAIL-mypy").touch()
    assert here.check() == (1, MADE + STATIC[:3])


def test_an_old_python_is_named_with_the_remedy(tmp_path: Path) -> None:
    here = Checkout(tmp_path / "here")
    (here.at / "FAIL-version").touch()
    for name in ("python3.11", "python3.12", "python3.13", "python3.14"):
        shutil.copy(here.at / "bin" / "python3", here.at / "bin" / name)
    assert here.check() == (1, []) and "Python 3.11" in here.said and "PYTHON=" in here.said


def installed() -> set[str]:
    """The distributions that `.[dev]` names, and what these need here."""
    asked, found = [Requirement(PROJECT["name"] + "[dev]")], set[str]()
    while asked:
        requirement = asked.pop()
        if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
            continue
        if (name := canonicalize_name(requirement.name)) == PROJECT["name"]:
            needs = PROJECT["dependencies"] + [
                need for extra in requirement.extras for need in PROJECT["optional-dependencies"][extra]
            ]
        else:
            needs = [] if name in found else metadata.requires(name) or []
            found.add(name)
        asked += map(Requirement, needs)
    return found


def imported(paths: Iterator[Path]) -> set[str]:
    """The top-level packages of others that these files import."""
    found = set()
    for path in paths:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                found |= {alias.name.partition(".")[0] for alias in node.names}
            elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
                found.add(node.module.partition(".")[0])
    own = {path.stem for folder in ("tests", "examples") for path in (ROOT / folder).rglob("*.py")}
    return found - sys.stdlib_module_names - own - {"roadlb"}


def test_the_set_up_installs_all_that_the_checks_run_and_import() -> None:
    pinned, homes = installed(), metadata.packages_distributions()
    scripts = {
        script.name: script.dist.name
        for script in metadata.entry_points(group="console_scripts")
        if script.dist
    }
    for tool in (line.split()[0] for line in [*STATIC, TESTS[-1]]):
        assert scripts.get(tool, tool) in pinned, tool
    folders = (ROOT / folder for folder in ("roadlb", "tests", "examples"))
    packages = imported(path for folder in folders for path in folder.rglob("*.py"))
    assert not {
        package
        for package in packages
        if not any(canonicalize_name(home) in pinned for home in homes.get(package, ()))
    }


def test_run_starts_the_grid_with_balancers_and_traffic_and_finds_an_incident_by_name(tmp_path: Path) -> None:
    here = Checkout(tmp_path)
    (tmp_path / "examples" / "incidents").mkdir(parents=True)
    (tmp_path / "examples" / "incidents" / "shrink.toml").touch()
    wanted = "roadlb lab grid --balancers 3 --traffic"
    assert here.run() == (0, [*MADE, wanted])
    assert here.run("shrink", "--seed", "2") == (0, [f"{wanted} examples/incidents/shrink.toml --seed 2"])
    assert here.run("own.toml") == (0, [f"{wanted} own.toml"])


def ask(url: str, headers: dict[str, str], until_s: float = 60) -> None:
    """Ask until it is served; one that is refused, as on a busy machine, is asked again under the next id.

    An id has 16 hexadecimal digits, as the printed line's; a server of the lab refuses any other form.
    """
    end, first_id = time.monotonic() + until_s, int(headers["X-Correlation-Id"], 16)
    for number in itertools.count(first_id):
        id = f"{number:016x}"
        request = urllib.request.Request(url, headers={**headers, "X-Correlation-Id": id})
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                assert answer.status == 200
                assert answer.read().decode().startswith(id)
                return
        except urllib.error.HTTPError as e:
            assert e.code == 503 and e.headers["Retry-After"] and time.monotonic() < end, (e.code, e.headers)
            time.sleep(0.2)


def test_two_grids_at_once_serve_and_end_with_ctrl_c_and_with_sigterm() -> None:
    """As `./dev run` starts them, on a pipe; the printed curl line is asked as a shell reads it."""
    command = [sys.executable, "-m", "roadlb.cli.main", "lab", "grid", "--balancers", "2", "--traffic"]
    grids = [
        subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        for _ in range(2)
    ]
    for grid in grids:
        assert grid.stdout
        while not (line := grid.stdout.readline()).startswith("ask it"):
            assert line or grid.poll() is None, "ended before it served"
        shell = f"printf '%s\\n' {line.removeprefix('ask it').strip()}"
        words = subprocess.run(
            ["sh", "-c", shell], check=True, capture_output=True, text=True
        ).stdout.splitlines()
        assert words[0] == "curl"
        headers = dict(words[i + 1].split(": ") for i, word in enumerate(words) if word == "-H")
        assert re.fullmatch(r"[0-9a-f]{16}", headers["X-Correlation-Id"])
        ask(words[-1], headers)
        while not (found := re.search(r" served (\d+) ", line := grid.stdout.readline())):
            assert line or grid.poll() is None, "ended before its first line of figures"
        assert int(found[1]) > 0 and "smuggled" not in line
    for grid, number in zip(grids, (signal.SIGINT, signal.SIGTERM), strict=True):
        grid.send_signal(number)
    for grid in grids:
        _, errors = grid.communicate(timeout=60)
        assert (grid.returncode, errors) == (0, "")
