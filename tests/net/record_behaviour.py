"""Writes `behaviour.json`: what becomes of each case of the corpus, as the code that is there has it.

Run as `python tests/net/record_behaviour.py` from the root.  A line a case: its outcome as `harness` tells
it, or, where that depends on how the bytes were cut up on their way, a list with the whole message's first.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT)]

import harness  # noqa: E402
from corpus import CLIENT  # noqa: E402
from corpus_nodes import NODE  # noqa: E402

BEHAVIOUR_PATH = Path(__file__).with_name("behaviour.json")
MAX_BYTEWISE_BYTES = 3_000
SETTLE_TURNS = 20  # turns between two segments: what came first has had its effect
SIDES: dict[str, tuple[dict[str, bytes], Callable[..., object]]] = {
    "client": (CLIENT, harness.client),
    "node": (NODE, harness.node),
}


def segmentations(data: bytes) -> Iterator[tuple[list[bytes], int]]:
    """The message whole, and cut up where it matters: segments, and the turns between them."""
    yield [data], 1
    if len(data) <= MAX_BYTEWISE_BYTES:
        yield [data[i : i + 1] for i in range(len(data))], 1
    # Before the last byte, behind each head, and between a body's (or chunk's) data and what follows it.
    offset, markers = 0, [marker for marker in (b"body", b"one") if marker in data]
    offsets = [len(data) - 1, *(data.find(marker) + len(marker) for marker in markers)]
    while (offset := data.find(b"\r\n\r\n", offset) + 4) > 3:
        offsets.append(offset)
    for cut_offset in sorted(set(offsets[:7]) - {-1, len(data)}):
        yield [data[:cut_offset], data[cut_offset:]], SETTLE_TURNS


def outcomes(side: str, data: bytes) -> list[dict[str, object]]:
    """Every outcome that cutting it up brings about, the whole message's first."""
    run_case, distinct_outcomes = SIDES[side][1], []
    for segments, gap in segmentations(data):
        outcome = json.loads(json.dumps(run_case(segments, gap).json()))  # type: ignore[attr-defined]
        if outcome not in distinct_outcomes:
            distinct_outcomes.append(outcome)
    return distinct_outcomes


def main() -> None:
    lines = []
    for side, (cases, _) in SIDES.items():
        for name, data in cases.items():
            distinct_outcomes = outcomes(side, data)
            encoded = json.dumps(
                distinct_outcomes if len(distinct_outcomes) > 1 else distinct_outcomes[0],
                separators=(", ", ": "),
            )
            lines.append(f"{json.dumps(f'{side}/{name}')}: {encoded}")
    BEHAVIOUR_PATH.write_text("{\n" + ",\n".join(lines) + "\n}\n")


if __name__ == "__main__":
    main()
