"""Errors of packets."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidPacketError(OleanderweirError):
    """A datagram does not start with a valid QUIC header."""

    code: ClassVar[str] = "invalid_packet"
