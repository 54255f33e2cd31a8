"""The key `agreement`: how a balancer follows versions from control services."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .address import Address, read_address
from .errors import ConfigError


TIMES = "contradiction_s", "lease_s", "renew_s", "margin_s"
KEYS = "control", "store", *TIMES, "cluster", "guard", "floors"
MARGIN_S = 0.5  # by default


@dataclass(frozen=True, slots=True)
class Agreement:
    """How this balancer follows versions from control services; see docs/operating/following.md.

    `settings` are the module's, as the file says them by path.  Times are in seconds, None: what follows from
    the others.  `guard`: thresholds by name, for `fleet.guard.Thresholds`; `floors` by key, for the follower.
    """

    control: tuple[Address, ...]  # in order of preference
    store: str | None  # a directory; None: nothing outlives the process
    contradiction_s: float
    lease_s: float | None
    renew_s: float | None
    margin_s: float
    cluster: str
    guard: Mapping[str, float]
    floors: Mapping[str, str]
    settings: Mapping[str, str]


def read_agreement(raw: object, settings: Mapping[str, str]) -> Agreement:
    """The key `agreement`; what is not known in it is an error, as a misspelt bound would not be kept."""
    if not isinstance(raw, dict):
        raise ConfigError("agreement: must be an object")
    for key in raw:
        if key not in KEYS:
            raise ConfigError(f"agreement.{key}: is not known; there are {', '.join(KEYS)}")
    control = raw.get("control")
    if not isinstance(control, list) or not control:
        raise ConfigError("agreement.control: must be a list of host:port, the most preferred first")
    times = _read_times(raw)
    guard, floors = _read_table(raw, "guard"), _read_table(raw, "floors")
    for name, value in guard.items():
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ConfigError(f"agreement.guard.{name}: {value!r} must be a number")
    store, cluster = _read_store(raw), _read_cluster(raw)
    return Agreement(
        tuple(read_address(f"agreement.control.{i}", at) for i, at in enumerate(control)),
        store,
        times["contradiction_s"],
        times.get("lease_s"),
        times.get("renew_s"),
        times.get("margin_s", MARGIN_S),
        cluster,
        {name: float(str(value)) for name, value in guard.items()},
        {name: str(value) for name, value in floors.items()},
        settings,
    )


def _read_times(raw: Mapping[str, object]) -> dict[str, float]:
    """The times that are given, by key, in seconds."""
    if raw.get("contradiction_s") is None:
        raise ConfigError(
            "agreement.contradiction_s: is missing; the longest that two balancers may act on "
            "rules that contradict each other, in seconds"
        )
    return {key: _seconds(key, raw[key]) for key in TIMES if raw.get(key) is not None}


def _seconds(key: str, value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 86_400:
        raise ConfigError(f"agreement.{key}: {value!r} must lie between 0 and 86400 seconds")
    return float(value)


def _read_table(raw: Mapping[str, object], key: str) -> dict[str, object]:
    table = raw.get(key) or {}
    if not isinstance(table, dict):
        raise ConfigError(f"agreement.{key}: must be an object")
    return table


def _read_store(raw: Mapping[str, object]) -> str | None:
    store = raw.get("store")
    if store is not None and (not isinstance(store, str) or not store):
        raise ConfigError(f"agreement.store: {store!r} must be the path of a directory")
    return store


def _read_cluster(raw: Mapping[str, object]) -> str:
    cluster = raw.get("cluster", "grid")
    if not isinstance(cluster, str) or not cluster:
        raise ConfigError(f"agreement.cluster: {cluster!r} must be a name")
    return cluster
