"""Puts together what balancers share: from members, own outcomes and others' messages to one
`SharedStateUpdate`.

    handle(now, event) -> list of Hear, Post and Spread, to be carried out in this order

What the module is told comes before what leaves: a share that is given away is no longer used by then.

    budget             what this balancer could use of it
    a cold server's    what it has, half as much again with each pulse in which the module passed the server
                       over for want of room, a tenth less with each in which it did not
    a customer's       what the customer asks here, and a quarter more, of its quota
    repeats, dials     nothing, until the module held one back: then as a cold server's

While nothing is heard from others, all shares are the part that the module takes without being told, and it
is told of none; but for the time after a start, see `budgets`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, TypeAlias

from ..membership.events import Kind
from ..policy.interface import ServerId, SharedStateUpdate, View
from ..sites.events import State
from .budgets import Budgets, Terms
from .counts import SHORT, Counted, Counts
from .events import (
    Agreed,
    Among,
    Answer,
    Ask,
    Beside,
    Budget,
    Came,
    Key,
    Needs,
    Partners,
    Sort,
    Tell,
    key,
    short,
)
from .events import Pulse as BudgetsPulse
from .halls import Halls, Silent
from .judgements import Judgements, Trouble, hash_of
from .wire import Fault, read, write

NOTHING: Mapping[int, float] = {}
PULSE_US = 250_000
TELL_US = 500_000  # between two reports of evidence, and half as often one of counts, ...
FAN = 8  # ... to so many members drawn afresh: each is heard by most within AGE_US of 40
MOST_WAITING = 1_024  # answers until the next pulse; an ask beyond them is not answered
URGENT_US = 500_000  # news of a failure, or of a good answer after one, go to all, but no more often
URGENT_AT_ONCE = 3  # ... than this on the mean, and so often at once
MORE, LESS, ROOM = 1.5, 0.9, 1.25
# One that serves so many requests a second goes by its own shortage for a half, and by the one that all see
# for the rest.  By the latter alone the shedding swings, as that is half a second to three seconds old.
LEAN_PER_S = 12.0
STALE_US = 1_000_000  # what all see counts for so long, unless it is told again
MOST_NEEDS = 48
MOST_SHOWN = 20  # servers whose counts operators see, the largest


@dataclass(slots=True, frozen=True)
class Pulse:
    """Every PULSE_US.  `view`: what the module believes; `served`: requests answered since the start."""

    view: View
    served: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """An own request had this outcome with a server."""

    server: ServerId
    trouble: Trouble


@dataclass(slots=True, frozen=True)
class Message:
    """Bytes of a kind that concerns shared state have come from a member's life."""

    sender: str
    life: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class There:
    """The members that are there, by name, this process among them or not."""

    names: tuple[str, ...]


Event: TypeAlias = Pulse | Outcome | Message | There | Beside | Agreed


@dataclass(slots=True, frozen=True)
class Hear:
    """Tell the module."""

    event: SharedStateUpdate


@dataclass(slots=True, frozen=True)
class Post:
    """Send it to one member."""

    to: str
    kind: Kind
    payload: bytes


@dataclass(slots=True, frozen=True)
class Spread:
    """Send it to so many members; None: to all."""

    kind: Kind
    payload: bytes
    most: int | None


Action: TypeAlias = Hear | Post | Spread


@dataclass(slots=True, frozen=True)
class Bounds:
    """What all may do together, a second, as `SharedStateUpdate` has it; `halls`: their names, by number."""

    repeats_per_s: float = 0.0
    dials_per_s: float = 0.0
    halls: Sequence[str] = ()


class Told:
    """One balancer's shared state."""

    def __init__(
        self,
        now: int,
        name: str,
        life: int,
        hall: str,
        terms: Terms,
        quotas: Sequence[tuple[str, float]] = (),
        bounds: Bounds | None = None,
    ) -> None:
        """`quotas`: each customer's name and its requests a second over all balancers."""
        self._instances = terms.instances  # as the settings have it
        self._wholes = NOTHING
        self.budgets, self.counts = Budgets(now, name, life, terms), Counts()
        self.judgements = Judgements(hall, hash_of(name.encode()))
        self.halls = Halls()
        self.faults = 0  # messages that could not be read
        self._quotas = [(key(Budget.QUOTA, customer.encode()), quota) for customer, quota in quotas]
        self._names: dict[Key, str] = {
            k: customer for (k, _), (customer, _) in zip(self._quotas, quotas, strict=True)
        }
        self._bounds = bounds or Bounds()
        self._repeats = key(Budget.REPEATS, b"")
        self._cold: dict[ServerId, Key] = {}
        # All halls from the first word on: what an earlier life gave of them may still be used.
        self._dials: dict[int, Key] = {
            n: self._dials_to(n) for n in range(len(self._bounds.halls)) if self._bounds.dials_per_s
        }
        self._grown: dict[Key, tuple[float, int]] = {}  # units it could use, how often none were left
        self._left: dict[ServerId, tuple[Key, int]] = {}  # cold no more; until when gifts may remain
        self._waiting: list[Tell] = []  # answers, until the module has been told
        self._avoid: dict[ServerId, int] = {}
        self._judged: set[Key] = set()
        self._silent: Mapping[int, Silent] = {}  # as the module was told last
        self._number, self._told_at, self._urgent_at = 0, now, now
        self._served, self._counts_next = 0, False

    @property
    def terms(self) -> Terms:
        return self.budgets.terms

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, Outcome):
            return self._outcome(now, event)
        if isinstance(event, Message):
            return self._message(now, event)
        if isinstance(event, Pulse):
            return self._pulse(now, event)
        if isinstance(event, There):
            self.budgets.handle(now, Partners(event.names))
            return []
        if isinstance(event, Agreed):
            self._wholes = event.wholes
            self.budgets.handle(now, Among(event.instances or self._instances))
        else:
            self.budgets.handle(now, event)
        return [self._hear(now)]

    def _outcome(self, now: int, event: Outcome) -> list[Action]:
        self.counts.add(now, Sort.SENT, key(Sort.SENT, event.server))
        self.judgements.saw(now, event.server, event.trouble)
        return self._urgent(now)

    def _urgent(self, now: int) -> list[Action]:
        """What others should know at once, if there is any."""
        at = max(now, self._urgent_at)
        if not (self.judgements.urgent or self.halls.urgent) or at - now >= URGENT_AT_ONCE * URGENT_US:
            return []
        self._urgent_at = at + URGENT_US
        return [self._evidence(now, None)]

    def _message(self, now: int, event: Message) -> list[Action]:
        try:
            message = read(event.payload)
        except Fault:
            self.faults += 1
            return []
        if isinstance(message, Ask):
            message = self._known_alone(message)
        if isinstance(message, Ask | Answer):
            answers = self.budgets.handle(now, Came(event.sender, event.life, message))
            self._waiting += answers[: MOST_WAITING - len(self._waiting)]
        elif isinstance(message, Counted):
            self.counts.came(now, event.sender, event.life, message)
        else:
            self.judgements.came(now, event.sender, event.life, message)
            self.halls.came(now, event.sender, event.life, message.number, message.hall, message.halls)
            if self._silent.keys() != self.halls.silent(now).keys() or any(
                s.failures and s.server not in self._judged and self.judgements.against(now, s.server)
                for s in message.signs
            ):
                return [self._hear(now), *self._urgent(now)]
            return self._urgent(now)
        return []

    def _known_alone(self, ask: Ask) -> Ask:
        """Nothing is given of what the module is not told of: of a server it would use its whole part, from
        when the list has it until the next pulse.  What the taker holds stays on the books."""
        known = {
            *(r for r, _ in self._quotas),
            *(r for r, _ in self._left.values()),
            *self._cold.values(),
            *self._dials.values(),
            *([self._repeats] if self._bounds.repeats_per_s else []),
        }
        return Ask(
            ask.number,
            ask.instances,
            tuple((r, hold, want if r in known else 0) for r, hold, want in ask.items),
        )

    def _pulse(self, now: int, event: Pulse) -> list[Action]:
        self._need(now, event.view)
        sites = {s.site: s.state for s in event.view.sites}
        self.judgements.listed(
            {s.server: s.born_us for s in event.view.servers},
            [s.server for s in event.view.servers if sites.get(s.site) in (State.LOST, State.OUT)],
        )
        self.halls.saw(now, event.view.sites, {n: short(self._hall(n).encode()) for n in sites})
        self.halls.forget(now)
        self.judgements.pressure = event.view.shortage
        self.judgements.forget(now)
        self.counts.forget(now)
        asks = self.budgets.handle(now, BudgetsPulse())
        answers, self._waiting = self._waiting, []
        actions: list[Action] = [self._hear(now)]
        actions += [Post(t.to, Kind.SHARES, write(t.message)) for t in answers + asks]
        if now - self._told_at >= TELL_US:
            self.judgements.weight = int((event.served - self._served) * 1e6 / max(1, now - self._told_at))
            self._served, self._told_at = event.served, now
            actions += [*self._urgent(now), self._evidence(now, FAN)]
            self._counts_next = not self._counts_next
            if self._counts_next:
                self._number += 1
                actions.append(Spread(Kind.COUNTS, write(self.counts.tell(now, self._number)), FAN))
        return actions + self._urgent(now)

    def _evidence(self, now: int, most: int | None) -> Spread:
        """To all only what has changed of servers."""
        self._number += 1
        told = self.judgements.tell(now, self._number, whole=most is not None)
        return Spread(Kind.JUDGEMENTS, write(replace(told, halls=self.halls.tell(now))), most)

    def _need(self, now: int, view: View) -> None:
        """What could be used of each budget."""
        before, self._grown, needs = self._grown, {}, dict[Key, int]()

        def grow(resource: Key, held_back: int, first: float) -> None:
            need, known = before.get(resource, (first, 0))
            if held_back > known:
                need = min(self.terms.whole, MORE * max(need, self.budgets.usable(now, resource)))
            else:
                need *= LESS
            self._grown[resource], needs[resource] = (need, held_back), int(need)

        cold = {
            s.server: self._cold.get(s.server) or key(Budget.COLD, s.server)
            for s in view.servers
            if s.share < 1
        }
        for server in self._cold.keys() - cold.keys():
            self._left[server] = self._cold[server], now + self.terms.gift_us
        self._left = {s: (r, until) for s, (r, until) in self._left.items() if now < until and s not in cold}
        self._cold = cold
        for s in view.servers:
            if s.share < 1:
                grow(self._cold[s.server], s.rejected_count, float(self.terms.part))
        if self._bounds.repeats_per_s:
            grow(self._repeats, view.rejected_retries, 0.0)
        if self._bounds.dials_per_s:
            for hall in view.sites:  # one that has left may be listed again before a gift ends
                self._dials[hall.site] = self._dials_to(hall.site)
            for site, resource in self._dials.items():
                grow(resource, view.rejected_dials.get(site, 0), 0.0)
        for n, ((resource, quota), rate) in enumerate(
            zip(self._quotas, view.tenant_rates_per_s, strict=False)
        ):
            quota *= self._wholes.get(n, 1.0)
            if quota > 0:
                needs[resource] = min(self.terms.whole, int(ROOM * rate / quota * self.terms.whole))
        largest = sorted(needs, key=lambda r: -needs[r])[:MOST_NEEDS]
        self.budgets.handle(now, Needs({r: needs[r] for r in largest}))

    def _dials_to(self, site: int) -> Key:
        return key(Budget.DIALS, self._hall(site).encode())

    def _hall(self, site: int) -> str:
        halls = self._bounds.halls
        return halls[site] if site < len(halls) else str(site)

    def _hear(self, now: int) -> Hear:
        """What the module is to know as of now; nothing where it knows as much alone."""
        budgets, judgements, terms, bounds = self.budgets, self.judgements, self.terms, self._bounds

        def share(resource: Key) -> float | None:
            units = budgets.usable(now, resource)
            return None if units == terms.part else units / terms.whole

        servers = {**{s: resource for s, (resource, _) in self._left.items()}, **self._cold}
        cold = {s: part for s, resource in servers.items() if (part := share(resource)) is not None}
        dials = {n: part for n, resource in self._dials.items() if (part := share(resource)) is not None}
        quotas = {
            n: part for n, (resource, _) in enumerate(self._quotas) if (part := share(resource)) is not None
        }
        self._avoid = judgements.avoid(now)
        self._judged = {short(server) for server in self._avoid}
        self._silent = self.halls.silent(now)
        return Hear(
            SharedStateUpdate(
                0,
                cold,
                quotas,
                dict(self._avoid),
                judgements.together(now),
                budgets.lapses(now),
                floor := terms.kept / terms.whole,
                max_unlisted_share=1.0 if budgets.free(now) else floor,
                retries_per_s=bounds.repeats_per_s,
                dials_per_s=bounds.dials_per_s,
                dial_shares=dials,
                retry_share=share(self._repeats) if bounds.repeats_per_s else None,
                unreachable_zones={n: (s.since, s.until) for n, s in self._silent.items()},
                fleet_shortage_weight=LEAN_PER_S / (LEAN_PER_S + judgements.weight),
                fleet_shortage_until=now + STALE_US,
            )
        )

    def figures(self, now: int, names: Mapping[ServerId, str] | None = None) -> Mapping[str, Any]:
        """What operators see: shares in parts of the whole, counts of the last WINDOW_US, judgements with
        their witnesses; `names`: what servers are called."""
        called = names or {}

        def name(server: ServerId) -> str:
            return called.get(server) or server.decode("utf-8", "replace")

        of: dict[Key, tuple[str, str]] = {r: ("quota", customer) for r, customer in self._names.items()}
        of |= {r: ("cold", name(server)) for server, r in self._cold.items()}
        of |= {r: ("dials", self._hall(n)) for n, r in self._dials.items()}
        of[self._repeats] = "repeats", ""
        budgets, whole = self.budgets, self.terms.whole
        shares = []
        for r in sorted(budgets.resources(), key=lambda r: of.get(r, ("", r.hex()))):
            kind, what = of.get(r, ("", r.hex()))
            given, held = budgets.partners_of(now, r)
            shares.append(
                {
                    "kind": kind,
                    "budget": what,
                    "share": budgets.usable(now, r) / whole,
                    "given": {who: units / whole for who, units in given.items()},
                    "held": {who: units / whole for who, units in held.items()},
                }
            )
        servers = {key(Sort.SENT, server)[:SHORT]: server for server in self.judgements.servers()}
        sums = [
            (self.counts.sum(now, Sort.SENT, k), servers[k])
            for k in self.counts.keys(now, Sort.SENT)
            if k in servers
        ]
        sums.sort(key=lambda s: (-s[0].count, s[1]))
        return {
            "lends": budgets.free(now),
            "instances": self.terms.instances,
            "pressure": {
                "own": self.judgements.pressure,
                "all": self.judgements.together(now),
                "heard": len(self.judgements.witnesses),
            },
            "counts": {
                "heard": len(self.counts.reports),
                "sent": [
                    {"server": name(server), "count": s.count, "over": s.over, "heard": s.heard}
                    for s, server in sums[:MOST_SHOWN]
                ],
            },
            "unread": self.faults,
            "shares": shares,
            "judgements": [
                {
                    "server": name(server),
                    "for_s": round((self._avoid.get(server, now) - now) / 1e6, 1),
                    "witnesses": [
                        {
                            "name": who or budgets.name,
                            "trouble": c.trouble.name.lower(),
                            "failures": c.failures,
                            "ago_s": round((now - c.bad) / 1e6, 1),
                        }
                        for _, who, c in witnesses
                    ],
                }
                for server, witnesses in self.judgements.believed(now).items()
            ],
            "halls": [
                {
                    "hall": self._hall(n),
                    "since_s": round((now - s.since) / 1e6, 1),
                    "witnesses": list(s.accusers),
                    "against": list(s.against),
                }
                for n, s in self.halls.silent(now).items()
            ],
        }
