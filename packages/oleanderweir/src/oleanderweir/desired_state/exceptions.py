"""Errors of reading the published state."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class SourceUnavailableError(OleanderweirError):
    """The source doesn't answer, answers late, or breaks off."""

    code: ClassVar[str] = "source_unavailable"


class SourceBusyError(SourceUnavailableError):
    """The source turned the call away; nothing was done."""

    code: ClassVar[str] = "source_busy"


class HistoryLostError(OleanderweirError):
    """The changes since the wanted revision are no longer kept: list again."""

    code: ClassVar[str] = "history_lost"


class InvalidDocumentError(OleanderweirError):
    """A published document can't be read or lacks a field."""

    code: ClassVar[str] = "invalid_document"
