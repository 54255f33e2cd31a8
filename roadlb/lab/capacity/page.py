"""The page's tables."""

from pathlib import Path


def rewrite(page: Path, data: Path) -> None: ...
