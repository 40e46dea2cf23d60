"""Errors of envelopes."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidEnvelopeError(OleanderweirError):
    """A datagram is not a valid envelope of this installation."""

    code: ClassVar[str] = "invalid_envelope"
