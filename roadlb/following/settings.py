"""Which settings of a version a running balancer can follow, and what is wrong with the others.

    key                          what is done while it runs
    each balancer's own          the version's is passed over: the file's holds
    tenants.*.quota_per_s        followed, as a part of the file's quota (`policy.interface.Heard.wholes`)
    instances                    followed, as the parts that quotas and cold servers' shares are divided by
    all others                   must be what this process runs with: a version that says otherwise is refused
"""

from __future__ import annotations

from collections.abc import Mapping

from ..agreement.table import OWN, line_of
from ..config import ConfigError, Pairs, read_settings
from ..policy.interface import Heard

Texts = Mapping[str, str]
QUOTA = ".quota_per_s"


def own(path: str) -> bool:
    line = line_of(path)
    return line is not None and line.reason == OWN


class Running:
    """The settings that this process was started with, and what a version may make of them."""

    def __init__(self, file: Texts) -> None:
        """`file`: the module's settings by path, as `config.Pairs` has them."""
        self._file = file
        self._quotas = {path: float(text) for path, text in file.items()
                        if path.startswith("tenants.") and path.endswith(QUOTA)}

    def bad(self, settings: Texts) -> str:
        """Why these settings could not be started with either; empty if they could."""
        told = {path: text for path, text in settings.items() if not own(path)}
        try:
            read_settings(Pairs({**self._file, **told}, "settings"))
        except ConfigError as e:
            return str(e)
        return ""

    def fixed(self, settings: Texts) -> str:
        """Which key cannot be followed without a restart; empty if all can."""
        for path, text in settings.items():
            if own(path) or path == "instances" or alike(text, self._file.get(path)):
                continue
            held = self._file.get(path)
            if path in self._quotas:
                if self._quotas[path] > 0 or float(text) == 0:
                    continue
            return (f"{path}: {text!r}, while this balancer runs with {held!r}, which it cannot change "
                    "before a restart: restart all with a file that says so, then propose it")
        return ""

    def heard(self, settings: Texts, twins: int) -> Heard:
        """What of them the module is to be told; `twins`: processes that are one balancer."""
        instances = int(float(settings.get("instances", self._file.get("instances", "1"))))
        parts = max(1, instances) * twins
        wholes = {}
        for path, quota in self._quotas.items():
            told = float(settings.get(path, quota))
            if told != quota:
                wholes[int(path.split(".")[1])] = told / quota if quota else 0.0
        return Heard(parts=parts, wholes=wholes)


def alike(a: str, b: str | None) -> bool:
    """The same text, or the same number written in another way."""
    if a == b:
        return True
    try:
        return b is not None and float(a) == float(b)
    except ValueError:
        return False
