"""Encoding and authentication of envelopes."""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgpack

from oleanderweir.envelope.envelope import Envelope
from oleanderweir.envelope.exceptions import InvalidEnvelopeError
from oleanderweir.net.socket_address import PACKED_LENGTH_BYTES


if TYPE_CHECKING:
    from oleanderweir.keys import KeyPurpose
    from oleanderweir.keys import KeyRing


MAC_LENGTH_BYTES = 16
BODY_START = 1 + MAC_LENGTH_BYTES
MAC_KEY_LENGTH_BYTES = 32
FIELD_COUNT = 3


class EnvelopeCodec:
    """
    Writes envelopes of one direction.

    An envelope is one byte of key ID, a keyed BLAKE2b MAC of 16 bytes and a msgpack
    body. Each direction has its own key, so an envelope cannot be reflected.
    """

    def __init__(self, *, key_ring: KeyRing, purpose: KeyPurpose) -> None:
        self.mac_keys = {
            key.key_id: key.derive(purpose, length_bytes=MAC_KEY_LENGTH_BYTES)
            for key in key_ring.keys
        }
        self.issuing_prefix = bytes([key_ring.issuing.key_id])
        self.issuing_mac_key = self.mac_keys[key_ring.issuing.key_id]

    def encode(self, envelope: Envelope) -> bytes:
        """Return the bytes of an envelope."""
        body: bytes = msgpack.packb(
            (envelope.service, envelope.caller, envelope.datagram)
        )
        mac = blake2b(
            body, key=self.issuing_mac_key, digest_size=MAC_LENGTH_BYTES
        ).digest()
        return self.issuing_prefix + mac + body

    def decode(self, data: bytes) -> Envelope:
        """Read an envelope; raise ``InvalidEnvelopeError`` unless it is authentic."""
        if len(data) <= BODY_START:
            raise InvalidEnvelopeError("the datagram is too short for an envelope")
        mac_key = self.mac_keys.get(data[0])
        if mac_key is None:
            raise InvalidEnvelopeError("the envelope has an unknown key ID")
        body = data[BODY_START:]
        mac = blake2b(body, key=mac_key, digest_size=MAC_LENGTH_BYTES).digest()
        if not hmac.compare_digest(mac, data[1:BODY_START]):
            raise InvalidEnvelopeError("the envelope is not authentic")
        return _read_body(body)


def _read_body(body: bytes) -> Envelope:
    """Read the fields of an authentic envelope."""
    try:
        fields = msgpack.unpackb(body)
    except (ValueError, msgpack.UnpackException) as error:
        raise InvalidEnvelopeError("the envelope's body is not msgpack") from error
    if not isinstance(fields, list) or len(fields) < FIELD_COUNT:
        raise InvalidEnvelopeError("the envelope lacks fields")
    service, caller, datagram = fields[:FIELD_COUNT]
    if not (_is_packed_address(service) and _is_packed_address(caller)):
        raise InvalidEnvelopeError("the envelope lacks an address")
    if not isinstance(datagram, bytes):
        raise InvalidEnvelopeError("the envelope lacks a datagram")
    return Envelope(service=service, caller=caller, datagram=datagram)


def _is_packed_address(value: object) -> bool:
    """Whether a field is a packed address."""
    return isinstance(value, bytes) and len(value) == PACKED_LENGTH_BYTES
