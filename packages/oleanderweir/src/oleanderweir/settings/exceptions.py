"""Errors of settings."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidSettingError(OleanderweirError):
    """A setting has a value that no process can run with."""

    code: ClassVar[str] = "invalid_setting"


class InvalidTlsMaterialError(OleanderweirError):
    """A certificate, a private key or a list of authorities can't be used."""

    code: ClassVar[str] = "invalid_tls"
