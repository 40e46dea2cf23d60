"""The verbs that both binaries have."""

from __future__ import annotations

from oleanderweir.console.commands.check import CheckCommand
from oleanderweir.console.commands.run import RunCommand
from oleanderweir.console.commands.status import StatusCommand


__all__ = ["CheckCommand", "RunCommand", "StatusCommand"]
