"""Errors of exchanges with the backend server."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class BackendUnreachableError(OleanderweirError):
    """No byte of the request reached the backend server, so it did not run."""

    code: ClassVar[str] = "backend_unreachable"


class InvalidRequestError(OleanderweirError):
    """A caller's request can't be written as HTTP/1.1; nothing was sent."""

    code: ClassVar[str] = "invalid_request"


class BackendBrokenError(OleanderweirError):
    """The exchange broke after its first byte, so the request may have run."""

    code: ClassVar[str] = "backend_broken"
