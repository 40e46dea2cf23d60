"""One verb of a binary."""

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
    A verb with its description and parameters.

    A space in the name makes a command of a group: ``ticket check``. ``handle`` takes
    the values of the parameters by name and hands the work to a service object.
    """

    name: ClassVar[str]
    description: ClassVar[str]

    @property
    @abc.abstractmethod
    def parameters(self) -> Sequence[click.Parameter]:
        """Flags and arguments, in the order of the help text."""

    @abc.abstractmethod
    def handle(self, **values: Any) -> ExitCode:
        """Run the command; raise ``OleanderweirError`` if it can't be done."""

    def to_click(self) -> click.Command:
        """Return the command in click's terms."""
        return click.Command(
            name=self.name.rpartition(" ")[2],
            help=self.description,
            params=list(self.parameters),
            callback=self.handle,
        )
