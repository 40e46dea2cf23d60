"""The rule for fields that contain an address."""

from __future__ import annotations

import ipaddress

import attrs

from oleanderweir.net import InvalidAddressError
from oleanderweir.net import SocketAddress
from oleanderweir.tickets.rules.exceptions import InvalidFieldError


BROADCAST_ADDRESS = ipaddress.IPv4Address("255.255.255.255")


@attrs.frozen(kw_only=True)
class AddressRule:
    """Accepts a unicast IPv4 address with a port."""

    remedy: str = "write a unicast IPv4 address and port, such as 192.0.2.1:443"

    def read(self, value: object) -> SocketAddress:
        """Return the address; raise ``InvalidFieldError`` if it is not allowed."""
        if not isinstance(value, str):
            raise InvalidFieldError("is not a string")
        try:
            address = SocketAddress.parse(value)
        except InvalidAddressError as error:
            raise InvalidFieldError(f"'{value[:64]}' is not a valid address") from error
        host = ipaddress.IPv4Address(address.host)
        if host.is_unspecified or host.is_multicast or host == BROADCAST_ADDRESS:
            raise InvalidFieldError(f"'{value}' is not a unicast address")
        return address
