from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from tools import regression


if TYPE_CHECKING:
    from pathlib import Path

    from click.testing import Result


BENCH = """#!/bin/sh
echo "$3" >> "$0.played"
while [ "$1" != --report ]; do shift; done
cat "$0.report" > "$2"
"""


class Bench:
    """A bench whose days have the same report, and the site that it plays."""

    def __init__(self, folder: Path) -> None:
        self.program = folder / "bench"
        self.program.write_text(BENCH)
        self.program.chmod(0o755)
        self.site = folder / "site.toml"
        self.site.write_text("")
        self.store = folder / "store" / "figures.json"
        self.set_report(worth=0.9)

    def set_report(self, *, worth: float, **fields: object) -> None:
        report = {"G": worth, "served": 1.0, "spent": {"processes": [3.0, 1.0]}}
        path = self.program.with_name("bench.report")
        path.write_text(json.dumps({**report, **fields}))

    def run(self, *days: str) -> Result:
        options = ["--bench", str(self.program), "--store", str(self.store)]
        arguments = [*options, str(self.site), *days]
        return CliRunner().invoke(regression.main, arguments)

    def played(self) -> list[str]:
        return self.program.with_name("bench.played").read_text().split()


@pytest.fixture
def bench(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Bench:
    monkeypatch.setattr(regression, "find_revision", lambda: "one")
    return Bench(tmp_path)


def test_a_run_that_was_stopped_goes_on_with_the_next_day(bench: Bench) -> None:
    bench.run("quiet-1")

    result = bench.run("quiet-1", "trouble-1")

    assert result.exit_code == 0, result.output
    assert bench.played() == ["quiet-1", "trouble-1"]
    assert "site/quiet-1: worth 0.900, served 1.000, processor 4 s" in result.output


def test_figures_stand_beside_the_last_ones(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    bench.run("quiet-1")
    monkeypatch.setattr(regression, "find_revision", lambda: "two")
    bench.set_report(worth=0.8)

    result = bench.run("quiet-1")

    assert "worth 0.800" in result.output
    assert "(before: 0.900, 1.000, 4 s on one)" in result.output


def test_broken_rules_come_first_and_fail_the_run(bench: Bench) -> None:
    bench.run("a-day")
    bench.set_report(worth=0.0, breaks={"FLOW": 2}, fault="too slow")

    result = bench.run("a-day", "b-day")

    assert result.exit_code == 1
    first, *_ = [line for line in result.output.splitlines() if "worth" in line]
    assert first.startswith("site/b-day")
    assert "BROKEN: FLOW 2; too slow" in first


def test_figures_of_another_kind_of_machine_are_not_compared(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    bench.run("quiet-1")
    monkeypatch.setattr("platform.machine", lambda: "other")

    result = bench.run("quiet-1")

    assert "(no earlier figures)" in result.output


def test_a_day_without_a_report_is_named(bench: Bench) -> None:
    bench.program.write_text("#!/bin/sh\necho no such day >&2\nexit 3\n")

    result = bench.run("nowhere")

    assert result.exit_code == 1
    assert "nowhere of site gave no report (exit code 3)" in result.output
    assert "no such day" in result.output
