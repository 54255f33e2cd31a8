"""Sites at the operators' door: how each one stands, and an operator's word that takes one out or puts it in.

    GET /control/sites                how each site stands, as JSON
    PUT /control/site/NAME/out        nothing new goes there, from the answer on; 409 if it is the last one
    PUT /control/site/NAME/in         it takes load again, in steps

A word holds for this process: it ends with it, and each balancer is told.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

from ..clock import Clock
from ..engine import Engine
from ..lifecycle.parts import Calls
from ..sites.events import SiteView, State


def site_calls(engine: Engine, zones: Sequence[str], clock: Clock) -> Calls:
    """The door's calls; a site's NAME is its zone's, percent-encoded."""

    def name(number: int) -> str:
        return zones[number] if number < len(zones) else str(number)

    def told(view: SiteView) -> dict[str, Any]:
        return {
            "site": name(view.site),
            "state": view.state.value,
            "share": view.share,
            "servers": view.servers,
            "silent": view.silent,
            "relapses": view.relapses,
            "orders_away": view.orders_away,
            "for_s": round(max(0, clock() - view.since_us) / 1e6, 1) if view.since_us else None,
        }

    def status() -> tuple[int, str]:
        return 200, json.dumps({"sites": [told(view) for view in engine.view().sites]})

    def word(number: int, out: bool) -> Callable[[], tuple[int, str]]:
        def call() -> tuple[int, str]:
            view = engine.override_site(number, out)
            if view is None:
                return 404, f"{name(number)}: no server of it is listed"
            if out and view.state is not State.OUT:
                return 409, f"{name(number)}: is the last site in service, and stays"
            return 200, json.dumps(told(view))

        return call

    calls: dict[tuple[str, str], Callable[[], tuple[int, str]]] = {("GET", "/control/sites"): status}
    for number, zone in enumerate(zones):
        calls["PUT", f"/control/site/{quote(zone, safe='')}/out"] = word(number, True)
        calls["PUT", f"/control/site/{quote(zone, safe='')}/in"] = word(number, False)
    return calls
