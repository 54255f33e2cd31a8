"""Words of both stream machines: where the conversation on a type is, and what a request says.

`sotw.py` and `delta.py` each have their protocol as a table from (Phase, Said) to steps.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from typing import TypeAlias

from .messages import Request
from .subscription import Subscription


class Phase(Enum):
    """Of one type on one stream."""

    NEW = auto()  # never asked for on this stream
    SILENT = auto()  # asked for, nothing sent yet
    WAITING = auto()  # a response is in flight
    ANSWERED = auto()  # the last response was accepted or refused


class Said(Enum):
    """What a request says of responses."""

    NOTHING = auto()  # no nonce
    ACK = auto()  # of the response in flight
    NACK = auto()  # of the response in flight
    REPEAT = auto()  # the nonce of the last response, which is answered already
    STALE = auto()  # any other nonce: an earlier response's, or one never sent
    REFUSES_NOTHING = auto()  # an error without a nonce


class Step(Enum):
    """What is done about it, in the order of the table's entry."""

    ACCEPT = auto()  # the response in flight is accepted
    REFUSE = auto()  # the response in flight is refused
    SUBSCRIBE = auto()  # what the request wants counts
    SHOW = auto()  # what it shows of earlier streams counts
    DOUBT = auto()  # what it lacks may have been dropped meanwhile: to be told again
    END = auto()  # the request cannot be one of this stream


Table: TypeAlias = Mapping[tuple[Phase, Said], tuple[Step, ...]]


def phase_of(subscription: Subscription | None) -> Phase:
    """Where the conversation is."""
    if subscription is None:
        return Phase.NEW
    if subscription.flight is not None:
        return Phase.WAITING
    return Phase.ANSWERED if subscription.nonce else Phase.SILENT


def said(request: Request, subscription: Subscription | None) -> Said:
    """What the request says of the responses of its type."""
    if not request.response_nonce:
        return Said.NOTHING if request.error_detail is None else Said.REFUSES_NOTHING
    if subscription is None or request.response_nonce != subscription.nonce:
        return Said.STALE
    if subscription.flight is None:
        return Said.REPEAT
    return Said.ACK if request.error_detail is None else Said.NACK
