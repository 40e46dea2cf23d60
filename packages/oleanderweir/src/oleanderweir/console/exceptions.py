"""Errors that commands raise."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class NoAnswerError(OleanderweirError):
    """The admin address did not return a valid status."""

    code: ClassVar[str] = "no_answer"


class NotReadyError(OleanderweirError):
    """The process responded that it is not ready."""

    code: ClassVar[str] = "not_ready"


class ProcessFailedError(OleanderweirError):
    """The process stopped because of an unexpected error."""

    code: ClassVar[str] = "internal"


class ProcessEndedError(OleanderweirError):
    """The process stopped serving without a shutdown signal."""

    code: ClassVar[str] = "process_ended"


class ShutdownCutError(OleanderweirError):
    """A shutdown stopped the process before its work in flight had completed."""

    code: ClassVar[str] = "shutdown_cut"
