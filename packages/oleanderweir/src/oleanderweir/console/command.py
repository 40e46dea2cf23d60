"""Base class of the commands of a binary."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

import click


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.console.exit_code import ExitCode


class Command(abc.ABC):
    """
    A command with its name, description and parameters.

    A space in the name places the command in a group: ``ticket check``. ``handle``
    receives the parameter values as keyword arguments and delegates the work to a
    service object.
    """

    name: ClassVar[str]
    description: ClassVar[str]

    @property
    @abc.abstractmethod
    def parameters(self) -> Sequence[click.Parameter]:
        """The flags and arguments, in the order of the help text."""

    @abc.abstractmethod
    def handle(self, **values: Any) -> ExitCode:
        """Run the command; raise ``OleanderweirError`` if it fails."""

    def to_click(self) -> click.Command:
        """Return the equivalent click command."""
        return click.Command(
            name=self.name.rpartition(" ")[2],
            help=self.description,
            params=list(self.parameters),
            callback=self.handle,
        )
