from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from oleanderweir.console import ExitCode
from oleanderweir_agent.console.application import create_application
from tests.oleanderweir.console.flags import join_flags
from tests.oleanderweir.console.flags import make_process_flags
from tests.oleanderweir.helpers_admin import find_free_address


if TYPE_CHECKING:
    from pathlib import Path


@pytest.fixture
def flags(tmp_path: Path) -> dict[str, str]:
    process_flags = make_process_flags(tmp_path)
    return {
        **process_flags,
        "--backend-server": "reloj-1",
        "--agent-address": str(find_free_address()),
        "--backend-address": "127.0.0.1:9001",
        "--tls-certificate": process_flags["--peer-tls-certificate"],
        "--tls-private-key": process_flags["--peer-tls-private-key"],
    }


def test_check_accepts_valid_settings(flags: dict[str, str]) -> None:
    result = CliRunner().invoke(
        create_application().group, ["check", *join_flags(flags)]
    )

    assert (result.exit_code, result.stderr) == (ExitCode.OK, "")


@pytest.mark.parametrize("verb", ["run", "check"])
@pytest.mark.parametrize(
    ("changes", "code", "words"),
    [
        ({"--backend-server": "Reloj 1"}, "invalid_setting", "--backend-server"),
        ({"--agent-address": "x"}, "invalid_address", "--agent-address"),
        ({"--tls-certificate": "none.pem"}, "invalid_tls", "none.pem"),
        ({"--tls-private-key": "none.pem"}, "invalid_tls", "none.pem"),
        (
            {"--backend-address": "127.0.0.1:9", "--admin-address": "127.0.0.1:9"},
            "invalid_setting",
            "--admin-address and --backend-address are both 127.0.0.1:9",
        ),
    ],
    ids=["name", "address", "no-certificate", "no-key", "admin-address-as-backend"],
)
def test_invalid_flags_are_reported_in_one_line(
    verb: str, changes: dict[str, str], code: str, words: str, flags: dict[str, str]
) -> None:
    result = CliRunner().invoke(
        create_application().group, [verb, *join_flags({**flags, **changes})]
    )

    assert result.exit_code == ExitCode.INVALID_SETTINGS
    (line,) = result.stderr.splitlines()
    assert line.startswith(f"[{code}] ")
    assert words in line
