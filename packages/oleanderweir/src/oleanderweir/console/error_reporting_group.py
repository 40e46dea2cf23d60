"""A command line that ends each error with one line and an exit code."""

from __future__ import annotations

import logging
import sys
from typing import Any

import click

from oleanderweir.console.exit_code import ExitCode
from oleanderweir.console.reporting import report_error
from oleanderweir.console.reporting import report_usage_error
from oleanderweir.console.reporting import write_problem
from oleanderweir.exceptions import OleanderweirError


logger = logging.getLogger(__name__)


class ErrorReportingGroup(click.Group):
    """The outermost group of a binary."""

    def main(self, *args: Any, **extra: Any) -> Any:
        """Run the command that the arguments name, then leave the interpreter."""
        try:
            code = super().main(*args, **{**extra, "standalone_mode": False})
        except OleanderweirError as error:
            code = report_error(error)
        except click.ClickException as error:
            code = report_usage_error(error)
        except click.Abort:
            write_problem("[aborted] stopped by the keyboard")
            code = ExitCode.FAILED
        except Exception as error:
            # The log carries the traceback; the terminal gets one line.
            logger.debug("unforeseen error", exc_info=True, extra={"code": "internal"})
            write_problem(f"[internal] {type(error).__name__}: {error}; report this")
            code = ExitCode.FAILED
        sys.exit(code)
