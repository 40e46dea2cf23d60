"""Errors of commands."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class NoAnswerError(OleanderweirError):
    """The admin endpoint of a process does not answer."""

    code: ClassVar[str] = "no_answer"


class NotReadyError(OleanderweirError):
    """The process answers, and says that it is not ready."""

    code: ClassVar[str] = "not_ready"


class ProcessFailedError(OleanderweirError):
    """The process ended by an error that nothing foresaw."""

    code: ClassVar[str] = "internal"


class ProcessEndedError(OleanderweirError):
    """The process stopped serving though nobody asked it to."""

    code: ClassVar[str] = "process_ended"


class ShutdownCutError(OleanderweirError):
    """A graceful shutdown ran out of time and cut work off."""

    code: ClassVar[str] = "shutdown_cut"
