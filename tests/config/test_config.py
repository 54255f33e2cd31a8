"""Configuration: one reader for both forms, defaults, and messages that name the key."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from samples import RAW, SETUP
from scenario import SETTINGS

from roadlb.config import SPARE_SOCKETS, ConfigError, Pairs, load, read_config, read_settings


def nested(text: str) -> Any:
    """A setup text as the nested JSON that a real balancer gets."""
    tree: dict[str, Any] = {}
    for line in text.splitlines():
        path, _, value = line.partition("=")
        at = tree
        *above, last = path.split(".")
        for name in above:
            at = at.setdefault(name, {})
        at[last] = {"true": True, "false": False}.get(value, value)
    for name in ("classes", "tenants"):
        tree[name] = [tree[name][str(i)] for i in range(int(tree[name].pop("count")))]
    tree["report"]["fields"] = tree["report"]["fields"].split(",")
    return tree


def test_both_forms_give_the_same_settings() -> None:
    assert read_settings(Pairs.from_json(nested(SETUP))) == read_settings(SETUP)


def test_defaults_and_unknown_keys() -> None:
    config = read_config({**RAW, "novelty": 1, "settings": {**SETTINGS, "something": {"new": [1]}}}, {})
    assert (config.sockets, config.known, config.seed) == (1024, {}, 0x8C1F30D27A5BE964)
    assert (config.conn_idle_us, config.dial_timeout_us) == (10_000_000, 250_000)
    assert config.longest_s == 2.5
    assert config.max_open <= config.client_sockets
    assert config.client_sockets + config.instance_sockets + SPARE_SOCKETS <= 1024


def test_environment_goes_before_the_file() -> None:
    config = read_config(RAW, {"PROXY_NAME": "n9", "PROXY_LISTEN": "[::1]:81", "PROXY_DISCOVERY": "h:9"})
    assert (config.name, config.listen.host, config.discovery.port) == ("n9", "::1", 9)
    assert str(config.listen) == "[::1]:81"


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("name", None, "name: is missing"),
        ("listen", "nowhere", "listen: 'nowhere' is not host:port"),
        ("discovery", "h:99999", "discovery: "),
        ("seed", "xyz", "seed: "),
        ("seed", None, "seed: "),
        ("limits", [], "limits: "),
        ("limits", {"sockets": "many"}, "limits.sockets: "),
        ("known", 7, "known: "),
        ("settings", None, "settings: "),
        ("settings.classes", [], "settings: classes"),
        ("settings.me", "x", "settings: me: cannot read 'x'"),
        ("settings.limits.max_attempts", None, "settings: limits.max_attempts is missing"),
        ("settings.limits.dial_timeout_us", 0, "settings: limits.dial_timeout_us"),
        ("settings.invariants.cold_from", 7, "settings: cold_from"),
        ("settings.invariants.cold_us", "1e999", "settings: invariants.cold_us: cannot read"),
    ],
)
def test_a_message_names_the_key(path: str, value: object, message: str) -> None:
    raw = copy.deepcopy(RAW)
    *above, last = path.split(".")
    at = raw
    for name in above:
        at = at[name]
    at[last] = value
    with pytest.raises(ConfigError) as caught:
        read_config(raw, {})
    assert str(caught.value).startswith(message)


@pytest.mark.parametrize("text", [None, "{", "[]"])
def test_a_file_that_cannot_be_used(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigError):
        load({"PROXY_CONFIG": str(path)})
    with pytest.raises(ConfigError, match="PROXY_CONFIG"):
        load({})


def test_a_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(RAW))
    assert load({"PROXY_CONFIG": str(path)}).name == "n1"


def test_no_time_to_come_back_where_the_settings_allow_none() -> None:
    settings = copy.deepcopy(SETTINGS)
    limits: dict[str, object] = {"max_attempts": 5, "max_retry_after_us": 1_200_000}
    for retry_after, most in ((None, 1_200_000), (True, 1_200_000), (False, 0)):
        told = limits if retry_after is None else {**limits, "retry_after": retry_after}
        read = read_settings(Pairs.from_json({**settings, "limits": told}))
        assert read.max_retry_after_us == most
