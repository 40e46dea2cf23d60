"""Authentication of datagrams between processes."""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import TYPE_CHECKING

from oleanderweir.keys.exceptions import UnauthenticMessageError


if TYPE_CHECKING:
    from oleanderweir.keys.key_purpose import KeyPurpose
    from oleanderweir.keys.key_ring import KeyRing


MAC_LENGTH_BYTES = 16
BODY_START = 1 + MAC_LENGTH_BYTES
MAC_KEY_LENGTH_BYTES = 32


class MessageAuthenticator:
    """
    Authenticates the messages of one purpose.

    A message is one byte of key ID, a keyed BLAKE2b MAC of 16 bytes and the body.
    Each purpose has its own key, so a message of one purpose is not valid for another.
    """

    def __init__(self, *, key_ring: KeyRing, purpose: KeyPurpose) -> None:
        self.keyed_hashes = {
            key.key_id: blake2b(
                key=key.derive(purpose, length_bytes=MAC_KEY_LENGTH_BYTES),
                digest_size=MAC_LENGTH_BYTES,
            )
            for key in key_ring.keys
        }
        self.issuing_prefix = bytes([key_ring.issuing_key.key_id])
        self.issuing_hash = self.keyed_hashes[key_ring.issuing_key.key_id]

    def protect(self, body: bytes) -> bytes:
        """Return an authenticated message with this body."""
        return self.issuing_prefix + _make_mac(self.issuing_hash, body) + body

    def verify(self, message: bytes) -> bytes:
        """Return the body; raise ``UnauthenticMessageError`` if it is not authentic."""
        if len(message) <= BODY_START:
            raise UnauthenticMessageError(
                "the message is too short to contain a MAC and a body"
            )
        keyed_hash = self.keyed_hashes.get(message[0])
        if keyed_hash is None:
            raise UnauthenticMessageError("the message has an unknown key ID")
        body = message[BODY_START:]
        mac = _make_mac(keyed_hash, body)
        if not hmac.compare_digest(mac, message[1:BODY_START]):
            raise UnauthenticMessageError("the MAC of the message does not match")
        return body


def _make_mac(keyed_hash: blake2b, body: bytes) -> bytes:
    """Return the MAC of a body; copying a keyed hash avoids keying a new one."""
    state = keyed_hash.copy()
    state.update(body)
    return state.digest()
