"""The settings that a file says, for the first version and whenever it changes."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Mapping
from pathlib import Path

from ..config import ConfigError, Pairs, read_settings
from ..fleet.guard import Settings
from ..log import fields

logger = logging.getLogger(__name__)

LOOK_S = 1.0  # between two looks at the file


class SettingsFile:
    """A balancer's configuration at `path`, of which `settings` count; an empty path: there is none."""

    def __init__(self, path: str) -> None:
        self._path, self._text = path, ""

    def read(self) -> Mapping[str, str] | None:
        """What it says now; None if nothing can be read, which is logged."""
        self._text = self._read() or ""
        return self._settings(self._text)

    async def watch(self, changed: Callable[[Mapping[str, str]], None]) -> None:
        """Tell each change of the file's text that can be read; what cannot is logged once."""
        while self._path:
            await asyncio.sleep(LOOK_S)
            text = self._read()
            if text is None or text == self._text:
                continue
            self._text = text
            if (found := self._settings(text)) is not None:
                changed(found)

    def _read(self) -> str | None:
        if not self._path:
            return None
        try:
            return Path(self._path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as e:
            if self._text:
                logger.warning("settings not read", extra=fields(file=self._path, error=e))
                self._text = ""
            return None

    def _settings(self, text: str) -> Mapping[str, str] | None:
        try:
            return Pairs.from_json(json.loads(text)["settings"]).values if text else None
        except (ConfigError, KeyError, TypeError, ValueError) as e:
            logger.warning("settings not read", extra=fields(file=self._path, error=e))
            return None


def bad_settings(settings: Settings) -> str:
    """Why no balancer could start with these; empty if one could, or there are none."""
    if not settings:
        return ""
    try:
        read_settings(Pairs(settings, "settings"))
    except ConfigError as e:
        return str(e)
    return ""
