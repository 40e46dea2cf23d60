"""
Play a set of days of the users' bench again, and compare each with its last figures.

Days are played one at a time. Each result is stored at once, so that a run which was
stopped goes on with the next day. Figures of another kind of machine aren't compared.
"""

from __future__ import annotations

import json
import platform
import subprocess
import tempfile
from pathlib import Path
from typing import Any

import attrs
import click


@attrs.frozen(kw_only=True)
class DayFigures:
    """
    The figures of one day: its worth, the share served, and what went wrong.

    ``revision`` is the commit that was played, ``processor_s`` the processor time of
    its processes in seconds.
    """

    revision: str
    worth: float
    served: float
    processor_s: float
    broken: str

    @classmethod
    def from_report(cls, report: dict[str, Any], *, revision: str) -> DayFigures:
        """Return the figures of a report of the bench."""
        broken = [f"{rule} {count}" for rule, count in report.get("breaks", {}).items()]
        if report.get("fault"):
            broken.append(str(report["fault"]))
        return cls(
            revision=revision,
            worth=report["G"],
            served=report["served"],
            processor_s=sum(report.get("spent", {}).get("processes", [])),
            broken="; ".join(broken),
        )


class FigureStore:
    """Keeps the figures by kind of machine, site and day in a JSON file."""

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self.figures: dict[str, list[dict[str, Any]]] = {}
        if path.exists():
            self.figures = json.loads(path.read_text(encoding="utf-8"))

    def find_last(
        self, key: str, *, other_than: str | None = None
    ) -> DayFigures | None:
        """Return the newest figures of a day, except those of one revision."""
        for fields in reversed(self.figures.get(key, [])):
            if fields["revision"] != other_than:
                return DayFigures(**fields)
        return None

    def add(self, key: str, figures: DayFigures) -> None:
        """Add the figures of a day, and write the file."""
        self.figures.setdefault(key, []).append(attrs.asdict(figures))
        self.path.parent.mkdir(parents=True, exist_ok=True)
        text = json.dumps(self.figures, indent=1, sort_keys=True)
        self.path.write_text(text + "\n", encoding="utf-8")


def find_revision() -> str:
    """Return the short commit of the work tree, marked if it has changes."""
    command = ["git", "describe", "--always", "--dirty", "--exclude=*"]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return done.stdout.strip()


def play(bench: Path, site: Path, day: str, why: str) -> dict[str, Any]:
    """Play one day; return its report. Raise ``click.ClickException`` without one."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [str(bench), "run", str(site), day, "--why", why]
        done = subprocess.run(
            [*command, "--report", str(report)],
            capture_output=True,
            text=True,
            check=False,
        )
        if not report.exists():
            raise click.ClickException(
                f"{day} of {site.stem} gave no report (exit code {done.returncode}); "
                f"the bench said: {(done.stderr or done.stdout).strip()[-300:]}"
            )
        fields: dict[str, Any] = json.loads(report.read_text(encoding="utf-8"))
        return fields


def describe(
    name: str, figures: DayFigures, before: DayFigures | None
) -> tuple[bool, str]:
    """Return whether a day is sound, and its line beside the last figures."""
    line = f"{name}: worth {figures.worth:.3f}, served {figures.served:.3f}"
    line += f", processor {figures.processor_s:.0f} s"
    if before is None:
        line += " (no earlier figures)"
    else:
        line += f" (before: {before.worth:.3f}, {before.served:.3f}"
        line += f", {before.processor_s:.0f} s on {before.revision})"
    if figures.broken:
        line += f" BROKEN: {figures.broken}"
    return not figures.broken, line


@click.command()
@click.option("--bench", type=click.Path(path_type=Path, exists=True), required=True)
@click.option("--store", type=click.Path(path_type=Path), required=True)
@click.option("--why", default="Regression run", show_default=True)
@click.argument("site", type=click.Path(path_type=Path, exists=True))
@click.argument("days", nargs=-1, required=True)
def main(bench: Path, store: Path, why: str, site: Path, days: tuple[str, ...]) -> None:
    """Play DAYS of SITE on the present commit; skip those that have been played."""
    figure_store = FigureStore(path=store)
    revision = find_revision()
    results = []
    for number, day in enumerate(days, start=1):
        key = f"{platform.machine()}/{site.stem}/{day}"
        figures = figure_store.find_last(key)
        if figures is None or figures.revision != revision:
            click.echo(f"{number} of {len(days)}: playing {day}", err=True)
            report = play(bench, site, day, why)
            figures = DayFigures.from_report(report, revision=revision)
            figure_store.add(key, figures)
        before = figure_store.find_last(key, other_than=revision)
        results.append(describe(f"{site.stem}/{day}", figures, before))
    for _, line in sorted(results):
        click.echo(line)
    if not all(is_sound for is_sound, _ in results):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
