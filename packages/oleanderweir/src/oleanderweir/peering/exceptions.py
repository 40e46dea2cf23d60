"""Errors of the communication between balancers and agents."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidMessageError(OleanderweirError):
    """A datagram or stream of a peer is not a valid message of this version."""

    code: ClassVar[str] = "invalid_peer_message"


class PeerUnavailableError(OleanderweirError):
    """A peer doesn't respond to a request for its published state."""

    code: ClassVar[str] = "peer_unavailable"
