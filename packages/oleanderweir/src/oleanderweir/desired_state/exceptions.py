"""Errors raised while reading the published state."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class SourceUnavailableError(OleanderweirError):
    """The source didn't answer in time, or the connection was lost."""

    code: ClassVar[str] = "source_unavailable"


class SourceBusyError(SourceUnavailableError):
    """The source rejected the call because of overload, without executing it."""

    code: ClassVar[str] = "source_busy"


class HistoryLostError(OleanderweirError):
    """The source no longer has the changes since a revision; list the topic again."""

    code: ClassVar[str] = "history_lost"


class InvalidDocumentError(OleanderweirError):
    """A published document is malformed or lacks a required field."""

    code: ClassVar[str] = "invalid_document"
