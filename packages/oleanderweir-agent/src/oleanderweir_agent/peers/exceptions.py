"""Errors between the agents of a service."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidLoadReportError(OleanderweirError):
    """A datagram is no load report of this installation."""

    code: ClassVar[str] = "invalid_load_report"


class InvalidRelayMessageError(OleanderweirError):
    """A peer agent sent bytes that are no message, or one out of order."""

    code: ClassVar[str] = "invalid_relay_message"
