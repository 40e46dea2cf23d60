"""
Run every check of the workspace: formatter, linter, types and tests.

Tests listed in ``KNOWN-RED.txt`` are run and printed, but their result is ignored.
Any other failure fails the run.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path


ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_red() -> list[str]:
    """Return the test identifiers that ``KNOWN-RED.txt`` lists."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    ]


def run(*arguments: str) -> int:
    """Run one command from the root of the workspace; return its exit code."""
    print("$ " + " ".join(arguments), flush=True)
    return subprocess.run(arguments, cwd=ROOT, check=False).returncode


def run_module(*arguments: str) -> int:
    """Run one Python module of this environment; return its exit code."""
    return run(sys.executable, "-m", *arguments)


def main() -> int:
    """Run the checks in order; return the first exit code that is not zero."""
    known_red = read_known_red()
    for test in known_red:
        print(f"KNOWN RED: {test}", flush=True)
        run_module("pytest", test)
    deselected = [f"--deselect={test}" for test in known_red]
    checks = [
        ("ruff", "format", "--check", "."),
        ("ruff", "check", "."),
        ("mypy",),
        ("pytest", *deselected),
    ]
    for check in checks:
        code = run_module(*check)
        if code != 0:
            return code
    return 0


if __name__ == "__main__":
    sys.exit(main())
