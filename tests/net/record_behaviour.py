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
from corpus import CLIENT_MESSAGES  # noqa: E402
from corpus_nodes import NODE  # noqa: E402

TABLE = Path(__file__).with_name("behaviour.json")
BYTEWISE_MOST = 3_000
QUIET = 20  # turns between two segments: what came first has had its effect
SIDES: dict[str, tuple[dict[str, bytes], Callable[..., object]]] = {
    "client": (CLIENT_MESSAGES, harness.run_client),
    "node": (NODE, harness.run_server),
}


def cuts(data: bytes) -> Iterator[tuple[list[bytes], int]]:
    """The message whole, and cut up where it matters: segments, and the turns between them."""
    yield [data], 1
    if len(data) <= BYTEWISE_MOST:
        yield [data[i : i + 1] for i in range(len(data))], 1
    # Before the last byte, behind each head, and between a body's (or chunk's) data and what follows it.
    at, words = 0, [word for word in (b"body", b"one") if word in data]
    places = [len(data) - 1, *(data.find(word) + len(word) for word in words)]
    while (at := data.find(b"\r\n\r\n", at) + 4) > 3:
        places.append(at)
    for place in sorted(set(places[:7]) - {-1, len(data)}):
        yield [data[:place], data[place:]], QUIET


def outcomes(side: str, data: bytes) -> list[dict[str, object]]:
    """Every outcome that cutting it up brings about, the whole message's first."""
    play, found = SIDES[side][1], []
    for segments, gap in cuts(data):
        outcome = json.loads(json.dumps(play(segments, gap).json()))  # type: ignore[attr-defined]
        if outcome not in found:
            found.append(outcome)
    return found


def main() -> None:
    lines = []
    for side, (cases, _) in SIDES.items():
        for name, data in cases.items():
            found = outcomes(side, data)
            told = json.dumps(found if len(found) > 1 else found[0], separators=(", ", ": "))
            lines.append(f"{json.dumps(f'{side}/{name}')}: {told}")
    TABLE.write_text("{\n" + ",\n".join(lines) + "\n}\n")


if __name__ == "__main__":
    main()
