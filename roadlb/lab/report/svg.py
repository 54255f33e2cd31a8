"""Charts over time as inline SVG: a few shapes on one axis that all charts of a page share.

Written with ElementTree, which escapes.  SVG by matplotlib is twice as long for the same charts, takes ten
times as long to make, and cannot be pointed at; see docs/design/lab-judge.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from xml.etree.ElementTree import Element, SubElement

WIDTH, LEFT, RIGHT, TOP, FOOT, FLAG = 1000, 46, 8, 4, 16, 9
TICKS = (1, 2, 5, 10, 15, 30, 60, 120, 300, 600, 1200, 3600)  # seconds between two
MOST_TICKS = 12


class Chart:
    """One chart: `seconds` wide, `most` high.  Shapes are drawn in the order in which they are added."""

    def __init__(self, seconds: float, most: float, height: int = 60, label: str = "") -> None:
        self._seconds, self._most, self._height = max(seconds, 1e-6), max(most, 1e-9), height
        self.root = Element("svg", {"viewBox": f"0 0 {WIDTH} {height}", "class": "chart", "role": "img"})
        if label:
            self.root.set("aria-label", label)

    def x(self, second: float) -> float:
        return round(LEFT + (WIDTH - LEFT - RIGHT) * min(1.0, max(0.0, second / self._seconds)), 1)

    def y(self, value: float) -> float:
        part = min(1.0, max(0.0, value / self._most))
        return round(self._height - FOOT - (self._height - FOOT - TOP) * part, 1)

    def axes(self, unit: str = "") -> Chart:
        """A line below with seconds, the highest value and its unit at the left."""
        step = next((tick for tick in TICKS if self._seconds / tick <= MOST_TICKS), TICKS[-1])
        self._line(self.x(0), self.y(0), self.x(self._seconds), self.y(0), "axis")
        for i in range(int(self._seconds / step) + 1):
            self._text(self.x(i * step), self._height - 4, f"{i * step} s", "tick")
        self._text(LEFT - 4, self.y(self._most) + 8, f"{self._most:.3g}{unit}", "top")
        return self

    def area(self, points: Sequence[tuple[float, float]], look: str, title: str = "") -> Chart:
        """Filled from 0 to a line of steps: (second at which it begins, value)."""
        if points:
            corners = [f"{self.x(points[0][0])},{self.y(0)}"]
            for i, (second, value) in enumerate(points):
                until = points[i + 1][0] if i + 1 < len(points) else self._seconds
                corners += [f"{self.x(second)},{self.y(value)}", f"{self.x(until)},{self.y(value)}"]
            corners.append(f"{self.x(self._seconds)},{self.y(0)}")
            shape = SubElement(self.root, "polygon", {"points": " ".join(corners), "class": look})
            self._titled(shape, title)
        return self

    def line(self, points: Sequence[tuple[float, float]], look: str, title: str = "") -> Chart:
        if points:
            text = " ".join(f"{self.x(second)},{self.y(value)}" for second, value in points)
            self._titled(SubElement(self.root, "polyline", {"points": text, "class": look}), title)
        return self

    def span(self, since: float, until: float, look: str, title: str = "") -> Chart:
        """A band over the whole height."""
        width = max(1.0, self.x(until) - self.x(since))
        self._titled(
            SubElement(
                self.root,
                "rect",
                {
                    "x": str(self.x(since)),
                    "y": str(TOP),
                    "width": f"{width:.1f}",
                    "height": str(self._height - FOOT - TOP),
                    "class": look,
                },
            ),
            title,
        )
        return self

    def mark(self, second: float, look: str, title: str) -> Chart:
        """A line from top to bottom."""
        x = self.x(second)
        self._titled(self._line(x, TOP, x, self._height - FOOT, look), title)
        return self

    def flag(self, second: float, look: str, title: str) -> Chart:
        """A short mark at the top, for what may come by the hundred."""
        x = self.x(second)
        self._titled(self._line(x, TOP, x, TOP + FLAG, look), title)
        return self

    def cross(self, second: float, value: float, look: str, title: str) -> Chart:
        """An x that stands out."""
        x, y = self.x(second), self.y(value)
        self._titled(
            SubElement(
                self.root, "path", {"d": f"M{x - 5:.1f} {y - 5:.1f}l10 10m0 -10l-10 10", "class": look}
            ),
            title,
        )
        return self

    def _line(self, x1: float, y1: float, x2: float, y2: float, look: str) -> Element:
        return SubElement(
            self.root, "line", {"x1": str(x1), "y1": str(y1), "x2": str(x2), "y2": str(y2), "class": look}
        )

    def _text(self, x: float, y: float, text: str, look: str) -> None:
        SubElement(self.root, "text", {"x": str(x), "y": str(y), "class": look}).text = text

    @staticmethod
    def _titled(element: Element, title: str) -> None:
        if title:
            SubElement(element, "title").text = title
