"""Errors of the callers' side."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidRetryTokenError(OleanderweirError):
    """A Retry token is foreign, late, or was given to another caller."""

    code: ClassVar[str] = "invalid_retry_token"
