"""The result of an experiment as a table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.define(kw_only=True)
class ResultTable:
    """A table of text cells with a title and headings."""

    title: str
    headings: Sequence[str]
    rows: list[Sequence[str]] = attrs.field(factory=list)

    def add(self, *cells: str) -> None:
        """Add one row."""
        self.rows.append(cells)

    def render(self) -> str:
        """Return the table as Markdown."""
        lines = [f"### {self.title}", "", self.render_row(self.headings)]
        lines.append(self.render_row(["---"] * len(self.headings)))
        lines += [self.render_row(row) for row in self.rows]
        return "\n".join(lines)

    def render_row(self, cells: Sequence[str]) -> str:
        """Return one row as a line of Markdown."""
        return "| " + " | ".join(cells) + " |"
