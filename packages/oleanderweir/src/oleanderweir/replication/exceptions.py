"""Errors of the replication between peers."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class PeerUnavailableError(OleanderweirError):
    """A peer is unreachable or did not reply within the timeout."""

    code: ClassVar[str] = "peer_unavailable"


class PeerClosedError(OleanderweirError):
    """A session was closed by the peer or lost with its connection."""

    code: ClassVar[str] = "peer_closed"


class InvalidPeerMessageError(OleanderweirError):
    """A peer sent a malformed or unexpected message."""

    code: ClassVar[str] = "invalid_peer_message"


class PeerMessageTooLargeError(OleanderweirError):
    """A message between peers exceeds the size limit."""

    code: ClassVar[str] = "peer_message_too_large"


class InvalidPeerCredentialsError(OleanderweirError):
    """The certificate, key or authority for peer sessions cannot be loaded."""

    code: ClassVar[str] = "invalid_peer_credentials"
