"""Errors that invalid settings raise."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidSettingError(OleanderweirError):
    """The value of a setting is invalid."""

    code: ClassVar[str] = "invalid_setting"


class InvalidTlsMaterialError(OleanderweirError):
    """A certificate, private key or file of authorities cannot be used."""

    code: ClassVar[str] = "invalid_tls"
