"""Command-line framework that the balancer and the agent share."""

from __future__ import annotations

from oleanderweir.console.application import Application
from oleanderweir.console.command import Command
from oleanderweir.console.exceptions import NoAnswerError
from oleanderweir.console.exceptions import NotReadyError
from oleanderweir.console.exceptions import ProcessEndedError
from oleanderweir.console.exceptions import ProcessFailedError
from oleanderweir.console.exceptions import ShutdownCutError
from oleanderweir.console.exit_code import ExitCode
from oleanderweir.console.managed_process import DrainableProcess
from oleanderweir.console.managed_process import ManagedProcess
from oleanderweir.console.managed_process import ProcessFactory
from oleanderweir.console.process_runner import ProcessRunner


__all__ = [
    "Application",
    "Command",
    "DrainableProcess",
    "ExitCode",
    "ManagedProcess",
    "NoAnswerError",
    "NotReadyError",
    "ProcessEndedError",
    "ProcessFactory",
    "ProcessFailedError",
    "ProcessRunner",
    "ShutdownCutError",
]
