"""Errors of the platform's stand-ins."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class PublishingError(OleanderweirError):
    """A ticket, floor or list cannot be published."""

    code: ClassVar[str] = "publishing_refused"
