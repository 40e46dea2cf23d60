"""Addresses and sockets."""

from __future__ import annotations

from oleanderweir.net.exceptions import AddressInUseError
from oleanderweir.net.exceptions import InvalidAddressError
from oleanderweir.net.keepalive import enable_keepalive
from oleanderweir.net.socket_address import SocketAddress
from oleanderweir.net.udp_socket import BATCH_LIMIT
from oleanderweir.net.udp_socket import Datagram
from oleanderweir.net.udp_socket import UdpSocket
from oleanderweir.net.udp_socket import pack_sockaddr
from oleanderweir.net.udp_socket import unpack_sockaddr


__all__ = [
    "BATCH_LIMIT",
    "AddressInUseError",
    "Datagram",
    "InvalidAddressError",
    "SocketAddress",
    "UdpSocket",
    "enable_keepalive",
    "pack_sockaddr",
    "unpack_sockaddr",
]
