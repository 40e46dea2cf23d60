"""The shared secrets that are valid at the same time."""

from __future__ import annotations

import attrs

from oleanderweir.keys.exceptions import InvalidKeyRingError
from oleanderweir.keys.key import Key


MAX_KEY_ID = 255
SECRET_LENGTH_BYTES = 32
KEY_FORMAT_HINT = "write ID:HEX with 64 hexadecimal digits, several separated by commas"


@attrs.frozen(kw_only=True)
class KeyRing:
    """
    The valid keys: the first one protects outgoing data, each of them is accepted.

    A rotation adds the new key after the old one on all instances, then moves it to
    the front on all instances, then removes the old one.
    """

    keys: tuple[Key, ...]

    @classmethod
    def parse(cls, text: str) -> KeyRing:
        """Parse ``ID:HEX[,ID:HEX]``; raise ``InvalidKeyRingError`` when invalid."""
        keys = tuple(_parse_key(part.strip()) for part in text.split(","))
        if len({key.key_id for key in keys}) != len(keys):
            raise InvalidKeyRingError(
                "two keys have the same ID; give each key its own"
            )
        return cls(keys=keys)

    @property
    def issuing_key(self) -> Key:
        """The key that protects the data that this process sends."""
        return self.keys[0]

    def key(self, key_id: int) -> Key | None:
        """Return the key with that ID, or ``None``."""
        for key in self.keys:
            if key.key_id == key_id:
                return key
        return None


def _parse_key(text: str) -> Key:
    """Parse one ``ID:HEX``."""
    number, separator, digits = text.partition(":")
    if not separator or not number.isascii() or not number.isdigit():
        raise InvalidKeyRingError(f"a key has no numeric ID; {KEY_FORMAT_HINT}")
    if not 1 <= int(number) <= MAX_KEY_ID:
        raise InvalidKeyRingError(f"key ID {number} is not between 1 and {MAX_KEY_ID}")
    try:
        secret = bytes.fromhex(digits)
    except ValueError as error:
        raise InvalidKeyRingError(
            f"key {number} is not hexadecimal; {KEY_FORMAT_HINT}"
        ) from (error)
    if len(secret) != SECRET_LENGTH_BYTES:
        raise InvalidKeyRingError(
            f"key {number} has {len(secret)} bytes, not {SECRET_LENGTH_BYTES}; "
            f"{KEY_FORMAT_HINT}"
        )
    return Key(key_id=int(number), secret=secret)
