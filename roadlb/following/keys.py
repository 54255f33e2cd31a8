"""The key `agreement` as the deciders take it; what cannot be is said by its path, before a start."""

from __future__ import annotations

from ..agreement.lease import Timing, TimingError, timing_for
from ..config import Agreement, ConfigError
from ..fleet.guard import Thresholds


def timing_of(told: Agreement) -> Timing:
    """ConfigError where the stated bound cannot be kept."""
    try:
        return timing_for(told.contradiction_s, told.lease_s, told.renew_s, told.margin_s)
    except TimingError as e:
        raise ConfigError(str(e)) from None


def thresholds_of(told: Agreement) -> Thresholds:
    """`agreement.guard`: hall_least, machine_least, capacity_at_once, capacity_in_window, window_s."""
    values = dict(told.guard)
    given: dict[str, float | int] = {}
    if "window_s" in values:
        given["window_us"] = int(values.pop("window_s") * 1e6)
    for name in ("hall_least", "machine_least"):
        if name in values:
            given[name] = int(values.pop(name))
    for name in ("capacity_at_once", "capacity_in_window"):
        if name in values:
            given[name] = values.pop(name)
    for name in values:
        raise ConfigError(
            f"agreement.guard.{name}: is not known; there are hall_least, machine_least, "
            "capacity_at_once, capacity_in_window, window_s"
        )
    try:
        made = Thresholds(**given)  # type: ignore[arg-type]
        made.check()
    except ValueError as e:
        raise ConfigError(f"agreement.guard.{e}") from None
    return made
