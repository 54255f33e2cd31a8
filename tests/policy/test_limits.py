"""The policy's main module stays short enough to be ported by hand."""

from pathlib import Path

POLICY_MODULE = Path(__file__).parents[2] / "roadlb" / "policy" / "logic.py"


def test_the_policy_module_stays_short() -> None:
    lines = [line for line in POLICY_MODULE.read_text().splitlines() if line.strip()]
    assert len(lines) <= 500
    assert max(len(line) for line in lines) <= 110


def test_the_policy_module_names_its_interface_in_its_first_line() -> None:
    assert "roadlb/policy/interface.py" in POLICY_MODULE.read_text().splitlines()[0]
