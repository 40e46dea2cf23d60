"""Encryption of Retry tokens with the keys that all agents share."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import msgpack
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from oleanderweir.keys import KeyPurpose
from oleanderweir_agent.quic.exceptions import InvalidRetryTokenError
from oleanderweir_agent.quic.retry_token import RetryToken


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.keys import KeyRing


AES_KEY_LENGTH_BYTES = 16
NONCE_LENGTH_BYTES = 12
BODY_START = 1 + NONCE_LENGTH_BYTES
TOKEN_LIFETIME_MS = 15_000
CLOCK_SKEW_MS = 5_000


class RetryTokenCodec:
    """
    Encodes and decodes Retry tokens.

    Any agent decodes the tokens of any other. The check of the age therefore
    tolerates clocks that differ by up to ``CLOCK_SKEW_MS``.
    """

    def __init__(
        self, *, key_ring: KeyRing, clock_s: Callable[[], float] = time.time
    ) -> None:
        self.ciphers = {
            key.key_id: AESGCM(
                key.derive(KeyPurpose.RETRY_TOKEN, length_bytes=AES_KEY_LENGTH_BYTES)
            )
            for key in key_ring.keys
        }
        self.issuing_key_id = key_ring.issuing_key.key_id
        self.clock_s = clock_s

    def now_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return int(self.clock_s() * 1000)

    def encode(self, token: RetryToken) -> bytes:
        """Return a token as authenticated, encrypted bytes."""
        nonce = os.urandom(NONCE_LENGTH_BYTES)
        body = msgpack.packb(
            (
                token.caller,
                token.service,
                token.original_destination_connection_id,
                token.retry_source_connection_id,
                token.issued_at_ms,
            )
        )
        sealed = self.ciphers[self.issuing_key_id].encrypt(nonce, body, None)
        return bytes([self.issuing_key_id]) + nonce + sealed

    def decode(self, data: bytes) -> RetryToken:
        """Decode a token; raise ``InvalidRetryTokenError`` if invalid or expired."""
        token = self._decrypt(data)
        age_ms = self.now_ms() - token.issued_at_ms
        if not -CLOCK_SKEW_MS <= age_ms <= TOKEN_LIFETIME_MS + CLOCK_SKEW_MS:
            raise InvalidRetryTokenError(
                "the Retry token has expired or is dated in the future"
            )
        return token

    def _decrypt(self, data: bytes) -> RetryToken:
        """Decrypt a token; raise ``InvalidRetryTokenError`` if it is not authentic."""
        cipher = self.ciphers.get(data[0]) if len(data) > BODY_START else None
        if cipher is None:
            raise InvalidRetryTokenError(
                "the Retry token is too short or names an unknown key"
            )
        try:
            body = cipher.decrypt(data[1:BODY_START], data[BODY_START:], None)
        except InvalidTag as error:
            raise InvalidRetryTokenError("the Retry token is not authentic") from error
        caller, service, original, retry_source, issued_at_ms = msgpack.unpackb(body)
        return RetryToken(
            caller=caller,
            service=service,
            original_destination_connection_id=original,
            retry_source_connection_id=retry_source,
            issued_at_ms=issued_at_ms,
        )
