"""Addresses and sockets."""

from __future__ import annotations

from oleanderweir.net.exceptions import InvalidAddressError
from oleanderweir.net.socket_address import SocketAddress


__all__ = ["InvalidAddressError", "SocketAddress"]
