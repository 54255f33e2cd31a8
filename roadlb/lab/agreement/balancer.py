"""`python -m roadlb` as a process of a rehearsal, in which one fault can be planted.

python -m roadlb.lab.agreement.balancer [DEFECT]
"""

from __future__ import annotations

import runpy
import sys

from ...fleet.model import Cluster


def plant(defect: str) -> None:
    """ValueError for a defect that is none."""
    if defect == "deaf":  # what is prepared is acknowledged, and no change of it is told
        from ...following.lists import Lists
        from ...following.settings import Running

        take, heard, rules = Lists.take, Running.heard, Running.rules
        begun = set[int]()

        def first(self: Lists, cluster: Cluster, whole: bool = False) -> dict[str, object] | None:
            known = id(self) in begun
            begun.add(id(self))
            return None if known else take(self, cluster, whole)

        Lists.take = first  # type: ignore[method-assign]
        Running.heard = lambda self, settings, twins: heard(self, {}, twins)  # type: ignore[method-assign]
        Running.rules = lambda self, settings: rules(self, {})  # type: ignore[method-assign]
    elif defect:
        raise ValueError(f"{defect!r} is no defect here: deaf is")


if __name__ == "__main__":
    plant(sys.argv[1] if len(sys.argv) > 1 else "")
    sys.argv = ["roadlb"]
    runpy.run_module("roadlb", run_name="__main__")
