"""Settings that cannot be used are named, whatever is wrong with them; those of other customers are used."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import scenario
from samples import RAW
from scenario import SETTINGS, Stage, play, run

from roadlb.config import ConfigError, load, read_config

ROOT = Path(__file__).parents[2]
WRONG: list[Any] = [
    *(None, "", [], {}, "x", -1, float("nan"), float("inf"), True, 0, [None], [[1]], {"a": 1}, "nan"),
    *("1e999", "ž", "a,b", 10**30, 10**400, [1, 2], "\ud800", [{}], [{"a": 1}]),
]


def full() -> dict[str, Any]:
    """A configuration with every key that is read, but those of parts that are configured apart."""
    raw = copy.deepcopy(RAW)
    settings = raw["settings"]
    settings |= {
        "az": 0,
        "over_share_worth": 0.5,
        "counted_by": "work",
        "weight_source": "off",
        "domain": {"warm_keys": True},
        "costs": {"cross_zone": 0.1, "probe": 0.1, "handshake": 0.1},
        "refusal": {"plan": [{"share": "over"}]},
    }
    settings["limits"] |= {
        "second_copies": True,
        "conn_idle_us": 10_000_000,
        "dial_timeout_us": 250_000,
        "max_open": 200,
        "probes": True,
        "peers": False,
    }
    settings["invariants"] |= {"ask_within_us": 1_000_000}
    settings["classes"][0] |= {"group": "all", "late_worth": 0.1, "window_us": 1_000, "stream": False}
    return raw | {
        "limits": {"cores": 1.0, "memory_mb": 100, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": []},
        "admin_addr": "127.0.0.1:1",
    }


def paths(value: Any, above: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in items:
        yield (*above, key)
        yield from paths(inner, (*above, key))


def changed(path: tuple[Any, ...], value: Any, leave_out: bool = False) -> dict[str, Any]:
    raw: Any = full()
    at = raw
    for key in path[:-1]:
        at = at[key]
    if leave_out:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return raw  # type: ignore[no-any-return]


def message(raw: object) -> str:
    """What is wrong with it; "" where it can be used.  Any other exception is a traceback at the start."""
    try:
        read_config(raw, {})
    except ConfigError as e:
        return str(e)
    return ""


@pytest.mark.parametrize("path", list(paths(full())), ids=lambda path: ".".join(map(str, path)))
def test_whatever_a_setting_is_it_is_used_or_named(path: tuple[Any, ...]) -> None:
    names = [str(key) for key in path if isinstance(key, str)]
    for raw in [*(changed(path, value) for value in WRONG), changed(path, None, leave_out=True)]:
        told = message(raw)
        assert not told or names[-1] in told or f"{names[-2]}.{path[-1]}" in told, told


@pytest.mark.parametrize(
    ("path", "value", "told"),
    [
        ("limits.sockets", float("nan"), "limits.sockets: "),
        ("limits.sockets", float("inf"), "limits.sockets: "),
        ("seed", float("inf"), "seed: "),
        ("name", "\ud800", "name: "),
        ("settings.me", -1, "settings: me: "),
        ("settings.classes", {"a": 1}, "settings: classes"),
        ("settings.classes", 5, "settings: classes"),
        ("settings.classes.0.name", "", "settings: classes.0.name"),
        ("settings.classes.1.name", "grid-read", "settings: classes.1.name: 'grid-read' is there twice"),
        ("settings.classes.0.name", "\ud800", "settings: classes.0.name"),
        ("settings.classes.0.effect", "sometimes", "settings: classes.0.effect: cannot read 'sometimes'"),
        ("settings.classes.0.value", float("nan"), "settings: classes.0.value"),
        ("settings.classes.0.value", -1, "settings: classes.0.value"),
        ("settings.classes.0.deadline_us", 0, "settings: classes.0.deadline_us"),
        ("settings.classes.0.deadline_us", 10**30, "settings: classes.0.deadline_us"),
        ("settings.classes.0.promise_us", -5, "settings: classes.0.promise_us"),
        ("settings.tenants", "acme", "settings: tenants: must be a list of objects"),
        ("settings.tenants", {"acme": 1}, "settings: tenants: must be a list of objects"),
        ("settings.tenants.0.quota_per_s", float("inf"), "settings: tenants.0.quota_per_s"),
        ("settings.tenants.0.quota_per_s", -1, "settings: tenants.0.quota_per_s"),
        ("settings.costs", [1], "settings: costs: must be an object"),
        ("settings.costs.probe", -1, "settings: costs.probe"),
        ("settings.report", "inline", "settings: report: must be an object"),
        ("settings.limits.conn_idle_us", -1, "settings: limits.conn_idle_us"),
    ],
)
def test_what_cannot_be_meant_is_no_setting(path: str, value: object, told: str) -> None:
    keys = tuple(int(key) if key.isdigit() else key for key in path.split("."))
    assert message(changed(keys, value)).startswith(told)


@pytest.mark.parametrize("data", [b"[" * 100_000, b"\xff\xfe{}", b'{"name": "\xe9"}', b"", b"\0"])
def test_a_file_of_any_bytes_is_named(tmp_path: Path, data: bytes) -> None:
    file = tmp_path / "config.json"
    file.write_bytes(data)
    with pytest.raises(ConfigError, match="PROXY_CONFIG: "):
        load({"PROXY_CONFIG": str(file)})


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("listen", "203.0.113.1:8080"),
        ("listen", "..:8080"),
        ("admin_addr", "203.0.113.1:8081"),
        ("seed", "zz"),
        ("settings", {**SETTINGS, "classes": []}),
    ],
)
def test_the_program_ends_with_the_name_of_what_is_wrong_and_no_traceback(
    tmp_path: Path, key: str, value: object
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**RAW, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", key: value}))
    done = subprocess.run(
        [sys.executable, "-m", "roadlb"],
        env={**os.environ, "PYTHONPATH": str(ROOT), "PROXY_CONFIG": str(file)},
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 1 and "Traceback" not in done.stderr
    assert done.stderr.splitlines()[-1].startswith(f"roadlb: {key}: "), done.stderr


@pytest.mark.parametrize("discovery", ["127.0.0.1", "", None, {"a": 1}, "x:y"])
def test_a_faulty_file_read_again_is_counted_and_what_holds_stays(discovery: object) -> None:
    async def main() -> None:
        stage = Stage()
        await stage.grid("1")
        held = stage.app.name_table.held
        stage.config["discovery"] = discovery
        stage.app.reconfigure(lambda: read_config(stage.config, {}, again=True))
        assert stage.app.counters["config.faulty"] == 1
        assert stage.app.name_table.held == held
        await stage.app.stop(linger_s=0)
        for server in stage.servers:
            server.close()

    run(asyncio.wait_for(main(), 10))


CUSTOMERS: dict[str, tuple[dict[str, Any], str]] = {
    "no tenants, no report, no zones, one attempt, no cancelling, names beyond a path's letters": (
        {
            "tenants": [],
            "report": {},
            "dcs": [],
            "machine_types": [],
            "limits": {"max_attempts": 1, "cancelling": False, "max_retry_after_us": 0},
            "classes": [
                {**SETTINGS["classes"][0], "name": "čítanie máp"},  # type: ignore[index]
                {**SETTINGS["classes"][1], "name": "book & pay"},  # type: ignore[index]
            ],
        },
        """
        a send GET /%C4%8D%C3%ADtanie%20m%C3%A1p/k X-Account:
        i1 expect GET
        i1 send 200 map
        a expect 200 map
        a send POST /book%20%26%20pay/k X-Account:
        i2 expect POST
        i2 send 503 X-Unprocessed:1
        a expect 503""",
    ),
    "each class with another effect than its name tells, and a stream": (
        {
            "classes": [
                {**SETTINGS["classes"][0], "effect": "at_most_once"},  # type: ignore[index]
                {  # type: ignore[dict-item]
                    **SETTINGS["classes"][1],  # type: ignore[index]
                    "effect": "idempotent",
                    "stream": True,
                },
            ],
        },
        """
        a send POST /grid-read/k
        i1 expect POST
        i1 send 200 one
        a expect 200 one
        a send GET /order/k
        i2 expect GET
        i2 send 200 two
        a expect 200 two
        a send GET /grid-read/k
        a expect 405""",
    ),
}


@pytest.mark.parametrize(("settings", "text"), CUSTOMERS.values(), ids=CUSTOMERS.keys())
def test_settings_of_another_customer(
    monkeypatch: pytest.MonkeyPatch, settings: dict[str, Any], text: str
) -> None:
    monkeypatch.setattr(scenario, "SETTINGS", {**SETTINGS, **settings})
    monkeypatch.setattr(scenario, "LIMITS", settings.get("limits", scenario.LIMITS))
    run(play(text))
