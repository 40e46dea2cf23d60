"""Errors of the bench."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class BindError(OleanderweirError):
    """An address cannot be bound."""

    code: ClassVar[str] = "bind_failed"


class NoAddressBlockError(OleanderweirError):
    """Every block of loopback addresses is in use."""

    code: ClassVar[str] = "no_address_block"


class ProcessFailedError(OleanderweirError):
    """A child process exited early or did not become ready in time."""

    code: ClassVar[str] = "process_failed"
