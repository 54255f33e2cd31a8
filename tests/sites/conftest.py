"""One deployment for the scenarios of all files here: six processes take 2 to 3 s to start beside others."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from six import Six


@pytest.fixture(scope="session")
def six() -> Iterator[Six]:
    all_of_them = Six()
    yield all_of_them
    all_of_them.end()
