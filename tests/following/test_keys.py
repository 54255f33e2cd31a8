"""The key `agreement`: what is wrong in it is said by its path, and without it nothing is loaded."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from roadlb.agreement.events import Contents
from roadlb.agreement.rules import floor
from roadlb.cli.config.check import check
from roadlb.config import ConfigError, read_agreement, read_config
from roadlb.following.keys import thresholds_of, timing_of
from roadlb.following.settings import Running

ROOT = Path(__file__).parents[2]
SOUND = {"control": ["127.0.0.1:18000", "[::1]:18000"], "contradiction_s": 5}


@pytest.mark.parametrize(
    "change, said",
    [
        ({"control": []}, "agreement.control: must be a list"),
        ({"control": ["nowhere"]}, "agreement.control.0: 'nowhere' is not host:port"),
        ({"contradiction_s": None}, "agreement.contradiction_s"),
        ({"contradiction_s": True}, "agreement.contradiction_s: True must lie"),
        ({"contradictions_s": 5}, "agreement.contradictions_s: is not known"),
        ({"lease_s": 5}, "agreement.contradiction_s: 5.0 cannot be kept by a lease of 5 s"),
        ({"renew_s": 3}, "agreement.renew_s: 3 is more than a third"),
        ({"store": 1}, "agreement.store: 1 must be the path"),
        ({"cluster": ""}, "agreement.cluster: '' must be a name"),
        ({"guard": {"hall_most": 1}}, "agreement.guard.hall_most: is not known"),
        ({"guard": {"capacity_at_once": 0}}, "agreement.guard.capacity_at_once: 0.0 must be at least 0.01"),
        ({"guard": {"hall_least": "x"}}, "agreement.guard.hall_least: 'x' must be a number"),
        ({"floors": []}, None),
        ({"floors": [1]}, "agreement.floors: must be an object"),
    ],
)
def test_what_is_wrong_is_said_by_its_key(change: dict[str, object], said: str | None) -> None:
    def read() -> None:
        told = read_agreement(SOUND | change, {})
        timing_of(told), thresholds_of(told)

    if said is None:
        read()
        return
    with pytest.raises(ConfigError) as caught:
        read()
    assert said in str(caught.value)


def test_the_check_of_a_file_refuses_a_bound_that_the_leases_cannot_keep(tmp_path: Path) -> None:
    raw = json.loads((ROOT / "examples" / "following.json").read_text())
    raw["agreement"]["lease_s"] = 6
    (tmp_path / "faulty.json").write_text(json.dumps(raw))
    done = CliRunner().invoke(check, [str(tmp_path / "faulty.json")])
    assert done.exit_code != 0 and "agreement.contradiction_s: 5.0 cannot be kept" in done.output
    assert CliRunner().invoke(check, [str(ROOT / "examples" / "following.json")]).exit_code == 0


def test_without_the_key_nothing_of_it_is_loaded() -> None:
    code = (
        "import sys, roadlb.app; print([n for n in sys.modules if n.startswith(("
        "'roadlb.following', 'roadlb.store', 'roadlb.agreement', 'roadlb.xds', 'grpc', 'google'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        env={"PYTHONPATH": str(ROOT)},
        check=True,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.stdout.strip() == "[]"


def test_settings_that_are_each_balancers_own_are_passed_over() -> None:
    running = Running({"me": "3", "limits.max_attempts": "2.0", "tenants.0.quota_per_s": "0"})
    assert running.fixed({"me": "7", "limits.max_attempts": "2", "instances": "9"}) == ""
    assert "tenants.0.quota_per_s" in running.fixed({"tenants.0.quota_per_s": "5"}), "a share of nothing"
    assert running.fixed({"limits.probes": "true"}).startswith("limits.probes: 'true'")


def test_a_quota_is_followed_as_a_part_of_the_files_among_all_processes() -> None:
    running = Running({"instances": "4", "tenants.0.quota_per_s": "100", "tenants.1.quota_per_s": "10"})
    assert running.heard({}, 2).process_count == 8 and running.heard({}, 2).quota_factors == {}
    told = {"instances": "5", "tenants.0.quota_per_s": "50", "tenants.1.quota_per_s": "900"}
    heard = running.heard(told, 1)
    assert heard.process_count == 5 and heard.quota_shares == {} and heard.quota_factors == {0: 0.5, 1: 90.0}


def test_the_example_can_be_followed_with_and_its_floors_are_taken() -> None:
    config = read_config(json.loads((ROOT / "examples" / "following.json").read_text()), {})
    assert config.agreement is not None
    timing = timing_of(config.agreement)
    assert timing.gone_us <= 5_000_000 and thresholds_of(config.agreement).window_us == 900_000_000
    used = Contents(config.agreement.settings)
    assert floor(used, config.agreement.floors).settings["tenants.0.quota_per_s"] == "155"
