from __future__ import annotations

import pkgutil

import click
import pytest
from click.testing import CliRunner

from oleanderweir_bench.console import application
from oleanderweir_bench.console import commands


VERBS = sorted(
    module.name.replace("_", "-") for module in pkgutil.iter_modules(commands.__path__)
)


def test_unknown_verb_is_refused() -> None:
    result = CliRunner().invoke(application, ["no-such-verb"])

    assert result.exit_code == click.UsageError.exit_code
    assert "No such command" in result.output


@pytest.mark.parametrize("verb", VERBS)
def test_every_command_module_describes_its_verb(verb: str) -> None:
    result = CliRunner().invoke(application, [verb, "--help"])

    assert result.exit_code == 0
    assert "Usage:" in result.output
