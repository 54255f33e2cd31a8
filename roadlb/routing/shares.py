"""Among how many balancers is divided what all together may do, alone or as they tell each other.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

LEAST = 1e-9  # of a share: one of nothing is as good as none
SAVED_S = 1.0  # what a rate makes is saved for so long, but one at least
MOST_HALLS = 256


class Tokens:
    """What a balancer's share of a rate has made and it has not spent."""

    __slots__ = ("at", "left")

    def __init__(self, at: int) -> None:
        self.at, self.left = at, 1.0


class Shares:
    """One balancer's parts of the whole.

    All together spend of a rate, within any time, at most what it makes in it, SAVED_S of it, and one for
    each process that ran meanwhile: a balancer whose share shrinks keeps what that may have saved, or one.
    """

    __slots__ = (
        "_cold",
        "_dialled",
        "_dials",
        "_floor",
        "_instances",
        "_lean",
        "_pressure",
        "_quotas",
        "_repeated",
        "_repeats",
        "_stale",
        "_told",
        "_twins",
        "_until",
        "_wholes",
        "alike",
        "bounded",
        "dials_held",
        "dials_per_s",
        "parts",
        "repeats_held",
        "repeats_per_s",
        "rest",
    )

    def __init__(self, instances: int) -> None:
        self._instances, self._twins, self._told = instances, 1, 0
        self.parts, self.alike = instances, instances  # so many processes; of them, so many see the same
        self._cold: Mapping[bytes, float] = {}
        self._quotas: Mapping[int, float] = {}
        self._wholes: Mapping[int, float] = {}
        self._until, self._floor = 0, 1.0  # after it, no more than this share of any
        self.rest = 1.0  # of a cold server not told of, no more than this
        self._pressure: float | None = None  # the shortage that all see, if that is known
        self._lean, self._stale = 1.0, 0  # its part beside the own; until when it counts

        self.repeats_per_s, self.dials_per_s = 0.0, 0.0  # of all together; 0: no bound
        self.bounded = False  # by either
        self._repeats: float | None = None
        self._dials: Mapping[int, float] = {}
        self._repeated, self._dialled = Tokens(0), dict[int, Tokens]()
        self.repeats_held, self.dials_held = 0, dict[int, int]()  # how often there was none left

    def twins(self, now: int, count: int) -> None:
        """So many processes are this one instance."""
        self._settle(now)
        self._twins = max(1, count)
        self.parts = self._told or self._instances * self._twins

    def told(
        self,
        now: int,
        parts: int,
        cold: Mapping[bytes, float],
        quotas: Mapping[int, float],
        pressure: float | None,
        until: int,
        floor: float,
        wholes: Mapping[int, float],
        lean: float = 1.0,
        stale: int = 0,
    ) -> None:
        """`roadlb.policy.interface.SharedStateUpdate` has what each means."""
        self._settle(now)
        self._told, self.alike = parts, parts or self._instances
        self.parts = parts or self._instances * self._twins
        self._cold, self._quotas = cold, quotas
        self._pressure, self._lean, self._stale = pressure, min(1.0, max(0.0, lean)), stale
        self._until, self._floor, self._wholes = until, floor, wholes

    def of_cold(self, now: int, server: bytes) -> float:
        """Among how many a cold server's budget is divided, in our share's terms: 1 / share."""
        if server not in self._cold:
            return max(self.parts, 1 / self.rest)
        return self._among(now, self._cold.get(server))

    def of_quota(self, now: int, tenant: int) -> float:
        """The same for a customer's quota, as the settings have it."""
        among, whole = self._among(now, self._quotas.get(tenant)), self._wholes.get(tenant)
        return among if whole is None else among / max(whole, LEAST)

    def _among(self, now: int, share: float | None) -> float:
        if share is None:
            return self.parts
        if self._until and now >= self._until:
            share = min(share, self._floor)
        return 1 / max(share, LEAST)

    def shortage(self, now: int, alone: float) -> float:
        """The share of the demand that there is no room for, where this balancer sees `alone`."""
        if self._pressure is None or self._stale and now >= self._stale:
            return alone
        return alone + self._lean * (self._pressure - alone)

    # Rates

    def bound(
        self,
        now: int,
        rest: float,
        repeats_per_s: float,
        repeats: float | None,
        dials_per_s: float,
        dials: Mapping[int, float],
    ) -> None:
        """The rest of `SharedStateUpdate`, told after the other figures."""
        if not self.repeats_per_s:
            self._repeated = Tokens(now)
        self.rest, self.bounded = rest, repeats_per_s > 0 or dials_per_s > 0
        self.repeats_per_s, self._repeats = repeats_per_s, repeats
        self.dials_per_s, self._dials = dials_per_s, dials
        self._settle(now)  # a share that shrank has less saved

    def may_repeat(self, now: int) -> bool:
        """May one more attempt be made for a request that has had one?"""
        if not self.repeats_per_s:
            return True
        self._fill(now, self._repeated, self.repeats_per_s, self._repeats)
        if self._repeated.left >= 1.0:
            return True
        self.repeats_held += 1
        return False

    def may_dial(self, now: int, hall: int) -> bool:
        """May a request go to a hall that is away, by its number?"""
        if not self.dials_per_s:
            return True
        tokens = self._dialled.get(hall)
        if tokens is None:
            if len(self._dialled) >= MOST_HALLS:
                return False
            tokens = self._dialled[hall] = Tokens(now)
        self._fill(now, tokens, self.dials_per_s, self._dials.get(hall))
        if tokens.left >= 1.0:
            return True
        self.dials_held[hall] = self.dials_held.get(hall, 0) + 1
        return False

    def sent(self, now: int, hall: int, away: bool, again: bool) -> None:
        """An attempt has begun: is its hall away, has its request had one before?"""
        if again and self.repeats_per_s:
            self._fill(now, self._repeated, self.repeats_per_s, self._repeats)
            self._repeated.left -= 1.0
        if away and hall in self._dialled:
            self._dialled[hall].left -= 1.0

    def _settle(self, now: int) -> None:
        """What was made until now was made by the shares that hold now."""
        if self.repeats_per_s:
            self._fill(now, self._repeated, self.repeats_per_s, self._repeats)
        for hall, tokens in self._dialled.items():
            self._fill(now, tokens, self.dials_per_s, self._dials.get(hall))

    def _fill(self, now: int, tokens: Tokens, per_s: float, share: float | None) -> None:
        held, end = 1.0 / self.parts, now
        if share is not None:
            held, end = share, self._until or now
        last = 1.0 / self._among(now, share)
        made = held * max(0, min(now, end) - tokens.at) + last * max(0, now - max(tokens.at, end))
        tokens.left = min(max(1.0, per_s * last * SAVED_S), tokens.left + per_s * made / 1e6)
        tokens.at = max(tokens.at, now)
