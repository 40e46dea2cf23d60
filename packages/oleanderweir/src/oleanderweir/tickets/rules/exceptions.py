"""The error of an invalid field."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidFieldError(OleanderweirError):
    """The value of a field violates its rule; ``message`` says why."""

    code: ClassVar[str] = "invalid_field"
