"""Budgets of all balancers together, held in shares under leases: the shares never exceed the whole.

Each of N configured balancers owns 1/N of every budget, its **part**, and only its owner gives of it
(escrow). No other process keeps books on it, so two sides of a split cannot both give the same away.  What
a taker may use is its own part, less what it gave, and what it holds of others.  The rules, each with its
reason:

    giver, an ask comes       a number not above the last: dropped   doubled or overtaken: its account is old
                              old gifts shrink to `hold`             the taker has bound itself to that, and
                                                                     takes no answer to an earlier ask
                              gives at most part - keep - other      deducted before it is told, for the
                              gifts, less its own need               answer may be lost, or may not
    giver, time passes        a gift ends after lease x drift        by its own clock from when it gave; the
                              + margin                               taker's lease began and ends earlier
    taker, asks               shrinks what it holds first            the giver may give on what is left out
                              the lease of the answer runs from now  it was given later than this
    taker, an answer comes    not to its last ask: dropped           see above: it has said that it holds less
                              replaces what was held                 an account, no change: twice is as once
    taker, time passes        what is held ends with its lease       its giver hears nothing, or is not heard
    a process starts          gives nothing and uses only `keep`     what its last life gave may still be used
                              for the longest gift's time
    beside another process    the same, for as long, and holds       its twin's books are not known
    of the same balancer      nothing of others
    the parts are of another  keeps its books, holds nothing of      what was given is used on, and counts,
    size from now on          others, asks anew                      even where it is more than the new part

So a taker ends with its lease, a giver's books outlive the taker's use of them by clocks that run apart by
`drift_ppm` each, and no message that is lost, doubled, overtaken or late adds to any sum.  A process that
stopped finds its leases over when it wakes.  The part of a balancer that is dead lies idle: who could tell it
from one that is cut off, and still uses it?

What is asked of whom only decides how well shares move, never their sum: a taker renews each partner's gifts
before they end, asks a few more partners while it lacks something, and leaves those alone that had nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from .events import Among, Answer, Ask, BudgetEvent, Came, Key, Needs, Partners, Pulse, Tell

MOST_ITEMS = 48  # of an ask: with 16 bytes each it fits a datagram
MOST_PARTNERS = 24  # that a taker holds shares of at a time
MOST_TAKERS = 512  # lives that a giver keeps books on
ASKS = 4  # sent with one pulse
NEVER = 1 << 62


@dataclass(slots=True, frozen=True)
class Terms:
    """What all balancers agree on.  Another lease needs another version of the messages."""

    instances: int
    whole: int = 1_000_000  # units of each budget
    lease_us: int = 4_000_000
    drift_ppm: int = 200  # that any clock is off true time, at the most
    margin_us: int = 100_000
    keep: float = 0.5  # of its own part, that a balancer never gives away
    renew_us: int = 1_500_000  # after its last ask, a partner is asked again
    wait_us: int = 500_000  # for an answer, before its units count as not coming
    skip_us: int = 2_000_000  # a partner that had nothing is left alone for so long

    @property
    def part(self) -> int:
        return self.whole // self.instances

    @property
    def kept(self) -> int:
        return int(self.part * self.keep)

    @property
    def most(self) -> int:
        """Units that one partner can give at the most."""
        return self.part - self.kept

    @property
    def gift_us(self) -> int:
        """How long a gift stays on its giver's books: a lease by the slowest clock, on the fastest."""
        fast, slow = 1_000_000 + self.drift_ppm, 1_000_000 - self.drift_ppm
        return -(-self.lease_us * fast // slow) + self.margin_us


@dataclass(slots=True)
class Gift:
    """What one taker's life may still use of one resource: the larger of an old and a new lease."""

    old: int = 0
    old_until: int = 0
    new: int = 0
    new_until: int = 0

    def units(self, now: int) -> int:
        return max(self.old if now < self.old_until else 0, self.new if now < self.new_until else 0)


@dataclass(slots=True)
class Taker:
    """A giver's books on one life of a member."""

    number: int
    gifts: dict[Key, Gift] = field(default_factory=dict)


@dataclass(slots=True)
class Held:
    units: int
    until: int


@dataclass(slots=True)
class Partner:
    """A taker's account with one giver."""

    number: int = 0  # of the last ask
    sent: int = -NEVER  # when that left
    answered: bool = True
    wants: dict[Key, int] = field(default_factory=dict)
    held: dict[Key, Held] = field(default_factory=dict)


class Budgets:
    """One process's side of all transfers: `handle(now, event) -> list of Tell`.

    `usable` is all that others need to know.  It may change with every event and with time: what is told of
    it must be asked again after each event, before its actions are carried out.
    """

    __slots__ = (
        "_count",
        "_needs",
        "free_from",
        "life",
        "name",
        "next",
        "number",
        "partners",
        "peers",
        "skip",
        "takers",
        "terms",
    )

    def __init__(self, now: int, name: str, life: int, terms: Terms) -> None:
        self.name, self.life, self.terms = name, life, terms
        self.takers: dict[tuple[str, int], Taker] = {}
        self.partners: dict[str, Partner] = {}
        self.peers: tuple[str, ...] = ()
        self._needs: Mapping[Key, int] = {}
        self.skip: dict[str, int] = {}  # partners that had nothing, and until when
        self.number, self.next, self._count = 0, 0, 1
        self.free_from = now + terms.gift_us  # what the last life gave has ended by then

    def handle(self, now: int, event: BudgetEvent) -> list[Tell]:
        if isinstance(event, Came):
            if isinstance(event.message, Ask):
                return self._asked(now, event.sender, event.life, event.message)
            self._answered(now, event.sender, event.message)
        elif isinstance(event, Pulse):
            return self._pulse(now)
        elif isinstance(event, Needs):
            self._needs = event.units
        elif isinstance(event, Partners):
            self.peers = tuple(sorted(n for n in event.names if n != self.name))
        elif isinstance(event, Among):
            self._among(event.instances)
        else:
            self._beside(now, event.count)
        return []

    # What may be used

    def usable(self, now: int, resource: Key) -> int:
        """Units of the whole that this process may use at this moment."""
        return self.own(now, resource) + self.held(now, resource)

    def own(self, now: int, resource: Key) -> int:
        """What is left of its own part."""
        left = self.terms.part - self.given(now, resource)
        if now < self.free_from:
            left = min(left, self.terms.kept) // self._count
        return max(0, left)  # below: given of the larger part of before

    def given(self, now: int, resource: Key, but: tuple[str, int] | None = None) -> int:
        """What others may use of the own part, one of them left out."""
        return sum(
            taker.gifts[resource].units(now)
            for who, taker in self.takers.items()
            if resource in taker.gifts and who != but
        )

    def held(self, now: int, resource: Key) -> int:
        """What may be used of others' parts."""
        return sum(
            h.units
            for p in self.partners.values()
            if (h := p.held.get(resource)) is not None and now < h.until
        )

    def partners_of(self, now: int, resource: Key) -> tuple[dict[str, int], dict[str, int]]:
        """By name, to whom units of it are given, and of whom they are held."""
        given: dict[str, int] = {}
        for (name, _), taker in self.takers.items():
            if resource in taker.gifts and (units := taker.gifts[resource].units(now)):
                given[name] = given.get(name, 0) + units
        held = {
            name: h.units
            for name, p in self.partners.items()
            if (h := p.held.get(resource)) is not None and now < h.until
        }
        return given, held

    def lapses(self, now: int) -> int:
        """When the first of what is held of others ends; 0: nothing is held."""
        return min(
            (h.until for p in self.partners.values() for h in p.held.values() if now < h.until), default=0
        )

    def free(self, now: int) -> bool:
        """Has what an earlier life gave ended?"""
        return now >= self.free_from

    def resources(self) -> set[Key]:
        """All of which anything is given, held or needed."""
        found = set(self._needs)
        for taker in self.takers.values():
            found.update(taker.gifts)
        for partner in self.partners.values():
            found.update(partner.held)
        return found

    # The giver's side

    def _asked(self, now: int, sender: str, life: int, ask: Ask) -> list[Tell]:
        if ask.instances != self.terms.instances or sender == self.name:
            return []
        who = sender, life
        taker = self.takers.get(who)
        if taker is None:
            if len(self.takers) >= MOST_TAKERS:
                return []
            taker = self.takers[who] = Taker(0)
        if ask.number <= taker.number:
            return []
        taker.number = ask.number
        holds = {resource: hold for resource, hold, _ in ask.items}
        for resource, gift in list(taker.gifts.items()):
            gift.old = min(gift.units(now), holds.get(resource, 0))
            gift.old_until = max(gift.old_until, gift.new_until)
            gift.new = gift.new_until = 0
            if not gift.old:
                del taker.gifts[resource]
        given = []
        for resource, _, want in ask.items[:MOST_ITEMS]:
            units = self._give(now, who, resource, want)
            if units:
                gift = taker.gifts.setdefault(resource, Gift())
                gift.new, gift.new_until = units, now + self.terms.gift_us
            given.append((resource, units))
        return [Tell(sender, Answer(life, ask.number, tuple(given)))] if given else []

    def _give(self, now: int, who: tuple[str, int], resource: Key, want: int) -> int:
        """What this taker may have of the own part, counting what it has."""
        if now < self.free_from:
            return 0
        terms = self.terms
        reserved = max(terms.kept, min(terms.part, self._needs.get(resource, 0)))
        return max(0, min(want, terms.part - reserved - self.given(now, resource, who)))

    # The taker's side

    def _answered(self, now: int, sender: str, answer: Answer) -> None:
        partner = self.partners.get(sender)
        if partner is None or answer.life != self.life or answer.number != partner.number or partner.answered:
            return
        partner.answered = True
        until = partner.sent + self.terms.lease_us
        for resource, units in answer.items:
            if resource not in partner.wants:
                continue
            partner.held.pop(resource, None)
            if units and now < until:
                partner.held[resource] = Held(units, until)
        if not partner.held:
            del self.partners[sender]
            self.skip[sender] = now + self.terms.skip_us

    def _pulse(self, now: int) -> list[Tell]:
        self._forget(now)
        if self._count > 1:
            return []
        told: list[Tell] = []
        lacks = self._lacks(now)
        due = [n for n, p in self.partners.items() if now - p.sent >= self.terms.renew_us and n in self.peers]
        for name in due[:ASKS]:
            told.append(self._ask(now, name, lacks))
        for name in self._strangers(now, ASKS - len(told)):
            wanting = {r: units for r, units in lacks.items() if units > 0}
            if not wanting:
                break
            self.partners[name] = Partner()
            told.append(self._ask(now, name, lacks))
        return told

    def _lacks(self, now: int) -> dict[Key, int]:
        """Of each resource, what is needed beyond what there is and what may be coming; below 0: too much."""
        lacks = {}
        for resource in self.resources():
            have = self.own(now, resource)
            for p in self.partners.values():
                h = p.held.get(resource)
                units = h.units if h is not None and now < h.until else 0
                if not p.answered and now - p.sent < self.terms.wait_us:
                    units = max(units, p.wants.get(resource, 0))
                have += units
            lacks[resource] = min(self._needs.get(resource, 0), self.terms.whole) - have
        return lacks

    def _ask(self, now: int, name: str, lacks: dict[Key, int]) -> Tell:
        """One partner's account as it is to be from now on; `lacks` is brought up to date."""
        partner, terms = self.partners[name], self.terms
        items: list[tuple[Key, int, int]] = []
        wants: dict[Key, int] = {}
        for resource in sorted(lacks, key=lambda r: (r not in partner.held, -lacks[r])):
            have = partner.held.get(resource)
            held = have.units if have is not None and now < have.until else 0
            want = min(terms.most, held + lacks[resource]) if len(items) < MOST_ITEMS else 0
            want = max(0, want)
            lacks[resource] -= want - held
            if not want:
                partner.held.pop(resource, None)
                continue
            hold = min(held, want)
            if have is not None:
                have.units = hold
            wants[resource] = want
            items.append((resource, hold, want))
        self.number += 1
        partner.number, partner.sent, partner.answered, partner.wants = self.number, now, False, wants
        if not items:
            del self.partners[name]  # all given back; if this is lost, the gifts end anyway
        return Tell(name, Ask(self.number, terms.instances, tuple(items)))

    def _strangers(self, now: int, most: int) -> Iterable[str]:
        """Members to ask that nothing is held of, in turn."""
        most = min(most, MOST_PARTNERS - len(self.partners))
        found: list[str] = []
        for _ in range(len(self.peers)):
            if len(found) >= most:
                break
            name = self.peers[self.next % len(self.peers)]
            self.next += 1
            if name not in self.partners and name not in self.skip:
                found.append(name)
        return found

    # Time, and twins

    def _forget(self, now: int) -> None:
        """Leave out what has ended."""
        for who, taker in list(self.takers.items()):
            for resource, gift in list(taker.gifts.items()):
                if not gift.units(now):
                    del taker.gifts[resource]
            if not taker.gifts:
                del self.takers[who]
        for name, partner in list(self.partners.items()):
            for resource, held in list(partner.held.items()):
                if now >= held.until:
                    del partner.held[resource]
            if not partner.held and (partner.answered or now - partner.sent >= self.terms.renew_us):
                del self.partners[name]
                self.skip[name] = now + self.terms.skip_us
        for name in [n for n, until in self.skip.items() if now >= until]:
            del self.skip[name]

    def _among(self, instances: int) -> None:
        if instances == self.terms.instances:
            return
        self.terms = replace(self.terms, instances=instances)
        self.partners.clear()  # what they gave was of parts of another size

    def _beside(self, now: int, count: int) -> None:
        if count > 1:
            self.partners.clear()  # held of others no longer: the twin knows nothing of it
            self.free_from = NEVER
        elif self._count > 1:
            self.free_from = now + self.terms.gift_us
        self._count = max(1, count)
