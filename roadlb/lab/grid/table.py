"""A picture of the grid as tables for a terminal, and as one line where there is none."""

from __future__ import annotations

from collections.abc import Iterable

from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

from .picture import BalancerRow, NodeRow, Picture

NODE_HEADS = ("node", "state", "kind", "hall", "warm", "can", "queue", "in work", "sent/s")
BALANCER_HEADS = ("balancer", "state", "hall", "served/s", "refused/s", "failed/s", "lost/s", "worth")
STYLES = {
    "up": "green",
    "cold": "cyan",
    "draining": "yellow",
    "starting": "cyan",
    "stopping": "yellow",
    "paused": "magenta",
    "cut": "magenta",
    "stopped": "dim",
    "down": "red",
    "fallen": "bold red",
}
GONE = ("stopped", "fallen")
BAR = 8  # characters of a bar for warmth


def tables(picture: Picture) -> RenderableType:
    """Everything; what a small terminal has no room for are the last nodes."""
    parts: list[RenderableType] = [head(picture), broken(picture)]
    if picture.worst:
        parts.append(Text(picture.worst, style="red", overflow="ellipsis", no_wrap=True))
    if picture.balancers:
        parts += [Text(), _table(BALANCER_HEADS, map(balancer_row, picture.balancers))]
    return Group(*parts, Text(), _table(NODE_HEADS, map(node_row, picture.nodes)))


def head(picture: Picture) -> Text:
    fallen = sum(row.state == "fallen" for row in picture.nodes)
    told = [
        f"{picture.second:.0f} of {picture.of_s:.0f} s"
        if picture.second <= picture.of_s
        else f"{picture.second:.0f} s, the incident is over"
    ]
    if picture.service is not None:
        told.append(f"{picture.wished_per_s:.0f} wished/s")
        told.append(f"service so far {picture.service:.1%}")
    if fallen:
        told.append(f"{fallen} fallen")
    if picture.lagged_s:
        told.append(f"held up {picture.lagged_s:.1f} s")
    return Text.assemble("   ".join(told), "   ", (picture.title, "bold"), overflow="ellipsis", no_wrap=True)


def broken(picture: Picture) -> Text:
    if not picture.violations:
        return Text("no rule broken", style="green")
    return Text(
        "broken: " + ", ".join(f"{rule} {count}" for rule, count in picture.violations.items()),
        style="bold red",
    )


def node_row(row: NodeRow) -> list[Text]:
    state = row.state
    if state == "up" and row.cold_share < 1:
        state = "cold"
    told = f"{state}, work x{row.slowed:g}" if row.slowed != 1 and state not in GONE else state
    cells = [Text(row.name), Text(told, style=STYLES.get(state, "")), Text(row.kind), Text(row.hall)]
    if state in GONE:
        return [*cells, *(Text("") for _ in range(len(NODE_HEADS) - len(cells)))]
    bar = "#" * round(row.cold_share * BAR)
    return [
        *cells,
        Text(f"{bar:.<{BAR}} {row.cold_share:4.0%}"),
        Text(f"{row.capacity:.2f}"),
        Text(str(row.queue)),
        Text(str(row.running)),
        Text(f"{row.sent_per_s:.0f}"),
    ]


def balancer_row(row: BalancerRow) -> list[Text]:
    return [
        Text(row.name),
        Text(row.state, style=STYLES.get(row.state, "")),
        Text(row.hall),
        Text(f"{row.served:.0f}"),
        Text(f"{row.refused:.0f}"),
        Text(f"{row.failed:.0f}"),
        Text(f"{row.lost:.0f}", style="red" if row.lost else ""),
        Text("-" if row.worth is None else f"{row.worth:.1%}"),
    ]


def _table(heads: Iterable[str], rows: Iterable[list[Text]]) -> Table:
    made = Table(box=None, pad_edge=False, header_style="bold")
    for i, name in enumerate(heads):
        made.add_column(name, justify="left" if i < 3 or name in ("hall", "warm") else "right", no_wrap=True)
    for row in rows:
        made.add_row(*row)
    return made


def line(picture: Picture) -> str:
    """The same in one line, for logs and pipes."""
    states: dict[str, int] = {}
    for row in picture.nodes:
        state = "cold" if row.state == "up" and row.cold_share < 1 else row.state
        states[state] = states.get(state, 0) + 1
    parts = [
        f"{picture.second:5.0f} s",
        "nodes " + (", ".join(f"{n} {state}" for state, n in states.items()) or "none"),
    ]
    if picture.service is not None:
        ends = {
            name: sum(getattr(row, name) for row in picture.balancers)
            for name in ("served", "refused", "failed", "lost")
        }
        parts += [
            f"wished {picture.wished_per_s:.0f}/s",
            *(f"{name} {count:.0f}" for name, count in ends.items()),
            f"service {picture.service:.1%}",
        ]
    parts.append(broken(picture).plain)
    return "  ".join(parts)
