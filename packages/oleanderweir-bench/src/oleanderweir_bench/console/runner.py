"""Runs the asynchronous part of a command."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import click
import trio

from oleanderweir.exceptions import OleanderweirError


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


T = TypeVar("T")


def run_command(function: Callable[..., Awaitable[T]], *arguments: Any) -> T:
    """
    Run ``function`` on trio and return what it returns.

    An expected error is printed as one line on standard error, with exit code 1. An
    interrupt aborts the command without a traceback.
    """
    try:
        return trio.run(function, *arguments, strict_exception_groups=True)
    except* OleanderweirError as group:
        raise click.ClickException(str(first_error(group))) from None
    except* KeyboardInterrupt:
        raise click.Abort from None


def first_error(group: BaseExceptionGroup[Any]) -> BaseException:
    """Return the first error in a group that is not itself a group."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
