"""The command that runs the process."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar
from typing import Generic
from typing import TypeVar

from oleanderweir.console.command import Command
from oleanderweir.console.exit_code import ExitCode
from oleanderweir.console.process_runner import ProcessRunner
from oleanderweir.settings import ProcessSettings


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    import click

    from oleanderweir.console.managed_process import ProcessFactory


SettingsT = TypeVar("SettingsT", bound=ProcessSettings)


class RunCommand(Command, Generic[SettingsT]):
    """Serves until SIGTERM or SIGINT."""

    name: ClassVar[str] = "run"
    description: ClassVar[str] = (
        "Serve until SIGTERM or SIGINT, then shut down gracefully."
    )

    def __init__(
        self,
        *,
        role: str,
        options: Sequence[click.Option],
        create_settings: Callable[..., SettingsT],
        create_process: ProcessFactory[SettingsT],
    ) -> None:
        self.role = role
        self.options = options
        self.create_settings = create_settings
        self.create_process = create_process

    @property
    def parameters(self) -> Sequence[click.Parameter]:
        """The flags of the binary."""
        return self.options

    def handle(self, **values: Any) -> ExitCode:
        """Check the settings, then serve."""
        settings = self.create_settings(**values)
        for material in settings.tls_materials:
            material.check()
        ProcessRunner(
            role=self.role, settings=settings, create_process=self.create_process
        ).run()
        return ExitCode.OK
