"""Parsing of the QUIC header fields that routing depends on."""

from __future__ import annotations

from oleanderweir.packets.exceptions import InvalidPacketError
from oleanderweir.packets.long_header import LongHeader
from oleanderweir.packets.long_header import has_long_header


__all__ = ["InvalidPacketError", "LongHeader", "has_long_header"]
