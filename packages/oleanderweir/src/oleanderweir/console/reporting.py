"""Reports each error as one line with an exit code."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from oleanderweir.configuration_service import InvalidServiceUrlError
from oleanderweir.console.exceptions import NoAnswerError
from oleanderweir.console.exceptions import NotReadyError
from oleanderweir.console.exceptions import ShutdownCutError
from oleanderweir.console.exit_code import ExitCode
from oleanderweir.console.parsed_type import FlagValueError
from oleanderweir.keys import InvalidKeyRingError
from oleanderweir.net import AddressInUseError
from oleanderweir.net import InvalidAddressError
from oleanderweir.replication import InvalidPeerCredentialsError
from oleanderweir.settings import InvalidSettingError
from oleanderweir.settings import InvalidTlsMaterialError
from oleanderweir.tickets import UnreadableTicketFileError


if TYPE_CHECKING:
    from oleanderweir.exceptions import OleanderweirError


EXIT_CODES: dict[type[OleanderweirError], ExitCode] = {
    InvalidAddressError: ExitCode.INVALID_SETTINGS,
    InvalidKeyRingError: ExitCode.INVALID_SETTINGS,
    InvalidSettingError: ExitCode.INVALID_SETTINGS,
    InvalidTlsMaterialError: ExitCode.INVALID_SETTINGS,
    InvalidPeerCredentialsError: ExitCode.INVALID_SETTINGS,
    InvalidServiceUrlError: ExitCode.INVALID_SETTINGS,
    AddressInUseError: ExitCode.ADDRESS_IN_USE,
    UnreadableTicketFileError: ExitCode.TICKET_REFUSED,
    NoAnswerError: ExitCode.NO_ANSWER,
    NotReadyError: ExitCode.NOT_READY,
    ShutdownCutError: ExitCode.SHUTDOWN_CUT,
}


def report_error(error: OleanderweirError) -> ExitCode:
    """Write an error to stderr; return its exit code."""
    write_problem(str(error))
    return EXIT_CODES.get(type(error), ExitCode.FAILED)


def report_usage_error(error: click.ClickException) -> ExitCode:
    """Write a command-line error to stderr; return its exit code."""
    write_problem(f"[{_error_code(error)}] {_describe(error)}")
    return ExitCode.INVALID_SETTINGS


def write_problem(text: str) -> None:
    """Write a problem to stderr as exactly one line."""
    click.echo(" ".join(text.split()), err=True)


def _error_code(error: click.ClickException) -> str:
    """Return the code of an error that click raised."""
    if isinstance(error, FlagValueError):
        return error.code
    if isinstance(error, click.MissingParameter):
        return "missing_setting"
    if isinstance(error, click.BadParameter):
        return InvalidSettingError.code
    if isinstance(error, click.NoSuchOption):
        return "unknown_flag"
    return "invalid_usage"


def _describe(error: click.ClickException) -> str:
    """Return what is wrong and how to fix it."""
    if isinstance(error, click.MissingParameter):
        return _describe_missing(error)
    if isinstance(error, click.BadParameter) and error.param is not None:
        return f"{_parameter_name(error.param)}: {error.message}"
    return f"{error.format_message()} See --help."


def _describe_missing(error: click.MissingParameter) -> str:
    """Return how to supply a missing setting."""
    if error.param is None:
        return f"{error.format_message()} See --help."
    flag = _parameter_name(error.param)
    if isinstance(error.param.envvar, str):
        return f"{flag} is missing; pass it or set {error.param.envvar}"
    return f"{flag} is missing; pass it"


def _parameter_name(parameter: click.Parameter) -> str:
    """Return the flag or the name of the argument."""
    if isinstance(parameter, click.Option):
        return parameter.opts[0]
    return parameter.human_readable_name
