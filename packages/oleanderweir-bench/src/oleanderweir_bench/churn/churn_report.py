"""Formats the results of churn runs side by side."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from oleanderweir_bench.churn.churn_result import ChurnResult


ROWS = {
    "sessions": "sessions with an open feed",
    "broken": "broken sessions",
    "broken_feeds": "- feed ended or stalled",
    "unanswered_probes": "- no answer to the report at the end",
    "moved_sessions": "reports posted on another session after GOAWAY",
    "missing_ticks": "missing ticks",
    "doubled_ticks": "doubled ticks",
    "doubled_runs": "reports started twice",
    "gap_median_s": "longest gap between ticks, median of sessions, s",
    "gap_max_s": "longest gap between ticks, worst session, s",
    "new_sessions": "sessions opened meanwhile",
    "failed_new_sessions": "- without a whole answer",
    "opening_median_s": "handshake, median, s",
    "opening_p99_s": "handshake, p99, s",
}


@attrs.frozen(kw_only=True)
class ChurnReport:
    """Formats the results of churn runs side by side."""

    results: Sequence[ChurnResult]

    def to_markdown(self) -> str:
        """Return a Markdown table with a column for each run."""
        names = [result.routing for result in self.results]
        lines = [
            "| | " + " | ".join(names) + " |",
            "| --- |" + " ---: |" * len(names),
        ]
        for field, label in ROWS.items():
            values = [str(getattr(result, field)) for result in self.results]
            lines.append(f"| {label} | " + " | ".join(values) + " |")
        return "\n".join(lines) + "\n"

    def to_json(self) -> str:
        """Return the results as JSON."""
        return (
            json.dumps([attrs.asdict(result) for result in self.results], indent=2)
            + "\n"
        )

    def write(self, folder: Path) -> None:
        """Write ``churn.md`` and ``churn.json`` into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "churn.md").write_text(self.to_markdown(), encoding="utf-8")
        (folder / "churn.json").write_text(self.to_json(), encoding="utf-8")
