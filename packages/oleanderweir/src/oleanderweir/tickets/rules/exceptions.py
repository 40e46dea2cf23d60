"""The error of one field."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidFieldError(OleanderweirError):
    """A field holds what its rule does not allow; ``message`` says what."""

    code: ClassVar[str] = "invalid_field"
