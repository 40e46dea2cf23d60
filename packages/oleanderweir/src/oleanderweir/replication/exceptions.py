"""Errors of spreading."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class PeerUnavailableError(OleanderweirError):
    """A peer can't be reached, or didn't answer within its timeout."""

    code: ClassVar[str] = "peer_unavailable"


class PeerClosedError(OleanderweirError):
    """A peer or the network ended a session."""

    code: ClassVar[str] = "peer_closed"


class InvalidPeerMessageError(OleanderweirError):
    """A peer sent bytes that are no message of the spreading protocol."""

    code: ClassVar[str] = "invalid_peer_message"


class PeerMessageTooLargeError(OleanderweirError):
    """A message exceeds what a peer may send."""

    code: ClassVar[str] = "peer_message_too_large"


class InvalidPeerCredentialsError(OleanderweirError):
    """The certificate, key or authority for peers can't be loaded."""

    code: ClassVar[str] = "invalid_peer_credentials"
