"""The module stays short enough to be ported by hand."""

from pathlib import Path

MODULE = Path(__file__).parents[2] / "roadlb" / "policy" / "logic.py"


def test_module_size() -> None:
    lines = [line for line in MODULE.read_text().splitlines() if line.strip()]
    assert len(lines) <= 500
    assert max(len(line) for line in lines) <= 110


def test_module_names_its_interface_at_the_top() -> None:
    assert "roadlb/policy/interface.py" in MODULE.read_text().splitlines()[0]
