"""The documents: each is in the index, and no link between them leads nowhere."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
INDEX = ROOT / "docs" / "README.md"
DOCUMENTS = [ROOT / "README.md", ROOT / "CHANGELOG.md", *(ROOT / "docs").rglob("*.md")]


def links(document: Path) -> set[tuple[Path, str]]:
    """Path and anchor of each link that leads into the repository."""
    targets = re.findall(r"\]\(([^)\s]+)\)", document.read_text())
    split = (target.partition("#") for target in targets if "://" not in target)
    return {((document.parent / path).resolve() if path else document, anchor) for path, _, anchor in split}


def anchors(document: Path) -> set[str]:
    headings = re.findall(r"^#+ (.*)$", document.read_text(), re.M)
    return {re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings}


def test_every_document_is_in_the_index() -> None:
    assert {path for path, _ in links(INDEX)} >= set(DOCUMENTS) - {INDEX}


def test_every_link_leads_somewhere() -> None:
    for document in DOCUMENTS:
        for path, anchor in links(document):
            assert path.exists(), f"{document.name}: {path}"
            assert not anchor or anchor in anchors(path), f"{document.name}: {path.name}#{anchor}"
