"""Errors of the communication between the agents of a service."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidLoadReportError(OleanderweirError):
    """A datagram is not an authentic, valid load report."""

    code: ClassVar[str] = "invalid_load_report"


class InvalidRelayMessageError(OleanderweirError):
    """A peer agent sent an invalid or unexpected message."""

    code: ClassVar[str] = "invalid_relay_message"
