"""Errors of addresses and sockets."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidAddressError(OleanderweirError):
    """A text or byte string does not name an IPv4 address and a port."""

    code: ClassVar[str] = "invalid_address"


class AddressInUseError(OleanderweirError):
    """A local address can't be bound."""

    code: ClassVar[str] = "address_in_use"
