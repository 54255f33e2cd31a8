"""The example in README.md runs."""

import re
from pathlib import Path

import pytest


def test_example(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parents[2] / "README.md").read_text()
    found = re.search(r"<!-- example -->\n```python\n(.*?)```", text, re.S)
    assert found
    exec(compile(found[1], "README.md", "exec"), {})
    assert re.fullmatch(r"request 7 goes to server-[ab]\n", capsys.readouterr().out)
