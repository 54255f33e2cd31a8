"""Whether a version may replace the one in force: named checks with thresholds, and texts for a person.

    check                on what                  refused when                                    meant?
    generation_back      list, step               its number is below that of the one in force    no
    any grave finding    list by itself           the one in force does not have it already       yes
    cluster_gone         step                     it had endpoints                                yes
    cluster_emptied      step                     always                                          yes
    hall_emptied         step                     it had `hall_least` open endpoints or more      yes
    machine_vanished     step                     `machine_least` or more                         yes
    capacity_gone        step                     `capacity_at_once` of the open weight or more   yes
    capacity_drained     the window               `capacity_in_window` of the fullest list or     yes
                                                  more, in however many steps
    start_back           step                     always                                          yes
    reopened             step, drains told        always                                          yes
    settings_bad         settings by themselves   they cannot be read, or are out of range        no
    settings_fixed       settings                 this process cannot follow a key while it runs  no

*The one in force* is the last version that came into force here, since what is only prepared may be withdrawn
and must then be undone without a word.  A list that is older than `fresh` says (a store of last week) is no
measure of capacity and halls; starts and drains hold whatever their age.

*Meant*: an operator accepts one version by its exact id, and it passes once: told here (`Accept`), or in the
version itself.  What no word can mend stays refused: nobody can follow such a version.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TypeAlias

from .checks import Check, Finding, Severity, check_picture, named
from .model import Endpoint, NodeId, Picture
from .steps import check_step, up

Settings: TypeAlias = Mapping[str, str]
NO_SETTINGS: Settings = MappingProxyType({})

SAMPLES = 16  # lists kept of a window; they share what did not change
ACCEPTED_MOST = 16  # words of operators that wait for their version
TEXTS_MOST = 4  # findings told in one refusal; the others are counted

# Findings of `steps` that are no matter of a threshold.
ALWAYS = frozenset(
    {Check.GENERATION_BACK, Check.CLUSTER_GONE, Check.CLUSTER_EMPTIED, Check.START_BACK, Check.REOPENED}
)
OF_MEASURE = frozenset(
    {
        Check.CLUSTER_EMPTIED,
        Check.HALL_EMPTIED,
        Check.MACHINE_VANISHED,
        Check.CAPACITY_GONE,
        Check.CLUSTER_GONE,
    }
)


@dataclass(slots=True, frozen=True)
class Thresholds:
    """From where on a step is refused.  Shares are of the open weight, 0..1; a share above 1 never is."""

    hall_least: int = 2  # open endpoints of a hall that empties
    machine_least: int = 2  # and of a machine type
    capacity_at_once: float = 0.5
    capacity_in_window: float = 0.6
    window_us: int = 600_000_000

    def check(self) -> None:
        """Raise ValueError, naming the setting, where a value makes no sense."""
        for name, value, least in (
            ("hall_least", self.hall_least, 1),
            ("machine_least", self.machine_least, 1),
            ("capacity_at_once", self.capacity_at_once, 0.01),
            ("capacity_in_window", self.capacity_in_window, 0.01),
            ("window_us", self.window_us, 1),
        ):
            if not value >= least:
                raise ValueError(f"{name}: {value!r} must be at least {least}")


# Events


@dataclass(slots=True, frozen=True)
class Offer:
    """A version asks to be taken.  `id` is its exact name; `meant`: it carries an operator's word itself."""

    id: str
    picture: Picture
    settings: Settings = field(default_factory=lambda: NO_SETTINGS)
    meant: bool = False


@dataclass(slots=True, frozen=True)
class Took:
    """This is in force here from now on.  `fresh`: it is as new as its coming, not read from an old store."""

    picture: Picture
    fresh: bool = True


@dataclass(slots=True, frozen=True)
class Accept:
    """An operator's word: the version of this id is meant."""

    id: str


Event: TypeAlias = Offer | Took | Accept


# Actions


@dataclass(slots=True, frozen=True)
class Pass:
    """May be taken.  `overruled`: what would have been refused, had an operator not accepted it; `reopened`:
    nodes that were told drained and are open again, as was meant."""

    id: str
    overruled: tuple[str, ...] = ()
    reopened: tuple[NodeId, ...] = ()


@dataclass(slots=True, frozen=True)
class Refuse:
    """May not.  `checks` are names of checks, the gravest first; `text` says what to do."""

    id: str
    checks: tuple[str, ...]
    text: str


Action: TypeAlias = Pass | Refuse


@dataclass(slots=True, frozen=True)
class _Fault:
    check: str
    text: str
    final: bool = False  # no operator's word mends it
    nodes: tuple[NodeId, ...] = ()


class Guard:
    """`handle(now, event) -> actions`; only an `Offer` has an answer.

    `drained` says whether this start of a node was told drained; `settings_bad` and `settings_fixed` say what
    is wrong with settings, or nothing.  All three are looked at while an offer is judged.
    """

    def __init__(
        self,
        thresholds: Thresholds,
        drained: Callable[[str, int], bool],
        settings_bad: Callable[[Settings], str] = lambda _: "",
        settings_fixed: Callable[[Settings], str] = lambda _: "",
    ) -> None:
        thresholds.check()
        self._limits, self._drained = thresholds, drained
        self._settings_bad, self._settings_fixed = settings_bad, settings_fixed
        self._held: Picture | None = None
        self._fresh = False
        self._window: list[tuple[int, float, Picture]] = []  # when, open weight, list; the oldest first
        self._accepted: dict[str, None] = {}

    def handle(self, now: int, event: Event) -> list[Action]:
        match event:
            case Offer():
                return [self._judge(now, event)]
            case Took(picture, fresh):
                self._held, self._fresh = picture, fresh
                if fresh:
                    self._remember(now, picture)
            case Accept(id):
                self._accepted[id] = None
                while len(self._accepted) > ACCEPTED_MOST:
                    del self._accepted[next(iter(self._accepted))]
        return []

    def _judge(self, now: int, offer: Offer) -> Pass | Refuse:
        faults = [*self._of_settings(offer.settings), *self._of_list(now, offer.picture)]
        meant = offer.meant or offer.id in self._accepted
        left = [fault for fault in faults if fault.final or not meant]
        if left:
            return Refuse(offer.id, tuple(dict.fromkeys(fault.check for fault in left)), _text(left))
        self._accepted.pop(offer.id, None)
        reopened = tuple(
            node for fault in faults if fault.check == Check.REOPENED.value for node in fault.nodes
        )
        return Pass(offer.id, tuple(dict.fromkeys(fault.check for fault in faults)), reopened)

    def _of_settings(self, settings: Settings) -> Iterator[_Fault]:
        if text := self._settings_bad(settings):
            yield _Fault("settings_bad", text, final=True)
        elif text := self._settings_fixed(settings):
            yield _Fault("settings_fixed", text, final=True)

    def _of_list(self, now: int, new: Picture) -> Iterator[_Fault]:
        yield from self._of_itself(new)
        reopened = False
        if self._held is not None:
            for finding in check_step(self._held, new):
                if self._counts(finding):
                    reopened = reopened or finding.check is Check.REOPENED
                    yield _Fault(
                        finding.check.value,
                        finding.text,
                        finding.check is Check.GENERATION_BACK,
                        finding.nodes,
                    )
        if not reopened:
            yield from self._of_drains(new)
        yield from self._of_window(now, new)

    def _of_itself(self, new: Picture) -> Iterator[_Fault]:
        """Grave findings that the list in force does not have about the same nodes."""
        had = (
            {
                (f.check, f.cluster, frozenset(f.nodes))
                for f in check_picture(self._held)
                if f.severity is Severity.GRAVE
            }
            if self._held is not None
            else set()
        )
        for finding in check_picture(new):
            if (
                finding.severity is Severity.GRAVE
                and (finding.check, finding.cluster, frozenset(finding.nodes)) not in had
            ):
                yield _Fault(finding.check.value, finding.text, nodes=finding.nodes)

    def _counts(self, finding: Finding) -> bool:
        """Whether a finding on the step is beyond its threshold."""
        check, limits = finding.check, self._limits
        if not self._fresh and check in OF_MEASURE:
            return False
        if check is Check.CAPACITY_GONE:
            return finding.figure >= limits.capacity_at_once
        if check is Check.HALL_EMPTIED:
            return finding.figure >= limits.hall_least
        if check is Check.MACHINE_VANISHED:
            return finding.figure >= limits.machine_least
        return check in ALWAYS and finding.severity is Severity.GRAVE

    def _of_drains(self, new: Picture) -> Iterator[_Fault]:
        """Nodes told drained before the list in force: it may have left them out meanwhile."""
        for cluster in new.clusters.values():
            again = tuple(
                e.node for e in cluster.endpoints if up(e) and self._drained(e.node.name, e.node.started_ms)
            )
            if again:
                yield _Fault(
                    Check.REOPENED.value,
                    f"cluster {cluster.name!r}, {named(again)}: told drained, "
                    "now open again without a newer start",
                    nodes=again,
                )

    def _of_window(self, now: int, new: Picture) -> Iterator[_Fault]:
        """Capacity that has gone in however many steps, against the fullest list of the window."""
        since = now - self._limits.window_us
        self._window = [kept for kept in self._window if kept[0] >= since]
        if not self._window:
            return
        at, _, fullest = max(self._window, key=lambda kept: kept[1])
        if fullest is self._held:
            return  # the step itself, which has its own threshold
        for finding in check_step(fullest, new):
            if finding.check is Check.CAPACITY_GONE and finding.figure >= self._limits.capacity_in_window:
                yield _Fault(
                    "capacity_drained",
                    f"in {(now - at) / 60e6:.1f} minutes, in several steps: {finding.text}",
                    nodes=finding.nodes,
                )

    def _remember(self, now: int, picture: Picture) -> None:
        """The fullest list of each sixteenth of the window."""
        weight = sum(e.weight for c in picture.clusters.values() for e in c.endpoints if up(e) and _sane(e))
        slot = self._limits.window_us // SAMPLES + 1
        last = self._window[-1] if self._window else None
        if last is not None and last[0] // slot == now // slot:
            if weight < last[1]:
                return
            self._window.pop()
        self._window.append((now, weight, picture))
        del self._window[: -SAMPLES - 1]


def _sane(endpoint: Endpoint) -> bool:
    return 0 < endpoint.weight < float("inf")


def _text(faults: list[_Fault]) -> str:
    said = "; ".join(f"{fault.check}: {fault.text}" for fault in faults[:TEXTS_MOST])
    more = f"; and {len(faults) - TEXTS_MOST} more" if len(faults) > TEXTS_MOST else ""
    mend = "mend it" if any(fault.final for fault in faults) else "mend it, or accept this version as meant"
    return f"{said}{more}: {mend}"
