"""Issuance of connection IDs by an agent."""

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

    The nonce counts up from a random value. An ID therefore repeats only after 2^24
    others, and a second process that starts within the same second, and so has the
    same incarnation, is unlikely to issue the same IDs.
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
        """Return a new connection ID of this agent; ``service`` is a packed address."""
        return self.issue_for(self.agent, self.incarnation, service)

    def issue_for(self, agent: bytes, incarnation: int, service: bytes) -> bytes:
        """Return a new connection ID that routes to an agent of the service."""
        connection_id = ConnectionId(
            agent=agent,
            incarnation=incarnation,
            service_tag=self.codec.issuing_service_tag(service),
            nonce=next(self.nonces) & MAX_NONCE,
        )
        return self.codec.encode(connection_id)

    def reset_token(self, connection_id: bytes) -> bytes:
        """Return the stateless reset token of a connection ID."""
        return self.codec.stateless_reset_token(connection_id)
