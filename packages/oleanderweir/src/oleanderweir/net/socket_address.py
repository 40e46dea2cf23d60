"""An IPv4 address with a port."""

from __future__ import annotations

import ipaddress
import struct

import attrs

from oleanderweir.net.exceptions import InvalidAddressError


MAX_PORT = 65535
PACKED_LENGTH_BYTES = 6


@attrs.frozen(kw_only=True, order=True)
class SocketAddress:
    """
    An IPv4 address with a UDP or TCP port.

    ``host`` is in dotted notation. ``parse`` accepts ports from 1 to 65535.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> SocketAddress:
        """Parse ``HOST:PORT``; raise ``InvalidAddressError`` for anything else."""
        host, separator, port = text.rpartition(":")
        if not separator or not port.isascii() or not port.isdigit():
            raise InvalidAddressError(f"'{text}' is not HOST:PORT; write 192.0.2.1:443")
        try:
            host = str(ipaddress.IPv4Address(host))
        except ValueError as error:
            raise InvalidAddressError(
                f"'{text}' has no IPv4 address before the port; write 192.0.2.1:443"
            ) from error
        if not 1 <= int(port) <= MAX_PORT:
            raise InvalidAddressError(
                f"'{text}' has no port from 1 to {MAX_PORT}; write 192.0.2.1:443"
            )
        return cls(host=host, port=int(port))

    @classmethod
    def unpack(cls, data: bytes) -> SocketAddress:
        """Unpack six bytes; raise ``InvalidAddressError`` for another length."""
        if len(data) != PACKED_LENGTH_BYTES:
            raise InvalidAddressError(
                f"a packed address has {PACKED_LENGTH_BYTES} bytes, but got {len(data)}"
            )
        number, port = struct.unpack("!IH", data)
        return cls(host=str(ipaddress.IPv4Address(number)), port=port)

    @property
    def packed(self) -> bytes:
        """The address as four bytes of host and two of port, big-endian."""
        return ipaddress.IPv4Address(self.host).packed + struct.pack("!H", self.port)

    @property
    def sockaddr(self) -> tuple[str, int]:
        """The address as the ``(host, port)`` of the socket module."""
        return (self.host, self.port)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
