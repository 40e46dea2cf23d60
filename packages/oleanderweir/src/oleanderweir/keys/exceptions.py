"""Errors of keys."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidKeyRingError(OleanderweirError):
    """The text of a key ring is not usable."""

    code: ClassVar[str] = "invalid_keys"
