"""Connection IDs that carry the route of their packets."""

from __future__ import annotations

from oleanderweir.connection_id.connection_id import CONNECTION_ID_LENGTH_BYTES
from oleanderweir.connection_id.connection_id import ConnectionId
from oleanderweir.connection_id.connection_id_codec import ConnectionIdCodec
from oleanderweir.connection_id.exceptions import InvalidConnectionIdError


__all__ = [
    "CONNECTION_ID_LENGTH_BYTES",
    "ConnectionId",
    "ConnectionIdCodec",
    "InvalidConnectionIdError",
]
