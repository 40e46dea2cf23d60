from __future__ import annotations

import pkgutil

import click
import pytest
from click.testing import CliRunner

from oleanderweir_bench.console import application
from oleanderweir_bench.console import commands


COMMANDS = sorted(
    module.name.replace("_", "-") for module in pkgutil.iter_modules(commands.__path__)
)


def test_unknown_command_is_rejected() -> None:
    result = CliRunner().invoke(application, ["no-such-command"])

    assert result.exit_code == click.UsageError.exit_code
    assert "No such command" in result.output


@pytest.mark.parametrize("command", COMMANDS)
def test_every_command_module_describes_its_command(command: str) -> None:
    result = CliRunner().invoke(application, [command, "--help"])

    assert result.exit_code == 0
    assert "Usage:" in result.output
