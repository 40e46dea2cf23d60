"""Errors of a caller."""

from __future__ import annotations

from typing import ClassVar

from aioquic.h3.connection import ErrorCode

from oleanderweir.exceptions import OleanderweirError


class CallerError(OleanderweirError):
    """
    A request got no whole answer.

    ``is_not_run`` tells whether the far side vouches that the request never ran.
    """

    code: ClassVar[str] = "caller"
    is_not_run: bool = False


class CallerTimeoutError(CallerError):
    """No whole answer came within the time that the caller allows."""

    code: ClassVar[str] = "caller_timeout"


class RequestResetError(CallerError):
    """
    The far side reset the stream of a request.

    ``reset_code`` is the HTTP/3 error code of the reset.
    """

    code: ClassVar[str] = "request_reset"

    def __init__(self, *, reset_code: int) -> None:
        super().__init__(
            f"the stream was reset with code {reset_code:#x}; look the code up in "
            "RFC 9114, section 8.1"
        )
        self.reset_code = reset_code
        self.is_not_run = reset_code == ErrorCode.H3_REQUEST_REJECTED


class SessionClosedError(CallerError):
    """
    The connection ended.

    ``error_code`` is the QUIC or HTTP/3 code of the close, ``reason`` its text.
    """

    code: ClassVar[str] = "session_closed"

    def __init__(self, *, error_code: int, reason: str) -> None:
        super().__init__(
            f"the connection closed with code {error_code:#x} ({reason}); open another"
        )
        self.error_code = error_code
        self.reason = reason


class SessionLeavingError(CallerError):
    """The far side sent GOAWAY, so that this session takes no new request."""

    code: ClassVar[str] = "session_leaving"
    is_not_run: bool = True
