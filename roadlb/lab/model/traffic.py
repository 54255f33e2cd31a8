"""Wishes: what clients want, and when, drawn ahead and without regard to the answers (open loop)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import accumulate
from random import Random

from .classes import ClassSpec, Habits, TenantSpec
from .keys import Keys
from .shapes import Shape


@dataclass(slots=True, frozen=True)
class Wish:
    number: int
    due: int  # when its first try is meant to be sent
    class_index: int
    tenant: str
    key: str
    work_us: int
    honours: bool  # its client keeps to Retry-After
    once: bool  # its client opens a connection for it alone
    holds: bool  # and keeps that open for good


class Traffic:
    """A Poisson stream whose rate follows a shape; all draws come from `rng`.

    Several streams share the numbers by `first_number` and `step`.  `shape` may be replaced, `surge` and
    `flood` called, at any time: they bear on wishes that were not drawn yet.
    """

    def __init__(
        self,
        shape: Shape,
        classes: Sequence[ClassSpec],
        tenants: Sequence[TenantSpec],
        keys: Keys,
        habits: Habits,
        rng: Random,
        from_us: int = 0,
        first_number: int = 0,
        step: int = 1,
    ) -> None:
        self.shape, self.classes, self.habits = shape, tuple(classes), habits
        self._keys, self._rng, self._at = keys, rng, float(from_us)
        self._number, self._step = first_number, step
        self._floods: list[tuple[str | None, str | None, float]] = []
        self._usage = {t.name: t.usage for t in tenants} or {"": 1.0}
        self._share = {t.name: t.share for t in tenants} or {"": 1.0}
        self._weigh()

    def flood(
        self, times: float, of_class: str | None = None, tenant: str | None = None
    ) -> Callable[[], None]:
        """From now on `times` as many wishes of this class and tenant (none: of any); the rest goes on as it
        was.  Returns what ends that.  Floods may overlap, and multiply."""
        flood = (of_class, tenant, times)
        self._floods.append(flood)
        self._weigh()

        def end() -> None:
            self._floods.remove(flood)
            self._weigh()

        return end

    def surge(self, tenant: str, usage: float) -> None:
        """The tenant sends this multiple of its share; the others go on with what they send.

        As `shape` gives the sum, it has to be raised along: `Traffic.usage` tells by how much.
        """
        if tenant not in self._usage:
            raise ValueError(f"tenant: {tenant!r} is none of {sorted(self._usage)}")
        self._usage[tenant] = usage
        self._weigh()

    @property
    def usage(self) -> float:
        """All that the tenants send, as a multiple of all shares."""
        return sum(self._usage[t] * share for t, share in self._share.items()) / sum(self._share.values())

    def _weigh(self) -> None:
        """How much there is of each class and tenant, and of all, as a multiple of what the shape says."""
        self._kinds = [(index, tenant) for index in range(len(self.classes)) for tenant in self._usage]
        usual = [
            self.classes[index].share * self._usage[tenant] * self._share[tenant]
            for index, tenant in self._kinds
        ]
        present = list(usual)
        for of_class, of_tenant, times in self._floods:
            for i, (index, tenant) in enumerate(self._kinds):
                if of_class in (None, self.classes[index].name) and of_tenant in (None, tenant):
                    present[i] *= times
        self._kind_ends = list(accumulate(present))
        self._flooded = self._kind_ends[-1] / sum(usual) if sum(usual) else 1.0

    def next(self, until: int) -> Wish | None:
        """The next wish that is due before `until`; none: ask again from then on."""
        rng, shape, flooded = self._rng, self.shape, self._flooded
        most = shape.most * flooded
        while most > 0:
            # Candidates come at the highest rate there may be, and are taken with the present rate's part
            # of it.  That a stream without memory is cut at `until` changes nothing in it.
            at = self._at + rng.expovariate(most) * 1e6
            if at >= until:
                break
            self._at = at
            if rng.random() * most < shape.rate(int(at)) * flooded:
                return self._wish(int(at))
        self._at = max(self._at, float(until))
        return None

    def _wish(self, due: int) -> Wish:
        rng, habits = self._rng, self.habits
        index, tenant = rng.choices(self._kinds, cum_weights=self._kind_ends)[0]
        number, self._number = self._number, self._number + self._step
        once = habits.once > 0 and rng.random() < habits.once
        return Wish(
            number,
            due,
            index,
            tenant,
            self._keys.draw(rng),
            self.classes[index].draw_work_us(rng),
            rng.random() < habits.honour,
            once,
            once and rng.random() < habits.hold,
        )
