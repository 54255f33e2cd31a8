"""An explicit-state model of the transfer of shares, whose transition function is the real decider.

A few processes of `roadlb.shared_state.budgets.Budgets`, one resource, and a network that loses, doubles and
delays without end.  From the state at the start every next step is taken:

    time        a tick passes for all; each clock advances by its own rate
    pulse       a process runs its pulse (one that is stopped does not, for as long as the search likes)
    need        what a process could use changes between nothing and all
    deliver     a message arrives, and may stay to arrive again
    lose        a message is lost
    restart     a process ends and starts anew: the same name, the next life, nothing remembered
    size        a process is told that the whole is divided among another number

After each, the units that all processes may use at that instant are added up: never more than the whole.
States are told apart with times relative to each clock and numbers by their order, so that the same situation
is one state whenever it arises (`shape`): scopes have an end, with no bound on their depth.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeAlias

from ...shared_state.budgets import Budgets, Gift, Held, Partner, Taker, Terms
from ...shared_state.events import Among, Answer, Ask, Came, Needs, Partners, Pulse

THING = b"the thing"[:8]
# A lease is three ticks of the slowest clock.  Clocks are off by up to a quarter: 4 units are one true tick.
TERMS = Terms(
    instances=2, whole=4, lease_us=9, drift_ppm=250_000, margin_us=1, renew_us=0, wait_us=0, skip_us=0
)
FAST, TRUE, SLOW = 5, 4, 3
ENDLESS = -1

Make: TypeAlias = Callable[[int, str, int, Terms], Budgets]
Message: TypeAlias = tuple[str, str, int, "Ask | Answer"]  # from, to, life it is from


@dataclass(frozen=True)
class Scope:
    """What is searched: rates by process (their number is `terms.instances`), and what may happen."""

    rates: tuple[int, ...] = (FAST, SLOW)
    terms: Terms = TERMS
    flying: int = 2  # messages under way at a time; further ones are lost
    restarts: int = 1  # of all processes together; or ENDLESS
    doubles: bool = True  # may a message arrive again?
    sizes: tuple[int, ...] = ()  # among how many the whole may be divided
    askers: tuple[int, ...] = (1,)  # processes whose need changes; the others only give
    states: int = 1_000_000  # the search ends after so many
    make: Make = Budgets

    @property
    def lean(self) -> bool:
        """May be left out what `Budgets` never looks at again?  One with a fault may look at it."""
        return self.make is Budgets


@dataclass(slots=True)
class State:
    clocks: list[int]
    processes: list[Budgets]
    needs: list[bool]
    flying: list[Message]
    restarts: int


@dataclass(slots=True)
class Found:
    """A search's end: `steps` lead to a sum above the whole; empty: there is none."""

    states: int
    whole: bool  # has every state been seen?
    depth: int
    steps: list[str]


def copy(b: Budgets) -> Budgets:
    """A process as it is: messages and needs are never changed, and shared."""
    c: Budgets = object.__new__(type(b))
    for cls in type(b).__mro__:
        for slot in getattr(cls, "__slots__", ()):
            setattr(c, slot, getattr(b, slot))
    c.takers = {
        who: Taker(t.number, {r: Gift(g.old, g.old_until, g.new, g.new_until) for r, g in t.gifts.items()})
        for who, t in b.takers.items()
    }
    c.partners = {
        name: Partner(
            p.number, p.sent, p.answered, p.wants, {r: Held(h.units, h.until) for r, h in p.held.items()}
        )
        for name, p in b.partners.items()
    }
    c.skip = dict(b.skip)
    return c


def _left(until: int, now: int) -> int:
    return max(0, until - now)


def _gift(gift: Gift, now: int) -> tuple[tuple[int, int], ...]:
    """Its two leases, by units and what is left of them; one that the other outdoes in both has no effect."""
    first, second = sorted(
        ((gift.old, _left(gift.old_until, now)), (gift.new, _left(gift.new_until, now))),
        key=lambda lease: (bool(lease[1]), *lease),
    )
    if not second[0] or not second[1]:
        return ()
    return (second,) if not first[1] or first[1] <= second[1] else (first, second)


def alive(state: State, message: Message) -> bool:
    """Can it ever change anything at `Budgets`?  An answer is taken by one ask of one life, once."""
    sender, to, _, what = message
    if isinstance(what, Ask):
        return True
    process = state.processes[ord(to) - ord("A")]
    partner = process.partners.get(sender)
    return (
        partner is not None
        and what.life == process.life
        and what.number == partner.number
        and not partner.answered
    )


Flown: TypeAlias = tuple[str, int, str, bool, "Ask | Answer"]  # taker, its life, giver, is it an ask?


@dataclass(slots=True)
class Known:
    """What of a state anybody may still look at: accounts of all processes, and messages."""

    takers: list[tuple[str, str, int, Taker]]  # giver, taker, its life
    partners: list[tuple[str, int, str, Partner]]  # taker, its life, giver
    flying: list[Flown]


def known(state: State, lean: bool) -> Known:
    flying: list[Flown] = [
        (sender, life, to, True, message)
        if isinstance(message, Ask)
        else (to, message.life, sender, False, message)
        for sender, to, life, message in state.flying
    ]
    asks = {flown[:3] for flown in flying if flown[3]}
    now = {b.name: now for now, b in zip(state.clocks, state.processes, strict=True)}
    return Known(
        [
            (b.name, *who, t)
            for b in state.processes
            for who, t in b.takers.items()
            if not lean or (*who, b.name) in asks or any(g.units(now[b.name]) for g in t.gifts.values())
        ],
        [
            (b.name, b.life, name, p)
            for b in state.processes
            for name, p in b.partners.items()
            if not (lean and p.answered) or any(now[b.name] < h.until for h in p.held.values())
        ],
        flying,
    )


def _ranks(what: Known) -> dict[tuple[str, int, str], dict[int, int]]:
    """By taker, life and giver: the numbers of asks that are known, in their order.  They are only ever
    compared with each other, and the next one is above all of them."""
    numbers: dict[tuple[str, int, str], set[int]] = {}
    for giver, name, life, t in what.takers:
        numbers.setdefault((name, life, giver), set()).add(t.number)
    for name, life, giver, p in what.partners:
        numbers.setdefault((name, life, giver), set()).add(p.number)
    for name, life, giver, _, message in what.flying:
        numbers.setdefault((name, life, giver), set()).add(message.number)
    return {pair: {number: n for n, number in enumerate(sorted(some))} for pair, some in numbers.items()}


def _lives(state: State, what: Known) -> dict[tuple[str, int], int]:
    """Lives are never compared: the running one is 0, others that are known 1, 2, ... backwards."""
    lives = {b.name: {b.life} for b in state.processes}
    for _, name, life, _t in what.takers:
        lives[name].add(life)
    for name, life, *_ in what.flying:
        lives[name].add(life)
    return {
        (name, life): n for name, some in lives.items() for n, life in enumerate(sorted(some, reverse=True))
    }


def shape(state: State, lean: bool = True) -> tuple[Any, ...]:
    """What tells one state from another: two of one shape have the same next shapes.

    Times are those left, numbers their ranks, and a lease that another outdoes is as none.  `lean` leaves out
    as well what `Budgets` never looks at again, such as accounts that have ended.
    """
    what = known(state, lean)
    ranks, lives = _ranks(what), _lives(state, what)
    clocks = {b.name: now for now, b in zip(state.clocks, state.processes, strict=True)}
    takers = sorted(
        (
            giver,
            name,
            lives[name, life],
            ranks[name, life, giver][t.number],
            tuple(sorted(_gift(g, clocks[giver]) for g in t.gifts.values() if g.units(clocks[giver]))),
        )
        for giver, name, life, t in what.takers
    )
    lease = state.processes[0].terms.lease_us
    partners = tuple(
        (
            name,
            giver,
            ranks[name, life, giver][p.number],
            p.answered,
            0 if lean and p.answered else min(clocks[name] - p.sent, lease),
            () if lean and p.answered else tuple(p.wants.items()),
            tuple(
                (r, h.units, _left(h.until, clocks[name]))
                for r, h in p.held.items()
                if clocks[name] < h.until
            ),
        )
        for name, life, giver, p in what.partners
    )
    flying = {
        (
            name,
            lives[name, life],
            giver,
            is_ask,
            ranks[name, life, giver][message.number],
            message.items,
            message.instances if isinstance(message, Ask) else 0,
        )
        for name, life, giver, is_ask, message in what.flying
    }
    processes = tuple(
        (need, _left(b.free_from, now), b.next % len(b.peers), b.terms.instances)
        for now, b, need in zip(state.clocks, state.processes, state.needs, strict=True)
    )
    return processes, tuple(takers), partners, tuple(sorted(flying)), state.restarts


def start(scope: Scope) -> State:
    names = [chr(ord("A") + i) for i in range(len(scope.rates))]
    state = State([0] * len(names), [], [False] * len(names), [], 0)
    for name in names:
        process = scope.make(-scope.terms.gift_us, name, 1, scope.terms)  # started long enough ago
        process.handle(0, Partners(tuple(names)))
        state.processes.append(process)
    return state


def branch(state: State) -> State:
    return State(
        list(state.clocks), list(state.processes), list(state.needs), list(state.flying), state.restarts
    )


def tell(scope: Scope, state: State, i: int, event: Any) -> State:
    """The state after process `i` has been told an event; what it sends flies, if there is room."""
    after = branch(state)
    process = after.processes[i] = copy(state.processes[i])
    told = process.handle(after.clocks[i], event)
    _drop(scope, after)
    for action in told:
        message = process.name, action.to, process.life, action.message
        if (
            len(after.flying) < scope.flying
            and message not in after.flying
            and (not scope.lean or alive(after, message))
        ):
            after.flying.append(message)
    return after


def _drop(scope: Scope, state: State) -> None:
    """Leave out what can change nothing any more, which makes room for others."""
    if scope.lean:
        state.flying = [message for message in state.flying if alive(state, message)]


def steps(scope: Scope, state: State) -> Iterator[tuple[str, State]]:
    """Every next step and where it leads."""
    after = branch(state)
    after.clocks = [now + rate for now, rate in zip(state.clocks, scope.rates, strict=True)]
    yield "time", after
    for i, process in enumerate(state.processes):
        yield f"pulse {process.name}", tell(scope, state, i, Pulse())
        if i in scope.askers:
            units = 0 if state.needs[i] else scope.terms.whole
            after = tell(scope, state, i, Needs({THING: units}))
            after.needs[i] = not state.needs[i]
            yield f"need {process.name} {units}", after
        for size in scope.sizes:
            if size != process.terms.instances:
                yield f"size {process.name} {size}", tell(scope, state, i, Among(size))
        if state.restarts != scope.restarts:
            after = branch(state)
            after.restarts, after.needs[i] = state.restarts + (scope.restarts != ENDLESS), False
            after.processes[i] = scope.make(state.clocks[i], process.name, process.life + 1, scope.terms)
            after.processes[i].handle(state.clocks[i], Partners(process.peers))
            _drop(scope, after)
            yield f"restart {process.name}", after
    for n, (sender, to, life, message) in enumerate(state.flying):
        what = f"{type(message).__name__.lower()} {message.number} {sender} to {to}"
        rest = state.flying[:n] + state.flying[n + 1 :]
        without = branch(state)
        without.flying = rest
        yield f"lose {what}", without
        i = ord(to) - ord("A")
        yield f"deliver {what}", tell(scope, without, i, Came(sender, life, message))
        if scope.doubles:
            yield f"deliver {what}, kept", tell(scope, state, i, Came(sender, life, message))


def used(state: State) -> int:
    """Units that all may use at this instant."""
    return sum(b.usable(now, THING) for now, b in zip(state.clocks, state.processes, strict=True))


def search(scope: Scope) -> Found:
    """Breadth first, so that the steps to a fault are the fewest."""
    first = start(scope)
    seen: dict[int, tuple[int, str]] = {hash(shape(first, scope.lean)): (0, "")}
    todo = deque([(first, hash(shape(first, scope.lean)), 0)])
    depth = 0
    while todo:
        state, mark, depth = todo.popleft()
        for step, after in steps(scope, state):
            its = hash(shape(after, scope.lean))
            if its in seen:
                continue
            seen[its] = mark, step
            if used(after) > scope.terms.whole:
                return Found(len(seen), False, depth + 1, _way(seen, its))
            if len(seen) >= scope.states:
                return Found(len(seen), False, depth, [])
            todo.append((after, its, depth + 1))
    return Found(len(seen), True, depth, [])


def _way(seen: dict[int, tuple[int, str]], mark: int) -> list[str]:
    way: list[str] = []
    while True:
        mark, step = seen[mark]
        if not step:
            return way[::-1]
        way.append(step)
