"""Flags whose value a function of the product reads."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import click

from oleanderweir.exceptions import OleanderweirError


if TYPE_CHECKING:
    from collections.abc import Callable


class FlagValueError(click.BadParameter):
    """The value of a flag was refused, with the code of the refusal."""

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
    """Reads the text of a flag by ``parse``, which raises ``OleanderweirError``."""

    def __init__(self, *, name: str, parse: Callable[[str], object]) -> None:
        self.name = name
        self.parse = parse

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Any:
        """Return the value that the text stands for."""
        if not isinstance(value, str):
            return value
        try:
            return self.parse(value)
        except OleanderweirError as error:
            raise FlagValueError(error=error, parameter=param, context=ctx) from error
