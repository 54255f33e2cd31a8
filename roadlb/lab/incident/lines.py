"""On which line of a TOML text each key stands.

The standard reader keeps no positions, and neither does tomlkit; see docs/design/lab-judge.md.  The text
given here has been read without an error already, so this only has to find where statements begin: it knows
comments, the four kinds of strings, brackets and dotted keys, and takes all else as it comes.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator, Mapping

Path = tuple[str | int, ...]

TOKEN = re.compile(
    r'''(?P<comment>\#[^\n]*)
      | (?P<text>"""(?:\\.|[^\\])*?"{3,5} | \'{3}.*?\'{3,5} | "(?:\\.|[^"\\\n])*" | '[^'\n]*')
      | (?P<open>[\[{]) | (?P<close>[\]}]) | (?P<newline>\n) | (?P<other>[^\#"'\[\]{}\n]+)''',
    re.VERBOSE | re.DOTALL,
)
KEY = re.compile(r"""\s*("(?:\\.|[^"\\])*"|'[^']*'|[A-Za-z0-9_-]+)\s*(\.|=|\]|$)""")


def statements(text: str) -> Iterator[tuple[int, str]]:
    """(line, text) of each header and each `key = value`, comments left out; lines count from 1."""
    line, began, depth, parts = 1, 1, 0, list[str]()
    for token in TOKEN.finditer(text):
        if token.lastgroup == "newline" and depth == 0:
            if "".join(parts).strip():
                yield began, "".join(parts).strip()
            parts.clear()
        elif token.lastgroup != "comment":
            if not "".join(parts).strip():
                began = line
            parts.append(token.group())
            depth += {"open": 1, "close": -1}.get(token.lastgroup or "", 0)
        line += token.group().count("\n")
    if "".join(parts).strip():
        yield began, "".join(parts).strip()


def dotted(text: str) -> list[str]:
    """The names of a key such as `a."b.c".d`, up to what ends it."""
    names, at = [], 0
    while found := KEY.match(text, at):
        name, end = found.groups()
        names.append(json.loads(name) if name[0] == '"' else name.strip("'"))
        if end != ".":
            break
        at = found.end()
    return names


def key_lines(text: str) -> dict[Path, int]:
    """The line of each table and key by its path; entries of an array of tables are numbered from 0."""
    lines: dict[Path, int] = {}
    latest: dict[Path, int] = {}
    table: Path = ()

    def within(start: Path, names: list[str]) -> Path:
        for name in names:
            start = (*start, name)
            if start in latest:
                start = (*start, latest[start])
        return start

    for line, statement in statements(text):
        if statement.startswith("[["):
            *above, last = dotted(statement[2:])
            array = (*within((), above), last)
            latest[array] = latest.get(array, -1) + 1
            table = (*array, latest[array])
            lines.setdefault(array, line)
            lines[table] = line
        elif statement.startswith("["):
            table = within((), dotted(statement[1:]))
            lines[table] = line
        else:
            lines[(*table, *dotted(statement))] = line
    return lines


def line_of(lines: Mapping[Path, int], path: Path) -> int:
    """The line of the nearest thing that the file does have on the way to `path`; 1 if there is none."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)
