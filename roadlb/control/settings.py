"""The control service's settings, as its TOML file has them; units are in the names.  No I/O.

`cli/control.py` reads the file; what cannot be seen key by key is checked by `faults`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from roadlb.agreement.lease import Timing, TimingError, timing_for
from roadlb.fleet.model import Place
from roadlb.fleet.platform import MalformedList, read_host_port
from roadlb.policy.interface import Effect, RequestClass
from roadlb.policy.interface import Settings as ModuleSettings

from .leading import sure_us
from .ramp import RampLimits

# The bound in each type is what msgspec checks.
Seconds = Annotated[float, Meta(gt=0, le=3_600)]
Milliseconds = Annotated[float, Meta(gt=0, le=3_600_000)]
Share = Annotated[float, Meta(gt=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Word = Annotated[str, Meta(min_length=1, max_length=200)]

EFFECTS = {"idempotent": Effect.SAFE, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}


class Section(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of the file: immutable, every key known."""


class ListenerSettings(Section, frozen=True, kw_only=True):
    """What clients ask for by name.  `address`: where an Envoy is to listen; without one it is told none."""

    name: Word
    address: str = ""


class ClassSettings(Section, frozen=True, kw_only=True):
    """Requests of one form, as the balancer's classes; the first that matches counts.

    `effect`: idempotent requests may run twice, the others not.
    """

    name: Word
    prefix: Annotated[str, Meta(pattern="^/")] = "/"
    method: str = ""
    effect: Literal["idempotent", "deduplicated", "at_most_once"] = "at_most_once"
    aim_ms: Milliseconds = 100.0
    deadline_ms: Milliseconds = 400.0


class RampSettings(Section, frozen=True, kw_only=True):
    """How cold a node may be: see `ramp.RampLimits`."""

    cold_from: Share = 0.12
    cold_s: Seconds = 23.0
    fall_multiple: Annotated[float, Meta(gt=0, le=100)] = 3.0
    fall_s: Seconds = 1.0

    def limits(self) -> RampLimits:
        return RampLimits(
            cold_from=self.cold_from,
            cold_us=round(self.cold_s * 1e6),
            fall_multiple=self.fall_multiple,
            fall_us=round(self.fall_s * 1e6),
        )


class AgreementSettings(Section, frozen=True, kw_only=True):
    """Versions on which balancers agree: see docs/operating/agreement.md.

    `store`: host:port of etcd's endpoints, in order of preference; `prefix`: this fleet's keys there.
    `contradiction_s`: no two balancers contradict each other for longer; lease, renewal and margin follow
    from it unless told, and are the same for all.  `seat_s`: the leader's own lease in the store.
    `settings`: a balancer's configuration, whose `settings` are proposed first, and when the file changes.
    `floors`: by key, what holds where nothing is heard.
    """

    store: Annotated[tuple[Word, ...], Meta(min_length=1, max_length=16)]
    prefix: Annotated[str, Meta(pattern="^/.+[^/]$", max_length=200)] = "/roadlb"
    name: str = ""
    contradiction_s: Seconds = 5.0
    lease_s: Seconds | None = None
    renew_s: Seconds | None = None
    margin_s: Seconds = 0.5
    seat_s: Annotated[int, Meta(ge=2, le=3_600)] = 5
    store_call_s: Seconds = 1.0
    settings: str = ""
    floors: dict[str, str] = {}

    def timing(self) -> Timing:
        """TimingError names the key."""
        return timing_for(self.contradiction_s, self.lease_s, self.renew_s, self.margin_s)


class Settings(Section, frozen=True, kw_only=True):
    """The whole file.

    `listen`: streams, load reports and health over gRPC.  `status`: plain HTTP for operators; empty: none.
    `stale_s`: how long a proxy that is cut off is taken to go on by its last view.
    """

    discovery: str
    listen: str = "127.0.0.1:18000"
    status: str = "127.0.0.1:18001"
    cluster: Word = "grid"
    connect_timeout_s: Seconds = 1.0
    attempts: Annotated[int, Meta(ge=1, le=10)] = 2
    load_report_s: Seconds = 1.0
    plan_gap_s: Seconds = 1.0
    stale_s: Seconds = 60.0
    subscribers_most: Count = 10_000
    admit_per_s: Annotated[float, Meta(ge=1, le=100_000)] = 1_500.0
    listeners: tuple[ListenerSettings, ...] = field(
        default=(ListenerSettings(name="grid-web"),), name="listener"
    )
    classes: tuple[ClassSettings, ...] = field(default=(ClassSettings(name="all"),), name="class")
    ramp: RampSettings = RampSettings()
    agreement: AgreementSettings | None = None

    def module(self) -> ModuleSettings:
        """The classes as the decision module has them."""
        return ModuleSettings(
            classes=[
                RequestClass(
                    c.name,
                    aim_us=round(c.aim_ms * 1000),
                    deadline_us=round(c.deadline_ms * 1000),
                    effect=EFFECTS[c.effect],
                )
                for c in self.classes
            ],
            max_attempts=self.attempts,
        )


def faults(settings: Settings) -> Iterator[tuple[tuple[str | int, ...], str]]:
    """What is wrong beyond the single keys: path and text."""
    for key, text in (
        ("discovery", settings.discovery),
        ("listen", settings.listen),
        ("status", settings.status or "none:0"),
    ):
        if fault := _address(key, text):
            yield (key,), fault
    if settings.agreement is not None:
        yield from _agreement_faults(settings.agreement)
    for i, one in enumerate(settings.listeners):
        if one.address and (fault := _address("address", one.address)):
            yield ("listener", i, "address"), fault
    for key, names in (
        ("listener", [one.name for one in settings.listeners]),
        ("class", [one.name for one in settings.classes]),
    ):
        for i, name in enumerate(names):
            if name in names[:i]:
                yield (key, i, "name"), f"{name!r} is there twice: give each its own name"
    for i, c in enumerate(settings.classes):
        if c.aim_ms > c.deadline_ms:
            yield (
                ("class", i, "aim_ms"),
                f"is {c.aim_ms:g}, and must be at most deadline_ms, which is {c.deadline_ms:g}",
            )
    if settings.classes and (settings.classes[-1].prefix, settings.classes[-1].method) != ("/", ""):
        last = len(settings.classes) - 1
        yield ("class", last), "the last class must take what no other does: leave out prefix and method"


def _agreement_faults(told: AgreementSettings) -> Iterator[tuple[tuple[str | int, ...], str]]:
    for i, endpoint in enumerate(told.store):
        if fault := _address("store", endpoint):
            yield ("agreement", "store"), f"entry {i}: {fault}"
    try:
        told.timing()
    except TimingError as e:
        key, _, text = str(e).partition(": ")
        yield tuple(key.split(".")), text
    margin_us = round(told.margin_s * 1e6)
    if sure_us(told.seat_s, margin_us) <= told.seat_s * 500_000:
        yield (
            ("agreement", "seat_s"),
            (
                f"{told.seat_s} s leave too little to renew in beside a margin of "
                f"{told.margin_s:g} s; raise it, or lower margin_s"
            ),
        )


def _address(key: str, text: str) -> str:
    try:
        read_host_port(text, key)
    except MalformedList as e:
        return str(e).removeprefix(f"{key}: ")
    return ""


def address(text: str) -> Place:
    """`host:port` of settings without faults."""
    return Place(*read_host_port(text, "address"))
