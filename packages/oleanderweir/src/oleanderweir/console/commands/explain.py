"""The command that prints the trace of one flow."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

import click

from oleanderweir.console.command import Command
from oleanderweir.console.exit_code import ExitCode
from oleanderweir.event_log import trace_flow


if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import TextIO


class ExplainCommand(Command):
    """Prints the decisions about one flow from the logs of all processes."""

    name: ClassVar[str] = "explain"
    description: ClassVar[str] = (
        "Print every decision about a flow in chronological order, from the log files "
        "of any number of processes. FLOW is the flow as written in the logs, or its "
        "prefix, the caller's address and port."
    )

    @property
    def parameters(self) -> Sequence[click.Parameter]:
        """The flow and the log files."""
        return [
            click.Argument(["flow"]),
            click.Argument(["files"], type=click.File(), nargs=-1, required=True),
        ]

    def handle(self, **values: Any) -> ExitCode:
        """Print one line per decision; fail if the logs contain none."""
        files: Sequence[TextIO] = values["files"]
        trace = trace_flow(values["flow"], (line for file in files for line in file))
        for line in trace:
            click.echo(str(line))
        if not trace:
            click.echo(
                f"no log line about flow {values['flow']}; check the flow, and search "
                "the logs for 'left_out' in case lines were suppressed",
                err=True,
            )
            return ExitCode.NO_ANSWER
        return ExitCode.OK
