"""The flat table of texts that both forms of the decision module's settings become."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from .errors import ConfigError


T = TypeVar("T")

GROUPED = "costs", "domain", "invariants", "limits", "report"  # keys of the settings that hold objects
NUMBER_MOST = 1 << 53  # above, not each integer has a number of its own


def encodable(text: str) -> str:
    """The text, or ValueError if it has no bytes: half of a surrogate pair."""
    text.encode()
    return text


def flatten(path: str, value: object, values: dict[str, str]) -> None:
    """Enter nested JSON in `values`, by the paths that lead to its leaves."""
    if isinstance(value, dict):
        for key, inner in value.items():
            flatten(f"{path}.{key}" if path else str(key), inner, values)
    elif isinstance(value, list) and any(isinstance(v, dict) for v in value):
        values[path + ".count"] = str(len(value))
        for i, inner in enumerate(value):
            flatten(f"{path}.{i}", inner, values)
    elif isinstance(value, list):
        values[path] = ",".join(str(v) for v in value)
    elif isinstance(value, bool):
        values[path] = "true" if value else "false"
    elif value is not None:
        values[path] = str(value)


class Pairs:
    """A table of path=value; a path asked for and absent gives its default, or an error."""

    def __init__(self, values: Mapping[str, str], source: str) -> None:
        self.values, self.source = values, source

    @classmethod
    def from_text(cls, text: str) -> Pairs:
        """The lines of a setup text."""
        values = {}
        for line in text.splitlines():
            path, sep, value = line.partition("=")
            if not sep and line.strip():
                raise ConfigError(f"setup: not a path=value line: {line[:60]!r}")
            values[path] = value
        return cls(values, "setup")

    @classmethod
    def from_json(cls, settings: object) -> Pairs:
        """Nested JSON, under the paths that the same settings have in a setup text."""
        if not isinstance(settings, dict):
            raise ConfigError("settings: must be an object")
        for key in GROUPED:
            if settings.get(key) is not None and not isinstance(settings[key], dict):
                raise ConfigError(f"settings: {key}: must be an object")
        values: dict[str, str] = {}
        flatten("", settings, values)
        return cls(values, "settings")

    def read(self, path: str, read: Callable[[str], T], default: str | None = None) -> T:
        value = self.values.get(path, default)
        if value is None:
            raise ConfigError(f"{self.source}: {path} is missing")
        try:
            return read(value)
        except (ValueError, KeyError, OverflowError):
            raise ConfigError(f"{self.source}: {path}: cannot read {value!r}") from None

    def integer(self, path: str, default: str | None = None, least: int | None = None) -> int:
        return int(self.number(path, default, least))

    def number(self, path: str, default: str | None = None, least: float | None = None) -> float:
        """A number in JSON's sense, of at least `least`, which arithmetic keeps apart from its neighbours."""
        value = self.read(path, float, default)
        if not abs(value) <= NUMBER_MOST:
            raise ConfigError(f"{self.source}: {path}: cannot read {self.values.get(path, default)!r}")
        if least is not None and value < least:
            raise ConfigError(f"{self.source}: {path}: {value:g} must be at least {least:g}")
        return value

    def flag(self, path: str, default: str | None = None) -> bool:
        return self.read(path, {"true": True, "false": False}.__getitem__, default)

    def word(self, path: str, default: str | None = None) -> str:
        return self.read(path, encodable, default)

    def count(self, name: str, default: str | None = None) -> int:
        """How many objects the list of this name has; what is no list of objects is an error."""
        if default is not None and (
            self.values.get(name)
            or f"{name}.count" not in self.values
            and any(path.startswith(f"{name}.") for path in self.values)
        ):
            raise ConfigError(f"{self.source}: {name}: must be a list of objects")
        return self.integer(f"{name}.count", default, least=0)

    def distinct(self, name: str, names: Sequence[str]) -> None:
        """Of two objects with one name the first would never be asked for."""
        for i, told in enumerate(names):
            if told and told in names[:i]:
                raise ConfigError(f"{self.source}: {name}.{i}.name: {told!r} is there twice")

    def words(self, path: str) -> tuple[str, ...]:
        return tuple(w for w in self.word(path, "").split(",") if w)
