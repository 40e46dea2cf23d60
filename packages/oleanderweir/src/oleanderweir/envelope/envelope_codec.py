"""Encoding and authentication of envelopes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack

from oleanderweir.envelope.envelope import Envelope
from oleanderweir.envelope.exceptions import InvalidEnvelopeError
from oleanderweir.keys import MessageAuthenticator
from oleanderweir.keys import UnauthenticMessageError
from oleanderweir.net.socket_address import PACKED_LENGTH_BYTES


if TYPE_CHECKING:
    from oleanderweir.keys import KeyPurpose
    from oleanderweir.keys import KeyRing


FIELD_COUNT = 3


class EnvelopeCodec:
    """
    Encodes and decodes the envelopes of one direction as authenticated msgpack.

    Each direction has its own key, so an envelope that is sent back to its sender is
    rejected.
    """

    def __init__(self, *, key_ring: KeyRing, purpose: KeyPurpose) -> None:
        self.authenticator = MessageAuthenticator(key_ring=key_ring, purpose=purpose)
        self.pack = msgpack.Packer().pack

    def encode(self, envelope: Envelope) -> bytes:
        """Return the bytes of an envelope."""
        return self.authenticator.protect(
            self.pack((envelope.service, envelope.caller, envelope.datagram))
        )

    def decode(self, data: bytes) -> Envelope:
        """Decode an envelope; raise ``InvalidEnvelopeError`` when it is not valid."""
        try:
            body = self.authenticator.verify(data)
        except UnauthenticMessageError as error:
            raise InvalidEnvelopeError(error.message) from error
        return _decode_body(body)


def _decode_body(body: bytes) -> Envelope:
    """Decode the body of an authentic envelope."""
    try:
        fields = msgpack.unpackb(body)
    except (ValueError, msgpack.UnpackException) as error:
        raise InvalidEnvelopeError("the envelope's body is not msgpack") from error
    if not isinstance(fields, list) or len(fields) < FIELD_COUNT:
        raise InvalidEnvelopeError(
            "the envelope's body is not a list of at least three fields"
        )
    service, caller, datagram = fields[:FIELD_COUNT]
    if not (_is_packed_address(service) and _is_packed_address(caller)):
        raise InvalidEnvelopeError(
            "the envelope has no valid service or caller address"
        )
    if not isinstance(datagram, bytes):
        raise InvalidEnvelopeError("the envelope's datagram is not a byte string")
    return Envelope(service=service, caller=caller, datagram=datagram)


def _is_packed_address(value: object) -> bool:
    """Whether a field is a packed address."""
    return isinstance(value, bytes) and len(value) == PACKED_LENGTH_BYTES
