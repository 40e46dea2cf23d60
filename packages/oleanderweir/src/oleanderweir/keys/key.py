"""A shared secret with its key ID."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF


if TYPE_CHECKING:
    from oleanderweir.keys.key_purpose import KeyPurpose


@attrs.frozen(kw_only=True)
class Key:
    """
    A shared secret.

    ``key_id`` lies between 1 and 255 and is sent in plain text. The secret has 32
    bytes and is never used directly, only through ``derive``.
    """

    key_id: int
    secret: bytes = attrs.field(repr=False)

    def derive(self, purpose: KeyPurpose, *, length_bytes: int) -> bytes:
        """Return the key for one purpose (HKDF with SHA-256, RFC 5869)."""
        hkdf = HKDF(
            algorithm=SHA256(), length=length_bytes, salt=None, info=purpose.value
        )
        return hkdf.derive(self.secret)
