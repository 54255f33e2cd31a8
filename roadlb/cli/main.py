"""Where the console script `roadlb` begins."""

from __future__ import annotations

import sys


def main() -> None:
    """Run the command line; without the extra that it needs, say which one that is."""
    try:
        from .commands import roadlb
    except ModuleNotFoundError as e:
        sys.exit(f"roadlb: {e.name} is not installed; the command line needs: pip install 'roadlb[lab]'")
    roadlb()


if __name__ == "__main__":
    main()
