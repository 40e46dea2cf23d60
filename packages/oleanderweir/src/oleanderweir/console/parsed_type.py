"""A click parameter type that parses flag values with a function."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import click

from oleanderweir.exceptions import OleanderweirError


if TYPE_CHECKING:
    from collections.abc import Callable


class FlagValueError(click.BadParameter):
    """The value of a flag is invalid; ``code`` is that of the underlying error."""

    def __init__(
        self,
        *,
        error: OleanderweirError,
        parameter: click.Parameter | None,
        context: click.Context | None,
    ) -> None:
        super().__init__(error.message, ctx=context, param=parameter)
        self.code = error.code


class ParsedType(click.ParamType[Any]):
    """Parses the text of a flag with ``parse``, which raises ``OleanderweirError``."""

    def __init__(self, *, name: str, parse: Callable[[str], object]) -> None:
        self.name = name
        self.parse = parse

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Any:
        """Return the parsed value; raise ``FlagValueError`` if the text is invalid."""
        if not isinstance(value, str):
            return value
        try:
            return self.parse(value)
        except OleanderweirError as error:
            raise FlagValueError(error=error, parameter=param, context=ctx) from error
