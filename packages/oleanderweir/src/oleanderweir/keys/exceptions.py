"""Errors of keys."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidKeyRingError(OleanderweirError):
    """The text of a key ring is not valid."""

    code: ClassVar[str] = "invalid_keys"


class UnauthenticMessageError(OleanderweirError):
    """A message was not authenticated with a key of this installation."""

    code: ClassVar[str] = "unauthentic_message"
