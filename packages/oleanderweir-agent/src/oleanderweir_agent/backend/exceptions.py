"""Errors of exchanges with the backend server."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class BackendUnreachableError(OleanderweirError):
    """Connecting failed before any byte was sent, so the request did not run."""

    code: ClassVar[str] = "backend_unreachable"


class InvalidRequestError(OleanderweirError):
    """A caller's request can't be encoded as HTTP/1.1, so nothing was sent."""

    code: ClassVar[str] = "invalid_request"


class BackendBrokenError(OleanderweirError):
    """The exchange failed after sending began, so the request may have run."""

    code: ClassVar[str] = "backend_broken"
