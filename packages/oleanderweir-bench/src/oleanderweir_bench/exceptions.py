"""Errors of the bench."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class BindError(OleanderweirError):
    """An address cannot be bound."""

    code: ClassVar[str] = "bind_failed"


class ProcessFailedError(OleanderweirError):
    """A child process exited early or did not become ready in time."""

    code: ClassVar[str] = "process_failed"
