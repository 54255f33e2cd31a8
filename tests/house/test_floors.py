"""The import contract in pyproject.toml catches what it should, also in parts that do not exist yet."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LINT = "from importlinter.cli import lint_imports_command; lint_imports_command()"
PLANNED = (
    "cli/__init__",
    "cli/control",
    "lab/__init__",
    "xds/__init__",
    "xds/client",
    "overload/__init__",
    "overload/controller",
    "overload/readings",
    "control/__init__",
    "control/plan",
    "control/service",
    "routing/__init__",
    "fleet/__init__",
)
EXISTING = tuple(
    path.stem if path.suffix else f"{path.name}/__init__"
    for path in (ROOT / "roadlb").iterdir()
    if path.suffix == ".py" or (path / "__init__.py").exists()
)


def lint(tmp_path: Path, imports: dict[str, str]) -> tuple[int, str]:
    """Check a house of empty modules, today's and planned ones, of which some hold a line of imports."""
    for module in {*EXISTING, *PLANNED, *imports}:
        path = tmp_path / "roadlb" / f"{module}.py"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(imports.get(module, "") + "\n")
    done = subprocess.run(
        [sys.executable, "-c", LINT, "--no-logo", "--no-cache", str(ROOT / "pyproject.toml")],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


def test_what_goes_down_is_let_through(tmp_path: Path) -> None:
    code, said = lint(
        tmp_path,
        {
            "cli/control": "import roadlb.lab, roadlb.control.service",
            "lab/__init__": "import roadlb.app",
            "control/service": "import asyncio, roadlb.xds.client, roadlb.control.plan",
            "control/plan": "import roadlb.policy.logic, random",
            "overload/readings": "import time, os",
            "net/__init__": "import roadlb.engine, asyncio",
        },
    )
    assert code == 0 and "0 broken" in said, said


@pytest.mark.parametrize(
    "module, line, said",
    [
        ("engine", "import roadlb.net", "roadlb.engine is not allowed to import roadlb.net"),
        ("net/__init__", "import roadlb.xds", "roadlb.net is not allowed to import roadlb.xds"),
        ("app", "import roadlb.lab", "roadlb.app is not allowed to import roadlb.lab"),
        (
            "control/service",
            "import roadlb.lab",
            "roadlb.control.service is not allowed to import roadlb.lab",
        ),
        ("policy/logic", "from time import monotonic", "roadlb.policy.logic -> time"),
        ("policy/logic", "def late():\n    import roadlb.counters", "roadlb.counters -> logging"),
        ("control/plan", "import roadlb.control.service", "roadlb.control.plan -> roadlb.control.service"),
        ("net/__init__", "import roadlb.control.service", "roadlb.net -> roadlb.control.service"),
        (
            "overload/controller",
            "import roadlb.overload.readings",
            "overload.controller -> roadlb.overload.readings",
        ),
        ("xds/__init__", "import roadlb.net", "roadlb.xds is not allowed to import roadlb.net"),
        (
            "routing/index",
            "import roadlb.policy.state",
            "roadlb.routing is not allowed to import roadlb.policy",
        ),
        ("routing/index", "import socket", "roadlb.routing.index -> socket"),
        ("attic", "", "- roadlb.attic"),
    ],
)
def test_what_goes_up_round_or_out_is_caught(tmp_path: Path, module: str, line: str, said: str) -> None:
    code, output = lint(
        tmp_path,
        {
            "counters": "import logging",
            "control/service": "import asyncio",
            "overload/readings": "import time",
            module: line,
        },
    )
    assert code == 1 and said in " ".join(output.split()), output
