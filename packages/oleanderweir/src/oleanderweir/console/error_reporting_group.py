"""A click group that reports each error as one line and an exit code."""

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
    """The top-level group of a binary."""

    def main(self, *args: Any, **extra: Any) -> Any:
        """Run the command that the arguments select, then exit the interpreter."""
        try:
            code = super().main(*args, **{**extra, "standalone_mode": False})
        except OleanderweirError as error:
            code = report_error(error)
        except click.ClickException as error:
            code = report_usage_error(error)
        except click.Abort:
            write_problem("[aborted] interrupted from the keyboard")
            code = ExitCode.FAILED
        except Exception as error:
            # The traceback is logged; stderr receives one line only.
            logger.debug("unexpected error", exc_info=True, extra={"code": "internal"})
            write_problem(
                f"[internal] {type(error).__name__}: {error}; report this bug"
            )
            code = ExitCode.FAILED
        sys.exit(code)
