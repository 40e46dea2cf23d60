"""Keys that all instances of one installation share, and their use."""

from __future__ import annotations

from oleanderweir.keys.exceptions import InvalidKeyRingError
from oleanderweir.keys.exceptions import UnauthenticMessageError
from oleanderweir.keys.key import Key
from oleanderweir.keys.key_purpose import KeyPurpose
from oleanderweir.keys.key_ring import KeyRing
from oleanderweir.keys.message_authenticator import MessageAuthenticator


__all__ = [
    "InvalidKeyRingError",
    "Key",
    "KeyPurpose",
    "KeyRing",
    "MessageAuthenticator",
    "UnauthenticMessageError",
]
