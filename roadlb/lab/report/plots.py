"""Single pictures of a run as PNG files, by matplotlib, which is loaded only here."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from .series import SPANS, Series, count
from .subject import SECOND_US, Subject

if TYPE_CHECKING:
    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

DPI = 110
# Okabe and Ito's, told apart by the colour-blind.
BLUE, SKY, GREEN, ORANGE, RED, PINK = "#0072b2", "#56b4e9", "#009e73", "#e69f00", "#d55e00", "#cc79a7"
LOOKS = {
    "served": BLUE,
    "refused": ORANGE,
    "failed": RED,
    "broken": PINK,
    "draining": ORANGE,
    "paused": "#1c1c1c",
    "cut": RED,
    "slowed": GREEN,
}


def save(subject: Subject, folder: str | Path) -> list[Path]:
    """Write every picture into a folder, which is made if need be; the same run gives the same bytes."""
    folder, series, paths = Path(folder), count(subject), []
    folder.mkdir(parents=True, exist_ok=True)
    for name, draw in PICTURES.items():
        path = folder / f"{name}.png"
        # Without metadata, as the library's version would be in the file.
        draw(subject, series).savefig(path, dpi=DPI, metadata={"Software": None})
        paths.append(path)
    return paths


def worth(subject: Subject, series: Series) -> Figure:
    """Worth asked for and served, by the second in which it was due."""
    figure, (axes,) = _figure(1, 4.0)
    start, seconds = subject.start_us // SECOND_US, subject.verdict.worth.by_second
    times = [second - start for second in seconds]
    asked, served = [told[0] for told in seconds.values()], [told[1] for told in seconds.values()]
    axes.step(times, asked, where="post", color="#888888", label="asked for")
    axes.fill_between(times, served, step="post", color=BLUE, alpha=0.8, label="served")
    axes.set_ylabel("worth a second")
    _finish(axes, subject, f"{subject.title}: service {subject.verdict.worth.service:.1%}")
    return figure


def outcomes(subject: Subject, series: Series) -> Figure:
    """Tries by how they ended."""
    figure, (axes,) = _figure(1, 4.0)
    times = [series.at(i) for i in range(series.bins)]
    axes.stackplot(
        times,
        [[n / series.bin_s for n in counts] for counts in series.ended.values()],
        labels=list(series.ended),
        colors=[LOOKS[name] for name in series.ended],
    )
    axes.set_ylabel("tries a second")
    _finish(axes, subject, subject.title)
    return figure


def nodes(subject: Subject, series: Series) -> Figure:
    """For each node: work sent and capacity, its states, and when it fell."""
    rows = list(series.nodes.values())
    figure, all_axes = _figure(max(1, len(rows)), 1.1 * max(2, len(rows)) + 0.8)
    for axes, node in zip(all_axes, rows, strict=False):
        times = [series.at(i) for i in range(series.bins)]
        sent = [us / SECOND_US / series.bin_s for us in node.sent_us]
        axes.fill_between(times, sent, step="post", color=SKY)
        ends = sorted([*node.stopped_s, *node.fell_s])
        for second, capacity, cold_share in node.starts:
            until = next((end for end in ends if end > second), subject.seconds)
            axes.hlines(capacity, second, until, color="#1c1c1c", lw=1)
            if cold_share < 1:
                warm = min(until, second + subject.rules.cold_us / SECOND_US)
                axes.axvspan(second, warm, color=BLUE, alpha=0.12, lw=0)
        for span in node.spans:
            axes.axvspan(
                span.since_s,
                subject.seconds if span.until_s is None else span.until_s,
                color=LOOKS[span.state],
                alpha=0.25,
                lw=0,
            )
        for second in node.fell_s:
            axes.plot([second], [0], "x", color=RED, ms=9, mew=3, clip_on=False)
        axes.set_ylabel(node.name, rotation=0, ha="right", va="center", fontsize=8)
        axes.set_xlim(0, subject.seconds)
        axes.set_ylim(bottom=0)
        axes.tick_params(labelsize=7)
        for second, _ in subject.steps:
            axes.axvline(second, color="#888888", ls=":", lw=0.8)
    all_axes[0].set_title(
        f"{subject.title}: work sent and capacity, s a second; {', '.join(SPANS)} shaded", fontsize=9
    )
    all_axes[-1].set_xlabel("seconds")
    return figure


def latency(subject: Subject, series: Series) -> Figure:
    """Quantiles of the tries that were served, by class."""
    figure, (axes,) = _figure(1, 3.5)
    for name, told in subject.verdict.figures.latency_ms.items():
        axes.plot(list(told), list(told.values()), marker="o", label=name)
    axes.set_yscale("log")
    axes.set_ylabel("ms")
    axes.set_title(f"{subject.title}: latency of those served", fontsize=10)
    if subject.verdict.figures.latency_ms:
        axes.legend()
    return figure


PICTURES: dict[str, Callable[[Subject, Series], Figure]] = {
    "worth": worth,
    "outcomes": outcomes,
    "nodes": nodes,
    "latency": latency,
}


def _figure(rows: int, height: float) -> tuple[Figure, list[Axes]]:
    """A figure apart from pyplot's, whose state is global; pictures of one size, whatever is in them."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, height), layout="constrained")
    axes = figure.subplots(rows, 1, sharex=rows > 1, squeeze=False)
    return figure, [row[0] for row in axes]


def _finish(axes: Axes, subject: Subject, title: str) -> None:
    for i, (second, _) in enumerate(subject.steps):
        axes.axvline(second, color="#888888", ls=":", lw=0.8, label="step" if i == 0 else None)
    for i, one in enumerate(subject.verdict.violations):
        axes.axvline(subject.second(one.at), color=RED, lw=0.6, label="violation" if i == 0 else None)
    axes.set_xlim(0, max(subject.seconds, 1e-6))
    axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds")
    axes.set_title(title, fontsize=10)
    axes.legend(fontsize=8)
