"""What all balancers believe of a server, from what each has seen of it with its own requests.

A witness tells of a server how often it failed in a row, when last and when before, and when it last answered
well; never what it has from others, so no judgement can go round in circles.  A server is avoided, by a
balancer that need not have failed there itself, on these conditions:

    NEED failures in a row, whoever met them,     a sequential likelihood ratio over all witnesses' answers:
    since the last good answer that any           a server of which RANDOM fail at chance against one of
    witness had there                             which DOWN fail; see below
    of one witness OF_ONE of them                 one that cannot reach a server, but all others can, is half
                                                  of what it takes, however often it tries
    two witnesses at least, of two halls          one balancer that is wrong, cut off or sick takes nothing
                                                  from the others, nor does a hall whose own links fail
    or two of the balancer's own hall             a server that is bad for one hall is avoided by that hall
    each answered by most of the servers          one that fails with more than SICK of them tells of itself
    that it asked lately
    it is not over: NEED hold for HOLD_US, each   dies with its age, whoever told it; later than the module's
    further one in a row twice as long            own next trial, so that others wait for the witness's
    since the server's last start                 a fresh process: what failed was another
    at most AVOID_SHARE of the servers listed     more is not a matter of single servers; those with most
                                                  witnesses first

**The test.**  A failure weighs log(DOWN / RANDOM) for "down", a good answer as much against it, and whoever
has the first good answer after a failure that it heard of tells all: there the sum begins anew, at 0, which
is the more careful way, as any number of failures before are forgotten.  NEED failures are the first whose
weight reaches log(1 / FALSE): one that errs in RANDOM of its answers shows so many in a row once in 10,000,
one that is down in DOWN ** NEED = 66%, within its next NEED answers.  Each hears of failures and good answers
alike late, so what is under way moves the sum for both.  It was one failure of each of two witnesses: of
fifteen requests a second one in twenty failing, two balancers met one within HOLD_US all the time, and knew
only of good answers of their own.

The balancer itself is one of the witnesses.  What it avoids ends at different times with different
balancers, up to a quarter earlier, so that a few ask first.  Only failures and silence decide; that a
server is full or slow is told and shown: it passes sooner than it is told.

**Pressure** is what most see: reports weighted by requests a second, none by more than twice the
median's weight, a fifth of the weight cut off at either end, mean of the rest.  With fewer than
PRESSURE_LEAST reports of the last RECENT_US there is none, and each keeps to its own.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from math import ceil, log
from statistics import median

from .events import Key, short
from .halls import HallSign

HOLD_US, HOLD_MOST_US = 2_000_000, 20_000_000
RANDOM, DOWN = 0.1, 0.9  # part of its answers that a sound server fails at most, a dead one at least
FALSE = 1 / 4_000  # so seldom, at most, may failures of a sound server be a run that is believed
NEED = ceil(log(1 / FALSE) / log(DOWN / RANDOM))  # failures in a row, by all witnesses together
OF_ONE = 2  # of them, of one witness
COUNT_US = HOLD_MOST_US  # a failure counts among them, and a good answer after one is told, for so long
SEEN_US = 5_000_000  # servers that were asked within it say how a witness itself fares
SICK = 0.34  # a witness that fails with more of the servers counts nothing
WITNESSES = 2
AVOID_SHARE = 0.34
FRESH_US = 3_000_000  # a witness that says nothing more is forgotten
RECENT_US = 1_500_000  # pressure told longer ago counts nothing
PRESSURE_LEAST, TRIM, HEAVY = 3, 0.2, 2.0
MOST_SIGNS = 36  # of one message
MOST_WITNESSES = 2_048


class Trouble(IntEnum):
    NONE = 0
    ERRORS = 1  # it answers with errors
    SILENT = 2  # it does not answer, or cannot be reached
    FULL = 3  # it turns work away
    SLOW = 4  # answers come late


DECIDE = (Trouble.ERRORS, Trouble.SILENT)


@dataclass(slots=True, frozen=True)
class Sign:
    """What one witness has seen of one server; ages in microseconds, -1: never."""

    server: Key
    trouble: Trouble
    failures: int  # in a row
    bad_us: int  # since the last of them
    before_us: int  # since the one before it, in the same row
    good_us: int  # since its last good answer


@dataclass(slots=True, frozen=True)
class Evidence:
    """What one witness tells at one moment."""

    pressure: float | None  # 0..1: the shortage it sees; None: not known
    weight: int  # requests a second that it serves
    answering: int  # servers whose last outcome with it, lately, was good
    failing: int  # ... was a failure
    hall: Key
    signs: tuple[Sign, ...] = ()
    number: int = 0  # grows within a life, and lives of one sender grow
    whole: bool = True  # all that it has to tell of servers; else what has changed, and the rest holds
    halls: tuple[HallSign, ...] = ()  # all that it has to tell of halls

    @property
    def sound(self) -> bool:
        """Does the witness itself fare well enough to be believed?"""
        return self.answering > 0 and self.failing <= max(1.0, SICK * (self.answering + self.failing))


@dataclass(slots=True)
class Seen:
    """Own outcomes with one server."""

    trouble: Trouble = Trouble.NONE
    failures: int = 0
    bad: int = -1  # clock times; -1: never
    before: int = -1
    good: int = -1

    def counts(self, now: int) -> bool:
        return self.failures > 0 and now < self.bad + COUNT_US


def lasts(failures: int) -> int:
    """So long after the last of so many in a row a server is avoided for them."""
    return min(HOLD_MOST_US, HOLD_US << min(failures - 1, 8)) if failures else 0


@dataclass(slots=True)
class Claim:
    """A witness's sign, in this balancer's own time."""

    trouble: Trouble
    failures: int
    bad: int
    before: int
    good: int

    def counts(self, now: int, after: int = -1) -> int:
        """How many of its failures, after this time, are evidence now."""
        since = max(after, now - COUNT_US)
        if not self.failures or self.trouble not in DECIDE:
            return 0
        return min(OF_ONE, (self.bad > since) + (self.failures > 1 and self.before > since))


@dataclass(slots=True)
class Witness:
    life: int
    number: int
    at: int
    evidence: Evidence
    claims: dict[Key, Claim]


class Judgements:
    """One balancer's evidence, and what it makes of others'."""

    __slots__ = (
        "_away",
        "_claimed",
        "_listed",
        "_news",
        "_seen",
        "hall",
        "luck",
        "pressure",
        "weight",
        "witnesses",
    )

    def __init__(self, hall: str, luck: int = 0) -> None:
        """`luck`: any number of its own; it decides how early the balancer asks again."""
        self.hall, self.luck = short(hall.encode()), luck
        self.pressure: float | None = None  # its own, and how much it serves: set before `tell`
        self.weight = 0
        self._news: set[Key] = set()  # servers of which others should know at once
        self._seen: dict[Key, Seen] = {}
        self._listed: dict[Key, tuple[bytes, int]] = {}  # the server, and the clock time of its start
        self._away: frozenset[Key] = frozenset()  # servers of halls that this balancer holds for lost
        self.witnesses: dict[str, Witness] = {}
        self._claimed: dict[Key, set[str]] = {}  # by server, the witnesses that tell of it

    @property
    def urgent(self) -> bool:
        """Is there something that others should know at once?"""
        return bool(self._news)

    # What is seen

    def listed(self, servers: Mapping[bytes, int], away: Iterable[bytes] = ()) -> None:
        """The servers there are, with the clock time of their last start; 0: long ago.  Of those `away`, in a
        hall that is lost to this balancer, nothing is told: their hall's life is."""
        listed = {short(server): (server, born) for server, born in servers.items()}
        for key in list(self._seen):
            if key not in listed or listed[key][1] != self._listed.get(key, (b"", 0))[1]:
                del self._seen[key]  # what it did, another process did
        self._listed, self._away = listed, frozenset(map(short, away))
        self._news &= self._seen.keys() - self._away

    def servers(self) -> list[bytes]:
        return [server for server, _ in self._listed.values()]

    def saw(self, now: int, server: bytes, trouble: Trouble) -> None:
        """An own request had this outcome; NONE: a good answer."""
        key = short(server)
        if key not in self._listed:
            return
        seen = self._seen.setdefault(key, Seen())
        if trouble is Trouble.NONE:
            if seen.failures and seen.trouble in DECIDE or self._open(now, key, seen.good):
                self._news.add(key)
            seen.trouble, seen.failures, seen.good = trouble, 0, now
            return
        again = seen.failures > 0 and seen.trouble in DECIDE
        seen.failures, seen.before = (seen.failures + 1, seen.bad) if again else (1, -1)
        seen.trouble, seen.bad = trouble, now
        if trouble in DECIDE and key not in self._away:
            self._news.add(key)

    def tell(self, now: int, number: int, whole: bool = True) -> Evidence:
        """What this balancer has to tell now, but for what later good answers of its hall have made void;
        else only what all should know at once."""
        news, doubted = self._news, self._doubted(now) if whole else set()
        if not whole:
            self._news = set()
        signs = []
        for key in self._seen.keys() - self._away if whole else news:
            seen = self._seen[key]
            known = max((c.good for c in self._of(key, self.hall)), default=-1) if whole else -1
            recovered = key in doubted and seen.good > known and now - seen.good < COUNT_US
            if not whole or seen.counts(now) and seen.bad > known or recovered:
                bad, before, good = (now - at if at >= 0 else -1 for at in (seen.bad, seen.before, seen.good))
                signs.append(
                    (
                        -max(seen.bad, seen.good),
                        key,
                        Sign(key, seen.trouble, seen.failures, bad, before, good),
                    )
                )
        answering, failing = self._fares(now)
        signs.sort(key=lambda s: s[:2])
        return Evidence(
            self.pressure,
            self.weight,
            answering,
            failing,
            self.hall,
            tuple(sign for _, _, sign in signs[:MOST_SIGNS]),
            number,
            whole,
        )

    def _fares(self, now: int) -> tuple[int, int]:
        """Servers whose last outcome, lately, was good, and those where it failed, but for lost halls."""
        lately = [
            seen.failures > 0
            for key, seen in self._seen.items()
            if now - max(seen.bad, seen.good) < SEEN_US and key not in self._away
        ]
        return len(lately) - sum(lately), sum(lately)

    def sound(self, now: int) -> bool:
        """Does this balancer fare well enough for its own failures to count?"""
        return Evidence(None, 0, *self._fares(now), self.hall).sound

    # What is heard

    def came(self, now: int, sender: str, life: int, told: Evidence) -> None:
        """A witness's evidence; what was overtaken is dropped."""
        known = self.witnesses.get(sender)
        if known is not None and (life, told.number) <= (known.life, known.number):
            return
        if known is None and len(self.witnesses) >= MOST_WITNESSES:
            return
        claims = {
            s.server: Claim(
                s.trouble,
                s.failures,
                *(now - age if age >= 0 else -1 for age in (s.bad_us, s.before_us, s.good_us)),
            )
            for s in told.signs[:MOST_SIGNS]
        }
        if known is not None:
            self._drop(sender, known)
            if not told.whole and known.life == life:
                held = sorted(known.claims.items(), key=lambda c: -max(c[1].bad, c[1].good))
                claims = {**dict(held[: MOST_SIGNS - len(claims)]), **claims}
        self.witnesses[sender] = Witness(life, told.number, now, told, claims)
        for key in claims:
            self._claimed.setdefault(key, set()).add(sender)
        self._news.update(s.server for s in told.signs if s.failures and self._refutes(now, s.server))

    def _open(self, now: int, key: Key, good: int) -> int:
        """How often others failed there since the last good answer that is known, an own one of this time
        among them; by all, or by those of its hall, whichever is more."""
        if key not in self._claimed:
            return 0
        counts = []
        for claims in (self._of(key), self._of(key, self.hall)):
            after = max((c.good for c in claims), default=-1)
            counts.append(sum(c.counts(now, max(good, after)) for c in claims))
        return max(counts)

    def _refutes(self, now: int, key: Key) -> bool:
        """Had this balancer a good answer that makes void some of several failures, as nobody's else does?"""
        seen = self._seen.get(key)
        if seen is None or seen.failures:
            return False
        counted = self._open(now, key, -1)
        return counted >= OF_ONE and self._open(now, key, seen.good) < counted

    def forget(self, now: int) -> None:
        """Leave out what has aged out."""
        for sender, w in list(self.witnesses.items()):
            if now - w.at >= FRESH_US and not any(c.counts(now) for c in w.claims.values()):
                self._drop(sender, w)
                del self.witnesses[sender]

    def _drop(self, sender: str, w: Witness) -> None:
        for key in w.claims:
            senders = self._claimed[key]
            senders.discard(sender)
            if not senders:
                del self._claimed[key]

    def _of(self, key: Key, hall: Key | None = None) -> list[Claim]:
        """What all witnesses have of a server, or those of one hall."""
        witnesses = [self.witnesses[name] for name in self._claimed.get(key, ())]
        return [w.claims[key] for w in witnesses if hall is None or w.evidence.hall == hall]

    def _doubted(self, now: int) -> set[Key]:
        return {key for key in self._claimed if any(c.counts(now) for c in self._of(key))}

    # What is believed

    def _claims(self, now: int, key: Key, born: int) -> list[tuple[Key, str, Claim]]:
        """By hall and name, what each sound witness has of one server, this balancer included."""
        found = []
        for name in sorted(self._claimed.get(key, ())):
            w = self.witnesses[name]
            claim = w.claims[key]
            if w.evidence.sound and max(claim.bad, claim.good) > born:
                found.append((w.evidence.hall, name, claim))
        if (seen := self._seen.get(key)) is not None:
            failures = seen.failures if self.sound(now) else 0
            found.append((self.hall, "", Claim(seen.trouble, failures, seen.bad, seen.before, seen.good)))
        return found

    def _accusers(
        self, now: int, born: int, claims: Iterable[tuple[Key, str, Claim]]
    ) -> list[tuple[Key, str, Claim]]:
        """Those who failed since the last good answer, if together often enough."""
        claims = list(claims)
        after = max((c.good for _, _, c in claims), default=-1)
        counted = [(c.counts(now, max(after, born)), (hall, name, c)) for hall, name, c in claims]
        found = [who for count, who in counted if count]
        return found if len(found) >= WITNESSES and sum(count for count, _ in counted) >= NEED else []

    def against(self, now: int, key: Key) -> list[tuple[Key, str, Claim]]:
        """Those who say that a server is bad, if they are enough to believe it."""
        if key not in self._listed:
            return []
        born = self._listed[key][1]
        claims = self._claims(now, key, born)
        everyone = self._accusers(now, born, claims)
        if len({hall for hall, _, _ in everyone}) < 2:
            everyone = self._accusers(now, born, [c for c in claims if c[0] == self.hall])
        return everyone

    def believed(self, now: int) -> dict[bytes, list[tuple[Key, str, Claim]]]:
        """The servers to be avoided, each with those who say so, while that holds."""
        found = []
        for key in self._doubted(now):
            if everyone := self.against(now, key):
                found.append((-len(everyone), self._listed[key][0], everyone))
        found.sort(key=lambda f: f[:2])
        return {server: who for _, server, who in found[: int(AVOID_SHARE * len(self._listed))]}

    def avoid(self, now: int) -> dict[bytes, int]:
        """The servers to be avoided, and until when."""
        until = {}
        for server, who in self.believed(now).items():
            luck = 0.75 + 0.25 * ((hash_of(server) ^ self.luck) % 1024) / 1024
            beyond = sum(c.counts(now) for _, _, c in who) - NEED + 1
            ends = sorted(
                (c.bad + int(lasts(max(c.failures, beyond)) * luck) for _, _, c in who), reverse=True
            )
            if ends[WITNESSES - 1] > now:  # as long as two hold it
                until[server] = ends[WITNESSES - 1]
        return until

    def together(self, now: int) -> float | None:
        """The pressure that all see; None: too few are heard."""
        reports = [
            (w.evidence.pressure, max(1, w.evidence.weight))
            for w in self.witnesses.values()
            if w.evidence.pressure is not None and now - w.at < RECENT_US
        ]
        if self.pressure is not None:
            reports.append((self.pressure, max(1, self.weight)))
        if len(reports) < PRESSURE_LEAST:
            return None
        most = HEAVY * median(weight for _, weight in reports)
        ordered = sorted(
            (pressure, min(float(weight), most)) for pressure, weight in reports if pressure is not None
        )
        total = sum(weight for _, weight in ordered)
        low, high, passed, kept = TRIM * total, (1 - TRIM) * total, 0.0, 0.0
        for pressure, weight in ordered:
            kept += pressure * max(0.0, min(high, passed + weight) - max(low, passed))
            passed += weight
        return kept / (high - low)


def hash_of(server: bytes) -> int:
    return int.from_bytes(short(server), "big")
