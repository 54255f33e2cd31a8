"""Reads an incident file; every problem in it is told at once, with file, line, key, value and remedy."""

from __future__ import annotations

import copy
import re
import tomllib
from dataclasses import dataclass
from difflib import get_close_matches
from pathlib import Path as FilePath
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

from .checks import check
from .lines import Path, key_lines, line_of
from .schema import Incident
from .steps import STEPS, AtBalancers, AtNodes, Step
from .values import Section, decode

S = TypeVar("S", bound=Section)

AT = re.compile(r" - at `\$(?P<path>[^`]*)`$")
PART = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")
UNKNOWN = re.compile(r"Object contains unknown field `(.*)`")
MISSING = re.compile(r"Object missing required field `(.*)`")
WORDS = {
    "float": "a number",
    "int": "a whole number",
    "str": "a text",
    "bool": "true or false",
    "array": "a list",
    "object": "a table",
}
MOST_PROBLEMS = 100  # of one table; each round takes a faulty key out, so few get this far


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One thing that is wrong: `key` is dotted, with entries counted from 1 as a person would."""

    file: str
    line: int
    key: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key + ': ' if self.key else ''}{self.text}"


class IncidentError(Exception):
    """An incident file that cannot be played, with all that is wrong in it, by line."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = tuple(sorted(problems))
        super().__init__("\n".join(map(str, self.problems)))


def load(path: str | FilePath) -> Incident:
    """Read a file; raises IncidentError."""
    try:
        text = FilePath(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as e:
        reason = e.strerror if isinstance(e, OSError) else "is not UTF-8"
        raise IncidentError([Problem(str(path), 1, "", f"cannot be read: {reason}")]) from None
    return read(text, str(path))


def read(text: str, file: str) -> Incident:
    """Read a file's text; `file` names it in errors, and its stem is the incident's name."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as e:
        at = re.search(r"at line (\d+)", str(e))
        line = int(at.group(1)) if at else text.count("\n") + 1
        raise IncidentError([Problem(file, line, "", f"is not TOML: {e}")]) from None
    found: list[tuple[Path, str]] = []
    raw_steps = raw.pop("step", [])
    steps = read_steps(raw_steps, found)
    incident = gather({"name": FilePath(file).stem, **raw}, Incident, (), found)
    if incident is not None and not found:
        incident = msgspec.structs.replace(incident, steps=tuple(steps))
        found.extend(check(incident, raw_steps))
    if incident is None or found:
        lines = key_lines(text)
        raise IncidentError([Problem(file, line_of(lines, path), dotted(path), what) for path, what in found])
    return incident


def dotted(path: Path) -> str:
    """`step[2].hall` for a person: entries count from 1."""
    return "".join(f"[{part + 1}]" if isinstance(part, int) else f".{part}" for part in path).lstrip(".")


def read_steps(raw: Any, found: list[tuple[Path, str]]) -> list[Step]:
    """Each `[[step]]` as the type that its `do` names."""
    if not isinstance(raw, list) or not all(isinstance(table, dict) for table in raw):
        found.append((("step",), "must be tables, each begun with [[step]]"))
        return []
    steps = []
    for i, table in enumerate(raw):
        values = dict(table)
        do = values.pop("do", None)
        kind = STEPS.get(do) if isinstance(do, str) else None
        if do is None:
            found.append((("step", i), f"do is missing; {one_of(STEPS)}"))
        elif kind is None:
            found.append((("step", i, "do"), f"{do!r} is no kind of step; {guess(str(do), STEPS)}"))
        elif (step := gather(values, kind, ("step", i), found)) is not None:
            steps.append(as_told(step, values))
    return steps


def as_told(step: Step, values: dict[str, Any]) -> Step:
    """A share in the file goes before a count that is only the default, and the other way round."""
    if isinstance(step, AtNodes | AtBalancers) and ("share" in values) != ("count" in values):
        return msgspec.structs.replace(step, **{"count" if "share" in values else "share": None})
    return step


def gather(raw: dict[str, Any], kind: type[S], at: Path, found: list[tuple[Path, str]]) -> S | None:
    """Convert a table, and note each of its problems.

    msgspec stops at the first one; so the faulty key, or the table that misses one, is taken out and the rest
    is read again.  None where the whole table misses a key.
    """
    raw, out = copy.deepcopy(raw), set[Path]()
    for _ in range(MOST_PROBLEMS):
        try:
            return msgspec.convert(raw, kind, dec_hook=decode)
        except msgspec.ValidationError as e:
            where, message = AT.search(str(e)), AT.sub("", str(e))
            path: Path = tuple(
                int(number) if number else name
                for name, number in PART.findall(where.group("path") if where else "")
            )
            if missing := MISSING.search(message):
                if (*path, missing.group(1)) not in out:
                    found.append(((*at, *path), f"{missing.group(1)} is missing"))
            elif unknown := UNKNOWN.search(message):
                names = known_keys(kind, path)
                path = (*path, unknown.group(1))
                found.append(((*at, *path), f"is no key here; {guess(unknown.group(1), names)}"))
            else:
                found.append(((*at, *path), plain(message, value_at(raw, path), type_at(kind, path))))
            while path and not isinstance(path[-1], str):
                path = path[:-1]
            if not path:
                return None
            out.add(path)
            del value_at(raw, path[:-1])[path[-1]]
    return None


def value_at(raw: Any, path: Path) -> Any:
    for part in path:
        raw = raw[part]
    return raw


def type_at(kind: type[Section], path: Path) -> inspect.Type:
    """What the schema says of the value at a path."""
    told: inspect.Type = inspect.type_info(kind)
    for part in path:
        told = bare(told)
        if isinstance(told, inspect.StructType):
            told = next(field.type for field in told.fields if field.encode_name == part)
        elif isinstance(told, inspect.VarTupleType):
            told = told.item_type
        elif isinstance(told, inspect.TupleType) and isinstance(part, int):
            told = told.item_types[part]
    return bare(told)


def bare(told: inspect.Type) -> inspect.Type:
    """A type without its notes, and without the None of a key that may be left out."""
    while isinstance(told, inspect.Metadata):
        told = told.type
    if isinstance(told, inspect.UnionType):
        return next(bare(inner) for inner in told.types if not isinstance(inner, inspect.NoneType))
    return told


def known_keys(kind: type[Section], path: Path) -> list[str]:
    told = type_at(kind, path)
    return [field.encode_name for field in told.fields] if isinstance(told, inspect.StructType) else []


def plain(message: str, value: Any, told: inspect.Type) -> str:
    """msgspec's message in the words of the file: what the value is, and what it must be."""
    if isinstance(told, inspect.LiteralType):
        return f"is {value!r}; {guess(str(value), told.values)}"
    if not message.startswith("Expected"):
        return message
    wanted = re.sub(r", got .*$", "", message.removeprefix("Expected "))
    wanted = re.sub(
        r"`([^`]*)`",
        lambda m: " or ".join(WORDS.get(word, word) for word in m.group(1).split(" | ") if word != "null"),
        wanted,
    )
    return f"is {value!r}, and must be {wanted}"


def one_of(names: Any) -> str:
    return "it must be one of " + ", ".join(map(str, names))


def guess(name: str, names: Any) -> str:
    """The nearest name that there is, or else all of them."""
    near = get_close_matches(name, list(map(str, names)), 1)
    return f"did you mean {near[0]!r}?" if near else one_of(names)
