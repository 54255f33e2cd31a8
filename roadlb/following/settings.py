"""Which settings of a version a running balancer can follow, and what is wrong with the others.

    key                          what is done while it runs
    each balancer's own          the version's is passed over: the file's holds
    tenants.*.quota_per_s        followed, as a part of the file's quota (`SharedStateUpdate.quota_factors`)
    instances                    followed, as the parts that quotas and cold servers' shares are divided by
    FOLLOWED, below              followed, as the module's settings (`policy.interface.SettingsChanged`)
    all others                   must be what this process runs with: a version that says otherwise is refused

What a version does not say is not agreed on: the file's holds.  So one that leaves out a key which grants,
and which the version before said, is refused: it would grant what the file says, to each balancer by itself.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..agreement.events import Contents
from ..agreement.rules import Floors, Unreadable, floor
from ..agreement.table import OWN, line_of
from ..config import ConfigError, Pairs, read_settings
from ..policy.interface import Settings, SharedStateUpdate

Texts = Mapping[str, str]
QUOTA = ".quota_per_s"
PLAN = "refusal.plan"

# By the table's key; with the least and the most of a number.  Of a deadline the way here and back takes
# 10 ms, and something must be left; a worth is multiplied, and must not become infinite.
MOST = 1e12
FOLLOWED: Mapping[str, tuple[float, float] | None] = {
    "classes.*.deadline_us": (20_000, 3.6e9),
    "classes.*.value": (0, MOST),
    "classes.*.effect": None,
    "classes.*.group": None,
    "classes.*.window_us": (0, MOST),
    "over_share_worth": (0, 1),
    "counted_by": None,
    PLAN: None,
    "domain.warm_keys": None,
    "costs.cross_zone": (0, MOST),
    "costs.handshake": (0, MOST),
    "limits.cancelling": None,
    "limits.second_copies": None,
    "limits.max_attempts": (1, 100),
    "limits.max_retry_after_us": (0, MOST),
    "invariants.cold_from": (0.001, 1),
    "invariants.cold_us": (0, MOST),
    "invariants.fall_multiple": (0.001, MOST),
    "invariants.fall_us": (1, MOST),
}
COUNTED_BY = ("request", "work")


def own(path: str) -> bool:
    line = line_of(path)
    return line is not None and line.reason == OWN


def followed(path: str) -> bool:
    """Can it change while requests are open?"""
    line = line_of(path)
    return line is not None and line.key in FOLLOWED


def out_of_range(path: str, text: str) -> str:
    """What is wrong with the value of a followed key by itself; empty if nothing is."""
    line = line_of(path)
    assert line is not None
    if line.key == "counted_by" and text not in COUNTED_BY:
        return f"{path}: {text!r} is none of {', '.join(COUNTED_BY)}"
    bounds = FOLLOWED[line.key]
    if bounds is None:
        return ""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if bounds[0] <= number <= bounds[1]:
        return ""
    return f"{path}: {text!r} must be a number from {bounds[0]:g} to {bounds[1]:g}"


class Running:
    """The settings that this process was started with, and what a version may make of them."""

    def __init__(self, file: Texts) -> None:
        """`file`: the module's settings by path, as `config.Pairs` has them."""
        self._file = file
        self._quotas = {
            path: float(text)
            for path, text in file.items()
            if path.startswith("tenants.") and path.endswith(QUOTA)
        }
        self._said: dict[str, str] = {}  # of followed keys, by the version in use
        self._made: tuple[dict[str, str], Settings] | None = None

    def bad(self, settings: Texts) -> str:
        """Why these settings could not be started with either; empty if they could."""
        told = {path: text for path, text in settings.items() if not own(path)}
        for path, text in told.items():
            if (
                followed(path)
                and not alike(text, self._file.get(path))
                and (said := out_of_range(path, text))
            ):
                return said
        try:
            read_settings(Pairs(_over(self._file, told), "settings"))
        except ConfigError as e:
            return str(e)
        return ""

    def bad_floors(self, floors: Floors) -> str:
        """Why the settings that hold when nothing is heard could not be; empty if they could."""
        try:
            return self.bad(floor(Contents(self._file), floors).settings)
        except Unreadable as e:
            return str(e)

    def fixed(self, settings: Texts) -> str:
        """Which key cannot be followed without a restart; empty if all can."""
        for path, text in settings.items():
            if own(path) or path == "instances" or followed(path) or alike(text, self._file.get(path)):
                continue
            held = self._file.get(path)
            if path in self._quotas:
                if self._quotas[path] > 0 or float(text) == 0:
                    continue
            return (
                f"{path}: {text!r}, while this balancer runs with {held!r}, which it cannot change "
                "before a restart: restart all with a file that says so, then propose it"
            )
        for path, held in self._said.items():
            line = line_of(path)
            if path not in settings and line is not None and not line.free:
                return (
                    f"{path}: is left out, after a version that says {held!r}: the file of each balancer "
                    "would count again; say what is to hold"
                )
        return ""

    def rules(self, settings: Texts) -> Settings:
        """The module's settings with what a version makes of those that can be followed."""
        said = {path: text for path, text in settings.items() if followed(path)}
        if self._made is None or self._made[0] != said:
            self._made = said, read_settings(Pairs(_over(self._file, said), "settings"))
        self._said = said
        return self._made[1]

    def differ(self, before: Texts, after: Texts) -> list[str]:
        """Followed keys that hold another value after than before, with that value."""
        a, b = (
            _over(self._file, {path: text for path, text in texts.items() if followed(path)})
            for texts in (before, after)
        )
        return [f"{path}={b.get(path, '')}" for path in dict.fromkeys((*a, *b)) if a.get(path) != b.get(path)]

    def heard(self, settings: Texts, twins: int) -> SharedStateUpdate:
        """What of them the module is to be told; `twins`: processes that are one balancer."""
        instances = int(float(settings.get("instances", self._file.get("instances", "1"))))
        parts = max(1, instances) * twins
        wholes = {}
        for path, quota in self._quotas.items():
            told = float(settings.get(path, quota))
            if told != quota:
                wholes[int(path.split(".")[1])] = told / quota if quota else 0.0
        return SharedStateUpdate(process_count=parts, quota_factors=wholes)


def _over(file: Texts, told: Texts) -> dict[str, str]:
    """The file's, with what is told over it; a plan of refusals is one thing."""
    if any(path.startswith(PLAN) for path in told):
        file = {path: text for path, text in file.items() if not path.startswith(PLAN)}
    return {**file, **told}


def alike(a: str, b: str | None) -> bool:
    """The same text, or the same number written in another way."""
    if a == b:
        return True
    try:
        return b is not None and float(a) == float(b)
    except ValueError:
        return False
