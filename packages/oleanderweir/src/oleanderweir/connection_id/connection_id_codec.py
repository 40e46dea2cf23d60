"""
Encryption and authentication of connection IDs.

The layout is modelled on draft-ietf-quic-load-balancers: one byte of key ID, one AES
block with the route, three bytes of tag over that block. A forged ID is accepted with
a probability of 2^-48, since both the tag and the service tag must match.
"""

from __future__ import annotations

import hmac
import struct
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs
from cryptography.hazmat.primitives.ciphers import Cipher
from cryptography.hazmat.primitives.ciphers import CipherContext
from cryptography.hazmat.primitives.ciphers.algorithms import AES
from cryptography.hazmat.primitives.ciphers.modes import ECB

from oleanderweir.connection_id.connection_id import CONNECTION_ID_LENGTH_BYTES
from oleanderweir.connection_id.connection_id import ConnectionId
from oleanderweir.connection_id.exceptions import InvalidConnectionIdError
from oleanderweir.keys import KeyPurpose


if TYPE_CHECKING:
    from oleanderweir.keys import Key
    from oleanderweir.keys import KeyRing


AES_KEY_LENGTH_BYTES = 16
BLOCK_END = 17
SERVICE_TAG_LENGTH_BYTES = 3
TAG_LENGTH_BYTES = 3
RESET_TOKEN_LENGTH_BYTES = 16
ROUTE = struct.Struct("!6sI3s3s")


@attrs.frozen(kw_only=True)
class _KeyedCiphers:
    """
    The ciphers and keys derived from one key.

    ECB processes each block independently, so the contexts are reused.
    """

    encryptor: CipherContext
    decryptor: CipherContext
    tag_encryptor: CipherContext
    service_tag_key: bytes
    reset_key: bytes


class ConnectionIdCodec:
    """Encodes and decodes connection IDs with the keys of a key ring."""

    def __init__(self, *, key_ring: KeyRing) -> None:
        self.issuing_key_id = key_ring.issuing_key.key_id
        self.ciphers = {key.key_id: _make_ciphers(key) for key in key_ring.keys}

    def service_tags(self, service_address: bytes) -> dict[int, bytes]:
        """Return the tag of a service, given its packed address, for each key ID."""
        return {
            key_id: self._service_tag(ciphers, service_address)
            for key_id, ciphers in self.ciphers.items()
        }

    def issuing_service_tag(self, service_address: bytes) -> bytes:
        """Return the tag of a service in the connection IDs that are issued."""
        ciphers = self.ciphers[self.issuing_key_id]
        return self._service_tag(ciphers, service_address)

    def encode(self, connection_id: ConnectionId) -> bytes:
        """Return the 20 bytes of a connection ID."""
        ciphers = self.ciphers[self.issuing_key_id]
        route = ROUTE.pack(
            connection_id.agent,
            connection_id.incarnation,
            connection_id.service_tag,
            connection_id.nonce.to_bytes(3, "big"),
        )
        block = ciphers.encryptor.update(route)
        tag = ciphers.tag_encryptor.update(block)[:TAG_LENGTH_BYTES]
        return bytes([self.issuing_key_id]) + block + tag

    def decode(self, data: bytes) -> ConnectionId:
        """
        Return the route in a connection ID.

        Raise ``InvalidConnectionIdError`` for an ID that was not issued under one of
        the keys.
        """
        if len(data) != CONNECTION_ID_LENGTH_BYTES:
            raise InvalidConnectionIdError("the connection ID is not 20 bytes long")
        ciphers = self.ciphers.get(data[0])
        if ciphers is None:
            raise InvalidConnectionIdError("the connection ID has an unknown key ID")
        block = data[1:BLOCK_END]
        tag = ciphers.tag_encryptor.update(block)[:TAG_LENGTH_BYTES]
        if not hmac.compare_digest(tag, data[BLOCK_END:]):
            raise InvalidConnectionIdError(
                "the tag of the connection ID does not match"
            )
        agent, incarnation, service_tag, nonce = ROUTE.unpack(
            ciphers.decryptor.update(block)
        )
        return ConnectionId(
            agent=agent,
            incarnation=incarnation,
            service_tag=service_tag,
            nonce=int.from_bytes(nonce, "big"),
        )

    def stateless_reset_token(self, data: bytes) -> bytes:
        """
        Return the stateless reset token of a connection ID (RFC 9000, 10.3).

        Raise ``InvalidConnectionIdError`` when the ID has an unknown key ID.
        """
        ciphers = self.ciphers.get(data[0]) if data else None
        if ciphers is None:
            raise InvalidConnectionIdError("the connection ID has an unknown key ID")
        return blake2b(
            data, key=ciphers.reset_key, digest_size=RESET_TOKEN_LENGTH_BYTES
        ).digest()

    @staticmethod
    def _service_tag(ciphers: _KeyedCiphers, service_address: bytes) -> bytes:
        """Return the tag of a service for one key."""
        return blake2b(
            service_address,
            key=ciphers.service_tag_key,
            digest_size=SERVICE_TAG_LENGTH_BYTES,
        ).digest()


def _make_ciphers(key: Key) -> _KeyedCiphers:
    """Derive the ciphers of one key."""
    block_key = key.derive(
        KeyPurpose.CONNECTION_ID_BLOCK, length_bytes=AES_KEY_LENGTH_BYTES
    )
    tag_key = key.derive(
        KeyPurpose.CONNECTION_ID_TAG, length_bytes=AES_KEY_LENGTH_BYTES
    )
    block_cipher = Cipher(AES(block_key), ECB())
    return _KeyedCiphers(
        encryptor=block_cipher.encryptor(),
        decryptor=block_cipher.decryptor(),
        tag_encryptor=Cipher(AES(tag_key), ECB()).encryptor(),
        service_tag_key=key.derive(KeyPurpose.SERVICE_TAG, length_bytes=32),
        reset_key=key.derive(KeyPurpose.STATELESS_RESET, length_bytes=32),
    )
