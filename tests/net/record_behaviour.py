"""Writes `behaviour.json`: the outcome of each case of the corpus with the present code.

Run as `python tests/net/record_behaviour.py` from the root.  Each line holds one case: its outcome as
`harness` reports it, or, if that depends on how the bytes were segmented, a list of the distinct outcomes,
that of the unsegmented message first.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT)]

import harness  # noqa: E402
from corpus import CLIENT_MESSAGES  # noqa: E402
from corpus_nodes import NODE  # noqa: E402

BEHAVIOUR_PATH = Path(__file__).with_name("behaviour.json")
MAX_BYTEWISE_BYTES = 3_000
SETTLE_TURNS = 20  # loop iterations between two segments, so that the first has had its effect
SIDES: dict[str, tuple[dict[str, bytes], Callable[..., object]]] = {
    "client": (CLIENT_MESSAGES, harness.run_client),
    "node": (NODE, harness.run_server),
}


def segmentations(data: bytes) -> Iterator[tuple[list[bytes], int]]:
    """Yields segmentations of the message, each with the number of loop iterations between its segments."""
    yield [data], 1
    if len(data) <= MAX_BYTEWISE_BYTES:
        yield [data[i : i + 1] for i in range(len(data))], 1
    # Cut before the last byte, after each head, and after the data of a body or chunk.
    offset, markers = 0, [marker for marker in (b"body", b"one") if marker in data]
    offsets = [len(data) - 1, *(data.find(marker) + len(marker) for marker in markers)]
    while (offset := data.find(b"\r\n\r\n", offset) + 4) > 3:
        offsets.append(offset)
    for cut_offset in sorted(set(offsets[:7]) - {-1, len(data)}):
        yield [data[:cut_offset], data[cut_offset:]], SETTLE_TURNS


def outcomes(side: str, data: bytes) -> list[dict[str, object]]:
    """Returns the distinct outcomes of all segmentations, that of the unsegmented message first."""
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
