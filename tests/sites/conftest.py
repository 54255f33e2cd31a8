"""One deployment for the scenarios of all files: six processes take 2 to 3 s to start on a busy machine."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from shared_deployment import SharedDeployment


@pytest.fixture(scope="session")
def deployment() -> Iterator[SharedDeployment]:
    shared = SharedDeployment()
    yield shared
    shared.stop()
