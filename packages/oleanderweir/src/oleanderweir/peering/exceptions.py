"""Errors between the system's own processes."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidMessageError(OleanderweirError):
    """A datagram or stream of a peer is no message of this version."""

    code: ClassVar[str] = "invalid_peer_message"


class PeerUnavailableError(OleanderweirError):
    """A peer doesn't answer a request for state."""

    code: ClassVar[str] = "peer_unavailable"
