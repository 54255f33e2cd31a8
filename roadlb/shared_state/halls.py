"""What all balancers believe of a hall, from what each has met there itself.

A hall that is lost would be found out by each alone, with requests that wait for a dial or an answer which
never comes.  A balancer tells of each hall that it holds for lost, or doubts, since when, by own evidence; of
a hall that anybody does, when that last answered it; never what it has from others.  On these conditions a
hall is said to be silent:

    the accusers weigh ENOUGH more than those    two halls that accuse each other are heard by a third; and
    whom it has answered since, where who        the hall's own balancers say that it lives
    holds it for lost, or has heard it,
    weighs 2, and who is in doubt 1
    the accusers are of two halls at least       a link between two halls says nothing to a third
    each has had an answer from another hall     one that is cut off tells of itself
    since
    the hall has not answered this balancer      an own answer is worth more than any word
    since so many of them have lost it
    each has said so within HOLD_US              it ends with its age, or once they say something else

The word alone makes no hall lost: `sites.state_machine` sends trials only, and goes by what becomes of them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..sites.events import SiteView, State
from ..sites.state_machine import DOUBT_FAILURES
from .events import Key

HOLD_US = 6_000_000  # each tells eight members each half second: of 40, 6% are not heard for so long
LATELY_US = 3_000_000  # a hall that has answered within it lives
ENOUGH = 4  # two that hold it for lost, or four in doubt
MOST_HALLS = 16  # of one message
MOST_WITNESSES = 2_048


@dataclass(slots=True, frozen=True)
class HallSign:
    """What one witness has met in one hall; ages in microseconds, -1: never."""

    hall: Key
    weight: int  # 2: it holds it for lost; 1: it is in doubt; 0: neither
    since_us: int  # since it does
    heard_us: int  # since its last answer


@dataclass(slots=True)
class Claim:
    """The same in this balancer's own time."""

    weight: int
    since: int
    heard: int


@dataclass(slots=True)
class Witness:
    life: int
    number: int
    at: int
    hall: Key
    claims: dict[Key, Claim]


@dataclass(slots=True, frozen=True)
class Silent:
    """A hall that does not answer others: since when (clock time), and until when that counts."""

    since: int
    until: int
    accusers: tuple[str, ...]
    against: tuple[str, ...]  # whom it has answered since


class Halls:
    """One balancer's evidence of halls, and what it makes of others'."""

    __slots__ = ("_halls", "_own", "urgent", "witnesses")

    def __init__(self) -> None:
        self._own: dict[Key, SiteView] = {}
        self._halls: Mapping[int, Key] = {}
        self.urgent = False  # is there something that all should know at once?
        self.witnesses: dict[str, Witness] = {}

    def saw(self, now: int, sites: Iterable[SiteView], keys: Mapping[int, Key]) -> None:
        """What this balancer believes of all halls by now; `keys`: by number, what stands for them."""
        before, self._own = self._own, {keys[s.site]: s for s in sites}
        for key, site in self._own.items():
            was, now_is = weight(before[key]) if key in before else 0, weight(site)
            if was != now_is:
                others = sum(w.claims[key].weight for _, _, w in self._accusers(now, key))
                self.urgent |= others < 2 * ENOUGH if now_is > was else was > 1 or others >= ENOUGH

    def tell(self, now: int) -> tuple[HallSign, ...]:
        """What this balancer has to tell now: of halls that it, or anybody heard of late, accuses."""
        self.urgent = False
        answered = sum(0 <= now - s.last_answer_us < LATELY_US for s in self._own.values())
        accused = {
            key
            for w in self.witnesses.values()
            for key, c in w.claims.items()
            if c.weight and now - w.at < HOLD_US
        }
        signs = []
        for key, site in self._own.items():
            heard = now - site.last_answer_us if site.last_answer_us >= 0 else -1
            if weight(site) and answered:
                signs.append(HallSign(key, weight(site), now - site.since_us, heard))
            elif key in accused and 0 <= heard < LATELY_US:
                signs.append(HallSign(key, 0, -1, heard))
        return tuple(signs[:MOST_HALLS])

    def came(
        self, now: int, sender: str, life: int, number: int, hall: Key, signs: Iterable[HallSign]
    ) -> None:
        """All that a witness of this hall has to tell; what was overtaken is dropped."""
        known = self.witnesses.get(sender)
        if known is not None and (life, number) <= (known.life, known.number):
            return
        claims = {
            s.hall: Claim(s.weight, now - s.since_us, now - s.heard_us if s.heard_us >= 0 else -1)
            for s in list(signs)[:MOST_HALLS]
        }
        if known is None and (not claims or len(self.witnesses) >= MOST_WITNESSES):
            return
        self.witnesses[sender] = Witness(life, number, now, hall, claims)

    def forget(self, now: int) -> None:
        """Leave out what has aged out."""
        for sender in [s for s, w in self.witnesses.items() if now - w.at >= HOLD_US]:
            del self.witnesses[sender]

    def _accusers(self, now: int, key: Key) -> list[tuple[int, str, Witness]]:
        """By since when they accuse it, the latest first."""
        found = [
            (w.claims[key].since, name, w)
            for name, w in self.witnesses.items()
            if key in w.claims and w.claims[key].weight and now - w.at < HOLD_US
        ]
        return sorted(found, key=lambda a: (-a[0], a[1]))

    def silent(self, now: int) -> dict[int, Silent]:
        """By number, the halls that do not answer others; `saw` has said which there are."""
        found = {}
        for key, site in self._own.items():
            accusers = self._accusers(now, key)
            if len({w.hall for _, _, w in accusers}) < 2:
                continue
            since = enough((at, w.claims[key].weight) for at, _, w in accusers)
            against = [
                name
                for name, w in self.witnesses.items()
                if key in w.claims and w.claims[key].heard > since and now - w.at < HOLD_US
            ]
            weighs = sum(w.claims[key].weight for _, _, w in accusers) - 2 * len(against)
            if since >= 0 and weighs >= ENOUGH and site.last_answer_us <= since:
                until = enough(
                    sorted(((w.at + HOLD_US, w.claims[key].weight) for _, _, w in accusers), reverse=True)
                )
                found[site.site] = Silent(
                    since, until, tuple(name for _, name, _ in accusers), tuple(sorted(against))
                )
        return found


def weight(site: SiteView) -> int:
    """What this balancer's own evidence against a hall weighs."""
    if site.state is State.LOST:
        return 2
    return int(site.state is State.DOUBTFUL and site.silent >= DOUBT_FAILURES)


def enough(weighed: Iterable[tuple[int, int]]) -> int:
    """Of times with their weights, the first by which they are enough; -1: they are not."""
    total = 0
    for at, each in weighed:
        total += each
        if total >= ENOUGH:
            return at
    return -1
