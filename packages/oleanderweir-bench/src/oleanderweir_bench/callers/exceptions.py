"""Errors of a caller."""

from __future__ import annotations

from typing import ClassVar

from aioquic.h3.connection import ErrorCode

from oleanderweir.exceptions import OleanderweirError


class CallerError(OleanderweirError):
    """
    A request did not get a complete response.

    ``is_not_run`` is true if the server guarantees that it did not run the request.
    """

    code: ClassVar[str] = "caller"
    is_not_run: bool = False


class CallerTimeoutError(CallerError):
    """The handshake or the response was not completed within the timeout."""

    code: ClassVar[str] = "caller_timeout"


class RequestResetError(CallerError):
    """
    The server reset the stream of a request.

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
    The connection was closed.

    ``error_code`` is the QUIC or HTTP/3 error code of the close, ``reason`` its reason
    phrase.
    """

    code: ClassVar[str] = "session_closed"

    def __init__(self, *, error_code: int, reason: str) -> None:
        super().__init__(
            f"the connection closed with code {error_code:#x} ({reason}); "
            "open another session"
        )
        self.error_code = error_code
        self.reason = reason


class SessionLeavingError(CallerError):
    """The server sent GOAWAY: this session accepts no new requests."""

    code: ClassVar[str] = "session_leaving"
    is_not_run: bool = True
