"""The command that checks settings."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

import click

from oleanderweir.console.command import Command
from oleanderweir.console.exit_code import ExitCode
from oleanderweir.console.preflight import Preflight
from oleanderweir.console.reporting import report_error


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from oleanderweir.settings import ProcessSettings


class CheckCommand(Command):
    """Checks settings, keys, TLS files and addresses without serving."""

    name: ClassVar[str] = "check"
    description: ClassVar[str] = (
        "Check settings, keys, TLS files and whether every address is free."
    )

    def __init__(
        self,
        *,
        options: Sequence[click.Option],
        create_settings: Callable[..., ProcessSettings],
    ) -> None:
        self.options = options
        self.create_settings = create_settings

    @property
    def parameters(self) -> Sequence[click.Parameter]:
        """The flags of the binary."""
        return self.options

    def handle(self, **values: Any) -> ExitCode:
        """Print one line per problem; the first problem determines the exit code."""
        settings = self.create_settings(**values)
        problems = Preflight(settings=settings).find_problems()
        codes = [report_error(problem) for problem in problems]
        if codes:
            return codes[0]
        click.echo("settings, keys, TLS files and addresses are usable")
        return ExitCode.OK
