"""`[agreement]` of a control service's file: what is wrong with it is named; without it nothing is loaded."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from roadlb.cli.commands import roadlb
from roadlb.cli.control import read

EXAMPLE = Path(__file__).parents[2] / "examples" / "agreement.toml"


def test_the_example_is_sound_and_shows_the_defaults() -> None:
    told = read(str(EXAMPLE)).agreement
    assert told is not None and told.timing().gone_us <= 5_000_000
    assert (told.seat_s, told.margin_s, told.store_call_s, told.prefix) == (5, 0.5, 1.0, "/roadlb")


@pytest.mark.parametrize(
    "lines, said",
    [
        ("store = []", "agreement.store: "),
        ('store = ["here"]', "agreement.store: entry 0: 'here' must be host:port"),
        (
            'store = ["h:1"]\ncontradiction_s = 0.4',
            "agreement.contradiction_s: 0.4 leaves no time for a lease",
        ),
        (
            'store = ["h:1"]\ncontradiction_s = 3\nlease_s = 3',
            "agreement.contradiction_s: 3.0 cannot be kept by",
        ),
        ('store = ["h:1"]\nlease_s = 3\nrenew_s = 2', "agreement.renew_s: 2 is more than a third"),
        ('store = ["h:1"]\nseat_s = 2\nmargin_s = 1.5', "agreement.seat_s: 2 s leave too little"),
        ('store = ["h:1"]\nprefix = "a"', "agreement.prefix: "),
        ('store = ["h:1"]\nstroe = 1', "agreement.stroe: is no key here; did you mean 'store'?"),
    ],
)
def test_each_problem_is_named_with_its_key(tmp_path: Path, lines: str, said: str) -> None:
    file = tmp_path / "bad.toml"
    file.write_text(f'discovery = "h:1"\n[agreement]\n{lines}\n')
    result = CliRunner().invoke(roadlb, ["control", "check", str(file)])
    assert result.exit_code == 1 and f": {said}" in result.stderr, result.stderr


def test_a_service_without_it_loads_nothing_of_it() -> None:
    code = (
        "import sys; from roadlb.control.service import Service; from roadlb.control.settings import "
        "Settings; Service(Settings(discovery='h:1')); "
        "print([m for m in sys.modules if m.startswith(('roadlb.issuing', 'roadlb.etcd', 'pyetcd'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=120, check=True
    )
    assert done.stdout.strip() == "[]", done.stdout
