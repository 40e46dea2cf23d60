"""Errors of connection IDs."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidConnectionIdError(OleanderweirError):
    """A connection ID was not issued with a key of this installation."""

    code: ClassVar[str] = "invalid_connection_id"
