"""Connection IDs that an agent gives out."""

from __future__ import annotations

import itertools
import secrets
from typing import TYPE_CHECKING

from oleanderweir.connection_id import ConnectionId
from oleanderweir.connection_id.connection_id import MAX_NONCE


if TYPE_CHECKING:
    from oleanderweir.connection_id import ConnectionIdCodec
    from oleanderweir.net import SocketAddress


class ConnectionIdIssuer:
    """
    Issues connection IDs for one incarnation of one agent.

    The nonce counts up from a random start, so an ID comes back only after 2^24
    others, and hardly in a second run that starts within the same second.
    """

    def __init__(
        self,
        *,
        codec: ConnectionIdCodec,
        agent_address: SocketAddress,
        incarnation: int,
    ) -> None:
        self.codec = codec
        self.agent = agent_address.packed
        self.incarnation = incarnation
        self.nonces = itertools.count(secrets.randbelow(MAX_NONCE))

    def issue(self, service: bytes) -> bytes:
        """Return a new connection ID for a connection to a packed service address."""
        return self.issue_for(self.agent, self.incarnation, service)

    def issue_for(self, agent: bytes, incarnation: int, service: bytes) -> bytes:
        """Return a new connection ID that names an agent of the same service."""
        connection_id = ConnectionId(
            agent=agent,
            incarnation=incarnation,
            service_tag=self.codec.issuing_service_tag(service),
            nonce=next(self.nonces) & MAX_NONCE,
        )
        return self.codec.encode(connection_id)

    def reset_token(self, connection_id: bytes) -> bytes:
        """Return the stateless reset token of a connection ID issued here."""
        return self.codec.stateless_reset_token(connection_id)
