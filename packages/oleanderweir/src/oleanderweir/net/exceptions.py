"""Errors of addresses and sockets."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidAddressError(OleanderweirError):
    """A string or packed address is not a valid IPv4 address with a port."""

    code: ClassVar[str] = "invalid_address"


class AddressInUseError(OleanderweirError):
    """A local address cannot be bound."""

    code: ClassVar[str] = "address_in_use"
