"""Puts every folder of tests on the path: what tests share lies beside them and is imported by its name.

Those names must differ from each other; names of test files need not (import mode importlib).

Where tests run side by side (`pytest -n 4 --dist loadgroup`), a file stays with one worker, and files that
start six processes or more follow each other in two groups, begun first: eight cores bear two such rigs.
"""

import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
sys.path += sorted(str(folder) for folder in {HERE, *(path.parent for path in HERE.rglob("*.py"))})

pytest_plugins = ["known_red", "program_faults"]

FLEETS = {  # where tests start many processes: the group in which they follow each other
    "sites/test_processes": "rigs of halls",
    "lab/run/test_run": "rigs of halls",
    "together/": "rigs of halls",
    "agreement_processes/": "rigs of followers",
    "shared_state/test_share_pro": "rigs of followers",
    "membership/test_processes": "rigs of followers",
}


def fleet(file: str) -> str | None:
    return next((group for start, group in FLEETS.items() if file.startswith(start)), None)


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if not config.pluginmanager.hasplugin("xdist"):
        return
    files = {item: item.path.relative_to(HERE).as_posix() for item in items}
    items.sort(key=lambda item: fleet(files[item]) is None)  # stable: the order is as collected
    for item, file in files.items():
        item.add_marker(pytest.mark.xdist_group(fleet(file) or file))
