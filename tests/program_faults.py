"""Fails each test in which the program counts an exception of its own, though every answer was as expected.

A test that provokes one names the counters it expects: `@pytest.mark.counts_faults("fault.client")`.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from roadlb.counters import Counters

ALSO_A_FAULT = "execution.fault"


@pytest.fixture(autouse=True)
def only_expected_faults(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Compare the faults counted during the test with those that it names."""
    counted: set[str] = set()
    add = Counters.add

    def record(counters: Counters, name: str, count: int = 1) -> None:
        if count > 0 and (name.startswith("fault.") or name == ALSO_A_FAULT):
            counted.add(name)
        add(counters, name, count)

    monkeypatch.setattr(Counters, "add", record)
    yield
    marker = request.node.get_closest_marker("counts_faults")
    assert counted == set(marker.args if marker else ())
