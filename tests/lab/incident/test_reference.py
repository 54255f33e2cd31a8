"""docs/operating/lab.md has every key of incident files with its default, every step, and every violation."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from roadlb.lab.incident import STEPS, Range, read, schema
from roadlb.lab.incident.steps import RUDE, SPOILS
from roadlb.lab.judge import Rule

PAGE = (Path(__file__).parents[3] / "docs" / "operating" / "lab.md").read_text()
SECTIONS = {title: text for title, text in re.findall(r"^###+ (.+)\n((?:(?!###).*\n)*)", PAGE, re.MULTILINE)}
TABLES = {
    "The file": schema.Incident,
    "`[fleet]`": schema.Fleet,
    "`[[fleet.machine]]`": schema.Machine,
    "`[[fleet.group]]`": schema.Group,
    "`[fleet.cache]`": schema.Cache,
    "`[balancers]`": schema.Balancers,
    "`[traffic]`": schema.Traffic,
    "`[[traffic.class]]`": schema.RequestClass,
    "`[[traffic.tenant]]`": schema.Tenant,
    "`[traffic.clients]`": schema.Clients,
    "`[network]`": schema.Network,
    "`[[network.link]]`": schema.Link,
    "`[discovery]`": schema.Discovery,
    "`[front]`": schema.Front,
    "`[rules]`": schema.Rules,
    "`[prices]`": schema.Prices,
    **{f"`{do}`": kind for do, kind in STEPS.items()},
}


def rows(title: str) -> dict[str, str]:
    """The default of each key in a section's tables."""
    return dict(re.findall(r"^\| `([a-z_]+)` \| (.+?) \| .+ \|$", SECTIONS[title], re.MULTILINE))


def shown(value: object) -> str:
    if isinstance(value, Range):
        return f"{value.low:g}" if value.low == value.high else f"[{value.low:g}, {value.high:g}]"
    if isinstance(value, tuple):
        listed = "[" + ", ".join(f'"{one}"' for one in value) + "]"
        return listed if 0 < len(value) < 6 else "all of them" if value else "none"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.3g}" if value < 1000 else f"{value:g}"
    return f'"{value}"' if isinstance(value, str) else "none" if value is None or value == {} else str(value)


@pytest.mark.parametrize("title", TABLES)
def test_the_reference_has_every_key_with_its_default(title: str) -> None:
    told, shared = rows(title), rows("`[[step]]`")
    for key in msgspec.structs.fields(TABLES[title]):
        value = key.default_factory() if key.default_factory is not msgspec.NODEFAULT else key.default
        nested = isinstance(value, msgspec.Struct) or (
            isinstance(value, tuple) and (not value or isinstance(value[0], msgspec.Struct))
        )
        if key.encode_name in told:
            must = "the file's" if key.name == "name" and title == "The file" else "must be given"
            assert told[key.encode_name] == (must if key.required else shown(value))
        else:
            assert key.encode_name in shared or nested, f"{title}: {key.encode_name} has no row"


def test_the_reference_has_nothing_that_is_not_there() -> None:
    for title, kind in TABLES.items():
        assert set(rows(title)) <= {key.encode_name for key in msgspec.structs.fields(kind)}


def test_every_violation_and_every_kind_has_its_words() -> None:
    assert all(f"\n| `{rule.value}` | " in PAGE for rule in Rule)
    assert all(f"`{kind}`" in PAGE for kind in (*SPOILS, *RUDE))


def test_the_example_on_the_page_is_sound() -> None:
    found = re.search(r"```toml\n(.*?)```", PAGE, re.DOTALL)
    assert found and len(read(found.group(1), "example.toml").steps) == 2
