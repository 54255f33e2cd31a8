"""Reports: the page needs nothing else and shows what happened, JSON and pictures are the same every time."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from html.parser import HTMLParser
from io import StringIO
from pathlib import Path

import pytest
from made_up_night import subject
from rich.console import Console

from roadlb.lab.judge import Judge, Rule
from roadlb.lab.report import Subject, html, machine, plots, tables
from roadlb.lab.report.series import count
from roadlb.lab.wire import WireLog

NIGHT = subject()
EMPTY = Subject("none", "Nothing", 1, "sim", WireLog(), Judge(NIGHT.rules).verdict(), NIGHT.rules)


class Reader(HTMLParser):
    """Elements by name, their classes, all text, and what would be fetched from elsewhere."""

    def __init__(self, page: str) -> None:
        super().__init__()
        self.open: list[str] = []
        self.seen: list[tuple[str, str]] = []
        self.text, self.fetched = "", list[str]()
        self.feed(page)

    def handle_starttag(self, tag: str, attributes: list[tuple[str, str | None]]) -> None:
        told = dict(attributes)
        self.seen.append((tag, told.get("class") or ""))
        self.fetched += [value for key in ("src", "href") if (value := told.get(key))]
        if tag not in ("meta", "br"):
            self.open.append(tag)

    def handle_endtag(self, tag: str) -> None:
        assert self.open.pop() == tag

    def handle_data(self, data: str) -> None:
        self.text += data + "\n"


def test_the_page_is_whole_fetches_nothing_and_escapes_what_it_is_given() -> None:
    read = Reader(html.page(NIGHT))
    assert read.open == [] and read.fetched == []
    assert "A made-up <night>" in read.text and "deploy <of> node-01 & others" in read.text
    assert NIGHT.digest in read.text and f"{NIGHT.verdict.worth.service:.1%}" in read.text


def test_the_page_shows_each_node_its_states_its_fall_and_the_steps() -> None:
    read = Reader(html.page(NIGHT))
    looks = {look for _, look in read.seen}
    assert {"capacity", "sent", "open", "cold", "draining", "paused", "stopped", "fell", "step"} <= looks
    charts = sum(one == ("svg", "chart") for one in read.seen)
    assert charts == 2 + 4  # worth, outcomes, and four nodes
    assert sum(one == ("line", "step") for one in read.seen) == charts
    assert sum(one == ("path", "fell") for one in read.seen) == 1


def test_the_page_shows_violations_with_the_events_that_led_to_them() -> None:
    drained = [one for one in NIGHT.verdict.violations if one.rule is Rule.DRAIN]
    read = Reader(html.page(NIGHT))
    assert drained and drained[0].text in read.text
    assert sum(tag == "details" for tag, _ in read.seen) == min(100, len(NIGHT.verdict.violations))
    assert "lifecycle=draining" in read.text


def test_the_series_count_what_is_in_the_log() -> None:
    series = count(NIGHT)
    figures = NIGHT.verdict.figures
    assert sum(map(sum, series.sent.values())) == figures.tries == 14 * 60
    assert {name: sum(counts) for name, counts in series.ended.items()} == {
        "served": figures.served,
        "refused": figures.refused,
        "failed": 0,
        "broken": figures.gone,
    }
    fallen = series.nodes["node-04"]
    assert fallen.fell_s == [11.0] and fallen.starts == [(8.0, 1.2, 0.2)]
    assert [(span.state, span.since_s, span.until_s) for span in series.nodes["node-02"].spans] == [
        ("paused", 6.0, 7.0)
    ]
    assert 0 < max(series.nodes["node-02"].open) < 30


def test_the_document_is_plain_json_with_a_stable_schema() -> None:
    text = machine.text(NIGHT)
    told = json.loads(text)
    assert text == machine.text(subject())  # a second play of the same night
    assert set(told) == {
        "schema",
        "incident",
        "title",
        "seed",
        "world",
        "seconds",
        "events",
        "digest",
        "kept",
        "broken",
        "violations",
        "fallen",
        "worth",
        "figures",
        "steps",
        "run",
    }
    assert told["schema"] == "roadlb.lab.report/1" and told["digest"] == NIGHT.log.digest()
    assert told["fallen"] == [
        {"node": "node-04", "started_ms": 99, "at_s": 11.0, "sent_s": 1.9, "room_s": 0.4}
    ]
    assert told["steps"] == [{"at_s": 4.0, "text": "deploy <of> node-01 & others"}]
    assert told["broken"]["drain"] == sum(one["rule"] == "drain" for one in told["violations"]) > 0
    assert {event["event"] for event in told["violations"][0]["events"]} >= {"Told", "NodeGot"}
    assert 0 <= told["worth"]["worst_window_at_s"] <= 14 and told["worth"]["by_second"][0]["at_s"] == 0


def test_pictures_are_the_same_every_time(tmp_path: Path) -> None:
    small = subject(seconds=3, per_s=10)
    first, second = plots.save(small, tmp_path / "a" / "b"), plots.save(small, tmp_path / "c")
    assert [path.name for path in first] == ["worth.png", "outcomes.png", "nodes.png", "latency.png"]
    for one, other in zip(first, second, strict=True):
        assert one.read_bytes()[:8] == b"\x89PNG\r\n\x1a\n" and one.read_bytes() == other.read_bytes()


def shown(told: Subject) -> str:
    console = Console(file=StringIO(), width=100)
    tables.print_report(told, console)
    assert isinstance(console.file, StringIO)
    return console.file.getvalue()


def test_the_tables_tell_what_matters_and_no_escapes_where_there_is_no_terminal() -> None:
    text = shown(NIGHT)
    assert "\x1b" not in text
    for wanted in (
        r"A made-up <night> \(night, seed 7",
        r"service +-?\d+\.\d+%",
        r"tries +840\b",
        r"class order +\d",
        r"order +\d+\.\d +\d",
        r"node-04 +11\.000",
        r"^drain, \d+ times",
    ):
        assert re.search(wanted, text, re.MULTILINE), wanted


@pytest.mark.parametrize("report", [html.page, machine.text, shown])
def test_a_run_in_which_nothing_happened_has_a_report_too(report: Callable[[Subject], str]) -> None:
    assert "Nothing" in report(EMPTY)


def test_pictures_of_nothing(tmp_path: Path) -> None:
    assert len(plots.save(EMPTY, tmp_path)) == len(list(tmp_path.iterdir())) == 4
