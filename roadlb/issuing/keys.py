"""The keys that control services share in the store, and questions about the seat as requests.  No I/O.

PREFIX/seat            who leads: its name; bound to its lease
PREFIX/era             a decimal number: see control/leading.py
PREFIX/force           the version in force
PREFIX/prepared        a newer one that is being prepared
PREFIX/roll            who follows: each who may have a lease is on it
PREFIX/history/NUMBER  versions proposed, accepted, refused: the newest HISTORY_MOST
"""

from __future__ import annotations

from dataclasses import dataclass

from ..control.leading import (
    AskLease,
    Event,
    Failed,
    Fenced,
    Granted,
    Look,
    RaiseEra,
    Raised,
    Ran,
    Renew,
    Renewed,
    Revoke,
    Run,
    Taken,
    Vacant,
    created_of,
    epoch_of,
)
from ..etcd.model import (
    Compare,
    Decided,
    Field,
    Get,
    Got,
    Grant,
    KeepAlive,
    Leased,
    Operation,
    Pair,
    Put,
    Relation,
    Reply,
    Request,
    Txn,
)
from ..etcd.model import Revoke as RevokeLease

Question = AskLease | Run | Renew | RaiseEra | Look | Revoke


@dataclass(frozen=True, slots=True)
class Keys:
    """Names under one prefix: one fleet's."""

    prefix: str

    def __getitem__(self, name: str) -> bytes:
        return f"{self.prefix}/{name}".encode()


def guarded(keys: Keys, epoch: int, *then: Operation) -> Txn:
    """Carried out only while the seat is the one of this epoch."""
    seat = Compare(keys["seat"], Field.CREATED, Relation.EQUAL, created_of(epoch))
    return Txn((seat,), then)


def question(action: Question, keys: Keys, who: str) -> Request:
    """What the store is asked; `who` is put on the seat, for people."""
    match action:
        case AskLease(ttl_s):
            return Grant(ttl_s)
        case Renew(lease):
            return KeepAlive(lease)
        case Look():
            return Get(keys["seat"])
        case Revoke(lease):
            return RevokeLease(lease)
        case RaiseEra(created, era):
            return guarded(keys, epoch_of(0, created), Put(keys["era"], str(era).encode()))
        case Run(lease):
            seat, vacant = keys["seat"], Compare(keys["seat"], Field.CREATED, Relation.EQUAL, 0)
            reads = Get(seat), Get(keys["era"])
            return Txn((vacant,), (Put(seat, who.encode(), lease), *reads), reads)


def answer(action: Question, asked_at: int, reply: Reply, epoch: int = 0) -> Event:
    """What the reply says to `Leading`; `epoch`: the one in which a guarded question was asked."""
    match action, reply:
        case AskLease(), Leased(_, lease, ttl_s):
            return Granted(asked_at, lease, ttl_s)
        case Renew(lease), Leased(_, _, ttl_s):
            return Renewed(asked_at, lease, ttl_s)
        case RaiseEra(_, era), Decided(_, held):
            return Raised(era) if held else Fenced(epoch)
        case Look(), Got():
            return Vacant() if pair_of(reply) is None else Taken()
        case Run(), Decided(_, _, answers):
            seat, raised = (pair_of(told) for told in answers[-2:])
            if seat is not None:
                return Ran(asked_at, seat.created, seat.lease, number_in(raised))
    return Failed(f"{type(reply).__name__} says nothing of {type(action).__name__}")


def pair_of(told: object) -> Pair | None:
    """The one key of an answer, if it is there."""
    return told.pairs[0] if isinstance(told, Got) and told.pairs else None


def number_in(pair: Pair | None) -> int:
    """0 for a key that is not there, or holds no number."""
    return int(pair.value) if pair is not None and pair.value.isdigit() else 0
