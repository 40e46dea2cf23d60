"""Errors of the connections with callers."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidRetryTokenError(OleanderweirError):
    """A Retry token is not authentic, has expired or does not match its packet."""

    code: ClassVar[str] = "invalid_retry_token"
