"""Budgets of all balancers together with one fault each: the model, the simulation and the processes must
find it."""

from __future__ import annotations

from ...shared_state.budgets import Budgets, Terms
from ...shared_state.events import Answer, Ask, Key, Tell


class DeductsOnAcknowledgement(Budgets):
    """A gift is on the books only once its taker says that it holds it."""

    def given(self, now: int, resource: Key, but: tuple[str, int] | None = None) -> int:
        return sum(
            t.gifts[resource].old
            for who, t in self.takers.items()
            if resource in t.gifts and who != but and now < t.gifts[resource].old_until
        )


class LeaseFromReceipt(Budgets):
    """A lease runs from when the answer came."""

    def _answered(self, now: int, sender: str, answer: Answer) -> None:
        if sender in self.partners and self.partners[sender].number == answer.number:
            self.partners[sender].sent = now
        super()._answered(now, sender, answer)


class ForgetsItsGifts(Budgets):
    """A new life gives at once."""

    def __init__(self, now: int, name: str, life: int, terms: Terms) -> None:
        super().__init__(now, name, life, terms)
        self.free_from = now


class TakesReturnsTwice(Budgets):
    """An account that came before is believed again."""

    def _asked(self, now: int, sender: str, life: int, ask: Ask) -> list[Tell]:
        if (sender, life) in self.takers:
            self.takers[sender, life].number = 0
        return super()._asked(now, sender, life, ask)


class FloorBesideTheSum(Budgets):
    """What it gave away it uses itself as well, as its floor."""

    def own(self, now: int, resource: Key) -> int:
        return self.terms.part


class TakesOldAnswers(Budgets):
    """An answer to any ask counts."""

    def _answered(self, now: int, sender: str, answer: Answer) -> None:
        if sender in self.partners:
            partner = self.partners[sender]
            partner.number, partner.answered = answer.number, False
        super()._answered(now, sender, answer)


class TakesTheWhole(Budgets):
    """It has all of every budget: so gross that nodes and clients can tell."""

    def usable(self, now: int, resource: Key) -> int:
        return self.terms.whole


DEFECTS = [
    DeductsOnAcknowledgement,
    LeaseFromReceipt,
    ForgetsItsGifts,
    TakesReturnsTwice,
    FloorBesideTheSum,
    TakesOldAnswers,
]
