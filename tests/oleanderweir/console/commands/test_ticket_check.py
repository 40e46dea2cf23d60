from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from oleanderweir.console import ExitCode
from oleanderweir_balancer.console.application import create_application


if TYPE_CHECKING:
    from pathlib import Path


VALID_TICKET = '{"ticket": 17, "services": {"horaflujo": {"address": "192.0.2.1:443"}}}'
TICKET_WITH_TWO_PROBLEMS = '{"ticket": 0, "services": {"A": null}}'


@pytest.mark.parametrize(
    ("text", "exit_code", "output", "codes"),
    [
        (VALID_TICKET, ExitCode.OK, "ticket 17 is valid", []),
        (
            TICKET_WITH_TWO_PROBLEMS,
            ExitCode.TICKET_REFUSED,
            "",
            ["[invalid_ticket]"] * 2,
        ),
        ("{", ExitCode.TICKET_REFUSED, "", ["[invalid_ticket]"]),
        (None, ExitCode.TICKET_REFUSED, "", ["[unreadable_ticket_file]"]),
    ],
    ids=["valid", "two-problems", "not-json", "no-file"],
)
def test_each_problem_of_a_ticket_is_reported_on_its_own_line(
    text: str | None, exit_code: ExitCode, output: str, codes: list[str], tmp_path: Path
) -> None:
    file = tmp_path / "17.json"
    if text is not None:
        file.write_text(text, encoding="utf-8")

    result = CliRunner().invoke(
        create_application().group, ["ticket", "check", str(file)]
    )

    assert result.exit_code == exit_code
    assert output in result.stdout
    lines = result.stderr.splitlines()
    assert [line.split()[0] for line in lines] == codes
    assert all("17.json" in line for line in lines)
