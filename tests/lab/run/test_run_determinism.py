"""One file and one seed are one run, byte for byte, whatever hashes and addresses are."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

from short_stage import SMALL, small

from roadlb.lab.run import rehearse

ROOT = Path(__file__).parents[3]
# A node that starts again at once at its address is not known to be cold, and is pushed over.
FALLS = (
    SMALL.format(seconds=4, rate=150, nodes=5)
    + """
[rules]
fall_multiple = 1.1
[[step]]
do = "kill_node"
at_s = 0.5
count = 3
back_after_s = 0.1
[[step]]
do = "deploy"
at_s = 1
share = 0.4
over_s = 2.8
drain_s = 0.5
[[step]]
do = "balancer_crash"
at_s = 2
back_after_s = 1
[[step]]
do = "pause"
at_s = 2
for_s = 1
count = 1
[[step]]
do = "spoilt"
at_s = 1
answers = 0.05
[[step]]
do = "rude"
at_s = 1
every_s = 0.3
"""
)


def test_three_hash_seeds_give_one_digest_and_one_order_of_falls(tmp_path: Path) -> None:
    file = tmp_path / "falls.toml"
    file.write_text(FALLS)
    reports = []
    for hash_seed in ("0", "1", "31337"):
        done = subprocess.run(
            [sys.executable, "-m", "roadlb.cli.main", "lab", "run", str(file), "--seed", "7", "--json", "-"],
            env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            check=False,
        )
        reports.append(json.loads(done.stdout))
    first, *others = reports
    assert len(first["fallen"]) >= 2, "a run in which nothing falls shows no order"
    for other in others:
        assert (other["digest"], other["fallen"]) == (first["digest"], first["fallen"])
        assert other == first


def test_another_seed_is_another_run_and_a_step_more_changes_nothing_before_it() -> None:
    calm, later = small(seconds=2), small('do = "reset"; at_s = 1.5', seconds=2)
    one, two, other = rehearse(calm, 1), rehearse(later, 1), rehearse(calm, 2)
    assert one.log.digest() != other.log.digest() and one.log.digest() != two.log.digest()
    before = [event for event in one.log if event.at < one.origin_us + 1_500_000]
    assert before == [event for event in two.log if event.at < two.origin_us + 1_500_000]
    assert len(before) > 300
