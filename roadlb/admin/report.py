"""The balancer's figures as operators fetch them: a line each, `edge_proxy.NAME:VALUE|c` or `|g`.

`c` marks counts since the process began, `g` what holds now.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "edge_proxy"
ANSWERS = ("answered", "deferred", "errored")  # served, refused, failed


def report(counts: Mapping[str, int], classes: Iterable[str], gauges: Mapping[str, int]) -> str:
    """`counts` by the counters' own names; each class has its three lines from the start."""
    names = [f"{what}.{name}" for name in classes for what in ANSWERS] + ["sends"]
    lines = [f"{PREFIX}.{name}:{counts.get(name, 0)}|c" for name in names]
    lines += [f"{PREFIX}.{name}:{value}|g" for name, value in gauges.items()]
    return "\n".join(lines) + "\n"
