"""An incident's balancers share what they know over simulated datagrams, or are deaf to one another."""

from __future__ import annotations

from collections import Counter

from short_stage import broken, small

from roadlb.lab.run import Rehearsal, rehearse


def played(peers: str) -> tuple[Rehearsal, Counter[str]]:
    more = f'[balancers]\nper_hall = 2\npeers = "{peers}"\n'
    rehearsal = rehearse(small('do = "errors"; at_s = 1; answers = 1.0; count = 1', more=more), seed=1)
    assert broken(rehearsal) == {}
    assert rehearsal.figures["program_errors"] == rehearsal.figures["faults"] == []
    counted: Counter[str] = Counter()
    for counts in rehearsal.figures["counters"].values():
        counted.update(counts)
    return rehearsal, counted


def test_balancers_that_share_hear_one_another_and_deaf_ones_do_as_if_alone() -> None:
    alone, quiet = played("off")
    _, shared = played("share")
    deaf, unheard = played("deaf")
    assert not quiet["peers.sent"]
    assert shared["peers.joined"] >= 6 * 5 and shared["shared.heard"] and not shared["peers.dropped.cluster"]
    assert unheard["peers.got"] == unheard["peers.dropped.cluster"] > 0 and unheard["shared.heard"]
    assert list(deaf.log) == list(alone.log)
