"""A certificate with its private key."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class KeyPair:
    """A certificate and its private key, both as PEM."""

    certificate_pem: bytes
    private_key_pem: bytes = attrs.field(repr=False)
