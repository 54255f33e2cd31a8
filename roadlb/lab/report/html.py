"""One run as one page that needs nothing else: figures, charts over time, violations with their events."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import asdict
from xml.etree.ElementTree import Element, SubElement, tostring

from ..judge import Violation
from .series import NodeSeries, Series, count
from .style import CSS
from .subject import SECOND_US, Subject
from .svg import Chart

MOST_VIOLATIONS = 100  # shown on the page; the JSON has more


def page(subject: Subject) -> str:
    """The whole page as text."""
    series = count(subject)
    root = Element("html", {"lang": "en"})
    head = SubElement(root, "head")
    SubElement(head, "meta", {"charset": "utf-8"})
    SubElement(head, "meta", {"name": "viewport", "content": "width=device-width, initial-scale=1"})
    SubElement(head, "title").text = f"{subject.name}, seed {subject.seed}"
    SubElement(head, "style").text = CSS
    body = SubElement(SubElement(root, "body"), "main")
    _heading(body, subject)
    _worth_cards(body, subject)
    _steps(body, subject)
    _over_time(body, subject, series)
    _nodes(body, subject, series)
    _violations(body, subject)
    _figures(body, subject)
    return "<!doctype html>\n" + tostring(root, encoding="unicode", method="html")


def _say(parent: Element, tag: str, text: str, look: str = "") -> Element:
    element = SubElement(parent, tag, {"class": look} if look else {})
    element.text = text
    return element


def _heading(body: Element, subject: Subject) -> None:
    verdict = subject.verdict
    _say(body, "h1", subject.title)
    if verdict.kept:
        _say(body, "p", "All rules kept", "kept")
    else:
        _say(body, "p", f"{sum(verdict.counts.values())} violations", "broken")
    _say(
        body,
        "p",
        f"{subject.name}, seed {subject.seed}, world {subject.world}, {subject.seconds:.1f} s, "
        f"{len(subject.log)} events, digest {subject.digest}",
        "fine",
    )


def _worth_cards(body: Element, subject: Subject) -> None:
    worth, start = subject.verdict.worth, subject.start_us // SECOND_US
    cards = SubElement(body, "div", {"class": "cards"})

    def card(name: str, value: str, note: str) -> None:
        one = SubElement(cards, "div", {"class": "card"})
        _say(one, "div", name, "name")
        _say(one, "div", value, "value")
        _say(one, "div", note, "fine")

    card("service", f"{worth.service:.1%}", "weighted, prices taken off")
    card("whole run", f"{worth.whole:.1%}", f"{worth.served:.0f} of {worth.asked:.0f} worth")
    card("worst 10 s", f"{worth.worst_window:.1%}", f"from {worth.worst_window_at_s - start} s on")
    for title, shares in (("worst class", worth.by_class), ("worst customer", worth.by_tenant)):
        if shares:
            name = min(shares, key=lambda one: shares[one])
            card(title, f"{shares[name]:.1%}", name)
    named = [f"{name} {price:.2%}" for name, price in worth.prices.items() if price >= 0.00005]
    card("prices", f"{sum(worth.prices.values()):.2%}", ", ".join(named) or "none")


def _steps(body: Element, subject: Subject) -> None:
    if subject.steps:
        steps = SubElement(body, "ol", {"class": "steps"})
        for second, text in subject.steps:
            _say(steps, "li", f"{second:.1f} s: {text}")


def _marked(chart: Chart, subject: Subject, node: str = "") -> Chart:
    """Steps and violations; on a node's chart only those in which it has a part."""
    for second, text in subject.steps:
        chart.mark(second, "step", f"{second:.1f} s: {text}")
    for one in subject.verdict.violations:
        if not node or any(getattr(event, "node", "") == node for event in one.events):
            chart.flag(subject.second(one.at), "violation", f"{one.rule.value}: {one.text}")
    return chart


def _legend(parent: Element, looks: Iterable[tuple[str, str]]) -> None:
    legend = SubElement(parent, "p", {"class": "legend"})
    for look, text in looks:
        item = SubElement(legend, "span")
        SubElement(item, "i", {"class": look})
        SubElement(item, "b").text = text


def _over_time(body: Element, subject: Subject, series: Series) -> None:
    start = subject.start_us // SECOND_US
    seconds = subject.verdict.worth.by_second
    asked = [(float(second - start), told[0]) for second, told in seconds.items()]
    served = [(float(second - start), max(0.0, told[1])) for second, told in seconds.items()]
    _say(body, "h2", "Worth asked for and served, a second")
    _legend(
        body,
        (
            ("asked", "asked for"),
            ("served", "served"),
            ("step", "step of the incident"),
            ("violation", "violation"),
        ),
    )
    chart = Chart(subject.seconds, max((value for _, value in asked), default=1), 140, "worth over time")
    body.append(_marked(chart.area(asked, "asked").area(served, "served"), subject).axes().root)

    _say(body, "h2", "Tries by how they ended, a second")
    looks = [(name, name if name != "broken" else "broken off or given up") for name in series.ended]
    _legend(body, looks)
    stacked = _stack(series)
    most = max((value for _, value in stacked[-1][1]), default=1)
    chart = Chart(subject.seconds, most, 140, "tries over time")
    for name, points in reversed(stacked):
        chart.area(points, name)
    body.append(_marked(chart, subject).axes().root)


def _stack(series: Series) -> list[tuple[str, list[tuple[float, float]]]]:
    """Each outcome on top of those before it."""
    below, stacked = [0] * series.bins, []
    for name, counts in series.ended.items():
        below = [a + b for a, b in zip(below, counts, strict=True)]
        stacked.append((name, [(series.at(i), value / series.bin_s) for i, value in enumerate(below)]))
    return stacked


def _nodes(body: Element, subject: Subject, series: Series) -> None:
    _say(body, "h2", "Nodes: work sent, as seconds of standard work a second")
    _legend(
        body,
        (
            ("sent", "sent"),
            ("capacity", "capacity"),
            ("open", "requests in hand (own scale)"),
            ("cold", "cold"),
            ("draining", "draining"),
            ("paused", "paused"),
            ("cut", "cut off"),
            ("slowed", "slowed"),
            ("fell", "fell"),
            ("stopped", "stopped"),
        ),
    )
    rows = series.nodes.values()
    most = max((max(_sent(series, node), default=0.0) for node in rows), default=1.0)
    most = max([most, *(capacity for node in rows for _, capacity, _ in node.starts)])
    for node in rows:
        row = SubElement(body, "div", {"class": "node"})
        _say(row, "h3", f"{node.name}  {node.kind} {node.hall}")
        row.append(_node(subject, series, node, most).root)


def _sent(series: Series, node: NodeSeries) -> list[float]:
    return [us / SECOND_US / series.bin_s for us in node.sent_us]


def _node(subject: Subject, series: Series, node: NodeSeries, most: float) -> Chart:
    chart = Chart(subject.seconds, most, 74, node.name)
    cold_s = subject.rules.cold_us / SECOND_US
    ends = sorted([*node.stopped_s, *node.fell_s])
    for second, _, cold_share in node.starts:
        if cold_share < 1:
            until = min([second + cold_s, *(end for end in ends if end > second)])
            chart.span(
                second,
                until,
                "cold",
                (f"cold: {cold_share:.0%} of its capacity at the start, all of it within {cold_s:g} s"),
            )
    for span in node.spans:
        until = subject.seconds if span.until_s is None else span.until_s
        chart.span(span.since_s, until, span.state, f"{span.state} from {span.since_s:.2f} to {until:.2f} s")
    by = ", ".join(f"{name} {us / SECOND_US:.1f} s" for name, us in sorted(node.by_balancer.items()))
    sent = [(series.at(i), value) for i, value in enumerate(_sent(series, node))]
    chart.area(sent, "sent", f"sent by {by}")
    tallest = max(node.open, default=0)
    if tallest:
        points = [(series.at(i), value * most / tallest) for i, value in enumerate(node.open)]
        chart.line(points, "open", f"at most {tallest} requests in hand")
    for second, capacity, _ in node.starts:
        until = next((end for end in ends if end > second), subject.seconds)
        chart.line([(second, capacity), (until, capacity)], "capacity", f"capacity {capacity:g}")
    for second in node.stopped_s:
        chart.mark(second, "stopped", f"stopped at {second:.2f} s")
    for second in node.fell_s:
        chart.cross(second, most / 2, "fell", f"fell at {second:.2f} s")
    return _marked(chart, subject, node.name).axes()


def _violations(body: Element, subject: Subject) -> None:
    _say(body, "h2", "Violations")
    counts, told = subject.verdict.counts, subject.verdict.violations
    if not counts:
        _say(body, "p", "None.")
        return
    _table(body, ("rule", "times"), [(rule.value, str(times)) for rule, times in counts.items()])
    for one in told[:MOST_VIOLATIONS]:
        _violation(body, subject, one)
    if sum(counts.values()) > MOST_VIOLATIONS:
        _say(body, "p", f"Only the first {min(len(told), MOST_VIOLATIONS)} are shown.", "fine")


def _violation(body: Element, subject: Subject, one: Violation) -> None:
    details = SubElement(body, "details")
    summary = SubElement(details, "summary")
    _say(summary, "b", f"{one.rule.value} ")
    _say(summary, "span", f"{subject.second(one.at):.3f} s: {one.text}")
    rows = []
    for event in one.events:
        told = {key: value for key, value in asdict(event).items() if key != "at"}
        rows.append(
            (
                f"{subject.second(event.at):.6f}",
                type(event).__name__,
                "  ".join(f"{key}={value}" for key, value in told.items()),
            )
        )
    _table(details, ("second", "event", "what it says"), rows)


def _figures(body: Element, subject: Subject) -> None:
    worth, figures = subject.verdict.worth, subject.verdict.figures
    _say(body, "h2", "Figures")
    rows = [
        (name.replace("_", " "), f"{value:.3f}" if isinstance(value, float) else str(value))
        for name, value in asdict(figures).items()
        if isinstance(value, int | float)
    ]
    _table(body, ("figure", "value"), rows)
    _table(
        body,
        ("worth served", "share"),
        [
            (name, f"{share:.2%}")
            for shares in (worth.by_class, worth.by_tenant)
            for name, share in shares.items()
        ],
    )
    quantiles = list(next(iter(figures.latency_ms.values()), {}))
    _table(
        body,
        ("latency of those served, ms", *quantiles),
        [(name, *(f"{told[q]:.1f}" for q in quantiles)) for name, told in figures.latency_ms.items()],
    )
    if subject.fallen:
        _table(
            body,
            ("fell, in this order", "second", "sent", "had room for"),
            [
                (
                    fell.node,
                    f"{subject.second(fell.at):.3f}",
                    f"{fell.sent_us / 1000:.0f} ms",
                    f"{fell.room_us / 1000:.0f} ms",
                )
                for fell in subject.fallen
            ],
        )


def _table(parent: Element, heads: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
    table = SubElement(SubElement(parent, "div", {"class": "wide"}), "table")
    for cells, tag in ((heads, "th"), *((row, "td") for row in rows)):
        line = SubElement(table, "tr")
        for cell in cells:
            _say(line, tag, cell)
