"""`roadlb control FILE` as a process of a rehearsal, in which one fault can be planted.

python -m roadlb.lab.agreement.control FILE [DEFECT]
"""

from __future__ import annotations

import asyncio
import sys

from ...agreement.issuer import Issuer
from ...control import leading
from ...control.service import serve
from ...control.settings import Settings
from ...etcd.model import Txn
from ...issuing import office, seat
from ...log import set_up
from ..model_check.defects import Forgetful, Hasty


class Unfenced(Issuer):
    """Sure of itself for as long as nobody has deposed it."""

    __slots__ = ()

    def _sure(self, now: int) -> bool:
        return self.leading


class Clockless(leading.Leading):
    """Leads on, whatever its own clock says of its seat."""

    def _lapse(self, now: int) -> None:
        pass

    def leads(self, now: int) -> int | None:
        return self.holder if self.state is leading.State.LEADING else None


class Mute(leading.Leading):
    """Deposed as soon as the store does not answer, so that drains stay here."""

    def _step_down(self, now: int, state: leading.State, reason: str, known: bool = True) -> None:
        super()._step_down(now, state, reason)


def plant(defect: str) -> None:
    """ValueError for a defect that is none."""
    if defect == "early":  # grants before the leases of what was before are gone
        vars(office)["Issuer"] = Hasty
    elif defect == "unfenced":  # no clock, no seat in the store's writes
        vars(office)["Issuer"], vars(leading)["Leading"] = Unfenced, Clockless
        vars(seat)["guarded"] = lambda keys, epoch, *then: Txn((), then)
    elif defect == "forgetful":  # a new leader knows of nobody but those that it has heard
        vars(office)["Issuer"] = Forgetful
    elif defect == "mute":
        vars(leading)["Leading"] = Mute
    elif defect:
        raise ValueError(f"{defect!r} is no defect here: early, forgetful, unfenced and mute are")


def read(file: str) -> Settings:
    import tomllib
    from pathlib import Path

    import msgspec

    return msgspec.convert(tomllib.loads(Path(file).read_text(encoding="utf-8")), Settings)


if __name__ == "__main__":
    plant(sys.argv[2] if len(sys.argv) > 2 else "")
    set_up()
    asyncio.run(serve(read(sys.argv[1])))
